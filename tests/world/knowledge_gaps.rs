//! Leases renewed by controllers that knew which jobs were cancelled, lost contact with those that
//! confirmed further cancellations, and are in contact with processes that know nothing of them.
use super::lease_renewals::{Outcome, TIMINGS, WorkerTiming, check_plays};
use super::scenarios::Action::{Cancel, HistoryDropped, RefusedByState, StateOutage, ZonesPartitioned};
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
/// confirm cancellations; these restart in an outage, and the partition ends. In milliseconds.
#[derive(Debug)]
struct ReunionWithRestarted {
    seed: u64,
    nodes: usize,
    timing: WorkerTiming,
    /// From the partition to the refusal, and from there to the cancellations.
    refused_after: u64,
    cancel_after: u64,
    /// From the first confirmation.
    outage_at: u64,
    exit_at: u64,
    downtime: u64,
    /// The controllers of the east zone exit one after another, this long apart.
    interval: u64,
    reunion_at: u64,
}

impl ReunionWithRestarted {
    fn from_seed(seed: u64) -> ReunionWithRestarted {
        let r = &mut fastrand::Rng::with_seed(seed);
        let timing = TIMINGS[r.usize(0..TIMINGS.len())];
        let exit_at = r.u64(500..4_000);
        let downtime = if r.bool() { r.u64(50..1_000) } else { r.u64(1_000..6_000) };
        let interval = if r.bool() { 0 } else { r.u64(50..1_000) };
        ReunionWithRestarted {
            seed,
            nodes: [3, 5, 7][r.usize(0..3)],
            timing,
            refused_after: r.u64(0..3_000),
            cancel_after: r.u64(0..3_000),
            outage_at: r.u64(100..=exit_at.min(2_000)),
            exit_at,
            downtime,
            interval,
            // Before the first exit they would tell the others of the cancellations.
            reunion_at: exit_at + 4 * interval + r.u64(100..8_000),
        }
    }

    fn run(&self) -> Outcome {
        self.play(false)
    }

    /// The same with up to two machines of the west zone that hang from the confirmation on.
    fn run_with_silent_machines(&self) -> Outcome {
        self.play(true)
    }

    fn play(&self, silent_machines: bool) -> Outcome {
        let mut w = long_jobs_sized(self.seed, Workload::Mixed, self.timing.size(self.nodes));
        let Some(leader) = w.lead_from_east() else { return Outcome::new(&w, false) };
        let Some(confirmed_at) = w.confirm_without_west(leader, self.refused_after, self.cancel_after) else {
            return Outcome::new(&w, false);
        };
        if silent_machines {
            let hung_until = confirmed_at + 3 * w.size.cancel_timeout;
            let in_west =
                w.machines.values_mut().filter(|m| m.zone == "west" && World::runs_cancelled_task(m));
            in_west.take(2).for_each(|m| m.hung_until = hung_until);
        }
        w.run(confirmed_at + self.outage_at * MS);
        w.perform(leader, StateOutage(NEVER));
        for (i, n) in w.controllers_in("east").into_iter().enumerate() {
            w.run(confirmed_at + (self.exit_at + i as u64 * self.interval) * MS);
            w.terminate(n, self.downtime * MS);
        }
        w.run(confirmed_at + self.reunion_at * MS);
        w.zones_partitioned_until = 0;
        w.run(confirmed_at + 2 * w.size.cancel_timeout);
        Outcome::new(&w, true)
    }
}

/// Guards against contact with most controllers that counted as knowledge of all that was confirmed
/// before it: after a gap, a controller renewed the leases of tasks that were cancelled in it.
#[test]
fn contact_with_restarted_controllers_proves_no_knowledge() {
    check_plays(48, ReunionWithRestarted::from_seed, ReunionWithRestarted::run);
}

/// Guards against a controller in contact that has read the state and counts as knowing what was
/// cancelled: nobody looked for the cancelled tasks on machines that are silent.
#[test]
fn restarted_controllers_look_for_silent_machines_where_nobody_knows_all() {
    check_plays(48, ReunionWithRestarted::from_seed, ReunionWithRestarted::run_with_silent_machines);
}

/// Parameters of a run like `ReunionWithRestarted`, in which one controller of each zone is left: the
/// one that was cut off, and a restarted one that asks it. They are too few to agree on anything.
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

/// Why the west zone's controllers are not asked to acknowledge cancellations.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Gap {
    /// The zones can't reach each other.
    Partition,
    /// Their messages to the other controllers are lost; those of the others arrive.
    Mute,
}

/// Drawn parameters of a run: a gap, restarts and an outage in any order. In milliseconds.
#[derive(Debug)]
struct DrawnGap {
    seed: u64,
    nodes: usize,
    timing: WorkerTiming,
    gap: Gap,
    /// Of a version that has no knowledge reports.
    earlier_version: Option<usize>,
    refused_after: u64,
    cancel_after: u64,
    /// From the first confirmation; an event at the same time as others happens beside them.
    events: Vec<(u64, GapEvent)>,
}

#[derive(Debug, Clone, Copy)]
enum GapEvent {
    Outage(u64),
    GapEnds,
    /// A controller exits and is back after this time.
    Restart(usize, u64),
    HistoryDropped,
}

impl DrawnGap {
    fn from_seed(seed: u64) -> DrawnGap {
        let r = &mut fastrand::Rng::with_seed(seed);
        let timing = TIMINGS[r.usize(0..TIMINGS.len())];
        let nodes = [3, 5, 7][r.usize(0..3)];
        let outage_at = r.u64(100..3_000);
        let outage = if r.u32(0..4) == 0 { r.u64(5_000..timing.cancel) } else { 3 * timing.cancel };
        let first_exit = r.u64(500..5_000);
        let mut events = vec![(outage_at, GapEvent::Outage(outage))];
        // Together or in turn, and now and then one that knows is left, or each restarts twice.
        let interval = [0, r.u64(50..1_500)][r.usize(0..2)];
        let left = (r.u32(0..4) == 0).then(|| r.usize(0..nodes));
        let rounds = 1 + r.bool() as u64;
        let mut last_back = 0;
        for round in 0..rounds {
            for (i, n) in (0..nodes).filter(|n| controller_zone(*n) == "east").enumerate() {
                let downtime = if r.bool() { r.u64(50..1_000) } else { r.u64(1_000..6_000) };
                let at = first_exit + round * r.u64(3_000..9_000) + i as u64 * interval;
                if Some(n) != left {
                    events.push((at, GapEvent::Restart(n, downtime)));
                    last_back = last_back.max(at + downtime);
                }
            }
        }
        let gap_ends = match r.u32(0..3) {
            0 => r.u64(100..first_exit),
            1 => last_back,
            _ => last_back + r.u64(100..8_000),
        };
        events.push((gap_ends, GapEvent::GapEnds));
        if r.u32(0..4) == 0 {
            events.push((r.u64(0..outage_at + outage), GapEvent::HistoryDropped));
        }
        events.sort_by_key(|(at, _)| *at);
        DrawnGap {
            seed,
            nodes,
            timing,
            gap: [Gap::Partition, Gap::Mute][r.usize(0..2)],
            earlier_version: (r.u32(0..4) == 0).then(|| r.usize(0..nodes)),
            refused_after: r.u64(0..3_000),
            cancel_after: r.u64(1_800..4_000),
            events,
        }
    }

    fn run(&self) -> Outcome {
        let mut w = long_jobs_sized(self.seed, Workload::Mixed, self.timing.size(self.nodes));
        if let Some(n) = self.earlier_version {
            w.faults.earlier_version[n] = true;
            w.terminate(n, 3 * S);
            w.run(w.now + 6 * S);
        }
        let Some(leader) = w.lead_from_east() else { return Outcome::new(&w, false) };
        let forever = w.size.end_at * 10;
        match self.gap {
            Gap::Partition => w.zones_partitioned_until = forever,
            Gap::Mute => w.controllers_in("west").iter().for_each(|n| w.faults.mute_until[*n] = forever),
        }
        w.run(w.now + self.refused_after * MS);
        w.perform(leader, RefusedByState(West, NEVER));
        w.run(w.now + self.cancel_after * MS);
        w.perform(leader, Cancel(East));
        if !w.run_until_confirmed() {
            return Outcome::new(&w, false);
        }
        let confirmed_at = w.now;
        for (at, event) in &self.events {
            w.run(confirmed_at + at * MS);
            match event {
                GapEvent::Outage(length) => {
                    w.perform(leader, StateOutage(length * 1_000 / self.timing.cancel))
                }
                GapEvent::GapEnds => {
                    w.zones_partitioned_until = 0;
                    w.faults.mute_until.fill(0);
                }
                GapEvent::Restart(n, downtime) => w.terminate(*n, downtime * MS),
                GapEvent::HistoryDropped => w.perform(leader, HistoryDropped),
            }
        }
        w.run(confirmed_at + 2 * w.size.cancel_timeout);
        Outcome::new(&w, true)
    }
}

/// Guards against any order of a gap, restarts, an outage and its end in which a controller takes
/// itself for one that knows all cancellations.
#[test]
fn no_order_of_gaps_and_restarts_keeps_a_cancelled_task_alive() {
    check_plays(96, DrawnGap::from_seed, DrawnGap::run);
}
