//! The other controllers: which are in contact with which, and the known leader.
use gorseshore_protocol::ids::{Micros, NodeId};

/// Another controller.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    pub heard: Option<Micros>,
    /// When its host last refused a connection.
    pub refused: Option<Micros>,
    /// Its process's incarnation, the highest known.
    pub incarnation: u64,
    /// It has read the state since it started.
    pub loaded: bool,
    /// It reaches the state service.
    pub state_ok: bool,
    pub hears: Vec<NodeId>,
    /// Clients' writes that wait there.
    pub queued: u32,
}

/// All controllers, including this one.
#[derive(Debug)]
pub(super) struct Peers {
    pub states: Vec<Peer>,
    /// The highest term in which a leader sent a message, and that leader.
    pub leader_known: Option<(u64, NodeId)>,
    /// When a leader of that term last sent a message.
    pub led_at: Micros,
    pub sync_term: u64,
    pub ping_at: Micros,
}

/// Without a message for this time, a controller counts as out of contact.
pub(super) const HEARD: Micros = Micros::millis(1700);

impl Peers {
    /// Creates the table of `nodes` controllers, none in contact yet.
    pub fn new(nodes: usize) -> Self {
        Peers {
            states: vec![Peer::default(); nodes],
            leader_known: None,
            led_at: Micros(0),
            sync_term: 0,
            ping_at: Micros(0),
        }
    }

    /// All controllers, including this one.
    pub fn all(&self) -> impl Iterator<Item = NodeId> + use<> {
        (0..self.states.len()).map(|i| NodeId(i as u8))
    }

    /// Whether a controller sent a message within `limit`.
    pub fn hears(&self, n: NodeId, limit: Micros, now: Micros) -> bool {
        self.states.get(n.0 as usize).and_then(|p| p.heard).is_some_and(|t| now.since(t) < limit)
    }

    /// Whether a controller's host is up while its process is down.
    pub fn refuses(&self, n: NodeId, now: Micros) -> bool {
        let refused = self.states.get(n.0 as usize).and_then(|p| p.refused);
        refused.is_some_and(|t| now.since(t) < Micros::secs(2))
    }

    /// A controller that is in contact here and itself in contact with `to`.
    pub fn relay(&self, to: NodeId, now: Micros) -> Option<NodeId> {
        self.all()
            .find(|r| *r != to && self.hears(*r, HEARD, now) && self.states[r.0 as usize].hears.contains(&to))
    }

    /// Clients' writes that wait at other controllers in contact.
    pub fn queued(&self, now: Micros) -> u32 {
        self.all().filter(|n| self.hears(*n, HEARD, now)).map(|n| self.states[n.0 as usize].queued).sum()
    }

    /// Records a message of the leader of this term.
    pub fn lead_heard(&mut self, term: u64, from: NodeId, now: Micros) {
        if self.leader_known.is_none_or(|(t, _)| t <= term) {
            self.led_at = now;
        }
        if self.leader_known.is_none_or(|(t, _)| t < term) {
            self.leader_known = Some((term, from));
        }
    }
}
