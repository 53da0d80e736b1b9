//! What a job gets from the jobs that depend on it, and the records of jobs that were
//! cancelled with one that they depend on.
//!
//! Invariant: the urgency of a job is its own joined with that of each job after it that
//! is neither done nor cancelled (`Urgency::inherit`), through the whole graph.
use super::*;

impl Leader {
    /// Joins the urgency of a job anew, and of those before it as far as that changes
    /// something. The graph has no cycles: a job names only such as were accepted before.
    pub(super) fn inherit_urgency(&mut self, id: JobId, ledger: &StateReplica) {
        let mut queue = VecDeque::from([id]);
        while let Some(next) = queue.pop_front() {
            let changed = self.join_urgency(next, ledger);
            if changed || next == id {
                queue.extend(ledger.dependencies.dependencies(next).iter().copied());
            }
        }
    }

    /// Joins the urgency of one job; whether that changed it.
    fn join_urgency(&mut self, id: JobId, ledger: &StateReplica) -> bool {
        let Some(run) = self.jobs.get(&id).filter(|r| !r.ended) else { return false };
        let dependents = ledger.dependencies.dependents(id).iter().filter_map(|d| self.jobs.get(d));
        let urgency = dependents
            .filter(|r| !r.ended)
            .fold(run.own_urgency, |urgency, r| urgency.inherit(&r.urgency, r.estimated_span_ms()));
        if urgency == run.urgency {
            return false;
        }
        if let Some(run) = self.jobs.get_mut(&id) {
            run.urgency = urgency;
        }
        self.requeue = true;
        true
    }

    /// Keeps in mind that the cancellation of a job with another one has to be recorded,
    /// for versions that don't know of dependencies.
    pub(super) fn note_cancelled_by_another(&mut self, id: JobId, job: &Job) {
        match job.cancelled_by_dependency() {
            true => self.unrecorded_cancellations.insert(id),
            false => self.unrecorded_cancellations.remove(&id),
        };
    }
}
