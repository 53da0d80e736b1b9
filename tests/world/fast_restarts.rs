//! Controllers that exit and are back within a fraction of a second, on a clock that differs from
//! that of the previous process: once, many times in a row, all at once, and at every stage of
//! their recovery, while messages, transactions and rentals of the previous process are still in
//! flight.
use super::*;
use gorseshore_core::peer::{incarnation_delay, incarnation_number};

pub const FAST_RESTARTS: Size = Size { busy_until: 120 * S, end_at: 280 * S, fast_restarts: true, ..SMALL };
/// Seven controllers that read the whole state within a tight request budget.
pub const SEVEN_CONTROLLERS_FAST_RESTARTS: Size = Size { requests_per_s: 100.0, ..LARGE_FAST_RESTARTS };
const LARGE_FAST_RESTARTS: Size = Size { busy_until: 60 * S, end_at: 200 * S, fast_restarts: true, ..LARGE };

/// Downtimes of a restarted process.
const DOWNTIMES: [u64; 4] = [0, 20 * MS, 100 * MS, 300 * MS];
/// Largest deviation of a process's wall clock from true time, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 25;
/// Longest time from a process's start until it is in service, if no further fault hits it.
const MAX_START_TIME: u64 = 8 * S;

/// Clocks and recovery times of a simulation with fast restarts.
pub struct Observations {
    /// How far each process's wall clock is ahead of the slowest possible one, in milliseconds.
    pub ahead_ms: Vec<u64>,
    last_leader: Option<u64>,
    /// Set while there is no leader after the last one exited: the time of the exit, and the
    /// downtime of its process.
    leaderless: Option<(u64, u64)>,
    /// Start time of each controller's current process.
    process_started_at: Vec<u64>,
    /// Downtime of each leader that exited, and the time from its exit to the next leader.
    pub failover_times: Vec<(u64, u64)>,
    /// Times from a process's start to being in service.
    pub start_times: Vec<u64>,
    starting: Vec<bool>,
    /// Downtime and clock advance (milliseconds) of the next processes, where a test sets them.
    next_processes: Vec<(u64, u64)>,
}

impl Observations {
    pub fn new(nodes: usize) -> Self {
        Observations {
            ahead_ms: vec![0; nodes],
            last_leader: None,
            leaderless: None,
            process_started_at: vec![0; nodes],
            failover_times: Vec::new(),
            start_times: Vec::new(),
            starting: vec![false; nodes],
            next_processes: Vec::new(),
        }
    }
}

impl World {
    /// Returns the leader if one is wanted and there is one, otherwise a random controller.
    fn pick_node(&mut self, leader: bool) -> usize {
        let leads = |n: &usize| self.nodes[*n].as_ref().is_some_and(Node::leads);
        let found = (0..self.size.nodes).find(leads).filter(|_| leader);
        found.unwrap_or_else(|| self.rng.usize(0..self.size.nodes))
    }

    pub fn inject_fast_restart(&mut self) {
        if self.now > self.size.busy_until {
            return;
        }
        let pause = self.rng.u64(200 * MS..5 * S);
        self.at(pause, Event::InjectFault);
        // Late duplicates of reports and of users' requests follow, to any process.
        self.partial_failures.duplicate_one_in = 4;
        let (kind, n) = (self.rng.u32(0..10), self.rng.u32(0..2) == 0);
        let n = self.pick_node(n);
        match kind {
            // All controllers at once, and half of the times again soon after.
            0 => {
                (0..self.size.nodes).for_each(|n| self.crash(n));
                let again = self.rng.u64(50 * MS..1500 * MS);
                if self.rng.bool() {
                    (0..self.size.nodes).for_each(|n| self.at(again, Event::Crash(n)));
                }
            }
            // Ten times in a row, at any stage of the recovery.
            1 => {
                for i in 0..10 {
                    let at = i * 400 * MS + self.rng.u64(0..400 * MS);
                    self.at(at, Event::Crash(n));
                }
            }
            2 | 3 => {
                self.crash(n);
                let again = self.rng.u64(MS..900 * MS);
                self.at(again, Event::Crash(n));
            }
            4..=7 => self.crash(n),
            8 => {
                self.state_refused_until[n] = self.now + self.rng.u64(S..6 * S);
                self.crash(n);
            }
            _ => {
                self.state.unavailable = true;
                let length = self.rng.u64(500 * MS..6 * S);
                self.at(length, Event::StateServiceRecovers);
                self.crash(n);
            }
        }
    }

    /// Delay until a terminated process has restarted and taken its incarnation number.
    pub fn fast_restart_delay(&mut self, n: usize) -> u64 {
        let downtime = self
            .fast_restarts
            .next_processes
            .first()
            .map_or_else(|| DOWNTIMES[self.rng.usize(0..DOWNTIMES.len())], |x| x.0);
        let led = self.fast_restarts.last_leader == Some(n as u64);
        if led && self.fast_restarts.leaderless.is_none() {
            self.fast_restarts.leaderless = Some((self.now, downtime));
        }
        downtime + incarnation_delay(Micros::millis(MAX_CLOCK_SKEW_MS)).0
    }

    /// Sets the clock of a starting process and returns its incarnation number.
    pub fn take_incarnation(&mut self, n: usize, salt: u64) -> u64 {
        self.fast_restarts.ahead_ms[n] = match self.fast_restarts.next_processes.is_empty() {
            true => self.rng.u64(0..=2 * MAX_CLOCK_SKEW_MS),
            false => self.fast_restarts.next_processes.remove(0).1,
        };
        self.fast_restarts.process_started_at[n] = self.now;
        self.fast_restarts.starting[n] = true;
        incarnation_number(START_WALL_MS + self.now / 1000 + self.fast_restarts.ahead_ms[n], salt)
    }

    /// Records when a controller leads and when it is in service.
    pub fn track_recovery(&mut self, n: usize) {
        let Some(node) = &self.nodes[n] else { return };
        let (leads, in_service) = (node.leads(), node.in_service());
        if leads {
            self.fast_restarts.last_leader = Some(n as u64);
            if let Some((at, downtime)) = self.fast_restarts.leaderless.take() {
                self.fast_restarts.failover_times.push((downtime, self.now - at));
            }
        }
        if in_service && std::mem::take(&mut self.fast_restarts.starting[n]) {
            let took = self.now - self.fast_restarts.process_started_at[n];
            self.fast_restarts.start_times.push(took);
        }
    }
}

/// The median and the maximum, in milliseconds.
fn median_and_max(mut of: Vec<u64>) -> (u64, u64) {
    of.sort();
    let at = |i: usize| of.get(i).copied().unwrap_or(0) / MS;
    (at(of.len() / 2), at(of.len().saturating_sub(1)))
}

/// Simulations with fast restarts; `BLINK_SEEDS=0..200` sets other seeds.
#[test]
fn fast_restarts_violate_no_invariant() {
    start_logger();
    let (mut failovers, mut start_times) = (Vec::new(), Vec::new());
    for seed in seeds("BLINK_SEEDS", 0, 12) {
        let sizes = if seed % 6 == 0 {
            vec![FAST_RESTARTS, SEVEN_CONTROLLERS_FAST_RESTARTS]
        } else {
            vec![FAST_RESTARTS]
        };
        for size in sizes {
            let run_label = format!("seed {seed}, {} controllers", size.nodes);
            let mut w = World::new(seed, false, size);
            w.run(size.busy_until + MAX_START_TIME + 5 * S);
            for n in 0..size.nodes {
                let in_service = w.nodes[n].as_ref().is_some_and(Node::in_service);
                assert!(in_service || !w.violations.is_empty(), "{run_label}: n{n} is not back in service");
            }
            w.run(size.end_at);
            assert!(w.violations.is_empty(), "{run_label}: {:?}", w.violations);
            let unfinished = w.unfinished_jobs();
            assert!(unfinished.len() <= 1, "{run_label}: {:?} have not ended", w.describe(&unfinished));
            assert!(w.started > 20, "{run_label}: only {} tasks started", w.started);
            failovers.append(&mut w.fast_restarts.failover_times);
            start_times.append(&mut w.fast_restarts.start_times);
        }
    }
    for downtime in DOWNTIMES {
        let of: Vec<u64> = failovers.iter().filter(|x| x.0 == downtime).map(|x| x.1).collect();
        let (n, (median, max)) = (of.len(), median_and_max(of));
        println!(
            "downtime of {} ms: a new leader after {median} ms, at most {max} ({n} times)",
            downtime / MS
        );
    }
    let (median, max) = median_and_max(start_times);
    println!("a process is back in service after {median} ms, at most {max}");
    assert!(!failovers.is_empty());
}

/// A process exits just after the leader received its heartbeat, on the fastest clock allowed; the
/// next one starts at once, on the slowest. The incarnation number of the next one must be higher;
/// otherwise the leader takes its messages for delayed ones of the earlier process.
#[test]
fn a_restart_on_a_slower_clock_gets_a_higher_incarnation_number() {
    let lives = [25, 30, 35, 40, 45].into_iter().flat_map(|ms| (1..5).map(move |seed| (ms, seed)));
    for (lived, seed) in lives {
        let mut w = World::new(seed, true, Size { fast_restarts: true, ..SMALL });
        w.run(20 * S);
        let n = (0..3).find(|n| !w.nodes[*n].as_ref().is_some_and(Node::leads)).unwrap();
        w.fast_restarts.next_processes = vec![(0, 2 * MAX_CLOCK_SKEW_MS), (0, 0)];
        w.crash(n);
        // Until the first process has its number, and then for the lifetime under test.
        let number = incarnation_delay(Micros::millis(MAX_CLOCK_SKEW_MS)).0;
        w.run(w.now + number + lived * MS);
        w.crash(n);
        w.run(w.now + MAX_START_TIME);
        let in_service = w.nodes[n].as_ref().is_some_and(Node::in_service);
        assert!(in_service, "a process that follows one that lived {lived} ms is not in service");
        assert!(w.violations.is_empty(), "{:?}", w.violations);
    }
}
