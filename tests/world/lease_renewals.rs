//! Leases renewed by processes that do not know which jobs were cancelled: each renewal keeps a
//! worker's tasks running for another lease, whether they were cancelled or not.
use super::scenarios::Action::{Cancel, RefusedByState, StateOutage, Terminate, ZonesPartitioned};
use super::scenarios::Controllers::{East, Other, West};
use super::scenarios::{NEVER, Workload, long_jobs_sized};
use super::*;

/// Intervals that a deployment sets for its workers, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTiming {
    pub report: u64,
    pub lease: u64,
    pub cancel: u64,
}

impl WorkerTiming {
    pub fn size(self, nodes: usize) -> Size {
        Size {
            nodes,
            report_interval: self.report * MS,
            lease: self.lease * MS,
            cancel_timeout: self.cancel * MS,
            ..SMALL
        }
    }
}

/// Leases of about a third to nine tenths of the time that a cancellation may take.
pub const TIMINGS: [WorkerTiming; 6] = [
    WorkerTiming { report: 2_000, lease: 12_000, cancel: 42_000 },
    WorkerTiming { report: 2_500, lease: 14_000, cancel: 34_000 },
    WorkerTiming { report: 5_000, lease: 26_500, cancel: 46_500 },
    WorkerTiming { report: 6_000, lease: 31_000, cancel: 61_000 },
    WorkerTiming { report: 1_000, lease: 20_000, cancel: 30_000 },
    WorkerTiming { report: 3_000, lease: 36_000, cancel: 40_000 },
];

/// Result of a play.
pub struct Outcome {
    violation: Option<String>,
    /// A user received a confirmation of a cancellation; otherwise the play tests nothing.
    confirmed: bool,
}

impl Outcome {
    pub fn new(w: &World, confirmed: bool) -> Outcome {
        Outcome { violation: w.violations.first().cloned(), confirmed }
    }
}

/// Plays the first `count` seeds, or those of `RENEWAL_SEEDS`; none may break a rule, and a user must
/// receive a confirmation in three quarters of them.
pub fn check_plays<P: std::fmt::Debug>(count: u64, from_seed: fn(u64) -> P, play: fn(&P) -> Outcome) {
    let (mut plays, mut confirmed, mut failed) = (0, 0, Vec::new());
    for seed in seeds("RENEWAL_SEEDS", 0, count) {
        let parameters = from_seed(seed);
        let outcome = play(&parameters);
        plays += 1;
        confirmed += outcome.confirmed as u32;
        if let Some(violation) = outcome.violation {
            failed.push(format!("{parameters:?}: {violation}"));
        }
    }
    println!("a user received a confirmation in {confirmed} of {plays} plays");
    assert!(
        confirmed * 4 >= plays * 3,
        "a user received a confirmation in {confirmed} of {plays} plays only"
    );
    assert!(failed.is_empty(), "{} of {plays} plays failed:\n{}", failed.len(), failed.join("\n"));
}

/// Parameters of a run, in milliseconds from the first confirmation of a cancellation.
#[derive(Debug)]
struct FullRestart {
    seed: u64,
    nodes: usize,
    workload: Workload,
    timing: WorkerTiming,
    outage_at: u64,
    exit_at: u64,
    back_at: u64,
    /// When the machines with cancelled tasks receive messages again.
    receive_at: u64,
    /// When all controllers exit once more, and for how long.
    second_exit: Option<(u64, u64)>,
}

impl FullRestart {
    /// Draws a restart that ends while a lease that was renewed at the confirmation still runs.
    fn from_seed(seed: u64) -> FullRestart {
        let r = &mut fastrand::Rng::with_seed(seed);
        let timing = TIMINGS[r.usize(0..TIMINGS.len())];
        let back_at = r.u64(200..timing.lease * 9 / 10);
        let downtime = if r.bool() { r.u64(100..1_000) } else { r.u64(100..6_000) };
        let exit_at = back_at.saturating_sub(downtime);
        FullRestart {
            seed,
            nodes: [3, 3, 5, 7][r.usize(0..4)],
            workload: [Workload::Mixed, Workload::Single, Workload::Hundreds][r.usize(0..3)],
            timing,
            outage_at: r.u64(0..=exit_at.min(2_000)),
            exit_at,
            back_at,
            receive_at: back_at.saturating_sub(500) + r.u64(0..2_000),
            second_exit: (r.u32(0..3) == 0).then(|| (back_at + r.u64(1_000..15_000), r.u64(100..5_000))),
        }
    }

    fn run(&self) -> Outcome {
        let mut w = long_jobs_sized(self.seed, self.workload, self.timing.size(self.nodes));
        let leader = w.leader();
        w.perform(leader, Cancel(Other(1)));
        w.cancelled_machines_receive_nothing();
        if !w.run_until_confirmed() {
            return Outcome::new(&w, false);
        }
        let confirmed_at = w.now;
        w.run(confirmed_at + self.outage_at * MS);
        w.perform(leader, StateOutage(2_000));
        w.run(confirmed_at + self.exit_at * MS);
        w.all_exit((self.back_at - self.exit_at) * MS);
        w.run(confirmed_at + self.receive_at * MS);
        w.all_machines_receive();
        if let Some((at, downtime)) = self.second_exit {
            w.run(confirmed_at + at * MS);
            w.all_exit(downtime * MS);
        }
        w.run(confirmed_at + 2 * w.size.cancel_timeout);
        Outcome::new(&w, true)
    }
}

impl World {
    /// Answers and direct commands to the machines that run cancelled tasks are lost, and their
    /// reports arrive.
    fn cancelled_machines_receive_nothing(&mut self) {
        let holders = self.machines.values().filter(|m| Self::runs_cancelled_task(m));
        let holders: Vec<String> = holders.map(|m| m.name.clone()).collect();
        holders.iter().for_each(|m| self.make_unreachable(m, self.size.end_at));
    }

    fn all_machines_receive(&mut self) {
        let machines: Vec<String> = self.machines.keys().cloned().collect();
        machines.iter().for_each(|m| self.make_unreachable(m, 0));
    }

    /// All controllers exit now and restart after `back`, in microseconds.
    fn all_exit(&mut self, back: u64) {
        (0..self.size.nodes).for_each(|n| self.terminate(n, back));
    }
}

/// Guards against processes that know neither the state nor another controller's cancellations, and
/// that renewed leases for half of the time that `cancel_s` leaves beside a lease: a cancelled task
/// ran past `cancel_s`.
#[test]
fn processes_without_knowledge_renew_no_lease_of_a_cancelled_task() {
    check_plays(48, FullRestart::from_seed, FullRestart::run);
}

/// Parameters of a run in which a partitioned zone loses the state service just before others confirm
/// cancellations, in milliseconds.
#[derive(Debug)]
struct RefusedZone {
    seed: u64,
    nodes: usize,
    timing: WorkerTiming,
    /// From the partition to the state service's refusal of the west zone's controllers.
    refused_at: u64,
    /// From there to the cancellations.
    cancel_after: u64,
    /// From the first confirmation to the exit of the east zone's controllers.
    exit_after: u64,
}

impl RefusedZone {
    fn from_seed(seed: u64) -> RefusedZone {
        let r = &mut fastrand::Rng::with_seed(seed);
        RefusedZone {
            seed,
            nodes: [3, 7][r.usize(0..2)],
            timing: TIMINGS[r.usize(0..TIMINGS.len())],
            refused_at: r.u64(5_000..9_000),
            cancel_after: r.u64(0..2_000),
            exit_after: r.u64(100..2_000),
        }
    }

    fn run(&self) -> Outcome {
        let mut w = long_jobs_sized(self.seed, Workload::Mixed, self.timing.size(self.nodes));
        let (from, leader) = (w.now, w.leader());
        w.perform(leader, ZonesPartitioned(NEVER));
        w.run(from + self.refused_at * MS);
        w.perform(leader, RefusedByState(West, NEVER));
        w.run(w.now + self.cancel_after * MS);
        w.perform(leader, Cancel(East));
        if !w.run_until_confirmed() {
            return Outcome::new(&w, false);
        }
        w.run(w.now + self.exit_after * MS);
        w.perform(leader, Terminate(East, NEVER));
        w.run(w.now + 2 * w.size.cancel_timeout);
        Outcome::new(&w, true)
    }
}

/// Guards against an answer of the state service that counted as knowledge of all that was recorded
/// for 2.5 s after it: a zone without the state service renewed leases for so much longer.
#[test]
fn leases_are_renewed_by_the_age_of_the_last_proven_read() {
    check_plays(48, RefusedZone::from_seed, RefusedZone::run);
}

/// Parameters of a run in which a controller restarts in an outage and hears of the other controllers
/// just before they exit, in milliseconds from the first confirmation of a cancellation.
#[derive(Debug)]
struct LateController {
    seed: u64,
    nodes: usize,
    timing: WorkerTiming,
    back_at: u64,
    others_exit_at: u64,
    receive_at: u64,
}

impl LateController {
    fn from_seed(seed: u64) -> LateController {
        let r = &mut fastrand::Rng::with_seed(seed);
        let timing = TIMINGS[r.usize(0..TIMINGS.len())];
        let back_at = r.u64(2_000..timing.lease * 9 / 10);
        LateController {
            seed,
            nodes: [3, 7][r.usize(0..2)],
            timing,
            back_at,
            others_exit_at: back_at + r.u64(0..250),
            receive_at: back_at.saturating_sub(200) + r.u64(0..1_500),
        }
    }

    fn run(&self) -> Outcome {
        let mut w = long_jobs_sized(self.seed, Workload::Mixed, self.timing.size(self.nodes));
        let leader = w.leader();
        let late = (leader + 1) % self.nodes;
        let from = w.now;
        w.terminate(late, w.size.end_at * 10);
        // Until the others count it as out of contact.
        w.run(from + 3 * S);
        w.perform(leader, Cancel(Other(2)));
        w.cancelled_machines_receive_nothing();
        if !w.run_until_confirmed() {
            return Outcome::new(&w, false);
        }
        let confirmed_at = w.now;
        w.run(confirmed_at + S);
        w.perform(leader, StateOutage(NEVER));
        w.at((self.back_at - 1_000) * MS, Event::Restart(late));
        let exit_others = |w: &mut World| {
            w.run(confirmed_at + self.others_exit_at * MS);
            let others = (0..self.nodes).filter(|n| *n != late);
            others.for_each(|n| w.terminate(n, w.size.end_at * 10));
        };
        let receive = |w: &mut World| {
            w.run(confirmed_at + self.receive_at * MS);
            w.all_machines_receive();
        };
        if self.receive_at < self.others_exit_at {
            receive(&mut w);
            exit_others(&mut w);
        } else {
            exit_others(&mut w);
            receive(&mut w);
        }
        w.run(confirmed_at + 2 * self.timing.cancel * MS);
        Outcome::new(&w, true)
    }
}

/// Guards against a restarted controller that renewed leases as soon as it heard another controller,
/// before that one had told it which jobs are cancelled.
#[test]
fn a_restarted_controller_renews_no_lease_before_it_was_told_of_cancellations() {
    check_plays(80, LateController::from_seed, LateController::run);
}
