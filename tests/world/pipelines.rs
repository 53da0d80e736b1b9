//! Pipelines: jobs that wait for other jobs. What users do with them, their invariants, and
//! scenarios in which faults coincide with the end or the cancellation of a job that others need.
//! The checks use only what users and workers observe.
use super::blink::BLINK;
use super::oncall::ONCALL;
use super::scenes::Act::{self, *};
use super::scenes::Who::{self, *};
use super::scenes::{NEVER, long_jobs, random_acts};
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
    AtNeedsEnd,
    /// As its own last task ends.
    AtOwnEnd,
}

/// What a job's user does with it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Habits {
    /// Submitted only after all jobs that it waits for have ended.
    pub comes_late: bool,
    pub cancellation: Cancellation,
}

/// A fault that is injected as the last task of a job ends for which others wait.
#[derive(Debug, Clone, Copy)]
pub enum StageEnd {
    /// The leader exits and restarts at once.
    LeaderEnds,
    /// All controllers exit and restart at once.
    AllEnd,
    /// The state service drops its change history.
    Forgotten,
    /// Half of the writes of job ends and cancellations get no answer and take effect late.
    LateEnds,
    ZonesCut,
    /// The leader is paused.
    LeaderFrozen,
}

/// Time between two such faults, in which a leader can be elected.
const STRIKE_PAUSE: u64 = 4 * S;
/// Time from the release of a job that waited until it counts as late.
const TIME_FROM_RELEASE: u64 = 90 * S;

/// State and statistics of the pipelines.
pub struct Seen {
    /// Separate from the world's generator, so that simulations without pipelines stay the same.
    rng: fastrand::Rng,
    next_plan: u64,
    planned: usize,
    /// Starts of tasks whose jobs waited.
    pub starts: usize,
    strike: Option<(StageEnd, u64)>,
    struck_at: u64,
}

impl Seen {
    pub fn new(seed: u64) -> Self {
        Seen {
            rng: fastrand::Rng::with_seed(seed ^ 0x91be),
            next_plan: 3 * S,
            planned: 0,
            starts: 0,
            strike: None,
            struck_at: 0,
        }
    }
}

// ---- rules ---------------------------------------------------------------

/// Whether a job is called queued or running longer than `cancel` after a job that it needs was
/// reported cancelled.
fn is_orphaned(stage: &str, now: u64, cancelled_from: Option<u64>, cancel: u64) -> bool {
    matches!(stage, "queued" | "running") && cancelled_from.is_some_and(|t| now > t + cancel)
}

impl World {
    /// A job that must be done first, and is not.
    pub fn first_unfinished(&self, j: usize) -> Option<usize> {
        let awaits = &self.jobs.get(j)?.awaits;
        awaits.iter().copied().find(|needed| self.jobs[*needed].done_at.is_none())
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
    pub fn cancellation_asked(&self, j: usize) -> bool {
        let asked = |needed: &usize| self.jobs[*needed].abort_asked && !self.jobs[*needed].told_done;
        self.jobs[j].abort_asked || self.jobs_before(j).iter().any(asked)
    }

    /// Called when a job is reported done: jobs after it that were reported cancelled must be so
    /// for another reason.
    pub fn check_cancelled_after(&mut self, j: usize) {
        let told = |k: &usize| self.jobs[*k].aborted_at.is_some() && !self.cancellation_asked(*k);
        if let Some(k) = self.jobs_after(j).into_iter().find(told) {
            self.break_rule("went_back", format!("job {k} was called aborted, and job {j} is done"));
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
        let Some(Asker::Abort(j) | Asker::Poll(j) | Asker::Submit(j)) = self.asked.get(&id) else { return };
        let j = *j;
        if !matches!(status, 200 | 201) {
            return;
        }
        let answer: Value = serde_json::from_slice(body).unwrap_or_default();
        let stage = answer["stage"].as_str().unwrap_or_default();
        if is_orphaned(stage, self.now, self.jobs[j].cancelled_from, self.size.cancel) {
            let what = format!("job {j} is called {stage} ({status}) by controller {n}");
            self.break_rule("orphaned", what);
        }
        let counted = answer["running"].as_u64().unwrap_or(0) + answer["done"].as_u64().unwrap_or(0);
        if let Some(needed) = self.first_unfinished(j)
            && (stage == "running" || counted > 0)
        {
            let what = format!("job {j} is called {answer} by controller {n} before job {needed} is done");
            self.break_rule("not_queued", what);
        }
    }

    /// Time from which it may be served: its acceptance, or the completion of the last job that it
    /// waits for; `None` while it waits.
    pub fn served_from(&self, job: &Job) -> Option<u64> {
        let ends = job.awaits.iter().map(|needed| self.jobs[*needed].done_at);
        ends.chain([Some(job.accepted_at)]).max_by_key(|end| end.unwrap_or(u64::MAX)).flatten()
    }

    /// Whether it had enough time to end; a job that waits for none always had.
    pub fn had_its_time(&self, j: usize) -> bool {
        let job = &self.jobs[j];
        job.awaits.is_empty() || self.served_from(job).is_some_and(|from| self.now > from + TIME_FROM_RELEASE)
    }
}

// ---- users ---------------------------------------------------------------

impl World {
    /// Whether its user submits it now: each job as soon as all jobs that it names are accepted, or
    /// have ended if it is submitted late.
    pub fn may_submit(&self, j: usize) -> bool {
        let job = &self.jobs[j];
        let over = |k: usize| self.jobs[k].told_done || self.jobs[k].aborted_at.is_some();
        let ready = |k: usize| if job.habits.comes_late { over(k) } else { self.jobs[k].accepted };
        job.submitted || job.awaits.iter().all(|needed| ready(*needed))
    }

    fn submit(&mut self, j: usize, n: usize) {
        let pause = self.pipelines.rng.u64(2 * S..5 * S);
        let job = &mut self.jobs[j];
        if !std::mem::replace(&mut job.submitted, true) {
            job.asked_at = self.now;
        }
        job.next_try = self.now + pause;
        let body = job.body.to_string().into_bytes();
        self.request(n, "POST", "/submissions".into(), body, Asker::Submit(j));
    }

    fn some_controller(&mut self) -> usize {
        self.pipelines.rng.usize(0..self.size.nodes)
    }

    fn cancel_within(&mut self, j: usize, delay: u64) {
        let (n, delay) = (self.some_controller(), self.pipelines.rng.u64(0..delay));
        self.at(delay, Event::Look(n, looks::Way::Abort, j));
    }

    /// Jobs that name it.
    fn named_by(&self, j: usize) -> Vec<usize> {
        (j + 1..self.jobs.len()).filter(|k| self.jobs[*k].awaits.contains(&j)).collect()
    }

    /// A job is accepted: its user submits the jobs that need it.
    pub fn job_accepted(&mut self, j: usize) {
        if self.jobs[j].habits.cancellation == Cancellation::AtOnce {
            self.cancel_within(j, 50 * MS);
        }
        for k in self.named_by(j) {
            if !self.jobs[k].submitted && self.may_submit(k) {
                let n = self.some_controller();
                self.submit(k, n);
            }
        }
    }

    /// The last task of a job completed.
    pub fn job_completed(&mut self, j: usize) {
        if self.jobs[j].habits.cancellation == Cancellation::AtOwnEnd {
            self.cancel_within(j, 1500 * MS);
        }
        let named_by = self.named_by(j);
        for k in &named_by {
            let job = &self.jobs[*k];
            let cancelled = job.accepted && job.habits.cancellation == Cancellation::AtNeedsEnd;
            if cancelled && self.first_unfinished(*k).is_none() {
                self.cancel_within(*k, 1500 * MS);
            }
        }
        if !named_by.is_empty() {
            self.strike_at_stage_end();
        }
    }

    fn strike_at_stage_end(&mut self) {
        let Some((strike, until)) = self.pipelines.strike else { return };
        if self.now > until || self.now < self.pipelines.struck_at + STRIKE_PAUSE {
            return;
        }
        self.pipelines.struck_at = self.now;
        // The end is reported within half a second, and recorded some time after that.
        let delay = self.pipelines.rng.u64(0..1200 * MS);
        match strike {
            StageEnd::LeaderEnds => self.at(delay, Event::EndLeader),
            StageEnd::AllEnd => (0..self.size.nodes).for_each(|n| self.end_process(n, 100 * MS)),
            StageEnd::Forgotten => self.state.forget(),
            StageEnd::LateEnds => self.faults.late_ends_until = self.now + 2 * S,
            StageEnd::ZonesCut => self.zones_cut_until = self.now + 5 * S,
            StageEnd::LeaderFrozen => {
                let leader = self.nodes.iter().position(|n| n.as_ref().is_some_and(Node::leads));
                if let Some(n) = leader {
                    self.faults.frozen_until[n] = self.now + 5 * S;
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
        let shape = some_shape(&mut self.pipelines.rng, self.size.changes >= 30.0);
        self.plan_pipeline(&shape);
        let n = self.some_controller();
        let id = 950_000 + self.pipelines.planned;
        let body = waiting_body(id, &["j-900000".to_owned()], 1, 1.0);
        self.request(n, "POST", "/submissions".into(), body.to_string().into_bytes(), Asker::Stranger);
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
                    some_of(&mut self.pipelines.rng, &stage)
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
        let comes_late = last && !awaits.is_empty() && r.u32(0..3) == 0;
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
        let habits = Habits { comes_late, ..Habits::default() };
        let job = Job::new(body, team, service, tasks, 1.0, run_us);
        self.add_waiting(Job { awaits, spot, zone, abort_at, habits, ..job })
    }

    fn plan_cancellation(&mut self, j: usize) {
        let r = &mut self.pipelines.rng;
        match r.u32(0..4) {
            0 => self.jobs[j].habits.cancellation = Cancellation::AtOnce,
            1 => self.jobs[j].habits.cancellation = Cancellation::AtNeedsEnd,
            2 => self.jobs[j].habits.cancellation = Cancellation::AtOwnEnd,
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

    fn push_waiting(&mut self, awaits: Vec<usize>, run_us: u64) -> usize {
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
    fn told_of(&self, jobs: &[usize]) -> (usize, usize, usize) {
        let count = |which: &dyn Fn(&Job) -> bool| jobs.iter().filter(|j| which(&self.jobs[**j])).count();
        (count(&|j| j.accepted), count(&|j| j.told_done), count(&|j| j.aborted_at.is_some()))
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
fn some_shape(r: &mut fastrand::Rng, may_be_long: bool) -> Vec<usize> {
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
fn some_of(r: &mut fastrand::Rng, all: &[usize]) -> Vec<usize> {
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
    logs();
    let mut w = World::new(1, true, Size { jobs: 0, busy_until: 0, ends: 600 * S, ..SMALL });
    w.push_stages(&[1, 1, 1], 500 * S);
    w.run(30 * S);
    w
}

#[test]
fn a_job_called_open_after_one_before_it_is_cancelled_is_noticed() {
    // (reported stage, time, time since which a job before it is cancelled, orphaned)
    let cases = [
        ("queued", 50, None, false),
        ("queued", 44, Some(10), false),
        ("queued", 45, Some(10), true),
        ("running", 45, Some(10), true),
        ("aborted", 45, Some(10), false),
        ("done", 45, Some(10), false),
    ];
    for (stage, now, from, want) in cases {
        assert_eq!(is_orphaned(stage, now, from, 34), want, "{stage} at {now}, cancelled {from:?}");
    }
    // Injected: the second job's user received a cancellation that no controller knows of.
    let mut w = chain_of_three();
    w.oncall.ignored = Some(1);
    w.size.oncall = true;
    w.oncall.over_at = u64::MAX;
    w.jobs[1].abort_asked = true;
    w.note_cancelled(1);
    w.run(w.now + w.size.cancel);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    w.run(w.now + 10 * S);
    assert!(w.broken.iter().any(|b| b.starts_with("orphaned") && b.contains("job 2")), "{:?}", w.broken);
}

#[test]
fn a_start_before_what_it_needs_is_done_is_noticed() {
    let mut w = chain_of_three();
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    let order = gorseshore_protocol::workers::Order {
        verb: "run".into(),
        piece: "j-000001/0".into(),
        attempt: 1,
        wind_down_s: None,
    };
    w.check_orders(0, std::slice::from_ref(&order));
    assert!(w.broken.iter().any(|b| b.starts_with("ordered_early")), "{:?}", w.broken);
    w.broken.clear();
    let machine = w.machines.keys().next().unwrap().clone();
    w.with_machine(&machine, |m, facts, now| m.execute(&[order], facts, now));
    w.run(w.now + 5 * S);
    assert!(w.broken.iter().any(|b| b.starts_with("too_early") && b.contains("job 0")), "{:?}", w.broken);
}

#[test]
fn cancellations_that_nobody_asked_for_are_noticed() {
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
    for (asked, done, aborted, want) in cases {
        let mut w = World::new(1, true, SMALL);
        w.push_stages(&[1, 1, 1], S);
        asked.iter().for_each(|j| w.jobs[*j].abort_asked = true);
        done.iter().for_each(|j| w.jobs[*j].told_done = true);
        w.check_stage(aborted, "aborted", 0);
        let found = w.broken.iter().any(|b| b.starts_with("went_back"));
        assert_eq!(found, want, "{asked:?} cancelled, {done:?} done, {aborted} called aborted");
    }
    // A later report shows that the cancellation came too late.
    let mut w = World::new(1, true, SMALL);
    w.push_stages(&[1, 1, 1], S);
    w.jobs[0].abort_asked = true;
    w.check_stage(2, "aborted", 0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    w.jobs[0].done[0] = true;
    w.check_stage(0, "done", 0);
    assert!(w.broken.iter().any(|b| b.starts_with("went_back") && b.contains("job 2")), "{:?}", w.broken);
}

#[test]
fn tasks_after_a_cancelled_job_are_noticed() {
    let mut w = chain_of_three();
    // Marks the running job as if it needed a cancelled one.
    w.jobs[0].cancelled_from = Some(w.now);
    w.oncall.ignored = Some(0);
    w.size.oncall = true;
    w.oncall.over_at = u64::MAX;
    w.run(w.now + w.size.cancel + S);
    assert!(w.broken.iter().any(|b| b.starts_with("ran_cancelled")), "{:?}", w.broken);
}

// ---- simulations ---------------------------------------------------------

/// Runs simulations with pipelines among the jobs.
fn play_days(name: &str, size: Size, default: std::ops::Range<u64>) {
    logs();
    let size = Size { pipelines: true, ..size };
    let (mut failed, mut days) = (Vec::new(), 0);
    let (mut starts, mut done, mut aborted, mut planned) = (0, 0, 0, 0);
    for seed in seeds("PIPELINE_SEEDS", default.start, default.end) {
        let w = play(seed, false, size);
        days += 1;
        let waiting: Vec<usize> = (0..w.jobs.len()).filter(|j| !w.jobs[*j].awaits.is_empty()).collect();
        let told = w.told_of(&waiting);
        (starts, planned) = (starts + w.pipelines.starts, planned + waiting.len());
        (done, aborted) = (done + told.1, aborted + told.2);
        let mut bad: Vec<String> = w.broken.iter().take(3).cloned().collect();
        let late = w.late();
        if bad.is_empty() && late.len() > 1 {
            bad.push(format!("{:?} are not over at the end", w.describe(&late).0));
        }
        if bad.is_empty() && size.oncall {
            bad.extend(w.unserved());
        }
        if !bad.is_empty() {
            failed.push(format!("seed {seed}: {bad:?}"));
        }
    }
    println!(
        "{name}: {planned} jobs that wait in {days} days, {done} done, {aborted} cancelled, {starts} starts"
    );
    assert!(failed.is_empty(), "{name}: {} of {days} days failed:\n{}", failed.len(), failed.join("\n"));
    assert!(starts > 0 && done > 0 && aborted > 0, "{name}: {starts} starts, {done} done, {aborted} aborted");
}

#[test]
fn pipelines_keep_the_rules_on_rough_days() {
    play_days("rough", SMALL, 0..8);
}

#[test]
fn pipelines_keep_the_rules_in_a_grown_world() {
    play_days("grown", GROWN, 0..2);
}

#[test]
fn pipelines_keep_the_rules_when_processes_are_back_at_once() {
    play_days("blink", BLINK, 0..6);
}

#[test]
fn pipelines_keep_the_rules_in_what_on_call_met() {
    play_days("on-call", ONCALL, 0..6);
}

/// Random faults around the cancellation of some of the jobs, while stages end.
#[test]
fn troubles_meet_round_cancelled_pipelines() {
    let (mut failed, mut plays, mut starts) = (Vec::new(), 0, 0);
    for seed in seeds("PIPELINE_SEEDS", 0, 10) {
        let mut r = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let nodes = if r.u32(0..3) == 0 { 7 } else { 3 };
        let acts = random_acts(&mut r);
        let strike = some_strike(&mut r);
        let mut w = World::new(seed, true, Size { nodes, room: [20, 20], jobs: 0, ends: 600 * S, ..ONCALL });
        w.pipelines.strike = r.bool().then_some((strike, 90 * S));
        for _ in 0..5 {
            let shape = some_shape(&mut r, true);
            w.plan_pipeline(&shape);
        }
        w.size.busy_until = 0;
        w.oncall.over_at = u64::MAX;
        // By then some pipelines are far advanced, and some have not begun.
        w.run(20 * S);
        let from = w.now;
        let leader = w.nodes.iter().position(|n| n.as_ref().is_some_and(Node::leads)).unwrap_or(0);
        w.faults.first_leader = Some(w.incarnations[leader]);
        for (at, act) in &acts {
            w.run(from + at * MS);
            w.act(leader, *act);
        }
        w.run(from + 4 * w.size.cancel);
        w.oncall.over_at = w.now;
        w.run(from + 7 * w.size.cancel);
        if w.broken.is_empty() && w.late().len() > 1 {
            let late = w.late();
            let what = format!("{:?} are not over at the end", w.describe(&late).0);
            w.broken.push(what);
        }
        (plays, starts) = (plays + 1, starts + w.pipelines.starts);
        if !w.broken.is_empty() {
            let broken = &w.broken[..w.broken.len().min(3)];
            failed.push(format!("seed {seed}, {nodes} controllers, {strike:?}, {acts:?}: {broken:?}"));
        }
    }
    println!("{starts} starts of jobs that waited in {plays} plays");
    assert!(failed.is_empty(), "{} of {plays} plays failed:\n{}", failed.len(), failed.join("\n"));
    assert!(starts > 0);
}

fn some_strike(r: &mut fastrand::Rng) -> StageEnd {
    let all = [
        StageEnd::LeaderEnds,
        StageEnd::AllEnd,
        StageEnd::Forgotten,
        StageEnd::LateEnds,
        StageEnd::ZonesCut,
        StageEnd::LeaderFrozen,
    ];
    all[r.usize(0..all.len())]
}

// ---- scenarios -----------------------------------------------------------

/// What happens at a set time of a scenario.
#[derive(Debug, Clone, Copy)]
enum Step {
    Trouble(Act),
    /// A user cancels the first job of a stage at this controller.
    CancelIn(usize, Who),
    /// Injects the fault at the ends of stages for this many seconds.
    AtStageEnds(StageEnd, u64),
}
use Step::*;

struct PipelineScene {
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
fn play_scene(scene: &PipelineScene, seed: u64, nodes: usize) -> Vec<String> {
    logs();
    let size = Size { nodes, room: [20, 20], jobs: 0, busy_until: 0, ends: 600 * S, oncall: true, ..SMALL };
    let mut w = World::new(seed, true, size);
    w.oncall.over_at = u64::MAX;
    let stages = w.push_stages(scene.widths, scene.first_run_s * S);
    w.run(20 * S);
    let (from, leader) = (w.now, w.leader());
    w.faults.first_leader = Some(w.incarnations[leader]);
    for (at, step) in scene.steps {
        w.run(from + at * MS);
        match step {
            Trouble(act) => w.act(leader, *act),
            AtStageEnds(strike, seconds) => w.pipelines.strike = Some((*strike, w.now + seconds * S)),
            CancelIn(stage, who) => {
                let n = match who {
                    Leader => leader,
                    Other(i) => (leader + i) % nodes,
                    East | West | All => panic!("one controller"),
                };
                w.look(n, looks::Way::Abort, stages[*stage][0]);
                // If the request gets no answer, the user sends it again.
                w.jobs[stages[*stage][0]].abort_at = w.now;
            }
        }
    }
    w.run(from + 8 * w.size.cancel);
    let mut bad: Vec<String> = w.broken.iter().take(3).cloned().collect();
    for (s, jobs) in stages.iter().enumerate().filter(|_| w.broken.is_empty()) {
        let (accepted, done, aborted) = w.told_of(jobs);
        let right = match scene.cancelled_from {
            Some(from) if s >= from => aborted == jobs.len(),
            // Jobs before the cancelled stage may have been done or not.
            Some(_) => true,
            None => done == jobs.len(),
        };
        if !right {
            let of = jobs.len();
            bad.push(format!("stage {s}: {accepted} accepted, {done} done, {aborted} cancelled of {of}"));
        }
    }
    bad
}

fn play_pipeline_scenes(scenes: &[PipelineScene], plays_of: std::ops::Range<u64>) {
    let (mut failed, mut plays) = (Vec::new(), 0);
    for scene in scenes {
        for nodes in [3, 7] {
            for seed in seeds("PIPELINE_SEEDS", plays_of.start, plays_of.end) {
                plays += 1;
                let bad = play_scene(scene, seed, nodes);
                if !bad.is_empty() {
                    let bad = &bad[..bad.len().min(3)];
                    failed.push(format!("{}, seed {seed}, {nodes} controllers: {bad:?}", scene.name));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of {plays} plays failed:\n{}", failed.len(), failed.join("\n"));
}

const STEPS: &[usize] = &[1, 3, 2, 1, 4, 1];

#[test]
fn stages_follow_each_other_whatever_strikes_as_one_ends() {
    let scene =
        |name, steps| PipelineScene { name, widths: STEPS, first_run_s: 25, steps, cancelled_from: None };
    play_pipeline_scenes(
        &[
            scene("nothing", &[]),
            scene("the leader ends", &[(0, AtStageEnds(StageEnd::LeaderEnds, 60))]),
            scene("all controllers end", &[(0, AtStageEnds(StageEnd::AllEnd, 60))]),
            scene("the state is read anew", &[(0, AtStageEnds(StageEnd::Forgotten, 60))]),
            scene("ends are written late", &[(0, AtStageEnds(StageEnd::LateEnds, 60))]),
            scene("the zones are cut", &[(0, AtStageEnds(StageEnd::ZonesCut, 60))]),
            scene("the leader stands still", &[(0, AtStageEnds(StageEnd::LeaderFrozen, 60))]),
            scene(
                "ends are written late and the leader ends",
                &[(0, Trouble(LateEnds(1500))), (0, AtStageEnds(StageEnd::LeaderEnds, 60))],
            ),
            scene("leaders change", &[(0, Trouble(Changes(10)))]),
            scene("an outage as the first stage ends", &[(2000, Trouble(Away(500)))]),
        ],
        0..2,
    );
}

#[test]
fn what_comes_after_a_cancelled_job_is_cancelled_with_it() {
    let scene =
        |name, steps| PipelineScene { name, widths: STEPS, first_run_s: 400, steps, cancelled_from: Some(0) };
    play_pipeline_scenes(
        &[
            scene("no trouble", &[(0, CancelIn(0, Other(1)))]),
            scene("the state is away right after", &[(0, CancelIn(0, Other(1))), (100, Trouble(Away(1300)))]),
            scene(
                "the leader, refused by the state service, ends right after",
                &[
                    (0, Trouble(Refused(Leader, 1500))),
                    (100, CancelIn(0, Other(1))),
                    (300, Trouble(End(Leader, NEVER))),
                ],
            ),
            scene("all controllers end right after", &[(0, CancelIn(0, Leader)), (20, Trouble(End(All, 0)))]),
            scene(
                "the cancellation is written late",
                &[(0, Trouble(LateEnds(300))), (10, CancelIn(0, Other(1)))],
            ),
            scene(
                "the zones are cut, west refused",
                &[
                    (0, Trouble(ZonesCut(3500))),
                    (0, Trouble(Refused(West, 3500))),
                    (3000, CancelIn(0, Other(1))),
                    (3000, CancelIn(0, Other(2))),
                ],
            ),
            scene(
                "the state is read anew",
                &[(0, CancelIn(0, Other(1))), (2, Trouble(Forgotten)), (500, Trouble(Forgotten))],
            ),
        ],
        0..2,
    );
}

/// The cancellation comes as the first job ends; one transaction decides for all jobs after it.
#[test]
fn an_end_and_a_cancellation_at_a_time_decide_for_all_after_it() {
    let (mut failed, mut outcomes) = (Vec::new(), [0; 2]);
    for nodes in [3, 7] {
        for seed in seeds("PIPELINE_SEEDS", 0, 8) {
            let size = Size { nodes, room: [20, 20], jobs: 0, busy_until: 0, ends: 600 * S, ..SMALL };
            let mut w = World::new(seed, true, size);
            let stages = w.push_stages(&[1, 2, 1], 15 * S);
            w.jobs[0].habits.cancellation = Cancellation::AtOwnEnd;
            w.faults.late_ends_until = if seed % 2 == 0 { 60 * S } else { 0 };
            w.run(120 * S);
            let all: Vec<usize> = stages.concat();
            let (_, done, aborted) = w.told_of(&all);
            outcomes[(aborted > 0) as usize] += 1;
            if !w.broken.is_empty() || done != all.len() && aborted != all.len() {
                failed.push(format!(
                    "seed {seed}, {nodes} controllers: {done} done, {aborted} cancelled; {:?}",
                    w.broken
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
fn a_job_submitted_as_what_it_names_is_cancelled_is_cancelled_too() {
    let mut failed = Vec::new();
    // Milliseconds from the cancellation to the submission.
    for (after, nodes) in [-20, -3, -1, 0, 1, 3, 20, 1000, 60_000].into_iter().flat_map(|a| [(a, 3), (a, 7)])
    {
        let size = Size { nodes, room: [20, 20], jobs: 0, busy_until: 0, ends: 600 * S, ..SMALL };
        let mut w = World::new(after as u64 ^ 77, true, size);
        w.push_stages(&[1, 1], 500 * S);
        w.run(20 * S);
        let leader = w.leader();
        let late = w.push_waiting(vec![0], S);
        let later = w.push_waiting(vec![late, 0], S);
        w.jobs[late].next_try = u64::MAX;
        let (submitted, cancelled) = ((20_000 + after.max(0)) * 1000, (20_000 - after.min(0)) * 1000);
        let mut moments = [(submitted, true), (cancelled, false)];
        moments.sort();
        for (at, submits) in moments {
            w.run(at as u64);
            if submits {
                w.submit(late, (leader + 1) % nodes);
            } else {
                w.look((leader + 2) % nodes, looks::Way::Abort, 0);
                w.jobs[0].abort_at = w.now;
            }
        }
        w.run(w.now + 2 * w.size.cancel);
        let (accepted, _, aborted) = w.told_of(&[0, 1, late, later]);
        if !w.broken.is_empty() || (accepted, aborted) != (4, 4) {
            let what = format!("{accepted} accepted, {aborted} cancelled of 4; {:?}", w.broken);
            failed.push(format!("submitted {after} ms after, {nodes} controllers: {what}"));
        }
    }
    assert!(failed.is_empty(), "{}:\n{}", failed.len(), failed.join("\n"));
}

/// Pipelines of hundreds of jobs are cancelled with their first job, at every controller, in time.
#[test]
fn hundreds_of_jobs_are_cancelled_with_their_head() {
    let chain = vec![1; 300];
    let fan = vec![1, 1000];
    let mut failed = Vec::new();
    for (name, widths, away) in [
        ("a chain of 300", &chain, 0),
        ("a chain of 300 and an outage", &chain, 40 * S),
        ("a fan of 1,000", &fan, 0),
    ] {
        let size = Size { room: [20, 20], jobs: 0, busy_until: 0, ends: 900 * S, ..SMALL };
        let mut w = World::new(5, true, size);
        let all = w.push_stages(widths, 800 * S).concat();
        // Each job is submitted as soon as the one before it is accepted.
        let mut seconds = 0;
        while w.told_of(&all).0 < all.len() && seconds < 240 {
            seconds += 1;
            w.run(seconds * S);
        }
        let accepted = w.told_of(&all).0;
        let leader = w.leader();
        w.look((leader + 1) % 3, looks::Way::Abort, all[0]);
        w.jobs[all[0]].abort_at = w.now;
        w.run(w.now + 200 * MS);
        if away > 0 {
            w.state.down = true;
            w.at(away, Event::Heal);
        }
        // Polled by their users, and at the end at every controller.
        w.run(w.now + w.size.cancel + 10 * S + away);
        let told = w.told_of(&all);
        for j in &all {
            (0..3).for_each(|n| w.at(0, Event::Look(n, looks::Way::Poll, *j)));
        }
        w.run(w.now + 5 * S);
        println!("{name}: accepted within {seconds} s, then {} of {} told cancelled", told.2, all.len());
        if !w.broken.is_empty() || accepted < all.len() || told.2 < all.len() {
            let broken = &w.broken[..w.broken.len().min(3)];
            failed.push(format!("{name}: {accepted} accepted, {} cancelled; {broken:?}", told.2));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// A thousand jobs wait for one job, and one job waits for the thousand.
#[test]
fn a_fan_of_a_thousand_runs_when_its_head_is_done() {
    let size = Size { room: [30, 30], jobs: 0, busy_until: 0, ends: 900 * S, ..SMALL };
    let mut w = World::new(6, true, size);
    let stages = w.push_stages(&[1, 1000, 1], 60 * S);
    w.run(400 * S);
    assert!(w.broken.is_empty(), "{:?}", &w.broken[..w.broken.len().min(3)]);
    for (s, jobs) in stages.iter().enumerate() {
        let (accepted, done, _) = w.told_of(jobs);
        assert_eq!((accepted, done), (jobs.len(), jobs.len()), "stage {s}: accepted, done");
    }
}

/// While jobs of a team wait for another job, they use nothing of the team's limit: a service that
/// needs all of it runs.
#[test]
fn a_waiting_job_holds_nothing_of_its_teams_limit() {
    for (seed, nodes) in [(1, 3), (2, 7), (3, 3), (4, 7)] {
        let mut w = long_jobs(seed, nodes, scenes::Work::Single);
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
        assert_eq!(w.told_of(&waiting).0, waiting.len(), "accepted");
        let service = w.jobs.len();
        let mut body = waiting_body(service, &[], 3, 0.0);
        (body["crew"], body["cpus"]) = (json!("tight"), json!(3.0));
        (body["manner"], body["rank"]) = (json!("standing"), json!("prod"));
        w.jobs.push(Job::new(body, "tight", true, 3, 3.0, S));
        w.run(w.now + 40 * S);
        assert!(w.broken.is_empty(), "{:?}", w.broken);
        let mine = |t: &&worker::Task| t.on() && World::job_of(&t.name).0 == service;
        let on = w.machines.values().flat_map(|m| &m.tasks).filter(mine).count();
        assert_eq!(on, 3, "seed {seed}: replicas that run while other jobs of the team wait");
    }
}
