//! A controller's own part: the machines of its block, what it started on
//! them, and what it tells the leader.
use super::jobs::{Job, Ledger, Phase};
use super::placement::{self, Candidate};
use super::{Call, CallId, CallResult, Outbox, Target};
use crate::peer::{GrantedMachine, HandOut, Held, MachineState, Message, Outcome, StopRequest, TaskState};
use gorseshore_protocol::ids::{Attempt, Baton, JobId, MachineId, Micros, NodeId, Resources, TaskId};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::workers::{Direct, Order, Report};
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of the sendings of a start by `/do`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sending {
    /// None can still arrive.
    Settled,
    /// One is under way.
    InFlight,
    /// One was never answered; it may be executed minutes later.
    Uncertain,
}

/// A start that this controller decided on.
#[derive(Debug, Clone)]
struct Start {
    baton: Baton,
    shift: u64,
    need: Resources,
    seen: bool,
    sending: Sending,
    /// The check-in whose answer last carried the start.
    in_answer_to: Option<(u64, u64)>,
}

#[derive(Debug)]
struct DirectCall {
    call: CallId,
    runs: Vec<(TaskId, Attempt)>,
    status_only: bool,
}

/// A stop under way.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Stop {
    grace: Micros,
    sent_direct: bool,
}

/// A machine of the block.
#[derive(Debug)]
struct Worker {
    baton: Baton,
    addr: String,
    draining: bool,
    shift: u64,
    tally: u64,
    seen_baton: Baton,
    heard: Option<Micros>,
    warning: Option<(Micros, Micros)>,
    tasks: Vec<Held>,
    starts: BTreeMap<(TaskId, Attempt), Start>,
    stops: BTreeMap<(TaskId, Attempt), Stop>,
    /// Exited tasks and the `Sync` that first told of them.
    exits: BTreeMap<(TaskId, Attempt), Option<u64>>,
    direct: Option<DirectCall>,
    /// Raise the token at the worker with a direct call.
    announce: bool,
    not_before: Micros,
    images: BTreeSet<String>,
    /// The `Sync` that first tells of the last change, and of the last report.
    changed: u64,
    reported: u64,
}

impl Worker {
    fn new(g: &GrantedMachine) -> Self {
        Worker {
            baton: g.baton,
            addr: g.addr.clone(),
            draining: g.draining,
            shift: 0,
            tally: 0,
            seen_baton: Baton(0),
            heard: None,
            warning: None,
            tasks: Vec::new(),
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            exits: BTreeMap::new(),
            direct: None,
            announce: true,
            not_before: Micros(0),
            images: BTreeSet::new(),
            changed: 0,
            reported: 0,
        }
    }

    fn has(&self, key: &(TaskId, Attempt)) -> bool {
        self.tasks.iter().any(|t| (t.task, t.attempt) == *key)
    }

    /// Takes a report that is newer than what is known. `checkin` is true if
    /// it came as a check-in, which proves earlier answers settled.
    fn take(&mut self, r: &Report, tasks: Vec<Held>, checkin: bool, now: Micros) -> bool {
        if (r.shift, r.tally) <= (self.shift, self.tally) {
            return false;
        }
        self.shift = r.shift;
        self.tally = r.tally;
        self.seen_baton = self.seen_baton.max(Baton(r.baton));
        self.heard = Some(now);
        self.addr = r.addr.clone();
        self.warning = r.warning_s.map(|s| (now, Micros::from_secs_f64(s)));
        self.tasks = tasks;
        for t in &self.tasks {
            if let Some(s) = self.starts.get_mut(&(t.task, t.attempt)) {
                s.seen = true;
            }
        }
        let (shift, tally, baton) = (r.shift, r.tally, Baton(r.baton));
        let present: BTreeSet<(TaskId, Attempt)> = self.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        self.starts.retain(|k, s| {
            if present.contains(k) {
                return true;
            }
            // A later session, or a higher token: nothing sent before can be
            // executed any more, and the report is without the task.
            if shift > s.shift || baton > s.baton {
                return false;
            }
            // It was here and was cleared; no sending may still arrive.
            if s.seen {
                return s.sending != Sending::Settled;
            }
            // A check-in after the one whose answer carried the start: that
            // answer was dropped. The start is sent again.
            if checkin && s.in_answer_to.is_some_and(|t| (shift, tally) > t) {
                s.in_answer_to = None;
            }
            true
        });
        self.stops.retain(|k, _| present.contains(k) || self.starts.contains_key(k));
        let exited: BTreeSet<(TaskId, Attempt)> =
            self.tasks.iter().filter(|t| t.state.exited()).map(|t| (t.task, t.attempt)).collect();
        self.exits.retain(|k, _| exited.contains(k));
        for k in exited {
            self.exits.entry(k).or_insert(None);
        }
        true
    }

    /// What a report can change that the leader has to hear at once.
    fn outline(&self) -> (u64, Baton, bool, Vec<Held>, usize) {
        (self.shift, self.seen_baton, self.warning.is_some(), self.tasks.clone(), self.starts.len())
    }

    fn used(&self, ledger: &Ledger) -> Resources {
        let mut used = Resources::default();
        for t in self.tasks.iter().filter(|t| !t.state.exited()) {
            used = used.plus(need_of(ledger, t.task.job));
        }
        for s in self.starts.iter().filter(|(k, _)| !self.has(k)) {
            used = used.plus(s.1.need);
        }
        used
    }
}

/// What a task of the job takes; a machine's worth if nobody knows.
fn need_of(ledger: &Ledger, job: JobId) -> Resources {
    ledger
        .jobs
        .get(&job)
        .and_then(|j| j.spec.as_ref())
        .map_or(Resources { cpu: 1_000_000, gpu: 0, mem: 1_000_000 }, |s| s.need)
}

fn over(job: Option<&Job>, index: u32) -> bool {
    job.is_some_and(|j| {
        j.phase != Phase::Active || j.done.contains(index) || index >= j.tasks && j.spec.is_some()
    })
}

/// What became of a hand-out, until the leader knows.
#[derive(Debug)]
struct Placed {
    machine: Option<MachineId>,
    told: Option<u64>,
}

/// The part's state.
#[derive(Debug, Default)]
pub struct Controller {
    workers: BTreeMap<MachineId, Worker>,
    outcomes: BTreeMap<Attempt, Placed>,
    /// Term of the last update taken.
    pub term: u64,
    update_seq: u64,
    /// Until then tasks may be started.
    lease_until: Micros,
    sync_seq: u64,
    sync_sent: BTreeMap<u64, Micros>,
    acked: u64,
    /// The `Sync` of this term that the leader has taken; the next one tells
    /// what changed since.
    base: u64,
    /// Something changed that the leader should hear.
    pub dirty: bool,
    /// Workers that something may have to be sent to.
    touched: BTreeSet<MachineId>,
    swept: Micros,
    /// Who holds which machine.
    pub directory: BTreeMap<MachineId, NodeId>,
    /// Running tasks, as the leader last said.
    pub running: BTreeMap<JobId, u32>,
}

/// A worker that was silent for so long is asked by its holder.
pub const ASKED_AFTER: Micros = Micros::millis(2800);
/// How long its answer is waited for.
pub const ASK_TIMEOUT: Micros = Micros::millis(1500);

/// How often all workers are looked at.
const SWEEP: Micros = Micros::millis(200);

/// Sizes of machine types by name.
pub type Sizes = BTreeMap<String, Resources>;

/// Reads the tasks of a report; `None` if the report makes no sense.
pub fn read_tasks(r: &Report) -> Option<Vec<Held>> {
    r.pieces
        .iter()
        .map(|p| {
            let state = match (p.stage.as_str(), p.cause.as_deref()) {
                ("pulling", _) => TaskState::Fetching,
                ("running", _) => TaskState::Running,
                ("flushing", _) => TaskState::Saving,
                ("exited", Some("done")) => TaskState::Done,
                ("exited", Some("halted")) => TaskState::Stopped,
                ("exited", Some("error")) => TaskState::Failed,
                ("exited", _) => TaskState::Refused,
                // An unknown state is something that is there.
                _ => TaskState::Running,
            };
            Some(Held { task: TaskId::parse(&p.piece)?, attempt: Attempt(p.attempt), state })
        })
        .collect()
}

/// What to answer to a check-in.
#[derive(Debug, PartialEq)]
pub enum CheckinReply {
    /// 200 with these orders.
    Orders(Baton, Vec<Order>),
    /// 421, naming the holder if it is known.
    Elsewhere(Option<NodeId>),
}

impl Controller {
    /// Whether this controller holds a machine.
    pub fn holds(&self, id: &MachineId) -> bool {
        self.workers.contains_key(id)
    }

    /// Number of machines held.
    pub fn held(&self) -> usize {
        self.workers.len()
    }

    /// Whether tasks may be started now.
    pub fn lease_valid(&self, now: Micros) -> bool {
        now < self.lease_until
    }

    /// A check-in.
    pub fn checkin(&mut self, r: &Report, tasks: Vec<Held>, ledger: &Ledger, now: Micros) -> CheckinReply {
        let id = MachineId::from(&*r.host);
        let Some(w) = self.workers.get_mut(&id) else {
            return CheckinReply::Elsewhere(self.directory.get(&id).copied());
        };
        if Baton(r.baton) > w.baton {
            // Somebody holds it under a higher token: this node's word is void.
            info!("{id}: lost to a higher token {}", r.baton);
            self.workers.remove(&id);
            let to = self.directory.remove(&id);
            return CheckinReply::Elsewhere(to);
        }
        let before = w.outline();
        if !w.take(r, tasks, true, now) {
            // A late report: its sender is gone, and its tasks are old.
            return CheckinReply::Orders(w.baton, Vec::new());
        }
        // A report that says nothing new waits for the next `Sync` that is due.
        w.reported = self.sync_seq + 1;
        let news = w.outline() != before;
        self.touched.insert(id.clone());
        if news {
            self.touch(&id);
        }
        let may_start = now < self.lease_until;
        let orders = self.orders(&id, ledger, true, may_start);
        let w = &self.workers[&id];
        CheckinReply::Orders(w.baton, orders)
    }

    /// Stops what is over on a machine that this controller does not hold:
    /// nothing else may be ordered there.
    pub fn stops_for_stranger(tasks: &[Held], ledger: &Ledger) -> Vec<Order> {
        let unwanted = |t: &&Held| !t.state.exited() && over(ledger.jobs.get(&t.task.job), t.task.index);
        let halt = |t: &Held| Order {
            verb: "halt".into(),
            piece: t.task.to_string(),
            attempt: t.attempt.0,
            wind_down_s: Some(0.0),
        };
        tasks.iter().filter(unwanted).map(halt).collect()
    }

    /// Orders for a machine; `answer` if they go out in a check-in's answer.
    fn orders(&mut self, id: &MachineId, ledger: &Ledger, answer: bool, may_start: bool) -> Vec<Order> {
        let acked = self.acked;
        let Some(w) = self.workers.get_mut(id) else { return Vec::new() };
        let mut out = Vec::new();
        let order = |verb: &str, k: &(TaskId, Attempt), grace: Option<f64>| Order {
            verb: verb.into(),
            piece: k.0.to_string(),
            attempt: k.1.0,
            wind_down_s: grace,
        };
        for t in &w.tasks {
            let k = (t.task, t.attempt);
            if t.state.exited() {
                // `clear` goes only into answers to check-ins, after which no
                // earlier answer can be executed; and only when no `/do` with
                // the start is open, or a late one would start it again.
                let settled = w.starts.get(&k).is_none_or(|s| s.sending == Sending::Settled);
                let recorded = match t.state {
                    TaskState::Done => over(ledger.jobs.get(&t.task.job), t.task.index),
                    _ => w.exits.get(&k).copied().flatten().is_some_and(|seq| seq <= acked),
                };
                if answer && settled && recorded {
                    out.push(order("clear", &k, None));
                }
                continue;
            }
            let unwanted = over(ledger.jobs.get(&t.task.job), t.task.index);
            let stop = w.stops.get(&k).copied();
            let grace = if unwanted {
                Some(Micros(0))
            } else {
                // A task that saves is left to it.
                stop.map(|s| s.grace).filter(|g| t.state != TaskState::Saving || g.0 == 0)
            };
            let Some(grace) = grace else { continue };
            let sent = stop.is_some_and(|s| s.sent_direct && s.grace == grace);
            if answer || !sent {
                out.push(order("halt", &k, Some(grace.as_secs_f64())));
                w.stops.insert(k, Stop { grace, sent_direct: sent || !answer });
            }
        }
        if may_start {
            let present: BTreeSet<(TaskId, Attempt)> = w.tasks.iter().map(|t| (t.task, t.attempt)).collect();
            for (k, s) in w.starts.iter_mut() {
                let unwanted = over(ledger.jobs.get(&k.0.job), k.0.index) || w.stops.contains_key(k);
                if s.seen || present.contains(k) || unwanted || s.baton != w.baton || s.shift != w.shift {
                    continue;
                }
                if answer {
                    s.in_answer_to = Some((w.shift, w.tally));
                    out.push(order("run", k, None));
                } else if s.sending == Sending::Settled && s.in_answer_to.is_none() {
                    out.push(order("run", k, None));
                }
            }
        }
        out
    }

    /// Something about a machine changed: the leader should hear, and its
    /// worker may have to.
    fn touch(&mut self, id: &MachineId) {
        if let Some(w) = self.workers.get_mut(id) {
            w.changed = self.sync_seq + 1;
            w.reported = w.changed;
            self.touched.insert(id.clone());
            self.dirty = true;
        }
    }

    /// A job ended, or tasks of it were recorded as done: what is here of those
    /// is to be stopped or cleared.
    pub fn job_changed(&mut self, id: JobId, job: &Job) {
        let is_over = |t: &TaskId| t.job == id && over(Some(job), t.index);
        let concerned: Vec<MachineId> = self
            .workers
            .iter()
            .filter(|(_, w)| {
                w.tasks.iter().any(|t| !t.state.exited() && is_over(&t.task))
                    || w.starts.keys().any(|(t, _)| is_over(t))
            })
            .map(|(id, _)| id.clone())
            .collect();
        concerned.iter().for_each(|id| self.touch(id));
    }

    /// Drops starts that nobody wants and that can't have arrived.
    fn drop_unwanted(&mut self, id: &MachineId, ledger: &Ledger) {
        let Some(w) = self.workers.get_mut(id) else { return };
        let before = w.starts.len();
        let (stops, tasks) = (&w.stops, &w.tasks);
        w.starts.retain(|k, s| {
            let open = s.seen || s.sending != Sending::Settled || s.in_answer_to.is_some();
            open || tasks.iter().any(|t| (t.task, t.attempt) == *k)
                || !(over(ledger.jobs.get(&k.0.job), k.0.index) || stops.contains_key(k))
        });
        if before != w.starts.len() {
            self.touch(id);
        }
    }

    /// Sends what is due to the workers, one call at a time to each.
    pub fn drive(&mut self, ledger: &Ledger, now: Micros, out: &mut Outbox) -> Vec<(CallId, MachineId)> {
        let may_start = now < self.lease_until;
        // All are looked at now and then, for what time alone changes.
        let ids: Vec<MachineId> = if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.touched.clear();
            self.workers.keys().cloned().collect()
        } else {
            std::mem::take(&mut self.touched).into_iter().collect()
        };
        let mut calls = Vec::new();
        for id in ids {
            self.drop_unwanted(&id, ledger);
            let Some(w) = self.workers.get(&id) else { continue };
            if w.direct.is_some() || w.addr.is_empty() || now < w.not_before {
                continue;
            }
            // A worker that waits for a controller that ended doesn't report for
            // seconds, though it is well: it is asked.
            let quiet = w.heard.is_some_and(|t| now.since(t) > ASKED_AFTER);
            if w.shift == 0 || quiet {
                if w.announce || quiet {
                    let call = out.call(Call {
                        target: Target::Worker(w.addr.clone()),
                        method: "GET",
                        path: "/status".into(),
                        body: Vec::new(),
                        timeout: ASK_TIMEOUT,
                    });
                    calls.push((call, id.clone()));
                    if let Some(w) = self.workers.get_mut(&id) {
                        w.direct = Some(DirectCall { call, runs: Vec::new(), status_only: true });
                    }
                }
                continue;
            }
            let orders = self.orders(&id, ledger, false, may_start);
            let Some(w) = self.workers.get_mut(&id) else { continue };
            if orders.is_empty() && !w.announce {
                continue;
            }
            w.announce = false;
            let runs: Vec<(TaskId, Attempt)> = orders
                .iter()
                .filter(|o| o.verb == "run")
                .filter_map(|o| Some((TaskId::parse(&o.piece)?, Attempt(o.attempt))))
                .collect();
            for k in &runs {
                if let Some(s) = w.starts.get_mut(k) {
                    s.sending = Sending::InFlight;
                }
            }
            let body = Direct { baton: w.baton.0, shift: w.shift, orders };
            let call = out.call(Call {
                target: Target::Worker(w.addr.clone()),
                method: "POST",
                path: "/do".into(),
                body: serde_json::to_vec(&body).unwrap_or_default(),
                timeout: Micros::millis(2000),
            });
            w.direct = Some(DirectCall { call, runs, status_only: false });
            calls.push((call, id));
        }
        calls
    }

    /// A direct call ended.
    pub fn called(&mut self, id: &MachineId, call: CallId, result: &CallResult, now: Micros) {
        let Some(w) = self.workers.get_mut(id) else { return };
        if w.direct.as_ref().is_none_or(|d| d.call != call) {
            return;
        }
        let Some(d) = w.direct.take() else { return };
        if let CallResult::Answer { status, .. } = result {
            debug!("{id}: direct call answered {status}, {} starts", d.runs.len());
        }
        let fate = match result {
            CallResult::Answer { status: 200 | 400 | 409, .. } | CallResult::NotSent => Sending::Settled,
            _ => Sending::Uncertain,
        };
        for k in &d.runs {
            if let Some(s) = w.starts.get_mut(k) {
                s.sending = fate;
            }
        }
        match result {
            CallResult::Answer { status: status @ (200 | 409), body } => {
                let report: Option<Report> = serde_json::from_slice(body).ok();
                let Some((r, tasks)) = report.and_then(|r| read_tasks(&r).map(|t| (r, t))) else {
                    warn!("{id}: unreadable report");
                    w.not_before = now + Micros::secs(1);
                    self.touch(id);
                    return;
                };
                if r.host != id.as_str() {
                    // Another machine has the address now.
                    w.not_before = now + Micros::secs(1);
                    self.touch(id);
                    return;
                }
                if Baton(r.baton) > w.baton {
                    info!("{id}: lost to a higher token {}", r.baton);
                    self.workers.remove(id);
                    return;
                }
                w.take(&r, tasks, false, now);
                if *status == 409 || d.status_only {
                    w.announce = true;
                }
            }
            CallResult::Answer { status, .. } => {
                debug!("{id}: direct call answered {status}");
                w.not_before = now + Micros::secs(1);
            }
            CallResult::NotSent | CallResult::Unknown => {
                debug!("{id}: direct call failed: {result:?}");
                w.announce = w.announce || w.seen_baton < w.baton;
                w.not_before = now + Micros::millis(700);
            }
        }
        self.touch(id);
    }

    /// Takes what changed of the leader's block; `whole` if that is all of it.
    /// Returns how many machines were granted.
    pub fn take_block(
        &mut self,
        whole: bool,
        block: &[GrantedMachine],
        elsewhere: &[(MachineId, Option<NodeId>)],
    ) -> usize {
        let mut added = 0;
        if whole {
            let keep: BTreeSet<&MachineId> = block.iter().map(|g| &g.id).collect();
            self.workers.retain(|id, _| keep.contains(id));
            self.directory.clear();
        }
        for (id, holder) in elsewhere {
            self.workers.remove(id);
            match holder {
                Some(n) => self.directory.insert(id.clone(), *n),
                None => self.directory.remove(id),
            };
        }
        for g in block {
            self.directory.remove(&g.id);
            let w = self.workers.entry(g.id.clone()).or_insert_with(|| {
                added += 1;
                Worker::new(g)
            });
            w.draining = g.draining;
            if w.addr.is_empty() {
                w.addr = g.addr.clone();
            }
            if g.baton > w.baton {
                w.baton = g.baton;
                w.announce = true;
                w.not_before = Micros(0);
                added += 1;
            }
            self.touch(&g.id);
        }
        added
    }

    /// Whether an update is news, and not one that was held up on the way, and
    /// the one that it builds on was taken.
    pub fn accept_update(&mut self, term: u64, seq: u64, base: u64) -> bool {
        if term < self.term || (term == self.term && seq <= self.update_seq) {
            return false;
        }
        if base > 0 && (term > self.term || base > self.update_seq) {
            return false;
        }
        if term > self.term {
            // Seqs and outcomes belong to a term's leader.
            self.outcomes.clear();
            self.acked = 0;
            self.base = 0;
            self.sync_sent.clear();
            self.lease_until = Micros(0);
            self.running.clear();
            for w in self.workers.values_mut() {
                w.exits.values_mut().for_each(|e| *e = None);
            }
        }
        self.term = term;
        self.update_seq = seq;
        true
    }

    /// Takes numbers of running tasks; `whole` if these are all.
    pub fn take_running(&mut self, whole: bool, running: &[(JobId, u32)]) {
        if whole {
            self.running.clear();
        }
        for (id, n) in running {
            match n {
                0 => self.running.remove(id),
                n => self.running.insert(*id, *n),
            };
        }
    }

    /// The leader took the `Sync` numbered `ack`.
    pub fn take_ack(&mut self, ack: u64, lease: Micros) {
        self.base = ack;
        if let Some(sent) = self.sync_sent.get(&ack).copied() {
            // Less 0.1% for the drift between the clocks.
            self.lease_until = self.lease_until.max(sent + lease.scale(999, 1000));
        }
        self.sync_sent.retain(|s, _| *s >= ack);
        if ack > self.acked {
            self.acked = ack;
            self.outcomes.retain(|_, p| p.told.is_none_or(|t| t > ack));
        }
    }

    /// Takes hand-outs, starting what fits.
    pub fn take_handouts(&mut self, handouts: &[HandOut], ledger: &Ledger, sizes: &Sizes, now: Micros) {
        for h in handouts {
            if self.outcomes.contains_key(&h.attempt) {
                continue;
            }
            let machine = self.place(h, ledger, sizes, now);
            match &machine {
                Some(id) => self.touch(id),
                None => debug!("{}: no room for hand-out {}", h.task, h.attempt.0),
            }
            self.outcomes.insert(h.attempt, Placed { machine, told: None });
            self.dirty = true;
        }
    }

    fn place(&mut self, h: &HandOut, ledger: &Ledger, sizes: &Sizes, now: Micros) -> Option<MachineId> {
        let job = ledger.jobs.get(&h.task.job)?;
        let spec = job.spec.as_ref()?;
        if over(Some(job), h.task.index) || now >= self.lease_until {
            return None;
        }
        // The leader chose by the same measure and reserved room there: its
        // machine, if that will do, and the best of the others otherwise.
        let rate = |id: &MachineId, w: &Worker| self.rate(h, spec, id, w, ledger, sizes, now);
        let id = match self.workers.get(&h.hint).and_then(|w| rate(&h.hint, w)) {
            Some(_) => h.hint.clone(),
            None => self.workers.iter().filter_map(|(id, w)| Some((rate(id, w)?, id))).min()?.1.clone(),
        };
        let w = self.workers.get_mut(&id)?;
        w.images.insert(spec.image.clone());
        w.starts.insert(
            (h.task, h.attempt),
            Start {
                baton: w.baton,
                shift: w.shift,
                need: spec.need,
                seen: false,
                sending: Sending::Settled,
                in_answer_to: None,
            },
        );
        Some(id)
    }

    /// How well a machine suits a hand-out; `None` if it can't be started there.
    #[allow(clippy::too_many_arguments)]
    fn rate(
        &self,
        h: &HandOut,
        spec: &JobSpec,
        id: &MachineId,
        w: &Worker,
        ledger: &Ledger,
        sizes: &Sizes,
        now: Micros,
    ) -> Option<placement::Score> {
        // Only machines granted before the hand-out: the leader bound the
        // task to those. Only recorded ones, and only once the worker has
        // this grant's token: what else it may hold is known then.
        if w.baton.0 >= h.attempt.0 || w.draining || w.seen_baton != w.baton || w.warning.is_some() {
            return None;
        }
        if w.shift == 0 || w.heard.is_none_or(|t| now.since(t) > Micros::secs(5)) {
            return None;
        }
        let m = ledger.machines.get(id)?;
        let size = sizes.get(&m.build)?;
        let c = Candidate {
            build: &m.build,
            zone: &m.zone,
            spot: m.spot,
            size,
            free: size.minus(w.used(ledger)),
            image: w.images.contains(&spec.image),
            zone_cpu: 0,
        };
        placement::score(spec, &c, h.zone.as_deref())
    }

    /// Takes the leader's stops.
    pub fn take_stops(&mut self, stops: &[StopRequest]) {
        for s in stops {
            if let Some(w) = self.workers.get_mut(&s.machine) {
                let k = (s.task, s.attempt);
                if w.has(&k) || w.starts.contains_key(&k) {
                    let grace = w.stops.get(&k).map_or(s.grace, |o| o.grace.min(s.grace));
                    let sent_direct = w.stops.get(&k).is_some_and(|o| o.sent_direct && o.grace == grace);
                    w.stops.insert(k, Stop { grace, sent_direct });
                    if !sent_direct {
                        self.touch(&s.machine);
                    }
                }
            }
        }
    }

    /// What the leader of `term` has not acknowledged of this controller's view.
    pub fn sync(&mut self, term: u64, strangers: Vec<MachineId>, ledger: &Ledger, now: Micros) -> Message {
        self.sync_seq += 1;
        let seq = self.sync_seq;
        self.sync_sent.insert(seq, now);
        while self.sync_sent.len() > 64 {
            self.sync_sent.pop_first();
        }
        self.dirty = false;
        let (base, seen) = if term == self.term { (self.base, self.update_seq) } else { (0, 0) };
        let heard = self
            .workers
            .iter()
            .filter(|(_, w)| base > 0 && w.changed <= base && w.reported > base)
            .filter_map(|(id, w)| Some((id.clone(), now.since(w.heard?))))
            .collect();
        let machines = self
            .workers
            .iter_mut()
            .filter(|(_, w)| base == 0 || w.changed > base)
            .map(|(id, w)| {
                w.exits.values_mut().for_each(|e| *e = e.or(Some(seq)));
                let mut tasks = w.tasks.clone();
                let mut want_baton = false;
                for (k, s) in &w.starts {
                    let in_report = w.tasks.iter().find(|t| (t.task, t.attempt) == *k);
                    if in_report.is_none() {
                        tasks.push(Held { task: k.0, attempt: k.1, state: TaskState::Starting });
                    }
                    let unwanted = over(ledger.jobs.get(&k.0.job), k.0.index) || w.stops.contains_key(k);
                    let ended = in_report.is_some_and(|t| t.state.exited());
                    let ghost = s.seen && in_report.is_none();
                    want_baton |= s.sending == Sending::Uncertain
                        && s.baton == w.baton
                        && (ended || ghost || (unwanted && in_report.is_none()));
                }
                MachineState {
                    id: id.clone(),
                    baton: w.baton,
                    seen_baton: w.seen_baton,
                    shift: w.shift,
                    heard_ago: w.heard.map(|t| now.since(t)),
                    warning: w.warning.map(|(at, left)| left - now.since(at)),
                    want_baton,
                    tasks,
                }
            })
            .collect();
        let outcomes = self
            .outcomes
            .iter_mut()
            .map(|(a, p)| {
                p.told = p.told.or(Some(seq));
                Outcome { attempt: *a, machine: p.machine.clone() }
            })
            .collect();
        Message::Sync { term, seq, base, seen, machines, heard, strangers, outcomes }
    }

    /// Whether the leader of `term` knows nothing of this controller yet.
    pub fn unknown_to(&self, term: u64) -> bool {
        term != self.term || self.base == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn granted(id: &str, baton: u64) -> GrantedMachine {
        GrantedMachine { id: id.into(), baton: Baton(baton), addr: format!("{id}:1"), draining: false }
    }

    #[test]
    fn an_update_is_taken_only_if_its_base_was() {
        // (term, number, base; taken), one after the other
        let steps = [
            (3, 5, 0, true),
            // A repetition, and one from before.
            (3, 5, 0, false),
            (3, 4, 0, false),
            (3, 7, 5, true),
            // It builds on one that was lost.
            (3, 9, 8, false),
            (3, 10, 5, true),
            // Another leader's first says everything; its later ones don't do.
            (4, 12, 11, false),
            (4, 13, 0, true),
            (3, 99, 0, false),
        ];
        let mut c = Controller::default();
        for (i, (term, seq, base, want)) in steps.into_iter().enumerate() {
            assert_eq!(c.accept_update(term, seq, base), want, "step {i}");
        }
    }

    #[test]
    fn a_sync_tells_what_was_not_acknowledged() {
        let (ledger, now) = (Ledger::default(), Micros::secs(9));
        let told = |c: &mut Controller, term| match c.sync(term, Vec::new(), &ledger, now) {
            Message::Sync { seq, base, machines, .. } => {
                (seq, base, machines.iter().map(|m| m.id.to_string()).collect::<Vec<_>>().join(","))
            }
            m => panic!("{m:?}"),
        };
        let mut c = Controller::default();
        assert!(c.accept_update(1, 1, 0));
        c.take_block(true, &[granted("a", 1), granted("b", 2)], &[]);
        assert_eq!(told(&mut c, 1), (1, 0, "a,b".into()));
        // Not acknowledged: all of it again.
        assert_eq!(told(&mut c, 1), (2, 0, "a,b".into()));
        c.take_ack(2, Micros::secs(20));
        assert_eq!(told(&mut c, 1), (3, 2, String::new()));
        c.take_block(false, &[granted("c", 3)], &[("a".into(), Some(NodeId(1)))]);
        assert_eq!(told(&mut c, 1), (4, 2, "c".into()));
        // An older acknowledgement that is the leader's newest word goes back.
        c.take_ack(1, Micros::secs(20));
        assert_eq!(told(&mut c, 1), (5, 1, "c".into()));
        // A leader of another term has taken nothing.
        assert_eq!(told(&mut c, 2), (6, 0, "b,c".into()));
    }

    #[test]
    fn a_stranger_is_only_told_to_stop_what_is_over() {
        let held =
            |job, state| Held { task: TaskId { job: JobId(job), index: 0 }, attempt: Attempt(job), state };
        let mut ledger = Ledger::default();
        ledger.apply("g/x/j-000001", Some(&serde_json::json!({"end": "aborted", "at": 1})), 1);
        let tasks = [
            held(1, TaskState::Running),
            held(1, TaskState::Stopped),
            held(2, TaskState::Running),
            held(2, TaskState::Done),
        ];
        let orders = Controller::stops_for_stranger(&tasks, &ledger);
        let got: Vec<(&str, &str)> = orders.iter().map(|o| (o.verb.as_str(), o.piece.as_str())).collect();
        assert_eq!(got, [("halt", "j-000001/0")]);
    }
}
