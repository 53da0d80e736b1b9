//! Which machines may hold a task that was assigned to a controller and whose place is not
//! known yet.
//!
//! All assignments of a time share the controller's block as it was then. Whether a machine
//! of it may still hold the task is decided by [`may_hold`] alone, from the machine: it is
//! gone, or its task list was seen whole under a token drawn after the task was assigned, so
//! that no start from before can be carried out on it. Neither is ever taken back.
//!
//! Invariant: each assigned task is watched at one machine of its block that may hold it, so
//! only the tasks watched at a machine have to be looked at when that machine is ruled out.
//! A task is set free only after a look at its whole block.
use super::machine::Machine;
use gorseshore_protocol::ids::{Attempt, MachineId, TaskId};
use gorseshore_protocol::job::JobSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

/// A task that a controller was given and has not told about.
#[derive(Debug, Clone)]
pub(super) struct Handed {
    pub(super) incarnation: u64,
    /// Machines on which it may have been started: the block as it was, shared
    /// by the hand-outs of that time.
    pub(super) machines: Rc<BTreeSet<MachineId>>,
    pub(super) hint: MachineId,
    pub(super) zone: String,
    /// Where it is watched; none if its block is empty.
    pub(super) watched: Option<MachineId>,
}

/// Whether a machine may hold a task of this attempt, if the machine was in the block that
/// the task was assigned to.
pub(super) fn may_hold(machine: &Machine, attempt: Attempt) -> bool {
    machine.task_list_token.0 <= attempt.0
}

/// Assigned tasks, and where each is watched.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct AssignedTasks {
    tasks: BTreeSet<TaskId>,
    watched: BTreeMap<MachineId, BTreeSet<TaskId>>,
}

impl AssignedTasks {
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Adds a task, or moves it to another machine.
    pub(super) fn watch(&mut self, task: TaskId, at: Option<&MachineId>) {
        self.tasks.insert(task);
        if let Some(id) = at {
            self.watched.entry(id.clone()).or_default().insert(task);
        }
    }

    /// The task's place is known, or it is nowhere.
    pub(super) fn remove(&mut self, task: TaskId, handed: &Handed) {
        self.tasks.remove(&task);
        let Some(id) = &handed.watched else { return };
        if let Some(tasks) = self.watched.get_mut(id) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.watched.remove(id);
            }
        }
    }

    /// Takes out the tasks that are watched at a machine.
    pub(super) fn take_watched(&mut self, id: &MachineId) -> BTreeSet<TaskId> {
        self.watched.remove(id).unwrap_or_default()
    }
}

/// The first machine of a block, after another one, that may hold a task.
pub(super) fn next_open(
    block: &BTreeSet<MachineId>,
    after: Option<&MachineId>,
    spec: &JobSpec,
    attempt: Attempt,
    machines: &BTreeMap<MachineId, Machine>,
) -> Option<MachineId> {
    let open = |id: &&MachineId| machines.get(*id).is_some_and(|m| m.suits(spec) && may_hold(m, attempt));
    let from = after.map_or(Bound::Unbounded, Bound::Excluded);
    block.range::<MachineId, _>((from, Bound::Unbounded)).find(open).cloned()
}

/// Where a task that was just assigned is watched: at a machine that may hold it, or, where
/// none may, at any, so that the word about that one sets it free.
pub(super) fn first_watched(
    block: &BTreeSet<MachineId>,
    spec: &JobSpec,
    attempt: Attempt,
    machines: &BTreeMap<MachineId, Machine>,
) -> Option<MachineId> {
    let any = || block.iter().find(|id| machines.contains_key(*id)).cloned();
    next_open(block, None, spec, attempt, machines).or_else(any)
}
