//! Stand-in for a machine with its worker, written from the protocol.
use gorseshore_protocol::workers::{Command, CommandRequest, Report, ReportedTask};

/// Where a task stands; times are microseconds of the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    /// Has its image at that time.
    Fetching(u64),
    /// Completes at that time.
    Running(u64),
    /// Has saved at that time.
    Saving(u64),
    /// Ended, for this cause.
    Exited(&'static str),
}

/// A task on the machine.
#[derive(Debug, Clone)]
pub struct Task {
    /// Job and index, as `j-000412/3`.
    pub name: String,
    /// Attempt.
    pub attempt: u64,
    /// Where it stands.
    pub stage: Stage,
}

impl Task {
    /// From having its image until it ends.
    pub fn on(&self) -> bool {
        matches!(self.stage, Stage::Running(_) | Stage::Saving(_))
    }
}

/// The machine.
pub struct Machine {
    /// Name, which is its address too in worlds in memory.
    pub name: String,
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// CPUs.
    pub cpus: f64,
    /// When it is up.
    pub up_at: u64,
    /// Does nothing until then.
    pub hung_until: u64,
    /// Out of reach until then.
    pub cut_until: u64,
    /// Every task fails.
    pub sick: bool,
    /// Session.
    pub shift: u64,
    /// Number of the last report or answer.
    pub tally: u64,
    /// Highest token seen.
    pub baton: u64,
    /// Tasks, with those that exited and are not cleared.
    pub tasks: Vec<Task>,
    /// Which controller it reports to.
    pub report_to: usize,
    /// When the next report is due.
    pub next_report: u64,
    /// The open report: its number, when it was sent, its session.
    pub open: Option<(u64, u64, u64)>,
    /// What the lease counts from.
    pub lease_from: u64,
    /// When the last report went out.
    pub last_sent: u64,
    /// Something is to be reported.
    pub changed: bool,
}

/// What the worker knows of a job from its user.
pub struct Facts {
    /// CPUs of a task.
    pub cpus: f64,
    /// Run time; none for replicas.
    pub run_us: Option<u64>,
    /// Number of tasks.
    pub tasks: u32,
    /// Time to save; none if the task never saves.
    pub save_us: Option<u64>,
    /// It fails instead of completing.
    pub fails: bool,
}

impl Machine {
    /// A machine that is up at a time; nothing runs on it.
    pub fn new(name: &str, (build, zone, spot): (&str, &str, bool), cpus: f64, up_at: u64) -> Self {
        Machine {
            name: name.to_owned(),
            build: build.to_owned(),
            zone: zone.to_owned(),
            spot,
            cpus,
            up_at,
            hung_until: 0,
            cut_until: 0,
            sick: false,
            shift: 1,
            tally: 0,
            baton: 0,
            tasks: Vec::new(),
            report_to: 0,
            next_report: up_at,
            open: None,
            lease_from: up_at,
            last_sent: 0,
            changed: false,
        }
    }

    /// The report as of now; each has a number of its own.
    pub fn report(&mut self) -> Report {
        self.tally += 1;
        Report {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.build.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.shift,
            sequence: self.tally,
            fencing_token: self.baton,
            preemption_notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| {
                    let (stage, cause) = match t.stage {
                        Stage::Fetching(_) => ("pulling", None),
                        Stage::Running(_) => ("running", None),
                        Stage::Saving(_) => ("flushing", None),
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

    /// The lease ran out: everything is killed and forgotten.
    pub fn check_lease(&mut self, now: u64, lease: u64) {
        if now > self.lease_from + lease {
            self.tasks.clear();
            self.shift += 1;
            self.lease_from = now;
            self.changed = true;
        }
    }

    /// Executes orders in their order.
    pub fn execute(&mut self, orders: &[Command], facts: &dyn Fn(&str) -> Option<Facts>, now: u64) {
        for o in orders {
            self.changed = true;
            let at = self.tasks.iter().position(|t| t.name == o.task && t.attempt == o.attempt);
            match (o.action.as_str(), at) {
                ("run", Some(_)) => {}
                ("run", None) => {
                    let used: f64 = self
                        .tasks
                        .iter()
                        .filter(|t| !matches!(t.stage, Stage::Exited(_)))
                        .filter_map(|t| facts(&t.name))
                        .map(|f| f.cpus)
                        .sum();
                    let stage = match facts(&o.task) {
                        None => Stage::Exited("no_such"),
                        Some(_)
                            if self
                                .tasks
                                .iter()
                                .any(|t| t.name == o.task && !matches!(t.stage, Stage::Exited(_))) =>
                        {
                            Stage::Exited("busy")
                        }
                        Some(f) if used + f.cpus > self.cpus + 1e-9 => Stage::Exited("no_room"),
                        Some(_) => Stage::Fetching(now + 400_000),
                    };
                    self.tasks.push(Task { name: o.task.clone(), attempt: o.attempt, stage });
                }
                ("halt", Some(i)) => {
                    let grace = (o.grace_period_s.unwrap_or(0.0) * 1e6) as u64;
                    let save = facts(&o.task).and_then(|f| f.save_us);
                    let t = &mut self.tasks[i];
                    t.stage = match (t.stage, save) {
                        (Stage::Exited(c), _) => Stage::Exited(c),
                        (Stage::Running(_), Some(s)) if grace >= s => Stage::Saving(now + s),
                        (Stage::Saving(until), _) if grace > 0 => Stage::Saving(until),
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

    /// `POST /do`.
    pub fn direct(
        &mut self,
        d: &CommandRequest,
        facts: &dyn Fn(&str) -> Option<Facts>,
        now: u64,
    ) -> (u16, Vec<u8>) {
        let ok = d.fencing_token >= self.baton && d.agent_epoch == self.shift;
        if ok {
            if d.fencing_token > self.baton {
                self.baton = d.fencing_token;
                self.changed = true;
            }
            self.execute(&d.commands, facts, now);
        }
        (if ok { 200 } else { 409 }, serde_json::to_vec(&self.report()).unwrap())
    }

    /// Lets time pass for the tasks; true if one got its image.
    pub fn advance(&mut self, facts: &dyn Fn(&str) -> Option<Facts>, now: u64) -> Vec<String> {
        let mut started = Vec::new();
        for t in &mut self.tasks {
            let f = facts(&t.name);
            let fails = f.as_ref().is_some_and(|f| f.fails);
            let next = match t.stage {
                Stage::Fetching(at) if now >= at => {
                    started.push(t.name.clone());
                    Stage::Running(f.and_then(|f| f.run_us).map_or(u64::MAX, |r| now + r))
                }
                Stage::Running(_) if self.sick => Stage::Exited("error"),
                Stage::Running(end) if now >= end => Stage::Exited(if fails { "error" } else { "done" }),
                Stage::Saving(end) if now >= end => Stage::Exited("halted"),
                s => s,
            };
            if next != t.stage {
                t.stage = next;
                self.changed = true;
            }
        }
        started
    }
}
