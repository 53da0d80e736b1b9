//! Heartbeats of workers whose machines this controller does not hold.
use crate::RequestId;
use gorseshore_protocol::ids::{MachineId, Micros};
use gorseshore_protocol::workers::{HeartbeatSeq, Report};
use std::collections::{BTreeMap, BTreeSet};

/// Deferred heartbeats, and what is known of workers whose machines other controllers hold.
#[derive(Debug, Default)]
pub(super) struct DeferredHeartbeats {
    /// Heartbeats whose responses wait for a grant of the machine, and until when.
    pub deferred: BTreeMap<MachineId, (RequestId, Report, Micros)>,
    /// Machines not held here that reported here: when, by which report, and whether that was the
    /// answer to a probe.
    pub unleased_reports: BTreeMap<MachineId, (Micros, HeartbeatSeq, bool)>,
    /// Machines whose reports contradict their records, each logged once.
    pub contradicting: BTreeSet<MachineId>,
    /// The fencing token with which the lease of a worker not held here was renewed.
    pub renewed_tokens: BTreeMap<MachineId, u64>,
    /// The newest report of each machine not held here.
    newest_reports: BTreeMap<MachineId, HeartbeatSeq>,
    /// When workers were redirected to the controller that holds their machine.
    pub redirected_at: BTreeMap<MachineId, Micros>,
}

/// Most machines whose newest report is kept. A copy of a report that was dropped counts as new
/// again; the leader compares it with what it knows.
const MAX_REMEMBERED_REPORTS: usize = 20_000;

impl DeferredHeartbeats {
    /// Records that the lease of a worker not held here was renewed with the token that it
    /// reported.
    pub fn record_renewal(&mut self, machine: MachineId, fencing_token: u64) {
        if self.renewed_tokens.len() >= MAX_REMEMBERED_REPORTS {
            self.renewed_tokens.clear();
        }
        self.renewed_tokens.insert(machine, fencing_token);
    }

    /// Whether a report is newer than all earlier ones of this machine here: copies of reports
    /// change nothing and their responses are not deferred.
    pub fn is_newest(&mut self, machine: &MachineId, report: HeartbeatSeq) -> bool {
        if self.newest_reports.get(machine).is_some_and(|n| report <= *n) {
            return false;
        }
        if self.newest_reports.len() >= MAX_REMEMBERED_REPORTS {
            self.newest_reports.clear();
        }
        self.newest_reports.insert(machine.clone(), report);
        true
    }
}
