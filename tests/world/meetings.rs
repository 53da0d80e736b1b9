//! Combinations of two or more faults. Each combination is a scenario, its variants stand in a
//! table, and the checks use only what users and workers observe.
use super::scenarios::Action::*;
use super::scenarios::Controllers::*;
use super::scenarios::{Action, NEVER, Scenario, Workload, run_scenarios};
use super::*;

/// The state service refuses the leader alone, another controller confirms cancellations, and then
/// the service is unavailable to all controllers for longer than a cancellation may take: no other
/// controller can be elected, and the leader's workers continue to report to it.
#[test]
fn cancellations_confirmed_before_an_outage_reach_the_leader() {
    let with_outage = |expect_confirmed, name, actions| Scenario {
        name,
        actions,
        expect_confirmed,
        expect_no_deletions: true,
    };
    run_scenarios(
        &[
            with_outage(
                true,
                "refused before",
                &[(0, RefusedByState(Leader, 3000)), (500, Cancel(Other(1))), (2200, StateOutage(1300))],
            ),
            with_outage(
                true,
                "refused at",
                &[(500, RefusedByState(Leader, 3000)), (500, Cancel(Other(1))), (2200, StateOutage(1300))],
            ),
            with_outage(
                true,
                "refused after",
                &[(500, Cancel(Other(1))), (503, RefusedByState(Leader, 3000)), (2200, StateOutage(1300))],
            ),
            with_outage(
                true,
                "all but one refused, state service unavailable for three times as long",
                &[
                    (0, RefusedByState(All, 3000)),
                    (0, RefusedByState(Other(1), 0)),
                    (500, Cancel(Other(1))),
                    (2200, StateOutage(3000)),
                ],
            ),
            with_outage(
                true,
                "the confirming controller exits right after, and restarts at once",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, StateOutage(1300)),
                    (2250, Terminate(Other(1), 0)),
                ],
            ),
            with_outage(
                true,
                "the leader exits, and restarts at once",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, StateOutage(1300)),
                    (2500, Terminate(Leader, 0)),
                ],
            ),
            with_outage(
                true,
                "the same jobs cancelled at all controllers",
                &[(0, RefusedByState(Leader, 3000)), (500, Cancel(All)), (2200, StateOutage(1300))],
            ),
            with_outage(
                false,
                "the leader isolated from the other controllers as well",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (0, Isolated(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, StateOutage(1300)),
                ],
            ),
            with_outage(
                true,
                "one ends before, and is back without the state",
                &[
                    (0, Terminate(Other(2), 150)),
                    (1900, Cancel(Other(1))),
                    (2000, RefusedByState(Leader, 3000)),
                    (3700, StateOutage(1300)),
                ],
            ),
            with_outage(
                true,
                "the leader isolated after it",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, StateOutage(1300)),
                    (2200, Isolated(Leader, 1300)),
                ],
            ),
        ],
        &[Workload::Mixed],
    );
}

/// No controller can lead, and the leader's unfinished work remains: machines that cannot be
/// reached, and controllers that know of no cancellation and renew their workers' leases.
#[test]
fn cancelled_tasks_stop_without_a_leader() {
    let scenario =
        |name, actions| Scenario { name, actions, expect_confirmed: true, expect_no_deletions: false };
    run_scenarios(
        &[
            scenario(
                "machines hang, the leader exits in the outage and stays down",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, StateOutage(1300)),
                    (4000, Terminate(Leader, NEVER)),
                ],
            ),
            scenario(
                "the leader exits as machines hang, and restarts at once",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, StateOutage(3000)),
                    (4000, Terminate(Leader, 0)),
                ],
            ),
            scenario(
                "a controller isolated with its workers, the leader exits",
                &[
                    (0, Isolated(Other(2), 2000)),
                    (2500, Cancel(Other(1))),
                    (4200, StateOutage(1300)),
                    (5000, Terminate(Leader, NEVER)),
                ],
            ),
            scenario(
                "machines hang, the leader exits and stays down, and the confirming controller exits too",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (700, MachinesHang(1500)),
                    (2200, StateOutage(1300)),
                    (4000, Terminate(Leader, NEVER)),
                    (4100, Terminate(Other(1), 0)),
                ],
            ),
            scenario(
                "machines hang under a leader that is refused",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, StateOutage(1300)),
                ],
            ),
            scenario(
                "machines partitioned",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (510, MachinesPartitioned(1500)),
                    (2200, StateOutage(1300)),
                    (3000, Terminate(Leader, NEVER)),
                ],
            ),
            scenario(
                "machines receive nothing, the cloud unavailable",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (400, MachinesUnreachable(1500)),
                    (500, Cancel(Other(1))),
                    (510, CloudOutage(333)),
                    (2200, StateOutage(1300)),
                ],
            ),
            scenario(
                "machines hang, the cloud unavailable",
                &[
                    (0, RefusedByState(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (510, CloudOutage(333)),
                    (600, MachinesHang(1500)),
                    (2200, StateOutage(1300)),
                    (4000, Terminate(Leader, NEVER)),
                ],
            ),
            // The controller was isolated and learned nothing: the tasks whose leases it renews may
            // be cancelled.
            scenario(
                "all exit, one that never learned of the cancellation returns to its workers",
                &[
                    (0, Isolated(Other(2), 2000)),
                    (2000, Cancel(Other(1))),
                    (2300, StateOutage(1300)),
                    (2300, Terminate(Other(2), 0)),
                    (2300, Terminate(All, 2000)),
                ],
            ),
        ],
        &[Workload::Mixed],
    );
}

/// Combinations of faults without a test of their own (rapid requests: `consistency.rs`), with long
/// jobs running, and many of them also with jobs that are submitted, end and are cancelled
/// meanwhile.
#[test]
fn combined_faults_violate_no_invariant() {
    let scenario =
        |name, actions| Scenario { name, actions, expect_confirmed: false, expect_no_deletions: false };
    let at_limit = [
        scenario(
            "machines partitioned, leaders change",
            &[(0, MachinesPartitioned(700)), (300, Cancel(Other(1))), (800, LeaderChanges(6))],
        ),
        scenario(
            "machines hang, leaders change",
            &[(0, CancelAndHang(Other(1), 800)), (400, LeaderChanges(6))],
        ),
        scenario(
            "machines cannot be probed, the leader exits, then cancellations",
            &[
                (0, MachinesPartitioned(500)),
                (500, Terminate(Leader, 0)),
                (900, Cancel(All)),
                (2500, Terminate(Leader, 100)),
            ],
        ),
        scenario(
            "partitioned zones, the cloud unavailable",
            &[
                (0, ZonesPartitioned(900)),
                (1000, Cancel(East)),
                (1500, Terminate(Leader, 0)),
                (1500, CloudOutage(333)),
            ],
        ),
    ];
    run_scenarios(&at_limit, &[Workload::AtLimit, Workload::Mixed]);
    let others = [
        scenario(
            "answers lost, writes carried out at once",
            &[
                (0, AnswersLost(All, 200)),
                (100, Submit),
                (2000, Cancel(All)),
                (2500, CancelAtEnd(500)),
                (9000, Submit),
            ],
        ),
        scenario(
            "the leader's answers lost, and then it exits",
            &[
                (0, AnswersLost(Leader, 500)),
                (50, Submit),
                (1500, Cancel(Other(1))),
                (4000, Terminate(Leader, 0)),
                (4500, Submit),
            ],
        ),
        scenario(
            "cancelled while a controller's machines move to others",
            &[
                (0, Submit),
                (300, Isolated(Other(2), 200)),
                (2900, Cancel(Other(1))),
                (3400, Cancel(All)),
                (7000, Terminate(Other(2), 0)),
                (7100, Submit),
            ],
        ),
        scenario(
            "machines move between controllers within a second, under delayed commands",
            &[
                (0, CommandsDelayed(200)),
                (200, Terminate(Other(1), 0)),
                (700, Cancel(Leader)),
                (900, Terminate(Other(2), 0)),
                (1400, Terminate(Leader, 0)),
            ],
        ),
        scenario(
            "machines that boot at once get work while writes lag, the leader exits",
            &[
                (0, DelayedWrites(500)),
                (0, MachinesReplaced),
                (200, Submit),
                (2500, Terminate(Leader, 0)),
                (4000, MachinesReplaced),
                (4500, Cancel(All)),
                (5500, Terminate(Leader, 0)),
            ],
        ),
        scenario(
            "old reports reach a new leader as it begins",
            &[
                (0, ReplayReports),
                (0, Submit),
                (3000, MachinesPartitioned(200)),
                (3500, Cancel(Other(1))),
                (4000, Terminate(Leader, 0)),
            ],
        ),
        scenario(
            "old reports of deleted machines",
            &[
                (0, ReplayReports),
                (4000, MachinesReplaced),
                (4500, Cancel(Other(1))),
                (5000, Terminate(Leader, 0)),
            ],
        ),
        scenario(
            "machines with long tasks cannot be reached through three changes of leader",
            &[
                (0, MachinesPartitioned(600)),
                (500, LeaderChanges(3)),
                (3000, Cancel(Other(1))),
                (12_000, LeaderChanges(2)),
            ],
        ),
        scenario(
            "machines with long tasks receive nothing from the next leaders",
            &[
                (0, MachinesUnreachable(900)),
                (500, LeaderChanges(3)),
                (3000, Cancel(Other(1))),
                (12_000, LeaderChanges(2)),
            ],
        ),
        scenario(
            "transactions take effect after newer ones, and the leader exits",
            &[
                (0, DelayedWrites(900)),
                (100, Submit),
                (2000, Cancel(All)),
                (6000, Terminate(Leader, 0)),
                (6500, Submit),
                (9000, CancelAtEnd(600)),
            ],
        ),
        scenario(
            "all exit, one restarts within a second",
            &[
                (0, Submit),
                (1000, Cancel(Other(1))),
                (1300, Terminate(All, 300)),
                (1310, Terminate(Other(1), 0)),
            ],
        ),
        scenario(
            "all down for longer than a lease",
            &[(0, Submit), (900, Cancel(Other(1))), (1000, Terminate(All, 400))],
        ),
        scenario(
            "a zone with its controllers partitioned for longer than a lease",
            &[(0, ZonesPartitioned(500)), (500, Submit), (2000, Cancel(All)), (9000, Terminate(Leader, 0))],
        ),
        scenario(
            "jobs bound to a zone lose machines",
            &[
                (0, Submit),
                (600, MachinesReplaced),
                (1000, MachinesPartitioned(300)),
                (1200, Submit),
                (2500, MachinesReplaced),
            ],
        ),
        scenario("cancelled as the last task ends", &[(0, CancelAtEnd(900)), (0, Submit), (4000, Submit)]),
        scenario(
            "cancelled as the last task ends, the leader exits and writes lag",
            &[
                (0, CancelAtEnd(900)),
                (0, Submit),
                (2500, DelayedWrites(300)),
                (3000, Terminate(Leader, 0)),
                (5000, Submit),
            ],
        ),
        scenario(
            "ten changes of leader during an outage",
            &[(0, Submit), (1000, Cancel(Other(1))), (1500, StateOutage(1200)), (1600, LeaderChanges(10))],
        ),
        scenario(
            "the state is read again as jobs are cancelled",
            &[
                (0, Submit),
                (900, HistoryDropped),
                (1000, Cancel(All)),
                (1010, HistoryDropped),
                (1100, Terminate(Leader, 0)),
                (1500, HistoryDropped),
            ],
        ),
        scenario(
            "machines cannot send for longer than a lease, leaders change",
            &[(0, MachinesCannotSend(700)), (500, Cancel(Other(1))), (900, LeaderChanges(4))],
        ),
    ];
    run_scenarios(&others, &[Workload::Mixed]);
}

/// Four one-task jobs per second for two minutes, a quarter of them cancelled: their cost in writes
/// does not grow with the number of ended jobs, and all jobs are served.
#[test]
fn the_cost_of_one_task_jobs_stays_constant() {
    for nodes in [3, 7] {
        let size = Size {
            nodes,
            capacity: [30, 20],
            requests_per_s: 100.0,
            writes_per_s: 15.0,
            max_txn_writes: 8,
            max_value_kib: 4.0,
            jobs: 0,
            busy_until: 0,
            end_at: 600 * S,
            partial_failures: true,
            ..SMALL
        };
        let mut w = World::new(nodes as u64, true, size);
        w.run(30 * S);
        w.partial_failures.faults_end_at = w.now;
        let from = w.now;
        let mut changes = vec![w.state.revision()];
        for i in 0..480 {
            w.short_job();
            let j = w.jobs.len() - 1;
            w.jobs[j].one_task();
            if i % 4 == 1 {
                w.jobs[j].abort_at = w.now + [0, 400 * MS, 1500 * MS, 3 * S][i / 4 % 4];
            }
            w.run(from + (i as u64 + 1) * 250 * MS);
            if i % 120 == 119 {
                changes.push(w.state.revision());
            }
        }
        w.run(from + 200 * S);
        assert!(w.violations.is_empty(), "{nodes} controllers: {:?}", w.violations);
        let unfinished = w.unfinished_jobs();
        assert!(unfinished.is_empty(), "{nodes} controllers: {:?} have not ended", w.describe(&unfinished));
        assert_eq!(w.unserved(), Vec::<String>::new());
        let waits = w.jobs.iter().map(|j| j.accepted_at - j.submitted_at).max().unwrap();
        let each: Vec<u64> = changes.windows(2).map(|c| c[1] - c[0]).collect();
        println!(
            "{nodes} controllers: changes in each 30 s {each:?}, accepted within {:.1} s",
            waits as f64 / 1e6
        );
        assert!(each[3] * 10 <= each[1] * 12, "{nodes} controllers: changes in each 30 s {each:?}");
        assert!(each.iter().all(|c| *c < 15 * 30), "{nodes} controllers: {each:?}");
        assert!(waits < 20 * S, "{nodes} controllers: accepted after {waits}");
    }
}

/// Guards against lost and repeated tasks of jobs of two and three tasks whose ends are 20 s apart,
/// while leaders exit at every moment around the first ends. A completed task is recorded before
/// its worker may forget it, so that no exit of a leader makes it run again, and `done` is reported
/// only when all tasks are done.
#[test]
fn completed_tasks_are_neither_lost_nor_run_again() {
    // (what happens, in milliseconds after the chosen moment)
    let after: [(&str, &[(u64, Action)]); 5] = [
        ("the leader restarts at once", &[(0, Terminate(Leader, 0))]),
        ("the leader stays down", &[(0, Terminate(Leader, NEVER))]),
        ("all exit 1.5 s later", &[(0, Terminate(Leader, 0)), (1500, Terminate(All, 0))]),
        ("the state service is unavailable", &[(0, StateOutage(300)), (50, Terminate(Leader, 0))]),
        (
            "the state service refused the leader before",
            &[(0, RefusedByState(Leader, 500)), (1500, Terminate(Leader, 0))],
        ),
    ];
    let mut failed = Vec::new();
    let mut done = 0;
    for (name, actions) in after {
        for nodes in [3, 7] {
            for (seed, at) in (4..=11).map(|s| (s, s * S)) {
                let size =
                    Size { nodes, jobs: 0, busy_until: 0, end_at: 600 * S, partial_failures: true, ..SMALL };
                let mut w = World::new(seed, true, size);
                w.partial_failures.faults_end_at = u64::MAX;
                w.run(30 * S);
                for j in 0..10 {
                    let tasks = 2 + j % 2;
                    let body = json!({"ref": format!("j-{j:06}"), "lot": "small", "crew": "free",
                        "manner": "array", "rank": "standard", "pieces": tasks, "cpus": 1.0, "gpus": 0.0,
                        "memory_gb": 1.0, "bundle": "i", "image_gb": 0.4, "builds": null, "yard": null,
                        "same_place": false, "apart": false, "loaners": false, "guess_s": 20.0,
                        "mark_s": 0.0, "stow_s": 0.0, "due_s": null});
                    let job = Job::new(body, "free", false, tasks, 1.0, 3 * S);
                    w.jobs.push(Job { run_us_step: 20 * S, ..job });
                }
                let from = w.now + at;
                w.run(from);
                let leader = w.leader();
                for (ms, action) in actions {
                    w.run(from + ms * MS);
                    w.perform(leader, *action);
                }
                w.run(from + 200 * S);
                let mut violations = w.violations.clone();
                violations.extend(w.reruns.iter().map(|t| format!("started again: {t}")));
                let unfinished = w.unfinished_jobs();
                if !unfinished.is_empty() {
                    violations.push(format!("{unfinished:?} have not ended"));
                }
                done += w.jobs.iter().filter(|j| j.reported_done).count();
                if !violations.is_empty() {
                    failed.push(format!("{name}, seed {seed}, {nodes} controllers: {violations:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
    assert_eq!(done, 5 * 2 * 8 * 10, "jobs reported done to their users");
}
