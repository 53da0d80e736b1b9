//! Messages between controllers, and their ways round a cut.
use super::*;

impl Node {
    pub(super) fn leader_node(&self) -> Option<NodeId> {
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

    pub(super) fn leader_term(&self) -> u64 {
        let known = self.leader_known.map_or(0, |x| x.0);
        self.ledger.leader.as_ref().map_or(0, |(r, _)| r.term).max(known)
    }

    pub(super) fn send(&mut self, to: NodeId, m: Message) {
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

    pub(super) fn hears(&self, n: NodeId, limit: Micros) -> bool {
        self.peers.get(n.0 as usize).and_then(|p| p.heard).is_some_and(|t| self.now.since(t) < limit)
    }

    /// Posts what no other way is left for, once a second.
    pub(super) fn post(&mut self) {
        if self.mail.is_empty() || self.now.since(self.mail_at) < Micros::millis(1000) || !self.state_ok() {
            return;
        }
        if !self.user_bucket.take(self.now, 1.0, 1.0) {
            return;
        }
        self.mail_at = self.now;
        let me = self.nodes.names[self.nodes.me.0 as usize].clone();
        for ((to, _), message) in std::mem::take(&mut self.mail) {
            if self.hears(to, Micros::millis(1700)) {
                continue;
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

    pub(super) fn open_mail(&mut self, v: &serde_json::Value) {
        let Some(text) = v.as_str() else { return };
        let bytes: Option<Vec<u8>> =
            (0..text.len() / 2).map(|i| u8::from_str_radix(text.get(i * 2..i * 2 + 2)?, 16).ok()).collect();
        if let Some(p) = bytes.and_then(|b| Parcel::unpack(&b)) {
            self.peer(p.from, p.incarnation, p.message);
        }
    }

    pub(super) fn peer(&mut self, from: NodeId, incarnation: u64, m: Message) {
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
            Message::Sync { term, seq, base, seen, machines, heard, outcomes } => {
                if let Some(l) = self.leader.as_mut().filter(|l| l.term == term) {
                    let view =
                        View { seq, base, seen, machines: &machines, heard: &heard, outcomes: &outcomes };
                    l.sync(from, incarnation, &view, &self.ledger, self.now);
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
                if self.leader_known.is_none_or(|(t, _)| t < term) {
                    self.leader_known = Some((term, from));
                }
                let added = self.ctl.take_block(base == 0, &block, &elsewhere);
                if added > 0 {
                    debug!("block: {added} machines granted");
                }
                self.ctl.take_ack(ack, lease);
                self.ctl.take_running(base == 0, &running);
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
    pub(super) fn my_incarnation(&self, from: NodeId) -> u64 {
        if from == self.nodes.me { 1 } else { self.incarnation() }
    }

    /// The number that this process puts on its messages.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) fn sync(&mut self, force: bool) {
        let Some(to) = self.leader_node() else { return };
        let age = self.now.since(self.sync_at);
        let term = self.leader_term();
        let first = std::mem::replace(&mut self.sync_term, term) != term;
        // A leader that has acknowledged nothing is sent everything, less often.
        let pause = Micros::millis(if self.ctl.unknown_to(term) { 200 } else { 40 });
        if !(force || first || self.ctl.dirty && age >= pause || age >= Micros::millis(500)) {
            return;
        }
        self.sync_at = self.now;
        let m = self.ctl.sync(term, &self.ledger, self.now);
        self.send(to, m);
    }
}
