//! Machines whose holder waits for a higher token, since starts may be carried out again.
use super::*;

/// The holder reports a machine and asks for a higher token.
fn request_token(b: &mut Harness, id: &str, tasks: &[(TaskId, Attempt, TaskState)]) {
    let state = MachineState { needs_new_fencing_token: true, ..b.state(id, b.token(id), tasks) };
    let holder = b.leader.machines[&m(id)].holder.unwrap();
    b.sync(holder, &[state], &[]);
}

/// How many times the token of a machine is raised while its holder keeps asking for `seconds`.
fn raises(b: &mut Harness, id: &str, seconds: u64) -> usize {
    let mut raised = 0;
    for _ in 0..seconds * 5 {
        let before = b.token(id);
        request_token(b, id, &[]);
        b.tick(200);
        raised += (b.token(id) != before) as usize;
    }
    raised
}

#[test]
fn a_token_is_raised_once_a_second_at_most() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    let raised = raises(&mut b, "m0", 10);
    assert!((5..=10).contains(&raised), "{raised} raises in 10 s");
    // Nobody asks.
    let token = b.token("m0");
    b.confirm("m0", &[]);
    (0..20).for_each(|_| b.tick(200));
    assert_eq!(b.token("m0"), token);
}

#[test]
fn a_raise_waits_for_assignments_under_way_but_not_for_ever() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(1, 60, "t", "array", "standard", 1, 2.0);
    b.tick(30);
    assert!(b.attempt(task(1, 0)).is_some());
    let token = b.token("m0");
    let mut waited = 0;
    while b.token("m0") == token && waited < 10_000 {
        request_token(&mut b, "m0", &[]);
        b.tick(200);
        waited += 200;
    }
    assert!((3_000..=6_000).contains(&waited), "raised after {waited} ms");
}

#[test]
fn all_machines_that_ask_get_a_token_at_a_bounded_rate() {
    let mut b = Harness::new(60);
    let ids: Vec<String> = (0..60).map(|i| format!("m{i}")).collect();
    ids.iter().for_each(|id| b.confirm(id, &[]));
    b.tick(1100);
    ids.iter().for_each(|id| request_token(&mut b, id, &[]));
    let before: Vec<FencingToken> = ids.iter().map(|id| b.token(id)).collect();
    let raised = |b: &Harness| ids.iter().zip(&before).filter(|(id, token)| b.token(id) != **token).count();
    b.late_tick(100);
    assert_eq!(raised(&b), 25);
    b.late_tick(100);
    assert_eq!(raised(&b), 50);
    b.late_tick(100);
    assert_eq!(raised(&b), 60);
}

#[test]
fn a_task_is_not_assigned_to_a_machine_that_has_an_exited_attempt_of_it() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(1, 60, "t", "array", "standard", 1, 2.0);
    b.tick(30);
    let attempt = b.attempt(task(1, 0)).unwrap();
    b.sync(A, &[], &[AssignmentOutcome { attempt, machine: Some(m("m0")) }]);
    b.confirm("m0", &[(task(1, 0), attempt, TaskState::Running)]);
    b.confirm("m0", &[(task(1, 0), attempt, TaskState::Stopped)]);
    b.tick(500);
    assert_eq!(b.attempt(task(1, 0)), None, "assigned beside the exited attempt");
    b.confirm("m0", &[]);
    b.tick(500);
    assert!(b.attempt(task(1, 0)).is_some_and(|a| a > attempt));
}

#[test]
fn a_machine_with_a_full_report_is_assigned_nothing() {
    let full = MAX_REPORTED_TASKS as u32;
    for (exited, expected) in [(full - 1, true), (full, false)] {
        let mut b = Harness::new(1);
        let tasks: Vec<(TaskId, Attempt, TaskState)> =
            (0..exited).map(|i| (task(9, i), Attempt(u64::from(i) + 1), TaskState::Failed)).collect();
        b.confirm("m0", &tasks);
        b.add_job(1, 60, "t", "array", "standard", 1, 2.0);
        b.tick(500);
        assert_eq!(b.attempt(task(1, 0)).is_some(), expected, "{exited} exited tasks");
    }
}
