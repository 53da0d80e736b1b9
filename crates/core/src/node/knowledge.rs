//! Whether anybody in touch knows where cancelled tasks may be.
//!
//! The leader knows, and so do the controllers that hold its placements (`crate::books`). A
//! process that has read the state knows at least what was cancelled. In an outage of the state
//! service, all who know may have ended; then only the silence of a machine is left to go by
//! (`crate::liveness`).
use super::*;
use crate::deputy::gone_by;

/// Silent machines go one by one until this part of a cancellation's time has passed, in
/// hundredths, where nobody knows since when there are cancellations.
const UNKNOWN_DEADLINE_PERCENT: u64 = 20;

impl Node {
    /// Notes that a controller is in touch that knows where tasks may be.
    pub(super) fn note_placements(&mut self) {
        let leads = self.leadership.leader.is_some() || self.now.since(self.peers.led_at) < HEARD;
        if leads || self.peers.all().any(|n| self.holds_placements(n)) {
            self.placements_at = self.now;
        }
    }

    /// Whether a controller is in touch and on record as a holder of the leader's placements.
    fn holds_placements(&self, n: NodeId) -> bool {
        let (record, _) = &self.mirror.ledger.standby_replicas;
        let process = if n == self.nodes.me {
            self.incarnation
        } else if self.hears(n, HEARD) {
            self.peers.states[n.0 as usize].incarnation
        } else {
            return false;
        };
        let name = &self.nodes.names[n.0 as usize];
        record.nodes.iter().any(|(holder, of)| holder == name && *of == process)
    }

    /// By when cancelled tasks have to be gone of which nobody in touch knows where they may be.
    /// `None` where somebody knows, and where nothing that was cancelled can be left.
    pub(super) fn deadline_without_knowledge(&self) -> Option<Micros> {
        if self.mirror.loaded { self.deadline_without_placements() } else { self.deadline_without_records() }
    }

    /// Whether the state service's last answer was none: nobody can be elected by it.
    pub(super) fn state_is_away(&self) -> bool {
        self.mirror.fail_at > self.mirror.ok_at
    }

    /// Of the cancellations that are known here, the earliest that is not past its time.
    fn deadline_without_placements(&self) -> Option<Micros> {
        if self.now.since(self.placements_at) < HEARD {
            return None;
        }
        let open =
            self.mirror.ledger.jobs.values().filter(|j| j.phase == Phase::Cancelled && !j.fully_stopped);
        open.map(|job| gone_by(job.ended_ms, self.wall_ms, self.ctx.cancel, self.now))
            .filter(|by| *by > self.now)
            .min()
    }

    /// Anything may have been cancelled just before this process began, or just before it lost
    /// touch with who had read the state.
    fn deadline_without_records(&self) -> Option<Micros> {
        let peer_knows =
            self.peers.all().any(|n| self.hears(n, HEARD) && self.peers.states[n.0 as usize].loaded);
        let since = self.informed.unwrap_or(self.began);
        let may_be_left = self.now.since(since) < self.ctx.cancel;
        (!peer_knows && may_be_left).then(|| since + self.ctx.cancel.scale(UNKNOWN_DEADLINE_PERCENT, 100))
    }
}
