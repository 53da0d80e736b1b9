//! Where two troubles meet. Each meeting is a scene with its variants in a table; what
//! holds is checked from users' and workers' histories alone.
use super::scenes::Act::*;
use super::scenes::Who::*;
use super::scenes::{Act, NEVER, Scene, Work, play_scenes};
use super::*;

/// The state service refuses the leader alone, another controller confirms
/// cancellations, and then the service is away for all for longer than a cancellation
/// may take: nobody else can lead, and the leader's workers go on reporting to it.
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
                "all but one refused, state away for three times as long",
                &[
                    (0, Refused(All, 3000)),
                    (0, Refused(Other(1), 0)),
                    (500, Cancel(Other(1))),
                    (2200, Away(3000)),
                ],
            ),
            away(
                true,
                "the confirmer ends right after, and comes back at once",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, Away(1300)),
                    (2250, End(Other(1), 0)),
                ],
            ),
            away(
                true,
                "the leader ends, and comes back at once",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (2200, Away(1300)),
                    (2500, End(Leader, 0)),
                ],
            ),
            away(
                true,
                "the same jobs cancelled at all",
                &[(0, Refused(Leader, 3000)), (500, Cancel(All)), (2200, Away(1300))],
            ),
            away(
                false,
                "the leader cut from the others as well",
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
                "the leader alone after it",
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

/// Nobody can lead, and what the leader would have dealt with is left: machines that
/// can't be reached, and controllers that know nothing and keep their workers alive.
#[test]
fn cancelled_tasks_go_without_a_leader() {
    let scene = |name, acts| Scene { name, acts, told: true, spares: false };
    play_scenes(
        &[
            scene(
                "machines hang, the leader ends in the outage and stays away",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, Away(1300)),
                    (4000, End(Leader, NEVER)),
                ],
            ),
            scene(
                "the leader ends as machines hang, and is back at once",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (600, MachinesHang(1500)),
                    (2200, Away(3000)),
                    (4000, End(Leader, 0)),
                ],
            ),
            scene(
                "a controller alone with its workers, the leader ends",
                &[
                    (0, Alone(Other(2), 2000)),
                    (2500, Cancel(Other(1))),
                    (4200, Away(1300)),
                    (5000, End(Leader, NEVER)),
                ],
            ),
            scene(
                "the same, and the confirmer ends too",
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
                "machines cut off",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (510, MachinesCut(1500)),
                    (2200, Away(1300)),
                    (3000, End(Leader, NEVER)),
                ],
            ),
            scene(
                "machines deaf, the cloud out of order",
                &[
                    (0, Refused(Leader, 3000)),
                    (400, MachinesDeaf(1500)),
                    (500, Cancel(Other(1))),
                    (510, CloudAway(333)),
                    (2200, Away(1300)),
                ],
            ),
            scene(
                "machines hang, the cloud out of order",
                &[
                    (0, Refused(Leader, 3000)),
                    (500, Cancel(Other(1))),
                    (510, CloudAway(333)),
                    (600, MachinesHang(1500)),
                    (2200, Away(1300)),
                    (4000, End(Leader, NEVER)),
                ],
            ),
            // It was alone, and heard of nothing: what it keeps alive may be cancelled.
            scene(
                "all end, one that never knew returns to its workers",
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

/// Jobs of two and three tasks whose ends are 20 s apart, while leaders end, one after
/// the other, at every moment round the first ends. What is done is recorded before its
/// worker may forget it, so that no leader's end makes a task run again, and `done` is
/// said when all tasks are.
#[test]
fn tasks_that_end_far_apart_are_neither_lost_nor_run_again() {
    // (what happens at milliseconds after a leader's end)
    let after: [(&str, &[(u64, Act)]); 5] = [
        ("it is back at once", &[(0, End(Leader, 0))]),
        ("it stays away", &[(0, End(Leader, NEVER))]),
        ("the next one ends, too", &[(0, End(Leader, 0)), (1500, End(All, 0))]),
        ("the state service is away", &[(0, Away(300)), (50, End(Leader, 0))]),
        ("it was refused before", &[(0, Refused(Leader, 500)), (1500, End(Leader, 0))]),
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
                bad.extend(w.started_again.iter().map(|t| format!("again: {t}")));
                let late = w.late();
                if !late.is_empty() {
                    bad.push(format!("{late:?} are not over"));
                }
                done += w.jobs.iter().filter(|j| j.told_done).count();
                if !bad.is_empty() {
                    failed.push(format!("{name}, seed {seed}, {nodes} controllers: {bad:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} plays failed:\n{}", failed.len(), failed.join("\n"));
    assert_eq!(done, 5 * 2 * 8 * 10, "jobs whose users were told that they are done");
}
