//! The other controllers: who hears whom, and who is known to lead.
use gorseshore_protocol::ids::{Micros, NodeId};

/// Another controller.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    pub heard: Option<Micros>,
    /// Its host refused a connection.
    pub refused: Option<Micros>,
    /// Number of its process, the highest that was heard of.
    pub incarnation: u64,
    /// It has read the state in its life.
    pub loaded: bool,
    /// The state service answers it.
    pub state_ok: bool,
    pub hears: Vec<NodeId>,
    /// Users' changes that wait there.
    pub queued: u32,
}

/// All controllers, this one among them.
#[derive(Debug)]
pub(super) struct Peers {
    pub states: Vec<Peer>,
    /// The highest term that a leader was heard in.
    pub leader_known: Option<(u64, NodeId)>,
    /// When a leader of that term was last heard.
    pub led_at: Micros,
    pub sync_term: u64,
    pub ping_at: Micros,
}

/// A controller that said nothing for so long is not heard.
pub(super) const HEARD: Micros = Micros::millis(1700);

impl Peers {
    /// `nodes` controllers, none heard yet.
    pub fn new(nodes: usize) -> Self {
        Peers {
            states: vec![Peer::default(); nodes],
            leader_known: None,
            led_at: Micros(0),
            sync_term: 0,
            ping_at: Micros(0),
        }
    }

    /// All of them, this one too.
    pub fn all(&self) -> impl Iterator<Item = NodeId> + use<> {
        (0..self.states.len()).map(|i| NodeId(i as u8))
    }

    /// Whether a controller was heard within `limit`.
    pub fn hears(&self, n: NodeId, limit: Micros, now: Micros) -> bool {
        self.states.get(n.0 as usize).and_then(|p| p.heard).is_some_and(|t| now.since(t) < limit)
    }

    /// Whether a controller's host is up without its process.
    pub fn refuses(&self, n: NodeId, now: Micros) -> bool {
        let refused = self.states.get(n.0 as usize).and_then(|p| p.refused);
        refused.is_some_and(|t| now.since(t) < Micros::secs(2))
    }

    /// A controller that is heard and hears `to`.
    pub fn relay(&self, to: NodeId, now: Micros) -> Option<NodeId> {
        self.all()
            .find(|r| *r != to && self.hears(*r, HEARD, now) && self.states[r.0 as usize].hears.contains(&to))
    }

    /// Users' changes that wait at others that are heard.
    pub fn queued(&self, now: Micros) -> u32 {
        self.all().filter(|n| self.hears(*n, HEARD, now)).map(|n| self.states[n.0 as usize].queued).sum()
    }

    /// A leader was heard in this term.
    pub fn lead_heard(&mut self, term: u64, from: NodeId, now: Micros) {
        if self.leader_known.is_none_or(|(t, _)| t <= term) {
            self.led_at = now;
        }
        if self.leader_known.is_none_or(|(t, _)| t < term) {
            self.leader_known = Some((term, from));
        }
    }
}
