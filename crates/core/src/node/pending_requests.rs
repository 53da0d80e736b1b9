//! Clients' requests that are not answered yet, and this node's part of the budgets.
//! Invariant: a response that is not final waits here for a read barrier, and a write for its turn
//! in the budget.
use crate::RequestId;
use crate::extension::OperationId;
use crate::token_bucket::TokenBucket;
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::state::Transaction;
use std::collections::VecDeque;

/// Most waiting requests of each kind.
pub(super) const MAX_PENDING: usize = 2000;

/// A request that waits for a read barrier.
#[derive(Debug)]
pub(super) enum Waiter {
    Poll(RequestId, JobId),
    /// A submission whose job may exist already, with the result of its validation.
    Submit(RequestId, JobId, Box<Result<JobSpec, (u16, String)>>),
    Abort(RequestId, JobId),
    /// A read barrier of the extension.
    Extension(OperationId),
}

impl Waiter {
    /// The client's request, or the extension's operation.
    pub(super) fn requester(&self) -> Result<RequestId, OperationId> {
        match self {
            Waiter::Poll(r, _) | Waiter::Submit(r, ..) | Waiter::Abort(r, _) => Ok(*r),
            Waiter::Extension(t) => Err(*t),
        }
    }
}

/// A write that waits for its turn in the write budget.
#[derive(Debug)]
pub(super) enum PendingWrite {
    Submit(RequestId, Box<JobSpec>),
    /// With the record of the job's end.
    Abort(RequestId, JobId, serde_json::Value),
    /// Of the extension; `true`: only under the leader key.
    Extension(OperationId, Box<Transaction>, bool),
}

/// Waiting requests and writes.
#[derive(Debug)]
pub(super) struct PendingRequests {
    /// Requests that wait for a read barrier, and until when.
    pub waiters: Vec<(Waiter, Micros)>,
    /// Writes that wait for their turn in the write budget, and until when.
    pub writes: VecDeque<(PendingWrite, Micros)>,
    pub write_bucket: TokenBucket,
    /// A read barrier is in flight.
    pub barrier_in_flight: bool,
    pub barrier_bucket: TokenBucket,
}

impl PendingRequests {
    /// Creates the queues with this node's part of the writes and requests per second.
    pub fn new(writes_per_s: f64, requests_per_s: f64, now: Micros) -> Self {
        PendingRequests {
            waiters: Vec::new(),
            writes: VecDeque::new(),
            write_bucket: TokenBucket::new(writes_per_s, writes_per_s, now),
            barrier_in_flight: false,
            barrier_bucket: TokenBucket::new(requests_per_s * 0.45, requests_per_s * 0.2, now),
        }
    }

    /// Takes out the requests whose time is up.
    pub fn take_expired(&mut self, now: Micros) -> Vec<Waiter> {
        let (expired, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiters).into_iter().partition(|(_, until)| now >= *until);
        self.waiters = waiting;
        expired.into_iter().map(|(w, _)| w).collect()
    }

    /// Sets this node's part of the budget for clients' writes: an equal one, or, when more writes
    /// wait here than at the other controllers, what those leave.
    pub fn share_budget(&mut self, others: u32, nodes: usize, writes_per_s: f64) {
        let queued = self.writes.len() as u32;
        let equal = 1.0 / nodes as f64;
        let part = (queued as f64 / (queued + others).max(1) as f64).max(equal);
        let rate = writes_per_s * 0.9 * part;
        self.write_bucket.set_rate(rate, rate);
    }
}
