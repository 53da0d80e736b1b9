//! Tests of the dependency graph, from tables of edges and recorded ends.
use super::*;

/// A change of the graph.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A job that depends on others.
    Add(u64, &'static [u64]),
    Done(u64),
    Cancelled(u64),
}
use Step::{Add, Cancelled, Done};

/// Returns the graph after the steps, and all jobs that were cancelled through dependencies.
fn apply_steps(steps: &[Step]) -> (DependencyGraph, Vec<u64>) {
    let mut graph = DependencyGraph::default();
    let mut ends: BTreeMap<JobId, Outcome> = BTreeMap::new();
    let mut cancelled = Vec::new();
    for step in steps {
        let cancelled_by_step = match step {
            Add(job, dependencies) => {
                let ids: Vec<JobId> = dependencies.iter().copied().map(JobId).collect();
                graph.add(JobId(*job), &ids, |id| ends.get(&id).copied().unwrap_or_default())
            }
            Done(job) => {
                ends.insert(JobId(*job), Outcome::Done);
                graph.record_outcome(JobId(*job), Outcome::Done)
            }
            Cancelled(job) => {
                ends.insert(JobId(*job), Outcome::Cancelled);
                graph.record_outcome(JobId(*job), Outcome::Cancelled)
            }
        };
        for id in &cancelled_by_step {
            ends.insert(*id, Outcome::Cancelled);
        }
        cancelled.extend(cancelled_by_step.into_iter().map(|id| id.0));
    }
    (graph, cancelled)
}

const DIAMOND: [Step; 3] = [Add(2, &[1]), Add(3, &[1]), Add(4, &[2, 3])];

#[test]
fn a_job_is_released_when_all_its_dependencies_are_done() {
    // (steps, job, released)
    let cases: [(&[Step], u64, bool); 10] = [
        (&[], 1, true),
        (&[Add(2, &[1])], 1, true),
        (&[Add(2, &[1])], 2, false),
        (&[Add(2, &[1]), Done(1)], 2, true),
        // The dependency is done before it is added.
        (&[Done(1), Add(2, &[1])], 2, true),
        (&[Add(3, &[1, 2]), Done(1)], 3, false),
        (&[Add(3, &[1, 2]), Done(1), Done(1)], 3, false),
        (&[Add(3, &[1, 2]), Done(1), Done(2)], 3, true),
        // The same dependency is added twice, as happens when a record is read again.
        (&[Add(2, &[1, 1]), Add(2, &[1]), Done(1)], 2, true),
        (&[Add(2, &[1]), Cancelled(1)], 2, false),
    ];
    for (steps, job, released) in cases {
        assert_eq!(apply_steps(steps).0.is_released(JobId(job)), released, "{steps:?}: {job}");
    }
}

#[test]
fn cancellation_follows_dependencies() {
    let after = |steps: &[Step]| [&DIAMOND[..], steps].concat();
    // (steps, jobs cancelled through dependencies)
    let cases: [(Vec<Step>, &[u64]); 8] = [
        (after(&[Cancelled(1)]), &[2, 3, 4]),
        (after(&[Cancelled(2)]), &[4]),
        (after(&[Cancelled(2), Cancelled(1)]), &[4, 3]),
        (after(&[Done(1), Cancelled(3)]), &[4]),
        (after(&[Cancelled(4)]), &[]),
        (after(&[Done(1), Done(2), Done(3), Done(4)]), &[]),
        // The dependency is cancelled, directly or through another, before it is added.
        (vec![Cancelled(1), Add(2, &[1]), Add(3, &[2])], &[2, 3]),
        // Job 2's own recorded end takes precedence over the cancellation of its dependency.
        (after(&[Done(2), Cancelled(1)]), &[3, 4]),
    ];
    for (steps, expected) in cases {
        assert_eq!(apply_steps(&steps).1, expected, "{steps:?}");
    }
}

#[test]
fn a_long_chain_and_a_wide_fan_out_are_cancelled_completely() {
    let mut graph = DependencyGraph::default();
    let open = |_: JobId| Outcome::Open;
    for i in 1..1000 {
        graph.add(JobId(i), &[JobId(i - 1)], open);
        graph.add(JobId(10_000 + i), &[JobId(0)], open);
    }
    assert_eq!(graph.record_outcome(JobId(0), Outcome::Cancelled).len(), 2 * 999);
}

#[test]
fn a_job_with_unread_dependency_records_is_not_released() {
    let mut graph = DependencyGraph::default();
    graph.set_incomplete(JobId(2), true);
    assert!(!graph.is_released(JobId(2)));
    graph.set_incomplete(JobId(2), false);
    assert!(graph.is_released(JobId(2)));
}

#[test]
fn urgency_is_inherited_from_dependents() {
    let urgency = |priority, due_ms, deadline| Urgency {
        priority,
        due_ms,
        latest_ms: 2 * due_ms,
        has_user_deadline: deadline,
    };
    let no_deadline_ms = u64::MAX / 4;
    // (own, dependent's, combined), where the dependent takes 10 ms
    let cases = [
        (
            urgency(Priority::Low, no_deadline_ms, false),
            urgency(Priority::High, 100, true),
            Urgency { priority: Priority::High, due_ms: 90, latest_ms: 190, has_user_deadline: true },
        ),
        (
            urgency(Priority::High, 50, true),
            urgency(Priority::Low, 100, true),
            Urgency { priority: Priority::High, due_ms: 50, latest_ms: 100, has_user_deadline: true },
        ),
        (
            urgency(Priority::Normal, 80, false),
            urgency(Priority::Low, 90, false),
            Urgency { priority: Priority::Normal, due_ms: 80, latest_ms: 160, has_user_deadline: false },
        ),
        (
            urgency(Priority::Low, 95, true),
            urgency(Priority::Production, 100, true),
            Urgency { priority: Priority::Production, due_ms: 90, latest_ms: 190, has_user_deadline: true },
        ),
    ];
    for (own, dependent, combined) in cases {
        assert_eq!(own.inherit(&dependent, 10), combined, "{own:?} {dependent:?}");
    }
}
