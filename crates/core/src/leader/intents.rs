//! State service writes and cloud calls that the leader requests.
use gorseshore_protocol::ids::{JobId, MachineId};

/// A write to the state service that the leader requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaderWrite {
    /// Records that a job is done.
    JobDone(JobId),
    /// Records machines of one kind, so that tasks may start on them.
    Machines(Vec<MachineId>),
    /// Records the name of a scale-out request.
    ScaleOutName(String),
    /// Records which tasks of a chunk are done.
    Progress(JobId, u32),
    /// Records how often the tasks of a chunk have failed.
    FailureCounts(JobId, u32),
    /// Records that the job has failed because this task has used up its attempts.
    JobFailed(JobId, u32),
    /// Records that no task of a cancelled job is left on any machine.
    CancellationComplete(JobId),
    /// Records that a job is cancelled together with one that it depends on.
    CancelDependent(JobId),
    /// Removes deleted machines from the machine record with this key.
    RemoveDeletedMachines(String),
}

/// A call to the cloud that the leader requests.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Rents machines; the name of the request is recorded.
    Rent(ScaleOutRequest),
    /// Deletes machines.
    Delete(Vec<MachineId>),
    /// Lists machines, from the start or after this name.
    List(Option<String>),
}

/// A scale-out request.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOutRequest {
    /// Name of the request. The same name always yields the same machines.
    pub name: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Progress of a scale-out request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ScaleOutStage {
    /// Its name is not recorded yet.
    Unrecorded,
    /// Its name is recorded; the call to the cloud is due.
    Recorded,
    /// The call was made; its result is awaited.
    Requested,
}
