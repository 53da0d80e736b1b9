//! All controllers exit while machines hang and the state service is unavailable: the restarted
//! processes can query no component about which jobs were cancelled.
use super::scenarios::Action::{CancelAndHang, MachinesHang, StateOutage, Terminate, ZonesPartitioned};
use super::scenarios::Controllers::*;
use super::scenarios::{NEVER, Workload, long_jobs};
use super::*;

/// Times of a run, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Restart {
    /// From the first confirmation of a cancellation to the exit of all controllers.
    end_after: u64,
    /// Downtime of the controllers.
    downtime: u64,
}

/// Converts milliseconds to the unit of scenario lengths, thousandths of `cancel_timeout`.
fn share_of_cancel(ms: u64) -> u64 {
    (ms * MS * 1000).div_ceil(SMALL.cancel_timeout)
}

/// Users cancel jobs whose machines hang. Returns the world at the first confirmation to a user,
/// and its time.
fn cancelled_and_hung(seed: u64, nodes: usize) -> (World, u64) {
    let mut w = long_jobs(seed, nodes, Workload::Mixed);
    let leader = w.leader();
    w.perform(leader, CancelAndHang(Other(1), NEVER));
    assert!(w.run_until_confirmed(), "no user received a confirmation");
    let at = w.now;
    (w, at)
}

/// All controllers exit some time after the confirmation, and the state service becomes
/// unavailable.
fn run_restart(restart: Restart, seed: u64, nodes: usize) -> World {
    let (mut w, confirmed_at) = cancelled_and_hung(seed, nodes);
    let leader = w.leader();
    let at = confirmed_at + restart.end_after * MS;
    w.run(at);
    w.perform(leader, Terminate(All, share_of_cancel(restart.downtime)));
    w.perform(leader, StateOutage(1500));
    w.run(at + 4 * w.size.cancel_timeout);
    w
}

/// Guards against hung machines with cancelled tasks that are never deleted: processes without
/// state or placements once deleted none of them.
#[test]
fn hung_machines_with_cancelled_tasks_are_deleted_after_a_full_restart_in_an_outage() {
    let mut failed = Vec::new();
    for end_after in [0, 1_000, 3_000, 8_000, 12_000, 20_000] {
        for downtime in [200, 2_000, 10_000, 20_000] {
            let left = (SMALL.cancel_timeout / MS).saturating_sub(end_after + downtime);
            // The time left is shorter than it takes to tell a hung machine from a slow one.
            if left < SMALL.cancel_timeout / MS / 6 {
                continue;
            }
            for (nodes, seed) in [(3, 1), (3, 2), (7, 3), (7, 4)] {
                let restart = Restart { end_after, downtime };
                let w = run_restart(restart, seed, nodes);
                if let Some(violation) = w.violations.first() {
                    failed.push(format!("{restart:?}, seed {seed}, {nodes} controllers: {violation}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
}

impl World {
    /// Controllers that are on record as holding a replica of the leader's placement log.
    pub fn recorded_standby_replicas(&self) -> Vec<usize> {
        let record = self.state.value("g/books").expect("a record of the standby replicas");
        let names = record["nodes"].as_array().unwrap().iter();
        names.map(|n| n[0].as_str().unwrap()[1..].parse().unwrap()).collect()
    }
}

/// Guards against processes that have read the state, but hold no placement log, and do nothing in
/// an outage of the state service after the leader and all standby replicas have exited.
#[test]
fn hung_machines_with_cancelled_tasks_are_deleted_after_all_log_holders_exit() {
    let mut failed = Vec::new();
    for end_after in [0, 1_000, 3_000] {
        for downtime in [200, 10_000, 100_000] {
            for seed in 0..4 {
                let (mut w, confirmed_at) = cancelled_and_hung(seed, 7);
                let leader = w.leader();
                let at = confirmed_at + end_after * MS;
                w.run(at);
                let mut ended = w.recorded_standby_replicas();
                ended.push(leader);
                assert!(ended.len() < 7, "all controllers hold the placement log");
                ended.into_iter().for_each(|n| w.terminate(n, downtime * MS));
                w.perform(leader, StateOutage(1500));
                w.run(at + 4 * w.size.cancel_timeout);
                if let Some(violation) = w.violations.first() {
                    failed.push(format!("{end_after} ms, downtime {downtime} ms, seed {seed}: {violation}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of 36 runs failed:\n{}", failed.len(), failed.join("\n"));
}

/// Another fault while no controller knows the cancellations.
#[derive(Clone, Copy, Debug)]
enum ExtraFault {
    /// The cloud is unavailable for the first seconds after the restart.
    CloudOutage,
    /// Machines cannot send to any controller, while direct commands reach them.
    MachinesCannotSend,
    /// The zones cannot reach each other.
    ZonesPartitioned,
    /// Leaders exit one after the other before.
    RepeatedLeaderRestarts,
    /// The controllers exit one after the other within two seconds.
    SequentialExits,
}

/// All controllers exit as above, combined with other faults.
#[test]
fn hung_machines_with_cancelled_tasks_are_deleted_despite_a_further_fault() {
    use ExtraFault::*;
    let mut failed = Vec::new();
    for extra_fault in
        [CloudOutage, MachinesCannotSend, ZonesPartitioned, RepeatedLeaderRestarts, SequentialExits]
    {
        for downtime in [200, 10_000] {
            for (nodes, seed) in [(3, 1), (3, 2), (7, 3), (7, 4)] {
                let (mut w, mut at) = cancelled_and_hung(seed, nodes);
                let leader = w.leader();
                if let RepeatedLeaderRestarts = extra_fault {
                    for _ in 0..3 {
                        w.restart_leader();
                        at += 900 * MS;
                        w.run(at);
                    }
                }
                for n in 0..nodes {
                    if let SequentialExits = extra_fault {
                        at += 2_000 * MS / nodes as u64;
                        w.run(at);
                    }
                    w.terminate(n, downtime * MS);
                }
                w.perform(leader, StateOutage(1500));
                w.run(at + downtime * MS);
                match extra_fault {
                    CloudOutage => {
                        w.perform(leader, super::scenarios::Action::CloudOutage(share_of_cancel(6_000)))
                    }
                    MachinesCannotSend => {
                        w.perform(leader, super::scenarios::Action::MachinesCannotSend(1000))
                    }
                    ZonesPartitioned => w.perform(leader, super::scenarios::Action::ZonesPartitioned(1000)),
                    RepeatedLeaderRestarts | SequentialExits => {}
                }
                w.run(at + 4 * w.size.cancel_timeout);
                if let Some(violation) = w.violations.first() {
                    let run_label =
                        format!("{extra_fault:?}, downtime {downtime} ms, seed {seed}, {nodes} controllers");
                    failed.push(format!("{run_label}: {violation}"));
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
    BriefHang(u64),
    /// The zones cannot reach each other, and each process reaches the machines of one zone only.
    ZonesPartitioned,
    /// The same, and the partition ends while the processes still know neither state nor
    /// placements.
    ZonesPartitionedFor(u64),
}

/// Whatever the restarted processes cannot know, a restart of all controllers during an outage of
/// the state service deletes no machine that responds.
#[test]
fn a_full_restart_in_an_outage_deletes_no_responding_machine() {
    let disturbances = [
        Disturbance::None,
        Disturbance::BriefHang(1_000),
        Disturbance::BriefHang(2_000),
        Disturbance::ZonesPartitioned,
        Disturbance::ZonesPartitionedFor(4_000),
        Disturbance::ZonesPartitionedFor(9_000),
    ];
    let mut failed = Vec::new();
    for disturbance in disturbances {
        for (nodes, seed) in [(3, 1), (3, 2), (7, 3), (7, 4)] {
            let mut w = long_jobs(seed, nodes, Workload::Mixed);
            let leader = w.leader();
            let machines: Vec<String> = w.machines.keys().cloned().collect();
            w.perform(leader, Terminate(All, share_of_cancel(2_000)));
            w.perform(leader, StateOutage(400));
            match disturbance {
                Disturbance::ZonesPartitioned => w.perform(leader, ZonesPartitioned(400)),
                Disturbance::ZonesPartitionedFor(ms) => {
                    w.perform(leader, ZonesPartitioned(share_of_cancel(2_000 + ms)))
                }
                Disturbance::None | Disturbance::BriefHang(_) => {}
            }
            let back = w.now + 2_000 * MS;
            w.run(back);
            if let Disturbance::BriefHang(ms) = disturbance {
                w.perform(leader, MachinesHang(share_of_cancel(ms)));
            }
            // About as long as the state service is unavailable.
            w.run(back + 11_000 * MS);
            let deleted: Vec<&String> = machines.iter().filter(|m| !w.machines.contains_key(*m)).collect();
            if !deleted.is_empty() || !w.violations.is_empty() {
                let run_label = format!("{disturbance:?}, seed {seed}, {nodes} controllers");
                failed
                    .push(format!("{run_label}: deleted {deleted:?}, violation {:?}", w.violations.first()));
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
}
