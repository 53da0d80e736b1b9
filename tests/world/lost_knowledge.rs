//! All controllers end while machines hang and the state service is away: the processes that
//! come back can ask nobody what was cancelled.
use super::scenes::Act::*;
use super::scenes::Who::*;
use super::scenes::{NEVER, Work, long_jobs};
use super::*;

/// Times of a play, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Restart {
    /// From the first confirmation of a cancellation to the end of all controllers.
    end_after: u64,
    /// How long they are away.
    away: u64,
}

/// Lengths of scenes are in thousandths of `cancel`.
fn share_of_cancel(ms: u64) -> u64 {
    (ms * MS * 1000).div_ceil(SMALL.cancel)
}

/// Users cancel jobs whose machines hang, all controllers end, the state service is away.
fn play_restart(restart: Restart, seed: u64, nodes: usize) -> World {
    let mut w = long_jobs(seed, nodes, Work::Mixed);
    let leader = w.leader();
    w.act(leader, CancelAndHang(Other(1), NEVER));
    let mut at = w.now;
    let give_up = at + 10 * S;
    while !w.jobs.iter().any(|j| j.aborted_at.is_some()) {
        at += 5 * MS;
        assert!(at < give_up, "no user was told");
        w.run(at);
    }
    at += restart.end_after * MS;
    w.run(at);
    w.act(leader, End(All, share_of_cancel(restart.away)));
    w.act(leader, Away(1500));
    w.run(at + 4 * w.size.cancel);
    w
}

/// Processes without state or placements once deleted no machine that hung with a cancelled task.
#[test]
fn machines_that_hang_with_cancelled_tasks_go_after_a_restart_of_all_in_an_outage() {
    let mut failed = Vec::new();
    for end_after in [0, 1_000, 3_000, 8_000, 12_000, 20_000] {
        for away in [200, 2_000, 10_000, 20_000] {
            let left = (SMALL.cancel / MS).saturating_sub(end_after + away);
            // Less is left than it takes to tell a machine that hangs from one that is slow.
            if left < SMALL.cancel / MS / 6 {
                continue;
            }
            for (nodes, seed) in [(3, 1), (3, 2), (7, 3), (7, 4)] {
                let restart = Restart { end_after, away };
                let w = play_restart(restart, seed, nodes);
                if let Some(broken) = w.broken.first() {
                    failed.push(format!("{restart:?}, seed {seed}, {nodes} controllers: {broken}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} plays failed:\n{}", failed.len(), failed.join("\n"));
}

/// What happens to machines in the restart.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// Every third machine hangs for so many milliseconds, as the processes are back.
    ShortHang(u64),
    /// The zones can't reach each other, and processes serve one zone only.
    ZoneCutOff,
    /// The same, and the cut ends while the processes still know nothing.
    ZoneCutFor(u64),
}

/// Whatever a process can't know, a restart of all in an outage costs no machine that answers.
#[test]
fn a_restart_of_all_in_an_outage_deletes_no_machine_that_works() {
    let disturbances = [
        Disturbance::None,
        Disturbance::ShortHang(1_000),
        Disturbance::ShortHang(2_000),
        Disturbance::ZoneCutOff,
        Disturbance::ZoneCutFor(4_000),
        Disturbance::ZoneCutFor(9_000),
    ];
    let mut failed = Vec::new();
    for disturbance in disturbances {
        for (nodes, seed) in [(3, 1), (3, 2), (7, 3), (7, 4)] {
            let mut w = long_jobs(seed, nodes, Work::Mixed);
            let leader = w.leader();
            let machines: Vec<String> = w.machines.keys().cloned().collect();
            w.act(leader, End(All, share_of_cancel(2_000)));
            w.act(leader, Away(400));
            match disturbance {
                Disturbance::ZoneCutOff => w.act(leader, ZonesCut(400)),
                Disturbance::ZoneCutFor(ms) => w.act(leader, ZonesCut(share_of_cancel(2_000 + ms))),
                Disturbance::None | Disturbance::ShortHang(_) => {}
            }
            let back = w.now + 2_000 * MS;
            w.run(back);
            if let Disturbance::ShortHang(ms) = disturbance {
                w.act(leader, MachinesHang(share_of_cancel(ms)));
            }
            // As long as the state service is away.
            w.run(back + 11_000 * MS);
            let gone: Vec<&String> = machines.iter().filter(|m| !w.machines.contains_key(*m)).collect();
            if !gone.is_empty() || !w.broken.is_empty() {
                let what = format!("{disturbance:?}, seed {seed}, {nodes} controllers");
                failed.push(format!("{what}: deleted {gone:?}, broken {:?}", w.broken.first()));
            }
        }
    }
    assert!(failed.is_empty(), "{} plays failed:\n{}", failed.len(), failed.join("\n"));
}
