//! Which machines may hold a task that was assigned to a controller and whose machine is not
//! known yet.
//!
//! Assignments made while a controller's block is unchanged share one set with the machines of
//! that block. Whether a machine of the set may still hold the task is decided from the
//! machine's state alone ([`may_hold`]). It can't if it is deleted, or if its complete task
//! list was received under a token issued after the task was assigned, because then no earlier
//! start can be carried out on it. Neither fact is ever reversed.
//!
//! Invariant: each assigned task is watched at one machine of its block that may hold it, so
//! only the tasks watched at a machine have to be checked when that machine is ruled out. A
//! task is released only after its whole block was checked.
use super::machine::Machine;
use gorseshore_protocol::ids::{Attempt, MachineId, TaskId};
use gorseshore_protocol::job::JobSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

/// An assignment to a controller that has not reported its outcome.
#[derive(Debug, Clone)]
pub(super) struct UnresolvedAssignment {
    pub(super) incarnation: u64,
    /// Machines on which it may have been started: the block at the time of the assignment,
    /// shared by all assignments of that time.
    pub(super) candidates: Rc<BTreeSet<MachineId>>,
    pub(super) preferred_machine: MachineId,
    pub(super) zone: String,
    /// The machine at which it is watched; `None` if its block is empty.
    pub(super) watched_at: Option<MachineId>,
}

/// Whether a machine may hold a task of this attempt, if the machine was in the block that
/// the task was assigned to.
pub(super) fn may_hold(machine: &Machine, attempt: Attempt) -> bool {
    machine.task_list_token.0 <= attempt.0
}

/// Assigned tasks, and the machine at which each is watched.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct UnresolvedTasks {
    tasks: BTreeSet<TaskId>,
    watched: BTreeMap<MachineId, BTreeSet<TaskId>>,
}

impl UnresolvedTasks {
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Adds a task, or watches it at another machine.
    pub(super) fn watch(&mut self, task: TaskId, at: Option<&MachineId>) {
        self.tasks.insert(task);
        if let Some(id) = at {
            self.watched.entry(id.clone()).or_default().insert(task);
        }
    }

    /// Removes a task whose machine is known, or that is on no machine.
    pub(super) fn remove(&mut self, task: TaskId, unresolved: &UnresolvedAssignment) {
        self.tasks.remove(&task);
        let Some(id) = &unresolved.watched_at else { return };
        if let Some(tasks) = self.watched.get_mut(id) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.watched.remove(id);
            }
        }
    }

    /// Removes and returns the tasks that are watched at a machine.
    pub(super) fn take_watched(&mut self, id: &MachineId) -> BTreeSet<TaskId> {
        self.watched.remove(id).unwrap_or_default()
    }
}

/// The first machine of a block after `after` that may hold a task.
pub(super) fn next_candidate(
    block: &BTreeSet<MachineId>,
    after: Option<&MachineId>,
    spec: &JobSpec,
    attempt: Attempt,
    machines: &BTreeMap<MachineId, Machine>,
) -> Option<MachineId> {
    let is_candidate =
        |id: &&MachineId| machines.get(*id).is_some_and(|m| m.suits(spec) && may_hold(m, attempt));
    let from = after.map_or(Bound::Unbounded, Bound::Excluded);
    block.range::<MachineId, _>((from, Bound::Unbounded)).find(is_candidate).cloned()
}

/// The machine at which a newly assigned task is watched: one that may hold it, or, if there
/// is none, any machine of the block, so that ruling that one out releases the task.
pub(super) fn first_candidate(
    block: &BTreeSet<MachineId>,
    spec: &JobSpec,
    attempt: Attempt,
    machines: &BTreeMap<MachineId, Machine>,
) -> Option<MachineId> {
    let any = || block.iter().find(|id| machines.contains_key(*id)).cloned();
    next_candidate(block, None, spec, attempt, machines).or_else(any)
}
