//! Whether a controller in contact knows where cancelled tasks may be.
//!
//! The leader knows, and so do the standby replicas of its placement log (`crate::placement_log`).
//! A process that has read the state knows at least what was cancelled. In an outage of the state
//! service, all processes that know may have ended; then the only evidence left is that a machine
//! is silent (`crate::liveness`).
use super::*;
use crate::cancellation_enforcer::cancellation_deadline;

/// Where it is unknown since when there are cancellations, silent machines are deleted one by one
/// until this part of the cancellation time has passed, in percent.
const UNKNOWN_DEADLINE_PERCENT: u64 = 20;

impl Node {
    /// Records contact with a controller that knows where tasks may be.
    pub(super) fn update_placements_known_at(&mut self) {
        let leader_in_contact =
            self.leadership.leader.is_some() || self.now.since(self.peers.leader_contact_at) < PEER_TIMEOUT;
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

    /// Jobs may have been cancelled just before this process started, or just before it lost
    /// contact with the controllers that had read the state.
    fn deadline_without_records(&self) -> Option<Micros> {
        let peer_knows = self
            .peers
            .all()
            .any(|n| self.in_contact(n, PEER_TIMEOUT) && self.peers.states[n.0 as usize].loaded);
        let since = self.cancellation_knowledge.known_until().unwrap_or(self.started_at);
        let may_be_left = self.now.since(since) < self.leader_config.cancel_timeout;
        (!peer_knows && may_be_left)
            .then(|| since + self.leader_config.cancel_timeout.scale(UNKNOWN_DEADLINE_PERCENT, 100))
    }
}
