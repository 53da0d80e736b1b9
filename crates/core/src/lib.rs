//! The scheduler as a state machine without I/O: it takes inputs, including the passing of time, and
//! returns the calls, messages and responses to send.
#![warn(missing_docs)]
pub mod cancellation_enforcer;
pub mod controller;
pub mod dependencies;
pub mod election;
pub mod extension;
pub mod fair_queue;
pub mod fleet;
pub mod jobs;
mod lateness;
pub mod leader;
pub mod limits;
pub mod liveness;
pub mod node;
pub mod peer;
pub mod placement;
pub mod placement_log;
pub mod state_listing;
pub mod token_bucket;

use crate::peer::Message;
use gorseshore_protocol::ids::{Micros, NodeId};

/// Identifies a request that this node has to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a call that this node made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The receiver of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// A worker, by its address.
    Worker(String),
}

/// A call to an outside system.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Receiver.
    pub target: Target,
    /// `GET`, `POST` or `DELETE`.
    pub method: &'static str,
    /// Path with query.
    pub path: String,
    /// JSON body; empty if there is none.
    pub body: Vec<u8>,
    /// The call fails without a response after this.
    pub timeout: Micros,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// A response was received.
    Response {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Nothing was sent, so the call cannot have had any effect.
    NotSent,
    /// There was no response: the call may have had its effect, or may still have it.
    Unknown,
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A request from a user or a worker.
    Request {
        /// Identifies the request.
        id: RequestId,
        /// Method.
        method: String,
        /// Path.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A request on the extension's address.
    ExtensionRequest {
        /// Identifies the request.
        id: RequestId,
        /// Method.
        method: String,
        /// Path with query.
        path: String,
        /// The token of the request.
        token: Option<String>,
        /// Body.
        body: Vec<u8>,
    },
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// A call completed.
    CallCompleted {
        /// The call.
        id: CallId,
        /// Its result.
        result: CallResult,
    },
    /// Another controller's host refused a connection: the host runs, but not the process.
    PeerRefused(NodeId),
    /// A message from another controller.
    Peer {
        /// Sender.
        from: NodeId,
        /// Incarnation number of the sender's process.
        incarnation: u64,
        /// Message.
        message: Message,
    },
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Responds to a request.
    Response {
        /// The request.
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Vec<u8>,
        /// `Retry-After`, in seconds.
        retry_after: Option<u32>,
    },
    /// Responds to a request on the extension's address.
    ExtensionResponse(RequestId, extension::Answer),
    /// Starts a streaming response.
    StreamOpen(RequestId, extension::Answer),
    /// Continues a streaming response.
    StreamChunk(RequestId, Vec<u8>),
    /// Ends a streaming response.
    StreamClose(RequestId),
    /// Makes a call.
    Call {
        /// Identifies the call.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Sends a message to another controller.
    Send {
        /// Receiver.
        to: NodeId,
        /// Message.
        message: Message,
    },
}

/// Collects outputs and numbers calls.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Outputs in order.
    pub items: Vec<Output>,
    next_call: u64,
}
impl Outbox {
    /// Adds a call.
    pub fn call(&mut self, call: Call) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.items.push(Output::Call { id, call });
        id
    }
    /// Adds a response.
    pub fn respond(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.items.push(Output::Response { id, status, body, retry_after: None });
    }
    /// Adds a 503 response that asks the client to retry after one second.
    pub fn respond_unavailable(&mut self, id: RequestId, reason: &str) {
        let body = gorseshore_protocol::users::error_body(reason);
        self.items.push(Output::Response { id, status: 503, body, retry_after: Some(1) });
    }
    /// Adds a message.
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.items.push(Output::Send { to, message });
    }
}
