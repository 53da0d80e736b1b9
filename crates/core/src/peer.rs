//! Messages between controllers: encoded with borsh, framed by a length and a version, and sent one
//! way on a connection that the sender opens.
use crate::placement_log::LogUpdate;
use borsh::{BorshDeserialize, BorshSerialize};
use gorseshore_protocol::ids::{Attempt, FencingToken, JobId, MachineId, Micros, NodeId, TaskId};
use gorseshore_protocol::workers::HeartbeatSeq;
use thiserror::Error;

pub mod inbox;
pub mod pacing;

/// Version of the messages; a frame with another version is rejected.
pub const PROTOCOL_VERSION: u8 = 5;
/// Longest body accepted in a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Listed in a ping by a version that understands `Message::KnowledgeRequest`. No controller has this
/// number.
pub const KNOWLEDGE_REPORTS: NodeId = NodeId(u8::MAX);

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TaskState {
    /// A start is pending that no report has shown or ruled out yet.
    Starting,
    /// Waits for its image.
    Fetching,
    /// Running.
    Running,
    /// Saves its progress before it exits.
    Saving,
    /// Completed.
    Done,
    /// Stopped by a command.
    Stopped,
    /// Failed.
    Failed,
    /// The worker refused to start it.
    Refused,
}
impl TaskState {
    /// Whether the task has exited.
    pub fn exited(self) -> bool {
        matches!(self, Self::Done | Self::Stopped | Self::Failed | Self::Refused)
    }
}

/// The state of a task on a machine.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct TaskStatus {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// State.
    pub state: TaskState,
}

/// A controller's view of a machine that it holds.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MachineState {
    /// Machine.
    pub id: MachineId,
    /// Fencing token under which the sender holds it.
    pub fencing_token: FencingToken,
    /// Highest fencing token that its worker has reported.
    pub seen_fencing_token: FencingToken,
    /// Number of its last report.
    pub last_report: HeartbeatSeq,
    /// The last report shows that commands reach the worker: it answered a direct call, sent its
    /// next heartbeat to the same controller, or reported the grant's fencing token for the first
    /// time.
    pub acknowledges_commands: bool,
    /// Time since the last contact; `None` if this controller had none.
    pub last_contact_age: Option<Micros>,
    /// Time left after a spot notice.
    pub preemption_notice: Option<Micros>,
    /// The controller requests a higher fencing token, because a start of a task that must not run
    /// may still arrive.
    pub needs_new_fencing_token: bool,
    /// Tasks, including those with a pending start.
    pub tasks: Vec<TaskStatus>,
}

/// A report of a recorded machine that the sender does not hold.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct UnleasedReport {
    /// Machine.
    pub id: MachineId,
    /// Number of the report.
    pub report: HeartbeatSeq,
    /// The worker answered the sender's probe, so it is healthy now. A heartbeat may be a duplicate
    /// of one sent long ago.
    pub probed: bool,
}

/// The outcome of an assignment.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AssignmentOutcome {
    /// Attempt of the assignment.
    pub attempt: Attempt,
    /// The machine where it was started; `None` if it was not and never will be.
    pub machine: Option<MachineId>,
}

/// A machine granted to a controller.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct GrantedMachine {
    /// Machine.
    pub id: MachineId,
    /// Fencing token of the grant.
    pub fencing_token: FencingToken,
    /// Worker address.
    pub addr: String,
    /// The machine is draining: no task is started on it.
    pub draining: bool,
}

/// A task that the leader assigns to a controller.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Assignment {
    /// Task.
    pub task: TaskId,
    /// Attempt, higher than the fencing token of every machine on which it may be started.
    pub attempt: Attempt,
    /// The only zone in which it may be started.
    pub zone: Option<String>,
    /// The machine on which the leader reserved capacity.
    pub preferred_machine: MachineId,
}

/// A stop that the leader requests.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct StopRequest {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Machine.
    pub machine: MachineId,
    /// Time to save.
    pub grace: Micros,
}

/// A cancellation that is recorded in the state service.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Cancellation {
    /// Job.
    pub job: JobId,
    /// Time of day of the job's end, in milliseconds.
    pub ended_ms: u64,
    /// Version of the record of the end.
    pub record_version: u64,
    /// Why the service ended the job, if it did.
    pub cause: Option<String>,
    /// All controllers that have to know it do: it may be confirmed to a client.
    pub may_confirm: bool,
    /// Incarnation of the process that knows it, by controller; 0 for none.
    pub acknowledged_by: Vec<u64>,
}

/// Identifies a request by the process that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestStamp {
    /// Incarnation of the process that sent the request.
    pub incarnation: u64,
    /// When it was sent, on the monotonic clock of that process.
    pub sent: Micros,
}

/// A message.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// To all controllers, about twice a second.
    Ping {
        /// The sender reaches the state service.
        state_reachable: bool,
        /// Controllers from which the sender receives messages directly. A version that understands
        /// `CancellationsRequest` lists itself as well, and one that understands `KnowledgeRequest`
        /// lists `KNOWLEDGE_REPORTS`.
        receives_from: Vec<NodeId>,
        /// Users' changes that wait in the sender's write budget.
        queued_writes: u32,
        /// The sender has read the state since its process started.
        state_loaded: bool,
    },
    /// Cancellations that the receiver has not acknowledged, or that all controllers know by now.
    Cancellations(Vec<Cancellation>),
    /// Acknowledges cancellations: the sender acts on them.
    CancellationsAck {
        /// Jobs.
        jobs: Vec<JobId>,
        /// The term that the sender leads, if it leads one.
        leading_term: Option<u64>,
    },
    /// An envelope to forward, sent to a controller that receives messages from the receiver.
    Forward {
        /// Final receiver.
        to: NodeId,
        /// A packed `Envelope`.
        envelope: Vec<u8>,
    },
    /// A controller's view, to the leader: the changes since the `Sync` numbered `base`, which the
    /// leader acknowledged, so that a lost, delayed or duplicate one does no harm.
    Sync {
        /// Term of the leader that it is meant for.
        term: u64,
        /// Ascending number.
        seq: u64,
        /// The `Sync` that the leader has applied; 0 if none, then this is the whole view.
        base: u64,
        /// The last `Update` of that term that the sender has applied.
        acked_update: u64,
        /// Machines that changed.
        machines: Vec<MachineState>,
        /// Unchanged machines that reported, the time since their last contact, and the number of
        /// the report.
        contacts: Vec<(MachineId, Micros, HeartbeatSeq)>,
        /// Recorded machines that the sender does not hold, and whose workers reported to it
        /// recently.
        unleased_reports: Vec<UnleasedReport>,
        /// Outcomes that the leader has not acknowledged.
        outcomes: Vec<AssignmentOutcome>,
    },
    /// The leader's instructions to one controller: the changes since the `Update` numbered `base`,
    /// which the receiver acknowledged. A receiver that has not applied `base` ignores the message;
    /// its next `Sync` shows that.
    Update {
        /// Term.
        term: u64,
        /// Ascending number.
        seq: u64,
        /// The `Update` that the receiver has applied; 0 if none, then this is the whole state.
        base: u64,
        /// Incarnation of the receiver that it is meant for.
        incarnation: u64,
        /// The last `Sync` applied.
        acked_sync: u64,
        /// Duration of the block lease, from when that `Sync` was sent.
        lease: Micros,
        /// Machines of the receiver's block that are new or changed.
        block: Vec<GrantedMachine>,
        /// Machines that are not or no longer in the block, and the controller that holds each, if
        /// one does.
        not_in_block: Vec<(MachineId, Option<NodeId>)>,
        /// Assignments whose outcome the leader does not know.
        assignments: Vec<Assignment>,
        /// Stops requested.
        stops: Vec<StopRequest>,
        /// Counts of running tasks, for jobs whose count changed; for display only.
        running: Vec<(JobId, u32)>,
    },
    /// To the leader: a machine that the sender does not hold reported to it or answered a probe.
    MachineDiscovered {
        /// Machine.
        id: MachineId,
        /// Machine type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// It is a spot machine.
        spot: bool,
        /// Worker address.
        addr: String,
        /// Number of the report.
        report: HeartbeatSeq,
        /// The report answers a probe.
        probed: bool,
    },
    /// From the leader: probe this machine.
    Probe {
        /// Machine.
        id: MachineId,
        /// Worker address.
        addr: String,
    },
    /// From the leader to a standby replica: its placement log.
    PlacementLogUpdate(LogUpdate),
    /// From a standby replica: it has applied the placement log of a term up to this change.
    PlacementLogAck {
        /// Term.
        term: u64,
        /// Number of the last change applied.
        seq: u64,
    },
    /// From a new leader: requests the placement log of an earlier term.
    PlacementLogRequest {
        /// Term.
        term: u64,
    },
    /// To the new leader: the complete placement log of that term.
    PlacementLogSnapshot(LogUpdate),
    /// From an earlier version: requests all cancellations that the receiver knows.
    CancellationsRequest(RequestStamp),
    /// The answer to it: all cancellations that the sender knows and whose tasks may not be gone.
    CancellationsSnapshot {
        /// The request.
        request: RequestStamp,
        /// The sender knows every cancellation that was confirmed until this long ago.
        known_until_age: Micros,
        /// Cancellations.
        cancellations: Vec<Cancellation>,
    },
    /// From a process that can't read the state: requests the receiver's report of the cancellations
    /// that it knows. Sent only to a controller whose version understands it.
    KnowledgeRequest(RequestStamp),
    /// The answer to it.
    KnowledgeReport {
        /// The request.
        request: RequestStamp,
        /// Time since the sender's process started: it has kept what it acknowledged since.
        memory_age: Micros,
        /// The sender knows every cancellation that was confirmed until this long ago; `None` if there
        /// is no such time.
        known_until_age: Option<Micros>,
        /// All cancellations that the sender knows, whose tasks may not be gone, and that the receiver
        /// has not acknowledged.
        cancellations: Vec<Cancellation>,
    },
}

/// A frame's content.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// Sender.
    pub from: NodeId,
    /// Incarnation number of the sender's process (`incarnation_number`).
    pub incarnation: u64,
    /// Message.
    pub message: Message,
}

impl Envelope {
    /// Serializes the envelope, preceded by the version.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = vec![PROTOCOL_VERSION];
        out.extend(borsh::to_vec(self).unwrap_or_default());
        out
    }
    /// Deserializes an envelope of the same version.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        (*version == PROTOCOL_VERSION).then(|| borsh::from_slice(rest).ok())?
    }
}

/// Why a frame was rejected.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The body is longer than `MAX_FRAME_BYTES`.
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// The version is not `PROTOCOL_VERSION`.
    #[error("frame has protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u8),
    /// The body is not a valid message.
    #[error("frame holds no valid message: {0}")]
    Malformed(#[from] std::io::Error),
}

/// Bytes of a frame header: four for the length of the body, one for the version.
pub const FRAME_HEADER_LEN: usize = 5;

/// Encodes an envelope as a frame with header.
pub fn encode_frame(e: &Envelope) -> Result<Vec<u8>, FrameError> {
    let body = borsh::to_vec(e)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut out = Vec::with_capacity(body.len() + FRAME_HEADER_LEN);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.push(PROTOCOL_VERSION);
    out.extend_from_slice(&body);
    Ok(out)
}

/// Decodes a frame header; returns the length of the body in bytes.
pub fn decode_header(head: [u8; FRAME_HEADER_LEN]) -> Result<usize, FrameError> {
    let [a, b, c, d, version] = head;
    if version != PROTOCOL_VERSION {
        return Err(FrameError::Version(version));
    }
    let len = u32::from_le_bytes([a, b, c, d]) as usize;
    if len > MAX_FRAME_BYTES { Err(FrameError::TooLong(len)) } else { Ok(len) }
}

/// Decodes a frame body.
pub fn decode_body(body: &[u8]) -> Result<Envelope, FrameError> {
    Ok(borsh::from_slice(body)?)
}

/// The time that a process waits after its start before it takes its incarnation number, if the
/// wall clocks of two processes of one controller differ from true time by up to `clock_off` each.
///
/// The earlier process took its number no later than it exited, on a clock at most `clock_off`
/// ahead. The later process starts after that, and takes its number on a clock at most `clock_off`
/// behind. After a wait of twice `clock_off` and 2 ms, the later number is the higher one, however
/// quickly the process was restarted.
pub fn incarnation_delay(clock_off: Micros) -> Micros {
    clock_off.scale(2, 1) + Micros::millis(2)
}

/// The incarnation number of a process; later processes of a controller have higher numbers. The low
/// 8 bits are the salt.
pub fn incarnation_number(wall_ms: u64, salt: u64) -> u64 {
    (wall_ms << 8) | (salt & 0xff)
}

#[cfg(test)]
mod tests;
