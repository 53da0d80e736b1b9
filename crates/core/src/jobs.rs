//! Jobs, and the mirror of the state service that every controller keeps.
use crate::dependencies::{DependencyGraph, Outcome};
use crate::limits::{StoreLimits, value_len};
use crate::placement_log::StandbyReplicas;
use gorseshore_protocol::ids::{JobId, MachineId, Resources};
use gorseshore_protocol::job::{JobSpec, Kind, Preference, Rank};
use gorseshore_protocol::workers::Report;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A job's description as it is stored. New fields get a default, so that
/// records of versions before still read; versions before 3 wrote a row of 17
/// places, which [`DescriptionRecord::read`] takes as well.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct DescriptionRecord {
    #[serde(rename = "l")]
    class: String,
    #[serde(rename = "t")]
    team: String,
    #[serde(rename = "k")]
    kind: Kind,
    #[serde(rename = "r")]
    rank: Rank,
    #[serde(rename = "n")]
    tasks: u32,
    /// Thousandths of CPUs, GPUs and GB.
    #[serde(rename = "u")]
    need: [u64; 3],
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    types: Option<Vec<String>>,
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
    estimate_s: f64,
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    checkpoint_s: f64,
    #[serde(rename = "w", default, skip_serializing_if = "is_default")]
    save_s: f64,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    deadline_s: Option<f64>,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    attempts: Option<u32>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    prefer: Vec<Preference>,
    /// Jobs that it replaces; if it depends on others, its own id, and jobs that it
    /// depends on. Versions without dependencies hold a job back until all of these are
    /// over, and so never start one that waits for itself.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    after: Vec<u64>,
    /// How many of `after`, at its end, are dependencies.
    #[serde(rename = "q", default, skip_serializing_if = "is_default")]
    dependencies: usize,
    /// Number of further keys with dependencies (`keys::dependencies`).
    #[serde(rename = "qk", default, skip_serializing_if = "is_default")]
    dependency_keys: u32,
}

/// Stands in the record of a job that depends on others, among the jobs that it replaces.
fn own_id(s: &JobSpec) -> Option<&JobId> {
    (!s.dependencies.is_empty()).then_some(&s.id)
}

fn is_default<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

impl DescriptionRecord {
    fn of(s: &JobSpec) -> Self {
        DescriptionRecord {
            class: s.class.clone(),
            team: s.team.clone(),
            kind: s.kind,
            rank: s.rank,
            tasks: s.tasks,
            need: [s.need.cpu, s.need.gpu, s.need.mem],
            types: s.types.clone(),
            zones: s.zones.clone(),
            one_zone: s.one_zone,
            spread: s.spread,
            spot: s.spot,
            image: s.image.clone(),
            image_gb: s.image_gb,
            estimate_s: s.estimate_s,
            checkpoint_s: s.checkpoint_s,
            save_s: s.save_s,
            deadline_s: s.deadline_s,
            attempts: s.attempts,
            prefer: s.prefer.clone(),
            after: s.after.iter().chain(own_id(s)).chain(&s.dependencies).map(|j| j.0).collect(),
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
            rank: r.rank,
            tasks: r.tasks,
            need: Resources { cpu: r.need[0], gpu: r.need[1], mem: r.need[2] },
            types: r.types,
            zones: r.zones,
            one_zone: r.one_zone,
            spread: r.spread,
            spot: r.spot,
            image: r.image,
            image_gb: r.image_gb,
            estimate_s: r.estimate_s,
            checkpoint_s: r.checkpoint_s,
            save_s: r.save_s,
            deadline_s: r.deadline_s,
            attempts: r.attempts,
            prefer: r.prefer,
            after,
            dependencies,
        }
    }

    fn from_row(row: &[Value]) -> Option<Self> {
        fn at<'a, T: Deserialize<'a>>(row: &'a [Value], i: usize) -> Option<T> {
            T::deserialize(row.get(i)?).ok()
        }
        Some(DescriptionRecord {
            class: at(row, 0)?,
            team: at(row, 1)?,
            kind: at(row, 2)?,
            rank: at(row, 3)?,
            tasks: at(row, 4)?,
            need: at(row, 5)?,
            types: at(row, 6)?,
            zones: at::<Option<String>>(row, 7)?.map(|z| vec![z]),
            one_zone: at(row, 8)?,
            spread: at(row, 9)?,
            spot: at(row, 10)?,
            image: at(row, 11)?,
            image_gb: at(row, 12)?,
            estimate_s: at(row, 13)?,
            checkpoint_s: at(row, 14)?,
            save_s: at(row, 15)?,
            deadline_s: at(row, 16)?,
            attempts: None,
            prefer: Vec::new(),
            after: Vec::new(),
            dependencies: 0,
            dependency_keys: 0,
        })
    }
}

/// Where a job stands according to its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepted, neither done nor cancelled.
    Active,
    /// All tasks are done.
    Done,
    /// Cancelled.
    Aborted,
}

/// A set of task numbers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}
impl TaskSet {
    /// Adds; true if it was new.
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
    /// Whether it holds `i`.
    pub fn contains(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w & (1 << (i % 64)) != 0)
    }
    /// How many it holds.
    pub fn len(&self) -> u32 {
        self.count
    }
    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
    /// How many below `n` it holds.
    pub fn below(&self, n: u32) -> u32 {
        let at = n as usize / 64;
        let mask = (1u64 << (n % 64)) - 1;
        let beyond = self.words.get(at).map_or(0, |w| (w & !mask).count_ones())
            + self.words.iter().skip(at + 1).map(|w| w.count_ones()).sum::<u32>();
        self.count - beyond
    }
    /// Adds all of `other`.
    pub fn union(&mut self, other: &TaskSet) {
        for (i, w) in other.words.iter().enumerate() {
            let mut w = *w;
            while w != 0 {
                self.insert(i as u32 * 64 + w.trailing_zeros());
                w &= w - 1;
            }
        }
    }
    /// The part of a chunk as text: words in hexadecimal.
    pub fn chunk_text(&self, chunk: u32) -> String {
        let from = (chunk * CHUNK / 64) as usize;
        let to = (from + CHUNK as usize / 64).min(self.words.len());
        let mut words = self.words.get(from.min(to)..to).unwrap_or(&[]);
        while let [rest @ .., 0] = words {
            words = rest;
        }
        words.iter().map(|w| format!("{w:x}")).collect::<Vec<_>>().join(",")
    }
    /// Adds the tasks of a chunk's text.
    pub fn add_chunk(&mut self, chunk: u32, text: &str) {
        for (i, part) in text.split(',').enumerate().take(CHUNK as usize / 64) {
            let mut w = u64::from_str_radix(part, 16).unwrap_or(0);
            while w != 0 {
                self.insert(chunk * CHUNK + i as u32 * 64 + w.trailing_zeros());
                w &= w - 1;
            }
        }
    }
}

/// A chunk's text in values of at most `room` bytes: each holds words of the
/// text in their places, with empty words for those of the parts before it.
pub fn split_words(text: &str, room: usize) -> Vec<Value> {
    const QUOTES: usize = 2;
    const SEPARATOR: usize = 1;
    let mut parts = vec![String::new()];
    for (place, word) in text.split(',').enumerate() {
        let Some(part) = parts.last_mut() else { break };
        if place == 0 {
            part.push_str(word);
        } else if part.len() + SEPARATOR + word.len() + QUOTES <= room {
            part.push(',');
            part.push_str(word);
        } else {
            parts.push(",".repeat(place) + word);
        }
    }
    parts.into_iter().map(Value::from).collect()
}

/// Tasks in one progress record: at most 128 words of 17 bytes, 2.2 KB, spread
/// over several values where one doesn't hold them ([`split_words`]).
pub const CHUNK: u32 = 8192;

/// A job as recorded.
#[derive(Debug, Clone)]
pub struct Job {
    /// Description; dropped some time after the job is over.
    pub spec: Option<Rc<JobSpec>>,
    /// Revision of the job's record.
    pub stamp: u64,
    /// Time of day of the submission, in milliseconds.
    pub submitted_ms: u64,
    /// State.
    pub phase: Phase,
    /// Time of day of the end, in milliseconds.
    pub ended_ms: u64,
    /// Version of the record of the end.
    pub end_stamp: u64,
    /// Cancelled, and nothing of it is left on any machine.
    pub settled: bool,
    /// Tasks recorded as done.
    pub done: TaskSet,
    /// Versions of the progress records.
    pub chunks: BTreeMap<u32, u64>,
    /// Number of tasks.
    pub tasks: u32,
    /// Its tasks run until it is cancelled.
    pub service: bool,
    /// Failed attempts of tasks whose number is bounded: how many, and the last
    /// one that counted.
    pub failed: BTreeMap<u32, Failures>,
    /// Versions of the records of failures.
    pub failed_stamps: BTreeMap<u32, u64>,
    /// Keys of further parts of its progress and failures.
    pub further_parts: BTreeSet<String>,
    /// Why it was ended by the service.
    pub cause: Option<String>,
}

/// How often a task has failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Number of attempts.
    #[serde(rename = "n")]
    pub count: u32,
    /// The last attempt that counted: one report of it counts once, however
    /// often and to whomever it comes.
    #[serde(rename = "a")]
    pub last: u64,
}

/// Tasks in one record of failures: at most 2.6 KB, spread over several values
/// where one doesn't hold them.
pub const FAILED_CHUNK: u32 = 64;

/// A machine on which tasks may be started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Type.
    #[serde(rename = "t")]
    pub build: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Worker address.
    #[serde(rename = "a")]
    pub addr: String,
}

impl MachineRecord {
    /// As its worker reports it.
    pub fn of(r: &Report) -> Self {
        MachineRecord { build: r.build.clone(), zone: r.yard.clone(), spot: r.loaners, addr: r.addr.clone() }
    }
    /// Whether a report is of such a machine.
    pub fn is_kind_of(&self, r: &Report) -> bool {
        (&self.build, &self.zone, self.spot) == (&r.build, &r.yard, r.loaners)
    }
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Controller name.
    pub node: String,
    /// Term.
    pub term: u64,
    /// The lease it hangs on.
    pub lease: u64,
}

/// What an applied change was about.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A job's record, progress or end.
    Job {
        /// The job.
        id: JobId,
        /// Jobs that depend on it and are cancelled with it, or the job itself where one
        /// that it depends on is cancelled.
        cancelled: Vec<JobId>,
    },
    /// A key of the guest's space.
    Aside,
    /// The leader's key.
    Leader,
    /// A message for the node of this name.
    Mail(String),
    /// Anything else.
    Other,
}

/// Keys in the state service.
pub mod keys {
    use super::*;
    /// The guest's space.
    pub const GUEST: &str = "g/n/";
    /// All keys start with this.
    pub const ROOT: &str = "g/";
    /// The leader.
    pub const LEADER: &str = "g/leader";
    /// The last term.
    pub const TERM: &str = "g/term";
    /// Who holds the leaders' books.
    pub const BOOKS: &str = "g/books";
    /// Records of several machines start with this.
    pub const MACHINES: &str = "g/h/";
    /// The last rental request's name.
    pub const HIRE: &str = "g/hire";
    /// A job.
    pub fn job(id: JobId) -> String {
        format!("g/j/{id}")
    }
    /// A job's end.
    pub fn end(id: JobId) -> String {
        format!("g/x/{id}")
    }
    /// Further dependencies of a job that did not fit into its record.
    pub fn dependencies(id: JobId, part: u32) -> String {
        format!("g/d/{id}/{part}")
    }
    /// A chunk of a job's progress.
    pub fn progress(id: JobId, chunk: u32) -> String {
        format!("g/p/{id}/{chunk}")
    }
    /// A chunk of a job's failures. Listings come in the order of keys, and a
    /// job has to come before its failures and they before its end: `r` is
    /// between `j` and `x`.
    pub fn failed(id: JobId, chunk: u32) -> String {
        format!("g/r/{id}/{chunk}")
    }
    /// A part of a chunk's progress. The first is [`progress`]; each further one
    /// has a zero more before the chunk's number, which versions that know one
    /// key a chunk read as the same number: they add up what all parts say.
    pub fn progress_part(id: JobId, chunk: u32, part: usize) -> String {
        format!("g/p/{id}/{}{chunk}", "0".repeat(part))
    }
    /// A part of a chunk's failures, named in the same way.
    pub fn failed_part(id: JobId, chunk: u32, part: usize) -> String {
        format!("g/r/{id}/{}{chunk}", "0".repeat(part))
    }
    /// Whether a key of progress or failures is of a further part.
    pub fn is_further_part(name: &str) -> bool {
        name.rsplit_once('/').is_some_and(|(_, chunk)| chunk.len() > 1 && chunk.starts_with('0'))
    }
    /// Job and chunk of a key of progress or failures, without its space; of any part.
    pub fn of_chunk(name: &str) -> Option<(JobId, u32)> {
        let (id, chunk) = name.split_once('/')?;
        Some((JobId::parse(id)?, chunk.parse().ok()?))
    }
    /// The mailbox of one node for another, used when no way between them is left.
    pub fn mail(to: &str, from: &str) -> String {
        format!("g/c/{to}/{from}")
    }
    /// A machine, as versions before 2 recorded it; still read.
    pub fn machine(id: &MachineId) -> String {
        format!("g/m/{id}")
    }
    /// Machines of one kind that were recorded together, by the first one.
    pub fn machines(first: &MachineId) -> String {
        format!("{MACHINES}{first}")
    }
}

/// A job's record.
pub fn job_value(spec: &JobSpec, submitted_ms: u64) -> Value {
    json!({"d": DescriptionRecord::of(spec), "at": submitted_ms})
}

/// The record of a cancelled job's end: when, why if the service ended it, and whether
/// nothing of it is left on any machine.
pub fn cancelled_value(at_ms: u64, cause: Option<&str>, settled: bool) -> Value {
    let mut end = json!({"end": "aborted", "at": at_ms});
    if let Some(why) = cause {
        end["why"] = json!(why);
    }
    if settled {
        end["gone"] = json!(true);
    }
    end
}

/// Bytes of a job's record kept free for the time of day, and for what is counted beside
/// the text.
const RECORD_SLACK: usize = 64;

/// The records of a job, its own first: dependencies that don't fit there go into further
/// keys. `None` if they take more than a transaction may hold.
pub fn job_records(spec: &JobSpec, submitted_ms: u64, limits: &StoreLimits) -> Option<Vec<(String, Value)>> {
    let room = limits.value_bytes.saturating_sub(RECORD_SLACK);
    let fits = |v: &Value| value_len(v) <= room;
    let whole = job_value(spec, submitted_ms);
    if fits(&whole) {
        return Some(vec![(keys::job(spec.id), whole)]);
    }
    let mut record = DescriptionRecord::of(&JobSpec { dependencies: Vec::new(), ..spec.clone() });
    record.after.extend(own_id(spec).map(|id| id.0));
    let mut values: Vec<Value> = Vec::new();
    let mut rest = &spec.dependencies[..];
    while !rest.is_empty() {
        let (ids, left) = rest.split_at(ids_that_fit(rest, room));
        if ids.is_empty() || values.len() + 2 > limits.txn_ops {
            return None;
        }
        values.push(json!(ids.iter().map(|id| id.0).collect::<Vec<u64>>()));
        rest = left;
    }
    record.dependency_keys = values.len() as u32;
    let own = json!({"d": record, "at": submitted_ms});
    if !fits(&own) {
        return None;
    }
    let parts = values.into_iter().zip(0..).map(|(v, part)| (keys::dependencies(spec.id, part), v));
    Some(std::iter::once((keys::job(spec.id), own)).chain(parts).collect())
}

/// How many of the ids, from the first on, fit into a JSON array of so many bytes.
fn ids_that_fit(ids: &[JobId], bytes: usize) -> usize {
    let mut length = 2;
    let fits = |id: &&JobId| {
        length += id.0.to_string().len() + 2;
        length <= bytes
    };
    ids.iter().take_while(fits).count()
}

/// A description as [`job_value`] wrote it.
pub fn description(id: JobId, record: &Value) -> Option<JobSpec> {
    Some(DescriptionRecord::parse(&record["d"])?.into_spec(id))
}

/// The record of machines of one kind: type, zone, kind, and for each its name
/// and its worker's address.
pub fn machines_value<'a>(
    kind: (&str, &str, bool),
    machines: impl Iterator<Item = (&'a MachineId, &'a str)>,
) -> Value {
    let list: Vec<[&str; 2]> = machines.map(|(id, addr)| [id.as_str(), addr]).collect();
    json!({"t": kind.0, "z": kind.1, "s": kind.2, "m": list})
}

/// Quotes, brackets and separators of a machine in such a record, as
/// [`crate::limits::value_len`] counts them.
const MACHINE_OVERHEAD: usize = 12;

/// What a machine takes in such a record.
pub fn machine_room(id: &MachineId, addr: &str) -> usize {
    id.as_str().len() + addr.len() + MACHINE_OVERHEAD
}

/// The mirror.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Which machines each key holds, and its version.
    pub records: BTreeMap<String, (Vec<MachineId>, u64)>,
    /// The leader's key and its version.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The term and its version.
    pub term: (u64, u64),
    /// Who holds the leaders' books, and the record's version.
    pub books: (StandbyReplicas, u64),
    /// Everything up to this revision is applied.
    pub applied: u64,
    /// Keys of the guest's space that a listing came by, if there is a guest.
    pub aside: Option<Vec<(String, Value, u64)>>,
    /// Which jobs depend on which.
    pub dependencies: DependencyGraph,
    /// Dependencies in keys of their own whose job's record, or the rest of which, has
    /// not been read.
    dependency_parts: BTreeMap<JobId, DependencyParts>,
    /// Jobs that are over and whose description is still here.
    over: VecDeque<JobId>,
}

/// What has been read of a job's dependencies in keys of their own.
#[derive(Debug, Default)]
struct DependencyParts {
    /// How many there are, once the job's record has been read.
    expected: Option<u32>,
    read: BTreeMap<u32, Vec<JobId>>,
}

/// Descriptions kept of jobs that are over.
const SPECS_KEPT: usize = 2000;

impl Ledger {
    /// Applies one key; `value` is `None` for a removal.
    pub fn apply(&mut self, path: &str, value: Option<&Value>, stamp: u64) -> Change {
        if path == keys::LEADER {
            self.leader = value.and_then(|v| LeaderRecord::deserialize(v).ok()).map(|r| (r, stamp));
            return Change::Leader;
        }
        if path == keys::TERM {
            self.term = (value.and_then(Value::as_u64).unwrap_or(0), stamp);
            return Change::Other;
        }
        if path == keys::BOOKS {
            // What can't be read counts as nobody.
            let record = value.and_then(|v| StandbyReplicas::deserialize(v).ok()).unwrap_or_default();
            self.books = (record, stamp);
            return Change::Other;
        }
        let Some(rest) = path.strip_prefix(keys::ROOT) else { return Change::Other };
        let Some((space, name)) = rest.split_once('/') else { return Change::Other };
        match space {
            "h" => {
                self.take_machines(path, value.and_then(|v| Batch::deserialize(v).ok()), stamp);
                Change::Other
            }
            "m" => {
                let one = value.and_then(|v| MachineRecord::deserialize(v).ok()).map(|r| Batch {
                    build: r.build,
                    zone: r.zone,
                    spot: r.spot,
                    machines: vec![(name.to_owned(), r.addr)],
                });
                self.take_machines(path, one, stamp);
                Change::Other
            }
            "j" => {
                let (Some(id), Some(v)) = (JobId::parse(name), value) else { return Change::Other };
                let record = DescriptionRecord::parse(&v["d"]);
                let keys = record.as_ref().map_or(0, |r| r.dependency_keys);
                let spec = record.map(|r| Rc::new(r.into_spec(id)));
                let job = self.jobs.entry(id).or_insert_with(Job::empty);
                job.stamp = stamp;
                job.submitted_ms = v["at"].as_u64().unwrap_or(0);
                job.tasks = spec.as_ref().map_or(0, |s| s.tasks);
                job.service = spec.as_ref().is_some_and(|s| s.kind == Kind::Service);
                job.spec = spec.clone();
                let listed = spec.as_ref().map_or(&[][..], |s| &s.dependencies);
                let mut cancelled = self.add_dependencies(id, listed);
                if keys > 0 {
                    self.dependency_parts.entry(id).or_default().expected = Some(keys);
                    cancelled.extend(self.join_parts(id));
                }
                Change::Job { id, cancelled }
            }
            "d" => {
                let (Some((id, part)), Some(v)) = (keys::of_chunk(name), value) else { return Change::Other };
                let ids = Vec::<u64>::deserialize(v).unwrap_or_default();
                let parts = self.dependency_parts.entry(id).or_default();
                parts.read.insert(part, ids.into_iter().map(JobId).collect());
                let cancelled = self.join_parts(id);
                Change::Job { id, cancelled }
            }
            "x" => {
                let (Some(id), Some(v)) = (JobId::parse(name), value) else { return Change::Other };
                let job = self.jobs.entry(id).or_insert_with(Job::empty);
                let was = job.phase;
                let by_another = job.cancelled_by_another();
                job.phase = if v["end"] == "done" { Phase::Done } else { Phase::Aborted };
                job.ended_ms = v["at"].as_u64().unwrap_or(0);
                job.end_stamp = stamp;
                // What was cancelled with a job that it depends on was never started.
                job.settled = v["gone"] == true || by_another && job.phase == Phase::Aborted;
                job.done = TaskSet::default();
                job.chunks.clear();
                job.failed.clear();
                job.failed_stamps.clear();
                job.further_parts.clear();
                job.cause = v["why"].as_str().map(str::to_owned);
                if was == Phase::Active {
                    self.note_over(id);
                }
                let cancelled = self.note_end(id);
                Change::Job { id, cancelled }
            }
            "p" => {
                let Some((id, chunk)) = keys::of_chunk(name) else { return Change::Other };
                if let (Some(v), Some(job)) = (value, self.jobs.get_mut(&id))
                    && job.phase == Phase::Active
                    && chunk < u32::MAX / CHUNK
                {
                    job.done.add_chunk(chunk, v.as_str().unwrap_or(""));
                    if keys::is_further_part(name) {
                        job.further_parts.insert(path.to_owned());
                    } else {
                        job.chunks.insert(chunk, stamp);
                    }
                }
                Change::Job { id, cancelled: Vec::new() }
            }
            "r" => {
                let Some((id, chunk)) = keys::of_chunk(name) else { return Change::Other };
                if let (Some(v), Some(job)) = (value, self.jobs.get_mut(&id))
                    && job.phase == Phase::Active
                    && let Ok(failed) = BTreeMap::<u32, Failures>::deserialize(v)
                {
                    job.note_failures(failed);
                    if keys::is_further_part(name) {
                        job.further_parts.insert(path.to_owned());
                    } else {
                        job.failed_stamps.insert(chunk, stamp);
                    }
                }
                Change::Job { id, cancelled: Vec::new() }
            }
            "n" => {
                if let (Some(aside), Some(v)) = (self.aside.as_mut(), value) {
                    aside.push((name.to_owned(), v.clone(), stamp));
                }
                Change::Aside
            }
            "c" => match name.split_once('/') {
                Some((to, _)) => Change::Mail(to.to_owned()),
                None => Change::Other,
            },
            _ => Change::Other,
        }
    }
}

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "t")]
    build: String,
    #[serde(rename = "z")]
    zone: String,
    #[serde(rename = "s")]
    spot: bool,
    #[serde(rename = "m")]
    machines: Vec<(String, String)>,
}

impl Ledger {
    /// Tasks of a job that is over may still be on machines, so its needs are kept for a
    /// while; only the end is kept for ever.
    fn note_over(&mut self, id: JobId) {
        self.over.push_back(id);
        if self.over.len() > SPECS_KEPT
            && let Some(old) = self.over.pop_front()
            && let Some(job) = self.jobs.get_mut(&old)
        {
            job.spec = None;
        }
    }

    /// Adds dependencies of a job whose record is here; the jobs that this cancels.
    fn add_dependencies(&mut self, id: JobId, dependencies: &[JobId]) -> Vec<JobId> {
        let jobs = &self.jobs;
        let outcome_of = |id: JobId| jobs.get(&id).map_or(Outcome::Open, |j| j.phase.outcome());
        let cancelled = self.dependencies.add(id, dependencies, outcome_of);
        let ends = dependencies.iter().filter_map(|d| jobs.get(d)).filter(|j| j.phase == Phase::Aborted);
        let at_ms = ends.map(|j| j.ended_ms).max().unwrap_or(0);
        self.cancel_with(&cancelled, at_ms);
        cancelled
    }

    /// Adds what has been read of a job's dependencies in keys of their own, once its
    /// record and all of them are here; the jobs that this cancels.
    fn join_parts(&mut self, id: JobId) -> Vec<JobId> {
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

    /// An end of a job was recorded; the jobs that are cancelled with it.
    fn note_end(&mut self, id: JobId) -> Vec<JobId> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let (outcome, at_ms) = (job.phase.outcome(), job.ended_ms);
        let cancelled = self.dependencies.ended(id, outcome);
        self.cancel_with(&cancelled, at_ms);
        cancelled
    }

    /// Ends jobs that are cancelled with one that they depend on: nothing of them was
    /// ever started, so there is nothing to stop and nobody who has to be told first.
    fn cancel_with(&mut self, jobs: &[JobId], at_ms: u64) {
        for id in jobs {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            job.phase = Phase::Aborted;
            job.ended_ms = at_ms;
            job.settled = true;
            self.note_over(*id);
        }
    }

    /// When the last job that this one depends on was recorded as done, in milliseconds
    /// of the time of day; its own submission if it depends on none.
    pub fn released_ms(&self, id: JobId) -> u64 {
        let submitted = self.jobs.get(&id).map_or(0, |j| j.submitted_ms);
        let ends = self.dependencies.dependencies(id).iter().filter_map(|d| self.jobs.get(d));
        ends.map(|j| j.ended_ms).fold(submitted, u64::max)
    }

    /// What a key says of machines, in place of what it said before.
    fn take_machines(&mut self, key: &str, batch: Option<Batch>, stamp: u64) {
        let (old, _) = self.records.remove(key).unwrap_or_default();
        let mut ids = Vec::new();
        if let Some(b) = batch {
            for (name, addr) in b.machines {
                let id = MachineId::from(&*name);
                let (build, zone) = (b.build.clone(), b.zone.clone());
                self.machines.insert(id.clone(), MachineRecord { build, zone, spot: b.spot, addr });
                ids.push(id);
            }
            self.records.insert(key.to_owned(), (ids.clone(), stamp));
        }
        // A write whose answer was lost may have been repeated under another
        // key: a machine is forgotten when no key holds it.
        for id in old.into_iter().filter(|id| !ids.contains(id)) {
            if !self.records.values().any(|(v, _)| v.contains(&id)) {
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
            Phase::Aborted => Outcome::Cancelled,
        }
    }
}

impl Job {
    /// Whether it is cancelled with a job that it depends on and has no recorded end.
    pub fn cancelled_by_another(&self) -> bool {
        self.phase == Phase::Aborted && self.end_stamp == 0
    }

    /// Takes recorded failures. A part may be older than another that holds the
    /// same task: the later attempt counts.
    fn note_failures(&mut self, failures: BTreeMap<u32, Failures>) {
        for (index, failure) in failures {
            let known = self.failed.entry(index).or_default();
            if failure.last >= known.last {
                *known = failure;
            }
        }
    }

    fn empty() -> Self {
        Job {
            spec: None,
            stamp: 0,
            submitted_ms: 0,
            phase: Phase::Active,
            ended_ms: 0,
            end_stamp: 0,
            settled: false,
            done: TaskSet::default(),
            chunks: BTreeMap::new(),
            tasks: 0,
            service: false,
            failed: BTreeMap::new(),
            failed_stamps: BTreeMap::new(),
            further_parts: BTreeSet::new(),
            cause: None,
        }
    }
}

#[cfg(test)]
mod dependency_records;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn progress_chunks_round_trip_and_stay_small() {
        for set in [vec![], vec![0], vec![63, 64, 8191], vec![8192, 99_999], (0..100_000).collect()] {
            let mut s = TaskSet::default();
            set.iter().for_each(|i| assert!(s.insert(*i)));
            let mut back = TaskSet::default();
            for c in 0..13 {
                let text = s.chunk_text(c);
                assert!(text.len() <= 2300, "{}", text.len());
                back.add_chunk(c, &text);
            }
            assert_eq!(back.len(), set.len() as u32);
            for n in [0, 1, 63, 64, 65, 8192, 50_000, 100_000] {
                assert_eq!(back.below(n), set.iter().filter(|i| **i < n).count() as u32, "{n}");
            }
            assert!(set.iter().all(|i| back.contains(*i)));
        }
    }

    #[test]
    fn machines_are_known_while_a_key_holds_them() {
        let batch = |names: &[&str]| {
            let ids: Vec<MachineId> = names.iter().map(|n| MachineId::from(*n)).collect();
            machines_value(("big", "east", true), ids.iter().map(|id| (id, "addr")))
        };
        let mut l = Ledger::default();
        // (key, what it holds from now on, machines known then)
        let steps: [(&str, Option<Value>, &[&str]); 7] = [
            ("g/h/a", Some(batch(&["a", "b"])), &["a", "b"]),
            ("g/m/old", Some(json!({"t":"big","z":"east","s":false,"a":"x"})), &["a", "b", "old"]),
            // Written again with another after its answer was lost.
            ("g/h/b", Some(batch(&["b", "c"])), &["a", "b", "c", "old"]),
            ("g/h/a", Some(batch(&["a"])), &["a", "b", "c", "old"]),
            ("g/h/b", Some(batch(&["c"])), &["a", "c", "old"]),
            ("g/m/old", None, &["a", "c"]),
            ("g/h/a", None, &["c"]),
        ];
        for (key, value, known) in steps {
            l.apply(key, value.as_ref(), 1);
            let names: Vec<&str> = l.machines.keys().map(|id| id.as_str()).collect();
            assert_eq!(names, known, "{key}");
        }
        assert_eq!(l.machines[&MachineId::from("c")].addr, "addr");
    }

    /// A controller that reads the state anew gets keys in their order; a world
    /// with planners stood still for a leader that had lost the failures so.
    #[test]
    fn a_listing_in_order_of_keys_is_read_whole() {
        let spec = r#"{"l":"l","t":"t","k":"array","r":"high","n":3,"u":[1000,0,500],"i":"i","f":4}"#;
        let record = json!({"d": serde_json::from_str::<Value>(spec).unwrap(), "at": 1});
        let id = JobId(7);
        let mut keys = [
            (keys::failed(id, 0), json!({"2": {"n": 3, "a": 99}})),
            (keys::job(id), record),
            (keys::progress(id, 0), json!("1")),
        ];
        keys.sort_by(|a, b| a.0.cmp(&b.0));
        let mut l = Ledger::default();
        for (i, (k, v)) in keys.iter().enumerate() {
            l.apply(k, Some(v), 10 + i as u64);
        }
        let j = &l.jobs[&id];
        assert_eq!((j.tasks, j.done.len()), (3, 1));
        assert_eq!(j.failed.get(&2), Some(&Failures { count: 3, last: 99 }));
        assert!(j.failed_stamps.contains_key(&0) && j.chunks.contains_key(&0));
    }

    #[test]
    fn an_end_is_kept_whatever_comes_after() {
        let mut l = Ledger::default();
        l.apply("g/x/j-000001", Some(&json!({"end":"aborted"})), 5);
        l.apply("g/p/j-000001/0", Some(&json!("1")), 6);
        let j = &l.jobs[&JobId(1)];
        assert_eq!((j.phase, j.done.len()), (Phase::Aborted, 0));
    }

    #[test]
    fn records_of_versions_before_are_read() {
        // As version 2 wrote them.
        let rows = [
            (
                r#"["t","v","standing","prod",3,[1500,0,2100],["g8"],"a",false,true,false,"i",0.5,0.0,0.0,0.0,null]"#,
                (Kind::Service, Rank::Production, 3, Some(vec!["a".to_owned()]), None),
            ),
            (
                r#"["t","v","array","idle",65,[4000,1000,5300],null,null,true,false,true,"img-07",1.5,30.0,15.0,2.0,900.0]"#,
                (Kind::Array, Rank::Low, 65, None, Some(900.0)),
            ),
        ];
        for (row, want) in rows {
            let mut l = Ledger::default();
            let v = json!({"d": serde_json::from_str::<Value>(row).unwrap(), "at": 77});
            l.apply("g/j/j-000412", Some(&v), 9);
            let s = l.jobs[&JobId(412)].spec.clone().expect(row);
            assert_eq!((s.kind, s.rank, s.tasks, s.zones.clone(), s.deadline_s), want, "{row}");
            // Written anew, it says the same.
            let again = job_value(&s, 77);
            assert_eq!(description(JobId(412), &again).as_ref(), Some(&*s), "{row}");
        }
        for broken in ["[]", r#"["t","v","array"]"#, "{}", "7"] {
            let record = json!({"d": serde_json::from_str::<Value>(broken).unwrap()});
            assert_eq!(description(JobId(1), &record), None);
        }
    }

    #[test]
    fn a_job_record_reads_back() {
        let body = br#"{"ref":"j-000412","lot":"t","crew":"v","manner":"standing","rank":"prod",
            "pieces":3,"cpus":1.5,"gpus":0,"memory_gb":2.1,"bundle":"i","image_gb":0.5,
            "builds":["g8"],"yard":"a","same_place":false,"apart":true,"loaners":false,
            "guess_s":0,"mark_s":0,"stow_s":0,"due_s":null}"#;
        let spec = gorseshore_protocol::users::parse_submission(body).unwrap();
        let mut l = Ledger::default();
        l.apply("g/j/j-000412", Some(&job_value(&spec, 77)), 9);
        let j = &l.jobs[&JobId(412)];
        assert_eq!((j.spec.as_deref(), j.submitted_ms, j.tasks), (Some(&spec), 77, 3));
    }
}
