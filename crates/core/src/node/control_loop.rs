//! Periodic work: the state replica's list and watch, the election, the leader's work.
use super::*;
use crate::leader::changes::{Changes, RecordContext};
use crate::peer::KNOWLEDGE_REPORTS;
use crate::placement_log::LogUpdate;

/// Size limit of a transaction with several records, in bytes; the state service accepts 64 KiB.
const MAX_TXN_BYTES: usize = 50_000;

impl Node {
    pub(super) fn tick(&mut self) {
        self.status.ticked(self.now);
        self.log_readiness();
        self.expire_waiters();
        self.tend_past_jobs();
        self.update_cancellation_knowledge();
        self.log_lease_renewals();
        self.update_placements_known_at();
        self.propagate_cancellations();
        self.watch_state();
        if !self.pending.waiters.is_empty()
            || self.replica_sync.read_due(self.now)
            || self.cancellation_knowledge.is_outdated(self.now)
        {
            self.start_read_barrier();
        }
        self.send_pending_writes();
        self.run_election();
        self.run_leader();
        self.enforce_without_leader();
        self.request_machine_types();
        self.answer_deferred();
        self.send_worker_calls();
        self.send_sync(false);
        self.post_queued_messages();
        self.run_extension(ExtensionInput::Tick);
        if self.now.since(self.peers.pinged_at) >= Micros::millis(500) {
            self.peers.pinged_at = self.now;
            let state_ok = self.replica_sync.state_reachable(self.now);
            let contacts: Vec<NodeId> = (0..self.peers.states.len())
                .map(|i| NodeId(i as u8))
                .filter(|n| *n == self.members.own_id || self.in_contact(*n, PEER_TIMEOUT))
                .chain([KNOWLEDGE_REPORTS])
                .collect();
            let queued = self.pending.writes.len() as u32;
            let others = self.peers.queued(self.now);
            self.pending.share_budget(others, self.members.names.len(), self.limits.writes_per_s);
            for i in 0..self.members.names.len() {
                if i != self.members.own_id.0 as usize {
                    let contacts = contacts.clone();
                    let loaded = self.replica_sync.loaded;
                    self.out.send(
                        NodeId(i as u8),
                        Message::Ping {
                            state_reachable: state_ok,
                            receives_from: contacts,
                            queued_writes: queued,
                            state_loaded: loaded,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn expire_waiters(&mut self) {
        for w in self.pending.take_expired(self.now) {
            self.fail_waiter(&w, RefusalReason::ReadBarrierFailed);
        }
    }

    pub(super) fn watch_state(&mut self) {
        if !self.replica_sync.listed {
            if !self.replica_sync.list_in_flight && self.now >= self.replica_sync.next_list_at {
                let listing = match self.replica_sync.interrupted_list.take() {
                    Some(listing) => listing,
                    None => self.new_listing(),
                };
                if let Some(path) = listing.next_path() {
                    self.request_list_page(listing, path);
                }
            }
            return;
        }
        if !self.replica_sync.watch_in_flight && self.now >= self.replica_sync.next_watch_at {
            let path = format!(
                "/follow?prefix={}&from={}&hold_ms=10000",
                keys::ROOT_PREFIX,
                self.replica_sync.replica.applied_revision
            );
            let id = self.call_state_service("GET", path, Vec::new(), Micros::secs(13));
            self.calls.insert(id, CallPurpose::Watch);
            self.replica_sync.watch_in_flight = true;
        }
    }

    /// Starts to read all keys. Ends of jobs that are held now are passed on.
    fn new_listing(&mut self) -> Box<StateListing> {
        self.replica_sync.read_progress = ReadProgress { started_at: self.now, ..ReadProgress::default() };
        let retention = Retention {
            known: self.replica_sync.replica.jobs.keys().copied().collect(),
            internal: self.has_extension,
            latest: self.past_jobs.held,
        };
        Box::new(StateListing::new(retention, self.has_extension))
    }

    pub(super) fn request_list_page(&mut self, listing: Box<StateListing>, path: String) {
        self.replica_sync.list_in_flight = true;
        let id = self.call_state_service("GET", path, Vec::new(), Micros::millis(2500));
        self.calls.insert(id, CallPurpose::List(listing));
    }

    pub(super) fn apply_events(&mut self, response: WatchResponse) {
        let base = self.replica_sync.replica.applied_revision;
        let mut messages = Vec::new();
        for e in &response.events {
            if e.revision <= base {
                continue;
            }
            let change = match (&e.put, &e.remove) {
                (Some(k), _) => match self.replica_sync.replica.apply(k, Some(&e.value), e.revision) {
                    Change::RelayedMessage(to) => {
                        if to == self.members.names[self.members.own_id.0 as usize]
                            && let Some(p) = self.relay.receive_part(&e.value)
                        {
                            messages.push(p);
                        }
                        continue;
                    }
                    c => c,
                },
                (None, Some(k)) => self.replica_sync.replica.apply(k, None, e.revision),
                _ => continue,
            };
            if let Some(g) = self.extension.as_mut() {
                match &change {
                    Change::Extension => {
                        let (key, v) = match (&e.put, &e.remove) {
                            (Some(k), _) => (k, Some(&e.value)),
                            (None, Some(k)) => (k, None),
                            (None, None) => continue,
                        };
                        if let Some(name) = key.strip_prefix(keys::EXTENSION_PREFIX) {
                            g.apply(name, v, e.revision);
                        }
                    }
                    Change::Job { id, .. } if id.is_internal() => g.job_changed(*id, e.revision),
                    _ => {}
                }
            }
            self.record_job_change(change);
        }
        self.replica_sync.replica.applied_revision = base.max(response.revision);
        // Only after all events: an assignment may be of a job whose end came with them.
        for p in messages {
            self.receive_message(p.from, p.incarnation, p.message);
        }
        if !response.events.is_empty() {
            self.run_leader();
            self.send_worker_calls();
            self.run_extension(ExtensionInput::ReplicaUpdated);
        }
    }

    pub(super) fn record_job_change(&mut self, c: Change) {
        let Change::Job { id, cancelled } = c else { return };
        for id in std::iter::once(id).chain(cancelled) {
            if let Some(job) = self.replica_sync.replica.jobs.get(&id) {
                self.controller.job_changed(id, job);
            }
            if let Some(l) = self.leadership.leader.as_mut() {
                l.job_changed(id, &self.replica_sync.replica, self.now);
            }
        }
    }

    pub(super) fn run_election(&mut self) {
        if !self.replica_sync.loaded {
            return;
        }
        let campaign_due = if self.replica_sync.replica.leader.is_none() {
            self.may_campaign()
        } else {
            self.leadership.leaderless_since = None;
            false
        };
        match self.leadership.election.role {
            Role::Follower => match &self.replica_sync.replica.leader {
                None if self.now >= self.leadership.election.next_attempt_at
                    && !self.replica_sync.state_unavailable(self.now)
                    && campaign_due =>
                {
                    self.leadership.election.role = Role::Candidate;
                    let lease_ms = self.operator.leader_lease.0 / 1000;
                    let body = json!({ "life_ms": lease_ms }).to_string().into_bytes();
                    let id = self.call_state_service("POST", "/grants".into(), body, Micros::millis(1000));
                    self.calls.insert(id, CallPurpose::CreateLease { requested_at: self.now });
                }
                Some((rec, _))
                    if rec.node == self.members.names[self.members.own_id.0 as usize]
                        && self.leadership.revoked_lease != Some(rec.lease) =>
                {
                    // An earlier process of this node led; revoking its lease avoids waiting until
                    // it expires.
                    info!("revoking the leader lease of this node's previous process");
                    let path = format!("/grants/{}", rec.lease);
                    self.leadership.revoked_lease = Some(rec.lease);
                    let id = self.call_state_service("DELETE", path, Vec::new(), Micros::millis(1000));
                    self.calls.insert(id, CallPurpose::RevokeLease);
                }
                _ => {}
            },
            Role::Candidate => {}
            Role::Leader { lease, key_revision, term } => {
                if self.replica_sync.replica.applied_revision >= key_revision
                    && self
                        .replica_sync
                        .replica
                        .leader
                        .as_ref()
                        .is_none_or(|(r, s)| *s != key_revision || r.term != term)
                {
                    return self.step_down("leader key deleted or replaced");
                }
                if self.lost_all_peers() {
                    // Cut off from the other controllers: one that reaches more of the cluster
                    // serves it better.
                    self.revoke_lease(lease);
                    self.step_down("no contact with any other controller");
                    self.leadership.election.next_attempt_at = self.now + Micros::secs(4);
                    return;
                }
                if self.leadership.election.renewal_due(self.now) {
                    self.leadership.election.renewal_in_flight = true;
                    self.leadership.election.last_renewal_sent_at = self.now;
                    let path = format!("/grants/{lease}/renew");
                    let timeout = self.operator.leader_lease.scale(1, 3);
                    let id = self.call_state_service("POST", path, Vec::new(), timeout);
                    self.calls.insert(id, CallPurpose::RenewLease { sent: self.now });
                }
            }
        }
    }

    /// Whether this node should campaign now while there is no leader. Controllers in contact with
    /// more of the others go first: a node waits 400 ms for each controller that is out of contact,
    /// unless that controller's process is known to be down.
    pub(super) fn may_campaign(&mut self) -> bool {
        let out_of_contact = (0..self.peers.states.len())
            .map(|i| NodeId(i as u8))
            .filter(|n| {
                *n != self.members.own_id
                    && !self.in_contact(*n, PEER_TIMEOUT)
                    && !self.peers.is_process_down(*n, self.now)
            })
            .count() as u64;
        let since = *self.leadership.leaderless_since.get_or_insert(self.now);
        self.now.since(since) >= Micros::millis(400 * out_of_contact)
    }

    /// Whether this leader lost contact with all other controllers, and not because their processes
    /// ended.
    pub(super) fn lost_all_peers(&mut self) -> bool {
        let others: Vec<NodeId> = (0..self.peers.states.len())
            .map(|i| NodeId(i as u8))
            .filter(|n| *n != self.members.own_id)
            .collect();
        if others.iter().any(|n| self.in_contact(*n, Micros::millis(3000))) {
            self.leadership.had_peers = true;
            return false;
        }
        self.leadership.had_peers && !others.iter().any(|n| self.peers.is_process_down(*n, self.now))
    }

    pub(super) fn step_down(&mut self, why: &str) {
        if let Role::Leader { term, lease, .. } = self.leadership.election.role {
            self.leadership.revoked_lease = Some(lease);
            warn!("stepped down term={term} reason=\"{why}\"");
        }
        let pause = Micros::millis(200 + self.rng.u64(0..400));
        self.leadership.election.step_down(self.now, pause);
        self.leadership.leader = None;
        self.leadership.acquired = None;
    }

    /// Runs the leader's work.
    pub(super) fn run_leader(&mut self) {
        // The state replica must hold everything that was written before the leader key was
        // acquired.
        if let Some((term, key_revision)) = self.leadership.acquired
            && self.replica_sync.replica.applied_revision >= key_revision
            && !self.catalogue.sizes.is_empty()
        {
            self.leadership.acquired = None;
            if self
                .replica_sync
                .replica
                .leader
                .as_ref()
                .is_some_and(|(r, s)| *s == key_revision && r.term == term)
            {
                let l = Leader::new(
                    self.leader_config.clone(),
                    term,
                    key_revision,
                    &self.replica_sync.replica,
                    &self.catalogue.sizes,
                    self.now,
                    self.wall_ms,
                );
                self.leadership.start_term(l);
                self.send_sync(true);
            }
        }
        self.fetch_placement_log();
        let lease_confirmed = self.leadership.election.may_lead(self.now);
        let Some(l) = self.leadership.leader.as_mut() else { return };
        if l.tokens_exhausted() {
            return self.step_down("fencing tokens of the term exhausted");
        }
        if lease_confirmed {
            l.tick(&self.replica_sync.replica, self.now);
        } else {
            l.stop_cancelled(&self.replica_sync.replica, self.now);
        }
        let messages = l.due_messages(self.now, lease_confirmed);
        for (to, m) in messages {
            self.send(to, m);
        }
        if lease_confirmed {
            self.record_standby_replicas();
            self.send_leader_writes();
        }
        self.send_cloud_requests(lease_confirmed);
    }

    /// Gets a new leader the placement log of its predecessor: from this node if it was a standby
    /// replica, else from another standby.
    fn fetch_placement_log(&mut self) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let Some(w) = l.wanted_log() else { return };
        let term = w.term;
        let me = &self.members.names[self.members.own_id.0 as usize];
        let is_standby = w.nodes.iter().any(|(name, process)| name == me && *process == self.incarnation);
        if is_standby && let Some(log_replica) = self.log_replicas.get(term) {
            return l.adopt_log(term, log_replica, &self.replica_sync.replica);
        }
        if self.now.since(self.log_requested_at) < Micros::millis(200) {
            return;
        }
        self.log_requested_at = self.now;
        let holders =
            w.nodes.iter().filter_map(|(name, _)| self.members.names.iter().position(|n| n == name));
        for n in holders.filter(|n| *n != self.members.own_id.0 as usize) {
            self.out.send(NodeId(n as u8), Message::PlacementLogRequest { term });
        }
    }

    /// Handles the placement log that another controller sent on request.
    pub(super) fn placement_log_received(&mut self, from: NodeId, incarnation: u64, page: LogUpdate) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let Some(w) = l.wanted_log() else { return };
        // Only from the very process on record: a later process of that controller has not kept the
        // log up to date.
        let name = self.members.names.get(from.0 as usize);
        let holds = w.nodes.iter().any(|(n, process)| Some(n) == name && *process == incarnation);
        let term = page.term;
        if holds
            && term == w.term
            && let Some(log_replica) = LogReplica::from_full_update(page)
        {
            l.adopt_log(term, &log_replica, &self.replica_sync.replica);
        }
    }

    /// Records which standby replicas hold the placement log, when that changes.
    fn record_standby_replicas(&mut self) {
        let Role::Leader { key_revision, term, .. } = self.leadership.election.role else { return };
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let all = (0..self.peers.states.len()).map(|i| NodeId(i as u8));
        let down: Vec<NodeId> = all.filter(|n| self.peers.is_process_down(*n, self.now)).collect();
        let Some((record, record_revision)) =
            l.due_replica_record(&self.replica_sync.replica, &down, self.now)
        else {
            return;
        };
        let names: Vec<&str> = record.nodes.iter().map(|(n, _)| n.as_str()).collect();
        debug!("standby replicas of term {term}: {}", names.join(", "));
        self.leadership.bucket.take_unconditionally(self.now, 1.0);
        let when = vec![
            Precondition { key: keys::LEADER.into(), revision: key_revision },
            Precondition { key: keys::STANDBY_REPLICAS.into(), revision: record_revision },
        ];
        let put = Write::Put { key: keys::STANDBY_REPLICAS.into(), value: json!(record), lease: None };
        let id = self.send_transaction(&Transaction { preconditions: when, writes: vec![put] });
        self.calls.insert(id, CallPurpose::StandbyRecord(term));
    }

    pub(super) fn send_leader_writes(&mut self) {
        let Role::Leader { key_revision, term, .. } = self.leadership.election.role else { return };
        // Finding what to write scans all jobs and machines, so it is not done at every input.
        let scan_interval = Micros::millis(40);
        if self.leadership.open_txns >= 3
            || self.now < self.leadership.next_txn_at
            || self.now.since(self.leadership.last_scan_at) < scan_interval
        {
            return;
        }
        self.leadership.last_scan_at = self.now;
        let Some(l) = self.leadership.leader.as_mut() else { return };
        l.mark_unrecorded_progress(&self.replica_sync.replica, self.now);
        l.mark_late_records(&self.replica_sync.replica);
        let Some(l) = self.leadership.leader.as_ref() else { return };
        let pending: Vec<LeaderWrite> = l
            .due_writes(&self.replica_sync.replica, self.limits.value_bytes, self.now)
            .into_iter()
            .filter(|w| !self.leadership.inflight.contains(w))
            .filter(|w| !self.leadership.rejected.is_paused(w, self.now))
            .filter_map(|w| self.leadership.uncontested(w, self.now))
            .collect();
        let mut m = Transaction {
            preconditions: vec![Precondition { key: keys::LEADER.into(), revision: key_revision }],
            writes: Vec::new(),
        };
        let mut included = Vec::new();
        let mut size = 0;
        for w in pending {
            let alone = self.leadership.rejected.must_be_alone(&w);
            if alone && !included.is_empty() {
                continue;
            }
            let Some(changes) = self.changes_of(&w) else { continue };
            let ops = m.writes.len() + changes.writes.len();
            let conditions = m.preconditions.len() + changes.conditions.len();
            let too_long = !included.is_empty() && size + changes.len() > MAX_TXN_BYTES;
            if ops > self.limits.txn_ops || conditions > self.limits.txn_conditions() || too_long {
                break;
            }
            // Progress and cleanup leave budget for writes that clients wait for.
            let reserve = match w {
                LeaderWrite::JobDone(_) | LeaderWrite::Machines(_) | LeaderWrite::ScaleOutName(_) => 0.0,
                LeaderWrite::FailureCounts(..) | LeaderWrite::JobFailed(..) => 0.0,
                LeaderWrite::Progress(..) | LeaderWrite::CancellationComplete(_) => 1.0,
                LeaderWrite::CancelDependent(_) | LeaderWrite::RemoveDeletedMachines(_) => 2.0,
            };
            if !self.leadership.bucket.take(self.now, changes.writes.len() as f64, reserve) {
                break;
            }
            if let (LeaderWrite::JobFailed(id, index), Some(l)) = (&w, &self.leadership.leader) {
                info!("{id}: {}", l.failure_cause(*id, *index));
            }
            size += changes.len();
            m.preconditions.extend(changes.conditions);
            m.writes.extend(changes.writes);
            // One rental name per transaction: rentals share a key.
            let ends_txn = alone
                || matches!(w, LeaderWrite::ScaleOutName(_))
                    && included.iter().any(|x| matches!(x, LeaderWrite::ScaleOutName(_)));
            included.push(w);
            if ends_txn {
                break;
            }
        }
        if included.is_empty() {
            return;
        }
        if let Some(l) = self.leadership.leader.as_mut() {
            included.iter().for_each(|w| l.set_write_pending(w, true));
        }
        self.leadership.inflight.extend(included.iter().cloned());
        self.leadership.open_txns += 1;
        let id = self.send_transaction(&m);
        self.calls.insert(id, CallPurpose::LeaderWrites(term, included));
    }

    /// The conditions and writes of a leader's record, if there are any.
    fn changes_of(&self, write: &LeaderWrite) -> Option<Changes> {
        let may_create = |key: &str| self.leadership.may_create(key, self.now);
        let recording = RecordContext {
            state_replica: &self.replica_sync.replica,
            limits: &self.limits,
            wall_ms: self.wall_ms,
            may_create: &may_create,
        };
        let changes = self.leadership.leader.as_ref()?.changes(write, &recording)?;
        (!changes.is_empty()).then_some(changes)
    }

    pub(super) fn leader_writes_completed(
        &mut self,
        term: u64,
        writes: Vec<LeaderWrite>,
        result: &CallResult,
    ) {
        if self.leadership.leader.as_ref().is_none_or(|l| l.term != term) {
            return;
        }
        self.leadership.txn_completed(&writes);
        let Some(l) = self.leadership.leader.as_mut() else { return };
        for w in &writes {
            l.set_write_pending(w, false);
        }
        match result {
            CallResult::Response { status: 200, .. } => {
                for w in &writes {
                    l.write_succeeded(w);
                }
                self.leadership.rejected.record_success(&writes);
                self.run_leader();
            }
            CallResult::Response { status: 409, body } => {
                let failed = serde_json::from_slice::<TransactionResponse>(body)
                    .map(|a| a.failed_keys)
                    .unwrap_or_default();
                if failed.iter().any(|k| k == keys::LEADER) {
                    return self.step_down("leader key changed");
                }
                // The state replica is behind: the watch will show the conflicting change.
                debug!("records changed meanwhile: {failed:?}");
                self.leadership.next_txn_at = self.now + Micros::millis(60);
                self.leadership.record_conflicts(&failed, self.now);
            }
            CallResult::Response { status: 400, body } => {
                let reason = String::from_utf8_lossy(body);
                self.leadership.rejected.record_rejection(&writes, &reason, self.now);
            }
            r => {
                debug!("leader's transaction not confirmed: {r:?}");
                let pause = Micros::millis(150 + self.rng.u64(0..200));
                self.leadership.next_txn_at = self.now + pause;
            }
        }
    }

    pub(super) fn send_cloud_requests(&mut self, lease_confirmed: bool) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        let term = l.term;
        let requests = if lease_confirmed {
            l.autoscale(&self.catalogue.flavors, self.now)
        } else {
            l.due_deletions(self.now).into_iter().collect()
        };
        for w in requests {
            let reserve = match w {
                CloudRequest::Delete(_) => 0.0,
                CloudRequest::Rent(_) => 0.5,
                CloudRequest::List(_) => 1.0,
            };
            if !self.catalogue.bucket.take(self.now, 1.0, reserve) {
                continue;
            }
            l.cloud_request_sent(&w, self.now);
            let call = match &w {
                CloudRequest::Delete(ids) => delete_call(ids.iter().map(|i| i.to_string()).collect()),
                CloudRequest::Rent(request) => rent_call(request),
                CloudRequest::List(from) => list_call(from.as_deref()),
            };
            let id = self.out.call(call);
            self.calls.insert(id, CallPurpose::Cloud(term, w));
        }
    }

    pub(super) fn cloud_call_completed(&mut self, term: u64, request: CloudRequest, result: &CallResult) {
        let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term) else { return };
        let body = match result {
            CallResult::Response { status: 200, body } => Some(body),
            _ => None,
        };
        match request {
            CloudRequest::Delete(ids) => match body {
                Some(_) => l.deletion_confirmed(&ids, self.now),
                None => l.deletion_unconfirmed(&ids, self.now),
            },
            CloudRequest::Rent(req) => self.rental_completed(req, result),
            CloudRequest::List(_) => {
                let page: Option<Rentals> = body.and_then(|b| serde_json::from_slice(b).ok());
                l.list_page_received(page.as_ref(), &self.catalogue.sizes, self.now);
            }
        }
        self.run_leader();
    }

    pub(super) fn rental_completed(&mut self, req: ScaleOutRequest, result: &CallResult) {
        let Some(l) = self.leadership.leader.as_mut() else { return };
        match result {
            CallResult::Response { status: 200, body } => {
                let hosts = serde_json::from_slice::<MachineNames>(body).map(|h| h.names).unwrap_or_default();
                l.rental_finished(&req, Some(&hosts), &self.catalogue.sizes, self.now);
            }
            CallResult::Response { status: 503, body } if body.windows(11).any(|w| w == b"no capacity") => {
                l.rental_finished(&req, Some(&[]), &self.catalogue.sizes, self.now);
            }
            CallResult::Response { status: 400, body } => {
                error!("rental rejected: {}", String::from_utf8_lossy(body));
                l.rental_finished(&req, Some(&[]), &self.catalogue.sizes, self.now);
            }
            _ => l.rental_finished(&req, None, &self.catalogue.sizes, self.now),
        }
    }

    pub(super) fn request_machine_types(&mut self) {
        if !self.catalogue.due(self.leadership.leader.is_some(), self.now) {
            return;
        }
        self.catalogue.request_in_flight = true;
        self.catalogue.requested_at = self.now;
        self.catalogue.bucket.take_unconditionally(self.now, 1.0);
        let id = self.out.call(Call {
            target: Target::Cloud,
            method: "GET",
            path: "/flavors".into(),
            body: Vec::new(),
            timeout: Micros::secs(3),
        });
        self.calls.insert(id, CallPurpose::Flavors);
    }
}
