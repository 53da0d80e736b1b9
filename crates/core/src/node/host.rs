//! What the node does for its guest.
use super::*;

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
                flavors: &self.market.flavors,
                teams: &self.teams,
                loaded: self.mirror.loaded,
                state_refuses: self.mirror.state_refuses(self.now),
                leads: self.office.leader.is_some() && self.office.election.may_lead(self.now),
                leader: self.mirror.ledger.leader.as_ref().map(|(r, _)| r.node.as_str()),
                me,
                value_limit: self.value_limit,
                changes_at_once: self.limits.0,
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
                let path = format!("/store?prefix={}{prefix}&limit=1000", keys::GUEST);
                let id = self.state("GET", path, Vec::new(), Micros::millis(2500));
                self.calls.insert(id, Purpose::GuestRead(t));
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

    /// The state service can't prove that the mirror is up to date.
    pub(super) fn cant_ask(&mut self, w: &Waiter) {
        match w.asker() {
            Ok(id) => self.out.later(id, "the state service can't be asked"),
            Err(t) => self.ask_guest(GuestInput::Proved(t, false)),
        }
    }
}
