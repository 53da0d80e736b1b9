//! What controllers say, and where that binds tasks.
use super::assignments::{may_hold, next_open};
use super::blocks::CONTACT_TIMEOUT;
use super::*;

impl Leader {
    /// A controller's view. Stale ones are dropped.
    pub fn sync(
        &mut self,
        from: NodeId,
        incarnation: u64,
        view: &View<'_>,
        ledger: &StateReplica,
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
            *node = Node { incarnation, since: now, ..Node::default() };
            if !first {
                info!("controller {} restarted", from.0);
                let stamp = self.version + 1;
                for m in self.machines.values_mut().filter(|m| m.holder == Some(from)) {
                    m.last_holder = m.holder.take();
                    m.confirmed = false;
                    m.stamp = stamp;
                }
                self.blocks.clear();
                self.blocks_at = Micros(0);
                self.handouts.retain(|_, h| h.to != from);
            }
            self.dirty = true;
        } else if view.seq <= node.sync_seq {
            return;
        }
        let Some(node) = self.nodes.get_mut(from.0 as usize) else { return };
        if view.base > node.sync_seq {
            // It builds on one that was not taken; the next update says so.
            return;
        }
        node.sync_seq = view.seq;
        node.seen = view.seen;
        node.pacer.acknowledged(view.seen, now);
        node.owed |= !view.machines.is_empty() || !view.outcomes.is_empty();
        if node.heard.is_none_or(|t| now.since(t) > CONTACT_TIMEOUT) {
            node.contact_since = now;
        }
        node.heard = Some(now);
        for o in view.outcomes {
            self.outcome(from, incarnation, o);
        }
        for s in view.machines {
            self.machine_state(from, s, ledger, now);
        }
        for (id, ago, report) in view.heard {
            if let Some(m) = self.machines.get_mut(id) {
                m.heard_at(now - *ago, from, *report);
                m.holder_reported_unchanged(from, now - *ago, now);
            }
        }
        for s in view.strangers {
            if let Some(m) = self.machines.get(&s.id) {
                let rec = m.record();
                self.seen(from, s, &rec, &MachineSizes::new(), now);
            }
        }
    }

    pub(super) fn outcome(&mut self, from: NodeId, incarnation: u64, o: &AssignmentOutcome) {
        let Some(OnItsWay { to, out: h, .. }) = self.handouts.remove(&o.attempt) else { return };
        debug_assert_eq!(to, from);
        self.dirty = true;
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
        let Some(handed) = b.unresolved_assignment.take() else { return };
        self.handed.remove(h.task, &handed);
        if let Some(id) = &o.machine
            && handed.machines.contains(id)
            && let Some(m) = self.machines.get_mut(id).filter(|m| may_hold(m, o.attempt))
        {
            b.reported_on.insert(id.clone());
            m.bound.insert(h.task);
            m.tasks.insert(h.task, (o.attempt, TaskState::Starting));
            m.stale = true;
        }
        self.books.note(h.task);
        self.free_if_nowhere(h.task);
    }

    pub(super) fn machine_state(
        &mut self,
        from: NodeId,
        s: &MachineState,
        ledger: &StateReplica,
        now: Micros,
    ) {
        let Some(m) = self.machines.get_mut(&s.id) else { return };
        if !self.granted {
            // What the controllers know already is no news when it comes again.
            m.is_news(s.last_report, from);
            // Gathering: who held it last under the highest token is its best holder.
            if s.fencing_token > m.baton && s.fencing_token.term() < self.term {
                m.baton = s.fencing_token;
                m.holder = Some(from);
            }
            return;
        }
        // That it was heard is true under any token: a holder back from a cut
        // has not seen its newest grant, and its machines are not dead.
        if let Some(ago) = s.last_contact_age {
            m.heard_at(now - ago, from, s.last_report);
        }
        if m.holder != Some(from) || m.baton != s.fencing_token {
            return;
        }
        m.warning = s.preemption_notice.map(|w| now + w);
        m.want_baton = s.needs_new_fencing_token;
        let confirmed = s.seen_fencing_token >= m.baton;
        if let Some(ago) = s.last_contact_age {
            m.hearing.holder_reported(s.acknowledges_commands, now - ago, now);
        }
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
            m.stale = true;
        }
        if confirmed {
            m.started.retain(|t, _| here.contains_key(t));
            m.tasks = here.clone();
        } else {
            m.tasks.extend(here.clone());
        }
        let token = m.baton;
        for (task, (attempt, state)) in &here {
            if *state == TaskState::Running && !m.started.contains_key(task) {
                debug!("{task}: runs on {}", s.id);
                m.started.insert(*task, now);
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
                    .or_insert_with(|| JobRun::new(job, spec.clone(), &self.ctx.objectives));
                run.ran_well |= proven;
                let sums = &mut self.sums;
                let b = run.bound.entry(task.index).or_insert_with(|| {
                    sums.bound(&spec);
                    Binding { attempt: *attempt, unresolved_assignment: None, reported_on: BTreeSet::new() }
                });
                m.bound.insert(*task);
                // That a start has arrived is in the books, too: a witness that stands in
                // for a leader deletes where it may not have.
                let arrived = *state != TaskState::Starting
                    && old.get(task).is_some_and(|(_, s)| *s == TaskState::Starting);
                if b.reported_on.insert(s.id.clone()) || arrived {
                    self.books.note(*task);
                    if b.reported_on.len() > 1 {
                        warn!("{task} may be on several machines: {:?}", b.reported_on);
                    }
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
                    .machines
                    .get(&s.id)
                    .iter()
                    .flat_map(|m| m.bound.iter().filter(|t| !here.contains_key(t)).copied())
                    .collect();
                for t in lost {
                    self.unbind(t, &s.id);
                }
            }
        }
    }

    /// A task exited on a machine.
    pub(super) fn ended(
        &mut self,
        id: &MachineId,
        task: TaskId,
        state: TaskState,
        ledger: &StateReplica,
        now: Micros,
    ) {
        let Some(run) = self.jobs.get_mut(&task.job) else { return };
        let known = run.bound.get(&task.index).is_some_and(|b| b.reported_on.contains(id));
        match state {
            TaskState::Done if run.spec.kind == Kind::Array && task.index < run.spec.tasks => {
                (run.ran_well, run.started) = (true, true);
                self.progressed.insert(task.job);
                if run.done.insert(task.index)
                    && ledger.jobs.get(&task.job).is_some_and(|j| !j.done.contains(task.index))
                {
                    run.unrecorded_since.get_or_insert(now);
                    run.unrecorded.insert(task.index);
                    self.books.note(task);
                }
                if let Some(m) = self.machines.get_mut(id) {
                    m.failures = 0;
                    m.failed_jobs.clear();
                }
            }
            TaskState::Failed if known => {
                let mut again = run.failures + 1;
                if run.spec.max_attempts.is_some()
                    && let Some(attempt) = run.bound.get(&task.index).map(|b| b.attempt.0)
                {
                    let f = run.failed_attempts.entry(task.index).or_default();
                    if attempt > f.last_attempt {
                        *f = Failures { count: f.count + 1, last_attempt: attempt };
                        run.unrecorded_failures.insert(task.index);
                    }
                    again = f.count;
                }
                run.failures += 1;
                run.failed_on.insert(id.clone());
                if run.failed_on.len() > 1 && !run.ran_well {
                    // It fails wherever it is: wait longer each time.
                    run.retry_at = now + Micros::millis(500 << again.min(7));
                } else {
                    run.retry_at = now + Micros::millis(200);
                }
                if run.is_faulty() && run.failures == FAULTY_JOB_FAILURES + 1 {
                    info!("{}: fails wherever it is: one task at a time from here on", task.job);
                }
                if let Some(m) = self.machines.get_mut(id) {
                    m.failures += 1;
                    *m.failed_jobs.entry(task.job).or_default() += 1;
                }
                self.take_out_if_guilty(id);
            }
            _ => {}
        }
        self.dirty = true;
    }

    /// Takes a machine out of use on which tasks fail that run well elsewhere. A job
    /// that has run well nowhere may be mistaken itself and says nothing of it yet.
    pub(super) fn take_out_if_guilty(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id).filter(|m| m.draining.is_none()) else { return };
        let jobs = &self.jobs;
        let proven = |j: &JobId| jobs.get(j).is_some_and(|r| r.ran_well);
        let told: Vec<u32> = m.failed_jobs.iter().filter(|(j, _)| proven(j)).map(|(_, n)| *n).collect();
        if told.iter().sum::<u32>() >= 2 {
            info!("{id}: tasks of {} jobs that run elsewhere failed on it; taken out of use", told.len());
            m.draining = Some("tasks fail on it");
            self.tell(id);
        }
    }

    pub(super) fn unbind(&mut self, task: TaskId, id: &MachineId) {
        if let Some(run) = self.jobs.get_mut(&task.job)
            && let Some(b) = run.bound.get_mut(&task.index)
        {
            b.reported_on.remove(id);
            self.books.note(task);
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.bound.remove(&task);
        }
        self.free_if_nowhere(task);
    }

    pub(super) fn free_if_nowhere(&mut self, task: TaskId) {
        if let Some(run) = self.jobs.get_mut(&task.job)
            && let Some(b) = run.bound.get(&task.index)
            && b.reported_on.is_empty()
            && b.unresolved_assignment.is_none()
        {
            let attempt = b.attempt;
            run.bound.remove(&task.index);
            self.books.note(task);
            self.sums.freed(&run.spec);
            if !run.done.contains(task.index) {
                run.requeued.insert(task.index);
                self.requeue = true;
            }
            self.stops.remove(&(task, attempt));
            self.dirty = true;
        }
    }

    /// The machine's task list is known under `token` (or it is gone): no
    /// hand-out from before can be started on it any more.
    pub(super) fn clear_handed(&mut self, id: &MachineId, token: Option<FencingToken>) {
        if let (Some(token), Some(m)) = (token, self.machines.get_mut(id)) {
            m.task_list_token = m.task_list_token.max(token);
        }
        let mut free = Vec::new();
        for task in self.handed.take_watched(id) {
            let Some(run) = self.jobs.get_mut(&task.job) else { continue };
            let Some(b) = run.bound.get_mut(&task.index) else { continue };
            let Some(h) = b.unresolved_assignment.as_mut() else { continue };
            if token.is_none_or(|t| b.attempt.0 < t.0) {
                let next = |after| next_open(&h.machines, after, &run.spec, b.attempt, &self.machines);
                // Free only if none of them may hold it: what a job allows may have changed.
                h.watched = next(Some(id)).or_else(|| next(None));
            }
            if h.watched.is_some() {
                self.handed.watch(task, h.watched.as_ref());
            } else if let Some(handed) = b.unresolved_assignment.take() {
                self.handed.remove(task, &handed);
                self.books.note(task);
                free.push((task, b.attempt, handed.hint));
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
    pub(super) fn machine_gone(&mut self, id: &MachineId, now: Micros) {
        let tasks = match self.machines.remove(id) {
            Some(mut m) => {
                self.rooms.remove(id, &mut m);
                m.bound
            }
            None => BTreeSet::new(),
        };
        self.blocks.clear();
        self.gone.insert(id.clone(), (now, self.version + 1));
        self.last_seen.remove(id);
        self.clear_handed(id, None);
        for t in tasks {
            self.unbind(t, id);
        }
        self.dirty = true;
    }

    /// A machine reported to a controller that doesn't hold it, or answered it.
    pub fn seen(
        &mut self,
        from: NodeId,
        s: &UnleasedReport,
        rec: &MachineRecord,
        sizes: &MachineSizes,
        now: Micros,
    ) {
        let id = &s.id;
        if self.gone.contains_key(id) {
            return;
        }
        match self.machines.get_mut(id) {
            // A copy of a report may outlive its machine, and a new leader has nothing
            // to compare it with: only a worker that answers is taken on. One that was
            // not expected and can't be asked shows in the cloud's list.
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
                self.dirty = true;
            }
            Some(m) if (&m.build, &m.zone, m.spot) != (&rec.machine_type, &rec.zone, rec.spot) => {
                if self.apart.insert(id.clone()) {
                    warn!(
                        "{id}: reports as {} in {}, is {} in {}: left aside",
                        rec.machine_type, rec.zone, m.build, m.zone
                    );
                }
            }
            Some(m) => {
                if !m.is_news(s.report, from) {
                    return;
                }
                self.last_seen.insert(id.clone(), (from, now));
                m.hearing.contacted_by_other(s.probed, m.holder != Some(from), now);
                if m.stage == Stage::Booting {
                    m.stage = Stage::Up;
                    m.since = now;
                    m.hearing = command_reachability::CommandReachability::new(now);
                    self.dirty = true;
                }
                if !rec.addr.is_empty() && m.addr != rec.addr {
                    m.addr = rec.addr.clone();
                    self.tell(id);
                }
            }
        }
    }
}
