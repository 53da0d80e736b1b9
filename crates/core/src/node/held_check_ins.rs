//! Workers' check-ins that need a second look.
use crate::RequestId;
use gorseshore_protocol::ids::{MachineId, Micros};
use gorseshore_protocol::workers::Report;
use std::collections::BTreeMap;

/// Check-ins that wait, and workers of others that report here.
#[derive(Debug, Default)]
pub(super) struct HeldCheckIns {
    /// Check-ins that wait for a grant, and until when.
    pub held: BTreeMap<MachineId, (RequestId, Report, Micros)>,
    /// Machines of others that reported here, when.
    pub strangers: BTreeMap<MachineId, Micros>,
    /// Workers that were sent to the holder of their machine, when.
    pub redirected: BTreeMap<MachineId, Micros>,
}
