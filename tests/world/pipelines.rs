//! Pipelines: jobs that wait for other jobs. What users do with them, their invariants, and
//! scenarios in which faults coincide with the end or the cancellation of a job that others need.
//! The checks use only what users and workers observe.
use super::fast_restarts::FAST_RESTARTS;
use super::partial_failures::PARTIAL_FAILURES;
use super::scenarios::Action::{self, *};
use super::scenarios::Controllers::{self, *};
use super::scenarios::{NEVER, long_jobs, random_actions};
use super::*;
use std::collections::BTreeSet;

/// When a user cancels a job, beside a set time (`abort_at`).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Cancellation {
    #[default]
    Never,
    /// As soon as it is accepted.
    AtOnce,
    /// As the last task of the last job that it waits for ends.
    AtDependenciesEnd,
    /// As its own last task ends.
    AtOwnEnd,
}

/// What a job's user does with it.
#[derive(Debug, Clone, Copy, Default)]
pub struct UserBehavior {
    /// Submitted only after all jobs that it waits for have ended.
    pub submitted_late: bool,
    pub cancellation: Cancellation,
}

/// A fault that is injected as the last task of a job ends for which others wait.
#[derive(Debug, Clone, Copy)]
pub enum StageEndFault {
    /// The leader exits and restarts at once.
    LeaderRestarts,
    /// All controllers exit and restart at once.
    AllRestart,
    /// The state service drops its change history.
    HistoryDropped,
    /// Half of the writes of job ends and cancellations get no answer and take effect late.
    DelayedEndRecords,
    ZonesPartitioned,
    /// The leader is paused.
    LeaderPaused,
}

/// Time between two such faults, in which a leader can be elected.
const MIN_FAULT_INTERVAL: u64 = 4 * S;
/// Time from the release of a job that waited until it counts as late.
const MAX_TIME_FROM_RELEASE: u64 = 90 * S;

/// State and statistics of the pipelines.
pub struct Observations {
    /// Separate from the world's generator, so that simulations without pipelines stay the same.
    rng: fastrand::Rng,
    next_plan: u64,
    planned: usize,
    /// Starts of tasks whose jobs waited.
    pub starts: usize,
    stage_fault: Option<(StageEndFault, u64)>,
    last_fault_at: u64,
}

impl Observations {
    pub fn new(seed: u64) -> Self {
        Observations {
            rng: fastrand::Rng::with_seed(seed ^ 0x91be),
            next_plan: 3 * S,
            planned: 0,
            starts: 0,
            stage_fault: None,
            last_fault_at: 0,
        }
    }
}

// ---- invariants ---------------------------------------------------------------

/// Whether a job is called queued or running longer than `cancel_timeout` after a job that it needs
/// was reported cancelled.
fn is_orphaned(stage: &str, now: u64, cancelled_from: Option<u64>, cancel_timeout: u64) -> bool {
    matches!(stage, "queued" | "running") && cancelled_from.is_some_and(|t| now > t + cancel_timeout)
}

impl World {
    /// A job that must be done first, and is not.
    pub fn first_unfinished(&self, j: usize) -> Option<usize> {
        let awaits = &self.jobs.get(j)?.awaits;
        awaits.iter().copied().find(|needed| self.jobs[*needed].completed_at.is_none())
    }

    /// Jobs that it needs, directly or through others.
    fn jobs_before(&self, j: usize) -> BTreeSet<usize> {
        let mut before = BTreeSet::new();
        let mut open = vec![j];
        while let Some(next) = open.pop() {
            let new = self.jobs[next].awaits.iter().copied().filter(|needed| before.insert(*needed));
            open.extend(new);
        }
        before
    }

    /// Jobs that need it, directly or through others; they come after it in the list.
    fn jobs_after(&self, j: usize) -> Vec<usize> {
        let mut marked = vec![false; self.jobs.len()];
        marked[j] = true;
        for k in j + 1..self.jobs.len() {
            marked[k] = self.jobs[k].awaits.iter().any(|needed| marked[*needed]);
        }
        (j + 1..self.jobs.len()).filter(|k| marked[*k]).collect()
    }

    /// Whether users requested a cancellation that covers it: of itself, or of a job that it needs
    /// and that was not reported done.
    pub fn cancellation_requested(&self, j: usize) -> bool {
        let requested =
            |needed: &usize| self.jobs[*needed].abort_requested && !self.jobs[*needed].reported_done;
        self.jobs[j].abort_requested || self.jobs_before(j).iter().any(requested)
    }

    /// Called when a job is reported done: jobs after it that were reported cancelled must be so
    /// for another reason.
    pub fn check_cancelled_after(&mut self, j: usize) {
        let reported = |k: &usize| self.jobs[*k].aborted_at.is_some() && !self.cancellation_requested(*k);
        if let Some(k) = self.jobs_after(j).into_iter().find(reported) {
            self.report_violation("went_back", format!("job {k} was called aborted, and job {j} is done"));
        }
    }

    /// Marks a job that was reported cancelled to its user, and all jobs after it.
    pub fn note_cancelled(&mut self, j: usize) {
        let now = self.now;
        self.jobs[j].cancelled_from.get_or_insert(now);
        for k in self.jobs_after(j) {
            self.jobs[k].cancelled_from.get_or_insert(now);
        }
    }

    /// Marks a job that a controller reports as cancelled, and all jobs after it: from then on no
    /// controller may order a start of them.
    pub fn note_confirmed(&mut self, j: usize) {
        if self.faults.confirmed.insert(j) {
            let after = self.jobs_after(j);
            self.faults.confirmed.extend(after);
        }
    }

    /// Checks an answer about a job as it leaves a controller.
    pub fn check_waiting(&mut self, n: usize, id: RequestId, status: u16, body: &[u8]) {
        let Some(Requester::Abort(j) | Requester::Poll(j) | Requester::Submit(j)) =
            self.pending_requests.get(&id)
        else {
            return;
        };
        let j = *j;
        if !matches!(status, 200 | 201) {
            return;
        }
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let stage = answer["stage"].as_str().unwrap_or_default();
        if is_orphaned(stage, self.now, self.jobs[j].cancelled_from, self.size.cancel_timeout) {
            let detail = format!("job {j} is called {stage} ({status}) by controller {n}");
            self.report_violation("orphaned", detail);
        }
        let counted = answer["running"].as_u64().unwrap_or(0) + answer["done"].as_u64().unwrap_or(0);
        if let Some(needed) = self.first_unfinished(j)
            && (stage == "running" || counted > 0)
        {
            let detail = format!("job {j} is called {answer} by controller {n} before job {needed} is done");
            self.report_violation("not_queued", detail);
        }
    }

    /// Time from which it may be served: its acceptance, or the completion of the last job that it
    /// waits for; `None` while it waits.
    pub fn served_from(&self, job: &Job) -> Option<u64> {
        let ends = job.awaits.iter().map(|needed| self.jobs[*needed].completed_at);
        ends.chain([Some(job.accepted_at)]).max_by_key(|end| end.unwrap_or(u64::MAX)).flatten()
    }

    /// Whether it had enough time to end; a job that waits for none always had.
    pub fn had_time_to_end(&self, j: usize) -> bool {
        let job = &self.jobs[j];
        job.awaits.is_empty()
            || self.served_from(job).is_some_and(|from| self.now > from + MAX_TIME_FROM_RELEASE)
    }
}

// ---- users ---------------------------------------------------------------

impl World {
    /// Whether its user submits it now: each job as soon as all jobs that it names are accepted, or
    /// have ended if it is submitted late.
    pub fn may_submit(&self, j: usize) -> bool {
        let job = &self.jobs[j];
        let over = |k: usize| self.jobs[k].reported_done || self.jobs[k].aborted_at.is_some();
        let ready = |k: usize| if job.behavior.submitted_late { over(k) } else { self.jobs[k].accepted };
        job.submitted || job.awaits.iter().all(|needed| ready(*needed))
    }

    fn submit(&mut self, j: usize, n: usize) {
        let pause = self.pipelines.rng.u64(2 * S..5 * S);
        let job = &mut self.jobs[j];
        if !std::mem::replace(&mut job.submitted, true) {
            job.submitted_at = self.now;
        }
        job.next_request_at = self.now + pause;
        let body = job.body.to_string().into_bytes();
        self.request(n, "POST", "/submissions".into(), body, Requester::Submit(j));
    }

    fn random_controller(&mut self) -> usize {
        self.pipelines.rng.usize(0..self.size.nodes)
    }

    fn cancel_within(&mut self, j: usize, delay: u64) {
        let (n, delay) = (self.random_controller(), self.pipelines.rng.u64(0..delay));
        self.at(delay, Event::UserRequest(n, consistency::UserAction::Abort, j));
    }

    /// Jobs that name it.
    fn named_by(&self, j: usize) -> Vec<usize> {
        (j + 1..self.jobs.len()).filter(|k| self.jobs[*k].awaits.contains(&j)).collect()
    }

    /// A job is accepted: its user submits the jobs that need it.
    pub fn job_accepted(&mut self, j: usize) {
        if self.jobs[j].behavior.cancellation == Cancellation::AtOnce {
            self.cancel_within(j, 50 * MS);
        }
        for k in self.named_by(j) {
            if !self.jobs[k].submitted && self.may_submit(k) {
                let n = self.random_controller();
                self.submit(k, n);
            }
        }
    }

    /// The last task of a job completed.
    pub fn job_completed(&mut self, j: usize) {
        if self.jobs[j].behavior.cancellation == Cancellation::AtOwnEnd {
            self.cancel_within(j, 1500 * MS);
        }
        let named_by = self.named_by(j);
        for k in &named_by {
            let job = &self.jobs[*k];
            let cancelled = job.accepted && job.behavior.cancellation == Cancellation::AtDependenciesEnd;
            if cancelled && self.first_unfinished(*k).is_none() {
                self.cancel_within(*k, 1500 * MS);
            }
        }
        if !named_by.is_empty() {
            self.inject_at_stage_end();
        }
    }

    fn inject_at_stage_end(&mut self) {
        let Some((stage_fault, until)) = self.pipelines.stage_fault else { return };
        if self.now > until || self.now < self.pipelines.last_fault_at + MIN_FAULT_INTERVAL {
            return;
        }
        self.pipelines.last_fault_at = self.now;
        // The end is reported within half a second, and recorded some time after that.
        let delay = self.pipelines.rng.u64(0..1200 * MS);
        match stage_fault {
            StageEndFault::LeaderRestarts => self.at(delay, Event::RestartLeader),
            StageEndFault::AllRestart => (0..self.size.nodes).for_each(|n| self.terminate(n, 100 * MS)),
            StageEndFault::HistoryDropped => self.state.compact(),
            StageEndFault::DelayedEndRecords => self.faults.end_records_delayed_until = self.now + 2 * S,
            StageEndFault::ZonesPartitioned => self.zones_partitioned_until = self.now + 5 * S,
            StageEndFault::LeaderPaused => {
                let leader = self.nodes.iter().position(|n| n.as_ref().is_some_and(Node::leads));
                if let Some(n) = leader {
                    self.faults.paused_until[n] = self.now + 5 * S;
                }
            }
        }
    }

    /// Submits a random pipeline now and then, and a job that names one that was never submitted.
    pub fn plan_pipelines(&mut self) {
        if self.now >= self.size.busy_until || self.now < self.pipelines.next_plan {
            return;
        }
        let pause = self.pipelines.rng.u64(8 * S..25 * S);
        self.pipelines.next_plan = self.now + pause;
        let shape = random_widths(&mut self.pipelines.rng, self.size.writes_per_s >= 30.0);
        self.plan_pipeline(&shape);
        let n = self.random_controller();
        let id = 950_000 + self.pipelines.planned;
        let body = waiting_body(id, &["j-900000".to_owned()], 1, 1.0);
        self.request(n, "POST", "/submissions".into(), body.to_string().into_bytes(), Requester::UnknownJob);
    }

    /// Adds jobs in stages of these widths, each waiting for some or all jobs of the stage before.
    fn plan_pipeline(&mut self, widths: &[usize]) {
        self.pipelines.planned += 1;
        let mut stage = self.named_from_outside();
        let all = self.pipelines.rng.bool();
        let victim_stage = [0, widths.len() / 2, widths.len() - 1][self.pipelines.rng.usize(0..3)];
        let cancelled = self.pipelines.rng.u32(0..5) < 2;
        let team = if self.pipelines.rng.u32(0..4) == 0 { "tight" } else { "free" };
        for (s, width) in widths.iter().enumerate() {
            let last = s + 1 == widths.len();
            let victim = self.pipelines.rng.usize(0..*width);
            let mut next = Vec::new();
            for i in 0..*width {
                let awaits = if all || stage.is_empty() {
                    stage.clone()
                } else {
                    random_subset(&mut self.pipelines.rng, &stage)
                };
                let j = self.plan_job(awaits, team, last);
                if cancelled && s == victim_stage && i == victim {
                    self.plan_cancellation(j);
                }
                next.push(j);
            }
            stage = next;
        }
    }

    /// Other users' jobs that a pipeline's first jobs name: in any state, of any team.
    fn named_from_outside(&mut self) -> Vec<usize> {
        let arrays: Vec<usize> =
            (0..self.jobs.len()).filter(|j| self.jobs[*j].accepted && !self.jobs[*j].service).collect();
        if arrays.is_empty() || self.pipelines.rng.u32(0..3) > 0 {
            return Vec::new();
        }
        let count = self.pipelines.rng.usize(1..3);
        (0..count).map(|_| arrays[self.pipelines.rng.usize(0..arrays.len())]).collect()
    }

    fn plan_job(&mut self, awaits: Vec<usize>, team: &str, last: bool) -> usize {
        let j = self.jobs.len();
        let r = &mut self.pipelines.rng;
        let service = last && r.u32(0..8) == 0;
        let (tasks, run_us) = (r.u32(1..5), r.u64(300 * MS..4 * S));
        let (spot, zone) = (!service && r.bool(), (r.u32(0..5) == 0).then_some(ZONES[r.usize(0..2)]));
        let submitted_late = last && !awaits.is_empty() && r.u32(0..3) == 0;
        let mut names: Vec<String> = awaits.iter().map(|needed| format!("j-{needed:06}")).collect();
        if !names.is_empty() && r.u32(0..4) == 0 {
            names.push(names[0].clone());
        }
        r.shuffle(&mut names);
        // Services end; otherwise one of the team with a limit would occupy it forever.
        let abort_at = if service { self.now + r.u64(40 * S..120 * S) } else { u64::MAX };
        let mut body = waiting_body(j, &names, tasks, run_us as f64 / S as f64);
        body["crew"] = json!(team);
        body["loaners"] = json!(spot);
        body["yard"] = json!(zone);
        if service {
            body["manner"] = json!("standing");
            body["guess_s"] = json!(0.0);
        }
        if last {
            body["rank"] = json!(if service { "prod" } else { "high" });
            body["due_s"] = json!(90.0);
        }
        let behavior = UserBehavior { submitted_late, ..UserBehavior::default() };
        let job = Job::new(body, team, service, tasks, 1.0, run_us);
        self.add_waiting(Job { awaits, spot, zone, abort_at, behavior, ..job })
    }

    fn plan_cancellation(&mut self, j: usize) {
        let r = &mut self.pipelines.rng;
        match r.u32(0..4) {
            0 => self.jobs[j].behavior.cancellation = Cancellation::AtOnce,
            1 => self.jobs[j].behavior.cancellation = Cancellation::AtDependenciesEnd,
            2 => self.jobs[j].behavior.cancellation = Cancellation::AtOwnEnd,
            _ => self.jobs[j].abort_at = self.now + r.u64(S..40 * S),
        }
    }

    /// Adds one-task jobs in stages of these widths, each waiting for all jobs of the stage before;
    /// the first stage runs for `first_run_us`. Returns the jobs' indexes by stage.
    fn push_stages(&mut self, widths: &[usize], first_run_us: u64) -> Vec<Vec<usize>> {
        let mut stages: Vec<Vec<usize>> = Vec::new();
        for width in widths {
            let awaits = stages.last().cloned().unwrap_or_default();
            let run_us = if stages.is_empty() { first_run_us } else { S };
            let stage = (0..*width).map(|_| self.push_waiting(awaits.clone(), run_us)).collect();
            stages.push(stage);
        }
        stages
    }

    pub fn push_waiting(&mut self, awaits: Vec<usize>, run_us: u64) -> usize {
        let j = self.jobs.len();
        let names: Vec<String> = awaits.iter().map(|needed| format!("j-{needed:06}")).collect();
        let mut body = waiting_body(j, &names, 1, run_us as f64 / S as f64);
        body["cpus"] = json!(0.25);
        let job = Job::new(body, "free", false, 1, 0.25, run_us);
        self.add_waiting(Job { awaits, ..job })
    }

    /// Adds a job that may name cancelled jobs.
    fn add_waiting(&mut self, mut job: Job) -> usize {
        let j = self.jobs.len();
        let named = || job.awaits.iter().copied();
        job.cancelled_from = named().filter_map(|needed| self.jobs[needed].cancelled_from).min();
        if named().any(|needed| self.faults.confirmed.contains(&needed)) {
            self.faults.confirmed.insert(j);
        }
        self.jobs.push(job);
        j
    }

    /// How many of these jobs are accepted, reported done, and reported cancelled.
    fn count_reported(&self, jobs: &[usize]) -> (usize, usize, usize) {
        let count = |which: &dyn Fn(&Job) -> bool| jobs.iter().filter(|j| which(&self.jobs[**j])).count();
        (count(&|j| j.accepted), count(&|j| j.reported_done), count(&|j| j.aborted_at.is_some()))
    }
}

fn waiting_body(j: usize, names: &[String], tasks: u32, guess_s: f64) -> Value {
    json!({"ref": format!("j-{j:06}"), "lot": "stage", "crew": "free", "manner": "array",
        "rank": "standard", "pieces": tasks, "cpus": 1.0, "gpus": 0.0, "memory_gb": 0.5, "bundle": "stage",
        "image_gb": 0.4, "builds": null, "yard": null, "same_place": false, "apart": false,
        "loaners": false, "guess_s": guess_s, "mark_s": 0.0, "stow_s": 0.0, "due_s": null,
        "awaits": names})
}

/// Random widths of a pipeline's stages.
fn random_widths(r: &mut fastrand::Rng, may_be_long: bool) -> Vec<usize> {
    match r.u32(0..10) {
        // A diamond.
        0 | 1 => vec![1, r.usize(2..6), 1],
        // The operators' four steps.
        2..=4 => vec![1, r.usize(1..4), r.usize(1..3), 1],
        5 => (0..r.usize(3..7)).map(|_| r.usize(1..5)).collect(),
        6 => vec![1; r.usize(12..40)],
        7 => vec![1, r.usize(20..60)],
        8 => vec![r.usize(20..60), 1],
        _ if may_be_long => match r.u32(0..3) {
            0 => vec![1; r.usize(100..300)],
            1 => vec![1, r.usize(100..300)],
            _ => vec![1, r.usize(100..200), 1],
        },
        _ => vec![1; 30],
    }
}

/// A random non-empty part of them.
fn random_subset(r: &mut fastrand::Rng, all: &[usize]) -> Vec<usize> {
    let mut some: Vec<usize> = all.iter().copied().filter(|_| r.bool()).collect();
    if some.is_empty() {
        some.push(all[r.usize(0..all.len())]);
    }
    some
}

// ---- tests of the checks ---------------------------------------------------

/// A simulation without faults in which a job runs, a second job waits for it, and a third one for
/// the second.
fn chain_of_three() -> World {
    start_logger();
    let mut w = World::new(1, true, Size { jobs: 0, busy_until: 0, end_at: 600 * S, ..SMALL });
    w.push_stages(&[1, 1, 1], 500 * S);
    w.run(30 * S);
    w
}

#[test]
fn orphaned_jobs_are_detected() {
    // (reported stage, time, time since which a job before it is cancelled, orphaned)
    let cases = [
        ("queued", 50, None, false),
        ("queued", 44, Some(10), false),
        ("queued", 45, Some(10), true),
        ("running", 45, Some(10), true),
        ("aborted", 45, Some(10), false),
        ("done", 45, Some(10), false),
    ];
    for (stage, now, from, expected) in cases {
        assert_eq!(is_orphaned(stage, now, from, 34), expected, "{stage} at {now}, cancelled {from:?}");
    }
    // Injected: the second job's user received a cancellation that no controller knows of.
    let mut w = chain_of_three();
    w.partial_failures.ignored_job = Some(1);
    w.size.partial_failures = true;
    w.partial_failures.faults_end_at = u64::MAX;
    w.jobs[1].abort_requested = true;
    w.note_cancelled(1);
    w.run(w.now + w.size.cancel_timeout);
    assert!(w.violations.is_empty(), "{:?}", w.violations);
    w.run(w.now + 10 * S);
    assert!(
        w.violations.iter().any(|b| b.starts_with("orphaned") && b.contains("job 2")),
        "{:?}",
        w.violations
    );
}

#[test]
fn starts_before_dependencies_are_done_are_detected() {
    let mut w = chain_of_three();
    assert!(w.violations.is_empty(), "{:?}", w.violations);
    let command = gorseshore_protocol::workers::Command {
        action: "run".into(),
        task: "j-000001/0".into(),
        attempt: 1,
        grace_period_s: None,
    };
    w.check_commands(0, std::slice::from_ref(&command));
    assert!(w.violations.iter().any(|b| b.starts_with("ordered_early")), "{:?}", w.violations);
    w.violations.clear();
    let machine = w.machines.keys().next().unwrap().clone();
    w.with_machine(&machine, |m, task_profile, now| m.execute(&[command], task_profile, now));
    w.run(w.now + 5 * S);
    assert!(
        w.violations.iter().any(|b| b.starts_with("too_early") && b.contains("job 0")),
        "{:?}",
        w.violations
    );
}

#[test]
fn unrequested_cancellations_are_detected() {
    // (jobs whose users cancelled them, jobs reported done, job reported cancelled, violation
    // expected)
    type Case<'a> = (&'a [usize], &'a [usize], usize, bool);
    let cases: [Case; 7] = [
        (&[], &[], 2, true),
        (&[2], &[], 2, false),
        (&[1], &[], 2, false),
        (&[0], &[], 2, false),
        // Requested too late: the job was done.
        (&[0], &[0], 2, true),
        (&[0, 1], &[0], 2, false),
        // The cancellation of a later job does not cover an earlier one.
        (&[2], &[], 1, true),
    ];
    for (requested, done, aborted, expected) in cases {
        let mut w = World::new(1, true, SMALL);
        w.push_stages(&[1, 1, 1], S);
        requested.iter().for_each(|j| w.jobs[*j].abort_requested = true);
        done.iter().for_each(|j| w.jobs[*j].reported_done = true);
        w.check_stage(aborted, "aborted", 0);
        let found = w.violations.iter().any(|b| b.starts_with("went_back"));
        assert_eq!(found, expected, "{requested:?} cancelled, {done:?} done, {aborted} called aborted");
    }
    // A later report shows that the cancellation came too late.
    let mut w = World::new(1, true, SMALL);
    w.push_stages(&[1, 1, 1], S);
    w.jobs[0].abort_requested = true;
    w.check_stage(2, "aborted", 0);
    assert!(w.violations.is_empty(), "{:?}", w.violations);
    w.jobs[0].done[0] = true;
    w.check_stage(0, "done", 0);
    assert!(
        w.violations.iter().any(|b| b.starts_with("went_back") && b.contains("job 2")),
        "{:?}",
        w.violations
    );
}

#[test]
fn tasks_of_jobs_after_a_cancelled_one_are_detected() {
    let mut w = chain_of_three();
    // Marks the running job as if it needed a cancelled one.
    w.jobs[0].cancelled_from = Some(w.now);
    w.partial_failures.ignored_job = Some(0);
    w.size.partial_failures = true;
    w.partial_failures.faults_end_at = u64::MAX;
    w.run(w.now + w.size.cancel_timeout + S);
    assert!(w.violations.iter().any(|b| b.starts_with("ran_cancelled")), "{:?}", w.violations);
}

// ---- simulations ---------------------------------------------------------

/// Runs simulations with pipelines among the jobs.
fn run_simulations(name: &str, size: Size, default: std::ops::Range<u64>) {
    start_logger();
    let size = Size { pipelines: true, ..size };
    let (mut failed, mut simulations) = (Vec::new(), 0);
    let (mut starts, mut done, mut aborted, mut planned) = (0, 0, 0, 0);
    for seed in seeds("PIPELINE_SEEDS", default.start, default.end) {
        let w = simulate(seed, false, size);
        simulations += 1;
        let waiting: Vec<usize> = (0..w.jobs.len()).filter(|j| !w.jobs[*j].awaits.is_empty()).collect();
        let reported = w.count_reported(&waiting);
        (starts, planned) = (starts + w.pipelines.starts, planned + waiting.len());
        (done, aborted) = (done + reported.1, aborted + reported.2);
        let mut violations: Vec<String> = w.violations.iter().take(3).cloned().collect();
        let unfinished = w.unfinished_jobs();
        if violations.is_empty() && unfinished.len() > 1 {
            violations.push(format!("{:?} have not ended", w.describe(&unfinished).0));
        }
        if violations.is_empty() && size.partial_failures {
            violations.extend(w.unserved());
        }
        if !violations.is_empty() {
            failed.push(format!("seed {seed}: {violations:?}"));
        }
    }
    println!(
        "{name}: {planned} jobs that wait in {simulations} simulations, {done} done, {aborted} cancelled, {starts} starts"
    );
    assert!(
        failed.is_empty(),
        "{name}: {} of {simulations} simulations failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
    assert!(starts > 0 && done > 0 && aborted > 0, "{name}: {starts} starts, {done} done, {aborted} aborted");
}

#[test]
fn pipelines_with_random_faults() {
    run_simulations("random faults", SMALL, 0..8);
}

#[test]
fn pipelines_in_a_large_cluster() {
    run_simulations("large cluster", LARGE, 0..2);
}

#[test]
fn pipelines_with_fast_restarts() {
    run_simulations("fast restarts", FAST_RESTARTS, 0..6);
}

#[test]
fn pipelines_with_partial_failures() {
    run_simulations("partial failures", PARTIAL_FAILURES, 0..6);
}

/// Random faults around the cancellation of some of the jobs, while stages end.
#[test]
fn random_faults_around_cancelled_pipelines() {
    let (mut failed, mut runs, mut starts) = (Vec::new(), 0, 0);
    for seed in seeds("PIPELINE_SEEDS", 0, 10) {
        let mut r = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let nodes = if r.u32(0..3) == 0 { 7 } else { 3 };
        let actions = random_actions(&mut r);
        let stage_fault = random_stage_fault(&mut r);
        let mut w = World::new(
            seed,
            true,
            Size { nodes, capacity: [20, 20], jobs: 0, end_at: 600 * S, ..PARTIAL_FAILURES },
        );
        w.pipelines.stage_fault = r.bool().then_some((stage_fault, 90 * S));
        for _ in 0..5 {
            let shape = random_widths(&mut r, true);
            w.plan_pipeline(&shape);
        }
        w.size.busy_until = 0;
        w.partial_failures.faults_end_at = u64::MAX;
        // By then some pipelines are far advanced, and some have not begun.
        w.run(20 * S);
        let from = w.now;
        let leader = w.nodes.iter().position(|n| n.as_ref().is_some_and(Node::leads)).unwrap_or(0);
        w.faults.first_leader = Some(w.incarnations[leader]);
        for (at, action) in &actions {
            w.run(from + at * MS);
            w.perform(leader, *action);
        }
        w.run(from + 4 * w.size.cancel_timeout);
        w.partial_failures.faults_end_at = w.now;
        w.run(from + 7 * w.size.cancel_timeout);
        if w.violations.is_empty() && w.unfinished_jobs().len() > 1 {
            let unfinished = w.unfinished_jobs();
            let detail = format!("{:?} have not ended", w.describe(&unfinished).0);
            w.violations.push(detail);
        }
        (runs, starts) = (runs + 1, starts + w.pipelines.starts);
        if !w.violations.is_empty() {
            let violations = &w.violations[..w.violations.len().min(3)];
            failed.push(format!(
                "seed {seed}, {nodes} controllers, {stage_fault:?}, {actions:?}: {violations:?}"
            ));
        }
    }
    println!("{starts} starts of jobs that waited in {runs} runs");
    assert!(failed.is_empty(), "{} of {runs} runs failed:\n{}", failed.len(), failed.join("\n"));
    assert!(starts > 0);
}

fn random_stage_fault(r: &mut fastrand::Rng) -> StageEndFault {
    let all = [
        StageEndFault::LeaderRestarts,
        StageEndFault::AllRestart,
        StageEndFault::HistoryDropped,
        StageEndFault::DelayedEndRecords,
        StageEndFault::ZonesPartitioned,
        StageEndFault::LeaderPaused,
    ];
    all[r.usize(0..all.len())]
}

// ---- scenarios -----------------------------------------------------------

/// What happens at a set time of a scenario.
#[derive(Debug, Clone, Copy)]
enum Step {
    Perform(Action),
    /// A user cancels the first job of a stage at this controller.
    CancelIn(usize, Controllers),
    /// Injects the fault at the ends of stages for this many seconds.
    InjectAtStageEnds(StageEndFault, u64),
}
use Step::*;

struct PipelineScenario {
    name: &'static str,
    widths: &'static [usize],
    /// How long the first stage runs from the start of the simulation, in seconds.
    first_run_s: u64,
    steps: &'static [(u64, Step)],
    /// The stage from which on all jobs must be cancelled in the end; `None`: all jobs must be
    /// done.
    cancelled_from: Option<usize>,
}

/// Submits the jobs at the start, and takes the steps from 20 s on; returns what was wrong.
fn run_scenario(scenario: &PipelineScenario, seed: u64, nodes: usize) -> Vec<String> {
    start_logger();
    let size = Size {
        nodes,
        capacity: [20, 20],
        jobs: 0,
        busy_until: 0,
        end_at: 600 * S,
        partial_failures: true,
        ..SMALL
    };
    let mut w = World::new(seed, true, size);
    w.partial_failures.faults_end_at = u64::MAX;
    let stages = w.push_stages(scenario.widths, scenario.first_run_s * S);
    w.run(20 * S);
    let (from, leader) = (w.now, w.leader());
    w.faults.first_leader = Some(w.incarnations[leader]);
    for (at, step) in scenario.steps {
        w.run(from + at * MS);
        match step {
            Perform(action) => w.perform(leader, *action),
            InjectAtStageEnds(stage_fault, seconds) => {
                w.pipelines.stage_fault = Some((*stage_fault, w.now + seconds * S))
            }
            CancelIn(stage, controllers) => {
                let n = match controllers {
                    Leader => leader,
                    Other(i) => (leader + i) % nodes,
                    East | West | All => panic!("one controller only"),
                };
                w.send_user_request(n, consistency::UserAction::Abort, stages[*stage][0]);
                // If the request gets no answer, the user sends it again.
                w.jobs[stages[*stage][0]].abort_at = w.now;
            }
        }
    }
    w.run(from + 8 * w.size.cancel_timeout);
    let mut violations: Vec<String> = w.violations.iter().take(3).cloned().collect();
    for (s, jobs) in stages.iter().enumerate().filter(|_| w.violations.is_empty()) {
        let (accepted, done, aborted) = w.count_reported(jobs);
        let right = match scenario.cancelled_from {
            Some(from) if s >= from => aborted == jobs.len(),
            // Jobs before the cancelled stage may have been done or not.
            Some(_) => true,
            None => done == jobs.len(),
        };
        if !right {
            let of = jobs.len();
            violations
                .push(format!("stage {s}: {accepted} accepted, {done} done, {aborted} cancelled of {of}"));
        }
    }
    violations
}

fn run_pipeline_scenarios(scenarios: &[PipelineScenario], default_seeds: std::ops::Range<u64>) {
    let (mut failed, mut runs) = (Vec::new(), 0);
    for scenario in scenarios {
        for nodes in [3, 7] {
            for seed in seeds("PIPELINE_SEEDS", default_seeds.start, default_seeds.end) {
                runs += 1;
                let violations = run_scenario(scenario, seed, nodes);
                if !violations.is_empty() {
                    let violations = &violations[..violations.len().min(3)];
                    failed
                        .push(format!("{}, seed {seed}, {nodes} controllers: {violations:?}", scenario.name));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of {runs} runs failed:\n{}", failed.len(), failed.join("\n"));
}

const STEPS: &[usize] = &[1, 3, 2, 1, 4, 1];

#[test]
fn stages_complete_through_faults_at_stage_ends() {
    let scenario =
        |name, steps| PipelineScenario { name, widths: STEPS, first_run_s: 25, steps, cancelled_from: None };
    run_pipeline_scenarios(
        &[
            scenario("no fault", &[]),
            scenario("the leader exits", &[(0, InjectAtStageEnds(StageEndFault::LeaderRestarts, 60))]),
            scenario("all controllers exit", &[(0, InjectAtStageEnds(StageEndFault::AllRestart, 60))]),
            scenario("the state is read again", &[(0, InjectAtStageEnds(StageEndFault::HistoryDropped, 60))]),
            scenario(
                "ends are written late",
                &[(0, InjectAtStageEnds(StageEndFault::DelayedEndRecords, 60))],
            ),
            scenario(
                "the zones are partitioned",
                &[(0, InjectAtStageEnds(StageEndFault::ZonesPartitioned, 60))],
            ),
            scenario("the leader is paused", &[(0, InjectAtStageEnds(StageEndFault::LeaderPaused, 60))]),
            scenario(
                "ends are written late and the leader exits",
                &[
                    (0, Perform(DelayedEndRecords(1500))),
                    (0, InjectAtStageEnds(StageEndFault::LeaderRestarts, 60)),
                ],
            ),
            scenario("leaders change", &[(0, Perform(LeaderChanges(10)))]),
            scenario("an outage as the first stage ends", &[(2000, Perform(StateOutage(500)))]),
        ],
        0..2,
    );
}

#[test]
fn jobs_after_a_cancelled_job_are_cancelled() {
    let scenario = |name, steps| PipelineScenario {
        name,
        widths: STEPS,
        first_run_s: 400,
        steps,
        cancelled_from: Some(0),
    };
    run_pipeline_scenarios(
        &[
            scenario("no fault", &[(0, CancelIn(0, Other(1)))]),
            scenario(
                "the state service is unavailable right after",
                &[(0, CancelIn(0, Other(1))), (100, Perform(StateOutage(1300)))],
            ),
            scenario(
                "the leader, refused by the state service, exits right after",
                &[
                    (0, Perform(RefusedByState(Leader, 1500))),
                    (100, CancelIn(0, Other(1))),
                    (300, Perform(Terminate(Leader, NEVER))),
                ],
            ),
            scenario(
                "all controllers exit right after",
                &[(0, CancelIn(0, Leader)), (20, Perform(Terminate(All, 0)))],
            ),
            scenario(
                "the cancellation is written late",
                &[(0, Perform(DelayedEndRecords(300))), (10, CancelIn(0, Other(1)))],
            ),
            scenario(
                "the zones are partitioned, west refused",
                &[
                    (0, Perform(ZonesPartitioned(3500))),
                    (0, Perform(RefusedByState(West, 3500))),
                    (3000, CancelIn(0, Other(1))),
                    (3000, CancelIn(0, Other(2))),
                ],
            ),
            scenario(
                "the state is read again",
                &[(0, CancelIn(0, Other(1))), (2, Perform(HistoryDropped)), (500, Perform(HistoryDropped))],
            ),
        ],
        0..2,
    );
}

/// The cancellation comes as the first job ends; one transaction decides for all jobs after it.
#[test]
fn a_concurrent_end_and_cancellation_decide_for_all_later_jobs() {
    let (mut failed, mut outcomes) = (Vec::new(), [0; 2]);
    for nodes in [3, 7] {
        for seed in seeds("PIPELINE_SEEDS", 0, 8) {
            let size = Size { nodes, capacity: [20, 20], jobs: 0, busy_until: 0, end_at: 600 * S, ..SMALL };
            let mut w = World::new(seed, true, size);
            let stages = w.push_stages(&[1, 2, 1], 15 * S);
            w.jobs[0].behavior.cancellation = Cancellation::AtOwnEnd;
            w.faults.end_records_delayed_until = if seed % 2 == 0 { 60 * S } else { 0 };
            w.run(120 * S);
            let all: Vec<usize> = stages.concat();
            let (_, done, aborted) = w.count_reported(&all);
            outcomes[(aborted > 0) as usize] += 1;
            if !w.violations.is_empty() || done != all.len() && aborted != all.len() {
                failed.push(format!(
                    "seed {seed}, {nodes} controllers: {done} done, {aborted} cancelled; {:?}",
                    w.violations
                ));
            }
        }
    }
    println!("{} pipelines done, {} cancelled", outcomes[0], outcomes[1]);
    assert!(failed.is_empty(), "{}:\n{}", failed.len(), failed.join("\n"));
}

/// The job that is named is cancelled at one controller while another one accepts the job that
/// names it.
#[test]
fn a_job_submitted_during_the_cancellation_of_its_dependency_is_cancelled() {
    let mut failed = Vec::new();
    // Milliseconds from the cancellation to the submission.
    for (after, nodes) in [-20, -3, -1, 0, 1, 3, 20, 1000, 60_000].into_iter().flat_map(|a| [(a, 3), (a, 7)])
    {
        let size = Size { nodes, capacity: [20, 20], jobs: 0, busy_until: 0, end_at: 600 * S, ..SMALL };
        let mut w = World::new(after as u64 ^ 77, true, size);
        w.push_stages(&[1, 1], 500 * S);
        w.run(20 * S);
        let leader = w.leader();
        let late = w.push_waiting(vec![0], S);
        let later = w.push_waiting(vec![late, 0], S);
        w.jobs[late].next_request_at = u64::MAX;
        let (submitted, cancelled) = ((20_000 + after.max(0)) * 1000, (20_000 - after.min(0)) * 1000);
        let mut moments = [(submitted, true), (cancelled, false)];
        moments.sort();
        for (at, submits) in moments {
            w.run(at as u64);
            if submits {
                w.submit(late, (leader + 1) % nodes);
            } else {
                w.send_user_request((leader + 2) % nodes, consistency::UserAction::Abort, 0);
                w.jobs[0].abort_at = w.now;
            }
        }
        w.run(w.now + 2 * w.size.cancel_timeout);
        let (accepted, _, aborted) = w.count_reported(&[0, 1, late, later]);
        if !w.violations.is_empty() || (accepted, aborted) != (4, 4) {
            let detail = format!("{accepted} accepted, {aborted} cancelled of 4; {:?}", w.violations);
            failed.push(format!("submitted {after} ms after, {nodes} controllers: {detail}"));
        }
    }
    assert!(failed.is_empty(), "{}:\n{}", failed.len(), failed.join("\n"));
}

/// Pipelines of hundreds of jobs are cancelled with their first job, at every controller, in time.
#[test]
fn hundreds_of_jobs_are_cancelled_with_the_first() {
    let chain = vec![1; 300];
    let fan = vec![1, 1000];
    let mut failed = Vec::new();
    for (name, widths, outage) in [
        ("a chain of 300", &chain, 0),
        ("a chain of 300 and an outage", &chain, 40 * S),
        ("a fan of 1,000", &fan, 0),
    ] {
        let size = Size { capacity: [20, 20], jobs: 0, busy_until: 0, end_at: 900 * S, ..SMALL };
        let mut w = World::new(5, true, size);
        let all = w.push_stages(widths, 800 * S).concat();
        // Each job is submitted as soon as the one before it is accepted.
        let mut seconds = 0;
        while w.count_reported(&all).0 < all.len() && seconds < 240 {
            seconds += 1;
            w.run(seconds * S);
        }
        let accepted = w.count_reported(&all).0;
        let leader = w.leader();
        w.send_user_request((leader + 1) % 3, consistency::UserAction::Abort, all[0]);
        w.jobs[all[0]].abort_at = w.now;
        w.run(w.now + 200 * MS);
        if outage > 0 {
            w.state.unavailable = true;
            w.at(outage, Event::StateServiceRecovers);
        }
        // Polled by their users, and at the end at every controller.
        w.run(w.now + w.size.cancel_timeout + 10 * S + outage);
        let reported = w.count_reported(&all);
        for j in &all {
            (0..3).for_each(|n| w.at(0, Event::UserRequest(n, consistency::UserAction::Poll, *j)));
        }
        w.run(w.now + 5 * S);
        println!(
            "{name}: accepted within {seconds} s, then {} of {} reported cancelled",
            reported.2,
            all.len()
        );
        if !w.violations.is_empty() || accepted < all.len() || reported.2 < all.len() {
            let violations = &w.violations[..w.violations.len().min(3)];
            failed.push(format!("{name}: {accepted} accepted, {} cancelled; {violations:?}", reported.2));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// A thousand jobs wait for one job, and one job waits for the thousand.
#[test]
fn a_thousand_jobs_start_after_the_first_is_done() {
    let size = Size { capacity: [30, 30], jobs: 0, busy_until: 0, end_at: 900 * S, ..SMALL };
    let mut w = World::new(6, true, size);
    let stages = w.push_stages(&[1, 1000, 1], 60 * S);
    w.run(400 * S);
    assert!(w.violations.is_empty(), "{:?}", &w.violations[..w.violations.len().min(3)]);
    for (s, jobs) in stages.iter().enumerate() {
        let (accepted, done, _) = w.count_reported(jobs);
        assert_eq!((accepted, done), (jobs.len(), jobs.len()), "stage {s}: accepted, done");
    }
}

/// While jobs of a team wait for another job, they use nothing of the team's limit: a service that
/// needs all of it runs.
#[test]
fn waiting_jobs_use_nothing_of_their_teams_limit() {
    for (seed, nodes) in [(1, 3), (2, 7), (3, 3), (4, 7)] {
        let mut w = long_jobs(seed, nodes, scenarios::Workload::Single);
        let head = w.jobs.iter().position(|j| !j.service && j.accepted).unwrap();
        // Twice the limit of 9 CPUs.
        let waiting: Vec<usize> = (0..6).map(|_| w.push_waiting(vec![head], S)).collect();
        for j in &waiting {
            let job = &mut w.jobs[*j];
            (job.team, job.cpus) = ("tight".into(), 3.0);
            (job.body["crew"], job.body["cpus"]) = (json!("tight"), json!(3.0));
            job.body["rank"] = json!("high");
        }
        w.run(w.now + 10 * S);
        assert_eq!(w.count_reported(&waiting).0, waiting.len(), "accepted");
        let service = w.jobs.len();
        let mut body = waiting_body(service, &[], 3, 0.0);
        (body["crew"], body["cpus"]) = (json!("tight"), json!(3.0));
        (body["manner"], body["rank"]) = (json!("standing"), json!("prod"));
        w.jobs.push(Job::new(body, "tight", true, 3, 3.0, S));
        w.run(w.now + 40 * S);
        assert!(w.violations.is_empty(), "{:?}", w.violations);
        let mine = |t: &&worker::Task| t.is_running() && World::job_of(&t.name).0 == service;
        let on = w.machines.values().flat_map(|m| &m.tasks).filter(mine).count();
        assert_eq!(on, 3, "seed {seed}: replicas that run while other jobs of the team wait");
    }
}
