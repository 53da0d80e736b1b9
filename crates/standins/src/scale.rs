//! Measures the processing time of the core's decisions at several cluster sizes: a task
//! assignment, a worker heartbeat, an autoscaling decision, and a new leader's start
//! with past jobs. Leader and controllers are driven directly in one thread. Messages
//! are delivered at once and are not encoded, so that only their processing is measured.
use crate::cloud::flavor;
use crate::worker::{Machine, TaskProfile};
use gorseshore_core::controller::{Controller, HeartbeatReply, MachineSizes, parse_tasks};
use gorseshore_core::jobs::{StateReplica, job_value, keys, machines_value};
use gorseshore_core::leader::{Leader, LeaderConfig, SyncView};
use gorseshore_core::peer::Message;
use gorseshore_core::placement_log::LogReplicas;
use gorseshore_protocol::ids::{JobId, MachineId, Micros, NodeId, Resources, TaskId};
use gorseshore_protocol::users::parse_submission;
use gorseshore_settings::{Operator, Team};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::time::Instant;

/// Sizes to measure.
#[derive(Debug, Clone)]
pub struct Sizing {
    /// Numbers of machines.
    pub machines: Vec<usize>,
    /// Numbers of controllers, up to 15.
    pub controllers: Vec<usize>,
    /// Numbers of past jobs.
    pub past_jobs: Vec<usize>,
    /// Numbers of pending jobs for which there is no free capacity.
    pub pending_jobs: Vec<usize>,
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A job that the measurement submits was rejected.
    #[error("a job of the measurement was rejected: {0}")]
    Job(String),
    /// An expected state was not reached in time.
    #[error("{machines} machines, {controllers} controllers: {unreached}")]
    Timeout {
        /// Machines.
        machines: usize,
        /// Controllers.
        controllers: usize,
        /// Description of the missing state.
        unreached: &'static str,
    },
    /// A record could not be parsed.
    #[error("cannot parse a record: {0}")]
    Record(#[from] serde_json::Error),
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const CPUS: f64 = 8.0;
/// Number of timed assignments; they fit on the machines of the smallest size.
const TIMED_ASSIGNMENTS: u32 = 500;
/// Number of timed rounds of heartbeats and of autoscaling decisions; seconds that the
/// measurement of pending jobs covers.
const TIMED_ROUNDS: u32 = 5;
/// Rounds within which all service tasks have to run.
const MAX_SETUP_ROUNDS: u32 = 400;

fn job_record(id: u64, kind: &str, tasks: u32, cpus: f64) -> Result<Value, ScaleError> {
    let service = kind == "standing";
    let body = json!({"ref": JobId(id).to_string(), "lot": "l", "crew": "t", "manner": kind,
        "rank": if service { "prod" } else { "standard" }, "pieces": tasks, "cpus": cpus, "gpus": 0,
        "memory_gb": 1, "bundle": "i", "image_gb": 1, "same_place": false, "apart": service,
        "loaners": !service, "guess_s": 15, "mark_s": 0, "stow_s": 0});
    let spec =
        parse_submission(body.to_string().as_bytes()).map_err(|e| ScaleError::Job(format!("{e:?}")))?;
    Ok(job_value(&spec, 1_000_000))
}

/// Leader, controllers and workers with a simulated clock.
struct Bench {
    state_replica: StateReplica,
    sizes: MachineSizes,
    leader: Leader,
    controllers: Vec<Controller>,
    log_replica: LogReplicas,
    workers: Vec<Machine>,
    now: Micros,
    revision: u64,
    jobs: u64,
}

fn leader_config(controllers: usize) -> LeaderConfig {
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

fn machine_sizes() -> MachineSizes {
    MachineSizes::from([("big".into(), Resources::capacity(CPUS, 0.0, CPUS * 4.0))])
}

fn add_machine_records(state_replica: &mut StateReplica, machines: usize) -> Vec<Machine> {
    let mut workers = Vec::new();
    for i in 0..machines {
        let name = format!("host-{i:06}");
        let (zone, spot) = (ZONES[i % 3], i % 2 == 1);
        let id = MachineId::from(&*name);
        let v = machines_value(("big", zone, spot), std::iter::once((&id, name.as_str())));
        state_replica.apply(&keys::machines(&id), Some(&v), 1);
        workers.push(Machine::new(&name, ("big", zone, spot), CPUS, 0));
    }
    workers
}

impl Bench {
    fn new(machines: usize, controllers: usize) -> Result<Self, ScaleError> {
        let mut state_replica = StateReplica::default();
        let workers = add_machine_records(&mut state_replica, machines);
        let now = Micros::secs(100);
        let leader =
            Leader::new(leader_config(controllers), 1, 10, &state_replica, &machine_sizes(), now, 1_000_000);
        let mut b = Bench {
            state_replica,
            sizes: machine_sizes(),
            leader,
            controllers: (0..controllers).map(|_| Controller::default()).collect(),
            log_replica: LogReplicas::default(),
            workers,
            now,
            revision: 20,
            jobs: 0,
        };
        // Runs rounds until every worker has the fencing token of the controller that
        // holds its lease, and service tasks take half of the capacity of on-demand machines.
        let service_tasks = (machines as f64 * CPUS / 4.0) as u32;
        for _ in 0..service_tasks.div_ceil(10) {
            b.submit_job("standing", 10, 1.0)?;
        }
        let all_running =
            |b: &Bench| b.workers.iter().map(|m| m.tasks.len()).sum::<usize>() >= service_tasks as usize;
        for _ in 0..MAX_SETUP_ROUNDS {
            b.run_leader();
            b.send_heartbeats();
            if all_running(&b) {
                // Four more rounds, so that all updates are acknowledged.
                for _ in 0..4 {
                    b.run_leader();
                    b.send_heartbeats();
                }
                return Ok(b);
            }
        }
        Err(ScaleError::Timeout { machines, controllers, unreached: "not all service tasks run" })
    }

    fn submit_job(&mut self, kind: &str, tasks: u32, cpus: f64) -> Result<JobId, ScaleError> {
        self.jobs += 1;
        self.revision += 1;
        let id = JobId(self.jobs);
        self.state_replica.apply(
            &keys::job(id),
            Some(&job_record(self.jobs, kind, tasks, cpus)?),
            self.revision,
        );
        self.leader.job_changed(id, &self.state_replica, self.now);
        Ok(id)
    }

    /// Delivers the leader's messages to the controllers and their responses to the leader.
    fn exchange(&mut self) {
        if let Some((record, _)) = self.leader.due_replica_record(&self.state_replica, &[], self.now) {
            self.revision += 1;
            self.state_replica.apply(keys::STANDBY_REPLICAS, Some(&json!(record)), self.revision);
            self.leader.replica_record_write_ended();
        }
        for (to, m) in self.leader.due_messages(self.now, true) {
            match m {
                Message::Update {
                    term,
                    seq,
                    base,
                    acked_sync,
                    lease,
                    block,
                    not_in_block,
                    assignments,
                    stops,
                    running,
                    ..
                } => {
                    let c = &mut self.controllers[to.0 as usize];
                    if !c.accept_update(term, seq, base) {
                        continue;
                    }
                    c.apply_block(base == 0, &block, &not_in_block);
                    c.apply_sync_ack(acked_sync, lease);
                    c.apply_running_counts(base == 0, &running);
                    c.apply_assignments(&assignments, &self.state_replica, &self.sizes, self.now);
                    c.apply_stops(&stops);
                }
                Message::PlacementLogUpdate(page) => {
                    let seq = self.log_replica.apply(page);
                    self.leader.log_acknowledged(to, 1, seq, self.now);
                }
                _ => {}
            }
        }
        for i in 0..self.controllers.len() {
            let m = self.controllers[i].sync(1, Vec::new(), &self.state_replica, self.now);
            if let Some((_, view)) = SyncView::of(&m) {
                self.leader.apply_sync(NodeId(i as u8), 1, &view, &self.state_replica, self.now);
            }
        }
    }

    /// Runs the leader for 250 ms of simulated time.
    fn run_leader(&mut self) {
        for _ in 0..5 {
            self.now = self.now + Micros::millis(50);
            self.leader.tick(&self.state_replica, self.now);
            self.exchange();
        }
    }

    /// Every worker sends one heartbeat and executes the commands in the response.
    fn send_heartbeats(&mut self) {
        let profile_of = |task_name: &str| -> Option<TaskProfile> {
            let task = TaskId::parse(task_name)?;
            let spec = self.state_replica.jobs.get(&task.job)?.spec.clone()?;
            Some(TaskProfile {
                cpus: spec.task_resources.cpu as f64 / 1000.0,
                run_us: None,
                tasks: spec.tasks,
                checkpoint_us: None,
                fails: false,
            })
        };
        for w in &mut self.workers {
            let mut target = w.target_controller;
            let r = w.report();
            let Some(tasks) = parse_tasks(&r) else { continue };
            // A 421 reply names the controller that holds the machine; the worker tries
            // that one or the next one.
            for _ in 0..2 {
                match self.controllers[target].receive_heartbeat(
                    &r,
                    tasks.clone(),
                    &self.state_replica,
                    self.now,
                ) {
                    HeartbeatReply::Commands(token, commands) if token.0 >= w.fencing_token => {
                        w.fencing_token = token.0;
                        w.execute(&commands, &profile_of, self.now.0);
                        w.advance(&profile_of, self.now.0);
                        break;
                    }
                    HeartbeatReply::Commands(..) => break,
                    HeartbeatReply::Misdirected(holder) | HeartbeatReply::Superseded(holder) => {
                        target = holder.map_or((target + 1) % self.controllers.len(), |n| n.0 as usize);
                    }
                }
            }
            w.target_controller = target;
        }
    }

    /// Microseconds per heartbeat: of the controllers for the heartbeats of all workers,
    /// and of the leader for the resulting messages and its tick.
    fn measure_heartbeats(&mut self) -> f64 {
        let mut elapsed = 0.0;
        for _ in 0..TIMED_ROUNDS {
            self.now = self.now + Micros::secs(1);
            let t = Instant::now();
            self.send_heartbeats();
            self.leader.tick(&self.state_replica, self.now);
            self.exchange();
            elapsed += t.elapsed().as_secs_f64();
            for _ in 0..4 {
                self.run_leader();
            }
        }
        elapsed * 1e6 / (TIMED_ROUNDS as usize * self.workers.len()) as f64
    }

    /// Microseconds per assignment, from the choice of a machine until the leader knows
    /// the task's machine.
    fn measure_assignments(&mut self, controllers: usize) -> Result<f64, ScaleError> {
        for _ in 0..TIMED_ASSIGNMENTS / 50 {
            self.submit_job("array", 50, 1.0)?;
        }
        let t = Instant::now();
        let before = self.now;
        while self.leader.active_array_tasks() < TIMED_ASSIGNMENTS as u64 {
            self.now = self.now + Micros::millis(25);
            self.leader.tick(&self.state_replica, self.now);
            self.exchange();
            if self.now > before + Micros::secs(20) {
                let machines = self.workers.len();
                return Err(ScaleError::Timeout {
                    machines,
                    controllers,
                    unreached: "not all tasks are assigned",
                });
            }
        }
        Ok(t.elapsed().as_secs_f64() * 1e6 / TIMED_ASSIGNMENTS as f64)
    }

    /// Milliseconds per autoscaling decision, with 200 pending arrays for which there is no
    /// free capacity.
    fn measure_autoscaling(&mut self) -> Result<f64, ScaleError> {
        for _ in 0..200 {
            self.submit_job("array", 40, CPUS)?;
        }
        self.leader.tick(&self.state_replica, self.now + Micros::millis(25));
        let flavor = |sku: &str, cpus: f64| flavor(sku, cpus, cpus / 10.0, 1.0 / 3.0, 30.0, &ZONES);
        let flavors = [flavor("big", CPUS), flavor("huge", 4.0 * CPUS)];
        let mut elapsed = 0.0;
        for _ in 0..TIMED_ROUNDS {
            // Interval of decisions; no machine is actually rented.
            self.now = self.now + Micros::millis(410);
            let t = Instant::now();
            self.leader.autoscale(&flavors, self.now);
            elapsed += t.elapsed().as_secs_f64();
        }
        Ok(elapsed * 1e3 / TIMED_ROUNDS as f64)
    }
}

/// Milliseconds of work per second for the leader of a full fleet while `pending_jobs` jobs
/// of ten tasks are pending, a tenth of them with the highest priority: for its
/// scheduling passes, and for its autoscaling decisions while nothing is rented.
fn measure_backlog(pending_jobs: usize, machines: usize) -> Result<(f64, f64), ScaleError> {
    let mut b = Bench::new(machines, 3)?;
    // Fills the remaining capacity.
    for _ in 0..machines * CPUS as usize {
        b.submit_job("array", 1, CPUS / 2.0)?;
    }
    let mut before = u64::MAX;
    while b.leader.active_array_tasks() != before {
        before = b.leader.active_array_tasks();
        b.run_leader();
        b.send_heartbeats();
    }
    for i in 0..pending_jobs {
        if i % 10 == 0 {
            b.submit_job("standing", 10, CPUS)?;
        } else {
            b.submit_job("array", 10, CPUS)?;
        }
    }
    b.run_leader();
    let flavor = |sku: &str, cpus: f64| flavor(sku, cpus, cpus / 10.0, 1.0 / 3.0, 30.0, &ZONES);
    let flavors = [flavor("big", CPUS)];
    let (mut passes, mut rentals) = (0.0, 0.0);
    for i in 0..50 * TIMED_ROUNDS {
        b.now = b.now + Micros::millis(20);
        // Heartbeats arrive continuously, so that every tick has something to schedule.
        b.leader.needs_scheduling = true;
        let t = Instant::now();
        b.leader.tick(&b.state_replica, b.now);
        passes += t.elapsed().as_secs_f64();
        if i % 20 == 0 {
            let t = Instant::now();
            b.leader.autoscale(&flavors, b.now);
            rentals += t.elapsed().as_secs_f64();
            b.exchange();
        }
    }
    let ms_per_s = 1e3 / TIMED_ROUNDS as f64;
    Ok((passes * ms_per_s, rentals * ms_per_s))
}

/// Seconds that a new leader with `past_jobs` past jobs takes to parse and apply the records,
/// and seconds to start its term.
fn measure_recovery(past_jobs: usize, machines: usize) -> Result<(f64, f64), ScaleError> {
    let mut rows: Vec<(String, String)> = Vec::new();
    for i in 0..past_jobs as u64 {
        let id = JobId(1000 + i);
        rows.push((keys::job(id), job_record(id.0, "array", 40, 4.0)?.to_string()));
        rows.push((keys::end(id), json!({"end": "done", "at": 1_000_000}).to_string()));
    }
    for i in 0..300 {
        rows.push((keys::job(JobId(i)), job_record(i, "standing", 10, 1.0)?.to_string()));
    }
    let mut state_replica = StateReplica::default();
    add_machine_records(&mut state_replica, machines);
    let t = Instant::now();
    for (i, (key, text)) in rows.iter().enumerate() {
        let v: Value = serde_json::from_str(text)?;
        state_replica.apply(key, Some(&v), i as u64 + 2);
    }
    let read = t.elapsed().as_secs_f64();
    let t = Instant::now();
    let l = Leader::new(
        leader_config(3),
        2,
        rows.len() as u64 + 9,
        &state_replica,
        &machine_sizes(),
        Micros::secs(100),
        2_000_000,
    );
    let began = t.elapsed().as_secs_f64();
    drop(l);
    Ok((read, began))
}

/// Least-squares slope of log y over log x.
fn slope(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.max(1e-9).ln())).collect();
    let n = logs.len() as f64;
    let (mx, my) = (logs.iter().map(|p| p.0).sum::<f64>() / n, logs.iter().map(|p| p.1).sum::<f64>() / n);
    let covariance: f64 = logs.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let variance: f64 = logs.iter().map(|p| (p.0 - mx).powi(2)).sum();
    covariance / variance
}

/// Runs the measurements and returns their results as a table.
pub fn run(s: &Sizing) -> Result<String, ScaleError> {
    let mut out = String::from("machines controllers  hand-out us  check-in us  rental ms\n");
    let mut rows: Vec<(usize, usize, [f64; 3])> = Vec::new();
    for machines in &s.machines {
        for controllers in &s.controllers {
            let mut b = Bench::new(*machines, *controllers)?;
            let heartbeat = b.measure_heartbeats();
            let assignment = b.measure_assignments(*controllers)?;
            let costs = [assignment, heartbeat, b.measure_autoscaling()?];
            let [h, c, r] = costs;
            let _ = writeln!(out, "{machines:>8} {controllers:>11} {h:>12.1} {c:>12.1} {r:>10.2}");
            rows.push((*machines, *controllers, costs));
        }
    }
    for (i, operation) in ["hand-out", "check-in", "rental decision"].iter().enumerate() {
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
            "slope of a {operation} over machines, by controllers {}; over controllers, by machines {}",
            by_machines.join(", "),
            by_controllers.join(", ")
        );
    }
    out += "past jobs   records read s   term begun s\n";
    let mut reads = Vec::new();
    for past in &s.past_jobs {
        let (read, began) = measure_recovery(*past, s.machines.first().copied().unwrap_or(300))?;
        let _ = writeln!(out, "{past:>9} {read:>16.3} {began:>14.4}");
        reads.push((*past as f64, read + began));
    }
    let _ = writeln!(out, "slope over past jobs {:.2}", slope(&reads));
    out += "waiting jobs   passes ms a s   rentals ms a s\n";
    let mut elapsed = Vec::new();
    for waiting in &s.pending_jobs {
        let (passes, rentals) = measure_backlog(*waiting, s.machines.first().copied().unwrap_or(300))?;
        let _ = writeln!(out, "{waiting:>12} {passes:>15.1} {rentals:>16.1}");
        elapsed.push((*waiting as f64, passes + rentals));
    }
    let _ = writeln!(out, "slope over waiting jobs {:.2}", slope(&elapsed));
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
            past_jobs: vec![100, 1000],
            pending_jobs: vec![50, 200],
        };
        let t = run(&s).unwrap();
        assert_eq!(t.lines().filter(|l| l.starts_with("slope")).count(), 5, "{t}");
        assert_eq!(t.lines().count(), 1 + 4 + 3 + 1 + 2 + 1 + 1 + 2 + 1, "{t}");
    }

    #[test]
    fn slopes_are_those_of_the_logarithms() {
        for (points, expected) in [
            (vec![(1.0, 5.0), (10.0, 50.0), (100.0, 500.0)], 1.0),
            (vec![(1.0, 5.0), (10.0, 5.0)], 0.0),
            (vec![(1.0, 1.0), (2.0, 4.0), (4.0, 16.0)], 2.0),
        ] {
            assert!((slope(&points) - expected).abs() < 1e-9, "{points:?}");
        }
    }
}
