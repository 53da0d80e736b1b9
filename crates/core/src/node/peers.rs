//! Messages between controllers, and their ways round a cut.
use super::stand_in::status_call;
use super::*;

/// News go to the leader this often, if it keeps up.
const VIEW_INTERVAL: Micros = Micros::millis(40);
/// The same while it knows nothing of this controller yet.
const WHOLE_VIEW_INTERVAL: Micros = Micros::millis(200);
/// The same where there are none.
const IDLE_VIEW_INTERVAL: Micros = Micros::millis(500);

impl Node {
    pub(super) fn leader_node(&self) -> Option<NodeId> {
        if self.leadership.leader.is_some() {
            return Some(self.nodes.me);
        }
        let (rec, _) = self.mirror.ledger.leader.as_ref()?;
        let in_state = self.nodes.names.iter().position(|n| *n == rec.node).map(|i| NodeId(i as u8));
        match self.peers.leader_known {
            Some((term, n)) if term > rec.term => Some(n),
            _ => in_state,
        }
    }

    pub(super) fn leader_term(&self) -> u64 {
        let known = self.peers.leader_known.map_or(0, |x| x.0);
        self.mirror.ledger.leader.as_ref().map_or(0, |(r, _)| r.term).max(known)
    }

    pub(super) fn send(&mut self, to: NodeId, m: Message) {
        if to == self.nodes.me {
            return self.peer(to, 1, m);
        }
        if self.hears(to, HEARD) {
            return self.out.send(to, m);
        }
        // A cut: another controller that hears the receiver passes it on, or,
        // if there is none, the state service does, which no cut between
        // controllers concerns. Whatever comes twice is dropped by its number.
        let relay = self.peers.relay(to, self.now);
        match relay {
            Some(r) => {
                let envelope =
                    Envelope { from: self.nodes.me, incarnation: self.incarnation, message: m.clone() };
                self.out.send(r, Message::Forward { to, envelope: envelope.pack() });
            }
            None => self.relay.keep(to, &m),
        }
        self.out.send(to, m);
    }

    pub(super) fn hears(&self, n: NodeId, limit: Micros) -> bool {
        self.peers.hears(n, limit, self.now)
    }

    /// Posts what no other way is left for, in as many parts as the values'
    /// limit asks for, as often as a small part of the budget allows. A message
    /// of more parts than a transaction holds goes in several, one by one.
    pub(super) fn send_relayed(&mut self) {
        if self.relay.outgoing.is_empty()
            || self.relay.posting()
            || self.now < self.relay.next_at
            || !self.mirror.state_ok(self.now)
        {
            return;
        }
        let me = self.nodes.names[self.nodes.me.0 as usize].clone();
        let mut posted = 0;
        while let Some(((to, _), message)) = self.relay.outgoing.pop_first() {
            if self.hears(to, HEARD) {
                continue;
            }
            let envelope = Envelope { from: self.nodes.me, incarnation: self.incarnation, message };
            let receiver = &self.nodes.names[to.0 as usize];
            let Some(parts) = self.relay.cut(receiver, &me, &envelope, &self.limits) else {
                debug!("message to controller {} is too long for the state service", to.0);
                continue;
            };
            if !self.users.bucket.take(self.now, parts as f64, 1.0) {
                self.relay.next_txn(self.relay.number(), false);
                continue;
            }
            posted += parts;
            self.post_relayed(self.relay.number(), true);
            if self.relay.posting() {
                break;
            }
        }
        // A seventh of all changes, shared by those who may be in the same need.
        let share = self.limits.changes_per_s / 7.0 / self.nodes.names.len() as f64;
        let pause = Micros::from_secs_f64(posted as f64 / share.max(0.1));
        self.relay.next_at = self.now + pause.clamp(Micros::millis(400), Micros::millis(1500));
    }

    /// Posts the next transaction of a message, if the one before it was taken.
    pub(super) fn post_relayed(&mut self, number: u64, taken: bool) {
        if let Some(txn) = self.relay.next_txn(number, taken) {
            let call = self.multi(&txn);
            self.calls.insert(call, Purpose::Mail(number));
        }
    }

    pub(super) fn peer(&mut self, from: NodeId, incarnation: u64, m: Message) {
        match m {
            Message::Ping { state_ok, hears, queued, loaded } => {
                if let Some(p) = self.peers.states.get_mut(from.0 as usize) {
                    p.loaded = loaded;
                    p.state_ok = state_ok;
                    p.hears = hears;
                    p.queued = queued;
                }
            }
            Message::Cancelled(all) => self.cancellations_came(from, &all),
            Message::CancelledKnown { jobs, leads } => {
                self.cancellations_known(from, incarnation, &jobs, leads);
            }
            Message::Forward { to, envelope } => {
                if to != self.nodes.me {
                    self.out.send(to, Message::Forward { to, envelope });
                } else if let Some(p) = Envelope::unpack(&envelope).filter(|p| p.from != to) {
                    // One hop: a envelope holds no other envelope that is passed on.
                    if !matches!(p.message, Message::Forward { .. }) {
                        self.peer(p.from, p.incarnation, p.message);
                    }
                }
            }
            m @ Message::Sync { .. } => {
                if let Some((term, view)) = View::of(&m)
                    && let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term)
                {
                    l.sync(from, incarnation, &view, &self.mirror.ledger, self.now);
                }
            }
            Message::Seen { id, build, zone, spot, addr, report, asked } => {
                if let Some(l) = self.leadership.leader.as_mut() {
                    let rec = MachineRecord { machine_type: build, zone, spot, addr };
                    let s = Sighting { id, report, asked };
                    l.seen(from, &s, &rec, &self.catalogue.sizes, self.now);
                }
            }
            Message::Update {
                term,
                seq,
                base,
                incarnation: mine,
                ack,
                lease,
                block,
                elsewhere,
                handouts,
                stops,
                running,
            } => {
                if mine != self.my_incarnation(from) || !self.ctl.accept_update(term, seq, base) {
                    return;
                }
                self.peers.lead_heard(term, from, self.now);
                let added = self.ctl.take_block(base == 0, &block, &elsewhere);
                if added > 0 {
                    debug!("block: {added} machines granted");
                }
                self.ctl.view_acknowledged(ack, self.now);
                self.ctl.take_ack(ack, lease);
                self.ctl.take_running(base == 0, &running);
                self.ctl.take_handouts(&handouts, &self.mirror.ledger, &self.catalogue.sizes, self.now);
                self.ctl.take_stops(&stops);
                self.answer_held();
                self.drive();
                self.sync(false);
            }
            Message::Books(page) => {
                let (on_record, _) = &self.mirror.ledger.standby_replicas;
                self.kept.drop_before(on_record.term);
                // A leader that another has followed is kept no books for.
                if page.term < self.mirror.ledger.term.0 {
                    return;
                }
                let term = page.term;
                let seq = self.kept.take(page);
                self.out.send(from, Message::BooksTaken { term, seq });
            }
            Message::BooksTaken { term, seq } => {
                let may = self.leadership.election.may_lead(self.now);
                if let Some(l) = self.leadership.leader.as_mut().filter(|l| l.term == term)
                    && l.books_taken(from, incarnation, seq, self.now)
                {
                    let messages = l.messages(self.now, may);
                    messages.into_iter().for_each(|(to, m)| self.send(to, m));
                }
            }
            Message::BooksWanted { term } => {
                if let Some(book) = self.kept.get(term) {
                    self.out.send(from, Message::BooksOf(book.page(term)));
                }
            }
            Message::BooksOf(page) => {
                self.books_came(from, incarnation, page);
                self.lead();
            }
            Message::Probe { id, addr } => {
                let call = self.out.call(status_call(addr));
                self.calls.insert(call, Purpose::Probe(id));
            }
        }
    }

    /// Messages to itself carry incarnation 1; the shell puts the process's
    /// own number on the others and drops updates for another process.
    pub(super) fn my_incarnation(&self, from: NodeId) -> u64 {
        if from == self.nodes.me { 1 } else { self.incarnation() }
    }

    /// The number that this process puts on its messages.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) fn sync(&mut self, force: bool) {
        let Some(to) = self.leader_node() else { return };
        let term = self.leader_term();
        let first = std::mem::replace(&mut self.peers.sync_term, term) != term;
        // A leader that has acknowledged nothing is sent everything, less often.
        let pause = match (self.ctl.dirty, self.ctl.unknown_to(term)) {
            (true, true) => WHOLE_VIEW_INTERVAL,
            (true, false) => VIEW_INTERVAL,
            (false, _) => IDLE_VIEW_INTERVAL,
        };
        if !(force || first || self.ctl.may_sync(pause, self.now)) {
            return;
        }
        let recent = self.now - Micros::millis(2500);
        self.held_check_ins.strangers.retain(|_, (t, ..)| *t > recent);
        let strangers = self.held_check_ins.strangers.iter().map(|(id, (_, report, asked))| Sighting {
            id: id.clone(),
            report: *report,
            asked: *asked,
        });
        let strangers = strangers.collect();
        let m = self.ctl.sync(term, strangers, &self.mirror.ledger, self.now);
        self.send(to, m);
    }
}
