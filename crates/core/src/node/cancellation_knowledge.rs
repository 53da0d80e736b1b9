//! Up to when this process knows every cancellation that may have been confirmed to a client.
//!
//! Invariant: a cancellation that this process does not know was confirmed after `known_until`.
//! Whoever renews a lease asks here. A renewal keeps a worker's tasks running for another lease,
//! and a task of a cancelled job must be gone within the cancellation time, so a lease may be
//! renewed only until the cancellation time less the lease has passed since `known_until`.
//!
//! Without a `known_until` nothing is renewed. The start of a process is no substitute: the
//! cancellation may have been confirmed at any time before, and a lease that still runs may have
//! been renewed by another process that did not know of it either.
use super::*;
use crate::peer::{Cancellation, RequestStamp};

/// Covers the drift of the clocks and the time that a renewal takes to its worker.
const RENEWAL_MARGIN: Micros = Micros::secs(1);
/// Knowledge that is older than this is renewed by a read of the state service.
const MAX_KNOWLEDGE_AGE: Micros = Micros::millis(900);

/// The time up to which this process knows all confirmed cancellations.
#[derive(Debug, Default)]
pub(super) struct CancellationKnowledge {
    known_until: Option<Micros>,
    /// Whether renewals were allowed, as last logged.
    logged_allowed: Option<bool>,
}

impl CancellationKnowledge {
    /// Records that every cancellation confirmed before `until` is known here.
    fn advance(&mut self, until: Micros) {
        self.known_until = self.known_until.max(Some(until));
    }

    /// Every cancellation confirmed before this is known here; `None` if there is no such time.
    pub fn known_until(&self) -> Option<Micros> {
        self.known_until
    }

    /// Whether a read of the state service is due to learn of later cancellations.
    pub fn is_outdated(&self, now: Micros) -> bool {
        self.known_until.is_none_or(|t| now.since(t) > MAX_KNOWLEDGE_AGE)
    }

    /// Whether a lease that is renewed at `now` ends within the cancellation time of every
    /// cancellation that is not known here.
    fn allows_renewal(&self, now: Micros, lease: Micros, cancel_timeout: Micros) -> bool {
        let may_renew_for = cancel_timeout.saturating_sub(lease);
        self.known_until.is_some_and(|t| now.since(t) + RENEWAL_MARGIN <= may_renew_for)
    }
}

impl Node {
    /// Records up to when this process knows all cancellations. A read of the state service proves
    /// which were recorded before it was sent. In an outage, contact with a majority of controllers
    /// does, once this process has read the state, or a controller in contact that has read it has
    /// told this process of all cancellations. A minority may be cut off from a state service that
    /// still serves the other controllers; then possibly no controller outside the minority remains
    /// that could stop the tasks which the minority keeps alive.
    pub(super) fn update_cancellation_knowledge(&mut self) {
        let in_contact = |n: &NodeId| *n != self.members.own_id && self.in_contact(*n, PEER_TIMEOUT);
        let in_contact: Vec<NodeId> = self.peers.all().filter(in_contact).collect();
        let read = self.replica_sync.loaded
            || in_contact.iter().any(|n| self.peers.states[n.0 as usize].has_informed());
        let majority = (in_contact.len() + 1) * 2 > self.members.names.len();
        if let Some(proven_at) = self.replica_sync.proven_at {
            self.cancellation_knowledge.advance(proven_at);
        }
        if read && majority {
            self.cancellation_knowledge.advance(self.now);
        }
    }

    /// Requests the cancellations that another controller knows, if that one has read the state, this
    /// process can't, and the other has not answered yet. Called at each of its pings.
    pub(super) fn request_cancellations(&mut self, from: NodeId) {
        let Some(peer) = self.peers.states.get(from.0 as usize) else { return };
        let understands = peer.contacts.contains(&from);
        let can_read = self.replica_sync.loaded || self.replica_sync.state_reachable(self.now);
        if !can_read && peer.loaded && !peer.told_cancellations && understands {
            let request = RequestStamp { incarnation: self.incarnation, sent: self.now };
            self.out.send(from, Message::CancellationsRequest(request));
        }
    }

    /// Answers another controller's request. What is sent is tracked until it is acknowledged.
    pub(super) fn send_cancellations_snapshot(&mut self, to: NodeId, request: RequestStamp) {
        let Some(known_until) = self.cancellation_knowledge.known_until else { return };
        if !self.replica_sync.loaded {
            return;
        }
        let cancellations = self.unsettled_cancellations();
        let known_until_age = self.now.since(known_until);
        self.out.send(to, Message::CancellationsSnapshot { request, known_until_age, cancellations });
    }

    /// Handles the answer. It says nothing of what was confirmed after the request was sent.
    pub(super) fn cancellations_snapshot_received(
        &mut self,
        from: NodeId,
        request: RequestStamp,
        known_until_age: Micros,
        cancellations: &[Cancellation],
    ) {
        if request.incarnation != self.incarnation {
            return;
        }
        self.cancellations_received(from, cancellations);
        // Knowledge that is older than this process's clock has no time here.
        if let Some(known_until) = request.sent.before(known_until_age) {
            self.cancellation_knowledge.advance(known_until);
        }
        if let Some(peer) = self.peers.states.get_mut(from.0 as usize) {
            // An older answer leaves a gap, in which others may have confirmed cancellations.
            peer.told_cancellations |= known_until_age < PEER_TIMEOUT;
        }
    }

    /// Whether this process may renew workers' leases.
    pub(super) fn may_renew_leases(&self) -> bool {
        let LeaderConfig { worker_lease, cancel_timeout, .. } = self.leader_config;
        self.cancellation_knowledge.allows_renewal(self.now, worker_lease, cancel_timeout)
    }

    /// Logs when this process begins or ceases to renew workers' leases, at every tick.
    pub(super) fn log_lease_renewals(&mut self) {
        let allowed = self.may_renew_leases();
        if self.cancellation_knowledge.logged_allowed.replace(allowed) == Some(allowed) {
            return;
        }
        let known_until_ms_ago = self.cancellation_knowledge.known_until.map(|t| self.now.since(t).0 / 1000);
        info!(
            "lease renewals allowed={allowed} cancellations_known_until_ms_ago={} since_start_ms={}",
            known_until_ms_ago.map_or("never".into(), |ms| ms.to_string()),
            self.now.since(self.started_at).0 / 1000,
        );
    }
}

#[cfg(test)]
mod tests;
