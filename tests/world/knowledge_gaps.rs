//! Leases renewed by controllers that knew which jobs were cancelled, lost contact with those that
//! confirmed further cancellations, and are in contact with processes that know nothing of them.
use super::lease_renewals::{Outcome, TIMINGS, WorkerTiming, check_plays};
use super::scenarios::Action::{Cancel, RefusedByState, StateOutage, ZonesPartitioned};
use super::scenarios::Controllers::{East, West};
use super::scenarios::{NEVER, Workload, long_jobs_sized};
use super::*;

impl World {
    /// Makes a controller of the east zone lead, and returns it.
    fn lead_from_east(&mut self) -> Option<usize> {
        for _ in 0..10 {
            let leader = self.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.leads()));
            match leader {
                Some(n) if controller_zone(n) == "east" => return Some(n),
                Some(n) => self.terminate(n, 3 * S),
                None => {}
            }
            self.run(self.now + 5 * S);
        }
        None
    }

    /// The controllers of a zone, the one with the lowest number first.
    fn controllers_in(&self, zone: &str) -> Vec<usize> {
        (0..self.size.nodes).filter(|n| controller_zone(*n) == zone).collect()
    }

    /// The west zone loses the east one and then the state service, and the east zone confirms
    /// cancellations. Returns the time of the first confirmation.
    fn confirm_without_west(&mut self, leader: usize, refused_after: u64, cancel_after: u64) -> Option<u64> {
        self.perform(leader, ZonesPartitioned(NEVER));
        self.run(self.now + refused_after * MS);
        self.perform(leader, RefusedByState(West, NEVER));
        self.run(self.now + cancel_after * MS);
        self.perform(leader, Cancel(East));
        self.run_until_confirmed().then_some(self.now)
    }
}

/// Parameters of a run in which a zone is cut off and refused by the state service while others
/// confirm cancellations. In an outage one controller of each zone is left: the one that was cut off,
/// and a restarted one that asks it. They are a minority. In milliseconds.
#[derive(Debug)]
struct ToldByOneCutOff {
    seed: u64,
    nodes: usize,
    timing: WorkerTiming,
    refused_after: u64,
    cancel_after: u64,
    /// From the first confirmation.
    exit_at: u64,
    back_at: u64,
    reunion_at: u64,
}

impl ToldByOneCutOff {
    fn from_seed(seed: u64) -> ToldByOneCutOff {
        let r = &mut fastrand::Rng::with_seed(seed);
        let exit_at = r.u64(500..3_000);
        let back_at = exit_at + r.u64(3_000..8_000);
        ToldByOneCutOff {
            seed,
            nodes: [5, 7][r.usize(0..2)],
            timing: TIMINGS[r.usize(0..TIMINGS.len())],
            refused_after: r.u64(0..3_000),
            cancel_after: r.u64(0..3_000),
            exit_at,
            back_at,
            reunion_at: back_at + r.u64(0..1_500) - 500,
        }
    }

    fn run(&self) -> Outcome {
        let mut w = long_jobs_sized(self.seed, Workload::Mixed, self.timing.size(self.nodes));
        let Some(leader) = w.lead_from_east() else { return Outcome::new(&w, false) };
        let never = w.size.end_at * 10;
        w.controllers_in("west")[1..].iter().for_each(|n| w.terminate(*n, never));
        let Some(confirmed_at) = w.confirm_without_west(leader, self.refused_after, self.cancel_after) else {
            return Outcome::new(&w, false);
        };
        w.run(confirmed_at + self.exit_at * MS / 2);
        w.perform(leader, StateOutage(NEVER));
        w.run(confirmed_at + self.exit_at * MS);
        for (i, n) in w.controllers_in("east").into_iter().enumerate() {
            w.terminate(n, if i == 0 { (self.back_at - self.exit_at) * MS } else { never });
        }
        w.run(confirmed_at + self.reunion_at * MS);
        w.zones_partitioned_until = 0;
        w.run(confirmed_at + 2 * w.size.cancel_timeout);
        Outcome::new(&w, true)
    }
}

/// Guards against the age of another controller's knowledge that is older than the clock of the
/// process that receives it, and that became the start of that clock: a restarted controller renewed
/// the leases of tasks that had been cancelled before its start.
#[test]
fn knowledge_from_before_the_own_start_renews_no_lease() {
    check_plays(48, ToldByOneCutOff::from_seed, ToldByOneCutOff::run);
}
