//! Enforces cancellations while the leader is silent, or has not led for long enough to do so
//! itself: a standby replica stops the tasks of cancelled jobs, or deletes their machines, even
//! if no controller can become leader. While no process knows the placements, it deletes
//! machines that are proven silent instead (`crate::liveness`).
//!
//! Invariant: this module starts no task, grants no machine and frees none. A stop does no harm,
//! and a deletion needs no leadership: a later leader finds the machine deleted, or deletes it
//! again. The placement log says where the tasks may be (`Node::suspects`). It can be outdated
//! only in naming machines that a task has left since, so a machine is probed before it is
//! deleted. A report without the task proves that the task is not on the machine, unless its
//! start may still be in transit: then the worker must have reported that very attempt.
use gorseshore_protocol::ids::{Attempt, MachineId, Micros, TaskId};
use gorseshore_protocol::workers::{Command, CommandRequest, Report};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A leader that is silent for this long is not relied on: the time for which a leader may be cut
/// off before it steps down, plus a margin. Nor is a leader that has led for less than this.
pub const LEADER_SILENCE_TIMEOUT: Micros = Micros::secs(4);
/// Suspects are scanned this often.
const SCAN_INTERVAL: Micros = Micros::millis(200);
/// A machine that has not answered, or still has a cancelled task, is probed again after this.
const PROBE_RETRY_INTERVAL: Micros = Micros::millis(1500);
/// The same for a machine of which no placement is known.
const SILENCE_PROBE_INTERVAL: Micros = Micros::secs(1);
/// The same for a machine that is proven silent and awaits its deletion.
const PROVEN_SILENT_PROBE_INTERVAL: Micros = Micros::secs(3);
/// Machines probed per scan, beside the other work: 250 a second, of which 300 are outstanding
/// at a time if no machine answers.
const MAX_PROBES_PER_SCAN: usize = 50;
/// At most this many of these probes are reserved for machines that were probed before, if
/// silence is evidence.
const MAX_RESERVED_RETRIES: usize = 25;
/// Probes among the retries that are reserved for machines whose response decides nothing yet.
const RESERVED_ROUTINE_PROBES: usize = 5;
/// A deletion without a response is sent again after this.
const DELETE_RETRY_INTERVAL: Micros = Micros::secs(3);
/// A deletion that was refused is sent again after this.
const REFUSED_DELETE_RETRY_INTERVAL: Micros = Micros::millis(600);
/// Deletions are sent no more often than this.
const MIN_DELETE_INTERVAL: Micros = Micros::millis(400);
/// Machines named in one deletion call.
const MAX_NAMES_PER_DELETE: usize = 100;
/// While there is time, at most one in this many machines is deleted per `DELETE_BUDGET_WINDOW`,
/// or two machines if that is more. Deletions that would miss their deadline at this rate go
/// faster: the cancellation rule takes precedence over the cost of machines.
const DELETE_BUDGET_DIVISOR: usize = 20;
const DELETE_BUDGET_WINDOW: Micros = Micros::secs(10);

/// The deadline for the tasks of a job whose cancellation may have been confirmed to the client
/// at the time of day `ended_ms`, less one second for the difference between the clocks. The
/// process's monotonic clock may have started after that time, so the deadline is derived from
/// the time left, not from the time elapsed.
pub fn cancellation_deadline(ended_ms: u64, wall_ms: u64, cancel: Micros, now: Micros) -> Micros {
    let elapsed = Micros::millis((wall_ms + 1000).saturating_sub(ended_ms));
    // A deadline from before the clock's zero is past, as the zero is.
    (now + cancel).before(elapsed).unwrap_or_default()
}

/// How long before the deadline deletions may begin: 35% of the cancellation time, as in a leader,
/// or longer if so many suspects need it at `MIN_DELETE_INTERVAL` for the last call to leave while
/// a twentieth of the cancellation time remains.
fn delete_before(suspects: usize, cancel: Micros) -> Micros {
    let calls = suspects.div_ceil(MAX_NAMES_PER_DELETE) as u64;
    let all = Micros(MIN_DELETE_INTERVAL.0 * calls) + PROBE_RETRY_INTERVAL + cancel.scale(5, 100);
    all.max(cancel.scale(35, 100))
}

/// An action that the node carries out.
#[derive(Debug, PartialEq)]
pub enum EnforcementAction {
    /// Query these machines for their reports.
    Probe(Vec<MachineId>),
    /// Delete these machines.
    Delete(Vec<MachineId>),
}

/// Why cancelled tasks may be on a machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Evidence {
    /// A replica of the placement log names it.
    Placement {
        /// Starts that may still be in transit to it.
        starts: BTreeSet<(TaskId, Attempt)>,
    },
    /// No controller knows what it runs; the machine is probed for this reason.
    Silence(ProbeReason),
}

/// Why a machine is probed when no controller knows what it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeReason {
    /// It has not responded or sent a heartbeat recently.
    NoRecentContact,
    /// It answers, and so proves its zone reachable while other machines do not answer.
    Reference,
    /// It did not answer its last probe.
    Unanswered,
    /// It is proven silent: it does not answer, though other machines do that show its zone to be
    /// reachable.
    Silent,
}

/// A machine that may run cancelled tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Suspect {
    /// The earliest deadline of these tasks.
    pub deadline: Micros,
    /// Why they may be there.
    pub evidence: Evidence,
}

impl Suspect {
    /// Whether the machine's reports prove that no cancelled task is left there.
    fn cleared_by(&self, state: &ProbeState) -> bool {
        match &self.evidence {
            Evidence::Placement { starts } => state.clean && starts.is_subset(&state.reported),
            Evidence::Silence(_) => false,
        }
    }

    /// Time from one probe to the next.
    fn probe_interval(&self) -> Micros {
        match self.evidence {
            Evidence::Placement { .. } => PROBE_RETRY_INTERVAL,
            Evidence::Silence(ProbeReason::Silent) => PROVEN_SILENT_PROBE_INTERVAL,
            Evidence::Silence(_) => SILENCE_PROBE_INTERVAL,
        }
    }

    /// Whether the machine may be deleted as its deadline approaches.
    fn may_be_deleted(&self) -> bool {
        match self.evidence {
            Evidence::Placement { .. } => true,
            Evidence::Silence(reason) => reason == ProbeReason::Silent,
        }
    }

    /// Excludes a machine that is proven silent from deletion; it is still probed.
    pub fn exclude_from_deletion(&mut self) {
        if self.evidence == Evidence::Silence(ProbeReason::Silent) {
            self.evidence = Evidence::Silence(ProbeReason::Unanswered);
        }
    }

    /// Whether its answer or the lack of one decides about a deletion.
    fn is_urgent(&self) -> bool {
        self.evidence != Evidence::Silence(ProbeReason::NoRecentContact)
    }
}

/// A machine whose next probe is due.
#[derive(Debug)]
struct DueProbe {
    machine: MachineId,
    deadline: Micros,
    last_probed: Option<Micros>,
    urgent: bool,
}

/// Fills `slots` with the preferred items first; up to `reserved` of them are kept for the others.
fn share_slots<T>(mut preferred: Vec<T>, mut others: Vec<T>, slots: usize, reserved: usize) -> Vec<T> {
    preferred.truncate(slots.saturating_sub(reserved.min(others.len())));
    others.truncate(slots - preferred.len());
    preferred.append(&mut others);
    preferred
}

/// Probes and deletions of one suspect.
#[derive(Debug, Default)]
struct ProbeState {
    first_probed: Option<Micros>,
    last_probed: Option<Micros>,
    /// Its report since the last probe showed no cancelled task.
    clean: bool,
    /// Attempts that it has reported: their starts have arrived.
    reported: BTreeSet<(TaskId, Attempt)>,
    /// A deletion was sent, and is sent again at this time.
    delete_retry_at: Option<Micros>,
    deleted: bool,
}

/// Probes and deletions that enforce cancellations without a leader.
#[derive(Debug, Default)]
pub struct CancellationEnforcer {
    incarnation: u64,
    /// The last known term, and since when it is known.
    term: (u64, Micros),
    suspects: BTreeMap<MachineId, ProbeState>,
    /// When machines were first named in a deletion, within the budget window.
    recent_deletions: VecDeque<Micros>,
    scanned_at: Micros,
    next_delete_at: Micros,
}

impl CancellationEnforcer {
    /// Without suspects. The incarnation number decides the order of this process's first probes.
    pub fn new(incarnation: u64) -> Self {
        CancellationEnforcer { incarnation, ..CancellationEnforcer::default() }
    }

    /// Whether the leader of `term` has led for long enough to have taken over the enforcement of
    /// cancellations. Leaders that each exit before that leave it to the standby replicas.
    pub fn leadership_established(&mut self, term: u64, now: Micros) -> bool {
        if self.term.0 != term {
            self.term = (term, now);
        }
        now.since(self.term.1) >= LEADER_SILENCE_TIMEOUT
    }

    /// Forgets all suspects: a leader enforces the cancellations, with better knowledge.
    pub fn reset(&mut self) {
        self.suspects.clear();
    }

    /// Whether the next scan is due; if so, it counts as begun.
    pub fn scan_due(&mut self, now: Micros) -> bool {
        let due = now.since(self.scanned_at) >= SCAN_INTERVAL;
        if due {
            self.scanned_at = now;
        }
        due
    }

    /// The probes and deletions that are due. `cancel` is the time that users are promised for a
    /// cancellation, `machines` the number of machines in the fleet.
    pub fn tick(
        &mut self,
        suspects: &BTreeMap<MachineId, Suspect>,
        cancel: Micros,
        machines: usize,
        now: Micros,
    ) -> Vec<EnforcementAction> {
        // Deletions begin at the same share of the cancellation time as a leader's
        // (`leader/blocks.rs`), and the last one leaves while a twentieth remains. The machines
        // are probed well before.
        let probe_before = cancel.scale(70, 100);
        let deletable = suspects.values().filter(|s| s.may_be_deleted()).count();
        let delete_before = delete_before(deletable, cancel);
        let mut order: Vec<(Micros, &MachineId, &Suspect)> =
            suspects.iter().map(|(id, s)| (s.deadline, id, s)).collect();
        order.sort_by_key(|(deadline, id, _)| (*deadline, *id));
        let mut due_probes = Vec::new();
        let mut due_deletions = Vec::new();
        let mut unanswered = 0;
        for (deadline, id, suspect) in order {
            if now + probe_before < deadline {
                break;
            }
            let p = self.suspects.entry(id.clone()).or_default();
            if p.deleted || suspect.cleared_by(p) {
                continue;
            }
            if p.last_probed.is_none_or(|t| now.since(t) >= suspect.probe_interval()) {
                let urgent = suspect.is_urgent();
                due_probes.push(DueProbe {
                    machine: id.clone(),
                    deadline,
                    last_probed: p.last_probed,
                    urgent,
                });
            }
            let had_time_to_answer = p.first_probed.is_some_and(|t| now.since(t) >= PROBE_RETRY_INTERVAL);
            let may_delete = suspect.may_be_deleted() && now + delete_before >= deadline;
            unanswered += (may_delete && !had_time_to_answer) as usize;
            if may_delete && had_time_to_answer && p.delete_retry_at.is_none_or(|t| now >= t) {
                due_deletions.push((deadline, id.clone(), p.delete_retry_at.is_some()));
            }
        }
        let by_silence = suspects.values().any(|s| matches!(s.evidence, Evidence::Silence(_)));
        let probe = self.choose_probes(due_probes, by_silence);
        for id in &probe {
            if let Some(p) = self.suspects.get_mut(id) {
                p.first_probed.get_or_insert(now);
                p.last_probed = Some(now);
                p.clean = false;
            }
        }
        let mut actions = Vec::new();
        if !probe.is_empty() {
            actions.push(EnforcementAction::Probe(probe));
        }
        if now < self.next_delete_at {
            return actions;
        }
        let delete = self.choose_deletions(due_deletions, unanswered, cancel, machines, now);
        if !delete.is_empty() {
            self.next_delete_at = now + MIN_DELETE_INTERVAL;
            actions.push(EnforcementAction::Delete(delete));
        }
        actions
    }

    /// Machines that were never probed come first, since machines that do not answer are probed
    /// forever. If silence is evidence, up to half of the slots go to machines that were probed
    /// before and whose response decides. Each process orders the first probes differently, so that
    /// the processes together reach all of a large fleet early.
    fn choose_probes(&self, due: Vec<DueProbe>, by_silence: bool) -> Vec<MachineId> {
        let shuffled = |id: &MachineId| {
            let mut hasher = DefaultHasher::new();
            (self.incarnation, id.as_str()).hash(&mut hasher);
            hasher.finish()
        };
        let (mut first, mut retries): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|q| q.last_probed.is_none());
        first.sort_by_key(|q| (q.deadline, shuffled(&q.machine)));
        retries.sort_by(|a, b| {
            (a.last_probed, a.deadline, &a.machine).cmp(&(b.last_probed, b.deadline, &b.machine))
        });
        let (urgent, routine): (Vec<_>, Vec<_>) = retries.into_iter().partition(|q| q.urgent);
        if by_silence {
            first.truncate(MAX_PROBES_PER_SCAN - urgent.len().min(MAX_RESERVED_RETRIES));
        }
        first.truncate(MAX_PROBES_PER_SCAN);
        let slots = MAX_PROBES_PER_SCAN - first.len();
        let routine_slots = if first.is_empty() { RESERVED_ROUTINE_PROBES } else { 0 };
        let retries = share_slots(urgent, routine, slots, routine_slots);
        first.into_iter().chain(retries).map(|probe| probe.machine).collect()
    }

    /// The machines to delete now, those with the earliest deadline first. The budget limits
    /// their number unless some would then miss their deadline, where machines that have had no
    /// time to answer a probe count as well.
    fn choose_deletions(
        &mut self,
        due: Vec<(Micros, MachineId, bool)>,
        unanswered: usize,
        cancel: Micros,
        machines: usize,
        now: Micros,
    ) -> Vec<MachineId> {
        while self.recent_deletions.front().is_some_and(|t| now.since(*t) >= DELETE_BUDGET_WINDOW) {
            self.recent_deletions.pop_front();
        }
        let new = due.iter().filter(|(.., retry)| !retry).count() + unanswered;
        let until_deadline = due.first().map_or(Micros(0), |(deadline, ..)| deadline.since(now));
        let until_last_call = until_deadline.saturating_sub(cancel.scale(5, 100));
        let share = (machines / DELETE_BUDGET_DIVISOR).max(2);
        let budget = share.saturating_sub(self.recent_deletions.len());
        let within_budget = budget + share * (until_last_call.0 / DELETE_BUDGET_WINDOW.0) as usize;
        let calls_left = (until_last_call.0 / MIN_DELETE_INTERVAL.0).max(1) as usize;
        let mut allowed = if new <= within_budget { budget } else { budget.max(new.div_ceil(calls_left)) };
        let mut delete = Vec::new();
        for (_, id, retry) in due {
            if delete.len() >= MAX_NAMES_PER_DELETE || !retry && allowed == 0 {
                continue;
            }
            if !retry {
                allowed -= 1;
                self.recent_deletions.push_back(now);
            }
            if let Some(p) = self.suspects.get_mut(&id) {
                p.delete_retry_at = Some(now + DELETE_RETRY_INTERVAL);
            }
            delete.push(id);
        }
        delete
    }

    /// Records a machine's report and returns the stop commands for its cancelled tasks. They carry
    /// the fencing token and the agent epoch of the report, so that a newer grant is not affected.
    pub fn record_probe_response(&mut self, r: &Report, unwanted: Vec<Command>) -> Option<CommandRequest> {
        let p = self.suspects.get_mut(&MachineId::from(&*r.machine))?;
        let reported = r.tasks.iter().filter_map(|t| Some((TaskId::parse(&t.task)?, Attempt(t.attempt))));
        p.reported.extend(reported);
        p.clean = unwanted.is_empty();
        (!p.clean).then_some(CommandRequest {
            fencing_token: r.fencing_token,
            agent_epoch: r.agent_epoch,
            commands: unwanted,
        })
    }

    /// Records the result of a deletion: `Some(true)` if it was carried out, `Some(false)` if it was
    /// refused or not sent, `None` if that is unknown.
    pub fn record_deletion_result(&mut self, ids: &[MachineId], done: Option<bool>, now: Micros) {
        for id in ids {
            if let Some(p) = self.suspects.get_mut(id) {
                p.deleted |= done == Some(true);
                if done == Some(false) {
                    p.delete_retry_at = Some(now + REFUSED_DELETE_RETRY_INTERVAL);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
