//! Controllers on loopback under random faults: one short run with a fixed seed, and with more
//! workers than a controller may hold connections. `gorseshore-standins soak` does more runs.
use gorseshore_standins::soak::{Settings, run};
use std::path::PathBuf;
use std::time::Duration;

const SEED: u64 = 1;

#[test]
fn invariants_hold_under_random_faults_with_more_workers_than_connections() {
    let settings = Settings {
        program: PathBuf::from(env!("CARGO_BIN_EXE_gorseshore")),
        controllers: 3,
        fleet_machines: 60,
        sockets: 110,
        slow_controllers: false,
        fault_period: Duration::from_secs(30),
        quiet_period: Duration::from_secs(78),
    };
    let outcome = run(&settings, SEED).unwrap();
    println!(
        "{} jobs, {} responses, {} task starts, longest time without a response {:.1} s",
        outcome.jobs, outcome.answers, outcome.task_starts, outcome.longest_unanswered_s
    );
    assert!(outcome.violations.is_empty(), "seed {SEED}: {:?}", outcome.violations);
    assert!(outcome.machines > 40 && outcome.jobs > 10 && outcome.task_starts > 60);
}
