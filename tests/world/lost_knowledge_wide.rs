//! A tool that runs the exit of all controllers with a placement log (`lost_knowledge.rs`) over
//! many parameters. Each run's number is the seed of its world, and of every parameter that
//! `WIDE_FIX` does not set.
//!
//! `WIDE_SEEDS=0..600 WIDE_FIX="nodes=7 trouble=None" WIDE_THREADS=3 cargo test --release --locked
//! --test world lost_knowledge_wide -- --ignored --nocapture`
//!
//! The run of `lost_knowledge.rs` with seed 0, 1,000 ms and 200 ms: `WIDE_SEEDS=0..1
//! WIDE_FIX="nodes=7 work=Mixed hung=Holders report=2000 end=1000 away=200 trouble=None"`.
use super::scenarios::Action::{
    Cancel, CancelAndHang, MachinesCannotSend, MachinesUnreachable, Pause, StateOutage,
};
use super::scenarios::Controllers::Other;
use super::scenarios::{NEVER, Workload, long_jobs_reporting};
use super::*;
use std::fmt::Debug;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Which machines hang as users cancel. `WIDE_FIX` names these variants.
#[derive(Clone, Copy, Debug)]
enum Hung {
    /// Up to eight machines that run cancelled tasks.
    Holders,
    /// Every n-th machine, whatever runs there.
    OneOf(usize),
}

/// An additional fault from the exit of the log holders on.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The first controller after the leader that holds no placement log is paused for this time.
    Freeze(u64),
    /// Every third machine cannot send to any controller.
    CannotSend(u64),
    /// Every third machine receives nothing.
    Unreachable(u64),
}

/// Parameters of a run; `WIDE_FIX` names these fields. Times are in milliseconds, those of faults in
/// thousandths of the time that a cancellation may take.
#[derive(Clone, Copy, Debug)]
struct Run {
    seed: u64,
    nodes: usize,
    work: Workload,
    hung: Hung,
    report: u64,
    /// From the first confirmation of a cancellation to the exit of all controllers with a
    /// placement log.
    end: u64,
    /// Downtime of those controllers.
    away: u64,
    trouble: Fault,
}

/// Result of a run.
enum Outcome {
    Passed,
    /// The run tests nothing: all controllers hold the placement log, or no user received a
    /// confirmation.
    NotApplicable(&'static str),
    Violated(String),
}

/// Draws a value, and returns the one that `WIDE_FIX` sets for this name instead, if it does.
fn pick<T: Copy + Debug>(r: &mut fastrand::Rng, name: &str, values: &[T]) -> T {
    let drawn = values[r.usize(0..values.len())];
    let fixed = std::env::var("WIDE_FIX").unwrap_or_default();
    let word = fixed.split_whitespace().filter_map(|w| w.split_once('=')).find(|(key, _)| *key == name);
    let Some((_, word)) = word else { return drawn };
    let found = values.iter().find(|v| format!("{v:?}").trim_matches('"') == word);
    *found.unwrap_or_else(|| panic!("{name} is none of {values:?}"))
}

impl Run {
    fn from_seed(seed: u64) -> Run {
        let r = &mut fastrand::Rng::with_seed(seed);
        let (freeze, disturbed) = (r.u64(50..700), r.u64(100..1_500));
        let trouble = match pick(r, "trouble", &["None", "Freeze", "Mute", "Deaf"]) {
            "Freeze" => Fault::Freeze(freeze),
            "Mute" => Fault::CannotSend(disturbed),
            "Deaf" => Fault::Unreachable(disturbed),
            _ => Fault::None,
        };
        Run {
            seed,
            nodes: pick(r, "nodes", &[3, 5, 7]),
            work: pick(
                r,
                "work",
                &[Workload::Mixed, Workload::Single, Workload::Hundreds, Workload::AtLimit],
            ),
            hung: pick(r, "hung", &[Hung::Holders, Hung::OneOf(2), Hung::OneOf(3)]),
            report: pick(r, "report", &[1_000, 2_000, 3_000, 5_000]),
            end: pick(r, "end", &[0, 500, 1_000, 2_000, 3_000]),
            away: pick(r, "away", &[50, 200, 1_000, 3_000, 10_000, 30_000, 100_000]),
            trouble,
        }
    }

    fn run(&self) -> Outcome {
        let mut w = long_jobs_reporting(self.seed, self.nodes, self.work, self.report * MS);
        let leader = w.leader();
        self.cancel_and_hang(&mut w, leader);
        if !w.run_until_confirmed() {
            return Outcome::NotApplicable("no user received a confirmation");
        }
        let end = w.now + self.end * MS;
        w.run(end);
        let mut holders = w.recorded_standby_replicas();
        holders.push(leader);
        let Some(other) = (1..self.nodes).find(|i| !holders.contains(&((leader + i) % self.nodes))) else {
            return Outcome::NotApplicable("all controllers hold the placement log");
        };
        holders.into_iter().for_each(|n| w.terminate(n, self.away * MS));
        w.perform(leader, StateOutage(1_500));
        self.inject_fault(&mut w, leader, other);
        w.run(end + 4 * w.size.cancel_timeout);
        let Some(violation) = w.violations.first() else { return Outcome::Passed };
        let zones = ZONES.map(|zone| hung_in(&w, zone)).join(", ");
        Outcome::Violated(format!("{violation}; {zones}"))
    }

    fn cancel_and_hang(&self, w: &mut World, leader: usize) {
        match self.hung {
            Hung::Holders => w.perform(leader, CancelAndHang(Other(1), NEVER)),
            Hung::OneOf(n) => {
                w.perform(leader, Cancel(Other(1)));
                w.machines.values_mut().step_by(n).for_each(|m| m.hung_until = u64::MAX / 2);
            }
        }
    }

    fn inject_fault(&self, w: &mut World, leader: usize, other: usize) {
        match self.trouble {
            Fault::None => {}
            Fault::Freeze(length) => w.perform(leader, Pause(Other(other), length)),
            Fault::CannotSend(length) => w.perform(leader, MachinesCannotSend(length)),
            Fault::Unreachable(length) => w.perform(leader, MachinesUnreachable(length)),
        }
    }
}

/// Counts the machines of a zone that hang, for the report of a failed run.
fn hung_in(w: &World, zone: &str) -> String {
    let here = w.machines.values().filter(|m| m.zone == zone);
    let hung = here.clone().filter(|m| m.hung_until > w.now).count();
    format!("{hung} of {} hang in {zone}", here.count())
}

/// Runs all seeds, on several threads at a time.
fn run_all(seeds: std::ops::Range<u64>, threads: u64) -> Vec<(Run, Outcome)> {
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    let run = Run::from_seed(seed);
                    let outcome = run.run();
                    results.lock().unwrap().push((run, outcome));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|(run, _)| run.seed);
    results
}

#[test]
#[ignore = "a tool that runs hundreds of simulations"]
fn hung_machines_are_deleted_after_all_log_holders_exit_with_random_parameters() {
    let threads = std::env::var("WIDE_THREADS").map_or(3, |t| t.parse().unwrap());
    let results = run_all(seeds("WIDE_SEEDS", 0, 600), threads);
    let mut skipped: BTreeMap<&str, usize> = BTreeMap::new();
    let mut failed = Vec::new();
    for (run, outcome) in &results {
        match outcome {
            Outcome::Passed => {}
            Outcome::NotApplicable(why) => *skipped.entry(why).or_default() += 1,
            Outcome::Violated(violation) => failed.push(format!("{run:?}: {violation}")),
        }
    }
    let done = results.len() - skipped.values().sum::<usize>();
    println!("{} of {done} runs failed; not applicable: {skipped:?}", failed.len());
    assert!(failed.is_empty(), "{} of {done} runs failed:\n{}", failed.len(), failed.join("\n"));
}
