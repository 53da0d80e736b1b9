//! Which unanswered probes are evidence of failure, and that stale lists and messages are none.
use super::reachability::{Reachability, answers_needed};
use super::silence::Silence;
use super::*;

fn at(ms: u64) -> Micros {
    START + Micros::millis(ms)
}

#[test]
fn a_probe_counts_once_its_zone_was_proved_reachable_after_it() {
    // (case, when unanswered probes were sent, proofs that the zone is reachable, whether the
    // machine is proven silent at the end). A proof as late as a probe is known when the probe
    // times out.
    let cases: [(&str, &[u64], &[u64], bool); 7] = [
        ("a proof after each", &[0, 1_000, 2_000], &[0, 1_000, 2_000], true),
        ("two probes only", &[0, 3_000], &[0, 3_000], false),
        ("no proof", &[0, 1_000, 2_000, 3_000], &[], false),
        ("earlier proofs only", &[1_000, 2_000, 3_000], &[0, 500], false),
        ("a partition, and one proof after its end", &[0, 1_000, 2_000, 3_000], &[4_500], false),
        ("one proof for two probes", &[0, 1_000, 2_000, 3_000], &[1_500, 3_000], false),
        ("rounds several seconds apart", &[0, 7_000, 15_000], &[5_000, 12_000, 20_000], true),
    ];
    for (case, probes, proofs, silent) in cases {
        let mut zone = Reachability::default();
        let mut silence = Silence::default();
        let mut proofs = proofs.iter().copied().peekable();
        for ms in (0..25_000).step_by(100) {
            while proofs.next_if(|proof| *proof <= ms).is_some_and(|proof| {
                zone.add_proof(at(proof));
                true
            }) {}
            // A probe times out after 1.2 s.
            if probes.iter().any(|sent| sent + 1_200 == ms) {
                silence.probe_unanswered(at(ms - 1_200));
            }
            silence.confirm(&zone);
        }
        assert_eq!(silence.is_proven(at(25_000)), silent, "{case}");
    }
}

#[test]
fn up_to_seven_silent_machines_need_one_answer_and_more_need_one_in_four() {
    let cases = [(0, 1), (1, 1), (4, 1), (7, 1), (8, 2), (11, 2), (12, 3), (403, 100)];
    for (silent, needed) in cases {
        assert_eq!(answers_needed(silent), needed, "{silent} silent");
    }
}

/// A monitor with a complete list, in which machine 4 did not answer a probe.
fn monitor_with_unanswered_probe() -> LivenessMonitor {
    let mut monitor = LivenessMonitor::new("west", REPORT_INTERVAL, LEASE, START);
    let rentals: Vec<Rental> = (0..20).map(rental).collect();
    monitor.record_list_page(Some((&rentals, false)), START);
    monitor.record_heartbeat(id(4), HeartbeatSeq { agent_epoch: 3, sequence: 7 }, true, START);
    monitor.record_tick(at(1_900));
    monitor.record_tick(at(2_000));
    monitor.record_probe_timeout(&id(4), at(900), at(2_000));
    assert_eq!(monitor.summary(at(2_000)).unproved_zones, 0, "the process itself was late");
    for ms in (2_100..3_300).step_by(100) {
        monitor.record_tick(at(ms));
    }
    monitor.record_probe_timeout(&id(4), at(2_050), at(3_250));
    assert_eq!(monitor.summary(at(3_250)).unproved_zones, 1);
    monitor
}

#[test]
fn duplicate_and_outdated_messages_do_not_show_that_a_machine_is_alive() {
    // (agent epoch, heartbeat sequence, machines that count as unanswered after the message)
    for (agent_epoch, sequence, unanswered) in [(3, 7, 1), (3, 6, 1), (2, 90, 1), (3, 8, 0), (4, 1, 0)] {
        let mut monitor = monitor_with_unanswered_probe();
        monitor.record_heartbeat(id(4), HeartbeatSeq { agent_epoch, sequence }, true, at(3_300));
        let summary = monitor.summary(at(3_300));
        assert_eq!(summary.unanswered, unanswered, "heartbeat {agent_epoch} {sequence}");
        let mut monitor = monitor_with_unanswered_probe();
        let newer = monitor.record_probe_response(
            id(4),
            HeartbeatSeq { agent_epoch, sequence },
            true,
            at(3_300),
            at(3_350),
        );
        assert_eq!(newer, unanswered == 0, "answer {agent_epoch} {sequence}");
        assert_eq!(monitor.summary(at(3_350)).unanswered, unanswered, "answer {agent_epoch} {sequence}");
    }
}

/// Of the probes that wait for a proof only the latest counts, so a proof that is older than the
/// latest probe confirms none of them.
#[test]
fn only_the_latest_probe_that_waits_for_a_proof_is_confirmed() {
    let mut zone = Reachability::default();
    let mut silence = Silence::default();
    [0, 1_000, 2_000].into_iter().for_each(|ms| silence.probe_unanswered(at(ms)));
    zone.add_proof(at(1_500));
    silence.confirm(&zone);
    assert!(silence.waits_for_proof(), "a probe is confirmed that a later one replaced");
    zone.add_proof(at(2_000));
    silence.confirm(&zone);
    assert!(!silence.waits_for_proof());
    // The silence counts from the confirmed probe.
    assert!(!silence.lasts(Micros::millis(2_001), at(4_000)));
    assert!(silence.lasts(Micros::millis(2_000), at(4_000)));
}

#[test]
fn three_confirmed_probes_prove_no_silence_before_three_seconds_have_passed() {
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

/// A probe sent at 2 000 ms times out at 3 200 ms.
#[test]
fn a_probe_does_not_count_if_the_process_was_late_while_it_was_pending_or_is_late_now() {
    let steady = |until: u64| (0..=until).step_by(100).collect::<Vec<u64>>();
    let with = |until: u64, more: &[u64]| [&steady(until)[..], more].concat();
    // (case, ticks of the process, whether the probe counts)
    let cases = [
        ("on time", steady(3_200), true),
        (
            "late before the probe was sent",
            with(1_000, &[1_900, 2_100, 2_300, 2_500, 2_700, 2_900, 3_100]),
            true,
        ),
        ("late within the limit while it was pending", with(2_500, &[3_000, 3_200]), true),
        ("late while it was pending", with(2_300, &[3_000, 3_200]), false),
        ("late now, before the next tick", steady(2_500), false),
    ];
    for (case, ticks, counts) in cases {
        let mut monitor = LivenessMonitor::new("west", REPORT_INTERVAL, LEASE, START);
        let rentals: Vec<Rental> = (0..20).map(rental).collect();
        monitor.record_list_page(Some((&rentals, false)), START);
        ticks.iter().for_each(|ms| monitor.record_tick(at(*ms)));
        monitor.record_probe_timeout(&id(4), at(2_000), at(3_200));
        assert_eq!(monitor.summary(at(3_200)).unproved_zones, usize::from(counts), "{case}");
    }
}

/// A probe sent at 2 000 ms times out at 3 200 ms.
#[test]
fn an_unanswered_probe_does_not_outweigh_a_heartbeat_received_while_it_was_pending() {
    // (when the heartbeat arrives, machines that count as unanswered)
    for (heartbeat, unanswered) in [(1_999, 1), (2_000, 0), (2_500, 0)] {
        let mut monitor = LivenessMonitor::new("west", REPORT_INTERVAL, LEASE, START);
        let rentals: Vec<Rental> = (0..20).map(rental).collect();
        monitor.record_list_page(Some((&rentals, false)), START);
        (0..=3_200).step_by(100).for_each(|ms| monitor.record_tick(at(ms)));
        monitor.record_heartbeat(id(4), HeartbeatSeq { agent_epoch: 1, sequence: 1 }, true, at(heartbeat));
        monitor.record_probe_timeout(&id(4), at(2_000), at(3_200));
        assert_eq!(monitor.summary(at(3_200)).unanswered, unanswered, "heartbeat at {heartbeat}");
    }
}

/// The only listed machine of zone `south` hangs, but a page of the list that was not received may
/// name others.
#[test]
fn a_zone_is_not_small_before_all_pages_of_the_list_are_received() {
    for (truncated, silent) in [(true, false), (false, true)] {
        // In the process's own zone: responses from other zones would suffice if it were small.
        let mut monitor = LivenessMonitor::new("south", REPORT_INTERVAL, LEASE, START);
        let rentals: Vec<Rental> = (0..10).map(rental).collect();
        monitor.record_list_page(Some((&rentals, truncated)), START);
        let mut evidence = None;
        for ms in (0..6_000).step_by(100) {
            monitor.record_tick(at(ms));
            if ms >= 1_200 && ms % 1_000 == 200 {
                monitor.record_probe_timeout(&id(0), at(ms - 1_200), at(ms));
                monitor.record_probe_response(
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

/// A last page that was pending while the list was cleared once counted as the complete list, and
/// zones seemed small until the next list.
#[test]
fn a_last_page_requested_before_the_list_was_cleared_is_not_a_complete_list() {
    let mut list = InstanceList::new(START);
    let rentals: Vec<Rental> = (0..10).map(rental).collect();
    list.page_requested();
    list.page_received(&rentals[..6], true, START);
    list.page_requested();
    list.clear();
    list.page_received(&rentals[6..], false, at(500));
    assert!(
        !list.is_complete(),
        "the last page alone counts as the complete list: {} of 10 machines",
        list.len()
    );
}
