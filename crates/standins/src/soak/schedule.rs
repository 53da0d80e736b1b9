//! The faults of a run, drawn from its seed: which, when and for how long. No input or
//! output, so that a seed always gives the same schedule.
use std::fmt;
use std::time::Duration;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A controller loses everybody; held bytes are delivered afterwards, or lost.
    CutController {
        /// Which.
        controller: usize,
        /// Bytes on their way are held, not lost.
        held: bool,
    },
    /// A controller loses the state service alone.
    LoseState(usize),
    /// A controller's answers to workers are lost.
    LoseAnswersToWorkers(usize),
    /// Controllers refuse each other's connections.
    RefusePeers,
    /// The state service refuses everybody.
    StateOutage,
    /// The state service's answers come late.
    StateSlow(Duration),
    /// Requests to the state service are carried out, and their answers lost.
    LoseStateAnswers,
    /// A controller's process ends, and is back after this.
    End(usize, Duration),
    /// All processes end, and are back after this.
    EndAll(Duration),
    /// A controller's process stands still.
    Pause(usize),
    /// Whoever leads ends, again and again this far apart.
    EndLeaders(Duration),
    /// The cloud can't be reached.
    LoseCloud,
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// From the run's beginning.
    pub at: Duration,
    /// Its length.
    pub lasts: Duration,
    /// What happens.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.1} s for {:.1} s: {:?}", self.at.as_secs_f64(), self.lasts.as_secs_f64(), self.kind)
    }
}

/// Faults begin after this.
const FIRST_FAULT: Duration = Duration::from_secs(8);

fn millis(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

fn draw(rng: &mut fastrand::Rng, controllers: usize) -> FaultKind {
    let controller = rng.usize(0..controllers);
    match rng.u32(0..12) {
        0 | 1 => FaultKind::CutController { controller, held: rng.bool() },
        2 => FaultKind::LoseState(controller),
        3 => FaultKind::LoseAnswersToWorkers(controller),
        4 => FaultKind::RefusePeers,
        5 => FaultKind::StateOutage,
        6 => FaultKind::StateSlow(millis(rng, 100..700)),
        7 => FaultKind::LoseStateAnswers,
        8 => FaultKind::End(controller, millis(rng, 50..900)),
        9 => FaultKind::EndAll(millis(rng, 50..2000)),
        10 => FaultKind::Pause(controller),
        _ if rng.bool() => FaultKind::EndLeaders(millis(rng, 1500..3500)),
        _ => FaultKind::LoseCloud,
    }
}

/// The faults of a seed, in order; all are over at `until`. Two or three overlap.
pub fn faults(seed: u64, controllers: usize, until: Duration) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut at = FIRST_FAULT;
    while at + Duration::from_secs(3) < until {
        for _ in 0..rng.u32(1..4) {
            let at = at + millis(&mut rng, 0..2500);
            let longest = until.saturating_sub(at).as_millis() as u64;
            let lasts = millis(&mut rng, 1500..16_000).min(Duration::from_millis(longest));
            if !lasts.is_zero() {
                faults.push(Fault { at, lasts, kind: draw(&mut rng, controllers) });
            }
        }
        at += millis(&mut rng, 6000..14_000);
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}
