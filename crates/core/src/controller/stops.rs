//! Stops by direct calls: they go out until they are carried out, also to a worker that
//! reaches nobody. One that was sent once, and to one that was quiet none, left a machine to
//! its lease or to its deletion.
use super::*;
use crate::Output;
use crate::jobs::keys;
use gorseshore_protocol::workers::ReportedTask;

fn report(tally: u64) -> Report {
    let piece = ReportedTask {
        task: "j-000001/0".into(),
        attempt: 3,
        state: "running".into(),
        cause: None,
        checkpointed: None,
    };
    Report {
        machine: "m".into(),
        addr: "m:1".into(),
        machine_type: "b".into(),
        zone: "z".into(),
        spot: false,
        agent_epoch: 1,
        sequence: tally,
        fencing_token: 7,
        preemption_notice_s: None,
        tasks: vec![piece],
    }
}

/// A controller with a machine that runs a task of a job cancelled since.
fn controller(heard: Micros) -> (Controller, StateReplica) {
    let mut c = Controller::default();
    let g = GrantedMachine { id: "m".into(), baton: FencingToken(7), addr: "m:1".into(), draining: false };
    assert!(c.accept_update(1, 1, 0));
    c.take_block(true, &[g], &[]);
    let mut ledger = StateReplica::default();
    for tally in [1, 2] {
        c.checkin(&report(tally), read_tasks(&report(tally)).unwrap(), &ledger, heard);
    }
    // Its token is announced first.
    let mut out = Outbox::default();
    for (id, _) in c.drive(&ledger, heard, &mut out) {
        let body = serde_json::to_vec(&report(3)).unwrap();
        c.called(&"m".into(), id, &CallResult::Answer { status: 200, body }, heard);
    }
    ledger.apply(&keys::end(JobId(1)), Some(&serde_json::json!({"end": "aborted", "at": 1})), 9);
    (c, ledger)
}

/// The paths of the calls that go out, and whether they stop the task.
fn driven(c: &mut Controller, ledger: &StateReplica, now: Micros) -> Vec<(CallId, String, bool)> {
    let mut out = Outbox::default();
    c.drive(ledger, now, &mut out);
    let calls = out.items.into_iter().filter_map(|o| match o {
        Output::Call { id, call } => {
            let orders =
                serde_json::from_slice::<CommandRequest>(&call.body).map(|d| d.commands).unwrap_or_default();
            Some((id, call.path, orders.iter().any(|o| o.action == "halt" && o.task == "j-000001/0")))
        }
        _ => None,
    });
    calls.collect()
}

#[test]
fn a_stop_goes_out_until_it_is_carried_out() {
    let answer = |status| {
        let body = serde_json::to_vec(&report(9)).unwrap();
        CallResult::Answer { status, body }
    };
    // (what became of the call; whether it goes out again)
    let cases = [
        (CallResult::Unknown, true),
        (CallResult::NotSent, true),
        (answer(409), true),
        (CallResult::Answer { status: 503, body: Vec::new() }, true),
        (answer(200), false),
    ];
    for (result, again) in cases {
        let start = Micros::secs(50);
        let (mut c, ledger) = controller(start);
        let calls = driven(&mut c, &ledger, start + Micros::millis(300));
        assert_eq!(calls.len(), 1, "{result:?}: {calls:?}");
        assert!(calls[0].1 == "/do" && calls[0].2, "{result:?}: {calls:?}");
        c.called(&"m".into(), calls[0].0, &result, start + Micros::millis(400));
        let calls = driven(&mut c, &ledger, start + Micros::millis(2200));
        let stopped = calls.iter().any(|(_, path, stops)| path == "/do" && *stops);
        assert_eq!(stopped, again, "{result:?}: {calls:?}");
    }
}

#[test]
fn a_quiet_worker_is_told_what_is_over() {
    let start = Micros::secs(50);
    let (mut c, ledger) = controller(start);
    let calls = driven(&mut c, &ledger, start + ASKED_AFTER + Micros::secs(1));
    assert!(calls.len() == 1 && calls[0].1 == "/do" && calls[0].2, "{calls:?}");
    // One with nothing to stop is asked how it is.
    let (mut c, _) = controller(start);
    let calls = driven(&mut c, &StateReplica::default(), start + ASKED_AFTER + Micros::secs(1));
    assert!(calls.len() == 1 && calls[0].1 == "/status", "{calls:?}");
}
