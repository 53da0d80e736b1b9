//! Stand-in for a machine with its worker, written from the protocol.
use gorseshore::wire::workers::{Direct, Order, Piece, Report};

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    Fetching(u64),
    Running(u64),
    Saving(u64),
    Exited(&'static str),
}

/// A task on the machine.
#[derive(Debug, Clone)]
pub struct Task {
    pub name: String,
    pub attempt: u64,
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
    pub name: String,
    pub build: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub up_at: u64,
    pub hung_until: u64,
    pub cut_until: u64,
    pub sick: bool,
    pub shift: u64,
    pub tally: u64,
    pub baton: u64,
    pub tasks: Vec<Task>,
    pub report_to: usize,
    pub next_report: u64,
    /// The open report: its number, when it was sent, its session.
    pub open: Option<(u64, u64, u64)>,
    pub lease_from: u64,
    pub last_sent: u64,
    pub changed: bool,
}

/// What the worker knows of a job from its user.
pub struct Facts {
    pub cpus: f64,
    pub run_us: Option<u64>,
    pub tasks: u32,
    pub save_us: Option<u64>,
}

impl Machine {
    pub fn report(&mut self) -> Report {
        self.tally += 1;
        Report {
            host: self.name.clone(),
            addr: self.name.clone(),
            build: self.build.clone(),
            yard: self.zone.clone(),
            loaners: self.spot,
            shift: self.shift,
            tally: self.tally,
            baton: self.baton,
            warning_s: None,
            pieces: self
                .tasks
                .iter()
                .map(|t| {
                    let (stage, cause) = match t.stage {
                        Stage::Fetching(_) => ("pulling", None),
                        Stage::Running(_) => ("running", None),
                        Stage::Saving(_) => ("flushing", None),
                        Stage::Exited(c) => ("exited", Some(c.to_owned())),
                    };
                    Piece {
                        piece: t.name.clone(),
                        attempt: t.attempt,
                        stage: stage.into(),
                        cause,
                        kept: None,
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
    pub fn execute(&mut self, orders: &[Order], facts: &dyn Fn(&str) -> Option<Facts>, now: u64) {
        for o in orders {
            self.changed = true;
            let at = self.tasks.iter().position(|t| t.name == o.piece && t.attempt == o.attempt);
            match (o.verb.as_str(), at) {
                ("run", Some(_)) => {}
                ("run", None) => {
                    let used: f64 = self
                        .tasks
                        .iter()
                        .filter(|t| !matches!(t.stage, Stage::Exited(_)))
                        .filter_map(|t| facts(&t.name))
                        .map(|f| f.cpus)
                        .sum();
                    let stage = match facts(&o.piece) {
                        None => Stage::Exited("no_such"),
                        Some(_)
                            if self
                                .tasks
                                .iter()
                                .any(|t| t.name == o.piece && !matches!(t.stage, Stage::Exited(_))) =>
                        {
                            Stage::Exited("busy")
                        }
                        Some(f) if used + f.cpus > self.cpus + 1e-9 => Stage::Exited("no_room"),
                        Some(_) => Stage::Fetching(now + 400_000),
                    };
                    self.tasks.push(Task { name: o.piece.clone(), attempt: o.attempt, stage });
                }
                ("halt", Some(i)) => {
                    let grace = (o.wind_down_s.unwrap_or(0.0) * 1e6) as u64;
                    let save = facts(&o.piece).and_then(|f| f.save_us);
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
    pub fn direct(&mut self, d: &Direct, facts: &dyn Fn(&str) -> Option<Facts>, now: u64) -> (u16, Vec<u8>) {
        let ok = d.baton >= self.baton && d.shift == self.shift;
        if ok {
            if d.baton > self.baton {
                self.baton = d.baton;
                self.changed = true;
            }
            self.execute(&d.orders, facts, now);
        }
        (if ok { 200 } else { 409 }, serde_json::to_vec(&self.report()).unwrap())
    }

    /// Lets time pass for the tasks; true if one got its image.
    pub fn advance(&mut self, facts: &dyn Fn(&str) -> Option<Facts>, now: u64) -> Vec<String> {
        let mut started = Vec::new();
        for t in &mut self.tasks {
            let f = facts(&t.name);
            let next = match t.stage {
                Stage::Fetching(at) if now >= at => {
                    started.push(t.name.clone());
                    Stage::Running(f.and_then(|f| f.run_us).map_or(u64::MAX, |r| now + r))
                }
                Stage::Running(_) if self.sick => Stage::Exited("error"),
                Stage::Running(end) if now >= end => Stage::Exited("done"),
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
