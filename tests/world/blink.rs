//! Controllers that exit and are back within a fraction of a second, on a clock that differs from
//! that of the previous process: once, many times in a row, all at once, and at every stage of
//! their recovery, while messages, transactions and rentals of the previous process are still in
//! flight.
use super::*;
use gorseshore_core::peer::{incarnation_delay, incarnation_number};

pub const BLINK: Size = Size { busy_until: 120 * S, ends: 280 * S, blinks: true, ..SMALL };
/// Seven controllers that read the whole state within a tight request budget.
const BLINK_OF_SEVEN: Size = Size { requests: 100.0, ..GROWN_BLINK };
const GROWN_BLINK: Size = Size { busy_until: 60 * S, ends: 200 * S, blinks: true, ..GROWN };

/// Downtimes of a restarted process.
const AWAY: [u64; 4] = [0, 20 * MS, 100 * MS, 300 * MS];
/// Largest deviation of a process's wall clock from true time, in milliseconds.
const CLOCK_OFF_MS: u64 = 25;
/// Longest time from a process's start until it is in service, if no further fault hits it.
const IN_SERVICE: u64 = 8 * S;

/// Clocks and recovery times of a simulation with fast restarts.
pub struct Seen {
    /// How far each process's wall clock is ahead of the slowest possible one, in milliseconds.
    pub ahead_ms: Vec<u64>,
    last: Option<u64>,
    /// Set while there is no leader after the last one exited: the time of the exit, and the
    /// downtime of its process.
    vacant: Option<(u64, u64)>,
    /// Start time of each controller's current process.
    began: Vec<u64>,
    /// Downtime of each leader that exited, and the time from its exit to the next leader.
    pub lead_again: Vec<(u64, u64)>,
    /// Times from a process's start to being in service.
    pub in_service: Vec<u64>,
    waiting: Vec<bool>,
    /// Downtime and clock advance (milliseconds) of the next processes, where a test sets them.
    next: Vec<(u64, u64)>,
}

impl Seen {
    pub fn new(nodes: usize) -> Self {
        Seen {
            ahead_ms: vec![0; nodes],
            last: None,
            vacant: None,
            began: vec![0; nodes],
            lead_again: Vec::new(),
            in_service: Vec::new(),
            waiting: vec![false; nodes],
            next: Vec::new(),
        }
    }
}

impl World {
    /// Returns the leader if one is wanted and there is one, otherwise a random controller.
    fn some_node(&mut self, leader: bool) -> usize {
        let leads = |n: &usize| self.nodes[*n].as_ref().is_some_and(Node::leads);
        let found = (0..self.size.nodes).find(leads).filter(|_| leader);
        found.unwrap_or_else(|| self.rng.usize(0..self.size.nodes))
    }

    pub fn blink_trouble(&mut self) {
        if self.now > self.size.busy_until {
            return;
        }
        let pause = self.rng.u64(200 * MS..5 * S);
        self.at(pause, Event::Trouble);
        // Late duplicates of reports and of users' requests follow, to any process.
        self.oncall.copies = 4;
        let (kind, n) = (self.rng.u32(0..10), self.rng.u32(0..2) == 0);
        let n = self.some_node(n);
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
                self.refused_until[n] = self.now + self.rng.u64(S..6 * S);
                self.crash(n);
            }
            _ => {
                self.state.down = true;
                let length = self.rng.u64(500 * MS..6 * S);
                self.at(length, Event::Heal);
                self.crash(n);
            }
        }
    }

    /// Delay until a terminated process has restarted and taken its incarnation number.
    pub fn back_at_once(&mut self, n: usize) -> u64 {
        let away = self.blink.next.first().map_or_else(|| AWAY[self.rng.usize(0..AWAY.len())], |x| x.0);
        let led = self.blink.last == Some(n as u64);
        if led && self.blink.vacant.is_none() {
            self.blink.vacant = Some((self.now, away));
        }
        away + incarnation_delay(Micros::millis(CLOCK_OFF_MS)).0
    }

    /// Sets the clock of a starting process and returns its incarnation number.
    pub fn process_number(&mut self, n: usize, salt: u64) -> u64 {
        self.blink.ahead_ms[n] = match self.blink.next.is_empty() {
            true => self.rng.u64(0..=2 * CLOCK_OFF_MS),
            false => self.blink.next.remove(0).1,
        };
        self.blink.began[n] = self.now;
        self.blink.waiting[n] = true;
        incarnation_number(WALL_MS + self.now / 1000 + self.blink.ahead_ms[n], salt)
    }

    /// Records when a controller leads and when it is in service.
    pub fn look_at(&mut self, n: usize) {
        let Some(node) = &self.nodes[n] else { return };
        let (leads, in_service) = (node.leads(), node.in_service());
        if leads {
            self.blink.last = Some(n as u64);
            if let Some((at, away)) = self.blink.vacant.take() {
                self.blink.lead_again.push((away, self.now - at));
            }
        }
        if in_service && std::mem::take(&mut self.blink.waiting[n]) {
            let took = self.now - self.blink.began[n];
            self.blink.in_service.push(took);
        }
    }
}

/// The median and the maximum, in milliseconds.
fn spread(mut of: Vec<u64>) -> (u64, u64) {
    of.sort();
    let at = |i: usize| of.get(i).copied().unwrap_or(0) / MS;
    (at(of.len() / 2), at(of.len().saturating_sub(1)))
}

/// Simulations with fast restarts; `BLINK_SEEDS=0..200` sets other seeds.
#[test]
fn processes_that_are_back_at_once_confuse_nobody() {
    logs();
    let (mut lead, mut service) = (Vec::new(), Vec::new());
    for seed in seeds("BLINK_SEEDS", 0, 12) {
        let sizes = if seed % 6 == 0 { vec![BLINK, BLINK_OF_SEVEN] } else { vec![BLINK] };
        for size in sizes {
            let what = format!("seed {seed}, {} controllers", size.nodes);
            let mut w = World::new(seed, false, size);
            w.run(size.busy_until + IN_SERVICE + 5 * S);
            for n in 0..size.nodes {
                let there = w.nodes[n].as_ref().is_some_and(Node::in_service);
                assert!(there || !w.broken.is_empty(), "{what}: n{n} is not back in service");
            }
            w.run(size.ends);
            assert!(w.broken.is_empty(), "{what}: {:?}", w.broken);
            let late = w.late();
            assert!(late.len() <= 1, "{what}: {:?} have not ended", w.describe(&late));
            assert!(w.started > 20, "{what}: only {} tasks started", w.started);
            lead.append(&mut w.blink.lead_again);
            service.append(&mut w.blink.in_service);
        }
    }
    for away in AWAY {
        let of: Vec<u64> = lead.iter().filter(|x| x.0 == away).map(|x| x.1).collect();
        let (n, (half, most)) = (of.len(), spread(of));
        println!("downtime of {} ms: a new leader after {half} ms, at most {most} ({n} times)", away / MS);
    }
    let (half, most) = spread(service);
    println!("a process is back in service after {half} ms, at most {most}");
    assert!(!lead.is_empty());
}

/// A process exits just after the leader received its heartbeat, on the fastest clock allowed; the
/// next one starts at once, on the slowest. The incarnation number of the next one must be higher;
/// otherwise the leader takes its messages for delayed ones of the earlier process.
#[test]
fn a_process_on_a_slower_clock_is_not_taken_for_its_earlier_life() {
    let lives = [25, 30, 35, 40, 45].into_iter().flat_map(|ms| (1..5).map(move |seed| (ms, seed)));
    for (lived, seed) in lives {
        let mut w = World::new(seed, true, Size { blinks: true, ..SMALL });
        w.run(20 * S);
        let n = (0..3).find(|n| !w.nodes[*n].as_ref().is_some_and(Node::leads)).unwrap();
        w.blink.next = vec![(0, 2 * CLOCK_OFF_MS), (0, 0)];
        w.crash(n);
        // Until the first process has its number, and then for the lifetime under test.
        let number = incarnation_delay(Micros::millis(CLOCK_OFF_MS)).0;
        w.run(w.now + number + lived * MS);
        w.crash(n);
        w.run(w.now + IN_SERVICE);
        let there = w.nodes[n].as_ref().is_some_and(Node::in_service);
        assert!(there, "a process that follows one that lived {lived} ms is not in service");
        assert!(w.broken.is_empty(), "{:?}", w.broken);
    }
}
