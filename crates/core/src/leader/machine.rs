//! A machine as the leader knows it. Invariant: tasks may be assigned only to a machine that
//! is recorded and whose holder has received a heartbeat under the grant's token
//! (`Machine::is_usable`).
use super::*;

/// Lifecycle stage of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Rented; no heartbeat was received yet.
    Booting,
    /// It has sent a heartbeat, or an earlier term recorded it.
    Up,
    /// Being deleted; its tasks stay bound until the cloud confirms the deletion.
    Deleting,
}

/// The leader's state of one machine.
#[derive(Debug)]
pub struct Machine {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    pub(super) addr: String,
    pub(super) size: Resources,
    /// Lifecycle stage.
    pub stage: Stage,
    pub(super) stage_since: Micros,
    pub(super) recorded: bool,
    /// A write of its record is pending.
    pub(super) recording: bool,
    /// Recorded before this term: it may hold tasks that no controller has reported yet.
    pub(super) tasks_unknown: bool,
    pub(super) holder: Option<NodeId>,
    pub(super) last_holder: Option<NodeId>,
    pub(super) fencing_token: FencingToken,
    /// The last token under which its complete task list was received.
    pub(super) task_list_token: FencingToken,
    /// The holder has received a heartbeat under `fencing_token`, so its task list is complete.
    pub(super) confirmed: bool,
    pub(super) tasks: BTreeMap<TaskId, (Attempt, TaskState)>,
    /// Tasks with an exited attempt that its worker still has.
    pub(super) exited: BTreeSet<TaskId>,
    pub(super) started: BTreeMap<TaskId, Micros>,
    pub(super) reserved: BTreeMap<Attempt, Resources>,
    /// Resources that its tasks use; `used_stale` if the tasks changed since it was computed.
    pub(super) used: Resources,
    pub(super) used_stale: bool,
    /// Tasks that are bound to it.
    pub(super) bound: BTreeSet<TaskId>,
    pub(super) last_contact: Option<Micros>,
    /// The newest heartbeat of its worker that any controller forwarded, and which controller.
    pub(super) newest_heartbeat: HeartbeatSeq,
    pub(super) newest_heartbeat_from: Option<NodeId>,
    pub(super) command_reachability: command_reachability::CommandReachability,
    pub(super) holder_contact: Micros,
    pub(super) holder_changed_at: Micros,
    pub(super) granted_at: Micros,
    pub(super) preemption_at: Option<Micros>,
    /// The first update that contains its last change.
    pub(super) changed_in: u64,
    pub(super) idle_since: Option<Micros>,
    /// Its position in the index of machines with free capacity.
    pub(super) index_entry: Option<capacity_index::IndexEntry>,
    pub(super) draining: Option<&'static str>,
    /// Failures on it since a task last ran well there, by job.
    pub(super) failed_jobs: BTreeMap<JobId, u32>,
    pub(super) failures: u32,
    pub(super) images: BTreeSet<String>,
    pub(super) probed_at: Option<Micros>,
    pub(super) reserved_priority: Option<(Priority, Micros)>,
    /// The job that free capacity is accumulated for on it, and until when.
    pub(super) accumulates_for: Option<(JobId, Micros)>,
    pub(super) needs_new_token: bool,
    pub(super) delete_sent_at: Option<Micros>,
    /// CPU time that tasks used on it, in thousandths of a CPU times microseconds.
    pub(super) used_cpu_time: u128,
    pub(super) first_known_at: Micros,
}

impl Machine {
    /// Whether its type, zone, kind (spot or not) and size allow a task of such a job.
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        spec.allows(&self.machine_type, &self.zone, self.spot, &self.size)
    }
    pub(super) fn new(rec: &MachineRecord, size: Resources, stage: Stage, now: Micros) -> Self {
        Machine {
            machine_type: rec.machine_type.clone(),
            zone: rec.zone.clone(),
            spot: rec.spot,
            addr: rec.addr.clone(),
            size,
            stage,
            stage_since: now,
            recorded: false,
            recording: false,
            tasks_unknown: false,
            holder: None,
            last_holder: None,
            fencing_token: FencingToken(0),
            task_list_token: FencingToken(0),
            confirmed: false,
            tasks: BTreeMap::new(),
            exited: BTreeSet::new(),
            started: BTreeMap::new(),
            reserved: BTreeMap::new(),
            used: Resources::default(),
            used_stale: true,
            bound: BTreeSet::new(),
            last_contact: None,
            newest_heartbeat: HeartbeatSeq::default(),
            newest_heartbeat_from: None,
            command_reachability: command_reachability::CommandReachability::new(now),
            holder_contact: Micros(0),
            holder_changed_at: Micros(0),
            granted_at: now,
            preemption_at: None,
            changed_in: 0,
            idle_since: None,
            index_entry: None,
            draining: None,
            failed_jobs: BTreeMap::new(),
            failures: 0,
            images: BTreeSet::new(),
            probed_at: None,
            reserved_priority: None,
            accumulates_for: None,
            needs_new_token: false,
            delete_sent_at: None,
            used_cpu_time: 0,
            first_known_at: now,
        }
    }
    /// The content of its record.
    pub fn record(&self) -> MachineRecord {
        MachineRecord {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            addr: self.addr.clone(),
        }
    }
    pub(super) fn free(&self) -> Resources {
        self.reserved.values().fold(self.size.saturating_sub(self.used), |f, r| f.saturating_sub(*r))
    }
    /// Whether a heartbeat forwarded by `from` is new: neither a copy of one that another
    /// controller forwarded, nor a delayed one.
    pub(super) fn is_new_heartbeat(&mut self, report: HeartbeatSeq, from: NodeId) -> bool {
        if report > self.newest_heartbeat {
            (self.newest_heartbeat, self.newest_heartbeat_from) = (report, Some(from));
            return true;
        }
        report == self.newest_heartbeat && self.newest_heartbeat_from == Some(from)
    }
    /// Records that a controller received a heartbeat at `at`; `None` if that was before this
    /// process's clock began. From its holder, that proves that the network path between them is
    /// open. Copies of heartbeats prove nothing.
    pub(super) fn record_contact(&mut self, at: Option<Micros>, from: NodeId, report: HeartbeatSeq) {
        let is_new = self.is_new_heartbeat(report, from);
        let Some(at) = at.filter(|_| is_new) else { return };
        if self.holder == Some(from) {
            self.holder_contact = self.holder_contact.max(at);
        }
        if self.last_contact.is_none_or(|t| at > t) {
            self.last_contact = Some(at);
            self.probed_at = None;
        }
    }
    /// Whether tasks may be assigned to it; `contact` says which controllers are in contact.
    pub(super) fn accepts_tasks(&self, contact: &[bool], now: Micros) -> bool {
        self.is_reachable(contact)
            && now >= self.command_reachability.trusted_at
            && self.tasks.len() + self.reserved.len() + self.exited.len() < MAX_REPORTED_TASKS
            && self.last_contact.is_some_and(|t| now.since(t) < Micros::secs(4))
    }
    /// Whether it is usable and its holder is in contact.
    pub(super) fn is_reachable(&self, contact: &[bool]) -> bool {
        self.is_usable() && self.holder.is_some_and(|h| contact.get(h.0 as usize) == Some(&true))
    }
    /// The job that free capacity is accumulated for on it now.
    pub(super) fn accumulating_job(&self, now: Micros) -> Option<JobId> {
        self.accumulates_for.filter(|(_, until)| now < *until).map(|(job, _)| job)
    }
    pub(super) fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.reserved.is_empty()
    }
    pub(super) fn is_usable(&self) -> bool {
        self.stage == Stage::Up
            && self.recorded
            && self.confirmed
            && self.draining.is_none()
            && self.command_reachability.acknowledges_commands
            && self.preemption_at.is_none()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a contact from before this process's clock began that counts as one at its
    /// start: a new leader assigned tasks to machines that had been silent for long.
    #[test]
    fn a_contact_from_before_the_clock_is_no_recent_one() {
        let record = MachineRecord {
            machine_type: "small".into(),
            zone: "east".into(),
            spot: false,
            addr: "127.0.0.1:1".into(),
        };
        // (age of the contact in seconds, time of the contact)
        let cases = [(1, Some(Micros::secs(1))), (2, Some(Micros(0))), (20, None)];
        for (age, expected) in cases {
            let now = Micros::secs(2);
            let mut m = Machine::new(&record, Resources::default(), Stage::Up, now);
            let report = HeartbeatSeq { agent_epoch: 1, sequence: 1 };
            m.record_contact(now.before(Micros::secs(age)), NodeId(0), report);
            assert_eq!(m.last_contact, expected, "{age}");
            assert_eq!(m.newest_heartbeat, report, "{age}");
        }
    }
}
