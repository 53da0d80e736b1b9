//! Judges a history by the users' rules. Pure: it sees only what users, workers and the
//! cloud saw.
use super::history::{History, JobFacts, Operation, Request, TaskChange, TaskEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A job about which no question is answered for so long is forgotten.
pub const FORGOTTEN_US: u64 = 75_000_000;
/// Work that waits beside free room starts within this.
pub const STARTS_WITHIN_US: u64 = 90_000_000;
/// An end may be shown late by this.
const STALE_US: u64 = 3_000_000;

/// What a deployment promises.
#[derive(Debug, Clone, PartialEq)]
pub struct Promises {
    /// Tasks of a cancelled job are gone within this, in microseconds.
    pub cancel_us: u64,
    /// Teams with a limit, and their most CPUs.
    pub limits: BTreeMap<String, f64>,
}

/// A broken rule, by the name that the users give it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.what)
    }
}

/// Every broken rule of a history.
pub fn check(history: &History, promises: &Promises) -> Vec<Violation> {
    let mut found = Violations::default();
    check_answers(history, &mut found);
    check_tasks(history, promises, &mut found);
    check_cancelled(history, promises, &mut found);
    check_forgotten(history, &mut found);
    check_waiting(history, &mut found);
    found.0
}

#[derive(Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, rule: &'static str, what: String) {
        self.0.push(Violation { rule, what });
    }
}

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

fn accepted(history: &History) -> BTreeMap<u64, u64> {
    let mut accepted = BTreeMap::new();
    for r in &history.requests {
        if r.operation == Operation::Submit && matches!(r.status, 200 | 201) {
            accepted.entry(r.job).or_insert(r.answered);
        }
    }
    accepted
}

/// When users were first told that jobs are cancelled.
fn told_cancelled(history: &History) -> BTreeMap<u64, u64> {
    let mut told = BTreeMap::new();
    for r in history.requests.iter().filter(|r| r.stage == "aborted") {
        told.entry(r.job).or_insert(r.answered);
    }
    told
}

/// What is told of a job: never forgotten, invented, called done early or called back.
fn check_answers(history: &History, found: &mut Violations) {
    let accepted = accepted(history);
    let mut over: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let completed = completions(history);
    let asked_to_cancel: BTreeSet<u64> =
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
        if let Some((at, stage)) = over.get(&r.job)
            && *at < r.sent
            && *stage != r.stage
        {
            found.add("went_back", format!("job {}: {stage}, then {}", r.job, r.stage));
        }
        if r.stage == "aborted" && !asked_to_cancel.contains(&r.job) && job.after.is_empty() {
            found.add("went_back", format!("job {} is called cancelled, which nobody asked for", r.job));
        }
        if matches!(r.stage.as_str(), "done" | "aborted") {
            over.entry(r.job).or_insert((r.answered, &r.stage));
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

/// When tasks first completed.
fn completions(history: &History) -> BTreeMap<(u64, u32), u64> {
    let mut completed = BTreeMap::new();
    for e in history.tasks.iter().filter(|e| e.change == TaskChange::Completed) {
        completed.entry(e.task).or_insert(e.at);
    }
    completed
}

/// Where tasks are: once at a time, where their job allows, within their team's limit.
fn check_tasks(history: &History, promises: &Promises, found: &mut Violations) {
    let completed = completions(history);
    let mut on: BTreeMap<(u64, u32), Vec<&TaskEvent>> = BTreeMap::new();
    let mut used: BTreeMap<&str, f64> = BTreeMap::new();
    for e in &history.tasks {
        let Some(job) = history.jobs.get(&e.task.0) else { continue };
        let places = on.entry(e.task).or_default();
        let sum = used.entry(&job.team).or_default();
        if e.change != TaskChange::Began {
            places.retain(|p| p.machine != e.machine);
            *sum -= job.cpus;
            continue;
        }
        if let Some(other) = places.first() {
            let what =
                format!("{:?} on {} and {} at {:.1} s", e.task, other.machine, e.machine, seconds(e.at));
            found.add("ran_twice", what);
        }
        places.push(e);
        *sum += job.cpus;
        if promises.limits.get(&job.team).is_some_and(|limit| *sum > limit + 1e-6) {
            found.add("quota", format!("{} of {} at {:.1} s", sum, job.team, seconds(e.at)));
        }
        let zone_ok = job.zone.as_ref().is_none_or(|zone| *zone == e.zone);
        if !zone_ok || e.spot && !job.spot {
            found.add("wrong_place", format!("{:?} on {} at {:.1} s", e.task, e.machine, seconds(e.at)));
        }
        if job.spread {
            let of_job = on.iter().filter(|((id, _), _)| *id == e.task.0).flat_map(|(_, places)| places);
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

/// Cancelled tasks are gone in time, and so are those of jobs that wait for a cancelled one.
fn check_cancelled(history: &History, promises: &Promises, found: &mut Violations) {
    let told = told_cancelled(history);
    let cancellation_deadline = |job: u64| told.get(&job).map(|at| at + promises.cancel_us);
    let mut began: BTreeMap<(&str, (u64, u32)), u64> = BTreeMap::new();
    let mut stays = |task: (u64, u32), from: u64, to: u64| {
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
            TaskChange::Began => drop(began.insert(place, e.at)),
            TaskChange::Completed | TaskChange::Left => {
                if let Some(from) = began.remove(&place) {
                    stays(e.task, from, e.at);
                }
            }
        }
    }
    for ((_, task), from) in began {
        stays(task, from, history.ended);
    }
    for (id, job) in &history.jobs {
        let since = job.after.iter().filter_map(|before| told.get(before)).min();
        let Some(since) = since.map(|at| at.max(&history.calm)) else { continue };
        let late = |r: &&Request| r.job == *id && r.sent > since + STALE_US && r.status == 200;
        let open = |r: &Request| r.stage != "aborted";
        if let Some(r) = history.requests.iter().filter(late).find(|r| open(r)) {
            found.add("orphaned", format!("job {id} is {} at {:.1} s", r.stage, seconds(r.answered)));
        }
    }
}

/// The longest that each accepted job went without an answer once the faults were over:
/// the job, how long, and when that began.
fn unanswered(history: &History) -> Vec<(u64, u64, u64)> {
    let mut gaps = Vec::new();
    for (job, at) in accepted(history) {
        let mut last = at.max(history.calm);
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

/// The longest that any accepted job went without an answer once the faults were over.
pub fn longest_unanswered(history: &History) -> u64 {
    unanswered(history).into_iter().map(|(_, gap, _)| gap).max().unwrap_or(0)
}

/// Each accepted job is answered for, job by job, once the faults are over.
fn check_forgotten(history: &History, found: &mut Violations) {
    for (job, gap, from) in unanswered(history) {
        if gap >= FORGOTTEN_US {
            let (from, gap) = (seconds(from), seconds(gap));
            found.add("forgotten", format!("job {job}: no answer for {gap:.1} s from {from:.1} s on"));
        }
    }
}

/// What waits beside free room starts: the cloud has as many machines as are wanted.
fn check_waiting(history: &History, found: &mut Violations) {
    let started: BTreeSet<u64> = history.tasks.iter().map(|e| e.task.0).collect();
    let cancelled: BTreeSet<u64> =
        history.requests.iter().filter(|r| r.operation == Operation::Cancel).map(|r| r.job).collect();
    for (job, at) in accepted(history) {
        let free = history.jobs.get(&job).is_some_and(|facts| facts.after.is_empty());
        let waited = history.ended.saturating_sub(at.max(history.calm));
        if free && waited > STARTS_WITHIN_US && !started.contains(&job) && !cancelled.contains(&job) {
            found.add("waiting", format!("job {job} has not begun after {:.1} s", seconds(waited)));
        }
    }
}

#[cfg(test)]
mod tests;
