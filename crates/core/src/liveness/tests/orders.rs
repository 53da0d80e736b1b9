//! The monitor and the deputy together, where heartbeats, probes, lists and ticks come at chosen
//! moments.
//!
//! All times are milliseconds since users heard that a job is cancelled. A tick comes every 20 ms
//! from when nobody is left who knows the placements until the deadline, so that the process is on
//! time; a probe is the deputy's own and is answered after the machine's latency, or counts as not
//! answered after 1.2 s.
use super::*;
use crate::deputy::{Act, Deputy};
use std::ops::Range;

mod trouble;

const CANCEL: u64 = 30_000;
/// A second is kept for the difference between the clocks (`deputy::gone_by`).
const DEADLINE: u64 = CANCEL - 1_000;
const LEASE: Micros = Micros::secs(12);
const TICK: u64 = 20;
const PROBE_TIMEOUT: u64 = 1_200;
const TOLD: Micros = Micros::secs(1_000);

fn at(ms: u64) -> Micros {
    TOLD + Micros::millis(ms)
}

/// A machine, and when it does what.
#[derive(Debug, Clone)]
struct Machine {
    zone: &'static str,
    /// From a probe to its answer.
    latency: u64,
    /// When it answers nothing; what is on its way then is lost.
    silent: Range<u64>,
    /// Further times at which it is cut off.
    cuts: Vec<Range<u64>>,
    /// It answers no probe, but sends its heartbeats.
    deaf: bool,
    /// When it sends a heartbeat to this process.
    beats: Vec<u64>,
}

/// A machine that answers every probe, and sends its heartbeats to others.
fn answers(zone: &'static str, latency: u64) -> Machine {
    Machine { zone, latency, silent: 0..0, cuts: Vec::new(), deaf: false, beats: Vec::new() }
}

/// A machine that hangs for good.
fn hangs(zone: &'static str) -> Machine {
    Machine { silent: 0..u64::MAX, ..answers(zone, 20) }
}

impl Machine {
    /// With heartbeats to this process from some time on.
    fn with_beats(mut self, from: u64, interval: u64) -> Self {
        self.beats = (from..DEADLINE).step_by(interval as usize).collect();
        self
    }

    fn with_silence(mut self, silent: Range<u64>) -> Self {
        self.silent = silent;
        self
    }

    /// Whether what is under way at these times arrives.
    fn is_up(&self, from: u64, to: u64) -> bool {
        let during = |silent: &Range<u64>| to >= silent.start && from < silent.end;
        !during(&self.silent) && !self.cuts.iter().any(during)
    }
}

/// An order of events.
#[derive(Debug, Clone)]
struct Order {
    machines: Vec<Machine>,
    report: u64,
    /// When nobody is left who knows the placements.
    begins: u64,
    /// How long the cloud takes.
    cloud: u64,
    /// So many lists are lost first.
    lost_lists: u32,
    /// The number of the process.
    process: u64,
    /// The process stands still: how often, and for how long.
    stalls: Option<(u64, u64)>,
}

/// An order for a process in zone `a` that begins well before it may delete machines.
fn order(machines: Vec<Machine>) -> Order {
    Order { machines, report: 2_000, begins: 10_000, cloud: 20, lost_lists: 0, process: 7, stalls: None }
}

/// What comes at some moment.
enum Event {
    List,
    Heartbeat(usize),
    /// The answer to a probe that was sent at that time.
    Answer(usize, u64),
    Unanswered(usize, u64),
    Deleted(Vec<MachineId>),
}

/// What came of an order.
#[derive(Debug, Default)]
struct Outcome {
    /// When machines were deleted.
    deleted: BTreeMap<usize, u64>,
    /// When machines were asked that hang for good.
    asked: BTreeMap<usize, Vec<u64>>,
    /// How it went, look by look.
    looks: Vec<String>,
}

impl Outcome {
    /// Machines that hang for good and were not deleted.
    fn left(&self, order: &Order) -> Vec<usize> {
        let hung = |i: &usize| order.machines[*i].silent.end == u64::MAX;
        (0..order.machines.len()).filter(hung).filter(|i| !self.deleted.contains_key(i)).collect()
    }

    /// Machines that don't hang for good and were deleted.
    fn lost(&self, order: &Order) -> Vec<usize> {
        self.deleted.keys().copied().filter(|i| order.machines[*i].silent.end != u64::MAX).collect()
    }
}

fn name(i: usize) -> MachineId {
    MachineId::from(&*format!("m{i:04}"))
}

fn number(id: &MachineId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

fn play(order: &Order) -> Outcome {
    let mut outcome = Outcome::default();
    let mut monitor = LivenessMonitor::new("a", Micros::millis(order.report), LEASE, at(order.begins));
    let mut deputy = Deputy::new(order.process);
    let rentals: Vec<Rental> = order.machines.iter().enumerate().map(|(i, m)| rental_of(i, m)).collect();
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    for (i, m) in order.machines.iter().enumerate() {
        for beat in m.beats.iter().filter(|t| m.is_up(**t, **t)) {
            events.entry(*beat).or_default().push(Event::Heartbeat(i));
        }
    }
    let mut lost_lists = order.lost_lists;
    let mut messages = 0;
    for ms in order.begins..DEADLINE {
        let now = at(ms);
        if order.stalls.is_some_and(|(every, length)| (ms - order.begins) % every >= every - length) {
            let late = events.remove(&ms).unwrap_or_default();
            events.entry(ms + 1).or_default().splice(0..0, late);
            continue;
        }
        for event in events.remove(&ms).unwrap_or_default() {
            match event {
                Event::List if lost_lists > 0 => {
                    lost_lists -= 1;
                    monitor.listed(None, now);
                }
                Event::List => monitor.listed(Some((&rentals, false)), now),
                // As `Node::watches_liveness`.
                Event::Heartbeat(_) | Event::Answer(..) if monitor.listed_count() == 0 => {}
                Event::Heartbeat(i) => monitor.heartbeat(name(i), next_message(&mut messages), true, now),
                Event::Answer(i, sent) => {
                    monitor.answered(name(i), next_message(&mut messages), true, at(sent), now);
                }
                Event::Unanswered(i, sent) => monitor.unanswered(&name(i), at(sent), now),
                Event::Deleted(ids) => {
                    deputy.deleted(&ids, Some(true), now);
                    ids.iter().for_each(|id| monitor.deleted(id));
                }
            }
        }
        if !(ms - order.begins).is_multiple_of(TICK) {
            continue;
        }
        monitor.works(now);
        if monitor.list_due(now).is_some() {
            monitor.list_sent();
            events.entry(ms + order.cloud).or_default().push(Event::List);
        }
        if !deputy.due(now) {
            continue;
        }
        let suspects = monitor.suspects(at(DEADLINE), now);
        let mut acts = Vec::new();
        for act in deputy.tick(&suspects, Micros::millis(CANCEL), monitor.listed_count(), now) {
            match act {
                Act::Ask(ids) => {
                    for i in ids.iter().map(number) {
                        let m = &order.machines[i];
                        let answer = ms + m.latency;
                        if m.silent.end == u64::MAX {
                            outcome.asked.entry(i).or_default().push(ms);
                        }
                        let (when, event) = if m.is_up(ms, answer) && !m.deaf && m.latency < PROBE_TIMEOUT {
                            (answer, Event::Answer(i, ms))
                        } else {
                            (ms + PROBE_TIMEOUT, Event::Unanswered(i, ms))
                        };
                        events.entry(when).or_default().push(event);
                        acts.push(format!("asks {i}"));
                    }
                }
                Act::Delete(ids) => {
                    for i in ids.iter().map(number) {
                        outcome.deleted.entry(i).or_insert(ms);
                        acts.push(format!("deletes {i}"));
                    }
                    events.entry(ms + order.cloud).or_default().push(Event::Deleted(ids));
                }
            }
        }
        if order.machines.len() <= 10 {
            outcome.looks.push(look(&monitor, order, ms, &acts));
        }
    }
    outcome
}

/// Numbers rise throughout: no message here is a copy.
fn next_message(messages: &mut u64) -> HeartbeatSeq {
    *messages += 1;
    HeartbeatSeq { agent_epoch: 1, sequence: *messages }
}

fn rental_of(i: usize, m: &Machine) -> Rental {
    Rental { name: name(i).to_string(), zone: m.zone.into(), state: "running".into(), ..rental(i) }
}

/// What the monitor knew after a look.
fn look(monitor: &LivenessMonitor, order: &Order, ms: u64, acts: &[String]) -> String {
    let machines = (0..order.machines.len()).map(|i| match monitor.observations.get(&name(i)) {
        Some(seen) => {
            let heard = seen.heard.map(|heard| at(ms).since(heard.at).0 / 1_000);
            format!("{i}: heard {heard:?} ms ago, {:?}", seen.unanswered)
        }
        None => format!("{i}: unknown"),
    });
    let machines: Vec<String> = machines.collect();
    format!("{ms:6} {} | {:?} | {}", machines.join("; "), monitor.zones, acts.join(", "))
}

/// By when a machine that hangs is gone where its zone is heard all the time: a list, four probes
/// a second apart and a look or two after the beginning, but not before the deputy may delete.
fn limit(order: &Order) -> u64 {
    let listed = (order.lost_lists as u64 + 1) * (order.cloud + 600);
    19_000.max(order.begins + listed + 5_000)
}

/// What went wrong in an order, if anything did.
fn fault(order: &Order, outcome: &Outcome) -> Option<String> {
    let left = outcome.left(order);
    if !left.is_empty() {
        return Some(format!("{} that hang are never deleted: {left:?}", left.len()));
    }
    let lost = outcome.lost(order);
    if !lost.is_empty() {
        return Some(format!("{} that work are deleted: {:?}", lost.len(), outcome.deleted));
    }
    // Where many hang, the deputy's pace decides.
    let late = outcome.deleted.values().copied().max();
    let late = late.filter(|ms| outcome.deleted.len() == 1 && *ms > limit(order));
    late.map(|ms| format!("deleted too late, at {ms} instead of {}", limit(order)))
}

/// Plays what goes wrong, one line each.
fn faults(cases: &[(&str, Order)]) -> Vec<String> {
    let found = cases.iter().filter_map(|(what, order)| Some((what, fault(order, &play(order))?)));
    found.map(|(what, fault)| format!("{what}: {fault}")).collect()
}

/// The shortest order: two machines, of which one hangs and the other answers every probe in
/// 20 ms, but sends its heartbeats elsewhere. It is probed only once it was not heard for
/// `probe_after`, and at that very look nobody of its zone was heard for so long: the zone is
/// blocked, and the silence of the one that hangs counts anew.
///
/// | ms | event |
/// |---|---|
/// | 10 200 | both are asked |
/// | 10 220 | 1 answers, and is not asked again before 3 s are over |
/// | 11 400, 12 400 | two probes of 0 are not answered |
/// | 13 400 | the third one is not; 1 was heard 3 180 ms ago: the zone is blocked, 1 is asked |
/// | 16 600, 19 800, 23 000, 26 200 | the same, before a third probe of 0 |
#[test]
fn a_machine_that_hangs_goes_though_the_other_one_is_heard_by_its_answers_to_probes_alone() {
    let order = order(vec![hangs("b"), answers("b", 20)]);
    let outcome = play(&order);
    let fault = fault(&order, &outcome);
    assert!(fault.is_none(), "{}\n{}", fault.unwrap_or_default(), outcome.looks.join("\n"));
}

/// Further orders in which a machine that hangs stays, or goes too late.
#[test]
fn machines_that_hang_go_though_their_zones_are_heard_by_answers_to_probes_alone() {
    let others = |n: usize| (0..n).map(|i| answers("b", 20 + i as u64 % 280));
    let hanging = |n: usize| (0..n).map(|_| hangs("b"));
    let beating = |n: usize| (0..n).map(|i| answers("b", 20).with_beats(8_000 + i as u64 * 370, 2_000));
    let pair = |latency| order(vec![hangs("b"), answers("b", latency)]);
    let cases = vec![
        ("the process's own zone", order(vec![hangs("a"), answers("a", 20)])),
        // Here what is heard of other zones would do.
        ("alone in the process's own zone", order(vec![hangs("a"), answers("b", 20)])),
        (
            "another zone sends heartbeats here",
            order(vec![hangs("b"), answers("b", 20), answers("a", 20).with_beats(8_000, 2_000)]),
        ),
        ("30 machines, asked at one look", order(hanging(1).chain(others(29)).collect())),
        // In the gaps between the answers, `MAX_SILENT_PER_HEARD` counts those with heartbeats only.
        (
            "half of 30 hang, two send heartbeats here",
            order(hanging(15).chain(beating(2)).chain(others(13)).collect()),
        ),
        ("lists are lost", Order { lost_lists: 2, cloud: 650, ..pair(20) }),
        ("reports every second", Order { report: 1_000, ..pair(20) }),
        // The time between two gaps is long enough for three probes, but all that time the other
        // machine was last heard just before the first of them (`answers_since(.., since)`).
        ("reports every 5 s", Order { report: 5_000, ..pair(20) }),
        // It is heard after the first of them was sent, but the first gap undid what was seen before.
        ("reports every 5 s, slow answers", Order { report: 5_000, ..pair(300) }),
    ];
    let faults = faults(&cases);
    assert!(faults.is_empty(), "{} of {}:\n{}", faults.len(), cases.len(), faults.join("\n"));
}

/// The same at many phases: the moment of the beginning, the latency, the interval of reports.
#[test]
fn a_machine_that_hangs_goes_at_every_phase_of_the_probes() {
    let mut faults: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for report in [1_000, 2_000, 3_000, 4_000, 5_000] {
        for latency in [5, 20, 60, 100, 200, 300] {
            for begins in (2_000..20_000).step_by(740) {
                for others in [1, 2, 29] {
                    let machines = [hangs("b")].into_iter().chain((0..others).map(|_| answers("b", latency)));
                    let order = Order { report, begins, ..order(machines.collect()) };
                    *faults.entry((report, latency)).or_default() +=
                        fault(&order, &play(&order)).is_some() as usize;
                }
            }
        }
    }
    let failed: Vec<String> = faults
        .iter()
        .filter(|(_, n)| **n > 0)
        .map(|((report, latency), n)| {
            format!("reports every {report} ms, answers in {latency} ms: {n} of 75")
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// What shows that it is the gaps: one machine that sends its heartbeats here fills them, and so
/// do answers that take as long as the time between two looks.
#[test]
fn a_machine_that_hangs_goes_where_the_other_one_is_heard_without_gaps() {
    for report in [1_000, 2_000, 3_000, 4_000, 5_000] {
        for begins in (2_000..20_000).step_by(740) {
            let beats = answers("b", 20).with_beats(begins + 170, report);
            for other in [beats, answers("b", 200)] {
                let order = Order { report, begins, ..order(vec![hangs("b"), other]) };
                assert_eq!(fault(&order, &play(&order)), None, "{order:?}");
            }
        }
    }
}

/// Each process asks 50 machines at a look, in an order of its own, and heartbeats go elsewhere.
/// Here no zone is blocked: a machine that hangs is asked again after 6 or 7 s instead of 1 s,
/// since those that answered and are due once more are asked before it, and three probes in vain
/// are not reached in time.
#[test]
fn three_processes_find_the_machines_that_hang_among_4000() {
    let machines = (0..4_000).map(|i| if i % 200 == 100 { hangs("b") } else { answers("b", 20) });
    let first = order(machines.collect());
    let mut deleted = BTreeSet::new();
    let mut asked: BTreeMap<usize, Vec<Vec<u64>>> = BTreeMap::new();
    for process in [7, 8, 9] {
        let order = Order { process, ..first.clone() };
        let outcome = play(&order);
        assert_eq!(outcome.lost(&order), Vec::<usize>::new());
        deleted.extend(outcome.deleted.into_keys());
        outcome.asked.into_iter().for_each(|(i, when)| asked.entry(i).or_default().push(when));
    }
    asked.retain(|i, _| !deleted.contains(i));
    let left: Vec<String> = asked.iter().map(|(i, when)| format!("{i}, asked at {when:?}")).collect();
    assert!(left.is_empty(), "{} of 20 left:\n{}", left.len(), left.join("\n"));
}

/// Machines of zone `b` that a cut separates from the process; zone `a` sends heartbeats.
fn cut(report: u64, machines: Vec<Machine>, cut: Range<u64>) -> Order {
    let machines = machines.into_iter().map(|m| m.with_silence(cut.clone()));
    let own = answers("a", 20).with_beats(8_000, report);
    Order { report, ..order(machines.chain([own]).collect()) }
}

/// `n` machines, every other one of which answers slowly, and the first of which send heartbeats.
fn mixed(n: usize, slow: u64, beating: usize, report: u64) -> Vec<Machine> {
    let machine = |i: usize| {
        let m = answers("b", if i.is_multiple_of(2) { slow } else { 20 });
        if i < beating { m.with_beats(8_000 + i as u64 * 371 % report, report) } else { m }
    };
    (0..n).map(machine).collect()
}

/// One that was heard after a probe of another one was sent that the cut swallows, proves for the
/// next seconds that the zone answers. Likewise the first that is heard after the end of a cut
/// that was too short to block the zone.
#[test]
fn a_cut_that_begins_or_ends_inside_a_round_of_probes_costs_no_machine_that_works() {
    let cases = vec![
        ("between a fast and a slow answer", cut(3_000, mixed(2, 100, 0, 3_000), 18_640..21_640)),
        ("the same, for good", cut(3_000, mixed(2, 100, 0, 3_000), 18_640..DEADLINE)),
        ("the same, reports every 5 s", cut(5_000, mixed(30, 100, 0, 5_000), 16_440..25_440)),
        ("two seconds, a third sends heartbeats", cut(2_000, mixed(30, 300, 10, 2_000), 17_020..19_020)),
        ("it ends before a third probe is given up", cut(3_000, mixed(3, 300, 3, 3_000), 14_420..17_820)),
        ("it ends, answers are fast", cut(5_000, mixed(30, 20, 10, 5_000), 16_420..19_420)),
    ];
    let faults = faults(&cases);
    assert!(faults.is_empty(), "{} of {}:\n{}", faults.len(), cases.len(), faults.join("\n"));
}

/// Cuts that begin at every phase of a round of probes.
#[test]
fn a_cut_costs_no_machine_that_works_at_any_phase_of_the_probes() {
    let mut faults: BTreeMap<(u64, u64, usize), (usize, usize)> = BTreeMap::new();
    for (report, slow) in [(2_000, 20), (2_000, 300), (3_000, 100), (3_000, 300), (5_000, 20), (5_000, 100)] {
        for beating in [0, 1, 3] {
            for length in [2_000, 3_000, 3_400, 6_000] {
                for from in (14_000..20_000).step_by(20) {
                    let order = cut(report, mixed(3, slow, beating, report), from..from + length);
                    let seen = faults.entry((report, slow, beating)).or_default();
                    seen.0 += 1;
                    seen.1 += fault(&order, &play(&order)).is_some() as usize;
                }
            }
        }
    }
    let failed: Vec<String> = faults
        .iter()
        .filter(|(_, (_, n))| *n > 0)
        .map(|((report, slow, beating), (of, n))| {
            format!("reports every {report} ms, slow answers in {slow} ms, {beating} beating: {n} of {of}")
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// A zone of a few machines of which none answers may be cut off. Once that has lasted for longer
/// than a lease, no work can be lost with it, and its machines go; a larger zone is spared.
#[test]
fn a_zone_of_a_few_machines_is_spared_for_as_long_as_work_may_be_lost_with_it() {
    let own = || [answers("a", 20), answers("a", 20)];
    let zone = |n: usize, machine: Machine| order((0..n).map(|_| machine.clone()).chain(own()).collect());
    let cut_off = |silent: Range<u64>| answers("b", 20).with_silence(silent);
    // The order, and how many machines are deleted.
    let cases = [
        ("one hangs", zone(1, hangs("b")), 1),
        ("three hang", zone(3, hangs("b")), 3),
        ("four hang", zone(4, hangs("b")), 0),
        ("one is cut off for a while", zone(1, cut_off(10_000..20_000)), 0),
        ("one is cut off late", zone(1, cut_off(17_500..DEADLINE)), 0),
        ("three are cut off for longer than a lease", zone(3, cut_off(10_000..28_900)), 3),
        ("four are cut off for longer than a lease", zone(4, cut_off(10_000..28_900)), 0),
        ("nobody answers", order(vec![hangs("b"), hangs("c")]), 0),
    ];
    for (what, order, deleted) in cases {
        let outcome = play(&order);
        assert_eq!(outcome.deleted.len(), deleted, "{what}:\n{}", outcome.looks.join("\n"));
    }
}
