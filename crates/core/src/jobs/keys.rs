//! Keys in the state service.
use gorseshore_protocol::ids::{JobId, MachineId};

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
