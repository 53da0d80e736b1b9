//! The changes in the state service that write one of the leader's records.
//!
//! Invariants: the changes of a record stay within the limits of a transaction, and each value
//! within that of a value, whatever is to be recorded. A record that doesn't fit into one
//! value is spread over several keys, which change in one transaction.
use super::{Leader, LeaderWrite};
use crate::jobs::{Failures, StateReplica, cancelled_value, keys, split_progress_text};
use crate::limits::{StoreLimits, value_len};
use gorseshore_protocol::ids::{JobId, MachineId};
use gorseshore_protocol::state::{Precondition, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Bytes that a change adds to a transaction beside its keys and its value.
const CHANGE_OVERHEAD: usize = 120;

/// Conditions and changes of one transaction that writes a record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Changes {
    /// Conditions beside the one on the leader's key.
    pub conditions: Vec<Precondition>,
    /// Puts and removals.
    pub writes: Vec<Write>,
}

impl Changes {
    fn on_condition(mut self, path: String, revision: u64) -> Self {
        self.conditions.push(Precondition { key: path, revision });
        self
    }

    fn put(mut self, key: String, value: Value) -> Self {
        self.writes.push(Write::Put { key, value, lease: None });
        self
    }

    fn remove(mut self, key: String) -> Self {
        self.writes.push(Write::Remove { key });
        self
    }

    /// Approximate length in the transaction, in bytes.
    pub fn len(&self) -> usize {
        let length = |write: &Write| match write {
            Write::Put { key: put, value: v, .. } => put.len() * 2 + v.to_string().len() + CHANGE_OVERHEAD,
            Write::Remove { key: remove } => remove.len() + CHANGE_OVERHEAD,
        };
        self.writes.iter().map(length).sum()
    }

    /// Whether there is no change.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }
}

/// The inputs of a record's changes beside the leader's own state.
pub struct RecordContext<'a> {
    /// The state replica.
    pub state_replica: &'a StateReplica,
    /// Limits of a value and of a transaction.
    pub limits: &'a StoreLimits,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
    /// Whether a new key of this name may be tried.
    pub may_create: &'a dyn Fn(&str) -> bool,
}

impl Leader {
    /// The changes that write a record; `None` if there is nothing to change, or if the changes
    /// don't fit into a transaction.
    pub fn changes(&self, write: &LeaderWrite, context: &RecordContext<'_>) -> Option<Changes> {
        let RecordContext { state_replica, limits, wall_ms, .. } = *context;
        let changes = Changes::default();
        match write {
            LeaderWrite::JobDone(id) => Some(end_changes(*id, context)),
            LeaderWrite::Machines(ids) => {
                let key = keys::machines(ids.first()?);
                let value = self.machines_record(ids, state_replica)?;
                // A delayed retry must not overwrite a later record.
                Some(changes.on_condition(key.clone(), 0).put(key, value))
            }
            LeaderWrite::ScaleOutName(name) => {
                Some(changes.put(keys::LAST_RENTAL_REQUEST.into(), json!(name)))
            }
            LeaderWrite::FailureCounts(id, chunk) => {
                let parts = split_failures(self.failures(*id, *chunk)?, limits.value_bytes);
                let job = state_replica.jobs.get(id);
                let revision = job.and_then(|j| j.failure_revisions.get(chunk).copied()).unwrap_or(0);
                let key = |part| keys::failures_part(*id, *chunk, part);
                Some(chunk_changes(*id, revision, key, parts, limits))
            }
            LeaderWrite::JobFailed(id, index) => {
                let job = state_replica.jobs.get(id)?;
                let why = self.failure_cause(*id, *index);
                // On the condition that the job record is still the one that was evaluated.
                let changes =
                    changes.on_condition(keys::job(*id), job.revision).on_condition(keys::end(*id), 0);
                Some(changes.put(keys::end(*id), cancelled_value(wall_ms, Some(&why), false)))
            }
            LeaderWrite::Progress(id, chunk) => {
                let parts = split_progress_text(&self.progress(*id, *chunk)?, limits.value_bytes);
                let job = state_replica.jobs.get(id);
                let revision = job.and_then(|j| j.progress_revisions.get(chunk).copied()).unwrap_or(0);
                let key = |part| keys::progress_part(*id, *chunk, part);
                Some(chunk_changes(*id, revision, key, parts, limits))
            }
            LeaderWrite::CancellationComplete(id) => {
                let job = state_replica.jobs.get(id)?;
                let end = cancelled_value(job.ended_ms, job.cause.as_deref(), true);
                Some(changes.on_condition(keys::end(*id), job.end_revision).put(keys::end(*id), end))
            }
            // An end that is already recorded stays.
            LeaderWrite::CancelDependent(id) => {
                let job = state_replica.jobs.get(id)?;
                let end = cancelled_value(job.ended_ms, None, true);
                Some(changes.on_condition(keys::end(*id), 0).put(keys::end(*id), end))
            }
            LeaderWrite::RemoveDeletedMachines(key) => self.forget_changes(key, context),
        }
    }

    /// The recorded cause of a job's failure when a task has used up its attempts.
    pub fn failure_cause(&self, id: JobId, index: u32) -> String {
        let times = self.attempts_of(id, index);
        format!("attempts used up: task {index} failed {times} times")
    }

    /// Rewrites a record of machines without the deleted ones. If its value is longer than may
    /// be written now, it is spread over further keys; if those are more than a transaction
    /// may contain, the record stays unchanged.
    fn forget_changes(&self, key: &str, context: &RecordContext<'_>) -> Option<Changes> {
        let RecordContext { state_replica, limits, .. } = *context;
        let (ids, revision) = state_replica.machine_records.get(key)?;
        let changes = Changes::default().on_condition(key.to_owned(), *revision);
        let mut lists = match key.starts_with(keys::MACHINES_PREFIX) {
            true => self.split_into_records(ids, context),
            false => Vec::new(),
        };
        if lists.is_empty() {
            return Some(changes.remove(key.to_owned()));
        }
        if lists.len() > limits.txn_ops {
            return None;
        }
        let rest = lists.split_off(1);
        // The further keys come first, so that a reader never misses a machine in between.
        let mut changes = changes;
        for list in &rest {
            let free = |id: &&MachineId| {
                let name = keys::machines(id);
                !state_replica.machine_records.contains_key(&name) && (context.may_create)(&name)
            };
            let new_key = keys::machines(list.iter().find(free)?);
            let value = self.machines_record(list, state_replica)?;
            changes = changes.on_condition(new_key.clone(), 0).put(new_key, value);
        }
        let value = self.machines_record(lists.first()?, state_replica)?;
        Some(changes.put(key.to_owned(), value))
    }

    /// The machines that are not deleted, in lists filled one after the other with as many as
    /// fit into one record.
    fn split_into_records(&self, ids: &[MachineId], context: &RecordContext<'_>) -> Vec<Vec<MachineId>> {
        let mut lists: Vec<Vec<MachineId>> = Vec::new();
        if self.machines_record(ids, context.state_replica).is_some_and(|v| context.limits.fits(&v)) {
            return vec![ids.to_vec()];
        }
        for id in ids {
            let one = std::slice::from_ref(id);
            if self.machines_record(one, context.state_replica).is_none() {
                continue;
            }
            if let Some(list) = lists.last_mut() {
                list.push(id.clone());
                let value = self.machines_record(list, context.state_replica);
                if value.is_some_and(|v| context.limits.fits(&v)) {
                    continue;
                }
                list.pop();
            }
            lists.push(one.to_vec());
        }
        lists
    }
}

/// Records that a job is done, and removes as many of its progress and failure keys as fit
/// into the same transaction. The remaining ones have no effect: an end counts whatever else
/// is recorded.
fn end_changes(id: JobId, context: &RecordContext<'_>) -> Changes {
    let job = context.state_replica.jobs.get(&id);
    let progress = job.iter().flat_map(|j| j.progress_revisions.keys()).map(|c| keys::progress(id, *c));
    let failed = job.iter().flat_map(|j| j.failure_revisions.keys()).map(|c| keys::failures(id, *c));
    let further = job.iter().flat_map(|j| j.further_part_keys.iter().cloned());
    let mut changes = Changes::default().on_condition(keys::end(id), 0);
    for key in progress.chain(failed).chain(further).take(context.limits.txn_ops - 1) {
        changes = changes.remove(key);
    }
    changes.put(keys::end(id), json!({"end": "done", "at": context.wall_ms}))
}

/// Writes the parts of a chunk's record in one transaction over revision `revision` of the first.
/// Parts that exceed the transaction are left out: each part is valid on its own.
fn chunk_changes(
    id: JobId,
    revision: u64,
    key: impl Fn(usize) -> String,
    parts: Vec<Value>,
    limits: &StoreLimits,
) -> Changes {
    let mut changes = Changes::default().on_condition(key(0), revision).on_condition(keys::end(id), 0);
    for (part, value) in parts.into_iter().take(limits.txn_ops).enumerate() {
        changes = changes.put(key(part), value);
    }
    changes
}

/// Splits the failures of a chunk's tasks into values of at most `max_bytes` bytes.
fn split_failures(failures: BTreeMap<u32, Failures>, max_bytes: usize) -> Vec<Value> {
    let mut parts: Vec<BTreeMap<u32, Failures>> = vec![BTreeMap::new()];
    let mut used = value_len(&json!({}));
    for (index, failure) in failures {
        let entry = json!({ index.to_string(): failure });
        let length = value_len(&entry) - value_len(&json!({}));
        if used + length > max_bytes && parts.last().is_some_and(|part| !part.is_empty()) {
            parts.push(BTreeMap::new());
            used = value_len(&json!({}));
        }
        used += length;
        if let Some(part) = parts.last_mut() {
            part.insert(index, failure);
        }
    }
    parts.into_iter().map(|part| json!(part)).collect()
}
