//! A machine as the leader knows it. Invariant: tasks may be assigned only to a machine that
//! is recorded and whose holder has received a report under the grant's token
//! (`Machine::usable`).
use super::*;

/// Lifecycle stage of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Rented; no report was received yet.
    Booting,
    /// It has reported, or an earlier term recorded it.
    Up,
    /// Being deleted; its tasks stay bound until the cloud confirms the deletion.
    Deleting,
}

/// The leader's state of one machine.
#[derive(Debug)]
pub struct Machine {
    /// Machine type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    pub(super) addr: String,
    pub(super) size: Resources,
    /// Lifecycle stage.
    pub stage: Stage,
    pub(super) since: Micros,
    pub(super) recorded: bool,
    /// A write of its record is pending.
    pub(super) recording: bool,
    /// Recorded before this term: it may hold tasks that no controller has reported yet.
    pub(super) unknown: bool,
    pub(super) holder: Option<NodeId>,
    pub(super) last_holder: Option<NodeId>,
    pub(super) baton: Baton,
    /// The last token under which its complete task list was received.
    pub(super) task_list_token: Baton,
    /// The holder has received a report under `baton`, so its task list is complete.
    pub(super) confirmed: bool,
    pub(super) tasks: BTreeMap<TaskId, (Attempt, TaskState)>,
    pub(super) started: BTreeMap<TaskId, Micros>,
    pub(super) reserved: BTreeMap<Attempt, Resources>,
    /// Resources that its tasks use; `stale` if the tasks changed since it was computed.
    pub(super) used: Resources,
    pub(super) stale: bool,
    /// Tasks that are bound to it.
    pub(super) bound: BTreeSet<TaskId>,
    pub(super) heard: Option<Micros>,
    /// The newest report of its worker that any controller forwarded, and which controller.
    pub(super) newest: ReportNo,
    pub(super) newest_from: Option<NodeId>,
    pub(super) hearing: deaf::Hearing,
    pub(super) held_heard: Micros,
    pub(super) moved_at: Micros,
    pub(super) granted_at: Micros,
    pub(super) warning: Option<Micros>,
    /// The first update that contains its last change.
    pub(super) stamp: u64,
    pub(super) idle_since: Option<Micros>,
    /// Its position in the index of machines with free capacity.
    pub(super) placed: Option<room::Placed>,
    pub(super) draining: Option<&'static str>,
    /// Failures on it since a task last ran well there, by job.
    pub(super) failed_jobs: BTreeMap<JobId, u32>,
    pub(super) failures: u32,
    pub(super) images: BTreeSet<String>,
    pub(super) probed: Option<Micros>,
    pub(super) reserved_priority: Option<(Rank, Micros)>,
    /// The job that free capacity is accumulated for on it, and until when.
    pub(super) gathers: Option<(JobId, Micros)>,
    pub(super) want_baton: bool,
    pub(super) delete_sent_at: Option<Micros>,
    /// CPU time that tasks used on it, in thousandths of a CPU times microseconds.
    pub(super) busy: u128,
    pub(super) born: Micros,
}

impl Machine {
    /// Whether its type, zone, kind (spot or not) and size allow a task of such a job.
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        spec.allows(&self.build, &self.zone, self.spot, &self.size)
    }
    pub(super) fn new(rec: &MachineRecord, size: Resources, stage: Stage, now: Micros) -> Self {
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
            task_list_token: Baton(0),
            confirmed: false,
            tasks: BTreeMap::new(),
            started: BTreeMap::new(),
            reserved: BTreeMap::new(),
            used: Resources::default(),
            stale: true,
            bound: BTreeSet::new(),
            heard: None,
            newest: ReportNo::default(),
            newest_from: None,
            hearing: deaf::Hearing::new(now),
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
            reserved_priority: None,
            gathers: None,
            want_baton: false,
            delete_sent_at: None,
            busy: 0,
            born: now,
        }
    }
    /// The content of its record.
    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            build: self.build.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
        }
    }
    pub(super) fn free(&self) -> Resources {
        self.reserved.values().fold(self.size.minus(self.used), |f, r| f.minus(*r))
    }
    /// Whether a report forwarded by `from` is new: neither a copy of one that another
    /// controller forwarded, nor a delayed one.
    pub(super) fn is_new_report(&mut self, report: ReportNo, from: NodeId) -> bool {
        if report > self.newest {
            (self.newest, self.newest_from) = (report, Some(from));
            return true;
        }
        report == self.newest && self.newest_from == Some(from)
    }
    /// Records that a controller received a report at `at`. From its holder, that proves that
    /// the network path between them is open. Copies of reports prove nothing.
    pub(super) fn record_contact(&mut self, at: Micros, from: NodeId, report: ReportNo) {
        if !self.is_new_report(report, from) {
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
    /// Whether tasks may be assigned to it; `contact` says which controllers are in contact.
    pub(super) fn open(&self, contact: &[bool], now: Micros) -> bool {
        self.is_reachable(contact)
            && now >= self.hearing.trusted_at
            && self.heard.is_some_and(|t| now.since(t) < Micros::secs(4))
    }
    /// Whether it is usable and its holder is in contact.
    pub(super) fn is_reachable(&self, contact: &[bool]) -> bool {
        self.usable() && self.holder.is_some_and(|h| contact.get(h.0 as usize) == Some(&true))
    }
    /// The job that free capacity is accumulated for on it now.
    pub(super) fn accumulating_job(&self, now: Micros) -> Option<JobId> {
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
            && self.hearing.obeys
            && self.warning.is_none()
    }
}
