use super::*;
use crate::jobs::{Phase, cancelled_value, job_value};
use gorseshore_protocol::users::parse_submission;
use serde_json::json;
use std::collections::BTreeMap;

/// Rows of the state service, which answers with pages of at most `page_keys` keys.
struct Store {
    rows: BTreeMap<String, Value>,
    page_keys: usize,
    pages: usize,
}

impl Store {
    fn new(rows: Vec<(String, Value)>, page_keys: usize) -> Store {
        Store { rows: rows.into_iter().collect(), page_keys, pages: 0 }
    }

    fn page(&mut self, path: &str) -> Vec<u8> {
        self.pages += 1;
        let query = path.strip_prefix("/store?prefix=").unwrap();
        let (prefix, rest) = query.split_once("&limit=").unwrap();
        let (_, from) = rest.split_once("&from=").unwrap();
        let mut rows =
            self.rows.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from).peekable();
        let pairs: Vec<Value> = rows
            .by_ref()
            .take(self.page_keys)
            .map(|(k, v)| json!({"path": k, "v": v, "stamp": revision_of(k)}))
            .collect();
        json!({"pairs": pairs, "truncated": rows.peek().is_some(), "ledger": 900 + self.pages})
            .to_string()
            .into_bytes()
    }

    fn read(&mut self, retention: Retention) -> StateReplica {
        let mut listing = StateListing::new(retention, false);
        while let Some(path) = listing.next_path() {
            listing.page_received(self.page(&path)).unwrap();
            assert!(self.pages < 10_000, "{path}");
        }
        listing.finish()
    }
}

/// Ends have the revision of their job's number.
fn revision_of(key: &str) -> u64 {
    key.strip_prefix(keys::END_PREFIX).and_then(JobId::parse).map_or(5, |id| id.0)
}

fn record(id: u64, awaits: &[u64]) -> (String, Value) {
    let awaits: Vec<String> = awaits.iter().map(|id| JobId(*id).to_string()).collect();
    let body = json!({"ref": JobId(id).to_string(), "lot": "t", "crew": "v", "manner": "array",
        "rank": "high", "pieces": 3, "cpus": 1, "gpus": 0, "memory_gb": 1, "bundle": "i", "image_gb": 0.5,
        "same_place": false, "apart": false, "loaners": false, "guess_s": 10, "mark_s": 0, "stow_s": 0,
        "awaits": awaits});
    (keys::job(JobId(id)), job_value(&parse_submission(body.to_string().as_bytes()).unwrap(), 7))
}

fn end(id: u64, value: Value) -> (String, Value) {
    (keys::end(JobId(id)), value)
}

fn done() -> Value {
    json!({"end": "done", "at": 9})
}

fn ids(replica: &StateReplica) -> Vec<u64> {
    replica.jobs.keys().map(|id| id.0).collect()
}

/// Guards against jobs that are lost or kept when pages of records and ends don't line up.
#[test]
fn active_jobs_are_read_and_settled_ones_dropped_at_any_page_size() {
    let mut rows = vec![("g/leader".to_owned(), json!({"node": "n1", "term": 7, "lease": 1}))];
    for id in 1..=60 {
        rows.push(record(id, &[]));
        match id % 6 {
            // Active, with progress.
            0 => rows.push((keys::progress(JobId(id), 0), json!("1"))),
            // Cancelled, and its tasks may not be gone.
            1 => rows.push(end(id, cancelled_value(9, None, false))),
            2 => rows.push(end(id, cancelled_value(9, None, true))),
            _ => rows.extend([end(id, done()), (keys::progress(JobId(id), 0), json!("1"))]),
        }
    }
    rows.push((keys::TERM.into(), json!(7)));
    let expected: Vec<u64> = (1..=60).filter(|id| id % 6 < 2).collect();
    for page_keys in [1, 2, 3, 7, 50, 1000] {
        let mut store = Store::new(rows.clone(), page_keys);
        let replica = store.read(Retention::default());
        assert_eq!(ids(&replica), expected, "pages of {page_keys}");
        assert_eq!((replica.applied_revision, replica.term.0), (901, 7));
        assert_eq!(replica.leader.as_ref().map(|(l, _)| l.term), Some(7));
        for (id, job) in &replica.jobs {
            let (phase, done) = if id.0 % 6 == 0 { (Phase::Active, 1) } else { (Phase::Cancelled, 0) };
            assert_eq!((job.phase, job.done.len(), job.tasks), (phase, done, 3), "{id}");
        }
    }
    // A state that fits on a page takes one request.
    let mut store = Store::new(rows, 1000);
    store.read(Retention::default());
    assert_eq!(store.pages, 1);
}

/// Guards against ends that the rest of the process never hears of, and against answers that are
/// lost in an outage.
#[test]
fn known_and_recent_settled_jobs_are_kept() {
    let rows: Vec<_> = (1..=40).flat_map(|id| [record(id, &[]), end(id, done())]).collect();
    // (jobs known before, how many of the latest are kept; jobs held)
    let cases: [(&[u64], usize, Vec<u64>); 4] = [
        (&[], 0, vec![]),
        (&[], 3, vec![38, 39, 40]),
        (&[5, 9], 0, vec![5, 9]),
        (&[5, 40], 2, vec![5, 38, 39, 40]),
    ];
    for (known, latest, expected) in cases {
        for page_keys in [1, 7, 1000] {
            let known = known.iter().map(|id| JobId(*id)).collect();
            let replica =
                Store::new(rows.clone(), page_keys).read(Retention { known, internal: false, latest });
            assert_eq!(ids(&replica), expected, "{latest} latest, pages of {page_keys}");
            assert!(replica.jobs.values().all(|job| job.phase == Phase::Done && job.tasks == 3));
        }
    }
}

/// Guards against a job that waits for ever for one that ended before the read, and against one that
/// starts without its dependency.
#[test]
fn outcomes_of_dependencies_are_read_or_missing() {
    // Job 20 awaits an earlier and a later settled job, an active one and a cancelled one.
    let rows = vec![
        record(10, &[]),
        end(10, done()),
        record(20, &[10, 30, 40]),
        record(30, &[]),
        end(30, done()),
        record(40, &[]),
        record(50, &[30]),
        end(50, done()),
    ];
    for page_keys in [1, 7, 1000] {
        let mut replica = Store::new(rows.clone(), page_keys).read(Retention::default());
        // The later one is known to be needed when its end is met.
        assert_eq!(ids(&replica), [20, 30, 40], "pages of {page_keys}");
        assert_eq!(replica.missing_dependencies().collect::<Vec<_>>(), [JobId(10)]);
        assert_eq!(replica.missing_dependency_of(JobId(20)), Some(JobId(10)));
        let (key, value) = record(10, &[]);
        assert!(key.starts_with(keys::JOB_PREFIX));
        replica.add_settled(JobId(10), Some((&value, 5)), (&done(), 10));
        assert_eq!(replica.missing_dependency_of(JobId(20)), None);
        replica.apply(&keys::end(JobId(40)), Some(&done()), 950);
        assert!(replica.dependencies.is_released(JobId(20)));
        // They stay as long as the job that awaits them is active.
        replica.drop_settled(0, |_| false);
        assert_eq!(ids(&replica), [10, 20, 30, 40]);
        replica.apply(&keys::end(JobId(20)), Some(&done()), 960);
        replica.drop_settled(0, |_| false);
        assert!(replica.jobs.is_empty());
        assert!(replica.dependencies.is_empty(), "{:?}", replica.dependencies);
    }
}

/// Guards against further dependencies of past jobs that stay in memory, and those of active jobs
/// that are lost: they are listed before the records of their jobs.
#[test]
fn further_dependencies_are_read_for_active_jobs_only() {
    let (key, mut with_further) = record(20, &[]);
    with_further["d"]["x"] = json!([20]);
    with_further["d"]["qk"] = json!(2);
    let past = (keys::job(JobId(10)), with_further.clone());
    let rows = vec![
        (keys::dependencies(JobId(10), 0), json!([1])),
        (keys::dependencies(JobId(10), 1), json!([2])),
        (keys::dependencies(JobId(20), 0), json!([3])),
        (keys::dependencies(JobId(20), 1), json!([4])),
        past,
        end(10, done()),
        (key, with_further),
    ];
    for page_keys in [2, 7, 1000] {
        let replica = Store::new(rows.clone(), page_keys).read(Retention::default());
        assert_eq!(ids(&replica), [20]);
        assert_eq!(replica.dependencies.dependencies(JobId(20)), [JobId(3), JobId(4)]);
        assert!(!replica.lacks_dependencies(JobId(10)) && !replica.lacks_dependencies(JobId(20)));
    }
}

#[test]
fn an_invalid_page_can_be_requested_again() {
    let mut store = Store::new(vec![record(1, &[]), record(2, &[])], 1);
    let mut listing = StateListing::new(Retention::default(), false);
    while let Some(path) = listing.next_path() {
        assert!(listing.page_received(b"{\"pairs\":".to_vec()).is_err());
        assert_eq!(listing.next_path().as_ref(), Some(&path));
        listing.page_received(store.page(&path)).unwrap();
    }
    assert_eq!(ids(&listing.finish()), [1, 2]);
}
