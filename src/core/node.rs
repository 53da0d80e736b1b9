//! A whole controller node: its mirror of the state service, its part in the
//! election, its block, and the leader's work while it leads.
use super::controller::{CheckinReply, Controller, Sizes, read_tasks};
use super::election::{Election, Role};
use super::ids::{JobId, MachineId, Micros, NodeId, Resources};
use super::jobs::{self, Change, JobSpec, Kind, LeaderRecord, Ledger, MachineRecord, Phase, keys};
use super::leader::{CloudWish, Context, HireRequest, Leader, LeaderWrite};
use super::rate::Bucket;
use super::{Call, CallId, CallResult, Input, Outbox, Output, RequestId, Target};
use crate::peer::{Message, Parcel};
use crate::settings::{Operator, Platform, Team};
use crate::wire::cloud::{Flavor, Flavors, Hire, Hosts, Rentals};
use crate::wire::state::{Grant, Listing, Multi, MultiAnswer, News, When, Write};
use crate::wire::users;
use crate::wire::workers::{CheckinAnswer, Report};
use log::{debug, error, info, warn};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Who is who.
#[derive(Debug, Clone)]
pub struct Nodes {
    /// Names, sorted; a `NodeId` is an index.
    pub names: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// This node.
    pub me: NodeId,
}

impl Nodes {
    /// From the platform's settings.
    pub fn new(p: &Platform) -> Self {
        let mut all: Vec<(String, String)> =
            p.peers.iter().map(|x| (x.host_name.clone(), x.domain.clone())).collect();
        all.push((p.host_name.clone(), p.domain.clone()));
        all.sort();
        let me = all.iter().position(|(n, _)| *n == p.host_name).unwrap_or(0);
        let (names, zones) = all.into_iter().unzip();
        Nodes { names, zones, me: NodeId(me as u8) }
    }
}

/// A user's request that waits for proof that the mirror is up to date.
#[derive(Debug)]
enum Waiter {
    Poll(RequestId, JobId),
    /// A submission whose job may be known; its checked form.
    Submit(RequestId, JobId, Box<Result<JobSpec, (u16, String)>>),
    Abort(RequestId, JobId),
}

impl Waiter {
    fn request(&self) -> RequestId {
        match self {
            Waiter::Poll(r, _) | Waiter::Submit(r, ..) | Waiter::Abort(r, _) => *r,
        }
    }
}

/// A user's change that waits for its turn in the write budget.
#[derive(Debug)]
enum UserWrite {
    Submit(RequestId, Box<JobSpec>),
    Abort(RequestId, JobId),
}

/// What a call was for.
#[derive(Debug)]
enum Purpose {
    List { from: Option<String>, first: Option<u64>, ledger: Box<Ledger> },
    Follow,
    Barrier(Vec<(Waiter, Micros)>),
    Write(UserWrite),
    GrantNew { asked: Micros },
    TakeKey { asked: Micros, lease: u64, term: u64 },
    Renew { sent: Micros },
    EndLease,
    Mail,
    LeaderWrites(u64, Vec<LeaderWrite>),
    Cloud(u64, CloudWish),
    Flavors,
    Worker(MachineId),
    Probe(MachineId),
}

struct PeerState {
    heard: Option<Micros>,
    refused: Option<Micros>,
    state_ok: bool,
    hears: Vec<NodeId>,
}

/// The node.
pub struct Node {
    nodes: Nodes,
    operator: Operator,
    teams: Vec<Team>,
    ctx: Context,
    limits: (usize, f64, f64, f64),
    value_limit: usize,
    now: Micros,
    wall_ms: u64,
    rng: fastrand::Rng,
    out: Outbox,
    calls: HashMap<CallId, Purpose>,
    ledger: Ledger,
    listed: bool,
    loaded: bool,
    listing: bool,
    following: bool,
    follow_at: Micros,
    barrier_open: bool,
    barrier_bucket: Bucket,
    waiters: Vec<(Waiter, Micros)>,
    user_bucket: Bucket,
    leader_bucket: Bucket,
    cloud_bucket: Bucket,
    user_writes: std::collections::VecDeque<(UserWrite, Micros)>,
    state_ok_at: Option<Micros>,
    state_fail_at: Option<Micros>,
    retry_list_at: Micros,
    election: Election,
    won: Option<(u64, u64)>,
    leader: Option<Leader>,
    leader_inflight: HashSet<LeaderWrite>,
    leader_txns: usize,
    leader_retry_at: Micros,
    ctl: Controller,
    sync_at: Micros,
    ping_at: Micros,
    peers: Vec<PeerState>,
    flavors: Vec<Flavor>,
    sizes: Sizes,
    flavors_at: Micros,
    flavors_open: bool,
    held_checkins: BTreeMap<MachineId, (RequestId, Report, Micros)>,
    leader_known: Option<(u64, NodeId)>,
    incarnation: u64,
    /// Another controller was heard in this term as leader.
    had_company: bool,
    vacant_since: Option<Micros>,
    /// A lease of this node that was ended, or runs out by itself.
    ended_lease: Option<u64>,
    mail: BTreeMap<(NodeId, u8), Message>,
    mail_at: Micros,
}

const MAX_WAITING: usize = 2000;

impl Node {
    /// A node that knows nothing yet.
    pub fn new(p: &Platform, operator: Operator, seed: u64, incarnation: u64, now: Micros) -> Self {
        let nodes = Nodes::new(p);
        let d = &p.deployment;
        let n = nodes.names.len() as f64;
        let ctx = Context {
            me: nodes.me,
            zones: nodes.zones.clone(),
            operator: operator.clone(),
            teams: d.teams.clone(),
            objectives: d.objectives.clone(),
            lease: Micros::from_secs_f64(d.workers.lease_s),
            report: Micros::from_secs_f64(d.workers.report_s),
            cancel: Micros::from_secs_f64(d.workers.cancel_s),
            list_lag: Micros::from_secs_f64(d.cloud.list_lag_s),
        };
        let w = d.state.write_rps;
        Node {
            teams: d.teams.clone(),
            ctx,
            limits: (d.state.txn_ops, d.state.rps, w, d.cloud.rps),
            value_limit: (d.state.value_kb * 1000.0) as usize,
            now,
            wall_ms: 0,
            rng: fastrand::Rng::with_seed(seed),
            out: Outbox::default(),
            calls: HashMap::new(),
            ledger: Ledger::default(),
            listed: false,
            loaded: false,
            listing: false,
            following: false,
            follow_at: Micros(0),
            barrier_open: false,
            barrier_bucket: Bucket::new(d.state.rps * 0.45 / n, d.state.rps * 0.2 / n, now),
            waiters: Vec::new(),
            user_bucket: Bucket::new(w * 0.9 / n, w * 0.9 / n, now),
            leader_bucket: Bucket::new(w * 0.45, w * 0.4, now),
            cloud_bucket: Bucket::new(d.cloud.rps * 0.85, d.cloud.rps, now),
            user_writes: Default::default(),
            state_ok_at: None,
            state_fail_at: None,
            retry_list_at: Micros(0),
            election: Election::new(operator.leader_lease),
            won: None,
            leader: None,
            leader_inflight: HashSet::new(),
            leader_txns: 0,
            leader_retry_at: Micros(0),
            ctl: Controller::default(),
            sync_at: Micros(0),
            ping_at: Micros(0),
            peers: nodes
                .names
                .iter()
                .map(|_| PeerState { heard: None, refused: None, state_ok: false, hears: Vec::new() })
                .collect(),
            flavors: Vec::new(),
            sizes: Sizes::new(),
            flavors_at: Micros(0),
            flavors_open: false,
            held_checkins: BTreeMap::new(),
            leader_known: None,
            incarnation: incarnation.max(2),
            had_company: false,
            vacant_since: None,
            ended_lease: None,
            mail: BTreeMap::new(),
            mail_at: Micros(0),
            operator,
            nodes,
        }
    }

    /// Takes an input at a time; what to do about it.
    pub fn handle(&mut self, now: Micros, wall_ms: u64, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        match input {
            Input::Tick => self.tick(),
            Input::Request { id, method, path, body } => self.request(id, &method, &path, &body),
            Input::Gone(id) => {
                self.held_checkins.retain(|_, (r, ..)| *r != id);
            }
            Input::Called { id, result } => self.called(id, result),
            Input::Refused(n) => {
                if let Some(p) = self.peers.get_mut(n.0 as usize) {
                    p.refused = Some(self.now);
                }
            }
            Input::Peer { from, incarnation, message } => {
                if let Some(p) = self.peers.get_mut(from.0 as usize) {
                    p.heard = Some(self.now);
                }
                self.peer(from, incarnation, message);
            }
        }
        std::mem::take(&mut self.out.items)
    }

    // ---- requests --------------------------------------------------------

    fn request(&mut self, id: RequestId, method: &str, path: &str, body: &[u8]) {
        let path = path.split('?').next().unwrap_or("");
        let rest = path.strip_prefix("/submissions/");
        match (method, path, rest) {
            ("GET", "/ready", _) => {
                if self.ready() {
                    self.out.answer(id, 200, br#"{"ready":true}"#.to_vec());
                } else {
                    self.out.later(id, "not ready");
                }
            }
            ("POST", "/checkin", _) => self.checkin(id, body),
            ("POST", "/submissions", _) => self.submit(id, body),
            (_, "/ready" | "/checkin" | "/submissions", _) => {
                self.out.answer(id, 405, users::error("wrong method"))
            }
            (m, _, Some(rest)) => {
                let (job, abort) = match rest.strip_suffix("/abort") {
                    Some(j) => (j, true),
                    None => (rest, false),
                };
                if m != if abort { "POST" } else { "GET" } {
                    return self.out.answer(id, 405, users::error("wrong method"));
                }
                match JobId::parse(job) {
                    None => self.out.answer(id, 404, users::error("no such job")),
                    Some(j) if abort => self.wait(Waiter::Abort(id, j), Micros::millis(3500)),
                    Some(j) => self.wait(Waiter::Poll(id, j), Micros::millis(1500)),
                }
            }
            _ => self.out.answer(id, 404, users::error("no such path")),
        }
    }

    fn state_ok(&self) -> bool {
        self.state_ok_at.is_some_and(|t| self.now.since(t) < Micros::millis(2500))
    }

    /// Whether the last word of the state service was a refusal, just now.
    fn state_refuses(&self) -> bool {
        self.state_fail_at > self.state_ok_at
            && self.state_fail_at.is_some_and(|t| self.now.since(t) < Micros::millis(1500))
    }

    fn ready(&self) -> bool {
        if !self.loaded {
            return false;
        }
        if self.state_ok() || self.nodes.names.len() == 1 {
            return true;
        }
        // Alone refused: the others serve the users. When all lost the state
        // service, leaving would help nobody.
        let fresh = |p: &&PeerState| p.heard.is_some_and(|t| self.now.since(t) < Micros::millis(2500));
        let mut heard = self.peers.iter().filter(fresh).peekable();
        heard.peek().is_some() && heard.all(|p| !p.state_ok)
    }

    /// The answer for a job whose end is known; ends never change.
    fn final_answer(&mut self, id: RequestId, job: JobId) -> bool {
        let Some(j) = self.ledger.jobs.get(&job) else { return false };
        let (stage, done) = match j.phase {
            Phase::Active => return false,
            Phase::Done => ("done", j.tasks),
            Phase::Aborted => ("aborted", 0),
        };
        self.out.answer(id, 200, users::job_answer(job, stage, done, 0));
        true
    }

    fn current_answer(&mut self, id: RequestId, job: JobId) {
        if self.final_answer(id, job) {
            return;
        }
        let Some(j) = self.ledger.jobs.get(&job) else {
            return self.out.answer(id, 404, users::error("no such job"));
        };
        let running = self.ctl.running.get(&job).copied().unwrap_or(0);
        let stage = if running > 0 { "running" } else { "queued" };
        self.out.answer(id, 200, users::job_answer(job, stage, j.done.len(), running));
    }

    fn wait(&mut self, w: Waiter, limit: Micros) {
        let (id, job) = match &w {
            Waiter::Poll(r, j) | Waiter::Submit(r, j, _) | Waiter::Abort(r, j) => (*r, *j),
        };
        if self.final_answer(id, job) {
            return;
        }
        if !self.loaded || self.state_refuses() || self.waiters.len() >= MAX_WAITING {
            return self.out.later(id, "the state service can't be asked");
        }
        let until = self.now + limit;
        self.waiters.push((w, until));
        self.barrier();
    }

    fn submit(&mut self, id: RequestId, body: &[u8]) {
        let parsed = users::parse_submission(body);
        let job = match &parsed {
            Ok(spec) => Some(spec.id),
            Err(_) => users::ref_of(body),
        };
        let Some(job) = job else {
            let reason = parsed.err().unwrap_or_default();
            return self.out.answer(id, 400, users::error(&reason));
        };
        let checked = parsed.map_err(|e| (400, e)).and_then(|s| self.check(s));
        let known = self.ledger.jobs.contains_key(&job);
        match checked {
            Ok(spec) if !known => {
                if !self.loaded || self.state_refuses() || self.user_writes.len() >= MAX_WAITING {
                    return self.out.later(id, "the state service can't be asked");
                }
                let until = self.now + Micros::millis(3500);
                self.user_writes.push_back((UserWrite::Submit(id, Box::new(spec)), until));
                self.write_users();
            }
            checked => self.wait(Waiter::Submit(id, job, Box::new(checked)), Micros::millis(3500)),
        }
    }

    /// What can never run: 422; what can't be told yet: 503.
    fn check(&self, s: JobSpec) -> Result<JobSpec, (u16, String)> {
        let Some(team) = self.teams.iter().find(|t| t.name == s.team) else {
            return Err((422, format!("unknown team {}", s.team)));
        };
        let n = if s.kind == Kind::Service { s.tasks as u64 } else { 1 };
        let max = Resources::have(team.cpus_max, team.gpus_max, 0.0);
        if max.cpu > 0 && s.need.cpu * n > max.cpu || max.gpu > 0 && s.need.gpu * n > max.gpu {
            return Err((422, format!("more than the limit of team {}", s.team)));
        }
        if self.flavors.is_empty() {
            return Err((503, "the machine types are not known yet".into()));
        }
        let fits = self.flavors.iter().any(|f| {
            let size = Resources::have(f.cpus, f.gpus, f.memory_gb);
            f.yards.iter().any(|z| s.allows(&f.sku, z, false, &size))
        });
        if !fits {
            return Err((422, "a task fits no allowed machine type".into()));
        }
        if jobs::job_value(&s, 0).to_string().len() + 64 > self.value_limit {
            return Err((400, "the description is too long".into()));
        }
        Ok(s)
    }

    /// Asks once for all that wait whether the mirror is up to date.
    fn barrier(&mut self) {
        if self.barrier_open || !self.listed {
            return;
        }
        if !self.barrier_bucket.take(self.now, 1.0, 0.0) {
            return;
        }
        let waiting = std::mem::take(&mut self.waiters);
        let path = format!("/follow?prefix={}&from={}&hold_ms=0", keys::ROOT, self.ledger.applied);
        let id = self.state("GET", path, Vec::new(), Micros::millis(1200));
        self.calls.insert(id, Purpose::Barrier(waiting));
        self.barrier_open = true;
    }

    fn state(&mut self, method: &'static str, path: String, body: Vec<u8>, timeout: Micros) -> CallId {
        self.out.call(Call { target: Target::State, method, path, body, timeout })
    }

    fn multi(&mut self, m: &Multi) -> CallId {
        let body = serde_json::to_vec(m).unwrap_or_default();
        self.state("POST", "/multi".into(), body, Micros::millis(2500))
    }

    fn resolve(&mut self, w: Waiter) {
        match w {
            Waiter::Poll(id, job) => self.current_answer(id, job),
            Waiter::Submit(id, job, checked) => {
                if self.ledger.jobs.contains_key(&job) {
                    return self.current_answer(id, job);
                }
                match *checked {
                    Ok(spec) => {
                        let until = self.now + Micros::millis(3000);
                        self.user_writes.push_back((UserWrite::Submit(id, Box::new(spec)), until));
                        self.write_users();
                    }
                    Err((503, reason)) => self.out.later(id, &reason),
                    Err((status, reason)) => self.out.answer(id, status, users::error(&reason)),
                }
            }
            Waiter::Abort(id, job) => {
                if self.final_answer(id, job) {
                    return;
                }
                if !self.ledger.jobs.contains_key(&job) {
                    return self.out.answer(id, 404, users::error("no such job"));
                }
                let until = self.now + Micros::millis(3000);
                self.user_writes.push_back((UserWrite::Abort(id, job), until));
                self.write_users();
            }
        }
    }

    /// Sends users' changes as far as the budget goes.
    fn write_users(&mut self) {
        while let Some((w, until)) = self.user_writes.pop_front() {
            if self.now > until {
                let (UserWrite::Submit(id, _) | UserWrite::Abort(id, _)) = w;
                self.out.later(id, "the state service is slow");
                continue;
            }
            if !self.user_bucket.take(self.now, 1.0, 0.0) {
                self.user_writes.push_front((w, until));
                return;
            }
            let (when, key, v) = match &w {
                UserWrite::Submit(_, spec) => {
                    let key = keys::job(spec.id);
                    (vec![When { path: key.clone(), stamp: 0 }], key, jobs::job_value(spec, self.wall_ms))
                }
                UserWrite::Abort(_, job) => {
                    let key = keys::end(*job);
                    let stamp = self.ledger.jobs.get(job).map_or(0, |j| j.stamp);
                    let when =
                        vec![When { path: key.clone(), stamp: 0 }, When { path: keys::job(*job), stamp }];
                    (when, key, json!({"end": "aborted", "at": self.wall_ms}))
                }
            };
            let call = self.multi(&Multi { when, writes: vec![Write::Put { put: key, v, hold: None }] });
            self.calls.insert(call, Purpose::Write(w));
        }
    }

    fn user_written(&mut self, w: UserWrite, result: &CallResult) {
        match (w, result) {
            (UserWrite::Submit(id, spec), CallResult::Answer { status: 200, body }) => {
                let job = spec.id;
                let stamp = serde_json::from_slice::<MultiAnswer>(body).map_or(0, |a| a.ledger);
                debug!("{job}: accepted at {stamp}");
                self.out.answer(id, 201, users::job_answer(job, "queued", 0, 0));
            }
            (UserWrite::Abort(id, job), CallResult::Answer { status: 200, .. }) => {
                info!("{job}: cancelled");
                self.out.answer(id, 200, users::job_answer(job, "aborted", 0, 0));
            }
            // The key is there already: the current state is the answer.
            (UserWrite::Submit(id, spec), CallResult::Answer { status: 409, .. }) => {
                self.wait(Waiter::Poll(id, spec.id), Micros::millis(1500));
            }
            (UserWrite::Abort(id, job), CallResult::Answer { status: 409, .. }) => {
                self.wait(Waiter::Abort(id, job), Micros::millis(1500));
            }
            (w, CallResult::Answer { status: 429, .. }) => {
                let pause = Micros::millis(100 + self.rng.u64(0..100));
                self.user_bucket.force(self.now, 1.0);
                self.user_writes.push_back((w, self.now + Micros::millis(2000) - pause));
            }
            (UserWrite::Submit(id, _) | UserWrite::Abort(id, _), _) => {
                self.out.later(id, "the state service did not confirm it");
            }
        }
    }

    // ---- workers ---------------------------------------------------------

    fn checkin(&mut self, id: RequestId, body: &[u8]) {
        let Ok(r) = serde_json::from_slice::<Report>(body) else {
            return self.out.answer(id, 400, users::error("not a report"));
        };
        let Some(tasks) = read_tasks(&r) else {
            return self.out.answer(id, 400, users::error("a task's name is unreadable"));
        };
        let machine = MachineId(r.host.clone());
        match self.ctl.checkin(&r, tasks, &self.ledger, self.now) {
            CheckinReply::Orders(baton, orders) => {
                let body = serde_json::to_vec(&CheckinAnswer { baton: baton.0, orders }).unwrap_or_default();
                self.out.answer(id, 200, body);
            }
            CheckinReply::Elsewhere(to) => {
                let rec = MachineRecord {
                    build: r.build.clone(),
                    zone: r.yard.clone(),
                    spot: r.loaners,
                    addr: r.addr.clone(),
                };
                self.tell_seen(&machine, rec);
                match to.filter(|n| *n != self.nodes.me) {
                    Some(n) => self.send_elsewhere(id, Some(n)),
                    // A grant may come in a moment: the answer waits for it.
                    None => {
                        let until = self.now + Micros::millis(600);
                        if let Some((old, ..)) = self.held_checkins.insert(machine, (id, r, until)) {
                            self.send_elsewhere(old, None);
                        }
                    }
                }
            }
        }
        self.drive();
    }

    fn send_elsewhere(&mut self, id: RequestId, to: Option<NodeId>) {
        let body = match to.and_then(|n| self.nodes.names.get(n.0 as usize)) {
            Some(name) => json!({ "foreman": name }),
            None => json!({}),
        };
        self.out.answer(id, 421, body.to_string().into_bytes());
    }

    fn tell_seen(&mut self, id: &MachineId, rec: MachineRecord) {
        if let Some(to) = self.leader_node() {
            let m = Message::Seen {
                id: id.clone(),
                build: rec.build,
                zone: rec.zone,
                spot: rec.spot,
                addr: rec.addr,
            };
            self.send(to, m);
        }
    }

    fn answer_held(&mut self) {
        let due: Vec<MachineId> = self
            .held_checkins
            .iter()
            .filter(|(m, (.., until))| self.ctl.holds(m) || self.now >= *until)
            .map(|(m, _)| m.clone())
            .collect();
        for m in due {
            let Some((id, r, _)) = self.held_checkins.remove(&m) else { continue };
            let tasks = read_tasks(&r).unwrap_or_default();
            match self.ctl.checkin(&r, tasks, &self.ledger, self.now) {
                CheckinReply::Orders(baton, orders) => {
                    let body =
                        serde_json::to_vec(&CheckinAnswer { baton: baton.0, orders }).unwrap_or_default();
                    self.out.answer(id, 200, body);
                }
                CheckinReply::Elsewhere(to) => self.send_elsewhere(id, to.filter(|n| *n != self.nodes.me)),
            }
        }
    }

    /// Sends what the block's workers should hear.
    fn drive(&mut self) {
        for (call, machine) in self.ctl.drive(&self.ledger, self.now, &mut self.out) {
            self.calls.insert(call, Purpose::Worker(machine));
        }
    }

    // ---- other controllers -----------------------------------------------

    fn leader_node(&self) -> Option<NodeId> {
        if self.leader.is_some() {
            return Some(self.nodes.me);
        }
        let (rec, _) = self.ledger.leader.as_ref()?;
        let in_state = self.nodes.names.iter().position(|n| *n == rec.node).map(|i| NodeId(i as u8));
        match self.leader_known {
            Some((term, n)) if term > rec.term => Some(n),
            _ => in_state,
        }
    }

    fn leader_term(&self) -> u64 {
        let known = self.leader_known.map_or(0, |x| x.0);
        self.ledger.leader.as_ref().map_or(0, |(r, _)| r.term).max(known)
    }

    fn send(&mut self, to: NodeId, m: Message) {
        if to == self.nodes.me {
            return self.peer(to, 1, m);
        }
        if self.hears(to, Micros::millis(1700)) {
            return self.out.send(to, m);
        }
        // A cut: another controller that hears the receiver passes it on, or,
        // if there is none, the state service does, which no cut between
        // controllers concerns. Whatever comes twice is dropped by its number.
        let relay = (0..self.peers.len()).map(|i| NodeId(i as u8)).find(|r| {
            *r != to && self.hears(*r, Micros::millis(1700)) && self.peers[r.0 as usize].hears.contains(&to)
        });
        match relay {
            Some(r) => {
                let parcel =
                    Parcel { from: self.nodes.me, incarnation: self.incarnation, message: m.clone() };
                self.out.send(r, Message::Forward { to, parcel: parcel.pack() });
            }
            None => {
                let kind = match m {
                    Message::Sync { .. } => 0,
                    Message::Update { .. } => 1,
                    _ => 2,
                };
                if kind < 2 {
                    self.mail.insert((to, kind), m.clone());
                }
            }
        }
        self.out.send(to, m);
    }

    fn hears(&self, n: NodeId, limit: Micros) -> bool {
        self.peers.get(n.0 as usize).and_then(|p| p.heard).is_some_and(|t| self.now.since(t) < limit)
    }

    /// Posts what no other way is left for, once a second.
    fn post(&mut self) {
        if self.mail.is_empty() || self.now.since(self.mail_at) < Micros::millis(1000) || !self.state_ok() {
            return;
        }
        if !self.user_bucket.take(self.now, 1.0, 1.0) {
            return;
        }
        self.mail_at = self.now;
        let me = self.nodes.names[self.nodes.me.0 as usize].clone();
        for ((to, _), mut message) in std::mem::take(&mut self.mail) {
            if self.hears(to, Micros::millis(1700)) {
                continue;
            }
            if let Message::Update { directory, running, .. } = &mut message {
                directory.clear();
                running.clear();
            }
            let parcel = Parcel { from: self.nodes.me, incarnation: self.incarnation, message }.pack();
            let text: String = parcel.iter().map(|b| format!("{b:02x}")).collect();
            if text.len() + 64 > self.value_limit {
                debug!("message to controller {} is too long for the state service", to.0);
                continue;
            }
            let put = keys::mail(&self.nodes.names[to.0 as usize], &me);
            let m = Multi { when: Vec::new(), writes: vec![Write::Put { put, v: json!(text), hold: None }] };
            let call = self.multi(&m);
            self.calls.insert(call, Purpose::Mail);
        }
    }

    fn open_mail(&mut self, v: &serde_json::Value) {
        let Some(text) = v.as_str() else { return };
        let bytes: Option<Vec<u8>> =
            (0..text.len() / 2).map(|i| u8::from_str_radix(text.get(i * 2..i * 2 + 2)?, 16).ok()).collect();
        if let Some(p) = bytes.and_then(|b| Parcel::unpack(&b)) {
            self.peer(p.from, p.incarnation, p.message);
        }
    }

    fn peer(&mut self, from: NodeId, incarnation: u64, m: Message) {
        match m {
            Message::Ping { state_ok, hears } => {
                if let Some(p) = self.peers.get_mut(from.0 as usize) {
                    p.state_ok = state_ok;
                    p.hears = hears;
                }
            }
            Message::Forward { to, parcel } => {
                if to != self.nodes.me {
                    self.out.send(to, Message::Forward { to, parcel });
                } else if let Some(p) = Parcel::unpack(&parcel).filter(|p| p.from != to) {
                    // One hop: a parcel holds no other parcel that is passed on.
                    if !matches!(p.message, Message::Forward { .. }) {
                        self.peer(p.from, p.incarnation, p.message);
                    }
                }
            }
            Message::Sync { term, seq, machines, outcomes } => {
                if let Some(l) = self.leader.as_mut().filter(|l| l.term == term) {
                    l.sync(from, incarnation, seq, &machines, &outcomes, &self.ledger, self.now);
                }
            }
            Message::Seen { id, build, zone, spot, addr } => {
                if let Some(l) = self.leader.as_mut() {
                    let rec = MachineRecord { build, zone, spot, addr };
                    l.seen(from, &id, &rec, &self.sizes, self.now);
                }
            }
            Message::Update {
                term,
                seq,
                incarnation: mine,
                ack,
                lease,
                block,
                handouts,
                stops,
                directory,
                running,
            } => {
                if mine != self.my_incarnation(from) || !self.ctl.accept_update(term, seq) {
                    return;
                }
                if self.leader_known.is_none_or(|(t, _)| t < term) {
                    self.leader_known = Some((term, from));
                }
                let added = self.ctl.take_block(&block);
                if !added.is_empty() {
                    debug!("block: {} machines granted", added.len());
                }
                self.ctl.take_ack(ack, lease);
                self.ctl.directory = directory.into_iter().collect();
                self.ctl.running = running.into_iter().collect();
                self.ctl.take_handouts(&handouts, &self.ledger, &self.sizes, self.now);
                self.ctl.take_stops(&stops);
                self.answer_held();
                self.drive();
                self.sync(false);
            }
            Message::Probe { id, addr } => {
                let call = self.out.call(Call {
                    target: Target::Worker(addr),
                    method: "GET",
                    path: "/status".into(),
                    body: Vec::new(),
                    timeout: Micros::millis(1200),
                });
                self.calls.insert(call, Purpose::Probe(id));
            }
        }
    }

    /// Messages to itself carry incarnation 1; the shell puts the process's
    /// own number on the others and drops updates for another process.
    fn my_incarnation(&self, from: NodeId) -> u64 {
        if from == self.nodes.me { 1 } else { self.incarnation() }
    }

    /// The number that this process puts on its messages.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn sync(&mut self, force: bool) {
        let Some(to) = self.leader_node() else { return };
        let age = self.now.since(self.sync_at);
        if !(force || self.ctl.dirty && age >= Micros::millis(40) || age >= Micros::millis(500)) {
            return;
        }
        self.sync_at = self.now;
        let (seq, machines, outcomes) = self.ctl.sync(&self.ledger, self.now);
        let term = self.leader_term();
        self.send(to, Message::Sync { term, seq, machines, outcomes });
    }

    // ---- time ------------------------------------------------------------

    fn tick(&mut self) {
        self.expire();
        self.follow();
        if !self.state_ok()
            || !self.loaded
            || !self.waiters.is_empty()
            || self.now.since(self.state_ok_at.unwrap_or_default()) > Micros::millis(900)
        {
            self.barrier();
        }
        self.write_users();
        self.elect();
        self.lead();
        self.flavors();
        self.answer_held();
        self.drive();
        self.sync(false);
        self.post();
        if self.now.since(self.ping_at) >= Micros::millis(500) {
            self.ping_at = self.now;
            let state_ok = self.state_ok();
            let hears: Vec<NodeId> = (0..self.peers.len())
                .map(|i| NodeId(i as u8))
                .filter(|n| self.hears(*n, Micros::millis(1700)))
                .collect();
            for i in 0..self.nodes.names.len() {
                if i != self.nodes.me.0 as usize {
                    self.out.send(NodeId(i as u8), Message::Ping { state_ok, hears: hears.clone() });
                }
            }
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        let (late, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiters).into_iter().partition(|(_, until)| now >= *until);
        self.waiters = waiting;
        for (w, _) in late {
            self.out.later(w.request(), "the state service can't be asked");
        }
    }

    fn follow(&mut self) {
        if !self.listed {
            if !self.listing && self.now >= self.retry_list_at {
                self.list(None, None, Box::default());
            }
            return;
        }
        if !self.following && self.now >= self.follow_at {
            let path = format!("/follow?prefix={}&from={}&hold_ms=10000", keys::ROOT, self.ledger.applied);
            let id = self.state("GET", path, Vec::new(), Micros::secs(13));
            self.calls.insert(id, Purpose::Follow);
            self.following = true;
        }
    }

    fn list(&mut self, from: Option<String>, first: Option<u64>, ledger: Box<Ledger>) {
        self.listing = true;
        let mut path = format!("/store?prefix={}&limit=500", keys::ROOT);
        if let Some(f) = &from {
            path.push_str("&from=");
            path.push_str(f);
        }
        let id = self.state("GET", path, Vec::new(), Micros::millis(2500));
        self.calls.insert(id, Purpose::List { from, first, ledger });
    }

    fn apply(&mut self, news: News) {
        let base = self.ledger.applied;
        for e in &news.news {
            if e.stamp <= base {
                continue;
            }
            let change = match (&e.put, &e.remove) {
                (Some(k), _) => match self.ledger.apply(k, Some(&e.v), e.stamp) {
                    Change::Mail(to) => {
                        if to == self.nodes.names[self.nodes.me.0 as usize] {
                            self.open_mail(&e.v);
                        }
                        continue;
                    }
                    c => c,
                },
                (None, Some(k)) => self.ledger.apply(k, None, e.stamp),
                _ => continue,
            };
            self.changed(change);
        }
        self.ledger.applied = base.max(news.ledger);
        if !news.news.is_empty() {
            self.lead();
            self.drive();
        }
    }

    fn changed(&mut self, c: Change) {
        if let (Change::Job(id), Some(l)) = (c, self.leader.as_mut()) {
            l.job_changed(id, &self.ledger, self.now);
        }
    }

    fn elect(&mut self) {
        if !self.loaded {
            return;
        }
        let turn = if self.ledger.leader.is_none() {
            self.my_turn()
        } else {
            self.vacant_since = None;
            false
        };
        match self.election.role {
            Role::Follower => match &self.ledger.leader {
                None if self.now >= self.election.not_before && !self.state_refuses() && turn => {
                    self.election.role = Role::Candidate;
                    let life = self.operator.leader_lease.0 / 1000;
                    let body = json!({ "life_ms": life }).to_string().into_bytes();
                    let id = self.state("POST", "/grants".into(), body, Micros::millis(1000));
                    self.calls.insert(id, Purpose::GrantNew { asked: self.now });
                }
                Some((rec, _))
                    if rec.node == self.nodes.names[self.nodes.me.0 as usize]
                        && self.ended_lease != Some(rec.lease) =>
                {
                    // An earlier process of this node led; its lease need not
                    // run out first.
                    info!("ending the lease of this node's earlier process");
                    let path = format!("/grants/{}", rec.lease);
                    self.ended_lease = Some(rec.lease);
                    let id = self.state("DELETE", path, Vec::new(), Micros::millis(1000));
                    self.calls.insert(id, Purpose::EndLease);
                }
                _ => {}
            },
            Role::Candidate => {}
            Role::Leader { lease, stamp, term } => {
                if self.ledger.applied >= stamp
                    && self.ledger.leader.as_ref().is_none_or(|(r, s)| *s != stamp || r.term != term)
                {
                    return self.step_down("its key is gone");
                }
                if self.alone() {
                    // Cut off from the others: one that hears more of the
                    // cluster serves it better.
                    self.end_lease(lease);
                    self.step_down("it hears no other controller");
                    self.election.not_before = self.now + Micros::secs(4);
                    return;
                }
                if self.election.renewal_due(self.now) {
                    self.election.renewing = true;
                    self.election.last_sent = self.now;
                    let path = format!("/grants/{lease}/renew");
                    let timeout = self.operator.leader_lease.scale(1, 3);
                    let id = self.state("POST", path, Vec::new(), timeout);
                    self.calls.insert(id, Purpose::Renew { sent: self.now });
                }
            }
        }
    }

    /// Whether this node, when nobody leads, should try now: those who hear
    /// more of the others go first.
    fn my_turn(&mut self) -> bool {
        let unheard = (0..self.peers.len())
            .map(|i| NodeId(i as u8))
            .filter(|n| *n != self.nodes.me && !self.hears(*n, Micros::millis(1700)) && !self.refuses(*n))
            .count() as u64;
        let since = *self.vacant_since.get_or_insert(self.now);
        self.now.since(since) >= Micros::millis(400 * unheard)
    }

    /// Whether a controller's host is up without its process.
    fn refuses(&self, n: NodeId) -> bool {
        self.peers
            .get(n.0 as usize)
            .and_then(|p| p.refused)
            .is_some_and(|t| self.now.since(t) < Micros::secs(2))
    }

    /// Whether this leader lost all others, and not because they ended.
    fn alone(&mut self) -> bool {
        let others: Vec<NodeId> =
            (0..self.peers.len()).map(|i| NodeId(i as u8)).filter(|n| *n != self.nodes.me).collect();
        if others.iter().any(|n| self.hears(*n, Micros::millis(3000))) {
            self.had_company = true;
            return false;
        }
        self.had_company && !others.iter().any(|n| self.refuses(*n))
    }

    fn step_down(&mut self, why: &str) {
        if let Role::Leader { term, lease, .. } = self.election.role {
            self.ended_lease = Some(lease);
            warn!("no longer leading term {term}: {why}");
        }
        let pause = Micros::millis(200 + self.rng.u64(0..400));
        self.election.lost(self.now, pause);
        self.leader = None;
        self.won = None;
    }

    /// The leader's work.
    fn lead(&mut self) {
        // The mirror must hold everything that was there when the key was taken.
        if let Some((term, stamp)) = self.won
            && self.ledger.applied >= stamp
            && !self.sizes.is_empty()
        {
            self.won = None;
            if self.ledger.leader.as_ref().is_some_and(|(r, s)| *s == stamp && r.term == term) {
                self.leader_inflight.clear();
                self.leader_txns = 0;
                let l = Leader::new(
                    self.ctx.clone(),
                    term,
                    stamp,
                    &self.ledger,
                    &self.sizes,
                    self.now,
                    self.wall_ms,
                );
                self.leader = Some(l);
                self.sync(true);
            }
        }
        let may = self.election.may_lead(self.now);
        let Some(l) = self.leader.as_mut() else { return };
        if l.exhausted() {
            return self.step_down("its numbers are used up");
        }
        if may {
            l.tick(&self.ledger, self.now);
            l.note_unrecorded(&self.ledger, self.now);
        } else {
            l.stop_cancelled(&self.ledger, self.now);
        }
        let messages = l.messages(self.now, may);
        for (to, m) in messages {
            self.send(to, m);
        }
        if may {
            self.leader_writes();
        }
        self.cloud(may);
    }

    fn leader_writes(&mut self) {
        let Role::Leader { stamp: mine, term, .. } = self.election.role else { return };
        if self.leader_txns >= 3 || self.now < self.leader_retry_at {
            return;
        }
        let Some(l) = &self.leader else { return };
        let todo: Vec<LeaderWrite> = l
            .writes(&self.ledger, self.now)
            .into_iter()
            .filter(|w| !self.leader_inflight.contains(w))
            .collect();
        let mut m = Multi { when: vec![When { path: keys::LEADER.into(), stamp: mine }], writes: Vec::new() };
        let mut taken = Vec::new();
        let mut size = 200;
        let mut put = |key: String, v: serde_json::Value, m: &mut Multi| {
            size += key.len() * 2 + v.to_string().len() + 120;
            m.writes.push(Write::Put { put: key, v, hold: None });
            size < 50_000
        };
        for w in todo {
            let cost = match &w {
                LeaderWrite::End(id) => 1 + self.ledger.jobs.get(id).map_or(0, |j| j.chunks.len()),
                _ => 1,
            };
            if m.writes.len() + cost.min(self.limits.0) > self.limits.0
                || m.when.len() + 2 > self.limits.0 * 4
            {
                break;
            }
            // Progress and clearing up leave room for what users wait for.
            let keep = match w {
                LeaderWrite::End(_) | LeaderWrite::Machine(_) | LeaderWrite::Hire(_) => 0.0,
                LeaderWrite::Progress(..) => 1.0,
                LeaderWrite::Forget(_) => 2.0,
            };
            if !self.leader_bucket.take(self.now, cost as f64, keep) {
                break;
            }
            let room = match &w {
                LeaderWrite::End(id) => {
                    m.when.push(When { path: keys::end(*id), stamp: 0 });
                    for c in
                        self.ledger.jobs.get(id).iter().flat_map(|j| j.chunks.keys()).take(self.limits.0 - 1)
                    {
                        m.writes.push(Write::Remove { remove: keys::progress(*id, *c) });
                    }
                    put(keys::end(*id), json!({"end": "done", "at": self.wall_ms}), &mut m)
                }
                LeaderWrite::Machine(id) => {
                    let Some(rec) = l.machine(id).map(|x| x.record()) else { continue };
                    put(keys::machine(id), json!(rec), &mut m)
                }
                LeaderWrite::Hire(name) => put(keys::HIRE.into(), json!(name), &mut m),
                LeaderWrite::Progress(id, chunk) => {
                    let Some(text) = l.progress(*id, *chunk) else { continue };
                    let stamp =
                        self.ledger.jobs.get(id).and_then(|j| j.chunks.get(chunk).copied()).unwrap_or(0);
                    let key = keys::progress(*id, *chunk);
                    m.when.push(When { path: key.clone(), stamp });
                    m.when.push(When { path: keys::end(*id), stamp: 0 });
                    put(key, json!(text), &mut m)
                }
                LeaderWrite::Forget(id) => {
                    m.writes.push(Write::Remove { remove: keys::machine(id) });
                    true
                }
            };
            // One name a transaction: they share a key.
            let full = !room
                || matches!(w, LeaderWrite::Hire(_))
                    && taken.iter().any(|x| matches!(x, LeaderWrite::Hire(_)));
            taken.push(w);
            if full {
                break;
            }
        }
        if taken.is_empty() {
            return;
        }
        self.leader_inflight.extend(taken.iter().cloned());
        self.leader_txns += 1;
        let id = self.multi(&m);
        self.calls.insert(id, Purpose::LeaderWrites(term, taken));
    }

    fn leader_written(&mut self, term: u64, writes: Vec<LeaderWrite>, result: &CallResult) {
        let Some(l) = self.leader.as_mut().filter(|l| l.term == term) else { return };
        self.leader_txns = self.leader_txns.saturating_sub(1);
        for w in &writes {
            self.leader_inflight.remove(w);
        }
        match result {
            CallResult::Answer { status: 200, .. } => {
                for w in &writes {
                    l.written(w);
                }
                self.lead();
            }
            CallResult::Answer { status: 409, body } => {
                let failed =
                    serde_json::from_slice::<MultiAnswer>(body).map(|a| a.failed).unwrap_or_default();
                if failed.iter().any(|k| k == keys::LEADER) {
                    return self.step_down("another took the key");
                }
                // The mirror is behind: what failed will show there.
                debug!("records changed meanwhile: {failed:?}");
                self.leader_retry_at = self.now + Micros::millis(60);
            }
            r => {
                debug!("leader's records not confirmed: {r:?}");
                let pause = Micros::millis(150 + self.rng.u64(0..200));
                self.leader_retry_at = self.now + pause;
            }
        }
    }

    fn cloud(&mut self, may: bool) {
        let Some(l) = self.leader.as_mut() else { return };
        let term = l.term;
        let wishes =
            if may { l.fleet(&self.flavors, self.now) } else { l.deletions(self.now).into_iter().collect() };
        for w in wishes {
            let keep = match w {
                CloudWish::Delete(_) => 0.0,
                CloudWish::Hire(_) => 0.5,
                CloudWish::List(_) => 1.0,
            };
            if !self.cloud_bucket.take(self.now, 1.0, keep) {
                continue;
            }
            l.wish_sent(&w, self.now);
            let call = |method, path: String, body| Call {
                target: Target::Cloud,
                method,
                path,
                body,
                timeout: Micros::secs(4),
            };
            let c = match &w {
                CloudWish::Delete(ids) => {
                    let b = Hosts { hosts: ids.iter().map(|i| i.0.clone()).collect() };
                    call("POST", "/rentals/delete".into(), serde_json::to_vec(&b).unwrap_or_default())
                }
                CloudWish::Hire(r) => {
                    let b = Hire {
                        hire: r.name.clone(),
                        build: r.build.clone(),
                        yard: r.zone.clone(),
                        loaners: r.spot,
                        number: r.count,
                    };
                    call("POST", "/rentals".into(), serde_json::to_vec(&b).unwrap_or_default())
                }
                CloudWish::List(from) => {
                    let from = from.as_ref().map_or(String::new(), |f| format!("from={f}&"));
                    call("GET", format!("/rentals?{from}limit=500"), Vec::new())
                }
            };
            let id = self.out.call(c);
            self.calls.insert(id, Purpose::Cloud(term, w));
        }
    }

    fn cloud_called(&mut self, term: u64, wish: CloudWish, result: &CallResult) {
        let Some(l) = self.leader.as_mut().filter(|l| l.term == term) else { return };
        let body = match result {
            CallResult::Answer { status: 200, body } => Some(body),
            _ => None,
        };
        match wish {
            CloudWish::Delete(ids) => match body {
                Some(_) => l.deleted(&ids, self.now),
                None => l.delete_failed(&ids, self.now),
            },
            CloudWish::Hire(req) => self.hired(req, result),
            CloudWish::List(_) => {
                let page: Option<Rentals> = body.and_then(|b| serde_json::from_slice(b).ok());
                l.listed(page.as_ref().map(|p| &p.hosts[..]), &self.sizes, self.now);
                if let Some(last) =
                    page.filter(|p| p.truncated).and_then(|p| p.hosts.last().map(|h| h.name.clone()))
                {
                    let wish = CloudWish::List(Some(last.clone()));
                    l.wish_sent(&wish, self.now);
                    self.cloud_bucket.force(self.now, 1.0);
                    let id = self.out.call(Call {
                        target: Target::Cloud,
                        method: "GET",
                        path: format!("/rentals?from={last}&limit=500"),
                        body: Vec::new(),
                        timeout: Micros::secs(4),
                    });
                    self.calls.insert(id, Purpose::Cloud(term, wish));
                }
            }
        }
        self.lead();
    }

    fn hired(&mut self, req: HireRequest, result: &CallResult) {
        let Some(l) = self.leader.as_mut() else { return };
        match result {
            CallResult::Answer { status: 200, body } => {
                let hosts = serde_json::from_slice::<Hosts>(body).map(|h| h.hosts).unwrap_or_default();
                l.hired(&req, Some(&hosts), &self.sizes, self.now);
            }
            CallResult::Answer { status: 503, body } if body.windows(11).any(|w| w == b"no capacity") => {
                l.hired(&req, Some(&[]), &self.sizes, self.now);
            }
            CallResult::Answer { status: 400, body } => {
                error!("rental refused: {}", String::from_utf8_lossy(body));
                l.hired(&req, Some(&[]), &self.sizes, self.now);
            }
            _ => l.hired(&req, None, &self.sizes, self.now),
        }
    }

    fn flavors(&mut self) {
        let period = match (self.flavors.is_empty(), self.leader.is_some()) {
            (true, _) => Micros::millis(1000),
            (false, true) => Micros::secs(30),
            (false, false) => Micros::secs(600),
        };
        let due = self.flavors_at == Micros(0) || self.now.since(self.flavors_at) >= period;
        if self.flavors_open || !due {
            return;
        }
        self.flavors_open = true;
        self.flavors_at = self.now;
        self.cloud_bucket.force(self.now, 1.0);
        let id = self.out.call(Call {
            target: Target::Cloud,
            method: "GET",
            path: "/flavors".into(),
            body: Vec::new(),
            timeout: Micros::secs(3),
        });
        self.calls.insert(id, Purpose::Flavors);
    }

    // ---- answers to calls ------------------------------------------------

    fn called(&mut self, id: CallId, result: CallResult) {
        let Some(p) = self.calls.remove(&id) else { return };
        let of_state =
            !matches!(p, Purpose::Cloud(..) | Purpose::Flavors | Purpose::Worker(_) | Purpose::Probe(_));
        if of_state && !matches!(p, Purpose::Follow) {
            match &result {
                CallResult::Answer { status, .. } if *status < 500 && *status != 429 => {
                    self.state_ok_at = Some(self.now)
                }
                CallResult::Answer { status: 429, .. } => {}
                _ => self.state_fail_at = Some(self.now),
            }
        }
        match p {
            Purpose::List { from, first, ledger } => self.listed_page(from, first, ledger, result),
            Purpose::Follow => {
                self.following = false;
                match result {
                    CallResult::Answer { status: 200, body } => match serde_json::from_slice::<News>(&body) {
                        Ok(n) => {
                            self.state_ok_at = Some(self.now);
                            self.apply(n);
                        }
                        Err(e) => {
                            warn!("unreadable news: {e}");
                            self.follow_at = self.now + Micros::millis(500);
                        }
                    },
                    CallResult::Answer { status: 410, .. } => {
                        info!("too far behind: reading the state anew");
                        self.listed = false;
                    }
                    _ => self.follow_at = self.now + Micros::millis(150 + self.rng.u64(0..150)),
                }
                self.follow();
            }
            Purpose::Barrier(waiting) => self.barrier_done(waiting, result),
            Purpose::Write(w) => self.user_written(w, &result),
            Purpose::GrantNew { asked } => {
                let lease = match &result {
                    CallResult::Answer { status: 200, body } => serde_json::from_slice::<Grant>(body).ok(),
                    _ => None,
                };
                match lease {
                    Some(g) if self.ledger.leader.is_none() => {
                        let (term, stamp) = self.ledger.term;
                        let rec = LeaderRecord {
                            node: self.nodes.names[self.nodes.me.0 as usize].clone(),
                            term: term + 1,
                            lease: g.hold,
                        };
                        let m = Multi {
                            when: vec![
                                When { path: keys::LEADER.into(), stamp: 0 },
                                When { path: keys::TERM.into(), stamp },
                            ],
                            writes: vec![
                                Write::Put { put: keys::TERM.into(), v: json!(term + 1), hold: None },
                                Write::Put { put: keys::LEADER.into(), v: json!(rec), hold: Some(g.hold) },
                            ],
                        };
                        let id = self.multi(&m);
                        self.calls.insert(id, Purpose::TakeKey { asked, lease: g.hold, term: term + 1 });
                    }
                    lease => {
                        if let Some(g) = lease {
                            self.end_lease(g.hold);
                        }
                        let pause = Micros::millis(150 + self.rng.u64(0..300));
                        self.election.lost(self.now, pause);
                    }
                }
            }
            Purpose::TakeKey { asked, lease, term } => match &result {
                CallResult::Answer { status: 200, body } => {
                    let stamp = serde_json::from_slice::<MultiAnswer>(body).map_or(0, |a| a.ledger);
                    self.election.won(term, lease, stamp, asked);
                    self.had_company = false;
                    self.won = Some((term, stamp));
                    self.barrier();
                }
                _ => {
                    // Lost, or nobody knows: without its lease a late key goes too.
                    self.end_lease(lease);
                    let pause = Micros::millis(200 + self.rng.u64(0..400));
                    self.election.lost(self.now, pause);
                }
            },
            Purpose::Renew { sent } => match result {
                CallResult::Answer { status: 200, .. } => self.election.renewed(sent),
                CallResult::Answer { status: 404, .. } => {
                    if self.election.term().is_some() {
                        self.step_down("its lease ended");
                    }
                }
                _ => self.election.renewing = false,
            },
            Purpose::EndLease | Purpose::Mail => {}
            Purpose::LeaderWrites(term, w) => self.leader_written(term, w, &result),
            Purpose::Cloud(term, w) => self.cloud_called(term, w, &result),
            Purpose::Flavors => {
                self.flavors_open = false;
                if let CallResult::Answer { status: 200, body } = &result
                    && let Ok(f) = serde_json::from_slice::<Flavors>(body)
                {
                    self.sizes = f
                        .builds
                        .iter()
                        .map(|b| (b.sku.clone(), Resources::have(b.cpus, b.gpus, b.memory_gb)))
                        .collect();
                    self.flavors = f.builds;
                }
            }
            Purpose::Worker(m) => {
                self.ctl.called(&m, id, &result, self.now);
                self.drive();
                self.sync(false);
            }
            Purpose::Probe(m) => {
                if let CallResult::Answer { status: 200, body } = &result
                    && let Ok(r) = serde_json::from_slice::<Report>(body)
                    && r.host == m.0
                {
                    let rec = MachineRecord { build: r.build, zone: r.yard, spot: r.loaners, addr: r.addr };
                    self.tell_seen(&m, rec);
                }
            }
        }
    }

    fn end_lease(&mut self, lease: u64) {
        let id = self.state("DELETE", format!("/grants/{lease}"), Vec::new(), Micros::millis(1000));
        self.calls.insert(id, Purpose::EndLease);
    }

    fn listed_page(
        &mut self,
        from: Option<String>,
        first: Option<u64>,
        mut ledger: Box<Ledger>,
        result: CallResult,
    ) {
        self.listing = false;
        let page: Option<Listing> = match &result {
            CallResult::Answer { status: 200, body } => serde_json::from_slice(body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            let pause = Micros::millis(300 + self.rng.u64(0..300));
            self.retry_list_at = self.now + pause;
            if from.is_some() {
                debug!("reading the state was interrupted");
            }
            return;
        };
        for p in &page.pairs {
            ledger.apply(&p.path, Some(&p.v), p.stamp);
        }
        // Later pages are newer: the news from the first page's revision on
        // is applied over them.
        let first = first.unwrap_or(page.ledger);
        if let (true, Some(last)) = (page.truncated, page.pairs.last()) {
            return self.list(Some(last.path.clone()), Some(first), ledger);
        }
        ledger.applied = first;
        self.ledger = *ledger;
        self.listed = true;
        if let Some(l) = self.leader.as_mut() {
            for id in self.ledger.jobs.keys() {
                l.job_changed(*id, &self.ledger, self.now);
            }
        }
        info!("state read: {} jobs, {} machines", self.ledger.jobs.len(), self.ledger.machines.len());
        self.barrier();
        self.follow();
    }

    fn barrier_done(&mut self, waiting: Vec<(Waiter, Micros)>, result: CallResult) {
        self.barrier_open = false;
        let news: Option<News> = match &result {
            CallResult::Answer { status: 200, body } => serde_json::from_slice(body).ok(),
            CallResult::Answer { status: 410, .. } => {
                self.listed = false;
                None
            }
            _ => None,
        };
        match news {
            Some(n) => {
                self.apply(n);
                if !self.loaded {
                    self.loaded = true;
                    info!("ready");
                }
                for (w, _) in waiting {
                    self.resolve(w);
                }
            }
            None => {
                let limited = matches!(result, CallResult::Answer { status: 429 | 410, .. });
                for (w, until) in waiting {
                    if limited && self.now < until {
                        self.waiters.push((w, until));
                    } else {
                        self.out.later(w.request(), "the state service can't be asked");
                    }
                }
            }
        }
        if !self.waiters.is_empty() {
            self.barrier();
        }
    }
}
