//! Late, repeated and reordered reports: whatever comes after the newest one changes
//! nothing, and what comes before it is overtaken by it.
use super::*;
use gorseshore_protocol::workers::ReportedTask;
use proptest::prelude::*;

/// Reports of one worker in the order in which it sent them: its session ends now and
/// then, tasks come, run and exit, it hears of its token at some time.
fn history() -> impl Strategy<Value = Vec<Report>> {
    let step = (0u8..8, 0u64..4, 0usize..4);
    proptest::collection::vec(step, 2..20).prop_map(|steps| {
        let (mut shift, mut baton, mut pieces) = (1, 0, Vec::<ReportedTask>::new());
        let mut reports = Vec::new();
        for (n, (what, task, stage)) in steps.into_iter().enumerate() {
            let stages =
                [("pulling", None), ("running", None), ("exited", Some("done")), ("exited", Some("error"))];
            match what {
                0 => (shift, pieces) = (shift + 1, Vec::new()),
                1 => baton = 7,
                2 => pieces.retain(|p| p.attempt != task),
                _ => {
                    pieces.retain(|p| p.attempt != task);
                    let (stage, cause) = stages[stage];
                    let piece = format!("j-00000{task}/0");
                    let cause = cause.map(str::to_owned);
                    pieces.push(ReportedTask {
                        task: piece,
                        attempt: task,
                        state: stage.into(),
                        cause,
                        checkpointed: None,
                    });
                }
            }
            reports.push(Report {
                machine: "m".into(),
                addr: "m:1".into(),
                machine_type: "b".into(),
                zone: "z".into(),
                spot: false,
                agent_epoch: shift,
                sequence: n as u64 + 1,
                fencing_token: baton,
                preemption_notice_s: (what == 3).then_some(9.0),
                tasks: pieces.clone(),
            });
        }
        reports
    })
}

/// What a controller makes of the machine: all that it tells, starts and stops by.
fn seen(c: &Controller) -> impl PartialEq + std::fmt::Debug + use<> {
    let w = &c.workers[&MachineId::from("m")];
    let exits: Vec<(TaskId, Attempt)> = w.exits.keys().copied().collect();
    (w.number(), w.seen_baton, w.tasks.clone(), w.warning.is_some(), w.heard, exits, w.starts.len())
}

fn give(c: &mut Controller, r: &Report, at: u64) -> CheckinReply {
    c.checkin(r, read_tasks(r).unwrap(), &StateReplica::default(), Micros::secs(at))
}

fn controller() -> Controller {
    let mut c = Controller::default();
    let g = GrantedMachine { id: "m".into(), baton: FencingToken(7), addr: "m:1".into(), draining: false };
    assert!(c.accept_update(1, 1, 0));
    c.take_block(true, &[g], &[]);
    c
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_outcome_is_that_of_the_newest_report(
        history in history(),
        order in proptest::collection::vec(0usize..1000, 0..60),
    ) {
        let newest = history.last().unwrap();
        let mut alone = controller();
        give(&mut alone, newest, 50);
        // Any of them before it, in any order and number, and copies of all after it.
        let mut c = controller();
        for i in &order {
            give(&mut c, &history[i % (history.len() - 1)], 40);
        }
        give(&mut c, newest, 50);
        prop_assert_eq!(format!("{:?}", seen(&c)), format!("{:?}", seen(&alone)));
        let before = format!("{:?}", seen(&c));
        let (sync, dirty) = (c.sync_seq, c.dirty);
        for i in &order {
            let reply = give(&mut c, &history[i % history.len()], 90);
            // A copy draws no order.
            prop_assert_eq!(reply, CheckinReply::Orders(FencingToken(7), Vec::new()));
        }
        prop_assert_eq!(format!("{:?}", seen(&c)), before);
        prop_assert_eq!((c.sync_seq, c.dirty), (sync, dirty), "a copy is no news");
    }
}
