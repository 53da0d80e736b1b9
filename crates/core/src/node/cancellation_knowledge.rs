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
//!
//! Contact with another controller is no knowledge: it may have restarted since it confirmed a
//! cancellation, or have confirmed one while it did not receive this process's messages. What
//! counts is its report (`knowledge_reports`), dated by the sending of the request. The proof is in
//! `docs/safety.md`.
use super::*;

/// Covers the drift of the clocks and the time that a renewal takes to its worker.
const RENEWAL_MARGIN: Micros = Micros::secs(1);
/// Knowledge that is older than this is renewed by a read of the state service.
const MAX_KNOWLEDGE_AGE: Micros = Micros::millis(900);
/// For this time after a process's start, others may still confirm cancellations by what the
/// controller's previous process acknowledged: until it counts as out of contact, and as long as a
/// message may have been under way before.
const MEMORY_DELAY: Micros = Micros(PEER_TIMEOUT.0 + Micros::secs(1).0);

/// What another controller reports of its knowledge, in answer to a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedKnowledge {
    /// When the request was sent.
    pub requested_at: Micros,
    /// How long the process has been running; it has kept what it acknowledged since.
    pub memory_age: Micros,
    /// It knows every cancellation that was confirmed until this long ago.
    pub known_until_age: Option<Micros>,
}

/// The time up to which this process knows all confirmed cancellations.
#[derive(Debug)]
pub(super) struct CancellationKnowledge {
    own_id: NodeId,
    started_at: Micros,
    known_until: Option<Micros>,
    /// By controller: every cancellation that was confirmed before this and that the controller had
    /// confirmed or acknowledged is known here.
    covered_until: Vec<Option<Micros>>,
    /// Whether renewals were allowed, as last logged.
    logged_allowed: Option<bool>,
}

impl CancellationKnowledge {
    /// The knowledge of a process that has just started: none.
    pub fn new(own_id: NodeId, nodes: usize, started_at: Micros) -> Self {
        let covered_until = vec![None; nodes];
        CancellationKnowledge { own_id, started_at, known_until: None, covered_until, logged_allowed: None }
    }

    /// Records that every cancellation confirmed before `until` is known here.
    fn advance(&mut self, until: Micros) {
        self.known_until = self.known_until.max(Some(until));
    }

    /// Records a read of the state service, sent at this time, that proved the state replica.
    pub fn record_state_read(&mut self, sent: Micros) {
        self.advance(sent);
    }

    /// Records another controller's report, after the cancellations in it were applied.
    pub fn record_report(&mut self, from: NodeId, report: ReportedKnowledge, now: Micros) {
        let ReportedKnowledge { requested_at, memory_age, known_until_age } = report;
        // Knowledge that is older than this process's clock has no time here.
        if let Some(known_until) = known_until_age.and_then(|age| requested_at.before(age)) {
            self.advance(known_until);
        }
        let Some(covered) = self.covered_until.get_mut(from.0 as usize) else { return };
        // It remembers all since its start. If what happened before that is known here, nothing is
        // left out.
        let known_before = (*covered).max(self.known_until);
        if known_before.is_some_and(|t| memory_age >= now.since(t) + MEMORY_DELAY) {
            *covered = (*covered).max(Some(requested_at));
        }
        self.advance_by_majority(now);
    }

    /// Advances to the time up to which a majority of the controllers, this one among them, is
    /// covered.
    pub fn advance_by_majority(&mut self, now: Micros) {
        // What the previous process of this controller confirmed must be known.
        if self.known_until.is_none_or(|t| t < self.started_at + MEMORY_DELAY) {
            return;
        }
        let covered = self.covered_until.iter().enumerate();
        let others = covered.filter(|(n, _)| *n != self.own_id.0 as usize);
        let mut others: Vec<Option<Micros>> = others.map(|(_, t)| *t).collect();
        others.sort_by(|a, b| b.cmp(a));
        let others_needed = self.covered_until.len() / 2;
        let until = if others_needed == 0 { Some(now) } else { others[others_needed - 1] };
        self.known_until = self.known_until.max(until);
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
    /// Records up to when this process knows all cancellations, at every tick.
    pub(super) fn update_cancellation_knowledge(&mut self) {
        if let Some(proven_at) = self.replica_sync.proven_at {
            self.cancellation_knowledge.record_state_read(proven_at);
        }
        self.cancellation_knowledge.advance_by_majority(self.now);
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
        let ms_ago =
            |t: Option<Micros>| t.map_or("never".into(), |t| (self.now.since(t).0 / 1000).to_string());
        let knowledge = &self.cancellation_knowledge;
        let covered: Vec<String> = knowledge.covered_until.iter().map(|t| ms_ago(*t)).collect();
        info!(
            "lease renewals allowed={allowed} cancellations_known_until_ms_ago={} controllers_covered_ms_ago={} since_start_ms={}",
            ms_ago(knowledge.known_until),
            covered.join(","),
            self.now.since(self.started_at).0 / 1000,
        );
    }
}

#[cfg(test)]
mod tests;
