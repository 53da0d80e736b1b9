//! Nomad's interface as a guest of the scheduler: a state machine that keeps
//! jobs' heads, answers requests, and, where it leads, makes native jobs of
//! what the heads say.
//!
//! Invariants:
//! - The head is written last and under its own version; before it nothing
//!   counts, after it everything follows from it.
//! - Native jobs are written by the leader only, under the leader's key and the
//!   head that asks for them: what an older head asked for can't come late.
//! - A native job, once recorded, is only scaled or ended, never written anew.
mod api;
mod launches;
mod reconcile;
pub mod records;
mod register;
pub mod tokens;
mod views;
mod watch;

use crate::translate::{MachineKind, Site};
use gorseshore_core::extension::{
    Answer, Extension, ExtensionContext, ExtensionInput, ExtensionOutput, OperationId,
};
use gorseshore_core::{CallResult, RequestId};
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::state::{Transaction, TransactionResponse};
use gorseshore_settings::Nomad;
use records::{Content, Head, JobKey};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A head with the revision of its record.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub head: Rc<Head>,
    /// The registration's version, `JobModifyIndex`.
    pub stamp: u64,
    /// The revision of its first registration, `CreateIndex`.
    pub created: u64,
    /// The last revision at which something of it changed.
    pub changed: u64,
}

/// What a ticket is for.
#[derive(Debug)]
pub(crate) enum Pending {
    /// A request that waits for proof of being up to date.
    Request(api::Request),
    /// A registration under way.
    Register(Box<register::Registration>),
    /// A job's stored content, for an answer.
    Content { request: api::Request, nonce: String },
    /// The leader's work on a job.
    Reconcile(JobKey),
    /// The leader reads a job's content for that.
    Load(JobKey, String),
    /// A launch of a periodic job.
    Launch(JobKey),
    /// Clearing up.
    Sweep,
}

/// The interface.
pub struct Service {
    pub(crate) settings: Rc<Nomad>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) heads: BTreeMap<JobKey, Known>,
    /// Which job a native job is behind.
    pub(crate) natives: HashMap<JobId, JobKey>,
    /// Last launches, with the versions of their records.
    pub(crate) launches: BTreeMap<JobKey, (u64, u64)>,
    /// Dispatches by their tokens: the job that was made.
    pub(crate) dispatches: BTreeMap<JobKey, String>,
    /// Parts that are there, and since when they are known here.
    pub(crate) parts: BTreeMap<String, Micros>,
    /// Contents read or written here, by the name of their parts.
    pub(crate) contents: BTreeMap<String, Rc<Content>>,
    /// Of what was removed before this revision nothing is known.
    pub(crate) floor: u64,
    /// The last revision at which anything changed.
    pub(crate) changed: u64,
    pub(crate) pending: BTreeMap<OperationId, Pending>,
    pub(crate) next_ticket: u64,
    pub(crate) out: Vec<ExtensionOutput>,
    pub(crate) waiting: Vec<watch::Blocked>,
    pub(crate) streams: BTreeMap<RequestId, watch::Stream>,
    pub(crate) events: std::collections::VecDeque<watch::Event>,
    /// Jobs that the leader should look at, and when no earlier.
    pub(crate) dirty: BTreeMap<JobKey, Micros>,
    /// Jobs that a write of the leader is under way for.
    pub(crate) busy: BTreeSet<JobKey>,
    pub(crate) led: bool,
    /// The mirror is being read anew: what comes is no news.
    pub(crate) loading: bool,
    pub(crate) swept: Micros,
    /// The second of the day at which launches were last looked at, and for
    /// each periodic job its next launch, by last launch and head.
    pub(crate) launch_second: u64,
    pub(crate) next_launch: BTreeMap<JobKey, (u64, u64, u64)>,
    pub(crate) looked: Micros,
    /// Machine types as last seen.
    pub(crate) site: Site,
}

/// Contents kept in memory.
const CONTENTS_KEPT: usize = 64;
/// Most requests and writes under way.
pub(crate) const MAX_PENDING: usize = 1000;

impl Service {
    /// An interface with these settings; `seed` for names that must not meet.
    pub fn new(settings: Nomad, seed: u64) -> Self {
        Service {
            settings: Rc::new(settings),
            rng: fastrand::Rng::with_seed(seed),
            heads: BTreeMap::new(),
            natives: HashMap::new(),
            launches: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            parts: BTreeMap::new(),
            contents: BTreeMap::new(),
            floor: 0,
            changed: 0,
            pending: BTreeMap::new(),
            next_ticket: 1,
            out: Vec::new(),
            waiting: Vec::new(),
            streams: BTreeMap::new(),
            events: Default::default(),
            dirty: BTreeMap::new(),
            busy: BTreeSet::new(),
            led: false,
            loading: false,
            swept: Micros(0),
            launch_second: 0,
            next_launch: BTreeMap::new(),
            looked: Micros(0),
            site: Site::default(),
        }
    }

    pub(crate) fn ticket(&mut self, p: Pending) -> OperationId {
        let t = OperationId(self.next_ticket);
        self.next_ticket += 1;
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
        self.out.push(ExtensionOutput::Answer(id, Answer { status, headers, body }));
    }

    /// An error in the interface's own form: text.
    pub(crate) fn refuse(&mut self, id: RequestId, status: u16, text: &str) {
        let mut headers = vec![("Content-Type", "text/plain; charset=utf-8".to_owned())];
        if matches!(status, 429 | 503) {
            headers.push(("Retry-After", "1".into()));
        }
        self.out
            .push(ExtensionOutput::Answer(id, Answer { status, headers, body: text.as_bytes().to_vec() }));
    }

    pub(crate) fn keep_content(&mut self, nonce: &str, content: Rc<Content>) {
        if self.contents.len() >= CONTENTS_KEPT {
            let used = |n: &String| self.heads.values().any(|k| k.head.nonce == *n);
            let old = self.contents.keys().find(|n| !used(n)).or(self.contents.keys().next()).cloned();
            old.map(|n| self.contents.remove(&n));
        }
        self.contents.insert(nonce.to_owned(), content);
    }

    /// A content that was read in parts.
    pub(crate) fn content_of(&mut self, nonce: &str, result: &CallResult) -> Option<Rc<Content>> {
        let CallResult::Response { status: 200, body } = result else { return None };
        let page: gorseshore_protocol::state::Listing = serde_json::from_slice(body).ok()?;
        let text: String = page.entries.iter().filter_map(|p| p.value.as_str()).collect();
        let content: Rc<Content> = Rc::new(serde_json::from_str(&text).ok()?);
        self.keep_content(nonce, content.clone());
        Some(content)
    }

    fn note(&mut self, key: &JobKey, stamp: u64) {
        self.changed = self.changed.max(stamp);
        if let Some(k) = self.heads.get_mut(key) {
            k.changed = k.changed.max(stamp);
        }
        self.dirty.entry(key.clone()).or_insert(Micros(0));
    }

    fn take_head(&mut self, key: JobKey, head: Option<Head>, stamp: u64) {
        let Some(head) = head else {
            if let Some(old) = self.heads.remove(&key) {
                self.changed = self.changed.max(stamp);
                self.next_launch.remove(&key);
                self.event("JobDeregistered", &old.head, stamp);
            }
            return;
        };
        for id in head.natives() {
            self.natives.insert(id, key.clone());
        }
        let created = head.created.unwrap_or(stamp);
        let known = Known { head: Rc::new(head), stamp, created, changed: stamp };
        let head = known.head.clone();
        self.heads.insert(key.clone(), known);
        let what = if head.stop { "JobDeregistered" } else { "JobRegistered" };
        self.event(what, &head, stamp);
        self.note(&key, stamp);
    }

    /// The site as the cloud tells it.
    fn look(&mut self, host: &ExtensionContext<'_>) {
        let mut machines = Vec::new();
        for f in host.flavors {
            for z in &f.zones {
                machines.push(MachineKind {
                    name: f.name.clone(),
                    zone: z.clone(),
                    cpus: f.cpus,
                    memory_gb: f.memory_gb,
                });
            }
        }
        self.site = Site { machines, teams: host.teams.iter().map(|t| t.name.clone()).collect() };
    }

    fn called(&mut self, host: &ExtensionContext<'_>, ticket: OperationId, result: CallResult) {
        match self.pending.remove(&ticket) {
            Some(Pending::Register(r)) => self.register_written(host, *r, &result),
            Some(Pending::Content { request, nonce }) => match self.content_of(&nonce, &result) {
                Some(_) => self.serve(host, request),
                None => self.refuse(request.id, 503, "the job can't be read from the state service now"),
            },
            Some(Pending::Reconcile(key)) => {
                self.busy.remove(&key);
                let again = match result {
                    CallResult::Response { status: 200, .. } => Micros(0),
                    // The mirror is behind, or another leads: what holds will show.
                    CallResult::Response { status: 409, .. } => host.now + Micros::millis(100),
                    _ => host.now + Micros::millis(500 + self.rng.u64(0..500)),
                };
                self.dirty.insert(key, again);
            }
            Some(Pending::Load(key, nonce)) => {
                self.busy.remove(&key);
                let found = self.content_of(&nonce, &result).is_some();
                let pause = if found { Micros(0) } else { Micros::millis(500 + self.rng.u64(0..500)) };
                self.dirty.insert(key, host.now + pause);
            }
            Some(Pending::Launch(key)) => {
                self.busy.remove(&key);
                self.dirty.insert(key, host.now + Micros::millis(200));
            }
            Some(Pending::Sweep | Pending::Request(_)) | None => {}
        }
    }
}

/// The revision of a change that was answered with 200.
pub(crate) fn revision(result: &CallResult) -> Option<u64> {
    match result {
        CallResult::Response { status: 200, body } => {
            Some(serde_json::from_slice::<TransactionResponse>(body).ok()?.revision)
        }
        _ => None,
    }
}

/// A write, under the leader's key or not.
pub(crate) fn write(ticket: OperationId, multi: Transaction, as_leader: bool) -> ExtensionOutput {
    ExtensionOutput::Write { ticket, multi, as_leader }
}

impl Extension for Service {
    fn reset(&mut self, floor: u64) {
        self.loading = true;
        // Readers of events come back with their index; what they may have
        // missed meanwhile is not known here.
        for id in std::mem::take(&mut self.streams).into_keys() {
            self.out.push(ExtensionOutput::Close(id));
        }
        self.events.clear();
        self.heads.clear();
        self.natives.clear();
        self.launches.clear();
        self.dispatches.clear();
        self.parts.clear();
        self.dirty.clear();
        self.floor = floor;
        self.changed = self.changed.max(floor);
    }

    fn apply(&mut self, name: &str, value: Option<&Value>, stamp: u64) {
        let Some((space, rest)) = name.split_once('/') else { return };
        let key = || JobKey(rest.to_owned());
        match space {
            "j" => {
                let head = value.and_then(|v| serde_json::from_value::<Head>(v.clone()).ok());
                self.take_head(key(), head, stamp);
            }
            "l" => {
                match value.and_then(Value::as_u64) {
                    Some(ms) => drop(self.launches.insert(key(), (ms, stamp))),
                    None => drop(self.launches.remove(&key())),
                }
                self.note(&key(), stamp);
            }
            "i" => match value.and_then(Value::as_str) {
                Some(id) => drop(self.dispatches.insert(key(), id.to_owned())),
                None => drop(self.dispatches.remove(&key())),
            },
            "p" => match value {
                Some(_) => drop(self.parts.insert(rest.to_owned(), Micros(0))),
                None => drop(self.parts.remove(rest)),
            },
            _ => {}
        }
    }

    fn job_changed(&mut self, id: JobId, stamp: u64) {
        if let Some(key) = self.natives.get(&id).cloned() {
            self.note(&key, stamp);
        }
    }

    fn handle(&mut self, host: &ExtensionContext<'_>, input: ExtensionInput) -> Vec<ExtensionOutput> {
        self.loading = false;
        match input {
            ExtensionInput::Tick => {
                if host.now.since(self.looked) >= Micros::secs(1) {
                    self.looked = host.now;
                    self.look(host);
                }
                self.expire(host);
                self.lead(host);
            }
            ExtensionInput::ReplicaUpdated => {
                self.wake(host);
                self.lead(host);
            }
            ExtensionInput::Request { id, method, path, token, body } => {
                self.request(host, id, &method, &path, token.as_deref(), body);
            }
            ExtensionInput::ClientDisconnected(id) => {
                self.waiting.retain(|b| b.request.id != id);
                self.streams.remove(&id);
            }
            ExtensionInput::ReadBarrierDone(ticket, good) => match self.pending.remove(&ticket) {
                Some(Pending::Request(r)) if good => self.serve(host, r),
                Some(Pending::Request(r)) => self.refuse(r.id, 503, "the state service can't be asked now"),
                Some(Pending::Register(r)) if good => self.register_proved(host, *r),
                Some(Pending::Register(r)) => {
                    self.give_up(&r, 503, "the state service can't be asked now");
                }
                _ => {}
            },
            ExtensionInput::OperationCompleted(ticket, result) => self.called(host, ticket, result),
        }
        std::mem::take(&mut self.out)
    }
}
