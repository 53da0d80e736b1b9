//! Every record of the leader stays within the limits of the state service.
use super::*;
use crate::jobs::{FAILURES_CHUNK_TASKS, PROGRESS_CHUNK_TASKS};
use crate::leader::changes::{Changes, RecordContext};
use crate::limits::{StoreLimits, value_len};
use gorseshore_protocol::state::Write;
use serde_json::Value;

const LONG: JobId = JobId(1);
const FAILING: JobId = JobId(2);
const TASKS: u32 = 100_000;
const RECORD: &str = "g/h/host-000000";
const MACHINES: usize = 102;

/// The present and the planned limits of both sites, and the smallest ones worth a test, as
/// (bytes of a value, operations of a transaction).
const LIMITS: [(usize, usize); 5] = [(16_000, 24), (8000, 8), (4000, 8), (2000, 4), (1000, 3)];

fn limits((value_bytes, txn_ops): (usize, usize)) -> StoreLimits {
    StoreLimits { value_bytes, txn_ops, requests_per_s: 100.0, writes_per_s: 15.0 }
}

fn name(i: usize) -> MachineId {
    m(&format!("host-{i:06}"))
}

/// Machines, all in one record of 4 KiB as the previous version wrote it; an array of 100,000
/// tasks of which all but the last are done and the first eight of each full chunk are
/// recorded; a job of which 64 tasks (one chunk) have failed.
fn harness_with_long_records() -> Harness {
    let mut b = Harness::new(0);
    let machines: Vec<(MachineId, String)> =
        (0..MACHINES).map(|i| (name(i), format!("10.20.{i}.{i}:8000"))).collect();
    let list = machines.iter().map(|(id, addr)| (id, addr.as_str()));
    let record = crate::jobs::machines_value(("sedlo", "morava", false), list);
    let length = record.to_string().len();
    assert!((3500..4096).contains(&length), "{length}");
    b.state_replica.apply(RECORD, Some(&record), 1);
    let sizes = MachineSizes::from([("sedlo".into(), Resources::capacity(8.0, 0.0, 32.0))]);
    b.leader = Leader::new(context(), TERM, 50, &b.state_replica, &sizes, b.now, 1_000_000);
    b.add_job(LONG.0, 60, "t", "array", "standard", TASKS, 1.0);
    b.add_job(FAILING.0, 61, "t", "array", "standard", 100, 1.0);
    b.edit_job(FAILING.0, 62, |spec| spec.max_attempts = Some(9));
    for chunk in 0..TASKS / PROGRESS_CHUNK_TASKS {
        b.state_replica.apply(&keys::progress(LONG, chunk), Some(&json!("ff")), 63);
    }
    let long = b.leader.jobs.get_mut(&LONG).unwrap();
    for i in 0..TASKS - 1 {
        long.done.insert(i);
    }
    let failing = b.leader.jobs.get_mut(&FAILING).unwrap();
    for i in 0..FAILURES_CHUNK_TASKS {
        failing.failed_attempts.insert(i, Failures { count: 8, last_attempt: (700 << 28) + u64::from(i) });
    }
    b
}

fn changes(b: &Harness, write: &LeaderWrite, limits: &StoreLimits) -> Option<Changes> {
    let context = RecordContext {
        state_replica: &b.state_replica,
        limits,
        wall_ms: 1_700_000_000_000,
        may_create: &|_| true,
    };
    b.leader.changes(write, &context)
}

fn apply(state_replica: &mut StateReplica, changes: &Changes, revision: u64) {
    for write in &changes.writes {
        match write {
            Write::Put { key: put, value: v, .. } => state_replica.apply(put, Some(v), revision),
            Write::Remove { key: remove } => state_replica.apply(remove, None, revision),
        };
    }
}

fn check(case: &str, changes: &Changes, limits: &StoreLimits) {
    assert!(changes.writes.len() <= limits.txn_ops, "{case}: {} changes", changes.writes.len());
    // The condition on the leader's key is one more.
    assert!(changes.conditions.len() < limits.txn_conditions(), "{case}");
    assert!(changes.len() < 60_000, "{case}: {} bytes", changes.len());
    for write in &changes.writes {
        if let Write::Put { key: put, value: v, .. } = write {
            assert!(value_len(v) <= limits.value_bytes, "{case}: {put} takes {}", value_len(v));
        }
    }
}

#[test]
fn every_record_stays_within_the_limits() {
    for limit in LIMITS {
        let limits = limits(limit);
        let mut b = harness_with_long_records();
        // No machine is recorded, as after a large rental.
        b.leader.machines.values_mut().for_each(|m| (m.recorded, m.stage) = (false, Stage::Up));
        let listed = b.leader.due_writes(&b.state_replica, limits.value_bytes, b.now);
        let machines = listed.into_iter().find(|w| matches!(w, LeaderWrite::Machines(_))).unwrap();
        b.leader.deleted_machines.insert(name(3), (b.now, 0));
        let writes = [
            LeaderWrite::JobDone(LONG),
            machines,
            LeaderWrite::ScaleOutName("t0000000003-000000001".into()),
            LeaderWrite::Progress(LONG, 0),
            LeaderWrite::Progress(LONG, TASKS / PROGRESS_CHUNK_TASKS),
            LeaderWrite::FailureCounts(FAILING, 0),
            LeaderWrite::JobFailed(FAILING, 7),
            LeaderWrite::CancellationComplete(LONG),
            LeaderWrite::RemoveDeletedMachines(RECORD.into()),
        ];
        for write in &writes {
            let case = format!("{limit:?} {write:?}");
            if limit.0 == 1000 && matches!(write, LeaderWrite::RemoveDeletedMachines(_)) {
                // 102 machines need more than three records: the record stays unchanged.
                assert_eq!(changes(&b, write, &limits), None, "{case}");
                continue;
            }
            check(&case, &changes(&b, write, &limits).expect(&case), &limits);
        }
    }
}

#[test]
fn a_record_spread_over_keys_is_read_completely() {
    for limit in LIMITS {
        let limits = limits(limit);
        let mut b = harness_with_long_records();
        let listings = [LeaderWrite::Progress(LONG, 0), LeaderWrite::FailureCounts(FAILING, 0)];
        for (revision, write) in (70..).zip(&listings) {
            let changes = changes(&b, write, &limits).unwrap();
            // Applied in the order of the keys, and in that of the transaction.
            let mut sorted = changes.clone();
            sorted.writes.sort_by_key(|w| match w {
                Write::Put { key: put, .. } => put.clone(),
                Write::Remove { key: remove } => remove.clone(),
            });
            apply(&mut b.state_replica, &sorted, revision);
            apply(&mut b.state_replica, &changes, revision);
        }
        let long = &b.state_replica.jobs[&LONG];
        assert!((0..PROGRESS_CHUNK_TASKS).all(|i| long.done.contains(i)), "{limit:?}");
        assert!(
            !long.done.contains(PROGRESS_CHUNK_TASKS + 8) && long.done.contains(PROGRESS_CHUNK_TASKS + 7),
            "{limit:?}"
        );
        assert_eq!((long.progress_revisions[&0], long.progress_revisions[&1]), (70, 63), "{limit:?}");
        let failing = &b.state_replica.jobs[&FAILING];
        assert_eq!(failing.failures, b.leader.jobs[&FAILING].failed_attempts, "{limit:?}");
        assert_eq!(failing.failure_revisions[&0], 71, "{limit:?}");
        // The next write is on the condition of the version that was read.
        let again = changes(&b, &listings[0], &limits).unwrap();
        assert_eq!(again.conditions[0].revision, 70, "{limit:?}");
    }
}

/// The previous version parses the last part of a key as a number, whatever its spelling, and
/// adds the words at their positions.
#[test]
fn the_previous_version_reads_further_parts_of_progress() {
    let b = harness_with_long_records();
    let changes = changes(&b, &LeaderWrite::Progress(LONG, 0), &limits((2000, 4))).unwrap();
    assert_eq!(changes.writes.len(), 2);
    let mut done = TaskSet::default();
    for write in &changes.writes {
        let Write::Put { key: put, value: Value::String(text), .. } = write else { panic!("{write:?}") };
        let (id, chunk) = put.strip_prefix("g/p/").unwrap().split_once('/').unwrap();
        assert_eq!((JobId::parse(id), chunk.parse::<u32>()), (Some(LONG), Ok(0)));
        for (place, word) in text.split(',').enumerate().take(128) {
            let word = u64::from_str_radix(word, 16).unwrap_or(0);
            (0..64).filter(|bit| word >> bit & 1 == 1).for_each(|bit| {
                assert!(done.insert(place as u32 * 64 + bit));
            });
        }
    }
    assert_eq!(done.len(), PROGRESS_CHUNK_TASKS);
}

/// A record of the previous version is rewritten within the limits, over several keys, and no
/// machine is missing from the records during that or afterwards.
#[test]
fn a_long_record_of_machines_is_split() {
    for limit in [(4000, 8), (2000, 4)] {
        let limits = limits(limit);
        let mut b = harness_with_long_records();
        b.leader.deleted_machines.insert(name(3), (b.now, 0));
        let changes = changes(&b, &LeaderWrite::RemoveDeletedMachines(RECORD.into()), &limits).unwrap();
        let records = if limit.0 == 4000 { 1 } else { 3 };
        assert_eq!((changes.writes.len(), changes.conditions.len()), (records, records), "{limit:?}");
        for write in &changes.writes {
            let Write::Put { key: put, value: v, .. } = write else { panic!("{write:?}") };
            b.state_replica.apply(put, Some(v), 80);
            let known = b.state_replica.machines.len();
            assert!(known >= MACHINES - 1, "{limit:?}: {known} machines known after {put}");
        }
        assert!(!b.state_replica.machines.contains_key(&name(3)));
        assert_eq!(b.state_replica.machines.len(), MACHINES - 1);
        let writes = b.leader.due_writes(&b.state_replica, limits.value_bytes, b.now);
        assert!(
            !writes.iter().any(|w| matches!(w, LeaderWrite::RemoveDeletedMachines(_))),
            "{limit:?}: {writes:?}"
        );
    }
    // A key that exists, or that may not be created, is skipped for another.
    let mut b = harness_with_long_records();
    b.leader.deleted_machines.insert(name(3), (b.now, 0));
    let small = limits((2000, 4));
    let first = changes(&b, &LeaderWrite::RemoveDeletedMachines(RECORD.into()), &small).unwrap();
    let unavailable = first.conditions[1].key.clone();
    let free = |key: &str| key != unavailable;
    let context =
        RecordContext { state_replica: &b.state_replica, limits: &small, wall_ms: 0, may_create: &free };
    let second = b.leader.changes(&LeaderWrite::RemoveDeletedMachines(RECORD.into()), &context).unwrap();
    assert!(second.conditions.iter().all(|c| c.key != unavailable));
    assert_eq!(second.writes.len(), first.writes.len());
}

/// A job with more records than a transaction may change ends all the same; the remaining
/// records have no effect.
#[test]
fn a_job_with_many_records_ends() {
    let small = limits((2000, 4));
    let mut b = harness_with_long_records();
    let write = LeaderWrite::Progress(LONG, 0);
    let progress = changes(&b, &write, &small).unwrap();
    apply(&mut b.state_replica, &progress, 70);
    let end = changes(&b, &LeaderWrite::JobDone(LONG), &small).unwrap();
    assert_eq!(end.writes.len(), 4);
    apply(&mut b.state_replica, &end, 71);
    apply(&mut b.state_replica, &progress, 70);
    let job = &b.state_replica.jobs[&LONG];
    assert_eq!((job.phase, job.done.len(), job.further_part_keys.len()), (Phase::Done, 0, 0));
}
