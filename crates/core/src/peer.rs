//! What controllers say to each other: borsh messages, framed by a length and
//! a version, one way on a connection that the sender opens.
use crate::books::Page;
use borsh::{BorshDeserialize, BorshSerialize};
use gorseshore_protocol::ids::{Attempt, FencingToken, JobId, MachineId, Micros, NodeId, TaskId};
use gorseshore_protocol::workers::HeartbeatSeq;
use thiserror::Error;

pub mod inbox;
pub mod pacing;

/// Version of the messages; a frame of another version is refused.
pub const VERSION: u8 = 5;
/// Longest frame taken.
pub const MAX_FRAME: usize = 16 << 20;

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TaskState {
    /// A start was sent and is neither seen nor refuted.
    Starting,
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Saves.
    Saving,
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Failed,
    /// Its start was refused.
    Refused,
}
impl TaskState {
    /// Whether it ended.
    pub fn exited(self) -> bool {
        matches!(self, Self::Done | Self::Stopped | Self::Failed | Self::Refused)
    }
}

/// A task on a machine.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Held {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// State.
    pub state: TaskState,
}

/// A machine as its controller knows it.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MachineState {
    /// Machine.
    pub id: MachineId,
    /// Token under which the sender holds it.
    pub baton: FencingToken,
    /// Highest token its worker was seen to know.
    pub seen_baton: FencingToken,
    /// Its last report.
    pub last: HeartbeatSeq,
    /// That report shows that the worker hears: it came in answer to a call, stayed
    /// with its controller, or has the grant's token for the first time.
    pub obeys: bool,
    /// How long ago it was heard; `None` if never by this controller.
    pub heard_ago: Option<Micros>,
    /// Spot notice.
    pub warning: Option<Micros>,
    /// The controller wants a higher token: a start of a task that must not
    /// run may still arrive.
    pub want_baton: bool,
    /// Tasks, starts that are not settled among them.
    pub tasks: Vec<Held>,
}

/// A report of a recorded machine that the sender does not hold.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Sighting {
    /// Machine.
    pub id: MachineId,
    /// The report.
    pub report: HeartbeatSeq,
    /// The worker answered the sender's question, so that it is well now; a
    /// check-in may be a copy of one that is long past.
    pub asked: bool,
}

/// What became of a hand-out.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Outcome {
    /// The hand-out.
    pub attempt: Attempt,
    /// Where it was started, or `None` if it never was and never will be.
    pub machine: Option<MachineId>,
}

/// A machine granted to a controller.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct GrantedMachine {
    /// Machine.
    pub id: MachineId,
    /// Token.
    pub baton: FencingToken,
    /// Worker address.
    pub addr: String,
    /// Draining: start nothing on it.
    pub draining: bool,
}

/// A task handed out.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct HandOut {
    /// Task.
    pub task: TaskId,
    /// Attempt, above the token of every machine that it may go to.
    pub attempt: Attempt,
    /// The only zone it may go to.
    pub zone: Option<String>,
    /// The machine that the leader reserved room on.
    pub hint: MachineId,
}

/// A stop that the leader asks for.
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

/// A cancellation that is on record in the state service.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Cancellation {
    /// Job.
    pub job: JobId,
    /// Its end's time of day, in milliseconds.
    pub at_ms: u64,
    /// Version of the record of the end.
    pub stamp: u64,
    /// Why it was ended by the service, if it was.
    pub cause: Option<String>,
    /// Everybody who has to know does: a user may be told of it.
    pub told: bool,
    /// Processes that know of it, by controller; 0 for none.
    pub known_by: Vec<u64>,
}

/// A message.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Message {
    /// To everybody, about twice a second.
    Ping {
        /// The sender reaches the state service.
        state_ok: bool,
        /// Nodes that it hears directly.
        hears: Vec<NodeId>,
        /// Users' changes that wait for their turn in the sender's budget.
        queued: u32,
        /// The sender has read the state in this life.
        loaded: bool,
    },
    /// Cancellations that the receiver has not acknowledged, or that all know of now.
    Cancelled(Vec<Cancellation>),
    /// The sender acts on these cancellations.
    CancelledKnown {
        /// Jobs.
        jobs: Vec<JobId>,
        /// The term that it leads, if it leads one.
        leads: Option<u64>,
    },
    /// To a node that hears the receiver: a `Envelope` to be passed on.
    Forward {
        /// Receiver.
        to: NodeId,
        /// A `Envelope`.
        envelope: Vec<u8>,
    },
    /// A controller's view, to the leader: what changed since the `Sync`
    /// numbered `base`, which the leader acknowledged, so that a lost, late or
    /// repeated one does no harm.
    Sync {
        /// The leader's term that it is meant for.
        term: u64,
        /// Counts up.
        seq: u64,
        /// What the leader has taken; 0: nothing, this is the whole view.
        base: u64,
        /// The last `Update` of that term taken.
        seen: u64,
        /// Machines that changed.
        machines: Vec<MachineState>,
        /// Machines that were heard and did not change, how long ago, and by which
        /// report.
        heard: Vec<(MachineId, Micros, HeartbeatSeq)>,
        /// Recorded machines whose workers lately reported to the sender, which
        /// does not hold them.
        strangers: Vec<Sighting>,
        /// Hand-outs that the leader has not acknowledged.
        outcomes: Vec<Outcome>,
    },
    /// The leader's orders to one controller: what changed since the `Update`
    /// numbered `base`, which the receiver acknowledged. A receiver that has
    /// not taken `base` leaves the message; its next `Sync` says so.
    Update {
        /// Term.
        term: u64,
        /// Counts up.
        seq: u64,
        /// What the receiver has taken; 0: nothing, this is all there is.
        base: u64,
        /// The receiver's incarnation that it is meant for.
        incarnation: u64,
        /// The last `Sync` taken.
        ack: u64,
        /// Block lease, counted from the sending of that `Sync`.
        lease: Micros,
        /// Machines of the receiver's block that are new or changed.
        block: Vec<GrantedMachine>,
        /// Machines that others hold, or nobody: not of the block (any more).
        elsewhere: Vec<(MachineId, Option<NodeId>)>,
        /// Hand-outs whose outcome the leader does not know.
        handouts: Vec<HandOut>,
        /// Stops wanted.
        stops: Vec<StopRequest>,
        /// Running tasks of jobs whose number changed, for display.
        running: Vec<(JobId, u32)>,
    },
    /// To the leader: a machine that the sender does not hold reported to it
    /// (or answered a probe).
    Seen {
        /// Machine.
        id: MachineId,
        /// Type.
        build: String,
        /// Zone.
        zone: String,
        /// Spot.
        spot: bool,
        /// Worker address.
        addr: String,
        /// The report.
        report: HeartbeatSeq,
        /// The worker was asked, and answered.
        asked: bool,
    },
    /// From the leader: ask this machine for its status.
    Probe {
        /// Machine.
        id: MachineId,
        /// Worker address.
        addr: String,
    },
    /// From the leader to a witness: its books.
    Books(Page),
    /// From a witness: the books of that term are taken up to this change.
    BooksTaken {
        /// Term.
        term: u64,
        /// Number of the last change taken.
        seq: u64,
    },
    /// From a new leader: the books of an earlier term are wanted.
    BooksWanted {
        /// Term.
        term: u64,
    },
    /// To the new leader: the whole books of that term.
    BooksOf(Page),
}

/// A frame's content.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// Sender.
    pub from: NodeId,
    /// Number drawn when the sender's process started.
    pub incarnation: u64,
    /// Message.
    pub message: Message,
}

impl Envelope {
    /// As bytes, behind the version.
    pub fn pack(&self) -> Vec<u8> {
        let mut out = vec![VERSION];
        out.extend(borsh::to_vec(self).unwrap_or_default());
        out
    }
    /// From bytes of the same version.
    pub fn unpack(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        (*version == VERSION).then(|| borsh::from_slice(rest).ok())?
    }
}

/// Why a frame was refused.
#[derive(Debug, Error)]
pub enum FrameError {
    /// Too long.
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    /// Another version.
    #[error("version {0} is not {VERSION}")]
    Version(u8),
    /// Not a message.
    #[error("not a message: {0}")]
    Malformed(#[from] std::io::Error),
}

/// Length of a frame's head: four bytes of length, one of version.
pub const HEAD: usize = 5;

/// Builds a frame.
pub fn encode(e: &Envelope) -> Result<Vec<u8>, FrameError> {
    let body = borsh::to_vec(e)?;
    if body.len() > MAX_FRAME {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut out = Vec::with_capacity(body.len() + HEAD);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.push(VERSION);
    out.extend_from_slice(&body);
    Ok(out)
}

/// Reads a frame's head; the length of its body.
pub fn decode_head(head: [u8; HEAD]) -> Result<usize, FrameError> {
    let [a, b, c, d, version] = head;
    if version != VERSION {
        return Err(FrameError::Version(version));
    }
    let len = u32::from_le_bytes([a, b, c, d]) as usize;
    if len > MAX_FRAME { Err(FrameError::TooLong(len)) } else { Ok(len) }
}

/// Reads a frame's body.
pub fn decode_body(body: &[u8]) -> Result<Envelope, FrameError> {
    Ok(borsh::from_slice(body)?)
}

/// How long a process waits after its start before it takes its number, where
/// the times of day of two processes of one controller differ from true time by
/// up to `clock_off` each.
///
/// An earlier process took its own no later than its end, on a clock that was at
/// most `clock_off` ahead; this one starts after that end and takes its number on
/// one that is at most `clock_off` behind. After twice as long, and a little, the
/// later number is the higher one, however quickly the process came back.
pub fn before_number(clock_off: Micros) -> Micros {
    clock_off.scale(2, 1) + Micros::millis(2)
}

/// A process's number: later processes of a controller have higher ones.
pub fn process_number(wall_ms: u64, salt: u64) -> u64 {
    (wall_ms << 8) | (salt & 0xff)
}

#[cfg(test)]
mod tests;
