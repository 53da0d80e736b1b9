use super::*;
use gorseshore_protocol::ids::JobId;

const CANCEL: Micros = Micros::secs(100);
/// When the cancellation was confirmed to the client.
const CONFIRMED: Micros = Micros::secs(1000);

fn task(i: usize) -> (TaskId, Attempt) {
    (TaskId { job: JobId(1), index: i as u32 }, Attempt(9))
}

/// One task of a cancelled job on each machine. With `starting`, its start may not have arrived.
fn suspects(machines: usize, starting: bool) -> BTreeMap<MachineId, Suspect> {
    let suspect = |i: usize| {
        let starts = starting.then(|| task(i)).into_iter().collect();
        Suspect { deadline: CONFIRMED + CANCEL, evidence: Evidence::Placement { starts } }
    };
    (0..machines).map(|i| (MachineId::from(&*format!("m{i}")), suspect(i))).collect()
}

/// What a machine answers to a probe.
#[derive(Clone, Copy, PartialEq)]
enum Answer {
    Nothing,
    /// No task.
    Empty,
    /// The task, stopped.
    Stopped,
}
use Answer::*;

fn report(host: &str, answer: Answer) -> Report {
    let i: usize = host[1..].parse().unwrap();
    let (t, a) = task(i);
    let tasks = match answer {
        Stopped => vec![
            serde_json::json!({"piece": t.to_string(), "try": a.0, "stage": "exited", "cause": "halted"}),
        ],
        _ => Vec::new(),
    };
    serde_json::from_value(serde_json::json!({"host": host, "addr": "a", "build": "b", "yard": "z",
        "loaners": false, "shift": 1, "tally": 5, "baton": 7, "warning_s": null, "pieces": tasks}))
    .unwrap()
}

/// Runs the enforcer until 96 s after the confirmation. Returns how many machines were deleted by
/// 68 s and by the end. The cloud refuses deletions before `cloud_from` milliseconds.
fn run(n: usize, all: usize, starting: bool, answer: Answer, cloud_from: u64) -> (usize, usize) {
    let suspects = suspects(n, starting);
    let mut d = CancellationEnforcer::default();
    let (mut early, mut deleted) = (0, BTreeSet::new());
    for ms in (0..96_000).step_by(100) {
        let now = CONFIRMED + Micros::millis(ms);
        if !d.scan_due(now) {
            continue;
        }
        for action in d.tick(&suspects, CANCEL, all, now) {
            match action {
                EnforcementAction::Probe(ids) => {
                    assert!(ms >= 30_000, "probed at {ms} ms");
                    assert!(ids.len() <= MAX_PROBES_PER_SCAN);
                    for id in ids.iter().filter(|_| answer != Nothing) {
                        assert!(d.record_probe_response(&report(id.as_str(), answer), Vec::new()).is_none());
                    }
                }
                EnforcementAction::Delete(ids) => {
                    assert!(ms >= 65_000, "deleted at {ms} ms");
                    assert!(ids.len() <= MAX_NAMES_PER_DELETE);
                    let done = ms >= cloud_from;
                    d.record_deletion_result(&ids, Some(done), now);
                    if done {
                        ids.into_iter()
                            .for_each(|id| assert!(deleted.insert(id), "deleted twice at {ms} ms"));
                    }
                }
            }
        }
        if ms < 68_000 {
            early = deleted.len();
        }
    }
    (early, deleted.len())
}

#[test]
fn a_machine_that_does_not_prove_its_task_stopped_is_deleted_before_the_deadline() {
    // (machines with a task, machines in the fleet, whether starts may be in transit, what all
    // machines answer, from when on the cloud accepts deletions in milliseconds; machines deleted
    // by 68 s, and before the deadline)
    let cases = [
        (1, 40, false, Empty, 0, 0, 0),
        (1, 40, true, Empty, 0, 1, 1),
        // The reported attempt proves that the start is no longer in transit.
        (1, 40, true, Stopped, 0, 0, 0),
        (1, 40, false, Nothing, 0, 1, 1),
        (5, 40, false, Nothing, 0, 2, 5),
        (5, 200, false, Nothing, 0, 5, 5),
        // A zone, or the whole fleet: deletions beyond the budget are spread over the time left.
        (40, 40, false, Nothing, 0, 9, 40),
        (500, 2000, true, Nothing, 0, 142, 500),
        (2000, 2000, false, Nothing, 0, 282, 2000),
        // The cloud refuses deletions for 15 s from when they may begin, 35 s before the deadline.
        (40, 40, false, Nothing, 80_000, 0, 40),
    ];
    for (i, (n, all, starting, answer, cloud_from, early, in_time)) in cases.into_iter().enumerate() {
        assert_eq!(run(n, all, starting, answer, cloud_from), (early, in_time), "case {i}");
    }
}

/// With a short cancellation time and a large fleet of suspects, deletions begin as early as their
/// number requires.
#[test]
fn a_whole_fleet_is_deleted_before_the_deadline() {
    let cancel = Micros::millis(46_500);
    // (machines, milliseconds before the deadline at which deletions may begin)
    for (machines, earliest) in [(1_000, 16_275), (4_000, 19_825), (6_000, 27_825)] {
        let deadline = CONFIRMED + cancel;
        let mut suspects = suspects(machines, false);
        suspects.values_mut().for_each(|s| s.deadline = deadline);
        let (mut enforcer, mut deleted) = (CancellationEnforcer::default(), BTreeSet::new());
        for ms in (0..46_500).step_by(200) {
            let now = CONFIRMED + Micros::millis(ms);
            for action in enforcer.tick(&suspects, cancel, machines, now) {
                let EnforcementAction::Delete(ids) = action else { continue };
                assert!(46_500 - ms <= earliest, "{machines} machines: deleted at {ms} ms");
                enforcer.record_deletion_result(&ids, Some(true), now);
                deleted.extend(ids);
            }
        }
        assert_eq!(deleted.len(), machines);
    }
}

/// A machine deleted before it could answer a probe may have been healthy.
#[test]
fn no_machine_is_deleted_before_it_had_time_to_answer_a_probe() {
    let mut d = CancellationEnforcer::default();
    let late = CONFIRMED + CANCEL + Micros::secs(500);
    for ms in (0..1500).step_by(200) {
        for action in d.tick(&suspects(3, true), CANCEL, 40, late + Micros::millis(ms)) {
            assert!(matches!(action, EnforcementAction::Probe(_)), "{action:?} after {ms} ms");
        }
    }
    let actions = d.tick(&suspects(3, true), CANCEL, 40, late + PROBE_RETRY_INTERVAL);
    assert!(
        actions.iter().any(|a| matches!(a, EnforcementAction::Delete(ids) if ids.len() == 3)),
        "{actions:?}"
    );
}

#[test]
fn a_succession_of_short_terms_does_not_count_as_established_leadership() {
    let mut d = CancellationEnforcer::default();
    // (seconds, term; whether leadership is established)
    let steps = [(0, 1, false), (3, 1, false), (4, 1, true), (5, 2, false), (8, 3, false), (13, 3, true)];
    for (s, term, expected) in steps {
        assert_eq!(
            d.leadership_established(term, CONFIRMED + Micros::secs(s)),
            expected,
            "term {term} at {s} s"
        );
    }
}

/// The monotonic clock of a controller that restarts quickly begins after the cancellation. The
/// deadline was once computed as if the whole cancellation time began at the process start.
#[test]
fn the_deadline_does_not_depend_on_the_age_of_the_process() {
    // (seconds since the cancellation, the process's clock in seconds; seconds left, less one for
    // the difference between the clocks)
    for (ago, clock, left) in [(0, 1, 99), (30, 1, 69), (30, 5000, 69), (98, 1, 1), (99, 1, 0)] {
        let now = Micros::secs(clock);
        let deadline = cancellation_deadline(1_000_000, 1_000_000 + ago * 1000, CANCEL, now);
        assert_eq!(deadline.since(now), Micros::secs(left), "{ago} s ago, at {clock} s");
    }
    let long_over = cancellation_deadline(0, 10_000_000, CANCEL, Micros::secs(1));
    assert_eq!(long_over, Micros(0));
}

/// Three processes that hold the same placements.
struct ThreeProcesses {
    /// Machines with a task, of 200.
    with_task: usize,
    /// When each process runs, in milliseconds.
    life: [std::ops::Range<u64>; 3],
    /// The machines, by number, that prove to each process that no task is left there. No other
    /// machine answers.
    cleared: [std::ops::Range<usize>; 3],
}

/// Runs them. Returns how many machines were deleted in time, how many names each process sent,
/// and the highest number of machines deleted within any ten seconds.
fn run_three(of: &ThreeProcesses) -> (usize, [usize; 3], usize) {
    let suspects = suspects(of.with_task, false);
    let mut enforcers: Vec<CancellationEnforcer> = (1..=3).map(CancellationEnforcer::new).collect();
    let mut deleted: BTreeMap<MachineId, u64> = BTreeMap::new();
    let mut names = [0; 3];
    for ms in (0..96_000).step_by(10) {
        let now = CONFIRMED + Micros::millis(ms);
        for (i, enforcer) in enforcers.iter_mut().enumerate() {
            if !of.life[i].contains(&ms) || !enforcer.scan_due(now) {
                continue;
            }
            for action in enforcer.tick(&suspects, CANCEL, 200, now) {
                match action {
                    EnforcementAction::Probe(ids) => {
                        let clears =
                            |id: &&MachineId| of.cleared[i].contains(&id.as_str()[1..].parse().unwrap());
                        for id in ids.iter().filter(clears) {
                            enforcer.record_probe_response(&report(id.as_str(), Empty), Vec::new());
                        }
                    }
                    EnforcementAction::Delete(ids) => {
                        names[i] += ids.len();
                        enforcer.record_deletion_result(&ids, Some(true), now);
                        ids.into_iter().for_each(|id| {
                            deleted.entry(id).or_insert(ms);
                        });
                    }
                }
            }
        }
    }
    let in_10_s = |from: &u64| deleted.values().filter(|at| (*from..from + 10_000).contains(*at)).count();
    (deleted.len(), names, deleted.values().map(in_10_s).max().unwrap_or(0))
}

/// Processes that hold the same placements act at once without knowing each other's deletions.
/// With the same responses they name the same machines: every process names each machine, and
/// together they keep to one budget, which is ten machines in ten seconds here.
#[test]
fn three_processes_with_the_same_answers_keep_to_one_budget() {
    let none = || [0..0, 0..0, 0..0];
    // (when each acts; names sent by each)
    let cases = [
        ([60_000..96_000, 60_070..96_000, 60_130..96_000], [20, 20, 20]),
        ([60_000..96_000, 64_000..96_000, 68_000..96_000], [20, 20, 20]),
        // The first process exits; the next one begins with machines that are already deleted.
        ([60_000..70_000, 68_000..96_000, 96_000..96_000], [10, 20, 0]),
    ];
    for (life, names) in cases {
        let of = ThreeProcesses { with_task: 20, life, cleared: none() };
        let actual = run_three(&of);
        assert_eq!((actual.0, actual.1), (20, names), "{:?}", of.life);
        assert!(actual.2 <= 10, "{} machines in ten seconds: {:?}", actual.2, of.life);
    }
}
