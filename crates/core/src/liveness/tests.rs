use super::instance_list::{LIST_INTERVAL, LIST_RETRY_INTERVAL};
use super::*;

mod evidence;
mod scenarios;

const START: Micros = Micros::secs(100);
const REPORT_INTERVAL: Micros = Micros::secs(2);
/// Longer than a simulation.
const LEASE: Micros = Micros::secs(25);

fn rental(i: usize) -> Rental {
    Rental {
        name: format!("host-{i:06}"),
        addr: format!("address-{i}"),
        machine_type: "b".into(),
        zone: match i {
            0 => "south",
            1 => "west",
            _ if i.is_multiple_of(2) => "east",
            _ => "north",
        }
        .into(),
        spot: false,
        state: if i == 19 { "starting" } else { "running" }.into(),
        age_s: 100.0,
    }
}

fn id(i: usize) -> MachineId {
    MachineId::from(&*rental(i).name)
}

/// A machine and the time in which it answers nothing, in milliseconds.
type Outage = (usize, std::ops::Range<u64>);

/// Simulates twenty machines, of which all suspects are probed every second. The process runs at
/// all times but `stalled`. Returns the machines that are proven silent, and when first.
fn simulate(outages: &[Outage], stalled: std::ops::Range<u64>, idle: bool) -> BTreeMap<MachineId, u64> {
    let mut monitor = LivenessMonitor::new("west", REPORT_INTERVAL, LEASE, START);
    let mut probed: BTreeMap<MachineId, u64> = BTreeMap::new();
    let mut pending: Vec<(u64, MachineId, u64)> = Vec::new();
    let mut silent = BTreeMap::new();
    let rentals: Vec<Rental> = (0..20).map(rental).collect();
    for ms in (0..20_000).step_by(100).filter(|ms| !stalled.contains(ms)) {
        let now = START + Micros::millis(ms);
        monitor.record_tick(now);
        if monitor.list_page_due(now).is_some() {
            monitor.record_list_request();
            monitor.record_list_page(Some((&rentals, false)), now);
        }
        let (timed_out, left) = pending.into_iter().partition(|(at, ..)| *at <= ms);
        pending = left;
        for (_, machine, sent) in timed_out {
            monitor.record_probe_timeout(&machine, START + Micros::millis(sent), now);
        }
        for (machine, suspect) in monitor.suspects(START + Micros::secs(7), now) {
            assert_ne!(machine, id(19), "a booting machine is a suspect");
            if suspect.evidence == Evidence::Silence(ProbeReason::Silent) {
                silent.entry(machine.clone()).or_insert(ms);
            }
            if probed.get(&machine).is_some_and(|at| ms - at < 1_000) {
                continue;
            }
            probed.insert(machine.clone(), ms);
            if outages.iter().any(|(i, when)| id(*i) == machine && when.contains(&ms)) {
                pending.push((ms + 1_200, machine, ms));
            } else {
                monitor.record_probe_response(
                    machine,
                    HeartbeatSeq { agent_epoch: 1, sequence: ms + 1 },
                    !idle,
                    now,
                    now,
                );
            }
        }
    }
    silent
}

#[test]
fn only_long_unresponsive_machines_of_a_reachable_zone_are_silent() {
    let none = || 0..0;
    let zone = |from, to| (2..20).step_by(2).map(|i| (i, from..to)).collect::<Vec<Outage>>();
    // (outages; when the process stalls; when the first machine is proven silent, and how many are)
    let cases: Vec<(Vec<Outage>, std::ops::Range<u64>, Option<u64>, usize)> = vec![
        (vec![], none(), None, 0),
        (vec![(4, 0..20_000)], none(), Some(3_200), 1),
        // Machines that hang for a second or two.
        (vec![(4, 0..1_000), (6, 0..2_000)], none(), None, 0),
        (vec![(4, 5_000..7_000)], none(), None, 0),
        // It answered before it hung.
        (vec![(4, 5_000..20_000)], none(), Some(9_200), 1),
        (vec![(4, 0..20_000), (6, 0..20_000), (8, 0..20_000)], none(), Some(3_200), 3),
        // A zone that is partitioned all the time, at first, from some time on, or for a while.
        (zone(0, 20_000), none(), None, 0),
        (zone(0, 4_000), none(), None, 0),
        (zone(5_000, 20_000), none(), None, 0),
        (zone(5_000, 9_300), none(), None, 0),
        // Most machines of a zone hang, but two answer.
        (zone(0, 20_000)[..7].to_vec(), none(), Some(3_200), 7),
        // The only machine of the process's own zone, and of another zone.
        (vec![(1, 0..20_000)], none(), Some(3_200), 1),
        (vec![(0, 0..20_000)], none(), None, 0),
        // The process itself is partitioned from all machines.
        ((0..20).map(|i| (i, 0..20_000)).collect(), none(), None, 0),
        // The process itself stalls for 3 s.
        (vec![(4, 0..20_000)], 1_000..4_000, Some(8_200), 1),
    ];
    for (i, (outages, stalled, first, count)) in cases.into_iter().enumerate() {
        let silent = simulate(&outages, stalled, false);
        assert_eq!(silent.len(), count, "case {i}: {silent:?}");
        assert_eq!(silent.values().min().copied(), first, "case {i}: {silent:?}");
    }
}

#[test]
fn a_machine_that_was_idle_at_its_last_contact_is_not_silent() {
    assert_eq!(simulate(&[(4, 5_000..20_000)], 0..0, true), BTreeMap::new());
    // A machine without any contact may run any task.
    assert_eq!(simulate(&[(4, 0..20_000)], 0..0, true).len(), 1);
}

#[test]
fn the_list_is_read_page_by_page_and_refreshed() {
    let mut monitor = LivenessMonitor::new("west", REPORT_INTERVAL, LEASE, START);
    let rentals: Vec<Rental> = (0..10).map(rental).collect();
    assert_eq!(monitor.list_page_due(START), Some(None));
    monitor.record_list_request();
    assert_eq!(monitor.list_page_due(START), None);
    monitor.record_list_page(Some((&rentals[..6], true)), START);
    assert_eq!(monitor.list_page_due(START), Some(Some("host-000005")));
    monitor.record_list_request();
    monitor.record_list_page(None, START);
    assert_eq!(monitor.list_page_due(START), None);
    let retry = START + LIST_RETRY_INTERVAL;
    assert_eq!(monitor.list_page_due(retry), Some(Some("host-000005")));
    monitor.record_list_request();
    monitor.record_deletion(&id(7));
    monitor.record_list_page(Some((&rentals[6..], false)), retry);
    assert_eq!(monitor.listed_count(), 9);
    assert_eq!(monitor.list_page_due(retry + LIST_INTERVAL), Some(None));
    // Machines missing from a complete list are forgotten.
    monitor.record_list_page(Some((&rentals[..3], false)), retry + LIST_INTERVAL);
    assert_eq!(monitor.listed_count(), 3);
}
