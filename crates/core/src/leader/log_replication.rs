//! Replication of the leader's placement log to its standby replicas, and adoption of the
//! log of the earlier leader (see `crate::placement_log` for the invariants).
use super::assignments::{UnresolvedAssignment, first_candidate};
use super::*;
use crate::placement_log::{LogReplica, LogUpdate, PlacementEntry, StandbyReplicas};

impl Leader {
    /// Controllers that are in contact, with their incarnations.
    fn incarnations_in_contact(&self, now: Micros) -> Vec<(NodeId, u64)> {
        let nodes = self.nodes.iter().enumerate().map(|(i, n)| (NodeId(i as u8), n.incarnation));
        nodes.filter(|(n, incarnation)| *incarnation > 0 && self.in_contact(*n, now)).collect()
    }

    /// Log updates to the replicas that are due.
    pub(super) fn log_messages(&mut self, now: Micros) -> Vec<(NodeId, Message)> {
        if std::mem::take(&mut self.placement_log.coverage_changed) {
            // Assignments that waited for a replica's acknowledgement may be sent now.
            let covered = self.placement_log.covered().unwrap_or(0);
            for PendingAssignment { to: n, log_seq: at, .. } in self.pending_assignments.values() {
                if *at <= covered
                    && let Some(n) = self.nodes.get_mut(n.0 as usize)
                {
                    n.update_due = true;
                }
            }
        }
        let in_contact = self.incarnations_in_contact(now);
        let due = self.placement_log.due_updates(&in_contact, now);
        due.into_iter().map(|(n, base)| (n, Message::PlacementLogUpdate(self.log_update(base)))).collect()
    }

    /// The current places of all tasks that changed after `base`.
    fn log_update(&self, base: u64) -> LogUpdate {
        let entry = |task: &TaskId| {
            let run = self.jobs.get(&task.job)?;
            let done = run.unrecorded.contains(&task.index);
            let Some(b) = run.bound.get(&task.index) else {
                let done_entry = PlacementEntry {
                    attempt: Attempt(0),
                    machines: Vec::new(),
                    starting: false,
                    done,
                    unresolved_assignment: None,
                };
                return done.then_some(done_entry);
            };
            let unresolved = b.unresolved_assignment.as_ref().map(|h| {
                let zone = run.spec.has_zone_constraint().then(|| h.zone.clone());
                (h.preferred_machine.clone(), zone)
            });
            let starting = b.reported_on.iter().any(|id| {
                let state = self.machines.get(id).and_then(|m| m.tasks.get(task)).map(|t| t.1);
                state.is_none_or(|s| s == TaskState::Starting)
            });
            Some(PlacementEntry {
                attempt: b.attempt,
                machines: b.reported_on.iter().cloned().collect(),
                starting,
                done,
                unresolved_assignment: unresolved,
            })
        };
        let tasks = match self.placement_log.changed_since(base) {
            Some(tasks) => tasks.into_iter().map(|t| (t, entry(&t))).collect(),
            None => {
                let all = self.jobs.iter().flat_map(|(job, r)| {
                    let logged = r.bound.keys().chain(r.unrecorded.iter());
                    logged.map(|index| TaskId { job: *job, index: *index })
                });
                all.map(|t| (t, entry(&t))).collect()
            }
        };
        let unknown =
            self.machines.iter().filter(|(_, m)| m.tasks_unknown).map(|(id, _)| id.clone()).collect();
        LogUpdate { term: self.term, seq: self.placement_log.seq(), base, tasks, unknown_machines: unknown }
    }

    /// A replica acknowledged the log up to `seq`; whether waiting assignments may be sent.
    pub fn log_acknowledged(&mut self, from: NodeId, incarnation: u64, seq: u64, now: Micros) -> bool {
        self.placement_log.acknowledged(from, incarnation, seq, now);
        self.placement_log.coverage_changed
    }

    /// The record of replicas to write now, and the revision that it replaces. `exited` are
    /// controllers whose hosts report that their process has exited.
    pub fn due_replica_record(
        &mut self,
        state_replica: &StateReplica,
        exited: &[NodeId],
        now: Micros,
    ) -> Option<(StandbyReplicas, u64)> {
        self.placement_log.update_record(&state_replica.standby_replicas.0, state_replica.standby_replicas.1);
        if !self.grants_started {
            return None;
        }
        let in_contact = self.incarnations_in_contact(now);
        self.placement_log.due_record(&in_contact, exited, self.term_start, now)
    }

    /// The write of a record of replicas ended, whether it succeeded or not.
    pub fn replica_record_write_ended(&mut self) {
        self.placement_log.write_ended();
    }

    /// The record that names the replicas of the earlier leader's log, while this leader
    /// still waits for that log.
    pub fn wanted_log(&self) -> Option<&StandbyReplicas> {
        (!self.grants_started && self.awaits_log).then(|| self.placement_log.record())
    }

    /// Adopts the placement log of the earlier leader. It contains all places where a task
    /// may be, so a machine without a heartbeat in this term holds what the log says and
    /// nothing else.
    pub fn adopt_log(&mut self, term: u64, log: &LogReplica, state_replica: &StateReplica) {
        if self.grants_started || !self.awaits_log || self.placement_log.record().term != term {
            return;
        }
        self.awaits_log = false;
        for (id, m) in self.machines.iter_mut() {
            m.tasks_unknown = log.unknown_machines.contains(id);
        }
        let mut adopted = 0;
        // Tasks that may be on any machine of the same zone, or on any machine, share one set.
        let mut blocks: BTreeMap<&Option<String>, Rc<BTreeSet<MachineId>>> = BTreeMap::new();
        for (task, e) in &log.tasks {
            let job = state_replica.jobs.get(&task.job);
            let Some((job, spec)) = job.and_then(|j| Some((j, j.spec.clone()?))) else { continue };
            if e.done && job.phase == Phase::Active && !job.done.contains(task.index) {
                let objectives = &self.config.objectives;
                let run =
                    self.jobs.entry(task.job).or_insert_with(|| JobRun::new(job, spec.clone(), objectives));
                run.done.insert(task.index);
                run.unrecorded.insert(task.index);
                self.arrays_with_progress.insert(task.job);
                self.placement_log.record_change(*task);
            }
            // A machine without a record is deleted: only a deleted machine loses its record.
            let on: BTreeSet<MachineId> =
                e.machines.iter().filter(|id| self.machines.contains_key(*id)).cloned().collect();
            let unresolved = e.unresolved_assignment.as_ref().map(|(preferred, zone)| {
                let block = blocks.entry(zone).or_insert_with(|| {
                    let in_zone = |m: &Machine| zone.as_ref().is_none_or(|z| *z == m.zone);
                    let all = self.machines.iter().filter(|(_, m)| in_zone(m));
                    Rc::new(all.map(|(id, _)| id.clone()).collect())
                });
                let preferred_zone = self.machines.get(preferred).map(|m| m.zone.clone());
                UnresolvedAssignment {
                    // No process: no controller reports its outcome to this term.
                    incarnation: 0,
                    candidates: block.clone(),
                    preferred_machine: preferred.clone(),
                    zone: zone.clone().or(preferred_zone).unwrap_or_default(),
                    watched_at: first_candidate(block, &spec, e.attempt, &self.machines),
                }
            });
            if on.is_empty() && unresolved.is_none() {
                continue;
            }
            let objectives = &self.config.objectives;
            let run = self.jobs.entry(task.job).or_insert_with(|| JobRun::new(job, spec.clone(), objectives));
            for id in &on {
                if let Some(m) = self.machines.get_mut(id) {
                    m.bound.insert(*task);
                    m.tasks.insert(*task, (e.attempt, TaskState::Running));
                    m.images.insert(spec.image.clone());
                    m.used_stale = true;
                }
            }
            if let Some(unresolved) = &unresolved {
                self.unresolved_tasks.watch(*task, unresolved.watched_at.as_ref());
            }
            self.bound_totals.add(&run.spec);
            run.bound.insert(
                task.index,
                Binding { attempt: e.attempt, unresolved_assignment: unresolved, reported_on: on },
            );
            self.placement_log.record_change(*task);
            adopted += 1;
        }
        self.needs_scheduling = true;
        self.queue_stale = true;
        info!(
            "placement log of term {term} adopted: tasks={adopted} unknown_machines={}",
            log.unknown_machines.len()
        );
    }
}
