//! Simulated users of a run. Throughout the run they submit, cancel, query and retry at all
//! controllers, and query all of them right after each confirmed change.
use super::balancer::BalancedControllers;
use super::history::{JobFacts, Operation, Recorder, Request};
use crate::net::send_request;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Timeout of a status query.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a submission or cancellation.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of threads that poll jobs at random controllers, and of as many that poll them through the
/// load balancer.
const POLLERS: usize = 4;
/// Pause of a polling thread between two rounds over its jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(1500);
/// Number of the job that requests the machines of the run.
const FLEET_JOB: u64 = 1;

/// State that all users of a run share.
pub struct Users {
    /// Address of each controller.
    pub controllers: Vec<SocketAddr>,
    /// The same controllers behind the load balancer.
    pub balanced: BalancedControllers,
    /// Records their requests.
    pub recorder: Arc<Recorder>,
    /// Start of the site's clock.
    pub start: Instant,
    /// Machines that the first job requests.
    pub fleet_machines: u32,
    /// The users stop.
    pub stop: AtomicBool,
    /// No new jobs are submitted.
    pub stop_submitting: AtomicBool,
    /// The number of the next job.
    pub next_job: AtomicU64,
}

/// How a request reaches a controller.
#[derive(Debug, Clone, Copy)]
enum Route {
    /// To this controller.
    Direct(usize),
    /// To a controller that the load balancer chooses.
    Balanced,
}

fn job_name(job: u64) -> String {
    format!("j-{job:06}")
}

fn submission_body(job: u64, facts: &JobFacts, builds: Option<&str>) -> Value {
    let awaits: Vec<String> = facts.after.iter().map(|id| job_name(*id)).collect();
    json!({"ref": job_name(job), "lot": "soak", "crew": facts.team,
        "manner": if facts.service { "standing" } else { "array" },
        "rank": if facts.service { "prod" } else { "standard" }, "pieces": facts.tasks,
        "cpus": facts.cpus, "gpus": 0, "memory_gb": 1, "bundle": "image", "image_gb": 0.1,
        "builds": builds.map(|b| vec![b]), "yard": facts.zone, "same_place": false,
        "apart": facts.spread, "loaners": facts.spot, "guess_s": if facts.service { 0.0 } else { 10.0 },
        "mark_s": 0, "stow_s": 0, "awaits": awaits})
}

impl Users {
    /// Time of the site's clock, in microseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1_000_000
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends a request and records it; returns the status, 0 without a response.
    fn request(&self, route: Route, job: u64, operation: Operation, text: &str) -> u16 {
        let (method, path, timeout) = match operation {
            Operation::Submit => ("POST", "/submissions".to_owned(), CHANGE_TIMEOUT),
            Operation::Poll => ("GET", format!("/submissions/{}", job_name(job)), POLL_TIMEOUT),
            Operation::Cancel => ("POST", format!("/submissions/{}/abort", job_name(job)), CHANGE_TIMEOUT),
        };
        let sent = self.now();
        let send = |at: usize| {
            send_request(self.controllers[at], method, &path, "Connection: close\r\n", text, timeout)
        };
        let response = match route {
            Route::Direct(at) => send(at),
            Route::Balanced => self.balanced.with_connection(send),
        };
        let answered = self.now();
        // A response that arrives after the timeout does not count.
        let response = response.filter(|_| answered - sent <= timeout.as_micros() as u64);
        let status = response.as_ref().map_or(0, |t| t.status);
        let stage = response.filter(|t| matches!(t.status, 200 | 201)).map(|t| t.json()["stage"].clone());
        let stage = stage.and_then(|s| s.as_str().map(str::to_owned)).unwrap_or_default();
        self.recorder.update(|h| h.requests.push(Request { job, operation, sent, answered, status, stage }));
        status
    }

    fn random_controller(&self) -> Route {
        Route::Direct(fastrand::usize(0..self.controllers.len()))
    }

    /// Retries a submission or cancellation every second, for up to 60 s, until it is
    /// accepted (true) or rejected.
    fn retry_until_answered(&self, job: u64, operation: Operation, text: &str) -> bool {
        let began = Instant::now();
        while !self.stopped() && began.elapsed() < Duration::from_secs(60) {
            match self.request(self.random_controller(), job, operation, text) {
                200 | 201 => return true,
                400 | 404 | 422 => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Queries the job at every controller.
    fn query_all_controllers(&self, job: u64) {
        for at in 0..self.controllers.len() {
            self.request(Route::Direct(at), job, Operation::Poll, "");
        }
    }

    fn random_job(&self, rng: &mut fastrand::Rng, job: u64) -> JobFacts {
        let service = rng.u32(0..4) == 0;
        let has_dependency = !service && rng.u32(0..6) == 0;
        let before = rng.u64(FLEET_JOB + 1..job.max(FLEET_JOB + 2));
        let is_array = |id: u64| self.recorder.update(|h| h.jobs.get(&id).is_some_and(|j| !j.service));
        JobFacts {
            tasks: if service { rng.u32(1..4) } else { rng.u32(1..10) },
            cpus: f64::from(rng.u32(1..3)),
            team: if rng.u32(0..4) == 0 { "tight" } else { "default" }.into(),
            service,
            spot: !service && rng.bool(),
            zone: (rng.u32(0..6) == 0).then(|| "east".to_owned()),
            spread: service && rng.u32(0..3) == 0,
            after: if has_dependency && before < job && is_array(before) { vec![before] } else { Vec::new() },
        }
    }

    fn submit(&self, job: u64, facts: JobFacts, builds: Option<&str>) {
        let text = submission_body(job, &facts, builds).to_string();
        self.recorder.update(|h| h.jobs.insert(job, facts));
        if self.retry_until_answered(job, Operation::Submit, &text) {
            self.query_all_controllers(job);
        }
    }

    /// Requests machines by submitting a service with a task for each.
    pub fn submit_fleet_job(&self) {
        let facts = JobFacts {
            tasks: self.fleet_machines,
            cpus: 4.0,
            team: "default".into(),
            service: true,
            spot: false,
            zone: None,
            spread: false,
            after: Vec::new(),
        };
        self.submit(FLEET_JOB, facts, Some("small"));
    }

    /// Submits jobs and cancels some of them up to 9 s later.
    pub fn run_submitter(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut to_cancel: Vec<(Instant, u64)> = Vec::new();
        while !self.stopped() {
            if !self.stop_submitting.load(Ordering::Relaxed) {
                let job = self.next_job.fetch_add(1, Ordering::Relaxed);
                let facts = self.random_job(&mut rng, job);
                // Services of the team with a CPU limit are always cancelled, or else they
                // would keep its arrays from ever starting.
                let will_cancel = facts.service && facts.team == "tight" || rng.u32(0..4) == 0;
                let repeated = submission_body(job, &facts, None).to_string();
                self.submit(job, facts, None);
                if will_cancel {
                    to_cancel.push((Instant::now() + Duration::from_millis(rng.u64(0..9000)), job));
                } else if rng.u32(0..4) == 0 {
                    self.request(self.random_controller(), job, Operation::Submit, &repeated);
                }
            }
            let (due, later) = to_cancel.into_iter().partition(|(at, _)| *at <= Instant::now());
            to_cancel = later;
            let due: Vec<(Instant, u64)> = due;
            for (_, job) in due {
                if self.retry_until_answered(job, Operation::Cancel, "") {
                    self.query_all_controllers(job);
                }
            }
            std::thread::sleep(Duration::from_millis(rng.u64(200..900)));
        }
    }

    /// Queries its share of the jobs in rounds, and in each round one job that was never
    /// submitted.
    fn run_poller(&self, number: usize, route: impl Fn() -> Route) {
        while !self.stopped() {
            let jobs: Vec<u64> = self.recorder.update(|h| h.jobs.keys().copied().collect());
            for job in jobs.into_iter().filter(|job| *job as usize % POLLERS == number) {
                if self.stopped() {
                    return;
                }
                self.request(route(), job, Operation::Poll, "");
            }
            self.request(route(), 900_000 + number as u64, Operation::Poll, "");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Starts the threads of all users.
    pub fn start(self: &Arc<Self>, seed: u64) -> Vec<std::thread::JoinHandle<()>> {
        let mut threads = Vec::new();
        for number in 0..POLLERS {
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.run_poller(number, || users.random_controller())));
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.run_poller(number, || Route::Balanced)));
        }
        for number in 0..2 {
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.run_submitter(seed * 2 + number)));
        }
        if self.fleet_machines > 0 {
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.submit_fleet_job()));
        }
        for at in 0..self.controllers.len() {
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.balanced.probe_until(at, || users.stopped())));
        }
        threads
    }
}
