//! A whole controller node: its mirror of the state service, its part in the
//! election, its block, and the leader's work while it leads.
mod duties;
mod peers;
mod requests;
mod workers;

use crate::controller::{CheckinReply, Controller, Sizes, read_tasks};
use crate::election::{Election, Role};
use crate::jobs::{self, Change, LeaderRecord, Ledger, MachineRecord, Phase, keys};
use crate::leader::{CloudWish, Context, HireRequest, Leader, LeaderWrite, View};
use crate::peer::{Message, Parcel};
use crate::rate::Bucket;
use crate::{Call, CallId, CallResult, Input, Outbox, Output, RequestId, Target};
use gorseshore_protocol::cloud::{Flavor, Flavors, Hire, Hosts, Rentals};
use gorseshore_protocol::ids::{JobId, MachineId, Micros, NodeId, Resources};
use gorseshore_protocol::job::{JobSpec, Kind};
use gorseshore_protocol::state::{Grant, Listing, Multi, MultiAnswer, News, When, Write};
use gorseshore_protocol::users;
use gorseshore_protocol::workers::{CheckinAnswer, Report};
use gorseshore_settings::{Operator, Platform, Team};
use log::{debug, error, info, warn};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

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
    queued: u32,
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
    calls: BTreeMap<CallId, Purpose>,
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
    leader_inflight: BTreeSet<LeaderWrite>,
    leader_txns: usize,
    leader_retry_at: Micros,
    leader_wrote_at: Micros,
    ctl: Controller,
    sync_at: Micros,
    sync_term: u64,
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
    mail_count: u64,
    /// Letters of which parts have come, by the sender's process.
    letters: BTreeMap<u64, (u64, String, usize)>,
    /// Machines of others that reported here, when.
    strangers: BTreeMap<MachineId, Micros>,
    /// Workers that were sent to the holder of their machine, when.
    redirected: BTreeMap<MachineId, Micros>,
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
            calls: BTreeMap::new(),
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
            leader_inflight: BTreeSet::new(),
            leader_txns: 0,
            leader_retry_at: Micros(0),
            leader_wrote_at: Micros(0),
            ctl: Controller::default(),
            sync_at: Micros(0),
            sync_term: 0,
            ping_at: Micros(0),
            peers: nodes
                .names
                .iter()
                .map(|_| PeerState {
                    heard: None,
                    refused: None,
                    state_ok: false,
                    hears: Vec::new(),
                    queued: 0,
                })
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
            mail_count: 0,
            letters: BTreeMap::new(),
            strangers: BTreeMap::new(),
            redirected: BTreeMap::new(),
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

    /// Whether what this node keeps as things change agrees with a fresh
    /// count: for tests.
    pub fn check_kept(&self) -> Result<(), String> {
        self.leader.as_ref().map_or(Ok(()), Leader::check_sums)
    }

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
                    && r.host == m.as_str()
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
        for (id, job) in &self.ledger.jobs {
            self.ctl.job_changed(*id, job);
        }
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
