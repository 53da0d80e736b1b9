//! Counters of one controller for its operators, and the `status` line that shows them.
//!
//! Every client's query of a job is recorded when it arrives and when it is answered, so that the
//! line shows how many were answered, why the others were not, and how long the oldest has been
//! waiting. Counters restart with each line.
use crate::{CallResult, Output, RequestId};
use gorseshore_protocol::ids::{JobId, Micros};
use std::collections::BTreeMap;
use std::fmt;

/// How often a `status` line is due.
pub(super) const STATUS_INTERVAL: Micros = Micros::secs(10);
/// How often `Input::Tick` is due.
const TICK_INTERVAL: Micros = Micros::millis(20);
/// Ticks further apart than this show that the process is late, and so are its timeouts.
const MAX_TICK_DELAY: Micros = Micros::millis(250);
/// A query is answered or refused within this by a process that is not late: its wait for a read
/// barrier, the barrier's call, and the wait for a cancellation's confirmation are bounded.
const MAX_QUERY_WAIT: Micros = Micros::secs(5);

/// Why a client gets 503 and has to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RefusalReason {
    /// This process has not read the state service's keys yet.
    StateUnread,
    /// The state service's last call failed a moment ago.
    StateRefused,
    /// The maximum number of requests already waits.
    TooManyWaiting,
    /// The read barrier did not complete in time.
    ReadBarrierFailed,
    /// The rows of a job that is not in the state replica could not be read in time.
    JobUnread,
    /// A write waited too long for its part of the write budget.
    WriteBudget,
    /// The state service did not confirm a write.
    WriteUnconfirmed,
    /// Some controller may not know of a cancellation yet.
    CancellationUnconfirmed,
    /// The machine types are not known yet.
    MachineTypesUnknown,
    /// For the load balancer's health check: this controller does not serve clients.
    NotReady,
}

impl RefusalReason {
    /// The error text that the client gets.
    pub(super) fn message(self) -> &'static str {
        match self {
            RefusalReason::StateUnread
            | RefusalReason::StateRefused
            | RefusalReason::TooManyWaiting
            | RefusalReason::ReadBarrierFailed
            | RefusalReason::JobUnread => "the state service can't be asked",
            RefusalReason::WriteBudget => "the state service is slow",
            RefusalReason::WriteUnconfirmed => "the state service did not confirm it",
            RefusalReason::CancellationUnconfirmed => "not every controller knows of the cancellation yet",
            RefusalReason::MachineTypesUnknown => "the machine types are not known yet",
            RefusalReason::NotReady => "not ready",
        }
    }

    /// The reason's name in the `status` line.
    pub(super) fn key(self) -> &'static str {
        match self {
            RefusalReason::StateUnread => "state_unread",
            RefusalReason::StateRefused => "state_refused",
            RefusalReason::TooManyWaiting => "too_many_waiting",
            RefusalReason::ReadBarrierFailed => "proof_failed",
            RefusalReason::JobUnread => "job_unread",
            RefusalReason::WriteBudget => "write_budget",
            RefusalReason::WriteUnconfirmed => "write_unconfirmed",
            RefusalReason::CancellationUnconfirmed => "cancellation_unconfirmed",
            RefusalReason::MachineTypesUnknown => "machine_types_unknown",
            RefusalReason::NotReady => "not_ready",
        }
    }
}

/// Read barriers by result.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct BarrierOutcomes {
    proved: u32,
    /// 429: the request budget was exceeded.
    limited: u32,
    /// 410: the state replica is too far behind.
    too_old: u32,
    /// Any other status of the service.
    refused: u32,
    /// No response in time, or no connection.
    unanswered: u32,
}

/// A job query that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct OpenQuery {
    job: JobId,
    since: Micros,
    /// Its wait was reported as a violation.
    reported: bool,
}

/// Counters and gauges of one controller.
#[derive(Debug)]
pub(super) struct ServiceStatus {
    interval_start: Micros,
    last_tick: Micros,
    /// The longest delay of a tick.
    tick_late: Micros,
    /// Job queries that are not answered yet.
    open_polls: BTreeMap<RequestId, OpenQuery>,
    /// The last tick that was late.
    last_late_tick: Option<Micros>,
    polls_answered: u32,
    polls_refused: u32,
    /// The client disconnected first.
    polls_abandoned: u32,
    refused: BTreeMap<RefusalReason, u32>,
    barrier_sent_at: Micros,
    slowest_barrier: Micros,
    barriers: BarrierOutcomes,
    caught_up_at: Micros,
    violations: u64,
}

/// Gauges of the `status` line.
#[derive(Debug, Clone, Copy)]
pub(super) struct Gauges {
    pub revision: u64,
    pub ready: bool,
    pub machines_held: usize,
    pub leader: Option<u8>,
    pub term: u64,
    /// Exited tasks that wait for a higher fencing token before they can be cleared.
    pub exits_waiting: usize,
    /// Attempts that were reported again after they were cleared; this counter does not restart.
    pub attempts_reappeared: u64,
}

impl ServiceStatus {
    pub(super) fn new(now: Micros) -> Self {
        ServiceStatus {
            interval_start: now,
            last_tick: now,
            tick_late: Micros(0),
            open_polls: BTreeMap::new(),
            last_late_tick: None,
            polls_answered: 0,
            polls_refused: 0,
            polls_abandoned: 0,
            refused: BTreeMap::new(),
            barrier_sent_at: now,
            slowest_barrier: Micros(0),
            barriers: BarrierOutcomes::default(),
            caught_up_at: now,
            violations: 0,
        }
    }

    /// Records a tick.
    pub(super) fn ticked(&mut self, now: Micros) {
        let late = now.since(self.last_tick + TICK_INTERVAL);
        self.tick_late = self.tick_late.max(late);
        self.last_tick = now;
        if late > MAX_TICK_DELAY {
            self.last_late_tick = Some(now);
        }
        self.check_query_waits(now);
    }

    /// Checks that no query waits for longer than `MAX_QUERY_WAIT`, unless this process was late.
    fn check_query_waits(&mut self, now: Micros) {
        let late_at = self.last_late_tick;
        let mut overdue = Vec::new();
        // Request ids ascend with the time of arrival.
        for query in self.open_polls.values_mut() {
            if now.since(query.since) <= MAX_QUERY_WAIT {
                break;
            }
            if late_at.is_none_or(|at| at < query.since) && !std::mem::replace(&mut query.reported, true) {
                overdue.push(*query);
            }
        }
        for query in overdue {
            let waited_ms = millis(now.since(query.since));
            self.report_violation(
                "query_wait_bounded",
                format_args!("job={} waited_ms={waited_ms}", query.job),
            );
        }
    }

    /// Records a client's query of a job.
    pub(super) fn poll_received(&mut self, id: RequestId, job: JobId, now: Micros) {
        self.open_polls.insert(id, OpenQuery { job, since: now, reported: false });
    }

    /// Checks the read barrier before a query is answered from the state replica: a barrier that
    /// was sent before the query arrived shows nothing about what was recorded in between.
    pub(super) fn check_read_barrier(&mut self, id: RequestId) {
        let Some(came) = self.open_polls.get(&id).map(|query| query.since) else { return };
        if came > self.barrier_sent_at {
            let sent = self.barrier_sent_at.0;
            self.report_violation(
                "answer_rests_on_proof",
                format_args!("question_us={} proof_us={sent}", came.0),
            );
        }
    }

    /// The client closed the connection.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        if self.open_polls.remove(&id).is_some() {
            self.polls_abandoned += 1;
        }
    }

    /// Counts responses that are about to be sent.
    pub(super) fn responses_sent(&mut self, outputs: &[Output]) {
        for output in outputs {
            let Output::Response { id, status, .. } = output else { continue };
            if self.open_polls.remove(id).is_none() {
                continue;
            }
            match status {
                503 => self.polls_refused += 1,
                _ => self.polls_answered += 1,
            }
        }
    }

    /// Counts a response of 503.
    pub(super) fn refused(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    /// Records that a read barrier was sent.
    pub(super) fn read_barrier_sent(&mut self, now: Micros) {
        self.barrier_sent_at = now;
    }

    /// How long ago the last read barrier was sent.
    pub(super) fn barrier_age(&self, now: Micros) -> Micros {
        now.since(self.barrier_sent_at)
    }

    /// Records the result of a read barrier.
    pub(super) fn read_barrier_completed(&mut self, result: &CallResult, now: Micros) {
        self.slowest_barrier = self.slowest_barrier.max(now.since(self.barrier_sent_at));
        let count = match result {
            CallResult::Response { status: 200, .. } => &mut self.barriers.proved,
            CallResult::Response { status: 429, .. } => &mut self.barriers.limited,
            CallResult::Response { status: 410, .. } => &mut self.barriers.too_old,
            CallResult::Response { .. } => &mut self.barriers.refused,
            CallResult::NotSent | CallResult::Unknown => &mut self.barriers.unanswered,
        };
        *count += 1;
    }

    /// Records that the state replica is up to date.
    pub(super) fn caught_up(&mut self, now: Micros) {
        self.caught_up_at = now;
    }

    /// Logs a violated invariant and counts it for the `status` line.
    pub(super) fn report_violation(&mut self, invariant: &str, detail: fmt::Arguments<'_>) {
        self.violations += 1;
        log::error!("invariant violated name={invariant} {detail}");
    }

    /// Violations detected so far; this counter does not restart.
    pub(super) fn violations(&self) -> u64 {
        self.violations
    }

    /// The line, if it is due; its counters restart.
    pub(super) fn line(&mut self, gauges: Gauges, now: Micros) -> Option<String> {
        let length = now.since(self.interval_start);
        if length < STATUS_INTERVAL {
            return None;
        }
        let line = self.text(gauges, now);
        let open_polls = std::mem::take(&mut self.open_polls);
        let (last_tick, barrier_sent_at) = (self.last_tick, self.barrier_sent_at);
        let last_late_tick = self.last_late_tick;
        let (caught_up_at, violations) = (self.caught_up_at, self.violations);
        let fresh = ServiceStatus::new(now);
        *self = ServiceStatus {
            open_polls,
            last_tick,
            last_late_tick,
            barrier_sent_at,
            caught_up_at,
            violations,
            ..fresh
        };
        Some(line)
    }

    fn text(&self, gauges: Gauges, now: Micros) -> String {
        let oldest = self.open_polls.values().map(|query| query.since).min();
        let oldest = oldest.map_or(Micros(0), |since| now.since(since));
        let refused: Vec<String> =
            self.refused.iter().map(|(reason, n)| format!("{}:{n}", reason.key())).collect();
        let refused = if refused.is_empty() { "none".into() } else { refused.join(",") };
        let leader = gauges.leader.map_or("none".into(), |n| n.to_string());
        let BarrierOutcomes { proved, limited, too_old, refused: barriers_refused, unanswered } =
            self.barriers;
        format!(
            "status interval_ms={} ready={} leader={leader} term={} machines={} revision={} replica_age_ms={} \
             polls_answered={} polls_refused={} polls_abandoned={} oldest_poll_ms={} refused={refused} \
             proofs={proved} proofs_limited={limited} proofs_too_old={too_old} proofs_refused={barriers_refused} \
             proofs_unanswered={unanswered} proof_slowest_ms={} tick_late_ms={} violations={} \
             exits_waiting={} attempts_reappeared={}",
            millis(now.since(self.interval_start)),
            gauges.ready,
            gauges.term,
            gauges.machines_held,
            gauges.revision,
            millis(now.since(self.caught_up_at)),
            self.polls_answered,
            self.polls_refused,
            self.polls_abandoned,
            millis(oldest),
            millis(self.slowest_barrier),
            millis(self.tick_late),
            self.violations,
            gauges.exits_waiting,
            gauges.attempts_reappeared,
        )
    }
}

fn millis(time: Micros) -> u64 {
    time.0 / 1000
}

#[cfg(test)]
mod tests;
