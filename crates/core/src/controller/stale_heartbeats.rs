//! Delayed, duplicate and reordered reports: a report that arrives after the newest one changes
//! nothing, and one that arrives before it is superseded by it.
use super::*;
use gorseshore_protocol::workers::ReportedTask;
use proptest::prelude::*;
use test_reports::reported_task;

/// Reports of one worker in the order in which it sent them: its agent restarts at times, tasks
/// start, run and exit, and it receives its fencing token at some time.
fn history() -> impl Strategy<Value = Vec<Report>> {
    let step = (0u8..8, 0u64..4, 0usize..4);
    proptest::collection::vec(step, 2..20).prop_map(|steps| {
        let (mut agent_epoch, mut fencing_token, mut tasks) = (1, 0, Vec::<ReportedTask>::new());
        let mut reports = Vec::new();
        for (n, (change, task, stage)) in steps.into_iter().enumerate() {
            let stages =
                [("pulling", None), ("running", None), ("exited", Some("done")), ("exited", Some("error"))];
            match change {
                0 => (agent_epoch, tasks) = (agent_epoch + 1, Vec::new()),
                1 => fencing_token = 7,
                2 => tasks.retain(|p| p.attempt != task),
                _ => {
                    tasks.retain(|p| p.attempt != task);
                    let (stage, cause) = stages[stage];
                    tasks.push(reported_task(&format!("j-00000{task}/0"), task, stage, cause));
                }
            }
            reports.push(Report {
                preemption_notice_s: (change == 3).then_some(9.0),
                ..test_reports::report(agent_epoch, n as u64 + 1, fencing_token, tasks.clone())
            });
        }
        reports
    })
}

/// What a controller derives from the reports: everything that decides what it reports, starts and
/// stops.
fn derived_state(c: &Controller) -> impl PartialEq + std::fmt::Debug + use<> {
    let w = &c.workers[&MachineId::from("m")];
    let exits: Vec<(TaskId, Attempt)> = w.exits.keys().copied().collect();
    (
        w.heartbeat_seq(),
        w.seen_fencing_token,
        w.tasks.clone(),
        w.preemption_notice.is_some(),
        w.last_contact,
        exits,
        w.starts.len(),
    )
}

fn receive(c: &mut Controller, r: &Report, at: u64) -> HeartbeatReply {
    c.receive_heartbeat(r, parse_tasks(r).unwrap(), &StateReplica::default(), Micros::secs(at))
}

fn controller() -> Controller {
    let mut c = Controller::default();
    let g = GrantedMachine {
        id: "m".into(),
        fencing_token: FencingToken(7),
        addr: "m:1".into(),
        draining: false,
    };
    assert!(c.accept_update(1, 1, 0));
    c.apply_block(true, &[g], &[]);
    c
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_state_is_that_of_the_newest_report(
        history in history(),
        order in proptest::collection::vec(0usize..1000, 0..60),
    ) {
        let newest = history.last().unwrap();
        let mut alone = controller();
        receive(&mut alone, newest, 50);
        // Any reports in any order and number before the newest one, and duplicates of all after it.
        let mut c = controller();
        for i in &order {
            receive(&mut c, &history[i % (history.len() - 1)], 40);
        }
        receive(&mut c, newest, 50);
        prop_assert_eq!(format!("{:?}", derived_state(&c)), format!("{:?}", derived_state(&alone)));
        let before = format!("{:?}", derived_state(&c));
        let (sync, dirty) = (c.sync_seq, c.sync_pending);
        for i in &order {
            let reply = receive(&mut c, &history[i % history.len()], 90);
            // The reply to a duplicate holds no command.
            prop_assert_eq!(reply, HeartbeatReply::Commands(FencingToken(7), Vec::new()));
        }
        prop_assert_eq!(format!("{:?}", derived_state(&c)), before);
        prop_assert_eq!((c.sync_seq, c.sync_pending), (sync, dirty), "a duplicate triggers no sync");
    }
}
