//! A leader that was held up itself: what it has not handled yet says nothing of machines.
use super::*;

/// The leader's process comes to its work this late each time, with reports waiting for it.
const LATE_MS: u64 = 1_500;

/// Once, a leader that was behind took its own lateness for the silence of machines: it
/// deleted live ones by the hundred as it handled what had waited, one message at a time.
#[test]
fn a_leader_that_was_held_up_deletes_no_live_machine() {
    let mut b = Bench::new(6);
    let all: Vec<String> = (0..6).map(|i| format!("m{i}")).collect();
    for _ in 0..4 {
        all.iter().for_each(|id| b.confirm(id, &[]));
        b.tick(500);
    }
    // Of what waits, it gets to each controller's word about one machine.
    for _ in 0..6 {
        b.late_tick(LATE_MS);
        for from in [A, B] {
            let held = |id: &&String| b.leader.machines[&m(id)].holder == Some(from);
            let Some(first) = all.iter().find(held).cloned() else { continue };
            let states = [b.state(&first, b.token(&first), &[])];
            b.sync(from, &states, &[]);
        }
    }
    let deleted: Vec<&MachineId> =
        b.leader.machines.iter().filter(|(_, m)| m.stage == Stage::Deleting).map(|(id, _)| id).collect();
    assert!(deleted.is_empty(), "deleted: {deleted:?}");
    // Who stays silent while the leader is on time is deleted all the same.
    for _ in 0..80 {
        b.tick(110);
        b.confirm("m0", &[]);
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
    }
    let holder = b.leader.machines[&m("m0")].holder;
    let silent = |m: &Machine| m.holder == holder && m.stage == Stage::Deleting;
    assert!(b.leader.machines.values().any(silent), "silent machines stay");
}
