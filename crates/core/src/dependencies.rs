//! Dependency graph of jobs.
//!
//! The graph is pure: it uses no clock, no store keys and no messages, and is built from
//! records alone. It decides whether a job is released and which jobs are cancelled
//! together with another one. State replica, user responses and leader all query this type.
//!
//! Invariants:
//! - A job is released only when each of its dependencies has the recorded outcome `Done`
//!   and all records that name its dependencies have been read.
//! - A job without a recorded end is cancelled as soon as one of its direct or transitive
//!   dependencies is. Recorded ends never change, so this cancellation never changes either.
//! - A job's own recorded end takes precedence over a cancellation through dependencies.
use gorseshore_protocol::ids::JobId;
use gorseshore_protocol::job::Priority;
use std::collections::{BTreeMap, VecDeque};

/// Outcome of a job as its dependents see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outcome {
    /// Neither done nor cancelled.
    #[default]
    Open,
    /// All of its tasks are recorded as done.
    Done,
    /// Cancelled by its user, or together with one of its dependencies.
    Cancelled,
}

/// A job that has dependencies or dependents.
#[derive(Debug, Default)]
struct Vertex {
    dependencies: Vec<JobId>,
    dependents: Vec<JobId>,
    outcome: Outcome,
    /// Number of dependencies that are not done.
    unfinished: usize,
    /// Some of the records that name its dependencies have not been read.
    incomplete: bool,
}

/// Jobs with dependencies or dependents, and the edges between them.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    vertices: BTreeMap<JobId, Vertex>,
}

impl DependencyGraph {
    /// Adds dependencies of a job; `outcome_of` returns the outcome of a job that is not in
    /// the graph yet. Returns the jobs that this cancels, the job itself first.
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
            let dependency_vertex = self.vertex(*dependency, &outcome_of);
            dependency_vertex.dependents.push(job);
            let outcome = dependency_vertex.outcome;
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

    /// Sets whether records that name dependencies of the job are still missing.
    pub fn set_incomplete(&mut self, job: JobId, incomplete: bool) {
        if incomplete || self.vertices.contains_key(&job) {
            self.vertices.entry(job).or_default().incomplete = incomplete;
        }
    }

    /// Stores the outcome of a job whose end was recorded. Returns the jobs that are
    /// cancelled with it, direct dependents first; the job itself is not among them.
    pub fn record_outcome(&mut self, job: JobId, outcome: Outcome) -> Vec<JobId> {
        let Some(vertex) = self.vertices.get_mut(&job) else { return Vec::new() };
        let previous = std::mem::replace(&mut vertex.outcome, outcome);
        if previous == outcome {
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

    /// Cancels those of the jobs that are open, and their open transitive dependents.
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

    /// Whether no job has dependencies or dependents.
    pub fn is_empty(&self) -> bool {
        self.vertices.is_empty()
    }

    /// Removes a job whose outcome no open job needs any more.
    pub fn remove(&mut self, job: JobId) {
        let Some(vertex) = self.vertices.remove(&job) else { return };
        for dependency in vertex.dependencies {
            let Some(other) = self.vertices.get_mut(&dependency) else { continue };
            other.dependents.retain(|dependent| *dependent != job);
            if other.dependents.is_empty() && other.dependencies.is_empty() && !other.incomplete {
                self.vertices.remove(&dependency);
            }
        }
    }

    /// Whether all dependencies of the job are known and done.
    pub fn is_released(&self, job: JobId) -> bool {
        self.vertices.get(&job).is_none_or(|v| v.unfinished == 0 && !v.incomplete)
    }

    /// Direct dependencies of the job.
    pub fn dependencies(&self, job: JobId) -> &[JobId] {
        self.vertices.get(&job).map_or(&[], |v| &v.dependencies)
    }

    /// Jobs that depend directly on the job.
    pub fn dependents(&self, job: JobId) -> &[JobId] {
        self.vertices.get(&job).map_or(&[], |v| &v.dependents)
    }
}

/// Order of a job among waiting jobs: its priority and times, its own or inherited from a
/// dependent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Scheduling priority.
    pub priority: Priority,
    /// Wall-clock time by which the job should complete, in milliseconds.
    pub due_ms: u64,
    /// Latest completion that still meets the objective, in milliseconds of wall-clock time.
    pub latest_ms: u64,
    /// The times come from a deadline that a user set.
    pub has_user_deadline: bool,
}

impl Urgency {
    /// Combines this urgency with that of a dependent, which takes `span_ms` once this job
    /// is done.
    pub fn inherit(self, dependent: &Urgency, span_ms: u64) -> Urgency {
        let priority = self.priority.max(dependent.priority);
        if !dependent.has_user_deadline {
            return Urgency { priority, ..self };
        }
        let (due_ms, latest_ms) =
            (dependent.due_ms.saturating_sub(span_ms), dependent.latest_ms.saturating_sub(span_ms));
        if self.has_user_deadline && self.due_ms <= due_ms {
            return Urgency { priority, ..self };
        }
        Urgency { priority, due_ms, latest_ms, has_user_deadline: true }
    }
}

#[cfg(test)]
mod tests;
