//! Interface of an extension: a subsystem that runs beside the scheduler and shares its state
//! replica, read barriers and budgets, such as an API for another job file format. It has its own
//! key space and its own address.
//!
//! Invariant: an extension changes the scheduler's records only through conditional writes, which
//! count against the clients' write budget.
use crate::jobs::StateReplica;
use crate::{CallResult, RequestId};
use gorseshore_protocol::cloud::Flavor;
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::state::Transaction;
use gorseshore_settings::Team;
use serde_json::Value;
use std::collections::BTreeMap;

/// Identifies a pending operation of the extension.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// What the extension sees of the node.
pub struct ExtensionContext<'a> {
    /// Monotonic clock.
    pub now: Micros,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
    /// The state replica.
    pub replica: &'a StateReplica,
    /// Number of running tasks by job, for display.
    pub running: &'a BTreeMap<JobId, u32>,
    /// Machine types; empty until they are known.
    pub flavors: &'a [Flavor],
    /// Teams.
    pub teams: &'a [Team],
    /// The state replica has been up to date at least once.
    pub state_loaded: bool,
    /// The last call to the state service failed, a moment ago.
    pub state_unavailable: bool,
    /// This node leads.
    pub leads: bool,
    /// The leader's name, if there is a leader.
    pub leader: Option<&'a str>,
    /// This node's name.
    pub node_name: &'a str,
    /// Longest value in bytes.
    pub max_value_bytes: usize,
    /// Most writes in a transaction.
    pub max_txn_writes: usize,
}

/// Inputs to the extension.
#[derive(Debug, Clone)]
pub enum ExtensionInput {
    /// Time passed.
    Tick,
    /// The state replica applied events.
    ReplicaUpdated,
    /// A request on the extension's address.
    Request {
        /// Identifies the request.
        id: RequestId,
        /// Method.
        method: String,
        /// Path with query.
        path: String,
        /// The token in the request.
        token: Option<String>,
        /// Body.
        body: Vec<u8>,
    },
    /// The client of this request disconnected.
    ClientDisconnected(RequestId),
    /// A read barrier ended; `true` if the state replica was up to date at some time after the
    /// request for it.
    ReadBarrierDone(OperationId, bool),
    /// A write or a read ended.
    OperationCompleted(OperationId, CallResult),
}

/// Actions that the extension requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ExtensionOutput {
    /// Sends a complete response.
    Answer(RequestId, Answer),
    /// Starts a streamed response.
    Open(RequestId, Answer),
    /// Sends a chunk of the stream.
    Chunk(RequestId, Vec<u8>),
    /// Ends the stream.
    Close(RequestId),
    /// Starts a read barrier.
    ReadBarrier(OperationId),
    /// Reads the keys with this prefix from the state service.
    Read(OperationId, String),
    /// Writes; with `as_leader` only while this node holds the leader key.
    Write {
        /// Identifies the write.
        ticket: OperationId,
        /// The transaction.
        multi: Transaction,
        /// The leader key is added to the conditions.
        as_leader: bool,
    },
}

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Vec<u8>,
}

/// An extension.
pub trait Extension {
    /// The state replica was read from the start and is complete as of revision `floor`; what was
    /// removed before is unknown.
    fn reset(&mut self, floor: u64);
    /// A key of the extension's key space changed; `None` if it was removed.
    fn apply(&mut self, name: &str, value: Option<&Value>, revision: u64);
    /// A record changed of a job whose id was assigned by the service.
    fn job_changed(&mut self, id: JobId, revision: u64);
    /// Whether the extension still needs the records of an ended job whose id was assigned by the
    /// service.
    fn refers_to(&self, id: JobId) -> bool;
    /// Handles an input; returns the actions to take.
    fn handle(&mut self, context: &ExtensionContext<'_>, input: ExtensionInput) -> Vec<ExtensionOutput>;
}
