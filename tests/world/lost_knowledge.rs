//! All controllers exit while machines hang and the state service is unavailable: the restarted
//! processes can query no component about which jobs were cancelled.
use super::scenes::Act::{Away, CancelAndHang, End, MachinesHang, ZonesCut};
use super::scenes::Who::*;
use super::scenes::{NEVER, Work, long_jobs};
use super::*;

/// Times of a run, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Restart {
    /// From the first confirmation of a cancellation to the exit of all controllers.
    end_after: u64,
    /// Downtime of the controllers.
    away: u64,
}

/// Converts milliseconds to the unit of scenario lengths, thousandths of `cancel`.
fn share_of_cancel(ms: u64) -> u64 {
    (ms * MS * 1000).div_ceil(SMALL.cancel)
}

/// Users cancel jobs whose machines hang. Returns the world at the first confirmation to a user,
/// and its time.
fn cancelled_and_hung(seed: u64, nodes: usize) -> (World, u64) {
    let mut w = long_jobs(seed, nodes, Work::Mixed);
    let leader = w.leader();
    w.act(leader, CancelAndHang(Other(1), NEVER));
    let mut at = w.now;
    let give_up = at + 10 * S;
    while !w.jobs.iter().any(|j| j.aborted_at.is_some()) {
        at += 5 * MS;
        assert!(at < give_up, "no user received a confirmation");
        w.run(at);
    }
    (w, at)
}

/// All controllers exit some time after the confirmation, and the state service becomes
/// unavailable.
fn play_restart(restart: Restart, seed: u64, nodes: usize) -> World {
    let (mut w, told) = cancelled_and_hung(seed, nodes);
    let leader = w.leader();
    let at = told + restart.end_after * MS;
    w.run(at);
    w.act(leader, End(All, share_of_cancel(restart.away)));
    w.act(leader, Away(1500));
    w.run(at + 4 * w.size.cancel);
    w
}

/// Guards against hung machines with cancelled tasks that are never deleted: processes without
/// state or placements once deleted none of them.
#[test]
fn machines_that_hang_with_cancelled_tasks_go_after_a_restart_of_all_in_an_outage() {
    let mut failed = Vec::new();
    for end_after in [0, 1_000, 3_000, 8_000, 12_000, 20_000] {
        for away in [200, 2_000, 10_000, 20_000] {
            let left = (SMALL.cancel / MS).saturating_sub(end_after + away);
            // The time left is shorter than it takes to tell a hung machine from a slow one.
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
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
}

impl World {
    /// Controllers that are on record as holding a replica of the leader's placement log.
    pub fn recorded_witnesses(&self) -> Vec<usize> {
        let record = self.state.value("g/books").expect("a record of witnesses");
        let names = record["nodes"].as_array().unwrap().iter();
        names.map(|n| n[0].as_str().unwrap()[1..].parse().unwrap()).collect()
    }
}

/// Guards against processes that have read the state, but hold no placement log, and do nothing in
/// an outage of the state service after the leader and all standby replicas have exited.
#[test]
fn machines_that_hang_with_cancelled_tasks_go_after_the_end_of_all_who_hold_placements() {
    let mut failed = Vec::new();
    for end_after in [0, 1_000, 3_000] {
        for away in [200, 10_000, 100_000] {
            for seed in 0..4 {
                let (mut w, told) = cancelled_and_hung(seed, 7);
                let leader = w.leader();
                let at = told + end_after * MS;
                w.run(at);
                let mut ended = w.recorded_witnesses();
                ended.push(leader);
                assert!(ended.len() < 7, "all controllers hold the placement log");
                ended.into_iter().for_each(|n| w.end_process(n, away * MS));
                w.act(leader, Away(1500));
                w.run(at + 4 * w.size.cancel);
                if let Some(broken) = w.broken.first() {
                    failed.push(format!("{end_after} ms, away {away} ms, seed {seed}: {broken}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of 36 runs failed:\n{}", failed.len(), failed.join("\n"));
}

/// Another fault while no controller knows the cancellations.
#[derive(Clone, Copy, Debug)]
enum Beside {
    /// The cloud is unavailable for the first seconds after the restart.
    CloudAway,
    /// Machines cannot send to any controller, while direct commands reach them.
    MachinesMute,
    /// The zones cannot reach each other.
    ZonesCut,
    /// Leaders exit one after the other before.
    LeadersInSeries,
    /// The controllers exit one after the other within two seconds.
    OneByOne,
}

/// All controllers exit as above, combined with other faults.
#[test]
fn machines_that_hang_with_cancelled_tasks_go_whatever_else_goes_wrong() {
    use Beside::*;
    let mut failed = Vec::new();
    for beside in [CloudAway, MachinesMute, ZonesCut, LeadersInSeries, OneByOne] {
        for away in [200, 10_000] {
            for (nodes, seed) in [(3, 1), (3, 2), (7, 3), (7, 4)] {
                let (mut w, mut at) = cancelled_and_hung(seed, nodes);
                let leader = w.leader();
                if let LeadersInSeries = beside {
                    for _ in 0..3 {
                        w.end_leader();
                        at += 900 * MS;
                        w.run(at);
                    }
                }
                for n in 0..nodes {
                    if let OneByOne = beside {
                        at += 2_000 * MS / nodes as u64;
                        w.run(at);
                    }
                    w.end_process(n, away * MS);
                }
                w.act(leader, Away(1500));
                w.run(at + away * MS);
                match beside {
                    CloudAway => w.act(leader, super::scenes::Act::CloudAway(share_of_cancel(6_000))),
                    MachinesMute => w.act(leader, super::scenes::Act::MachinesMute(1000)),
                    ZonesCut => w.act(leader, super::scenes::Act::ZonesCut(1000)),
                    LeadersInSeries | OneByOne => {}
                }
                w.run(at + 4 * w.size.cancel);
                if let Some(broken) = w.broken.first() {
                    let what = format!("{beside:?}, away {away} ms, seed {seed}, {nodes} controllers");
                    failed.push(format!("{what}: {broken}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of 40 runs failed:\n{}", failed.len(), failed.join("\n"));
}

/// What happens to machines during the restart.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// Every third machine hangs for this many milliseconds from the restart on.
    ShortHang(u64),
    /// The zones cannot reach each other, and each process reaches the machines of one zone only.
    ZoneCutOff,
    /// The same, and the partition ends while the processes still know neither state nor
    /// placements.
    ZoneCutFor(u64),
}

/// Whatever the restarted processes cannot know, a restart of all controllers during an outage of
/// the state service deletes no machine that responds.
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
            // About as long as the state service is unavailable.
            w.run(back + 11_000 * MS);
            let gone: Vec<&String> = machines.iter().filter(|m| !w.machines.contains_key(*m)).collect();
            if !gone.is_empty() || !w.broken.is_empty() {
                let what = format!("{disturbance:?}, seed {seed}, {nodes} controllers");
                failed.push(format!("{what}: deleted {gone:?}, broken {:?}", w.broken.first()));
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
}
