//! The placement log: where each bound task may be. The leader replicates it to standby
//! replicas at other controllers, so that the next leader knows what may run on machines
//! from which it receives no heartbeats.
//!
//! Invariants:
//! - An assignment leaves the leader only after every recorded replica, and every replica
//!   that a pending write of the record may name, has acknowledged a log that contains it
//!   (`PlacementLog::covered`). Every other change only removes places of a task, or adds
//!   places on machines that the log lists as unknown, so it may arrive late.
//! - A controller is recorded as a replica only after it has acknowledged everything that
//!   left the leader before (`PlacementLog::released`).
//! - The set of replicas is a record of the state service that only the leader writes, on
//!   the condition that it still holds the leader key. In a term without that record no
//!   task is assigned.
//! - A record is valid for the next leader only if every leader since has written its term
//!   into it with the transaction that made it leader (`last_leader_term`).
//!
//! So the log of any single replica, read after the old leader's lease ended, contains all
//! places where a task may be (`docs/safety.md`).
use crate::peer::pacing::Pacer;
use borsh::{BorshDeserialize, BorshSerialize};
use gorseshore_protocol::ids::{Attempt, MachineId, Micros, NodeId, TaskId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes that the leader keeps; a replica that is further behind gets a full update.
const MAX_LOGGED_CHANGES: usize = 20_000;
/// A replica whose acknowledgement is due for longer than this is removed from the record.
const ACK_TIMEOUT: Micros = Micros::millis(700);
/// The last replica stays on record for this long, unless its process has exited: a leader
/// that is partitioned from all other controllers steps down sooner, and its successor
/// needs the log as it was at that moment.
const LAST_REPLICA_TIMEOUT: Micros = Micros::secs(4);
/// Unacknowledged changes are sent again after this.
const RETRY_INTERVAL: Micros = Micros::millis(200);
/// An unacknowledged full update is sent again after this.
const FULL_UPDATE_RETRY_INTERVAL: Micros = Micros::millis(900);
/// Minimum interval between updates of which an assignment waits for the acknowledgement.
const ASSIGNMENT_UPDATE_INTERVAL: Micros = Micros::millis(10);
/// Minimum interval between updates with other changes, which may arrive late.
const DEFERRED_UPDATE_INTERVAL: Micros = Micros::millis(400);
/// A replica that keeps up acknowledges within this.
const ACK_WINDOW: Micros = Micros::millis(200);
const MAX_REPLICAS: usize = 3;

/// Where a bound task may be.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PlacementEntry {
    /// Its attempt.
    pub attempt: Attempt,
    /// Machines on which it may be.
    pub machines: Vec<MachineId>,
    /// A start command to one of them may still be in flight.
    pub starting: bool,
    /// It is done, and the state service has no record of that yet: it must not run again.
    pub done: bool,
    /// It is assigned to a controller that has not reported an outcome: the machine that the
    /// leader reserved capacity on, and the zone if the assignment names one. It may be on
    /// any machine of that zone, or on any machine at all.
    pub unresolved_assignment: Option<(MachineId, Option<String>)>,
}

/// An update of the log as it is sent: what changed since `base`.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct LogUpdate {
    /// The leader's term.
    pub term: u64,
    /// Sequence number of the last change in it.
    pub seq: u64,
    /// The change that the receiver has acknowledged; 0: this is the whole log.
    pub base: u64,
    /// Tasks that changed; `None`: bound nowhere.
    pub tasks: Vec<(TaskId, Option<PlacementEntry>)>,
    /// Machines that may hold any task: recorded before the term, with no heartbeat in it yet.
    pub unknown_machines: Vec<MachineId>,
}

/// The standby replicas of the placement log, as recorded in the state service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandbyReplicas {
    /// The term whose log they hold; 0: there is no replica.
    pub term: u64,
    /// The last term whose leader wrote this record when it was elected.
    #[serde(rename = "led")]
    pub last_leader_term: u64,
    /// Names and incarnations of the replicas.
    pub nodes: Vec<(String, u64)>,
}

impl StandbyReplicas {
    /// What the leader of `term` writes when it takes the leader key. The earlier log stays
    /// valid only if no term in between failed to write this record.
    pub fn for_new_term(&self, term: u64) -> StandbyReplicas {
        match self.last_leader_term + 1 == term {
            true => StandbyReplicas { last_leader_term: term, ..self.clone() },
            false => StandbyReplicas { term: 0, last_leader_term: term, nodes: Vec::new() },
        }
    }
}

/// The replicas that this controller holds for leaders, by term.
#[derive(Debug, Default)]
pub struct LogReplicas {
    by_term: BTreeMap<u64, LogReplica>,
}

/// A replica of one term's log.
#[derive(Debug, Clone, Default)]
pub struct LogReplica {
    seq: u64,
    /// Bound tasks.
    pub tasks: BTreeMap<TaskId, PlacementEntry>,
    /// Machines that may hold any task.
    pub unknown_machines: BTreeSet<MachineId>,
}

impl LogReplica {
    /// The whole replica as a full update.
    pub fn full_update(&self, term: u64) -> LogUpdate {
        LogUpdate {
            term,
            seq: self.seq,
            base: 0,
            tasks: self.tasks.iter().map(|(t, e)| (*t, Some(e.clone()))).collect(),
            unknown_machines: self.unknown_machines.iter().cloned().collect(),
        }
    }
    /// A replica from a full update; `None` if the update is incremental.
    pub fn from_full_update(update: LogUpdate) -> Option<LogReplica> {
        let mut replica = LogReplica::default();
        (update.base == 0).then(|| replica.apply(update))?;
        Some(replica)
    }
    /// Applies an update and returns the sequence number to acknowledge. An update that
    /// builds on changes that are missing here is ignored, and what was applied before is
    /// acknowledged again.
    fn apply(&mut self, update: LogUpdate) -> u64 {
        if update.seq <= self.seq || update.base > self.seq {
            return self.seq;
        }
        if update.base == 0 {
            self.tasks.clear();
        }
        for (task, entry) in update.tasks {
            match entry {
                Some(e) => self.tasks.insert(task, e),
                None => self.tasks.remove(&task),
            };
        }
        self.unknown_machines = update.unknown_machines.into_iter().collect();
        self.seq = update.seq;
        self.seq
    }
}

impl LogReplicas {
    /// Applies an update to the replica of its term; the sequence number to acknowledge.
    pub fn apply(&mut self, update: LogUpdate) -> u64 {
        self.by_term.entry(update.term).or_default().apply(update)
    }
    /// The replica of a term, if there is one.
    pub fn get(&self, term: u64) -> Option<&LogReplica> {
        self.by_term.get(&term).filter(|r| r.seq > 0)
    }
    /// All replicas, the earliest term first.
    pub fn iter(&self) -> impl Iterator<Item = &LogReplica> {
        self.by_term.values().filter(|r| r.seq > 0)
    }
    /// Removes replicas of terms before the recorded one, which no leader can use any more.
    pub fn remove_before(&mut self, term: u64) {
        self.by_term.retain(|t, _| *t >= term);
    }
}

/// How far a controller has received and acknowledged the log.
#[derive(Debug, Clone)]
struct ReplicaProgress {
    incarnation: u64,
    acked: u64,
    sent: u64,
    pacer: Pacer,
    /// Since when an acknowledgement is due.
    ack_due_since: Option<Micros>,
}

impl ReplicaProgress {
    /// Of a process that has received nothing.
    fn new(incarnation: u64) -> Self {
        ReplicaProgress { incarnation, acked: 0, sent: 0, pacer: Pacer::new(ACK_WINDOW), ack_due_since: None }
    }
}

/// The leader's side: the log of changes, the progress of each replica, and their record.
#[derive(Debug)]
pub struct PlacementLog {
    term: u64,
    /// The leader's own id, and all controllers' names and zones.
    node_id: NodeId,
    names: Vec<String>,
    zones: Vec<String>,
    /// Sequence number of the last change.
    seq: u64,
    changes: VecDeque<(u64, TaskId)>,
    /// Changes up to this one are no longer in `changes`.
    truncated_to: u64,
    progress: Vec<ReplicaProgress>,
    /// The record as last seen, and its revision.
    record: StandbyReplicas,
    revision: u64,
    /// Records sent to be written over that revision, each of which may yet be committed.
    pending_records: Vec<StandbyReplicas>,
    write_pending: bool,
    write_sent_at: Micros,
    /// Since when the record has no replica that keeps up.
    no_replica_since: Option<Micros>,
    /// The last change that an assignment waits for.
    awaited: u64,
    /// The last change that left with an assignment. A controller that lacks it, or any
    /// change before it, can't become a replica.
    released: u64,
    /// Acknowledgements or the record advanced, so that waiting assignments may be sent.
    pub coverage_changed: bool,
}

impl PlacementLog {
    /// For a term; `record` and its `revision` as the leader's state replica has them.
    pub fn new(
        term: u64,
        node_id: NodeId,
        names: Vec<String>,
        zones: Vec<String>,
        record: StandbyReplicas,
        revision: u64,
    ) -> Self {
        PlacementLog {
            term,
            node_id,
            progress: vec![ReplicaProgress::new(0); names.len()],
            names,
            zones,
            // The empty log is sent as an update, too.
            seq: 1,
            changes: VecDeque::new(),
            truncated_to: 1,
            record,
            revision,
            pending_records: Vec::new(),
            write_pending: false,
            write_sent_at: Micros(0),
            no_replica_since: None,
            awaited: 1,
            released: 1,
            coverage_changed: false,
        }
    }

    /// Logs that a task's places changed; the sequence number of the change.
    pub fn record_change(&mut self, task: TaskId) -> u64 {
        self.seq += 1;
        self.changes.push_back((self.seq, task));
        if self.changes.len() > MAX_LOGGED_CHANGES
            && let Some((seq, _)) = self.changes.pop_front()
        {
            self.truncated_to = seq;
        }
        self.seq
    }

    /// Logs that a task was assigned; the change that all replicas have to acknowledge
    /// before the assignment is sent.
    pub fn record_assignment(&mut self, task: TaskId) -> u64 {
        self.awaited = self.record_change(task);
        self.awaited
    }

    /// Takes over the record as the state replica shows it now. A revision that is not newer
    /// than the known one is ignored.
    pub fn update_record(&mut self, record: &StandbyReplicas, revision: u64) {
        if revision > self.revision {
            self.record = record.clone();
            self.revision = revision;
            self.pending_records.clear();
            self.coverage_changed = true;
        }
    }

    /// The record as last seen.
    pub fn record(&self) -> &StandbyReplicas {
        &self.record
    }

    /// An assignment logged by this change leaves the leader.
    pub fn mark_released(&mut self, at: u64) {
        self.released = self.released.max(at);
    }

    /// Whether this term's replicas are recorded.
    pub fn is_recorded(&self) -> bool {
        self.record.term == self.term
    }

    /// A recorded replica by its node, if its name is known.
    fn resolve(&self, (name, incarnation): &(String, u64)) -> Option<(NodeId, u64)> {
        self.names.iter().position(|n| n == name).map(|i| (NodeId(i as u8), *incarnation))
    }

    /// The progress of exactly this incarnation.
    fn progress_of(&self, (n, incarnation): (NodeId, u64)) -> Option<&ReplicaProgress> {
        self.progress.get(n.0 as usize).filter(|r| r.incarnation == incarnation)
    }

    /// The last change that all replicas have acknowledged, including those that a pending
    /// write of the record may name. `None` before the first record.
    pub fn covered(&self) -> Option<u64> {
        if !self.is_recorded() {
            return None;
        }
        let all = self.pending_records.iter().chain([&self.record]).flat_map(|w| w.nodes.iter());
        let acked = all.map(|w| self.resolve(w).and_then(|n| self.progress_of(n)).map_or(0, |r| r.acked));
        Some(acked.min().unwrap_or(u64::MAX))
    }

    /// A controller acknowledged the log up to `seq`.
    pub fn acknowledged(&mut self, from: NodeId, incarnation: u64, seq: u64, now: Micros) {
        let Some(r) = self.progress.get_mut(from.0 as usize) else { return };
        if r.incarnation != incarnation || seq <= r.acked || seq > self.seq {
            return;
        }
        self.coverage_changed |= r.acked < self.awaited;
        r.acked = seq;
        r.pacer.acknowledged(seq, now);
        r.ack_due_since = (r.sent > seq).then_some(now);
    }

    /// The controllers that should be replicas: from as many zones as there are among those
    /// in contact, preferring zones other than the leader's.
    fn choose_replicas(&self, in_contact: &[(NodeId, u64)]) -> Vec<(NodeId, u64)> {
        let mut chosen: Vec<(NodeId, u64)> = Vec::new();
        let zone = |n: NodeId| self.zones.get(n.0 as usize).map_or("", |z| z.as_str());
        while chosen.len() < MAX_REPLICAS {
            let candidates =
                in_contact.iter().filter(|(n, _)| *n != self.node_id && !chosen.iter().any(|(c, _)| c == n));
            let next = candidates.min_by_key(|(n, inc)| {
                let same_zone = chosen.iter().filter(|(c, _)| zone(*c) == zone(*n)).count();
                let leader_zone = zone(*n) == zone(self.node_id);
                // A controller that has the log already is preferred to one that needs it.
                let new = self.progress_of((*n, *inc)).is_none_or(|r| r.acked == 0);
                (same_zone + leader_zone as usize, new, *n)
            });
            match next {
                Some(n) => chosen.push(*n),
                None => break,
            }
        }
        chosen
    }

    /// Updates that are due: (receiver, base that its update builds on).
    pub fn due_updates(&mut self, in_contact: &[(NodeId, u64)], now: Micros) -> Vec<(NodeId, u64)> {
        let mut due = Vec::new();
        let mut receivers = self.choose_replicas(in_contact);
        // Assignments wait for every controller that may be recorded.
        let on_record = self.pending_records.iter().chain([&self.record]).filter(|w| w.term == self.term);
        for node in on_record.flat_map(|w| w.nodes.iter()).filter_map(|w| self.resolve(w)) {
            if in_contact.contains(&node) && !receivers.contains(&node) {
                receivers.push(node);
            }
        }
        for (n, incarnation) in receivers {
            let Some(r) = self.progress.get_mut(n.0 as usize) else { continue };
            if r.incarnation != incarnation {
                *r = ReplicaProgress::new(incarnation);
            }
            let retry_interval = if r.acked == 0 { FULL_UPDATE_RETRY_INTERVAL } else { RETRY_INTERVAL };
            let interval =
                if self.awaited > r.sent { ASSIGNMENT_UPDATE_INTERVAL } else { DEFERRED_UPDATE_INTERVAL };
            let changes_due =
                self.seq > r.sent && r.pacer.may_send(interval, now) && (r.acked > 0 || r.sent == 0);
            let retry_due = r.acked < r.sent && r.pacer.may_send(retry_interval, now);
            if !changes_due && !retry_due {
                continue;
            }
            let base = if r.acked < self.truncated_to { 0 } else { r.acked };
            r.sent = self.seq;
            r.pacer.sent(self.seq, now);
            r.ack_due_since.get_or_insert(now);
            due.push((n, base));
        }
        due
    }

    /// Tasks that changed after `base`; `None` if a full update is needed.
    pub fn changed_since(&self, base: u64) -> Option<BTreeSet<TaskId>> {
        (base > 0)
            .then(|| self.changes.iter().rev().take_while(|(s, _)| *s > base).map(|(_, t)| *t).collect())
    }

    /// Sequence number of the last change.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// A record that should be written now, and the known revision that it replaces.
    /// `exited` are controllers whose hosts report that their process has exited.
    pub fn due_record(
        &mut self,
        in_contact: &[(NodeId, u64)],
        exited: &[NodeId],
        term_start: Micros,
        now: Micros,
    ) -> Option<(StandbyReplicas, u64)> {
        if self.write_pending || now.since(self.write_sent_at) < Micros::millis(150) {
            return None;
        }
        let keeps_up = |n: &(NodeId, u64)| {
            self.progress_of(*n).is_some_and(|r| {
                let overdue = r.ack_due_since.is_some_and(|t| now.since(t) > ACK_TIMEOUT);
                r.acked >= self.released && !overdue
            })
        };
        let chosen = self.choose_replicas(in_contact);
        let healthy: Vec<(NodeId, u64)> = chosen.iter().filter(|n| keeps_up(n)).copied().collect();
        // The first record waits up to 400 ms for controllers that are receiving the log.
        if !self.is_recorded() && healthy.len() < chosen.len() && now.since(term_start) < Micros::millis(400)
        {
            return None;
        }
        let name = |(n, inc): &(NodeId, u64)| Some((self.names.get(n.0 as usize)?.clone(), *inc));
        let mut nodes: Vec<(String, u64)> = healthy.iter().filter_map(name).collect();
        nodes.sort();
        let desired = StandbyReplicas { term: self.term, last_leader_term: self.term, nodes };
        // Equally suitable controllers are not worth a new record: a replica is removed only when
        // it fails, and added only when there are too few.
        let unchanged = self.is_recorded() && {
            let valid =
                |w: &(String, u64)| self.resolve(w).is_some_and(|n| in_contact.contains(&n) && keeps_up(&n));
            self.record.nodes.iter().all(valid) && self.record.nodes.len() >= desired.nodes.len()
        };
        if unchanged && self.pending_records.is_empty() {
            self.no_replica_since = None;
            return None;
        }
        let may_be_running = |w: &(String, u64)| {
            self.resolve(w).is_some_and(|(n, inc)| {
                let restarted = in_contact.iter().any(|(m, i)| *m == n && *i != inc);
                !restarted && !exited.contains(&n)
            })
        };
        if self.is_recorded() && desired.nodes.is_empty() && self.record.nodes.iter().any(may_be_running) {
            if now.since(*self.no_replica_since.get_or_insert(now)) < LAST_REPLICA_TIMEOUT {
                return None;
            }
        } else {
            self.no_replica_since = None;
        }
        if !self.pending_records.contains(&desired) {
            self.pending_records.push(desired.clone());
        }
        self.write_pending = true;
        self.write_sent_at = now;
        Some((desired, self.revision))
    }

    /// A write of the record returned. Its result is ignored: only what the state replica
    /// shows counts.
    pub fn write_ended(&mut self) {
        self.write_pending = false;
    }
}

#[cfg(test)]
mod tests;
