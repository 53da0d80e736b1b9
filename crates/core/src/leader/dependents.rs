//! The urgency that a job inherits from jobs that depend on it, and the records of jobs that
//! were cancelled together with a job that they depend on.
//!
//! Invariant: the urgency of a job is its own urgency joined with that of each dependent job
//! that is neither done nor cancelled (`Urgency::inherit`), through the whole graph.
use super::*;

impl Leader {
    /// Recomputes the urgency of a job, and of the jobs that it depends on as long as that
    /// changes something. The graph has no cycles: a job can only name jobs that were accepted
    /// before it.
    pub(super) fn inherit_urgency(&mut self, id: JobId, state_replica: &StateReplica) {
        let mut queue = VecDeque::from([id]);
        while let Some(next) = queue.pop_front() {
            let changed = self.join_urgency(next, state_replica);
            if changed || next == id {
                queue.extend(state_replica.dependencies.dependencies(next).iter().copied());
            }
        }
    }

    /// Recomputes the urgency of one job; whether it changed.
    fn join_urgency(&mut self, id: JobId, state_replica: &StateReplica) -> bool {
        let Some(run) = self.jobs.get(&id).filter(|r| !r.ended) else { return false };
        let dependents = state_replica.dependencies.dependents(id).iter().filter_map(|d| self.jobs.get(d));
        let urgency = dependents
            .filter(|r| !r.ended)
            .fold(run.own_urgency, |urgency, r| urgency.inherit(&r.urgency, r.estimated_span_ms()));
        if urgency == run.urgency {
            return false;
        }
        if let Some(run) = self.jobs.get_mut(&id) {
            run.urgency = urgency;
        }
        self.queue_stale = true;
        true
    }

    /// Notes whether a job's cancellation together with another job still has to be recorded,
    /// for versions of the program that don't know dependencies.
    pub(super) fn note_cancelled_by_another(&mut self, id: JobId, job: &Job) {
        match job.cancelled_by_dependency() {
            true => self.unrecorded_cancellations.insert(id),
            false => self.unrecorded_cancellations.remove(&id),
        };
    }
}
