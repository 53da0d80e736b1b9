//! The leader: which machines there are, which controller holds them, where
//! each task is bound, and what goes next.
use super::controller::Sizes;
use super::fair_queue::FairQueue;
use super::fleet::{self, Demand, Offer, Policy, Room};
use super::ids::{Attempt, Baton, EPOCH_BITS, JobId, MachineId, Micros, NodeId, Resources, TaskId};
use super::jobs::{Job, JobSpec, Kind, Ledger, MachineRecord, Phase, RANKS, Rank, TaskSet};
use super::placement::{self, Candidate};
use crate::peer::{GrantedMachine, HandOut, MachineState, Message, Outcome, StopRequest, TaskState};
use crate::settings::{Objective, Operator, Team};
use crate::wire::cloud::{Flavor, Rental};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// Where a machine is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Rented, not heard yet.
    Booting,
    /// Heard, or recorded by an earlier term.
    Up,
    /// Being deleted; its tasks are bound until the cloud says so.
    Deleting,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    addr: String,
    size: Resources,
    /// Stage of life.
    pub stage: Stage,
    since: Micros,
    recorded: bool,
    /// Recorded before this term: it may hold tasks that nobody told of yet.
    unknown: bool,
    holder: Option<NodeId>,
    last_holder: Option<NodeId>,
    baton: Baton,
    /// The holder has seen a report under `baton`: its task list is whole.
    confirmed: bool,
    tasks: BTreeMap<TaskId, (Attempt, TaskState)>,
    started: HashMap<TaskId, Micros>,
    reserved: HashMap<Attempt, Resources>,
    used: Resources,
    heard: Option<Micros>,
    granted_at: Micros,
    warning: Option<Micros>,
    idle_since: Option<Micros>,
    draining: Option<&'static str>,
    failed_jobs: BTreeSet<JobId>,
    failures: u32,
    images: BTreeSet<String>,
    probed: Option<Micros>,
    kept_for: Option<(Rank, Micros)>,
    want_baton: bool,
    delete_sent: Option<Micros>,
    /// CPU time that tasks took of it, in thousandths of a CPU times microseconds.
    busy: u128,
    born: Micros,
}

impl Machine {
    fn new(rec: &MachineRecord, size: Resources, stage: Stage, now: Micros) -> Self {
        Machine {
            build: rec.build.clone(),
            zone: rec.zone.clone(),
            spot: rec.spot,
            addr: rec.addr.clone(),
            size,
            stage,
            since: now,
            recorded: false,
            unknown: false,
            holder: None,
            last_holder: None,
            baton: Baton(0),
            confirmed: false,
            tasks: BTreeMap::new(),
            started: HashMap::new(),
            reserved: HashMap::new(),
            used: Resources::default(),
            heard: None,
            granted_at: now,
            warning: None,
            idle_since: None,
            draining: None,
            failed_jobs: BTreeSet::new(),
            failures: 0,
            images: BTreeSet::new(),
            probed: None,
            kept_for: None,
            want_baton: false,
            delete_sent: None,
            busy: 0,
            born: now,
        }
    }
    /// What a record of it says.
    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            build: self.build.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
        }
    }
    fn free(&self) -> Resources {
        self.reserved.values().fold(self.size.minus(self.used), |f, r| f.minus(*r))
    }
    fn empty(&self) -> bool {
        self.tasks.is_empty() && self.reserved.is_empty()
    }
    fn usable(&self) -> bool {
        self.stage == Stage::Up
            && self.recorded
            && self.confirmed
            && self.draining.is_none()
            && self.warning.is_none()
    }
}

/// A task that a controller was given and has not told about.
#[derive(Debug, Clone)]
struct Handed {
    incarnation: u64,
    /// Machines on which it may have been started.
    machines: BTreeSet<MachineId>,
    hint: MachineId,
    zone: String,
}

/// Where a task may be. It is free only when all of it is gone.
#[derive(Debug, Clone)]
struct Binding {
    attempt: Attempt,
    handed: Option<Handed>,
    on: BTreeSet<MachineId>,
}

/// A job as the leader runs it.
#[derive(Debug)]
struct Run {
    spec: Rc<JobSpec>,
    stamp: u64,
    /// When it should be complete, and when its lateness can't be helped, in
    /// milliseconds of the time of day.
    due_ms: u64,
    hopeless_ms: u64,
    submitted_ms: u64,
    done: TaskSet,
    bound: BTreeMap<u32, Binding>,
    again: BTreeSet<u32>,
    next: u32,
    retry_at: Micros,
    failures: u32,
    failed_on: BTreeSet<MachineId>,
    proven: bool,
    unrecorded_since: Option<Micros>,
    /// Until then it waits for a machine with its image.
    patience: Option<Micros>,
    /// Done or cancelled: nothing of it is started, but what is left of it on
    /// machines counts.
    over: bool,
}

impl Run {
    fn new(job: &Job, spec: Rc<JobSpec>, objectives: &[Objective]) -> Self {
        let of_class = || objectives.iter().filter(|o| o.class == spec.class);
        let within = of_class().filter(|o| o.kind == "finished").filter_map(|o| o.within_s).reduce(f64::max);
        let times = of_class().filter_map(|o| o.times).fold(1.0, f64::max);
        let due = spec.deadline_s.or(within).unwrap_or(1e9);
        let last = spec.deadline_s.map(|d| d * times).or(within).unwrap_or(1e9) - spec.estimate_s;
        let at = |s: f64| job.submitted_ms + (s.max(0.0) * 1000.0) as u64;
        Run {
            stamp: job.stamp,
            due_ms: at(due),
            hopeless_ms: at(last),
            submitted_ms: job.submitted_ms,
            done: job.done.clone(),
            spec,
            bound: BTreeMap::new(),
            again: BTreeSet::new(),
            next: 0,
            retry_at: Micros(0),
            failures: 0,
            failed_on: BTreeSet::new(),
            proven: false,
            unrecorded_since: None,
            patience: None,
            over: job.phase != Phase::Active,
        }
    }
    /// The next task that waits.
    fn peek(&mut self) -> Option<u32> {
        while let Some(i) = self.again.first().copied() {
            if !self.done.contains(i) && !self.bound.contains_key(&i) {
                return Some(i);
            }
            self.again.pop_first();
        }
        while self.next < self.spec.tasks {
            if !self.done.contains(self.next) && !self.bound.contains_key(&self.next) {
                return Some(self.next);
            }
            self.next += 1;
        }
        None
    }
    /// Its place among its team's jobs: the earliest due first, behind them
    /// those that can't be in time any more, until they have waited very long.
    fn order(&self, wall_ms: u64) -> (bool, u64, u64) {
        let span = self.hopeless_ms.saturating_sub(self.submitted_ms);
        let late = wall_ms > self.hopeless_ms && wall_ms < self.hopeless_ms + 3 * span;
        (late, self.due_ms, self.submitted_ms)
    }
    fn waiting(&self) -> u32 {
        let bound = self.bound.keys().filter(|i| !self.done.contains(**i)).count() as u32;
        self.spec.tasks.saturating_sub(self.done.len()).saturating_sub(bound)
    }
}

/// Another controller, as the leader sees it.
#[derive(Debug, Default, Clone)]
struct Node {
    incarnation: u64,
    sync_seq: u64,
    heard: Option<Micros>,
    since: Micros,
    contact_since: Micros,
    update_seq: u64,
    sent: Micros,
    dirty: bool,
}

/// A write that the leader wants.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaderWrite {
    /// A job is done.
    End(JobId),
    /// A machine may be started on.
    Machine(MachineId),
    /// A rental request's name.
    Hire(String),
    /// Progress of a job.
    Progress(JobId, u32),
    /// A machine is gone.
    Forget(MachineId),
}

/// A call to the cloud that the leader wants.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudWish {
    /// Rent; its name is recorded.
    Hire(HireRequest),
    /// Delete.
    Delete(Vec<MachineId>),
    /// List after this name.
    List(Option<String>),
}

/// A rental under way.
#[derive(Debug, Clone, PartialEq)]
pub struct HireRequest {
    /// Its name.
    pub name: String,
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum HireStage {
    ToRecord,
    Recorded,
    Called,
}

/// Things that stay the same for a term.
#[derive(Debug, Clone)]
pub struct Context {
    /// This node.
    pub me: NodeId,
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
    granted: bool,
    queues: HashMap<Rank, FairQueue>,
    nodes: Vec<Node>,
    machines: BTreeMap<MachineId, Machine>,
    gone: BTreeMap<MachineId, Micros>,
    jobs: HashMap<JobId, Run>,
    aborted: HashMap<JobId, Micros>,
    handouts: BTreeMap<Attempt, (NodeId, HandOut)>,
    stops: HashMap<(TaskId, Attempt), (StopRequest, Micros)>,
    hires: BTreeMap<String, (HireRequest, HireStage, Micros)>,
    refused: HashMap<(String, String, bool), Micros>,
    /// Something changed: schedule.
    pub dirty: bool,
    fleet_at: Micros,
    measured: Micros,
    listed: Micros,
    listing: bool,
    hire_count: u64,
    rent_not_before: Micros,
    scheduled: Micros,
    probes: Vec<(NodeId, MachineId, String)>,
    /// Zones of which machines are heard, since when.
    visible_since: HashMap<String, Micros>,
    last_seen: HashMap<MachineId, (NodeId, Micros)>,
}

impl Leader {
    /// A leader of a new term: tags at zero, nothing known but the records.
    pub fn new(
        ctx: Context,
        term: u64,
        stamp: u64,
        ledger: &Ledger,
        sizes: &Sizes,
        now: Micros,
        wall_ms: u64,
    ) -> Self {
        let nodes = vec![Node::default(); ctx.zones.len()];
        let lag = ctx.list_lag;
        let mut l = Leader {
            term,
            ctx,
            epoch: 0,
            began: now,
            began_ms: wall_ms,
            began_stamp: stamp,
            granted: false,
            queues: HashMap::new(),
            nodes,
            machines: BTreeMap::new(),
            gone: BTreeMap::new(),
            jobs: HashMap::new(),
            aborted: HashMap::new(),
            handouts: BTreeMap::new(),
            stops: HashMap::new(),
            hires: BTreeMap::new(),
            refused: HashMap::new(),
            dirty: true,
            fleet_at: now,
            measured: now,
            listed: Micros(0),
            listing: false,
            hire_count: 0,
            // Machines that the last leader rented show in the list only
            // after its lag; renting before that would rent them twice.
            rent_not_before: if term == 1 { now } else { now + lag },
            scheduled: Micros(0),
            probes: Vec::new(),
            visible_since: HashMap::new(),
            last_seen: HashMap::new(),
        };
        for (id, rec) in &ledger.machines {
            let size = sizes.get(&rec.build).copied().unwrap_or_default();
            let mut m = Machine::new(rec, size, Stage::Up, now);
            m.recorded = true;
            m.unknown = true;
            l.machines.insert(id.clone(), m);
        }
        for (id, job) in &ledger.jobs {
            // An earlier cancellation counts from its time of day, with a
            // second for the difference between the clocks. One that is long
            // over was dealt with, or can't be helped any more.
            let ago = Micros::millis((wall_ms + 1000).saturating_sub(job.ended_ms));
            match job.phase {
                Phase::Aborted if ago > l.ctx.cancel => {}
                Phase::Aborted => drop(l.aborted.insert(*id, now - ago)),
                _ => l.job_changed(*id, ledger, now),
            }
        }
        info!("leading term {term}: {} machines, {} active jobs", l.machines.len(), l.jobs.len());
        l
    }

    /// A number never used before in this deployment.
    fn draw(&mut self) -> u64 {
        self.epoch += 1;
        Baton::new(self.term, self.epoch).0
    }

    /// Whether the term's numbers are used up; the leader must step down.
    pub fn exhausted(&self) -> bool {
        self.epoch + 100_000 >= 1 << EPOCH_BITS
    }

    /// A job's record changed.
    pub fn job_changed(&mut self, id: JobId, ledger: &Ledger, now: Micros) {
        let Some(job) = ledger.jobs.get(&id) else { return };
        self.dirty = true;
        match job.phase {
            Phase::Active => {
                let Some(spec) = &job.spec else { return };
                match self.jobs.get_mut(&id) {
                    None => {
                        self.jobs.insert(id, Run::new(job, spec.clone(), &self.ctx.objectives));
                    }
                    Some(run) => run.done.union(&job.done),
                }
            }
            Phase::Aborted => {
                self.aborted.entry(id).or_insert(now);
            }
            Phase::Done => {}
        }
        if job.phase != Phase::Active
            && let Some(run) = self.jobs.get_mut(&id)
        {
            run.over = true;
        }
    }

    // ---- what controllers say -------------------------------------------

    /// A controller's view. Stale ones are dropped.
    #[allow(clippy::too_many_arguments)]
    pub fn sync(
        &mut self,
        from: NodeId,
        incarnation: u64,
        seq: u64,
        machines: &[MachineState],
        outcomes: &[Outcome],
        ledger: &Ledger,
        now: Micros,
    ) {
        let Some(node) = self.nodes.get_mut(from.0 as usize) else { return };
        if incarnation < node.incarnation {
            // Held up on the way since before the node's restart.
            return;
        }
        if incarnation != node.incarnation {
            // Another process: what the last one held or was handed is in
            // nobody's mind now. Its machines need a new grant.
            let first = node.incarnation == 0;
            *node = Node { incarnation, since: now, update_seq: node.update_seq, ..Node::default() };
            if !first {
                info!("controller {} restarted", from.0);
                for m in self.machines.values_mut().filter(|m| m.holder == Some(from)) {
                    m.last_holder = m.holder.take();
                    m.confirmed = false;
                }
                self.handouts.retain(|_, (n, _)| *n != from);
            }
            self.dirty = true;
        } else if seq <= node.sync_seq {
            return;
        }
        let Some(node) = self.nodes.get_mut(from.0 as usize) else { return };
        node.sync_seq = seq;
        if node.heard.is_none_or(|t| now.since(t) > Micros::millis(2500)) {
            node.contact_since = now;
        }
        node.heard = Some(now);
        for o in outcomes {
            self.outcome(from, incarnation, o);
        }
        for s in machines {
            self.machine_state(from, s, ledger, now);
        }
    }

    fn outcome(&mut self, from: NodeId, incarnation: u64, o: &Outcome) {
        let Some((node, h)) = self.handouts.remove(&o.attempt) else { return };
        debug_assert_eq!(node, from);
        self.dirty = true;
        if let Some(m) = self.machines.get_mut(&h.hint) {
            m.reserved.remove(&o.attempt);
        }
        let Some(run) = self.jobs.get_mut(&h.task.job) else { return };
        let Some(b) = run.bound.get_mut(&h.task.index) else { return };
        if b.attempt != o.attempt || b.handed.as_ref().is_none_or(|x| x.incarnation != incarnation) {
            return;
        }
        let may_be = b.handed.take().map(|x| x.machines).unwrap_or_default();
        if let Some(id) = &o.machine
            && may_be.contains(id)
            && let Some(m) = self.machines.get_mut(id)
        {
            b.on.insert(id.clone());
            m.tasks.insert(h.task, (o.attempt, TaskState::Starting));
        }
        self.free_if_nowhere(h.task);
    }

    fn machine_state(&mut self, from: NodeId, s: &MachineState, ledger: &Ledger, now: Micros) {
        let Some(m) = self.machines.get_mut(&s.id) else { return };
        if !self.granted {
            // Gathering: who held it last under the highest token is its best holder.
            if s.baton > m.baton && s.baton.term() < self.term {
                m.baton = s.baton;
                m.holder = Some(from);
            }
            return;
        }
        // That it was heard is true under any token: a holder back from a cut
        // has not seen its newest grant, and its machines are not dead.
        let heard = s.heard_ago.map(|ago| now - ago);
        if heard > m.heard {
            m.heard = heard;
            m.probed = None;
        }
        if m.holder != Some(from) || m.baton != s.baton {
            return;
        }
        m.warning = s.warning.map(|w| now + w);
        m.want_baton = s.want_baton;
        let confirmed = s.seen_baton >= m.baton;
        let fresh = confirmed && !m.confirmed;
        if fresh {
            m.confirmed = true;
            m.unknown = false;
            self.dirty = true;
        }
        let mut here: BTreeMap<TaskId, (Attempt, TaskState)> = BTreeMap::new();
        let mut exits = Vec::new();
        for t in &s.tasks {
            if t.state.exited() {
                exits.push(t.clone());
            } else {
                here.insert(t.task, (t.attempt, t.state));
            }
        }
        let old = m.tasks.clone();
        if old != here {
            self.dirty = true;
        }
        if confirmed {
            m.started.retain(|t, _| here.contains_key(t));
            m.tasks = here.clone();
        } else {
            m.tasks.extend(here.clone());
        }
        let token = m.baton;
        for (task, (attempt, state)) in &here {
            if *state == TaskState::Running {
                m.started.entry(*task).or_insert(now);
            }
            let Some(spec) = ledger.jobs.get(&task.job).and_then(|j| j.spec.clone()) else { continue };
            m.images.insert(spec.image.clone());
            // A long run is the proof that a job is not broken itself.
            let proven = m.started.get(task).is_some_and(|t| now.since(*t) > Micros::secs(8));
            if proven {
                m.failures = 0;
                m.failed_jobs.clear();
            }
            if let Some(job) = ledger.jobs.get(&task.job) {
                // A job that is over may still be here: its tasks count.
                let run = self
                    .jobs
                    .entry(task.job)
                    .or_insert_with(|| Run::new(job, spec.clone(), &self.ctx.objectives));
                run.proven |= proven;
                let b = run.bound.entry(task.index).or_insert(Binding {
                    attempt: *attempt,
                    handed: None,
                    on: BTreeSet::new(),
                });
                if b.on.insert(s.id.clone()) && b.on.len() > 1 {
                    warn!("{task} may be on several machines: {:?}", b.on);
                }
            }
        }
        for e in exits {
            if old.contains_key(&e.task) || e.state == TaskState::Done {
                self.ended(&s.id, e.task, e.state, ledger, now);
            }
        }
        if confirmed {
            for task in old.keys().filter(|t| !here.contains_key(t)) {
                self.unbind(*task, &s.id);
            }
            if fresh {
                self.clear_handed(&s.id, Some(token));
                // Tasks bound here by an earlier grant and not in the report.
                let lost: Vec<TaskId> = self
                    .jobs
                    .iter()
                    .flat_map(|(j, r)| {
                        r.bound
                            .iter()
                            .filter(|(_, b)| b.on.contains(&s.id))
                            .map(|(i, _)| TaskId { job: *j, index: *i })
                    })
                    .filter(|t| !here.contains_key(t))
                    .collect();
                for t in lost {
                    self.unbind(t, &s.id);
                }
            }
        }
    }

    /// A task exited on a machine.
    fn ended(&mut self, id: &MachineId, task: TaskId, state: TaskState, ledger: &Ledger, now: Micros) {
        let Some(run) = self.jobs.get_mut(&task.job) else { return };
        let known = run.bound.get(&task.index).is_some_and(|b| b.on.contains(id));
        match state {
            TaskState::Done if run.spec.kind == Kind::Array && task.index < run.spec.tasks => {
                run.proven = true;
                if run.done.insert(task.index)
                    && ledger.jobs.get(&task.job).is_some_and(|j| !j.done.contains(task.index))
                {
                    run.unrecorded_since.get_or_insert(now);
                }
                if let Some(m) = self.machines.get_mut(id) {
                    m.failures = 0;
                    m.failed_jobs.clear();
                }
            }
            TaskState::Failed if known => {
                run.failures += 1;
                run.failed_on.insert(id.clone());
                if run.failed_on.len() > 1 && !run.proven {
                    // It fails wherever it is: wait longer each time.
                    run.retry_at = now + Micros::millis(500 << run.failures.min(7));
                } else {
                    run.retry_at = now + Micros::millis(200);
                }
                let (proven, job) = (run.proven, task.job);
                if let Some(m) = self.machines.get_mut(id) {
                    m.failures += 1;
                    m.failed_jobs.insert(job);
                    let guilty = m.failed_jobs.len() >= 2 || (m.failures >= 2 && proven);
                    if guilty && m.draining.is_none() {
                        info!(
                            "{id}: {} tasks of {} jobs failed on it; taken out of use",
                            m.failures,
                            m.failed_jobs.len()
                        );
                        m.draining = Some("tasks fail on it");
                    }
                }
            }
            _ => {}
        }
        self.dirty = true;
    }

    fn unbind(&mut self, task: TaskId, id: &MachineId) {
        if let Some(run) = self.jobs.get_mut(&task.job)
            && let Some(b) = run.bound.get_mut(&task.index)
        {
            b.on.remove(id);
        }
        self.free_if_nowhere(task);
    }

    fn free_if_nowhere(&mut self, task: TaskId) {
        if let Some(run) = self.jobs.get_mut(&task.job)
            && let Some(b) = run.bound.get(&task.index)
            && b.on.is_empty()
            && b.handed.is_none()
        {
            let attempt = b.attempt;
            run.bound.remove(&task.index);
            run.again.insert(task.index);
            self.stops.remove(&(task, attempt));
            self.dirty = true;
        }
    }

    /// The machine's task list is known under `token` (or it is gone): no
    /// hand-out from before can be started on it any more.
    fn clear_handed(&mut self, id: &MachineId, token: Option<Baton>) {
        let mut free = Vec::new();
        for (job, run) in self.jobs.iter_mut() {
            for (index, b) in run.bound.iter_mut() {
                let Some(h) = b.handed.as_mut() else { continue };
                if token.is_none_or(|t| b.attempt.0 < t.0) && h.machines.remove(id) && h.machines.is_empty() {
                    let hint = h.hint.clone();
                    b.handed = None;
                    free.push((TaskId { job: *job, index: *index }, b.attempt, hint));
                }
            }
        }
        for (task, attempt, hint) in free {
            self.handouts.remove(&attempt);
            if let Some(m) = self.machines.get_mut(&hint) {
                m.reserved.remove(&attempt);
            }
            self.free_if_nowhere(task);
        }
    }

    /// The cloud said that the machine and everything on it are gone.
    fn machine_gone(&mut self, id: &MachineId, now: Micros) {
        self.machines.remove(id);
        self.gone.insert(id.clone(), now);
        self.last_seen.remove(id);
        self.clear_handed(id, None);
        let tasks: Vec<TaskId> = self
            .jobs
            .iter()
            .flat_map(|(j, r)| {
                r.bound.iter().filter(|(_, b)| b.on.contains(id)).map(|(i, _)| TaskId { job: *j, index: *i })
            })
            .collect();
        for t in tasks {
            self.unbind(t, id);
        }
        self.dirty = true;
    }

    /// A machine reported to a controller that doesn't hold it.
    pub fn seen(&mut self, from: NodeId, id: &MachineId, rec: &MachineRecord, sizes: &Sizes, now: Micros) {
        if self.gone.contains_key(id) {
            return;
        }
        self.last_seen.insert(id.clone(), (from, now));
        match self.machines.get_mut(id) {
            None => {
                let Some(size) = sizes.get(&rec.build) else { return };
                info!("{id}: adopted ({} in {})", rec.build, rec.zone);
                self.machines.insert(id.clone(), Machine::new(rec, *size, Stage::Up, now));
                self.dirty = true;
            }
            Some(m) => {
                if m.stage == Stage::Booting {
                    m.stage = Stage::Up;
                    m.since = now;
                    self.dirty = true;
                }
                if !rec.addr.is_empty() {
                    m.addr = rec.addr.clone();
                }
            }
        }
    }

    // ---- time ------------------------------------------------------------

    fn in_contact(&self, n: NodeId, now: Micros) -> bool {
        self.nodes
            .get(n.0 as usize)
            .and_then(|x| x.heard)
            .is_some_and(|t| now.since(t) < Micros::millis(2500))
    }

    /// The controller that a machine should be granted to.
    fn choose_holder(&self, zone: &str, prefer: Option<NodeId>, now: Micros) -> Option<NodeId> {
        let mut load = vec![0usize; self.nodes.len()];
        for m in self.machines.values() {
            if let Some(h) = m.holder {
                load[h.0 as usize] += 1;
            }
        }
        (0..self.nodes.len())
            .map(|i| NodeId(i as u8))
            .filter(|n| self.in_contact(*n, now) && load[n.0 as usize] < self.ctx.operator.block_size)
            .min_by_key(|n| {
                (Some(*n) != prefer, self.ctx.zones[n.0 as usize] != zone, load[n.0 as usize], *n)
            })
    }

    fn grant(&mut self, id: &MachineId, to: NodeId, why: &str, now: Micros) {
        let baton = Baton(self.draw());
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.holder.is_some_and(|h| h != to) {
            info!("{id}: block moves from controller {} to {}: {why}", m.holder.map_or(0, |h| h.0), to.0);
        }
        m.holder = Some(to);
        m.baton = baton;
        m.confirmed = false;
        m.granted_at = now;
        m.want_baton = false;
        m.probed = None;
        // The new holder's word is needed; what the last one heard says nothing about it.
        for n in &mut self.nodes {
            n.dirty = true;
        }
    }

    /// Grants, moves, watches and decides. Called about every 20 ms while
    /// this node may lead.
    pub fn tick(&mut self, ledger: &Ledger, now: Micros) {
        if !self.granted {
            let all = (0..self.nodes.len()).all(|i| self.in_contact(NodeId(i as u8), now));
            let waited = now.since(self.began);
            if !(all || waited >= Micros::millis(700)) {
                return;
            }
            self.granted = true;
            let ids: Vec<(MachineId, Option<NodeId>, String)> =
                self.machines.iter().map(|(i, m)| (i.clone(), m.holder, m.zone.clone())).collect();
            for (id, holder, zone) in ids {
                if let Some(m) = self.machines.get_mut(&id) {
                    m.holder = None;
                    m.last_holder = holder;
                }
                self.grant_unheld(&id, &zone, now);
            }
        }
        self.move_blocks(now);
        self.watch_silent(now);
        self.stop_cancelled(ledger, now);
        if self.dirty && now.since(self.scheduled) >= Micros::millis(20) {
            self.dirty = false;
            self.scheduled = now;
            self.schedule(now);
        }
    }

    fn move_blocks(&mut self, now: Micros) {
        let mut moves: Vec<(MachineId, NodeId, &'static str)> = Vec::new();
        let mut unheld = Vec::new();
        for (id, m) in &self.machines {
            if m.stage != Stage::Up || !m.recorded {
                continue;
            }
            let seen = self.last_seen.get(id).filter(|(_, t)| now.since(*t) < Micros::secs(4)).map(|x| x.0);
            match m.holder {
                None => unheld.push((id.clone(), m.zone.clone())),
                Some(h) => {
                    let silent = m.heard.is_none_or(|t| now.since(t) > Micros::millis(3500))
                        && now.since(m.granted_at) > Micros::millis(1500);
                    if let Some(s) = seen
                        && s != h
                        && self.in_contact(s, now)
                        && (silent || !self.in_contact(h, now))
                    {
                        moves.push((id.clone(), s, "its worker reports there"));
                    } else if m.want_baton && m.confirmed && now.since(m.granted_at) > Micros::secs(1) {
                        moves.push((id.clone(), h, "a late start is ruled out"));
                    } else if m.confirmed
                        && self.ctx.zones[h.0 as usize] != m.zone
                        && now.since(m.granted_at) > Micros::secs(10)
                        && m.reserved.is_empty()
                        && let Some(to) = self.choose_holder(&m.zone, None, now)
                        && self.ctx.zones[to.0 as usize] == m.zone
                        && now.since(self.nodes[to.0 as usize].since) > Micros::secs(4)
                        && moves.len() < 2
                    {
                        moves.push((id.clone(), to, "a controller of its zone is back"));
                    }
                }
            }
        }
        for (id, to, why) in moves {
            self.grant(&id, to, why, now);
        }
        for (id, zone) in unheld {
            self.grant_unheld(&id, &zone, now);
        }
    }

    /// Grants a machine without a holder: to the one that held it, to one of
    /// its zone, or to one that its worker reports to. When none of these is
    /// in contact, the zone may be cut off with its controller, which goes on
    /// renewing its workers; a grant to a node beyond the cut would help nobody.
    fn grant_unheld(&mut self, id: &MachineId, zone: &str, now: Micros) {
        let Some(m) = self.machines.get(id) else { return };
        let seen = self.last_seen.get(id).filter(|(_, t)| now.since(*t) < Micros::secs(4)).map(|x| x.0);
        let last = m.last_holder.filter(|h| self.in_contact(*h, now));
        let own = self
            .choose_holder(zone, last, now)
            .filter(|n| Some(*n) == last || self.ctx.zones[n.0 as usize] == zone);
        let Some(to) = own.or_else(|| self.choose_holder(zone, seen, now)) else { return };
        let of_zone = self.ctx.zones[to.0 as usize] == zone;
        let no_own = !self.ctx.zones.iter().any(|z| z == zone);
        if of_zone || no_own || Some(to) == last || seen.is_some() {
            self.grant(id, to, "no holder", now);
        }
    }

    fn watch_silent(&mut self, now: Micros) {
        let limit = self.ctx.operator.silent_delete;
        let mut doomed = Vec::new();
        let mut probes = Vec::new();
        let mut visible: BTreeSet<String> = BTreeSet::new();
        let mut per_holder: HashMap<NodeId, (u32, u32)> = HashMap::new();
        for m in self.machines.values().filter(|m| m.stage == Stage::Up) {
            let fresh = m.heard.is_some_and(|t| now.since(t) < Micros::millis(3500));
            if let Some(h) = m.holder {
                let (held, heard) = per_holder.entry(h).or_default();
                *held += 1;
                *heard += fresh as u32;
                if fresh && self.in_contact(h, now) {
                    visible.insert(m.zone.clone());
                }
            }
        }
        // The first machine heard again after a cut shows its zone; the others
        // get their time from then on.
        self.visible_since.retain(|z, _| visible.contains(z));
        for z in visible {
            self.visible_since.entry(z).or_insert(now);
        }
        for (id, m) in &self.machines {
            if m.stage != Stage::Up {
                continue;
            }
            // A holder that was out of contact first gets to say what it heard.
            let contact = m.holder.map_or(Micros(0), |h| self.nodes[h.0 as usize].contact_since);
            let spoke = (contact + Micros::secs(3)) - self.ctx.operator.silent_delete;
            let base = m.heard.unwrap_or(m.since).max(self.began).max(spoke);
            let silent = now.since(base);
            let seen = self.last_seen.get(id).is_some_and(|(_, t)| now.since(*t) < Micros::secs(5));
            if silent > Micros::millis(3200) && m.probed.is_none_or(|t| now.since(t) > Micros::millis(1500)) {
                probes.push(id.clone());
            }
            // A cut between zones looks like the death of all machines behind
            // it. A machine is taken for dead quickly only if its zone can be
            // heard: by the holder, if that is in the zone itself, or because
            // another machine there was heard just now.
            let near =
                m.holder.is_some_and(|h| self.in_contact(h, now) && self.ctx.zones[h.0 as usize] == m.zone);
            let (held, heard) = m.holder.and_then(|h| per_holder.get(&h)).copied().unwrap_or((0, 0));
            let limit = if near && held >= 2 && heard == 0 {
                // The holder hears none of its machines: it may be the one
                // that is cut off, and the workers turn to others soon.
                limit.scale(2, 1)
            } else if near {
                limit
            } else if let Some(since) = self.visible_since.get(&m.zone) {
                limit.max(silent - now.since(*since) + limit)
            } else {
                Micros::secs(60)
            };
            if silent > limit && !seen {
                doomed.push((id.clone(), silent));
            }
        }
        for id in probes {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.probed = Some(now);
            let (holder, addr) = (m.holder, m.addr.clone());
            for n in 0..self.nodes.len() {
                let n = NodeId(n as u8);
                if Some(n) != holder && self.in_contact(n, now) && !addr.is_empty() {
                    self.probes.push((n, id.clone(), addr.clone()));
                }
            }
        }
        for (id, silent) in doomed {
            self.delete(&id, &format!("silent for {:.1} s", silent.as_secs_f64()), now);
        }
    }

    /// Stops what is left of cancelled jobs. Also called while the lease is not
    /// confirmed: a stop does no harm, and a cancellation doesn't wait for the
    /// state service.
    pub fn stop_cancelled(&mut self, ledger: &Ledger, now: Micros) {
        self.watch_cancelled(ledger, now);
        // A controller that the state service refuses doesn't know of the
        // cancellation; the leader tells it.
        let mut stops = Vec::new();
        for (id, m) in &self.machines {
            for (t, (a, _)) in &m.tasks {
                if self.aborted.contains_key(&t.job)
                    && self.stops.get(&(*t, *a)).is_none_or(|s| s.0.grace.0 > 0)
                {
                    stops.push((*t, *a, id.clone()));
                }
            }
        }
        for (t, a, id) in stops {
            self.stop(t, a, &id, Micros(0), now);
        }
    }

    /// A cancelled job's task that can't be stopped goes with its machine.
    fn watch_cancelled(&mut self, ledger: &Ledger, now: Micros) {
        // Early enough for a cloud that is out of order for a while.
        let deadline = self.ctx.cancel.scale(55, 100);
        // A new leader first hears what its controllers know.
        if now.since(self.began) < Micros::secs(4) {
            return;
        }
        let mut doomed = Vec::new();
        let mut over = Vec::new();
        for (job, at) in &self.aborted {
            let late = now.since(*at) > deadline;
            let run = self.jobs.get(job);
            if run.is_none_or(|r| r.bound.is_empty()) && now.since(*at) > self.ctx.cancel.scale(2, 1) {
                over.push(*job);
            }
            if !late {
                continue;
            }
            let places = run
                .iter()
                .flat_map(|r| r.bound.values())
                .flat_map(|b| b.on.iter().chain(b.handed.iter().flat_map(|h| h.machines.iter())));
            doomed.extend(places.map(|id| (id.clone(), *job)));
            // Machines that nobody heard in this term may hold its tasks.
            let spec = ledger.jobs.get(job).and_then(|j| j.spec.as_ref());
            for (id, m) in self.machines.iter().filter(|(_, m)| m.unknown) {
                if spec.is_some_and(|s| s.allows(&m.build, &m.zone, m.spot, &m.size)) {
                    doomed.push((id.clone(), *job));
                }
            }
        }
        for (id, job) in doomed {
            if self.machines.get(&id).is_some_and(|m| m.stage == Stage::Up) {
                self.delete(&id, &format!("a task of cancelled {job} may be on it"), now);
            }
        }
        for j in over {
            self.aborted.remove(&j);
        }
        // Jobs that are over and hold nothing any more.
        self.jobs.retain(|id, r| {
            !r.bound.is_empty() || ledger.jobs.get(id).is_none_or(|j| j.phase == Phase::Active)
        });
    }

    fn delete(&mut self, id: &MachineId, why: &str, now: Micros) {
        let Some(m) = self.machines.get_mut(id) else { return };
        if m.stage == Stage::Deleting {
            return;
        }
        let age = now.since(m.born);
        let whole = m.size.cpu as u128 * age.0 as u128;
        info!(
            "{id}: deleted ({} in {}{}) after {:.0} s, {}% used: {why}",
            m.build,
            m.zone,
            if m.spot { ", spot" } else { "" },
            age.as_secs_f64(),
            m.busy * 100 / whole.max(1)
        );
        m.stage = Stage::Deleting;
        m.since = now;
        m.delete_sent = None;
        self.dirty = true;
    }

    // ---- scheduling ------------------------------------------------------

    fn measure(&mut self) {
        let jobs = &self.jobs;
        for m in self.machines.values_mut() {
            m.used = m.tasks.keys().fold(Resources::default(), |u, t| {
                u.plus(jobs.get(&t.job).map_or(Resources::default(), |r| r.spec.need))
            });
            // A task whose job is forgotten still takes room.
            if m.tasks.keys().any(|t| !jobs.contains_key(&t.job)) {
                m.used = m.size;
            }
        }
    }

    /// CPUs and GPUs of a team's bound tasks, wherever they may be.
    fn team_use(&self, team: &str) -> (u64, u64) {
        self.jobs.values().filter(|r| r.spec.team == team).fold((0, 0), |(c, g), r| {
            let n = r.bound.len() as u64;
            (c + n * r.spec.need.cpu, g + n * r.spec.need.gpu)
        })
    }

    fn over_limit(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.ctx.teams.iter().find(|t| t.name == spec.team) else { return true };
        if team.cpus_max == 0.0 && team.gpus_max == 0.0 {
            return false;
        }
        // Machines that nobody heard yet may hold anybody's tasks.
        if self.machines.values().any(|m| m.unknown) {
            return true;
        }
        let (c, g) = self.team_use(&spec.team);
        let max = Resources::have(team.cpus_max, team.gpus_max, 0.0);
        (max.cpu > 0 && c + spec.need.cpu > max.cpu) || (max.gpu > 0 && g + spec.need.gpu > max.gpu)
    }

    /// Whether a machine that nobody heard may hold a task of the job.
    fn blocked(&self, run: &Run) -> bool {
        run.stamp <= self.began_stamp
            && self
                .machines
                .values()
                .any(|m| m.unknown && run.spec.allows(&m.build, &m.zone, m.spot, &m.size))
    }

    fn zones_of(&self, run: &Run) -> HashMap<String, u32> {
        let mut zones: HashMap<String, u32> = HashMap::new();
        if !run.spec.spread && !run.spec.one_zone {
            return zones;
        }
        for b in run.bound.values() {
            let mut at: BTreeSet<&str> =
                b.on.iter().filter_map(|id| self.machines.get(id)).map(|m| m.zone.as_str()).collect();
            if let Some(h) = &b.handed {
                at.insert(&h.zone);
            }
            for z in at {
                *zones.entry(z.to_owned()).or_default() += 1;
            }
        }
        zones
    }

    fn find(&self, run: &Run, zones: &HashMap<String, u32>, now: Micros) -> Option<MachineId> {
        let mut zone_cpu: HashMap<&str, u64> = HashMap::new();
        if run.spec.kind == Kind::Service {
            for m in self.machines.values().filter(|m| !m.spot && m.stage != Stage::Deleting) {
                *zone_cpu.entry(&m.zone).or_default() += m.size.cpu;
            }
        }
        self.machines
            .iter()
            .filter(|(_, m)| m.usable())
            .filter(|(_, m)| m.holder.is_some_and(|h| self.in_contact(h, now)))
            .filter(|(_, m)| m.heard.is_some_and(|t| now.since(t) < Micros::secs(4)))
            .filter(|(_, m)| m.kept_for.is_none_or(|(r, until)| run.spec.rank >= r || now >= until))
            .filter(|(id, _)| run.proven || !run.failed_on.contains(id) || run.failed_on.len() > 3)
            .filter(|(_, m)| fleet::zone_ok(&run.spec, &m.zone, zones))
            .filter_map(|(id, m)| {
                let c = Candidate {
                    build: &m.build,
                    zone: &m.zone,
                    spot: m.spot,
                    size: &m.size,
                    free: m.free(),
                    image: m.images.contains(&run.spec.image),
                    zone_cpu: zone_cpu.get(m.zone.as_str()).copied().unwrap_or(0),
                };
                // A machine on which something failed comes last.
                Some(((m.failures > 0, placement::score(&run.spec, &c, None)?), id))
            })
            .min()
            .map(|(_, id)| id.clone())
    }

    /// The time of day, as far as it can be told from the steady clock.
    fn wall_ms(&self, now: Micros) -> u64 {
        self.began_ms + now.since(self.began).0 / 1000
    }

    fn schedule(&mut self, now: Micros) {
        let wall_ms = self.wall_ms(now);
        self.measure();
        for rank in RANKS {
            let mut teams: BTreeMap<String, Vec<((bool, u64, u64), JobId)>> = BTreeMap::new();
            let ids: Vec<JobId> =
                self.jobs.iter().filter(|(_, r)| r.spec.rank == rank && !r.over).map(|(i, _)| *i).collect();
            for id in ids {
                let Some(run) = self.jobs.get_mut(&id) else { continue };
                if run.retry_at > now {
                    self.dirty = true;
                    continue;
                }
                if run.peek().is_none() {
                    continue;
                }
                let Some(run) = self.jobs.get(&id) else { continue };
                if !self.blocked(run) {
                    teams.entry(run.spec.team.clone()).or_default().push((run.order(wall_ms), id));
                }
            }
            let mut queue = self.queues.remove(&rank).unwrap_or_default();
            for t in &self.ctx.teams {
                let w = self.ctx.operator.team_weights.get(&t.name).copied().unwrap_or(1.0);
                queue.set_waiting(&t.name, teams.contains_key(&t.name), self.ctx.operator.task_cost, w);
            }
            teams.values_mut().for_each(|v| v.sort());
            let mut stuck: BTreeSet<String> = BTreeSet::new();
            let mut made_room: u32 = 0;
            // The smallest eligible start tag goes next.
            while let Some((_, team)) = queue.order().into_iter().find(|(_, t)| !stuck.contains(t)) {
                let Some(list) = teams.get_mut(&team) else { break };
                let mut served = false;
                while let Some((_, id)) = list.first().copied() {
                    let Some(index) = self.jobs.get_mut(&id).and_then(Run::peek) else {
                        list.remove(0);
                        continue;
                    };
                    let Some(run) = self.jobs.get(&id) else { break };
                    if self.over_limit(&run.spec) {
                        list.remove(0);
                        continue;
                    }
                    let zones = self.zones_of(run);
                    match self.find(run, &zones, now) {
                        Some(machine) if self.better_with_image(id, &machine, now) => {
                            // Batch work that holds the room where the image
                            // is gives way: a fetch takes seconds.
                            let zones = zones.clone();
                            let made = self.make_room(id, &zones, true, now);
                            made_room += made;
                            if let Some(run) = self.jobs.get_mut(&id) {
                                run.patience.get_or_insert(if made > 0 {
                                    now + Micros::millis(700)
                                } else {
                                    now
                                });
                            }
                            self.dirty = true;
                            list.remove(0);
                            continue;
                        }
                        Some(machine) => {
                            self.hand_out(TaskId { job: id, index }, machine);
                            served = true;
                        }
                        None => {
                            if rank == Rank::Production && made_room < 8 {
                                made_room += self.make_room(id, &zones, false, now);
                            }
                            list.remove(0);
                            continue;
                        }
                    }
                    break;
                }
                if served {
                    queue.serve(&team);
                } else {
                    queue.set_waiting(&team, false, self.ctx.operator.task_cost, 1.0);
                    stuck.insert(team);
                }
            }
            self.queues.insert(rank, queue);
        }
    }

    fn hand_out(&mut self, task: TaskId, hint: MachineId) {
        let attempt = Attempt(self.draw());
        let Some(m) = self.machines.get(&hint) else { return };
        let (Some(node), zone) = (m.holder, m.zone.clone()) else { return };
        let Some(run) = self.jobs.get_mut(&task.job) else { return };
        let machines: BTreeSet<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.holder == Some(node) && run.spec.allows(&m.build, &m.zone, m.spot, &m.size))
            .map(|(id, _)| id.clone())
            .collect();
        let incarnation = self.nodes.get(node.0 as usize).map_or(0, |n| n.incarnation);
        let fixed = run.spec.spread || run.spec.one_zone;
        let out = HandOut { task, attempt, zone: fixed.then(|| zone.clone()), hint: hint.clone() };
        let need = run.spec.need;
        run.again.remove(&task.index);
        run.bound.insert(
            task.index,
            Binding {
                attempt,
                handed: Some(Handed { incarnation, machines, hint: hint.clone(), zone }),
                on: BTreeSet::new(),
            },
        );
        if let Some(m) = self.machines.get_mut(&hint) {
            m.reserved.insert(attempt, need);
            m.images.insert(run.spec.image.clone());
            m.idle_since = None;
        }
        self.handouts.insert(attempt, (node, out));
        if let Some(n) = self.nodes.get_mut(node.0 as usize) {
            n.dirty = true;
        }
    }

    /// Whether a replica should rather wait a moment for room on a machine that
    /// has its image.
    fn better_with_image(&self, id: JobId, found: &MachineId, now: Micros) -> bool {
        let Some(run) = self.jobs.get(&id) else { return false };
        run.spec.kind == Kind::Service
            && run.spec.rank == Rank::Production
            && run.patience.is_none_or(|until| now < until)
            && self.machines.get(found).is_some_and(|m| !m.images.contains(&run.spec.image))
            && self.machines.values().any(|m| m.images.contains(&run.spec.image))
    }

    /// Stops work of lower priority so that a task of `id` fits; the number
    /// of tasks stopped.
    fn make_room(&mut self, id: JobId, zones: &HashMap<String, u32>, image: bool, now: Micros) -> u32 {
        let Some(run) = self.jobs.get(&id) else { return 0 };
        let spec = run.spec.clone();
        let mut best: Option<(u64, MachineId, Vec<(TaskId, Attempt)>)> = None;
        for (mid, m) in &self.machines {
            if !m.usable()
                || image && !m.images.contains(&spec.image)
                || !m.holder.is_some_and(|h| self.in_contact(h, now))
                || !spec.allows(&m.build, &m.zone, m.spot, &m.size)
                || !fleet::zone_ok(&spec, &m.zone, zones)
                || m.kept_for.is_some_and(|(_, until)| now < until)
            {
                continue;
            }
            let mut victims: Vec<(u64, TaskId, Attempt, Resources)> = m
                .tasks
                .iter()
                .filter_map(|(t, (a, s))| {
                    let r = self.jobs.get(&t.job)?;
                    let ran = m.started.get(t).map_or(0, |x| now.since(*x).0);
                    (r.spec.rank < spec.rank && *s != TaskState::Starting).then_some((
                        ran,
                        *t,
                        *a,
                        r.spec.need,
                    ))
                })
                .collect();
            victims.sort_by_key(|v| (v.0, v.1));
            let mut free = m.free();
            let (mut lost, mut chosen) = (0, Vec::new());
            for (ran, t, a, need) in victims {
                if free.fits(&spec.need) {
                    break;
                }
                free = free.plus(need);
                lost += ran + 1;
                chosen.push((t, a));
            }
            if free.fits(&spec.need) && best.as_ref().is_none_or(|(l, ..)| lost < *l) {
                best = Some((lost, mid.clone(), chosen));
            }
        }
        let Some((_, mid, chosen)) = best else { return 0 };
        for (task, attempt) in &chosen {
            info!("{task}: stopped on {mid} to make room for {id}");
            self.stop(*task, *attempt, &mid, Micros(0), now);
        }
        if let Some(m) = self.machines.get_mut(&mid) {
            m.kept_for = Some((spec.rank, now + Micros::secs(2)));
        }
        chosen.len() as u32
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt, machine: &MachineId, grace: Micros, now: Micros) {
        let req = StopRequest { task, attempt, machine: machine.clone(), grace };
        self.stops.insert((task, attempt), (req, now));
        if let Some(h) = self.machines.get(machine).and_then(|m| m.holder)
            && let Some(n) = self.nodes.get_mut(h.0 as usize)
        {
            n.dirty = true;
        }
    }

    // ---- machines --------------------------------------------------------

    /// Decides what to rent and return; what to ask the cloud now.
    pub fn fleet(&mut self, flavors: &[Flavor], now: Micros) -> Vec<CloudWish> {
        let mut wishes = Vec::new();
        if !self.granted {
            return wishes;
        }
        if now >= self.fleet_at {
            let passed = now.since(self.measured);
            self.measured = now;
            self.fleet_at = now + Micros::millis(400);
            self.measure();
            for m in self.machines.values_mut() {
                m.busy += m.used.cpu as u128 * passed.0 as u128;
            }
            self.drain_warned(now);
            self.return_idle(flavors, now);
            if now >= self.rent_not_before {
                self.plan_hires(flavors, now);
            }
            self.gone.retain(|_, t| now.since(*t) < Micros::secs(600));
        }
        wishes.extend(self.deletions(now));
        for (req, stage, _) in self.hires.values() {
            if *stage == HireStage::Recorded {
                wishes.push(CloudWish::Hire(req.clone()));
            }
        }
        if !self.listing && now.since(self.listed) >= Micros::secs(2) {
            wishes.push(CloudWish::List(None));
        }
        wishes
    }

    /// Deletions that are due.
    pub fn deletions(&self, now: Micros) -> Option<CloudWish> {
        let doomed: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.stage == Stage::Deleting && m.delete_sent.is_none_or(|t| now.since(t) > Micros::secs(3))
            })
            .map(|(id, _)| id.clone())
            .take(100)
            .collect();
        (!doomed.is_empty()).then_some(CloudWish::Delete(doomed))
    }

    /// A wish went out.
    pub fn wish_sent(&mut self, wish: &CloudWish, now: Micros) {
        match wish {
            CloudWish::Delete(ids) => {
                for id in ids {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.delete_sent = Some(now);
                    }
                }
            }
            CloudWish::Hire(r) => {
                if let Some(h) = self.hires.get_mut(&r.name) {
                    h.1 = HireStage::Called;
                    h.2 = now;
                }
            }
            CloudWish::List(_) => self.listing = true,
        }
    }

    /// The cloud deleted these.
    pub fn deleted(&mut self, ids: &[MachineId], now: Micros) {
        for id in ids {
            self.machine_gone(id, now);
        }
    }

    /// A deletion was not confirmed; it is sent again.
    pub fn delete_failed(&mut self, ids: &[MachineId], now: Micros) {
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                // In half a second, whatever the usual pause.
                m.delete_sent = Some(now - Micros::millis(2500));
            }
        }
    }

    /// A rental ended: machines, a refusal (`Some(empty)`), or nobody knows.
    pub fn hired(&mut self, req: &HireRequest, got: Option<&[String]>, sizes: &Sizes, now: Micros) {
        let Some(hosts) = got else {
            // The same name again gives the same machines.
            if let Some(h) = self.hires.get_mut(&req.name) {
                h.1 = HireStage::Recorded;
            }
            return;
        };
        self.hires.remove(&req.name);
        if hosts.len() < req.count as usize {
            self.refused.insert((req.build.clone(), req.zone.clone(), req.spot), now);
        }
        info!(
            "rented {} of {} {} in {}{}",
            hosts.len(),
            req.count,
            req.build,
            req.zone,
            if req.spot { ", spot" } else { "" }
        );
        for h in hosts {
            let id = MachineId(h.clone());
            if self.gone.contains_key(&id) || self.machines.contains_key(&id) {
                continue;
            }
            let rec = MachineRecord {
                build: req.build.clone(),
                zone: req.zone.clone(),
                spot: req.spot,
                addr: String::new(),
            };
            let size = sizes.get(&req.build).copied().unwrap_or_default();
            self.machines.insert(id, Machine::new(&rec, size, Stage::Booting, now));
        }
    }

    /// A page of the list (or none, if the call failed).
    pub fn listed(&mut self, page: Option<&[Rental]>, sizes: &Sizes, now: Micros) {
        self.listing = false;
        self.listed = now;
        for r in page.unwrap_or(&[]) {
            let id = MachineId(r.name.clone());
            if self.gone.contains_key(&id) {
                continue;
            }
            match self.machines.get_mut(&id) {
                Some(m) => {
                    if m.addr.is_empty() {
                        m.addr = r.addr.clone();
                    }
                    if r.stage == "failed" && m.stage != Stage::Deleting {
                        self.delete(&id, "it failed", now);
                    }
                }
                None => {
                    let Some(size) = sizes.get(&r.build) else { continue };
                    let rec = MachineRecord {
                        build: r.build.clone(),
                        zone: r.zone(),
                        spot: r.loaners,
                        addr: r.addr.clone(),
                    };
                    info!("{id}: found in the list ({} in {}, {})", r.build, rec.zone, r.stage);
                    let mut m = Machine::new(&rec, *size, Stage::Booting, now);
                    m.since = now - Micros::from_secs_f64(r.held_s);
                    self.machines.insert(id.clone(), m);
                    if r.stage == "failed" {
                        self.delete(&id, "it failed", now);
                    }
                }
            }
        }
    }

    fn drain_warned(&mut self, now: Micros) {
        // Work that can be saved is saved before the cloud takes the machine.
        let mut stops = Vec::new();
        for (id, m) in &self.machines {
            let Some(until) = m.warning else { continue };
            for (t, (a, s)) in &m.tasks {
                let Some(r) = self.jobs.get(&t.job) else { continue };
                let save = Micros::from_secs_f64(r.spec.save_s);
                let left = until - now;
                // The notice may be half as long as it says.
                if r.spec.checkpoint_s > 0.0
                    && *s == TaskState::Running
                    && left.scale(1, 2) <= save + Micros::millis(2500)
                    && left > save
                    && !self.stops.contains_key(&(*t, *a))
                {
                    stops.push((*t, *a, id.clone(), save.scale(3, 2) + Micros::millis(1000)));
                }
            }
        }
        for (t, a, id, grace) in stops {
            info!("{t}: saved and stopped, {id} is taken back");
            self.stop(t, a, &id, grace, now);
        }
        let machines = &self.machines;
        self.stops.retain(|(t, a), (r, _)| {
            machines.get(&r.machine).is_some_and(|m| m.tasks.get(t).is_some_and(|x| x.0 == *a))
        });
    }

    fn return_idle(&mut self, flavors: &[Flavor], now: Micros) {
        let mut back = Vec::new();
        let waiting = self.jobs.values().any(|r| !r.over && r.waiting() > 0);
        // Room for replicas that come, by zone: ordinary machines only.
        let mut spare: HashMap<String, u64> = HashMap::new();
        for m in self.machines.values().filter(|m| !m.spot && m.usable()) {
            *spare.entry(m.zone.clone()).or_default() += m.free().cpu;
        }
        let keep = (self.ctx.operator.spare_cpus * 1000.0) as u64;
        let list: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in list {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            match m.stage {
                Stage::Booting => {
                    let boot = flavors.iter().find(|f| f.sku == m.build).map_or(60.0, |f| f.boot_s);
                    if now.since(m.since) > Micros::from_secs_f64(boot * 4.0 + 20.0) {
                        back.push((id, "it never came up"));
                    }
                }
                Stage::Up if m.confirmed && m.empty() => {
                    let idle = now.since(*m.idle_since.get_or_insert(now));
                    if m.draining.is_some() {
                        back.push((id, "out of use and empty"));
                        continue;
                    }
                    if idle < self.ctx.operator.idle_return || m.warning.is_some() {
                        continue;
                    }
                    if !m.spot {
                        let s = spare.entry(m.zone.clone()).or_default();
                        if s.saturating_sub(m.size.cpu) < keep {
                            continue;
                        }
                        *s -= m.size.cpu;
                    }
                    if waiting && idle < self.ctx.operator.idle_return.scale(3, 1) {
                        continue;
                    }
                    back.push((id, "idle"));
                }
                Stage::Up => m.idle_since = None,
                Stage::Deleting => {}
            }
        }
        for (id, why) in back {
            self.delete(&id, why, now);
        }
    }

    fn plan_hires(&mut self, flavors: &[Flavor], now: Micros) {
        if self.hires.len() >= 6 {
            return;
        }
        let mut offers = Vec::new();
        for f in flavors {
            let size = Resources::have(f.cpus, f.gpus, f.memory_gb);
            for z in &f.yards {
                for spot in [false, true] {
                    let price = if spot { f.spot_price } else { Some(f.hourly) };
                    let Some(price) = price else { continue };
                    let key = (f.sku.clone(), z.clone(), spot);
                    let refused = self.refused.get(&key).is_some_and(|t| now.since(*t) < Micros::secs(8));
                    if self.hires.values().any(|(r, ..)| (&r.build, &r.zone, r.spot) == (&f.sku, z, spot)) {
                        continue;
                    }
                    offers.push(Offer {
                        build: f.sku.clone(),
                        zone: z.clone(),
                        spot,
                        size,
                        price,
                        refused,
                        boot_s: f.boot_s,
                    });
                }
            }
        }
        let mut rooms: Vec<Room> = self
            .machines
            .values()
            .filter(|m| m.draining.is_none() && m.warning.is_none())
            .filter(|m| m.stage == Stage::Booting || (m.stage == Stage::Up && (m.confirmed || !m.unknown)))
            .filter(|m| {
                // One that is late may never come.
                let boot = flavors.iter().find(|f| f.sku == m.build).map_or(60.0, |f| f.boot_s);
                m.stage == Stage::Up || now.since(m.since) < Micros::from_secs_f64(boot * 1.8 + 5.0)
            })
            .map(|m| Room {
                build: m.build.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                size: m.size,
                free: m.free(),
            })
            .collect();
        for (r, ..) in self.hires.values() {
            if let Some(f) = flavors.iter().find(|f| f.sku == r.build) {
                let size = Resources::have(f.cpus, f.gpus, f.memory_gb);
                for _ in 0..r.count {
                    rooms.push(Room {
                        build: r.build.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        size,
                        free: size,
                    });
                }
            }
        }
        let wall_ms = self.wall_ms(now);
        let mut list: Vec<(Rank, (bool, u64, u64), Demand)> = Vec::new();
        let mut running = 0.0;
        for r in self.jobs.values() {
            if r.spec.kind == Kind::Array {
                running += r.bound.len() as f64;
            }
            let waiting = r.waiting();
            if waiting == 0 || r.over || self.blocked(r) || r.failures > 5 && !r.proven {
                continue;
            }
            list.push((
                r.spec.rank,
                r.order(wall_ms),
                Demand { spec: r.spec.clone(), waiting, zones: self.zones_of(r) },
            ));
        }
        list.sort_by_key(|(rank, order, d)| (std::cmp::Reverse(*rank), *order, d.spec.id));
        let demands: Vec<Demand> = list.into_iter().map(|x| x.2).collect();
        let policy = Policy {
            drain_s: 30.0,
            running_arrays: running,
            max_new: self.ctx.operator.max_machines.saturating_sub(self.machines.len()).min(50),
        };
        for (w, n) in fleet::plan(rooms, &demands, &offers, &policy) {
            self.hire_count += 1;
            let name = format!("g-{}-{}", self.term, self.hire_count);
            let req = HireRequest {
                name: name.clone(),
                build: w.build,
                zone: w.zone,
                spot: w.spot,
                count: n.min(50),
            };
            self.hires.insert(name, (req, HireStage::ToRecord, now));
        }
    }

    // ---- records ---------------------------------------------------------

    /// What should be written, most urgent first.
    pub fn writes(&self, ledger: &Ledger, now: Micros) -> Vec<LeaderWrite> {
        let mut v = Vec::new();
        let active = |id: &JobId| ledger.jobs.get(id).is_some_and(|j| j.phase == Phase::Active);
        for (id, r) in &self.jobs {
            if r.spec.kind == Kind::Array && r.done.len() >= r.spec.tasks && active(id) {
                v.push(LeaderWrite::End(*id));
            }
        }
        v.sort();
        for (id, m) in &self.machines {
            if m.stage == Stage::Up && !m.recorded {
                v.push(LeaderWrite::Machine(id.clone()));
            }
        }
        for (name, (_, stage, _)) in &self.hires {
            if *stage == HireStage::ToRecord {
                v.push(LeaderWrite::Hire(name.clone()));
            }
        }
        for (id, r) in &self.jobs {
            if r.done.len() < r.spec.tasks
                && active(id)
                && r.unrecorded_since.is_some_and(|t| now.since(t) > Micros::millis(1500))
            {
                let recorded = &ledger.jobs[id].done;
                let chunks: BTreeSet<u32> = (0..r.spec.tasks)
                    .filter(|i| r.done.contains(*i) && !recorded.contains(*i))
                    .map(|i| i / super::jobs::CHUNK)
                    .collect();
                v.extend(chunks.into_iter().map(|c| LeaderWrite::Progress(*id, c)));
            }
        }
        for id in ledger.machines.keys() {
            if self.gone.contains_key(id) {
                v.push(LeaderWrite::Forget(id.clone()));
            }
        }
        v
    }

    /// A machine's record.
    pub fn machine(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// The text of a progress record.
    pub fn progress(&self, id: JobId, chunk: u32) -> Option<String> {
        self.jobs.get(&id).map(|r| r.done.chunk_text(chunk))
    }

    /// A write succeeded.
    pub fn written(&mut self, w: &LeaderWrite) {
        self.dirty = true;
        match w {
            LeaderWrite::Machine(id) => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.recorded = true;
                }
            }
            LeaderWrite::Hire(name) => {
                if let Some(h) = self.hires.get_mut(name)
                    && h.1 == HireStage::ToRecord
                {
                    h.1 = HireStage::Recorded;
                }
            }
            LeaderWrite::Progress(id, _) => {
                if let Some(r) = self.jobs.get_mut(id) {
                    r.unrecorded_since = None;
                }
            }
            LeaderWrite::End(_) | LeaderWrite::Forget(_) => {}
        }
    }

    /// Progress that came in while a record was being written.
    pub fn note_unrecorded(&mut self, ledger: &Ledger, now: Micros) {
        for (id, r) in self.jobs.iter_mut() {
            if r.unrecorded_since.is_none()
                && ledger
                    .jobs
                    .get(id)
                    .is_some_and(|j| j.phase == Phase::Active && j.done.len() < r.done.len())
            {
                r.unrecorded_since = Some(now);
            }
        }
    }

    // ---- what controllers are told ---------------------------------------

    /// Messages that are due.
    pub fn messages(&mut self, now: Micros, lease_ok: bool) -> Vec<(NodeId, Message)> {
        let mut out = Vec::new();
        for (n, id, addr) in std::mem::take(&mut self.probes) {
            out.push((n, Message::Probe { id, addr }));
        }
        if !self.granted {
            return out;
        }
        let directory: Vec<(MachineId, NodeId)> =
            self.machines.iter().filter_map(|(id, m)| Some((id.clone(), m.holder?))).collect();
        let running: Vec<(JobId, u32)> = self
            .jobs
            .iter()
            .filter_map(|(id, r)| {
                let n = r.bound.keys().filter(|i| !r.done.contains(**i)).count() as u32;
                (n > 0).then_some((*id, n))
            })
            .collect();
        for i in 0..self.nodes.len() {
            let to = NodeId(i as u8);
            let n = &self.nodes[i];
            let due = now.since(n.sent) >= Micros::millis(500);
            if n.incarnation == 0 || n.heard.is_none_or(|t| now.since(t) > Micros::secs(5)) {
                continue;
            }
            if !(due || n.dirty && now.since(n.sent) >= Micros::millis(15)) {
                continue;
            }
            let block = self
                .machines
                .iter()
                .filter(|(_, m)| m.holder == Some(to))
                .map(|(id, m)| GrantedMachine {
                    id: id.clone(),
                    baton: m.baton,
                    addr: m.addr.clone(),
                    draining: m.draining.is_some() || m.stage == Stage::Deleting,
                })
                .collect();
            // Without a confirmed lease nothing is handed out or renewed.
            let open = self.handouts.values().filter(|(x, _)| *x == to && lease_ok);
            let handouts = open.map(|(_, h)| h.clone()).collect();
            let stops = self
                .stops
                .values()
                .filter(|(r, _)| self.machines.get(&r.machine).is_some_and(|m| m.holder == Some(to)))
                .map(|(r, _)| r.clone())
                .collect();
            let n = &mut self.nodes[i];
            n.update_seq += 1;
            n.sent = now;
            n.dirty = false;
            out.push((
                to,
                Message::Update {
                    term: self.term,
                    seq: n.update_seq,
                    incarnation: n.incarnation,
                    ack: n.sync_seq,
                    lease: if lease_ok { self.ctx.operator.block_lease } else { Micros(0) },
                    block,
                    handouts,
                    stops,
                    directory: directory.clone(),
                    running: running.clone(),
                },
            ));
        }
        out
    }
}

impl Rental {
    fn zone(&self) -> String {
        self.yard.clone()
    }
}
