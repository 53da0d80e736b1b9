//! What a node makes of heartbeats and answers while silence is all there is to go by.
use super::*;
use crate::deputy::ProbeReason;
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

const BEGAN: Micros = Micros::secs(100);

fn node() -> Node {
    Node::new(&Platform::parse(PLATFORM).unwrap(), Operator::default(), 1, 7, BEGAN)
}

/// A report of a machine without tasks.
fn idle_report(host: &str, tally: u64) -> Vec<u8> {
    let report = json!({"host": host, "addr": host, "build": "big", "yard": "east", "shift": 1,
        "tally": tally, "baton": 1, "pieces": []});
    serde_json::to_vec(&report).unwrap()
}

fn list(node: &mut Node, names: &[&str]) {
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
    node.liveness.listed(Some((&rentals, false)), node.now);
}

/// Probes of `m0` are not answered from a time on, while `m1` answers: why `m0` is probed in the end.
fn reason_after_silence(node: &mut Node, from: Micros) -> Option<ProbeReason> {
    let (m0, m1) = (MachineId::from("m0"), MachineId::from("m1"));
    let by = from + Micros::secs(30);
    for second in 0..5 {
        let sent = from + Micros::secs(second);
        for ms in (0..1_200).step_by(20) {
            node.now = sent + Micros::millis(ms);
            node.liveness.works(node.now);
        }
        let answer = CallResult::Answer { status: 200, body: idle_report("m1", 1_000 + second) };
        node.deputy_answered(&m1, sent, &answer);
        node.deputy_answered(&m0, sent, &CallResult::Unknown);
        node.liveness.suspects(by, node.now);
    }
    match node.liveness.suspects(by, node.now).remove(&m0)?.evidence {
        Evidence::Silence(reason) => Some(reason),
        Evidence::Placement { .. } => None,
    }
}

/// A heartbeat that came before the state was read was once kept for ever, and none that came later
/// replaced it: a machine that was idle then counted as idle in an outage an hour later, whatever
/// it held.
#[test]
fn what_was_heard_before_the_state_was_read_does_not_speak_for_a_machine_later() {
    let mut node = node();
    let report = idle_report("m0", 1);
    node.checkin(RequestId(1), &report);
    node.mirror.loaded = true;
    node.mirror.ok_at = Some(BEGAN);
    node.stand_in();
    // Tasks are started on it: heartbeats are not noted while the state is known.
    node.now = BEGAN + Micros::secs(3_600);
    node.mirror.ok_at = Some(node.now);
    node.stand_in();
    // An outage, in which nobody who holds placements is left; the machine hangs.
    list(&mut node, &["m0", "m1"]);
    let began = node.now;
    let reason = reason_after_silence(&mut node, began);
    assert_eq!(
        reason,
        Some(ProbeReason::Silent),
        "m0 is spared by an idle heartbeat of an hour ago; `stand_in` has to clear what was heard \
         also where nothing was listed"
    );
}

#[test]
fn answers_that_are_not_the_machines_own_report_are_no_sign_of_life() {
    let answer = |status, body: Vec<u8>| CallResult::Answer { status, body };
    let whole = idle_report("m0", 9);
    // What comes for m0 after its silence, and how many machines don't answer then.
    let cases = [
        ("its report", answer(200, whole.clone()), 0),
        ("its report, refused orders", answer(409, whole.clone()), 0),
        ("another machine's at its address", answer(200, idle_report("m7", 9)), 1),
        ("a torn body", answer(200, whole[..whole.len() - 3].to_vec()), 1),
        ("an error", answer(503, whole.clone()), 1),
        ("nothing was sent", CallResult::NotSent, 1),
    ];
    for (what, result, unanswering) in cases {
        let mut node = node();
        list(&mut node, &["m0", "m1"]);
        assert_eq!(reason_after_silence(&mut node, BEGAN), Some(ProbeReason::Silent));
        let sent = node.now;
        node.now = sent + Micros::millis(20);
        node.deputy_answered(&MachineId::from("m0"), sent, &result);
        assert_eq!(node.liveness.summary(node.now).unanswering, unanswering, "{what}");
        let stranger = MachineId::from("m7");
        assert!(node.liveness.address(&stranger).is_none(), "{what}");
    }
}
