use super::*;
use crate::books::{Entry, Page};
use gorseshore_protocol::ids::{Attempt, TaskId};

const CANCEL: Micros = Micros::secs(100);

/// Books with one task of the job on each machine; `starting`: it may not have arrived.
fn books(machines: usize, starting: bool) -> Book {
    let entry = |i: usize| Entry {
        attempt: Attempt(9),
        on: vec![MachineId::from(&*format!("m{i}"))],
        starting,
        done: false,
        handed: None,
    };
    let task = |i: usize| TaskId { job: JobId(1), index: i as u32 };
    let tasks = (0..machines).map(|i| (task(i), Some(entry(i)))).collect();
    Book::of(Page { term: 1, seq: 1, base: 0, tasks, unknown: Vec::new() }).unwrap()
}

fn report(host: &str) -> Report {
    serde_json::from_value(serde_json::json!({"host": host, "addr": "a", "build": "b", "yard": "z",
        "loaners": false, "shift": 1, "tally": 5, "baton": 7, "warning_s": null, "pieces": []}))
    .unwrap()
}

#[test]
fn what_does_not_prove_its_task_gone_is_deleted_within_the_budget() {
    // (machines with a task, of how many in all, starts may be on the way, all answer
    // without the task; deleted by then)
    let cases = [
        (1, 40, false, true, 0),
        (1, 40, true, true, 1),
        (1, 40, false, false, 1),
        (5, 40, false, false, 2),
        (5, 200, false, false, 5),
    ];
    for (i, (n, all, starting, answers, want)) in cases.into_iter().enumerate() {
        let book = books(n, starting);
        let cancelled = BTreeMap::from([(JobId(1), Micros::secs(1000))]);
        let mut d = Deputy::default();
        let mut deleted = BTreeMap::new();
        // Up to the first deletions, and a little: the budget is for 10 s.
        for ms in (0..68_000).step_by(100) {
            let now = Micros::secs(1000) + Micros::millis(ms);
            for act in d.tick(&book, &cancelled, CANCEL, all, now) {
                match act {
                    Act::Ask(ids) => {
                        assert!(ms >= 30_000, "case {i}: asked at {ms}");
                        for id in ids.iter().filter(|_| answers) {
                            assert!(d.answered(&report(id.as_str()), Vec::new()).is_none());
                        }
                    }
                    Act::Delete(ids) => {
                        assert!(ms >= 65_000, "case {i}: deleted at {ms}");
                        d.deleted(&ids);
                        ids.into_iter().for_each(|id| *deleted.entry(id).or_insert(0) += 1);
                    }
                }
            }
        }
        assert_eq!(deleted.len(), want, "case {i}: {deleted:?}");
        assert!(deleted.values().all(|n| *n == 1), "case {i}: {deleted:?}");
    }
}
