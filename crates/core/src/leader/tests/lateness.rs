//! A leader that is behind: messages that it has not handled yet are no evidence of silence.
use super::*;

/// The leader ticks only at this interval, while messages wait for it.
const LATE_MS: u64 = 1_500;

/// A leader that was behind took its own lateness for the silence of machines: it deleted live
/// machines by the hundred while it handled the waiting messages one at a time.
#[test]
fn a_leader_that_was_behind_deletes_no_live_machine() {
    let mut b = Harness::new(6);
    let all: Vec<String> = (0..6).map(|i| format!("m{i}")).collect();
    for _ in 0..4 {
        all.iter().for_each(|id| b.confirm(id, &[]));
        b.tick(500);
    }
    // Of the waiting messages it handles each controller's report about one machine.
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
    // Machines that stay silent while the leader is on time are deleted all the same.
    for _ in 0..80 {
        b.tick(110);
        b.confirm("m0", &[]);
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
    }
    let holder = b.leader.machines[&m("m0")].holder;
    let silent = |m: &Machine| m.holder == holder && m.stage == Stage::Deleting;
    assert!(b.leader.machines.values().any(silent), "no silent machine is deleted");
}

/// Answers to its probes waited for a leader that was behind, and it deleted machines that
/// acknowledge commands.
#[test]
fn a_leader_that_was_behind_takes_no_machine_for_unreachable() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(100, 60, "t", "array", "standard", 1, 1.0);
    b.tick(30);
    let placed = |h: &PendingAssignment| {
        (
            h.to,
            AssignmentOutcome {
                attempt: h.assignment.attempt,
                machine: Some(h.assignment.preferred_machine.clone()),
            },
        )
    };
    let (to, outcome) = b.leader.pending_assignments.values().map(placed).next().unwrap();
    b.sync(to, &[], &[outcome]);
    let report = |b: &Harness, acknowledges_commands| {
        let task = (task(100, 0), b.attempt(task(100, 0)).unwrap(), TaskState::Running);
        MachineState { acknowledges_commands, ..b.state("m0", b.token("m0"), &[task]) }
    };
    let unacknowledged = report(&b, false);
    b.sync(to, &[unacknowledged], &[]);
    for _ in 0..7 {
        // A little longer than the timeout of a probe.
        b.late_tick(LATE_MS + 100);
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
    }
    assert_eq!(b.leader.machines[&m("m0")].stage, Stage::Up);
    // On time, the same reports are evidence against the machine.
    for _ in 0..30 {
        b.tick(400);
        let unacknowledged = report(&b, false);
        b.sync(to, &[unacknowledged], &[]);
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
    }
    assert_eq!(b.leader.machines[&m("m0")].stage, Stage::Deleting);
}

/// Heartbeats of a zone waited for a leader that was behind, and it stopped renting there.
#[test]
fn a_leader_that_was_behind_closes_no_zone_to_renting() {
    let mut b = Harness::new(8);
    // Only zones are under test here: machines must not be deleted.
    b.leader.config.operator.silent_delete = Micros::secs(60);
    b.leader.config.operator.idle_return = Micros::secs(60);
    let (east, west) = (["m0", "m1", "m2", "m3"], ["m4", "m5", "m6", "m7"]);
    west.iter().for_each(|id| b.leader.machines.get_mut(&m(id)).unwrap().zone = "west".into());
    east.iter().chain(&west).for_each(|id| b.confirm(id, &[]));
    b.tick(2_500);
    for _ in 0..7 {
        b.late_tick(LATE_MS);
        east.iter().for_each(|id| b.confirm(id, &[]));
        b.leader.autoscale(&[], b.now);
    }
    assert!(!b.leader.zone_health.is_closed("west"));
    for _ in 0..20 {
        b.tick(400);
        east.iter().for_each(|id| b.confirm(id, &[]));
        b.leader.autoscale(&[], b.now);
    }
    assert!(b.leader.zone_health.is_closed("west"), "silent while the leader is on time");
}

/// `Sync` messages waited for a leader that was behind, and it took their senders for out of
/// contact.
#[test]
fn a_leader_that_was_behind_takes_no_controller_for_out_of_contact() {
    let mut b = Harness::new(1);
    for _ in 0..4 {
        b.late_tick(LATE_MS);
        b.sync(A, &[], &[]);
    }
    assert!(b.leader.in_contact(B, b.now), "while it is behind");
    b.tick(2_600);
    assert!(!b.leader.in_contact(B, b.now), "silent for 2.6 s while the leader is on time");
    // However late the leader is, a controller that sends nothing is out of contact in the end.
    b.sync(B, &[], &[]);
    for _ in 0..8 {
        b.late_tick(LATE_MS);
    }
    assert!(!b.leader.in_contact(B, b.now), "silent beyond the allowance for a backlog");
}
