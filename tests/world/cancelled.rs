//! Cancelled tasks: once a user received the answer that a job is cancelled, every task of it
//! leaves every machine in time, and no start of it is sent (`ordered_cancelled`). One scenario for
//! each way in which a task was left running, or might have been; then random combinations of
//! faults.
use super::scenarios::Action::*;
use super::scenarios::Controllers::*;
use super::scenarios::{NEVER, Scenario, Workload, random_actions, run_scenarios, simulate};
use super::*;

const ALL_WORKLOADS: [Workload; 4] =
    [Workload::Mixed, Workload::Single, Workload::Hundreds, Workload::AtLimit];

/// Guards against cancelled tasks left running behind a partition. The west zone is partitioned with
/// controllers that the state service refuses: they learn of nothing, and renew their workers'
/// leases. A zone whose reports reach no other controller is given a minute before its machines
/// count as dead, so only the handling of the cancelled jobs ends their tasks.
#[test]
fn cancelled_tasks_behind_a_partition_stop_through_leader_changes() {
    let scenario =
        |name, actions| Scenario { name, actions, expect_confirmed: false, expect_no_deletions: false };
    run_scenarios(
        &[
            // A new leader once took a cancellation for handled if its record was older than the
            // cancellation time limit, though the user may receive the confirmation long after the
            // record.
            scenario(
                "confirmed long after its record",
                &[
                    (0, ZonesPartitioned(3500)),
                    (0, RefusedByState(West, 3500)),
                    (5000, AnswersLost(All, 30)),
                    (5100, Cancel(East)),
                    (5150, StateOutage(1100)),
                    (7000, Terminate(Leader, 0)),
                ],
            ),
            // A new leader once counted the time from the start of its own process.
            scenario(
                "all of east restart at once, and lead right after their start",
                &[
                    (0, ZonesPartitioned(3500)),
                    (0, RefusedByState(West, 3500)),
                    (5000, Cancel(East)),
                    (24_000, Terminate(East, 0)),
                ],
            ),
            // Each leader once waited for 4 s from its own start.
            scenario(
                "leaders change repeatedly when machines have to be deleted",
                &[
                    (0, ZonesPartitioned(3500)),
                    (0, RefusedByState(West, 3500)),
                    (5000, Cancel(East)),
                    (20_000, LeaderChanges(12)),
                ],
            ),
            // The standby replicas once held only the placement log of the previous leader.
            scenario(
                "the next leader exits within its first second, and none can be elected",
                &[
                    (0, ZonesPartitioned(3500)),
                    (0, RefusedByState(West, 3500)),
                    (5000, Cancel(East)),
                    (8000, NextLeaderTerminates(300)),
                    (8000, Terminate(Leader, NEVER)),
                ],
            ),
            // The deputies' deletion budget was two machines in 10 s.
            scenario(
                "the state service unavailable, the leader terminated",
                &[
                    (0, ZonesPartitioned(3500)),
                    (0, RefusedByState(West, 3500)),
                    (5000, Cancel(East)),
                    (8000, StateOutage(1300)),
                    (8500, Terminate(Leader, NEVER)),
                ],
            ),
            // A controller that had read the state once renewed its workers' leases forever.
            scenario(
                "no controller is left in the east",
                &[
                    (0, ZonesPartitioned(3500)),
                    (0, RefusedByState(West, 3500)),
                    (5000, Cancel(East)),
                    (8000, Terminate(East, 3000)),
                ],
            ),
        ],
        &[Workload::Mixed],
    );
}

/// Stop commands that are lost, and stop commands whose answers are lost, are repeated until they
/// are carried out.
#[test]
fn stop_commands_are_repeated_until_carried_out() {
    let scenario =
        |name, actions| Scenario { name, actions, expect_confirmed: false, expect_no_deletions: false };
    run_scenarios(
        &[
            scenario("machines that cannot send", &[(0, MachinesCannotSend(2000)), (100, Cancel(Other(1)))]),
            scenario(
                "machines that cannot send, partitioned as the stop commands leave, the cloud unavailable",
                &[
                    (0, MachinesCannotSend(2000)),
                    (0, MachinesPartitioned(100)),
                    (100, Cancel(Other(1))),
                    (100, CloudOutage(900)),
                ],
            ),
            scenario(
                "commands delayed, and the leader exits",
                &[(0, CommandsDelayed(500)), (100, Cancel(Other(1))), (3000, Terminate(Leader, 0))],
            ),
            scenario(
                "commands delayed beyond the time limit, through a series of leaders",
                &[(0, CommandsDelayed(1500)), (100, Cancel(Other(1))), (200, LeaderChanges(10))],
            ),
            scenario("machines hang as users cancel", &[(0, CancelAndHang(Other(1), 1500))]),
            scenario(
                "machines hang as users cancel, the leader paused, the cloud unavailable",
                &[(0, CancelAndHang(Other(1), 1500)), (300, Pause(Leader, 500)), (300, CloudOutage(333))],
            ),
        ],
        &ALL_WORKLOADS,
    );
}

/// A controller behind a partition receives nothing from its peers while its machine lease runs on:
/// a start that was assigned to it, and not yet ordered, must not follow the confirmation to the
/// user. Assignments reach it through the state service, which then sends it no events for a while.
#[test]
fn no_start_is_ordered_behind_a_partition_after_a_confirmation() {
    let scenario =
        |name, actions| Scenario { name, actions, expect_confirmed: false, expect_no_deletions: false };
    run_scenarios(
        &[
            // The controller once processed the assignment before it read the job ends that came in
            // the same watch response.
            scenario(
                "the assignment and the cancellation come in one watch response",
                &[
                    (0, ZonesPartitioned(900)),
                    (3000, Submit),
                    (3450, RefusedByState(West, 75)),
                    (4300, Cancel(Leader)),
                ],
            ),
            // Controllers from which no heartbeat arrived were once left out altogether.
            scenario(
                "the start waits for an outstanding call, and no events come",
                &[
                    (0, ZonesPartitioned(900)),
                    (2900, CommandsDelayed(300)),
                    (3000, Submit),
                    (3400, Submit),
                    (4450, RefusedByState(West, 300)),
                    (4500, Cancel(Leader)),
                ],
            ),
            scenario(
                "machines hang and resume, and no events come",
                &[
                    (0, ZonesPartitioned(900)),
                    (3000, Submit),
                    (3300, MachinesHang(30)),
                    (3700, RefusedByState(West, 300)),
                    (3800, Submit),
                    (4300, Cancel(Leader)),
                ],
            ),
        ],
        &[Workload::Mixed, Workload::Single],
    );
}

/// Runs the random actions of a seed; returns their description and the world after them.
fn run_random_actions(seed: u64) -> (String, World) {
    let mut r = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let nodes = if r.u32(0..3) == 0 { 7 } else { 3 };
    let workload = ALL_WORKLOADS[r.usize(0..4)];
    let actions = random_actions(&mut r);
    let w = simulate(&actions, seed, nodes, workload);
    (format!("seed {seed}, {nodes} controllers, {workload:?}, {actions:?}"), w)
}

/// Two to four random faults around cancellations, with three or seven controllers and any
/// workload.
#[test]
fn random_faults_around_cancellations() {
    let (mut failed, mut late, mut runs) = (Vec::new(), 0, 0);
    for seed in seeds("CANCELLED_SEEDS", 0, 60) {
        let (run_label, w) = run_random_actions(seed);
        (late, runs) = (late + w.faults.starts_after_confirmation, runs + 1);
        if !w.violations.is_empty() {
            let violations = &w.violations[..w.violations.len().min(3)];
            failed.push(format!("{run_label}: {violations:?}"));
        }
    }
    println!("{late} starts after a confirmed cancellation, all ordered before it, in {runs} runs");
    assert!(failed.is_empty(), "{} of {runs} runs failed:\n{}", failed.len(), failed.join("\n"));
}

/// All controllers exit while a machine hangs and the state service is unavailable
/// (`docs/incidents/earlier.md`).
#[test]
fn cancelled_tasks_stop_in_time_after_all_controllers_exit() {
    let (run_label, w) = run_random_actions(5141);
    assert!(w.violations.is_empty(), "{run_label}: {:?}", &w.violations[..w.violations.len().min(3)]);
}
