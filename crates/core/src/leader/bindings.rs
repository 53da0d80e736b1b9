//! Applies what controllers report, and updates where tasks are bound.
use super::assignments::{may_hold, next_candidate};
use super::blocks::CONTACT_TIMEOUT;
use super::*;

impl Leader {
    /// Applies a controller's `Sync`. A stale one is dropped.
    pub fn apply_sync(
        &mut self,
        from: NodeId,
        incarnation: u64,
        sync: &SyncView<'_>,
        state_replica: &StateReplica,
        now: Micros,
    ) {
        let Some(node) = self.nodes.get_mut(from.0 as usize) else { return };
        if incarnation < node.incarnation {
            // Sent before the controller restarted, and delayed in the network.
            return;
        }
        if incarnation != node.incarnation {
            // Another process: the block and the assignments of the earlier one are lost with
            // it. Its machines need a new grant.
            let first = node.incarnation == 0;
            *node = Node { incarnation, incarnation_since: now, ..Node::default() };
            if !first {
                info!("controller {} restarted", from.0);
                let next_update = self.update_seq + 1;
                for m in self.machines.values_mut().filter(|m| m.holder == Some(from)) {
                    m.last_holder = m.holder.take();
                    m.confirmed = false;
                    m.changed_in = next_update;
                }
                self.blocks.clear();
                self.blocks_checked_at = Micros(0);
                self.pending_assignments.retain(|_, h| h.to != from);
            }
            self.needs_scheduling = true;
        } else if sync.seq <= node.sync_seq {
            return;
        }
        let Some(node) = self.nodes.get_mut(from.0 as usize) else { return };
        if sync.base > node.sync_seq {
            // It builds on a `Sync` that was not applied; the next update names the last one.
            return;
        }
        node.sync_seq = sync.seq;
        node.acked_update = sync.acked_update;
        node.pacer.acknowledged(sync.acked_update, now);
        node.ack_due |= !sync.machines.is_empty() || !sync.outcomes.is_empty();
        if node.last_contact.is_none_or(|t| now.since(t) > CONTACT_TIMEOUT) {
            node.contact_since = now;
        }
        node.last_contact = Some(now);
        for o in sync.outcomes {
            self.apply_outcome(from, incarnation, o);
        }
        for s in sync.machines {
            self.apply_machine_state(from, s, state_replica, now);
        }
        for (id, ago, report) in sync.contacts {
            if let Some(m) = self.machines.get_mut(id) {
                m.record_contact(now.before(*ago), from, *report);
                m.holder_reported_unchanged(from, now.before(*ago), now);
            }
        }
        for s in sync.unleased_reports {
            if let Some(m) = self.machines.get(&s.id) {
                let rec = m.record();
                self.apply_unleased_report(from, s, &rec, &MachineSizes::new(), now);
            }
        }
    }

    pub(super) fn apply_outcome(&mut self, from: NodeId, incarnation: u64, o: &AssignmentOutcome) {
        let Some(PendingAssignment { to, assignment: h, .. }) = self.pending_assignments.remove(&o.attempt)
        else {
            return;
        };
        debug_assert_eq!(to, from);
        self.needs_scheduling = true;
        if let Some(m) = self.machines.get_mut(&h.preferred_machine) {
            m.reserved.remove(&o.attempt);
        }
        let Some(run) = self.jobs.get_mut(&h.task.job) else { return };
        let Some(b) = run.bound.get_mut(&h.task.index) else { return };
        if b.attempt != o.attempt
            || b.unresolved_assignment.as_ref().is_none_or(|x| x.incarnation != incarnation)
        {
            return;
        }
        let Some(unresolved) = b.unresolved_assignment.take() else { return };
        self.unresolved_tasks.remove(h.task, &unresolved);
        if let Some(id) = &o.machine
            && unresolved.candidates.contains(id)
            && let Some(m) = self.machines.get_mut(id).filter(|m| may_hold(m, o.attempt))
        {
            b.reported_on.insert(id.clone());
            m.bound.insert(h.task);
            m.tasks.insert(h.task, (o.attempt, TaskState::Starting));
            m.used_stale = true;
        }
        self.placement_log.record_change(h.task);
        self.release_if_unplaced(h.task);
    }

    pub(super) fn apply_machine_state(
        &mut self,
        from: NodeId,
        s: &MachineState,
        state_replica: &StateReplica,
        now: Micros,
    ) {
        let Some(m) = self.machines.get_mut(&s.id) else { return };
        if !self.grants_started {
            // A heartbeat that the controllers know already is not new when it comes again.
            m.is_new_heartbeat(s.last_report, from);
            // Before the first grants: the controller that held it under the highest token is
            // its best holder.
            if s.fencing_token > m.fencing_token && s.fencing_token.term() < self.term {
                m.fencing_token = s.fencing_token;
                m.holder = Some(from);
            }
            return;
        }
        // A heartbeat counts as contact under any token: a holder that was partitioned has not
        // received its newest grant, and its machines are not dead.
        if let Some(ago) = s.last_contact_age {
            m.record_contact(now.before(ago), from, s.last_report);
        }
        if m.holder != Some(from) || m.fencing_token != s.fencing_token {
            return;
        }
        m.preemption_at = s.preemption_notice.map(|w| now + w);
        m.needs_new_token = s.needs_new_fencing_token;
        let confirmed = s.seen_fencing_token >= m.fencing_token;
        if let Some(ago) = s.last_contact_age {
            m.command_reachability.holder_reported(s.acknowledges_commands, now.before(ago), now);
        }
        let newly_confirmed = confirmed && !m.confirmed;
        if newly_confirmed {
            m.confirmed = true;
            m.tasks_unknown = false;
            self.needs_scheduling = true;
        }
        let mut reported: BTreeMap<TaskId, (Attempt, TaskState)> = BTreeMap::new();
        let mut exits = Vec::new();
        m.exited = s.tasks.iter().filter(|t| t.state.exited()).map(|t| t.task).collect();
        for t in &s.tasks {
            if t.state.exited() {
                exits.push(t.clone());
            } else {
                reported.insert(t.task, (t.attempt, t.state));
            }
        }
        let old = m.tasks.clone();
        if old != reported {
            self.needs_scheduling = true;
            m.used_stale = true;
        }
        if confirmed {
            m.started.retain(|t, _| reported.contains_key(t));
            m.tasks = reported.clone();
        } else {
            m.tasks.extend(reported.clone());
        }
        let token = m.fencing_token;
        for (task, (attempt, state)) in &reported {
            if *state == TaskState::Running && !m.started.contains_key(task) {
                debug!("{task}: runs on {}", s.id);
                m.started.insert(*task, now);
            }
            let Some(spec) = state_replica.jobs.get(&task.job).and_then(|j| j.spec.clone()) else { continue };
            m.images.insert(spec.image.clone());
            // A task that runs for more than 8 s proves that its job is not broken itself.
            let proven = m.started.get(task).is_some_and(|t| now.since(*t) > Micros::secs(8));
            if proven {
                m.failures = 0;
                m.failed_jobs.clear();
            }
            if let Some(job) = state_replica.jobs.get(&task.job) {
                // Tasks of an ended job may still be on the machine, and count.
                let run = self
                    .jobs
                    .entry(task.job)
                    .or_insert_with(|| JobRun::new(job, spec.clone(), &self.config.objectives));
                run.ran_well |= proven;
                let totals = &mut self.bound_totals;
                let b = run.bound.entry(task.index).or_insert_with(|| {
                    totals.add(&spec);
                    Binding { attempt: *attempt, unresolved_assignment: None, reported_on: BTreeSet::new() }
                });
                m.bound.insert(*task);
                // The placement log also says that a start has arrived: the cancellation enforcer
                // at a replica, in place of a leader, deletes machines where it may not have.
                let arrived = *state != TaskState::Starting
                    && old.get(task).is_some_and(|(_, s)| *s == TaskState::Starting);
                if b.reported_on.insert(s.id.clone()) || arrived {
                    self.placement_log.record_change(*task);
                    if b.reported_on.len() > 1 {
                        warn!("{task} may be on several machines: {:?}", b.reported_on);
                    }
                }
            }
        }
        for e in exits {
            if old.contains_key(&e.task) || e.state == TaskState::Done {
                self.task_exited(&s.id, e.task, e.state, state_replica, now);
            }
        }
        if confirmed {
            for task in old.keys().filter(|t| !reported.contains_key(t)) {
                self.unbind(*task, &s.id);
            }
            if newly_confirmed {
                self.rule_out_assignments(&s.id, Some(token));
                // Tasks bound here under an earlier grant that are not in the heartbeat.
                let lost: Vec<TaskId> = self
                    .machines
                    .get(&s.id)
                    .iter()
                    .flat_map(|m| m.bound.iter().filter(|t| !reported.contains_key(t)).copied())
                    .collect();
                for t in lost {
                    self.unbind(t, &s.id);
                }
            }
        }
    }

    /// A task exited on a machine.
    pub(super) fn task_exited(
        &mut self,
        id: &MachineId,
        task: TaskId,
        state: TaskState,
        state_replica: &StateReplica,
        now: Micros,
    ) {
        let Some(run) = self.jobs.get_mut(&task.job) else { return };
        let known = run.bound.get(&task.index).is_some_and(|b| b.reported_on.contains(id));
        match state {
            TaskState::Done if run.spec.kind == Kind::Array && task.index < run.spec.tasks => {
                (run.ran_well, run.started) = (true, true);
                self.arrays_with_progress.insert(task.job);
                if run.done.insert(task.index)
                    && state_replica.jobs.get(&task.job).is_some_and(|j| !j.done.contains(task.index))
                {
                    run.unrecorded_since.get_or_insert(now);
                    run.unrecorded.insert(task.index);
                    self.placement_log.record_change(task);
                }
                if let Some(m) = self.machines.get_mut(id) {
                    m.failures = 0;
                    m.failed_jobs.clear();
                }
            }
            TaskState::Failed if known => {
                let mut failures = run.failures + 1;
                if run.spec.max_attempts.is_some()
                    && let Some(attempt) = run.bound.get(&task.index).map(|b| b.attempt.0)
                {
                    let f = run.failed_attempts.entry(task.index).or_default();
                    if attempt > f.last_attempt {
                        *f = Failures { count: f.count + 1, last_attempt: attempt };
                        run.unrecorded_failures.insert(task.index);
                    }
                    failures = f.count;
                }
                run.failures += 1;
                run.failed_on.insert(id.clone());
                if run.failed_on.len() > 1 && !run.ran_well {
                    // It fails on more than one machine: the delay doubles with each failure.
                    run.retry_at = now + Micros::millis(500 << failures.min(7));
                } else {
                    run.retry_at = now + Micros::millis(200);
                }
                if run.is_faulty() && run.failures == FAULTY_JOB_FAILURES + 1 {
                    info!("{}: fails on several machines; limited to one task at a time", task.job);
                }
                if let Some(m) = self.machines.get_mut(id) {
                    m.failures += 1;
                    *m.failed_jobs.entry(task.job).or_default() += 1;
                }
                self.drain_if_faulty(id);
            }
            _ => {}
        }
        self.needs_scheduling = true;
    }

    /// Drains a machine on which tasks fail that run well elsewhere. Failures of a job that
    /// has not run well anywhere may be its own fault and are no evidence yet.
    pub(super) fn drain_if_faulty(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id).filter(|m| m.draining.is_none()) else { return };
        let jobs = &self.jobs;
        let proven = |j: &JobId| jobs.get(j).is_some_and(|r| r.ran_well);
        let failures: Vec<u32> = m.failed_jobs.iter().filter(|(j, _)| proven(j)).map(|(_, n)| *n).collect();
        if failures.iter().sum::<u32>() >= 2 {
            info!("{id}: cordoned: tasks failed on it of jobs that run elsewhere; jobs={}", failures.len());
            m.draining = Some("tasks fail on it");
            self.mark_changed(id);
        }
    }

    pub(super) fn unbind(&mut self, task: TaskId, id: &MachineId) {
        if let Some(run) = self.jobs.get_mut(&task.job)
            && let Some(b) = run.bound.get_mut(&task.index)
        {
            b.reported_on.remove(id);
            self.placement_log.record_change(task);
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.bound.remove(&task);
        }
        self.release_if_unplaced(task);
    }

    pub(super) fn release_if_unplaced(&mut self, task: TaskId) {
        if let Some(run) = self.jobs.get_mut(&task.job)
            && let Some(b) = run.bound.get(&task.index)
            && b.reported_on.is_empty()
            && b.unresolved_assignment.is_none()
        {
            let attempt = b.attempt;
            run.bound.remove(&task.index);
            self.placement_log.record_change(task);
            self.bound_totals.subtract(&run.spec);
            if !run.done.contains(task.index) {
                run.requeued.insert(task.index);
                self.queue_stale = true;
            }
            self.pending_stops.remove(&(task, attempt));
            self.needs_scheduling = true;
        }
    }

    /// The machine's task list is known under `token`, or (`None`) the machine is deleted:
    /// no assignment made before can be started on it any more.
    pub(super) fn rule_out_assignments(&mut self, id: &MachineId, token: Option<FencingToken>) {
        if let (Some(token), Some(m)) = (token, self.machines.get_mut(id)) {
            m.task_list_token = m.task_list_token.max(token);
        }
        let mut released = Vec::new();
        for task in self.unresolved_tasks.take_watched(id) {
            let Some(run) = self.jobs.get_mut(&task.job) else { continue };
            let Some(b) = run.bound.get_mut(&task.index) else { continue };
            let Some(h) = b.unresolved_assignment.as_mut() else { continue };
            if token.is_none_or(|t| b.attempt.0 < t.0) {
                let next = |after| next_candidate(&h.candidates, after, &run.spec, b.attempt, &self.machines);
                // Release it only if no machine of the block may hold it: the machines that the job
                // allows may have changed.
                h.watched_at = next(Some(id)).or_else(|| next(None));
            }
            if h.watched_at.is_some() {
                self.unresolved_tasks.watch(task, h.watched_at.as_ref());
            } else if let Some(unresolved) = b.unresolved_assignment.take() {
                self.unresolved_tasks.remove(task, &unresolved);
                self.placement_log.record_change(task);
                released.push((task, b.attempt, unresolved.preferred_machine));
            }
        }
        for (task, attempt, preferred) in released {
            self.pending_assignments.remove(&attempt);
            if let Some(m) = self.machines.get_mut(&preferred) {
                m.reserved.remove(&attempt);
            }
            self.release_if_unplaced(task);
        }
    }

    /// The cloud confirmed that the machine is deleted, and with it everything on it.
    pub(super) fn remove_machine(&mut self, id: &MachineId, now: Micros) {
        let tasks = match self.machines.remove(id) {
            Some(mut m) => {
                self.capacity_index.remove(id, &mut m);
                m.bound
            }
            None => BTreeSet::new(),
        };
        self.blocks.clear();
        self.deleted_machines.insert(id.clone(), (now, self.update_seq + 1));
        self.last_seen.remove(id);
        self.rule_out_assignments(id, None);
        for t in tasks {
            self.unbind(t, id);
        }
        self.needs_scheduling = true;
    }

    /// Applies a heartbeat of a machine to a controller that doesn't hold it, or the machine's
    /// answer to a probe.
    pub fn apply_unleased_report(
        &mut self,
        from: NodeId,
        s: &UnleasedReport,
        rec: &MachineRecord,
        sizes: &MachineSizes,
        now: Micros,
    ) {
        let id = &s.id;
        if self.deleted_machines.contains_key(id) {
            return;
        }
        match self.machines.get_mut(id) {
            // A copy of a heartbeat may arrive after its machine was deleted, and a new leader has
            // nothing to compare it with: only a worker that answers a probe is adopted. An
            // unexpected one that can't be probed appears in the cloud's list.
            None if !s.probed => {
                if self.last_seen.get(id).is_none_or(|(_, t)| now.since(*t) > Micros::millis(1500)) {
                    self.last_seen.insert(id.clone(), (from, now));
                    self.probes.push((from, id.clone(), rec.addr.clone()));
                }
            }
            None => {
                let Some(size) = sizes.get(&rec.machine_type) else { return };
                info!("{id}: adopted ({} in {})", rec.machine_type, rec.zone);
                self.last_seen.insert(id.clone(), (from, now));
                self.machines.insert(id.clone(), Machine::new(rec, *size, Stage::Up, now));
                self.needs_scheduling = true;
            }
            Some(m) if (&m.machine_type, &m.zone, m.spot) != (&rec.machine_type, &rec.zone, rec.spot) => {
                if self.mismatched.insert(id.clone()) {
                    warn!(
                        "{id}: heartbeat ignored: it names {} in {}, the record {} in {}",
                        rec.machine_type, rec.zone, m.machine_type, m.zone
                    );
                }
            }
            Some(m) => {
                if !m.is_new_heartbeat(s.report, from) {
                    return;
                }
                self.last_seen.insert(id.clone(), (from, now));
                m.command_reachability.contacted_by_other(s.probed, m.holder != Some(from), now);
                if m.stage == Stage::Booting {
                    m.stage = Stage::Up;
                    m.stage_since = now;
                    m.command_reachability = command_reachability::CommandReachability::new(now);
                    self.needs_scheduling = true;
                }
                if !rec.addr.is_empty() && m.addr != rec.addr {
                    m.addr = rec.addr.clone();
                    self.mark_changed(id);
                }
            }
        }
    }
}
