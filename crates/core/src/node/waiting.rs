//! What users asked for and is not answered yet, and its part of the budgets.
//! Invariant: an answer that is not final waits here for proof that the mirror
//! is up to date, and a change for its turn.
use crate::RequestId;
use crate::guest::Ticket;
use crate::rate::Bucket;
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::state::Transaction;
use std::collections::VecDeque;

/// Most requests that wait, of each sort.
pub(super) const MAX_WAITING: usize = 2000;

/// A user's request that waits for proof that the mirror is up to date.
#[derive(Debug)]
pub(super) enum Waiter {
    Poll(RequestId, JobId),
    /// A submission whose job may be known; its checked form.
    Submit(RequestId, JobId, Box<Result<JobSpec, (u16, String)>>),
    Abort(RequestId, JobId),
    /// The guest's.
    Guest(Ticket),
}

impl Waiter {
    /// Whom it is for: a request, or the guest.
    pub(super) fn asker(&self) -> Result<RequestId, Ticket> {
        match self {
            Waiter::Poll(r, _) | Waiter::Submit(r, ..) | Waiter::Abort(r, _) => Ok(*r),
            Waiter::Guest(t) => Err(*t),
        }
    }
}

/// A user's change that waits for its turn in the write budget.
#[derive(Debug)]
pub(super) enum UserWrite {
    Submit(RequestId, Box<JobSpec>),
    /// With the record of the end.
    Abort(RequestId, JobId, serde_json::Value),
    /// The guest's; with `true` only under the leader's key.
    Guest(Ticket, Box<Transaction>, bool),
}

/// Waiting requests and changes.
#[derive(Debug)]
pub(super) struct Users {
    /// For proof that the mirror is up to date; until when.
    pub waiters: Vec<(Waiter, Micros)>,
    /// For their turn in the budget of changes; until when.
    pub writes: VecDeque<(UserWrite, Micros)>,
    pub bucket: Bucket,
    /// The proof was asked for.
    pub barrier_open: bool,
    pub barrier_bucket: Bucket,
}

impl Users {
    /// With this node's part of changes and requests a second.
    pub fn new(changes: f64, requests: f64, now: Micros) -> Self {
        Users {
            waiters: Vec::new(),
            writes: VecDeque::new(),
            bucket: Bucket::new(changes, changes, now),
            barrier_open: false,
            barrier_bucket: Bucket::new(requests * 0.45, requests * 0.2, now),
        }
    }

    /// Takes out those that waited too long.
    pub fn expired(&mut self, now: Micros) -> Vec<Waiter> {
        let (late, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiters).into_iter().partition(|(_, until)| now >= *until);
        self.waiters = waiting;
        late.into_iter().map(|(w, _)| w).collect()
    }

    /// This node's part of the budget for users' changes: an equal one, or,
    /// when more wait here than elsewhere, what the others leave.
    pub fn share_budget(&mut self, others: u32, nodes: usize, changes: f64) {
        let queued = self.writes.len() as u32;
        let equal = 1.0 / nodes as f64;
        let part = (queued as f64 / (queued + others).max(1) as f64).max(equal);
        let rate = changes * 0.9 * part;
        self.bucket.set_rate(rate, rate);
    }
}
