//! Leader election: a key in the state service that is attached to a lease, and a term that is
//! incremented in the transaction that creates the key.
use gorseshore_protocol::ids::Micros;

/// This node's role in the election.
#[derive(Debug, Clone, PartialEq)]
pub enum Role {
    /// Follows the leader, if there is one.
    Follower,
    /// Requests a lease, or creates the leader key with it.
    Candidate,
    /// Holds the leader key.
    Leader {
        /// The node's term.
        term: u64,
        /// The lease that the key is attached to.
        lease: u64,
        /// Version of the leader key.
        key_revision: u64,
    },
}

/// This node's role, and the timing of its lease. A leader must not act beyond the lease.
#[derive(Debug, Clone)]
pub struct Election {
    /// Current role.
    pub role: Role,
    /// Duration of the lease.
    pub lease_duration: Micros,
    /// When the last confirmed renewal was sent.
    confirmed_sent_at: Micros,
    /// When the last renewal was sent.
    pub last_renewal_sent_at: Micros,
    /// A renewal is in flight.
    pub renewal_in_flight: bool,
    /// No election attempt before this.
    pub next_attempt_at: Micros,
}

impl Election {
    /// Creates a follower.
    pub fn new(lease_duration: Micros) -> Self {
        Election {
            role: Role::Follower,
            lease_duration,
            confirmed_sent_at: Micros(0),
            last_renewal_sent_at: Micros(0),
            renewal_in_flight: false,
            next_attempt_at: Micros(0),
        }
    }
    /// The leader key was created; its lease was requested at `requested_at`.
    pub fn elected(&mut self, term: u64, lease: u64, key_revision: u64, requested_at: Micros) {
        self.role = Role::Leader { term, lease, key_revision };
        self.confirmed_sent_at = requested_at;
        self.last_renewal_sent_at = requested_at;
        self.renewal_in_flight = false;
    }
    /// A renewal sent at `sent` succeeded.
    pub fn renewal_confirmed(&mut self, sent: Micros) {
        self.confirmed_sent_at = self.confirmed_sent_at.max(sent);
        self.renewal_in_flight = false;
    }
    /// Becomes a follower, with no new attempt for `pause`.
    pub fn step_down(&mut self, now: Micros, pause: Micros) {
        self.role = Role::Follower;
        self.renewal_in_flight = false;
        self.next_attempt_at = now + pause;
    }
    /// The term in which this node holds the leader key, whether or not the lease is confirmed.
    pub fn term(&self) -> Option<u64> {
        match self.role {
            Role::Leader { term, .. } => Some(term),
            _ => None,
        }
    }
    /// Whether this node may act as leader now: its last confirmed renewal, counted from when it
    /// was sent, is within the lease, less 1% for clock drift and 50 ms for calls in flight.
    pub fn may_lead(&self, now: Micros) -> bool {
        let usable = self.lease_duration.scale(99, 100).saturating_sub(Micros::millis(50));
        matches!(self.role, Role::Leader { .. }) && now < self.confirmed_sent_at + usable
    }
    /// Whether a renewal is due.
    pub fn renewal_due(&self, now: Micros) -> bool {
        !self.renewal_in_flight && now.since(self.last_renewal_sent_at) >= self.lease_duration.scale(1, 4)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_renewal_extends_the_lease_from_when_it_was_sent() {
        let ms = Micros::millis;
        let mut e = Election::new(ms(3000));
        assert!(!e.may_lead(ms(0)));
        e.elected(4, 7, 9, ms(100));
        // (time in ms, may lead)
        for (t, expected) in [(100, true), (3019, true), (3020, false), (9000, false)] {
            assert_eq!(e.may_lead(ms(t)), expected, "{t}");
        }
        // A renewal sent at 2000 ms and answered late extends the lease from 2000 ms, not from its
        // answer.
        e.renewal_confirmed(ms(2000));
        for (t, expected) in [(4919, true), (4920, false)] {
            assert_eq!(e.may_lead(ms(t)), expected, "{t}");
        }
        // A late confirmation of an older renewal does not shorten the lease.
        e.renewal_confirmed(ms(500));
        assert!(e.may_lead(ms(4900)));
        e.step_down(ms(4900), ms(10));
        assert_eq!((e.term(), e.may_lead(ms(4901))), (None, false));
    }
}
