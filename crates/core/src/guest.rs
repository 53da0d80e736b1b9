//! A subsystem that lives beside the scheduler on the same mirror, the same
//! proof of being up to date and the same budgets: another form of job files,
//! for one. It has a space of keys of its own and an address of its own.
//!
//! Invariant: a guest changes nothing of the scheduler's but through writes
//! with conditions, which go through the users' budget.
use crate::jobs::StateReplica;
use crate::{CallResult, RequestId};
use gorseshore_protocol::cloud::Flavor;
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::state::Transaction;
use gorseshore_settings::Team;
use serde_json::Value;
use std::collections::BTreeMap;

/// Names what a guest waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a guest sees of the node.
pub struct Host<'a> {
    /// Steady clock.
    pub now: Micros,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
    /// The mirror.
    pub ledger: &'a StateReplica,
    /// Running tasks of jobs, for display.
    pub running: &'a BTreeMap<JobId, u32>,
    /// Machine types; empty until they are known.
    pub flavors: &'a [Flavor],
    /// Teams.
    pub teams: &'a [Team],
    /// The mirror was up to date once.
    pub loaded: bool,
    /// The state service's last word was a refusal, just now.
    pub state_refuses: bool,
    /// This node leads.
    pub leads: bool,
    /// The leader's name, if there is one.
    pub leader: Option<&'a str>,
    /// This node's name.
    pub me: &'a str,
    /// Longest value in bytes.
    pub value_limit: usize,
    /// Most changes in a transaction.
    pub changes_at_once: usize,
}

/// What comes in.
#[derive(Debug, Clone)]
pub enum GuestInput {
    /// Time went on.
    Tick,
    /// The mirror went on.
    News,
    /// A request on the guest's address.
    Request {
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
    /// The proof that was asked for: whether the mirror was up to date after
    /// the asking.
    Proved(Ticket, bool),
    /// A write or a read ended.
    Called(Ticket, CallResult),
}

/// What goes out.
#[derive(Debug, Clone, PartialEq)]
pub enum GuestOutput {
    /// Answers a request, whole.
    Answer(RequestId, Answer),
    /// Begins an answer without end.
    Open(RequestId, Answer),
    /// Goes on with it.
    Chunk(RequestId, Vec<u8>),
    /// Ends it.
    Close(RequestId),
    /// Asks for proof that the mirror is up to date.
    Prove(Ticket),
    /// Reads keys with a prefix from the state service.
    Read(Ticket, String),
    /// Writes; with `as_leader` only while this node holds the leader's key.
    Write {
        /// Name.
        ticket: Ticket,
        /// The transaction.
        multi: Transaction,
        /// The leader's key is among the conditions.
        as_leader: bool,
    },
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body.
    pub body: Vec<u8>,
}

/// The subsystem.
pub trait Guest {
    /// The mirror is read anew; it is complete as of revision `floor`, and of
    /// what was removed before nothing is known.
    fn begin(&mut self, floor: u64);
    /// A key of the guest's space; `None` for a removal.
    fn apply(&mut self, name: &str, value: Option<&Value>, stamp: u64);
    /// A record of a job with an id of the service's own changed.
    fn job_changed(&mut self, id: JobId, stamp: u64);
    /// Takes an input; what to do about it.
    fn handle(&mut self, host: &Host<'_>, input: GuestInput) -> Vec<GuestOutput>;
}
