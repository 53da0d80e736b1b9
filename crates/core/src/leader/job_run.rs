//! The leader's state of one job: progress, failures, and the machines on which its tasks may
//! be. Invariant: `JobRun::next_pending` never returns a task that is bound or done.
use super::*;

/// Where an attempt of a task may be. The task is unbound only when no controller can still
/// start the attempt and no machine has it.
#[derive(Debug, Clone)]
pub(super) struct Binding {
    pub(super) attempt: Attempt,
    /// The assignment, until its outcome is known.
    pub(super) unresolved_assignment: Option<UnresolvedAssignment>,
    /// Machines that have the attempt.
    pub(super) reported_on: BTreeSet<MachineId>,
}

/// A job counts as faulty after more failures than this, on more than one machine, while none
/// of its tasks has run well.
pub(super) const FAULTY_JOB_FAILURES: u32 = 3;

/// A job with bounded attempts waits this long for a machine on which it has not failed: the
/// time of one or two boots. A faulty machine always has free capacity, because every task on
/// it exits.
pub(super) const RETRY_ELSEWHERE_TIMEOUT: Micros = Micros::secs(15);

/// Due time, in seconds after submission, of a job without a deadline whose class has no
/// objective.
const DEFAULT_DEADLINE_S: f64 = 1e9;

/// Time that a job of a pipeline takes beside the run time of its tasks: image fetches,
/// heartbeats, the record of its end, and the assignment of the next job's tasks.
const STAGE_OVERHEAD_MS: u64 = 5_000;

/// The leader's state of one job.
#[derive(Debug)]
pub(super) struct JobRun {
    pub(super) spec: Rc<JobSpec>,
    /// Revision of the job's record.
    pub(super) revision: u64,
    /// Its own priority and due times.
    pub(super) own_urgency: Urgency,
    /// The same, with what it inherits from jobs that depend on it.
    pub(super) urgency: Urgency,
    /// Time of day, in milliseconds, from which its wait counts: its submission, or the end of
    /// the last job that it depends on.
    pub(super) ready_ms: u64,
    /// Time within which jobs of its class are expected to complete, in milliseconds.
    objective_ms: Option<u64>,
    pub(super) done: TaskSet,
    pub(super) bound: BTreeMap<u32, Binding>,
    /// Tasks to start again after their binding ended.
    pub(super) requeued: BTreeSet<u32>,
    /// Tasks below this index are bound, done, or in `requeued`.
    pub(super) next_index: u32,
    /// No task is assigned before this, after a failure.
    pub(super) retry_at: Micros,
    pub(super) failures: u32,
    pub(super) failed_on: BTreeSet<MachineId>,
    /// A task of it completed, or ran long enough to show that the job is not faulty itself.
    pub(super) ran_well: bool,
    /// A task of it completed, or ran for longer than `starvation::MIN_RUN_TIME`.
    pub(super) started: bool,
    /// When a task first completed that is not recorded as done yet.
    pub(super) unrecorded_since: Option<Micros>,
    /// Tasks that are done and whose record is not seen yet. The placement log holds them: a
    /// worker reports them until then, but the next leader may assign them again before it
    /// receives that worker's heartbeat.
    pub(super) unrecorded: BTreeSet<u32>,
    /// Tasks were preempted for the job; until then no more are.
    pub(super) preempt_not_before: Micros,
    /// Until then the job waits for free capacity on a machine that has its image.
    pub(super) image_wait_until: Option<Micros>,
    /// The job is done or cancelled: no task is started, but tasks still on machines count.
    pub(super) ended: bool,
    /// Failed attempts by task, for a job with bounded attempts.
    pub(super) failed_attempts: BTreeMap<u32, Failures>,
    /// Tasks whose failure count is not recorded yet. They are not started again before it is.
    pub(super) unrecorded_failures: BTreeSet<u32>,
    /// The job that it replaces may still have tasks on machines, or a job that it depends on
    /// is not recorded as done.
    pub(super) unreleased: bool,
    /// Number of running tasks last sent to the controllers, and the first update with it.
    pub(super) reported_running: (u32, u64),
}

impl JobRun {
    pub(super) fn new(job: &Job, spec: Rc<JobSpec>, objectives: &[Objective]) -> Self {
        let of_class = || objectives.iter().filter(|o| o.class == spec.class);
        let within = of_class().filter(|o| o.kind == "finished").filter_map(|o| o.within_s).reduce(f64::max);
        let times = of_class().filter_map(|o| o.deadline_multiple).fold(1.0, f64::max);
        let millis = |s: f64| (s.max(0.0) * 1000.0) as u64;
        let due = spec.deadline_s.unwrap_or(DEFAULT_DEADLINE_S);
        let own_urgency = Urgency {
            priority: spec.priority,
            due_ms: job.submitted_ms + millis(due),
            latest_ms: job.submitted_ms + millis(due * times),
            has_user_deadline: spec.deadline_s.is_some(),
        };
        let mut run = JobRun {
            revision: job.revision,
            own_urgency,
            urgency: own_urgency,
            ready_ms: job.submitted_ms,
            objective_ms: within.map(millis),
            done: job.done.clone(),
            unreleased: false,
            spec,
            bound: BTreeMap::new(),
            requeued: BTreeSet::new(),
            next_index: 0,
            retry_at: Micros(0),
            failures: 0,
            failed_on: BTreeSet::new(),
            ran_well: false,
            started: !job.done.is_empty(),
            unrecorded_since: None,
            unrecorded: BTreeSet::new(),
            preempt_not_before: Micros(0),
            image_wait_until: None,
            ended: job.phase != Phase::Active,
            failed_attempts: job.failures.clone(),
            unrecorded_failures: BTreeSet::new(),
            reported_running: (0, 0),
        };
        run.set_ready_ms(job.submitted_ms);
        run
    }
    /// Sets the time of day, in milliseconds, from which its wait and the objective of its class
    /// count. A deadline of its own still counts from its submission.
    pub(super) fn set_ready_ms(&mut self, ready_ms: u64) {
        self.ready_ms = ready_ms;
        if let (Some(within), false) = (self.objective_ms, self.own_urgency.has_user_deadline) {
            self.own_urgency.due_ms = ready_ms + within;
            self.own_urgency.latest_ms = ready_ms + within;
        }
    }
    /// Time from its release to its record as done, in milliseconds, by its owner's estimate.
    /// Jobs that it depends on have to end this much earlier.
    pub(super) fn estimated_span_ms(&self) -> u64 {
        (self.spec.estimated_runtime_s * 1000.0) as u64 + STAGE_OVERHEAD_MS
    }
    /// The first task whose attempts are used up.
    pub(super) fn exhausted_task(&self) -> Option<u32> {
        let max_attempts = self.spec.max_attempts?;
        self.failed_attempts.iter().find(|(_, f)| f.count >= max_attempts).map(|(i, _)| *i)
    }
    /// Applies a changed job record: number of tasks, progress and failures. Returns the tasks
    /// of `unrecorded` that are now recorded as done.
    pub(super) fn apply_record(&mut self, job: &Job, spec: &JobSpec) -> Vec<u32> {
        self.done.union(&job.done);
        let recorded: Vec<u32> = self.unrecorded.iter().copied().filter(|i| job.done.contains(*i)).collect();
        self.unrecorded.retain(|i| !job.done.contains(*i));
        if spec.tasks != self.spec.tasks {
            // Tasks from the smaller number on are checked again.
            self.next_index = self.next_index.min(spec.tasks).min(self.spec.tasks);
            let mut s = JobSpec::clone(&self.spec);
            s.tasks = spec.tasks;
            self.spec = Rc::new(s);
        }
        for (i, f) in &job.failures {
            let own = self.failed_attempts.entry(*i).or_default();
            if f.last_attempt >= own.last_attempt {
                *own = *f;
                self.unrecorded_failures.remove(i);
            }
        }
        recorded
    }
    /// Whether the job itself seems faulty: it fails on every machine. One task at a time is
    /// then tried, after increasing delays; a task that runs well shows that the machines were
    /// faulty. A job with bounded attempts is not throttled: it uses them up.
    pub(super) fn is_faulty(&self) -> bool {
        !self.ran_well
            && self.spec.max_attempts.is_none()
            && self.failures > FAULTY_JOB_FAILURES
            && self.failed_on.len() > 1
    }
    /// Whether its tasks may be assigned to machines on which some of them failed: the job runs
    /// well elsewhere, so its failures are evidence against the machine together with those of
    /// other jobs, or it failed on more than three machines. A job with bounded attempts stays
    /// off these machines because a faulty machine once used up all attempts within a second,
    /// but only for `RETRY_ELSEWHERE_TIMEOUT`, so that its end is not delayed forever.
    pub(super) fn may_retry_on_failed_machine(&self, now: Micros) -> bool {
        let waited = self.spec.max_attempts.is_some() && now >= self.retry_at + RETRY_ELSEWHERE_TIMEOUT;
        self.ran_well || self.failed_on.len() > 3 || waited
    }
    /// When that becomes true with time alone; `None` if it is true or does not depend on time.
    pub(super) fn retry_on_failed_machine_at(&self, now: Micros) -> Option<Micros> {
        let waits = self.spec.max_attempts.is_some()
            && !self.failed_on.is_empty()
            && !self.may_retry_on_failed_machine(now);
        waits.then(|| self.retry_at + RETRY_ELSEWHERE_TIMEOUT)
    }
    /// Number of tasks that may be assigned now.
    pub(super) fn startable_tasks(&self) -> u32 {
        if self.is_faulty() { self.bound.is_empty() as u32 } else { self.pending_tasks() }
    }
    /// Whether no further task may be assigned while one is bound, because the job seems faulty.
    pub(super) fn is_throttled(&self) -> bool {
        !self.bound.is_empty() && self.is_faulty()
    }
    /// The next task to start: first those to start again, then by index.
    pub(super) fn next_pending(&mut self) -> Option<u32> {
        while let Some(i) = self.requeued.iter().copied().find(|i| !self.unrecorded_failures.contains(i)) {
            if i < self.spec.tasks && !self.done.contains(i) && !self.bound.contains_key(&i) {
                return Some(i);
            }
            self.requeued.remove(&i);
        }
        while self.next_index < self.spec.tasks {
            if !self.done.contains(self.next_index) && !self.bound.contains_key(&self.next_index) {
                return Some(self.next_index);
            }
            self.next_index += 1;
        }
        None
    }
    /// Sort key among its team's jobs: the earliest due first, then the jobs that can no longer
    /// complete in time. A late job rejoins the others when it is past its last due time by three
    /// times the span from its ready time to that due time. `slots` is the number of array tasks
    /// that run at a time.
    pub(super) fn queue_key(&self, wall_ms: u64, slots: u64) -> (bool, u64, u64) {
        let Urgency { due_ms, latest_ms, has_user_deadline: deadline, .. } = self.urgency;
        let span = latest_ms.saturating_sub(self.ready_ms);
        let waves = 1.0 + self.pending_tasks() as f64 / slots.max(1) as f64;
        let end = wall_ms + (self.spec.estimated_runtime_s * waves * 1000.0) as u64;
        let late = end > latest_ms && wall_ms < latest_ms + 3 * span;
        // A large job delays many small ones that could still complete in time, so its due time
        // is moved back in proportion to the slots that it would take. A deadline set by its
        // owner is not moved.
        let share = match deadline {
            false => (self.pending_tasks() as f64 / slots.max(1) as f64).min(1.0),
            true => 0.0,
        };
        (late, due_ms + (span as f64 * share) as u64, self.ready_ms)
    }
    /// Number of tasks that are neither done nor bound.
    pub(super) fn pending_tasks(&self) -> u32 {
        let n = self.spec.tasks;
        let bound = self.bound.keys().filter(|i| **i < n && !self.done.contains(**i)).count() as u32;
        n.saturating_sub(self.done.count_below(n)).saturating_sub(bound)
    }
}
