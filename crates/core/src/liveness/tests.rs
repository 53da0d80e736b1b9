use super::instance_list::{LIST_INTERVAL, LIST_RETRY_INTERVAL};
use super::*;

mod evidence;
mod orders;

const BEGAN: Micros = Micros::secs(100);
const REPORT: Micros = Micros::secs(2);
/// Longer than a play.
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

/// From when to when a machine answers nothing, in milliseconds.
type Silence = (usize, std::ops::Range<u64>);

/// Which of twenty machines are called silent, and when first, where all that are suspects are
/// probed every second and the process comes to its work at all times but `late`.
fn play(silences: &[Silence], late: std::ops::Range<u64>, idle: bool) -> BTreeMap<MachineId, u64> {
    let mut monitor = LivenessMonitor::new("west", REPORT, LEASE, BEGAN);
    let mut probed: BTreeMap<MachineId, u64> = BTreeMap::new();
    let mut open: Vec<(u64, MachineId, u64)> = Vec::new();
    let mut silent = BTreeMap::new();
    let rentals: Vec<Rental> = (0..20).map(rental).collect();
    for ms in (0..20_000).step_by(100).filter(|ms| !late.contains(ms)) {
        let now = BEGAN + Micros::millis(ms);
        monitor.works(now);
        if monitor.list_due(now).is_some() {
            monitor.list_sent();
            monitor.listed(Some((&rentals, false)), now);
        }
        let (ended, left) = open.into_iter().partition(|(at, ..)| *at <= ms);
        open = left;
        for (_, machine, sent) in ended {
            monitor.unanswered(&machine, BEGAN + Micros::millis(sent), now);
        }
        for (machine, suspect) in monitor.suspects(BEGAN + Micros::secs(7), now) {
            assert_ne!(machine, id(19), "a machine that boots is a suspect");
            if suspect.evidence == Evidence::Silence(ProbeReason::Silent) {
                silent.entry(machine.clone()).or_insert(ms);
            }
            if probed.get(&machine).is_some_and(|at| ms - at < 1_000) {
                continue;
            }
            probed.insert(machine.clone(), ms);
            if silences.iter().any(|(i, when)| id(*i) == machine && when.contains(&ms)) {
                open.push((ms + 1_200, machine, ms));
            } else {
                monitor.answered(machine, HeartbeatSeq { agent_epoch: 1, sequence: ms + 1 }, !idle, now, now);
            }
        }
    }
    silent
}

#[test]
fn only_what_answers_nobody_for_long_is_silent() {
    let none = || 0..0;
    let zone = |from, to| (2..20).step_by(2).map(|i| (i, from..to)).collect::<Vec<Silence>>();
    // What is silent; when the process is late; when the first machine is called silent, and
    // how many are.
    let cases: Vec<(Vec<Silence>, std::ops::Range<u64>, Option<u64>, usize)> = vec![
        (vec![], none(), None, 0),
        (vec![(4, 0..20_000)], none(), Some(3_200), 1),
        // A hang of a second or two.
        (vec![(4, 0..1_000), (6, 0..2_000)], none(), None, 0),
        (vec![(4, 5_000..7_000)], none(), None, 0),
        // It answered once.
        (vec![(4, 5_000..20_000)], none(), Some(9_200), 1),
        (vec![(4, 0..20_000), (6, 0..20_000), (8, 0..20_000)], none(), Some(3_200), 3),
        // A zone that is cut off for good, or at first, or from some time on.
        (zone(0, 20_000), none(), None, 0),
        (zone(0, 4_000), none(), None, 0),
        (zone(5_000, 20_000), none(), None, 0),
        (zone(5_000, 9_300), none(), None, 0),
        // Most of a zone hangs: some of it answers.
        (zone(0, 20_000)[..7].to_vec(), none(), Some(3_200), 7),
        // The only machine of a zone: the process's own zone, or another one.
        (vec![(1, 0..20_000)], none(), Some(3_200), 1),
        (vec![(0, 0..20_000)], none(), None, 0),
        // The process itself hears nobody.
        ((0..20).map(|i| (i, 0..20_000)).collect(), none(), None, 0),
        // The process itself stands still for a while.
        (vec![(4, 0..20_000)], 1_000..4_000, Some(8_200), 1),
    ];
    for (i, (silences, late, first, count)) in cases.into_iter().enumerate() {
        let silent = play(&silences, late, false);
        assert_eq!(silent.len(), count, "case {i}: {silent:?}");
        assert_eq!(silent.values().min().copied(), first, "case {i}: {silent:?}");
    }
}

#[test]
fn a_machine_that_was_idle_has_nothing_that_goes_on() {
    assert_eq!(play(&[(4, 5_000..20_000)], 0..0, true), BTreeMap::new());
    // One that was never heard may hold anything.
    assert_eq!(play(&[(4, 0..20_000)], 0..0, true).len(), 1);
}

#[test]
fn the_list_is_read_page_by_page_and_again() {
    let mut monitor = LivenessMonitor::new("west", REPORT, LEASE, BEGAN);
    let rentals: Vec<Rental> = (0..10).map(rental).collect();
    assert_eq!(monitor.list_due(BEGAN), Some(None));
    monitor.list_sent();
    assert_eq!(monitor.list_due(BEGAN), None);
    monitor.listed(Some((&rentals[..6], true)), BEGAN);
    assert_eq!(monitor.list_due(BEGAN), Some(Some("host-000005")));
    monitor.list_sent();
    monitor.listed(None, BEGAN);
    assert_eq!(monitor.list_due(BEGAN), None);
    let again = BEGAN + LIST_RETRY_INTERVAL;
    assert_eq!(monitor.list_due(again), Some(Some("host-000005")));
    monitor.list_sent();
    monitor.deleted(&id(7));
    monitor.listed(Some((&rentals[6..], false)), again);
    assert_eq!(monitor.listed_count(), 9);
    assert_eq!(monitor.list_due(again + LIST_INTERVAL), Some(None));
    // Machines that are gone from a whole list are forgotten.
    monitor.listed(Some((&rentals[..3], false)), again + LIST_INTERVAL);
    assert_eq!(monitor.listed_count(), 3);
}
