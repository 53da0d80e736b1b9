//! The leader: which machines there are, which controller holds them, where
//! each task is bound, and what goes next.
mod assignments;
mod autoscaling;
mod bindings;
mod blocks;
mod books;
mod cancelled;
mod capacity_index;
pub mod changes;
mod command_reachability;
mod dependents;
mod intents;
mod job_run;
mod machine;
mod messages;
pub mod network_paths;
pub mod pending_reasons;
mod records;
pub mod scaling_limits;
mod schedule;
mod starvation;
#[cfg(test)]
mod tests;
pub mod zone_health;

use crate::lateness::Lateness;
use assignments::{AssignedTasks, Handed, may_hold};
use intents::ScaleOutStage;
pub use intents::{CloudRequest, LeaderWrite, ScaleOutRequest};
use job_run::{Binding, FAULTY_JOB_FAILURES, JobRun};
pub use machine::{Machine, Stage};

use crate::books::Ledgers;
use crate::controller::{MachineSizes, PROBE_AFTER, PROBE_TIMEOUT};
use crate::dependencies::Urgency;
use crate::fair_queue::FairQueue;
use crate::fleet::{self, Demand, MachineCapacity, Offer, RentalKind, ScalingPolicy};
use crate::jobs::{Failures, Job, MachineRecord, Phase, StateReplica, TaskSet};
use crate::leader::network_paths::NetworkPaths;
use crate::leader::zone_health::{ZoneHealth, ZoneObservation, ZoneTransition};
use crate::peer::pacing::Pacer;
use crate::peer::{
    Assignment, AssignmentOutcome, GrantedMachine, MachineState, Message, StopRequest, TaskState,
    UnleasedReport,
};
use crate::placement::{self, Candidate};
use gorseshore_protocol::cloud::{Flavor, Rentals};
use gorseshore_protocol::ids::{
    Attempt, FencingToken, JobId, MachineId, Micros, NodeId, Resources, TOKEN_SEQUENCE_BITS, TaskId,
};
use gorseshore_protocol::job::{JobSpec, Kind, PRIORITIES, Priority};
use gorseshore_protocol::workers::HeartbeatSeq;
use gorseshore_settings::{Objective, Operator, Team};
use log::{debug, error, info, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Sums over bound tasks, kept as tasks are bound and freed.
#[derive(Debug, Default, Clone, PartialEq)]
struct Sums {
    /// CPUs and GPUs of each team's tasks, wherever they may be.
    teams: BTreeMap<String, (u64, u64)>,
    /// Tasks of arrays.
    arrays: u64,
}

impl Sums {
    fn bound(&mut self, spec: &JobSpec) {
        self.arrays += (spec.kind == Kind::Array) as u64;
        let (c, g) = match self.teams.get_mut(&spec.team) {
            Some(t) => t,
            None => self.teams.entry(spec.team.clone()).or_default(),
        };
        (*c, *g) = (*c + spec.task_resources.cpu, *g + spec.task_resources.gpu);
    }
    fn freed(&mut self, spec: &JobSpec) {
        self.arrays -= (spec.kind == Kind::Array) as u64;
        if let Some((c, g)) = self.teams.get_mut(&spec.team) {
            (*c, *g) = (*c - spec.task_resources.cpu, *g - spec.task_resources.gpu);
        }
    }
}

/// Another controller, as the leader sees it.
#[derive(Debug, Default, Clone)]
struct Node {
    incarnation: u64,
    sync_seq: u64,
    /// The last update that it has taken.
    seen: u64,
    /// It waits for the acknowledgement of what it told.
    owed: bool,
    heard: Option<Micros>,
    since: Micros,
    contact_since: Micros,
    /// Updates to it.
    pacer: Pacer,
    dirty: bool,
}

/// A hand-out whose outcome is not known.
#[derive(Debug)]
struct OnItsWay {
    to: NodeId,
    out: Assignment,
    /// The change of the books that has to be at the witnesses before it goes.
    covered_by: u64,
    /// When it last went.
    sent: Option<Micros>,
}

/// What a controller says in a `Sync`.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Counts up.
    pub seq: u64,
    /// The `Sync` that it builds on.
    pub base: u64,
    /// The last update taken.
    pub seen: u64,
    /// Machines that changed.
    pub machines: &'a [MachineState],
    /// Machines that were heard, and how long ago.
    pub heard: &'a [(MachineId, Micros, HeartbeatSeq)],
    /// Machines of others whose workers report to it.
    pub strangers: &'a [UnleasedReport],
    /// Hand-outs that were decided on.
    pub outcomes: &'a [AssignmentOutcome],
}

impl<'a> View<'a> {
    /// What a `Sync` says, and to the leader of which term; `None` of any other
    /// message.
    pub fn of(m: &'a Message) -> Option<(u64, View<'a>)> {
        let Message::Sync {
            term,
            seq,
            base,
            acked_update: seen,
            machines,
            contacts: heard,
            unleased_reports: strangers,
            outcomes,
        } = m
        else {
            return None;
        };
        let (seq, base, seen) = (*seq, *base, *seen);
        Some((*term, View { seq, base, seen, machines, heard, strangers, outcomes }))
    }
}

/// Things that stay the same for a term.
#[derive(Debug, Clone)]
pub struct Context {
    /// This node.
    pub me: NodeId,
    /// All nodes' names.
    pub names: Vec<String>,
    /// All nodes' zones.
    pub zones: Vec<String>,
    /// Operators' settings.
    pub operator: Operator,
    /// Teams.
    pub teams: Vec<Team>,
    /// What is expected of classes of jobs.
    pub objectives: Vec<Objective>,
    /// Workers' lease.
    pub lease: Micros,
    /// Workers' report interval.
    pub report: Micros,
    /// Time for a cancellation.
    pub cancel: Micros,
    /// How old a list may be.
    pub list_lag: Micros,
    /// Calls a second that the cloud takes.
    pub cloud_rps: f64,
}

/// The leader's state in one term.
#[derive(Debug)]
pub struct Leader {
    /// Its term.
    pub term: u64,
    ctx: Context,
    epoch: u64,
    began: Micros,
    began_ms: u64,
    /// Revision of the leader's key: jobs recorded later were never handed
    /// out by an earlier leader.
    began_stamp: u64,
    lateness: Lateness,
    granted: bool,
    queues: BTreeMap<Priority, FairQueue>,
    nodes: Vec<Node>,
    machines: BTreeMap<MachineId, Machine>,
    /// Deleted machines, when, and the update that first tells of it.
    gone: BTreeMap<MachineId, (Micros, u64)>,
    /// Number of the last update sent to anybody.
    version: u64,
    /// Deletions told before this are forgotten.
    forgotten: u64,
    jobs: BTreeMap<JobId, JobRun>,
    /// Cancelled jobs that are not proven to be nowhere, and by when their tasks have to
    /// be gone.
    aborted: BTreeMap<JobId, Micros>,
    /// Hand-outs whose outcome is not known.
    handouts: BTreeMap<Attempt, OnItsWay>,
    books: Ledgers,
    /// The books of before are waited for.
    wants_books: bool,
    /// Jobs that wait for the end of others: which they replace, or depend on.
    held: BTreeSet<JobId>,
    /// A job was recorded as done, so that others may be released.
    dependency_done: bool,
    /// Jobs that were cancelled with one that they depend on and have no record of it.
    unrecorded_cancellations: BTreeSet<JobId>,
    /// Tasks that are handed out and whose place is not known.
    handed: AssignedTasks,
    /// How often an invariant that is checked at run time did not hold.
    violations: u64,
    /// The blocks as sets, made when they are needed.
    blocks: BTreeMap<NodeId, Rc<BTreeSet<MachineId>>>,
    /// Bound tasks: what teams use of CPUs and GPUs, and how many are of arrays.
    sums: Sums,
    stops: BTreeMap<(TaskId, Attempt), (StopRequest, Micros)>,
    hires: BTreeMap<String, (ScaleOutRequest, ScaleOutStage, Micros)>,
    refused: BTreeMap<(String, String, bool), Micros>,
    /// Spot machines that were rented of late: when, and how many.
    spot_had: VecDeque<(Micros, usize)>,
    /// Zones, as far as they are heard.
    health: ZoneHealth,
    /// When the ways to the zones opened.
    ways: NetworkPaths,
    /// Arrays of which more is done than was recorded when last looked at.
    progressed: BTreeSet<JobId>,
    /// Machines with room, in order.
    rooms: capacity_index::CapacityIndex,
    /// Jobs that wait, in order; `requeue`: some began to wait since.
    waiting: schedule::PendingJobs,
    requeue: bool,
    /// Something changed: schedule.
    pub dirty: bool,
    fleet_at: Micros,
    measured: Micros,
    /// When a page of the cloud's list was read, and after which machine it goes on.
    listed: Micros,
    list_from: Option<String>,
    listing: bool,
    hire_count: u64,
    rent_not_before: Micros,
    /// The operators' bounds are reached, and the log said so.
    blocks_full: bool,
    fleet_full: bool,
    scheduled: Micros,
    /// When blocks, silent machines and cancellations were last looked at.
    blocks_at: Micros,
    stops_at: Micros,
    counted: Micros,
    waits_told: Micros,
    probes: Vec<(NodeId, MachineId, String)>,
    last_seen: BTreeMap<MachineId, (NodeId, Micros)>,
    /// When machines were deleted because they hear nothing.
    deaf_gone: VecDeque<Micros>,
    /// Machines whose reports contradict what is known of them, and the log said so.
    apart: BTreeSet<MachineId>,
}

impl Leader {
    /// A leader of a new term: tags at zero, nothing known but the records.
    pub fn new(
        ctx: Context,
        term: u64,
        stamp: u64,
        ledger: &StateReplica,
        sizes: &MachineSizes,
        now: Micros,
        wall_ms: u64,
    ) -> Self {
        let nodes = vec![Node::default(); ctx.zones.len()];
        let lag = ctx.list_lag;
        let (record, stamp_of) = ledger.standby_replicas.clone();
        let books = Ledgers::new(term, ctx.me, ctx.names.clone(), ctx.zones.clone(), record, stamp_of);
        let mut l = Leader {
            term,
            ctx,
            epoch: 0,
            began: now,
            began_ms: wall_ms,
            began_stamp: stamp,
            lateness: Lateness::new(now),
            granted: false,
            queues: BTreeMap::new(),
            nodes,
            machines: BTreeMap::new(),
            gone: BTreeMap::new(),
            version: 0,
            forgotten: 0,
            jobs: BTreeMap::new(),
            aborted: BTreeMap::new(),
            handouts: BTreeMap::new(),
            books,
            wants_books: ledger.standby_replicas.0.term > 0 && !ledger.standby_replicas.0.nodes.is_empty(),
            held: BTreeSet::new(),
            dependency_done: true,
            unrecorded_cancellations: BTreeSet::new(),
            handed: AssignedTasks::default(),
            violations: 0,
            blocks: BTreeMap::new(),
            sums: Sums::default(),
            stops: BTreeMap::new(),
            hires: BTreeMap::new(),
            refused: BTreeMap::new(),
            spot_had: VecDeque::new(),
            health: ZoneHealth::default(),
            ways: NetworkPaths::default(),
            progressed: BTreeSet::new(),
            rooms: capacity_index::CapacityIndex::default(),
            waiting: schedule::PendingJobs::new(),
            requeue: true,
            dirty: true,
            fleet_at: now,
            measured: now,
            listed: Micros(0),
            list_from: None,
            listing: false,
            hire_count: 0,
            // Machines that the last leader rented show in the list only
            // after its lag; renting before that would rent them twice.
            rent_not_before: if term == 1 { now } else { now + lag },
            blocks_full: false,
            fleet_full: false,
            scheduled: Micros(0),
            blocks_at: Micros(0),
            stops_at: Micros(0),
            counted: Micros(0),
            waits_told: now,
            probes: Vec::new(),
            last_seen: BTreeMap::new(),
            deaf_gone: VecDeque::new(),
            apart: BTreeSet::new(),
        };
        for (id, rec) in &ledger.machines {
            let size = sizes.get(&rec.machine_type).copied().unwrap_or_default();
            let mut m = Machine::new(rec, size, Stage::Up, now);
            m.recorded = true;
            m.unknown = true;
            l.machines.insert(id.clone(), m);
        }
        for (id, job) in &ledger.jobs {
            // What ends a cancellation is the proof that it is nowhere, never its age: a
            // user may have been told long after its record, and whatever is left of it
            // breaks the rule at any later time.
            match job.phase {
                Phase::Cancelled if job.fully_stopped => l.note_cancelled_by_another(*id, job),
                Phase::Cancelled => {
                    let by = crate::cancellation_enforcer::cancellation_deadline(
                        job.ended_ms,
                        wall_ms,
                        l.ctx.cancel,
                        now,
                    );
                    l.aborted.insert(*id, by);
                }
                _ => l.job_changed(*id, ledger, now),
            }
        }
        info!("elected term={term} machines={} active_jobs={}", l.machines.len(), l.jobs.len());
        l
    }

    /// Compares what is kept as things change with a fresh count: for tests.
    pub fn check_sums(&self) -> Result<(), String> {
        let mut sums = Sums::default();
        let mut handed = AssignedTasks::default();
        let mut on: BTreeMap<&MachineId, BTreeSet<TaskId>> = BTreeMap::new();
        for (job, r) in &self.jobs {
            for (index, b) in &r.bound {
                let task = TaskId { job: *job, index: *index };
                sums.bound(&r.spec);
                if let Some(h) = &b.unresolved_assignment {
                    handed.watch(task, h.watched.as_ref());
                    self.check_watched(task, b.attempt, h)?;
                }
                for id in &b.reported_on {
                    on.entry(id).or_default().insert(task);
                }
            }
        }
        let mut kept = self.sums.clone();
        kept.teams.retain(|_, u| *u != (0, 0));
        sums.teams.retain(|_, u| *u != (0, 0));
        if sums != kept {
            return Err(format!("bound tasks: {kept:?} kept, {sums:?} counted"));
        }
        self.check_capacity_index()?;
        if handed != self.handed {
            return Err(format!("handed: {:?} kept, {handed:?} counted", self.handed));
        }
        for (id, m) in &self.machines {
            let counted = on.remove(id).unwrap_or_default();
            if m.bound != counted {
                return Err(format!("bound to {id}: {:?} kept, {counted:?} counted", m.bound));
            }
            if !m.stale && m.used != schedule::used_resources(m, &self.jobs) {
                return Err(format!("used of {id}: {:?} kept", m.used));
            }
        }
        Ok(())
    }

    /// Whether a task is watched at a machine whose word is still to come.
    fn check_watched(&self, task: TaskId, attempt: Attempt, handed: &Handed) -> Result<(), String> {
        let there = |id: &MachineId| self.machines.get(id).is_some_and(|m| may_hold(m, attempt));
        let watched = handed.watched.as_ref().filter(|id| handed.machines.contains(*id) && there(id));
        if watched.is_none() && handed.machines.iter().any(there) {
            return Err(format!("{task}: watched at {:?}, which can't hold it", handed.watched));
        }
        Ok(())
    }

    /// How often an invariant that is checked at run time did not hold.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// A number never used before in this deployment.
    fn draw(&mut self) -> u64 {
        self.epoch += 1;
        FencingToken::new(self.term, self.epoch).0
    }

    /// Whether the term's numbers are used up; the leader must step down.
    pub fn exhausted(&self) -> bool {
        self.epoch + 100_000 >= 1 << TOKEN_SEQUENCE_BITS
    }

    /// A job's record changed.
    pub fn job_changed(&mut self, id: JobId, ledger: &StateReplica, now: Micros) {
        let Some(job) = ledger.jobs.get(&id) else { return };
        self.dirty = true;
        self.requeue = true;
        match job.phase {
            Phase::Active => {
                if !job.done.is_empty() {
                    self.progressed.insert(id);
                }
                let Some(spec) = &job.spec else { return };
                match self.jobs.get_mut(&id) {
                    None => {
                        let mut run = JobRun::new(job, spec.clone(), &self.ctx.objectives);
                        run.held = !spec.replaces.is_empty() || !ledger.dependencies.is_released(id);
                        if run.held {
                            self.held.insert(id);
                        } else {
                            run.set_ready_ms(ledger.released_ms(id));
                        }
                        self.jobs.insert(id, run);
                        self.inherit_urgency(id, ledger);
                    }
                    Some(run) => {
                        for index in run.apply_record(job, spec) {
                            self.books.note(TaskId { job: id, index });
                        }
                    }
                }
            }
            Phase::Cancelled if job.fully_stopped => self.note_cancelled_by_another(id, job),
            Phase::Cancelled => {
                self.aborted.entry(id).or_insert(now + self.ctx.cancel);
                self.stops_at = Micros(0);
            }
            Phase::Done => self.dependency_done = true,
        }
        if job.phase != Phase::Active
            && let Some(run) = self.jobs.get_mut(&id)
        {
            run.ended = true;
            for index in std::mem::take(&mut run.unrecorded) {
                self.books.note(TaskId { job: id, index });
            }
            self.inherit_urgency(id, ledger);
        }
    }

    /// A controller asks, before it tells a user, whether this leader acts on a
    /// cancellation: also one that was on record for long.
    pub fn told_cancelled(&mut self, id: JobId, ledger: &StateReplica, now: Micros) {
        if ledger.jobs.get(&id).is_some_and(|j| j.phase == Phase::Cancelled && !j.fully_stopped) {
            self.aborted.entry(id).or_insert(now + self.ctx.cancel);
        }
    }

    /// Lets go of jobs that wait for the end of others.
    fn release(&mut self, ledger: &StateReplica) {
        let done = std::mem::take(&mut self.dependency_done);
        let free = |id: &JobId| {
            let Some(run) = self.jobs.get(id) else { return true };
            if run.spec.replaces.is_empty() && !done {
                return false;
            }
            ledger.dependencies.is_released(*id)
                && run.spec.replaces.iter().all(|a| self.gone_for_good(*a, ledger))
        };
        let free: Vec<JobId> = self.held.iter().filter(|id| free(id)).copied().collect();
        for id in free {
            self.held.remove(&id);
            self.dirty = true;
            self.requeue = true;
            if let Some(run) = self.jobs.get_mut(&id) {
                run.held = false;
                run.set_ready_ms(ledger.released_ms(id));
            }
            self.inherit_urgency(id, ledger);
        }
    }

    /// Whether nothing of a job is on any machine, nor can come there: it is over, no
    /// task of it is bound, and if it was cancelled, that is on record.
    fn gone_for_good(&self, id: JobId, ledger: &StateReplica) -> bool {
        let bound = self.jobs.get(&id).is_some_and(|r| !r.bound.is_empty());
        let settled = |job: &Job| match job.phase {
            Phase::Active => false,
            Phase::Done => true,
            Phase::Cancelled => job.fully_stopped,
        };
        !bound && ledger.jobs.get(&id).is_none_or(settled)
    }

    /// Whether nothing of a job that is over is on any machine, nor can come there: no
    /// task of it is bound, and no machine that could hold one is unheard in this term.
    pub(super) fn nowhere(&self, id: JobId, job: &Job) -> bool {
        let unheard = |spec: &JobSpec| {
            let mut unknown = self.machines.values().filter(|m| m.unknown);
            unknown.any(|m| m.suits(spec))
        };
        // Without its description, which is kept for long, any machine could.
        let may = || match &job.spec {
            Some(spec) => unheard(spec),
            None => self.machines.values().any(|m| m.unknown),
        };
        self.jobs.get(&id).is_none_or(|r| r.bound.is_empty()) && !may()
    }
}
