//! Cancelled tasks: once a user received the answer that a job is cancelled, every task of it
//! leaves every machine in time, and no start of it is sent (`ordered_cancelled`). One scenario for
//! each way in which a task was left running, or might have been; then random combinations of
//! faults.
use super::scenes::Act::*;
use super::scenes::Who::*;
use super::scenes::{NEVER, Scene, Work, play, play_scenes, random_acts};
use super::*;

const EVERY: [Work; 4] = [Work::Mixed, Work::Single, Work::Hundreds, Work::AtLimit];

/// Guards against cancelled tasks left running behind a partition. The west zone is cut off with
/// controllers that the state service refuses: they learn of nothing, and renew their workers'
/// leases. A zone whose reports reach no other controller is given a minute before its machines
/// count as dead, so only the handling of the cancelled jobs ends their tasks.
#[test]
fn cancelled_tasks_behind_a_cut_are_gone_whoever_leads() {
    let scene = |name, acts| Scene { name, acts, told: false, spares: false };
    play_scenes(
        &[
            // A new leader once took a cancellation for handled if its record was older than the
            // cancellation time limit, though the user may receive the confirmation long after the
            // record.
            scene(
                "confirmed long after its record",
                &[
                    (0, ZonesCut(3500)),
                    (0, Refused(West, 3500)),
                    (5000, AnswersLost(All, 30)),
                    (5100, Cancel(East)),
                    (5150, Away(1100)),
                    (7000, End(Leader, 0)),
                ],
            ),
            // A new leader once counted the time from the start of its own process.
            scene(
                "all of east restart at once, and lead right after their start",
                &[
                    (0, ZonesCut(3500)),
                    (0, Refused(West, 3500)),
                    (5000, Cancel(East)),
                    (24_000, End(East, 0)),
                ],
            ),
            // Each leader once waited for 4 s from its own start.
            scene(
                "leaders change repeatedly when machines have to be deleted",
                &[(0, ZonesCut(3500)), (0, Refused(West, 3500)), (5000, Cancel(East)), (20_000, Changes(12))],
            ),
            // The standby replicas once held only the placement log of the previous leader.
            scene(
                "the next leader exits within its first second, and none can be elected",
                &[
                    (0, ZonesCut(3500)),
                    (0, Refused(West, 3500)),
                    (5000, Cancel(East)),
                    (8000, NextEnds(300)),
                    (8000, End(Leader, NEVER)),
                ],
            ),
            // The deputies' deletion budget was two machines in 10 s.
            scene(
                "the state service unavailable, the leader terminated",
                &[
                    (0, ZonesCut(3500)),
                    (0, Refused(West, 3500)),
                    (5000, Cancel(East)),
                    (8000, Away(1300)),
                    (8500, End(Leader, NEVER)),
                ],
            ),
            // A controller that had read the state once renewed its workers' leases forever.
            scene(
                "no controller is left in the east",
                &[
                    (0, ZonesCut(3500)),
                    (0, Refused(West, 3500)),
                    (5000, Cancel(East)),
                    (8000, End(East, 3000)),
                ],
            ),
        ],
        &[Work::Mixed],
    );
}

/// Stop commands that are lost, and stop commands whose answers are lost, are repeated until they
/// are carried out.
#[test]
fn stops_go_out_until_they_are_carried_out() {
    let scene = |name, acts| Scene { name, acts, told: false, spares: false };
    play_scenes(
        &[
            scene("machines that cannot send", &[(0, MachinesMute(2000)), (100, Cancel(Other(1)))]),
            scene(
                "machines that cannot send, partitioned as the stop commands leave, the cloud unavailable",
                &[
                    (0, MachinesMute(2000)),
                    (0, MachinesCut(100)),
                    (100, Cancel(Other(1))),
                    (100, CloudAway(900)),
                ],
            ),
            scene(
                "commands delayed, and the leader exits",
                &[(0, CommandsHeld(500)), (100, Cancel(Other(1))), (3000, End(Leader, 0))],
            ),
            scene(
                "commands delayed beyond the time limit, through a series of leaders",
                &[(0, CommandsHeld(1500)), (100, Cancel(Other(1))), (200, Changes(10))],
            ),
            scene("machines hang as users cancel", &[(0, CancelAndHang(Other(1), 1500))]),
            scene(
                "machines hang as users cancel, the leader paused, the cloud unavailable",
                &[(0, CancelAndHang(Other(1), 1500)), (300, Freeze(Leader, 500)), (300, CloudAway(333))],
            ),
        ],
        &EVERY,
    );
}

/// A controller behind a partition receives nothing from its peers while its machine lease runs on:
/// a start that was assigned to it, and not yet ordered, must not follow the confirmation to the
/// user. Assignments reach it through the state service, which then sends it no events for a while.
#[test]
fn nothing_is_ordered_behind_a_cut_after_a_confirmation() {
    let scene = |name, acts| Scene { name, acts, told: false, spares: false };
    play_scenes(
        &[
            // The controller once processed the assignment before it read the job ends that came in
            // the same watch response.
            scene(
                "the assignment and the cancellation come in one watch response",
                &[(0, ZonesCut(900)), (3000, Submit), (3450, Refused(West, 75)), (4300, Cancel(Leader))],
            ),
            // Controllers from which no heartbeat arrived were once left out altogether.
            scene(
                "the start waits for an outstanding call, and no events come",
                &[
                    (0, ZonesCut(900)),
                    (2900, CommandsHeld(300)),
                    (3000, Submit),
                    (3400, Submit),
                    (4450, Refused(West, 300)),
                    (4500, Cancel(Leader)),
                ],
            ),
            scene(
                "machines hang and resume, and no events come",
                &[
                    (0, ZonesCut(900)),
                    (3000, Submit),
                    (3300, MachinesHang(30)),
                    (3700, Refused(West, 300)),
                    (3800, Submit),
                    (4300, Cancel(Leader)),
                ],
            ),
        ],
        &[Work::Mixed, Work::Single],
    );
}

/// Runs the random actions of a seed; returns their description and the world after them.
fn play_random(seed: u64) -> (String, World) {
    let mut r = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let nodes = if r.u32(0..3) == 0 { 7 } else { 3 };
    let work = EVERY[r.usize(0..4)];
    let acts = random_acts(&mut r);
    let w = play(&acts, seed, nodes, work);
    (format!("seed {seed}, {nodes} controllers, {work:?}, {acts:?}"), w)
}

/// Two to four random faults around cancellations, with three or seven controllers and any
/// workload.
#[test]
fn troubles_meet_round_cancellations() {
    let (mut failed, mut late, mut plays) = (Vec::new(), 0, 0);
    for seed in seeds("CANCELLED_SEEDS", 0, 60) {
        let (what, w) = play_random(seed);
        (late, plays) = (late + w.faults.late_starts, plays + 1);
        if !w.broken.is_empty() {
            let broken = &w.broken[..w.broken.len().min(3)];
            failed.push(format!("{what}: {broken:?}"));
        }
    }
    println!("{late} starts after a confirmed cancellation, all ordered before it, in {plays} runs");
    assert!(failed.is_empty(), "{} of {plays} runs failed:\n{}", failed.len(), failed.join("\n"));
}

/// All controllers exit while a machine hangs and the state service is unavailable
/// (`docs/incidents/earlier.md`).
#[test]
fn a_cancelled_task_is_gone_in_time_though_nobody_is_left_who_knows_of_it() {
    let (what, w) = play_random(5141);
    assert!(w.broken.is_empty(), "{what}: {:?}", &w.broken[..w.broken.len().min(3)]);
}
