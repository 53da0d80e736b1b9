//! Jobs that depend on others: when they are released, in which order they are scheduled, and
//! how they are cancelled together.
use super::*;

impl Harness {
    /// Adds a job as `add_job` does, with dependencies and a deadline.
    fn add_dependent(
        &mut self,
        id: u64,
        priority: &str,
        tasks: u32,
        dependencies: &[u64],
        due_s: Option<f64>,
    ) {
        self.add_dependent_at(1_000_000, id, priority, tasks, dependencies, due_s);
    }

    fn add_dependent_at(
        &mut self,
        at: u64,
        id: u64,
        priority: &str,
        tasks: u32,
        needs: &[u64],
        due_s: Option<f64>,
    ) {
        let names: Vec<String> = needs.iter().map(|d| JobId(*d).to_string()).collect();
        let body = json!({"ref": JobId(id).to_string(), "lot": "l", "crew": "t", "manner": "array", "rank": priority,
            "pieces": tasks, "cpus": 2.0, "gpus": 0, "memory_gb": 1, "bundle": "i", "image_gb": 1,
            "same_place": false, "apart": false, "loaners": false, "guess_s": 10, "mark_s": 0, "stow_s": 0,
            "due_s": due_s, "awaits": names});
        let spec = gorseshore_protocol::users::parse_submission(body.to_string().as_bytes()).unwrap();
        self.apply_record(&keys::job(JobId(id)), job_value(&spec, at));
    }

    fn record_end(&mut self, id: u64, end: &str) {
        self.apply_record(&keys::end(JobId(id)), json!({"end": end, "at": 1_000_500}));
    }

    /// Applies a record to the state replica and the leader.
    fn apply_record(&mut self, key: &str, value: serde_json::Value) {
        self.state_replica.applied_revision += 1;
        let change = self.state_replica.apply(key, Some(&value), 100 + self.state_replica.applied_revision);
        let crate::jobs::Change::Job { id, cancelled } = change else { panic!("{change:?}") };
        for id in std::iter::once(id).chain(cancelled) {
            self.leader.job_changed(id, &self.state_replica, self.now);
        }
    }

    fn is_assigned(&self, id: u64) -> bool {
        self.attempt(task(id, 0)).is_some()
    }

    /// Replaces the leader by a new one over the same records.
    fn next_leader(&mut self) {
        let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
        self.leader = Leader::new(context(), TERM + 1, 500, &self.state_replica, &sizes, self.now, 1_000_000);
    }
}

#[test]
fn a_task_starts_only_when_all_dependencies_of_its_job_are_recorded_as_done() {
    // (ends recorded one after the other; whether the job's task is assigned after each)
    let cases: [&[(u64, &str, bool)]; 4] = [
        &[(1, "done", false), (2, "done", true)],
        &[(2, "done", false), (1, "done", true)],
        &[(1, "aborted", false), (2, "done", false)],
        &[(1, "done", false), (2, "aborted", false)],
    ];
    for case in cases {
        let mut b = Harness::new(1);
        b.confirm("m0", &[]);
        b.add_dependent(1, "standard", 1, &[], None);
        b.add_dependent(2, "standard", 1, &[], None);
        b.add_dependent(3, "standard", 1, &[1, 2], None);
        b.tick(30);
        assert!(b.is_assigned(1) && b.is_assigned(2) && !b.is_assigned(3));
        for (id, end, released) in case {
            b.record_end(*id, end);
            b.tick(30);
            assert_eq!(b.is_assigned(3), *released, "{case:?}");
        }
    }
}

/// An end that a leader saw but did not record releases no dependent job; the record does, also
/// for the next leader.
#[test]
fn a_report_of_the_last_task_releases_no_dependent_job() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_dependent(1, "standard", 1, &[], None);
    b.add_dependent(2, "standard", 1, &[1], None);
    b.tick(30);
    let attempt = b.attempt(task(1, 0)).unwrap();
    b.sync(A, &[], &[AssignmentOutcome { attempt, machine: Some(m("m0")) }]);
    let state = b.state("m0", b.token("m0"), &[(task(1, 0), attempt, TaskState::Done)]);
    b.sync(A, &[state], &[]);
    b.tick(100);
    assert!(b.leader.due_writes(&b.state_replica, 4000, b.now).contains(&LeaderWrite::JobDone(JobId(1))));
    assert!(!b.is_assigned(2), "its end is not recorded");
    b.next_leader();
    assert!(b.leader.jobs[&JobId(2)].unreleased);
    b.record_end(1, "done");
    b.next_leader();
    assert!(!b.leader.jobs[&JobId(2)].unreleased);
}

#[test]
fn a_job_inherits_the_urgency_of_its_dependents() {
    let mut b = Harness::new(0);
    b.add_dependent(1, "idle", 1, &[], None);
    b.add_dependent(2, "idle", 1, &[1], None);
    let urgency = |b: &Harness, id| b.leader.jobs[&JobId(id)].urgency;
    assert_eq!(urgency(&b, 1).priority, Priority::Low);
    // A dependent is submitted later; jobs before it are due earlier, the more so the more
    // jobs are in between.
    b.add_dependent(3, "high", 1, &[2], Some(100.0));
    assert_eq!((urgency(&b, 1).priority, urgency(&b, 2).priority), (Priority::High, Priority::High));
    assert!(urgency(&b, 1).due_ms < urgency(&b, 2).due_ms);
    assert!(urgency(&b, 2).due_ms < urgency(&b, 3).due_ms);
    assert_eq!(urgency(&b, 3).due_ms, 1_100_000);
    // A second dependent is due earlier, until it is cancelled.
    b.add_dependent(4, "prod", 1, &[2], Some(50.0));
    assert_eq!(urgency(&b, 1).priority, Priority::Production);
    assert!(urgency(&b, 2).due_ms < 1_050_000);
    b.record_end(4, "aborted");
    assert_eq!((urgency(&b, 1).priority, urgency(&b, 2).priority), (Priority::High, Priority::High));
    assert!(urgency(&b, 2).due_ms > 1_050_000);
}

/// Where the inherited priorities are equal, neither job may preempt the other.
#[test]
fn a_job_that_production_work_depends_on_is_not_preempted_by_production_work() {
    for needed in [false, true] {
        let mut b = Harness::new(1);
        b.confirm("m0", &[]);
        b.add_dependent(1, "idle", 4, &[], None);
        if needed {
            b.add_dependent(2, "prod", 1, &[1], None);
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
        b.add_job(9, 62, "t", "standing", "prod", 1, 8.0);
        b.tick(1000);
        assert_eq!(b.leader.pending_stops.is_empty(), needed, "needed by production work: {needed}");
    }
}

#[test]
fn waiting_counts_from_the_release_and_a_deadline_from_the_submission() {
    let mut b = Harness::new(0);
    b.add_dependent(1, "standard", 1, &[], None);
    b.add_dependent(2, "standard", 1, &[1], Some(60.0));
    b.add_dependent(3, "standard", 1, &[1], None);
    b.record_end(1, "done");
    b.tick(30);
    for id in [2, 3] {
        assert_eq!(b.leader.jobs[&JobId(id)].ready_ms, 1_000_500);
    }
    assert_eq!(b.leader.jobs[&JobId(2)].urgency.due_ms, 1_060_000);
}

/// A job that waits for others uses nothing of its team's share or limit, and its team gets no
/// fair-queue tag for it.
#[test]
fn a_job_that_waits_for_others_uses_no_share() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_dependent(1, "standard", 1, &[], None);
    b.tick(30);
    let one_assigned = b.leader.team_usage("t");
    b.add_dependent(2, "high", 50, &[1], None);
    b.tick(300);
    assert_eq!(b.leader.team_usage("t"), one_assigned);
    assert!(b.leader.queues.get(&Priority::High).is_none_or(|q| q.order().is_empty()));
}

#[test]
fn cancellations_of_dependent_jobs_are_recorded() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_dependent(1, "standard", 1, &[], None);
    for id in 2..5 {
        b.add_dependent(id, "standard", 1, &[id - 1], None);
    }
    b.record_end(1, "aborted");
    let wanted = |b: &Harness| {
        let writes = b.leader.due_writes(&b.state_replica, 4000, b.now);
        let with = |w: &LeaderWrite| matches!(w, LeaderWrite::CancelDependent(_));
        writes.into_iter().filter(with).collect::<Vec<_>>()
    };
    let all: Vec<LeaderWrite> = (2..5).map(|id| LeaderWrite::CancelDependent(JobId(id))).collect();
    assert_eq!(wanted(&b), all);
    // The next leader also wants to write them, until they are recorded.
    b.next_leader();
    assert_eq!(wanted(&b), all);
    b.apply_record(&keys::end(JobId(2)), json!({"end": "aborted", "at": 1_000_500, "gone": true}));
    assert_eq!(wanted(&b), all[1..]);
    b.tick(30);
    assert!(!(2..5).any(|id| b.is_assigned(id)));
}
