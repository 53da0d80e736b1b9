//! What unanswered probes prove, and what lists and messages that are wrong don't.
use super::reachability::{Reachability, answers_needed};
use super::silence::Silence;
use super::*;

fn at(ms: u64) -> Micros {
    BEGAN + Micros::millis(ms)
}

#[test]
fn a_probe_counts_once_its_zone_was_reachable_after_it() {
    // Unanswered probes, proofs that the zone is reachable, and whether the machine is silent in
    // the end. Proofs that are as late as a probe are known when it ends.
    let cases: [(&str, &[u64], &[u64], bool); 7] = [
        ("a proof after each", &[0, 1_000, 2_000], &[0, 1_000, 2_000], true),
        ("two probes only", &[0, 3_000], &[0, 3_000], false),
        ("no proof", &[0, 1_000, 2_000, 3_000], &[], false),
        ("proofs of before", &[1_000, 2_000, 3_000], &[0, 500], false),
        ("a cut, and the proof after its end", &[0, 1_000, 2_000, 3_000], &[4_500], false),
        ("a proof for two of them", &[0, 1_000, 2_000, 3_000], &[1_500, 3_000], false),
        ("rounds that take seconds", &[0, 7_000, 15_000], &[5_000, 12_000, 20_000], true),
    ];
    for (what, probes, proofs, silent) in cases {
        let mut zone = Reachability::default();
        let mut silence = Silence::default();
        let mut proofs = proofs.iter().copied().peekable();
        for ms in (0..25_000).step_by(100) {
            while proofs.next_if(|proof| *proof <= ms).is_some_and(|proof| {
                zone.add_proof(at(proof));
                true
            }) {}
            // A probe is given up 1.2 s after it was sent.
            if probes.iter().any(|sent| sent + 1_200 == ms) {
                silence.probe_unanswered(at(ms - 1_200));
            }
            silence.confirm(&zone);
        }
        assert_eq!(silence.is_proven(at(25_000)), silent, "{what}");
    }
}

#[test]
fn a_few_silent_machines_take_one_answer_and_more_a_fifth() {
    let table = [(0, 1), (1, 1), (4, 1), (7, 1), (8, 2), (11, 2), (12, 3), (403, 100)];
    for (silent, needed) in table {
        assert_eq!(answers_needed(silent), needed, "{silent} silent");
    }
}

/// A monitor that knows the list, in which machine 4 did not answer a probe.
fn monitor_with_one_unanswered() -> LivenessMonitor {
    let mut monitor = LivenessMonitor::new("west", REPORT, LEASE, BEGAN);
    let rentals: Vec<Rental> = (0..20).map(rental).collect();
    monitor.listed(Some((&rentals, false)), BEGAN);
    monitor.heartbeat(id(4), HeartbeatSeq { agent_epoch: 3, sequence: 7 }, true, BEGAN);
    monitor.works(at(1_900));
    monitor.works(at(2_000));
    monitor.unanswered(&id(4), at(900), at(2_000));
    assert_eq!(monitor.summary(at(2_000)).unproved_zones, 0, "the process itself was late");
    for ms in (2_100..3_300).step_by(100) {
        monitor.works(at(ms));
    }
    monitor.unanswered(&id(4), at(2_050), at(3_250));
    assert_eq!(monitor.summary(at(3_250)).unproved_zones, 1);
    monitor
}

#[test]
fn copies_and_late_messages_are_no_sign_of_life() {
    // The message, and how many machines don't answer after it.
    for (shift, tally, unanswering) in [(3, 7, 1), (3, 6, 1), (2, 90, 1), (3, 8, 0), (4, 1, 0)] {
        let mut monitor = monitor_with_one_unanswered();
        monitor.heartbeat(id(4), HeartbeatSeq { agent_epoch: shift, sequence: tally }, true, at(3_300));
        let summary = monitor.summary(at(3_300));
        assert_eq!(summary.unanswering, unanswering, "heartbeat {shift} {tally}");
        let mut monitor = monitor_with_one_unanswered();
        let news = monitor.answered(
            id(4),
            HeartbeatSeq { agent_epoch: shift, sequence: tally },
            true,
            at(3_300),
            at(3_350),
        );
        assert_eq!(news, unanswering == 0, "answer {shift} {tally}");
        assert_eq!(monitor.summary(at(3_350)).unanswering, unanswering, "answer {shift} {tally}");
    }
}

/// Of the probes that wait for a proof the latest counts: the proof after a cut confirms none that
/// was sent since.
#[test]
fn of_probes_that_wait_for_a_proof_the_latest_counts() {
    let mut zone = Reachability::default();
    let mut silence = Silence::default();
    [0, 1_000, 2_000].into_iter().for_each(|ms| silence.probe_unanswered(at(ms)));
    zone.add_proof(at(1_500));
    silence.confirm(&zone);
    assert!(silence.waits_for_proof(), "a probe that was given up for a later one is confirmed");
    zone.add_proof(at(2_000));
    silence.confirm(&zone);
    assert!(!silence.waits_for_proof());
    // Silence counts from the probe that was confirmed.
    assert!(!silence.lasts(Micros::millis(2_001), at(4_000)));
    assert!(silence.lasts(Micros::millis(2_000), at(4_000)));
}

#[test]
fn three_probes_prove_no_silence_before_three_seconds_are_over() {
    let mut zone = Reachability::default();
    let mut silence = Silence::default();
    for ms in [0, 500, 1_000] {
        silence.probe_unanswered(at(ms));
        zone.add_proof(at(ms));
        silence.confirm(&zone);
    }
    for (ms, silent) in [(1_000, false), (2_999, false), (3_000, true)] {
        assert_eq!(silence.is_proven(at(ms)), silent, "after {ms} ms");
    }
}

/// When the process comes to its work, and whether a probe of 2 000 counts that ends at 3 200.
#[test]
fn a_probe_does_not_count_if_the_process_was_late_while_it_was_open_or_is() {
    let steady = |until: u64| (0..=until).step_by(100).collect::<Vec<u64>>();
    let with = |until: u64, more: &[u64]| [&steady(until)[..], more].concat();
    let cases = [
        ("on time", steady(3_200), true),
        ("late before it was sent", with(1_000, &[1_900, 2_100, 2_300, 2_500, 2_700, 2_900, 3_100]), true),
        ("a little late while it was open", with(2_500, &[3_000, 3_200]), true),
        ("late while it was open", with(2_300, &[3_000, 3_200]), false),
        ("late now, and not yet at its work", steady(2_500), false),
    ];
    for (what, works, counts) in cases {
        let mut monitor = LivenessMonitor::new("west", REPORT, LEASE, BEGAN);
        let rentals: Vec<Rental> = (0..20).map(rental).collect();
        monitor.listed(Some((&rentals, false)), BEGAN);
        works.iter().for_each(|ms| monitor.works(at(*ms)));
        monitor.unanswered(&id(4), at(2_000), at(3_200));
        assert_eq!(monitor.summary(at(3_200)).unproved_zones, usize::from(counts), "{what}");
    }
}

/// A heartbeat and the end of a probe in vain, and whether the machine counts as unanswering.
#[test]
fn a_probe_in_vain_does_not_undo_a_heartbeat_that_came_while_it_was_open() {
    for (heard, unanswering) in [(1_999, 1), (2_000, 0), (2_500, 0)] {
        let mut monitor = LivenessMonitor::new("west", REPORT, LEASE, BEGAN);
        let rentals: Vec<Rental> = (0..20).map(rental).collect();
        monitor.listed(Some((&rentals, false)), BEGAN);
        (0..=3_200).step_by(100).for_each(|ms| monitor.works(at(ms)));
        monitor.heartbeat(id(4), HeartbeatSeq { agent_epoch: 1, sequence: 1 }, true, at(heard));
        monitor.unanswered(&id(4), at(2_000), at(3_200));
        assert_eq!(monitor.summary(at(3_200)).unanswering, unanswering, "heard at {heard}");
    }
}

/// The first machine of zone `south` hangs, and others of that zone are on a page that has not come.
#[test]
fn a_zone_is_not_small_before_all_pages_of_the_list_have_come() {
    for (truncated, silent) in [(true, false), (false, true)] {
        // The process's own zone: what is heard of others would do for a small one.
        let mut monitor = LivenessMonitor::new("south", REPORT, LEASE, BEGAN);
        let rentals: Vec<Rental> = (0..10).map(rental).collect();
        monitor.listed(Some((&rentals, truncated)), BEGAN);
        let mut evidence = None;
        for ms in (0..6_000).step_by(100) {
            monitor.works(at(ms));
            if ms >= 1_200 && ms % 1_000 == 200 {
                monitor.unanswered(&id(0), at(ms - 1_200), at(ms));
                monitor.answered(
                    id(4),
                    HeartbeatSeq { agent_epoch: 1, sequence: ms },
                    true,
                    at(ms - 50),
                    at(ms),
                );
            }
            evidence = monitor.suspects(at(9_000), at(ms)).remove(&id(0)).map(|suspect| suspect.evidence);
        }
        let proven = evidence == Some(Evidence::Silence(ProbeReason::Silent));
        assert_eq!(proven, silent, "more pages follow: {truncated}");
    }
}

/// A page that was under way as all was forgotten once counted as the whole list if it was the last
/// one, and zones seemed small until the next list.
#[test]
fn a_last_page_that_was_asked_for_before_all_was_forgotten_is_not_the_whole_list() {
    let mut list = InstanceList::new(BEGAN);
    let rentals: Vec<Rental> = (0..10).map(rental).collect();
    list.page_requested();
    list.page_came(&rentals[..6], true, BEGAN);
    list.page_requested();
    list.clear();
    list.page_came(&rentals[6..], false, at(500));
    assert!(
        !list.is_complete(),
        "the last page alone counts as the whole list: {} of 10 machines",
        list.len()
    );
}
