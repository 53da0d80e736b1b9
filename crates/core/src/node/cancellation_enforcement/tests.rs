//! Heartbeats and probe responses while probes are the only evidence of where tasks may be.
use super::*;
use crate::cancellation_enforcer::ProbeReason;
use gorseshore_protocol::cloud::Rental;
use serde_json::json;

const PLATFORM: &str = r#"
host_name = "n0"
domain = "east"
public_addr = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
[endpoints]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[deployment]
zones = ["east", "west"]
[[deployment.teams]]
name = "free"
[deployment.cloud]
list_lag_s = 5.0
rps = 10.0
[deployment.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 34.0
[deployment.state]
rps = 200.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 12
"#;

const START: Micros = Micros::secs(100);

fn node() -> Node {
    Node::new(&Platform::parse(PLATFORM).unwrap(), Operator::default(), 1, 7, START)
}

/// A report of a machine without tasks.
fn idle_report(host: &str, sequence: u64) -> Vec<u8> {
    let report = json!({"host": host, "addr": host, "build": "big", "yard": "east", "shift": 1,
        "tally": sequence, "baton": 1, "pieces": []});
    serde_json::to_vec(&report).unwrap()
}

fn set_listed_machines(node: &mut Node, names: &[&str]) {
    let rental = |name: &&str| Rental {
        name: name.to_string(),
        addr: name.to_string(),
        machine_type: "big".into(),
        zone: "east".into(),
        spot: false,
        state: "running".into(),
        age_s: 100.0,
    };
    let rentals: Vec<Rental> = names.iter().map(rental).collect();
    node.liveness.record_list_page(Some((&rentals, false)), node.now);
}

/// Lets probes of `m0` fail from a time on while `m1` answers; returns why `m0` is probed in the
/// end.
fn reason_after_silence(node: &mut Node, from: Micros) -> Option<ProbeReason> {
    let (m0, m1) = (MachineId::from("m0"), MachineId::from("m1"));
    let deadline = from + Micros::secs(30);
    for second in 0..5 {
        let sent = from + Micros::secs(second);
        for ms in (0..1_200).step_by(20) {
            node.now = sent + Micros::millis(ms);
            node.liveness.record_tick(node.now);
        }
        let answer = CallResult::Response { status: 200, body: idle_report("m1", 1_000 + second) };
        node.suspect_call_completed(&m1, sent, &answer);
        node.suspect_call_completed(&m0, sent, &CallResult::Unknown);
        node.liveness.suspects(deadline, node.now);
    }
    match node.liveness.suspects(deadline, node.now).remove(&m0)?.evidence {
        Evidence::Silence(reason) => Some(reason),
        Evidence::Placement { .. } => None,
    }
}

/// Guards against stale heartbeats: one received before the state was read was kept and never
/// replaced by later ones, so a machine that was idle then counted as idle in an outage an hour
/// later, whatever it held.
#[test]
fn heartbeats_from_before_the_state_was_read_are_no_evidence_later() {
    let mut node = node();
    let report = idle_report("m0", 1);
    node.receive_heartbeat(RequestId(1), &report);
    node.replica_sync.loaded = true;
    node.replica_sync.last_success = Some(START);
    node.enforce_without_leader();
    // Tasks are started on it: heartbeats are not recorded while the state is known.
    node.now = START + Micros::secs(3_600);
    node.replica_sync.last_success = Some(node.now);
    node.enforce_without_leader();
    // An outage in which no controller with the placement log is left; the machine hangs.
    set_listed_machines(&mut node, &["m0", "m1"]);
    let outage_start = node.now;
    let reason = reason_after_silence(&mut node, outage_start);
    assert_eq!(
        reason,
        Some(ProbeReason::Silent),
        "an idle heartbeat of an hour ago excludes m0; `enforce_without_leader` has to clear earlier \
         heartbeats also when no machine is listed"
    );
}

#[test]
fn answers_other_than_the_machines_own_report_do_not_count_as_responses() {
    let answer = |status, body: Vec<u8>| CallResult::Response { status, body };
    let report = idle_report("m0", 9);
    // What arrives for m0 after its probes failed, and how many machines do not answer then.
    let cases = [
        ("its report", answer(200, report.clone()), 0),
        ("its report, commands rejected", answer(409, report.clone()), 0),
        ("another machine's report from its address", answer(200, idle_report("m7", 9)), 1),
        ("a truncated body", answer(200, report[..report.len() - 3].to_vec()), 1),
        ("an error", answer(503, report.clone()), 1),
        ("nothing was sent", CallResult::NotSent, 1),
    ];
    for (case, result, unanswered) in cases {
        let mut node = node();
        set_listed_machines(&mut node, &["m0", "m1"]);
        assert_eq!(reason_after_silence(&mut node, START), Some(ProbeReason::Silent));
        let sent = node.now;
        node.now = sent + Micros::millis(20);
        node.suspect_call_completed(&MachineId::from("m0"), sent, &result);
        assert_eq!(node.liveness.summary(node.now).unanswered, unanswered, "{case}");
        let other = MachineId::from("m7");
        assert!(node.liveness.address(&other).is_none(), "{case}");
    }
}
