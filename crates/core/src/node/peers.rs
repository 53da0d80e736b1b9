//! Messages between controllers, and their ways round a cut.
use super::*;
use data_encoding::BASE64;
use serde::Deserialize;

/// Room for a letter's text in one transaction, of the 64 KiB that one may have.
const MAIL_ROOM: usize = 56_000;

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

    /// Posts what no other way is left for, in as many parts as the values'
    /// limit asks for, as often as a small part of the budget allows.
    pub(super) fn post(&mut self) {
        if self.mail.is_empty() || self.now < self.mail_at || !self.state_ok() {
            return;
        }
        let me = self.nodes.names[self.nodes.me.0 as usize].clone();
        let room = self.value_limit.saturating_sub(100).min(MAIL_ROOM / self.limits.0.max(1)).max(100);
        let mut posted = 0;
        for ((to, _), message) in std::mem::take(&mut self.mail) {
            if self.hears(to, Micros::millis(1700)) {
                continue;
            }
            let parcel = Parcel { from: self.nodes.me, incarnation: self.incarnation, message }.pack();
            let text = BASE64.encode(&parcel);
            let parts: Vec<&str> =
                text.as_bytes().chunks(room).filter_map(|c| std::str::from_utf8(c).ok()).collect();
            if parts.len() > self.limits.0 {
                debug!("message to controller {} is too long for the state service", to.0);
                continue;
            }
            if !self.user_bucket.take(self.now, parts.len() as f64, 1.0) {
                continue;
            }
            self.mail_count += 1;
            posted += parts.len();
            let to = &self.nodes.names[to.0 as usize];
            let put = |(i, part): (usize, &&str)| Write::Put {
                put: keys::mail(to, &format!("{me}/{i}")),
                v: json!([self.incarnation, self.mail_count, i, parts.len(), part]),
                hold: None,
            };
            let writes = parts.iter().enumerate().map(put).collect();
            let call = self.multi(&Multi { when: Vec::new(), writes });
            self.calls.insert(call, Purpose::Mail);
        }
        // A seventh of all changes, shared by those who may be in the same need.
        let share = self.limits.2 / 7.0 / self.nodes.names.len() as f64;
        let pause = Micros::from_secs_f64(posted as f64 / share.max(0.1));
        self.mail_at = self.now + pause.clamp(Micros::millis(400), Micros::millis(1500));
    }

    /// A part of a letter; all parts of one come together and in order.
    pub(super) fn open_mail(&mut self, v: &serde_json::Value) {
        let Ok((sender, number, i, n, text)) = <(u64, u64, usize, usize, String)>::deserialize(v) else {
            return;
        };
        let letter = self.letters.entry(sender).or_default();
        if i == 0 {
            *letter = (number, String::new(), 0);
        }
        if letter.0 != number || letter.2 != i {
            return;
        }
        letter.1.push_str(&text);
        letter.2 += 1;
        if letter.2 < n {
            return;
        }
        let (_, text, _) = self.letters.remove(&sender).unwrap_or_default();
        let bytes = BASE64.decode(text.as_bytes()).ok();
        if let Some(p) = bytes.and_then(|b| Parcel::unpack(&b)) {
            self.peer(p.from, p.incarnation, p.message);
        }
    }

    pub(super) fn peer(&mut self, from: NodeId, incarnation: u64, m: Message) {
        match m {
            Message::Ping { state_ok, hears, queued } => {
                if let Some(p) = self.peers.get_mut(from.0 as usize) {
                    p.state_ok = state_ok;
                    p.hears = hears;
                    p.queued = queued;
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
            Message::Sync { term, seq, base, seen, machines, heard, strangers, outcomes } => {
                if let Some(l) = self.leader.as_mut().filter(|l| l.term == term) {
                    let view = View {
                        seq,
                        base,
                        seen,
                        machines: &machines,
                        heard: &heard,
                        strangers: &strangers,
                        outcomes: &outcomes,
                    };
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
        let recent = self.now - Micros::millis(2500);
        self.strangers.retain(|_, t| *t > recent);
        let strangers = self.strangers.keys().cloned().collect();
        let m = self.ctl.sync(term, strangers, &self.ledger, self.now);
        self.send(to, m);
    }
}
