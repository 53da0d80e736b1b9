//! What the leader keeps of tasks that were handed out and whose place is not known.
use super::*;

const MACHINES: usize = 200;
const TASKS: u32 = 600;
/// Machines that get a new grant and confirm it while the tasks are on their way.
const CONFIRMED: usize = 40;

/// Names of machines that all hand-outs together keep; those that share a set count once.
fn names_kept(leader: &Leader) -> usize {
    let handed = leader
        .jobs
        .values()
        .flat_map(|run| run.bound.values())
        .filter_map(|b| b.unresolved_assignment.as_ref());
    let sets: BTreeMap<*const BTreeSet<MachineId>, usize> =
        handed.map(|h| (Rc::as_ptr(&h.machines), h.machines.len())).collect();
    sets.values().sum()
}

/// Once, every machine that confirmed a new grant gave each hand-out a set of machines of its
/// own: a leader with thousands of both ran out of memory and fell behind for good.
#[test]
fn hand_outs_keep_no_sets_of_their_own_as_machines_are_confirmed() {
    let mut b = Bench::new(MACHINES);
    for i in 0..MACHINES {
        b.confirm(&format!("m{i}"), &[]);
    }
    b.job(1, 60, "t", "array", "standard", TASKS, 1.0);
    b.tick(30);
    let on_their_way = b.leader.handed.len();
    assert_eq!(on_their_way, TASKS as usize);
    let before = names_kept(&b.leader);
    for i in 0..CONFIRMED {
        let id = format!("m{i}");
        let holder = b.leader.machines[&m(&id)].holder.unwrap();
        b.leader.grant(&m(&id), holder, "test", b.now);
        b.confirm(&id, &[]);
    }
    assert_eq!(b.leader.check_sums(), Ok(()));
    assert_eq!(b.leader.handed.len(), on_their_way, "other machines may hold them");
    let kept = names_kept(&b.leader);
    assert!(kept <= before, "{before} names before, {kept} after {CONFIRMED} machines confirmed new grants");
}

/// Whatever the order in which machines are ruled out, a task stays bound until the last one
/// of its block is, also when its job allows other machines meanwhile.
#[test]
fn a_hand_out_is_free_only_once_its_whole_block_is_ruled_out() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut b = Bench::new(8);
        let all: Vec<String> = (0..8).map(|i| format!("m{i}")).collect();
        all.iter().for_each(|id| b.confirm(id, &[]));
        // Some are spot machines, which the job doesn't allow at first.
        let spot: Vec<bool> = all.iter().map(|_| rng.u32(0..3) == 0).collect();
        for (id, spot) in all.iter().zip(&spot) {
            b.leader.machines.get_mut(&m(id)).unwrap().spot = *spot;
        }
        b.job(1, 60, "t", "array", "standard", 1, 4.0);
        b.tick(30);
        let Some(attempt) = b.attempt(task(1, 0)) else { continue };
        let block =
            b.leader.jobs[&JobId(1)].bound[&0].unresolved_assignment.as_ref().unwrap().machines.clone();
        let mut left: Vec<String> = all.into_iter().filter(|id| block.contains(&m(id))).collect();
        let widens_at = rng.usize(0..left.len() * 2);
        rng.shuffle(&mut left);
        let mut widened = false;
        while let Some(id) = left.pop() {
            if !widened && left.len() == widens_at {
                widened = true;
                b.edit(1, 70, |spec| spec.spot = true);
            }
            match rng.u32(0..3) {
                0 => b.leader.deletion_confirmed(&[m(&id)], b.now),
                _ => {
                    let to = b.leader.machines[&m(&id)].holder.unwrap();
                    b.leader.grant(&m(&id), to, "test", b.now);
                    b.confirm(&id, &[]);
                }
            }
            assert_eq!(b.leader.check_sums(), Ok(()), "seed {seed}");
            let allowed = |id: &String| {
                let spec = &b.leader.jobs[&JobId(1)].spec;
                b.leader.machines.get(&m(id)).is_some_and(|m| m.suits(spec))
            };
            let bound = b.attempt(task(1, 0)) == Some(attempt);
            assert!(bound || !left.iter().any(allowed), "seed {seed}: free, and may be on {left:?}");
        }
        assert_ne!(b.attempt(task(1, 0)), Some(attempt), "seed {seed}: nothing is left, and it is bound");
    }
}
