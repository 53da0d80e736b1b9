//! A randomized fault test of real controllers on loopback: stand-ins for everything else,
//! every link through a fault proxy, users who never stop, and a checker that sees only what
//! users, workers and the cloud saw. A seed always gives the same schedule of faults.
pub mod checker;
pub mod history;
pub mod load;
pub mod proxy;
pub mod schedule;

use crate::site::{Link, Options, Router, Site, SiteError};
use checker::{Promises, Violation};
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

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The controllers' program.
    pub program: PathBuf,
    /// How many controllers.
    pub controllers: usize,
    /// Machines that a first job asks for, 0 for only what the others need.
    pub fleet_machines: u32,
    /// Sockets of a controller.
    pub sockets: usize,
    /// For so long faults come.
    pub fault_period: Duration,
    /// For so long it goes on after the last of them.
    pub quiet_period: Duration,
}

/// Cancelled tasks of a site on loopback are gone within this.
const CANCEL_US: u64 = 30_000_000;
/// The limited team's CPUs.
const LIMIT_CPUS: f64 = 6.0;
/// Controllers are ready within this.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// No new jobs come for so long before the end, so that each can be judged.
const LAST_JOBS: Duration = Duration::from_secs(5);
/// How often faults are looked at.
const STEP: Duration = Duration::from_millis(50);

/// Why a run could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The site did not start.
    #[error("the site did not start: {0}")]
    Site(#[from] SiteError),
    /// The controllers were not ready.
    #[error("the controllers were not ready within {} s", READY_LIMIT.as_secs())]
    NotReady,
}

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// Jobs, answers to users, and tasks that began.
    pub jobs: usize,
    /// Answered requests.
    pub answers: usize,
    /// Starts.
    pub task_starts: usize,
    /// Most machines at a time.
    pub machines: usize,
    /// What was seen.
    pub history: History,
    /// The longest that a job went without an answer after the last fault, in seconds.
    pub longest_unanswered_s: f64,
}

type Proxies = Arc<Mutex<BTreeMap<Link, FaultProxy>>>;

/// The links of a run.
struct Network(Proxies);

impl Network {
    fn new() -> (Self, Router) {
        let proxies = Proxies::default();
        let made = proxies.clone();
        let router = Router::new(move |link, target| {
            let mut made = made.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            if let Some(proxy) = made.get(&link) {
                return Ok(proxy.address);
            }
            let proxy = FaultProxy::start(target)?;
            let address = proxy.address;
            made.insert(link, proxy);
            Ok(address)
        });
        (Network(proxies), router)
    }

    /// Sets the condition of the links that `which` names.
    fn set(&self, condition: Condition, which: impl Fn(&Link) -> bool) {
        let proxies = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        proxies.iter().filter(|(link, _)| which(link)).for_each(|(_, proxy)| proxy.set(condition));
    }

    fn reset(&self, which: impl Fn(&Link) -> bool) {
        let proxies = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        proxies.iter().filter(|(link, _)| which(link)).for_each(|(_, proxy)| proxy.reset());
    }
}

fn of_controller(link: &Link, n: usize) -> bool {
    match link {
        Link::Users(to) | Link::Workers(to) => *to == n,
        Link::State(from) | Link::Cloud(from) => *from == n,
        Link::Peer { from, to } => *from == n || *to == n,
    }
}

/// A run's faults as they are carried out.
struct Faults<'a> {
    site: &'a Site,
    network: &'a Network,
    controllers: usize,
    /// Controllers whose processes are away, and when they start again.
    away: BTreeMap<usize, Instant>,
    /// When the leader ends next.
    next_leader_end: Option<Instant>,
}

impl Faults<'_> {
    fn end(&mut self, n: usize, back: Duration) {
        if self.site.kill_controller(n).is_ok() {
            self.away.insert(n, Instant::now() + back);
        }
    }

    fn begin(&mut self, fault: &Fault) {
        let refuse = Condition { refuse: true, ..Condition::default() };
        match fault.kind {
            FaultKind::CutController { controller, held } => {
                let flow = if held { Flow::Hold } else { Flow::Lose };
                self.network.set(Condition::both(flow), |link| of_controller(link, controller));
            }
            FaultKind::LoseState(n) => {
                self.network.set(Condition::both(Flow::Hold), |link| *link == Link::State(n));
            }
            FaultKind::LoseAnswersToWorkers(n) => {
                let lost = Condition { answers: Flow::Lose, ..Condition::default() };
                self.network.set(lost, |link| *link == Link::Workers(n));
            }
            FaultKind::RefusePeers => self.network.set(refuse, |link| matches!(link, Link::Peer { .. })),
            FaultKind::StateOutage => self.site.set_state_unavailable(true),
            FaultKind::StateSlow(by) => {
                let slow = Condition { answers: Flow::Delay(by), ..Condition::default() };
                self.network.set(slow, |link| matches!(link, Link::State(_)));
            }
            FaultKind::LoseStateAnswers => {
                let lost = Condition { answers: Flow::Lose, ..Condition::default() };
                self.network.set(lost, |link| matches!(link, Link::State(_)));
            }
            FaultKind::End(n, back) => self.end(n, back),
            FaultKind::EndAll(back) => (0..self.controllers).for_each(|n| self.end(n, back)),
            FaultKind::Pause(n) => self.site.pause_controller(n),
            FaultKind::EndLeaders(_) => self.next_leader_end = Some(Instant::now()),
            FaultKind::LoseCloud => {
                self.network.set(Condition::both(Flow::Hold), |link| matches!(link, Link::Cloud(_)));
            }
        }
    }

    fn finish(&mut self, fault: &Fault) {
        let well = Condition::default();
        match fault.kind {
            FaultKind::CutController { controller, .. } => {
                self.network.set(well, |link| of_controller(link, controller));
            }
            FaultKind::LoseState(n) => self.network.set(well, |link| *link == Link::State(n)),
            FaultKind::LoseAnswersToWorkers(n) => self.network.set(well, |link| *link == Link::Workers(n)),
            FaultKind::RefusePeers => self.network.set(well, |link| matches!(link, Link::Peer { .. })),
            FaultKind::StateOutage => self.site.set_state_unavailable(false),
            FaultKind::StateSlow(_) => self.network.set(well, |link| matches!(link, Link::State(_))),
            FaultKind::LoseStateAnswers => {
                self.network.reset(|link| matches!(link, Link::State(_)));
                self.network.set(well, |link| matches!(link, Link::State(_)));
            }
            FaultKind::End(..) | FaultKind::EndAll(_) => {}
            FaultKind::Pause(n) => self.site.resume_controller(n),
            FaultKind::EndLeaders(_) => self.next_leader_end = None,
            FaultKind::LoseCloud => self.network.set(well, |link| matches!(link, Link::Cloud(_))),
        }
    }

    /// What time alone brings: processes that are back, and the next end of a leader.
    fn step(&mut self, running: &[Fault]) {
        let now = Instant::now();
        let back: Vec<usize> = self.away.iter().filter(|(_, at)| **at <= now).map(|(n, _)| *n).collect();
        for n in back {
            self.away.remove(&n);
            if let Err(e) = self.site.restart_controller(n) {
                log::error!("controller n{n} was not started again: {e}");
            }
        }
        let every = running.iter().find_map(|fault| match fault.kind {
            FaultKind::EndLeaders(every) => Some(every),
            _ => None,
        });
        if let (Some(every), Some(at)) = (every, self.next_leader_end)
            && at <= now
        {
            self.next_leader_end = Some(now + every);
            if let Some(leader) = self.site.leader() {
                self.end(leader, Duration::from_millis(200));
            }
        }
    }
}

/// Plays the faults; returns when the last of them is over and all processes are back.
fn play(site: &Site, network: &Network, faults: &[Fault], controllers: usize) {
    let began = Instant::now();
    let mut state = Faults { site, network, controllers, away: BTreeMap::new(), next_leader_end: None };
    let mut waiting = faults.to_vec();
    let mut running: Vec<Fault> = Vec::new();
    while !(waiting.is_empty() && running.is_empty() && state.away.is_empty()) {
        let now = began.elapsed();
        let (due, later) = waiting.into_iter().partition(|fault| fault.at <= now);
        waiting = later;
        let due: Vec<Fault> = due;
        for fault in due {
            state.begin(&fault);
            running.push(fault);
        }
        let (over, left) = running.into_iter().partition(|fault| fault.at + fault.lasts <= now);
        running = left;
        let over: Vec<Fault> = over;
        for fault in &over {
            state.finish(fault);
        }
        // Of two faults on one link, the one that is over ends the other's hold on it, too:
        // the other begins again.
        if !over.is_empty() {
            let again: Vec<Fault> = running.iter().filter(|f| is_of_links(f.kind)).copied().collect();
            again.iter().for_each(|fault| state.begin(fault));
        }
        state.step(&running);
        std::thread::sleep(STEP);
    }
    network.set(Condition::default(), |_| true);
    site.set_state_unavailable(false);
}

fn is_of_links(kind: FaultKind) -> bool {
    !matches!(
        kind,
        FaultKind::End(..) | FaultKind::EndAll(_) | FaultKind::EndLeaders(_) | FaultKind::Pause(_)
    )
}

/// Plays a seed.
pub fn run(settings: &Settings, seed: u64) -> Result<Outcome, SoakError> {
    let (network, router) = Network::new();
    let recorder = Arc::new(Recorder::default());
    let mut rng = Rng::with_seed(seed);
    let options = Options {
        controllers: settings.controllers,
        teams: vec![("default".into(), 0.0), ("tight".into(), LIMIT_CPUS)],
        programs: (0..settings.controllers).map(|n| (n, settings.program.clone())).collect(),
        sockets: settings.sockets,
        router: Some(router),
        recorder: Some(recorder.clone()),
        log_to_files: true,
        ..Options::default()
    };
    let site = Site::start(&options)?;
    if !site.wait_until_ready(READY_LIMIT) {
        return Err(SoakError::NotReady);
    }
    let users = Arc::new(Users {
        controllers: site.user_addresses.clone(),
        recorder: recorder.clone(),
        start: site.start_time(),
        workers: settings.fleet_machines,
        stop: AtomicBool::new(false),
        no_more_jobs: AtomicBool::new(false),
        next_job: AtomicU64::new(2),
    });
    let threads = users.start(rng.u64(0..1 << 40));
    let faults = schedule::faults(seed, settings.controllers, settings.fault_period);
    let mut machines = 0;
    play(&site, &network, &faults, settings.controllers);
    let calm = users.now();
    recorder.note(|h| h.calm = calm);
    let began = Instant::now();
    while began.elapsed() < settings.quiet_period {
        machines = machines.max(site.machine_count());
        if began.elapsed() > LAST_JOBS {
            users.no_more_jobs.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    let ended = users.now();
    users.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let history = recorder.note(std::mem::take);
    let history = History { ended, ..history };
    let limits = BTreeMap::from([("tight".to_owned(), LIMIT_CPUS)]);
    let mut violations = checker::check(&history, &Promises { cancel_us: CANCEL_US, limits });
    for line in site.matching_log_lines(&["invariant violated", "panicked at"]) {
        violations.push(Violation { rule: "invariant", what: line });
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
