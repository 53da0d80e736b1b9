//! The graph of dependencies between jobs.
//!
//! Pure: no clock, no keys, no messages. It is built from records alone, and whatever
//! follows from a dependency is asked here: whether a job is released, and which jobs are
//! cancelled together with another one. Replica, user answers and leader ask this one type.
//!
//! Invariants:
//! - A job is released only when each job that it depends on has a recorded end `Done`, and
//!   all records that name its dependencies are there.
//! - A job without an end of its own is cancelled as soon as one that it depends on,
//!   directly or through others, is. Ends never change, so this never changes either.
//! - A recorded end of a job wins over what follows from others.
use gorseshore_protocol::ids::JobId;
use gorseshore_protocol::job::Rank;
use std::collections::{BTreeMap, VecDeque};

/// How far a job is, as far as jobs that depend on it are concerned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outcome {
    /// Neither done nor cancelled.
    #[default]
    Open,
    /// All of its tasks are recorded as done.
    Done,
    /// Cancelled by its user, or with a job that it depends on.
    Cancelled,
}

/// A job that depends on others, or that others depend on.
#[derive(Debug, Default)]
struct Vertex {
    dependencies: Vec<JobId>,
    dependents: Vec<JobId>,
    outcome: Outcome,
    /// Dependencies that are not done.
    unfinished: usize,
    /// Some of the records that name its dependencies have not been read.
    incomplete: bool,
}

/// The graph.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    vertices: BTreeMap<JobId, Vertex>,
}

impl DependencyGraph {
    /// Adds dependencies of a job; `outcome_of` tells how far a job is that the graph does
    /// not hold yet. Returns the jobs that are cancelled by this, the job itself first.
    pub fn add(
        &mut self,
        job: JobId,
        dependencies: &[JobId],
        outcome_of: impl Fn(JobId) -> Outcome,
    ) -> Vec<JobId> {
        let mut cancelled = false;
        for dependency in dependencies {
            if self.dependencies(job).contains(dependency) {
                continue;
            }
            let below = self.vertex(*dependency, &outcome_of);
            below.dependents.push(job);
            let outcome = below.outcome;
            let vertex = self.vertex(job, &outcome_of);
            vertex.dependencies.push(*dependency);
            vertex.unfinished += (outcome != Outcome::Done) as usize;
            cancelled |= outcome == Outcome::Cancelled;
        }
        if cancelled { self.cancel(vec![job]) } else { Vec::new() }
    }

    fn vertex(&mut self, job: JobId, outcome_of: &impl Fn(JobId) -> Outcome) -> &mut Vertex {
        self.vertices.entry(job).or_insert_with(|| Vertex { outcome: outcome_of(job), ..Vertex::default() })
    }

    /// Notes whether records that name dependencies of the job are still missing.
    pub fn set_incomplete(&mut self, job: JobId, incomplete: bool) {
        if incomplete || self.vertices.contains_key(&job) {
            self.vertices.entry(job).or_default().incomplete = incomplete;
        }
    }

    /// An end of the job was recorded. Returns the jobs that are cancelled with it, those
    /// that depend on it first; the job itself is not among them.
    pub fn ended(&mut self, job: JobId, outcome: Outcome) -> Vec<JobId> {
        let Some(vertex) = self.vertices.get_mut(&job) else { return Vec::new() };
        let before = std::mem::replace(&mut vertex.outcome, outcome);
        if before == outcome {
            return Vec::new();
        }
        let dependents = vertex.dependents.clone();
        match outcome {
            Outcome::Open => Vec::new(),
            Outcome::Done => {
                for dependent in dependents {
                    if let Some(vertex) = self.vertices.get_mut(&dependent) {
                        vertex.unfinished = vertex.unfinished.saturating_sub(1);
                    }
                }
                Vec::new()
            }
            Outcome::Cancelled => self.cancel(dependents),
        }
    }

    /// Cancels those of the jobs that are open, and all open jobs after them.
    fn cancel(&mut self, jobs: Vec<JobId>) -> Vec<JobId> {
        let mut cancelled = Vec::new();
        let mut queue = VecDeque::from(jobs);
        while let Some(next) = queue.pop_front() {
            let Some(vertex) = self.vertices.get_mut(&next) else { continue };
            if vertex.outcome != Outcome::Open {
                continue;
            }
            vertex.outcome = Outcome::Cancelled;
            cancelled.push(next);
            queue.extend(vertex.dependents.iter().copied());
        }
        cancelled
    }

    /// Whether all that the job depends on is done.
    pub fn released(&self, job: JobId) -> bool {
        self.vertices.get(&job).is_none_or(|v| v.unfinished == 0 && !v.incomplete)
    }

    /// What the job depends on directly.
    pub fn dependencies(&self, job: JobId) -> &[JobId] {
        self.vertices.get(&job).map_or(&[], |v| &v.dependencies)
    }

    /// The jobs that depend on it directly.
    pub fn dependents(&self, job: JobId) -> &[JobId] {
        self.vertices.get(&job).map_or(&[], |v| &v.dependents)
    }
}

/// How a job stands among others that wait: its priority and its times, its own or those
/// of a job that depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Priority.
    pub rank: Rank,
    /// When it should be complete, in milliseconds of the time of day.
    pub due_ms: u64,
    /// When its lateness can't be helped any more.
    pub last_ms: u64,
    /// The times come from a deadline that a user set.
    pub deadline: bool,
}

impl Urgency {
    /// With that of a dependent, which takes `span_ms` once this one is done.
    pub fn inherit(self, dependent: &Urgency, span_ms: u64) -> Urgency {
        let rank = self.rank.max(dependent.rank);
        if !dependent.deadline {
            return Urgency { rank, ..self };
        }
        let (due_ms, last_ms) =
            (dependent.due_ms.saturating_sub(span_ms), dependent.last_ms.saturating_sub(span_ms));
        if self.deadline && self.due_ms <= due_ms {
            return Urgency { rank, ..self };
        }
        Urgency { rank, due_ms, last_ms, deadline: true }
    }
}

#[cfg(test)]
mod tests;
