//! The leader reconciles native jobs with the job records.
//!
//! Every write is conditioned on the leader's key, on the job record that requests it and on the
//! native job's record that it changes, so a late write and a write of a former leader fail.
use super::records::{JobKey, JobRecord, names};
use super::register::{precondition, put, remove};
use super::{PendingOperation, RegisteredJob, Service, write};
use gorseshore_core::extension::{ExtensionContext, ExtensionOutput};
use gorseshore_core::jobs::{Phase, cancelled_value, job_value, keys, parse_job_spec};
use gorseshore_core::limits::value_len;
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::state::{Precondition, Transaction, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Most reads and writes of the leader in flight.
const MAX_LEADER_WRITES: usize = 8;
/// Chunks that no job record references are removed after this time, which is longer than a
/// registration may take.
const ORPHANED_CHUNK_TIMEOUT: Micros = Micros::secs(120);
const SWEEP_INTERVAL: Micros = Micros::secs(30);

/// The record of a group's native job. Logs an error and returns `None` if the record exceeds the
/// value limit of the state service.
fn native_record(
    spec: &JobSpec,
    submitted_ms: u64,
    record: &JobRecord,
    group: &str,
    ctx: &ExtensionContext<'_>,
) -> Option<Value> {
    let native = job_value(spec, submitted_ms);
    if value_len(&native) > ctx.max_value_bytes {
        log::error!("record too long job={} group={group}", record.id);
        return None;
    }
    Some(native)
}

impl Service {
    /// Reconciles changed jobs, launches due ones and removes orphaned chunks, if this node leads.
    pub(crate) fn run_leader_work(&mut self, ctx: &ExtensionContext<'_>) {
        if !ctx.leads || !ctx.state_loaded {
            self.was_leader = false;
            self.operations_in_flight.clear();
            return;
        }
        if !std::mem::replace(&mut self.was_leader, true) {
            self.reconcile_queue = self.jobs.keys().map(|k| (k.clone(), Micros(0))).collect();
        }
        let due: Vec<JobKey> = self
            .reconcile_queue
            .iter()
            .filter(|(k, at)| **at <= ctx.now && !self.operations_in_flight.contains(*k))
            .map(|(k, _)| k.clone())
            .take(MAX_LEADER_WRITES.saturating_sub(self.operations_in_flight.len()))
            .collect();
        for key in due {
            self.reconcile_queue.remove(&key);
            if let Some(k) = self.jobs.get(&key).cloned() {
                self.reconcile(ctx, &key, &k);
            }
        }
        self.launch_due_jobs(ctx);
        if ctx.now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = ctx.now;
            self.remove_orphaned_chunks(ctx);
        }
    }

    fn reconcile(&mut self, ctx: &ExtensionContext<'_>, key: &JobKey, registered: &RegisteredJob) {
        let record = &registered.record;
        let mut m = Transaction {
            preconditions: vec![precondition(names::job_record(key), registered.modify_revision)],
            writes: Vec::new(),
        };
        // The leader's key is one more precondition; it is added when the write is sent.
        let has_capacity = |m: &Transaction| {
            m.writes.len() < ctx.max_txn_writes && m.preconditions.len() + 3 < ctx.max_txn_writes * 4
        };
        let jobs_to_end: Vec<JobId> = match record.stop || record.is_template() {
            true => record.native_jobs().collect(),
            false => record.superseded_jobs.iter().copied().map(JobId).collect(),
        };
        let mut any_active = false;
        for id in jobs_to_end {
            let Some(job) = ctx.replica.jobs.get(&id) else { continue };
            any_active |= job.phase == Phase::Active;
            if job.phase == Phase::Active && has_capacity(&m) {
                m.preconditions.push(Precondition { key: keys::end(id), revision: 0 });
                m.preconditions.push(Precondition { key: keys::job(id), revision: job.revision });
                let v = cancelled_value(ctx.wall_ms, None, false);
                m.writes.push(Write::Put { key: keys::end(id), value: v, lease: None });
            }
        }
        if !record.stop && !record.is_template() {
            for g in &record.groups {
                let id = JobId(g.job);
                match ctx.replica.jobs.get(&id) {
                    None if g.count == 0 => {}
                    None => {
                        let Some(content) = self.contents.get(&record.nonce).cloned() else {
                            // The native job is created from the content, which is read first.
                            return self.load_content(key, &record.nonce);
                        };
                        let spec = content.specs.get(&g.name).and_then(|r| parse_job_spec(id, r));
                        let Some(mut spec) = spec else {
                            log::error!(
                                "group has no native description namespace={} job={} group={}",
                                record.namespace,
                                record.id,
                                g.name
                            );
                            continue;
                        };
                        spec.tasks = g.count;
                        spec.replaces = record.superseded_jobs.iter().copied().map(JobId).collect();
                        let Some(v) = native_record(&spec, record.at, record, &g.name, ctx) else { continue };
                        if has_capacity(&m) {
                            m.preconditions.push(Precondition { key: keys::job(id), revision: 0 });
                            m.preconditions.push(Precondition { key: keys::end(id), revision: 0 });
                            m.writes.push(Write::Put { key: keys::job(id), value: v, lease: None });
                        }
                    }
                    Some(job) if job.phase == Phase::Active && job.tasks != g.count => {
                        if let (Some(spec), true) = (&job.spec, has_capacity(&m)) {
                            let mut spec = JobSpec::clone(spec);
                            spec.tasks = g.count;
                            let Some(v) = native_record(&spec, job.submitted_ms, record, &g.name, ctx) else {
                                continue;
                            };
                            m.preconditions.push(Precondition { key: keys::job(id), revision: job.revision });
                            m.preconditions.push(Precondition { key: keys::end(id), revision: 0 });
                            m.writes.push(Write::Put { key: keys::job(id), value: v, lease: None });
                        }
                    }
                    Some(_) => {}
                }
            }
        }
        if m.writes.is_empty() && record.purge && !any_active {
            m.writes.push(remove(&names::job_record(key)));
            if self.last_launches.contains_key(key) {
                m.writes.push(remove(&names::last_launch(key)));
            }
        }
        if m.writes.is_empty() {
            return;
        }
        self.operations_in_flight.insert(key.clone());
        let operation = self.new_operation(PendingOperation::Reconcile(key.clone()));
        self.outputs.push(write(operation, m, true));
    }

    /// Starts to read a job's content for the leader's work on the job.
    pub(crate) fn load_content(&mut self, key: &JobKey, nonce: &str) {
        self.operations_in_flight.insert(key.clone());
        let operation = self.new_operation(PendingOperation::Load(key.clone(), nonce.to_owned()));
        self.outputs.push(ExtensionOutput::Read(operation, names::chunk_prefix(key, nonce)));
    }

    /// Removes chunks that no job record references: of unfinished registrations, of versions that
    /// are no longer kept and of deleted jobs.
    fn remove_orphaned_chunks(&mut self, ctx: &ExtensionContext<'_>) {
        let is_referenced = |jobs: &BTreeMap<JobKey, RegisteredJob>, name: &str| {
            let mut s = name.split('/');
            let (Some(key), Some(nonce)) = (s.next(), s.next()) else { return false };
            jobs.get(&JobKey(key.to_owned()))
                .is_some_and(|k: &RegisteredJob| JobRecord::references(&k.record, nonce))
        };
        let mut orphaned = Vec::new();
        for (name, unreferenced_since) in &mut self.chunks {
            if is_referenced(&self.jobs, name) {
                *unreferenced_since = Micros(0);
            } else if *unreferenced_since == Micros(0) {
                *unreferenced_since = ctx.now;
            } else if ctx.now.since(*unreferenced_since) > ORPHANED_CHUNK_TIMEOUT {
                orphaned.push(name.clone());
            }
        }
        orphaned.truncate(ctx.max_txn_writes);
        if orphaned.is_empty() {
            return;
        }
        let writes = orphaned.into_iter().map(|n| remove(&format!("p/{n}"))).collect();
        let operation = self.new_operation(PendingOperation::Sweep);
        self.outputs.push(write(operation, Transaction { preconditions: Vec::new(), writes }, true));
    }

    /// Records a launch time as handled without launching the job.
    pub(crate) fn skip_launch(&mut self, key: &JobKey, registered: &RegisteredJob, ms: u64) {
        let revision = self.last_launches.get(key).map_or(0, |l| l.1);
        let m = Transaction {
            preconditions: vec![
                precondition(names::job_record(key), registered.modify_revision),
                precondition(names::last_launch(key), revision),
            ],
            writes: vec![put(&names::last_launch(key), json!(ms))],
        };
        self.operations_in_flight.insert(key.clone());
        let operation = self.new_operation(PendingOperation::SkipLaunch(key.clone()));
        self.outputs.push(write(operation, m, true));
    }
}
