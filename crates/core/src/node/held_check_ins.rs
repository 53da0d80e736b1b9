//! Workers' check-ins that need a second look.
use crate::RequestId;
use gorseshore_protocol::ids::{MachineId, Micros};
use gorseshore_protocol::workers::{HeartbeatSeq, Report};
use std::collections::{BTreeMap, BTreeSet};

/// Check-ins that wait, and workers of others that report here.
#[derive(Debug, Default)]
pub(super) struct HeldCheckIns {
    /// Check-ins that wait for a grant, and until when.
    pub held: BTreeMap<MachineId, (RequestId, Report, Micros)>,
    /// Machines of others that reported here: when, by which report, and whether they
    /// were asked.
    pub strangers: BTreeMap<MachineId, (Micros, HeartbeatSeq, bool)>,
    /// Machines whose reports contradict their records, and the log said so.
    pub apart: BTreeSet<MachineId>,
    /// The token with which workers of others were kept alive here.
    pub kept: BTreeMap<MachineId, u64>,
    /// The newest report of each machine of others.
    newest: BTreeMap<MachineId, HeartbeatSeq>,
    /// Workers that were sent to the holder of their machine, when.
    pub redirected: BTreeMap<MachineId, Micros>,
}

/// Machines whose newest report is remembered; a copy of one that is forgotten counts
/// as a sighting once more, which the leader compares with what it knows.
const REMEMBERED: usize = 20_000;

impl HeldCheckIns {
    /// A worker of others was kept alive here with the token that it showed.
    pub fn kept_alive(&mut self, machine: MachineId, baton: u64) {
        if self.kept.len() >= REMEMBERED {
            self.kept.clear();
        }
        self.kept.insert(machine, baton);
    }

    /// Whether a report is newer than all of this machine that came here: copies of
    /// reports move nothing and are held for nothing.
    pub fn is_news(&mut self, machine: &MachineId, report: HeartbeatSeq) -> bool {
        if self.newest.get(machine).is_some_and(|n| report <= *n) {
            return false;
        }
        if self.newest.len() >= REMEMBERED {
            self.newest.clear();
        }
        self.newest.insert(machine.clone(), report);
        true
    }
}
