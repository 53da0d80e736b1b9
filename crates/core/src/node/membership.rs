//! The other controllers: which are in contact with which, and the known leader.
use gorseshore_protocol::ids::{Micros, NodeId};

/// Another controller.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    pub last_contact: Option<Micros>,
    /// When its host last refused a connection.
    pub refused_at: Option<Micros>,
    /// Its process's incarnation, the highest known.
    pub incarnation: u64,
    /// It reaches the state service.
    pub state_ok: bool,
    pub contacts: Vec<NodeId>,
    /// Clients' writes that wait there.
    pub queued: u32,
}

/// All controllers, including this one.
#[derive(Debug)]
pub(super) struct Peers {
    pub states: Vec<Peer>,
    /// The highest term in which a leader sent a message, and that leader.
    pub known_leader: Option<(u64, NodeId)>,
    /// When a leader of that term last sent a message.
    leader_contact_at: Option<Micros>,
    pub sync_term: u64,
    pub pinged_at: Micros,
}

/// Without a message for this time, a controller counts as out of contact.
pub(super) const PEER_TIMEOUT: Micros = Micros::millis(1700);

impl Peers {
    /// Creates the table of `nodes` controllers, none in contact yet.
    pub fn new(nodes: usize) -> Self {
        Peers {
            states: vec![Peer::default(); nodes],
            known_leader: None,
            leader_contact_at: None,
            sync_term: 0,
            pinged_at: Micros(0),
        }
    }

    /// All controllers, including this one.
    pub fn all(&self) -> impl Iterator<Item = NodeId> + use<> {
        (0..self.states.len()).map(|i| NodeId(i as u8))
    }

    /// Whether a controller sent a message within `limit`.
    pub fn in_contact(&self, n: NodeId, limit: Micros, now: Micros) -> bool {
        self.states.get(n.0 as usize).and_then(|p| p.last_contact).is_some_and(|t| now.since(t) < limit)
    }

    /// Whether a controller's host is up while its process is down.
    pub fn is_process_down(&self, n: NodeId, now: Micros) -> bool {
        let refused = self.states.get(n.0 as usize).and_then(|p| p.refused_at);
        refused.is_some_and(|t| now.since(t) < Micros::secs(2))
    }

    /// A controller that is in contact here and itself in contact with `to`.
    pub fn find_relay(&self, to: NodeId, now: Micros) -> Option<NodeId> {
        self.all().find(|r| {
            *r != to
                && self.in_contact(*r, PEER_TIMEOUT, now)
                && self.states[r.0 as usize].contacts.contains(&to)
        })
    }

    /// Clients' writes that wait at other controllers in contact.
    pub fn queued(&self, now: Micros) -> u32 {
        self.all()
            .filter(|n| self.in_contact(*n, PEER_TIMEOUT, now))
            .map(|n| self.states[n.0 as usize].queued)
            .sum()
    }

    /// Whether the leader of the highest known term sent a message within `limit`.
    pub fn leader_in_contact(&self, limit: Micros, now: Micros) -> bool {
        self.leader_contact_at.is_some_and(|t| now.since(t) < limit)
    }

    /// Records a message of the leader of this term.
    pub fn record_leader_contact(&mut self, term: u64, from: NodeId, now: Micros) {
        if self.known_leader.is_none_or(|(t, _)| t <= term) {
            self.leader_contact_at = Some(now);
        }
        if self.known_leader.is_none_or(|(t, _)| t < term) {
            self.known_leader = Some((term, from));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a leader that sent nothing and counts as in contact while the clock is young.
    #[test]
    fn a_leader_that_sent_nothing_is_not_in_contact() {
        let ms = Micros::millis;
        // (time of the leader's message, now, in contact)
        let cases = [
            (None, ms(0), false),
            (None, ms(1_000), false),
            (Some(ms(0)), ms(1_000), true),
            (Some(ms(1_000)), ms(2_699), true),
            (Some(ms(1_000)), ms(2_700), false),
        ];
        for (sent_at, now, expected) in cases {
            let mut peers = Peers::new(3);
            sent_at.into_iter().for_each(|at| peers.record_leader_contact(1, NodeId(1), at));
            assert_eq!(peers.leader_in_contact(PEER_TIMEOUT, now), expected, "{sent_at:?} {now:?}");
        }
    }
}
