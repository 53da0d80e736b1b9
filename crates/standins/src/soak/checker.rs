//! Checks a history against the guarantees to users. Pure: its only input is what users,
//! workers and the cloud observed.
use super::history::{History, JobFacts, Operation, Request, TaskChange, TaskEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A job counts as forgotten when no request about it succeeds for this long, in
/// microseconds.
pub const UNANSWERED_TIMEOUT_US: u64 = 75_000_000;
/// A job for which there is free capacity starts within this, in microseconds.
pub const START_TIMEOUT_US: u64 = 90_000_000;
/// Status responses may lag behind the end of a job by this, in microseconds.
const MAX_STATUS_LAG_US: u64 = 3_000_000;

/// Guarantees of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Guarantees {
    /// Tasks of a cancelled job are stopped within this, in microseconds.
    pub cancel_us: u64,
    /// CPU limits by team; teams without a limit are absent.
    pub limits: BTreeMap<String, f64>,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule, in the users' terms.
    pub rule: &'static str,
    /// Description of the violation.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.details)
    }
}

/// Returns all violations in a history.
pub fn check(history: &History, guarantees: &Guarantees) -> Vec<Violation> {
    let mut found = Violations::default();
    check_answers(history, &mut found);
    check_tasks(history, guarantees, &mut found);
    check_cancelled(history, guarantees, &mut found);
    check_forgotten(history, &mut found);
    check_starts(history, &mut found);
    found.0
}

#[derive(Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, rule: &'static str, details: String) {
        self.0.push(Violation { rule, details });
    }
}

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

fn accepted_at(history: &History) -> BTreeMap<u64, u64> {
    let mut accepted = BTreeMap::new();
    for r in &history.requests {
        if r.operation == Operation::Submit && matches!(r.status, 200 | 201) {
            accepted.entry(r.job).or_insert(r.answered);
        }
    }
    accepted
}

/// When each job was first reported as cancelled to a user.
fn first_reported_cancelled(history: &History) -> BTreeMap<u64, u64> {
    let mut reported = BTreeMap::new();
    for r in history.requests.iter().filter(|r| r.stage == "aborted") {
        reported.entry(r.job).or_insert(r.answered);
    }
    reported
}

/// Checks the responses about jobs. `forgotten`: an accepted job is unknown or rejected.
/// `invented`: a job that was never submitted is known. `not_done`: a job is reported done
/// before all its tasks completed, or although it is a service. `went_back`: a reported end
/// changes, or a job without dependencies is reported cancelled without a request.
fn check_answers(history: &History, found: &mut Violations) {
    let accepted = accepted_at(history);
    let mut ended: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let completed = completed_at(history);
    let cancel_requested: BTreeSet<u64> =
        history.requests.iter().filter(|r| r.operation == Operation::Cancel).map(|r| r.job).collect();
    for r in &history.requests {
        let before = |at: &u64| *at < r.sent;
        let known = accepted.get(&r.job).is_some_and(before);
        if known && (r.status == 404 || r.operation == Operation::Submit && matches!(r.status, 400 | 422)) {
            found.add("forgotten", format!("job {}: {} at {:.1} s", r.job, r.status, seconds(r.answered)));
        }
        let Some(job) = history.jobs.get(&r.job) else {
            if matches!(r.status, 200 | 201) {
                found.add("invented", format!("job {} at {:.1} s", r.job, seconds(r.answered)));
            }
            continue;
        };
        if r.stage.is_empty() {
            continue;
        }
        check_stage(r, job, &completed, found);
        if let Some((at, stage)) = ended.get(&r.job)
            && *at < r.sent
            && *stage != r.stage
        {
            found.add("went_back", format!("job {}: {stage}, then {}", r.job, r.stage));
        }
        if r.stage == "aborted" && !cancel_requested.contains(&r.job) && job.after.is_empty() {
            found.add("went_back", format!("job {} is called cancelled, which nobody asked for", r.job));
        }
        if matches!(r.stage.as_str(), "done" | "aborted") {
            ended.entry(r.job).or_insert((r.answered, &r.stage));
        }
    }
}

fn check_stage(r: &Request, job: &JobFacts, completed: &BTreeMap<(u64, u32), u64>, found: &mut Violations) {
    if r.stage != "done" {
        return;
    }
    let missing =
        (0..job.tasks).find(|index| completed.get(&(r.job, *index)).is_none_or(|at| *at > r.answered));
    if job.service || missing.is_some() {
        found.add("not_done", format!("job {} at {:.1} s", r.job, seconds(r.answered)));
    }
}

/// When each task first completed.
fn completed_at(history: &History) -> BTreeMap<(u64, u32), u64> {
    let mut completed = BTreeMap::new();
    for e in history.tasks.iter().filter(|e| e.change == TaskChange::Completed) {
        completed.entry(e.task).or_insert(e.at);
    }
    completed
}

/// Checks where and when tasks run: one instance at a time, only in places that the job
/// allows, within the team's CPU limit, and after the job's dependencies.
fn check_tasks(history: &History, guarantees: &Guarantees, found: &mut Violations) {
    let completed = completed_at(history);
    let mut running: BTreeMap<(u64, u32), Vec<&TaskEvent>> = BTreeMap::new();
    let mut used: BTreeMap<&str, f64> = BTreeMap::new();
    for e in &history.tasks {
        let Some(job) = history.jobs.get(&e.task.0) else { continue };
        let places = running.entry(e.task).or_default();
        let sum = used.entry(&job.team).or_default();
        if e.change != TaskChange::Began {
            places.retain(|p| p.machine != e.machine);
            *sum -= job.cpus;
            continue;
        }
        if let Some(other) = places.first() {
            let details =
                format!("{:?} on {} and {} at {:.1} s", e.task, other.machine, e.machine, seconds(e.at));
            found.add("ran_twice", details);
        }
        places.push(e);
        *sum += job.cpus;
        if guarantees.limits.get(&job.team).is_some_and(|limit| *sum > limit + 1e-6) {
            found.add("quota", format!("{} of {} at {:.1} s", sum, job.team, seconds(e.at)));
        }
        let zone_ok = job.zone.as_ref().is_none_or(|zone| *zone == e.zone);
        if !zone_ok || e.spot && !job.spot {
            found.add("wrong_place", format!("{:?} on {} at {:.1} s", e.task, e.machine, seconds(e.at)));
        }
        if job.spread {
            let of_job = running.iter().filter(|((id, _), _)| *id == e.task.0).flat_map(|(_, places)| places);
            let here = of_job.filter(|p| p.zone == e.zone).count();
            if here > job.tasks.div_ceil(2) as usize {
                found.add("wrong_place", format!("{here} tasks of job {} in {}", e.task.0, e.zone));
            }
        }
        for before in &job.after {
            let tasks = history.jobs.get(before).map_or(0, |job| job.tasks);
            let open = (0..tasks).any(|i| completed.get(&(*before, i)).is_none_or(|at| *at > e.at));
            if open {
                found.add("too_early", format!("{:?} before job {before} at {:.1} s", e.task, seconds(e.at)));
            }
        }
    }
}

/// Checks that tasks of cancelled jobs stop in time, and that jobs that depend on a
/// cancelled job are reported as cancelled, too.
fn check_cancelled(history: &History, guarantees: &Guarantees, found: &mut Violations) {
    let cancelled_at = first_reported_cancelled(history);
    let cancellation_deadline = |job: u64| cancelled_at.get(&job).map(|at| at + guarantees.cancel_us);
    let mut started: BTreeMap<(&str, (u64, u32)), u64> = BTreeMap::new();
    let mut check_runtime = |task: (u64, u32), from: u64, to: u64| {
        if let Some(by) = cancellation_deadline(task.0)
            && to > by
        {
            let (from, to) = (seconds(from), seconds(to));
            found.add(
                "ran_cancelled",
                format!("{task:?} from {from:.1} to {to:.1} s, gone by {:.1}", seconds(by)),
            );
        }
    };
    for e in &history.tasks {
        let place = (e.machine.as_str(), e.task);
        match e.change {
            TaskChange::Began => drop(started.insert(place, e.at)),
            TaskChange::Completed | TaskChange::Left => {
                if let Some(from) = started.remove(&place) {
                    check_runtime(e.task, from, e.at);
                }
            }
        }
    }
    for ((_, task), from) in started {
        check_runtime(task, from, history.ended);
    }
    for (id, job) in &history.jobs {
        let since = job.after.iter().filter_map(|before| cancelled_at.get(before)).min();
        let Some(since) = since.map(|at| at.max(&history.faults_ended)) else { continue };
        let late = |r: &&Request| r.job == *id && r.sent > since + MAX_STATUS_LAG_US && r.status == 200;
        let open = |r: &Request| r.stage != "aborted";
        if let Some(r) = history.requests.iter().filter(late).find(|r| open(r)) {
            found.add("orphaned", format!("job {id} is {} at {:.1} s", r.stage, seconds(r.answered)));
        }
    }
}

/// The longest time without an answer for each accepted job after the last fault ended:
/// the job, its duration and its start, in microseconds.
fn unanswered(history: &History) -> Vec<(u64, u64, u64)> {
    let mut gaps = Vec::new();
    for (job, at) in accepted_at(history) {
        let mut last = at.max(history.faults_ended);
        let mut longest = (job, 0, last);
        let answers = history.requests.iter().filter(|r| r.job == job && matches!(r.status, 200 | 201));
        let later = answers.map(|r| r.answered).filter(|time| *time > last);
        let times: Vec<u64> = later.chain([history.ended]).collect();
        for time in times {
            let gap = time.saturating_sub(last);
            if gap > longest.1 {
                longest = (job, gap, last);
            }
            last = last.max(time);
        }
        gaps.push(longest);
    }
    gaps
}

/// The longest time without an answer for any accepted job after the last fault ended, in
/// microseconds.
pub fn longest_unanswered(history: &History) -> u64 {
    unanswered(history).into_iter().map(|(_, gap, _)| gap).max().unwrap_or(0)
}

/// Checks that requests for each accepted job are answered after the last fault ended.
fn check_forgotten(history: &History, found: &mut Violations) {
    for (job, gap, from) in unanswered(history) {
        if gap >= UNANSWERED_TIMEOUT_US {
            let (from, gap) = (seconds(from), seconds(gap));
            found.add("forgotten", format!("job {job}: no answer for {gap:.1} s from {from:.1} s on"));
        }
    }
}

/// Checks that every job without dependencies starts, unless it is cancelled: the cloud
/// provides as many machines as are requested.
fn check_starts(history: &History, found: &mut Violations) {
    let started_jobs: BTreeSet<u64> = history.tasks.iter().map(|e| e.task.0).collect();
    let cancelled: BTreeSet<u64> =
        history.requests.iter().filter(|r| r.operation == Operation::Cancel).map(|r| r.job).collect();
    for (job, at) in accepted_at(history) {
        let independent = history.jobs.get(&job).is_some_and(|facts| facts.after.is_empty());
        let waited = history.ended.saturating_sub(at.max(history.faults_ended));
        if independent
            && waited > START_TIMEOUT_US
            && !started_jobs.contains(&job)
            && !cancelled.contains(&job)
        {
            found.add("waiting", format!("job {job} has not begun after {:.1} s", seconds(waited)));
        }
    }
}

#[cfg(test)]
mod tests;
