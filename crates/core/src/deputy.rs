//! A witness in place of a leader that is silent, or that has not led for long enough to
//! act: cancelled tasks go from their machines even if nobody can lead. Where nobody knows
//! of any placement, machines that are silent go (`crate::liveness`).
//!
//! Invariant: nothing is started, granted or freed here. A stop does no harm, and a
//! deletion needs no leadership: a later leader finds the machine gone, or deletes it
//! once more. Where the tasks may be, the books say (`Node::suspects`); they are late only
//! with places that are left since, so a machine is asked before it is deleted. An answer
//! without the task proves it gone, except where its start may still be on the way: then
//! the worker has to have shown that very attempt.
use gorseshore_protocol::ids::{Attempt, MachineId, Micros, TaskId};
use gorseshore_protocol::workers::{Command, CommandRequest, Report};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A leader that says nothing for so long is stood in for: as long as it may be cut off
/// before it gives up, and a little. One that has not led for so long, too.
pub const SILENT: Micros = Micros::secs(4);
/// Looked at so often.
const LOOKED_AT: Micros = Micros::millis(200);
/// A machine that has not answered, or still has a task, is asked again after this.
const ASK_AGAIN: Micros = Micros::millis(1500);
/// The same where its silence is all that is known.
const SILENCE_PROBE_INTERVAL: Micros = Micros::secs(1);
/// The same where it is proven silent, and waits for its deletion.
const SILENT_PROBE_INTERVAL: Micros = Micros::secs(3);
/// Machines asked at a time, beside the other work: 250 a second, of which 300 wait for
/// their answers at a time if nobody answers.
const ASKED_AT_ONCE: usize = 50;
/// Of these, kept at the most for machines that were asked before, where silence is the evidence.
const ASKED_AGAIN_AT_ONCE: usize = 25;
/// Of those that are asked again, kept for machines whose answer decides nothing yet.
const ROUTINE_PROBES_AT_ONCE: usize = 5;
/// A deletion without an answer is sent again after this; one that was refused, sooner.
const DELETE_AGAIN: Micros = Micros::secs(3);
const REFUSED_AGAIN: Micros = Micros::millis(600);
/// Deletions are sent no more often than this.
const DELETE_EVERY: Micros = Micros::millis(400);
/// Most names of a deletion.
const NAMES: usize = 100;
/// The share of the machines that is deleted in `BUDGET_TIME` while there is time; two at
/// least. What can't be done so in time goes faster: the rule comes before the money.
const BUDGET: usize = 20;
const BUDGET_TIME: Micros = Micros::secs(10);

/// By when a cancelled job's tasks have to be gone whose user may have been told at a time
/// of day, with a second for the difference between the clocks. A process's steady clock
/// may be younger than that: it counts from what is left, not from what is past.
pub fn gone_by(at_ms: u64, wall_ms: u64, cancel: Micros, now: Micros) -> Micros {
    (now + cancel) - Micros::millis((wall_ms + 1000).saturating_sub(at_ms))
}

/// How long before their time machines may be deleted: as long as a leader's deletions
/// take, or as long as so many names take at `DELETE_EVERY` until a twentieth is left.
fn delete_before(suspects: usize, cancel: Micros) -> Micros {
    let calls = suspects.div_ceil(NAMES) as u64;
    let all = Micros(DELETE_EVERY.0 * calls) + ASK_AGAIN + cancel.scale(5, 100);
    all.max(cancel.scale(35, 100))
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Act {
    /// Ask these for their reports.
    Ask(Vec<MachineId>),
    /// Delete these.
    Delete(Vec<MachineId>),
}

/// Why cancelled tasks may be on a machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Evidence {
    /// Placements that are kept here name it.
    Placement {
        /// Starts that may still be on their way there.
        starts: BTreeSet<(TaskId, Attempt)>,
    },
    /// Nobody knows what it holds; the machine is probed for this reason.
    Silence(ProbeReason),
}

/// Why a machine is probed of which nobody knows what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeReason {
    /// It was not heard for a while.
    NotHeardOfLate,
    /// It answers, and shows that its zone can be asked while others do not answer.
    Reference,
    /// It did not answer its last probe.
    Unanswering,
    /// It does not answer, though others of its zone do.
    Silent,
}

/// A machine where cancelled tasks may be.
#[derive(Debug, Clone, PartialEq)]
pub struct Suspect {
    /// By when they have to be gone; the earliest.
    pub by: Micros,
    /// What speaks for it.
    pub evidence: Evidence,
}

impl Suspect {
    /// Whether what the machine answered proves that nothing cancelled is left there.
    fn cleared_by(&self, place: &Place) -> bool {
        match &self.evidence {
            Evidence::Placement { starts } => place.clean && starts.is_subset(&place.shown),
            Evidence::Silence(_) => false,
        }
    }

    /// How long after a question the next one goes out.
    fn ask_interval(&self) -> Micros {
        match self.evidence {
            Evidence::Placement { .. } => ASK_AGAIN,
            Evidence::Silence(ProbeReason::Silent) => SILENT_PROBE_INTERVAL,
            Evidence::Silence(_) => SILENCE_PROBE_INTERVAL,
        }
    }

    /// Whether the machine may be deleted once its time has come.
    fn may_be_deleted(&self) -> bool {
        match self.evidence {
            Evidence::Placement { .. } => true,
            Evidence::Silence(reason) => reason == ProbeReason::Silent,
        }
    }

    /// A machine that is silent is asked on, and not deleted.
    pub fn only_ask(&mut self) {
        if self.evidence == Evidence::Silence(ProbeReason::Silent) {
            self.evidence = Evidence::Silence(ProbeReason::Unanswering);
        }
    }

    /// Whether its answer, or that there is none, decides about a deletion.
    fn is_urgent(&self) -> bool {
        self.evidence != Evidence::Silence(ProbeReason::NotHeardOfLate)
    }
}

/// A machine that is due to be asked.
#[derive(Debug)]
struct DueQuestion {
    machine: MachineId,
    /// By when its tasks have to be gone.
    by: Micros,
    /// When it was asked last.
    asked: Option<Micros>,
    urgent: bool,
}

/// The first of so many places go to the preferred, but for some that are kept for the others.
fn share_places<T>(mut preferred: Vec<T>, mut others: Vec<T>, places: usize, kept: usize) -> Vec<T> {
    preferred.truncate(places.saturating_sub(kept.min(others.len())));
    others.truncate(places - preferred.len());
    preferred.append(&mut others);
    preferred
}

/// What is known of a suspect.
#[derive(Debug, Default)]
struct Place {
    first_asked: Option<Micros>,
    asked: Option<Micros>,
    /// Its last report showed no cancelled task.
    clean: bool,
    /// Attempts that it showed: their starts have arrived.
    shown: BTreeSet<(TaskId, Attempt)>,
    /// A deletion was sent, and goes again at that time.
    again_at: Option<Micros>,
    gone: bool,
}

/// The deputy's state.
#[derive(Debug, Default)]
pub struct Deputy {
    /// The number of this process.
    process: u64,
    /// The highest term that is known, and since when.
    term: (u64, Micros),
    places: BTreeMap<MachineId, Place>,
    deleted: VecDeque<Micros>,
    looked: Micros,
    delete_at: Micros,
}

impl Deputy {
    /// Of a process.
    pub fn new(process: u64) -> Self {
        Deputy { process, ..Deputy::default() }
    }

    /// Whether a leader that leads now in `term` has led for long enough to have taken
    /// over what is due. A string of leaders that each end before leaves it to deputies.
    pub fn long_led(&mut self, term: u64, now: Micros) -> bool {
        if self.term.0 != term {
            self.term = (term, now);
        }
        now.since(self.term.1) >= SILENT
    }

    /// Somebody leads: it does all this, and better.
    pub fn stand_down(&mut self) {
        self.places.clear();
    }

    /// Whether it is time to look.
    pub fn due(&mut self, now: Micros) -> bool {
        let due = now.since(self.looked) >= LOOKED_AT;
        if due {
            self.looked = now;
        }
        due
    }

    /// What is due at these machines, of so many in all.
    pub fn tick(
        &mut self,
        suspects: &BTreeMap<MachineId, Suspect>,
        cancel: Micros,
        machines: usize,
        now: Micros,
    ) -> Vec<Act> {
        // The same part of the time as a leader's (`leader/blocks.rs`), and all is sent when
        // a twentieth is left; the machines are asked well before.
        let ask_before = cancel.scale(70, 100);
        let deletable = suspects.values().filter(|s| s.may_be_deleted()).count();
        let delete_before = delete_before(deletable, cancel);
        let mut order: Vec<(Micros, &MachineId, &Suspect)> =
            suspects.iter().map(|(id, s)| (s.by, id, s)).collect();
        order.sort_by_key(|(by, id, _)| (*by, *id));
        let mut ask = Vec::new();
        let mut doomed = Vec::new();
        let mut unanswered = 0;
        for (by, id, suspect) in order {
            if now < by - ask_before {
                break;
            }
            let p = self.places.entry(id.clone()).or_default();
            if p.gone || suspect.cleared_by(p) {
                continue;
            }
            if p.asked.is_none_or(|t| now.since(t) >= suspect.ask_interval()) {
                let urgent = suspect.is_urgent();
                ask.push(DueQuestion { machine: id.clone(), by, asked: p.asked, urgent });
            }
            let answered = p.first_asked.is_some_and(|t| now.since(t) >= ASK_AGAIN);
            let may_go = suspect.may_be_deleted() && now >= by - delete_before;
            unanswered += (may_go && !answered) as usize;
            if may_go && answered && p.again_at.is_none_or(|t| now >= t) {
                doomed.push((by, id.clone(), p.again_at.is_some()));
            }
        }
        let by_silence = suspects.values().any(|s| matches!(s.evidence, Evidence::Silence(_)));
        let ask = self.choose_whom_to_ask(ask, by_silence);
        for id in &ask {
            if let Some(p) = self.places.get_mut(id) {
                p.first_asked.get_or_insert(now);
                p.asked = Some(now);
                p.clean = false;
            }
        }
        let mut acts = Vec::new();
        if !ask.is_empty() {
            acts.push(Act::Ask(ask));
        }
        if now < self.delete_at {
            return acts;
        }
        let delete = self.choose(doomed, unanswered, cancel, machines, now);
        if !delete.is_empty() {
            self.delete_at = now + DELETE_EVERY;
            acts.push(Act::Delete(delete));
        }
        acts
    }

    /// Who was never asked comes first: those that don't answer are asked for ever. Where
    /// silence itself is the evidence, up to half of the places are for those that were asked
    /// before and whose answer decides. Each process has an order of
    /// its own, so that together they ask all of a large fleet early.
    fn choose_whom_to_ask(&self, due: Vec<DueQuestion>, by_silence: bool) -> Vec<MachineId> {
        let shuffled = |id: &MachineId| {
            let mut hasher = DefaultHasher::new();
            (self.process, id.as_str()).hash(&mut hasher);
            hasher.finish()
        };
        let (mut first, mut again): (Vec<_>, Vec<_>) = due.into_iter().partition(|q| q.asked.is_none());
        first.sort_by_key(|q| (q.by, shuffled(&q.machine)));
        again.sort_by(|a, b| (a.asked, a.by, &a.machine).cmp(&(b.asked, b.by, &b.machine)));
        let (urgent, routine): (Vec<_>, Vec<_>) = again.into_iter().partition(|q| q.urgent);
        if by_silence {
            first.truncate(ASKED_AT_ONCE - urgent.len().min(ASKED_AGAIN_AT_ONCE));
        }
        first.truncate(ASKED_AT_ONCE);
        let places = ASKED_AT_ONCE - first.len();
        let routine_places = if first.is_empty() { ROUTINE_PROBES_AT_ONCE } else { 0 };
        let again = share_places(urgent, routine, places, routine_places);
        first.into_iter().chain(again).map(|question| question.machine).collect()
    }

    /// Which of the machines that are due go now, the earliest first: the budget's, and
    /// more where it would not be done in time, with those that had no time to answer yet.
    fn choose(
        &mut self,
        doomed: Vec<(Micros, MachineId, bool)>,
        unanswered: usize,
        cancel: Micros,
        machines: usize,
        now: Micros,
    ) -> Vec<MachineId> {
        while self.deleted.front().is_some_and(|t| now.since(*t) >= BUDGET_TIME) {
            self.deleted.pop_front();
        }
        let new = doomed.iter().filter(|(.., again)| !again).count() + unanswered;
        let last = doomed.first().map_or(now, |(by, ..)| *by - cancel.scale(5, 100));
        let share = (machines / BUDGET).max(2);
        let budget = share.saturating_sub(self.deleted.len());
        let in_time = budget + share * (last.since(now).0 / BUDGET_TIME.0) as usize;
        let rounds = (last.since(now).0 / DELETE_EVERY.0).max(1) as usize;
        let mut may = if new <= in_time { budget } else { budget.max(new.div_ceil(rounds)) };
        let mut delete = Vec::new();
        for (_, id, again) in doomed {
            if delete.len() >= NAMES || !again && may == 0 {
                continue;
            }
            if !again {
                may -= 1;
                self.deleted.push_back(now);
            }
            if let Some(p) = self.places.get_mut(&id) {
                p.again_at = Some(now + DELETE_AGAIN);
            }
            delete.push(id);
        }
        delete
    }

    /// A machine answered: the stops for what is over there, under the token and the
    /// session that it showed, so that a newer grant is not touched.
    pub fn answered(&mut self, r: &Report, unwanted: Vec<Command>) -> Option<CommandRequest> {
        let p = self.places.get_mut(&MachineId::from(&*r.machine))?;
        let shown = r.tasks.iter().filter_map(|t| Some((TaskId::parse(&t.task)?, Attempt(t.attempt))));
        p.shown.extend(shown);
        p.clean = unwanted.is_empty();
        (!p.clean).then_some(CommandRequest {
            fencing_token: r.fencing_token,
            agent_epoch: r.agent_epoch,
            commands: unwanted,
        })
    }

    /// A deletion ended: it was carried out, or refused, or nobody knows.
    pub fn deleted(&mut self, ids: &[MachineId], done: Option<bool>, now: Micros) {
        for id in ids {
            if let Some(p) = self.places.get_mut(id) {
                p.gone |= done == Some(true);
                if done == Some(false) {
                    p.again_at = Some(now + REFUSED_AGAIN);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
