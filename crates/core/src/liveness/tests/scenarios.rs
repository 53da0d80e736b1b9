//! Simulates the liveness monitor together with the enforcement of cancellations: heartbeats,
//! probe responses, lists and ticks occur at chosen times.
//!
//! All times are milliseconds since the cancellation of a job was confirmed to its users. Ticks
//! occur every 20 ms, so that the process is on time, from the loss of the last process that knows
//! the placements until the deadline. A probe is answered after the machine's latency, or times out
//! after 1.2 s.
use super::*;
use crate::cancellation_enforcer::{CancellationEnforcer, EnforcementAction};
use std::ops::Range;

mod degraded;

const CANCEL: u64 = 30_000;
/// One second is reserved for the difference between the clocks (`cancellation_enforcer::cancellation_deadline`).
const DEADLINE: u64 = CANCEL - 1_000;
const LEASE: Micros = Micros::secs(12);
const TICK: u64 = 20;
const PROBE_TIMEOUT: u64 = 1_200;
const CONFIRMED: Micros = Micros::secs(1_000);

fn at(ms: u64) -> Micros {
    CONFIRMED + Micros::millis(ms)
}

/// A machine and its behaviour over time.
#[derive(Debug, Clone)]
struct Machine {
    zone: &'static str,
    /// Time from a probe to its answer.
    latency: u64,
    /// When it answers nothing; messages in transit at these times are lost.
    outage: Range<u64>,
    /// Further times at which it is unreachable.
    partitions: Vec<Range<u64>>,
    /// It sends heartbeats but answers no probe.
    ignores_probes: bool,
    /// When it sends a heartbeat to this process.
    heartbeats: Vec<u64>,
}

/// A machine that answers every probe and sends its heartbeats to other controllers.
fn responsive(zone: &'static str, latency: u64) -> Machine {
    Machine {
        zone,
        latency,
        outage: 0..0,
        partitions: Vec::new(),
        ignores_probes: false,
        heartbeats: Vec::new(),
    }
}

/// A machine that hangs permanently.
fn hung(zone: &'static str) -> Machine {
    Machine { outage: 0..u64::MAX, ..responsive(zone, 20) }
}

impl Machine {
    /// With heartbeats to this process from `from` on.
    fn with_heartbeats(mut self, from: u64, interval: u64) -> Self {
        self.heartbeats = (from..DEADLINE).step_by(interval as usize).collect();
        self
    }

    fn with_outage(mut self, outage: Range<u64>) -> Self {
        self.outage = outage;
        self
    }

    /// Whether messages in transit from `from` to `to` arrive.
    fn is_up(&self, from: u64, to: u64) -> bool {
        let overlaps = |outage: &Range<u64>| to >= outage.start && from < outage.end;
        !overlaps(&self.outage) && !self.partitions.iter().any(overlaps)
    }
}

/// The input of a simulation.
#[derive(Debug, Clone)]
struct Scenario {
    machines: Vec<Machine>,
    /// Interval of the workers' reports.
    report: u64,
    /// When the last process that knows the placements is lost.
    begins: u64,
    /// Latency of the cloud.
    cloud: u64,
    /// Number of lists that are lost at first.
    lost_lists: u32,
    incarnation: u64,
    /// Interval and length of the process's stalls.
    stalls: Option<(u64, u64)>,
}

/// A scenario for a process in zone `a` that begins well before it may delete machines.
fn scenario(machines: Vec<Machine>) -> Scenario {
    Scenario {
        machines,
        report: 2_000,
        begins: 10_000,
        cloud: 20,
        lost_lists: 0,
        incarnation: 7,
        stalls: None,
    }
}

/// An event of the simulation.
enum Event {
    List,
    Heartbeat(usize),
    /// The response to a probe, and when the probe was sent.
    Answer(usize, u64),
    Unanswered(usize, u64),
    Deleted(Vec<MachineId>),
}

/// The result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// When machines were deleted.
    deleted: BTreeMap<usize, u64>,
    /// When permanently hung machines were probed.
    probed: BTreeMap<usize, Vec<u64>>,
    /// A trace line for each scan.
    trace: Vec<String>,
}

impl Outcome {
    /// Permanently hung machines that were not deleted.
    fn not_deleted(&self, scenario: &Scenario) -> Vec<usize> {
        let hung = |i: &usize| scenario.machines[*i].outage.end == u64::MAX;
        (0..scenario.machines.len()).filter(hung).filter(|i| !self.deleted.contains_key(i)).collect()
    }

    /// Machines that were deleted although they do not hang permanently.
    fn wrongly_deleted(&self, scenario: &Scenario) -> Vec<usize> {
        self.deleted.keys().copied().filter(|i| scenario.machines[*i].outage.end != u64::MAX).collect()
    }
}

fn name(i: usize) -> MachineId {
    MachineId::from(&*format!("m{i:04}"))
}

fn number(id: &MachineId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

fn simulate(scenario: &Scenario) -> Outcome {
    let mut outcome = Outcome::default();
    let mut monitor = LivenessMonitor::new("a", Micros::millis(scenario.report), LEASE, at(scenario.begins));
    let mut enforcer = CancellationEnforcer::new(scenario.incarnation);
    let rentals: Vec<Rental> = scenario.machines.iter().enumerate().map(|(i, m)| rental_of(i, m)).collect();
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    for (i, m) in scenario.machines.iter().enumerate() {
        for sent in m.heartbeats.iter().filter(|t| m.is_up(**t, **t)) {
            events.entry(*sent).or_default().push(Event::Heartbeat(i));
        }
    }
    let mut lost_lists = scenario.lost_lists;
    let mut messages = 0;
    for ms in scenario.begins..DEADLINE {
        let now = at(ms);
        if scenario.stalls.is_some_and(|(every, length)| (ms - scenario.begins) % every >= every - length) {
            let delayed = events.remove(&ms).unwrap_or_default();
            events.entry(ms + 1).or_default().splice(0..0, delayed);
            continue;
        }
        for event in events.remove(&ms).unwrap_or_default() {
            match event {
                Event::List if lost_lists > 0 => {
                    lost_lists -= 1;
                    monitor.record_list_page(None, now);
                }
                Event::List => monitor.record_list_page(Some((&rentals, false)), now),
                // The same condition as `Node::uses_liveness`.
                Event::Heartbeat(_) | Event::Answer(..) if monitor.listed_count() == 0 => {}
                Event::Heartbeat(i) => {
                    monitor.record_heartbeat(name(i), next_message(&mut messages), true, now)
                }
                Event::Answer(i, sent) => {
                    monitor.record_probe_response(name(i), next_message(&mut messages), true, at(sent), now);
                }
                Event::Unanswered(i, sent) => monitor.record_probe_timeout(&name(i), at(sent), now),
                Event::Deleted(ids) => {
                    enforcer.record_deletion_result(&ids, Some(true), now);
                    ids.iter().for_each(|id| monitor.record_deletion(id));
                }
            }
        }
        if !(ms - scenario.begins).is_multiple_of(TICK) {
            continue;
        }
        monitor.record_tick(now);
        if monitor.list_page_due(now).is_some() {
            monitor.record_list_request();
            events.entry(ms + scenario.cloud).or_default().push(Event::List);
        }
        if !enforcer.scan_due(now) {
            continue;
        }
        let suspects = monitor.suspects(at(DEADLINE), now);
        let mut actions = Vec::new();
        for action in enforcer.tick(&suspects, Micros::millis(CANCEL), monitor.listed_count(), now) {
            match action {
                EnforcementAction::Probe(ids) => {
                    for i in ids.iter().map(number) {
                        let m = &scenario.machines[i];
                        let answer = ms + m.latency;
                        if m.outage.end == u64::MAX {
                            outcome.probed.entry(i).or_default().push(ms);
                        }
                        let answered = m.is_up(ms, answer) && !m.ignores_probes && m.latency < PROBE_TIMEOUT;
                        let (when, event) = if answered {
                            (answer, Event::Answer(i, ms))
                        } else {
                            (ms + PROBE_TIMEOUT, Event::Unanswered(i, ms))
                        };
                        events.entry(when).or_default().push(event);
                        actions.push(format!("probes {i}"));
                    }
                }
                EnforcementAction::Delete(ids) => {
                    for i in ids.iter().map(number) {
                        outcome.deleted.entry(i).or_insert(ms);
                        actions.push(format!("deletes {i}"));
                    }
                    events.entry(ms + scenario.cloud).or_default().push(Event::Deleted(ids));
                }
            }
        }
        if scenario.machines.len() <= 10 {
            outcome.trace.push(trace_line(&monitor, scenario, ms, &actions));
        }
    }
    outcome
}

/// The number of the next message. Numbers always rise: no message is a duplicate.
fn next_message(messages: &mut u64) -> HeartbeatSeq {
    *messages += 1;
    HeartbeatSeq { agent_epoch: 1, sequence: *messages }
}

fn rental_of(i: usize, m: &Machine) -> Rental {
    Rental { name: name(i).to_string(), zone: m.zone.into(), state: "running".into(), ..rental(i) }
}

/// The monitor's knowledge after a scan.
fn trace_line(monitor: &LivenessMonitor, scenario: &Scenario, ms: u64, actions: &[String]) -> String {
    let machines = (0..scenario.machines.len()).map(|i| match monitor.observations.get(&name(i)) {
        Some(seen) => {
            let last_contact = seen.last_contact.map(|contact| at(ms).since(contact.at).0 / 1_000);
            format!("{i}: last contact {last_contact:?} ms ago, {:?}", seen.unanswered)
        }
        None => format!("{i}: unknown"),
    });
    let machines: Vec<String> = machines.collect();
    format!("{ms:6} {} | {:?} | {}", machines.join("; "), monitor.zones, actions.join(", "))
}

/// The latest time by which a hung machine is deleted if its zone answers all the time: a list,
/// four probes one second apart and one or two scans after the beginning, but not before deletions
/// may begin.
fn deletion_limit(scenario: &Scenario) -> u64 {
    let listed = (scenario.lost_lists as u64 + 1) * (scenario.cloud + 600);
    19_000.max(scenario.begins + listed + 5_000)
}

/// A description of the failure, if the simulation failed.
fn failure(scenario: &Scenario, outcome: &Outcome) -> Option<String> {
    let not_deleted = outcome.not_deleted(scenario);
    if !not_deleted.is_empty() {
        return Some(format!("{} hung machines are never deleted: {not_deleted:?}", not_deleted.len()));
    }
    let wrong = outcome.wrongly_deleted(scenario);
    if !wrong.is_empty() {
        return Some(format!("{} working machines are deleted: {:?}", wrong.len(), outcome.deleted));
    }
    // If many machines hang, the rate of deletions decides.
    let late = outcome.deleted.values().copied().max();
    let late = late.filter(|ms| outcome.deleted.len() == 1 && *ms > deletion_limit(scenario));
    late.map(|ms| format!("deleted too late, at {ms} ms instead of {} ms", deletion_limit(scenario)))
}

/// Simulates the cases; one line for each that fails.
fn failures(cases: &[(&str, Scenario)]) -> Vec<String> {
    let found =
        cases.iter().filter_map(|(case, scenario)| Some((case, failure(scenario, &simulate(scenario))?)));
    found.map(|(case, failure)| format!("{case}: {failure}")).collect()
}

/// Two machines: one hangs, the other answers every probe within 20 ms but sends its heartbeats to
/// another controller. After a response it is probed again only 3 s later (`probe_after`).
///
/// An earlier rule took a zone for partitioned when no contact with it was newer than that, and then
/// restarted the silence of its machines. Both machines were probed at 10 200 ms, machine 1 answered
/// at 10 220 ms, and the probes of machine 0 timed out at 11 400, 12 400 and 13 400 ms. At 13 400 ms
/// the last response was 3 180 ms old, so the silence restarted, and again at 16 600, 19 800, 23 000
/// and 26 200 ms, each time before a third probe: machine 0 was never deleted.
#[test]
fn a_hung_machine_is_deleted_though_the_other_machine_of_its_zone_only_answers_probes() {
    let scenario = scenario(vec![hung("b"), responsive("b", 20)]);
    let outcome = simulate(&scenario);
    let failure = failure(&scenario, &outcome);
    assert!(failure.is_none(), "{}\n{}", failure.unwrap_or_default(), outcome.trace.join("\n"));
}

/// Further scenarios in which that rule deleted a hung machine too late or never.
#[test]
fn hung_machines_are_deleted_though_the_others_of_their_zones_only_answer_probes() {
    let others = |n: usize| (0..n).map(|i| responsive("b", 20 + i as u64 % 280));
    let hanging = |n: usize| (0..n).map(|_| hung("b"));
    let with_heartbeats =
        |n: usize| (0..n).map(|i| responsive("b", 20).with_heartbeats(8_000 + i as u64 * 370, 2_000));
    let pair = |latency| scenario(vec![hung("b"), responsive("b", latency)]);
    let cases = vec![
        ("the process's own zone", scenario(vec![hung("a"), responsive("a", 20)])),
        // Answers from other zones suffice here.
        ("alone in the process's own zone", scenario(vec![hung("a"), responsive("b", 20)])),
        (
            "another zone sends heartbeats here",
            scenario(vec![hung("b"), responsive("b", 20), responsive("a", 20).with_heartbeats(8_000, 2_000)]),
        ),
        ("30 machines, probed in one scan", scenario(hanging(1).chain(others(29)).collect())),
        // Between two rounds of answers, only the machines with heartbeats had a recent contact.
        (
            "half of 30 hang, two send heartbeats here",
            scenario(hanging(15).chain(with_heartbeats(2)).chain(others(13)).collect()),
        ),
        ("lists are lost", Scenario { lost_lists: 2, cloud: 650, ..pair(20) }),
        ("reports every second", Scenario { report: 1_000, ..pair(20) }),
        // Three probes fit between two restarts of the silence, but the last contact with the other
        // machine was just before the first of them.
        ("reports every 5 s", Scenario { report: 5_000, ..pair(20) }),
        // The contact is after the first of these probes was sent, but the first restart discarded
        // the earlier evidence.
        ("reports every 5 s, slow answers", Scenario { report: 5_000, ..pair(300) }),
    ];
    let failures = failures(&cases);
    assert!(failures.is_empty(), "{} of {}:\n{}", failures.len(), cases.len(), failures.join("\n"));
}

/// The same for many start times, latencies and report intervals.
#[test]
fn a_hung_machine_is_deleted_at_every_phase_of_the_probes() {
    let mut failures: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for report in [1_000, 2_000, 3_000, 4_000, 5_000] {
        for latency in [5, 20, 60, 100, 200, 300] {
            for begins in (2_000..20_000).step_by(740) {
                for others in [1, 2, 29] {
                    let machines =
                        [hung("b")].into_iter().chain((0..others).map(|_| responsive("b", latency)));
                    let scenario = Scenario { report, begins, ..scenario(machines.collect()) };
                    *failures.entry((report, latency)).or_default() +=
                        failure(&scenario, &simulate(&scenario)).is_some() as usize;
                }
            }
        }
    }
    let failed: Vec<String> = failures
        .iter()
        .filter(|(_, n)| **n > 0)
        .map(|((report, latency), n)| {
            format!("reports every {report} ms, answers in {latency} ms: {n} of 75")
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// The counterpart without gaps between the contacts with a zone: the other machine sends its
/// heartbeats to this process, or its answers take as long as the time between two scans.
#[test]
fn a_hung_machine_is_deleted_if_contacts_with_its_zone_have_no_gaps() {
    for report in [1_000, 2_000, 3_000, 4_000, 5_000] {
        for begins in (2_000..20_000).step_by(740) {
            let with_heartbeats = responsive("b", 20).with_heartbeats(begins + 170, report);
            for other in [with_heartbeats, responsive("b", 200)] {
                let scenario = Scenario { report, begins, ..scenario(vec![hung("b"), other]) };
                assert_eq!(failure(&scenario, &simulate(&scenario)), None, "{scenario:?}");
            }
        }
    }
}

/// Each process probes 50 machines per scan in its own order, and heartbeats go to other
/// controllers. Machines that had answered and were due again were once probed first: a hung machine
/// was probed again after 6 or 7 s instead of 1 s, and three of its probes did not time out before
/// the deadline.
#[test]
fn three_processes_find_the_hung_machines_among_4000() {
    let machines = (0..4_000).map(|i| if i % 200 == 100 { hung("b") } else { responsive("b", 20) });
    let first = scenario(machines.collect());
    let mut deleted = BTreeSet::new();
    let mut probed: BTreeMap<usize, Vec<Vec<u64>>> = BTreeMap::new();
    for incarnation in [7, 8, 9] {
        let scenario = Scenario { incarnation, ..first.clone() };
        let outcome = simulate(&scenario);
        assert_eq!(outcome.wrongly_deleted(&scenario), Vec::<usize>::new());
        deleted.extend(outcome.deleted.into_keys());
        outcome.probed.into_iter().for_each(|(i, when)| probed.entry(i).or_default().push(when));
    }
    probed.retain(|i, _| !deleted.contains(i));
    let left: Vec<String> = probed.iter().map(|(i, when)| format!("{i}, probed at {when:?}")).collect();
    assert!(left.is_empty(), "{} of 20 left:\n{}", left.len(), left.join("\n"));
}

/// Machines of zone `b` that are partitioned from the process; zone `a` sends heartbeats.
fn partition(report: u64, machines: Vec<Machine>, partition: Range<u64>) -> Scenario {
    let machines = machines.into_iter().map(|m| m.with_outage(partition.clone()));
    let own = responsive("a", 20).with_heartbeats(8_000, report);
    Scenario { report, ..scenario(machines.chain([own]).collect()) }
}

/// `n` machines, of which every other one answers slowly, and the first `with_heartbeats` ones send
/// heartbeats.
fn mixed(n: usize, slow: u64, with_heartbeats: usize, report: u64) -> Vec<Machine> {
    let machine = |i: usize| {
        let m = responsive("b", if i.is_multiple_of(2) { slow } else { 20 });
        if i < with_heartbeats { m.with_heartbeats(8_000 + i as u64 * 371 % report, report) } else { m }
    };
    (0..n).map(machine).collect()
}

/// Guards against a zone that counts as reachable for seconds because of one contact: a contact
/// after the sending of a probe of another machine that the partition then swallows, or the first
/// contact after a partition that was too short to be detected.
#[test]
fn a_partition_that_begins_or_ends_within_a_round_of_probes_costs_no_working_machine() {
    let cases = vec![
        ("between a fast and a slow answer", partition(3_000, mixed(2, 100, 0, 3_000), 18_640..21_640)),
        ("the same, until the end", partition(3_000, mixed(2, 100, 0, 3_000), 18_640..DEADLINE)),
        ("the same, reports every 5 s", partition(5_000, mixed(30, 100, 0, 5_000), 16_440..25_440)),
        (
            "two seconds, a third sends heartbeats",
            partition(2_000, mixed(30, 300, 10, 2_000), 17_020..19_020),
        ),
        ("it ends before a third probe times out", partition(3_000, mixed(3, 300, 3, 3_000), 14_420..17_820)),
        ("it ends, answers are fast", partition(5_000, mixed(30, 20, 10, 5_000), 16_420..19_420)),
    ];
    let failures = failures(&cases);
    assert!(failures.is_empty(), "{} of {}:\n{}", failures.len(), cases.len(), failures.join("\n"));
}

/// Partitions that begin at every phase of a round of probes.
#[test]
fn a_partition_costs_no_working_machine_at_any_phase_of_the_probes() {
    let mut failures: BTreeMap<(u64, u64, usize), (usize, usize)> = BTreeMap::new();
    for (report, slow) in [(2_000, 20), (2_000, 300), (3_000, 100), (3_000, 300), (5_000, 20), (5_000, 100)] {
        for with_heartbeats in [0, 1, 3] {
            for length in [2_000, 3_000, 3_400, 6_000] {
                for from in (14_000..20_000).step_by(20) {
                    let scenario =
                        partition(report, mixed(3, slow, with_heartbeats, report), from..from + length);
                    let count = failures.entry((report, slow, with_heartbeats)).or_default();
                    count.0 += 1;
                    count.1 += failure(&scenario, &simulate(&scenario)).is_some() as usize;
                }
            }
        }
    }
    let failed: Vec<String> = failures
        .iter()
        .filter(|(_, (_, n))| *n > 0)
        .map(|((report, slow, with_heartbeats), (of, n))| {
            format!(
                "reports every {report} ms, slow answers in {slow} ms, {with_heartbeats} with heartbeats: {n} of {of}"
            )
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// A small zone of which no machine answers may be partitioned. Once that has lasted for longer than
/// a lease, no work can be lost with it, and its machines are deleted. Those of a larger zone never
/// are.
#[test]
fn machines_of_a_small_zone_are_kept_while_work_may_be_lost_with_them() {
    let own = || [responsive("a", 20), responsive("a", 20)];
    let zone = |n: usize, machine: Machine| scenario((0..n).map(|_| machine.clone()).chain(own()).collect());
    let partitioned = |outage: Range<u64>| responsive("b", 20).with_outage(outage);
    // (case, scenario, machines deleted)
    let cases = [
        ("one hangs", zone(1, hung("b")), 1),
        ("three hang", zone(3, hung("b")), 3),
        ("four hang", zone(4, hung("b")), 0),
        ("one is partitioned for a while", zone(1, partitioned(10_000..20_000)), 0),
        ("one is partitioned late", zone(1, partitioned(17_500..DEADLINE)), 0),
        ("three are partitioned for longer than a lease", zone(3, partitioned(10_000..28_900)), 3),
        ("four are partitioned for longer than a lease", zone(4, partitioned(10_000..28_900)), 0),
        ("no machine answers", scenario(vec![hung("b"), hung("c")]), 0),
    ];
    for (case, scenario, deleted) in cases {
        let outcome = simulate(&scenario);
        assert_eq!(outcome.deleted.len(), deleted, "{case}:\n{}", outcome.trace.join("\n"));
    }
}
