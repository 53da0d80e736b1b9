//! Scenarios with further faults: the process is late, machines ignore probes, many machines hang
//! at once, or responses barely arrive in time.
use super::*;

/// An unanswered probe was once discarded if a tick was more than 250 ms late while the probe was
/// pending. A process that is as late at least once in 1.2 s discarded all probes, and deleted no
/// machine, however long it hung.
#[test]
fn a_hung_machine_is_deleted_though_the_process_is_slightly_late_at_times() {
    let machines = || vec![hung("b"), responsive("b", 20), responsive("b", 20)];
    let late = |every, length| Scenario { stalls: Some((every, length)), ..scenario(machines()) };
    let cases = vec![
        ("220 ms in 500 ms", late(500, 220)),
        ("260 ms in 5 s", late(5_000, 260)),
        ("260 ms in 500 ms", late(500, 260)),
        ("260 ms in 1 s", late(1_000, 260)),
        ("300 ms in 1.2 s", late(1_200, 300)),
    ];
    let failures = failures(&cases);
    assert!(failures.is_empty(), "{} of {}:\n{}", failures.len(), cases.len(), failures.join("\n"));
}

#[test]
fn a_process_that_stalls_while_probes_are_pending_deletes_no_working_machine() {
    for every in [500, 1_000, 1_300, 2_000, 4_000, 5_300] {
        for length in [240, 290, 1_000, 1_300, 2_500].into_iter().filter(|length| length + 20 <= every) {
            for latency in [20, 700, 1_190] {
                let machines = (0..6).map(|i| responsive("b", if i % 2 == 0 { latency } else { 20 }));
                let scenario = Scenario { stalls: Some((every, length)), ..scenario(machines.collect()) };
                let wrong = simulate(&scenario).wrongly_deleted(&scenario);
                assert!(wrong.is_empty(), "{length} ms in {every} ms, answers in {latency} ms: {wrong:?}");
            }
        }
    }
}

/// Machines that send heartbeats but answer no probe must not be the only references. The machines
/// with the latest contact were once taken as references: in the last case these were always machines
/// that ignore probes, and the one that answers was never probed.
#[test]
fn a_hung_machine_is_deleted_beside_machines_that_send_heartbeats_but_ignore_probes() {
    let zone = |count: u64, interval: u64| {
        let ignoring = (0..count).map(|i| Machine {
            ignores_probes: true,
            ..responsive("b", 20).with_heartbeats(8_000 + i * 137 % interval, interval)
        });
        let good = responsive("b", 20).with_heartbeats(8_050, interval);
        scenario([hung("b")].into_iter().chain(ignoring).chain([good]).collect())
    };
    let cases = vec![
        ("one ignores probes", zone(1, 1_000)),
        ("five ignore probes", zone(5, 2_000)),
        ("seven ignore probes", zone(7, 1_000)),
        ("twenty ignore probes", zone(20, 1_000)),
    ];
    let failures = failures(&cases);
    assert!(failures.is_empty(), "{} of {}:\n{}", failures.len(), cases.len(), failures.join("\n"));
}

/// References whose latency is close to the probe timeout still prove the zone reachable in time.
#[test]
fn hung_machines_are_deleted_though_the_others_answer_just_in_time() {
    for latency in [900, 1_100, 1_190, 1_199] {
        for begins in (9_000..11_000).step_by(390) {
            for (count, others) in [(1, 1), (8, 4), (20, 10)] {
                let machines =
                    (0..count).map(|_| hung("b")).chain((0..others).map(|_| responsive("b", latency)));
                let scenario = Scenario { begins, ..scenario(machines.collect()) };
                let failure = failure(&scenario, &simulate(&scenario));
                assert_eq!(failure, None, "{count} of {} hang, {latency} ms, {begins}", count + others);
            }
        }
    }
}
