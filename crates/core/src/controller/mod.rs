//! A controller's own part: the machines of its block, what it started on
//! them, and what it tells the leader.
mod block;
#[cfg(test)]
mod late;
mod orders;
mod placing;
#[cfg(test)]
mod stops;
mod view;
mod worker;

use worker::{DirectCall, Sending, Start, Stop, Worker, over};

use crate::jobs::{Job, Phase, StateReplica};
use crate::peer::pacing::Pacer;
use crate::peer::{
    GrantedMachine, HandOut, Held, MachineState, Message, Outcome, Sighting, StopRequest, TaskState,
};
use crate::placement::{self, Candidate};
use crate::{Call, CallId, CallResult, Outbox, Target};
use gorseshore_protocol::ids::{Attempt, FencingToken, JobId, MachineId, Micros, NodeId, Resources, TaskId};
use gorseshore_protocol::job::JobSpec;
use gorseshore_protocol::workers::{Command, CommandRequest, HeartbeatSeq, Report};
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// What became of a hand-out, until the leader knows.
#[derive(Debug)]
struct Placed {
    machine: Option<MachineId>,
    told: Option<u64>,
}

/// The part's state.
#[derive(Debug, Default)]
pub struct Controller {
    workers: BTreeMap<MachineId, Worker>,
    outcomes: BTreeMap<Attempt, Placed>,
    /// Term of the last update taken.
    pub term: u64,
    update_seq: u64,
    /// Until then tasks may be started.
    lease_until: Micros,
    sync_seq: u64,
    pacer: Pacer,
    sync_sent: BTreeMap<u64, Micros>,
    acked: u64,
    /// The `Sync` of this term that the leader has taken; the next one tells
    /// what changed since.
    base: u64,
    /// Something changed that the leader should hear.
    pub dirty: bool,
    /// Workers that something may have to be sent to.
    touched: BTreeSet<MachineId>,
    swept: Micros,
    /// Who holds which machine.
    pub directory: BTreeMap<MachineId, NodeId>,
    /// Running tasks, as the leader last said.
    pub running: BTreeMap<JobId, u32>,
}

/// A worker that was silent for so long is asked by its holder.
pub const ASKED_AFTER: Micros = Micros::millis(2800);
/// How long its answer is waited for.
pub const ASK_TIMEOUT: Micros = Micros::millis(1500);

/// How often all workers are looked at.
const SWEEP: Micros = Micros::millis(200);

/// Sizes of machine types by name.
pub type Sizes = BTreeMap<String, Resources>;

/// Reads the tasks of a report; `None` if the report makes no sense.
pub fn read_tasks(r: &Report) -> Option<Vec<Held>> {
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
                // An unknown state is something that is there.
                _ => TaskState::Running,
            };
            Some(Held { task: TaskId::parse(&p.task)?, attempt: Attempt(p.attempt), state })
        })
        .collect()
}

/// What to answer to a check-in.
#[derive(Debug, PartialEq)]
pub enum CheckinReply {
    /// 200 with these orders.
    Orders(FencingToken, Vec<Command>),
    /// 421, naming the holder if it is known.
    Elsewhere(Option<NodeId>),
    /// The same, and the worker has a token from somebody who reaches it.
    Lost(Option<NodeId>),
}

impl Controller {
    /// Whether this controller holds a machine.
    pub fn holds(&self, id: &MachineId) -> bool {
        self.workers.contains_key(id)
    }

    /// Number of machines held.
    pub fn held(&self) -> usize {
        self.workers.len()
    }

    /// Whether tasks may be started now.
    pub fn lease_valid(&self, now: Micros) -> bool {
        now < self.lease_until
    }

    /// A check-in.
    pub fn checkin(
        &mut self,
        r: &Report,
        tasks: Vec<Held>,
        ledger: &StateReplica,
        now: Micros,
    ) -> CheckinReply {
        let id = MachineId::from(&*r.machine);
        let Some(w) = self.workers.get_mut(&id) else {
            return CheckinReply::Elsewhere(self.directory.get(&id).copied());
        };
        if FencingToken(r.fencing_token) > w.baton {
            // Somebody holds it under a higher token: this node's word is void.
            info!("{id}: lost to a higher token {}", r.fencing_token);
            self.workers.remove(&id);
            let to = self.directory.remove(&id);
            return CheckinReply::Lost(to);
        }
        let before = w.outline();
        if !w.take(r, tasks, true, now) {
            // A late report: its sender is gone, and its tasks are old.
            return CheckinReply::Orders(w.baton, Vec::new());
        }
        // A report that says nothing new waits for the next `Sync` that is due.
        w.reported = self.sync_seq + 1;
        let news = w.outline() != before;
        self.touched.insert(id.clone());
        if news {
            self.touch(&id);
        }
        let may_start = now < self.lease_until;
        let orders = self.orders(&id, ledger, true, may_start);
        let w = &self.workers[&id];
        CheckinReply::Orders(w.baton, orders)
    }

    /// Stops what is over on a machine that this controller does not hold:
    /// nothing else may be ordered there.
    pub fn stops_for_stranger(tasks: &[Held], ledger: &StateReplica) -> Vec<Command> {
        let unwanted = |t: &&Held| !t.state.exited() && over(ledger.jobs.get(&t.task.job), t.task.index);
        let halt = |t: &Held| Command {
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

    fn granted(id: &str, baton: u64) -> GrantedMachine {
        GrantedMachine { id: id.into(), baton: FencingToken(baton), addr: format!("{id}:1"), draining: false }
    }

    #[test]
    fn an_update_is_taken_only_if_its_base_was() {
        // (term, number, base; taken), one after the other
        let steps = [
            (3, 5, 0, true),
            // A repetition, and one from before.
            (3, 5, 0, false),
            (3, 4, 0, false),
            (3, 7, 5, true),
            // It builds on one that was lost.
            (3, 9, 8, false),
            (3, 10, 5, true),
            // Another leader's first says everything; its later ones don't do.
            (4, 12, 11, false),
            (4, 13, 0, true),
            (3, 99, 0, false),
        ];
        let mut c = Controller::default();
        for (i, (term, seq, base, want)) in steps.into_iter().enumerate() {
            assert_eq!(c.accept_update(term, seq, base), want, "step {i}");
        }
    }

    #[test]
    fn a_sync_tells_what_was_not_acknowledged() {
        let (ledger, now) = (StateReplica::default(), Micros::secs(9));
        let told = |c: &mut Controller, term| match c.sync(term, Vec::new(), &ledger, now) {
            Message::Sync { seq, base, machines, .. } => {
                (seq, base, machines.iter().map(|m| m.id.to_string()).collect::<Vec<_>>().join(","))
            }
            m => panic!("{m:?}"),
        };
        let mut c = Controller::default();
        assert!(c.accept_update(1, 1, 0));
        c.take_block(true, &[granted("a", 1), granted("b", 2)], &[]);
        assert_eq!(told(&mut c, 1), (1, 0, "a,b".into()));
        // Not acknowledged: all of it again.
        assert_eq!(told(&mut c, 1), (2, 0, "a,b".into()));
        c.take_ack(2, Micros::secs(20));
        assert_eq!(told(&mut c, 1), (3, 2, String::new()));
        c.take_block(false, &[granted("c", 3)], &[("a".into(), Some(NodeId(1)))]);
        assert_eq!(told(&mut c, 1), (4, 2, "c".into()));
        // An older acknowledgement that is the leader's newest word goes back.
        c.take_ack(1, Micros::secs(20));
        assert_eq!(told(&mut c, 1), (5, 1, "c".into()));
        // A leader of another term has taken nothing.
        assert_eq!(told(&mut c, 2), (6, 0, "b,c".into()));
    }

    #[test]
    fn a_stranger_is_only_told_to_stop_what_is_over() {
        let held =
            |job, state| Held { task: TaskId { job: JobId(job), index: 0 }, attempt: Attempt(job), state };
        let mut ledger = StateReplica::default();
        ledger.apply("g/x/j-000001", Some(&serde_json::json!({"end": "aborted", "at": 1})), 1);
        let tasks = [
            held(1, TaskState::Running),
            held(1, TaskState::Stopped),
            held(2, TaskState::Running),
            held(2, TaskState::Done),
        ];
        let orders = Controller::stops_for_stranger(&tasks, &ledger);
        let got: Vec<(&str, &str)> = orders.iter().map(|o| (o.action.as_str(), o.task.as_str())).collect();
        assert_eq!(got, [("halt", "j-000001/0")]);
    }
}
