//! Work that goes on in an outage of the state service: as long as a majority of the controllers
//! remembers what it confirmed, workers' leases are renewed.
use super::lease_renewals::{TIMINGS, WorkerTiming};
use super::scenarios::Action::{RefusedByState, StateOutage};
use super::scenarios::Controllers::Other;
use super::scenarios::{NEVER, Workload, long_jobs_sized};
use super::*;
use std::collections::BTreeSet;

/// What happens in the outage. In milliseconds.
#[derive(Debug, Clone, Copy)]
enum Disruption {
    Nothing,
    /// One controller exits, and is back after this time.
    OneRestart(u64),
    /// All restart one after another: downtime, and the time from one's return to the next exit.
    RollingRestart(u64, u64),
    /// The zones can't reach each other for this time.
    Partition(u64),
    /// In place of the outage the state service refuses one controller.
    OneRefused,
}

/// The shortest time from a controller's return to the next one's exit at which the others can go on:
/// until the returned one counts for the majority again.
const REJOIN_MS: u64 = 5_000;

#[derive(Debug)]
struct CoveredOutage {
    seed: u64,
    nodes: usize,
    timing: WorkerTiming,
    disruption: Disruption,
}

impl CoveredOutage {
    fn from_seed(seed: u64) -> CoveredOutage {
        let r = &mut fastrand::Rng::with_seed(seed);
        let timing = TIMINGS[r.usize(0..TIMINGS.len())];
        // A zone that is cut off for longer ceases to renew, since it may not know all any more.
        let longest_partition = (timing.cancel - timing.lease).saturating_sub(3_500).max(600);
        let disruption = match seed % 5 {
            0 => Disruption::Nothing,
            1 => Disruption::OneRestart(r.u64(50..6_000)),
            2 => Disruption::RollingRestart(r.u64(50..5_000), REJOIN_MS + r.u64(0..3_000)),
            3 => Disruption::Partition(r.u64(500..longest_partition)),
            _ => Disruption::OneRefused,
        };
        CoveredOutage { seed, nodes: [3, 5, 7][r.usize(0..3)], timing, disruption }
    }

    /// The tasks that ran at the beginning and don't at the end.
    fn run(&self) -> Vec<String> {
        let mut w = long_jobs_sized(self.seed, Workload::Mixed, self.timing.size(self.nodes));
        let leader = w.leader();
        let before = w.running_attempts();
        match self.disruption {
            Disruption::OneRefused => w.perform(leader, RefusedByState(Other(1), NEVER)),
            _ => w.perform(leader, StateOutage(NEVER)),
        }
        w.run(w.now + 3 * S);
        match self.disruption {
            Disruption::Nothing | Disruption::OneRefused => {}
            Disruption::OneRestart(downtime) => w.terminate(0, downtime * MS),
            Disruption::RollingRestart(downtime, pause) => {
                for n in 0..self.nodes {
                    w.terminate(n, downtime * MS);
                    w.run(w.now + (downtime + pause) * MS);
                }
            }
            Disruption::Partition(length) => w.zones_partitioned_until = w.now + length * MS,
        }
        w.run(w.now + 2 * w.size.cancel_timeout);
        assert_eq!(w.violations, Vec::<String>::new(), "{self:?}");
        let after = w.running_attempts();
        before.difference(&after).cloned().collect()
    }
}

impl World {
    /// The running tasks with their machines and attempts.
    fn running_attempts(&self) -> BTreeSet<String> {
        let running = |m: &Machine| -> Vec<String> {
            let running = m.tasks.iter().filter(|t| t.is_running());
            running.map(|t| format!("{} {} {}", m.name, t.name, t.attempt)).collect()
        };
        self.machines.values().flat_map(running).collect()
    }
}

/// Guards against leases that are not renewed although a majority knows all cancellations: what runs
/// would end in each outage.
#[test]
fn a_majority_that_remembers_keeps_its_workers() {
    let mut failed = Vec::new();
    for seed in seeds("COVERED_SEEDS", 0, 60) {
        let play = CoveredOutage::from_seed(seed);
        let lost = play.run();
        if !lost.is_empty() {
            failed.push(format!("{play:?}: {} lost, {}", lost.len(), lost[0]));
        }
    }
    assert!(failed.is_empty(), "{} plays lost tasks:\n{}", failed.len(), failed.join("\n"));
}
