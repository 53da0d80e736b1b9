//! The leader: which machines exist, which controller holds each of them, where each task
//! is bound, and which task is assigned next.
mod assignments;
mod autoscaling;
mod bindings;
mod blocks;
mod cancelled;
mod capacity_index;
pub mod changes;
mod command_reachability;
mod dependents;
mod intents;
mod job_run;
mod log_replication;
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
use assignments::{UnresolvedAssignment, UnresolvedTasks, may_hold};
use intents::ScaleOutStage;
pub use intents::{CloudRequest, LeaderWrite, ScaleOutRequest};
use job_run::{Binding, FAULTY_JOB_FAILURES, JobRun};
pub use machine::{Machine, Stage};

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
use crate::placement::{self, Candidate, MAX_REPORTED_TASKS};
use crate::placement_log::PlacementLog;
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

/// Totals over bound tasks, updated as tasks are bound and released.
#[derive(Debug, Default, Clone, PartialEq)]
struct BoundTotals {
    /// CPUs and GPUs of each team's bound tasks.
    teams: BTreeMap<String, (u64, u64)>,
    /// Number of bound tasks of arrays.
    arrays: u64,
}

impl BoundTotals {
    fn add(&mut self, spec: &JobSpec) {
        self.arrays += (spec.kind == Kind::Array) as u64;
        let (c, g) = match self.teams.get_mut(&spec.team) {
            Some(t) => t,
            None => self.teams.entry(spec.team.clone()).or_default(),
        };
        (*c, *g) = (*c + spec.task_resources.cpu, *g + spec.task_resources.gpu);
    }
    fn subtract(&mut self, spec: &JobSpec) {
        self.arrays -= (spec.kind == Kind::Array) as u64;
        if let Some((c, g)) = self.teams.get_mut(&spec.team) {
            (*c, *g) = (*c - spec.task_resources.cpu, *g - spec.task_resources.gpu);
        }
    }
}

/// The state of the leader's communication with one controller.
#[derive(Debug, Default, Clone)]
struct Node {
    incarnation: u64,
    sync_seq: u64,
    /// The last update that it has acknowledged.
    acked_update: u64,
    /// It waits for the acknowledgement of its last `Sync`.
    ack_due: bool,
    last_contact: Option<Micros>,
    incarnation_since: Micros,
    contact_since: Micros,
    /// Paces the updates to it.
    pacer: Pacer,
    update_due: bool,
}

/// An assignment whose outcome is not known.
#[derive(Debug)]
struct PendingAssignment {
    to: NodeId,
    assignment: Assignment,
    /// The change of the placement log that all replicas have to acknowledge before the
    /// assignment is sent.
    log_seq: u64,
    /// When it was last sent.
    sent: Option<Micros>,
}

/// The content of a controller's `Sync`.
#[derive(Debug, Clone, Copy)]
pub struct SyncView<'a> {
    /// Sequence number of the `Sync`.
    pub seq: u64,
    /// Sequence number of the `Sync` that it builds on.
    pub base: u64,
    /// The last update that the controller applied.
    pub acked_update: u64,
    /// Machines that changed.
    pub machines: &'a [MachineState],
    /// Machines that sent a heartbeat without a change, and how long ago.
    pub contacts: &'a [(MachineId, Micros, HeartbeatSeq)],
    /// Machines that the controller does not hold and whose workers send it heartbeats.
    pub unleased_reports: &'a [UnleasedReport],
    /// Assignments that the controller has carried out or refused.
    pub outcomes: &'a [AssignmentOutcome],
}

impl<'a> SyncView<'a> {
    /// The content of a `Sync`, and the term of the leader that it is meant for; `None` for
    /// any other message.
    pub fn of(m: &'a Message) -> Option<(u64, SyncView<'a>)> {
        let Message::Sync { term, seq, base, acked_update, machines, contacts, unleased_reports, outcomes } =
            m
        else {
            return None;
        };
        let (seq, base, acked_update) = (*seq, *base, *acked_update);
        Some((*term, SyncView { seq, base, acked_update, machines, contacts, unleased_reports, outcomes }))
    }
}

/// Settings that stay the same for a term.
#[derive(Debug, Clone)]
pub struct LeaderConfig {
    /// This node.
    pub node_id: NodeId,
    /// All nodes' names.
    pub names: Vec<String>,
    /// All nodes' zones.
    pub zones: Vec<String>,
    /// Operators' settings.
    pub operator: Operator,
    /// Teams.
    pub teams: Vec<Team>,
    /// Objectives of job classes.
    pub objectives: Vec<Objective>,
    /// Duration of a worker's lease.
    pub worker_lease: Micros,
    /// Interval between a worker's heartbeats.
    pub report_interval: Micros,
    /// Time within which all tasks of a cancelled job have to be terminated.
    pub cancel_timeout: Micros,
    /// How far the cloud's list of machines may lag behind.
    pub list_lag: Micros,
    /// Calls per second that the cloud accepts.
    pub cloud_rps: f64,
}

/// The leader's state in one term.
#[derive(Debug)]
pub struct Leader {
    /// Its term.
    pub term: u64,
    config: LeaderConfig,
    token_sequence: u64,
    term_start: Micros,
    term_start_wall_ms: u64,
    /// Revision of the leader's key: no earlier leader assigned tasks of jobs recorded later.
    leader_key_revision: u64,
    lateness: Lateness,
    grants_started: bool,
    queues: BTreeMap<Priority, FairQueue>,
    nodes: Vec<Node>,
    machines: BTreeMap<MachineId, Machine>,
    /// Deleted machines: when, and the first update that reports the deletion.
    deleted_machines: BTreeMap<MachineId, (Micros, u64)>,
    /// Sequence number of the last update sent to any controller.
    update_seq: u64,
    /// An incremental update cannot be based on one before this: deletions reported before it
    /// are no longer stored.
    min_update_base: u64,
    jobs: BTreeMap<JobId, JobRun>,
    /// Cancelled jobs that may still have tasks on machines, and by when those have to be
    /// terminated.
    cancelled_jobs: BTreeMap<JobId, Micros>,
    /// Assignments whose outcome is not known.
    pending_assignments: BTreeMap<Attempt, PendingAssignment>,
    placement_log: PlacementLog,
    /// It waits for the placement log of the earlier leader.
    awaits_log: bool,
    /// Jobs that wait for the end of jobs that they replace or depend on.
    unreleased_jobs: BTreeSet<JobId>,
    /// A job was recorded as done, so jobs that depend on it may be released.
    dependency_done: bool,
    /// Jobs that were cancelled with a job that they depend on, and whose own cancellation
    /// is not recorded.
    unrecorded_cancellations: BTreeSet<JobId>,
    /// Tasks that are assigned to a controller and whose machine is not known.
    unresolved_tasks: UnresolvedTasks,
    /// Number of violations of invariants that are checked at run time.
    violations: u64,
    /// The machines of each controller's block, computed when needed.
    blocks: BTreeMap<NodeId, Rc<BTreeSet<MachineId>>>,
    /// CPUs and GPUs that each team's bound tasks use, and the number of bound array tasks.
    bound_totals: BoundTotals,
    pending_stops: BTreeMap<(TaskId, Attempt), (StopRequest, Micros)>,
    scale_out_requests: BTreeMap<String, (ScaleOutRequest, ScaleOutStage, Micros)>,
    refused_offers: BTreeMap<(String, String, bool), Micros>,
    /// Recent rentals of spot machines: when, and how many machines.
    recent_spot_rentals: VecDeque<(Micros, usize)>,
    /// Which zones are closed to renting because no machine in them sends heartbeats.
    zone_health: ZoneHealth,
    /// Since when the network path to each zone is open.
    network_paths: NetworkPaths,
    /// Arrays that had more tasks done than recorded when they were last checked.
    arrays_with_progress: BTreeSet<JobId>,
    /// Machines with free capacity, in order.
    capacity_index: capacity_index::CapacityIndex,
    /// Pending jobs, in order; `queue_stale`: the order has to be computed again.
    pending_jobs: schedule::PendingJobs,
    queue_stale: bool,
    /// Something changed that the next scheduling pass has to consider.
    pub needs_scheduling: bool,
    next_autoscale_at: Micros,
    usage_measured_at: Micros,
    /// When a page of the cloud's list was read, and the machine after which the next starts.
    listed_at: Micros,
    list_cursor: Option<String>,
    list_pending: bool,
    scale_out_count: u64,
    rent_not_before: Micros,
    /// `block_size` or `max_machines` is reached, and that was logged.
    blocks_full: bool,
    fleet_full: bool,
    scheduled_at: Micros,
    /// When blocks and silent machines, and cancellations, were last checked.
    blocks_checked_at: Micros,
    cancellations_checked_at: Micros,
    running_counted_at: Micros,
    pending_logged_at: Micros,
    probes: Vec<(NodeId, MachineId, String)>,
    last_seen: BTreeMap<MachineId, (NodeId, Micros)>,
    /// When machines were deleted because they were unreachable for commands.
    unreachable_deletions: VecDeque<Micros>,
    /// Machines whose heartbeats contradict their records, and for which that was logged.
    mismatched: BTreeSet<MachineId>,
}

impl Leader {
    /// A leader of a new term: it knows only the records, and all fair-queue tags are zero.
    pub fn new(
        ctx: LeaderConfig,
        term: u64,
        leader_key_revision: u64,
        state_replica: &StateReplica,
        sizes: &MachineSizes,
        now: Micros,
        wall_ms: u64,
    ) -> Self {
        let nodes = vec![Node::default(); ctx.zones.len()];
        let lag = ctx.list_lag;
        let (record, record_revision) = state_replica.standby_replicas.clone();
        let placement_log = PlacementLog::new(
            term,
            ctx.node_id,
            ctx.names.clone(),
            ctx.zones.clone(),
            record,
            record_revision,
        );
        let mut l = Leader {
            term,
            config: ctx,
            token_sequence: 0,
            term_start: now,
            term_start_wall_ms: wall_ms,
            leader_key_revision,
            lateness: Lateness::new(now),
            grants_started: false,
            queues: BTreeMap::new(),
            nodes,
            machines: BTreeMap::new(),
            deleted_machines: BTreeMap::new(),
            update_seq: 0,
            min_update_base: 0,
            jobs: BTreeMap::new(),
            cancelled_jobs: BTreeMap::new(),
            pending_assignments: BTreeMap::new(),
            placement_log,
            awaits_log: state_replica.standby_replicas.0.term > 0
                && !state_replica.standby_replicas.0.nodes.is_empty(),
            unreleased_jobs: BTreeSet::new(),
            dependency_done: true,
            unrecorded_cancellations: BTreeSet::new(),
            unresolved_tasks: UnresolvedTasks::default(),
            violations: 0,
            blocks: BTreeMap::new(),
            bound_totals: BoundTotals::default(),
            pending_stops: BTreeMap::new(),
            scale_out_requests: BTreeMap::new(),
            refused_offers: BTreeMap::new(),
            recent_spot_rentals: VecDeque::new(),
            zone_health: ZoneHealth::default(),
            network_paths: NetworkPaths::default(),
            arrays_with_progress: BTreeSet::new(),
            capacity_index: capacity_index::CapacityIndex::default(),
            pending_jobs: schedule::PendingJobs::new(),
            queue_stale: true,
            needs_scheduling: true,
            next_autoscale_at: now,
            usage_measured_at: now,
            listed_at: Micros(0),
            list_cursor: None,
            list_pending: false,
            scale_out_count: 0,
            // Machines that the last leader rented appear in the cloud's list only after its
            // lag; renting earlier would rent them twice.
            rent_not_before: if term == 1 { now } else { now + lag },
            blocks_full: false,
            fleet_full: false,
            scheduled_at: Micros(0),
            blocks_checked_at: Micros(0),
            cancellations_checked_at: Micros(0),
            running_counted_at: Micros(0),
            pending_logged_at: now,
            probes: Vec::new(),
            last_seen: BTreeMap::new(),
            unreachable_deletions: VecDeque::new(),
            mismatched: BTreeSet::new(),
        };
        for (id, rec) in &state_replica.machines {
            let size = sizes.get(&rec.machine_type).copied().unwrap_or_default();
            let mut m = Machine::new(rec, size, Stage::Up, now);
            m.recorded = true;
            m.tasks_unknown = true;
            l.machines.insert(id.clone(), m);
        }
        for (id, job) in &state_replica.jobs {
            // A cancellation ends only with the proof that no task of the job is left, never by
            // its age: it may have been confirmed to the user long after it was recorded, and
            // a task that still runs violates that confirmation at any later time.
            match job.phase {
                Phase::Cancelled if job.fully_stopped => l.note_cancelled_by_another(*id, job),
                Phase::Cancelled => {
                    let by = crate::cancellation_enforcer::cancellation_deadline(
                        job.ended_ms,
                        wall_ms,
                        l.config.cancel_timeout,
                        now,
                    );
                    l.cancelled_jobs.insert(*id, by);
                }
                _ => l.job_changed(*id, state_replica, now),
            }
        }
        info!("elected term={term} machines={} active_jobs={}", l.machines.len(), l.jobs.len());
        l
    }

    /// Compares the incrementally updated totals with a full count; for tests.
    pub fn check_totals(&self) -> Result<(), String> {
        let mut sums = BoundTotals::default();
        let mut unresolved = UnresolvedTasks::default();
        let mut on: BTreeMap<&MachineId, BTreeSet<TaskId>> = BTreeMap::new();
        for (job, r) in &self.jobs {
            for (index, b) in &r.bound {
                let task = TaskId { job: *job, index: *index };
                sums.add(&r.spec);
                if let Some(h) = &b.unresolved_assignment {
                    unresolved.watch(task, h.watched_at.as_ref());
                    self.check_watched(task, b.attempt, h)?;
                }
                for id in &b.reported_on {
                    on.entry(id).or_default().insert(task);
                }
            }
        }
        let mut stored = self.bound_totals.clone();
        stored.teams.retain(|_, u| *u != (0, 0));
        sums.teams.retain(|_, u| *u != (0, 0));
        if sums != stored {
            return Err(format!("bound tasks: {stored:?} stored, {sums:?} counted"));
        }
        self.check_capacity_index()?;
        if unresolved != self.unresolved_tasks {
            return Err(format!(
                "unresolved tasks: {:?} stored, {unresolved:?} counted",
                self.unresolved_tasks
            ));
        }
        for (id, m) in &self.machines {
            let counted = on.remove(id).unwrap_or_default();
            if m.bound != counted {
                return Err(format!("bound to {id}: {:?} stored, {counted:?} counted", m.bound));
            }
            if !m.used_stale && m.used != schedule::used_resources(m, &self.jobs) {
                return Err(format!("used of {id}: {:?} stored", m.used));
            }
        }
        Ok(())
    }

    /// Checks that an assigned task is watched at a machine that may hold it, if there is one.
    fn check_watched(
        &self,
        task: TaskId,
        attempt: Attempt,
        unresolved: &UnresolvedAssignment,
    ) -> Result<(), String> {
        let may_be_on = |id: &MachineId| self.machines.get(id).is_some_and(|m| may_hold(m, attempt));
        let watched =
            unresolved.watched_at.as_ref().filter(|id| unresolved.candidates.contains(*id) && may_be_on(id));
        if watched.is_none() && unresolved.candidates.iter().any(may_be_on) {
            return Err(format!("{task}: watched at {:?}, which can't hold it", unresolved.watched_at));
        }
        Ok(())
    }

    /// Number of violations of invariants that are checked at run time.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// A fencing token that was never used before in this deployment.
    fn next_token(&mut self) -> u64 {
        self.token_sequence += 1;
        FencingToken::new(self.term, self.token_sequence).0
    }

    /// Whether this leader still has work with an ended job.
    pub fn refers_to(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.unrecorded_cancellations.contains(&id)
    }

    /// Whether the term's fencing tokens are nearly used up, so the leader must step down.
    pub fn tokens_exhausted(&self) -> bool {
        self.token_sequence + 100_000 >= 1 << TOKEN_SEQUENCE_BITS
    }

    /// Applies a changed job record.
    pub fn job_changed(&mut self, id: JobId, state_replica: &StateReplica, now: Micros) {
        let Some(job) = state_replica.jobs.get(&id) else { return };
        self.needs_scheduling = true;
        self.queue_stale = true;
        match job.phase {
            Phase::Active => {
                if !job.done.is_empty() {
                    self.arrays_with_progress.insert(id);
                }
                let Some(spec) = &job.spec else { return };
                match self.jobs.get_mut(&id) {
                    None => {
                        let mut run = JobRun::new(job, spec.clone(), &self.config.objectives);
                        run.unreleased =
                            !spec.replaces.is_empty() || !state_replica.dependencies.is_released(id);
                        if run.unreleased {
                            self.unreleased_jobs.insert(id);
                        } else {
                            run.set_ready_ms(state_replica.released_ms(id));
                        }
                        self.jobs.insert(id, run);
                        self.inherit_urgency(id, state_replica);
                    }
                    Some(run) => {
                        for index in run.apply_record(job, spec) {
                            self.placement_log.record_change(TaskId { job: id, index });
                        }
                    }
                }
            }
            Phase::Cancelled if job.fully_stopped => self.note_cancelled_by_another(id, job),
            Phase::Cancelled => {
                self.cancelled_jobs.entry(id).or_insert(now + self.config.cancel_timeout);
                self.cancellations_checked_at = Micros(0);
            }
            Phase::Done => self.dependency_done = true,
        }
        if job.phase != Phase::Active
            && let Some(run) = self.jobs.get_mut(&id)
        {
            run.ended = true;
            for index in std::mem::take(&mut run.unrecorded) {
                self.placement_log.record_change(TaskId { job: id, index });
            }
            self.inherit_urgency(id, state_replica);
        }
    }

    /// Starts to enforce a cancellation, even one recorded long ago: a controller requires
    /// this before it confirms the cancellation to the client.
    pub fn track_cancellation(&mut self, id: JobId, state_replica: &StateReplica, now: Micros) {
        if state_replica.jobs.get(&id).is_some_and(Job::is_stopping) {
            self.cancelled_jobs.entry(id).or_insert(now + self.config.cancel_timeout);
        }
    }

    /// Releases jobs whose dependencies and replaced jobs have ended.
    fn release(&mut self, state_replica: &StateReplica) {
        let done = std::mem::take(&mut self.dependency_done);
        let free = |id: &JobId| {
            let Some(run) = self.jobs.get(id) else { return true };
            if run.spec.replaces.is_empty() && !done {
                return false;
            }
            state_replica.dependencies.is_released(*id)
                && run.spec.replaces.iter().all(|a| self.ended_for_good(*a, state_replica))
        };
        let free: Vec<JobId> = self.unreleased_jobs.iter().filter(|id| free(id)).copied().collect();
        for id in free {
            self.unreleased_jobs.remove(&id);
            self.needs_scheduling = true;
            self.queue_stale = true;
            if let Some(run) = self.jobs.get_mut(&id) {
                run.unreleased = false;
                run.set_ready_ms(state_replica.released_ms(id));
            }
            self.inherit_urgency(id, state_replica);
        }
    }

    /// Whether no task of a job is on any machine or can get there: the job has ended, no
    /// task of it is bound, and if it was cancelled, that no task is left is recorded.
    fn ended_for_good(&self, id: JobId, state_replica: &StateReplica) -> bool {
        let bound = self.jobs.get(&id).is_some_and(|r| !r.bound.is_empty());
        let settled = |job: &Job| match job.phase {
            Phase::Active => false,
            Phase::Done => true,
            Phase::Cancelled => job.fully_stopped,
        };
        !bound && state_replica.jobs.get(&id).is_none_or(settled)
    }

    /// Whether no task of an ended job is on any machine or can get there: no task of it is
    /// bound, and every machine that could hold one has sent its task list in this term.
    pub(super) fn has_no_tasks(&self, id: JobId, job: &Job) -> bool {
        let unknown_machine_suits = |spec: &JobSpec| {
            let mut unknown = self.machines.values().filter(|m| m.tasks_unknown);
            unknown.any(|m| m.suits(spec))
        };
        // The job specification is stored for a long time; without it, any machine could.
        let may_hold_task = || match &job.spec {
            Some(spec) => unknown_machine_suits(spec),
            None => self.machines.values().any(|m| m.tasks_unknown),
        };
        self.jobs.get(&id).is_none_or(|r| r.bound.is_empty()) && !may_hold_task()
    }
}
