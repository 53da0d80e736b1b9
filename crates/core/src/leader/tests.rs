//! Bindings: what frees a task, and what doesn't.
mod hand_outs;
mod lateness;
mod limits;

use super::*;
use crate::jobs::{job_value, keys};
use crate::peer::TaskStatus;
use serde_json::json;

mod pipelines;

const TERM: u64 = 3;
/// A leader that comes to its work this often is on time.
const ON_TIME_MS: u64 = 200;
const A: NodeId = NodeId(0);
const B: NodeId = NodeId(1);

fn context() -> Context {
    let team = |name: &str, cpus: f64, max: f64| Team {
        name: name.into(),
        cpus,
        cpus_max: max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Context {
        me: A,
        names: vec!["n0".into(), "n1".into()],
        zones: vec!["east".into(), "east".into()],
        operator: Operator::default(),
        teams: vec![team("t", 0.0, 0.0), team("tight", 0.0, 4.0), team("owner", 4.0, 0.0)],
        objectives: Vec::new(),
        lease: Micros::secs(12),
        report: Micros::secs(2),
        cancel: Micros::secs(30),
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

/// A leader over recorded machines `m0` (and `m1`), with both controllers in contact.
struct Bench {
    ledger: StateReplica,
    leader: Leader,
    now: Micros,
    seq: [u64; 2],
    incarnation: [u64; 2],
}

impl Bench {
    fn new(machines: usize) -> Self {
        let mut ledger = StateReplica::default();
        for i in 0..machines {
            let v = json!({"t": "big", "z": "east", "s": false, "a": format!("addr{i}")});
            ledger.apply(&keys::machine(&m(&format!("m{i}"))), Some(&v), 1);
        }
        let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
        let now = Micros::secs(100);
        let leader = Leader::new(context(), TERM, 50, &ledger, &sizes, now, 1_000_000);
        let mut b = Bench { ledger, leader, now, seq: [0; 2], incarnation: [5, 6] };
        b.sync(A, &[], &[]);
        b.sync(B, &[], &[]);
        b.tick(1);
        b
    }

    #[allow(clippy::too_many_arguments)]
    /// Adds a job; recorded at `stamp` (the leader's key is at 50).
    fn job(&mut self, id: u64, stamp: u64, team: &str, kind: &str, rank: &str, tasks: u32, cpus: f64) {
        let body = json!({"ref": JobId(id).to_string(), "lot": "l", "crew": team, "manner": kind, "rank": rank,
            "pieces": tasks, "cpus": cpus, "gpus": 0, "memory_gb": 1, "bundle": "i", "image_gb": 1,
            "same_place": false, "apart": false, "loaners": false, "guess_s": 10, "mark_s": 0, "stow_s": 0});
        let spec = gorseshore_protocol::users::parse_submission(body.to_string().as_bytes()).unwrap();
        self.ledger.apply(&keys::job(JobId(id)), Some(&job_value(&spec, 1_000_000)), stamp);
        self.leader.job_changed(JobId(id), &self.ledger, self.now);
    }

    /// Changes a job's record at `stamp`.
    fn edit(&mut self, id: u64, stamp: u64, edit: impl Fn(&mut JobSpec)) {
        let mut spec = JobSpec::clone(self.ledger.jobs[&JobId(id)].spec.as_ref().unwrap());
        edit(&mut spec);
        self.ledger.apply(&keys::job(JobId(id)), Some(&job_value(&spec, 1_000_000)), stamp);
        self.leader.job_changed(JobId(id), &self.ledger, self.now);
    }

    /// What is written of failures goes into the records.
    fn save_failures(&mut self, stamp: u64) {
        for w in self.leader.writes(&self.ledger, 4000, self.now) {
            if let LeaderWrite::FailureCounts(id, chunk) = w {
                let v = json!(self.leader.failures(id, chunk).unwrap());
                self.ledger.apply(&keys::failures(id, chunk), Some(&v), stamp);
                self.leader.job_changed(id, &self.ledger, self.now);
            }
        }
    }

    /// The task starts and fails; its attempt.
    fn fail(&mut self, id: u64, index: u32) -> Attempt {
        let a = self.attempt(task(id, index)).expect("handed out");
        self.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
        // The end comes twice, the first time under an older token, which
        // leaves what was known before.
        let token = self.token("m0");
        let told =
            [(token, TaskState::Running), (FencingToken(0), TaskState::Failed), (token, TaskState::Failed)];
        for (seen, state) in told {
            let s = self.state("m0", seen, &[(task(id, index), a, state)]);
            self.sync(A, &[s], &[]);
        }
        let s = self.state("m0", token, &[]);
        self.sync(A, &[s], &[]);
        // The machine is not what is tried here.
        if let Some(m) = self.leader.machines.get_mut(&m("m0")) {
            (m.draining, m.failures) = (None, 0);
        }
        a
    }

    /// Half seconds in which everybody is heard and nothing happens.
    fn pass(&mut self, halves: u32) {
        for _ in 0..halves {
            self.tick(500);
            let s = self.state("m0", self.token("m0"), &[]);
            self.sync(A, &[s], &[]);
            self.sync(B, &[], &[]);
        }
        self.tick(30);
    }

    /// Time passes for a leader that is on time.
    fn tick(&mut self, ms: u64) {
        let mut left = ms;
        while left > ON_TIME_MS {
            self.late_tick(ON_TIME_MS);
            left -= ON_TIME_MS;
        }
        self.late_tick(left);
    }

    /// Time passes, and the leader comes to its work only then.
    fn late_tick(&mut self, ms: u64) {
        self.now = self.now + Micros::millis(ms);
        self.leader.dirty = true;
        self.leader.tick(&self.ledger, self.now);
    }

    fn sync(&mut self, from: NodeId, machines: &[MachineState], outcomes: &[AssignmentOutcome]) {
        let i = from.0 as usize;
        self.seq[i] += 1;
        let view =
            View { seq: self.seq[i], base: 0, seen: 0, machines, heard: &[], strangers: &[], outcomes };
        self.leader.sync(from, self.incarnation[i], &view, &self.ledger, self.now);
    }

    fn state(&self, id: &str, seen: FencingToken, tasks: &[(TaskId, Attempt, TaskState)]) -> MachineState {
        MachineState {
            id: m(id),
            fencing_token: self.leader.machines[&m(id)].baton,
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
        self.leader.machines[&m(id)].baton
    }

    /// The holder has seen the machine under its token, with these tasks.
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
fn a_task_is_free_only_on_proof() {
    let t = task(1, 0);
    type Step = fn(&mut Bench, Attempt);
    // (what happens after the hand-out of the only task, whether it is free then)
    let cases: [(&str, Step, bool); 11] = [
        ("nothing", |_, _| {}, false),
        ("never started", |b, a| b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: None }]), true),
        (
            "started; a report under the current token is without it",
            |b, a| {
                b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
                b.confirm("m0", &[]);
            },
            true,
        ),
        (
            "started and not settled",
            |b, a| {
                b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
                b.confirm("m0", &[(task(1, 0), a, TaskState::Starting)]);
            },
            false,
        ),
        (
            "a report under an older token is without it",
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
            "its controller restarts and the machine is seen under the next token",
            |b, _| {
                b.incarnation[0] += 1;
                b.sync(A, &[], &[]);
                b.tick(1);
                b.confirm("m0", &[]);
            },
            true,
        ),
        (
            "its controller restarts and the machine has it",
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
            "a deletion that nobody confirmed",
            |b, _| {
                b.leader.delete(&m("m0"), "test", b.now);
                b.leader.deletion_unconfirmed(&[m("m0")], b.now);
            },
            false,
        ),
        (
            "a word of its controller's earlier process",
            |b, a| {
                b.incarnation[0] += 1;
                b.sync(A, &[], &[]);
                let outcomes = [AssignmentOutcome { attempt: a, machine: None }];
                let view = View {
                    seq: 99,
                    base: 0,
                    seen: 0,
                    machines: &[],
                    heard: &[],
                    strangers: &[],
                    outcomes: &outcomes,
                };
                b.leader.sync(A, 5, &view, &b.ledger, b.now);
            },
            false,
        ),
    ];
    for (what, step, free) in cases {
        let mut b = Bench::new(1);
        b.confirm("m0", &[]);
        b.job(1, 60, "t", "array", "standard", 1, 4.0);
        b.tick(30);
        let a = b.attempt(t).expect("handed out");
        step(&mut b, a);
        assert_eq!(b.attempt(t).is_none(), free, "{what}");
    }
}

#[test]
fn earlier_jobs_wait_for_machines_that_nobody_heard() {
    // (revision of the job's record, its CPUs, whether m0 was heard, handed out)
    let cases = [
        (40, 4.0, false, false),
        (40, 4.0, true, true),
        // Recorded after the leader's key: no earlier leader knew it.
        (60, 4.0, false, true),
        // No unheard machine could hold it; none at all can.
        (40, 9.0, false, false),
    ];
    for (stamp, cpus, heard, want) in cases {
        let mut b = Bench::new(2);
        b.confirm("m1", &[]);
        if heard {
            b.confirm("m0", &[]);
        }
        b.job(1, stamp, "t", "array", "standard", 1, cpus);
        b.tick(30);
        assert_eq!(b.attempt(task(1, 0)).is_some(), want, "{stamp} {cpus} {heard}");
    }
}

#[test]
fn limits_count_what_is_bound_and_guarantees_take_back() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.job(1, 60, "tight", "array", "standard", 3, 2.0);
    b.tick(30);
    let bound = |b: &Bench| b.leader.jobs[&JobId(1)].bound.len();
    assert_eq!(bound(&b), 2, "4 CPUs of 2 each");
    let a0 = b.attempt(task(1, 0)).unwrap();
    b.sync(A, &[], &[AssignmentOutcome { attempt: a0, machine: None }]);
    b.tick(30);
    assert_eq!(bound(&b), 2, "one is free again, another goes");

    // A team without work beyond its guarantee gets it back from a borrower.
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.job(1, 60, "t", "array", "high", 2, 4.0);
    b.tick(30);
    let on: Vec<_> =
        (0..2).map(|i| (task(1, i), b.attempt(task(1, i)).unwrap(), TaskState::Running)).collect();
    let outcomes: Vec<AssignmentOutcome> =
        on.iter().map(|(_, a, _)| AssignmentOutcome { attempt: *a, machine: Some(m("m0")) }).collect();
    let s = b.state("m0", b.token("m0"), &on);
    b.sync(A, &[s], &outcomes);
    b.job(2, 61, "owner", "array", "idle", 2, 4.0);
    b.tick(30);
    assert_eq!(b.leader.stops.len(), 1, "4 CPUs are guaranteed, not 8");
    b.tick(30);
    assert_eq!(b.leader.stops.len(), 1, "no more is stopped while the first goes");
}

#[test]
fn a_cancelled_task_that_nobody_can_stop_takes_its_machine_along() {
    for (seconds, deleted) in [(10, false), (20, true)] {
        let mut b = Bench::new(1);
        b.confirm("m0", &[]);
        b.job(1, 60, "t", "standing", "prod", 1, 4.0);
        b.tick(30);
        assert!(b.attempt(task(1, 0)).is_some());
        b.ledger.apply(&keys::end(JobId(1)), Some(&json!({"end": "aborted", "at": 1_000_000})), 70);
        b.leader.job_changed(JobId(1), &b.ledger, b.now);
        b.now = b.now + Micros::secs(seconds);
        b.leader.stop_cancelled(&b.ledger, b.now);
        assert_eq!(b.leader.machines[&m("m0")].stage == Stage::Deleting, deleted, "{seconds} s");
    }
}

/// `A` holds `m0` and `m1`, and `m0` falls silent: whether it is deleted after so
/// many seconds each. `hears` says who hears `m1` in a second.
fn m0_deleted(hears: impl Fn(u64) -> Option<NodeId>, looks: &[u64]) -> Vec<bool> {
    let mut b = Bench::new(2);
    for id in ["m0", "m1"] {
        b.leader.grant(&m(id), A, "test", b.now);
        b.confirm(id, &[]);
    }
    // Neither controller is in the machines' zone.
    b.leader.ctx.zones = vec!["west".into(), "west".into()];
    let mut got = Vec::new();
    for second in 1..=looks.iter().copied().max().unwrap_or(0) {
        b.tick(1000);
        let s = b.state("m1", b.token("m1"), &[]);
        for n in [A, B] {
            let states = if hears(second) == Some(n) { vec![s.clone()] } else { Vec::new() };
            b.sync(n, &states, &[]);
        }
        if looks.contains(&second) {
            got.push(b.leader.machines[&m("m0")].stage == Stage::Deleting);
        }
    }
    got
}

/// A cut looks like the death of one machine after the other. Two grown days
/// lost half their replicas to deletions of live machines.
#[test]
fn a_machine_is_dead_only_where_its_holder_hears_a_neighbour() {
    // (who hears m1 while m0 is silent, whether m0 is deleted after 7 s, after 30 s)
    let cases = [
        ("its holder, which holds both", Some(A), [true, true]),
        ("another controller, over another way", Some(B), [false, true]),
        ("nobody: the zone may be cut off", None, [false, false]),
    ];
    for (what, hears, deleted) in cases {
        let got = m0_deleted(|_| hears, &[7, 30]);
        assert_eq!(got, deleted, "m1 is heard by {what}");
    }
}

/// The first machine that was heard after a cut was taken for proof that all
/// others of its zone are dead: a fleet day lost 301 live ones in that moment.
#[test]
fn the_end_of_a_cut_dooms_nobody() {
    // (who hears m1 once the cut is over, whether m0 is deleted then after 2 s, 4 s, 30 s)
    for (hears, deleted) in [(A, [false, false, true]), (B, [false, false, true])] {
        let got = m0_deleted(|second| (second > 40).then_some(hears), &[42, 44, 70]);
        assert_eq!(got, deleted, "m1 is heard by {hears:?}");
    }
}

/// A leader that takes over does not know what became of the tasks of a job
/// that was cancelled before; a day lost fifty machines behind a cut to that.
#[test]
fn a_settled_cancellation_costs_no_machine() {
    for settled in [false, true] {
        let mut b = Bench::new(1);
        b.job(1, 40, "t", "standing", "prod", 1, 4.0);
        let end = json!({"end": "aborted", "at": 1_000_000, "gone": settled});
        b.ledger.apply(&keys::end(JobId(1)), Some(&end), 45);
        let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
        // No controller is in the machine's zone, so its silence may be a cut.
        let away = Context { zones: vec!["west".into(), "west".into()], ..context() };
        b.leader = Leader::new(away, TERM + 1, 80, &b.ledger, &sizes, b.now, 1_000_000);
        for _ in 0..25 {
            b.tick(1000);
            b.sync(A, &[], &[]);
            b.sync(B, &[], &[]);
        }
        let doomed = b.leader.machines[&m("m0")].stage == Stage::Deleting;
        assert_eq!(doomed, !settled, "settled: {settled}");
    }
}

/// A team's backlog beyond its limit can't start, so no machine is rented for
/// it: a grown world rented three times what it needed and returned it idle.
#[test]
fn nothing_is_rented_for_what_a_limit_forbids() {
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
    for (jobs, want) in cases {
        let mut b = Bench::new(0);
        let mut demands = Vec::new();
        for (i, (team, tasks, cpus)) in jobs.iter().enumerate() {
            b.job(1 + i as u64, 60, team, "array", "standard", *tasks, *cpus);
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
        assert_eq!(demands.iter().map(|d| d.pending_tasks).sum::<u32>(), want, "{jobs:?}");
    }
    // The same through what is rented: 40 CPUs wait, 4 may run.
    let mut b = Bench::new(0);
    b.job(1, 60, "tight", "array", "standard", 20, 2.0);
    b.leader.plan_scale_out(&flavors, b.now);
    let rented: u32 = b.leader.hires.values().map(|(r, ..)| r.count).sum();
    assert_eq!(rented, 1);
}

/// A task that may fail so often is counted once an attempt, is not started
/// again before that is recorded, and ends its job by what is recorded alone.
#[test]
fn attempts_are_used_up_by_record() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.job(1, 60, "t", "array", "standard", 2, 2.0);
    b.edit(1, 61, |s| s.max_attempts = Some(2));
    // The change of the record is not a new job: made anew here, as at a start.
    b.leader.jobs.clear();
    b.leader.job_changed(JobId(1), &b.ledger, b.now);
    // It ran long elsewhere: the failure is no reason to avoid the machine.
    b.leader.jobs.get_mut(&JobId(1)).unwrap().ran_well = true;
    b.tick(30);
    let first = b.fail(1, 0);
    assert_eq!(b.leader.attempts_of(JobId(1), 0), 1, "three reports of one attempt count once");
    b.pass(4);
    assert_eq!(b.attempt(task(1, 0)), None, "not started again before it is recorded");
    b.save_failures(70);
    b.pass(4);
    let fails = |b: &Bench| {
        let w = b.leader.writes(&b.ledger, 4000, b.now);
        w.iter().filter(|w| matches!(w, LeaderWrite::JobFailed(..))).count()
    };
    assert_eq!(fails(&b), 0);
    // A new leader goes on from the record.
    let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
    b.leader = Leader::new(context(), TERM + 1, 80, &b.ledger, &sizes, b.now, 1_000_000);
    b.sync(A, &[], &[]);
    b.sync(B, &[], &[]);
    b.tick(1000);
    b.confirm("m0", &[]);
    b.tick(30);
    assert!(b.attempt(task(1, 0)).expect("again") > first);
    b.fail(1, 0);
    assert_eq!(fails(&b), 0, "the second failure is not recorded yet");
    b.pass(10);
    assert_eq!(b.attempt(task(1, 0)), None);
    b.save_failures(90);
    b.pass(10);
    assert_eq!((fails(&b), b.attempt(task(1, 0))), (1, None));
    // Ended by that record, it is over once and for all, and says why.
    let end = json!({"end": "aborted", "at": 1_000_000, "why": "attempts used up"});
    b.ledger.apply(&keys::end(JobId(1)), Some(&end), 95);
    b.leader.job_changed(JobId(1), &b.ledger, b.now);
    b.pass(10);
    let job = &b.ledger.jobs[&JobId(1)];
    assert_eq!((job.phase, job.cause.as_deref()), (Phase::Cancelled, Some("attempts used up")));
    assert_eq!((fails(&b), b.attempt(task(1, 0))), (0, None));
}

/// A faulty machine is the one with room: a job's bounded attempts go elsewhere while
/// there is, or may soon be, an elsewhere.
#[test]
fn bounded_attempts_are_not_used_up_on_one_machine() {
    // (machines, proven to run well, seconds after the failure; where it goes)
    let cases: [(usize, bool, u32, Option<&str>); 5] = [
        (1, false, 2, None),
        (1, false, 14, None),
        (1, false, 17, Some("m0")),
        (1, true, 2, Some("m0")),
        (2, false, 2, Some("m1")),
    ];
    for (machines, proven, seconds, want) in cases {
        let mut b = Bench::new(1);
        b.confirm("m0", &[]);
        b.job(1, 60, "t", "array", "standard", 1, 8.0);
        b.edit(1, 61, |s| s.max_attempts = Some(4));
        b.leader.jobs.clear();
        b.leader.job_changed(JobId(1), &b.ledger, b.now);
        b.tick(30);
        b.fail(1, 0);
        b.leader.machines.get_mut(&m("m0")).unwrap().failures = 1;
        b.leader.jobs.get_mut(&JobId(1)).unwrap().ran_well = proven;
        b.save_failures(70);
        if machines == 2 {
            let v = json!({"t": "big", "z": "east", "s": false, "a": "addr1"});
            b.ledger.apply(&keys::machine(&m("m1")), Some(&v), 71);
            let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
            let mut new = Machine::new(&b.ledger.machines[&m("m1")], sizes["big"], Stage::Up, b.now);
            new.recorded = true;
            b.leader.machines.insert(m("m1"), new);
            b.tick(200);
            b.confirm("m1", &[]);
        }
        b.pass(2 * seconds);
        let run = &b.leader.jobs[&JobId(1)];
        let hint =
            run.bound.get(&0).and_then(|x| x.unresolved_assignment.as_ref()).map(|h| h.hint.to_string());
        assert_eq!(hint.as_deref(), want, "{machines} machines, proven {proven}, {seconds} s");
    }
}

/// A change of the number of tasks: what is above is not started, what comes
/// is, and what was done counts if it is still asked for.
#[test]
fn a_job_is_scaled_in_place() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.job(1, 60, "t", "standing", "prod", 2, 1.0);
    b.tick(30);
    let handed = |b: &Bench| b.leader.jobs[&JobId(1)].bound.keys().copied().collect::<Vec<_>>();
    assert_eq!(handed(&b), [0, 1]);
    // (tasks from now on, bound after it with no report of an end)
    for (i, (tasks, want)) in
        [(4, vec![0, 1, 2, 3]), (1, vec![0, 1, 2, 3]), (3, vec![0, 1, 2, 3])].iter().enumerate()
    {
        b.edit(1, 70 + i as u64, |s| s.tasks = *tasks);
        b.tick(30);
        assert_eq!(handed(&b), *want, "{tasks}");
        assert_eq!(b.leader.jobs[&JobId(1)].pending_tasks(), 0, "{tasks}");
        assert!(b.leader.check_sums().is_ok());
    }
    // The one above goes; nothing replaces it until it is asked for again.
    let a3 = b.attempt(task(1, 3)).unwrap();
    b.sync(A, &[], &[AssignmentOutcome { attempt: a3, machine: None }]);
    b.tick(30);
    assert_eq!(handed(&b), [0, 1, 2]);
    b.edit(1, 80, |s| s.tasks = 4);
    b.tick(30);
    assert_eq!(handed(&b), [0, 1, 2, 3]);
}

/// A new version starts only when nothing of the old one is left anywhere.
#[test]
fn a_replacement_waits_for_the_end_of_what_it_replaces() {
    for record_first in [false, true] {
        let mut b = Bench::new(1);
        b.confirm("m0", &[]);
        b.job(1, 60, "t", "standing", "prod", 1, 1.0);
        b.tick(30);
        let a = b.attempt(task(1, 0)).unwrap();
        b.sync(A, &[], &[AssignmentOutcome { attempt: a, machine: Some(m("m0")) }]);
        let on = b.state("m0", b.token("m0"), &[(task(1, 0), a, TaskState::Running)]);
        b.sync(A, &[on], &[]);
        b.job(2, 61, "t", "standing", "prod", 1, 1.0);
        b.edit(2, 62, |s| s.replaces = vec![JobId(1)]);
        b.leader.jobs.remove(&JobId(2));
        b.leader.job_changed(JobId(2), &b.ledger, b.now);
        let started = |b: &mut Bench| {
            b.tick(100);
            b.attempt(task(2, 0)).is_some()
        };
        assert!(!started(&mut b), "the old one is active");
        b.ledger.apply(&keys::end(JobId(1)), Some(&json!({"end": "aborted", "at": 1_000_000})), 70);
        b.leader.job_changed(JobId(1), &b.ledger, b.now);
        assert!(!started(&mut b), "its task is still on a machine");
        // Either alone is not enough: the record, or that nothing is known to be bound.
        let gone = json!({"end": "aborted", "at": 1_000_000, "gone": true});
        let record = |b: &mut Bench| {
            b.ledger.apply(&keys::end(JobId(1)), Some(&gone), 75);
            b.leader.job_changed(JobId(1), &b.ledger, b.now);
        };
        let empty = |b: &mut Bench| {
            let s = b.state("m0", b.token("m0"), &[]);
            b.sync(A, &[s], &[]);
        };
        if record_first {
            record(&mut b);
            assert!(!started(&mut b), "it is still on a machine, whatever the record says");
            empty(&mut b);
        } else {
            empty(&mut b);
            assert!(!started(&mut b), "that nothing is left is not recorded");
            record(&mut b);
        }
        assert!(started(&mut b), "{record_first}");
    }
}

#[test]
fn the_log_says_who_waits_longest_and_why() {
    use super::pending_reasons::PendingReason;
    type Step = fn(&mut Bench);
    // A job that takes all of the machine's eight CPUs.
    let fill: Step = |b| {
        b.confirm("m0", &[]);
        b.job(8, 60, "t", "array", "standard", 1, 8.0);
        b.tick(30);
    };
    // (what comes before, the job that waits: team, tasks, CPUs; why)
    let cases: [(&str, Step, (&str, u32, f64), PendingReason); 6] = [
        ("nobody heard the machine", |b| b.seq[0] += 1, ("t", 1, 1.0), PendingReason::UnconfirmedMachines),
        ("the machine is full", fill, ("t", 1, 8.0), PendingReason::NoFreeCapacity),
        (
            "the machine is full, and the cloud has none",
            |b| {
                b.confirm("m0", &[]);
                b.job(8, 60, "t", "array", "standard", 1, 8.0);
                b.tick(30);
                b.leader.refused.insert(("big".into(), "east".into(), false), b.now + Micros::secs(35));
            },
            ("t", 1, 8.0),
            PendingReason::CloudSoldOut,
        ),
        (
            "its team is at its limit",
            |b| {
                b.confirm("m0", &[]);
                b.job(8, 60, "tight", "array", "standard", 1, 4.0);
                b.tick(30);
            },
            ("tight", 1, 4.0),
            PendingReason::TeamLimit,
        ),
        (
            "it replaces one that runs",
            |b| {
                b.confirm("m0", &[]);
                b.job(8, 60, "t", "array", "standard", 1, 1.0);
                b.tick(30);
            },
            ("t", 1, 1.0),
            PendingReason::DependencyNotEnded,
        ),
        (
            "nothing was handed out yet",
            |b| b.confirm("m0", &[]),
            ("t", 1, 1.0),
            PendingReason::QueuedBehindOthers,
        ),
    ];
    for (what, before, (team, tasks, cpus), want) in cases {
        let mut b = Bench::new(1);
        before(&mut b);
        b.job(
            9,
            if want == PendingReason::UnconfirmedMachines { 40 } else { 61 },
            team,
            "array",
            "standard",
            tasks,
            cpus,
        );
        if want == PendingReason::DependencyNotEnded {
            b.edit(9, 62, |s| s.replaces = vec![JobId(8)]);
            b.leader.jobs.remove(&JobId(9));
            b.leader.job_changed(JobId(9), &b.ledger, b.now);
        }
        assert!(b.leader.longest_pending(b.now).is_empty(), "{what}: too soon");
        let waits = b.leader.longest_pending(b.now + Micros::secs(40));
        let got: Vec<(JobId, PendingReason)> = waits.iter().map(|w| (w.1, w.3)).collect();
        assert_eq!(got, [(JobId(9), want)], "{what}");
    }
}

/// Arrays that may run on spot machines get ordinary ones only while spot ones
/// are sold out, after a minute of that, and no more than others hold.
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
    // (ordinary machines there, seconds since the term began, spot machines had
    // ten seconds before, rented: ordinary ones, one of them the room that is
    // kept for replicas where there are any)
    // In the last one of those there is a spot machine, so that some can be had: no more
    // than room for replicas on two.
    let cases = [
        (6, 100, 0, 3 + 1, false),
        (6, 30, 0, 1, false),
        (6, 100, 40, 1, false),
        (2, 100, 0, 1 + 1, false),
        (0, 100, 0, 0, false),
        (6, 100, 0, 2, true),
    ];
    for (there, passed, had, want, spot) in cases {
        let mut b = Bench::new(there);
        if let Some(m) = b.leader.machines.get_mut(&m("m0")).filter(|_| spot) {
            m.spot = true;
        }
        for i in 0..there {
            b.confirm(&format!("m{i}"), &[]);
            b.job(100 + i as u64, 60, "t", "standing", "prod", 1, 8.0);
        }
        b.tick(30);
        b.job(1, 61, "t", "array", "standard", 80, 8.0);
        b.edit(1, 62, |s| s.spot = true);
        b.leader.jobs.remove(&JobId(1));
        b.leader.job_changed(JobId(1), &b.ledger, b.now);
        let at = b.now + Micros::secs(passed);
        b.leader.spot_had.push_back((at - Micros::secs(10), had));
        // Asked for just now, and refused.
        b.leader.refused.insert(("big".into(), "east".into(), true), at);
        b.leader.autoscale(&[flavor(Some(0.3))], at);
        let rented: u32 = b.leader.hires.values().filter(|(r, ..)| !r.spot).map(|(r, ..)| r.count).sum();
        assert_eq!(rented, want, "{there} machines, {passed} s, {had} spot machines had, some: {spot}");
    }
}

/// Mistaken jobs fail on every machine; one machine fails everybody's tasks.
#[test]
fn a_mistaken_job_is_tried_alone_and_blames_no_machine() {
    let mut b = Bench::new(2);
    b.confirm("m0", &[]);
    b.confirm("m1", &[]);
    for job in [1, 2] {
        b.job(job, 60 + job, "t", "array", "standard", 20, 1.0);
    }
    // All that runs of them fails on both machines, again and again.
    let mut most = Vec::new();
    for _ in 0..120 {
        b.tick(500);
        let mut ends: BTreeMap<MachineId, Vec<(TaskId, Attempt, TaskState)>> = BTreeMap::new();
        let mut outcomes = Vec::new();
        for OnItsWay { out: h, .. } in b.leader.handouts.values() {
            outcomes
                .push(AssignmentOutcome { attempt: h.attempt, machine: Some(h.preferred_machine.clone()) });
            ends.entry(h.preferred_machine.clone()).or_default().push((h.task, h.attempt, TaskState::Failed));
        }
        most.push(outcomes.len());
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
    assert!(most[0] > 2, "{most:?}");
    // In the last half of the minute two at a time at most, and seldom.
    assert!(most[60..].iter().all(|n| *n <= 2), "{most:?}");
    assert!(most[60..].iter().sum::<usize>() <= 8, "{most:?}");
    for id in ["m0", "m1"] {
        assert_eq!(b.leader.machines[&m(id)].draining, None, "{id}");
    }
    // A job that runs well elsewhere, and fails on m0: that machine is at fault.
    b.job(3, 90, "t", "array", "standard", 1, 1.0);
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

/// Small tasks of a higher priority come without end, and take what becomes free: a job
/// whose task needs a whole machine would never begin.
#[test]
fn an_overdue_job_begins_where_small_tasks_never_end() {
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    b.job(1, 61, "t", "array", "high", 5_000, 1.0);
    b.job(2, 62, "owner", "array", "idle", 3, 8.0);
    let (mut on, mut began) = (Vec::<(TaskId, Attempt, u32)>::new(), None);
    let mut after = 0;
    for half in 0..400u32 {
        b.tick(500);
        let mut outcomes = Vec::new();
        for OnItsWay { out: h, .. } in b.leader.handouts.values() {
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
        let told: Vec<_> = on.iter().map(|(t, a, end)| (*t, *a, state(*end))).collect();
        b.now = b.now + Micros(1);
        b.confirm("m0", &told);
        on.retain(|(.., end)| *end > half);
        after += (began.is_some() && on.iter().any(|(t, ..)| t.job == JobId(1))) as u32;
    }
    let began = began.expect("it never began");
    assert!((100..130).contains(&began), "it began after {began} s");
    // One task of it, and the others go on.
    assert!(after > 100, "{after}");
    assert_eq!(b.leader.machines[&m("m0")].gathers, None);
}

/// Copies of reports come late, to anybody; a new leader has nothing to compare with.
#[test]
fn copies_of_reports_prove_nothing() {
    let sizes = MachineSizes::from([("big".into(), Resources::capacity(8.0, 0.0, 32.0))]);
    let rec = |build: &str| MachineRecord {
        machine_type: build.into(),
        zone: "east".into(),
        spot: false,
        addr: "a:1".into(),
    };
    let no = |tally| HeartbeatSeq { agent_epoch: 1, sequence: tally };
    // (machine, its kind, number of the report, whether it was asked; whether it counts
    // as seen by B, whether it is on the books then)
    let cases = [
        ("m0", "big", no(5), false, false, true),
        ("m0", "big", no(1), true, false, true),
        ("m0", "big", HeartbeatSeq { agent_epoch: 1, sequence: u64::MAX }, false, true, true),
        ("m0", "small", HeartbeatSeq { agent_epoch: 2, sequence: 1 }, false, false, true),
        ("m9", "big", no(7), false, true, false),
        ("m9", "big", no(7), true, true, true),
    ];
    for (i, (id, build, report, asked, counts, there)) in cases.into_iter().enumerate() {
        let mut b = Bench::new(1);
        b.confirm("m0", &[]);
        let s = UnleasedReport { id: m(id), report, probed: asked };
        b.leader.seen(B, &s, &rec(build), &sizes, b.now);
        let seen = b.leader.last_seen.get(&m(id)).is_some_and(|(n, _)| *n == B);
        assert_eq!((seen, b.leader.machines.contains_key(&m(id))), (counts, there), "case {i}");
        if id == "m9" && !asked {
            // It is asked itself, not taken at its word.
            assert_eq!(b.leader.probes, [(B, m("m9"), "a:1".to_owned())]);
        }
    }
    // A holder's word that it was heard counts once for each report.
    let mut b = Bench::new(1);
    b.confirm("m0", &[]);
    let heard = b.leader.machines[&m("m0")].heard;
    let mut s = b.state("m0", b.token("m0"), &[]);
    s.last_report = b.leader.machines[&m("m0")].newest;
    b.now = b.now + Micros::secs(2);
    b.sync(B, &[s], &[]);
    assert_eq!(b.leader.machines[&m("m0")].heard, heard, "a copy at another controller");
}

/// Machines that report and hear nothing: those with tasks go before their leases end,
/// a few at a time; where most of a controller's are so, it is its way out.
#[test]
fn what_hears_nothing_is_deleted_within_a_budget() {
    // (machines, those that hear nothing, with tasks; deleted after 10 s and after 30 s)
    let cases = [(6, 1, true, 1, 1), (6, 1, false, 0, 1), (8, 3, true, 2, 3), (10, 9, true, 0, 2)];
    for (machines, deaf, busy, early, late) in cases {
        let mut b = Bench::new(machines);
        let names: Vec<String> = (0..machines).map(|i| format!("m{i}")).collect();
        names.iter().for_each(|id| b.confirm(id, &[]));
        if busy {
            for i in 0..machines {
                b.job(100 + i as u64, 60, "t", "array", "standard", 1, 8.0);
            }
            b.tick(30);
            let placed = |h: &OnItsWay| AssignmentOutcome {
                attempt: h.out.attempt,
                machine: Some(h.out.preferred_machine.clone()),
            };
            let outcomes: Vec<AssignmentOutcome> = b.leader.handouts.values().map(placed).collect();
            b.sync(A, &[], &outcomes);
            b.sync(B, &[], &outcomes);
        }
        let mut gone = Vec::new();
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
                s.acknowledges_commands = i >= deaf;
                let from = b.leader.machines[&m(id)].holder.unwrap_or(holder);
                b.sync(from, &[s], &[]);
            }
            b.sync(A, &[], &[]);
            b.sync(B, &[], &[]);
            let deleting = |id: &&String| b.leader.machines[&m(id)].stage == Stage::Deleting;
            if half == 20 || half == 60 {
                gone.push(names.iter().filter(deleting).count());
            }
        }
        assert_eq!(gone, [early, late], "{deaf} of {machines}, busy {busy}");
    }
}

/// A leader that stood still has a doubt from before, and all that was said meanwhile
/// comes at once: nobody had a chance to answer it.
#[test]
fn a_doubt_from_before_a_freeze_dooms_nobody() {
    let mut b = Bench::new(1);
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

/// Before a user hears of a cancellation, who doesn't know of it must not be able to order
/// a start: it holds one that was not seen on its machine, and its block's lease may run.
#[test]
fn a_start_may_follow_from_who_does_not_know_of_the_cancellation() {
    type Step = fn(&mut Bench, Attempt);
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
    let (nobody, itself, earlier) = (vec![0, 0], vec![0, 6], vec![0, 5]);
    let lease = Operator::default().block_lease;
    // (what, what happens after the hand-out to B, who knows, whose process is gone, time
    // since B was heard, whether a start may follow)
    let cases = [
        ("handed out", nothing, &nobody, None, Micros(0), true),
        ("handed out, and it knows", nothing, &itself, None, Micros(0), false),
        ("an earlier process of it knew", nothing, &earlier, None, Micros(0), true),
        ("its process is gone", nothing, &nobody, Some(B), Micros(0), false),
        ("another's process is gone", nothing, &nobody, Some(A), Micros(0), true),
        ("its lease may run", nothing, &nobody, None, lease - Micros::millis(1), true),
        ("its lease has run out", nothing, &nobody, None, lease, false),
        (
            "refused",
            |b, a| b.sync(B, &[], &[AssignmentOutcome { attempt: a, machine: None }]),
            &nobody,
            None,
            Micros(0),
            false,
        ),
        ("starting", placed, &nobody, None, Micros(0), true),
        ("starting, and it knows", placed, &itself, None, Micros(0), false),
        ("running", running, &nobody, None, Micros(0), false),
        ("its machine is granted to another, whose token is not seen", moved, &nobody, None, Micros(0), true),
        (
            "its machine is deleted",
            |b, _| b.leader.deletion_confirmed(&[m("m0")], b.now),
            &nobody,
            None,
            Micros(0),
            false,
        ),
    ];
    for (what, step, acknowledged_by, ended, later, want) in cases {
        let mut b = Bench::new(1);
        b.leader.grant(&m("m0"), B, "test", b.now);
        b.confirm("m0", &[]);
        b.job(1, 60, "t", "array", "standard", 1, 4.0);
        b.tick(30);
        let attempt = b.attempt(task(1, 0)).expect("handed out");
        b.sync(B, &[], &[]);
        step(&mut b, attempt);
        let ended: Vec<NodeId> = ended.into_iter().collect();
        let got = b.leader.start_may_follow(JobId(1), acknowledged_by, &ended, b.now + later);
        assert_eq!(got, want, "{what}");
    }
}

#[test]
fn pages_of_the_list_leave_calls_for_what_is_rented() {
    let mut b = Bench::new(1);
    let page = |name: &str, truncated| {
        let rental = json!({"ref": name, "addr": "", "build": "other", "yard": "east", "loaners": false,
            "stage": "running", "held_s": 1.0});
        serde_json::from_value(json!({"hosts": [rental], "truncated": truncated})).unwrap()
    };
    // (what the last page was; after so many milliseconds, the next one after this machine)
    let steps: [(Option<Rentals>, u64, Option<&str>); 4] = [
        (Some(page("m500", true)), 400, Some("m500")),
        (Some(page("m900", true)), 400, Some("m900")),
        // A call that failed is made again.
        (None, 400, Some("m900")),
        (Some(page("m999", false)), 2_000, None),
    ];
    let sizes = MachineSizes::default();
    for (i, (last, pause, from)) in steps.into_iter().enumerate() {
        b.leader.list_page_received(last.as_ref(), &sizes, b.now);
        let lists = |b: &mut Bench, ms| {
            let wishes = b.leader.autoscale(&[], b.now + Micros::millis(ms));
            wishes.into_iter().find(|w| matches!(w, CloudRequest::List(_)))
        };
        assert_eq!(lists(&mut b, pause - 50), None, "step {i}");
        assert_eq!(lists(&mut b, pause), Some(CloudRequest::List(from.map(str::to_owned))), "step {i}");
        b.now = b.now + Micros::millis(pause);
    }
}

#[test]
fn many_machines_are_asked_for_in_several_rentals() {
    let want = RentalKind { machine_type: "big".into(), zone: "east".into(), spot: false };
    // (machines, rentals that may be open; machines in each)
    let cases: [(u32, usize, &[u32]); 3] = [(7, 6, &[7]), (166, 6, &[50, 50, 50, 16]), (250, 2, &[50, 50])];
    for (machines, open, counts) in cases {
        let mut b = Bench::new(0);
        b.leader.create_scale_out_requests(&want, machines, open, b.now);
        let asked: Vec<u32> = b.leader.hires.values().map(|(r, ..)| r.count).collect();
        assert_eq!(asked, counts, "{machines} machines");
    }
}
