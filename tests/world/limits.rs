//! The state service lowers its limits without notice, at a random time during random faults: from
//! then on no write may be refused for its size or its number of changes, since every writer kept
//! to the announced limits before.
use super::*;

/// Limits that the state service applies from a time unknown to the controllers.
#[derive(Clone, Copy)]
pub struct NextLimits {
    pub writes_per_s: f64,
    pub max_txn_writes: usize,
    pub max_value_kib: f64,
    /// Whether the controllers' settings name them.
    pub announced: bool,
}

impl NextLimits {
    /// The block of the platform settings.
    pub fn settings(&self) -> String {
        match self.announced {
            true => format!(
                "[deployment.state.next]\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
                self.writes_per_s, self.max_value_kib, self.max_txn_writes
            ),
            false => String::new(),
        }
    }
}

const NEXT: NextLimits =
    NextLimits { writes_per_s: 15.0, max_txn_writes: 4, max_value_kib: 2.0, announced: true };

/// Arrays whose progress record is larger than one value.
const LONG_ARRAYS: Size = Size {
    writes_per_s: 60.0,
    max_txn_writes: 8,
    max_value_kib: 4.0,
    long_arrays: 2,
    jobs: 4,
    next_limits: Some(NEXT),
    ..SMALL
};
/// So many machines that the records of those that come up together do not fit into one value.
const MANY_MACHINES: Size = Size { next_limits: Some(NextLimits { max_value_kib: 1.0, ..NEXT }), ..LARGE };
/// Nomad clients with their jobs.
const NOMAD_CLIENTS: Size = Size {
    max_value_kib: 4.0,
    next_limits: Some(NextLimits { writes_per_s: 30.0, ..NEXT }),
    ..SMALL_WITH_NOMAD
};

impl World {
    /// Schedules the time from which the next limits apply.
    pub fn plan_next_limits(&mut self) {
        if self.size.next_limits.is_some() {
            let at = self.rng.u64(5 * S..self.size.busy_until);
            self.at(at, Event::LowerLimits);
        }
    }

    pub fn lower_limits(&mut self) {
        if let Some(next) = self.size.next_limits {
            self.state.lower_limits(next.writes_per_s, next.max_txn_writes, next.max_value_kib);
        }
    }

    /// Adds an array of 8,500 to 10,000 small tasks, the first of which end long before the last.
    pub fn long_array(&mut self) {
        let j = self.jobs.len();
        let tasks = self.rng.u32(8_500..10_000);
        let run_us = self.rng.u64(S..3 * S);
        let body = json!({"ref": format!("j-{j:06}"), "lot": "l", "crew": "free", "manner": "array",
            "rank": "standard", "pieces": tasks, "cpus": 0.05, "gpus": 0.0, "memory_gb": 0.01,
            "bundle": "i", "image_gb": 0.4, "builds": null, "yard": null, "same_place": false,
            "apart": false, "loaners": true, "guess_s": run_us as f64 / 1e6, "mark_s": 0.0,
            "stow_s": 0.0, "due_s": null});
        let job = Job::new(body, "free", false, tasks, 0.05, run_us);
        self.jobs.push(Job { spot: true, run_us_step: 2 * MS, ..job });
    }
}

/// Runs simulations with the next limits; `LIMIT_SEEDS=1..9` sets other seeds.
fn check_limits(name: &str, size: Size, least_completed: usize) {
    start_logger();
    for seed in seeds("LIMIT_SEEDS", 1, 3) {
        let w = simulate(seed, false, size);
        println!(
            "{name}, seed {seed}: {} completed, {} started, {} times too fast, {} refused",
            w.completed,
            w.started,
            w.state.rate_limited_count(),
            w.state.rejected_transactions().len()
        );
        assert!(w.violations.is_empty(), "{name}, seed {seed}: {:?}", w.violations);
        let refused = w.state.rejected_transactions();
        assert!(refused.is_empty(), "{name}, seed {seed}: {} refused: {:?}", refused.len(), refused.first());
        assert!(w.completed >= least_completed, "{name}, seed {seed}: {} completed", w.completed);
        let unfinished = w.unfinished_jobs();
        assert!(unfinished.is_empty(), "{name}, seed {seed}: {:?} have not ended", w.describe(&unfinished).0);
    }
}

#[test]
fn long_arrays_end_within_the_next_limits() {
    check_limits("long arrays", LONG_ARRAYS, 17_000);
}

#[test]
fn many_machines_are_recorded_within_the_next_limits() {
    check_limits("many machines", MANY_MACHINES, 300);
}

#[test]
fn nomad_clients_are_served_within_the_next_limits() {
    check_limits("Nomad clients", NOMAD_CLIENTS, 0);
}

/// The same simulations, while the controllers' settings do not name the next limits: writes are
/// refused, which shows that the tests above can fail.
#[test]
fn unannounced_limits_are_exceeded() {
    for (name, size) in
        [("long arrays", LONG_ARRAYS), ("many machines", MANY_MACHINES), ("Nomad clients", NOMAD_CLIENTS)]
    {
        let next_limits = size.next_limits.map(|next| NextLimits { announced: false, ..next });
        let refused = |seed| {
            let w = simulate(seed, false, Size { next_limits, ..size });
            w.state.rejected_transactions().len()
        };
        let refused: usize = seeds("LIMIT_SEEDS", 1, 3).map(refused).sum();
        println!("{name}: {refused} refused");
        assert!(refused > 0, "{name}");
    }
}

/// A record that the state service rejects as invalid delays no other record, and is not repeated
/// constantly.
#[test]
fn a_record_that_is_refused_holds_up_no_other() {
    let mut w = World::new(3, true, SMALL);
    let keys = ["g/h/host-000000", "g/p/j-000002/0"];
    keys.iter().for_each(|key| w.state.reject_puts_of(key));
    w.run(40 * S);
    assert!(w.completed > 5, "{} tasks completed in 40 s", w.completed);
    w.run(SMALL.end_at + 150 * S);
    assert!(w.violations.is_empty(), "{:?}", w.violations);
    let unfinished = w.unfinished_jobs();
    assert!(unfinished.is_empty(), "{:?} have not ended", w.describe(&unfinished));
    assert!(w.completed > 60, "{} tasks completed", w.completed);
    let times: usize = keys.iter().map(|key| w.state.rejected_put_count(key)).sum();
    println!("{times} times refused");
    // The retry pauses grow from one second on, under every leader.
    assert!((1..40).contains(&times), "{times} times refused");
}
