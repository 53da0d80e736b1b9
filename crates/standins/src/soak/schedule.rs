//! Generates the fault schedule of a run from its seed: kind, start and duration of each
//! fault. Does no I/O, so that a seed always gives the same schedule.
use std::fmt;
use std::time::Duration;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// All links of a controller are interrupted; bytes in transit are delivered afterwards
    /// or lost.
    CutController {
        /// Index of the controller.
        controller: usize,
        /// Bytes in transit are held, not lost.
        held: bool,
    },
    /// Only a controller's link to the state service is interrupted.
    LoseState(usize),
    /// A controller's responses to workers are lost.
    LoseAnswersToWorkers(usize),
    /// Connections between controllers are refused.
    RefusePeers,
    /// The state service answers requests with 503 and holds watches.
    StateOutage,
    /// Responses of the state service are delayed by this.
    StateSlow(Duration),
    /// Requests to the state service are executed, and their responses are lost.
    LoseStateAnswers,
    /// A controller process is killed and restarted after this.
    End(usize, Duration),
    /// All controller processes are killed and restarted after this.
    EndAll(Duration),
    /// A controller process is paused with SIGSTOP.
    Pause(usize),
    /// A controller process gets only part of the time.
    Slow(usize),
    /// The current leader is killed repeatedly at this interval.
    EndLeaders(Duration),
    /// The cloud is unreachable for all controllers.
    LoseCloud,
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Start, from the beginning of the run.
    pub at: Duration,
    /// Duration.
    pub lasts: Duration,
    /// Kind.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.1} s for {:.1} s: {:?}", self.at.as_secs_f64(), self.lasts.as_secs_f64(), self.kind)
    }
}

/// Start of the first group of faults, from the beginning of the run.
const FIRST_FAULT: Duration = Duration::from_secs(8);

fn random_millis(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

fn random_kind(rng: &mut fastrand::Rng, controllers: usize) -> FaultKind {
    let controller = rng.usize(0..controllers);
    match rng.u32(0..12) {
        0 | 1 => FaultKind::CutController { controller, held: rng.bool() },
        2 => FaultKind::LoseState(controller),
        3 => FaultKind::LoseAnswersToWorkers(controller),
        4 => FaultKind::RefusePeers,
        5 => FaultKind::StateOutage,
        6 => FaultKind::StateSlow(random_millis(rng, 100..700)),
        7 => FaultKind::LoseStateAnswers,
        8 => FaultKind::End(controller, random_millis(rng, 50..900)),
        9 => FaultKind::EndAll(random_millis(rng, 50..2000)),
        10 => FaultKind::Pause(controller),
        _ if rng.bool() => FaultKind::EndLeaders(random_millis(rng, 1500..3500)),
        _ => FaultKind::LoseCloud,
    }
}

/// The faults of a seed by start time; all are over at `until`. Faults start in groups of
/// one to three, which may overlap.
pub fn faults(seed: u64, controllers: usize, until: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT;
    while at + Duration::from_secs(3) < until {
        for _ in 0..rng.u32(1..4) {
            let at = at + random_millis(&mut rng, 0..2500);
            let max_millis = until.saturating_sub(at).as_millis() as u64;
            let lasts = random_millis(&mut rng, 1500..16_000).min(Duration::from_millis(max_millis));
            if !lasts.is_zero() {
                faults.push(Fault { at, lasts, kind: random_kind(&mut rng, controllers) });
            }
        }
        at += random_millis(&mut rng, 6000..14_000);
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Slow controllers of a seed, beside its other faults, by start time; all are over at `until`.
pub fn slow_controllers(seed: u64, controllers: usize, until: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(!seed);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT;
    while at + Duration::from_secs(3) < until {
        let lasts = random_millis(&mut rng, 4000..12_000).min(until - at);
        faults.push(Fault { at, lasts, kind: FaultKind::Slow(rng.usize(0..controllers)) });
        at += lasts + random_millis(&mut rng, 1000..8000);
    }
    faults
}
