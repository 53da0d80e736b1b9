use super::*;

const OWN: NodeId = NodeId(0);

/// Seconds on the clock of this process, or a duration in seconds.
fn s(seconds: u64) -> Micros {
    Micros::secs(seconds)
}

/// The knowledge of a process among `nodes` that started at second 1 and, if it is not `None`, last
/// read the state at second `read_at`.
fn knowledge(nodes: usize, read_at: Option<u64>) -> CancellationKnowledge {
    let mut knowledge = CancellationKnowledge::new(OWN, nodes, s(1));
    read_at.into_iter().for_each(|t| knowledge.record_state_read(s(t)));
    knowledge
}

#[test]
fn a_renewed_lease_ends_in_time_for_every_unknown_cancellation() {
    // (lease, cancellation time, known until, now, allowed)
    let cases = [
        (14, 34, None, 0, false),
        (14, 34, None, 1_000, false),
        (14, 34, Some(100), 100, true),
        (14, 34, Some(100), 119, true),
        (14, 34, Some(100), 120, false),
        (31, 61, Some(100), 129, true),
        (31, 61, Some(100), 130, false),
        (36, 40, Some(100), 103, true),
        (36, 40, Some(100), 104, false),
    ];
    for (lease, cancel_timeout, known_until, now, allowed) in cases {
        let knowledge = knowledge(3, known_until);
        let case = format!("{lease} {cancel_timeout} {known_until:?} {now}");
        assert_eq!(knowledge.allows_renewal(s(now), s(lease), s(cancel_timeout)), allowed, "{case}");
        let ends_at = known_until.map(|t| s(t + cancel_timeout));
        assert!(!allowed || ends_at.is_some_and(|end| s(now) + s(lease) < end), "{case}");
    }
}

#[test]
fn knowledge_never_moves_back() {
    let mut knowledge = knowledge(3, None);
    for (until, expected) in [(5, 5), (3, 5), (9, 9)] {
        knowledge.record_state_read(s(until));
        assert_eq!(knowledge.known_until(), Some(s(expected)));
    }
}

/// A report, in seconds: sender, time of the request, age of the sender's memory, age of its
/// knowledge.
type Report = (u8, u64, u64, Option<u64>);

/// Guards against contact that counts as knowledge: only a majority each of which remembers all since
/// what this process knew moves its knowledge on.
#[test]
fn a_majority_that_remembers_the_gap_moves_knowledge_on() {
    // (case, controllers, last read, reports that arrive at second 120, known until)
    let cases: [(&str, usize, Option<u64>, &[Report], Option<u64>); 16] = [
        ("no report", 3, Some(100), &[], Some(100)),
        ("one of two others", 3, Some(100), &[(1, 120, 500, None)], Some(120)),
        ("one of four others", 5, Some(100), &[(1, 120, 500, None)], Some(100)),
        ("two of four", 5, Some(100), &[(1, 118, 500, None), (2, 120, 500, None)], Some(118)),
        ("the same twice", 5, Some(100), &[(1, 118, 500, None), (1, 120, 500, None)], Some(100)),
        ("two of six", 7, Some(100), &[(1, 118, 500, None), (2, 120, 500, None)], Some(100)),
        ("restarted in the gap", 3, Some(100), &[(1, 120, 10, None)], Some(100)),
        ("restarted just before the gap", 3, Some(100), &[(1, 120, 22, None)], Some(100)),
        ("restarted before", 3, Some(100), &[(1, 120, 23, None)], Some(120)),
        ("restarted, and told", 3, Some(100), &[(1, 120, 10, Some(7))], Some(120)),
        ("restarted, told of too little", 3, Some(100), &[(1, 120, 10, Some(9))], Some(111)),
        ("restarted, told by this process", 3, Some(100), &[(1, 120, 10, Some(20))], Some(100)),
        ("knows by itself", 5, Some(100), &[(1, 120, 500, Some(3))], Some(117)),
        ("nothing known here", 3, None, &[(1, 120, 500, None)], None),
        ("nothing known here, told", 3, None, &[(1, 120, 500, Some(3))], Some(120)),
        ("older than the clock", 3, None, &[(1, 120, 500, Some(121))], None),
    ];
    for (case, nodes, read_at, reports, expected) in cases {
        let mut knowledge = knowledge(nodes, read_at);
        for (from, requested_at, memory_age, known_until_age) in reports {
            let report = ReportedKnowledge {
                requested_at: s(*requested_at),
                memory_age: s(*memory_age),
                known_until_age: known_until_age.map(s),
            };
            knowledge.record_report(NodeId(*from), report, s(120));
        }
        knowledge.advance_by_majority(s(120));
        assert_eq!(knowledge.known_until(), expected.map(s), "{case}");
    }
}

/// Guards against what the previous process of this controller confirmed just before its end.
#[test]
fn a_restarted_process_counts_itself_only_once_it_knows_what_preceded_it() {
    // (known until, start, known until after a report of the other controller at second 60)
    for (known_until, started_at, expected) in [(50, 49, 50), (50, 48, 50), (50, 47, 60), (50, 51, 50)] {
        let mut knowledge = CancellationKnowledge::new(OWN, 3, s(started_at));
        knowledge.record_state_read(s(known_until));
        let report = ReportedKnowledge { requested_at: s(60), memory_age: s(500), known_until_age: None };
        knowledge.record_report(NodeId(1), report, s(60));
        assert_eq!(knowledge.known_until(), Some(s(expected)), "{known_until} {started_at}");
    }
}

#[test]
fn a_single_controller_needs_no_other() {
    let mut knowledge = knowledge(1, Some(100));
    knowledge.advance_by_majority(s(120));
    assert_eq!(knowledge.known_until(), Some(s(120)));
}
