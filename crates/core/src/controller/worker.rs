//! A machine of the block: its worker's last report, and the starts and stops that are pending there.
//! Invariant: a start that went out in a direct call may be carried out, for the first time or once
//! more, until the worker has a higher fencing token or a later agent epoch (`Worker::is_open`). No
//! response, report or waiting time rules that out. Until then the start is kept
//! (`Worker::apply_report`), and its attempt stays on the worker (`Controller::commands`).
use super::*;

/// Whether a start went out in a direct call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// No direct call with it was sent, or none could be carried out.
    NotSent,
    /// A direct call with it was sent; whatever the result, it may arrive again.
    Sent,
}

/// An exited task that waits for a higher fencing token waits this long for others to exit, so that
/// one raise serves all of them. It can't return to its machine meanwhile, and its job is read again
/// and again if it is out of memory.
const EXIT_RAISE_DELAY: Micros = Micros::secs(3);
/// This many exited tasks do not wait for others.
const MAX_WAITING_EXITS: usize = 32;
/// Largest number of cleared attempts that are remembered for each machine.
const MAX_CLEARED_HELD: usize = 64;

/// A start that this controller decided on.
#[derive(Debug, Clone)]
pub(super) struct Start {
    pub(super) fencing_token: FencingToken,
    pub(super) agent_epoch: u64,
    pub(super) need: Resources,
    /// A report has shown the task.
    pub(super) reported: bool,
    pub(super) delivery: Delivery,
    /// Epoch and sequence of the heartbeat whose response last carried the start.
    pub(super) in_response_to: Option<(u64, u64)>,
}

impl Start {
    /// Whether a worker with this fencing token, in this agent epoch, refuses every call with it.
    fn is_ruled_out(&self, worker_token: FencingToken, agent_epoch: u64) -> bool {
        worker_token > self.fencing_token || agent_epoch > self.agent_epoch
    }
}

/// The call to a worker that is in flight.
#[derive(Debug)]
pub(super) struct DirectCall {
    pub(super) call: CallId,
    pub(super) runs: Vec<(TaskId, Attempt)>,
    pub(super) stops: Vec<(TaskId, Attempt)>,
    pub(super) status_only: bool,
}

/// A pending stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Stop {
    pub(super) grace: Micros,
    /// A direct call with it is in flight, or was answered with success.
    pub(super) sent_direct: bool,
}

/// A machine of the block.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) fencing_token: FencingToken,
    pub(super) addr: String,
    pub(super) draining: bool,
    /// Agent epoch and sequence of the last report; epoch 0 before the first one.
    pub(super) agent_epoch: u64,
    pub(super) sequence: u64,
    /// The highest fencing token that the worker has reported.
    pub(super) seen_fencing_token: FencingToken,
    /// The last report shows that responses and commands reach the worker. Its reports may arrive
    /// although they do not.
    pub(super) acknowledges_commands: bool,
    pub(super) last_contact: Option<Micros>,
    /// When the spot notice was received, and the time left then.
    pub(super) preemption_notice: Option<(Micros, Micros)>,
    pub(super) tasks: Vec<TaskStatus>,
    pub(super) starts: BTreeMap<(TaskId, Attempt), Start>,
    pub(super) stops: BTreeMap<(TaskId, Attempt), Stop>,
    /// Exited tasks and the `Sync` that first reported each.
    pub(super) exits: BTreeMap<(TaskId, Attempt), Option<u64>>,
    /// Since when an exited task has been waiting for a higher fencing token to be cleared.
    pub(super) exit_waits_since: Option<Micros>,
    /// Whether the last `Sync` asked for a higher fencing token.
    pub(super) token_requested: bool,
    /// The last attempts that had exited and are no longer reported. None may be reported again.
    cleared: BTreeMap<Attempt, TaskId>,
    pub(super) direct: Option<DirectCall>,
    /// A direct call has to send the worker its new fencing token.
    pub(super) announce_token: bool,
    /// No direct call is sent before this time.
    pub(super) next_call_at: Micros,
    pub(super) images: BTreeSet<String>,
    /// The first `Sync` that holds the last change, and the first that holds the last report.
    pub(super) changed_in: u64,
    pub(super) reported_in: u64,
}

impl Worker {
    pub(super) fn new(g: &GrantedMachine) -> Self {
        Worker {
            fencing_token: g.fencing_token,
            addr: g.addr.clone(),
            draining: g.draining,
            agent_epoch: 0,
            sequence: 0,
            seen_fencing_token: FencingToken(0),
            acknowledges_commands: false,
            last_contact: None,
            preemption_notice: None,
            tasks: Vec::new(),
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            exits: BTreeMap::new(),
            exit_waits_since: None,
            token_requested: false,
            cleared: BTreeMap::new(),
            direct: None,
            announce_token: true,
            next_call_at: Micros(0),
            images: BTreeSet::new(),
            changed_in: 0,
            reported_in: 0,
        }
    }

    pub(super) fn heartbeat_seq(&self) -> HeartbeatSeq {
        HeartbeatSeq { agent_epoch: self.agent_epoch, sequence: self.sequence }
    }

    pub(super) fn has(&self, key: &(TaskId, Attempt)) -> bool {
        self.tasks.iter().any(|t| (t.task, t.attempt) == *key)
    }

    /// Applies a report unless it is outdated or a duplicate; returns whether it was applied.
    /// `is_heartbeat` is true for a heartbeat, which proves that no earlier response is still to be
    /// executed.
    pub(super) fn apply_report(
        &mut self,
        r: &Report,
        tasks: Vec<TaskStatus>,
        is_heartbeat: bool,
        now: Micros,
    ) -> bool {
        if r.heartbeat_seq() <= self.heartbeat_seq() {
            return false;
        }
        // A worker that receives no response contacts the next controller. So one that sends its
        // next heartbeat here received the last response, and so did one that reports the raised
        // fencing token. A response to a direct call is a proof in itself.
        let follows = r.agent_epoch == self.agent_epoch && r.sequence == self.sequence + 1;
        let raised = self.seen_fencing_token < self.fencing_token
            && FencingToken(r.fencing_token) == self.fencing_token;
        self.acknowledges_commands = !is_heartbeat || follows || raised;
        self.agent_epoch = r.agent_epoch;
        self.sequence = r.sequence;
        self.seen_fencing_token = self.seen_fencing_token.max(FencingToken(r.fencing_token));
        self.last_contact = Some(now);
        self.addr = r.addr.clone();
        self.preemption_notice = r.preemption_notice_s.map(|s| (now, Micros::from_secs_f64(s)));
        self.tasks = tasks;
        for t in &self.tasks {
            if let Some(s) = self.starts.get_mut(&(t.task, t.attempt)) {
                s.reported = true;
            }
        }
        let (agent_epoch, sequence, fencing_token) =
            (r.agent_epoch, r.sequence, FencingToken(r.fencing_token));
        let present: BTreeSet<(TaskId, Attempt)> = self.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        self.starts.retain(|k, s| {
            if present.contains(k) {
                return true;
            }
            // After a later agent epoch or a higher fencing token, no earlier command can be
            // executed, and the report does not show the task.
            if s.is_ruled_out(fencing_token, agent_epoch) {
                return false;
            }
            // The task was there and was cleared.
            if s.reported {
                return s.delivery == Delivery::Sent;
            }
            // A heartbeat after the one whose response carried the start: that response was lost.
            // The start is sent again.
            if is_heartbeat && s.in_response_to.is_some_and(|t| (agent_epoch, sequence) > t) {
                s.in_response_to = None;
            }
            true
        });
        self.stops.retain(|k, _| present.contains(k) || self.starts.contains_key(k));
        let exited: BTreeSet<(TaskId, Attempt)> =
            self.tasks.iter().filter(|t| t.state.exited()).map(|t| (t.task, t.attempt)).collect();
        let before = std::mem::take(&mut self.exits);
        for (key, first_sync) in before {
            match exited.contains(&key) {
                true => drop(self.exits.insert(key, first_sync)),
                false => self.remember_cleared(key),
            }
        }
        for k in exited {
            self.exits.entry(k).or_insert(None);
        }
        self.exit_waits_since = match self.exits_waiting_for_token() {
            0 => None,
            _ => self.exit_waits_since.or(Some(now)),
        };
        true
    }

    fn remember_cleared(&mut self, (task, attempt): (TaskId, Attempt)) {
        self.cleared.insert(attempt, task);
        if self.cleared.len() > MAX_CLEARED_HELD {
            self.cleared.pop_first();
        }
    }

    /// Attempts in the last report that had exited and were cleared before. Each is returned once.
    pub(super) fn take_reappeared(&mut self) -> Vec<(TaskId, Attempt)> {
        if self.cleared.is_empty() {
            return Vec::new();
        }
        let reappeared: Vec<(TaskId, Attempt)> = self
            .tasks
            .iter()
            .map(|t| (t.task, t.attempt))
            .filter(|(_, a)| self.cleared.contains_key(a))
            .collect();
        for (_, attempt) in &reappeared {
            self.cleared.remove(attempt);
        }
        reappeared
    }

    /// Whether its reports can take no further task once all pending starts are carried out.
    pub(super) fn has_full_report(&self) -> bool {
        let pending = || self.starts.keys().filter(|k| !self.has(k)).count();
        self.tasks.len() + self.starts.len() >= MAX_REPORTED_TASKS
            && self.tasks.len() + pending() >= MAX_REPORTED_TASKS
    }

    /// Applies a grant of the machine under a higher fencing token.
    pub(super) fn raise_token(&mut self, fencing_token: FencingToken) {
        self.fencing_token = fencing_token;
        self.announce_token = true;
        self.next_call_at = Micros(0);
        self.exit_waits_since = None;
    }

    /// Whether a direct call with the start of this attempt may still be carried out once the worker
    /// has this fencing token.
    pub(super) fn is_open(&self, key: &(TaskId, Attempt), worker_token: FencingToken) -> bool {
        let start = self.starts.get(key).filter(|s| s.delivery == Delivery::Sent);
        start.is_some_and(|s| !s.is_ruled_out(worker_token, self.agent_epoch))
    }

    /// Exited tasks that can't be cleared under the present fencing token.
    pub(super) fn exits_waiting_for_token(&self) -> usize {
        self.exits.keys().filter(|k| self.is_open(k, self.fencing_token)).count()
    }

    /// Whether a higher fencing token is due: at once for a start that may still be carried out and
    /// whose task must not run, and for exited tasks after they have waited.
    pub(super) fn needs_new_token(&self, state_replica: &StateReplica, now: Micros) -> bool {
        let must_not_run = |(k, s): (&(TaskId, Attempt), &Start)| {
            !self.has(k)
                && self.is_open(k, self.fencing_token)
                && (s.reported || is_unwanted(k, &self.stops, state_replica))
        };
        self.exit_waits_since.is_some_and(|since| now.since(since) >= EXIT_RAISE_DELAY)
            || self.exit_waits_since.is_some() && self.exits_waiting_for_token() >= MAX_WAITING_EXITS
            || self.starts.iter().any(must_not_run)
    }

    /// The state of which the leader must be notified at once if a report changes it.
    pub(super) fn urgent_state(&self) -> (u64, (FencingToken, bool), bool, Vec<TaskStatus>, usize) {
        let token_and_commands = (self.seen_fencing_token, self.acknowledges_commands);
        (
            self.agent_epoch,
            token_and_commands,
            self.preemption_notice.is_some(),
            self.tasks.clone(),
            self.starts.len(),
        )
    }

    pub(super) fn used(&self, state_replica: &StateReplica) -> Resources {
        let mut used = Resources::default();
        for t in self.tasks.iter().filter(|t| !t.state.exited()) {
            used = used.plus(resources_of(state_replica, t.task.job));
        }
        for s in self.starts.iter().filter(|(k, _)| !self.has(k)) {
            used = used.plus(s.1.need);
        }
        used
    }
}

/// The resources that a task of the job needs; if its specification is not known, more than any
/// machine has.
pub(super) fn resources_of(state_replica: &StateReplica, job: JobId) -> Resources {
    state_replica
        .jobs
        .get(&job)
        .and_then(|j| j.spec.as_ref())
        .map_or(Resources { cpu: 1_000_000, gpu: 0, mem: 1_000_000 }, |s| s.task_resources)
}

/// Whether an attempt must not be started any more: its task is finished, or it is to be stopped.
pub(super) fn is_unwanted(
    key: &(TaskId, Attempt),
    stops: &BTreeMap<(TaskId, Attempt), Stop>,
    state_replica: &StateReplica,
) -> bool {
    is_finished(state_replica.jobs.get(&key.0.job), key.0.index) || stops.contains_key(key)
}

/// Whether the task needs no run any more: its job ended, it is recorded as done, or the job no
/// longer has a task of this index.
pub(super) fn is_finished(job: Option<&Job>, index: u32) -> bool {
    job.is_some_and(|j| {
        j.phase != Phase::Active || j.done.contains(index) || index >= j.tasks && j.spec.is_some()
    })
}
