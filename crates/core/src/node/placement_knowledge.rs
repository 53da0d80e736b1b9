//! Whether a controller in contact knows where cancelled tasks may be.
//!
//! The leader knows, and so do the standby replicas of its placement log (`crate::placement_log`).
//! Who knows which jobs are cancelled is `cancellation_knowledge`. In an outage of the state
//! service, all processes that know may have ended; then the only evidence left is that a machine
//! is silent (`crate::liveness`).
use super::*;
use crate::cancellation_enforcer::cancellation_deadline;

/// Where it is unknown since when there are cancellations, silent machines are deleted one by one
/// until this part of the cancellation time has passed, in percent.
const UNKNOWN_DEADLINE_PERCENT: u64 = 20;
/// A process that knows all cancellations up to this long ago gets them from others that know: a few
/// times the interval between two reports.
const CURRENT_KNOWLEDGE_AGE: Micros = Micros::secs(3);

impl Node {
    /// Records contact with a controller that knows where tasks may be.
    pub(super) fn update_placements_known_at(&mut self) {
        let leader_in_contact =
            self.leadership.leader.is_some() || self.peers.leader_in_contact(PEER_TIMEOUT, self.now);
        if leader_in_contact || self.peers.all().any(|n| self.has_placement_log(n)) {
            self.placements_known_at = self.now;
        }
    }

    /// Whether a controller is in contact and on record as a standby replica of the placement log.
    fn has_placement_log(&self, n: NodeId) -> bool {
        let (record, _) = &self.replica_sync.replica.standby_replicas;
        let process = if n == self.members.own_id {
            self.incarnation
        } else if self.in_contact(n, PEER_TIMEOUT) {
            self.peers.states[n.0 as usize].incarnation
        } else {
            return false;
        };
        let name = &self.members.names[n.0 as usize];
        record.nodes.iter().any(|(holder, of)| holder == name && *of == process)
    }

    /// The deadline for stopping cancelled tasks whose placements no controller in contact knows.
    /// `None` where such a controller is in contact, and where no cancelled task can be left.
    pub(super) fn unknown_placements_deadline(&self) -> Option<Micros> {
        if self.replica_sync.loaded {
            self.deadline_without_placements()
        } else {
            self.deadline_without_records()
        }
    }

    /// Whether the state service's last call failed: no leader can be elected through it.
    pub(super) fn state_is_unreachable(&self) -> bool {
        self.replica_sync.last_failure > self.replica_sync.last_success
    }

    /// The earliest deadline that is not past, of the cancellations known here.
    fn deadline_without_placements(&self) -> Option<Micros> {
        if self.now.since(self.placements_known_at) < PEER_TIMEOUT {
            return None;
        }
        let unsettled = self.replica_sync.replica.jobs.values().filter(|j| j.is_stopping());
        unsettled
            .map(|job| {
                cancellation_deadline(job.ended_ms, self.wall_ms, self.leader_config.cancel_timeout, self.now)
            })
            .filter(|by| *by > self.now)
            .min()
    }

    /// Jobs may have been cancelled just before this process started, or since the time up to which
    /// it was told of all cancellations. A controller in contact that has read the state need not know
    /// them either: it may have been cut off when they were confirmed.
    fn deadline_without_records(&self) -> Option<Micros> {
        let known_until = self.cancellation_knowledge.known_until();
        let is_current = known_until.is_some_and(|t| self.now.since(t) <= CURRENT_KNOWLEDGE_AGE);
        let since = known_until.unwrap_or(self.started_at);
        let may_be_left = self.now.since(since) < self.leader_config.cancel_timeout;
        (!is_current && may_be_left)
            .then(|| since + self.leader_config.cancel_timeout.scale(UNKNOWN_DEADLINE_PERCENT, 100))
    }
}
