//! What a client's query of a job waits for, and the log lines that tell it.
//!
//! Invariant: a query is refused only with one of these reasons, each with the party that owes the
//! next step; lines are bounded per interval of the `status` line.
use super::*;
use std::fmt;

/// Most lines about refused queries per interval of the `status` line.
const MAX_LINES_PER_INTERVAL: u32 = 20;

/// What the confirmation of a cancellation waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ConfirmationWait {
    /// The state replica has not reached the cancellation's record.
    ReplicaBehind { record: u64, applied: u64 },
    /// These controllers are in contact and have not acknowledged it.
    Acknowledgements(Vec<NodeId>),
    /// The leader of the latest known term has not guaranteed that no start follows.
    Guarantee { leader: Option<NodeId>, term: u64, guaranteed_term: u64 },
    /// No path to a leader is known.
    NoPathToLeader { leader: Option<NodeId> },
}

impl fmt::Display for ConfirmationWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |n: &Option<NodeId>| n.map_or("none".to_owned(), |n| n.0.to_string());
        match self {
            ConfirmationWait::ReplicaBehind { record, applied } => {
                write!(f, "waits_for=replica record={record} applied={applied}")
            }
            ConfirmationWait::Acknowledgements(missing) => {
                let missing: Vec<String> = missing.iter().map(|n| n.0.to_string()).collect();
                write!(f, "waits_for=acknowledgements controllers={}", missing.join(","))
            }
            ConfirmationWait::Guarantee { leader, term, guaranteed_term } => {
                write!(
                    f,
                    "waits_for=guarantee leader={} term={term} guaranteed_term={guaranteed_term}",
                    name(leader)
                )
            }
            ConfirmationWait::NoPathToLeader { leader } => {
                write!(f, "waits_for=path_to_leader leader={}", name(leader))
            }
        }
    }
}

/// Bounds the lines about refused queries.
#[derive(Debug, Default)]
pub(super) struct QueryLog {
    lines: u32,
    interval_start: Micros,
}

impl QueryLog {
    /// Whether one more line may be written in this interval.
    fn takes_line(&mut self, now: Micros) -> bool {
        if now.since(self.interval_start) >= status::STATUS_INTERVAL {
            *self = QueryLog { lines: 0, interval_start: now };
        }
        self.lines += 1;
        self.lines <= MAX_LINES_PER_INTERVAL
    }
}

impl Node {
    /// Logs a query that is refused because a cancellation is not confirmed.
    pub(super) fn log_unconfirmed(&mut self, job: JobId, known_for: Micros, wait: &ConfirmationWait) {
        if self.query_log.takes_line(self.now) {
            info!("query refused job={job} known_ms={} {wait}", known_for.0 / 1000);
        }
    }

    /// Logs a query for which no read barrier completed.
    pub(super) fn log_unproved(&mut self, job: JobId, reason: RefusalReason) {
        if self.query_log.takes_line(self.now) {
            let replica = &self.replica_sync;
            info!(
                "query refused job={job} waits_for=read_barrier reason={} in_flight={} listed={} waiting={} revision={}",
                reason.key(),
                self.pending.barrier_in_flight,
                replica.listed,
                self.pending.waiters.len(),
                replica.replica.applied_revision,
            );
        }
    }

    /// Logs why a query was answered from the state replica.
    pub(super) fn log_answer(&self, job: JobId, stage: &str) {
        debug!(
            "query answered job={job} stage={stage} term={} revision={} barrier_age_us={}",
            self.leader_term(),
            self.replica_sync.replica.applied_revision,
            self.status.barrier_age(self.now).0,
        );
    }
}
