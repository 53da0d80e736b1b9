//! The leader: which machines there are, which controller holds them, where
//! each task is bound, and what goes next.
mod bindings;
mod blocks;
mod books;
pub mod health;
mod machines;
mod records;
mod room;
mod schedule;
#[cfg(test)]
mod tests;
pub mod waits;
pub mod ways;

use crate::books::Ledgers;
use crate::controller::{ASK_TIMEOUT, ASKED_AFTER, Sizes};
use crate::fair_queue::FairQueue;
use crate::fleet::{self, Demand, Offer, Policy, Room};
use crate::jobs::{Failures, Job, Ledger, MachineRecord, Phase, TaskSet};
use crate::leader::health::{Health, Sight, Turn};
use crate::leader::ways::Ways;
use crate::peer::{GrantedMachine, HandOut, MachineState, Message, Outcome, StopRequest, TaskState};
use crate::placement::{self, Candidate};
use gorseshore_protocol::cloud::{Flavor, Rental};
use gorseshore_protocol::ids::{
    Attempt, Baton, EPOCH_BITS, JobId, MachineId, Micros, NodeId, Resources, TaskId,
};
use gorseshore_protocol::job::{JobSpec, Kind, RANKS, Rank};
use gorseshore_settings::{Objective, Operator, Team};
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};
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
    /// Its record is being written.
    recording: bool,
    /// Recorded before this term: it may hold tasks that nobody told of yet.
    unknown: bool,
    holder: Option<NodeId>,
    last_holder: Option<NodeId>,
    baton: Baton,
    /// The holder has seen a report under `baton`: its task list is whole.
    confirmed: bool,
    tasks: BTreeMap<TaskId, (Attempt, TaskState)>,
    started: BTreeMap<TaskId, Micros>,
    reserved: BTreeMap<Attempt, Resources>,
    /// What its tasks take; `stale` if they changed since it was added up.
    used: Resources,
    stale: bool,
    /// Tasks that are bound to it.
    bound: BTreeSet<TaskId>,
    heard: Option<Micros>,
    held_heard: Micros,
    moved_at: Micros,
    granted_at: Micros,
    warning: Option<Micros>,
    /// The update that first tells of its last change.
    stamp: u64,
    idle_since: Option<Micros>,
    /// Its place among those with room.
    placed: Option<room::Placed>,
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
            recording: false,
            unknown: false,
            holder: None,
            last_holder: None,
            baton: Baton(0),
            confirmed: false,
            tasks: BTreeMap::new(),
            started: BTreeMap::new(),
            reserved: BTreeMap::new(),
            used: Resources::default(),
            stale: true,
            bound: BTreeSet::new(),
            heard: None,
            held_heard: Micros(0),
            moved_at: Micros(0),
            granted_at: now,
            warning: None,
            stamp: 0,
            idle_since: None,
            placed: None,
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
    /// It was heard by a controller; `from` its holder, that is proof that the
    /// way between them is open.
    fn heard_at(&mut self, at: Micros, from: NodeId) {
        if self.holder == Some(from) {
            self.held_heard = self.held_heard.max(at);
        }
        if self.heard.is_none_or(|t| at > t) {
            self.heard = Some(at);
            self.probed = None;
        }
    }
    /// Tasks may be handed to it; `contact` says which controllers are heard.
    fn open(&self, contact: &[bool], now: Micros) -> bool {
        self.in_reach(contact) && self.heard.is_some_and(|t| now.since(t) < Micros::secs(4))
    }
    /// It is in use and its holder is heard.
    fn in_reach(&self, contact: &[bool]) -> bool {
        self.usable() && self.holder.is_some_and(|h| contact.get(h.0 as usize) == Some(&true))
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
    /// Machines on which it may have been started: the block as it was, shared
    /// by the hand-outs of that time.
    machines: Rc<BTreeSet<MachineId>>,
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
    last_ms: u64,
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
    /// Work was stopped for it; until then no more is.
    room_until: Micros,
    /// Until then it waits for a machine with its image.
    patience: Option<Micros>,
    /// Done or cancelled: nothing of it is started, but what is left of it on
    /// machines counts.
    over: bool,
    /// Failed attempts, where their number is bounded, and the tasks whose
    /// count is not recorded yet: those are not started again before it is.
    fails: BTreeMap<u32, Failures>,
    unsaved: BTreeSet<u32>,
    /// Something of the job that it replaces may be left.
    held: bool,
    /// Its running tasks as last told, and the update that first told so.
    shown: (u32, u64),
}

impl Run {
    fn new(job: &Job, spec: Rc<JobSpec>, objectives: &[Objective]) -> Self {
        let of_class = || objectives.iter().filter(|o| o.class == spec.class);
        let within = of_class().filter(|o| o.kind == "finished").filter_map(|o| o.within_s).reduce(f64::max);
        let times = of_class().filter_map(|o| o.times).fold(1.0, f64::max);
        let due = spec.deadline_s.or(within).unwrap_or(1e9);
        let last = spec.deadline_s.map(|d| d * times).or(within).unwrap_or(1e9);
        let at = |s: f64| job.submitted_ms + (s.max(0.0) * 1000.0) as u64;
        Run {
            stamp: job.stamp,
            due_ms: at(due),
            last_ms: at(last),
            submitted_ms: job.submitted_ms,
            done: job.done.clone(),
            held: !spec.after.is_empty(),
            spec,
            bound: BTreeMap::new(),
            again: BTreeSet::new(),
            next: 0,
            retry_at: Micros(0),
            failures: 0,
            failed_on: BTreeSet::new(),
            proven: false,
            unrecorded_since: None,
            room_until: Micros(0),
            patience: None,
            over: job.phase != Phase::Active,
            fails: job.failed.clone(),
            unsaved: BTreeSet::new(),
            shown: (0, 0),
        }
    }
    /// A task whose attempts are used up.
    fn used_up(&self) -> Option<u32> {
        let most = self.spec.attempts?;
        self.fails.iter().find(|(_, f)| f.count >= most).map(|(i, _)| *i)
    }
    /// The record says so: number of tasks, progress and failures.
    fn recorded(&mut self, job: &Job, spec: &JobSpec) {
        self.done.union(&job.done);
        if spec.tasks != self.spec.tasks {
            // What is above the smaller number is looked at again.
            self.next = self.next.min(spec.tasks).min(self.spec.tasks);
            let mut s = JobSpec::clone(&self.spec);
            s.tasks = spec.tasks;
            self.spec = Rc::new(s);
        }
        for (i, f) in &job.failed {
            let mine = self.fails.entry(*i).or_default();
            if f.last >= mine.last {
                *mine = *f;
                self.unsaved.remove(i);
            }
        }
    }
    /// The next task that waits.
    fn peek(&mut self) -> Option<u32> {
        while let Some(i) = self.again.iter().copied().find(|i| !self.unsaved.contains(i)) {
            if i < self.spec.tasks && !self.done.contains(i) && !self.bound.contains_key(&i) {
                return Some(i);
            }
            self.again.remove(&i);
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
    /// `slots` is how many such tasks run at a time.
    fn order(&self, wall_ms: u64, slots: u64) -> (bool, u64, u64) {
        let span = self.last_ms.saturating_sub(self.submitted_ms);
        let waves = 1.0 + self.waiting() as f64 / slots.max(1) as f64;
        let end = wall_ms + (self.spec.estimate_s * waves * 1000.0) as u64;
        let late = end > self.last_ms && wall_ms < self.last_ms + 3 * span;
        // A large job holds up many small ones that could still be in time: it
        // goes behind them by its part of the slots. A deadline of its owner's
        // is kept to as it is.
        let part = match self.spec.deadline_s {
            None => (self.waiting() as f64 / slots.max(1) as f64).min(1.0),
            Some(_) => 0.0,
        };
        (late, self.due_ms + (span as f64 * part) as u64, self.submitted_ms)
    }
    fn waiting(&self) -> u32 {
        let n = self.spec.tasks;
        let bound = self.bound.keys().filter(|i| **i < n && !self.done.contains(**i)).count() as u32;
        n.saturating_sub(self.done.below(n)).saturating_sub(bound)
    }
}

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
        (*c, *g) = (*c + spec.need.cpu, *g + spec.need.gpu);
    }
    fn freed(&mut self, spec: &JobSpec) {
        self.arrays -= (spec.kind == Kind::Array) as u64;
        if let Some((c, g)) = self.teams.get_mut(&spec.team) {
            (*c, *g) = (*c - spec.need.cpu, *g - spec.need.gpu);
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
    sent: Micros,
    dirty: bool,
}

/// A write that the leader wants.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaderWrite {
    /// A job is done.
    End(JobId),
    /// Machines of one kind may be started on.
    Machines(Vec<MachineId>),
    /// A rental request's name.
    Hire(String),
    /// Progress of a job.
    Progress(JobId, u32),
    /// How often tasks of a chunk have failed.
    Failures(JobId, u32),
    /// A task's attempts are used up: the job has failed.
    Fail(JobId, u32),
    /// Nothing is left of a cancelled job.
    Settle(JobId),
    /// Machines of the record with this key are gone.
    Forget(String),
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
    pub heard: &'a [(MachineId, Micros)],
    /// Machines of others whose workers report to it.
    pub strangers: &'a [MachineId],
    /// Hand-outs that were decided on.
    pub outcomes: &'a [Outcome],
}

impl<'a> View<'a> {
    /// What a `Sync` says, and to the leader of which term; `None` of any other
    /// message.
    pub fn of(m: &'a Message) -> Option<(u64, View<'a>)> {
        let Message::Sync { term, seq, base, seen, machines, heard, strangers, outcomes } = m else {
            return None;
        };
        let (seq, base, seen) = (*seq, *base, *seen);
        Some((*term, View { seq, base, seen, machines, heard, strangers, outcomes }))
    }
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
    queues: BTreeMap<Rank, FairQueue>,
    nodes: Vec<Node>,
    machines: BTreeMap<MachineId, Machine>,
    /// Deleted machines, when, and the update that first tells of it.
    gone: BTreeMap<MachineId, (Micros, u64)>,
    /// Number of the last update sent to anybody.
    version: u64,
    /// Deletions told before this are forgotten.
    forgotten: u64,
    jobs: BTreeMap<JobId, Run>,
    aborted: BTreeMap<JobId, Micros>,
    /// Hand-outs whose outcome is not known, and the change of the books that
    /// has to be at the witnesses before they go.
    handouts: BTreeMap<Attempt, (NodeId, HandOut, u64)>,
    books: Ledgers,
    /// The books of before are waited for.
    wants_books: bool,
    /// Jobs that wait for the end of the one that they replace.
    held: BTreeSet<JobId>,
    /// Tasks that are handed out and whose place is not known.
    handed: BTreeSet<TaskId>,
    /// The blocks as sets, made when they are needed.
    blocks: BTreeMap<NodeId, Rc<BTreeSet<MachineId>>>,
    /// Bound tasks: what teams use of CPUs and GPUs, and how many are of arrays.
    sums: Sums,
    stops: BTreeMap<(TaskId, Attempt), (StopRequest, Micros)>,
    hires: BTreeMap<String, (HireRequest, HireStage, Micros)>,
    refused: BTreeMap<(String, String, bool), Micros>,
    /// Zones, as far as they are heard.
    health: Health,
    /// When the ways to the zones opened.
    ways: Ways,
    /// Arrays of which more is done than was recorded when last looked at.
    progressed: BTreeSet<JobId>,
    /// Machines with room, in order.
    rooms: room::Rooms,
    /// Jobs that wait, in order; `requeue`: some began to wait since.
    waiting: schedule::Waiting,
    requeue: bool,
    /// Something changed: schedule.
    pub dirty: bool,
    fleet_at: Micros,
    measured: Micros,
    listed: Micros,
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
        let (record, stamp_of) = ledger.books.clone();
        let books = Ledgers::new(term, ctx.me, ctx.names.clone(), ctx.zones.clone(), record, stamp_of);
        let mut l = Leader {
            term,
            ctx,
            epoch: 0,
            began: now,
            began_ms: wall_ms,
            began_stamp: stamp,
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
            wants_books: ledger.books.0.term > 0 && !ledger.books.0.nodes.is_empty(),
            held: BTreeSet::new(),
            handed: BTreeSet::new(),
            blocks: BTreeMap::new(),
            sums: Sums::default(),
            stops: BTreeMap::new(),
            hires: BTreeMap::new(),
            refused: BTreeMap::new(),
            health: Health::default(),
            ways: Ways::default(),
            progressed: BTreeSet::new(),
            rooms: room::Rooms::default(),
            waiting: schedule::Waiting::default(),
            requeue: true,
            dirty: true,
            fleet_at: now,
            measured: now,
            listed: Micros(0),
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
                Phase::Aborted if ago > l.ctx.cancel || job.settled => {}
                Phase::Aborted => drop(l.aborted.insert(*id, now - ago)),
                _ => l.job_changed(*id, ledger, now),
            }
        }
        info!("leading term {term}: {} machines, {} active jobs", l.machines.len(), l.jobs.len());
        l
    }

    /// Compares what is kept as things change with a fresh count: for tests.
    pub fn check_sums(&self) -> Result<(), String> {
        let mut sums = Sums::default();
        let mut handed = BTreeSet::new();
        let mut on: BTreeMap<&MachineId, BTreeSet<TaskId>> = BTreeMap::new();
        for (job, r) in &self.jobs {
            for (index, b) in &r.bound {
                let task = TaskId { job: *job, index: *index };
                sums.bound(&r.spec);
                if b.handed.is_some() {
                    handed.insert(task);
                }
                for id in &b.on {
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
        self.check_rooms()?;
        if handed != self.handed {
            return Err(format!("handed: {:?} kept, {handed:?} counted", self.handed));
        }
        for (id, m) in &self.machines {
            let counted = on.remove(id).unwrap_or_default();
            if m.bound != counted {
                return Err(format!("bound to {id}: {:?} kept, {counted:?} counted", m.bound));
            }
            if !m.stale && m.used != schedule::used(m, &self.jobs) {
                return Err(format!("used of {id}: {:?} kept", m.used));
            }
        }
        Ok(())
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
        self.requeue = true;
        match job.phase {
            Phase::Active => {
                if !job.done.is_empty() {
                    self.progressed.insert(id);
                }
                let Some(spec) = &job.spec else { return };
                match self.jobs.get_mut(&id) {
                    None => {
                        if !spec.after.is_empty() {
                            self.held.insert(id);
                        }
                        self.jobs.insert(id, Run::new(job, spec.clone(), &self.ctx.objectives));
                    }
                    Some(run) => run.recorded(job, spec),
                }
            }
            Phase::Aborted if job.settled => {}
            Phase::Aborted => {
                self.aborted.entry(id).or_insert(now);
                self.stops_at = Micros(0);
            }
            Phase::Done => {}
        }
        if job.phase != Phase::Active
            && let Some(run) = self.jobs.get_mut(&id)
        {
            run.over = true;
        }
    }

    /// Lets go of jobs that wait for the end of the one that they replace.
    fn release(&mut self, ledger: &Ledger, now: Micros) {
        let free = |id: &JobId| {
            let run = self.jobs.get(id);
            run.is_none_or(|r| r.spec.after.iter().all(|a| self.gone_for_good(*a, ledger, now)))
        };
        let free: Vec<JobId> = self.held.iter().filter(|id| free(id)).copied().collect();
        for id in free {
            self.held.remove(&id);
            self.dirty = true;
            self.requeue = true;
            if let Some(run) = self.jobs.get_mut(&id) {
                run.held = false;
            }
        }
    }

    /// Whether nothing of a job is on any machine, nor can come there: it is
    /// over, no task of it is bound, and if it was cancelled, that is settled,
    /// or so long ago that the machines where it could be are gone.
    fn gone_for_good(&self, id: JobId, ledger: &Ledger, now: Micros) -> bool {
        if self.jobs.get(&id).is_some_and(|r| !r.bound.is_empty()) {
            return false;
        }
        let Some(job) = ledger.jobs.get(&id) else { return true };
        let long_ago = job.ended_ms + self.ctx.cancel.0 / 1000 + 2000 < self.wall_ms(now);
        match job.phase {
            Phase::Active => false,
            Phase::Done => true,
            Phase::Aborted => job.settled || long_ago,
        }
    }

    /// Messages that are due.
    pub fn messages(&mut self, now: Micros, lease_ok: bool) -> Vec<(NodeId, Message)> {
        let mut out = Vec::new();
        for (n, id, addr) in std::mem::take(&mut self.probes) {
            out.push((n, Message::Probe { id, addr }));
        }
        if !self.granted {
            return out;
        }
        if lease_ok {
            out.extend(self.books_messages(now));
        }
        for i in 0..self.nodes.len() {
            let to = NodeId(i as u8);
            let n = &self.nodes[i];
            if n.incarnation == 0 || n.heard.is_none_or(|t| now.since(t) > Micros::secs(5)) {
                continue;
            }
            let age = now.since(n.sent);
            let due = age >= Micros::millis(500)
                || n.dirty && age >= Micros::millis(15)
                || n.owed && age >= Micros::millis(100);
            if due {
                let m = self.update(to, now, lease_ok);
                out.push((to, m));
            }
        }
        out
    }

    /// What a controller has not acknowledged of the leader's orders.
    fn update(&mut self, to: NodeId, now: Micros, lease_ok: bool) -> Message {
        if now.since(self.counted) >= Micros::millis(300) {
            self.counted = now;
            self.count_running();
        }
        self.version += 1;
        let seq = self.version;
        let node = &mut self.nodes[to.0 as usize];
        node.sent = now;
        node.dirty = false;
        node.owed = false;
        let base = if node.seen < self.forgotten { 0 } else { node.seen };
        let (incarnation, ack) = (node.incarnation, node.sync_seq);
        let mut block = Vec::new();
        let mut elsewhere = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| base == 0 || m.stamp > base) {
            if m.holder == Some(to) {
                let draining = m.draining.is_some() || m.stage == Stage::Deleting;
                block.push(GrantedMachine { id: id.clone(), baton: m.baton, addr: m.addr.clone(), draining });
            } else {
                elsewhere.push((id.clone(), m.holder));
            }
        }
        let gone = self.gone.iter().filter(|(_, (_, stamp))| base > 0 && *stamp > base);
        elsewhere.extend(gone.map(|(id, _)| (id.clone(), None)));
        let held = |id: &MachineId| self.machines.get(id).is_some_and(|m| m.holder == Some(to));
        // Without a confirmed lease nothing is handed out or renewed.
        // Nor is anything that a witness may not know of.
        let covered = self.books.covered().unwrap_or(0);
        let open = self.handouts.values().filter(|(x, _, at)| *x == to && lease_ok && *at <= covered);
        let open: Vec<(HandOut, u64)> = open.map(|(_, h, at)| (h.clone(), *at)).collect();
        if let Some(at) = open.iter().map(|(_, at)| *at).max() {
            self.books.release(at);
        }
        let running = self.jobs.iter().filter(|(_, r)| r.shown.1 > base);
        Message::Update {
            term: self.term,
            seq,
            base,
            incarnation,
            ack,
            lease: if lease_ok { self.ctx.operator.block_lease } else { Micros(0) },
            block,
            elsewhere,
            handouts: open.into_iter().map(|(h, _)| h).collect(),
            stops: self.stops.values().filter(|(r, _)| held(&r.machine)).map(|(r, _)| r.clone()).collect(),
            running: running.map(|(id, r)| (*id, r.shown.0)).collect(),
        }
    }

    /// Numbers of running tasks, for display.
    fn count_running(&mut self) {
        for r in self.jobs.values_mut() {
            let n = r.bound.keys().filter(|i| !r.done.contains(**i)).count() as u32;
            if n != r.shown.0 {
                r.shown = (n, self.version + 1);
            }
        }
    }

    /// What controllers are told of a machine changed.
    fn tell(&mut self, id: &MachineId) {
        let stamp = self.version + 1;
        self.blocks.clear();
        if let Some(m) = self.machines.get_mut(id) {
            m.stamp = stamp;
            if let Some(n) = m.holder.and_then(|h| self.nodes.get_mut(h.0 as usize)) {
                n.dirty = true;
            }
        }
    }
}
