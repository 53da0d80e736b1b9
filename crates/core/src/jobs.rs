//! Job records, and the replica of the state service's records that every controller keeps.
use crate::dependencies::{DependencyGraph, Outcome};
use crate::limits::{StoreLimits, value_len};
use crate::placement_log::StandbyReplicas;
use gorseshore_protocol::ids::{JobId, MachineId, Resources};
use gorseshore_protocol::job::{JobSpec, Kind, Preference, Priority};
use gorseshore_protocol::workers::Report;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A job specification as it is stored. New fields get a default, so that records of
/// earlier versions still parse. Versions before 3 wrote an array of 17 positional
/// values, which [`JobSpecRecord::parse`] accepts as well.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct JobSpecRecord {
    #[serde(rename = "l")]
    class: String,
    #[serde(rename = "t")]
    team: String,
    #[serde(rename = "k")]
    kind: Kind,
    #[serde(rename = "r")]
    priority: Priority,
    #[serde(rename = "n")]
    tasks: u32,
    /// Thousandths of CPUs, GPUs and GB of memory.
    #[serde(rename = "u")]
    task_resources: [u64; 3],
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    zones: Option<Vec<String>>,
    #[serde(rename = "o", default, skip_serializing_if = "is_default")]
    one_zone: bool,
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    spread: bool,
    #[serde(rename = "s", default, skip_serializing_if = "is_default")]
    spot: bool,
    #[serde(rename = "i")]
    image: String,
    #[serde(rename = "ig", default, skip_serializing_if = "is_default")]
    image_gb: f64,
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    estimated_runtime_s: f64,
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    checkpoint_interval_s: f64,
    #[serde(rename = "w", default, skip_serializing_if = "is_default")]
    checkpoint_save_s: f64,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    deadline_s: Option<f64>,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    max_attempts: Option<u32>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    preferences: Vec<Preference>,
    /// Jobs that it replaces, followed, if it has dependencies, by its own id and its
    /// dependencies. Versions without support for dependencies delay a job until all of
    /// these jobs are over, so they never start a job that waits for itself.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    after: Vec<u64>,
    /// Number of ids at the end of `after` that are dependencies.
    #[serde(rename = "q", default, skip_serializing_if = "is_default")]
    dependencies: usize,
    /// Number of additional keys that hold dependencies (`keys::dependencies`).
    #[serde(rename = "qk", default, skip_serializing_if = "is_default")]
    dependency_keys: u32,
}

/// The job's own id if it has dependencies; its record lists it among the jobs that it
/// replaces.
fn own_id_if_dependent(s: &JobSpec) -> Option<&JobId> {
    (!s.dependencies.is_empty()).then_some(&s.id)
}

fn is_default<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

impl JobSpecRecord {
    fn from_spec(s: &JobSpec) -> Self {
        JobSpecRecord {
            class: s.class.clone(),
            team: s.team.clone(),
            kind: s.kind,
            priority: s.priority,
            tasks: s.tasks,
            task_resources: [s.task_resources.cpu, s.task_resources.gpu, s.task_resources.mem],
            machine_types: s.machine_types.clone(),
            zones: s.zones.clone(),
            one_zone: s.one_zone,
            spread: s.spread,
            spot: s.spot,
            image: s.image.clone(),
            image_gb: s.image_gb,
            estimated_runtime_s: s.estimated_runtime_s,
            checkpoint_interval_s: s.checkpoint_interval_s,
            checkpoint_save_s: s.checkpoint_save_s,
            deadline_s: s.deadline_s,
            max_attempts: s.max_attempts,
            preferences: s.preferences.clone(),
            after: s
                .replaces
                .iter()
                .chain(own_id_if_dependent(s))
                .chain(&s.dependencies)
                .map(|j| j.0)
                .collect(),
            dependencies: s.dependencies.len(),
            dependency_keys: 0,
        }
    }

    fn parse(v: &Value) -> Option<Self> {
        match v {
            Value::Array(row) => Self::from_row(row),
            _ => Self::deserialize(v).ok(),
        }
    }

    fn into_spec(self, id: JobId) -> JobSpec {
        let r = self;
        let mut after: Vec<JobId> = r.after.into_iter().map(JobId).collect();
        let dependencies = after.split_off(after.len().saturating_sub(r.dependencies));
        after.retain(|job| *job != id);
        JobSpec {
            id,
            class: r.class,
            team: r.team,
            kind: r.kind,
            priority: r.priority,
            tasks: r.tasks,
            task_resources: Resources {
                cpu: r.task_resources[0],
                gpu: r.task_resources[1],
                mem: r.task_resources[2],
            },
            machine_types: r.machine_types,
            zones: r.zones,
            one_zone: r.one_zone,
            spread: r.spread,
            spot: r.spot,
            image: r.image,
            image_gb: r.image_gb,
            estimated_runtime_s: r.estimated_runtime_s,
            checkpoint_interval_s: r.checkpoint_interval_s,
            checkpoint_save_s: r.checkpoint_save_s,
            deadline_s: r.deadline_s,
            max_attempts: r.max_attempts,
            preferences: r.preferences,
            replaces: after,
            dependencies,
        }
    }

    fn from_row(row: &[Value]) -> Option<Self> {
        fn at<'a, T: Deserialize<'a>>(row: &'a [Value], i: usize) -> Option<T> {
            T::deserialize(row.get(i)?).ok()
        }
        Some(JobSpecRecord {
            class: at(row, 0)?,
            team: at(row, 1)?,
            kind: at(row, 2)?,
            priority: at(row, 3)?,
            tasks: at(row, 4)?,
            task_resources: at(row, 5)?,
            machine_types: at(row, 6)?,
            zones: at::<Option<String>>(row, 7)?.map(|z| vec![z]),
            one_zone: at(row, 8)?,
            spread: at(row, 9)?,
            spot: at(row, 10)?,
            image: at(row, 11)?,
            image_gb: at(row, 12)?,
            estimated_runtime_s: at(row, 13)?,
            checkpoint_interval_s: at(row, 14)?,
            checkpoint_save_s: at(row, 15)?,
            deadline_s: at(row, 16)?,
            max_attempts: None,
            preferences: Vec::new(),
            after: Vec::new(),
            dependencies: 0,
            dependency_keys: 0,
        })
    }
}

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

/// A set of task indexes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}
impl TaskSet {
    /// Adds a task and returns whether it was new.
    pub fn insert(&mut self, i: u32) -> bool {
        let (w, b) = (i as usize / 64, i % 64);
        if self.words.len() <= w {
            self.words.resize(w + 1, 0);
        }
        let new = self.words[w] & (1 << b) == 0;
        self.words[w] |= 1 << b;
        self.count += new as u32;
        new
    }
    /// Whether task `i` is in the set.
    pub fn contains(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w & (1 << (i % 64)) != 0)
    }
    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }
    /// Whether the set has no tasks.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
    /// Number of tasks in the set whose index is below `n`.
    pub fn count_below(&self, n: u32) -> u32 {
        let word = n as usize / 64;
        let mask = (1u64 << (n % 64)) - 1;
        let not_below = self.words.get(word).map_or(0, |w| (w & !mask).count_ones())
            + self.words.iter().skip(word + 1).map(|w| w.count_ones()).sum::<u32>();
        self.count - not_below
    }
    /// Adds all tasks of `other`.
    pub fn union(&mut self, other: &TaskSet) {
        for (i, w) in other.words.iter().enumerate() {
            let mut w = *w;
            while w != 0 {
                self.insert(i as u32 * 64 + w.trailing_zeros());
                w &= w - 1;
            }
        }
    }
    /// Encodes the tasks of a chunk as comma-separated 64-bit words in hexadecimal,
    /// without trailing zero words.
    pub fn chunk_text(&self, chunk: u32) -> String {
        let from = (chunk * PROGRESS_CHUNK_TASKS / 64) as usize;
        let to = (from + PROGRESS_CHUNK_TASKS as usize / 64).min(self.words.len());
        let mut words = self.words.get(from.min(to)..to).unwrap_or(&[]);
        while let [rest @ .., 0] = words {
            words = rest;
        }
        words.iter().map(|w| format!("{w:x}")).collect::<Vec<_>>().join(",")
    }
    /// Adds the tasks of a chunk encoded by [`TaskSet::chunk_text`].
    pub fn add_chunk(&mut self, chunk: u32, text: &str) {
        for (i, part) in text.split(',').enumerate().take(PROGRESS_CHUNK_TASKS as usize / 64) {
            let mut w = u64::from_str_radix(part, 16).unwrap_or(0);
            while w != 0 {
                self.insert(chunk * PROGRESS_CHUNK_TASKS + i as u32 * 64 + w.trailing_zeros());
                w &= w - 1;
            }
        }
    }
}

/// Splits the text of a progress chunk into values of at most `max_bytes` bytes. Each
/// value keeps its words at their positions, with empty words for those of earlier parts.
pub fn split_progress_text(text: &str, max_bytes: usize) -> Vec<Value> {
    const QUOTES: usize = 2;
    const SEPARATOR: usize = 1;
    let mut parts = vec![String::new()];
    for (position, word) in text.split(',').enumerate() {
        let Some(part) = parts.last_mut() else { break };
        if position == 0 {
            part.push_str(word);
        } else if part.len() + SEPARATOR + word.len() + QUOTES <= max_bytes {
            part.push(',');
            part.push_str(word);
        } else {
            parts.push(",".repeat(position) + word);
        }
    }
    parts.into_iter().map(Value::from).collect()
}

/// Tasks in one progress record: at most 128 words of 17 bytes, 2.2 KB, split over
/// several values where one value is too small ([`split_progress_text`]).
pub const PROGRESS_CHUNK_TASKS: u32 = 8192;

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

/// Failed attempts of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Number of failed attempts.
    #[serde(rename = "n")]
    pub count: u32,
    /// The last attempt that was counted. An attempt counts once, however often and to
    /// whichever controller its failure is reported.
    #[serde(rename = "a")]
    pub last_attempt: u64,
}

/// Tasks in one failure record: at most 2.6 KB, split over several values where one
/// value is too small.
pub const FAILURES_CHUNK_TASKS: u32 = 64;

/// A recorded machine: tasks may be started on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Address of the machine's worker.
    #[serde(rename = "a")]
    pub addr: String,
}

impl MachineRecord {
    /// Creates the record of the machine that sent the report.
    pub fn from_report(r: &Report) -> Self {
        MachineRecord {
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            addr: r.addr.clone(),
        }
    }
    /// Whether the report shows the same machine type, zone and spot flag.
    pub fn matches_report(&self, r: &Report) -> bool {
        (&self.machine_type, &self.zone, self.spot) == (&r.machine_type, &r.zone, r.spot)
    }
}

/// Record of the current leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leading controller.
    pub node: String,
    /// Leader's term.
    pub term: u64,
    /// State service lease that the record is attached to.
    pub lease: u64,
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

/// Keys in the state service.
pub mod keys {
    use super::*;
    /// Key space of the extension.
    pub const EXTENSION_PREFIX: &str = "g/n/";
    /// Prefix of all keys.
    pub const ROOT_PREFIX: &str = "g/";
    /// The leader record.
    pub const LEADER: &str = "g/leader";
    /// The last term.
    pub const TERM: &str = "g/term";
    /// Which controllers hold replicas of the leader's placement log.
    pub const STANDBY_REPLICAS: &str = "g/books";
    /// Prefix of the records that hold several machines.
    pub const MACHINES_PREFIX: &str = "g/h/";
    /// Prefix of the jobs' records.
    pub const JOB_PREFIX: &str = "g/j/";
    /// Prefix of the records of jobs' ends.
    pub const END_PREFIX: &str = "g/x/";
    /// Prefix of dependencies that don't fit into their jobs' records.
    pub const DEPENDENCIES_PREFIX: &str = "g/d/";
    /// Prefix of the jobs' progress.
    pub const PROGRESS_PREFIX: &str = "g/p/";
    /// Prefix of the jobs' failures.
    pub const FAILURES_PREFIX: &str = "g/r/";
    /// Id of the last rental request.
    pub const LAST_RENTAL_REQUEST: &str = "g/hire";
    /// A job's record.
    pub fn job(id: JobId) -> String {
        format!("{JOB_PREFIX}{id}")
    }
    /// The record of a job's end.
    pub fn end(id: JobId) -> String {
        format!("{END_PREFIX}{id}")
    }
    /// A part of a job's dependencies that don't fit into its record.
    pub fn dependencies(id: JobId, part: u32) -> String {
        format!("{}{part}", all_dependencies(id))
    }
    /// Prefix of all parts of a job's dependencies.
    pub fn all_dependencies(id: JobId) -> String {
        format!("{DEPENDENCIES_PREFIX}{id}/")
    }
    /// A chunk of a job's progress.
    pub fn progress(id: JobId, chunk: u32) -> String {
        format!("{PROGRESS_PREFIX}{id}/{chunk}")
    }
    /// A chunk of a job's failures. Listings are sorted by key, and a job must be listed
    /// before its failures and those before its end: `r` sorts between `j` and `x`.
    pub fn failures(id: JobId, chunk: u32) -> String {
        format!("{FAILURES_PREFIX}{id}/{chunk}")
    }
    /// A part of a chunk's progress. The first part has the key [`progress`]; each further
    /// part prepends one more zero to the chunk number. Versions that expect one key per
    /// chunk parse this as the same number and merge the tasks of all parts.
    pub fn progress_part(id: JobId, chunk: u32, part: usize) -> String {
        format!("{PROGRESS_PREFIX}{id}/{}{chunk}", "0".repeat(part))
    }
    /// A part of a chunk's failures, named in the same way as [`progress_part`].
    pub fn failures_part(id: JobId, chunk: u32, part: usize) -> String {
        format!("{FAILURES_PREFIX}{id}/{}{chunk}", "0".repeat(part))
    }
    /// Whether a progress or failure key names a further part of a chunk.
    pub fn is_further_part(name: &str) -> bool {
        name.rsplit_once('/').is_some_and(|(_, chunk)| chunk.len() > 1 && chunk.starts_with('0'))
    }
    /// Parses job and chunk from a progress or failure key, of any part, without its prefix;
    /// also job and part from a key of further dependencies.
    pub fn parse_chunk(name: &str) -> Option<(JobId, u32)> {
        let (id, chunk) = name.split_once('/')?;
        Some((JobId::parse(id)?, chunk.parse().ok()?))
    }
    /// Messages from one controller to another that are relayed through the state service
    /// when no network path between the two is left.
    pub fn relayed_messages(to: &str, from: &str) -> String {
        format!("g/c/{to}/{from}")
    }
    /// A single machine, as versions before 2 recorded it; still read.
    pub fn machine(id: &MachineId) -> String {
        format!("g/m/{id}")
    }
    /// Machines of the same type, zone and spot flag in one record, keyed by the first one.
    pub fn machines(first: &MachineId) -> String {
        format!("{MACHINES_PREFIX}{first}")
    }
}

/// Value of a job's record.
pub fn job_value(spec: &JobSpec, submitted_ms: u64) -> Value {
    json!({"d": JobSpecRecord::from_spec(spec), "at": submitted_ms})
}

/// Value of the record of a cancelled job's end: the time, the cause if the service ended
/// the job, and whether none of its tasks is left on any machine.
pub fn cancelled_value(at_ms: u64, cause: Option<&str>, fully_stopped: bool) -> Value {
    let mut end = json!({"end": "aborted", "at": at_ms});
    if let Some(why) = cause {
        end["why"] = json!(why);
    }
    if fully_stopped {
        end["gone"] = json!(true);
    }
    end
}

/// The record of a job's end.
#[derive(Debug, Clone, PartialEq)]
pub struct JobEnd {
    /// Done or cancelled.
    pub phase: Phase,
    /// Wall-clock time of the end, in milliseconds.
    pub at_ms: u64,
    /// The job was cancelled and none of its tasks is left on any machine.
    pub fully_stopped: bool,
    /// Why the service ended the job, if it did.
    pub cause: Option<String>,
}

impl JobEnd {
    /// Parses the value of an end's record; one that is not `done` is a cancellation.
    pub fn parse(v: &Value) -> Self {
        JobEnd {
            phase: if v["end"] == "done" { Phase::Done } else { Phase::Cancelled },
            at_ms: v["at"].as_u64().unwrap_or(0),
            fully_stopped: v["gone"] == true,
            cause: v["why"].as_str().map(str::to_owned),
        }
    }

    /// Whether none of the job's tasks can be on a machine.
    pub fn is_settled(&self) -> bool {
        self.phase == Phase::Done || self.fully_stopped
    }
}

/// Bytes of a job's record reserved for the submission time and for the overhead that the
/// state service counts beside the text.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Builds the records of a job, its own first. Dependencies that don't fit there go into
/// further keys. `None` if the records exceed what one transaction may write.
pub fn job_records(spec: &JobSpec, submitted_ms: u64, limits: &StoreLimits) -> Option<Vec<(String, Value)>> {
    let max_bytes = limits.value_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
    let fits = |v: &Value| value_len(v) <= max_bytes;
    let whole = job_value(spec, submitted_ms);
    if fits(&whole) {
        return Some(vec![(keys::job(spec.id), whole)]);
    }
    let mut record = JobSpecRecord::from_spec(&JobSpec { dependencies: Vec::new(), ..spec.clone() });
    record.after.extend(own_id_if_dependent(spec).map(|id| id.0));
    let mut values: Vec<Value> = Vec::new();
    let mut rest = &spec.dependencies[..];
    while !rest.is_empty() {
        let (ids, remaining) = rest.split_at(count_ids_that_fit(rest, max_bytes));
        if ids.is_empty() || values.len() + 2 > limits.txn_ops {
            return None;
        }
        values.push(json!(ids.iter().map(|id| id.0).collect::<Vec<u64>>()));
        rest = remaining;
    }
    record.dependency_keys = values.len() as u32;
    let job_record = json!({"d": record, "at": submitted_ms});
    if !fits(&job_record) {
        return None;
    }
    let parts = values.into_iter().zip(0..).map(|(v, part)| (keys::dependencies(spec.id, part), v));
    Some(std::iter::once((keys::job(spec.id), job_record)).chain(parts).collect())
}

/// Number of leading ids that fit into a JSON array of at most `max_bytes` bytes.
fn count_ids_that_fit(ids: &[JobId], max_bytes: usize) -> usize {
    let mut length = 2;
    let fits = |id: &&JobId| {
        length += id.0.to_string().len() + 2;
        length <= max_bytes
    };
    ids.iter().take_while(fits).count()
}

/// Parses the job specification in a record that [`job_value`] built.
pub fn parse_job_spec(id: JobId, record: &Value) -> Option<JobSpec> {
    Some(JobSpecRecord::parse(&record["d"])?.into_spec(id))
}

/// Value of the record of machines of one `kind` (machine type, zone, spot flag), with the
/// name and worker address of each machine.
pub fn machines_value<'a>(
    kind: (&str, &str, bool),
    machines: impl Iterator<Item = (&'a MachineId, &'a str)>,
) -> Value {
    let list: Vec<[&str; 2]> = machines.map(|(id, addr)| [id.as_str(), addr]).collect();
    json!({"t": kind.0, "z": kind.1, "s": kind.2, "m": list})
}

/// Bytes of quotes, brackets and separators of a machine in a record of several machines,
/// as [`crate::limits::value_len`] counts them.
const MACHINE_ENTRY_OVERHEAD_BYTES: usize = 12;

/// Bytes that a machine takes in a record of several machines.
pub fn machine_entry_len(id: &MachineId, addr: &str) -> usize {
    id.as_str().len() + addr.len() + MACHINE_ENTRY_OVERHEAD_BYTES
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

/// Stored form of the record of several machines of one kind.
#[derive(Deserialize)]
struct MachineBatch {
    #[serde(rename = "t")]
    machine_type: String,
    #[serde(rename = "z")]
    zone: String,
    #[serde(rename = "s")]
    spot: bool,
    #[serde(rename = "m")]
    machines: Vec<(String, String)>,
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
