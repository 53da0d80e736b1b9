//! What users, workers and the cloud saw of a run. Times are microseconds of the site's clock.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Mutex;

/// What a user asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A submission, the first one or a repeated one.
    Submit,
    /// A question.
    Poll,
    /// A cancellation.
    Cancel,
}

/// A request and its answer, if one came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The job.
    pub job: u64,
    /// What was asked.
    pub operation: Operation,
    /// When it was sent.
    pub sent: u64,
    /// When its answer came.
    pub answered: u64,
    /// HTTP status, 0 for no answer.
    pub status: u16,
    /// The job's state in the answer.
    pub stage: String,
}

/// A submitted job, as its user wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFacts {
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// Team.
    pub team: String,
    /// Runs until it is cancelled.
    pub service: bool,
    /// May use spot machines.
    pub spot: bool,
    /// The only zone that it may use.
    pub zone: Option<String>,
    /// At most half of its tasks may be in one zone.
    pub spread: bool,
    /// Jobs that it waits for.
    pub after: Vec<u64>,
}

/// A task came onto a machine, or left it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskEvent {
    /// When.
    pub at: u64,
    /// Job and index.
    pub task: (u64, u32),
    /// Machine.
    pub machine: String,
    /// Zone.
    pub zone: String,
    /// The machine is a spot one.
    pub spot: bool,
    /// It begins, or leaves with this outcome.
    pub change: TaskChange,
}

/// What became of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    /// It is on the machine from now on.
    Began,
    /// It completed.
    Completed,
    /// It left without completing.
    Left,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct History {
    /// Jobs that were ever submitted.
    pub jobs: BTreeMap<u64, JobFacts>,
    /// Requests in the order of their answers.
    pub requests: Vec<Request>,
    /// Tasks in order.
    pub tasks: Vec<TaskEvent>,
    /// When the last fault was over.
    pub calm: u64,
    /// When the run ended.
    pub ended: u64,
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |us: u64| us as f64 / 1e6;
        writeln!(f, "calm {:.3} ended {:.3}", seconds(self.calm), seconds(self.ended))?;
        for (id, job) in &self.jobs {
            writeln!(f, "job {id} {job:?}")?;
        }
        for e in &self.tasks {
            let (job, index) = e.task;
            writeln!(f, "task {:.3} {job}/{index} {} {} {:?}", seconds(e.at), e.machine, e.zone, e.change)?;
        }
        for r in &self.requests {
            let (sent, answered) = (seconds(r.sent), seconds(r.answered));
            writeln!(
                f,
                "request {sent:.3} {answered:.3} {} {:?} {} {}",
                r.job, r.operation, r.status, r.stage
            )?;
        }
        Ok(())
    }
}

/// A machine's tasks at a moment.
#[derive(Debug, Clone, Copy)]
pub struct MachineView<'a> {
    /// Its name.
    pub machine: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// It is a spot one.
    pub spot: bool,
}

/// Takes down what is seen, from many threads.
#[derive(Debug, Default)]
pub struct Recorder {
    history: Mutex<History>,
    on: Mutex<BTreeMap<String, BTreeSet<(u64, u32)>>>,
}

impl Recorder {
    /// Changes the history.
    pub fn note<T>(&self, change: impl FnOnce(&mut History) -> T) -> T {
        change(&mut self.history.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// A machine's tasks, whenever they may have changed; `completed` are those that ended well.
    pub fn machine(
        &self,
        view: MachineView<'_>,
        on: BTreeSet<(u64, u32)>,
        completed: &BTreeSet<(u64, u32)>,
        at: u64,
    ) {
        let mut all = self.on.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let before = all.insert(view.machine.to_owned(), on.clone()).unwrap_or_default();
        let event = |task: (u64, u32), change| TaskEvent {
            at,
            task,
            machine: view.machine.to_owned(),
            zone: view.zone.to_owned(),
            spot: view.spot,
            change,
        };
        let left = before.difference(&on).map(|task| {
            event(*task, if completed.contains(task) { TaskChange::Completed } else { TaskChange::Left })
        });
        let came = on.difference(&before).map(|task| event(*task, TaskChange::Began));
        let events: Vec<TaskEvent> = left.chain(came).collect();
        if !events.is_empty() {
            self.note(|history| history.tasks.extend(events));
        }
    }
}
