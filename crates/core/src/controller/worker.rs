//! A machine of the block: its worker's last report, and the starts and stops that are pending there.
//! Invariant: a pending start is kept until a report shows its task, or a later agent epoch or a
//! higher fencing token rules out that it still arrives (`Worker::apply_report`).
use super::*;

/// Whether a `/do` call with a start may still arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// No call can still arrive.
    Settled,
    /// A call is in flight.
    InFlight,
    /// A call was not answered; it may be executed minutes later.
    Uncertain,
}

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
            if agent_epoch > s.agent_epoch || fencing_token > s.fencing_token {
                return false;
            }
            // The task was there and was cleared. The start is kept while a call with it may still
            // arrive.
            if s.reported {
                return s.delivery != Delivery::Settled;
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
        self.exits.retain(|k, _| exited.contains(k));
        for k in exited {
            self.exits.entry(k).or_insert(None);
        }
        true
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

/// Whether the task needs no run any more: its job ended, it is recorded as done, or the job no
/// longer has a task of this index.
pub(super) fn is_finished(job: Option<&Job>, index: u32) -> bool {
    job.is_some_and(|j| {
        j.phase != Phase::Active || j.done.contains(index) || index >= j.tasks && j.spec.is_some()
    })
}
