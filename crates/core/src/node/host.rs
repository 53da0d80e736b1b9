//! What the node does for its guest.
use super::*;

/// Most keys of one reading.
const MAX_READ: usize = 2000;

impl Node {
    /// Gives an input to the guest, if there is one, and does what it says.
    pub(super) fn ask_guest(&mut self, input: GuestInput) {
        if !self.has_guest {
            return;
        }
        // Out of its place while it is asked: what it asks for may come back
        // to it at once, which waits its turn here.
        self.guest_inputs.push(input);
        let Some(mut guest) = self.guest.take() else { return };
        while !self.guest_inputs.is_empty() {
            let input = self.guest_inputs.remove(0);
            let me = &self.nodes.names[self.nodes.me.0 as usize];
            let host = Host {
                now: self.now,
                wall_ms: self.wall_ms,
                ledger: &self.mirror.ledger,
                running: &self.ctl.running,
                flavors: &self.catalogue.flavors,
                teams: &self.teams,
                loaded: self.mirror.loaded,
                state_refuses: self.mirror.state_refuses(self.now),
                leads: self.leadership.leader.is_some() && self.leadership.election.may_lead(self.now),
                leader: self.mirror.ledger.leader.as_ref().map(|(r, _)| r.node.as_str()),
                me,
                value_limit: self.limits.value_bytes,
                changes_at_once: self.limits.txn_ops,
            };
            let outputs = guest.handle(&host, input);
            for o in outputs {
                self.for_guest(o);
            }
        }
        self.guest = Some(guest);
    }

    fn for_guest(&mut self, o: GuestOutput) {
        match o {
            GuestOutput::Answer(id, a) => self.out.items.push(Output::GuestAnswer(id, a)),
            GuestOutput::Open(id, a) => self.out.items.push(Output::Open(id, a)),
            GuestOutput::Chunk(id, data) => self.out.items.push(Output::Chunk(id, data)),
            GuestOutput::Close(id) => self.out.items.push(Output::Close(id)),
            GuestOutput::Prove(t) => self.wait(Waiter::Guest(t), Micros::millis(1500)),
            GuestOutput::Read(t, prefix) => {
                let none = Listing { entries: Vec::new(), truncated: false, revision: 0 };
                self.read_page(t, format!("{}{prefix}", keys::EXTENSION_PREFIX), none);
            }
            GuestOutput::Write { ticket, multi, as_leader } => {
                if self.users.writes.len() >= MAX_WAITING {
                    return self.ask_guest(GuestInput::Called(ticket, CallResult::NotSent));
                }
                let until = self.now + Micros::millis(3500);
                self.users.writes.push_back((UserWrite::Guest(ticket, Box::new(multi), as_leader), until));
                self.write_users();
            }
        }
    }

    fn read_page(&mut self, t: Ticket, prefix: String, so_far: Listing) {
        let from = so_far.entries.last().map_or(String::new(), |p| format!("&from={}", p.key));
        let path = format!("/store?prefix={prefix}{from}&limit=1000");
        let id = self.state("GET", path, Vec::new(), Micros::millis(2500));
        self.calls.insert(id, Purpose::GuestRead(t, prefix, so_far));
    }

    /// A page of what the guest reads came; it is told when all are there.
    pub(super) fn guest_page(&mut self, t: Ticket, prefix: String, mut so_far: Listing, result: CallResult) {
        let page: Option<Listing> = match &result {
            CallResult::Answer { status: 200, body } => serde_json::from_slice(body).ok(),
            _ => None,
        };
        let Some(page) = page else { return self.ask_guest(GuestInput::Called(t, CallResult::NotSent)) };
        so_far.entries.extend(page.entries);
        so_far.revision = page.revision;
        if page.truncated && so_far.entries.len() < MAX_READ {
            return self.read_page(t, prefix, so_far);
        }
        let body = serde_json::to_vec(&so_far).unwrap_or_default();
        self.ask_guest(GuestInput::Called(t, CallResult::Answer { status: 200, body }));
    }

    /// There is no proof that the mirror is up to date.
    pub(super) fn cant_ask(&mut self, w: &Waiter, reason: RefusalReason) {
        match w.asker() {
            Ok(id) => self.refuse(id, reason),
            Err(t) => self.ask_guest(GuestInput::Proved(t, false)),
        }
    }
}
