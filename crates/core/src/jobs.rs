//! The replica of the state service's records that every controller keeps, and the jobs in it.
mod job_spec_record;
pub mod keys;
mod records;
mod task_set;

use crate::dependencies::{DependencyGraph, Outcome};
use crate::placement_log::StandbyReplicas;
use gorseshore_protocol::ids::{JobId, MachineId};
use gorseshore_protocol::job::{JobSpec, Kind};
use job_spec_record::JobSpecRecord;
use records::MachineBatch;
pub use records::{
    FAILURES_CHUNK_TASKS, Failures, JobEnd, LeaderRecord, MachineRecord, cancelled_value, job_records,
    job_value, machine_entry_len, machines_value, parse_job_spec,
};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
pub use task_set::{PROGRESS_CHUNK_TASKS, TaskSet, split_progress_text};

/// Phase of a job according to its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepted, neither done nor cancelled.
    Active,
    /// All tasks are done.
    Done,
    /// Cancelled by its user or through a dependency, or failed permanently.
    Cancelled,
}

/// A job according to its records.
#[derive(Debug, Clone)]
pub struct Job {
    /// Specification; `None` if the record was not read or can't be parsed.
    pub spec: Option<Rc<JobSpec>>,
    /// Revision of the job's record; 0 if only its end was read.
    pub revision: u64,
    /// Wall-clock time of the submission, in milliseconds.
    pub submitted_ms: u64,
    /// Phase according to the records read so far.
    pub phase: Phase,
    /// Wall-clock time of the end, in milliseconds.
    pub ended_ms: u64,
    /// Revision of the record of the end; 0 if no end is recorded.
    pub end_revision: u64,
    /// The job is cancelled and none of its tasks is left on any machine.
    pub fully_stopped: bool,
    /// Tasks recorded as done.
    pub done: TaskSet,
    /// Revisions of the progress records, by chunk.
    pub progress_revisions: BTreeMap<u32, u64>,
    /// Number of tasks.
    pub tasks: u32,
    /// The job is a service: its tasks run until it is cancelled.
    pub is_service: bool,
    /// Failed attempts by task, for jobs that limit their number.
    pub failures: BTreeMap<u32, Failures>,
    /// Revisions of the failure records, by chunk.
    pub failure_revisions: BTreeMap<u32, u64>,
    /// Keys of further parts of its progress and failure records.
    pub further_part_keys: BTreeSet<String>,
    /// Why the service ended the job, if it did.
    pub cause: Option<String>,
    /// Revision at which the job was settled or last read by key; `None` while it is not settled.
    last_used: Option<u64>,
}

/// What an applied change concerns.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A job's record, progress or end.
    Job {
        /// Job that the record belongs to.
        id: JobId,
        /// Dependents that are cancelled with the job, or the job itself where one of its
        /// dependencies is cancelled.
        cancelled: Vec<JobId>,
    },
    /// A key of the extension's key space.
    Extension,
    /// The leader record.
    Leader,
    /// A relayed message to the controller of this name.
    RelayedMessage(String),
    /// Any other key.
    Other,
}

/// A controller's replica of the records in the state service.
///
/// Invariant: every recorded job that is not settled ([`Job::is_settled`]) is held, as of
/// `applied_revision`. Of settled jobs only some are held, so a job that is missing here is
/// settled, was never accepted, or was accepted after `applied_revision`; its rows in the state
/// service tell which.
#[derive(Debug, Default)]
pub struct StateReplica {
    /// Recorded jobs: all that are not settled, and some of the others.
    pub jobs: BTreeMap<JobId, Job>,
    /// Recorded machines.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Machines that each machine record holds, and its revision, by key.
    pub machine_records: BTreeMap<String, (Vec<MachineId>, u64)>,
    /// The leader record and its revision.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The last term and its record's revision.
    pub term: (u64, u64),
    /// Holders of replicas of the leader's placement log, and the record's revision.
    pub standby_replicas: (StandbyReplicas, u64),
    /// Everything up to this revision is applied.
    pub applied_revision: u64,
    /// Entries of the extension's key space found in a listing; `None` without an extension.
    pub extension_entries: Option<Vec<(String, Value, u64)>>,
    /// Dependency graph of the recorded jobs.
    pub dependencies: DependencyGraph,
    /// Dependencies in further keys, where the job's record or another of these keys has
    /// not been read yet.
    dependency_parts: BTreeMap<JobId, DependencyParts>,
    /// Dependencies of active jobs that are not held: their outcome has to be read by key.
    missing_dependencies: BTreeSet<JobId>,
    /// Settled jobs that are held, by the revision at which each was last used.
    settled: BTreeSet<(u64, JobId)>,
}

/// Further dependency keys of a job that have been read.
#[derive(Debug, Default)]
struct DependencyParts {
    /// Number of these keys, once the job's record has been read.
    expected: Option<u32>,
    read: BTreeMap<u32, Vec<JobId>>,
}

impl StateReplica {
    /// Applies a change of one key; `value` is `None` if the key was removed.
    pub fn apply(&mut self, key: &str, value: Option<&Value>, revision: u64) -> Change {
        if key == keys::LEADER {
            self.leader = value.and_then(|v| LeaderRecord::deserialize(v).ok()).map(|r| (r, revision));
            return Change::Leader;
        }
        if key == keys::TERM {
            self.term = (value.and_then(Value::as_u64).unwrap_or(0), revision);
            return Change::Other;
        }
        if key == keys::STANDBY_REPLICAS {
            // An unreadable record counts as one without replicas.
            let record = value.and_then(|v| StandbyReplicas::deserialize(v).ok()).unwrap_or_default();
            self.standby_replicas = (record, revision);
            return Change::Other;
        }
        let Some(rest) = key.strip_prefix(keys::ROOT_PREFIX) else { return Change::Other };
        let Some((space, name)) = rest.split_once('/') else { return Change::Other };
        match space {
            "h" => {
                self.replace_machines(key, value.and_then(|v| MachineBatch::deserialize(v).ok()), revision);
                Change::Other
            }
            "m" => {
                let one = value.and_then(|v| MachineRecord::deserialize(v).ok()).map(|r| MachineBatch {
                    machine_type: r.machine_type,
                    zone: r.zone,
                    spot: r.spot,
                    machines: vec![(name.to_owned(), r.addr)],
                });
                self.replace_machines(key, one, revision);
                Change::Other
            }
            "j" => {
                let (Some(id), Some(v)) = (JobId::parse(name), value) else { return Change::Other };
                let record = JobSpecRecord::parse(&v["d"]);
                let keys = record.as_ref().map_or(0, |r| r.dependency_keys);
                let spec = record.map(|r| Rc::new(r.into_spec(id)));
                let job = self.jobs.entry(id).or_insert_with(Job::empty);
                job.revision = revision;
                job.submitted_ms = v["at"].as_u64().unwrap_or(0);
                job.tasks = spec.as_ref().map_or(0, |s| s.tasks);
                job.is_service = spec.as_ref().is_some_and(|s| s.kind == Kind::Service);
                job.spec = spec.clone();
                let ended = job.phase != Phase::Active;
                self.missing_dependencies.remove(&id);
                if ended {
                    // Its dependencies decide nothing any more.
                    self.dependency_parts.remove(&id);
                    return Change::Job { id, cancelled: Vec::new() };
                }
                let in_record = spec.as_ref().map_or(&[][..], |s| &s.dependencies);
                let mut cancelled = self.add_dependencies(id, in_record);
                if keys > 0 {
                    self.dependency_parts.entry(id).or_default().expected = Some(keys);
                    cancelled.extend(self.add_dependency_parts(id));
                }
                Change::Job { id, cancelled }
            }
            "d" => {
                let (Some((id, part)), Some(v)) = (keys::parse_chunk(name), value) else {
                    return Change::Other;
                };
                if self.jobs.get(&id).is_some_and(|job| job.phase != Phase::Active) {
                    return Change::Job { id, cancelled: Vec::new() };
                }
                let ids = Vec::<u64>::deserialize(v).unwrap_or_default();
                let parts = self.dependency_parts.entry(id).or_default();
                parts.read.insert(part, ids.into_iter().map(JobId).collect());
                let cancelled = self.add_dependency_parts(id);
                Change::Job { id, cancelled }
            }
            "x" => {
                let (Some(id), Some(v)) = (JobId::parse(name), value) else { return Change::Other };
                let end = JobEnd::parse(v);
                // A settled job that nothing here depends on is not needed.
                if end.is_settled() && !self.jobs.contains_key(&id) && !self.is_dependency(id) {
                    return Change::Other;
                }
                let cancelled = self.record_end(id, end, revision);
                Change::Job { id, cancelled }
            }
            "p" => {
                let Some((id, chunk)) = keys::parse_chunk(name) else { return Change::Other };
                if let (Some(v), Some(job)) = (value, self.jobs.get_mut(&id))
                    && job.phase == Phase::Active
                    && chunk < u32::MAX / PROGRESS_CHUNK_TASKS
                {
                    job.done.add_chunk(chunk, v.as_str().unwrap_or(""));
                    if keys::is_further_part(name) {
                        job.further_part_keys.insert(key.to_owned());
                    } else {
                        job.progress_revisions.insert(chunk, revision);
                    }
                }
                Change::Job { id, cancelled: Vec::new() }
            }
            "r" => {
                let Some((id, chunk)) = keys::parse_chunk(name) else { return Change::Other };
                if let (Some(v), Some(job)) = (value, self.jobs.get_mut(&id))
                    && job.phase == Phase::Active
                    && let Ok(failed) = BTreeMap::<u32, Failures>::deserialize(v)
                {
                    job.merge_failures(failed);
                    if keys::is_further_part(name) {
                        job.further_part_keys.insert(key.to_owned());
                    } else {
                        job.failure_revisions.insert(chunk, revision);
                    }
                }
                Change::Job { id, cancelled: Vec::new() }
            }
            "n" => {
                if let (Some(entries), Some(v)) = (self.extension_entries.as_mut(), value) {
                    entries.push((name.to_owned(), v.clone(), revision));
                }
                Change::Extension
            }
            "c" => match name.split_once('/') {
                Some((to, _)) => Change::RelayedMessage(to.to_owned()),
                None => Change::Other,
            },
            _ => Change::Other,
        }
    }
}

impl StateReplica {
    /// Stores the end of a job; returns the jobs that are cancelled with it.
    fn record_end(&mut self, id: JobId, end: JobEnd, revision: u64) -> Vec<JobId> {
        let job = self.jobs.entry(id).or_insert_with(Job::empty);
        // No task of a job that was cancelled with a dependency was ever started.
        let never_started = job.cancelled_by_dependency() && end.phase == Phase::Cancelled;
        job.phase = end.phase;
        job.ended_ms = end.at_ms;
        job.end_revision = revision;
        job.fully_stopped = end.fully_stopped || never_started;
        job.cause = end.cause;
        job.done = TaskSet::default();
        job.progress_revisions.clear();
        job.failures.clear();
        job.failure_revisions.clear();
        job.further_part_keys.clear();
        self.missing_dependencies.remove(&id);
        self.dependency_parts.remove(&id);
        self.mark_used(id, revision);
        self.propagate_end(id)
    }

    /// Notes that a job was of use at a revision, if it is settled.
    fn mark_used(&mut self, id: JobId, revision: u64) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_settled()) else { return };
        let last_used = job.last_used.map_or(revision, |earlier| earlier.max(revision));
        if let Some(earlier) = job.last_used.replace(last_used) {
            self.settled.remove(&(earlier, id));
        }
        self.settled.insert((last_used, id));
    }

    /// Whether an active job names this one as its dependency.
    pub fn is_dependency(&self, id: JobId) -> bool {
        let dependents = self.dependencies.dependents(id);
        dependents.iter().any(|d| self.jobs.get(d).is_some_and(|job| job.phase == Phase::Active))
    }

    /// Dependencies of active jobs that are not held here.
    pub fn missing_dependencies(&self) -> impl Iterator<Item = JobId> + '_ {
        self.missing_dependencies.iter().copied()
    }

    /// A dependency, direct or through other jobs, that an active job has and that is not held: it
    /// may have been cancelled, and this job with it.
    pub fn missing_dependency_of(&self, id: JobId) -> Option<JobId> {
        if self.missing_dependencies.is_empty() {
            return None;
        }
        let mut seen = BTreeSet::new();
        let mut queue = vec![id];
        while let Some(next) = queue.pop() {
            if self.jobs.get(&next).is_none_or(|job| job.phase != Phase::Active) || !seen.insert(next) {
                continue;
            }
            let dependencies = self.dependencies.dependencies(next);
            if let Some(missing) = dependencies.iter().find(|d| self.missing_dependencies.contains(d)) {
                return Some(*missing);
            }
            queue.extend(dependencies);
        }
        None
    }

    /// Adds a settled job that was read by key: its record and its end. Returns what changed.
    pub fn add_settled(&mut self, id: JobId, record: Option<(&Value, u64)>, end: (&Value, u64)) -> Change {
        let mut settled = JobEnd::parse(end.0);
        settled.fully_stopped = settled.phase == Phase::Cancelled;
        let cancelled = self.record_end(id, settled, end.1);
        if let Some((value, revision)) = record {
            self.apply(&keys::job(id), Some(value), revision);
        }
        self.mark_used(id, self.applied_revision);
        Change::Job { id, cancelled }
    }

    /// Number of settled jobs that are held.
    pub fn settled_count(&self) -> usize {
        self.settled.len()
    }

    /// Whether some of the records that name the job's dependencies were not read yet.
    pub fn lacks_dependencies(&self, id: JobId) -> bool {
        self.dependency_parts.contains_key(&id)
    }

    /// Drops settled jobs that are neither `in_use` nor named as a dependency by an active job,
    /// except for the `capacity` that were used last. Returns the revision at which the first of
    /// these was used, if there are as many.
    pub fn drop_settled(&mut self, capacity: usize, in_use: impl Fn(JobId) -> bool) -> Option<u64> {
        let missing = std::mem::take(&mut self.missing_dependencies);
        self.missing_dependencies = missing.into_iter().filter(|id| self.is_dependency(*id)).collect();
        if self.settled.len() < capacity {
            return None;
        }
        let unused = |(_, id): &&(u64, JobId)| !in_use(*id) && !self.is_dependency(*id);
        let unused: Vec<(u64, JobId)> = self.settled.iter().filter(unused).copied().collect();
        let excess = unused.len().saturating_sub(capacity);
        for (last_used, id) in &unused[..excess] {
            self.jobs.remove(id);
            self.settled.remove(&(*last_used, *id));
            self.dependencies.remove(*id);
        }
        (unused.len() >= capacity).then(|| unused.get(excess).map(|(last_used, _)| *last_used)).flatten()
    }

    /// Adds dependencies of a job whose record has been read; returns the jobs that this
    /// cancels.
    fn add_dependencies(&mut self, id: JobId, dependencies: &[JobId]) -> Vec<JobId> {
        let missing = dependencies.iter().filter(|d| !self.jobs.contains_key(d));
        self.missing_dependencies.extend(missing);
        let jobs = &self.jobs;
        let outcome_of = |id: JobId| jobs.get(&id).map_or(Outcome::Open, |j| j.phase.outcome());
        let cancelled = self.dependencies.add(id, dependencies, outcome_of);
        let ends = dependencies.iter().filter_map(|d| jobs.get(d)).filter(|j| j.phase == Phase::Cancelled);
        let at_ms = ends.map(|j| j.ended_ms).max().unwrap_or(0);
        self.cancel_dependents(&cancelled, at_ms);
        cancelled
    }

    /// Adds a job's dependencies from its further keys, once its record and all of these
    /// keys have been read; returns the jobs that this cancels.
    fn add_dependency_parts(&mut self, id: JobId) -> Vec<JobId> {
        let Some(parts) = self.dependency_parts.get(&id) else { return Vec::new() };
        let Some(expected) = parts.expected else { return Vec::new() };
        if (0..expected).any(|part| !parts.read.contains_key(&part)) {
            self.dependencies.set_incomplete(id, true);
            return Vec::new();
        }
        let parts = self.dependency_parts.remove(&id).unwrap_or_default();
        self.dependencies.set_incomplete(id, false);
        let all: Vec<JobId> = parts.read.into_values().flatten().collect();
        self.add_dependencies(id, &all)
    }

    /// Propagates the recorded end of a job to its dependents; returns the jobs that are
    /// cancelled with it.
    fn propagate_end(&mut self, id: JobId) -> Vec<JobId> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let (outcome, at_ms) = (job.phase.outcome(), job.ended_ms);
        let cancelled = self.dependencies.record_outcome(id, outcome);
        self.cancel_dependents(&cancelled, at_ms);
        cancelled
    }

    /// Cancels jobs together with one of their dependencies. None of their tasks was ever
    /// started, so there is nothing to stop and no controller or worker to notify first.
    fn cancel_dependents(&mut self, jobs: &[JobId], at_ms: u64) {
        for id in jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.phase = Phase::Cancelled;
            job.ended_ms = at_ms;
            job.fully_stopped = true;
        }
    }

    /// Wall-clock time at which the last of the job's dependencies ended, in milliseconds;
    /// its own submission time if it has none or was submitted later.
    pub fn released_ms(&self, id: JobId) -> u64 {
        let submitted = self.jobs.get(&id).map_or(0, |j| j.submitted_ms);
        let ends = self.dependencies.dependencies(id).iter().filter_map(|d| self.jobs.get(d));
        ends.map(|j| j.ended_ms).fold(submitted, u64::max)
    }

    /// Replaces the machines that a key held by those that it holds now.
    fn replace_machines(&mut self, key: &str, batch: Option<MachineBatch>, revision: u64) {
        let (old, _) = self.machine_records.remove(key).unwrap_or_default();
        let mut ids = Vec::new();
        if let Some(b) = batch {
            for (name, addr) in b.machines {
                let id = MachineId::from(&*name);
                let (machine_type, zone) = (b.machine_type.clone(), b.zone.clone());
                self.machines.insert(id.clone(), MachineRecord { machine_type, zone, spot: b.spot, addr });
                ids.push(id);
            }
            self.machine_records.insert(key.to_owned(), (ids.clone(), revision));
        }
        // A write whose response was lost may have been retried under another
        // key, so a machine is removed only when no key holds it.
        for id in old.into_iter().filter(|id| !ids.contains(id)) {
            if !self.machine_records.values().any(|(v, _)| v.contains(&id)) {
                self.machines.remove(&id);
            }
        }
    }
}

impl Phase {
    fn outcome(self) -> Outcome {
        match self {
            Phase::Active => Outcome::Open,
            Phase::Done => Outcome::Done,
            Phase::Cancelled => Outcome::Cancelled,
        }
    }
}

impl Job {
    /// Whether the job was cancelled with a dependency and has no recorded end of its own.
    pub fn cancelled_by_dependency(&self) -> bool {
        self.phase == Phase::Cancelled && self.end_revision == 0
    }

    /// Whether the job's end is recorded and none of its tasks can be on a machine: nothing needs
    /// to be done about it any more.
    pub fn is_settled(&self) -> bool {
        self.end_revision > 0
            && match self.phase {
                Phase::Active => false,
                Phase::Done => true,
                Phase::Cancelled => self.fully_stopped,
            }
    }

    /// Whether the job was cancelled and its tasks may not be gone.
    pub fn is_stopping(&self) -> bool {
        self.phase == Phase::Cancelled && !self.fully_stopped
    }

    /// Merges recorded failures. A part may be older than another one that holds the same
    /// task: the entry with the later attempt counts.
    fn merge_failures(&mut self, failures: BTreeMap<u32, Failures>) {
        for (index, failure) in failures {
            let known = self.failures.entry(index).or_default();
            if failure.last_attempt >= known.last_attempt {
                *known = failure;
            }
        }
    }

    fn empty() -> Self {
        Job {
            spec: None,
            revision: 0,
            submitted_ms: 0,
            phase: Phase::Active,
            ended_ms: 0,
            end_revision: 0,
            fully_stopped: false,
            done: TaskSet::default(),
            progress_revisions: BTreeMap::new(),
            tasks: 0,
            is_service: false,
            failures: BTreeMap::new(),
            failure_revisions: BTreeMap::new(),
            further_part_keys: BTreeSet::new(),
            cause: None,
            last_used: None,
        }
    }
}

#[cfg(test)]
mod dependency_records;

#[cfg(test)]
mod tests {
    use super::*;
    use gorseshore_protocol::job::Priority;
    use serde_json::json;

    #[test]
    fn progress_chunks_round_trip_within_2300_bytes() {
        for set in [vec![], vec![0], vec![63, 64, 8191], vec![8192, 99_999], (0..100_000).collect()] {
            let mut s = TaskSet::default();
            set.iter().for_each(|i| assert!(s.insert(*i)));
            let mut decoded = TaskSet::default();
            for c in 0..13 {
                let text = s.chunk_text(c);
                assert!(text.len() <= 2300, "{}", text.len());
                decoded.add_chunk(c, &text);
            }
            assert_eq!(decoded.len(), set.len() as u32);
            for n in [0, 1, 63, 64, 65, 8192, 50_000, 100_000] {
                assert_eq!(decoded.count_below(n), set.iter().filter(|i| **i < n).count() as u32, "{n}");
            }
            assert!(set.iter().all(|i| decoded.contains(*i)));
        }
    }

    #[test]
    fn a_machine_is_removed_when_no_key_holds_it() {
        let batch = |names: &[&str]| {
            let ids: Vec<MachineId> = names.iter().map(|n| MachineId::from(*n)).collect();
            machines_value(("big", "east", true), ids.iter().map(|id| (id, "addr")))
        };
        let mut replica = StateReplica::default();
        // (key, its new value, machines known afterwards)
        let steps: [(&str, Option<Value>, &[&str]); 7] = [
            ("g/h/a", Some(batch(&["a", "b"])), &["a", "b"]),
            ("g/m/old", Some(json!({"t":"big","z":"east","s":false,"a":"x"})), &["a", "b", "old"]),
            // Retried together with another machine after the response was lost.
            ("g/h/b", Some(batch(&["b", "c"])), &["a", "b", "c", "old"]),
            ("g/h/a", Some(batch(&["a"])), &["a", "b", "c", "old"]),
            ("g/h/b", Some(batch(&["c"])), &["a", "c", "old"]),
            ("g/m/old", None, &["a", "c"]),
            ("g/h/a", None, &["c"]),
        ];
        for (key, value, known) in steps {
            replica.apply(key, value.as_ref(), 1);
            let names: Vec<&str> = replica.machines.keys().map(|id| id.as_str()).collect();
            assert_eq!(names, known, "{key}");
        }
        assert_eq!(replica.machines[&MachineId::from("c")].addr, "addr");
    }

    /// A controller that reads the state service from the start gets the keys in sorted
    /// order. A simulated cluster with Nomad jobs once made no progress because its leader
    /// had lost the recorded failures this way.
    #[test]
    fn a_listing_sorted_by_key_is_read_completely() {
        let spec = r#"{"l":"l","t":"t","k":"array","r":"high","n":3,"u":[1000,0,500],"i":"i","f":4}"#;
        let record = json!({"d": serde_json::from_str::<Value>(spec).unwrap(), "at": 1});
        let id = JobId(7);
        let mut keys = [
            (keys::failures(id, 0), json!({"2": {"n": 3, "a": 99}})),
            (keys::job(id), record),
            (keys::progress(id, 0), json!("1")),
        ];
        keys.sort_by(|a, b| a.0.cmp(&b.0));
        let mut replica = StateReplica::default();
        for (i, (k, v)) in keys.iter().enumerate() {
            replica.apply(k, Some(v), 10 + i as u64);
        }
        let j = &replica.jobs[&id];
        assert_eq!((j.tasks, j.done.len()), (3, 1));
        assert_eq!(j.failures.get(&2), Some(&Failures { count: 3, last_attempt: 99 }));
        assert!(j.failure_revisions.contains_key(&0) && j.progress_revisions.contains_key(&0));
    }

    #[test]
    fn a_recorded_end_is_final() {
        let mut replica = StateReplica::default();
        replica.apply("g/x/j-000001", Some(&json!({"end":"aborted"})), 5);
        replica.apply("g/p/j-000001/0", Some(&json!("1")), 6);
        let j = &replica.jobs[&JobId(1)];
        assert_eq!((j.phase, j.done.len()), (Phase::Cancelled, 0));
    }

    #[test]
    fn records_of_earlier_versions_are_read() {
        // As version 2 wrote them.
        let rows = [
            (
                r#"["t","v","standing","prod",3,[1500,0,2100],["g8"],"a",false,true,false,"i",0.5,0.0,0.0,0.0,null]"#,
                (Kind::Service, Priority::Production, 3, Some(vec!["a".to_owned()]), None),
            ),
            (
                r#"["t","v","array","idle",65,[4000,1000,5300],null,null,true,false,true,"img-07",1.5,30.0,15.0,2.0,900.0]"#,
                (Kind::Array, Priority::Low, 65, None, Some(900.0)),
            ),
        ];
        for (row, expected) in rows {
            let mut replica = StateReplica::default();
            let v = json!({"d": serde_json::from_str::<Value>(row).unwrap(), "at": 77});
            replica.apply("g/j/j-000412", Some(&v), 9);
            let s = replica.jobs[&JobId(412)].spec.clone().expect(row);
            assert_eq!((s.kind, s.priority, s.tasks, s.zones.clone(), s.deadline_s), expected, "{row}");
            // Writing it in the current format preserves the specification.
            let rewritten = job_value(&s, 77);
            assert_eq!(parse_job_spec(JobId(412), &rewritten).as_ref(), Some(&*s), "{row}");
        }
        for broken in ["[]", r#"["t","v","array"]"#, "{}", "7"] {
            let record = json!({"d": serde_json::from_str::<Value>(broken).unwrap()});
            assert_eq!(parse_job_spec(JobId(1), &record), None);
        }
    }

    #[test]
    fn a_job_record_round_trips() {
        let body = br#"{"ref":"j-000412","lot":"t","crew":"v","manner":"standing","rank":"prod",
            "pieces":3,"cpus":1.5,"gpus":0,"memory_gb":2.1,"bundle":"i","image_gb":0.5,
            "builds":["g8"],"yard":"a","same_place":false,"apart":true,"loaners":false,
            "guess_s":0,"mark_s":0,"stow_s":0,"due_s":null}"#;
        let spec = gorseshore_protocol::users::parse_submission(body).unwrap();
        let mut replica = StateReplica::default();
        replica.apply("g/j/j-000412", Some(&job_value(&spec, 77)), 9);
        let j = &replica.jobs[&JobId(412)];
        assert_eq!((j.spec.as_deref(), j.submitted_ms, j.tasks), (Some(&spec), 77, 3));
    }
}
