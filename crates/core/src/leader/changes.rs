//! What the leader's records change in the state service.
//!
//! Invariants: a record's changes are within the limits of a transaction, and
//! each value within that of a value, whatever is to be recorded; what doesn't
//! fit into one value goes over several keys, which change together.
use super::{Leader, LeaderWrite};
use crate::jobs::{Failures, StateReplica, cancelled_value, keys, split_progress_text};
use crate::limits::{StoreLimits, value_len};
use gorseshore_protocol::ids::{JobId, MachineId};
use gorseshore_protocol::state::{Precondition, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Bytes of a transaction that a change takes beside its keys and its value.
const CHANGE_OVERHEAD: usize = 120;

/// Conditions and changes of a record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Changes {
    /// Conditions, beside that of the leader's key.
    pub conditions: Vec<Precondition>,
    /// Puts and removals.
    pub writes: Vec<Write>,
}

impl Changes {
    fn given(mut self, path: String, stamp: u64) -> Self {
        self.conditions.push(Precondition { key: path, revision: stamp });
        self
    }

    fn put(mut self, key: String, value: Value) -> Self {
        self.writes.push(Write::Put { key: key, value: value, lease: None });
        self
    }

    fn remove(mut self, key: String) -> Self {
        self.writes.push(Write::Remove { key: key });
        self
    }

    /// What it takes of a transaction's length, about.
    pub fn len(&self) -> usize {
        let length = |write: &Write| match write {
            Write::Put { key: put, value: v, .. } => put.len() * 2 + v.to_string().len() + CHANGE_OVERHEAD,
            Write::Remove { key: remove } => remove.len() + CHANGE_OVERHEAD,
        };
        self.writes.iter().map(length).sum()
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }
}

/// What changes are made from beside the leader's own knowledge.
pub struct Recording<'a> {
    /// What is on record.
    pub ledger: &'a StateReplica,
    /// What a change and a transaction may hold.
    pub limits: &'a StoreLimits,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
    /// Whether a new key of this name may be tried.
    pub may_create: &'a dyn Fn(&str) -> bool,
}

impl Leader {
    /// The changes of a record; `None` if there is nothing to change, or nothing
    /// that fits.
    pub fn changes(&self, write: &LeaderWrite, recording: &Recording<'_>) -> Option<Changes> {
        let Recording { ledger, limits, wall_ms, .. } = *recording;
        let changes = Changes::default();
        match write {
            LeaderWrite::JobDone(id) => Some(end_changes(*id, recording)),
            LeaderWrite::Machines(ids) => {
                let key = keys::machines(ids.first()?);
                let value = self.machines_record(ids, ledger)?;
                // A late repetition must not undo what was written since.
                Some(changes.given(key.clone(), 0).put(key, value))
            }
            LeaderWrite::ScaleOutName(name) => {
                Some(changes.put(keys::LAST_RENTAL_REQUEST.into(), json!(name)))
            }
            LeaderWrite::FailureCounts(id, chunk) => {
                let parts = split_failures(self.failures(*id, *chunk)?, limits.value_bytes);
                let job = ledger.jobs.get(id);
                let stamp = job.and_then(|j| j.failure_revisions.get(chunk).copied()).unwrap_or(0);
                let key = |part| keys::failures_part(*id, *chunk, part);
                Some(chunk_changes(*id, stamp, key, parts, limits))
            }
            LeaderWrite::JobFailed(id, index) => {
                let job = ledger.jobs.get(id)?;
                let why = self.failure_cause(*id, *index);
                // The record as it was judged: a change of it since counts.
                let changes = changes.given(keys::job(*id), job.revision).given(keys::end(*id), 0);
                Some(changes.put(keys::end(*id), cancelled_value(wall_ms, Some(&why), false)))
            }
            LeaderWrite::Progress(id, chunk) => {
                let parts = split_progress_text(&self.progress(*id, *chunk)?, limits.value_bytes);
                let job = ledger.jobs.get(id);
                let stamp = job.and_then(|j| j.progress_revisions.get(chunk).copied()).unwrap_or(0);
                let key = |part| keys::progress_part(*id, *chunk, part);
                Some(chunk_changes(*id, stamp, key, parts, limits))
            }
            LeaderWrite::CancellationComplete(id) => {
                let job = ledger.jobs.get(id)?;
                let end = cancelled_value(job.ended_ms, job.cause.as_deref(), true);
                Some(changes.given(keys::end(*id), job.end_revision).put(keys::end(*id), end))
            }
            // Whatever end is on record stands.
            LeaderWrite::CancelDependent(id) => {
                let job = ledger.jobs.get(id)?;
                let end = cancelled_value(job.ended_ms, None, true);
                Some(changes.given(keys::end(*id), 0).put(keys::end(*id), end))
            }
            LeaderWrite::RemoveDeletedMachines(key) => self.forget_changes(key, recording),
        }
    }

    /// Why a job is over of which a task's attempts are used up.
    pub fn failure_cause(&self, id: JobId, index: u32) -> String {
        let times = self.attempts_of(id, index);
        format!("attempts used up: task {index} failed {times} times")
    }

    /// Writes a record of machines anew without those that are gone. A record of
    /// longer values than may be written now is spread over further keys; it
    /// stays as it is if they are more than a transaction holds.
    fn forget_changes(&self, key: &str, recording: &Recording<'_>) -> Option<Changes> {
        let Recording { ledger, limits, .. } = *recording;
        let (ids, stamp) = ledger.machine_records.get(key)?;
        let changes = Changes::default().given(key.to_owned(), *stamp);
        let mut lists = match key.starts_with(keys::MACHINES_PREFIX) {
            true => self.lists_that_fit(ids, recording),
            false => Vec::new(),
        };
        if lists.is_empty() {
            return Some(changes.remove(key.to_owned()));
        }
        if lists.len() > limits.txn_ops {
            return None;
        }
        let rest = lists.split_off(1);
        // The further keys come first, so that no reader forgets a machine between.
        let mut changes = changes;
        for list in &rest {
            let free = |id: &&MachineId| {
                let name = keys::machines(id);
                !ledger.machine_records.contains_key(&name) && (recording.may_create)(&name)
            };
            let new_key = keys::machines(list.iter().find(free)?);
            let value = self.machines_record(list, ledger)?;
            changes = changes.given(new_key.clone(), 0).put(new_key, value);
        }
        let value = self.machines_record(lists.first()?, ledger)?;
        Some(changes.put(key.to_owned(), value))
    }

    /// Machines that are not gone, in as few records as hold them.
    fn lists_that_fit(&self, ids: &[MachineId], recording: &Recording<'_>) -> Vec<Vec<MachineId>> {
        let mut lists: Vec<Vec<MachineId>> = Vec::new();
        if self.machines_record(ids, recording.ledger).is_some_and(|v| recording.limits.fits(&v)) {
            return vec![ids.to_vec()];
        }
        for id in ids {
            let one = std::slice::from_ref(id);
            if self.machines_record(one, recording.ledger).is_none() {
                continue;
            }
            if let Some(list) = lists.last_mut() {
                list.push(id.clone());
                let value = self.machines_record(list, recording.ledger);
                if value.is_some_and(|v| recording.limits.fits(&v)) {
                    continue;
                }
                list.pop();
            }
            lists.push(one.to_vec());
        }
        lists
    }
}

/// The end of a job that is done, and as many of its keys of progress and
/// failures removed as fit beside it. Those left say nothing any more: an end
/// counts whatever else is on record.
fn end_changes(id: JobId, recording: &Recording<'_>) -> Changes {
    let job = recording.ledger.jobs.get(&id);
    let progress = job.iter().flat_map(|j| j.progress_revisions.keys()).map(|c| keys::progress(id, *c));
    let failed = job.iter().flat_map(|j| j.failure_revisions.keys()).map(|c| keys::failures(id, *c));
    let further = job.iter().flat_map(|j| j.further_part_keys.iter().cloned());
    let mut changes = Changes::default().given(keys::end(id), 0);
    for key in progress.chain(failed).chain(further).take(recording.limits.txn_ops - 1) {
        changes = changes.remove(key);
    }
    changes.put(keys::end(id), json!({"end": "done", "at": recording.wall_ms}))
}

/// A chunk's record in its parts, written together over version `stamp` of the
/// first. Parts beyond a transaction are left out: each says something for itself.
fn chunk_changes(
    id: JobId,
    stamp: u64,
    key: impl Fn(usize) -> String,
    parts: Vec<Value>,
    limits: &StoreLimits,
) -> Changes {
    let mut changes = Changes::default().given(key(0), stamp).given(keys::end(id), 0);
    for (part, value) in parts.into_iter().take(limits.txn_ops).enumerate() {
        changes = changes.put(key(part), value);
    }
    changes
}

/// Failures of a chunk's tasks in values of at most `room` bytes.
fn split_failures(failures: BTreeMap<u32, Failures>, room: usize) -> Vec<Value> {
    let mut parts: Vec<BTreeMap<u32, Failures>> = vec![BTreeMap::new()];
    let mut taken = value_len(&json!({}));
    for (index, failure) in failures {
        let entry = json!({ index.to_string(): failure });
        let length = value_len(&entry) - value_len(&json!({}));
        if taken + length > room && parts.last().is_some_and(|part| !part.is_empty()) {
            parts.push(BTreeMap::new());
            taken = value_len(&json!({}));
        }
        taken += length;
        if let Some(part) = parts.last_mut() {
            part.insert(index, failure);
        }
    }
    parts.into_iter().map(|part| json!(part)).collect()
}
