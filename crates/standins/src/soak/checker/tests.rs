use super::*;

fn facts() -> JobFacts {
    JobFacts {
        tasks: 2,
        cpus: 1.0,
        team: "t".into(),
        service: false,
        spot: false,
        zone: None,
        spread: false,
        after: Vec::new(),
    }
}

fn request(operation: Operation, status: u16, stage: &str, sent: u64) -> Request {
    let answered = sent + 1_000;
    Request { job: 1, operation, sent, answered, status, stage: stage.into() }
}

fn task(index: u32, machine: &str, change: TaskChange, at: u64) -> TaskEvent {
    TaskEvent { at, task: (1, index), machine: machine.into(), zone: "east".into(), spot: false, change }
}

/// A history without violations: a job is accepted, runs and is done.
fn valid_history() -> History {
    use TaskChange::{Began, Completed};
    let s = 1_000_000;
    History {
        jobs: BTreeMap::from([(1, facts())]),
        requests: vec![
            request(Operation::Submit, 201, "queued", s),
            request(Operation::Poll, 503, "", 3 * s),
            request(Operation::Poll, 200, "done", 9 * s),
            request(Operation::Poll, 200, "done", 80 * s),
        ],
        tasks: vec![
            task(0, "a", Began, 2 * s),
            task(1, "a", Began, 2 * s),
            task(0, "a", Completed, 4 * s),
            task(1, "a", Completed, 4 * s),
        ],
        faults_ended: 5 * s,
        ended: 120 * s,
    }
}

fn guarantees() -> Guarantees {
    Guarantees { cancel_us: 30_000_000, limits: BTreeMap::from([("t".into(), 2.0)]) }
}

#[test]
fn each_rule_detects_its_injected_violation() {
    use TaskChange::{Began, Left};
    const S: u64 = 1_000_000;
    assert_eq!(check(&valid_history(), &guarantees()), Vec::new());
    type Mutation = fn(&mut History);
    let mutations: [(&str, Mutation); 16] = [
        ("ran_twice", |h| h.tasks.insert(2, task(0, "b", Began, 3 * S))),
        ("quota", |h| h.jobs.get_mut(&1).unwrap().cpus = 1.5),
        ("wrong_place", |h| h.jobs.get_mut(&1).unwrap().zone = Some("west".into())),
        ("wrong_place", |h| h.tasks[0].spot = true),
        ("wrong_place", |h| h.jobs.get_mut(&1).unwrap().spread = true),
        ("ran_cancelled", |h| {
            h.requests = vec![
                request(Operation::Submit, 201, "queued", S),
                request(Operation::Cancel, 200, "aborted", 3 * S),
                request(Operation::Poll, 200, "aborted", 70 * S),
            ];
            h.tasks[2] = task(0, "a", Left, 40 * S);
        }),
        ("ran_cancelled", |h| {
            h.requests = vec![
                request(Operation::Submit, 201, "queued", S),
                request(Operation::Cancel, 200, "aborted", 3 * S),
                request(Operation::Poll, 200, "aborted", 70 * S),
            ];
            h.tasks.truncate(1);
        }),
        ("forgotten", |h| h.requests[3].status = 404),
        ("forgotten", |h| h.requests.push(request(Operation::Submit, 422, "", 90 * S))),
        ("forgotten", |h| h.requests.truncate(2)),
        ("invented", |h| h.requests.push(Request { job: 7, ..request(Operation::Poll, 200, "queued", S) })),
        ("not_done", |h| h.tasks.truncate(3)),
        ("went_back", |h| h.requests[3].stage = "running".into()),
        ("went_back", |h| h.requests[3].stage = "aborted".into()),
        ("too_early", |h| {
            h.jobs.insert(2, JobFacts { tasks: 1, ..facts() });
            h.jobs.get_mut(&1).unwrap().after = vec![2];
        }),
        ("waiting", |h| {
            h.tasks.clear();
            h.requests[2].stage = "queued".into();
            h.requests[3].stage = "queued".into();
        }),
    ];
    for (i, (rule, mutate)) in mutations.into_iter().enumerate() {
        let mut history = valid_history();
        mutate(&mut history);
        let found = check(&history, &guarantees());
        assert!(found.iter().any(|v| v.rule == rule), "mutation {i}, {rule}: {found:?}");
    }
    let mut history = valid_history();
    history.jobs.insert(2, JobFacts { after: vec![1], ..facts() });
    history.requests = vec![
        request(Operation::Submit, 201, "queued", S),
        request(Operation::Cancel, 200, "aborted", 3 * S),
        Request { job: 2, ..request(Operation::Poll, 200, "queued", 20 * S) },
        request(Operation::Poll, 200, "aborted", 70 * S),
    ];
    history.tasks.clear();
    let found = check(&history, &guarantees());
    assert!(found.iter().any(|v| v.rule == "orphaned"), "{found:?}");
}
