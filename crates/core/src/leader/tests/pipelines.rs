//! Jobs that depend on others: when they are released, in which order they are served,
//! and how they are cancelled together.
use super::*;

impl Bench {
    /// Adds a job like `job` does, with dependencies and a deadline.
    fn stage(&mut self, id: u64, rank: &str, tasks: u32, dependencies: &[u64], due_s: Option<f64>) {
        self.staged_at(1_000_000, id, rank, tasks, dependencies, due_s);
    }

    fn staged_at(&mut self, at: u64, id: u64, rank: &str, tasks: u32, needs: &[u64], due_s: Option<f64>) {
        let names: Vec<String> = needs.iter().map(|d| JobId(*d).to_string()).collect();
        let body = json!({"ref": JobId(id).to_string(), "lot": "l", "crew": "t", "manner": "array", "rank": rank,
            "pieces": tasks, "cpus": 2.0, "gpus": 0, "memory_gb": 1, "bundle": "i", "image_gb": 1,
            "same_place": false, "apart": false, "loaners": false, "guess_s": 10, "mark_s": 0, "stow_s": 0,
            "due_s": due_s, "awaits": names});
        let spec = gorseshore_protocol::users::parse_submission(body.to_string().as_bytes()).unwrap();
        self.record(&keys::job(JobId(id)), job_value(&spec, at));
    }

    fn end(&mut self, id: u64, end: &str) {
        self.record(&keys::end(JobId(id)), json!({"end": end, "at": 1_000_500}));
    }

    /// A record as the replica and the leader see it.
    fn record(&mut self, key: &str, value: serde_json::Value) {
        self.ledger.applied_revision += 1;
        let change = self.ledger.apply(key, Some(&value), 100 + self.ledger.applied_revision);
        let crate::jobs::Change::Job { id, cancelled } = change else { panic!("{change:?}") };
        for id in std::iter::once(id).chain(cancelled) {
            self.leader.job_changed(id, &self.ledger, self.now);
        }
    }

    fn handed(&self, id: u64) -> bool {
        self.attempt(task(id, 0)).is_some()
    }

    /// Another leader over the same records, ready to hand out.
    fn next_leader(&mut self) {
        let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
        self.leader = Leader::new(context(), TERM + 1, 500, &self.ledger, &sizes, self.now, 1_000_000);
    }
}

#[test]
fn a_task_starts_only_when_all_that_its_job_needs_is_recorded_as_done() {
    // (ends recorded one after the other; whether the job is handed out after each)
    let cases: [&[(u64, &str, bool)]; 4] = [
        &[(1, "done", false), (2, "done", true)],
        &[(2, "done", false), (1, "done", true)],
        &[(1, "aborted", false), (2, "done", false)],
        &[(1, "done", false), (2, "aborted", false)],
    ];
    for case in cases {
        let mut b = Bench::new(1);
        b.confirm("m0", &[]);
        b.stage(1, "standard", 1, &[], None);
        b.stage(2, "standard", 1, &[], None);
        b.stage(3, "standard", 1, &[1, 2], None);
        b.tick(30);
        assert!(b.handed(1) && b.handed(2) && !b.handed(3));
        for (id, end, released) in case {
            b.end(*id, end);
            b.tick(30);
            assert_eq!(b.handed(3), *released, "{case:?}");
        }
    }
}

/// What one leader saw done and did not record releases nothing; its record does, also
/// for the next one.
#[test]
fn a_report_of_the_last_task_releases_nothing() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.stage(1, "standard", 1, &[], None);
    b.stage(2, "standard", 1, &[1], None);
    b.tick(30);
    let attempt = b.attempt(task(1, 0)).unwrap();
    b.sync(A, &[], &[AssignmentOutcome { attempt, machine: Some(m("m0")) }]);
    let state = b.state("m0", b.token("m0"), &[(task(1, 0), attempt, TaskState::Done)]);
    b.sync(A, &[state], &[]);
    b.tick(100);
    assert!(b.leader.writes(&b.ledger, 4000, b.now).contains(&LeaderWrite::JobDone(JobId(1))));
    assert!(!b.handed(2), "its end is not on record");
    b.next_leader();
    assert!(b.leader.jobs[&JobId(2)].held);
    b.end(1, "done");
    b.next_leader();
    assert!(!b.leader.jobs[&JobId(2)].held);
}

#[test]
fn a_job_is_served_by_the_urgency_of_those_after_it() {
    let mut b = Bench::new(0);
    b.stage(1, "idle", 1, &[], None);
    b.stage(2, "idle", 1, &[1], None);
    let urgency = |b: &Bench, id| b.leader.jobs[&JobId(id)].urgency;
    assert_eq!(urgency(&b, 1).priority, Priority::Low);
    // The last job comes late; what is before it waits for less long the deeper it is.
    b.stage(3, "high", 1, &[2], Some(100.0));
    assert_eq!((urgency(&b, 1).priority, urgency(&b, 2).priority), (Priority::High, Priority::High));
    assert!(urgency(&b, 1).due_ms < urgency(&b, 2).due_ms);
    assert!(urgency(&b, 2).due_ms < urgency(&b, 3).due_ms);
    assert_eq!(urgency(&b, 3).due_ms, 1_100_000);
    // A second one is due sooner, until it is cancelled.
    b.stage(4, "prod", 1, &[2], Some(50.0));
    assert_eq!(urgency(&b, 1).priority, Priority::Production);
    assert!(urgency(&b, 2).due_ms < 1_050_000);
    b.end(4, "aborted");
    assert_eq!((urgency(&b, 1).priority, urgency(&b, 2).priority), (Priority::High, Priority::High));
    assert!(urgency(&b, 2).due_ms > 1_050_000);
}

/// Neither may stop the other where the inherited priorities are equal.
#[test]
fn a_job_that_production_work_needs_is_not_stopped_for_production_work() {
    for needed in [false, true] {
        let mut b = Bench::new(1);
        b.confirm("m0", &[]);
        b.stage(1, "idle", 4, &[], None);
        if needed {
            b.stage(2, "prod", 1, &[1], None);
        }
        b.tick(30);
        let mut tasks = Vec::new();
        for index in 0..4 {
            let attempt = b.attempt(task(1, index)).unwrap();
            b.sync(A, &[], &[AssignmentOutcome { attempt, machine: Some(m("m0")) }]);
            tasks.push((task(1, index), attempt, TaskState::Running));
        }
        let state = b.state("m0", b.token("m0"), &tasks);
        b.sync(A, &[state], &[]);
        b.job(9, 62, "t", "standing", "prod", 1, 8.0);
        b.tick(1000);
        assert_eq!(b.leader.stops.is_empty(), needed, "needed by production work: {needed}");
    }
}

#[test]
fn waiting_counts_from_the_release_and_a_deadline_from_the_submission() {
    let mut b = Bench::new(0);
    b.stage(1, "standard", 1, &[], None);
    b.stage(2, "standard", 1, &[1], Some(60.0));
    b.stage(3, "standard", 1, &[1], None);
    b.end(1, "done");
    b.tick(30);
    for id in [2, 3] {
        assert_eq!(b.leader.jobs[&JobId(id)].ready_ms, 1_000_500);
    }
    assert_eq!(b.leader.jobs[&JobId(2)].urgency.due_ms, 1_060_000);
}

/// A job that waits takes nothing of its team's share or limit, and its team no tag.
#[test]
fn a_job_that_waits_for_others_holds_nothing() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.stage(1, "standard", 1, &[], None);
    b.tick(30);
    let one_handed = b.leader.team_usage("t");
    b.stage(2, "high", 50, &[1], None);
    b.tick(300);
    assert_eq!(b.leader.team_usage("t"), one_handed);
    assert!(b.leader.queues.get(&Priority::High).is_none_or(|q| q.order().is_empty()));
}

#[test]
fn jobs_cancelled_with_others_are_recorded_at_leisure() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.stage(1, "standard", 1, &[], None);
    for id in 2..5 {
        b.stage(id, "standard", 1, &[id - 1], None);
    }
    b.end(1, "aborted");
    let wanted = |b: &Bench| {
        let writes = b.leader.writes(&b.ledger, 4000, b.now);
        let with = |w: &LeaderWrite| matches!(w, LeaderWrite::CancelDependent(_));
        writes.into_iter().filter(with).collect::<Vec<_>>()
    };
    let all: Vec<LeaderWrite> = (2..5).map(|id| LeaderWrite::CancelDependent(JobId(id))).collect();
    assert_eq!(wanted(&b), all);
    // Also by the next leader, until it is on record.
    b.next_leader();
    assert_eq!(wanted(&b), all);
    b.record(&keys::end(JobId(2)), json!({"end": "aborted", "at": 1_000_500, "gone": true}));
    assert_eq!(wanted(&b), all[1..]);
    b.tick(30);
    assert!(!(2..5).any(|id| b.handed(id)));
}
