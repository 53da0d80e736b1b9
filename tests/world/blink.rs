//! Controllers that end and are back within a fraction of a second, on a clock
//! that differs from the last one's: once, many times in a row, all at once, at
//! every stage of their recovery, while messages, transactions and rentals of
//! their earlier life are still on their way.
use super::*;
use gorseshore_core::peer::{incarnation_delay, incarnation_number};

pub const BLINK: Size = Size { busy_until: 120 * S, ends: 280 * S, blinks: true, ..SMALL };
/// Seven that read everything within a tight budget of requests.
const BLINK_OF_SEVEN: Size = Size { requests: 100.0, ..GROWN_BLINK };
const GROWN_BLINK: Size = Size { busy_until: 60 * S, ends: 200 * S, blinks: true, ..GROWN };

/// How long a process stays away.
const AWAY: [u64; 4] = [0, 20 * MS, 100 * MS, 300 * MS];
/// How far a process's time of day may be from true time, in milliseconds.
const CLOCK_OFF_MS: u64 = 25;
/// A process that nothing more happens to is in service again after this.
const IN_SERVICE: u64 = 8 * S;

/// What is seen of such a day.
pub struct Seen {
    /// How far each process's time of day is ahead of the slowest one's.
    pub ahead_ms: Vec<u64>,
    last: Option<u64>,
    /// Leaders that ended, until some controller leads again: when, and for how
    /// long the process was away.
    vacant: Option<(u64, u64)>,
    /// Processes on their way, and when they began.
    began: Vec<u64>,
    /// From a leader's end to the next lead, by how long its process was away.
    pub lead_again: Vec<(u64, u64)>,
    /// From the start of a process to being in service.
    pub in_service: Vec<u64>,
    waiting: Vec<bool>,
    /// How long the next processes stay away, and how far ahead their clocks are
    /// (milliseconds), where a test says so.
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
    /// A leader, or anybody.
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
        // Late copies of reports and of users' requests follow, to whatever process.
        self.oncall.copies = 4;
        let (kind, n) = (self.rng.u32(0..10), self.rng.u32(0..2) == 0);
        let n = self.some_node(n);
        match kind {
            // All at once, now and then twice.
            0 => {
                (0..self.size.nodes).for_each(|n| self.crash(n));
                let again = self.rng.u64(50 * MS..1500 * MS);
                if self.rng.bool() {
                    (0..self.size.nodes).for_each(|n| self.at(again, Event::Crash(n)));
                }
            }
            // Ten times in a row, at whatever stage it is.
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
                self.state.unavailable = true;
                let length = self.rng.u64(500 * MS..6 * S);
                self.at(length, Event::Heal);
                self.crash(n);
            }
        }
    }

    /// When an ended process is there again and has taken its number.
    pub fn back_at_once(&mut self, n: usize) -> u64 {
        let away = self.blink.next.first().map_or_else(|| AWAY[self.rng.usize(0..AWAY.len())], |x| x.0);
        let led = self.blink.last == Some(n as u64);
        if led && self.blink.vacant.is_none() {
            self.blink.vacant = Some((self.now, away));
        }
        away + incarnation_delay(Micros::millis(CLOCK_OFF_MS)).0
    }

    /// The number of a process that begins, on a clock of its own.
    pub fn process_number(&mut self, n: usize, salt: u64) -> u64 {
        self.blink.ahead_ms[n] = match self.blink.next.is_empty() {
            true => self.rng.u64(0..=2 * CLOCK_OFF_MS),
            false => self.blink.next.remove(0).1,
        };
        self.blink.began[n] = self.now;
        self.blink.waiting[n] = true;
        incarnation_number(WALL_MS + self.now / 1000 + self.blink.ahead_ms[n], salt)
    }

    /// What a controller has come to.
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

/// The middle one and the last one, in milliseconds.
fn spread(mut of: Vec<u64>) -> (u64, u64) {
    of.sort();
    let at = |i: usize| of.get(i).copied().unwrap_or(0) / MS;
    (at(of.len() / 2), at(of.len().saturating_sub(1)))
}

/// Days of processes that are back at once; `BLINK_SEEDS=0..200` for others.
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
                assert!(there || !w.broken.is_empty(), "{what}: n{n} is not in service again");
            }
            w.run(size.ends);
            assert!(w.broken.is_empty(), "{what}: {:?}", w.broken);
            let late = w.late();
            assert!(late.len() <= 1, "{what}: {:?} are not over at the end", w.describe(&late));
            assert!(w.started > 20, "{what}: only {} tasks started", w.started);
            lead.append(&mut w.blink.lead_again);
            service.append(&mut w.blink.in_service);
        }
    }
    for away in AWAY {
        let of: Vec<u64> = lead.iter().filter(|x| x.0 == away).map(|x| x.1).collect();
        let (n, (half, most)) = (of.len(), spread(of));
        println!(
            "away for {} ms: somebody leads again after {half} ms, at most {most} ({n} times)",
            away / MS
        );
    }
    let (half, most) = spread(service);
    println!("a process is in service again after {half} ms, at most {most}");
    assert!(!lead.is_empty());
}

/// A process ends just after it was heard, on the fastest clock there may be; the
/// next one begins at once, on the slowest. Its number must be the higher one, or
/// the leader takes its word for the earlier one's, held up on the way.
#[test]
fn a_process_on_a_slower_clock_is_not_taken_for_its_earlier_life() {
    let lives = [25, 30, 35, 40, 45].into_iter().flat_map(|ms| (1..5).map(move |seed| (ms, seed)));
    for (lived, seed) in lives {
        let mut w = World::new(seed, true, Size { blinks: true, ..SMALL });
        w.run(20 * S);
        let n = (0..3).find(|n| !w.nodes[*n].as_ref().is_some_and(Node::leads)).unwrap();
        w.blink.next = vec![(0, 2 * CLOCK_OFF_MS), (0, 0)];
        w.crash(n);
        // Until the first one has its number, and so long after.
        let number = incarnation_delay(Micros::millis(CLOCK_OFF_MS)).0;
        w.run(w.now + number + lived * MS);
        w.crash(n);
        w.run(w.now + IN_SERVICE);
        let there = w.nodes[n].as_ref().is_some_and(Node::in_service);
        assert!(there, "a process that came after one of {lived} ms is not in service");
        assert!(w.broken.is_empty(), "{:?}", w.broken);
    }
}
