//! Direct commands to workers that were carried out and answered, and arrive once more. Nobody
//! waits for the second answer. The worker carries a command out again as long as its fencing token
//! and agent epoch still match, so that a start whose attempt was cleared would start it again.
use super::fast_restarts::{FAST_RESTARTS, SEVEN_CONTROLLERS_FAST_RESTARTS};
use super::partial_failures::{PARTIAL_FAILURES, SEVEN_CONTROLLERS_PARTIAL_FAILURES};
use super::scenarios::Action::{self, *};
use super::scenarios::{Controllers::*, Workload, long_jobs_sized};
use super::*;
use std::collections::BTreeSet;

/// Delay of a repetition in random simulations: up to several worker leases.
const DELAY: std::ops::Range<u64> = 300 * MS..60 * S;
/// In scenes every start is repeated at this interval, so that one follows every other event.
const SCENE_INTERVAL: u64 = 100 * MS;

/// Commands that are repeated.
pub struct Repetitions {
    /// Independent of the simulation's other random choices.
    rng: fastrand::Rng,
    /// One call in this many is repeated; 0 for none.
    one_in: u32,
    /// The same for other requests.
    others_one_in: u32,
    /// In a scene: the calls with starts that were carried out.
    starts: Option<Vec<Call>>,
    /// Calls that were carried out once more.
    pub carried_out: usize,
    /// Transactions that were carried out once more, and whose conditions held.
    pub transactions: usize,
}

impl Repetitions {
    pub fn new(seed: u64, size: &Size) -> Self {
        Repetitions {
            rng: fastrand::Rng::with_seed(seed),
            one_in: size.repeat_one_in,
            others_one_in: size.repeat_others_one_in,
            starts: None,
            carried_out: 0,
            transactions: 0,
        }
    }

    /// Whether one of this many requests is repeated, and how much later.
    fn delay(&mut self, one_in: u32) -> Option<u64> {
        (one_in > 0 && self.rng.u32(0..one_in) == 0).then(|| self.rng.u64(DELAY))
    }
}

impl World {
    /// Plans the repetition of a call that a worker has carried out and answered.
    pub fn repeat_command(&mut self, call: &Call) {
        if let Some(starts) = &mut self.repetitions.starts {
            let request: CommandRequest = serde_json::from_slice(&call.body).unwrap();
            let has_start = request.commands.iter().any(|c| c.action == "run");
            if has_start && !starts.iter().any(|kept| kept.body == call.body) {
                starts.push(call.clone());
            }
        }
        if let Some(late) = self.repetitions.delay(self.repetitions.one_in) {
            self.at(late, Event::RepeatedCommand(call.clone()));
        }
    }

    /// Plans the repetition of a change that the state service has made: a transaction, or a lease
    /// that was granted, renewed or ended.
    pub fn repeat_write(&mut self, call: &Call, outcome: &Outcome) {
        if call.method != "GET"
            && matches!(outcome, Outcome::Answer(200, _))
            && let Some(late) = self.repetitions.delay(self.repetitions.others_one_in)
        {
            self.at(late, Event::RepeatedCall(call.clone()));
        }
    }

    /// The same for a rental or a deletion.
    pub fn repeat_cloud_call(&mut self, call: &Call, status: u16) {
        if call.method == "POST"
            && status == 200
            && let Some(late) = self.repetitions.delay(self.repetitions.others_one_in)
        {
            self.at(late, Event::RepeatedCall(call.clone()));
        }
    }

    /// Plans the repetition of a message to another controller.
    pub fn repeat_message(
        &mut self,
        from: usize,
        to: usize,
        incarnation: u64,
        message: &gorseshore_core::peer::Message,
    ) {
        if let Some(late) = self.repetitions.delay(self.repetitions.others_one_in * 4) {
            self.at(late, Event::Peer(from, to, incarnation, message.clone()));
        }
    }

    /// Carries out a call to the state service or the cloud once more.
    pub fn carry_out_call_again(&mut self, call: &Call) {
        if matches!(call.target, Target::Cloud) {
            self.handle_cloud_call(call.method, &call.path, &call.body);
            return;
        }
        let outcome = self.state.request(call.method, &call.path, &call.body, self.now);
        let changed = call.path == "/multi" && matches!(outcome, Outcome::Answer(200, _));
        self.repetitions.transactions += changed as usize;
    }

    /// Carries out a command once more.
    pub fn carry_out_again(&mut self, call: &Call) {
        let Target::Worker(addr) = &call.target else { return };
        let now = self.now;
        let hung = self.machines.get(addr).map_or(0, |m| m.hung_until);
        if hung > now {
            return self.at(hung - now + 500, Event::RepeatedCommand(call.clone()));
        }
        let answer = self.carry_out_worker_call(addr, call);
        self.repetitions.carried_out += matches!(answer, Some((200, _))) as usize;
    }

    /// In a scene: all starts arrive once more.
    pub fn repeat_starts(&mut self) {
        for call in self.repetitions.starts.clone().unwrap_or_default() {
            self.carry_out_again(&call);
        }
        self.at(SCENE_INTERVAL, Event::RepeatStarts);
    }

    /// Checks that no machine carries out the start of an attempt twice.
    pub fn check_repeated_starts(&mut self) {
        let repeated = self.machines.values_mut().flat_map(|m| std::mem::take(&mut m.repeated_starts));
        for start in repeated.collect::<Vec<_>>() {
            self.report_violation("started_again", start);
        }
    }
}

/// An exited attempt is cleared within this time where nothing fails.
const MAX_CLEAR_TIME: u64 = 15 * S;

/// What happens in a scene.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Every third machine fails its tasks until `MachinesRecover`.
    MachinesFailTasks,
    MachinesRecover,
    /// Every third worker restarts within a second, with nothing in memory.
    WorkersLoseMemory,
    /// Users submit a service that has priority over the running tasks and needs all capacity.
    SubmitUrgentService,
    Perform(Action),
}
use Step::*;

struct Scene {
    name: &'static str,
    /// Run time of each task.
    run_us: u64,
    /// Time after the first repetition, and what happens then.
    steps: &'static [(u64, Step)],
}

/// Shorter than the shortest restart of a scenario, 100 ms, in thousandths of the time that a
/// cancellation may take.
const AT_ONCE: u64 = 2;

const SCENES: &[Scene] = &[
    Scene {
        name: "a_task_fails_and_runs_elsewhere",
        run_us: 60 * S,
        steps: &[(S, MachinesFailTasks), (6 * S, MachinesRecover)],
    },
    Scene { name: "tasks_are_done", run_us: 12 * S, steps: &[] },
    Scene {
        name: "tasks_are_preempted_and_moved",
        run_us: 60 * S,
        steps: &[(S, SubmitUrgentService), (20 * S, Perform(Cancel(All)))],
    },
    Scene {
        name: "a_cancellation_is_confirmed_and_its_tasks_are_cleared",
        run_us: 400 * S,
        steps: &[(S, Perform(Cancel(Leader)))],
    },
    Scene {
        name: "the_controllers_are_back_at_once",
        run_us: 14 * S,
        steps: &[
            (S, MachinesFailTasks),
            (2 * S, Perform(Terminate(Other(1), AT_ONCE))),
            (4 * S, MachinesRecover),
            (9 * S, Perform(Terminate(Other(2), AT_ONCE))),
            (15 * S, Perform(Terminate(All, AT_ONCE))),
        ],
    },
    Scene {
        name: "the_leader_is_back_at_once",
        run_us: 14 * S,
        steps: &[
            (S, MachinesFailTasks),
            (2 * S, Perform(Terminate(Leader, AT_ONCE))),
            (4 * S, MachinesRecover),
            (10 * S, Perform(LeaderChanges(4))),
        ],
    },
    Scene {
        name: "machines_change_their_holder",
        run_us: 14 * S,
        steps: &[
            (S, MachinesFailTasks),
            (2 * S, Perform(Terminate(Other(1), 400))),
            (4 * S, MachinesRecover),
            (10 * S, Perform(Isolated(Other(2), 500))),
        ],
    },
    Scene {
        name: "workers_begin_a_new_session",
        run_us: 14 * S,
        steps: &[(S, MachinesFailTasks), (2 * S, Perform(MachinesHang(500))), (20 * S, MachinesRecover)],
    },
    Scene {
        name: "nobody_can_raise_a_token",
        run_us: 8 * S,
        steps: &[(S, Perform(StateOutage(800))), (2 * S, Perform(Terminate(Leader, 600)))],
    },
];

fn perform_step(w: &mut World, step: Step) {
    match step {
        MachinesFailTasks => w.machines.values_mut().step_by(3).for_each(|m| m.fails_all_tasks = true),
        WorkersLoseMemory => {
            let now = w.now;
            w.machines.values_mut().step_by(3).for_each(|m| m.lose_memory(now));
        }
        MachinesRecover => w.machines.values_mut().for_each(|m| m.fails_all_tasks = false),
        SubmitUrgentService => {
            // No more machines can be rented.
            w.size.capacity = [0, 0];
            let j = w.jobs.len();
            let body = json!({"ref": format!("j-{j:06}"), "lot": "urgent", "crew": "free",
                "manner": "standing", "rank": "prod", "pieces": 60, "cpus": 4.0, "gpus": 0.0,
                "memory_gb": 1.0, "bundle": "i", "image_gb": 0.4, "builds": null, "yard": null,
                "same_place": false, "apart": false, "loaners": false, "guess_s": 0.0, "mark_s": 0.0,
                "stow_s": 0.0, "due_s": null});
            let job = Job::new(body, "free", true, 60, 4.0, 400 * S);
            w.jobs.push(job);
        }
        Perform(action) => {
            let leader = w.nodes.iter().position(|n| n.as_ref().is_some_and(Node::leads)).unwrap_or(0);
            w.perform(leader, action);
        }
    }
}

/// Plays a scene with three controllers, in which every start is repeated or none; returns it at its
/// end.
fn play(scene: &Scene, seed: u64, repeat: bool) -> World {
    let mut w = long_jobs_sized(seed, Workload::Single, SMALL);
    let running = w.jobs.len();
    for j in 0..12 {
        let job = &w.jobs[j];
        let mut body = job.body.clone();
        body["ref"] = json!(format!("j-{:06}", running + j));
        body["manner"] = json!("array");
        body["rank"] = json!("standard");
        body["pieces"] = json!(4);
        let job = Job::new(body, "free", false, 4, job.cpus, scene.run_us);
        w.jobs.push(job);
    }
    if repeat {
        w.repetitions.starts = Some(Vec::new());
        w.at(0, Event::RepeatStarts);
    }
    w.run(w.now + 6 * S);
    let start = w.now;
    for (after, step) in scene.steps {
        w.run(start + after);
        perform_step(&mut w, *step);
    }
    w.run(start + 150 * S);
    w
}

/// The exited attempts that machines still have.
fn exited_attempts(w: &World) -> BTreeSet<(String, u64)> {
    let tasks = w.machines.values().flat_map(|m| &m.tasks);
    let exited = tasks.filter(|t| matches!(t.stage, Stage::Exited(_)));
    exited.map(|t| (t.name.clone(), t.attempt)).collect()
}

fn assert_no_violation(name: &str) {
    let scene = SCENES.iter().find(|s| s.name == name).expect("a scene");
    let mut repeated = 0;
    for seed in seeds("REPEATED_SEEDS", 1, 5) {
        let mut w = play(scene, seed, true);
        assert!(w.violations.is_empty(), "{name}, seed {seed}: {:?}", w.violations);
        repeated += w.repetitions.carried_out;
        let exited = exited_attempts(&w);
        w.run(w.now + MAX_CLEAR_TIME);
        let left: Vec<_> = exited_attempts(&w).intersection(&exited).cloned().collect();
        assert!(left.is_empty(), "{name}, seed {seed}: not cleared: {left:?}");
    }
    assert!(repeated > 100, "{name}: only {repeated} repetitions were carried out");
}

macro_rules! scene_tests {
    ($($name:ident),* $(,)?) => {
        /// Each of these guards against a start that is carried out a second time.
        mod scenes {
            $(#[test]
            fn $name() {
                super::assert_no_violation(stringify!($name));
            })*
        }
    };
}
scene_tests!(
    a_task_fails_and_runs_elsewhere,
    tasks_are_done,
    tasks_are_preempted_and_moved,
    a_cancellation_is_confirmed_and_its_tasks_are_cleared,
    the_controllers_are_back_at_once,
    the_leader_is_back_at_once,
    machines_change_their_holder,
    workers_begin_a_new_session,
    nobody_can_raise_a_token,
);

/// A worker that restarts with nothing in memory accepts every command of its first session again,
/// so that this holds without repetitions only; `REPEAT_STARTS=1` repeats every start.
#[test]
fn workers_that_lose_their_memory_break_no_rule() {
    let scene = Scene {
        name: "workers_lose_their_memory",
        run_us: 14 * S,
        steps: &[(S, MachinesFailTasks), (3 * S, WorkersLoseMemory), (4 * S, MachinesRecover)],
    };
    for seed in seeds("REPEATED_SEEDS", 1, 5) {
        let w = play(&scene, seed, std::env::var("REPEAT_STARTS").is_ok());
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        let short: Vec<usize> =
            w.unfinished_jobs().into_iter().filter(|j| w.jobs[*j].run_us == scene.run_us).collect();
        assert!(short.is_empty(), "seed {seed}: {:?} have not ended", w.describe(&short));
    }
}

impl Size {
    /// Repeats a quarter of the direct commands, and one in four other requests or in as many as
    /// `REPEAT_OTHERS` says (0 for none).
    fn with_repeated_requests(self) -> Self {
        let given = std::env::var("REPEAT_OTHERS").ok().and_then(|n| n.parse().ok());
        Size { repeat_one_in: 4, repeat_others_one_in: given.unwrap_or(4), ..self }
    }
}

/// Random simulations with repeated requests of every kind.
fn assert_random_faults_hold(size: Size, seeds: std::ops::Range<u64>) {
    let (mut repeated, mut transactions) = (0, 0);
    for seed in seeds {
        let w = simulate(seed, false, size.with_repeated_requests());
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        let unfinished = w.unfinished_jobs();
        assert!(unfinished.len() <= 1, "seed {seed}: {:?} have not ended", w.describe(&unfinished));
        repeated += w.repetitions.carried_out;
        transactions += w.repetitions.transactions;
    }
    println!("{repeated} repetitions were carried out, and {transactions} transactions");
    assert!(repeated > 0 && transactions > 0, "no request was repeated");
}

#[test]
fn random_faults_with_repeated_requests() {
    assert_random_faults_hold(SMALL, seeds("REPEATED_FAULTS_SEEDS", 100, 124));
}

#[test]
fn random_faults_with_repeated_requests_in_a_large_cluster() {
    assert_random_faults_hold(LARGE, seeds("REPEATED_LARGE_SEEDS", 40, 42));
}

#[test]
fn fast_restarts_with_repeated_requests() {
    assert_random_faults_hold(FAST_RESTARTS, seeds("REPEATED_RESTARTS_SEEDS", 0, 6));
}

#[test]
fn fast_restarts_of_seven_controllers_with_repeated_requests() {
    assert_random_faults_hold(SEVEN_CONTROLLERS_FAST_RESTARTS, seeds("REPEATED_RESTARTS_7_SEEDS", 0, 1));
}

#[test]
fn partial_failures_with_repeated_requests() {
    assert_random_faults_hold(PARTIAL_FAILURES, seeds("REPEATED_PARTIAL_SEEDS", 0, 6));
}

#[test]
fn partial_failures_of_seven_controllers_with_repeated_requests() {
    let seeds = seeds("REPEATED_PARTIAL_7_SEEDS", 0, 2);
    assert_random_faults_hold(SEVEN_CONTROLLERS_PARTIAL_FAILURES, seeds);
}

#[test]
fn nomad_jobs_with_repeated_requests() {
    assert_random_faults_hold(SMALL_WITH_NOMAD, seeds("REPEATED_NOMAD_SEEDS", 0, 4));
}

/// Guards against a first answer that calls a job queued though a job that it needs through others
/// was cancelled before; that showed where half of all requests are repeated.
#[test]
fn the_first_answer_about_a_job_knows_what_was_cancelled_before() {
    for seed in [0, 31, 129] {
        let w = simulate(
            seed,
            false,
            Size { pipelines: true, repeat_one_in: 4, repeat_others_one_in: 2, ..SMALL },
        );
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
    }
}

#[test]
fn pipelines_with_repeated_requests() {
    assert_random_faults_hold(Size { pipelines: true, ..SMALL }, seeds("REPEATED_PIPELINES_SEEDS", 0, 4));
}
