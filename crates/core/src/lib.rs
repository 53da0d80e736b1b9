//! The service without input or output: a state machine that takes inputs,
//! time among them, and returns what to send, ask and answer.
#![warn(missing_docs)]
pub mod books;
pub mod controller;
pub mod dependencies;
pub mod deputy;
pub mod election;
pub mod fair_queue;
pub mod fleet;
pub mod guest;
pub mod jobs;
mod lateness;
pub mod leader;
pub mod limits;
pub mod liveness;
pub mod node;
pub mod peer;
pub mod placement;
pub mod rate;

use crate::peer::Message;
use gorseshore_protocol::ids::{Micros, NodeId};

/// Names a request that waits for an answer from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Names a call that this node made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Whom a call goes to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// State service.
    State,
    /// Cloud.
    Cloud,
    /// A worker.
    Worker(String),
}

/// A call to an outside system.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Whom.
    pub target: Target,
    /// `GET`, `POST` or `DELETE`.
    pub method: &'static str,
    /// Path with query.
    pub path: String,
    /// JSON body, empty for none.
    pub body: Vec<u8>,
    /// Given up after this.
    pub timeout: Micros,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// An answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Nothing was sent: it can't have happened.
    NotSent,
    /// No answer: it may have happened, or may happen still.
    Unknown,
}

/// What comes in.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time went on.
    Tick,
    /// A request from a user or a worker.
    Request {
        /// Its name.
        id: RequestId,
        /// Method.
        method: String,
        /// Path.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A request on the guest's address.
    GuestRequest {
        /// Its name.
        id: RequestId,
        /// Method.
        method: String,
        /// Path with query.
        path: String,
        /// The token that it carries.
        token: Option<String>,
        /// Body.
        body: Vec<u8>,
    },
    /// The requester went away.
    Gone(RequestId),
    /// A call ended.
    Called {
        /// Which.
        id: CallId,
        /// How.
        result: CallResult,
    },
    /// Another controller's host refused a connection: it is up, its process
    /// is not.
    Refused(NodeId),
    /// A message from another controller.
    Peer {
        /// Sender.
        from: NodeId,
        /// Sender's process.
        incarnation: u64,
        /// Message.
        message: Message,
    },
}

/// What goes out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answers a request.
    Answer {
        /// Which.
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Vec<u8>,
        /// `Retry-After`, in seconds.
        retry_after: Option<u32>,
    },
    /// Answers a request on the guest's address.
    GuestAnswer(RequestId, guest::Answer),
    /// Begins an answer without end.
    Open(RequestId, guest::Answer),
    /// Goes on with it.
    Chunk(RequestId, Vec<u8>),
    /// Ends it.
    Close(RequestId),
    /// Makes a call.
    Call {
        /// Its name.
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

/// Collects outputs and names calls.
#[derive(Debug, Default)]
pub struct Outbox {
    /// What to do.
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
    /// Adds an answer.
    pub fn answer(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.items.push(Output::Answer { id, status, body, retry_after: None });
    }
    /// Adds an answer that asks the user to come back.
    pub fn later(&mut self, id: RequestId, reason: &str) {
        let body = gorseshore_protocol::users::error_body(reason);
        self.items.push(Output::Answer { id, status: 503, body, retry_after: Some(1) });
    }
    /// Adds a message.
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.items.push(Output::Send { to, message });
    }
}
