//! Nomad jobs beside native ones: Nomad clients register, scale, stop and poll jobs at random
//! controllers, and the invariants of the tasks that run for them are checked.
use super::*;
use gorseshore_core::extension::Answer;
use gorseshore_core::jobs::parse_job_spec;
use gorseshore_nomad::service::Service;
use gorseshore_nomad::service::records::{JobKey, JobRecord};
use gorseshore_protocol::ids::{JobId, TaskId};
use gorseshore_protocol::job::Kind;
use std::collections::BTreeSet;

const SETTINGS: &str = r#"
nomad {
  class { name: "free" team: "free" job: "s*" type: "service" rank: "prod" max_count: 50 }
  class { name: "tight" team: "tight" job: "t*" type: "service" rank: "prod" max_count: 50 }
  class { name: "batch" team: "free" type: "batch" rank: "high" estimate_s: 4 max_count: 50 spot: true }
}
"#;

/// The operators' settings of a simulation with Nomad clients.
pub fn operator() -> Operator {
    Operator::parse(SETTINGS).unwrap()
}

/// A controller with the Nomad interface beside the scheduler.
pub fn with_nomad(node: Node, seed: u64) -> Node {
    let settings = operator().nomad.unwrap();
    node.with_extension(Box::new(Service::new(settings, seed)))
}

/// Operation that a Nomad client requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    Register,
    Scale,
    Stop,
    Poll,
}

/// A request in flight: operation and job, and the highest indexes that any client had received
/// before it was sent.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub op: Op,
    pub job: &'static str,
    reported: u64,
    index: u64,
}

/// What the Nomad clients know.
#[derive(Debug, Default)]
pub struct NomadClients {
    /// Highest `JobModifyIndex` received for each job.
    reported: BTreeMap<&'static str, u64>,
    /// Highest `X-Nomad-Index` received.
    index: u64,
    /// Job versions that were reported dead.
    dead: BTreeSet<(&'static str, u64)>,
    /// Time at which a stop was accepted, and its revision.
    stopped: BTreeMap<&'static str, (u64, u64)>,
    next: u64,
    pub accepted: usize,
    pub launched: usize,
    pub replaced: usize,
}

/// The Nomad clients' jobs: services of both teams, batch jobs, one job that always fails, and one
/// that is launched every minute.
const JOBS: [&str; 7] = ["s0", "s1", "t0", "b0", "b1", "fails", "minutes"];

fn file(job: &str, count: u32, image: u32) -> Value {
    let service = job.starts_with('s') || job.starts_with('t');
    let image = if job == "fails" { "fails".to_owned() } else { format!("i{image}") };
    // Long enough for several values of the state service.
    let meta = json!({"text": "x".repeat(3000)});
    let mut v = json!({"ID": job, "Type": if service { "service" } else { "batch" }, "Meta": meta,
        "TaskGroups": [{"Name": "g", "Count": count,
            "RestartPolicy": {"Attempts": if service { 2 } else { 1 }, "Mode": "fail"},
            "ReschedulePolicy": {"Attempts": if service { 0 } else { 1 }, "Unlimited": service},
            "Tasks": [{"Name": "t", "Driver": "docker", "Config": {"image": image},
                "Resources": {"Cores": 1, "MemoryMB": 512}}]}]});
    if job == "minutes" {
        v["Periodic"] = json!({"Specs": ["* * * * *"], "ProhibitOverlap": false});
    }
    json!({ "Job": v })
}

impl World {
    /// What a worker knows of a task of a Nomad job, from the job's record.
    pub fn nomad_task_profile(state: &StateService, task_id: &str) -> Option<TaskProfile> {
        let task = TaskId::parse(task_id).filter(|t| t.job.is_internal())?;
        let spec = parse_job_spec(task.job, &state.value(&format!("g/j/{}", task.job))?)?;
        (task.index < spec.tasks).then(|| TaskProfile {
            cpus: spec.task_resources.cpu as f64 / 1000.0,
            run_us: (spec.kind == Kind::Array).then_some((spec.estimated_runtime_s * 1e6) as u64),
            tasks: spec.tasks,
            checkpoint_us: None,
            fails: spec.image == "fails",
        })
    }

    fn heads(&self) -> Vec<(JobRecord, u64)> {
        let names = self.state.keys_with_prefix("g/n/j/");
        names
            .iter()
            .filter_map(|n| {
                Some((serde_json::from_value(self.state.value(n)?).ok()?, self.state.key_revision(n)))
            })
            .collect()
    }

    fn head(&self, job: &str) -> Option<(JobRecord, u64)> {
        let name = format!("g/n/j/{}", JobKey::of("default", job).0);
        Some((serde_json::from_value(self.state.value(&name)?).ok()?, self.state.key_revision(&name)))
    }

    /// Number of tasks of Nomad jobs on machines, by native job.
    fn nomad_tasks_by_job(&self) -> BTreeMap<JobId, u32> {
        let mut on = BTreeMap::new();
        for t in self.machines.values().flat_map(|m| &m.tasks).filter(|t| t.is_running()) {
            if let Some(t) = TaskId::parse(&t.name).filter(|t| t.job.is_internal()) {
                *on.entry(t.job).or_default() += 1;
            }
        }
        on
    }

    /// Sends the next request of a Nomad client.
    pub fn send_nomad_request(&mut self) {
        if self.now < self.nomad_clients.next {
            return;
        }
        let job = JOBS[self.rng.usize(0..JOBS.len())];
        self.nomad_clients.next = self.now + self.rng.u64(200 * MS..1200 * MS);
        let n = self.rng.usize(0..self.size.nodes);
        let busy = self.now < self.size.busy_until;
        let path = format!("/v1/job/{job}");
        let registered = self.nomad_clients.reported.contains_key(job);
        let op = match self.rng.u32(0..12) {
            _ if !registered => Op::Register,
            0..=2 if busy => Op::Register,
            3..=4 if busy && job != "minutes" => Op::Scale,
            5 if busy => Op::Stop,
            _ => Op::Poll,
        };
        // Also drawn for batch jobs: a smaller count does not undo tasks that are done.
        let count = self.rng.u32(1..5);
        let image = self.rng.u32(0..2);
        let (method, path, body) = match op {
            Op::Register => ("PUT", "/v1/jobs".into(), file(job, count, image).to_string()),
            Op::Scale => {
                let body = json!({"Target": {"Group": "g"}, "Count": count}).to_string();
                ("POST", format!("{path}/scale"), body)
            }
            Op::Stop => ("DELETE", path, String::new()),
            Op::Poll => ("GET", path, String::new()),
        };
        let reported = self.nomad_clients.reported.get(job).copied().unwrap_or(0);
        let request = ClientRequest { op, job, reported, index: self.nomad_clients.index };
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.pending_requests.insert(id, Requester::NomadClient(request));
        let me = self.incarnations[n];
        let d = self.delay();
        self.at(d, Event::ExtensionRequest(n, me, id, method, path, body.into_bytes()));
    }

    /// Checks an answer that reaches its Nomad client.
    pub fn check_nomad_answer(&mut self, id: RequestId, answer: Answer) {
        let Some(Requester::NomadClient(a)) = self.pending_requests.remove(&id) else { return };
        let header = answer.headers.iter().find(|(n, _)| *n == "X-Nomad-Index").map(|(_, v)| v.clone());
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        match answer.status {
            200 => {}
            404 if a.op == Op::Poll && a.reported > 0 => {
                return self.report_violation("forgotten", format!("{}: {text}", a.job));
            }
            // Stopped jobs cannot be scaled; 429 and 503 ask the client to retry later.
            400 | 404 | 409 if a.op == Op::Scale || a.op == Op::Stop => return,
            429 | 503 => return,
            s => return self.report_violation("answer", format!("{:?} of {}: {s} {text}", a.op, a.job)),
        }
        let index: u64 = header.and_then(|h| h.parse().ok()).unwrap_or(0);
        if index < a.index {
            self.report_violation("index", format!("{}: {index} after {}", a.job, a.index));
        }
        self.nomad_clients.index = self.nomad_clients.index.max(index);
        let v: Value = serde_json::from_slice(&answer.body).unwrap();
        let modified = v["JobModifyIndex"].as_u64().unwrap();
        if modified < a.reported {
            self.report_violation("went_back", format!("{}: version {modified} after {}", a.job, a.reported));
        }
        let known = self.nomad_clients.reported.entry(a.job).or_default();
        *known = modified.max(*known);
        match a.op {
            Op::Poll => {
                let dead = v["Status"] == "dead";
                if dead && v["Type"] == "batch" && v["Stop"] == false {
                    self.nomad_clients.dead.insert((a.job, modified));
                } else if self.nomad_clients.dead.contains(&(a.job, modified)) && v["Stop"] == false {
                    self.report_violation("went_back", format!("{} is {} again", a.job, v["Status"]));
                }
            }
            Op::Stop => {
                self.nomad_clients.accepted += 1;
                self.nomad_clients.stopped.insert(a.job, (self.now, modified));
            }
            _ => self.nomad_clients.accepted += 1,
        }
    }

    /// Checks the invariants of a Nomad job's task that starts.
    pub fn check_nomad_start(&mut self, at: &str, task: TaskId) {
        let task_id = task.to_string();
        let elsewhere = self
            .machines
            .iter()
            .filter(|(n, m)| *n != at && m.tasks.iter().any(|t| t.name == task_id && t.is_running()));
        let elsewhere: Vec<String> = elsewhere.map(|(n, _)| n.clone()).collect();
        if !elsewhere.is_empty() {
            self.report_violation(
                "ran_twice",
                format!("{task_id} starts on {at} while it is on {elsewhere:?}"),
            );
        }
        // No task of a version starts while a task of an earlier version runs.
        let on = self.nomad_tasks_by_job();
        for (head, _) in self.heads() {
            if head.groups.iter().any(|g| g.job == task.job.0) {
                let left: Vec<u64> =
                    head.superseded_jobs.iter().copied().filter(|o| on.contains_key(&JobId(*o))).collect();
                if !left.is_empty() {
                    self.report_violation(
                        "both_versions",
                        format!("{task_id} of {} starts beside {left:?}", head.id),
                    );
                }
                self.nomad_clients.replaced += !head.superseded_jobs.is_empty() as usize;
            }
        }
    }

    /// Checks the invariants of the Nomad jobs' tasks on machines; returns the CPUs of the team
    /// with a limit.
    pub fn check_nomad_tasks(&mut self) -> f64 {
        let on = self.nomad_tasks_by_job();
        if on.is_empty() {
            return 0.0;
        }
        let mut tight = 0.0;
        let mut faults = Vec::new();
        for (head, head_revision) in self.heads() {
            let here: u32 = head.native_jobs().filter_map(|j| on.get(&j)).sum();
            if head.team == "tight" {
                tight += here as f64;
            }
            let Some((job, (at, revision))) = self.nomad_clients.stopped.get_key_value(head.id.as_str())
            else {
                continue;
            };
            if head.stop && head_revision == *revision && here > 0 && self.now > at + self.size.cancel_timeout
            {
                faults.push(format!("{here} tasks of {job}, stopped {} s ago", (self.now - at) / S));
            }
        }
        for f in faults {
            self.report_violation("ran_cancelled", f);
        }
        tight
    }

    /// Checks at the end of a simulation, after the faults, that what the job heads request is
    /// there.
    pub fn check_nomad_jobs(&mut self) {
        let on = self.nomad_tasks_by_job();
        let (mut faults, mut launches) = (Vec::new(), BTreeSet::new());
        for (job, reported) in self.nomad_clients.reported.clone() {
            match self.head(job) {
                Some((_, revision)) if revision >= reported => {}
                other => faults.push(format!(
                    "{job}: index {reported} was reported, stored is {:?}",
                    other.map(|h| h.1)
                )),
            }
        }
        for (head, _) in self.heads() {
            let here = |j: u64| on.get(&JobId(j)).copied().unwrap_or(0);
            let old: u32 = head.superseded_jobs.iter().map(|j| here(*j)).sum();
            if old > 0 {
                faults.push(format!("{}: {old} tasks of earlier versions", head.id));
            }
            if let Some(t) = head.id.strip_prefix("minutes/periodic-") {
                launches.insert(t.parse::<u64>().unwrap());
            }
            let end = |j: u64| self.state.value(&format!("g/x/{}", JobId(j)));
            for g in &head.groups {
                if head.is_template() || head.stop {
                    if here(g.job) > 0 {
                        faults.push(format!("{} is stopped and has {} tasks", head.id, here(g.job)));
                    }
                } else if head.kind == "service" {
                    if head.team == "free" && here(g.job) != g.count {
                        faults.push(format!("{}: {} of {} replicas", head.id, here(g.job), g.count));
                    }
                } else {
                    match end(g.job) {
                        // A job that was changed within the last minute may still run.
                        None if head.at + 60_000 > self.wall_ms() => {}
                        None => faults.push(format!(
                            "{}: has not ended; {} on machines, failed {:?}, record {:?}, old {:?}",
                            head.id,
                            here(g.job),
                            self.state.value(&format!("g/r/{}/0", JobId(g.job))),
                            self.state.value(&format!("g/j/{}", JobId(g.job))),
                            head.superseded_jobs
                        )),
                        Some(e) if head.id == "fails" => {
                            if !e["why"].as_str().unwrap_or("").contains("attempts used up") {
                                faults.push(format!("fails ended as {e}"));
                            }
                        }
                        Some(e) if e["end"] != "done" => faults.push(format!("{} ended as {e}", head.id)),
                        Some(_) => {}
                    }
                }
            }
        }
        if launches.iter().any(|t| t % 60 != 0) {
            faults.push(format!("launches at {launches:?}"));
        }
        // The simulation continues for minutes after the faults: the last launch must have been
        // made.
        let running =
            self.head("minutes").is_some_and(|(h, _)| !h.stop && h.at + 61_000 < self.wall_ms() - 30_000);
        let last = (self.wall_ms() / 1000 - 30) / 60 * 60;
        if running && !launches.contains(&last) {
            faults.push(format!("minute {last} was not launched, but {launches:?}"));
        }
        self.nomad_clients.launched = launches.len();
        for f in faults {
            self.report_violation("planned", f);
        }
    }
}

/// Nomad jobs beside native ones under random faults.
#[test]
fn nomad_jobs_keep_the_invariants() {
    let std::ops::Range { start: from, end: to } = seeds("NOMAD_SEEDS", 1, 13);
    start_logger();
    let (mut accepted, mut replaced, mut launched) = (0, 0, 0);
    for seed in from..to {
        let mut w = simulate(seed, false, SMALL_WITH_NOMAD);
        if w.violations.is_empty() {
            w.check_nomad_jobs();
        }
        assert!(w.violations.is_empty(), "seed {seed}: {:?} {:#?}", w.violations, w.describe(&[]).1);
        accepted += w.nomad_clients.accepted;
        replaced += w.nomad_clients.replaced;
        launched += w.nomad_clients.launched;
    }
    println!("{accepted} changes accepted, {replaced} starts after a replacement, {launched} launches");
    assert!(accepted > 10 * (to - from) as usize && replaced > 0 && launched > 0);
}
