//! Assigned tasks whose machine is not known: memory use and release.
use super::*;

const MACHINES: usize = 200;
const TASKS: u32 = 600;
/// Machines that get a new grant and confirm it while the assignments have no outcome.
const CONFIRMED: usize = 40;

/// Machine names that all assignments store together; a shared set counts once.
fn stored_names(leader: &Leader) -> usize {
    let unresolved = leader
        .jobs
        .values()
        .flat_map(|run| run.bound.values())
        .filter_map(|b| b.unresolved_assignment.as_ref());
    let sets: BTreeMap<*const BTreeSet<MachineId>, usize> =
        unresolved.map(|h| (Rc::as_ptr(&h.candidates), h.candidates.len())).collect();
    sets.values().sum()
}

/// Each machine that confirmed a new grant used to give each assignment its own copy of the
/// machine set: a leader with thousands of both ran out of memory and never caught up.
#[test]
fn assignments_share_their_machine_sets_as_machines_are_confirmed() {
    let mut b = Harness::new(MACHINES);
    for i in 0..MACHINES {
        b.confirm(&format!("m{i}"), &[]);
    }
    b.add_job(1, 60, "t", "array", "standard", TASKS, 1.0);
    b.tick(30);
    let unresolved = b.leader.unresolved_tasks.len();
    assert_eq!(unresolved, TASKS as usize);
    let before = stored_names(&b.leader);
    for i in 0..CONFIRMED {
        let id = format!("m{i}");
        let holder = b.leader.machines[&m(&id)].holder.unwrap();
        b.leader.grant(&m(&id), holder, "test", b.now);
        b.confirm(&id, &[]);
    }
    assert_eq!(b.leader.check_totals(), Ok(()));
    assert_eq!(b.leader.unresolved_tasks.len(), unresolved, "other machines may hold them");
    let after = stored_names(&b.leader);
    assert!(
        after <= before,
        "{before} names before, {after} after {CONFIRMED} machines confirmed new grants"
    );
}

/// Whatever the order in which machines are ruled out, a task stays bound until the last machine
/// of its block is, also when its job comes to allow other machines in the meantime.
#[test]
fn a_task_is_released_only_once_its_whole_block_is_ruled_out() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut b = Harness::new(8);
        let all: Vec<String> = (0..8).map(|i| format!("m{i}")).collect();
        all.iter().for_each(|id| b.confirm(id, &[]));
        // Some are spot machines, which the job does not allow at first.
        let spot: Vec<bool> = all.iter().map(|_| rng.u32(0..3) == 0).collect();
        for (id, spot) in all.iter().zip(&spot) {
            b.leader.machines.get_mut(&m(id)).unwrap().spot = *spot;
        }
        b.add_job(1, 60, "t", "array", "standard", 1, 4.0);
        b.tick(30);
        let Some(attempt) = b.attempt(task(1, 0)) else { continue };
        let block =
            b.leader.jobs[&JobId(1)].bound[&0].unresolved_assignment.as_ref().unwrap().candidates.clone();
        let mut left: Vec<String> = all.into_iter().filter(|id| block.contains(&m(id))).collect();
        let widens_at = rng.usize(0..left.len() * 2);
        rng.shuffle(&mut left);
        let mut widened = false;
        while let Some(id) = left.pop() {
            if !widened && left.len() == widens_at {
                widened = true;
                b.edit_job(1, 70, |spec| spec.spot = true);
            }
            match rng.u32(0..3) {
                0 => b.leader.deletion_confirmed(&[m(&id)], b.now),
                _ => {
                    let to = b.leader.machines[&m(&id)].holder.unwrap();
                    b.leader.grant(&m(&id), to, "test", b.now);
                    b.confirm(&id, &[]);
                }
            }
            assert_eq!(b.leader.check_totals(), Ok(()), "seed {seed}");
            let allowed = |id: &String| {
                let spec = &b.leader.jobs[&JobId(1)].spec;
                b.leader.machines.get(&m(id)).is_some_and(|m| m.suits(spec))
            };
            let bound = b.attempt(task(1, 0)) == Some(attempt);
            assert!(bound || !left.iter().any(allowed), "seed {seed}: released, and may be on {left:?}");
        }
        assert_ne!(b.attempt(task(1, 0)), Some(attempt), "seed {seed}: no machine is left, and it is bound");
    }
}
