//! Randomized fault test (soak) of real controllers on loopback, with stand-ins for all other
//! components. Every link runs through a fault proxy, users send requests throughout, and a
//! checker judges only what users, workers and the cloud observed. A seed always gives the
//! same schedule of faults.
pub mod balancer;
pub mod checker;
pub mod history;
pub mod load;
pub mod proxy;
pub mod schedule;

use crate::site::{Link, Options, Router, Site, SiteError};
use balancer::BalancedControllers;
use checker::{Guarantees, Violation};
use fastrand::Rng;
use history::{History, Recorder};
use load::Users;
use proxy::{Condition, FaultProxy, Flow};
use schedule::{Fault, FaultKind};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Configuration of a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Program of the controllers.
    pub program: PathBuf,
    /// Number of controllers.
    pub controllers: usize,
    /// Machines that the first job requests; 0 for only those that the other jobs need.
    pub fleet_machines: u32,
    /// Socket limit of a controller.
    pub sockets: usize,
    /// Adds controllers that are slow to the faults.
    pub slow_controllers: bool,
    /// Period from the start of the run in which faults occur.
    pub fault_period: Duration,
    /// Period without faults that follows.
    pub quiet_period: Duration,
}

impl Settings {
    /// The faults of a seed.
    pub fn faults(&self, seed: u64) -> Vec<Fault> {
        let mut faults = schedule::faults(seed, self.controllers, self.fault_period);
        if self.slow_controllers {
            faults.extend(schedule::slow_controllers(seed, self.controllers, self.fault_period));
        }
        faults
    }
}

/// Time in microseconds within which cancelled tasks are stopped on a loopback site.
const CANCEL_TIMEOUT_US: u64 = 30_000_000;
/// CPU limit of the limited team.
const TEAM_LIMIT_CPUS: f64 = 6.0;
/// Time within which all controllers have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Users submit jobs until this long after the last fault; the rest of the quiet period
/// lets each job be judged.
const SUBMIT_AFTER_LAST_FAULT: Duration = Duration::from_secs(5);
/// Interval at which the fault schedule is checked.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a slow controller is paused and runs, in turn.
const SLOW_PAUSE: Duration = Duration::from_millis(700);
const SLOW_RUN: Duration = Duration::from_millis(150);

/// Why a run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The site did not start.
    #[error("the site did not start: {0}")]
    Site(#[from] SiteError),
    /// The controllers were not ready in time.
    #[error("the controllers were not ready within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Submitted jobs.
    pub jobs: usize,
    /// Requests of users that got a response.
    pub answers: usize,
    /// Task starts on machines.
    pub task_starts: usize,
    /// Most machines rented at the same time in the quiet period.
    pub machines: usize,
    /// Observations of users, workers and the cloud.
    pub history: History,
    /// Longest time that a job went without an answer after the last fault, in seconds.
    pub longest_unanswered_s: f64,
}

type Proxies = Arc<Mutex<BTreeMap<Link, FaultProxy>>>;

/// Fault proxies of all links of a run.
struct Network(Proxies);

impl Network {
    fn new() -> (Self, Router) {
        let proxies = Proxies::default();
        let proxy_map = proxies.clone();
        let router = Router::new(move |link, target| {
            let mut proxy_map = proxy_map.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if let Some(proxy) = proxy_map.get(&link) {
                return Ok(proxy.address);
            }
            let proxy = FaultProxy::start(target)?;
            let address = proxy.address;
            proxy_map.insert(link, proxy);
            Ok(address)
        });
        (Network(proxies), router)
    }

    /// Sets the condition of the links that `which` selects.
    fn set(&self, condition: Condition, which: impl Fn(&Link) -> bool) {
        let proxies = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        proxies.iter().filter(|(link, _)| which(link)).for_each(|(_, proxy)| proxy.set(condition));
    }

    fn reset(&self, which: impl Fn(&Link) -> bool) {
        let proxies = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        proxies.iter().filter(|(link, _)| which(link)).for_each(|(_, proxy)| proxy.reset());
    }
}

fn touches_controller(link: &Link, n: usize) -> bool {
    match link {
        Link::Users(to) | Link::Workers(to) => *to == n,
        Link::State(from) | Link::Cloud(from) => *from == n,
        Link::Peer { from, to } => *from == n || *to == n,
    }
}

/// Applies the faults of a run.
struct FaultInjector<'a> {
    site: &'a Site,
    network: &'a Network,
    controllers: usize,
    /// Killed controllers and when each is restarted.
    restart_at: BTreeMap<usize, Instant>,
    /// When the leader is killed next.
    next_leader_kill: Option<Instant>,
    /// When the slow controllers are paused or resumed next, and whether they are paused.
    next_slow_change: Instant,
    slow_paused: bool,
}

impl FaultInjector<'_> {
    fn kill(&mut self, n: usize, downtime: Duration) {
        if self.site.kill_controller(n).is_ok() {
            self.restart_at.insert(n, Instant::now() + downtime);
        }
    }

    fn apply(&mut self, fault: &Fault) {
        let refuse = Condition { refuse: true, ..Condition::default() };
        match fault.kind {
            FaultKind::CutController { controller, held } => {
                let flow = if held { Flow::Hold } else { Flow::Lose };
                self.network.set(Condition::both(flow), |link| touches_controller(link, controller));
            }
            FaultKind::LoseState(n) => {
                self.network.set(Condition::both(Flow::Hold), |link| *link == Link::State(n));
            }
            FaultKind::LoseAnswersToWorkers(n) => {
                let lost = Condition { responses: Flow::Lose, ..Condition::default() };
                self.network.set(lost, |link| *link == Link::Workers(n));
            }
            FaultKind::RefusePeers => self.network.set(refuse, |link| matches!(link, Link::Peer { .. })),
            FaultKind::StateOutage => self.site.set_state_unavailable(true),
            FaultKind::StateSlow(by) => {
                let slow = Condition { responses: Flow::Delay(by), ..Condition::default() };
                self.network.set(slow, |link| matches!(link, Link::State(_)));
            }
            FaultKind::LoseStateAnswers => {
                let lost = Condition { responses: Flow::Lose, ..Condition::default() };
                self.network.set(lost, |link| matches!(link, Link::State(_)));
            }
            FaultKind::End(n, downtime) => self.kill(n, downtime),
            FaultKind::EndAll(downtime) => (0..self.controllers).for_each(|n| self.kill(n, downtime)),
            FaultKind::Pause(n) => self.site.pause_controller(n),
            FaultKind::EndLeaders(_) => self.next_leader_kill = Some(Instant::now()),
            FaultKind::Slow(_) => self.next_slow_change = Instant::now(),
            FaultKind::LoseCloud => {
                self.network.set(Condition::both(Flow::Hold), |link| matches!(link, Link::Cloud(_)));
            }
        }
    }

    fn clear(&mut self, fault: &Fault) {
        let healthy = Condition::default();
        match fault.kind {
            FaultKind::CutController { controller, .. } => {
                self.network.set(healthy, |link| touches_controller(link, controller));
            }
            FaultKind::LoseState(n) => self.network.set(healthy, |link| *link == Link::State(n)),
            FaultKind::LoseAnswersToWorkers(n) => self.network.set(healthy, |link| *link == Link::Workers(n)),
            FaultKind::RefusePeers => self.network.set(healthy, |link| matches!(link, Link::Peer { .. })),
            FaultKind::StateOutage => self.site.set_state_unavailable(false),
            FaultKind::StateSlow(_) => self.network.set(healthy, |link| matches!(link, Link::State(_))),
            FaultKind::LoseStateAnswers => {
                self.network.reset(|link| matches!(link, Link::State(_)));
                self.network.set(healthy, |link| matches!(link, Link::State(_)));
            }
            FaultKind::End(..) | FaultKind::EndAll(_) => {}
            FaultKind::Pause(n) | FaultKind::Slow(n) => self.site.resume_controller(n),
            FaultKind::EndLeaders(_) => self.next_leader_kill = None,
            FaultKind::LoseCloud => self.network.set(healthy, |link| matches!(link, Link::Cloud(_))),
        }
    }

    /// Restarts the controllers whose downtime is over, and kills the leader when due.
    fn tick(&mut self, running: &[Fault]) {
        let now = Instant::now();
        let due: Vec<usize> = self.restart_at.iter().filter(|(_, at)| **at <= now).map(|(n, _)| *n).collect();
        for n in due {
            self.restart_at.remove(&n);
            if let Err(e) = self.site.restart_controller(n) {
                log::error!("controller n{n} could not be restarted: {e}");
            }
        }
        let kill_interval = running.iter().find_map(|fault| match fault.kind {
            FaultKind::EndLeaders(interval) => Some(interval),
            _ => None,
        });
        if let (Some(interval), Some(at)) = (kill_interval, self.next_leader_kill)
            && at <= now
        {
            self.next_leader_kill = Some(now + interval);
            if let Some(leader) = self.site.leader() {
                self.kill(leader, Duration::from_millis(200));
            }
        }
        self.slow_down(running, now);
    }

    /// Pauses and resumes the slow controllers in turn, so that they get part of the time.
    fn slow_down(&mut self, running: &[Fault], now: Instant) {
        if now < self.next_slow_change {
            return;
        }
        self.slow_paused = !self.slow_paused;
        let lasts = if self.slow_paused { SLOW_PAUSE } else { SLOW_RUN };
        self.next_slow_change = now + lasts;
        for fault in running {
            match fault.kind {
                FaultKind::Slow(n) if self.slow_paused => self.site.pause_controller(n),
                FaultKind::Slow(n) => self.site.resume_controller(n),
                _ => {}
            }
        }
    }
}

/// Applies the faults; returns when the last one is over and all processes are restarted.
fn inject_faults(site: &Site, network: &Network, faults: &[Fault], controllers: usize) {
    let began = Instant::now();
    let mut injector = FaultInjector {
        site,
        network,
        controllers,
        restart_at: BTreeMap::new(),
        next_leader_kill: None,
        next_slow_change: Instant::now(),
        slow_paused: false,
    };
    let mut waiting = faults.to_vec();
    let mut running: Vec<Fault> = Vec::new();
    while !(waiting.is_empty() && running.is_empty() && injector.restart_at.is_empty()) {
        let now = began.elapsed();
        let (due, later) = waiting.into_iter().partition(|fault| fault.at <= now);
        waiting = later;
        let due: Vec<Fault> = due;
        for fault in due {
            injector.apply(&fault);
            running.push(fault);
        }
        let (over, left) = running.into_iter().partition(|fault| fault.at + fault.lasts <= now);
        running = left;
        let over: Vec<Fault> = over;
        for fault in &over {
            injector.clear(fault);
        }
        // Clearing a fault restores its links even if another running fault affects them,
        // so that the running network faults are applied again.
        if !over.is_empty() {
            let still_running: Vec<Fault> =
                running.iter().filter(|f| affects_links(f.kind)).copied().collect();
            still_running.iter().for_each(|fault| injector.apply(fault));
        }
        injector.tick(&running);
        std::thread::sleep(FAULT_CHECK_INTERVAL);
    }
    network.set(Condition::default(), |_| true);
    site.set_state_unavailable(false);
}

fn affects_links(kind: FaultKind) -> bool {
    !matches!(
        kind,
        FaultKind::End(..)
            | FaultKind::EndAll(_)
            | FaultKind::EndLeaders(_)
            | FaultKind::Pause(_)
            | FaultKind::Slow(_)
    )
}

/// Runs the test for one seed.
pub fn run(settings: &Settings, seed: u64) -> Result<Outcome, SoakError> {
    let (network, router) = Network::new();
    let recorder = Arc::new(Recorder::default());
    let mut rng = Rng::with_seed(seed);
    let options = Options {
        controllers: settings.controllers,
        teams: vec![("default".into(), 0.0), ("tight".into(), TEAM_LIMIT_CPUS)],
        programs: (0..settings.controllers).map(|n| (n, settings.program.clone())).collect(),
        sockets: settings.sockets,
        router: Some(router),
        recorder: Some(recorder.clone()),
        log_to_files: true,
        ..Options::default()
    };
    let site = Site::start(&options)?;
    if !site.wait_until_ready(READY_TIMEOUT) {
        return Err(SoakError::NotReady);
    }
    let users = Arc::new(Users {
        controllers: site.user_addresses.clone(),
        balanced: BalancedControllers::new(site.user_addresses.clone()),
        recorder: recorder.clone(),
        start: site.start_time(),
        fleet_machines: settings.fleet_machines,
        stop: AtomicBool::new(false),
        stop_submitting: AtomicBool::new(false),
        next_job: AtomicU64::new(2),
    });
    let threads = users.start(rng.u64(0..1 << 40));
    let faults = settings.faults(seed);
    let mut machines = 0;
    inject_faults(&site, &network, &faults, settings.controllers);
    let faults_ended = users.now();
    recorder.update(|h| h.faults_ended = faults_ended);
    let began = Instant::now();
    while began.elapsed() < settings.quiet_period {
        machines = machines.max(site.machine_count());
        if began.elapsed() > SUBMIT_AFTER_LAST_FAULT {
            users.stop_submitting.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    let ended = users.now();
    users.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let history = recorder.update(std::mem::take);
    let history = History { ended, ..history };
    let limits = BTreeMap::from([("tight".to_owned(), TEAM_LIMIT_CPUS)]);
    let mut violations = checker::check(&history, &Guarantees { cancel_us: CANCEL_TIMEOUT_US, limits });
    for line in site.matching_log_lines(&["invariant violated", "panicked at"]) {
        violations.push(Violation { rule: "invariant", details: line });
    }
    Ok(Outcome {
        violations,
        jobs: history.jobs.len(),
        answers: history.requests.iter().filter(|r| r.status != 0).count(),
        task_starts: history.tasks.iter().filter(|e| e.change == history::TaskChange::Began).count(),
        machines,
        longest_unanswered_s: checker::longest_unanswered(&history) as f64 / 1e6,
        history,
    })
}
