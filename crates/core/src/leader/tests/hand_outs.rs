//! What the leader keeps of tasks that were handed out and whose place is not known.
use super::*;

const MACHINES: usize = 200;
const TASKS: u32 = 600;
/// Machines that get a new grant and confirm it while the tasks are on their way.
const CONFIRMED: usize = 40;

/// Names of machines that all hand-outs together keep; those that share a set count once.
fn names_kept(leader: &Leader) -> usize {
    let handed = leader.jobs.values().flat_map(|run| run.bound.values()).filter_map(|b| b.handed.as_ref());
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
