//! A machine of the block: what its worker said last, and what is open there.
//! Invariant: a start stays until a report shows it, or a later session or a higher
//! token rules it out (`Worker::take`).
use super::*;

/// What is known of the sendings of a start by `/do`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sending {
    /// None can still arrive.
    Settled,
    /// One is under way.
    InFlight,
    /// One was never answered; it may be executed minutes later.
    Uncertain,
}

/// A start that this controller decided on.
#[derive(Debug, Clone)]
pub(super) struct Start {
    pub(super) baton: FencingToken,
    pub(super) shift: u64,
    pub(super) need: Resources,
    pub(super) seen: bool,
    pub(super) sending: Sending,
    /// The check-in whose answer last carried the start.
    pub(super) in_answer_to: Option<(u64, u64)>,
}

#[derive(Debug)]
pub(super) struct DirectCall {
    pub(super) call: CallId,
    pub(super) runs: Vec<(TaskId, Attempt)>,
    pub(super) stops: Vec<(TaskId, Attempt)>,
    pub(super) status_only: bool,
}

/// A stop under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Stop {
    pub(super) grace: Micros,
    /// It went out by a direct call that is open, or was carried out.
    pub(super) sent_direct: bool,
}

/// A machine of the block.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) baton: FencingToken,
    pub(super) addr: String,
    pub(super) draining: bool,
    pub(super) shift: u64,
    pub(super) tally: u64,
    pub(super) seen_baton: FencingToken,
    /// The last report shows that the worker hears what it is told: it may arrive
    /// while no answer and no command gets back.
    pub(super) obeys: bool,
    pub(super) heard: Option<Micros>,
    pub(super) warning: Option<(Micros, Micros)>,
    pub(super) tasks: Vec<Held>,
    pub(super) starts: BTreeMap<(TaskId, Attempt), Start>,
    pub(super) stops: BTreeMap<(TaskId, Attempt), Stop>,
    /// Exited tasks and the `Sync` that first told of them.
    pub(super) exits: BTreeMap<(TaskId, Attempt), Option<u64>>,
    pub(super) direct: Option<DirectCall>,
    /// Raise the token at the worker with a direct call.
    pub(super) announce: bool,
    pub(super) not_before: Micros,
    pub(super) images: BTreeSet<String>,
    /// The `Sync` that first tells of the last change, and of the last report.
    pub(super) changed: u64,
    pub(super) reported: u64,
}

impl Worker {
    pub(super) fn new(g: &GrantedMachine) -> Self {
        Worker {
            baton: g.baton,
            addr: g.addr.clone(),
            draining: g.draining,
            shift: 0,
            tally: 0,
            seen_baton: FencingToken(0),
            obeys: false,
            heard: None,
            warning: None,
            tasks: Vec::new(),
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            exits: BTreeMap::new(),
            direct: None,
            announce: true,
            not_before: Micros(0),
            images: BTreeSet::new(),
            changed: 0,
            reported: 0,
        }
    }

    pub(super) fn number(&self) -> HeartbeatSeq {
        HeartbeatSeq { agent_epoch: self.shift, sequence: self.tally }
    }

    pub(super) fn has(&self, key: &(TaskId, Attempt)) -> bool {
        self.tasks.iter().any(|t| (t.task, t.attempt) == *key)
    }

    /// Takes a report that is newer than what is known. `checkin` is true if
    /// it came as a check-in, which proves earlier answers settled.
    pub(super) fn take(&mut self, r: &Report, tasks: Vec<Held>, checkin: bool, now: Micros) -> bool {
        if r.heartbeat_seq() <= self.number() {
            return false;
        }
        // A worker that got no answer turns to the next controller, so that one whose
        // next message comes here was answered; so does it show by the token that was
        // raised. The answer to a call is a proof by itself.
        let follows = r.agent_epoch == self.shift && r.sequence == self.tally + 1;
        let raised = self.seen_baton < self.baton && FencingToken(r.fencing_token) == self.baton;
        self.obeys = !checkin || follows || raised;
        self.shift = r.agent_epoch;
        self.tally = r.sequence;
        self.seen_baton = self.seen_baton.max(FencingToken(r.fencing_token));
        self.heard = Some(now);
        self.addr = r.addr.clone();
        self.warning = r.preemption_notice_s.map(|s| (now, Micros::from_secs_f64(s)));
        self.tasks = tasks;
        for t in &self.tasks {
            if let Some(s) = self.starts.get_mut(&(t.task, t.attempt)) {
                s.seen = true;
            }
        }
        let (shift, tally, baton) = (r.agent_epoch, r.sequence, FencingToken(r.fencing_token));
        let present: BTreeSet<(TaskId, Attempt)> = self.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        self.starts.retain(|k, s| {
            if present.contains(k) {
                return true;
            }
            // A later session, or a higher token: nothing sent before can be
            // executed any more, and the report is without the task.
            if shift > s.shift || baton > s.baton {
                return false;
            }
            // It was here and was cleared; no sending may still arrive.
            if s.seen {
                return s.sending != Sending::Settled;
            }
            // A check-in after the one whose answer carried the start: that
            // answer was dropped. The start is sent again.
            if checkin && s.in_answer_to.is_some_and(|t| (shift, tally) > t) {
                s.in_answer_to = None;
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

    /// What a report can change that the leader has to hear at once.
    pub(super) fn outline(&self) -> (u64, (FencingToken, bool), bool, Vec<Held>, usize) {
        let told = (self.seen_baton, self.obeys);
        (self.shift, told, self.warning.is_some(), self.tasks.clone(), self.starts.len())
    }

    pub(super) fn used(&self, ledger: &StateReplica) -> Resources {
        let mut used = Resources::default();
        for t in self.tasks.iter().filter(|t| !t.state.exited()) {
            used = used.plus(need_of(ledger, t.task.job));
        }
        for s in self.starts.iter().filter(|(k, _)| !self.has(k)) {
            used = used.plus(s.1.need);
        }
        used
    }
}

/// What a task of the job takes; a machine's worth if nobody knows.
pub(super) fn need_of(ledger: &StateReplica, job: JobId) -> Resources {
    ledger
        .jobs
        .get(&job)
        .and_then(|j| j.spec.as_ref())
        .map_or(Resources { cpu: 1_000_000, gpu: 0, mem: 1_000_000 }, |s| s.task_resources)
}

pub(super) fn over(job: Option<&Job>, index: u32) -> bool {
    job.is_some_and(|j| {
        j.phase != Phase::Active || j.done.contains(index) || index >= j.tasks && j.spec.is_some()
    })
}
