//! What the leader wants written and asked of the cloud.
use gorseshore_protocol::ids::{JobId, MachineId};

/// A write that the leader wants.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaderWrite {
    /// A job is done.
    End(JobId),
    /// Machines of one kind may be started on.
    Machines(Vec<MachineId>),
    /// A rental request's name.
    Hire(String),
    /// Progress of a job.
    Progress(JobId, u32),
    /// How often tasks of a chunk have failed.
    Failures(JobId, u32),
    /// A task's attempts are used up: the job has failed.
    Fail(JobId, u32),
    /// Nothing is left of a cancelled job.
    Settle(JobId),
    /// A job is cancelled with one that it depends on.
    CancelledWith(JobId),
    /// Machines of the record with this key are gone.
    Forget(String),
}

/// A call to the cloud that the leader wants.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudWish {
    /// Rent; its name is recorded.
    Hire(HireRequest),
    /// Delete.
    Delete(Vec<MachineId>),
    /// List after this name.
    List(Option<String>),
}

/// A rental under way.
#[derive(Debug, Clone, PartialEq)]
pub struct HireRequest {
    /// Its name.
    pub name: String,
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HireStage {
    ToRecord,
    Recorded,
    Called,
}
