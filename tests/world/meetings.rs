//! Combinations of two or more faults. Each combination is a scenario, its variants stand in a
//! table, and the checks use only what users and workers observe.
use super::scenes::Act::*;
use super::scenes::Who::*;
use super::scenes::{Act, NEVER, Scene, Work, play_scenes};
use super::*;

/// The state service refuses the leader alone, another controller confirms cancellations, and then
/// the service is unavailable to all controllers for longer than a cancellation may take: no other
/// controller can be elected, and the leader's workers continue to report to it.
#[test]
fn cancellations_confirmed_before_an_outage_reach_the_leader() {
    let away = |told, name, acts| Scene { name, acts, told, spares: true };
    play_scenes(
        &[
            away(
                true,
                "refused before",
                &[(0, Refused(Leader, 3000)), (500, Cancel(Other(1))), (2200, Away(1300))],
            ),
            away(
                true,
                "refused at",
                &[(500, Refused(Leader, 3000)), (500, Cancel(Other(1))), (2200, Away(1300))],
            ),
            away(
                true,
                "refused after",
                &[(500, Cancel(Other(1))), (503, Refused(Leader, 3000)), (2200, Away(1300))],
            ),
            away(
                true,
                "all but one refused, state service unavailable for three times as long",
                &[
                    (0, Refused(All, 3000)),
                    (0, Refused(Other(1), 0)),
                    (500, Cancel(Other(1))),
                    (2200, Away(3000)),
                ],
            ),
            away(
                true,
                "the confirming controller exits right after, and restarts at once",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, Away(1300)),
                    (2250, End(Other(1), 0)),
                ],
            ),
            away(
                true,
                "the leader exits, and restarts at once",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, Away(1300)),
                    (2500, End(Leader, 0)),
                ],
            ),
            away(
                true,
                "the same jobs cancelled at all controllers",
                &[(0, Refused(Leader, 3000)), (500, Cancel(All)), (2200, Away(1300))],
            ),
            away(
                false,
                "the leader isolated from the other controllers as well",
                &[
                    (0, Refused(Leader, 3000)),
                    (0, Alone(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, Away(1300)),
                ],
            ),
            away(
                true,
                "one ends before, and is back without the state",
                &[
                    (0, End(Other(2), 150)),
                    (1900, Cancel(Other(1))),
                    (2000, Refused(Leader, 3000)),
                    (3700, Away(1300)),
                ],
            ),
            away(
                true,
                "the leader isolated after it",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, Away(1300)),
                    (2200, Alone(Leader, 1300)),
                ],
            ),
        ],
        &[Work::Mixed],
    );
}

/// No controller can lead, and the leader's unfinished work remains: machines that cannot be
/// reached, and controllers that know of no cancellation and renew their workers' leases.
#[test]
fn cancelled_tasks_go_without_a_leader() {
    let scene = |name, acts| Scene { name, acts, told: true, spares: false };
    play_scenes(
        &[
            scene(
                "machines hang, the leader exits in the outage and stays down",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, Away(1300)),
                    (4000, End(Leader, NEVER)),
                ],
            ),
            scene(
                "the leader exits as machines hang, and restarts at once",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, Away(3000)),
                    (4000, End(Leader, 0)),
                ],
            ),
            scene(
                "a controller isolated with its workers, the leader exits",
                &[
                    (0, Alone(Other(2), 2000)),
                    (2500, Cancel(Other(1))),
                    (4200, Away(1300)),
                    (5000, End(Leader, NEVER)),
                ],
            ),
            scene(
                "machines hang, the leader exits and stays down, and the confirming controller exits too",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (700, MachinesHang(1500)),
                    (2200, Away(1300)),
                    (4000, End(Leader, NEVER)),
                    (4100, End(Other(1), 0)),
                ],
            ),
            scene(
                "machines hang under a leader that is refused",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, Away(1300)),
                ],
            ),
            scene(
                "machines partitioned",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (510, MachinesCut(1500)),
                    (2200, Away(1300)),
                    (3000, End(Leader, NEVER)),
                ],
            ),
            scene(
                "machines receive nothing, the cloud unavailable",
                &[
                    (0, Refused(Leader, 3000)),
                    (400, MachinesDeaf(1500)),
                    (500, Cancel(Other(1))),
                    (510, CloudAway(333)),
                    (2200, Away(1300)),
                ],
            ),
            scene(
                "machines hang, the cloud unavailable",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (510, CloudAway(333)),
                    (600, MachinesHang(1500)),
                    (2200, Away(1300)),
                    (4000, End(Leader, NEVER)),
                ],
            ),
            // The controller was isolated and learned nothing: the tasks whose leases it renews may
            // be cancelled.
            scene(
                "all exit, one that never learned of the cancellation returns to its workers",
                &[
                    (0, Alone(Other(2), 2000)),
                    (2000, Cancel(Other(1))),
                    (2300, Away(1300)),
                    (2300, End(Other(2), 0)),
                    (2300, End(All, 2000)),
                ],
            ),
        ],
        &[Work::Mixed],
    );
}

/// Combinations of faults without a test of their own (rapid requests: `consistency.rs`), with long
/// jobs running, and many of them also with jobs that are submitted, end and are cancelled
/// meanwhile.
#[test]
fn meetings_break_no_rule() {
    let scene = |name, acts| Scene { name, acts, told: false, spares: false };
    let at_limit = [
        scene(
            "machines partitioned, leaders change",
            &[(0, MachinesCut(700)), (300, Cancel(Other(1))), (800, Changes(6))],
        ),
        scene("machines hang, leaders change", &[(0, CancelAndHang(Other(1), 800)), (400, Changes(6))]),
        scene(
            "machines cannot be probed, the leader exits, then cancellations",
            &[(0, MachinesCut(500)), (500, End(Leader, 0)), (900, Cancel(All)), (2500, End(Leader, 100))],
        ),
        scene(
            "partitioned zones, the cloud unavailable",
            &[(0, ZonesCut(900)), (1000, Cancel(East)), (1500, End(Leader, 0)), (1500, CloudAway(333))],
        ),
    ];
    play_scenes(&at_limit, &[Work::AtLimit, Work::Mixed]);
    let others = [
        scene(
            "answers lost, writes carried out at once",
            &[
                (0, AnswersLost(All, 200)),
                (100, Submit),
                (2000, Cancel(All)),
                (2500, CancelAtEnd(500)),
                (9000, Submit),
            ],
        ),
        scene(
            "the leader's answers lost, and then it exits",
            &[
                (0, AnswersLost(Leader, 500)),
                (50, Submit),
                (1500, Cancel(Other(1))),
                (4000, End(Leader, 0)),
                (4500, Submit),
            ],
        ),
        scene(
            "cancelled while a controller's machines move to others",
            &[
                (0, Submit),
                (300, Alone(Other(2), 200)),
                (2900, Cancel(Other(1))),
                (3400, Cancel(All)),
                (7000, End(Other(2), 0)),
                (7100, Submit),
            ],
        ),
        scene(
            "machines move between controllers within a second, under delayed commands",
            &[
                (0, CommandsHeld(200)),
                (200, End(Other(1), 0)),
                (700, Cancel(Leader)),
                (900, End(Other(2), 0)),
                (1400, End(Leader, 0)),
            ],
        ),
        scene(
            "machines that boot at once get work while writes lag, the leader exits",
            &[
                (0, LateWrites(500)),
                (0, MachinesRenewed),
                (200, Submit),
                (2500, End(Leader, 0)),
                (4000, MachinesRenewed),
                (4500, Cancel(All)),
                (5500, End(Leader, 0)),
            ],
        ),
        scene(
            "old reports reach a new leader as it begins",
            &[
                (0, KeepReports),
                (0, Submit),
                (3000, MachinesCut(200)),
                (3500, Cancel(Other(1))),
                (4000, End(Leader, 0)),
            ],
        ),
        scene(
            "old reports of deleted machines",
            &[(0, KeepReports), (4000, MachinesRenewed), (4500, Cancel(Other(1))), (5000, End(Leader, 0))],
        ),
        scene(
            "machines with long tasks cannot be reached through three changes of leader",
            &[(0, MachinesCut(600)), (500, Changes(3)), (3000, Cancel(Other(1))), (12_000, Changes(2))],
        ),
        scene(
            "machines with long tasks receive nothing from the next leaders",
            &[(0, MachinesDeaf(900)), (500, Changes(3)), (3000, Cancel(Other(1))), (12_000, Changes(2))],
        ),
        scene(
            "transactions take effect after newer ones, and the leader exits",
            &[
                (0, LateWrites(900)),
                (100, Submit),
                (2000, Cancel(All)),
                (6000, End(Leader, 0)),
                (6500, Submit),
                (9000, CancelAtEnd(600)),
            ],
        ),
        scene(
            "all exit, one restarts within a second",
            &[(0, Submit), (1000, Cancel(Other(1))), (1300, End(All, 300)), (1310, End(Other(1), 0))],
        ),
        scene(
            "all down for longer than a lease",
            &[(0, Submit), (900, Cancel(Other(1))), (1000, End(All, 400))],
        ),
        scene(
            "a zone with its controllers partitioned for longer than a lease",
            &[(0, ZonesCut(500)), (500, Submit), (2000, Cancel(All)), (9000, End(Leader, 0))],
        ),
        scene(
            "jobs bound to a zone lose machines",
            &[
                (0, Submit),
                (600, MachinesRenewed),
                (1000, MachinesCut(300)),
                (1200, Submit),
                (2500, MachinesRenewed),
            ],
        ),
        scene("cancelled as the last task ends", &[(0, CancelAtEnd(900)), (0, Submit), (4000, Submit)]),
        scene(
            "cancelled as the last task ends, the leader exits and writes lag",
            &[
                (0, CancelAtEnd(900)),
                (0, Submit),
                (2500, LateWrites(300)),
                (3000, End(Leader, 0)),
                (5000, Submit),
            ],
        ),
        scene(
            "ten changes of leader during an outage",
            &[(0, Submit), (1000, Cancel(Other(1))), (1500, Away(1200)), (1600, Changes(10))],
        ),
        scene(
            "the state is read again as jobs are cancelled",
            &[
                (0, Submit),
                (900, Forgotten),
                (1000, Cancel(All)),
                (1010, Forgotten),
                (1100, End(Leader, 0)),
                (1500, Forgotten),
            ],
        ),
        scene(
            "machines cannot send for longer than a lease, leaders change",
            &[(0, MachinesMute(700)), (500, Cancel(Other(1))), (900, Changes(4))],
        ),
    ];
    play_scenes(&others, &[Work::Mixed]);
}

/// Four one-task jobs per second for two minutes, a quarter of them cancelled: their cost in writes
/// does not grow with the number of ended jobs, and all jobs are served.
#[test]
fn a_flood_of_single_tasks_costs_what_it_did_at_first() {
    for nodes in [3, 7] {
        let size = Size {
            nodes,
            room: [30, 20],
            requests: 100.0,
            changes: 15.0,
            changes_at_once: 8,
            value_kb: 4.0,
            jobs: 0,
            busy_until: 0,
            ends: 600 * S,
            oncall: true,
            ..SMALL
        };
        let mut w = World::new(nodes as u64, true, size);
        w.run(30 * S);
        w.oncall.over_at = w.now;
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
        assert!(w.broken.is_empty(), "{nodes} controllers: {:?}", w.broken);
        let late = w.late();
        assert!(late.is_empty(), "{nodes} controllers: {:?} have not ended", w.describe(&late));
        assert_eq!(w.unserved(), Vec::<String>::new());
        let waits = w.jobs.iter().map(|j| j.accepted_at - j.asked_at).max().unwrap();
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
fn tasks_that_end_far_apart_are_neither_lost_nor_run_again() {
    // (what happens, in milliseconds after the chosen moment)
    let after: [(&str, &[(u64, Act)]); 5] = [
        ("the leader restarts at once", &[(0, End(Leader, 0))]),
        ("the leader stays down", &[(0, End(Leader, NEVER))]),
        ("all exit 1.5 s later", &[(0, End(Leader, 0)), (1500, End(All, 0))]),
        ("the state service is unavailable", &[(0, Away(300)), (50, End(Leader, 0))]),
        ("the state service refused the leader before", &[(0, Refused(Leader, 500)), (1500, End(Leader, 0))]),
    ];
    let mut failed = Vec::new();
    let mut done = 0;
    for (name, acts) in after {
        for nodes in [3, 7] {
            for (seed, at) in (4..=11).map(|s| (s, s * S)) {
                let size = Size { nodes, jobs: 0, busy_until: 0, ends: 600 * S, oncall: true, ..SMALL };
                let mut w = World::new(seed, true, size);
                w.oncall.over_at = u64::MAX;
                w.run(30 * S);
                for j in 0..10 {
                    let tasks = 2 + j % 2;
                    let body = json!({"ref": format!("j-{j:06}"), "lot": "small", "crew": "free",
                        "manner": "array", "rank": "standard", "pieces": tasks, "cpus": 1.0, "gpus": 0.0,
                        "memory_gb": 1.0, "bundle": "i", "image_gb": 0.4, "builds": null, "yard": null,
                        "same_place": false, "apart": false, "loaners": false, "guess_s": 20.0,
                        "mark_s": 0.0, "stow_s": 0.0, "due_s": null});
                    let job = Job::new(body, "free", false, tasks, 1.0, 3 * S);
                    w.jobs.push(Job { later_us: 20 * S, ..job });
                }
                let from = w.now + at;
                w.run(from);
                let leader = w.leader();
                for (ms, act) in acts {
                    w.run(from + ms * MS);
                    w.act(leader, *act);
                }
                w.run(from + 200 * S);
                let mut bad = w.broken.clone();
                bad.extend(w.started_again.iter().map(|t| format!("started again: {t}")));
                let late = w.late();
                if !late.is_empty() {
                    bad.push(format!("{late:?} have not ended"));
                }
                done += w.jobs.iter().filter(|j| j.told_done).count();
                if !bad.is_empty() {
                    failed.push(format!("{name}, seed {seed}, {nodes} controllers: {bad:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
    assert_eq!(done, 5 * 2 * 8 * 10, "jobs reported done to their users");
}
