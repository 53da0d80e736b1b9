//! Stand-in for a machine and its worker agent, implemented from the protocol.
use gorseshore_protocol::workers::{Command, CommandRequest, Report, ReportedTask};
use std::collections::BTreeSet;

/// State of a task; times are in microseconds of the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    /// Pulls its image until this time.
    PullingImage(u64),
    /// Runs, and completes at this time.
    Running(u64),
    /// Received a halt command and saves its progress until this time.
    Checkpointing(u64),
    /// Exited with this cause.
    Exited(&'static str),
}

/// A task on the machine.
#[derive(Debug, Clone)]
pub struct Task {
    /// Job id and task index, as `j-000412/3`.
    pub name: String,
    /// Attempt of the task.
    pub attempt: u64,
    /// State.
    pub stage: Stage,
}

impl Task {
    /// Whether the task has its image and has not exited.
    pub fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_) | Stage::Checkpointing(_))
    }
}

/// A machine with its worker agent; times are in microseconds of the caller's clock.
pub struct Machine {
    /// Name; also the machine's address in in-memory simulations.
    pub name: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// CPUs.
    pub cpus: f64,
    /// When it has booted.
    pub up_at: u64,
    /// Does nothing until this time.
    pub hung_until: u64,
    /// Unreachable over the network until this time.
    pub unreachable_until: u64,
    /// Every running task fails.
    pub fails_all_tasks: bool,
    /// Agent epoch; increases when the agent loses its tasks.
    pub agent_epoch: u64,
    /// Sequence number of the last report or command response.
    pub sequence: u64,
    /// Highest fencing token seen.
    pub fencing_token: u64,
    /// Tasks, including exited ones that are not cleared yet.
    pub tasks: Vec<Task>,
    /// Index of the controller that it reports to.
    pub target_controller: usize,
    /// Earliest time of the next report.
    pub next_report_at: u64,
    /// The unanswered report: a number that identifies the request, when it was sent, its
    /// agent epoch.
    pub outstanding_report: Option<(u64, u64, u64)>,
    /// Start of the current lease.
    pub lease_start: u64,
    /// When the last report was sent.
    pub last_report_at: u64,
    /// Whether there are changes that no report contains yet.
    pub has_changes: bool,
    /// Attempts whose start was carried out: agent epoch, task and attempt.
    started: BTreeSet<(u64, String, u64)>,
    /// Starts of attempts that were started in the same agent epoch before, and cleared.
    pub repeated_starts: Vec<String>,
}

/// How the tasks of a job behave on a worker.
pub struct TaskProfile {
    /// CPUs per task.
    pub cpus: f64,
    /// Run time in microseconds; `None` for service tasks, which run until they are stopped.
    pub run_us: Option<u64>,
    /// Number of tasks in the job.
    pub tasks: u32,
    /// Time to save progress in microseconds; `None` if the task never saves.
    pub checkpoint_us: Option<u64>,
    /// The task fails instead of completing.
    pub fails: bool,
}

impl Machine {
    /// A machine without tasks that has booted at `up_at`.
    pub fn new(name: &str, (build, zone, spot): (&str, &str, bool), cpus: f64, up_at: u64) -> Self {
        Machine {
            name: name.to_owned(),
            machine_type: build.to_owned(),
            zone: zone.to_owned(),
            spot,
            cpus,
            up_at,
            hung_until: 0,
            unreachable_until: 0,
            fails_all_tasks: false,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: Vec::new(),
            target_controller: 0,
            next_report_at: up_at,
            outstanding_report: None,
            lease_start: up_at,
            last_report_at: 0,
            has_changes: false,
            started: BTreeSet::new(),
            repeated_starts: Vec::new(),
        }
    }

    /// The agent restarts with nothing in memory, as if the machine had just booted.
    pub fn lose_memory(&mut self, now: u64) {
        self.tasks.clear();
        (self.agent_epoch, self.sequence, self.fencing_token) = (1, 0, 0);
        self.outstanding_report = None;
        (self.lease_start, self.next_report_at) = (now, now);
        self.has_changes = true;
    }

    /// Builds a report of the current state with the next sequence number.
    pub fn report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| {
                    let (stage, cause) = match t.stage {
                        Stage::PullingImage(_) => ("pulling", None),
                        Stage::Running(_) => ("running", None),
                        Stage::Checkpointing(_) => ("flushing", None),
                        Stage::Exited(c) => ("exited", Some(c.to_owned())),
                    };
                    ReportedTask {
                        task: t.name.clone(),
                        attempt: t.attempt,
                        state: stage.into(),
                        cause,
                        checkpointed: None,
                    }
                })
                .collect(),
        }
    }

    /// If the lease has expired, kills and removes all tasks and starts a new agent epoch.
    pub fn enforce_lease(&mut self, now: u64, lease: u64) {
        if now > self.lease_start + lease {
            self.tasks.clear();
            self.agent_epoch += 1;
            self.lease_start = now;
            self.has_changes = true;
        }
    }

    /// Executes commands in the given order.
    pub fn execute(
        &mut self,
        commands: &[Command],
        profile_of: &dyn Fn(&str) -> Option<TaskProfile>,
        now: u64,
    ) {
        for o in commands {
            self.has_changes = true;
            let at = self.tasks.iter().position(|t| t.name == o.task && t.attempt == o.attempt);
            match (o.action.as_str(), at) {
                ("run", Some(_)) => {}
                ("run", None) => {
                    if !self.started.insert((self.agent_epoch, o.task.clone(), o.attempt)) {
                        self.repeated_starts.push(format!("{}@{} on {}", o.task, o.attempt, self.name));
                    }
                    let used_cpus: f64 = self
                        .tasks
                        .iter()
                        .filter(|t| !matches!(t.stage, Stage::Exited(_)))
                        .filter_map(|t| profile_of(&t.name))
                        .map(|f| f.cpus)
                        .sum();
                    let stage = match profile_of(&o.task) {
                        None => Stage::Exited("no_such"),
                        // Another attempt, also an exited one that is not cleared yet.
                        Some(_) if self.tasks.iter().any(|t| t.name == o.task) => Stage::Exited("busy"),
                        Some(f) if used_cpus + f.cpus > self.cpus + 1e-9 => Stage::Exited("no_room"),
                        Some(_) => Stage::PullingImage(now + 400_000),
                    };
                    self.tasks.push(Task { name: o.task.clone(), attempt: o.attempt, stage });
                }
                ("halt", Some(i)) => {
                    let grace = (o.grace_period_s.unwrap_or(0.0) * 1e6) as u64;
                    let checkpoint_us = profile_of(&o.task).and_then(|f| f.checkpoint_us);
                    let t = &mut self.tasks[i];
                    t.stage = match (t.stage, checkpoint_us) {
                        (Stage::Exited(c), _) => Stage::Exited(c),
                        (Stage::Running(_), Some(s)) if grace >= s => Stage::Checkpointing(now + s),
                        (Stage::Checkpointing(until), _) if grace > 0 => Stage::Checkpointing(until),
                        _ => Stage::Exited("halted"),
                    };
                }
                ("clear", Some(i)) if matches!(self.tasks[i].stage, Stage::Exited(_)) => {
                    self.tasks.remove(i);
                }
                _ => {}
            }
        }
    }

    /// Handles `POST /do`: executes the commands unless the fencing token or the agent
    /// epoch is outdated. Returns HTTP status and body.
    pub fn apply_command_request(
        &mut self,
        d: &CommandRequest,
        profile_of: &dyn Fn(&str) -> Option<TaskProfile>,
        now: u64,
    ) -> (u16, Vec<u8>) {
        let accepted = d.fencing_token >= self.fencing_token && d.agent_epoch == self.agent_epoch;
        if accepted {
            if d.fencing_token > self.fencing_token {
                self.fencing_token = d.fencing_token;
                self.has_changes = true;
            }
            self.execute(&d.commands, profile_of, now);
        }
        (if accepted { 200 } else { 409 }, serde_json::to_vec(&self.report()).unwrap())
    }

    /// Advances the tasks to `now`; returns the names of those that started to run.
    pub fn advance(&mut self, profile_of: &dyn Fn(&str) -> Option<TaskProfile>, now: u64) -> Vec<String> {
        let mut started = Vec::new();
        for t in &mut self.tasks {
            let f = profile_of(&t.name);
            let fails = f.as_ref().is_some_and(|f| f.fails);
            let next = match t.stage {
                Stage::PullingImage(at) if now >= at => {
                    started.push(t.name.clone());
                    Stage::Running(f.and_then(|f| f.run_us).map_or(u64::MAX, |r| now + r))
                }
                Stage::Running(_) if self.fails_all_tasks => Stage::Exited("error"),
                Stage::Running(end) if now >= end => Stage::Exited(if fails { "error" } else { "done" }),
                Stage::Checkpointing(end) if now >= end => Stage::Exited("halted"),
                s => s,
            };
            if next != t.stage {
                t.stage = next;
                self.has_changes = true;
            }
        }
        started
    }
}
