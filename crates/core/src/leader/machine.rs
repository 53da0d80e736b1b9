//! A machine as the leader knows it. Invariant: tasks may be handed only to one that is
//! recorded, whose holder has shown the grant's token (`Machine::usable`).
use super::*;

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
    pub(super) addr: String,
    pub(super) size: Resources,
    /// Stage of life.
    pub stage: Stage,
    pub(super) since: Micros,
    pub(super) recorded: bool,
    /// Its record is being written.
    pub(super) recording: bool,
    /// Recorded before this term: it may hold tasks that nobody told of yet.
    pub(super) unknown: bool,
    pub(super) holder: Option<NodeId>,
    pub(super) last_holder: Option<NodeId>,
    pub(super) baton: FencingToken,
    /// The last token under which its task list was seen whole.
    pub(super) task_list_token: FencingToken,
    /// The holder has seen a report under `baton`: its task list is whole.
    pub(super) confirmed: bool,
    pub(super) tasks: BTreeMap<TaskId, (Attempt, TaskState)>,
    pub(super) started: BTreeMap<TaskId, Micros>,
    pub(super) reserved: BTreeMap<Attempt, Resources>,
    /// What its tasks take; `stale` if they changed since it was added up.
    pub(super) used: Resources,
    pub(super) stale: bool,
    /// Tasks that are bound to it.
    pub(super) bound: BTreeSet<TaskId>,
    pub(super) heard: Option<Micros>,
    /// The newest report of its worker that anybody told of, and who.
    pub(super) newest: HeartbeatSeq,
    pub(super) newest_from: Option<NodeId>,
    pub(super) hearing: command_reachability::CommandReachability,
    pub(super) held_heard: Micros,
    pub(super) moved_at: Micros,
    pub(super) granted_at: Micros,
    pub(super) warning: Option<Micros>,
    /// The update that first tells of its last change.
    pub(super) stamp: u64,
    pub(super) idle_since: Option<Micros>,
    /// Its place among those with room.
    pub(super) placed: Option<capacity_index::IndexEntry>,
    pub(super) draining: Option<&'static str>,
    /// Failures since something ran well on it, by job.
    pub(super) failed_jobs: BTreeMap<JobId, u32>,
    pub(super) failures: u32,
    pub(super) images: BTreeSet<String>,
    pub(super) probed: Option<Micros>,
    pub(super) kept_for: Option<(Priority, Micros)>,
    /// Room is gathered on it for this job, until then.
    pub(super) gathers: Option<(JobId, Micros)>,
    pub(super) want_baton: bool,
    pub(super) delete_sent: Option<Micros>,
    /// CPU time that tasks took of it, in thousandths of a CPU times microseconds.
    pub(super) busy: u128,
    pub(super) born: Micros,
}

impl Machine {
    /// Whether a task of such a job may be on it, by type, zone, kind and size.
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        spec.allows(&self.build, &self.zone, self.spot, &self.size)
    }
    pub(super) fn new(rec: &MachineRecord, size: Resources, stage: Stage, now: Micros) -> Self {
        Machine {
            build: rec.machine_type.clone(),
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
            baton: FencingToken(0),
            task_list_token: FencingToken(0),
            confirmed: false,
            tasks: BTreeMap::new(),
            started: BTreeMap::new(),
            reserved: BTreeMap::new(),
            used: Resources::default(),
            stale: true,
            bound: BTreeSet::new(),
            heard: None,
            newest: HeartbeatSeq::default(),
            newest_from: None,
            hearing: command_reachability::CommandReachability::new(now),
            held_heard: Micros(0),
            moved_at: Micros(0),
            granted_at: now,
            warning: None,
            stamp: 0,
            idle_since: None,
            placed: None,
            draining: None,
            failed_jobs: BTreeMap::new(),
            failures: 0,
            images: BTreeSet::new(),
            probed: None,
            kept_for: None,
            gathers: None,
            want_baton: false,
            delete_sent: None,
            busy: 0,
            born: now,
        }
    }
    /// What a record of it says.
    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            machine_type: self.build.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
        }
    }
    pub(super) fn free(&self) -> Resources {
        self.reserved.values().fold(self.size.saturating_sub(self.used), |f, r| f.saturating_sub(*r))
    }
    /// Whether a report is news, told by `from`: not a copy of one that others told
    /// of, nor one that was held up.
    pub(super) fn is_news(&mut self, report: HeartbeatSeq, from: NodeId) -> bool {
        if report > self.newest {
            (self.newest, self.newest_from) = (report, Some(from));
            return true;
        }
        report == self.newest && self.newest_from == Some(from)
    }
    /// It was heard by a controller; `from` its holder, that is proof that the
    /// way between them is open. Copies of reports prove nothing.
    pub(super) fn heard_at(&mut self, at: Micros, from: NodeId, report: HeartbeatSeq) {
        if !self.is_news(report, from) {
            return;
        }
        if self.holder == Some(from) {
            self.held_heard = self.held_heard.max(at);
        }
        if self.heard.is_none_or(|t| at > t) {
            self.heard = Some(at);
            self.probed = None;
        }
    }
    /// Tasks may be handed to it; `contact` says which controllers are heard.
    pub(super) fn open(&self, contact: &[bool], now: Micros) -> bool {
        self.in_reach(contact)
            && now >= self.hearing.trusted_at
            && self.heard.is_some_and(|t| now.since(t) < Micros::secs(4))
    }
    /// It is in use and its holder is heard.
    pub(super) fn in_reach(&self, contact: &[bool]) -> bool {
        self.usable() && self.holder.is_some_and(|h| contact.get(h.0 as usize) == Some(&true))
    }
    /// The job that room is gathered for here.
    pub(super) fn gathers_for(&self, now: Micros) -> Option<JobId> {
        self.gathers.filter(|(_, until)| now < *until).map(|(job, _)| job)
    }
    pub(super) fn empty(&self) -> bool {
        self.tasks.is_empty() && self.reserved.is_empty()
    }
    pub(super) fn usable(&self) -> bool {
        self.stage == Stage::Up
            && self.recorded
            && self.confirmed
            && self.draining.is_none()
            && self.hearing.acknowledges_commands
            && self.warning.is_none()
    }
}
