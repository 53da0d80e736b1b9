//! Stops by direct calls are sent until they are carried out, also to a worker that reaches no
//! controller. Stops were once sent a single time, and never to a worker without recent contact, so
//! that a task ended only with its worker's lease or with the deletion of the machine.
use super::*;
use crate::jobs::keys;
use crate::{CallResult, Outbox, Output};
use gorseshore_protocol::workers::CommandRequest;
use test_reports::reported_task;

fn report(sequence: u64) -> Report {
    test_reports::report(1, sequence, 7, vec![reported_task("j-000001/0", 3, "running", None)])
}

/// A controller with a machine whose last contact is at `contact`, and which runs a task of a job
/// that was cancelled afterwards.
fn controller(contact: Micros) -> (Controller, StateReplica) {
    let mut c = Controller::default();
    let g = GrantedMachine {
        id: "m".into(),
        fencing_token: FencingToken(7),
        addr: "m:1".into(),
        draining: false,
    };
    assert!(c.accept_update(1, 1, 0));
    c.apply_block(true, &[g], &[]);
    let mut state_replica = StateReplica::default();
    for sequence in [1, 2] {
        c.receive_heartbeat(
            &report(sequence),
            parse_tasks(&report(sequence)).unwrap(),
            &state_replica,
            contact,
        );
    }
    // The worker is sent its fencing token first.
    let mut out = Outbox::default();
    for (id, _) in c.send_commands(&state_replica, contact, &mut out) {
        let body = serde_json::to_vec(&report(3)).unwrap();
        c.call_completed(&"m".into(), id, &CallResult::Response { status: 200, body }, contact);
    }
    state_replica.apply(&keys::end(JobId(1)), Some(&serde_json::json!({"end": "aborted", "at": 1})), 9);
    (c, state_replica)
}

/// The calls that are sent: their paths, and whether they stop the task.
fn sent_calls(c: &mut Controller, state_replica: &StateReplica, now: Micros) -> Vec<(CallId, String, bool)> {
    let mut out = Outbox::default();
    c.send_commands(state_replica, now, &mut out);
    let calls = out.items.into_iter().filter_map(|o| match o {
        Output::Call { id, call } => {
            let commands =
                serde_json::from_slice::<CommandRequest>(&call.body).map(|d| d.commands).unwrap_or_default();
            Some((id, call.path, commands.iter().any(|o| o.action == "halt" && o.task == "j-000001/0")))
        }
        _ => None,
    });
    calls.collect()
}

#[test]
fn a_stop_is_sent_until_it_is_carried_out() {
    let response = |status| {
        let body = serde_json::to_vec(&report(9)).unwrap();
        CallResult::Response { status, body }
    };
    // (result of the call, whether the stop is sent again)
    let cases = [
        (CallResult::Unknown, true),
        (CallResult::NotSent, true),
        (response(409), true),
        (CallResult::Response { status: 503, body: Vec::new() }, true),
        (response(200), false),
    ];
    for (result, resent) in cases {
        let start = Micros::secs(50);
        let (mut c, state_replica) = controller(start);
        let calls = sent_calls(&mut c, &state_replica, start + Micros::millis(300));
        assert_eq!(calls.len(), 1, "{result:?}: {calls:?}");
        assert!(calls[0].1 == "/do" && calls[0].2, "{result:?}: {calls:?}");
        c.call_completed(&"m".into(), calls[0].0, &result, start + Micros::millis(400));
        let calls = sent_calls(&mut c, &state_replica, start + Micros::millis(2200));
        let stopped = calls.iter().any(|(_, path, stops)| path == "/do" && *stops);
        assert_eq!(stopped, resent, "{result:?}: {calls:?}");
    }
}

#[test]
fn a_worker_without_recent_contact_is_sent_stops() {
    let start = Micros::secs(50);
    let (mut c, state_replica) = controller(start);
    let calls = sent_calls(&mut c, &state_replica, start + PROBE_AFTER + Micros::secs(1));
    assert!(calls.len() == 1 && calls[0].1 == "/do" && calls[0].2, "{calls:?}");
    // A worker with nothing to stop is probed.
    let (mut c, _) = controller(start);
    let calls = sent_calls(&mut c, &StateReplica::default(), start + PROBE_AFTER + Micros::secs(1));
    assert!(calls.len() == 1 && calls[0].1 == "/status", "{calls:?}");
}
