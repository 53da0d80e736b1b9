//! Whether this controller serves clients, why, and the log line of each change.
//!
//! Invariant: `GET /ready`, the server's decision to close users' connections and the `status`
//! line all use `Node::readiness`.
use super::*;

/// Within this, another controller's last message counts for readiness.
const PEER_VIEW_TIMEOUT: Micros = Micros::millis(2500);

/// Whether clients are served, and the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Readiness {
    /// The state service has answered recently.
    StateReachable,
    /// There is no other controller that could serve the clients.
    OnlyController,
    /// No controller in contact reaches the state service either: withdrawing would help no
    /// client.
    StateUnreachableForAll,
    /// This process has not read the state yet.
    StateUnread,
    /// Another controller reaches the state service, this one does not.
    OthersReachState,
    /// Neither the state service nor any other controller is reachable.
    Isolated,
}

impl Readiness {
    /// Whether `GET /ready` returns 200.
    pub(super) fn serves(self) -> bool {
        matches!(
            self,
            Readiness::StateReachable | Readiness::OnlyController | Readiness::StateUnreachableForAll
        )
    }

    /// The reason's name in the log.
    fn key(self) -> &'static str {
        match self {
            Readiness::StateReachable => "state_reachable",
            Readiness::OnlyController => "only_controller",
            Readiness::StateUnreachableForAll => "state_unreachable_for_all",
            Readiness::StateUnread => "state_unread",
            Readiness::OthersReachState => "others_reach_state",
            Readiness::Isolated => "isolated",
        }
    }
}

impl Node {
    /// Whether this controller serves clients now.
    pub(super) fn readiness(&self) -> Readiness {
        if !self.replica_sync.loaded {
            return Readiness::StateUnread;
        }
        if self.replica_sync.state_reachable(self.now) {
            return Readiness::StateReachable;
        }
        if self.members.names.len() == 1 {
            return Readiness::OnlyController;
        }
        let recent =
            |p: &&membership::Peer| p.last_contact.is_some_and(|t| self.now.since(t) < PEER_VIEW_TIMEOUT);
        let mut in_contact = self.peers.states.iter().filter(recent).peekable();
        if in_contact.peek().is_none() {
            return Readiness::Isolated;
        }
        if in_contact.all(|p| !p.state_ok) {
            Readiness::StateUnreachableForAll
        } else {
            Readiness::OthersReachState
        }
    }

    /// Logs a change of readiness, at every tick.
    pub(super) fn log_readiness(&mut self) {
        let readiness = self.readiness();
        if self.logged_readiness == Some(readiness) {
            return;
        }
        let was_serving = self.logged_readiness.is_some_and(Readiness::serves);
        self.logged_readiness = Some(readiness);
        let answered_ms = self.replica_sync.last_success.map(|t| self.now.since(t).0 / 1000);
        let contacts = self.peers.all().filter(|n| self.in_contact(*n, PEER_VIEW_TIMEOUT)).count();
        let level = if was_serving == readiness.serves() { log::Level::Debug } else { log::Level::Info };
        log::log!(
            level,
            "readiness ready={} reason={} state_answered_ms_ago={} contacts={contacts} since_start_ms={}",
            readiness.serves(),
            readiness.key(),
            answered_ms.map_or("never".into(), |ms| ms.to_string()),
            self.now.since(self.started_at).0 / 1000,
        );
    }
}
