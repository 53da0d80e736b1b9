//! A whole controller node: its mirror of the state service, its part in the
//! election, its block, and the leader's work while it leads.
mod cancellations;
mod catalogue;
mod duties;
mod held_check_ins;
mod host;
mod knowledge;
mod leadership;
mod membership;
mod mirror;
mod peers;
mod refusals;
mod relay;
mod requests;
mod stand_in;
mod status;
mod waiting;
mod workers;

use cancellations::Cancellations;
use catalogue::{Catalogue, delete_call, list_call, rent_call};
use held_check_ins::HeldCheckIns;
use leadership::Leadership;
use membership::{HEARD, Peers};
use mirror::{Mirror, StateReading};
use relay::Relay;
use status::{Gauges, RefusalReason, ServiceStatus};
use waiting::{MAX_WAITING, UserWrite, Users, Waiter};

use crate::books::{Book, Kept};
use crate::controller::{CheckinReply, Controller, read_tasks};
use crate::deputy::Deputy;
use crate::election::Role;
use crate::guest::{Guest, GuestInput, GuestOutput, Host, Ticket};
use crate::jobs::{self, Change, LeaderRecord, MachineRecord, Phase, StateReplica, keys};
use crate::leader::{CloudWish, Context, HireRequest, Leader, LeaderWrite, View};
use crate::limits::StoreLimits;
use crate::liveness::LivenessMonitor;
use crate::peer::{Envelope, Message, Sighting};
use crate::{Call, CallId, CallResult, Input, Outbox, Output, RequestId, Target};
use gorseshore_protocol::cloud::{Flavors, MachineNames, Rentals};
use gorseshore_protocol::ids::{
    Attempt, JobId, MIN_INTERNAL_JOB_ID, MachineId, Micros, NodeId, Resources, TaskId,
};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::state::{
    LeaseGrant, Listing, Precondition, Transaction, TransactionResponse, WatchResponse, Write,
};
use gorseshore_protocol::users;
use gorseshore_protocol::workers::{Command, HeartbeatResponse, HeartbeatSeq, Report};
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

/// What a call was for.
#[derive(Debug)]
enum Purpose {
    List {
        from: Option<String>,
        first: Option<u64>,
        ledger: Box<StateReplica>,
    },
    Follow,
    Barrier(Vec<(Waiter, Micros)>),
    Write(UserWrite),
    /// Pages of a guest's reading: the prefix, and what came so far.
    GuestRead(Ticket, String, Listing),
    GrantNew {
        asked: Micros,
    },
    TakeKey {
        asked: Micros,
        lease: u64,
        term: u64,
    },
    Renew {
        sent: Micros,
    },
    EndLease,
    /// A transaction of a relayed message, by the message's number.
    Mail(u64),
    LeaderWrites(u64, Vec<LeaderWrite>),
    /// The record of a term's witnesses.
    BooksRecord(u64),
    Cloud(u64, CloudWish),
    Flavors,
    Worker(MachineId),
    Probe(MachineId),
    /// A page of the cloud's list, in a leader's place.
    MachineList,
    /// A machine that may hold a cancelled task, asked or told in a leader's place.
    Deputy {
        machine: MachineId,
        sent: Micros,
    },
    /// Machines deleted in a leader's place.
    DeputyDelete(Vec<MachineId>),
}

/// The node. Each part owns the state of one duty; what crosses parts is here.
pub struct Node {
    nodes: Nodes,
    operator: Operator,
    teams: Vec<Team>,
    ctx: Context,
    limits: StoreLimits,
    now: Micros,
    /// When this process began, and when it could last know what was cancelled.
    began: Micros,
    informed: Option<Micros>,
    /// When a controller was last in touch that knows where tasks may be.
    placements_at: Micros,
    wall_ms: u64,
    rng: fastrand::Rng,
    out: Outbox,
    calls: BTreeMap<CallId, Purpose>,
    incarnation: u64,
    mirror: Mirror,
    users: Users,
    status: ServiceStatus,
    cancellations: Cancellations,
    leadership: Leadership,
    peers: Peers,
    relay: Relay,
    catalogue: Catalogue,
    held_check_ins: HeldCheckIns,
    ctl: Controller,
    /// Books of leaders that this node is a witness of.
    kept: Kept,
    deputy: Deputy,
    liveness: LivenessMonitor,
    liveness_logged: Micros,
    books_asked: Micros,
    has_guest: bool,
    guest: Option<Box<dyn Guest>>,
    /// What came for the guest while it was being asked.
    guest_inputs: Vec<GuestInput>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(p: &Platform, operator: Operator, seed: u64, incarnation: u64, now: Micros) -> Self {
        let nodes = Nodes::new(p);
        let d = &p.deployment;
        let n = nodes.names.len() as f64;
        let ctx = Context {
            me: nodes.me,
            names: nodes.names.clone(),
            zones: nodes.zones.clone(),
            operator: operator.clone(),
            teams: d.teams.clone(),
            objectives: d.objectives.clone(),
            lease: Micros::from_secs_f64(d.workers.lease_s),
            report: Micros::from_secs_f64(d.workers.report_s),
            cancel: Micros::from_secs_f64(d.workers.cancel_s),
            list_lag: Micros::from_secs_f64(d.cloud.list_lag_s),
            cloud_rps: d.cloud.rps,
        };
        let limits = StoreLimits::new(&d.state);
        Node {
            teams: d.teams.clone(),
            ctx,
            limits,
            now,
            began: now,
            informed: None,
            placements_at: now,
            wall_ms: 0,
            rng: fastrand::Rng::with_seed(seed),
            out: Outbox::default(),
            calls: BTreeMap::new(),
            incarnation: incarnation.max(2),
            mirror: Mirror::default(),
            users: Users::new(limits.changes_per_s * 0.9 / n, limits.requests_per_s / n, now),
            status: ServiceStatus::new(now),
            cancellations: Cancellations::default(),
            leadership: Leadership::new(&operator, limits.changes_per_s, now),
            peers: Peers::new(nodes.names.len()),
            relay: Relay::default(),
            catalogue: Catalogue::new(d.cloud.rps, now),
            held_check_ins: HeldCheckIns::default(),
            ctl: Controller::default(),
            kept: Kept::default(),
            deputy: Deputy::new(incarnation),
            liveness: LivenessMonitor::new(
                &p.domain,
                Micros::from_secs_f64(d.workers.report_s),
                Micros::from_secs_f64(d.workers.lease_s),
                now,
            ),
            liveness_logged: now,
            books_asked: Micros(0),
            has_guest: false,
            guest: None,
            guest_inputs: Vec::new(),
            operator,
            nodes,
        }
    }

    /// A node with a guest beside the scheduler.
    pub fn with_guest(mut self, guest: Box<dyn Guest>) -> Self {
        self.has_guest = true;
        self.guest = Some(guest);
        self
    }

    /// Takes an input at a time; what to do about it.
    pub fn handle(&mut self, now: Micros, wall_ms: u64, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        match input {
            Input::Tick => self.tick(),
            Input::Request { id, method, path, body } => self.request(id, &method, &path, &body),
            Input::GuestRequest { id, method, path, token, body } => {
                self.ask_guest(GuestInput::Request { id, method, path, token, body });
            }
            Input::Gone(id) => {
                self.status.asker_gone(id);
                self.held_check_ins.held.retain(|_, (r, ..)| *r != id);
                self.ask_guest(GuestInput::Gone(id));
            }
            Input::Called { id, result } => self.called(id, result),
            Input::Refused(n) => {
                if let Some(p) = self.peers.states.get_mut(n.0 as usize) {
                    p.refused = Some(self.now);
                }
            }
            Input::Peer { from, incarnation, message } => {
                if let Some(p) = self.peers.states.get_mut(from.0 as usize) {
                    p.heard = Some(self.now);
                    p.incarnation = p.incarnation.max(incarnation);
                }
                self.peer(from, incarnation, message);
            }
        }
        self.status.answers_leave(&self.out.items);
        std::mem::take(&mut self.out.items)
    }

    /// The `status` line of a controller, if one is due.
    pub fn status_line(&mut self) -> Option<String> {
        let gauges = Gauges {
            revision: self.mirror.ledger.applied_revision,
            ready: self.ready(),
            machines_held: self.ctl.held(),
            leader: self.leader_node().map(|n| n.0),
            term: self.leader_term(),
        };
        self.status.line(gauges, self.now)
    }

    /// How often an invariant that is checked at run time did not hold.
    pub fn invariant_violations(&self) -> u64 {
        self.status.violations() + self.leadership.leader.as_ref().map_or(0, Leader::violations)
    }

    /// Whether this node leads, and may say so.
    pub fn leads(&self) -> bool {
        self.leadership.leader.is_some() && self.leadership.election.may_lead(self.now)
    }

    /// Whether users are served here; `GET /ready` says the same.
    pub fn serves_users(&self) -> bool {
        self.ready()
    }

    /// Whether this node is ready for users and holds a block that it may start
    /// tasks on.
    pub fn in_service(&self) -> bool {
        self.ready() && self.ctl.lease_valid(self.now)
    }

    /// Whether what this node keeps as things change agrees with a fresh
    /// count: for tests.
    pub fn check_kept(&self) -> Result<(), String> {
        self.leadership.leader.as_ref().map_or(Ok(()), Leader::check_sums)
    }

    fn called(&mut self, id: CallId, result: CallResult) {
        let Some(p) = self.calls.remove(&id) else { return };
        let of_state = !matches!(
            p,
            Purpose::Cloud(..)
                | Purpose::Flavors
                | Purpose::Worker(_)
                | Purpose::Probe(_)
                | Purpose::MachineList
                | Purpose::Deputy { .. }
                | Purpose::DeputyDelete(_)
        );
        if of_state && !matches!(p, Purpose::Follow) {
            match &result {
                CallResult::Answer { status, .. } if *status < 500 && *status != 429 => {
                    self.mirror.ok_at = Some(self.now)
                }
                CallResult::Answer { status: 429, .. } => {}
                _ => self.mirror.fail_at = Some(self.now),
            }
        }
        match p {
            Purpose::List { from, first, ledger } => self.listed_page(from, first, ledger, result),
            Purpose::Follow => {
                self.mirror.following = false;
                match result {
                    CallResult::Answer { status: 200, body } => {
                        match serde_json::from_slice::<WatchResponse>(&body) {
                            Ok(n) => {
                                self.mirror.ok_at = Some(self.now);
                                self.status.caught_up(self.now);
                                self.apply(n);
                            }
                            Err(e) => {
                                warn!("unreadable news: {e}");
                                self.mirror.follow_at = self.now + Micros::millis(500);
                            }
                        }
                    }
                    CallResult::Answer { status: 410, .. } => {
                        info!(
                            "watch expired revision={}: reading the state anew",
                            self.mirror.ledger.applied_revision
                        );
                        self.mirror.listed = false;
                    }
                    _ => self.mirror.follow_at = self.now + Micros::millis(150 + self.rng.u64(0..150)),
                }
                self.follow();
            }
            Purpose::Barrier(waiting) => self.barrier_done(waiting, result),
            Purpose::Write(w) => self.user_written(w, &result),
            Purpose::GuestRead(t, prefix, so_far) => self.guest_page(t, prefix, so_far, result),
            Purpose::GrantNew { asked } => {
                let lease = match &result {
                    CallResult::Answer { status: 200, body } => {
                        serde_json::from_slice::<LeaseGrant>(body).ok()
                    }
                    _ => None,
                };
                match lease {
                    Some(g) if self.mirror.ledger.leader.is_none() => {
                        let (term, stamp) = self.mirror.ledger.term;
                        let rec = LeaderRecord {
                            node: self.nodes.names[self.nodes.me.0 as usize].clone(),
                            term: term + 1,
                            lease: g.lease,
                        };
                        let m = Transaction {
                            preconditions: vec![
                                Precondition { key: keys::LEADER.into(), revision: 0 },
                                Precondition { key: keys::TERM.into(), revision: stamp },
                                Precondition {
                                    key: keys::STANDBY_REPLICAS.into(),
                                    revision: self.mirror.ledger.standby_replicas.1,
                                },
                            ],
                            writes: vec![
                                Write::Put {
                                    key: keys::STANDBY_REPLICAS.into(),
                                    value: json!(self.mirror.ledger.standby_replicas.0.taken_over(term + 1)),
                                    lease: None,
                                },
                                Write::Put { key: keys::TERM.into(), value: json!(term + 1), lease: None },
                                Write::Put {
                                    key: keys::LEADER.into(),
                                    value: json!(rec),
                                    lease: Some(g.lease),
                                },
                            ],
                        };
                        let id = self.multi(&m);
                        self.calls.insert(id, Purpose::TakeKey { asked, lease: g.lease, term: term + 1 });
                    }
                    lease => {
                        if let Some(g) = lease {
                            self.end_lease(g.lease);
                        }
                        let pause = Micros::millis(150 + self.rng.u64(0..300));
                        self.leadership.election.lost(self.now, pause);
                    }
                }
            }
            Purpose::TakeKey { asked, lease, term } => match &result {
                CallResult::Answer { status: 200, body } => {
                    let stamp = serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                    self.leadership.election.won(term, lease, stamp, asked);
                    self.leadership.had_peers = false;
                    self.leadership.won = Some((term, stamp));
                    self.barrier();
                }
                _ => {
                    // Lost, or nobody knows: without its lease a late key goes too.
                    self.end_lease(lease);
                    let pause = Micros::millis(200 + self.rng.u64(0..400));
                    self.leadership.election.lost(self.now, pause);
                }
            },
            Purpose::Renew { sent } => match result {
                CallResult::Answer { status: 200, .. } => self.leadership.election.renewed(sent),
                CallResult::Answer { status: 404, .. } => {
                    if self.leadership.election.term().is_some() {
                        self.step_down("its lease ended");
                    }
                }
                _ => self.leadership.election.renewing = false,
            },
            Purpose::EndLease => {}
            Purpose::Mail(number) => {
                let taken = matches!(result, CallResult::Answer { status: 200, .. });
                self.post_relayed(number, taken);
            }
            Purpose::LeaderWrites(term, w) => self.leader_written(term, w, &result),
            Purpose::BooksRecord(term) => {
                if let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term) {
                    l.books_record_ended();
                }
            }
            Purpose::Cloud(term, w) => self.cloud_called(term, w, &result),
            Purpose::Flavors => {
                self.catalogue.open = false;
                if let CallResult::Answer { status: 200, body } = &result
                    && let Ok(f) = serde_json::from_slice::<Flavors>(body)
                {
                    self.catalogue.take(f);
                }
            }
            Purpose::MachineList => self.machines_listed(&result),
            Purpose::Deputy { machine, sent } => self.deputy_answered(&machine, sent, &result),
            Purpose::DeputyDelete(ids) => self.suspects_deleted(&ids, &result),
            Purpose::Worker(m) => {
                self.ctl.called(&m, id, &result, self.now);
                self.drive();
                self.sync(false);
            }
            Purpose::Probe(m) => {
                if let CallResult::Answer { status: 200, body } = &result
                    && let Ok(r) = serde_json::from_slice::<Report>(body)
                    && r.machine == m.as_str()
                {
                    self.tell_seen(&m, MachineRecord::from_report(&r), r.heartbeat_seq(), true);
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
        mut ledger: Box<StateReplica>,
        result: CallResult,
    ) {
        self.mirror.listing = false;
        let page: Option<Listing> = match &result {
            CallResult::Answer { status: 200, body } => serde_json::from_slice(body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            // Many that start at once share the state service's budget: what was
            // read is kept, and goes on after a pause.
            let pause = Micros::millis(150 + self.rng.u64(0..300));
            self.mirror.retry_list_at = self.now + pause;
            self.mirror.reading.interruptions += 1;
            if from.is_some() {
                debug!("reading the state was interrupted");
                self.mirror.so_far = Some((from, first, ledger));
            }
            return;
        };
        self.mirror.reading.pages += 1;
        if let CallResult::Answer { body, .. } = &result {
            self.mirror.reading.bytes += body.len();
        }
        for p in &page.entries {
            ledger.apply(&p.key, Some(&p.value), p.revision);
        }
        // Later pages are newer: the news from the first page's revision on
        // is applied over them.
        let first = first.unwrap_or(page.revision);
        if let (true, Some(last)) = (page.truncated, page.entries.last()) {
            return self.list(Some(last.key.clone()), Some(first), ledger);
        }
        ledger.applied_revision = first;
        let aside = ledger.extension_entries.take().unwrap_or_default();
        self.mirror.ledger = *ledger;
        self.reapply_cancellations();
        if let Some(g) = self.guest.as_mut() {
            g.begin(first);
            for (name, v, stamp) in &aside {
                g.apply(name, Some(v), *stamp);
            }
            for (id, job) in self.mirror.ledger.jobs.range(JobId(MIN_INTERNAL_JOB_ID)..) {
                g.job_changed(*id, job.revision.max(job.end_revision));
            }
        }
        self.mirror.listed = true;
        for (id, job) in &self.mirror.ledger.jobs {
            self.ctl.job_changed(*id, job);
        }
        if let Some(l) = self.leadership.leader.as_mut() {
            for id in self.mirror.ledger.jobs.keys() {
                l.job_changed(*id, &self.mirror.ledger, self.now);
            }
        }
        let StateReading { began, pages, bytes, interruptions } = self.mirror.reading;
        info!(
            "state read revision={first} last_revision={} pages={pages} bytes={bytes} interruptions={interruptions} \
             duration_ms={} jobs={} machines={}",
            page.revision,
            self.now.since(began).0 / 1000,
            self.mirror.ledger.jobs.len(),
            self.mirror.ledger.machines.len()
        );
        self.barrier();
        self.follow();
    }

    fn barrier_done(&mut self, waiting: Vec<(Waiter, Micros)>, result: CallResult) {
        self.users.barrier_open = false;
        self.status.proof_ended(&result, self.now);
        let news: Option<WatchResponse> = match &result {
            CallResult::Answer { status: 200, body } => serde_json::from_slice(body).ok(),
            CallResult::Answer { status: 410, .. } => {
                info!(
                    "proof expired revision={}: reading the state anew",
                    self.mirror.ledger.applied_revision
                );
                self.mirror.listed = false;
                None
            }
            _ => None,
        };
        match news {
            Some(n) => {
                self.status.caught_up(self.now);
                self.apply(n);
                if !self.mirror.loaded {
                    self.mirror.loaded = true;
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
                        self.users.waiters.push((w, until));
                    } else {
                        self.cant_ask(&w, RefusalReason::ProofFailed);
                    }
                }
            }
        }
        if !self.users.waiters.is_empty() {
            self.barrier();
        }
    }
}
