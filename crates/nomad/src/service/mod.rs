//! Nomad's interface as an extension of the scheduler: a state machine that mirrors the records of
//! Nomad jobs, answers requests and, on the leader, creates native jobs from the records.
//!
//! Invariants:
//! - The job record is written last, conditioned on its own revision. Until it is written, the
//!   registration has no effect; afterwards everything is derived from it.
//! - Only the leader writes native jobs, conditioned on the leader's key and on the job record that
//!   requests them, so a write for an older record cannot be applied late.
//! - A native job, once recorded, is only scaled or ended; it is never recreated.
mod api;
mod launches;
mod reconcile;
pub mod records;
mod register;
pub mod tokens;
mod views;
mod watch;

use crate::translate::{MachineType, Site};
use gorseshore_core::extension::{
    Answer, Extension, ExtensionContext, ExtensionInput, ExtensionOutput, OperationId,
};
use gorseshore_core::{CallResult, RequestId};
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::state::{Transaction, TransactionResponse};
use gorseshore_settings::Nomad;
use records::{Content, JobKey, JobRecord};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A job record with the revisions of its key.
#[derive(Debug, Clone)]
pub(crate) struct RegisteredJob {
    pub record: Rc<JobRecord>,
    /// The revision of the current record, `JobModifyIndex`.
    pub modify_revision: u64,
    /// The revision of the first registration, `CreateIndex`.
    pub create_revision: u64,
    /// The last revision at which the job, its last launch or one of its native jobs changed.
    pub last_change_revision: u64,
}

/// What an outstanding operation is for.
#[derive(Debug)]
pub(crate) enum PendingOperation {
    /// A request that waits for its read barrier.
    Request(api::Request),
    /// A change of a job in progress.
    Register(Box<register::PendingChange>),
    /// A read of a job's content for an answer.
    Content { request: api::Request, nonce: String },
    /// A write of the leader that reconciles a job.
    Reconcile(JobKey),
    /// A read of a job's content for reconciling or launching it.
    Load(JobKey, String),
    /// A write of the leader that skips a launch of a periodic job.
    SkipLaunch(JobKey),
    /// A removal of orphaned chunks.
    Sweep,
}

/// State of Nomad's interface.
pub struct Service {
    pub(crate) settings: Rc<Nomad>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) jobs: BTreeMap<JobKey, RegisteredJob>,
    /// The Nomad job that each native job belongs to.
    pub(crate) jobs_by_native_id: HashMap<JobId, JobKey>,
    /// Last launch time in milliseconds since 1970 and the revision of its record, by periodic job.
    pub(crate) last_launches: BTreeMap<JobKey, (u64, u64)>,
    /// Id of the dispatched job, by hashed idempotency token.
    pub(crate) jobs_by_dispatch_token: BTreeMap<JobKey, String>,
    /// Stored chunks, and when each was first seen without a job record that references it; 0 if it
    /// is referenced or not checked yet.
    pub(crate) chunks: BTreeMap<String, Micros>,
    /// Contents read or written by this controller, by nonce.
    pub(crate) contents: BTreeMap<String, Rc<Content>>,
    /// Removals before this revision are unknown to this controller.
    pub(crate) history_start: u64,
    /// The last revision at which any job changed.
    pub(crate) last_change_revision: u64,
    pub(crate) pending: BTreeMap<OperationId, PendingOperation>,
    pub(crate) next_operation: u64,
    pub(crate) outputs: Vec<ExtensionOutput>,
    pub(crate) blocked_queries: Vec<watch::BlockedQuery>,
    pub(crate) streams: BTreeMap<RequestId, watch::Stream>,
    pub(crate) events: std::collections::VecDeque<watch::Event>,
    /// Jobs that the leader has to reconcile, and the earliest time for it.
    pub(crate) reconcile_queue: BTreeMap<JobKey, Micros>,
    /// Jobs for which the leader has a read or write in flight.
    pub(crate) operations_in_flight: BTreeSet<JobKey>,
    pub(crate) was_leader: bool,
    /// The replica is being reloaded, so changes are not published as events.
    pub(crate) loading: bool,
    pub(crate) swept_at: Micros,
    /// The second since 1970 at which due launches were last scanned.
    pub(crate) launch_second: u64,
    /// For each periodic job the time from which its next launch was computed, the revision of the
    /// job record and the next launch; times in milliseconds since 1970.
    pub(crate) next_launch: BTreeMap<JobKey, (u64, u64, u64)>,
    pub(crate) site_updated_at: Micros,
    /// Machine types and teams, refreshed once a second.
    pub(crate) site: Site,
}

/// Most contents cached in memory.
const MAX_CACHED_CONTENTS: usize = 64;
/// Most outstanding operations at which new requests are still accepted.
pub(crate) const MAX_PENDING: usize = 1000;

impl Service {
    /// An interface with these settings; `seed` is for the generator of ids and nonces, which must
    /// differ between controllers.
    pub fn new(settings: Nomad, seed: u64) -> Self {
        Service {
            settings: Rc::new(settings),
            rng: fastrand::Rng::with_seed(seed),
            jobs: BTreeMap::new(),
            jobs_by_native_id: HashMap::new(),
            last_launches: BTreeMap::new(),
            jobs_by_dispatch_token: BTreeMap::new(),
            chunks: BTreeMap::new(),
            contents: BTreeMap::new(),
            history_start: 0,
            last_change_revision: 0,
            pending: BTreeMap::new(),
            next_operation: 1,
            outputs: Vec::new(),
            blocked_queries: Vec::new(),
            streams: BTreeMap::new(),
            events: Default::default(),
            reconcile_queue: BTreeMap::new(),
            operations_in_flight: BTreeSet::new(),
            was_leader: false,
            loading: false,
            swept_at: Micros(0),
            launch_second: 0,
            next_launch: BTreeMap::new(),
            site_updated_at: Micros(0),
            site: Site::default(),
        }
    }

    pub(crate) fn new_operation(&mut self, p: PendingOperation) -> OperationId {
        let t = OperationId(self.next_operation);
        self.next_operation += 1;
        self.pending.insert(t, p);
        t
    }

    pub(crate) fn answer(&mut self, id: RequestId, status: u16, index: u64, body: &Value) {
        self.answer_with(id, status, index, Vec::new(), body);
    }

    pub(crate) fn answer_with(
        &mut self,
        id: RequestId,
        status: u16,
        index: u64,
        mut headers: Vec<(&'static str, String)>,
        body: &Value,
    ) {
        headers.push(("X-Nomad-KnownLeader", "true".into()));
        headers.push(("X-Nomad-LastContact", "0".into()));
        if index > 0 {
            headers.push(("X-Nomad-Index", index.to_string()));
        }
        let body = body.to_string().into_bytes();
        self.outputs.push(ExtensionOutput::Answer(id, Answer { status, headers, body }));
    }

    /// Answers with an error as plain text, the form that Nomad's interface uses.
    pub(crate) fn answer_error(&mut self, id: RequestId, status: u16, text: &str) {
        let mut headers = vec![("Content-Type", "text/plain; charset=utf-8".to_owned())];
        if matches!(status, 429 | 503) {
            headers.push(("Retry-After", "1".into()));
        }
        self.outputs
            .push(ExtensionOutput::Answer(id, Answer { status, headers, body: text.as_bytes().to_vec() }));
    }

    pub(crate) fn cache_content(&mut self, nonce: &str, content: Rc<Content>) {
        if self.contents.len() >= MAX_CACHED_CONTENTS {
            let used = |n: &String| self.jobs.values().any(|k| k.record.nonce == *n);
            let old = self.contents.keys().find(|n| !used(n)).or(self.contents.keys().next()).cloned();
            old.map(|n| self.contents.remove(&n));
        }
        self.contents.insert(nonce.to_owned(), content);
    }

    /// Joins and parses the chunks of a content that was read, and caches it.
    pub(crate) fn decode_content(&mut self, nonce: &str, result: &CallResult) -> Option<Rc<Content>> {
        let CallResult::Response { status: 200, body } = result else { return None };
        let page: gorseshore_protocol::state::Listing = serde_json::from_slice(body).ok()?;
        let text: String = page.entries.iter().filter_map(|p| p.value.as_str()).collect();
        let content: Rc<Content> = Rc::new(serde_json::from_str(&text).ok()?);
        self.cache_content(nonce, content.clone());
        Some(content)
    }

    fn mark_changed(&mut self, key: &JobKey, revision: u64) {
        self.last_change_revision = self.last_change_revision.max(revision);
        if let Some(k) = self.jobs.get_mut(key) {
            k.last_change_revision = k.last_change_revision.max(revision);
        }
        self.reconcile_queue.entry(key.clone()).or_insert(Micros(0));
    }

    fn apply_job_record(&mut self, key: JobKey, record: Option<JobRecord>, revision: u64) {
        let Some(record) = record else {
            if let Some(old) = self.jobs.remove(&key) {
                self.last_change_revision = self.last_change_revision.max(revision);
                self.next_launch.remove(&key);
                self.publish_event("JobDeregistered", &old.record, revision);
            }
            return;
        };
        for id in record.native_jobs() {
            self.jobs_by_native_id.insert(id, key.clone());
        }
        let created = record.create_revision.unwrap_or(revision);
        let registered = RegisteredJob {
            record: Rc::new(record),
            modify_revision: revision,
            create_revision: created,
            last_change_revision: revision,
        };
        let record = registered.record.clone();
        self.jobs.insert(key.clone(), registered);
        let kind = if record.stop { "JobDeregistered" } else { "JobRegistered" };
        self.publish_event(kind, &record, revision);
        self.mark_changed(&key, revision);
    }

    /// Refreshes machine types and teams from the scheduler's context.
    fn update_site(&mut self, ctx: &ExtensionContext<'_>) {
        let mut machines = Vec::new();
        for f in ctx.flavors {
            for z in &f.zones {
                machines.push(MachineType {
                    name: f.name.clone(),
                    zone: z.clone(),
                    cpus: f.cpus,
                    memory_gb: f.memory_gb,
                });
            }
        }
        self.site = Site { machines, teams: ctx.teams.iter().map(|t| t.name.clone()).collect() };
    }

    fn operation_completed(
        &mut self,
        ctx: &ExtensionContext<'_>,
        operation: OperationId,
        result: CallResult,
    ) {
        match self.pending.remove(&operation) {
            Some(PendingOperation::Register(r)) => self.change_write_ended(ctx, *r, &result),
            Some(PendingOperation::Content { request, nonce }) => {
                match self.decode_content(&nonce, &result) {
                    Some(_) => self.serve(ctx, request),
                    None => {
                        self.answer_error(request.id, 503, "the job can't be read from the state service now")
                    }
                }
            }
            Some(PendingOperation::Reconcile(key)) => {
                self.operations_in_flight.remove(&key);
                let retry_at = match result {
                    CallResult::Response { status: 200, .. } => Micros(0),
                    // The replica is behind or another node leads; the next update of the replica
                    // shows which.
                    CallResult::Response { status: 409, .. } => ctx.now + Micros::millis(100),
                    _ => ctx.now + Micros::millis(500 + self.rng.u64(0..500)),
                };
                self.reconcile_queue.insert(key, retry_at);
            }
            Some(PendingOperation::Load(key, nonce)) => {
                self.operations_in_flight.remove(&key);
                let found = self.decode_content(&nonce, &result).is_some();
                let pause = if found { Micros(0) } else { Micros::millis(500 + self.rng.u64(0..500)) };
                self.reconcile_queue.insert(key, ctx.now + pause);
            }
            Some(PendingOperation::SkipLaunch(key)) => {
                self.operations_in_flight.remove(&key);
                self.reconcile_queue.insert(key, ctx.now + Micros::millis(200));
            }
            Some(PendingOperation::Sweep | PendingOperation::Request(_)) | None => {}
        }
    }
}

/// The revision of a transaction that was answered with 200.
pub(crate) fn committed_revision(result: &CallResult) -> Option<u64> {
    match result {
        CallResult::Response { status: 200, body } => {
            Some(serde_json::from_slice::<TransactionResponse>(body).ok()?.revision)
        }
        _ => None,
    }
}

/// A write, with or without the leader's key as a precondition.
pub(crate) fn write(operation: OperationId, transaction: Transaction, as_leader: bool) -> ExtensionOutput {
    ExtensionOutput::Write { ticket: operation, multi: transaction, as_leader }
}

impl Extension for Service {
    fn reset(&mut self, floor: u64) {
        self.loading = true;
        // Closes the event streams: events missed during the reload are unknown here, and clients
        // reconnect with their last index.
        for id in std::mem::take(&mut self.streams).into_keys() {
            self.outputs.push(ExtensionOutput::Close(id));
        }
        self.events.clear();
        self.jobs.clear();
        self.jobs_by_native_id.clear();
        self.last_launches.clear();
        self.jobs_by_dispatch_token.clear();
        self.chunks.clear();
        self.reconcile_queue.clear();
        self.history_start = floor;
        self.last_change_revision = self.last_change_revision.max(floor);
    }

    fn apply(&mut self, name: &str, value: Option<&Value>, revision: u64) {
        let Some((space, rest)) = name.split_once('/') else { return };
        let key = || JobKey(rest.to_owned());
        match space {
            "j" => {
                let record = value.and_then(|v| serde_json::from_value::<JobRecord>(v.clone()).ok());
                self.apply_job_record(key(), record, revision);
            }
            "l" => {
                match value.and_then(Value::as_u64) {
                    Some(ms) => drop(self.last_launches.insert(key(), (ms, revision))),
                    None => drop(self.last_launches.remove(&key())),
                }
                self.mark_changed(&key(), revision);
            }
            "i" => match value.and_then(Value::as_str) {
                Some(id) => drop(self.jobs_by_dispatch_token.insert(key(), id.to_owned())),
                None => drop(self.jobs_by_dispatch_token.remove(&key())),
            },
            "p" => match value {
                Some(_) => drop(self.chunks.insert(rest.to_owned(), Micros(0))),
                None => drop(self.chunks.remove(rest)),
            },
            _ => {}
        }
    }

    fn job_changed(&mut self, id: JobId, revision: u64) {
        if let Some(key) = self.jobs_by_native_id.get(&id).cloned() {
            self.mark_changed(&key, revision);
        }
    }

    fn refers_to(&self, id: JobId) -> bool {
        let registered = self.jobs_by_native_id.get(&id).and_then(|key| self.jobs.get(key));
        registered.is_some_and(|k| k.record.native_jobs().any(|native| native == id))
    }

    fn handle(&mut self, ctx: &ExtensionContext<'_>, input: ExtensionInput) -> Vec<ExtensionOutput> {
        self.loading = false;
        match input {
            ExtensionInput::Tick => {
                if ctx.now.since(self.site_updated_at) >= Micros::secs(1) {
                    self.site_updated_at = ctx.now;
                    self.update_site(ctx);
                }
                self.expire_queries(ctx);
                self.run_leader_work(ctx);
            }
            ExtensionInput::ReplicaUpdated => {
                self.answer_ready_queries(ctx);
                self.run_leader_work(ctx);
            }
            ExtensionInput::Request { id, method, path, token, body } => {
                self.request(ctx, id, &method, &path, token.as_deref(), body);
            }
            ExtensionInput::ClientDisconnected(id) => {
                self.blocked_queries.retain(|b| b.request.id != id);
                self.streams.remove(&id);
            }
            ExtensionInput::ReadBarrierDone(operation, good) => match self.pending.remove(&operation) {
                Some(PendingOperation::Request(r)) if good => self.serve(ctx, r),
                Some(PendingOperation::Request(r)) => {
                    self.answer_error(r.id, 503, "the state service can't be asked now")
                }
                Some(PendingOperation::Register(r)) if good => self.resume_after_barrier(ctx, *r),
                Some(PendingOperation::Register(r)) => {
                    self.fail_change(&r, 503, "the state service can't be asked now");
                }
                _ => {}
            },
            ExtensionInput::OperationCompleted(operation, result) => {
                self.operation_completed(ctx, operation, result)
            }
        }
        std::mem::take(&mut self.outputs)
    }
}
