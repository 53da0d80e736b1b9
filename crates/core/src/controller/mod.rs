//! The state of a controller besides any leadership: the machines of its block, the tasks that it
//! started on them, and what it reports to the leader.
mod assignments;
mod block;
mod commands;
#[cfg(test)]
mod repeated_starts;
#[cfg(test)]
mod stale_heartbeats;
#[cfg(test)]
mod stops;
mod sync;
#[cfg(test)]
mod test_reports;
mod worker;

use worker::{Delivery, Start, Stop, Worker, is_finished};

use crate::CallId;
use crate::jobs::{Job, Phase, StateReplica};
use crate::peer::pacing::Pacer;
use crate::peer::{
    Assignment, AssignmentOutcome, GrantedMachine, MachineState, Message, StopRequest, TaskState, TaskStatus,
    UnleasedReport,
};
use crate::placement::{self, Candidate, MAX_REPORTED_TASKS};
use gorseshore_protocol::ids::{Attempt, FencingToken, JobId, MachineId, Micros, NodeId, Resources, TaskId};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::workers::{Command, HeartbeatSeq, Report};
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// The outcome of an assignment, kept until the leader has acknowledged it.
#[derive(Debug)]
struct Placed {
    machine: Option<MachineId>,
    /// The first `Sync` that reported it.
    first_sync: Option<u64>,
}

/// The machines of a controller's block and its view of them.
#[derive(Debug, Default)]
pub struct Controller {
    workers: BTreeMap<MachineId, Worker>,
    outcomes: BTreeMap<Attempt, Placed>,
    /// Term of the last update applied.
    pub term: u64,
    update_seq: u64,
    /// Tasks may be started until this time.
    lease_until: Micros,
    sync_seq: u64,
    pacer: Pacer,
    /// When each `Sync` was sent.
    sync_sent: BTreeMap<u64, Micros>,
    /// The highest `Sync` of this term that the leader has acknowledged.
    acked: u64,
    /// The `Sync` of this term that the leader has applied last; the next one holds the changes
    /// since.
    base: u64,
    /// A change that the leader should receive soon was not sent yet.
    pub sync_pending: bool,
    /// Workers to which a command may have to be sent.
    touched: BTreeSet<MachineId>,
    scanned_at: Micros,
    /// The controllers that hold other machines.
    pub holders: BTreeMap<MachineId, NodeId>,
    /// Running tasks of each job, as last reported by the leader.
    pub running_counts: BTreeMap<JobId, u32>,
    /// Attempts that a worker reported again after they were cleared, since this process began.
    pub reappeared_attempts: u64,
}

/// A worker without contact for this long is probed by the controller that holds its machine.
pub const PROBE_AFTER: Micros = Micros::millis(2800);
/// Timeout of such a probe.
pub const PROBE_TIMEOUT: Micros = Micros::millis(1500);

/// All workers are scanned this often.
const SCAN_INTERVAL: Micros = Micros::millis(200);

/// Resources of machine types by name.
pub type MachineSizes = BTreeMap<String, Resources>;

/// Reads the tasks of a report; `None` if a task id is invalid.
pub fn parse_tasks(r: &Report) -> Option<Vec<TaskStatus>> {
    r.tasks
        .iter()
        .map(|p| {
            let state = match (p.state.as_str(), p.cause.as_deref()) {
                ("pulling", _) => TaskState::Fetching,
                ("running", _) => TaskState::Running,
                ("flushing", _) => TaskState::Saving,
                ("exited", Some("done")) => TaskState::Done,
                ("exited", Some("halted")) => TaskState::Stopped,
                ("exited", Some("error")) => TaskState::Failed,
                ("exited", _) => TaskState::Refused,
                // A task in an unknown state counts as present on the machine.
                _ => TaskState::Running,
            };
            Some(TaskStatus { task: TaskId::parse(&p.task)?, attempt: Attempt(p.attempt), state })
        })
        .collect()
}

/// The reply to a worker's heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatReply {
    /// 200 with these commands.
    Commands(FencingToken, Vec<Command>),
    /// 421, naming the controller that holds the machine if it is known.
    Misdirected(Option<NodeId>),
    /// The same; the worker has a higher fencing token, from a controller that reaches it.
    Superseded(Option<NodeId>),
}

impl Controller {
    /// Whether this controller holds a machine.
    pub fn holds(&self, id: &MachineId) -> bool {
        self.workers.contains_key(id)
    }

    /// Number of machines held.
    pub fn held_count(&self) -> usize {
        self.workers.len()
    }

    /// Jobs with a task that a worker held here has reported, or that is starting there.
    pub fn jobs_on_workers(&self) -> BTreeSet<JobId> {
        let tasks_of = |w: &Worker| {
            let reported = w.tasks.iter().map(|t| t.task.job);
            let started = w.starts.keys().map(|(task, _)| task.job);
            reported.chain(started).collect::<Vec<_>>()
        };
        self.workers.values().flat_map(tasks_of).collect()
    }

    /// Whether tasks may be started now.
    pub fn lease_valid(&self, now: Micros) -> bool {
        now < self.lease_until
    }

    /// Processes a heartbeat and returns the reply.
    pub fn receive_heartbeat(
        &mut self,
        r: &Report,
        tasks: Vec<TaskStatus>,
        state_replica: &StateReplica,
        now: Micros,
    ) -> HeartbeatReply {
        let id = MachineId::from(&*r.machine);
        let Some(w) = self.workers.get_mut(&id) else {
            return HeartbeatReply::Misdirected(self.holders.get(&id).copied());
        };
        if FencingToken(r.fencing_token) > w.fencing_token {
            // Another controller holds the machine under a higher token: this lease is void.
            info!("{id}: lease superseded by a higher fencing token {}", r.fencing_token);
            self.workers.remove(&id);
            let to = self.holders.remove(&id);
            return HeartbeatReply::Superseded(to);
        }
        let before = w.urgent_state();
        if !w.apply_report(r, tasks, true, now) {
            // The report is outdated or a duplicate: its tasks are stale, and no worker waits for
            // this reply.
            return HeartbeatReply::Commands(w.fencing_token, Vec::new());
        }
        // A report without an urgent change waits for the next `Sync` that is due.
        w.reported_in = self.sync_seq + 1;
        let changed = w.urgent_state() != before;
        self.touched.insert(id.clone());
        if changed {
            self.mark_changed(&id);
        }
        let may_start = now < self.lease_until;
        self.warn_of_reappeared(&id);
        let commands = self.commands(&id, state_replica, true, may_start);
        let w = &self.workers[&id];
        commands::log_commands(&id, "response", w.fencing_token, w.agent_epoch, &commands);
        HeartbeatReply::Commands(w.fencing_token, commands)
    }

    /// Warns of attempts that a worker reports again after they were cleared: a start was carried
    /// out twice.
    pub(super) fn warn_of_reappeared(&mut self, id: &MachineId) {
        let Some(w) = self.workers.get_mut(id) else { return };
        for (task, attempt) in w.take_reappeared() {
            self.reappeared_attempts += 1;
            let (token, epoch) = (w.seen_fencing_token.0, w.agent_epoch);
            warn!("{id}: a cleared attempt is back attempt={task}@{} token={token} epoch={epoch}", attempt.0);
        }
    }

    /// Exited tasks that wait for a higher fencing token before they can be cleared.
    pub fn exits_waiting_for_token(&self) -> usize {
        self.workers.values().map(Worker::exits_waiting_for_token).sum()
    }

    /// Stop commands for the finished tasks of a machine that this controller does not hold. No
    /// other command may be sent there.
    pub fn stops_for_unleased(tasks: &[TaskStatus], state_replica: &StateReplica) -> Vec<Command> {
        let unwanted = |t: &&TaskStatus| {
            !t.state.exited() && is_finished(state_replica.jobs.get(&t.task.job), t.task.index)
        };
        let halt = |t: &TaskStatus| Command {
            action: "halt".into(),
            task: t.task.to_string(),
            attempt: t.attempt.0,
            grace_period_s: Some(0.0),
        };
        tasks.iter().filter(unwanted).map(halt).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn granted(id: &str, fencing_token: u64) -> GrantedMachine {
        GrantedMachine {
            id: id.into(),
            fencing_token: FencingToken(fencing_token),
            addr: format!("{id}:1"),
            draining: false,
        }
    }

    #[test]
    fn an_update_is_accepted_only_if_its_base_was_applied() {
        // (term, number, base, whether it is accepted), in sequence
        let steps = [
            (3, 5, 0, true),
            // A duplicate, and an earlier update.
            (3, 5, 0, false),
            (3, 4, 0, false),
            (3, 7, 5, true),
            // Its base was lost.
            (3, 9, 8, false),
            (3, 10, 5, true),
            // A new leader's first update must be a full one.
            (4, 12, 11, false),
            (4, 13, 0, true),
            (3, 99, 0, false),
        ];
        let mut c = Controller::default();
        for (i, (term, seq, base, expected)) in steps.into_iter().enumerate() {
            assert_eq!(c.accept_update(term, seq, base), expected, "step {i}");
        }
    }

    #[test]
    fn a_sync_holds_what_was_not_acknowledged() {
        let (state_replica, now) = (StateReplica::default(), Micros::secs(9));
        let sent = |c: &mut Controller, term| match c.sync(term, Vec::new(), &state_replica, now) {
            Message::Sync { seq, base, machines, .. } => {
                (seq, base, machines.iter().map(|m| m.id.to_string()).collect::<Vec<_>>().join(","))
            }
            m => panic!("{m:?}"),
        };
        let mut c = Controller::default();
        assert!(c.accept_update(1, 1, 0));
        c.apply_block(true, &[granted("a", 1), granted("b", 2)], &[]);
        assert_eq!(sent(&mut c, 1), (1, 0, "a,b".into()));
        // Not acknowledged, so it is sent again.
        assert_eq!(sent(&mut c, 1), (2, 0, "a,b".into()));
        c.apply_sync_ack(2, Micros::secs(20));
        assert_eq!(sent(&mut c, 1), (3, 2, String::new()));
        c.apply_block(false, &[granted("c", 3)], &[("a".into(), Some(NodeId(1)))]);
        assert_eq!(sent(&mut c, 1), (4, 2, "c".into()));
        // A lower acknowledgement in the leader's latest update lowers the base.
        c.apply_sync_ack(1, Micros::secs(20));
        assert_eq!(sent(&mut c, 1), (5, 1, "c".into()));
        // The leader of another term has applied nothing.
        assert_eq!(sent(&mut c, 2), (6, 0, "b,c".into()));
    }

    #[test]
    fn a_machine_not_held_here_only_gets_stops_of_finished_tasks() {
        let status = |job, state| TaskStatus {
            task: TaskId { job: JobId(job), index: 0 },
            attempt: Attempt(job),
            state,
        };
        let mut state_replica = StateReplica::default();
        state_replica.apply("g/x/j-000001", Some(&serde_json::json!({"end": "aborted", "at": 1})), 1);
        let tasks = [
            status(1, TaskState::Running),
            status(1, TaskState::Stopped),
            status(2, TaskState::Running),
            status(2, TaskState::Done),
        ];
        let commands = Controller::stops_for_unleased(&tasks, &state_replica);
        let actual: Vec<(&str, &str)> =
            commands.iter().map(|o| (o.action.as_str(), o.task.as_str())).collect();
        assert_eq!(actual, [("halt", "j-000001/0")]);
    }
}
