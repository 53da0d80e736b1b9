//! The leader makes the native jobs be what the heads say.
//!
//! Every write is conditioned on the leader's key, on the head that asks for
//! it and on the record that it changes: whatever comes late, or from a leader
//! that is none any more, fails.
use super::records::{Head, JobKey, names};
use super::register::{put, remove, when};
use super::{Known, Pending, Service, write};
use gorseshore_core::extension::{ExtensionContext, ExtensionOutput};
use gorseshore_core::jobs::{Phase, cancelled_value, job_value, keys, parse_job_spec};
use gorseshore_core::limits::value_len;
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::state::{Precondition, Transaction, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Writes of the leader under way.
const MOST: usize = 8;
/// Parts that no head names are cleared up after this: longer than a
/// registration may take.
const ORPHANED: Micros = Micros::secs(120);
const SWEEP: Micros = Micros::secs(30);

/// The record of a group's native job; `None`, and a line in the log, if it is longer than
/// the state service takes.
fn native_record(
    spec: &JobSpec,
    submitted_ms: u64,
    head: &Head,
    group: &str,
    host: &ExtensionContext<'_>,
) -> Option<Value> {
    let record = job_value(spec, submitted_ms);
    if value_len(&record) > host.max_value_bytes {
        log::error!("record too long job={} group={group}", head.id);
        return None;
    }
    Some(record)
}

impl Service {
    /// Looks at the jobs that changed, if this node leads.
    pub(crate) fn lead(&mut self, host: &ExtensionContext<'_>) {
        if !host.leads || !host.state_loaded {
            self.led = false;
            self.busy.clear();
            return;
        }
        if !std::mem::replace(&mut self.led, true) {
            self.dirty = self.heads.keys().map(|k| (k.clone(), Micros(0))).collect();
        }
        let due: Vec<JobKey> = self
            .dirty
            .iter()
            .filter(|(k, at)| **at <= host.now && !self.busy.contains(*k))
            .map(|(k, _)| k.clone())
            .take(MOST.saturating_sub(self.busy.len()))
            .collect();
        for key in due {
            self.dirty.remove(&key);
            if let Some(k) = self.heads.get(&key).cloned() {
                self.reconcile(host, &key, &k);
            }
        }
        self.launch(host);
        if host.now.since(self.swept) >= SWEEP {
            self.swept = host.now;
            self.sweep(host);
        }
    }

    fn reconcile(&mut self, host: &ExtensionContext<'_>, key: &JobKey, known: &Known) {
        let head = &known.head;
        let mut m =
            Transaction { preconditions: vec![when(names::head(key), known.stamp)], writes: Vec::new() };
        // The leader's key is a condition more.
        let room = |m: &Transaction| {
            m.writes.len() < host.max_txn_writes && m.preconditions.len() + 3 < host.max_txn_writes * 4
        };
        let over: Vec<JobId> = match head.stop || head.template() {
            true => head.natives().collect(),
            false => head.old.iter().copied().map(JobId).collect(),
        };
        let mut left = false;
        for id in over {
            let Some(job) = host.replica.jobs.get(&id) else { continue };
            left |= job.phase == Phase::Active;
            if job.phase == Phase::Active && room(&m) {
                m.preconditions.push(Precondition { key: keys::end(id), revision: 0 });
                m.preconditions.push(Precondition { key: keys::job(id), revision: job.revision });
                let v = cancelled_value(host.wall_ms, None, false);
                m.writes.push(Write::Put { key: keys::end(id), value: v, lease: None });
            }
        }
        if !head.stop && !head.template() {
            for g in &head.groups {
                let id = JobId(g.job);
                match host.replica.jobs.get(&id) {
                    None if g.count == 0 => {}
                    None => {
                        let Some(content) = self.contents.get(&head.nonce).cloned() else {
                            // What it is made of has to be read first.
                            return self.load(key, &head.nonce);
                        };
                        let spec = content.specs.get(&g.name).and_then(|r| parse_job_spec(id, r));
                        let Some(mut spec) = spec else {
                            log::error!(
                                "{} {}: group {} has no description",
                                head.namespace,
                                head.id,
                                g.name
                            );
                            continue;
                        };
                        spec.tasks = g.count;
                        spec.replaces = head.old.iter().copied().map(JobId).collect();
                        let Some(v) = native_record(&spec, head.at, head, &g.name, host) else { continue };
                        if room(&m) {
                            m.preconditions.push(Precondition { key: keys::job(id), revision: 0 });
                            m.preconditions.push(Precondition { key: keys::end(id), revision: 0 });
                            m.writes.push(Write::Put { key: keys::job(id), value: v, lease: None });
                        }
                    }
                    Some(job) if job.phase == Phase::Active && job.tasks != g.count => {
                        if let (Some(spec), true) = (&job.spec, room(&m)) {
                            let mut spec = JobSpec::clone(spec);
                            spec.tasks = g.count;
                            let Some(v) = native_record(&spec, job.submitted_ms, head, &g.name, host) else {
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
        if m.writes.is_empty() && head.purge && !left {
            m.writes.push(remove(&names::head(key)));
            if self.launches.contains_key(key) {
                m.writes.push(remove(&names::launch(key)));
            }
        }
        if m.writes.is_empty() {
            return;
        }
        self.busy.insert(key.clone());
        let ticket = self.ticket(Pending::Reconcile(key.clone()));
        self.out.push(write(ticket, m, true));
    }

    /// Reads a job's content for the leader's work on it.
    pub(crate) fn load(&mut self, key: &JobKey, nonce: &str) {
        self.busy.insert(key.clone());
        let ticket = self.ticket(Pending::Load(key.clone(), nonce.to_owned()));
        self.out.push(ExtensionOutput::Read(ticket, names::parts(key, nonce)));
    }

    /// Removes parts that no head names: of registrations that were not
    /// finished, of versions that are no longer kept, of jobs that are gone.
    fn sweep(&mut self, host: &ExtensionContext<'_>) {
        let named = |heads: &BTreeMap<JobKey, Known>, name: &str| {
            let mut s = name.split('/');
            let (Some(key), Some(nonce)) = (s.next(), s.next()) else { return false };
            heads.get(&JobKey(key.to_owned())).is_some_and(|k: &Known| Head::refers(&k.head, nonce))
        };
        let mut gone = Vec::new();
        for (name, since) in &mut self.parts {
            if named(&self.heads, name) {
                *since = Micros(0);
            } else if *since == Micros(0) {
                *since = host.now;
            } else if host.now.since(*since) > ORPHANED {
                gone.push(name.clone());
            }
        }
        gone.truncate(host.max_txn_writes);
        if gone.is_empty() {
            return;
        }
        let writes = gone.into_iter().map(|n| remove(&format!("p/{n}"))).collect();
        let ticket = self.ticket(Pending::Sweep);
        self.out.push(write(ticket, Transaction { preconditions: Vec::new(), writes }, true));
    }

    /// Records that a launch was passed over.
    pub(crate) fn pass_over(&mut self, key: &JobKey, known: &Known, ms: u64) {
        let stamp = self.launches.get(key).map_or(0, |l| l.1);
        let m = Transaction {
            preconditions: vec![when(names::head(key), known.stamp), when(names::launch(key), stamp)],
            writes: vec![put(&names::launch(key), json!(ms))],
        };
        self.busy.insert(key.clone());
        let ticket = self.ticket(Pending::Launch(key.clone()));
        self.out.push(write(ticket, m, true));
    }
}
