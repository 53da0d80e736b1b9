//! What a controller counts for its operators, and the `status` line that shows it.
//!
//! Every question of a user is noted when it comes and again when it is answered, so
//! that the line tells how many got an answer, why the others did not, and how long
//! the oldest has been waiting. Counters start anew with each line.
use crate::{CallResult, Output, RequestId};
use gorseshore_protocol::ids::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// A `status` line is due this often.
const STATUS_INTERVAL: Micros = Micros::secs(10);
/// `Input::Tick` is due this often.
const TICK_INTERVAL: Micros = Micros::millis(20);

/// Why a user is told to ask again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RefusalReason {
    /// This process has not read the state service's keys yet.
    StateUnread,
    /// The state service refused this process a moment ago.
    StateRefused,
    /// As many requests wait for proof as may.
    TooManyWaiting,
    /// The state service did not prove in time that the replica is caught up.
    ProofFailed,
    /// A change waited too long for its part of the write budget.
    WriteBudget,
    /// The state service did not confirm a change.
    WriteUnconfirmed,
    /// Some controller may not know of a cancellation yet.
    CancellationUnconfirmed,
    /// The machine types are not known yet.
    MachineTypesUnknown,
    /// The load balancer's probe: this controller does not serve users.
    NotReady,
}

impl RefusalReason {
    /// What the user reads.
    pub(super) fn sentence(self) -> &'static str {
        match self {
            RefusalReason::StateUnread
            | RefusalReason::StateRefused
            | RefusalReason::TooManyWaiting
            | RefusalReason::ProofFailed => "the state service can't be asked",
            RefusalReason::WriteBudget => "the state service is slow",
            RefusalReason::WriteUnconfirmed => "the state service did not confirm it",
            RefusalReason::CancellationUnconfirmed => "not every controller knows of the cancellation yet",
            RefusalReason::MachineTypesUnknown => "the machine types are not known yet",
            RefusalReason::NotReady => "not ready",
        }
    }

    /// Its name in the `status` line.
    fn key(self) -> &'static str {
        match self {
            RefusalReason::StateUnread => "state_unread",
            RefusalReason::StateRefused => "state_refused",
            RefusalReason::TooManyWaiting => "too_many_waiting",
            RefusalReason::ProofFailed => "proof_failed",
            RefusalReason::WriteBudget => "write_budget",
            RefusalReason::WriteUnconfirmed => "write_unconfirmed",
            RefusalReason::CancellationUnconfirmed => "cancellation_unconfirmed",
            RefusalReason::MachineTypesUnknown => "machine_types_unknown",
            RefusalReason::NotReady => "not_ready",
        }
    }
}

/// How a request for proof ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct ProofOutcomes {
    proved: u32,
    /// 429: beyond the budget of requests.
    limited: u32,
    /// 410: the replica is too far behind.
    too_old: u32,
    /// Any other answer of the service.
    refused: u32,
    /// No answer in time, or no connection.
    unanswered: u32,
}

/// Counters and gauges of one controller.
#[derive(Debug)]
pub(super) struct ServiceStatus {
    since: Micros,
    ticked: Micros,
    /// The longest that a tick came after it was due.
    tick_late: Micros,
    /// Questions about jobs that are not answered yet.
    open_polls: BTreeMap<RequestId, Micros>,
    polls_answered: u32,
    polls_refused: u32,
    /// The asker went away first.
    polls_abandoned: u32,
    refused: BTreeMap<RefusalReason, u32>,
    proof_sent: Micros,
    proof_slowest: Micros,
    proofs: ProofOutcomes,
    caught_up: Micros,
    violations: u64,
}

/// What the `status` line says beside its counters.
#[derive(Debug, Clone, Copy)]
pub(super) struct Gauges {
    pub revision: u64,
    pub ready: bool,
    pub machines_held: usize,
    pub leader: Option<u8>,
    pub term: u64,
}

impl ServiceStatus {
    pub(super) fn new(now: Micros) -> Self {
        ServiceStatus {
            since: now,
            ticked: now,
            tick_late: Micros(0),
            open_polls: BTreeMap::new(),
            polls_answered: 0,
            polls_refused: 0,
            polls_abandoned: 0,
            refused: BTreeMap::new(),
            proof_sent: now,
            proof_slowest: Micros(0),
            proofs: ProofOutcomes::default(),
            caught_up: now,
            violations: 0,
        }
    }

    /// A tick came.
    pub(super) fn ticked(&mut self, now: Micros) {
        let late = now.since(self.ticked + TICK_INTERVAL);
        self.tick_late = self.tick_late.max(late);
        self.ticked = now;
    }

    /// A user asks about a job.
    pub(super) fn poll_came(&mut self, id: RequestId, now: Micros) {
        self.open_polls.insert(id, now);
    }

    /// A question is about to be answered from the replica: proof that was asked for
    /// before the question came shows nothing about what was recorded in between.
    pub(super) fn answered_by_proof(&mut self, id: RequestId) {
        let Some(came) = self.open_polls.get(&id).copied() else { return };
        if came > self.proof_sent {
            let sent = self.proof_sent.0;
            self.violated("answer_rests_on_proof", format_args!("question_us={} proof_us={sent}", came.0));
        }
    }

    /// The asker closed the connection.
    pub(super) fn asker_gone(&mut self, id: RequestId) {
        if self.open_polls.remove(&id).is_some() {
            self.polls_abandoned += 1;
        }
    }

    /// Answers are about to leave.
    pub(super) fn answers_leave(&mut self, outputs: &[Output]) {
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

    /// A user is told to ask again.
    pub(super) fn refused(&mut self, reason: RefusalReason) {
        *self.refused.entry(reason).or_default() += 1;
    }

    /// Proof that the replica is caught up was asked for.
    pub(super) fn proof_asked(&mut self, now: Micros) {
        self.proof_sent = now;
    }

    /// The request for proof ended.
    pub(super) fn proof_ended(&mut self, result: &CallResult, now: Micros) {
        self.proof_slowest = self.proof_slowest.max(now.since(self.proof_sent));
        let outcome = match result {
            CallResult::Response { status: 200, .. } => &mut self.proofs.proved,
            CallResult::Response { status: 429, .. } => &mut self.proofs.limited,
            CallResult::Response { status: 410, .. } => &mut self.proofs.too_old,
            CallResult::Response { .. } => &mut self.proofs.refused,
            CallResult::NotSent | CallResult::Unknown => &mut self.proofs.unanswered,
        };
        *outcome += 1;
    }

    /// The replica holds everything up to a moment ago.
    pub(super) fn caught_up(&mut self, now: Micros) {
        self.caught_up = now;
    }

    /// An invariant does not hold. Said at once, and counted for the `status` line.
    pub(super) fn violated(&mut self, invariant: &str, detail: fmt::Arguments<'_>) {
        self.violations += 1;
        log::error!("invariant violated name={invariant} {detail}");
    }

    /// How often an invariant did not hold.
    pub(super) fn violations(&self) -> u64 {
        self.violations
    }

    /// The line, if it is due; counters begin anew.
    pub(super) fn line(&mut self, gauges: Gauges, now: Micros) -> Option<String> {
        let length = now.since(self.since);
        if length < STATUS_INTERVAL {
            return None;
        }
        let line = self.text(gauges, now);
        let open_polls = std::mem::take(&mut self.open_polls);
        let (ticked, proof_sent) = (self.ticked, self.proof_sent);
        let (caught_up, violations) = (self.caught_up, self.violations);
        let fresh = ServiceStatus::new(now);
        *self = ServiceStatus { open_polls, ticked, proof_sent, caught_up, violations, ..fresh };
        Some(line)
    }

    fn text(&self, gauges: Gauges, now: Micros) -> String {
        let oldest = self.open_polls.values().min().map_or(Micros(0), |since| now.since(*since));
        let refused: Vec<String> =
            self.refused.iter().map(|(reason, n)| format!("{}:{n}", reason.key())).collect();
        let refused = if refused.is_empty() { "none".into() } else { refused.join(",") };
        let leader = gauges.leader.map_or("none".into(), |n| n.to_string());
        let ProofOutcomes { proved, limited, too_old, refused: proof_refused, unanswered } = self.proofs;
        format!(
            "status interval_ms={} ready={} leader={leader} term={} machines={} revision={} replica_age_ms={} \
             polls_answered={} polls_refused={} polls_abandoned={} oldest_poll_ms={} refused={refused} \
             proofs={proved} proofs_limited={limited} proofs_too_old={too_old} proofs_refused={proof_refused} \
             proofs_unanswered={unanswered} proof_slowest_ms={} tick_late_ms={} violations={}",
            millis(now.since(self.since)),
            gauges.ready,
            gauges.term,
            gauges.machines_held,
            gauges.revision,
            millis(now.since(self.caught_up)),
            self.polls_answered,
            self.polls_refused,
            self.polls_abandoned,
            millis(oldest),
            millis(self.proof_slowest),
            millis(self.tick_late),
            self.violations,
        )
    }
}

fn millis(time: Micros) -> u64 {
    time.0 / 1000
}

#[cfg(test)]
mod tests;
