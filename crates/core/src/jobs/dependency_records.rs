//! Tests of the records of jobs with dependencies: they are written within the state
//! service's limits and can be read in any order.
use super::*;
use crate::limits::{StoreLimits, value_len};
use gorseshore_protocol::users::parse_submission;
use serde_json::json;

/// A submission with the given number of dependencies, whose ids start at 1,000,000.
fn submission(dependencies: usize) -> JobSpec {
    let names: Vec<String> = (0..dependencies).map(|i| JobId(1_000_000 + i as u64).to_string()).collect();
    let body = json!({"ref":"j-000412","lot":"t","crew":"v","manner":"array","rank":"high",
        "pieces":3,"cpus":1.5,"gpus":0,"memory_gb":2.1,"bundle":"i","image_gb":0.5,
        "same_place":false,"apart":false,"loaners":false,"guess_s":10,"mark_s":0,"stow_s":0,
        "due_s":60,"awaits":names});
    parse_submission(body.to_string().as_bytes()).unwrap()
}

fn limits(value_bytes: usize, txn_ops: usize) -> StoreLimits {
    StoreLimits { value_bytes, txn_ops, requests_per_s: 100.0, writes_per_s: 15.0 }
}

#[test]
fn dependencies_are_written_within_the_limits() {
    // (dependencies, maximum value bytes, maximum changes per transaction; number of keys
    // written, `None` if the limits are too small)
    let cases = [
        (0, 2000, 4, Some(1)),
        (3, 2000, 4, Some(1)),
        (150, 2000, 4, Some(1)),
        (500, 2000, 4, Some(4)),
        (630, 2000, 4, Some(4)),
        (900, 2000, 4, None),
        (5000, 16_000, 24, Some(4)),
        (5000, 2000, 4, None),
        (3, 100, 4, None),
    ];
    for (dependencies, value_bytes, txn_ops, keys) in cases {
        let limits = limits(value_bytes, txn_ops);
        let records = job_records(&submission(dependencies), 1_700_000_000_000, &limits);
        assert_eq!(records.as_ref().map(Vec::len), keys, "{dependencies} in {value_bytes}, {txn_ops}");
        for (key, value) in records.unwrap_or_default() {
            assert!(limits.fits(&value), "{key}: {}", value_len(&value));
        }
    }
}

#[test]
fn dependency_keys_can_be_read_in_any_order() {
    let spec = submission(500);
    let records = job_records(&spec, 77, &limits(2000, 4)).unwrap();
    let ends = |replica: &mut StateReplica, from: u64| {
        for id in from..1_000_500 {
            replica.apply(&keys::end(JobId(id)), Some(&json!({"end": "done", "at": 80})), 9);
        }
    };
    for first in 0..records.len() {
        let mut replica = StateReplica::default();
        let order = records.iter().cycle().skip(first).take(records.len());
        for (key, value) in order {
            replica.apply(key, Some(value), 5);
        }
        assert_eq!(replica.dependencies.dependencies(spec.id).len(), 500);
        ends(&mut replica, 1_000_001);
        assert!(!replica.dependencies.is_released(spec.id), "one dependency is not done");
        ends(&mut replica, 1_000_000);
        assert!(replica.dependencies.is_released(spec.id));
        assert_eq!(replica.released_ms(spec.id), 80);
        // While one of the dependency keys is missing, the job is not released.
        let mut replica = StateReplica::default();
        ends(&mut replica, 1_000_000);
        let without_one = records.iter().filter(|(key, _)| *key != records[first.max(1)].0);
        for (key, value) in without_one {
            replica.apply(key, Some(value), 5);
        }
        assert!(!replica.dependencies.is_released(spec.id), "a key is missing");
    }
}

/// State of the dependent job in a replica that applied the records: its phase, whether it
/// is fully stopped, and whether its own end is recorded.
fn dependent_state(records: &[(String, Value)]) -> (Phase, bool, bool) {
    let mut replica = StateReplica::default();
    for (revision, (key, value)) in records.iter().enumerate() {
        replica.apply(key, Some(value), 1 + revision as u64);
    }
    let job = &replica.jobs[&JobId(412)];
    (job.phase, job.fully_stopped, job.end_revision > 0)
}

#[test]
fn a_job_is_cancelled_by_the_records_of_its_dependencies() {
    let dependency = (keys::job(JobId(1_000_000)), job_value(&submission(0), 1));
    let job = (keys::job(JobId(412)), job_value(&submission(1), 2));
    let end = |id: u64, v: Value| (keys::end(JobId(id)), v);
    let aborted = |id| end(id, json!({"end": "aborted", "at": 3}));
    let done = |id| end(id, json!({"end": "done", "at": 3}));
    // (records in the order in which they are read; phase, fully stopped, end recorded)
    let cases = [
        (vec![dependency.clone(), job.clone()], (Phase::Active, false, false)),
        (vec![dependency.clone(), job.clone(), done(1_000_000)], (Phase::Active, false, false)),
        (vec![dependency.clone(), job.clone(), aborted(1_000_000)], (Phase::Cancelled, true, false)),
        (vec![dependency.clone(), aborted(1_000_000), job.clone()], (Phase::Cancelled, true, false)),
        // A listing holds the job before its dependency.
        (vec![job.clone(), dependency.clone(), aborted(1_000_000)], (Phase::Cancelled, true, false)),
        // The user cancels the job as well; none of its tasks was ever started.
        (vec![job.clone(), aborted(1_000_000), aborted(412)], (Phase::Cancelled, true, true)),
        (vec![job.clone(), aborted(412), aborted(1_000_000)], (Phase::Cancelled, false, true)),
        (vec![job.clone(), done(1_000_000), done(412)], (Phase::Done, false, true)),
    ];
    for (i, (records, expected)) in cases.into_iter().enumerate() {
        assert_eq!(dependent_state(&records), expected, "case {i}");
    }
}

/// Guards against a job that is never answered again: the row of a user's cancellation of a job that
/// was cancelled with its dependency before does not say that nothing of it is left.
#[test]
fn a_job_that_never_started_is_settled_by_any_end() {
    let mut replica = StateReplica::default();
    replica.apply(&keys::job(JobId(1_000_000)), Some(&job_value(&submission(0), 1)), 1);
    let record = job_value(&submission(1), 2);
    replica.apply(&keys::job(JobId(412)), Some(&record), 2);
    replica.apply(&keys::end(JobId(1_000_000)), Some(&json!({"end": "aborted", "at": 3, "gone": true})), 3);
    let end = json!({"end": "aborted", "at": 4});
    assert!(!replica.jobs[&JobId(412)].is_settled(), "its end is not recorded");
    replica.apply(&keys::end(JobId(412)), Some(&end), 4);
    assert!(replica.jobs[&JobId(412)].is_settled());
    replica.drop_settled(0, |_| false);
    assert!(replica.jobs.is_empty(), "{:?}", replica.jobs.keys());
    // As it is read again by key.
    replica.add_settled(JobId(412), Some((&record, 2)), (&end, 4));
    let job = &replica.jobs[&JobId(412)];
    assert!(job.is_settled() && job.tasks == 3 && job.phase == Phase::Cancelled);
}
