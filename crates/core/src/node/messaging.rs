//! Messages between controllers, and their paths around a network partition.
use super::cancellation_enforcement::status_call;
use super::*;

/// How often changes of the view are sent to a leader that keeps up.
const VIEW_INTERVAL: Micros = Micros::millis(40);
/// How often the whole view is sent, while the leader has none of this controller.
const FULL_VIEW_INTERVAL: Micros = Micros::millis(200);
/// How often a view without changes is sent.
const IDLE_VIEW_INTERVAL: Micros = Micros::millis(500);

impl Node {
    pub(super) fn leader_node(&self) -> Option<NodeId> {
        if self.leadership.leader.is_some() {
            return Some(self.members.own_id);
        }
        let (rec, _) = self.replica_sync.replica.leader.as_ref()?;
        let in_state = self.members.names.iter().position(|n| *n == rec.node).map(|i| NodeId(i as u8));
        match self.peers.known_leader {
            Some((term, n)) if term > rec.term => Some(n),
            _ => in_state,
        }
    }

    pub(super) fn leader_term(&self) -> u64 {
        let known = self.peers.known_leader.map_or(0, |x| x.0);
        self.replica_sync.replica.leader.as_ref().map_or(0, |(r, _)| r.term).max(known)
    }

    pub(super) fn send(&mut self, to: NodeId, m: Message) {
        if to == self.members.own_id {
            return self.receive_message(to, 1, m);
        }
        if self.in_contact(to, PEER_TIMEOUT) {
            return self.out.send(to, m);
        }
        // A network partition: another controller that is in contact with the receiver forwards the
        // message. Without one it goes through the state service, which no partition between
        // controllers affects. The receiver drops duplicates by sequence number.
        let relay = self.peers.find_relay(to, self.now);
        match relay {
            Some(r) => {
                let envelope =
                    Envelope { from: self.members.own_id, incarnation: self.incarnation, message: m.clone() };
                self.out.send(r, Message::Forward { to, envelope: envelope.to_bytes() });
            }
            None => self.relay.enqueue(to, &m),
        }
        self.out.send(to, m);
    }

    pub(super) fn in_contact(&self, n: NodeId, limit: Micros) -> bool {
        self.peers.in_contact(n, limit, self.now)
    }

    /// Posts messages for which no other path is left, in as many parts as the limit on values
    /// requires, and as often as a small part of the budget allows. A message with more parts than
    /// a transaction holds is posted in several transactions, one after another.
    pub(super) fn post_queued_messages(&mut self) {
        if self.relay.outgoing.is_empty()
            || self.relay.is_posting()
            || self.now < self.relay.next_at
            || !self.replica_sync.state_reachable(self.now)
        {
            return;
        }
        let me = self.members.names[self.members.own_id.0 as usize].clone();
        let mut posted = 0;
        while let Some(((to, _), message)) = self.relay.outgoing.pop_first() {
            if self.in_contact(to, PEER_TIMEOUT) {
                continue;
            }
            let envelope = Envelope { from: self.members.own_id, incarnation: self.incarnation, message };
            let receiver = &self.members.names[to.0 as usize];
            let Some(parts) = self.relay.split(receiver, &me, &envelope, &self.limits) else {
                debug!("message to controller {} is too long for the state service", to.0);
                continue;
            };
            if !self.pending.write_bucket.take(self.now, parts as f64, 1.0) {
                self.relay.next_txn(self.relay.number(), false);
                continue;
            }
            posted += parts;
            self.post_next_transaction(self.relay.number(), true);
            if self.relay.is_posting() {
                break;
            }
        }
        // A seventh of all writes, shared by the controllers that may have to post as well.
        let share = self.limits.writes_per_s / 7.0 / self.members.names.len() as f64;
        let pause = Micros::from_secs_f64(posted as f64 / share.max(0.1));
        self.relay.next_at = self.now + pause.clamp(Micros::millis(400), Micros::millis(1500));
    }

    /// Posts the next transaction of a message, if the previous one succeeded.
    pub(super) fn post_next_transaction(&mut self, number: u64, previous_posted: bool) {
        if let Some(txn) = self.relay.next_txn(number, previous_posted) {
            let call = self.send_transaction(&txn);
            self.calls.insert(call, CallPurpose::RelayedMessage(number));
        }
    }

    pub(super) fn receive_message(&mut self, from: NodeId, incarnation: u64, m: Message) {
        match m {
            Message::Ping { state_reachable, receives_from, queued_writes, state_loaded: _ } => {
                if let Some(p) = self.peers.states.get_mut(from.0 as usize) {
                    p.state_ok = state_reachable;
                    p.contacts = receives_from;
                    p.queued = queued_writes;
                }
                self.request_knowledge_report(from);
            }
            Message::CancellationsRequest(request) => self.send_cancellations_snapshot(from, request),
            Message::KnowledgeRequest(request) => self.send_knowledge_report(from, request),
            Message::KnowledgeReport { request, memory_age, known_until_age, cancellations } => {
                self.knowledge_report_received(from, request, memory_age, known_until_age, &cancellations);
            }
            Message::CancellationsSnapshot { cancellations: all, .. } | Message::Cancellations(all) => {
                self.cancellations_received(from, &all);
            }
            Message::CancellationsAck { jobs, leading_term } => {
                self.cancellations_acknowledged(from, incarnation, &jobs, leading_term);
            }
            Message::Forward { to, envelope } => {
                if to != self.members.own_id {
                    self.out.send(to, Message::Forward { to, envelope });
                } else if let Some(p) = Envelope::from_bytes(&envelope).filter(|p| p.from != to) {
                    // One hop: a forwarded envelope holds no other envelope to forward.
                    if !matches!(p.message, Message::Forward { .. }) {
                        self.receive_message(p.from, p.incarnation, p.message);
                    }
                }
            }
            m @ Message::Sync { .. } => {
                if let (Message::Sync { machines, .. }, Some(_)) = (&m, &self.leadership.leader) {
                    let tasks = machines.iter().flat_map(|machine| &machine.tasks);
                    self.fetch_jobs_of_tasks(tasks.map(|t| t.task));
                }
                if let Some((term, view)) = SyncView::of(&m)
                    && let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term)
                {
                    l.apply_sync(from, incarnation, &view, &self.replica_sync.replica, self.now);
                }
            }
            Message::MachineDiscovered { id, machine_type, zone, spot, addr, report, probed } => {
                if let Some(l) = self.leadership.leader.as_mut() {
                    let rec = MachineRecord { machine_type, zone, spot, addr };
                    let s = UnleasedReport { id, report, probed };
                    l.apply_unleased_report(from, &s, &rec, &self.catalogue.sizes, self.now);
                }
            }
            Message::Update {
                term,
                seq,
                base,
                incarnation: addressee,
                acked_sync: ack,
                lease,
                block,
                not_in_block: elsewhere,
                assignments: handouts,
                stops,
                running,
            } => {
                if addressee != self.expected_incarnation(from)
                    || !self.controller.accept_update(term, seq, base)
                {
                    return;
                }
                self.peers.record_leader_contact(term, from, self.now);
                let added = self.controller.apply_block(base == 0, &block, &elsewhere);
                if added > 0 {
                    debug!("machine lease: {added} machines granted");
                }
                self.controller.record_sync_ack(ack, self.now);
                self.controller.apply_sync_ack(ack, lease);
                self.controller.apply_running_counts(base == 0, &running);
                self.controller.apply_assignments(
                    &handouts,
                    &self.replica_sync.replica,
                    &self.catalogue.sizes,
                    self.now,
                );
                self.controller.apply_stops(&stops);
                self.answer_deferred();
                self.send_worker_calls();
                self.send_sync(false);
            }
            Message::PlacementLogUpdate(page) => {
                let (on_record, _) = &self.replica_sync.replica.standby_replicas;
                self.log_replicas.remove_before(on_record.term);
                // No placement log is kept for a leader that has a successor.
                if page.term < self.replica_sync.replica.term.0 {
                    return;
                }
                let term = page.term;
                let seq = self.log_replicas.apply(page);
                self.out.send(from, Message::PlacementLogAck { term, seq });
            }
            Message::PlacementLogAck { term, seq } => {
                let lease_confirmed = self.leadership.election.may_lead(self.now);
                if let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term)
                    && l.log_acknowledged(from, incarnation, seq, self.now)
                {
                    let messages = l.due_messages(self.now, lease_confirmed);
                    messages.into_iter().for_each(|(to, m)| self.send(to, m));
                }
            }
            Message::PlacementLogRequest { term } => {
                if let Some(log_replica) = self.log_replicas.get(term) {
                    self.out.send(from, Message::PlacementLogSnapshot(log_replica.full_update(term)));
                }
            }
            Message::PlacementLogSnapshot(page) => {
                self.placement_log_received(from, incarnation, page);
                self.run_leader();
            }
            Message::Probe { id, addr } => {
                let call = self.out.call(status_call(addr));
                self.calls.insert(call, CallPurpose::Probe(id));
            }
        }
    }

    /// The incarnation that updates from a controller must be meant for. A node's messages to
    /// itself carry incarnation 1, those to other controllers the process's own. Updates that are
    /// meant for another process are dropped.
    pub(super) fn expected_incarnation(&self, from: NodeId) -> u64 {
        if from == self.members.own_id { 1 } else { self.incarnation() }
    }

    /// The incarnation that this process puts on its messages.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) fn send_sync(&mut self, force: bool) {
        let Some(to) = self.leader_node() else { return };
        let term = self.leader_term();
        let first = std::mem::replace(&mut self.peers.sync_term, term) != term;
        // A leader that has acknowledged nothing gets the whole view, less often.
        let pause = match (self.controller.sync_pending, self.controller.needs_full_sync(term)) {
            (true, true) => FULL_VIEW_INTERVAL,
            (true, false) => VIEW_INTERVAL,
            (false, _) => IDLE_VIEW_INTERVAL,
        };
        if !(force || first || self.controller.may_sync(pause, self.now)) {
            return;
        }
        let now = self.now;
        self.deferred_heartbeats.unleased_reports.retain(|_, (t, ..)| now.since(*t) < Micros::millis(2500));
        let unleased_reports =
            self.deferred_heartbeats.unleased_reports.iter().map(|(id, (_, report, probed))| {
                UnleasedReport { id: id.clone(), report: *report, probed: *probed }
            });
        let unleased_reports = unleased_reports.collect();
        let m = self.controller.sync(term, unleased_reports, &self.replica_sync.replica, self.now);
        self.send(to, m);
    }
}
