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

/// Answers to its questions waited for a leader that was behind, and it deleted machines that
/// hear well.
#[test]
fn a_leader_that_was_held_up_takes_no_machine_for_deaf() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.job(100, 60, "t", "array", "standard", 1, 1.0);
    b.tick(30);
    let placed = |h: &OnItsWay| {
        (h.to, AssignmentOutcome { attempt: h.out.attempt, machine: Some(h.out.preferred_machine.clone()) })
    };
    let (to, outcome) = b.leader.handouts.values().map(placed).next().unwrap();
    b.sync(to, &[], &[outcome]);
    let report = |b: &Bench, obeys| {
        let task = (task(100, 0), b.attempt(task(100, 0)).unwrap(), TaskState::Running);
        MachineState { acknowledges_commands: obeys, ..b.state("m0", b.token("m0"), &[task]) }
    };
    let doubtful = report(&b, false);
    b.sync(to, &[doubtful], &[]);
    for _ in 0..7 {
        // A little more than its questions are waited for.
        b.late_tick(LATE_MS + 100);
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
    }
    assert_eq!(b.leader.machines[&m("m0")].stage, Stage::Up);
    // On time, it judges by the same doubt.
    for _ in 0..30 {
        b.tick(400);
        let doubtful = report(&b, false);
        b.sync(to, &[doubtful], &[]);
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
    }
    assert_eq!(b.leader.machines[&m("m0")].stage, Stage::Deleting);
}

/// Reports of a zone waited for a leader that was behind, and it rented nothing there any more.
#[test]
fn a_leader_that_was_held_up_closes_no_zone_to_renting() {
    let mut b = Bench::new(8);
    // Zones are what is judged here, not machines.
    b.leader.ctx.operator.silent_delete = Micros::secs(60);
    b.leader.ctx.operator.idle_return = Micros::secs(60);
    let (east, west) = (["m0", "m1", "m2", "m3"], ["m4", "m5", "m6", "m7"]);
    west.iter().for_each(|id| b.leader.machines.get_mut(&m(id)).unwrap().zone = "west".into());
    east.iter().chain(&west).for_each(|id| b.confirm(id, &[]));
    b.tick(2_500);
    for _ in 0..7 {
        b.late_tick(LATE_MS);
        east.iter().for_each(|id| b.confirm(id, &[]));
        b.leader.autoscale(&[], b.now);
    }
    assert!(!b.leader.health.is_closed("west"));
    for _ in 0..20 {
        b.tick(400);
        east.iter().for_each(|id| b.confirm(id, &[]));
        b.leader.autoscale(&[], b.now);
    }
    assert!(b.leader.health.is_closed("west"), "while it is on time");
}

/// Views of controllers waited for a leader that was behind, and it took them for out of reach.
#[test]
fn a_leader_that_was_held_up_takes_no_controller_for_out_of_contact() {
    let mut b = Bench::new(1);
    for _ in 0..4 {
        b.late_tick(LATE_MS);
        b.sync(A, &[], &[]);
    }
    assert!(b.leader.in_contact(B, b.now), "while it is behind");
    b.tick(2_600);
    assert!(!b.leader.in_contact(B, b.now), "silent for long while the leader is on time");
    // However late the leader is, a controller that says nothing at all is gone.
    b.sync(B, &[], &[]);
    for _ in 0..8 {
        b.late_tick(LATE_MS);
    }
    assert!(!b.leader.in_contact(B, b.now), "silent for certain");
}
