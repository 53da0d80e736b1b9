//! What the core's decisions cost at several sizes: a hand-out, a check-in, a
//! rental decision, and a new leader's start against past jobs. The leader and
//! the controllers' own parts are driven directly, in one thread; messages take
//! no time and are not encoded. What is measured is their processing only.
use crate::cloud::flavor;
use crate::worker::{Facts, Machine};
use gorseshore_core::controller::{Controller, HeartbeatReply, MachineSizes, parse_tasks};
use gorseshore_core::jobs::{Ledger, job_value, keys, machines_value};
use gorseshore_core::leader::{Leader, LeaderConfig, SyncView};
use gorseshore_core::peer::Message;
use gorseshore_core::placement_log::LogReplicas;
use gorseshore_protocol::ids::{JobId, MachineId, Micros, NodeId, Resources, TaskId};
use gorseshore_protocol::users::parse_submission;
use gorseshore_settings::{Operator, Team};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::time::Instant;

/// What is measured.
#[derive(Debug, Clone)]
pub struct Sizing {
    /// Numbers of machines.
    pub machines: Vec<usize>,
    /// Numbers of controllers, up to 15.
    pub controllers: Vec<usize>,
    /// Numbers of past jobs.
    pub past: Vec<usize>,
    /// Numbers of jobs that wait and find no room.
    pub waiting: Vec<usize>,
}

/// What went wrong.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A job of its own was not accepted.
    #[error("a job of the measurement is refused: {0}")]
    Job(String),
    /// Something never came to pass.
    #[error("{machines} machines, {controllers} controllers: {what}")]
    Stuck {
        /// Machines.
        machines: usize,
        /// Controllers.
        controllers: usize,
        /// What did not.
        what: &'static str,
    },
    /// A record could not be read back.
    #[error("record: {0}")]
    Record(#[from] serde_json::Error),
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const CPUS: f64 = 8.0;
/// Hand-outs that are timed; they fit on the machines of the smallest size.
const HAND_OUTS: u32 = 500;
/// Rounds that are timed.
const ROUNDS: u32 = 5;
/// Times in which something must have come to pass.
const PATIENCE: u32 = 400;

fn spec(id: u64, kind: &str, tasks: u32, cpus: f64) -> Result<Value, ScaleError> {
    let service = kind == "standing";
    let body = json!({"ref": JobId(id).to_string(), "lot": "l", "crew": "t", "manner": kind,
        "rank": if service { "prod" } else { "standard" }, "pieces": tasks, "cpus": cpus, "gpus": 0,
        "memory_gb": 1, "bundle": "i", "image_gb": 1, "same_place": false, "apart": service,
        "loaners": !service, "guess_s": 15, "mark_s": 0, "stow_s": 0});
    let spec =
        parse_submission(body.to_string().as_bytes()).map_err(|e| ScaleError::Job(format!("{e:?}")))?;
    Ok(job_value(&spec, 1_000_000))
}

/// Leader, controllers and workers, and their clock.
struct Bench {
    ledger: Ledger,
    sizes: MachineSizes,
    leader: Leader,
    controllers: Vec<Controller>,
    kept: LogReplicas,
    workers: Vec<Machine>,
    now: Micros,
    stamp: u64,
    jobs: u64,
}

fn context(controllers: usize) -> LeaderConfig {
    LeaderConfig {
        node_id: NodeId(0),
        names: (0..controllers).map(|i| format!("n{i}")).collect(),
        zones: (0..controllers).map(|i| ZONES[i % 3].to_owned()).collect(),
        operator: Operator { block_size: 100_000, max_machines: 100_000, ..Operator::default() },
        teams: vec![Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        objectives: Vec::new(),
        worker_lease: Micros::secs(26),
        report_interval: Micros::secs(5),
        cancel_timeout: Micros::secs(46),
        list_lag: Micros::secs(5),
        cloud_rps: 10.0,
    }
}

fn sizes() -> MachineSizes {
    MachineSizes::from([("big".into(), Resources::have(CPUS, 0.0, CPUS * 4.0))])
}

fn machine_records(ledger: &mut Ledger, machines: usize) -> Vec<Machine> {
    let mut workers = Vec::new();
    for i in 0..machines {
        let name = format!("host-{i:06}");
        let (zone, spot) = (ZONES[i % 3], i % 2 == 1);
        let id = MachineId::from(&*name);
        let v = machines_value(("big", zone, spot), std::iter::once((&id, name.as_str())));
        ledger.apply(&keys::machines(&id), Some(&v), 1);
        workers.push(Machine::new(&name, ("big", zone, spot), CPUS, 0));
    }
    workers
}

impl Bench {
    fn new(machines: usize, controllers: usize) -> Result<Self, ScaleError> {
        let mut ledger = Ledger::default();
        let workers = machine_records(&mut ledger, machines);
        let now = Micros::secs(100);
        let leader = Leader::new(context(controllers), 1, 10, &ledger, &sizes(), now, 1_000_000);
        let mut b = Bench {
            ledger,
            sizes: sizes(),
            leader,
            controllers: (0..controllers).map(|_| Controller::default()).collect(),
            kept: LogReplicas::default(),
            workers,
            now,
            stamp: 20,
            jobs: 0,
        };
        // Until every worker has its holder's token, and replicas take half of
        // the room on ordinary machines.
        let replicas = (machines as f64 * CPUS / 4.0) as u32;
        for _ in 0..replicas.div_ceil(10) {
            b.job("standing", 10, 1.0)?;
        }
        let full = |b: &Bench| b.workers.iter().map(|m| m.tasks.len()).sum::<usize>() >= replicas as usize;
        for _ in 0..PATIENCE {
            b.pass();
            b.report();
            if full(&b) {
                // What was told is settled.
                for _ in 0..4 {
                    b.pass();
                    b.report();
                }
                return Ok(b);
            }
        }
        Err(ScaleError::Stuck { machines, controllers, what: "replicas don't all run" })
    }

    fn job(&mut self, kind: &str, tasks: u32, cpus: f64) -> Result<JobId, ScaleError> {
        self.jobs += 1;
        self.stamp += 1;
        let id = JobId(self.jobs);
        self.ledger.apply(&keys::job(id), Some(&spec(self.jobs, kind, tasks, cpus)?), self.stamp);
        self.leader.job_changed(id, &self.ledger, self.now);
        Ok(id)
    }

    /// The leader's messages go out and are answered.
    fn exchange(&mut self) {
        if let Some((record, _)) = self.leader.due_replica_record(&self.ledger, &[], self.now) {
            self.stamp += 1;
            self.ledger.apply(keys::BOOKS, Some(&json!(record)), self.stamp);
            self.leader.replica_record_write_ended();
        }
        for (to, m) in self.leader.due_messages(self.now, true) {
            match m {
                Message::Update {
                    term,
                    seq,
                    base,
                    acked_sync: ack,
                    lease,
                    block,
                    not_in_block: elsewhere,
                    assignments: handouts,
                    stops,
                    running,
                    ..
                } => {
                    let c = &mut self.controllers[to.0 as usize];
                    if !c.accept_update(term, seq, base) {
                        continue;
                    }
                    c.apply_block(base == 0, &block, &elsewhere);
                    c.apply_sync_ack(ack, lease);
                    c.apply_running_counts(base == 0, &running);
                    c.apply_assignments(&handouts, &self.ledger, &self.sizes, self.now);
                    c.apply_stops(&stops);
                }
                Message::PlacementLogUpdate(page) => {
                    let seq = self.kept.apply(page);
                    self.leader.log_acknowledged(to, 1, seq, self.now);
                }
                _ => {}
            }
        }
        for i in 0..self.controllers.len() {
            let m = self.controllers[i].sync(1, Vec::new(), &self.ledger, self.now);
            if let Some((_, view)) = SyncView::of(&m) {
                self.leader.apply_sync(NodeId(i as u8), 1, &view, &self.ledger, self.now);
            }
        }
    }

    /// A quarter of a second of the leader's work.
    fn pass(&mut self) {
        for _ in 0..5 {
            self.now = self.now + Micros::millis(50);
            self.leader.tick(&self.ledger, self.now);
            self.exchange();
        }
    }

    /// Every worker reports once, and does what it is told.
    fn report(&mut self) {
        let facts = |piece: &str| -> Option<Facts> {
            let task = TaskId::parse(piece)?;
            let spec = self.ledger.jobs.get(&task.job)?.spec.clone()?;
            Some(Facts {
                cpus: spec.need.cpu as f64 / 1000.0,
                run_us: None,
                tasks: spec.tasks,
                save_us: None,
                fails: false,
            })
        };
        for w in &mut self.workers {
            let mut to = w.report_to;
            let r = w.report();
            let Some(tasks) = parse_tasks(&r) else { continue };
            // 421 names the holder; the next one is asked then.
            for _ in 0..2 {
                match self.controllers[to].checkin(&r, tasks.clone(), &self.ledger, self.now) {
                    HeartbeatReply::Commands(baton, orders) if baton.0 >= w.baton => {
                        w.baton = baton.0;
                        w.execute(&orders, &facts, self.now.0);
                        w.advance(&facts, self.now.0);
                        break;
                    }
                    HeartbeatReply::Commands(..) => break,
                    HeartbeatReply::Misdirected(holder) | HeartbeatReply::Superseded(holder) => {
                        to = holder.map_or((to + 1) % self.controllers.len(), |n| n.0 as usize);
                    }
                }
            }
            w.report_to = to;
        }
    }

    /// Microseconds a check-in: every worker's, what the leader hears of them,
    /// and its tick.
    fn checkin(&mut self) -> f64 {
        let mut spent = 0.0;
        for _ in 0..ROUNDS {
            self.now = self.now + Micros::secs(1);
            let t = Instant::now();
            self.report();
            self.leader.tick(&self.ledger, self.now);
            self.exchange();
            spent += t.elapsed().as_secs_f64();
            for _ in 0..4 {
                self.pass();
            }
        }
        spent * 1e6 / (ROUNDS as usize * self.workers.len()) as f64
    }

    /// Microseconds a hand-out, from choosing to the leader's knowing its place.
    fn hand_out(&mut self, controllers: usize) -> Result<f64, ScaleError> {
        for _ in 0..HAND_OUTS / 50 {
            self.job("array", 50, 1.0)?;
        }
        let t = Instant::now();
        let before = self.now;
        while self.leader.active_array_tasks() < HAND_OUTS as u64 {
            self.now = self.now + Micros::millis(25);
            self.leader.tick(&self.ledger, self.now);
            self.exchange();
            if self.now > before + Micros::secs(20) {
                let machines = self.workers.len();
                return Err(ScaleError::Stuck { machines, controllers, what: "not all is handed out" });
            }
        }
        Ok(t.elapsed().as_secs_f64() * 1e6 / HAND_OUTS as f64)
    }

    /// Milliseconds a rental decision, with 200 arrays that find no room.
    fn rental(&mut self) -> Result<f64, ScaleError> {
        for _ in 0..200 {
            self.job("array", 40, CPUS)?;
        }
        self.leader.tick(&self.ledger, self.now + Micros::millis(25));
        let flavor = |sku: &str, cpus: f64| flavor(sku, cpus, cpus / 10.0, 1.0 / 3.0, 30.0, &ZONES);
        let flavors = [flavor("big", CPUS), flavor("huge", 4.0 * CPUS)];
        let mut spent = 0.0;
        for _ in 0..ROUNDS {
            // The pace of decisions; nothing that was decided on is rented.
            self.now = self.now + Micros::millis(410);
            let t = Instant::now();
            self.leader.autoscale(&flavors, self.now);
            spent += t.elapsed().as_secs_f64();
        }
        Ok(spent * 1e3 / ROUNDS as f64)
    }
}

/// Milliseconds of work a second of a leader of a full fleet while so many jobs
/// of ten tasks wait, a tenth of them of the highest priority: its passes, and
/// its rental decisions while nothing can be had.
fn backlog(waiting: usize, machines: usize) -> Result<(f64, f64), ScaleError> {
    let mut b = Bench::new(machines, 3)?;
    // Everything that is left is taken.
    for _ in 0..machines * CPUS as usize {
        b.job("array", 1, CPUS / 2.0)?;
    }
    let mut before = u64::MAX;
    while b.leader.active_array_tasks() != before {
        before = b.leader.active_array_tasks();
        b.pass();
        b.report();
    }
    for i in 0..waiting {
        if i % 10 == 0 {
            b.job("standing", 10, CPUS)?;
        } else {
            b.job("array", 10, CPUS)?;
        }
    }
    b.pass();
    let flavor = |sku: &str, cpus: f64| flavor(sku, cpus, cpus / 10.0, 1.0 / 3.0, 30.0, &ZONES);
    let flavors = [flavor("big", CPUS)];
    let (mut passes, mut rentals) = (0.0, 0.0);
    for i in 0..50 * ROUNDS {
        b.now = b.now + Micros::millis(20);
        // Reports come in all the time, and something is always changed by one.
        b.leader.needs_scheduling = true;
        let t = Instant::now();
        b.leader.tick(&b.ledger, b.now);
        passes += t.elapsed().as_secs_f64();
        if i % 20 == 0 {
            let t = Instant::now();
            b.leader.autoscale(&flavors, b.now);
            rentals += t.elapsed().as_secs_f64();
            b.exchange();
        }
    }
    let a_second = 1e3 / ROUNDS as f64;
    Ok((passes * a_second, rentals * a_second))
}

/// Seconds until a leader with so many past jobs has read the records, as text,
/// and begun its term.
fn recovery(past: usize, machines: usize) -> Result<(f64, f64), ScaleError> {
    let mut rows: Vec<(String, String)> = Vec::new();
    for i in 0..past as u64 {
        let id = JobId(1000 + i);
        rows.push((keys::job(id), spec(id.0, "array", 40, 4.0)?.to_string()));
        rows.push((keys::end(id), json!({"end": "done", "at": 1_000_000}).to_string()));
    }
    for i in 0..300 {
        rows.push((keys::job(JobId(i)), spec(i, "standing", 10, 1.0)?.to_string()));
    }
    let mut ledger = Ledger::default();
    machine_records(&mut ledger, machines);
    let t = Instant::now();
    for (i, (key, text)) in rows.iter().enumerate() {
        let v: Value = serde_json::from_str(text)?;
        ledger.apply(key, Some(&v), i as u64 + 2);
    }
    let read = t.elapsed().as_secs_f64();
    let t = Instant::now();
    let l =
        Leader::new(context(3), 2, rows.len() as u64 + 9, &ledger, &sizes(), Micros::secs(100), 2_000_000);
    let began = t.elapsed().as_secs_f64();
    drop(l);
    Ok((read, began))
}

/// Slope of the logarithms by least squares.
fn slope(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.max(1e-9).ln())).collect();
    let n = logs.len() as f64;
    let (mx, my) = (logs.iter().map(|p| p.0).sum::<f64>() / n, logs.iter().map(|p| p.1).sum::<f64>() / n);
    let over: f64 = logs.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let under: f64 = logs.iter().map(|p| (p.0 - mx).powi(2)).sum();
    over / under
}

/// Measures, and gives a table.
pub fn run(s: &Sizing) -> Result<String, ScaleError> {
    let mut out = String::from("machines controllers  hand-out us  check-in us  rental ms\n");
    let mut rows: Vec<(usize, usize, [f64; 3])> = Vec::new();
    for machines in &s.machines {
        for controllers in &s.controllers {
            let mut b = Bench::new(*machines, *controllers)?;
            let checkin = b.checkin();
            let hand_out = b.hand_out(*controllers)?;
            let costs = [hand_out, checkin, b.rental()?];
            let [h, c, r] = costs;
            let _ = writeln!(out, "{machines:>8} {controllers:>11} {h:>12.1} {c:>12.1} {r:>10.2}");
            rows.push((*machines, *controllers, costs));
        }
    }
    for (i, what) in ["hand-out", "check-in", "rental decision"].iter().enumerate() {
        let by_machines: Vec<String> = s
            .controllers
            .iter()
            .map(|c| {
                let of: Vec<_> = rows.iter().filter(|r| r.1 == *c).map(|r| (r.0 as f64, r.2[i])).collect();
                format!("{c}: {:.2}", slope(&of))
            })
            .collect();
        let by_controllers: Vec<String> = s
            .machines
            .iter()
            .map(|m| {
                let of: Vec<_> = rows.iter().filter(|r| r.0 == *m).map(|r| (r.1 as f64, r.2[i])).collect();
                format!("{m}: {:.2}", slope(&of))
            })
            .collect();
        let _ = writeln!(
            out,
            "slope of a {what} over machines, by controllers {}; over controllers, by machines {}",
            by_machines.join(", "),
            by_controllers.join(", ")
        );
    }
    out += "past jobs   records read s   term begun s\n";
    let mut reads = Vec::new();
    for past in &s.past {
        let (read, began) = recovery(*past, s.machines.first().copied().unwrap_or(300))?;
        let _ = writeln!(out, "{past:>9} {read:>16.3} {began:>14.4}");
        reads.push((*past as f64, read + began));
    }
    let _ = writeln!(out, "slope over past jobs {:.2}", slope(&reads));
    out += "waiting jobs   passes ms a s   rentals ms a s\n";
    let mut spent = Vec::new();
    for waiting in &s.waiting {
        let (passes, rentals) = backlog(*waiting, s.machines.first().copied().unwrap_or(300))?;
        let _ = writeln!(out, "{waiting:>12} {passes:>15.1} {rentals:>16.1}");
        spent.push((*waiting as f64, passes + rentals));
    }
    let _ = writeln!(out, "slope over waiting jobs {:.2}", slope(&spent));
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_small_size_is_measured() {
        let s = Sizing {
            machines: vec![150, 300],
            controllers: vec![1, 3],
            past: vec![100, 1000],
            waiting: vec![50, 200],
        };
        let t = run(&s).unwrap();
        assert_eq!(t.lines().filter(|l| l.starts_with("slope")).count(), 5, "{t}");
        assert_eq!(t.lines().count(), 1 + 4 + 3 + 1 + 2 + 1 + 1 + 2 + 1, "{t}");
    }

    #[test]
    fn slopes_are_those_of_the_logarithms() {
        for (points, want) in [
            (vec![(1.0, 5.0), (10.0, 50.0), (100.0, 500.0)], 1.0),
            (vec![(1.0, 5.0), (10.0, 5.0)], 0.0),
            (vec![(1.0, 1.0), (2.0, 4.0), (4.0, 16.0)], 2.0),
        ] {
            assert!((slope(&points) - want).abs() < 1e-9, "{points:?}");
        }
    }
}
