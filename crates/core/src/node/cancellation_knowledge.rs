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
        let may_renew_for = cancel_timeout - lease;
        self.known_until.is_some_and(|t| now.since(t) + RENEWAL_MARGIN <= may_renew_for)
    }
}

impl Node {
    /// Records that this process can know of new cancellations: a read of the state service proves
    /// which were recorded before it was sent; or, in an outage, this process is in contact with a
    /// majority of controllers, one of which has read the state. A minority may be cut off from a state service that still serves
    /// the other controllers; then possibly no controller outside the minority remains that could
    /// stop the tasks which the minority keeps alive.
    pub(super) fn update_cancellation_knowledge(&mut self) {
        let in_contact = |n: &NodeId| *n != self.members.own_id && self.in_contact(*n, PEER_TIMEOUT);
        let in_contact: Vec<NodeId> = self.peers.all().filter(in_contact).collect();
        let read =
            self.replica_sync.loaded || in_contact.iter().any(|n| self.peers.states[n.0 as usize].loaded);
        let majority = (in_contact.len() + 1) * 2 > self.members.names.len();
        if let Some(proven_at) = self.replica_sync.proven_at {
            self.cancellation_knowledge.advance(proven_at);
        }
        if read && majority {
            self.cancellation_knowledge.advance(self.now);
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
