//! A start that went out in a direct call may be carried out once more, whatever the response was,
//! until the worker has a higher fencing token. Its exited attempt was once cleared before that.
use super::*;
use crate::jobs::keys;
use crate::{CallResult, Outbox};
use test_reports::reported_task;

const NOW: Micros = Micros::secs(50);
const TOKEN: FencingToken = FencingToken(7);
const HIGHER_TOKEN: FencingToken = FencingToken(9);

fn task(index: u32) -> (TaskId, Attempt) {
    (TaskId { job: JobId(1), index }, Attempt(100 + u64::from(index)))
}

/// A report of the first `count` tasks, in this state; `done` and `exited` (with an error) are
/// exited tasks.
fn report(sequence: u64, fencing_token: FencingToken, count: u32, state: &str) -> Report {
    let (state, cause) = match state {
        "exited" => ("exited", Some("error")),
        "done" => ("exited", Some("done")),
        state => (state, None),
    };
    let reported = |index| reported_task(&task(index).0.to_string(), task(index).1.0, state, cause);
    test_reports::report(1, sequence, fencing_token.0, (0..count).map(reported).collect())
}

fn grant(fencing_token: FencingToken) -> GrantedMachine {
    GrantedMachine { id: "m".into(), fencing_token, addr: "m:1".into(), draining: false }
}

/// How the starts of a case went out.
#[derive(Debug, Clone)]
enum Sent {
    InResponse,
    InCall(CallResult),
}

fn call_result(status: u16) -> CallResult {
    let body = serde_json::to_vec(&report(4, TOKEN, 1, "running")).unwrap();
    CallResult::Response { status, body }
}

/// Sends a heartbeat at `at` and returns the token of the response and the tasks that it clears.
fn cleared(c: &mut Controller, r: &Report, at: Micros) -> (FencingToken, usize) {
    match c.receive_heartbeat(r, parse_tasks(r).unwrap(), &StateReplica::default(), at) {
        HeartbeatReply::Commands(token, commands) => {
            (token, commands.iter().filter(|command| command.action == "clear").count())
        }
        reply => panic!("{reply:?}"),
    }
}

/// A controller that started `count` tasks, which have exited since; the leader knows of that.
fn controller_with_exits(count: u32, sent: &Sent) -> Controller {
    let state_replica = StateReplica::default();
    let mut c = Controller::default();
    assert!(c.accept_update(1, 1, 0));
    c.lease_until = Micros::secs(1000);
    c.apply_block(true, &[grant(TOKEN)], &[]);
    for sequence in [1, 2] {
        cleared(&mut c, &report(sequence, TOKEN, 0, "running"), NOW);
    }
    let w = c.workers.get_mut(&MachineId::from("m")).unwrap();
    w.announce_token = false;
    for index in 0..count {
        let start = Start {
            fencing_token: TOKEN,
            agent_epoch: 1,
            need: Resources::default(),
            reported: false,
            delivery: Delivery::NotSent,
            in_response_to: None,
        };
        w.starts.insert(task(index), start);
    }
    c.mark_changed(&"m".into());
    match sent {
        Sent::InResponse => drop(cleared(&mut c, &report(3, TOKEN, 0, "running"), NOW)),
        Sent::InCall(result) => {
            let mut out = Outbox::default();
            let calls = c.send_commands(&state_replica, NOW, &mut out);
            assert_eq!(calls.len(), 1);
            c.call_completed(&"m".into(), calls[0].0, result, NOW);
        }
    }
    cleared(&mut c, &report(5, TOKEN, count, "exited"), NOW);
    let Message::Sync { seq, .. } = c.sync(1, Vec::new(), &state_replica, NOW) else { panic!("no sync") };
    c.apply_sync_ack(seq, Micros::secs(20));
    c
}

fn requests_token(c: &mut Controller, at: Micros) -> bool {
    c.mark_changed(&"m".into());
    match c.sync(1, Vec::new(), &StateReplica::default(), at) {
        Message::Sync { machines, .. } => machines[0].needs_new_fencing_token,
        m => panic!("{m:?}"),
    }
}

#[test]
fn no_response_to_a_start_allows_its_attempt_to_be_cleared() {
    // (how the start went out, whether the exited attempt is cleared under the same token)
    let cases = [
        (Sent::InResponse, true),
        (Sent::InCall(CallResult::NotSent), true),
        (Sent::InCall(call_result(409)), false),
        (Sent::InCall(call_result(200)), false),
        (Sent::InCall(call_result(503)), false),
        (Sent::InCall(CallResult::Unknown), false),
    ];
    for (sent, expected) in cases {
        let mut c = controller_with_exits(1, &sent);
        let response = cleared(&mut c, &report(6, TOKEN, 1, "exited"), NOW + Micros::secs(2));
        assert_eq!(response, (TOKEN, expected as usize), "{sent:?}");
        // The response that brings a higher token clears it.
        c.apply_block(false, &[grant(HIGHER_TOKEN)], &[]);
        let response = cleared(&mut c, &report(7, TOKEN, 1, "exited"), NOW + Micros::secs(4));
        assert_eq!(response, (HIGHER_TOKEN, 1), "{sent:?}");
    }
}

#[test]
fn one_higher_token_is_requested_for_all_exits_of_a_machine() {
    let call = Sent::InCall(call_result(200));
    // (exited tasks, how they were started, seconds since they exited, whether a token is requested)
    let cases = [
        (1, Sent::InResponse, 60, false),
        (1, call.clone(), 1, false),
        (1, call.clone(), 4, true),
        (3, call.clone(), 4, true),
        (40, call.clone(), 1, true),
    ];
    for (count, sent, after, expected) in cases {
        let mut c = controller_with_exits(count, &sent);
        let at = NOW + Micros::secs(after);
        assert_eq!(requests_token(&mut c, at), expected, "{count} {sent:?} {after} s");
        c.apply_block(false, &[grant(HIGHER_TOKEN)], &[]);
        assert!(!requests_token(&mut c, at), "{count} {sent:?} {after} s");
        assert_eq!(c.exits_waiting_for_token(), 0);
        let response = cleared(&mut c, &report(7, HIGHER_TOKEN, count, "exited"), at);
        assert_eq!(response, (HIGHER_TOKEN, count as usize));
        assert!(!requests_token(&mut c, at + Micros::secs(60)));
    }
}

#[test]
fn finished_tasks_request_a_higher_token_too() {
    for (after, expected) in [(2, false), (4, true)] {
        let mut c = controller_with_exits(1, &Sent::InCall(call_result(200)));
        cleared(&mut c, &report(6, TOKEN, 1, "done"), NOW);
        assert_eq!(requests_token(&mut c, NOW + Micros::secs(after)), expected, "after {after} s");
    }
}

#[test]
fn a_start_that_must_not_run_requests_a_higher_token_at_once() {
    let mut c = controller_with_exits(0, &Sent::InResponse);
    let w = c.workers.get_mut(&MachineId::from("m")).unwrap();
    w.starts.insert(
        task(0),
        Start {
            fencing_token: TOKEN,
            agent_epoch: 1,
            need: Resources::default(),
            reported: false,
            delivery: Delivery::Sent,
            in_response_to: None,
        },
    );
    assert!(!requests_token(&mut c, NOW));
    let mut state_replica = StateReplica::default();
    state_replica.apply(&keys::end(JobId(1)), Some(&serde_json::json!({"end": "aborted", "at": 1})), 9);
    c.mark_changed(&"m".into());
    let Message::Sync { machines, .. } = c.sync(1, Vec::new(), &state_replica, NOW) else {
        panic!("no sync")
    };
    assert!(machines[0].needs_new_fencing_token);
}

#[test]
fn an_attempt_that_is_reported_after_it_was_cleared_is_counted() {
    let mut c = controller_with_exits(1, &Sent::InResponse);
    cleared(&mut c, &report(6, TOKEN, 1, "exited"), NOW);
    cleared(&mut c, &report(7, TOKEN, 0, "exited"), NOW);
    assert_eq!(c.reappeared_attempts, 0);
    cleared(&mut c, &report(8, TOKEN, 1, "running"), NOW);
    assert_eq!(c.reappeared_attempts, 1);
    // Counted once.
    cleared(&mut c, &report(9, TOKEN, 1, "running"), NOW);
    assert_eq!(c.reappeared_attempts, 1);
}
