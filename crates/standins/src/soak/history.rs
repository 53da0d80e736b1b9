//! History of a run as users, workers and the cloud observed it. Times are in microseconds
//! of the site's clock.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Mutex;

/// Kind of a user's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A submission, first or repeated.
    Submit,
    /// A status query.
    Poll,
    /// A cancellation.
    Cancel,
}

/// A user's request and its response, if any.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Job number.
    pub job: u64,
    /// Kind of the request.
    pub operation: Operation,
    /// When it was sent.
    pub sent: u64,
    /// When the response arrived or the user gave up.
    pub answered: u64,
    /// HTTP status, 0 without a response.
    pub status: u16,
    /// State of the job in a 200 or 201 response, otherwise empty.
    pub stage: String,
}

/// Specification of a submitted job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobFacts {
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// Team.
    pub team: String,
    /// The job is a service, which runs until it is cancelled.
    pub service: bool,
    /// The job may use spot machines.
    pub spot: bool,
    /// Required zone.
    pub zone: Option<String>,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Jobs that the job depends on.
    pub after: Vec<u64>,
}

/// A task started on a machine or left it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskEvent {
    /// Time of the event.
    pub at: u64,
    /// Job number and task index.
    pub task: (u64, u32),
    /// Machine name.
    pub machine: String,
    /// Zone.
    pub zone: String,
    /// The machine is a spot machine.
    pub spot: bool,
    /// Kind of the event.
    pub change: TaskChange,
}

/// Kind of a task event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskChange {
    /// The task runs on the machine from now on.
    Began,
    /// The task completed.
    Completed,
    /// The task left the machine without completing.
    Left,
}

/// Everything that was observed in a run.
#[derive(Debug, Default)]
pub struct History {
    /// All submitted jobs by number.
    pub jobs: BTreeMap<u64, JobFacts>,
    /// Requests in the order in which they finished.
    pub requests: Vec<Request>,
    /// Task events in order of time.
    pub tasks: Vec<TaskEvent>,
    /// When the last fault ended.
    pub faults_ended: u64,
    /// When the run ended.
    pub ended: u64,
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |us: u64| us as f64 / 1e6;
        writeln!(f, "calm {:.3} ended {:.3}", seconds(self.faults_ended), seconds(self.ended))?;
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

/// Identity of a machine whose tasks are recorded.
#[derive(Debug, Clone, Copy)]
pub struct MachineView<'a> {
    /// Machine name.
    pub machine: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// The machine is a spot machine.
    pub spot: bool,
}

/// Records observations from many threads.
#[derive(Debug, Default)]
pub struct Recorder {
    history: Mutex<History>,
    running_by_machine: Mutex<BTreeMap<String, BTreeSet<(u64, u32)>>>,
}

impl Recorder {
    /// Updates the history under its lock.
    pub fn update<T>(&self, change: impl FnOnce(&mut History) -> T) -> T {
        change(&mut self.history.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Records the running tasks of a machine as events against the previous call; of
    /// those that left, the ones in `completed` completed.
    pub fn record_machine(
        &self,
        view: MachineView<'_>,
        running: BTreeSet<(u64, u32)>,
        completed: &BTreeSet<(u64, u32)>,
        at: u64,
    ) {
        let mut all_running =
            self.running_by_machine.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let before = all_running.insert(view.machine.to_owned(), running.clone()).unwrap_or_default();
        let event = |task: (u64, u32), change| TaskEvent {
            at,
            task,
            machine: view.machine.to_owned(),
            zone: view.zone.to_owned(),
            spot: view.spot,
            change,
        };
        let left = before.difference(&running).map(|task| {
            event(*task, if completed.contains(task) { TaskChange::Completed } else { TaskChange::Left })
        });
        let started = running.difference(&before).map(|task| event(*task, TaskChange::Began));
        let events: Vec<TaskEvent> = left.chain(started).collect();
        if !events.is_empty() {
            self.update(|history| history.tasks.extend(events));
        }
    }
}
