//! Users of a run: they submit, cancel, ask and repeat at all controllers throughout, also
//! right after each answer.
use super::history::{JobFacts, Operation, Recorder, Request};
use crate::net::send_request;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A user waits so long for an answer to a question.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// And so long for one to a submission or cancellation.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Jobs that users ask about at a time.
const POLLERS: usize = 4;
/// A user asks about each job this often, or as often as there is time for.
const POLL_PAUSE: Duration = Duration::from_millis(1500);
/// The job that asks for as many machines as the run is to have.
const FLEET_JOB: u64 = 1;

/// What all users of a run share.
pub struct Users {
    /// Where each controller is reached.
    pub controllers: Vec<SocketAddr>,
    /// Takes down what they see.
    pub recorder: Arc<Recorder>,
    /// When the site began.
    pub start: Instant,
    /// Machines that a first job asks for.
    pub workers: u32,
    /// They end.
    pub stop: AtomicBool,
    /// No new jobs come.
    pub no_more_jobs: AtomicBool,
    /// The number of the next job.
    pub next_job: AtomicU64,
}

fn name(job: u64) -> String {
    format!("j-{job:06}")
}

fn body(job: u64, facts: &JobFacts, builds: Option<&str>) -> Value {
    let awaits: Vec<String> = facts.after.iter().map(|id| name(*id)).collect();
    json!({"ref": name(job), "lot": "soak", "crew": facts.team,
        "manner": if facts.service { "standing" } else { "array" },
        "rank": if facts.service { "prod" } else { "standard" }, "pieces": facts.tasks,
        "cpus": facts.cpus, "gpus": 0, "memory_gb": 1, "bundle": "image", "image_gb": 0.1,
        "builds": builds.map(|b| vec![b]), "yard": facts.zone, "same_place": false,
        "apart": facts.spread, "loaners": facts.spot, "guess_s": if facts.service { 0.0 } else { 10.0 },
        "mark_s": 0, "stow_s": 0, "awaits": awaits})
}

impl Users {
    /// Microseconds of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1_000_000
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Asks a controller, and takes down what came of it; the status, 0 for none.
    fn ask(&self, at: usize, job: u64, operation: Operation, text: &str) -> u16 {
        let (method, path, timeout) = match operation {
            Operation::Submit => ("POST", "/submissions".to_owned(), CHANGE_TIMEOUT),
            Operation::Poll => ("GET", format!("/submissions/{}", name(job)), POLL_TIMEOUT),
            Operation::Cancel => ("POST", format!("/submissions/{}/abort", name(job)), CHANGE_TIMEOUT),
        };
        let sent = self.now();
        let told = send_request(self.controllers[at], method, &path, "Connection: close\r\n", text, timeout);
        let answered = self.now();
        // An answer that comes after the user has given up is none.
        let told = told.filter(|_| answered - sent <= timeout.as_micros() as u64);
        let status = told.as_ref().map_or(0, |t| t.status);
        let stage = told.filter(|t| matches!(t.status, 200 | 201)).map(|t| t.json()["stage"].clone());
        let stage = stage.and_then(|s| s.as_str().map(str::to_owned)).unwrap_or_default();
        self.recorder.note(|h| h.requests.push(Request { job, operation, sent, answered, status, stage }));
        status
    }

    fn anywhere(&self) -> usize {
        fastrand::usize(0..self.controllers.len())
    }

    /// Repeats a change as users do until it is answered; whether it was.
    fn insist(&self, job: u64, operation: Operation, text: &str) -> bool {
        let began = Instant::now();
        while !self.stopped() && began.elapsed() < Duration::from_secs(60) {
            match self.ask(self.anywhere(), job, operation, text) {
                200 | 201 => return true,
                400 | 404 | 422 => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Asks at every controller, right after an answer.
    fn look_everywhere(&self, job: u64) {
        for at in 0..self.controllers.len() {
            self.ask(at, job, Operation::Poll, "");
        }
    }

    fn draw(&self, rng: &mut fastrand::Rng, job: u64) -> JobFacts {
        let service = rng.u32(0..4) == 0;
        let awaits = !service && rng.u32(0..6) == 0;
        let before = rng.u64(FLEET_JOB + 1..job.max(FLEET_JOB + 2));
        let ends = |id: u64| self.recorder.note(|h| h.jobs.get(&id).is_some_and(|j| !j.service));
        JobFacts {
            tasks: if service { rng.u32(1..4) } else { rng.u32(1..10) },
            cpus: f64::from(rng.u32(1..3)),
            team: if rng.u32(0..4) == 0 { "tight" } else { "default" }.into(),
            service,
            spot: !service && rng.bool(),
            zone: (rng.u32(0..6) == 0).then(|| "east".to_owned()),
            spread: service && rng.u32(0..3) == 0,
            after: if awaits && before < job && ends(before) { vec![before] } else { Vec::new() },
        }
    }

    fn submit(&self, job: u64, facts: JobFacts, builds: Option<&str>) {
        let text = body(job, &facts, builds).to_string();
        self.recorder.note(|h| h.jobs.insert(job, facts));
        if self.insist(job, Operation::Submit, &text) {
            self.look_everywhere(job);
        }
    }

    /// Asks for machines: a service with a task for each.
    pub fn ask_for_fleet(&self) {
        let facts = JobFacts {
            tasks: self.workers,
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

    /// Submits jobs, and cancels some of them a while later.
    pub fn submitter(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut to_cancel: Vec<(Instant, u64)> = Vec::new();
        while !self.stopped() {
            if !self.no_more_jobs.load(Ordering::Relaxed) {
                let job = self.next_job.fetch_add(1, Ordering::Relaxed);
                let facts = self.draw(&mut rng, job);
                // A limited team's replicas would keep its arrays from starting for ever.
                let cancels = facts.service && facts.team == "tight" || rng.u32(0..4) == 0;
                let repeated = body(job, &facts, None).to_string();
                self.submit(job, facts, None);
                if cancels {
                    to_cancel.push((Instant::now() + Duration::from_millis(rng.u64(0..9000)), job));
                } else if rng.u32(0..4) == 0 {
                    self.ask(self.anywhere(), job, Operation::Submit, &repeated);
                }
            }
            let (due, later) = to_cancel.into_iter().partition(|(at, _)| *at <= Instant::now());
            to_cancel = later;
            let due: Vec<(Instant, u64)> = due;
            for (_, job) in due {
                if self.insist(job, Operation::Cancel, "") {
                    self.look_everywhere(job);
                }
            }
            std::thread::sleep(Duration::from_millis(rng.u64(200..900)));
        }
    }

    /// Asks about every job in turn, and now and then about one that nobody submitted.
    pub fn poller(&self, number: usize) {
        while !self.stopped() {
            let jobs: Vec<u64> = self.recorder.note(|h| h.jobs.keys().copied().collect());
            for job in jobs.into_iter().filter(|job| *job as usize % POLLERS == number) {
                if self.stopped() {
                    return;
                }
                self.ask(self.anywhere(), job, Operation::Poll, "");
            }
            self.ask(self.anywhere(), 900_000 + number as u64, Operation::Poll, "");
            std::thread::sleep(POLL_PAUSE);
        }
    }

    /// Starts all of them.
    pub fn start(self: &Arc<Self>, seed: u64) -> Vec<std::thread::JoinHandle<()>> {
        let mut threads = Vec::new();
        for number in 0..POLLERS {
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.poller(number)));
        }
        for number in 0..2 {
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.submitter(seed * 2 + number)));
        }
        if self.workers > 0 {
            let users = self.clone();
            threads.push(std::thread::spawn(move || users.ask_for_fleet()));
        }
        threads
    }
}
