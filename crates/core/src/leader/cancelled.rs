//! What the leader vouches for before a user hears of a cancellation. Invariant: from
//! then on no controller orders a start of the job. Only one that doesn't act on the
//! cancellation could, while its block's lease may run, and only a task that is bound:
//! handed out to it, or not yet seen on the machine where it starts.
use super::*;
use job_run::Binding;

impl Leader {
    /// Whether a start of a cancelled job may still be ordered. `acknowledged_by` are the processes
    /// that act on the cancellation, by controller; `ended` are controllers whose hosts say
    /// that their process is gone.
    pub fn start_may_follow(
        &self,
        id: JobId,
        acknowledged_by: &[u64],
        ended: &[NodeId],
        now: Micros,
    ) -> bool {
        let unaware = self.unaware(acknowledged_by, ended, now);
        if unaware.is_empty() {
            return false;
        }
        // What it doesn't know of may be there.
        if !self.granted || self.machines.values().any(|m| m.unknown) {
            return true;
        }
        let Some(run) = self.jobs.get(&id) else { return false };
        run.bound.iter().any(|(index, b)| self.start_is_open(TaskId { job: id, index: *index }, b, &unaware))
    }

    /// Controllers that may start tasks and don't act on a cancellation. The lease that
    /// one has of a leader began before the leader last heard it, or before this term.
    fn unaware(&self, acknowledged_by: &[u64], ended: &[NodeId], now: Micros) -> Vec<NodeId> {
        let may_start = |(i, node): &(usize, &Node)| {
            let n = NodeId(*i as u8);
            let known = acknowledged_by.get(*i).is_some_and(|process| *process >= node.incarnation.max(1));
            let lease_until = node.heard.unwrap_or(self.began) + self.ctx.operator.block_lease;
            n != self.ctx.me && !known && !ended.contains(&n) && now < lease_until
        };
        self.nodes.iter().enumerate().filter(may_start).map(|(i, _)| NodeId(i as u8)).collect()
    }

    /// Whether one of these controllers may still order the start of a bound task.
    fn start_is_open(&self, task: TaskId, b: &Binding, unaware: &[NodeId]) -> bool {
        // A hand-out of the term before is nobody's in this one.
        let handed_to = self.handouts.get(&b.attempt).map(|h| h.to);
        if b.unresolved_assignment.is_some() && handed_to.is_none_or(|n| unaware.contains(&n)) {
            return true;
        }
        b.reported_on.iter().filter_map(|id| self.machines.get(id)).any(|m| {
            let seen = m.tasks.get(&task).is_some_and(|(_, state)| *state != TaskState::Starting);
            // Another holder's token that the worker has not shown proves nothing.
            let arrived = m.started.contains_key(&task) || m.confirmed && seen;
            let held_by = m.holder.filter(|_| m.confirmed);
            !arrived && held_by.is_none_or(|n| unaware.contains(&n))
        })
    }
}
