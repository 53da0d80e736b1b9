//! Leader: binding and release of tasks, deletion of machines, limits, rentals, cancellations.
mod late_starts;
mod lateness;
mod limits;
mod task_assignments;

use super::*;
use crate::jobs::{job_value, keys};
use crate::peer::TaskStatus;
use serde_json::json;

mod pipelines;

const TERM: u64 = 3;
/// A leader that ticks at this interval is not behind.
const ON_TIME_MS: u64 = 200;
const A: NodeId = NodeId(0);
const B: NodeId = NodeId(1);

fn context() -> LeaderConfig {
    let team = |name: &str, cpus: f64, max: f64| Team {
        name: name.into(),
        cpus,
        cpus_max: max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    LeaderConfig {
        node_id: A,
        names: vec!["n0".into(), "n1".into()],
        zones: vec!["east".into(), "east".into()],
        operator: Operator::default(),
        teams: vec![team("t", 0.0, 0.0), team("tight", 0.0, 4.0), team("owner", 4.0, 0.0)],
        objectives: Vec::new(),
        worker_lease: Micros::secs(12),
        report_interval: Micros::secs(2),
        cancel_timeout: Micros::secs(30),
        list_lag: Micros::secs(5),
        cloud_rps: 10.0,
    }
}

fn m(id: &str) -> MachineId {
    MachineId::from(id)
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), index }
}

/// A leader over recorded machines `m0`, `m1`, …, with both controllers in contact.
struct Harness {
    state_replica: StateReplica,
    leader: Leader,
    now: Micros,
    seq: [u64; 2],
    incarnation: [u64; 2],
}

impl Harness {
    fn new(machines: usize) -> Self {
        let mut state_replica = StateReplica::default();
        for i in 0..machines {
            let v = json!({"t": "big", "z": "east", "s": false, "a": format!("addr{i}")});
            state_replica.apply(&keys::machine(&m(&format!("m{i}"))), Some(&v), 1);
        }
        let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
        let now = Micros::secs(100);
        let leader = Leader::new(context(), TERM, 50, &state_replica, &sizes, now, 1_000_000);
        let mut b = Harness { state_replica, leader, now, seq: [0; 2], incarnation: [5, 6] };
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
        b.tick(1);
        b
    }

    #[allow(clippy::too_many_arguments)]
    /// Adds a job whose record has revision `revision` (the leader's key has 50).
    fn add_job(
        &mut self,
        id: u64,
        revision: u64,
        team: &str,
        kind: &str,
        priority: &str,
        tasks: u32,
        cpus: f64,
    ) {
        let body = json!({"ref": JobId(id).to_string(), "lot": "l", "crew": team, "manner": kind, "rank": priority,
            "pieces": tasks, "cpus": cpus, "gpus": 0, "memory_gb": 1, "bundle": "i", "image_gb": 1,
            "same_place": false, "apart": false, "loaners": false, "guess_s": 10, "mark_s": 0, "stow_s": 0});
        let spec = gorseshore_protocol::users::parse_submission(body.to_string().as_bytes()).unwrap();
        self.state_replica.apply(&keys::job(JobId(id)), Some(&job_value(&spec, 1_000_000)), revision);
        self.leader.job_changed(JobId(id), &self.state_replica, self.now);
    }

    /// Changes a job's record, which gets revision `revision`.
    fn edit_job(&mut self, id: u64, revision: u64, edit: impl Fn(&mut JobSpec)) {
        let mut spec = JobSpec::clone(self.state_replica.jobs[&JobId(id)].spec.as_ref().unwrap());
        edit(&mut spec);
        self.state_replica.apply(&keys::job(JobId(id)), Some(&job_value(&spec, 1_000_000)), revision);
        self.leader.job_changed(JobId(id), &self.state_replica, self.now);
    }

    /// Applies the failure records that the leader wants to write.
    fn save_failures(&mut self, revision: u64) {
        for w in self.leader.due_writes(&self.state_replica, 4000, self.now) {
            if let LeaderWrite::FailureCounts(id, chunk) = w {
                let v = json!(self.leader.failures(id, chunk).unwrap());
                self.state_replica.apply(&keys::failures(id, chunk), Some(&v), revision);
                self.leader.job_changed(id, &self.state_replica, self.now);
            }
        }
    }

    /// Lets an assigned task start and fail; its attempt.
    fn fail_task(&mut self, id: u64, index: u32) -> Attempt {
        let a = self.attempt(task(id, index)).expect("assigned");
        self.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
        // The failure is reported twice, the first time under an older token, which leaves
        // the known tasks unchanged.
        let token = self.token("m0");
        let reports =
            [(token, TaskState::Running), (FencingToken(0), TaskState::Failed), (token, TaskState::Failed)];
        for (seen, state) in reports {
            let s = self.state("m0", seen, &[(task(id, index), a, state)]);
            self.sync(A, &[s], &[]);
        }
        let s = self.state("m0", token, &[]);
        self.sync(A, &[s], &[]);
        // The machine's own failures are not under test here.
        if let Some(m) = self.leader.machines.get_mut(&m("m0")) {
            (m.draining, m.failures) = (None, 0);
        }
        a
    }

    /// Passes half seconds in which the machine and both controllers send their messages without changes.
    fn pass_idle(&mut self, halves: u32) {
        for _ in 0..halves {
            self.tick(500);
            let s = self.state("m0", self.token("m0"), &[]);
            self.sync(A, &[s], &[]);
            self.sync(B, &[], &[]);
        }
        self.tick(30);
    }

    /// Passes time for a leader that ticks on time.
    fn tick(&mut self, ms: u64) {
        let mut left = ms;
        while left > ON_TIME_MS {
            self.late_tick(ON_TIME_MS);
            left -= ON_TIME_MS;
        }
        self.late_tick(left);
    }

    /// Passes time without a tick of the leader, then one tick.
    fn late_tick(&mut self, ms: u64) {
        self.now = self.now + Micros::millis(ms);
        self.leader.needs_scheduling = true;
        self.leader.tick(&self.state_replica, self.now);
    }

    fn sync(&mut self, from: NodeId, machines: &[MachineState], outcomes: &[AssignmentOutcome]) {
        let i = from.0 as usize;
        self.seq[i] += 1;
        let view = SyncView {
            seq: self.seq[i],
            base: 0,
            acked_update: 0,
            machines,
            contacts: &[],
            unleased_reports: &[],
            outcomes,
        };
        self.leader.apply_sync(from, self.incarnation[i], &view, &self.state_replica, self.now);
    }

    fn state(&self, id: &str, seen: FencingToken, tasks: &[(TaskId, Attempt, TaskState)]) -> MachineState {
        MachineState {
            id: m(id),
            fencing_token: self.leader.machines[&m(id)].fencing_token,
            seen_fencing_token: seen,
            last_report: HeartbeatSeq { agent_epoch: 1, sequence: self.now.0 },
            acknowledges_commands: true,
            last_contact_age: Some(Micros(0)),
            preemption_notice: None,
            needs_new_fencing_token: false,
            tasks: tasks.iter().map(|(t, a, s)| TaskStatus { task: *t, attempt: *a, state: *s }).collect(),
        }
    }

    fn token(&self, id: &str) -> FencingToken {
        self.leader.machines[&m(id)].fencing_token
    }

    /// The holder reports the machine under its current token, with these tasks.
    fn confirm(&mut self, id: &str, tasks: &[(TaskId, Attempt, TaskState)]) {
        let s = self.state(id, self.token(id), tasks);
        let holder = self.leader.machines[&m(id)].holder.unwrap();
        self.sync(holder, &[s], &[]);
    }

    fn attempt(&self, t: TaskId) -> Option<Attempt> {
        self.leader.jobs.get(&t.job)?.bound.get(&t.index).map(|b| b.attempt)
    }
}

#[test]
fn a_task_is_released_only_on_proof() {
    let t = task(1, 0);
    type Step = fn(&mut Harness, Attempt);
    // (what happens after the assignment of the only task, whether the task is then released)
    let cases: [(&str, Step, bool); 11] = [
        ("nothing", |_, _| {}, false),
        ("never started", |b, a| b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: None }]), true),
        (
            "started; a heartbeat under the current token does not list it",
            |b, a| {
                b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
                b.confirm("m0", &[]);
            },
            true,
        ),
        (
            "started, outcome of the start unknown",
            |b, a| {
                b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
                b.confirm("m0", &[(task(1, 0), a, TaskState::Starting)]);
            },
            false,
        ),
        (
            "a heartbeat under an older token does not list it",
            |b, a| {
                b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
                b.leader.grant(&m("m0"), A, "test", b.now);
                let s = b.state("m0", FencingToken(0), &[]);
                b.sync(A, &[s], &[]);
            },
            false,
        ),
        (
            "its controller restarts",
            |b, _| {
                b.incarnation[0] += 1;
                b.sync(A, &[], &[]);
            },
            false,
        ),
        (
            "its controller restarts and the machine sends a heartbeat under the next token",
            |b, _| {
                b.incarnation[0] += 1;
                b.sync(A, &[], &[]);
                b.tick(1);
                b.confirm("m0", &[]);
            },
            true,
        ),
        (
            "its controller restarts and the machine reports it",
            |b, a| {
                b.incarnation[0] += 1;
                b.sync(A, &[], &[]);
                b.tick(1);
                b.confirm("m0", &[(task(1, 0), a, TaskState::Running)]);
            },
            false,
        ),
        ("its machine is deleted", |b, _| b.leader.deletion_confirmed(&[m("m0")], b.now), true),
        (
            "a deletion that the cloud did not confirm",
            |b, _| {
                b.leader.delete(&m("m0"), "test", b.now);
                b.leader.deletion_unconfirmed(&[m("m0")], b.now);
            },
            false,
        ),
        (
            "an outcome from its controller's earlier process",
            |b, a| {
                b.incarnation[0] += 1;
                b.sync(A, &[], &[]);
                let outcomes = [AssignmentOutcome { attempt: a, machine: None }];
                let view = SyncView {
                    seq: 99,
                    base: 0,
                    acked_update: 0,
                    machines: &[],
                    contacts: &[],
                    unleased_reports: &[],
                    outcomes: &outcomes,
                };
                b.leader.apply_sync(A, 5, &view, &b.state_replica, b.now);
            },
            false,
        ),
    ];
    for (case, step, free) in cases {
        let mut b = Harness::new(1);
        b.confirm("m0", &[]);
        b.add_job(1, 60, "t", "array", "standard", 1, 4.0);
        b.tick(30);
        let a = b.attempt(t).expect("assigned");
        step(&mut b, a);
        assert_eq!(b.attempt(t).is_none(), free, "{case}");
    }
}

#[test]
fn earlier_jobs_wait_for_machines_without_a_heartbeat() {
    // (revision of the job's record, its CPUs, whether m0 sent a heartbeat, whether it is assigned)
    let cases = [
        (40, 4.0, false, false),
        (40, 4.0, true, true),
        // Recorded after the leader's key: no earlier leader knew the job.
        (60, 4.0, false, true),
        // The machine without a heartbeat could not hold it, nor could any other.
        (40, 9.0, false, false),
    ];
    for (revision, cpus, contacted, expected) in cases {
        let mut b = Harness::new(2);
        b.confirm("m1", &[]);
        if contacted {
            b.confirm("m0", &[]);
        }
        b.add_job(1, revision, "t", "array", "standard", 1, cpus);
        b.tick(30);
        assert_eq!(b.attempt(task(1, 0)).is_some(), expected, "{revision} {cpus} {contacted}");
    }
}

#[test]
fn limits_count_bound_tasks_and_guarantees_preempt_borrowers() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(1, 60, "tight", "array", "standard", 3, 2.0);
    b.tick(30);
    let bound = |b: &Harness| b.leader.jobs[&JobId(1)].bound.len();
    assert_eq!(bound(&b), 2, "4 CPUs of 2 each");
    let a0 = b.attempt(task(1, 0)).unwrap();
    b.sync(A, &[], &[AssignmentOutcome { attempt: a0, machine: None }]);
    b.tick(30);
    assert_eq!(bound(&b), 2, "one is released, another is assigned");

    // A team whose demand is within its guarantee gets its CPUs back from a borrower.
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(1, 60, "t", "array", "high", 2, 4.0);
    b.tick(30);
    let on: Vec<_> =
        (0..2).map(|i| (task(1, i), b.attempt(task(1, i)).unwrap(), TaskState::Running)).collect();
    let outcomes: Vec<AssignmentOutcome> =
        on.iter().map(|(_, a, _)| AssignmentOutcome { attempt: *a, machine: Some(m("m0")) }).collect();
    let s = b.state("m0", b.token("m0"), &on);
    b.sync(A, &[s], &outcomes);
    b.add_job(2, 61, "owner", "array", "idle", 2, 4.0);
    b.tick(30);
    assert_eq!(b.leader.pending_stops.len(), 1, "4 CPUs are guaranteed, not 8");
    b.tick(30);
    assert_eq!(b.leader.pending_stops.len(), 1, "no other task is stopped while the first ends");
}

#[test]
fn a_cancelled_task_that_can_not_be_stopped_is_deleted_with_its_machine() {
    for (seconds, deleted) in [(10, false), (20, true)] {
        let mut b = Harness::new(1);
        b.confirm("m0", &[]);
        b.add_job(1, 60, "t", "standing", "prod", 1, 4.0);
        b.tick(30);
        assert!(b.attempt(task(1, 0)).is_some());
        b.state_replica.apply(&keys::end(JobId(1)), Some(&json!({"end": "aborted", "at": 1_000_000})), 70);
        b.leader.job_changed(JobId(1), &b.state_replica, b.now);
        b.now = b.now + Micros::secs(seconds);
        b.leader.stop_cancelled(&b.state_replica, b.now);
        assert_eq!(b.leader.machines[&m("m0")].stage == Stage::Deleting, deleted, "{seconds} s");
    }
}

/// `A` holds `m0` and `m1`, and `m0` falls silent: whether `m0` is deleted after each of
/// `check_after` seconds. `receiver` says which controller receives the heartbeat of `m1` in a
/// given second.
fn m0_deleted(receiver: impl Fn(u64) -> Option<NodeId>, check_after: &[u64]) -> Vec<bool> {
    let mut b = Harness::new(2);
    for id in ["m0", "m1"] {
        b.leader.grant(&m(id), A, "test", b.now);
        b.confirm(id, &[]);
    }
    // Neither controller is in the machines' zone.
    b.leader.config.zones = vec!["west".into(), "west".into()];
    let mut actual = Vec::new();
    for second in 1..=check_after.iter().copied().max().unwrap_or(0) {
        b.tick(1000);
        let s = b.state("m1", b.token("m1"), &[]);
        for n in [A, B] {
            let states = if receiver(second) == Some(n) { vec![s.clone()] } else { Vec::new() };
            b.sync(n, &states, &[]);
        }
        if check_after.contains(&second) {
            actual.push(b.leader.machines[&m("m0")].stage == Stage::Deleting);
        }
    }
    actual
}

/// A partition looks as if one machine after the other failed. Two grown days lost half their
/// replicas to deletions of live machines.
#[test]
fn a_machine_is_dead_only_if_its_holder_receives_heartbeats_of_a_neighbour() {
    // (who receives m1's heartbeats while m0 is silent, whether m0 is deleted after 7 s, after 30 s)
    let cases = [
        ("its holder, which holds both", Some(A), [true, true]),
        ("another controller, over another network path", Some(B), [false, true]),
        ("no controller: the zone may be partitioned", None, [false, false]),
    ];
    for (case, receiver, deleted) in cases {
        let actual = m0_deleted(|_| receiver, &[7, 30]);
        assert_eq!(actual, deleted, "receiver of m1's heartbeats: {case}");
    }
}

/// The first heartbeat after a partition was taken for proof that all other machines of the zone
/// are dead: a fleet day lost 301 live machines in that moment.
#[test]
fn the_end_of_a_partition_deletes_no_machine() {
    // (who receives m1's heartbeats from second 41 on, when the partition has ended; whether m0 is
    // deleted 2 s, 4 s and 30 s after second 40)
    for (receiver, deleted) in [(A, [false, false, true]), (B, [false, false, true])] {
        let actual = m0_deleted(|second| (second > 40).then_some(receiver), &[42, 44, 70]);
        assert_eq!(actual, deleted, "receiver of m1's heartbeats: {receiver:?}");
    }
}

/// A new leader does not know what became of the tasks of a job that was cancelled before; a
/// day lost fifty machines beyond a partition to that. A recorded proof that no task is left
/// keeps the machines.
#[test]
fn a_completed_cancellation_deletes_no_machine() {
    for settled in [false, true] {
        let mut b = Harness::new(1);
        b.add_job(1, 40, "t", "standing", "prod", 1, 4.0);
        let end = json!({"end": "aborted", "at": 1_000_000, "gone": settled});
        b.state_replica.apply(&keys::end(JobId(1)), Some(&end), 45);
        let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
        // No controller is in the machine's zone, so its silence may be a partition.
        let away = LeaderConfig { zones: vec!["west".into(), "west".into()], ..context() };
        b.leader = Leader::new(away, TERM + 1, 80, &b.state_replica, &sizes, b.now, 1_000_000);
        for _ in 0..25 {
            b.tick(1000);
            b.sync(A, &[], &[]);
            b.sync(B, &[], &[]);
        }
        let deleted = b.leader.machines[&m("m0")].stage == Stage::Deleting;
        assert_eq!(deleted, !settled, "settled: {settled}");
    }
}

/// A team's backlog beyond its limit can't start, so no machine is rented for it: a grown world
/// rented three times the machines it needed and returned them idle.
#[test]
fn no_machine_is_rented_for_tasks_beyond_a_limit() {
    let flavors = [Flavor {
        name: "big".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        image_cache_gb: 10.0,
        image_pull_gb_per_s: 1.0,
        hourly_price: 1.0,
        spot_price: None,
        boot_s: 10.0,
        zones: vec!["east".into()],
    }];
    // (jobs as team, tasks, CPUs; tasks that may start)
    let cases: [(&[(&str, u32, f64)], u32); 4] = [
        (&[("t", 10, 2.0)], 10),
        (&[("tight", 10, 2.0)], 2),
        (&[("tight", 1, 2.0), ("tight", 10, 1.0), ("tight", 3, 3.0)], 3),
        (&[("tight", 1, 3.0), ("tight", 1, 2.0), ("t", 1, 8.0)], 2),
    ];
    for (jobs, expected) in cases {
        let mut b = Harness::new(0);
        let mut demands = Vec::new();
        for (i, (team, tasks, cpus)) in jobs.iter().enumerate() {
            b.add_job(1 + i as u64, 60, team, "array", "standard", *tasks, *cpus);
            let spec = b.leader.jobs[&JobId(1 + i as u64)].spec.clone();
            demands.push(Demand {
                spec,
                pending_tasks: *tasks,
                starved: false,
                on_demand_allowed: false,
                zones: BTreeMap::new(),
            });
        }
        b.leader.cap_demand_to_team_limits(&mut demands);
        assert_eq!(demands.iter().map(|d| d.pending_tasks).sum::<u32>(), expected, "{jobs:?}");
    }
    // The same by the rentals: tasks of 40 CPUs wait, 4 CPUs may be used.
    let mut b = Harness::new(0);
    b.add_job(1, 60, "tight", "array", "standard", 20, 2.0);
    b.leader.plan_scale_out(&flavors, b.now);
    let rented: u32 = b.leader.scale_out_requests.values().map(|(r, ..)| r.count).sum();
    assert_eq!(rented, 1);
}

/// A failure of a task with bounded attempts counts once per attempt. The task is not started
/// again before the failure is recorded, and only recorded failures end its job.
#[test]
fn attempts_are_used_up_by_recorded_failures() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(1, 60, "t", "array", "standard", 2, 2.0);
    b.edit_job(1, 61, |s| s.max_attempts = Some(2));
    // A changed record does not make a new `JobRun`, so it is made again here, as by a new leader.
    b.leader.jobs.clear();
    b.leader.job_changed(JobId(1), &b.state_replica, b.now);
    // The job has run well elsewhere, so its failure is no reason to avoid the machine.
    b.leader.jobs.get_mut(&JobId(1)).unwrap().ran_well = true;
    b.tick(30);
    let first = b.fail_task(1, 0);
    assert_eq!(b.leader.attempts_of(JobId(1), 0), 1, "three reports of one attempt count once");
    b.pass_idle(4);
    assert_eq!(b.attempt(task(1, 0)), None, "not started again before it is recorded");
    b.save_failures(70);
    b.pass_idle(4);
    let fails = |b: &Harness| {
        let w = b.leader.due_writes(&b.state_replica, 4000, b.now);
        w.iter().filter(|w| matches!(w, LeaderWrite::JobFailed(..))).count()
    };
    assert_eq!(fails(&b), 0);
    // A new leader continues from the record.
    let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
    b.leader = Leader::new(context(), TERM + 1, 80, &b.state_replica, &sizes, b.now, 1_000_000);
    b.sync(A, &[], &[]);
    b.sync(B, &[], &[]);
    b.tick(1000);
    b.confirm("m0", &[]);
    b.tick(30);
    assert!(b.attempt(task(1, 0)).expect("again") > first);
    b.fail_task(1, 0);
    assert_eq!(fails(&b), 0, "the second failure is not recorded yet");
    b.pass_idle(10);
    assert_eq!(b.attempt(task(1, 0)), None);
    b.save_failures(90);
    b.pass_idle(10);
    assert_eq!((fails(&b), b.attempt(task(1, 0))), (1, None));
    // The record ends the job for good, with its cause.
    let end = json!({"end": "aborted", "at": 1_000_000, "why": "attempts used up"});
    b.state_replica.apply(&keys::end(JobId(1)), Some(&end), 95);
    b.leader.job_changed(JobId(1), &b.state_replica, b.now);
    b.pass_idle(10);
    let job = &b.state_replica.jobs[&JobId(1)];
    assert_eq!((job.phase, job.cause.as_deref()), (Phase::Cancelled, Some("attempts used up")));
    assert_eq!((fails(&b), b.attempt(task(1, 0))), (0, None));
}

/// A faulty machine always has free capacity, so it would use up a job's bounded attempts. They
/// go to other machines while there is one or may soon be one.
#[test]
fn bounded_attempts_are_not_used_up_on_one_machine() {
    // (machines, whether the job is proven to run well, seconds after the failure; where the
    // task is assigned then)
    let cases: [(usize, bool, u32, Option<&str>); 5] = [
        (1, false, 2, None),
        (1, false, 14, None),
        (1, false, 17, Some("m0")),
        (1, true, 2, Some("m0")),
        (2, false, 2, Some("m1")),
    ];
    for (machines, proven, seconds, expected) in cases {
        let mut b = Harness::new(1);
        b.confirm("m0", &[]);
        b.add_job(1, 60, "t", "array", "standard", 1, 8.0);
        b.edit_job(1, 61, |s| s.max_attempts = Some(4));
        b.leader.jobs.clear();
        b.leader.job_changed(JobId(1), &b.state_replica, b.now);
        b.tick(30);
        b.fail_task(1, 0);
        b.leader.machines.get_mut(&m("m0")).unwrap().failures = 1;
        b.leader.jobs.get_mut(&JobId(1)).unwrap().ran_well = proven;
        b.save_failures(70);
        if machines == 2 {
            let v = json!({"t": "big", "z": "east", "s": false, "a": "addr1"});
            b.state_replica.apply(&keys::machine(&m("m1")), Some(&v), 71);
            let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
            let mut new = Machine::new(&b.state_replica.machines[&m("m1")], sizes["big"], Stage::Up, b.now);
            new.recorded = true;
            b.leader.machines.insert(m("m1"), new);
            b.tick(200);
            b.confirm("m1", &[]);
        }
        b.pass_idle(2 * seconds);
        let run = &b.leader.jobs[&JobId(1)];
        let preferred = run
            .bound
            .get(&0)
            .and_then(|x| x.unresolved_assignment.as_ref())
            .map(|h| h.preferred_machine.to_string());
        assert_eq!(preferred.as_deref(), expected, "{machines} machines, proven {proven}, {seconds} s");
    }
}

/// When a job's number of tasks changes, tasks above the number are not started, added ones are,
/// and completed ones count if they are still requested.
#[test]
fn a_job_is_scaled_in_place() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(1, 60, "t", "standing", "prod", 2, 1.0);
    b.tick(30);
    let bound = |b: &Harness| b.leader.jobs[&JobId(1)].bound.keys().copied().collect::<Vec<_>>();
    assert_eq!(bound(&b), [0, 1]);
    // (new number of tasks, bound tasks after it while no end is reported)
    for (i, (tasks, expected)) in
        [(4, vec![0, 1, 2, 3]), (1, vec![0, 1, 2, 3]), (3, vec![0, 1, 2, 3])].iter().enumerate()
    {
        b.edit_job(1, 70 + i as u64, |s| s.tasks = *tasks);
        b.tick(30);
        assert_eq!(bound(&b), *expected, "{tasks}");
        assert_eq!(b.leader.jobs[&JobId(1)].pending_tasks(), 0, "{tasks}");
        assert!(b.leader.check_totals().is_ok());
    }
    // The task above the number ends; it is not replaced until it is requested again.
    let a3 = b.attempt(task(1, 3)).unwrap();
    b.sync(A, &[], &[AssignmentOutcome { attempt: a3, machine: None }]);
    b.tick(30);
    assert_eq!(bound(&b), [0, 1, 2]);
    b.edit_job(1, 80, |s| s.tasks = 4);
    b.tick(30);
    assert_eq!(bound(&b), [0, 1, 2, 3]);
}

/// A new version of a job starts only when no task of the old one is left on any machine.
#[test]
fn a_replacement_waits_for_the_end_of_the_job_that_it_replaces() {
    for record_first in [false, true] {
        let mut b = Harness::new(1);
        b.confirm("m0", &[]);
        b.add_job(1, 60, "t", "standing", "prod", 1, 1.0);
        b.tick(30);
        let a = b.attempt(task(1, 0)).unwrap();
        b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
        let on = b.state("m0", b.token("m0"), &[(task(1, 0), a, TaskState::Running)]);
        b.sync(A, &[on], &[]);
        b.add_job(2, 61, "t", "standing", "prod", 1, 1.0);
        b.edit_job(2, 62, |s| s.replaces = vec![JobId(1)]);
        b.leader.jobs.remove(&JobId(2));
        b.leader.job_changed(JobId(2), &b.state_replica, b.now);
        let started = |b: &mut Harness| {
            b.tick(100);
            b.attempt(task(2, 0)).is_some()
        };
        assert!(!started(&mut b), "the old version is active");
        b.state_replica.apply(&keys::end(JobId(1)), Some(&json!({"end": "aborted", "at": 1_000_000})), 70);
        b.leader.job_changed(JobId(1), &b.state_replica, b.now);
        assert!(!started(&mut b), "its task is still on a machine");
        // Neither is enough alone: the record, or that no task is known to be bound.
        let terminated = json!({"end": "aborted", "at": 1_000_000, "gone": true});
        let record = |b: &mut Harness| {
            b.state_replica.apply(&keys::end(JobId(1)), Some(&terminated), 75);
            b.leader.job_changed(JobId(1), &b.state_replica, b.now);
        };
        let empty = |b: &mut Harness| {
            let s = b.state("m0", b.token("m0"), &[]);
            b.sync(A, &[s], &[]);
        };
        if record_first {
            record(&mut b);
            assert!(!started(&mut b), "a task is still on a machine, whatever the record says");
            empty(&mut b);
        } else {
            empty(&mut b);
            assert!(!started(&mut b), "that no task is left is not recorded");
            record(&mut b);
        }
        assert!(started(&mut b), "{record_first}");
    }
}

#[test]
fn the_longest_waiting_jobs_are_listed_with_the_reason() {
    use super::pending_reasons::PendingReason;
    type Step = fn(&mut Harness);
    // A job that takes all of the machine's eight CPUs.
    let fill: Step = |b| {
        b.confirm("m0", &[]);
        b.add_job(8, 60, "t", "array", "standard", 1, 8.0);
        b.tick(30);
    };
    // (what happens before, the waiting job: team, tasks, CPUs; why it waits)
    let cases: [(&str, Step, (&str, u32, f64), PendingReason); 6] = [
        ("no heartbeat of the machine", |b| b.seq[0] += 1, ("t", 1, 1.0), PendingReason::UnconfirmedMachines),
        ("the machine is full", fill, ("t", 1, 8.0), PendingReason::NoFreeCapacity),
        (
            "the machine is full, and the cloud has none",
            |b| {
                b.confirm("m0", &[]);
                b.add_job(8, 60, "t", "array", "standard", 1, 8.0);
                b.tick(30);
                b.leader
                    .refused_offers
                    .insert(("big".into(), "east".into(), false), b.now + Micros::secs(35));
            },
            ("t", 1, 8.0),
            PendingReason::CloudSoldOut,
        ),
        (
            "its team is at its limit",
            |b| {
                b.confirm("m0", &[]);
                b.add_job(8, 60, "tight", "array", "standard", 1, 4.0);
                b.tick(30);
            },
            ("tight", 1, 4.0),
            PendingReason::TeamLimit,
        ),
        (
            "it replaces one that runs",
            |b| {
                b.confirm("m0", &[]);
                b.add_job(8, 60, "t", "array", "standard", 1, 1.0);
                b.tick(30);
            },
            ("t", 1, 1.0),
            PendingReason::DependencyNotEnded,
        ),
        (
            "no scheduling pass has run yet",
            |b| b.confirm("m0", &[]),
            ("t", 1, 1.0),
            PendingReason::QueuedBehindOthers,
        ),
    ];
    for (case, before, (team, tasks, cpus), expected) in cases {
        let mut b = Harness::new(1);
        before(&mut b);
        b.add_job(
            9,
            if expected == PendingReason::UnconfirmedMachines { 40 } else { 61 },
            team,
            "array",
            "standard",
            tasks,
            cpus,
        );
        if expected == PendingReason::DependencyNotEnded {
            b.edit_job(9, 62, |s| s.replaces = vec![JobId(8)]);
            b.leader.jobs.remove(&JobId(9));
            b.leader.job_changed(JobId(9), &b.state_replica, b.now);
        }
        assert!(b.leader.longest_pending(b.now).is_empty(), "{case}: too early");
        let waits = b.leader.longest_pending(b.now + Micros::secs(40));
        let actual: Vec<(JobId, PendingReason)> = waits.iter().map(|w| (w.1, w.3)).collect();
        assert_eq!(actual, [(JobId(9), expected)], "{case}");
    }
}

/// Arrays that may run on spot machines get ordinary ones only while spot machines are sold out,
/// only after a minute of that, and no more ordinary machines than other work holds.
#[test]
fn sold_out_spot_machines_are_replaced_by_a_bounded_number_of_ordinary_ones() {
    let flavor = |price| Flavor {
        name: "big".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        image_cache_gb: 100.0,
        image_pull_gb_per_s: 1.0,
        hourly_price: 1.0,
        spot_price: price,
        boot_s: 20.0,
        zones: vec!["east".into()],
    };
    // (machines present, seconds since the term began, spot machines rented ten seconds before;
    // ordinary machines rented, including the spare capacity for replicas where there are any;
    // whether one present machine is a spot machine)
    // In the last case that spot machine shows that some are available, so only spare capacity
    // for replicas on two machines is rented.
    let cases = [
        (6, 100, 0, 3 + 1, false),
        (6, 30, 0, 1, false),
        (6, 100, 40, 1, false),
        (2, 100, 0, 1 + 1, false),
        (0, 100, 0, 0, false),
        (6, 100, 0, 2, true),
    ];
    for (machines, passed, spot_rented, expected, spot) in cases {
        let mut b = Harness::new(machines);
        if let Some(m) = b.leader.machines.get_mut(&m("m0")).filter(|_| spot) {
            m.spot = true;
        }
        for i in 0..machines {
            b.confirm(&format!("m{i}"), &[]);
            b.add_job(100 + i as u64, 60, "t", "standing", "prod", 1, 8.0);
        }
        b.tick(30);
        b.add_job(1, 61, "t", "array", "standard", 80, 8.0);
        b.edit_job(1, 62, |s| s.spot = true);
        b.leader.jobs.remove(&JobId(1));
        b.leader.job_changed(JobId(1), &b.state_replica, b.now);
        let at = b.now + Micros::secs(passed);
        b.leader.recent_spot_rentals.push_back((at.before(Micros::secs(10)).unwrap(), spot_rented));
        // A rental was just requested, and refused.
        b.leader.refused_offers.insert(("big".into(), "east".into(), true), at);
        b.leader.autoscale(&[flavor(Some(0.3))], at);
        let rented: u32 =
            b.leader.scale_out_requests.values().filter(|(r, ..)| !r.spot).map(|(r, ..)| r.count).sum();
        assert_eq!(
            rented, expected,
            "{machines} machines, {passed} s, {spot_rented} spot machines rented, one present: {spot}"
        );
    }
}

/// A job submitted with a mistake fails on every machine; a faulty machine fails the tasks of
/// every job.
#[test]
fn a_job_that_fails_everywhere_runs_one_task_and_is_no_evidence_against_machines() {
    let mut b = Harness::new(2);
    b.confirm("m0", &[]);
    b.confirm("m1", &[]);
    for job in [1, 2] {
        b.add_job(job, 60 + job, "t", "array", "standard", 20, 1.0);
    }
    // Each of their tasks fails on both machines, again and again.
    let mut assigned_counts = Vec::new();
    for _ in 0..120 {
        b.tick(500);
        let mut ends: BTreeMap<MachineId, Vec<(TaskId, Attempt, TaskState)>> = BTreeMap::new();
        let mut outcomes = Vec::new();
        for PendingAssignment { assignment: h, .. } in b.leader.pending_assignments.values() {
            outcomes
                .push(AssignmentOutcome { attempt: h.attempt, machine: Some(h.preferred_machine.clone()) });
            ends.entry(h.preferred_machine.clone()).or_default().push((h.task, h.attempt, TaskState::Failed));
        }
        assigned_counts.push(outcomes.len());
        b.sync(A, &[], &outcomes.clone());
        b.sync(B, &[], &outcomes);
        for id in ["m0", "m1"] {
            let failed = ends.remove(&m(id)).unwrap_or_default();
            b.now = b.now + Micros(1);
            b.confirm(id, &failed);
            b.now = b.now + Micros(1);
            b.confirm(id, &[]);
        }
    }
    assert!(assigned_counts[0] > 2, "{assigned_counts:?}");
    // In the last half of the minute at most two tasks at a time, and at most eight in all.
    assert!(assigned_counts[60..].iter().all(|n| *n <= 2), "{assigned_counts:?}");
    assert!(assigned_counts[60..].iter().sum::<usize>() <= 8, "{assigned_counts:?}");
    for id in ["m0", "m1"] {
        assert_eq!(b.leader.machines[&m(id)].draining, None, "{id}");
    }
    // A job that runs well elsewhere fails on m0, so that machine is faulty.
    b.add_job(3, 90, "t", "array", "standard", 1, 1.0);
    if let Some(run) = b.leader.jobs.get_mut(&JobId(3)) {
        run.ran_well = true;
    }
    for _ in 0..2 {
        let t = task(3, 0);
        let token = b.token("m0");
        for state in [TaskState::Running, TaskState::Failed] {
            b.now = b.now + Micros(1);
            let s = b.state("m0", token, &[(t, Attempt(token.0 + 1), state)]);
            b.sync(A, &[s], &[]);
        }
    }
    assert!(b.leader.machines[&m("m0")].draining.is_some());
}

/// Small tasks of a higher priority arrive without end and take all capacity that becomes free,
/// so a job whose task needs a whole machine would never begin.
#[test]
fn an_overdue_job_begins_where_small_tasks_never_end() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    b.add_job(1, 61, "t", "array", "high", 5_000, 1.0);
    b.add_job(2, 62, "owner", "array", "idle", 3, 8.0);
    let (mut on, mut began) = (Vec::<(TaskId, Attempt, u32)>::new(), None);
    let mut after = 0;
    for half in 0..400u32 {
        b.tick(500);
        let mut outcomes = Vec::new();
        for PendingAssignment { assignment: h, .. } in b.leader.pending_assignments.values() {
            if h.task.job == JobId(2) {
                began.get_or_insert(half / 2);
            }
            outcomes
                .push(AssignmentOutcome { attempt: h.attempt, machine: Some(h.preferred_machine.clone()) });
            on.push((h.task, h.attempt, half + 20 + h.task.index % 7));
        }
        b.sync(A, &[], &outcomes.clone());
        b.sync(B, &[], &outcomes);
        let state = |end: u32| if end <= half { TaskState::Done } else { TaskState::Running };
        let reported: Vec<_> = on.iter().map(|(t, a, end)| (*t, *a, state(*end))).collect();
        b.now = b.now + Micros(1);
        b.confirm("m0", &reported);
        on.retain(|(.., end)| *end > half);
        after += (began.is_some() && on.iter().any(|(t, ..)| t.job == JobId(1))) as u32;
    }
    let began = began.expect("it never began");
    assert!((100..130).contains(&began), "it began after {began} s");
    // One task of it runs, and tasks of the other job continue.
    assert!(after > 100, "{after}");
    assert_eq!(b.leader.machines[&m("m0")].accumulates_for, None);
}

/// Copies of heartbeats may arrive late at any controller; a new leader has nothing to compare them
/// with.
#[test]
fn copies_of_heartbeats_prove_nothing() {
    let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
    let rec = |machine_type: &str| MachineRecord {
        machine_type: machine_type.into(),
        zone: "east".into(),
        spot: false,
        addr: "a:1".into(),
    };
    let no = |sequence| HeartbeatSeq { agent_epoch: 1, sequence };
    // (machine, its type, number of the heartbeat, whether it answers a probe; whether it counts
    // as seen by B, whether the leader knows the machine then)
    let cases = [
        ("m0", "big", no(5), false, false, true),
        ("m0", "big", no(1), true, false, true),
        ("m0", "big", HeartbeatSeq { agent_epoch: 1, sequence: u64::MAX }, false, true, true),
        ("m0", "small", HeartbeatSeq { agent_epoch: 2, sequence: 1 }, false, false, true),
        ("m9", "big", no(7), false, true, false),
        ("m9", "big", no(7), true, true, true),
    ];
    for (i, (id, machine_type, report, probed, counts, known)) in cases.into_iter().enumerate() {
        let mut b = Harness::new(1);
        b.confirm("m0", &[]);
        let s = UnleasedReport { id: m(id), report, probed };
        b.leader.apply_unleased_report(B, &s, &rec(machine_type), &sizes, b.now);
        let seen = b.leader.last_seen.get(&m(id)).is_some_and(|(n, _)| *n == B);
        assert_eq!((seen, b.leader.machines.contains_key(&m(id))), (counts, known), "case {i}");
        if id == "m9" && !probed {
            // The heartbeat is not trusted: the machine is probed.
            assert_eq!(b.leader.probes, [(B, m("m9"), "a:1".to_owned())]);
        }
    }
    // Each heartbeat counts as contact only from the first controller that forwards it.
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    let contact = b.leader.machines[&m("m0")].last_contact;
    let mut s = b.state("m0", b.token("m0"), &[]);
    s.last_report = b.leader.machines[&m("m0")].newest_heartbeat;
    b.now = b.now + Micros::secs(2);
    b.sync(B, &[s], &[]);
    assert_eq!(b.leader.machines[&m("m0")].last_contact, contact, "a copy at another controller");
}

/// Machines that send heartbeats but are unreachable for commands: those with tasks are deleted before
/// their workers' leases end, a few at a time. Where most machines of a controller are
/// unreachable, the controller itself cannot send.
#[test]
fn machines_unreachable_for_commands_are_deleted_within_a_budget() {
    // (machines, how many are unreachable, whether they have tasks; deleted after 10 s, after 30 s)
    let cases = [(6, 1, true, 1, 1), (6, 1, false, 0, 1), (8, 3, true, 2, 3), (10, 9, true, 0, 2)];
    for (machines, unreachable, busy, early, late) in cases {
        let mut b = Harness::new(machines);
        let names: Vec<String> = (0..machines).map(|i| format!("m{i}")).collect();
        names.iter().for_each(|id| b.confirm(id, &[]));
        if busy {
            for i in 0..machines {
                b.add_job(100 + i as u64, 60, "t", "array", "standard", 1, 8.0);
            }
            b.tick(30);
            let placed = |h: &PendingAssignment| AssignmentOutcome {
                attempt: h.assignment.attempt,
                machine: Some(h.assignment.preferred_machine.clone()),
            };
            let outcomes: Vec<AssignmentOutcome> =
                b.leader.pending_assignments.values().map(placed).collect();
            b.sync(A, &[], &outcomes);
            b.sync(B, &[], &outcomes);
        }
        let mut deleted = Vec::new();
        for half in 1..=60 {
            b.tick(500);
            let holder = b.leader.machines[&m("m0")].holder.unwrap();
            for (i, id) in names.iter().enumerate() {
                let mut s = b.state(id, b.token(id), &[]);
                s.tasks = b.leader.machines[&m(id)]
                    .bound
                    .iter()
                    .map(|t| TaskStatus {
                        task: *t,
                        attempt: b.attempt(*t).unwrap(),
                        state: TaskState::Running,
                    })
                    .collect();
                s.acknowledges_commands = i >= unreachable;
                let from = b.leader.machines[&m(id)].holder.unwrap_or(holder);
                b.sync(from, &[s], &[]);
            }
            b.sync(A, &[], &[]);
            b.sync(B, &[], &[]);
            let deleting = |id: &&String| b.leader.machines[&m(id)].stage == Stage::Deleting;
            if half == 20 || half == 60 {
                deleted.push(names.iter().filter(deleting).count());
            }
        }
        assert_eq!(deleted, [early, late], "{unreachable} of {machines}, busy {busy}");
    }
}

/// A leader that was frozen still suspects a machine from before the freeze, and all messages of
/// the meantime arrive at once: the machine had no chance to answer a probe.
#[test]
fn a_suspicion_from_before_a_freeze_deletes_no_machine() {
    let mut b = Harness::new(1);
    b.confirm("m0", &[]);
    let mut s = b.state("m0", b.token("m0"), &[]);
    s.acknowledges_commands = false;
    s.last_report.sequence += 1;
    b.sync(A, &[s.clone()], &[]);
    b.now = b.now + Micros::secs(30);
    s.last_report.sequence += 1;
    b.sync(A, &[s], &[]);
    b.sync(B, &[], &[]);
    b.tick(100);
    assert_eq!(b.leader.machines[&m("m0")].stage, Stage::Up);
}

/// Before a cancellation is confirmed to the client, no controller that doesn't know of it may be
/// able to send a start command: one could if a task is assigned to it or not yet seen on its machine,
/// while its block's lease may run.
#[test]
fn a_controller_unaware_of_the_cancellation_may_still_start_a_task() {
    type Step = fn(&mut Harness, Attempt);
    let nothing: Step = |_, _| {};
    let placed: Step = |b, a| b.sync(B, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
    let running: Step = |b, a| {
        b.sync(B, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
        b.confirm("m0", &[(task(1, 0), a, TaskState::Running)]);
    };
    let moved: Step = |b, a| {
        b.sync(B, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
        b.leader.grant(&m("m0"), A, "test", b.now);
    };
    let (no_controller, itself, earlier) = (vec![0, 0], vec![0, 6], vec![0, 5]);
    let lease = Operator::default().block_lease;
    // (what, what happens after the assignment to B, which controllers know, which process has
    // exited, time since the last contact with B, whether a start command may still be sent)
    let cases = [
        ("assigned", nothing, &no_controller, None, Micros(0), true),
        ("assigned, and B knows", nothing, &itself, None, Micros(0), false),
        ("an earlier process of B knew", nothing, &earlier, None, Micros(0), true),
        ("B's process has exited", nothing, &no_controller, Some(B), Micros(0), false),
        ("another controller's process has exited", nothing, &no_controller, Some(A), Micros(0), true),
        ("B's lease may run", nothing, &no_controller, None, lease.saturating_sub(Micros::millis(1)), true),
        ("B's lease has expired", nothing, &no_controller, None, lease, false),
        (
            "refused",
            |b, a| b.sync(B, &[], &[AssignmentOutcome { attempt: a, machine: None }]),
            &no_controller,
            None,
            Micros(0),
            false,
        ),
        ("starting", placed, &no_controller, None, Micros(0), true),
        ("starting, and B knows", placed, &itself, None, Micros(0), false),
        ("running", running, &no_controller, None, Micros(0), false),
        (
            "its machine is granted to another controller, whose token it has not shown",
            moved,
            &no_controller,
            None,
            Micros(0),
            true,
        ),
        (
            "its machine is deleted",
            |b, _| b.leader.deletion_confirmed(&[m("m0")], b.now),
            &no_controller,
            None,
            Micros(0),
            false,
        ),
    ];
    for (case, step, acknowledged_by, ended, later, expected) in cases {
        let mut b = Harness::new(1);
        b.leader.grant(&m("m0"), B, "test", b.now);
        b.confirm("m0", &[]);
        b.add_job(1, 60, "t", "array", "standard", 1, 4.0);
        b.tick(30);
        let attempt = b.attempt(task(1, 0)).expect("assigned");
        b.sync(B, &[], &[]);
        step(&mut b, attempt);
        let ended: Vec<NodeId> = ended.into_iter().collect();
        let actual = b.leader.may_still_start(JobId(1), acknowledged_by, &ended, b.now + later);
        assert_eq!(actual, expected, "{case}");
    }
}

#[test]
fn list_pages_leave_cloud_calls_for_rentals() {
    let mut b = Harness::new(1);
    let page = |name: &str, truncated| {
        let rental = json!({"ref": name, "addr": "", "build": "other", "yard": "east", "loaners": false,
            "stage": "running", "held_s": 1.0});
        serde_json::from_value(json!({"hosts": [rental], "truncated": truncated})).unwrap()
    };
    // (the last page; milliseconds until the next, and the machine after which that starts)
    let steps: [(Option<Rentals>, u64, Option<&str>); 4] = [
        (Some(page("m500", true)), 400, Some("m500")),
        (Some(page("m900", true)), 400, Some("m900")),
        // A failed call is repeated.
        (None, 400, Some("m900")),
        (Some(page("m999", false)), 2_000, None),
    ];
    let sizes = MachineSizes::default();
    for (i, (last, pause, from)) in steps.into_iter().enumerate() {
        b.leader.list_page_received(last.as_ref(), &sizes, b.now);
        let lists = |b: &mut Harness, ms| {
            let requests = b.leader.autoscale(&[], b.now + Micros::millis(ms));
            requests.into_iter().find(|w| matches!(w, CloudRequest::List(_)))
        };
        assert_eq!(lists(&mut b, pause - 50), None, "step {i}");
        assert_eq!(lists(&mut b, pause), Some(CloudRequest::List(from.map(str::to_owned))), "step {i}");
        b.now = b.now + Micros::millis(pause);
    }
}

#[test]
fn many_machines_are_requested_in_several_rentals() {
    let kind = RentalKind { machine_type: "big".into(), zone: "east".into(), spot: false };
    // (machines, maximum of open rentals; machines in each)
    let cases: [(u32, usize, &[u32]); 3] = [(7, 6, &[7]), (166, 6, &[50, 50, 50, 16]), (250, 2, &[50, 50])];
    for (machines, max_open, counts) in cases {
        let mut b = Harness::new(0);
        b.leader.create_scale_out_requests(&kind, machines, max_open, b.now);
        let requested: Vec<u32> = b.leader.scale_out_requests.values().map(|(r, ..)| r.count).collect();
        assert_eq!(requested, counts, "{machines} machines");
    }
}
