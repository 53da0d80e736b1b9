//! What the leader guarantees before a cancellation is confirmed to the client. Invariant:
//! from then on no controller sends a start command for the job. Only a controller that does not
//! act on the cancellation could send one, only while its block's lease may still run, and only
//! for a bound task that is assigned to it or not yet seen on the machine where it starts.
use super::*;
use job_run::Binding;

impl Leader {
    /// Whether a start command for a cancelled job may still be sent. `acknowledged_by` are the
    /// incarnations that act on the cancellation, by controller; `exited` are controllers whose
    /// hosts report that their process has exited.
    pub fn may_still_start(
        &self,
        id: JobId,
        acknowledged_by: &[u64],
        exited: &[NodeId],
        now: Micros,
    ) -> bool {
        let unaware = self.unaware(acknowledged_by, exited, now);
        if unaware.is_empty() {
            return false;
        }
        // Machines may hold tasks that this leader does not know of.
        if !self.grants_started || self.machines.values().any(|m| m.tasks_unknown) {
            return true;
        }
        let Some(run) = self.jobs.get(&id) else { return false };
        run.bound
            .iter()
            .any(|(index, b)| self.start_is_possible(TaskId { job: id, index: *index }, b, &unaware))
    }

    /// Controllers that may start tasks and don't act on a cancellation. A controller's block
    /// lease began before this leader last received its `Sync`, or before this term.
    fn unaware(&self, acknowledged_by: &[u64], exited: &[NodeId], now: Micros) -> Vec<NodeId> {
        let may_start = |(i, node): &(usize, &Node)| {
            let n = NodeId(*i as u8);
            let known = acknowledged_by.get(*i).is_some_and(|known| *known >= node.incarnation.max(1));
            let lease_until = node.last_contact.unwrap_or(self.term_start) + self.config.operator.block_lease;
            n != self.config.node_id && !known && !exited.contains(&n) && now < lease_until
        };
        self.nodes.iter().enumerate().filter(may_start).map(|(i, _)| NodeId(i as u8)).collect()
    }

    /// Whether one of these controllers may still order the start of a bound task.
    fn start_is_possible(&self, task: TaskId, b: &Binding, unaware: &[NodeId]) -> bool {
        // An assignment of an earlier term belongs to no controller in this one.
        let assigned_to = self.pending_assignments.get(&b.attempt).map(|h| h.to);
        if b.unresolved_assignment.is_some() && assigned_to.is_none_or(|n| unaware.contains(&n)) {
            return true;
        }
        b.reported_on.iter().filter_map(|id| self.machines.get(id)).any(|m| {
            let seen = m.tasks.get(&task).is_some_and(|(_, state)| *state != TaskState::Starting);
            // A grant to another holder proves nothing before the worker's heartbeat shows its token.
            let arrived = m.started.contains_key(&task) || m.confirmed && seen;
            let held_by = m.holder.filter(|_| m.confirmed);
            !arrived && held_by.is_none_or(|n| unaware.contains(&n))
        })
    }
}
