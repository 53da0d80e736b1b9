//! A job as the leader runs it, and where its tasks may be. Invariant: a task that is
//! bound anywhere, or done, is not the next one (`Run::peek`).
use super::*;

/// Where a task may be. It is free only when all of it is gone.
#[derive(Debug, Clone)]
pub(super) struct Binding {
    pub(super) attempt: Attempt,
    pub(super) handed: Option<Handed>,
    pub(super) on: BTreeSet<MachineId>,
}

/// A job of which so many tasks failed, on several machines, and none ran well.
pub(super) const MISTAKEN: u32 = 3;

/// A job whose attempts are bounded waits so long for a machine on which it has not failed:
/// a boot or two. A faulty machine is the one with room, since nothing stays on it.
pub(super) const ELSEWHERE: Micros = Micros::secs(15);

/// A job without a deadline and without an objective for its class is due after so many
/// seconds.
const NEVER_DUE_S: f64 = 1e9;

/// What a job of a pipeline takes beside its tasks' run time, in milliseconds: images,
/// reports, the record of its end, and the hand-out of the next one.
const STAGE_OVERHEAD_MS: u64 = 5_000;

/// A job as the leader runs it.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) spec: Rc<JobSpec>,
    pub(super) stamp: u64,
    /// Its own priority and times.
    pub(super) own_urgency: Urgency,
    /// The same, with what it inherits from jobs that depend on it.
    pub(super) urgency: Urgency,
    /// From when its waiting counts: its submission, or the end of the last job that it
    /// depends on, in milliseconds of the time of day.
    pub(super) ready_ms: u64,
    /// What its class is expected to be complete within, in milliseconds.
    within_ms: Option<u64>,
    pub(super) done: TaskSet,
    pub(super) bound: BTreeMap<u32, Binding>,
    pub(super) again: BTreeSet<u32>,
    pub(super) next: u32,
    pub(super) retry_at: Micros,
    pub(super) failures: u32,
    pub(super) failed_on: BTreeSet<MachineId>,
    pub(super) proven: bool,
    /// Something of it completed, or ran for `overdue::BEGUN`.
    pub(super) begun: bool,
    pub(super) unrecorded_since: Option<Micros>,
    /// Tasks that are done and whose record is not seen yet. The books hold them: a
    /// worker shows them until then, but the next leader may hand out before it hears it.
    pub(super) unrecorded: BTreeSet<u32>,
    /// Work was stopped for it; until then no more is.
    pub(super) room_until: Micros,
    /// Until then it waits for a machine with its image.
    pub(super) patience: Option<Micros>,
    /// Done or cancelled: nothing of it is started, but what is left of it on
    /// machines counts.
    pub(super) over: bool,
    /// Failed attempts, where their number is bounded, and the tasks whose
    /// count is not recorded yet: those are not started again before it is.
    pub(super) fails: BTreeMap<u32, Failures>,
    pub(super) unsaved: BTreeSet<u32>,
    /// Something of the job that it replaces may be left, or a job that it depends on is
    /// not recorded as done.
    pub(super) held: bool,
    /// Its running tasks as last told, and the update that first told so.
    pub(super) shown: (u32, u64),
}

impl Run {
    pub(super) fn new(job: &Job, spec: Rc<JobSpec>, objectives: &[Objective]) -> Self {
        let of_class = || objectives.iter().filter(|o| o.class == spec.class);
        let within = of_class().filter(|o| o.kind == "finished").filter_map(|o| o.within_s).reduce(f64::max);
        let times = of_class().filter_map(|o| o.deadline_multiple).fold(1.0, f64::max);
        let millis = |s: f64| (s.max(0.0) * 1000.0) as u64;
        let due = spec.deadline_s.unwrap_or(NEVER_DUE_S);
        let own_urgency = Urgency {
            priority: spec.priority,
            due_ms: job.submitted_ms + millis(due),
            latest_ms: job.submitted_ms + millis(due * times),
            has_user_deadline: spec.deadline_s.is_some(),
        };
        let mut run = Run {
            stamp: job.revision,
            own_urgency,
            urgency: own_urgency,
            ready_ms: job.submitted_ms,
            within_ms: within.map(millis),
            done: job.done.clone(),
            held: false,
            spec,
            bound: BTreeMap::new(),
            again: BTreeSet::new(),
            next: 0,
            retry_at: Micros(0),
            failures: 0,
            failed_on: BTreeSet::new(),
            proven: false,
            begun: !job.done.is_empty(),
            unrecorded_since: None,
            unrecorded: BTreeSet::new(),
            room_until: Micros(0),
            patience: None,
            over: job.phase != Phase::Active,
            fails: job.failures.clone(),
            unsaved: BTreeSet::new(),
            shown: (0, 0),
        };
        run.ready_at(job.submitted_ms);
        run
    }
    /// Its waiting counts from this time of day, in milliseconds; its deadline still from
    /// its submission.
    pub(super) fn ready_at(&mut self, ready_ms: u64) {
        self.ready_ms = ready_ms;
        if let (Some(within), false) = (self.within_ms, self.own_urgency.has_user_deadline) {
            self.own_urgency.due_ms = ready_ms + within;
            self.own_urgency.latest_ms = ready_ms + within;
        }
    }
    /// What it takes from its release to its record as done, by its owner's estimate, in
    /// milliseconds: as far as jobs that it depends on have to be over before.
    pub(super) fn span_ms(&self) -> u64 {
        (self.spec.estimated_runtime_s * 1000.0) as u64 + STAGE_OVERHEAD_MS
    }
    /// A task whose attempts are used up.
    pub(super) fn used_up(&self) -> Option<u32> {
        let most = self.spec.max_attempts?;
        self.fails.iter().find(|(_, f)| f.count >= most).map(|(i, _)| *i)
    }
    /// The record says so: number of tasks, progress and failures. The tasks that
    /// are on record as done by it.
    pub(super) fn recorded(&mut self, job: &Job, spec: &JobSpec) -> Vec<u32> {
        self.done.union(&job.done);
        let recorded: Vec<u32> = self.unrecorded.iter().copied().filter(|i| job.done.contains(*i)).collect();
        self.unrecorded.retain(|i| !job.done.contains(*i));
        if spec.tasks != self.spec.tasks {
            // What is above the smaller number is looked at again.
            self.next = self.next.min(spec.tasks).min(self.spec.tasks);
            let mut s = JobSpec::clone(&self.spec);
            s.tasks = spec.tasks;
            self.spec = Rc::new(s);
        }
        for (i, f) in &job.failures {
            let mine = self.fails.entry(*i).or_default();
            if f.last_attempt >= mine.last_attempt {
                *mine = *f;
                self.unsaved.remove(i);
            }
        }
        recorded
    }
    /// Whether it seems to have been submitted with a mistake: it fails wherever it is.
    /// Then one task at a time is tried, after growing pauses; one that runs well shows
    /// that the machines were at fault. Bounded attempts are used up as they are.
    pub(super) fn mistaken(&self) -> bool {
        !self.proven
            && self.spec.max_attempts.is_none()
            && self.failures > MISTAKEN
            && self.failed_on.len() > 1
    }
    /// Whether its tasks may go to machines on which some have failed: it runs well
    /// elsewhere, so that the machine is judged by others' failures too, or it has failed
    /// on several. Bounded attempts were once used up within a second by a faulty machine;
    /// but a job's end is put off for a time only.
    pub(super) fn may_go_back(&self, now: Micros) -> bool {
        let waited = self.spec.max_attempts.is_some() && now >= self.retry_at + ELSEWHERE;
        self.proven || self.failed_on.len() > 3 || waited
    }
    /// When it may, if that is a matter of time.
    pub(super) fn goes_back_at(&self, now: Micros) -> Option<Micros> {
        let waits = self.spec.max_attempts.is_some() && !self.failed_on.is_empty() && !self.may_go_back(now);
        waits.then(|| self.retry_at + ELSEWHERE)
    }
    /// How many of its tasks may be handed out now.
    pub(super) fn may_start(&self) -> u32 {
        if self.mistaken() { self.bound.is_empty() as u32 } else { self.waiting() }
    }
    /// Nothing more of it is handed out now.
    pub(super) fn held_back(&self) -> bool {
        !self.bound.is_empty() && self.mistaken()
    }
    /// The next task that waits.
    pub(super) fn peek(&mut self) -> Option<u32> {
        while let Some(i) = self.again.iter().copied().find(|i| !self.unsaved.contains(i)) {
            if i < self.spec.tasks && !self.done.contains(i) && !self.bound.contains_key(&i) {
                return Some(i);
            }
            self.again.remove(&i);
        }
        while self.next < self.spec.tasks {
            if !self.done.contains(self.next) && !self.bound.contains_key(&self.next) {
                return Some(self.next);
            }
            self.next += 1;
        }
        None
    }
    /// Its place among its team's jobs: the earliest due first, behind them
    /// those that can't be in time any more, until they have waited very long.
    /// `slots` is how many such tasks run at a time.
    pub(super) fn order(&self, wall_ms: u64, slots: u64) -> (bool, u64, u64) {
        let Urgency { due_ms, latest_ms, has_user_deadline: deadline, .. } = self.urgency;
        let span = latest_ms.saturating_sub(self.ready_ms);
        let waves = 1.0 + self.waiting() as f64 / slots.max(1) as f64;
        let end = wall_ms + (self.spec.estimated_runtime_s * waves * 1000.0) as u64;
        let late = end > latest_ms && wall_ms < latest_ms + 3 * span;
        // A large job holds up many small ones that could still be in time: it
        // goes behind them by its part of the slots. A deadline of its owner's
        // is kept to as it is.
        let part = match deadline {
            false => (self.waiting() as f64 / slots.max(1) as f64).min(1.0),
            true => 0.0,
        };
        (late, due_ms + (span as f64 * part) as u64, self.ready_ms)
    }
    pub(super) fn waiting(&self) -> u32 {
        let n = self.spec.tasks;
        let bound = self.bound.keys().filter(|i| **i < n && !self.done.contains(**i)).count() as u32;
        n.saturating_sub(self.done.count_below(n)).saturating_sub(bound)
    }
}
