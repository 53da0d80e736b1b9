//! The records in the state service: their types and values.
use super::job_spec_record::{JobSpecRecord, own_id_if_dependent};
use super::{Phase, keys};
use crate::limits::{StoreLimits, value_len};
use gorseshore_protocol::ids::{JobId, MachineId};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::workers::Report;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

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

/// Stored form of the record of several machines of one kind.
#[derive(Deserialize)]
pub(super) struct MachineBatch {
    #[serde(rename = "t")]
    pub machine_type: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s")]
    pub spot: bool,
    #[serde(rename = "m")]
    pub machines: Vec<(String, String)>,
}
