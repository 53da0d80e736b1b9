//! A controller node: its replica of the state service, its part in the election, its lease of
//! machines, and the leader's work while it leads.
mod cancellation_enforcement;
mod cancellation_knowledge;
mod cancellations;
mod catalogue;
mod control_loop;
mod deferred_heartbeats;
mod extension_host;
mod heartbeats;
mod knowledge_reports;
mod leadership;
mod membership;
mod messaging;
mod past_jobs;
mod pending_requests;
mod placement_knowledge;
mod query_wait;
mod readiness;
mod rejected_writes;
mod relay;
mod replica_sync;
mod requests;
mod status;

use cancellation_knowledge::CancellationKnowledge;
use cancellations::Cancellations;
use catalogue::{Catalogue, delete_call, list_call, rent_call};
use deferred_heartbeats::DeferredHeartbeats;
use leadership::Leadership;
use membership::{PEER_TIMEOUT, Peers};
use past_jobs::{JobRow, PastJobs};
use pending_requests::{MAX_PENDING, PendingRequests, PendingWrite, Waiter};
use query_wait::QueryLog;
use readiness::Readiness;
use relay::Relay;
use replica_sync::{ReadProgress, ReplicaSync};
use status::{Gauges, RefusalReason, ServiceStatus};

use crate::cancellation_enforcer::CancellationEnforcer;
use crate::controller::{Controller, HeartbeatReply, parse_tasks};
use crate::election::Role;
use crate::extension::{Extension, ExtensionContext, ExtensionInput, ExtensionOutput, OperationId};
use crate::jobs::{self, Change, JobEnd, LeaderRecord, MachineRecord, Phase, keys};
use crate::leader::{CloudRequest, Leader, LeaderConfig, LeaderWrite, ScaleOutRequest, SyncView};
use crate::limits::StoreLimits;
use crate::liveness::LivenessMonitor;
use crate::peer::{Envelope, Message, UnleasedReport};
use crate::placement_log::{LogReplica, LogReplicas};
use crate::state_listing::{Retention, StateListing};
use crate::token_bucket::TokenBucket;
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

/// All controllers of the cluster.
#[derive(Debug, Clone)]
pub struct ClusterMembers {
    /// Host names, sorted; a `NodeId` is an index.
    pub names: Vec<String>,
    /// Zones, in the order of the names.
    pub zones: Vec<String>,
    /// This controller.
    pub own_id: NodeId,
}

impl ClusterMembers {
    /// Reads the platform's settings.
    pub fn new(p: &Platform) -> Self {
        let mut all: Vec<(String, String)> =
            p.peers.iter().map(|x| (x.host_name.clone(), x.domain.clone())).collect();
        all.push((p.host_name.clone(), p.domain.clone()));
        all.sort();
        let me = all.iter().position(|(n, _)| *n == p.host_name).unwrap_or(0);
        let (names, zones) = all.into_iter().unzip();
        ClusterMembers { names, zones, own_id: NodeId(me as u8) }
    }
}

/// What a call was made for.
#[derive(Debug)]
enum CallPurpose {
    List(Box<StateListing>),
    /// A read of one row of a job that the state replica lacks.
    JobRow(JobId, JobRow),
    Watch,
    ReadBarrier {
        waiters: Vec<(Waiter, Micros)>,
        sent: Micros,
    },
    Write(PendingWrite),
    /// Pages of an extension's read: the prefix, and the pages received so far.
    ExtensionRead(OperationId, String, Listing),
    CreateLease {
        requested_at: Micros,
    },
    AcquireLeaderKey {
        requested_at: Micros,
        lease: u64,
        term: u64,
    },
    RenewLease {
        sent: Micros,
    },
    RevokeLease,
    /// A transaction of a relayed message, with the message's number.
    RelayedMessage(u64),
    LeaderWrites(u64, Vec<LeaderWrite>),
    /// The record of a term's standby replicas.
    StandbyRecord(u64),
    Cloud(u64, CloudRequest),
    Flavors,
    WorkerCall(MachineId),
    Probe(MachineId),
    /// A page of the cloud's list, for enforcing cancellations without a leader.
    MachineList,
    /// A probe of a machine that may hold a cancelled task, or a stop sent to it, without a leader.
    SuspectCall {
        machine: MachineId,
        sent: Micros,
    },
    /// Machines deleted without a leader, because they may hold cancelled tasks.
    SuspectDeletion(Vec<MachineId>),
}

/// A controller node. Each field owns the state of one duty; what several duties share is here.
pub struct Node {
    members: ClusterMembers,
    operator: Operator,
    teams: Vec<Team>,
    leader_config: LeaderConfig,
    limits: StoreLimits,
    now: Micros,
    started_at: Micros,
    cancellation_knowledge: CancellationKnowledge,
    /// When this node was last in contact with a controller that knows where tasks may be.
    placements_known_at: Micros,
    wall_ms: u64,
    rng: fastrand::Rng,
    out: Outbox,
    calls: BTreeMap<CallId, CallPurpose>,
    incarnation: u64,
    replica_sync: ReplicaSync,
    pending: PendingRequests,
    past_jobs: PastJobs,
    status: ServiceStatus,
    query_log: QueryLog,
    logged_readiness: Option<Readiness>,
    cancellations: Cancellations,
    leadership: Leadership,
    peers: Peers,
    relay: Relay,
    catalogue: Catalogue,
    deferred_heartbeats: DeferredHeartbeats,
    controller: Controller,
    /// Leaders' placement logs of which this node is a standby replica.
    log_replicas: LogReplicas,
    enforcer: CancellationEnforcer,
    liveness: LivenessMonitor,
    liveness_logged_at: Micros,
    log_requested_at: Micros,
    has_extension: bool,
    extension: Option<Box<dyn Extension>>,
    /// Inputs that arrived while the extension was handling another one.
    extension_inputs: Vec<ExtensionInput>,
}

impl Node {
    /// Creates a node with an empty state replica.
    pub fn new(p: &Platform, operator: Operator, seed: u64, incarnation: u64, now: Micros) -> Self {
        let members = ClusterMembers::new(p);
        let d = &p.deployment;
        let n = members.names.len() as f64;
        let leader_config = LeaderConfig {
            node_id: members.own_id,
            names: members.names.clone(),
            zones: members.zones.clone(),
            operator: operator.clone(),
            teams: d.teams.clone(),
            objectives: d.objectives.clone(),
            worker_lease: Micros::from_secs_f64(d.workers.lease_s),
            report_interval: Micros::from_secs_f64(d.workers.report_s),
            cancel_timeout: Micros::from_secs_f64(d.workers.cancel_s),
            list_lag: Micros::from_secs_f64(d.cloud.list_lag_s),
            cloud_rps: d.cloud.rps,
        };
        let limits = StoreLimits::new(&d.state);
        Node {
            teams: d.teams.clone(),
            leader_config,
            limits,
            now,
            started_at: now,
            cancellation_knowledge: CancellationKnowledge::new(members.own_id, members.names.len(), now),
            placements_known_at: now,
            wall_ms: 0,
            rng: fastrand::Rng::with_seed(seed),
            out: Outbox::default(),
            calls: BTreeMap::new(),
            incarnation: incarnation.max(2),
            replica_sync: ReplicaSync::default(),
            pending: PendingRequests::new(limits.writes_per_s * 0.9 / n, limits.requests_per_s / n, now),
            past_jobs: PastJobs::new(limits.requests_per_s / n, now),
            status: ServiceStatus::new(now),
            query_log: QueryLog::default(),
            logged_readiness: None,
            cancellations: Cancellations::default(),
            leadership: Leadership::new(&operator, limits.writes_per_s, now),
            peers: Peers::new(members.names.len()),
            relay: Relay::default(),
            catalogue: Catalogue::new(d.cloud.rps, now),
            deferred_heartbeats: DeferredHeartbeats::default(),
            controller: Controller::default(),
            log_replicas: LogReplicas::default(),
            enforcer: CancellationEnforcer::new(incarnation),
            liveness: LivenessMonitor::new(
                &p.domain,
                Micros::from_secs_f64(d.workers.report_s),
                Micros::from_secs_f64(d.workers.lease_s),
                now,
            ),
            liveness_logged_at: now,
            log_requested_at: Micros(0),
            has_extension: false,
            extension: None,
            extension_inputs: Vec::new(),
            operator,
            members,
        }
    }

    /// Adds an extension beside the scheduler.
    pub fn with_extension(mut self, extension: Box<dyn Extension>) -> Self {
        self.has_extension = true;
        self.extension = Some(extension);
        self
    }

    /// Handles one input; returns what to send and call.
    pub fn handle(&mut self, now: Micros, wall_ms: u64, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        match input {
            Input::Tick => self.tick(),
            Input::Request { id, method, path, body } => self.route_request(id, &method, &path, &body),
            Input::ExtensionRequest { id, method, path, token, body } => {
                self.run_extension(ExtensionInput::Request { id, method, path, token, body });
            }
            Input::ClientDisconnected(id) => {
                self.status.client_disconnected(id);
                self.deferred_heartbeats.deferred.retain(|_, (r, ..)| *r != id);
                self.run_extension(ExtensionInput::ClientDisconnected(id));
            }
            Input::CallCompleted { id, result } => self.call_completed(id, result),
            Input::PeerRefused(n) => {
                if let Some(p) = self.peers.states.get_mut(n.0 as usize) {
                    p.refused_at = Some(self.now);
                }
            }
            Input::Peer { from, incarnation, message } => {
                if let Some(p) = self.peers.states.get_mut(from.0 as usize) {
                    p.last_contact = Some(self.now);
                    p.incarnation = p.incarnation.max(incarnation);
                }
                self.receive_message(from, incarnation, message);
            }
        }
        self.status.responses_sent(&self.out.items);
        std::mem::take(&mut self.out.items)
    }

    /// The `status` line, if one is due.
    pub fn status_line(&mut self) -> Option<String> {
        let gauges = Gauges {
            revision: self.replica_sync.replica.applied_revision,
            ready: self.readiness().serves(),
            machines_held: self.controller.held_count(),
            leader: self.leader_node().map(|n| n.0),
            term: self.leader_term(),
            exits_waiting: self.controller.exits_waiting_for_token(),
            attempts_reappeared: self.controller.reappeared_attempts,
        };
        self.status.line(gauges, self.now)
    }

    /// How many violations of invariants this process has detected at run time.
    pub fn invariant_violations(&self) -> u64 {
        self.status.violations() + self.leadership.leader.as_ref().map_or(0, Leader::violations)
    }

    /// Whether this node leads and its lease is confirmed.
    pub fn leads(&self) -> bool {
        self.leadership.leader.is_some() && self.leadership.election.may_lead(self.now)
    }

    /// Whether clients are served here; `GET /ready` returns the same.
    pub fn serves_users(&self) -> bool {
        self.readiness().serves()
    }

    /// Whether this node serves clients and holds a lease of machines that it may start tasks on.
    pub fn in_service(&self) -> bool {
        self.readiness().serves() && self.controller.lease_valid(self.now)
    }

    /// For tests: compares the sums that are updated incrementally with a recount.
    pub fn check_aggregates(&self) -> Result<(), String> {
        self.leadership.leader.as_ref().map_or(Ok(()), Leader::check_totals)
    }

    fn call_completed(&mut self, id: CallId, result: CallResult) {
        let Some(p) = self.calls.remove(&id) else { return };
        let to_state_service = !matches!(
            p,
            CallPurpose::Cloud(..)
                | CallPurpose::Flavors
                | CallPurpose::WorkerCall(_)
                | CallPurpose::Probe(_)
                | CallPurpose::MachineList
                | CallPurpose::SuspectCall { .. }
                | CallPurpose::SuspectDeletion(_)
        );
        if to_state_service && !matches!(p, CallPurpose::Watch) {
            match &result {
                CallResult::Response { status, .. } if *status < 500 && *status != 429 => {
                    self.replica_sync.last_success = Some(self.now)
                }
                CallResult::Response { status: 429, .. } => {}
                _ => self.replica_sync.last_failure = Some(self.now),
            }
        }
        match p {
            CallPurpose::List(listing) => self.list_page_received(listing, result),
            CallPurpose::JobRow(job, row) => self.job_row_received(job, row, &result),
            CallPurpose::Watch => {
                self.replica_sync.watch_in_flight = false;
                match result {
                    CallResult::Response { status: 200, body } => {
                        match serde_json::from_slice::<WatchResponse>(&body) {
                            Ok(n) => {
                                self.replica_sync.last_success = Some(self.now);
                                self.status.caught_up(self.now);
                                self.apply_events(n);
                            }
                            Err(e) => {
                                warn!("invalid watch response: {e}");
                                self.replica_sync.next_watch_at = self.now + Micros::millis(500);
                            }
                        }
                    }
                    CallResult::Response { status: 410, .. } => {
                        info!(
                            "watch expired revision={}: reading the state from the start",
                            self.replica_sync.replica.applied_revision
                        );
                        self.replica_sync.listed = false;
                    }
                    _ => {
                        self.replica_sync.next_watch_at =
                            self.now + Micros::millis(150 + self.rng.u64(0..150))
                    }
                }
                self.watch_state();
            }
            CallPurpose::ReadBarrier { waiters, sent } => self.read_barrier_completed(waiters, sent, result),
            CallPurpose::Write(w) => self.pending_write_completed(w, &result),
            CallPurpose::ExtensionRead(t, prefix, so_far) => {
                self.extension_page_received(t, prefix, so_far, result)
            }
            CallPurpose::CreateLease { requested_at } => {
                let lease = match &result {
                    CallResult::Response { status: 200, body } => {
                        serde_json::from_slice::<LeaseGrant>(body).ok()
                    }
                    _ => None,
                };
                match lease {
                    Some(g) if self.replica_sync.replica.leader.is_none() => {
                        let (term, term_revision) = self.replica_sync.replica.term;
                        let rec = LeaderRecord {
                            node: self.members.names[self.members.own_id.0 as usize].clone(),
                            term: term + 1,
                            lease: g.lease,
                        };
                        let m = Transaction {
                            preconditions: vec![
                                Precondition { key: keys::LEADER.into(), revision: 0 },
                                Precondition { key: keys::TERM.into(), revision: term_revision },
                                Precondition {
                                    key: keys::STANDBY_REPLICAS.into(),
                                    revision: self.replica_sync.replica.standby_replicas.1,
                                },
                            ],
                            writes: vec![
                                Write::Put {
                                    key: keys::STANDBY_REPLICAS.into(),
                                    value: json!(
                                        self.replica_sync.replica.standby_replicas.0.for_new_term(term + 1)
                                    ),
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
                        let id = self.send_transaction(&m);
                        self.calls.insert(
                            id,
                            CallPurpose::AcquireLeaderKey { requested_at, lease: g.lease, term: term + 1 },
                        );
                    }
                    lease => {
                        if let Some(g) = lease {
                            self.revoke_lease(g.lease);
                        }
                        let pause = Micros::millis(150 + self.rng.u64(0..300));
                        self.leadership.election.step_down(self.now, pause);
                    }
                }
            }
            CallPurpose::AcquireLeaderKey { requested_at, lease, term } => match &result {
                CallResult::Response { status: 200, body } => {
                    let key_revision =
                        serde_json::from_slice::<TransactionResponse>(body).map_or(0, |a| a.revision);
                    self.leadership.election.elected(term, lease, key_revision, requested_at);
                    self.leadership.had_peers = false;
                    self.leadership.acquired = Some((term, key_revision));
                    self.start_read_barrier();
                }
                _ => {
                    // Lost or unknown. Revoking the lease also deletes a key that is written late.
                    self.revoke_lease(lease);
                    let pause = Micros::millis(200 + self.rng.u64(0..400));
                    self.leadership.election.step_down(self.now, pause);
                }
            },
            CallPurpose::RenewLease { sent } => match result {
                CallResult::Response { status: 200, .. } => self.leadership.election.renewal_confirmed(sent),
                CallResult::Response { status: 404, .. } => {
                    if self.leadership.election.term().is_some() {
                        self.step_down("lease expired");
                    }
                }
                _ => self.leadership.election.renewal_in_flight = false,
            },
            CallPurpose::RevokeLease => {}
            CallPurpose::RelayedMessage(number) => {
                let posted = matches!(result, CallResult::Response { status: 200, .. });
                self.post_next_transaction(number, posted);
            }
            CallPurpose::LeaderWrites(term, w) => self.leader_writes_completed(term, w, &result),
            CallPurpose::StandbyRecord(term) => {
                if let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term) {
                    l.replica_record_write_ended();
                }
            }
            CallPurpose::Cloud(term, w) => self.cloud_call_completed(term, w, &result),
            CallPurpose::Flavors => {
                self.catalogue.request_in_flight = false;
                if let CallResult::Response { status: 200, body } = &result
                    && let Ok(f) = serde_json::from_slice::<Flavors>(body)
                {
                    self.catalogue.update(f);
                }
            }
            CallPurpose::MachineList => self.machine_list_received(&result),
            CallPurpose::SuspectCall { machine, sent } => {
                self.suspect_call_completed(&machine, sent, &result)
            }
            CallPurpose::SuspectDeletion(ids) => self.suspect_deletion_completed(&ids, &result),
            CallPurpose::WorkerCall(m) => {
                self.controller.call_completed(&m, id, &result, self.now);
                self.send_worker_calls();
                self.send_sync(false);
            }
            CallPurpose::Probe(m) => {
                if let CallResult::Response { status: 200, body } = &result
                    && let Ok(r) = serde_json::from_slice::<Report>(body)
                    && r.machine == m.as_str()
                {
                    self.report_unleased(&m, MachineRecord::from_report(&r), r.heartbeat_seq(), true);
                }
            }
        }
    }

    fn revoke_lease(&mut self, lease: u64) {
        let id =
            self.call_state_service("DELETE", format!("/grants/{lease}"), Vec::new(), Micros::millis(1000));
        self.calls.insert(id, CallPurpose::RevokeLease);
    }

    fn list_page_received(&mut self, mut listing: Box<StateListing>, result: CallResult) {
        self.replica_sync.list_in_flight = false;
        let body = match result {
            CallResult::Response { status: 200, body } => Some(body),
            _ => None,
        };
        let bytes = body.as_ref().map_or(0, Vec::len);
        let page = body.map(|body| listing.page_received(body));
        let Some(Ok(())) = page else {
            if let Some(Err(e)) = page {
                warn!("state read: {e}");
            }
            // Many processes that start at once share the state service's budget: the pages read so
            // far are kept, and the read resumes after a pause.
            let pause = Micros::millis(150 + self.rng.u64(0..300));
            self.replica_sync.next_list_at = self.now + pause;
            self.replica_sync.read_progress.interruptions += 1;
            debug!("state read interrupted");
            self.replica_sync.interrupted_list = Some(listing);
            return;
        };
        self.replica_sync.read_progress.pages += 1;
        self.replica_sync.read_progress.bytes += bytes;
        match listing.next_path() {
            Some(path) => self.request_list_page(listing, path),
            None => self.list_completed(*listing),
        }
    }

    /// Replaces the state replica by the one that was read.
    fn list_completed(&mut self, listing: StateListing) {
        // The watch starts at the first page's revision: its events are applied over later pages.
        let (first_revision, last_revision) = (listing.first_revision(), listing.last_revision());
        let settled_jobs = listing.settled_jobs();
        let mut replica = listing.finish();
        let extension_entries = replica.extension_entries.take().unwrap_or_default();
        self.replica_sync.replica = replica;
        self.reapply_cancellations();
        if let Some(g) = self.extension.as_mut() {
            g.reset(first_revision);
            for (name, v, revision) in &extension_entries {
                g.apply(name, Some(v), *revision);
            }
            for (id, job) in self.replica_sync.replica.jobs.range(JobId(MIN_INTERNAL_JOB_ID)..) {
                g.job_changed(*id, job.revision.max(job.end_revision));
            }
        }
        self.replica_sync.listed = true;
        for (id, job) in &self.replica_sync.replica.jobs {
            self.controller.job_changed(*id, job);
        }
        if let Some(l) = self.leadership.leader.as_mut() {
            for id in self.replica_sync.replica.jobs.keys() {
                l.job_changed(*id, &self.replica_sync.replica, self.now);
            }
        }
        let ReadProgress { started_at, pages, bytes, interruptions } = self.replica_sync.read_progress;
        info!(
            "state read revision={first_revision} last_revision={last_revision} pages={pages} bytes={bytes} \
             interruptions={interruptions} duration_ms={} jobs={} settled_jobs={settled_jobs} machines={}",
            self.now.since(started_at).0 / 1000,
            self.replica_sync.replica.jobs.len(),
            self.replica_sync.replica.machines.len()
        );
        self.start_read_barrier();
        self.watch_state();
    }

    fn read_barrier_completed(&mut self, waiters: Vec<(Waiter, Micros)>, sent: Micros, result: CallResult) {
        self.pending.barrier_in_flight = false;
        self.status.read_barrier_completed(&result, self.now);
        let response: Option<WatchResponse> = match &result {
            CallResult::Response { status: 200, body } => serde_json::from_slice(body).ok(),
            CallResult::Response { status: 410, .. } => {
                info!(
                    "proof expired revision={}: reading the state from the start",
                    self.replica_sync.replica.applied_revision
                );
                self.replica_sync.listed = false;
                None
            }
            _ => None,
        };
        match response {
            Some(n) => {
                self.status.caught_up(self.now);
                self.apply_events(n);
                self.replica_sync.proven_at = Some(sent);
                if !self.replica_sync.loaded {
                    self.replica_sync.loaded = true;
                    info!("ready");
                }
                for (w, until) in waiters {
                    self.complete_waiter(w, until);
                }
            }
            None => {
                let limited = matches!(result, CallResult::Response { status: 429 | 410, .. });
                for (w, until) in waiters {
                    if limited && self.now < until {
                        self.pending.waiters.push((w, until));
                    } else {
                        self.fail_waiter(&w, RefusalReason::ReadBarrierFailed);
                    }
                }
            }
        }
        if !self.pending.waiters.is_empty() {
            self.start_read_barrier();
        }
    }
}
