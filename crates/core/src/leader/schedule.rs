//! The scheduling pass: decides which task starts next and on which machine, by start-time
//! fair queueing (SFQ), team limits, placement and preemption.
use super::assignments::{UnresolvedAssignment, first_candidate};
use super::*;

/// Sum of the resources that a machine's tasks take. A task whose job is not known counts as
/// the whole machine.
pub(super) fn used_resources(m: &Machine, jobs: &BTreeMap<JobId, JobRun>) -> Resources {
    let mut sum = Resources::default();
    for t in m.tasks.keys() {
        match jobs.get(&t.job) {
            Some(r) => sum = sum.plus(r.spec.task_resources),
            None => return m.size,
        }
    }
    sum
}

/// Jobs with a task to start, in the order in which they are served.
#[derive(Debug, Default)]
pub(super) struct PendingJobs {
    /// Jobs by priority and team.
    by_priority: BTreeMap<Priority, BTreeMap<String, Rc<[JobId]>>>,
    /// Smallest CPU demand of a task, by priority, in thousandths of a CPU.
    min_cpu: BTreeMap<Priority, u64>,
    /// Jobs that have waited longer than `STARVATION_TIMEOUT_MS` for their first task, the
    /// earliest ready first; at most 50.
    pub(super) starved: Vec<JobId>,
    built_at: Micros,
    /// Earliest time at which a job that is waiting only for a delay becomes eligible.
    next_retry: Option<Micros>,
    /// Some machines have had no contact in this term. They may hold any task, so the jobs
    /// that may not start because of them change with every heartbeat.
    has_unconfirmed_machines: bool,
}

impl PendingJobs {
    /// The state at the start of a term.
    pub(super) fn new() -> Self {
        PendingJobs { has_unconfirmed_machines: true, ..PendingJobs::default() }
    }
}

/// Maximum age of the job order while no job becomes pending.
const QUEUE_MAX_AGE: Micros = Micros::millis(250);

/// Machines that one pass scans for preemption. A burst of replicas is served in several
/// passes, which bounds the duration of each.
const MAX_SCANNED_MACHINES: usize = 8_000;

/// No array task is assigned while this many assignments have no outcome. The leader stores,
/// sends and counts each one, and an array of 25,000 short tasks would fill its memory.
const MAX_UNRESOLVED_ASSIGNMENTS: usize = 2_000;

/// Capacity that preemption could free, as one pass has computed it.
#[derive(Debug, Default)]
pub(super) struct PreemptionCandidates {
    /// Machines with preemptible tasks, and their free capacity if all of these stopped;
    /// `None` until it is computed.
    machines: Option<Vec<(MachineId, Resources)>>,
    /// Maximum of that capacity over all machines, for each resource.
    max_capacity: Resources,
    /// Machines scanned in this pass.
    scanned: usize,
}

impl PreemptionCandidates {
    /// Whether preemption may free `need` on some machine; true until it is computed.
    fn may_fit(&self, need: &Resources) -> bool {
        self.machines.is_none() || self.max_capacity.fits(need)
    }
}

/// State of one pass over the queues.
struct Pass {
    /// Only tasks within their team's guarantee are served.
    guaranteed: bool,
    preemption: PreemptionCandidates,
    now: Micros,
}

impl Leader {
    /// Recomputes the usage of machines whose tasks changed.
    pub(super) fn refresh_usage(&mut self) {
        let jobs = &self.jobs;
        for m in self.machines.values_mut().filter(|m| m.used_stale) {
            m.used_stale = false;
            m.used = used_resources(m, jobs);
        }
    }

    /// CPUs and GPUs of a team's bound tasks, on whichever machine they may be.
    pub(super) fn team_usage(&self, team: &str) -> (u64, u64) {
        self.bound_totals.teams.get(team).copied().unwrap_or_default()
    }

    /// Whether one more task of the job would exceed its team's limit.
    pub(super) fn exceeds_team_limit(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.config.teams.iter().find(|t| t.name == spec.team) else { return true };
        if team.cpus_max == 0.0 && team.gpus_max == 0.0 {
            return false;
        }
        // Machines without contact in this term may hold tasks of any team.
        if self.has_unconfirmed_machines() {
            return true;
        }
        let (c, g) = self.team_usage(&spec.team);
        let max = Resources::capacity(team.cpus_max, team.gpus_max, 0.0);
        (max.cpu > 0 && c + spec.task_resources.cpu > max.cpu)
            || (max.gpu > 0 && g + spec.task_resources.gpu > max.gpu)
    }

    /// Whether some machine has had no contact in this term. Once all have had contact, this
    /// stays false for the rest of the term.
    fn has_unconfirmed_machines(&self) -> bool {
        self.pending_jobs.has_unconfirmed_machines && self.machines.values().any(|m| m.tasks_unknown)
    }

    /// Whether a machine without contact in this term may hold a task of the job.
    pub(super) fn may_run_on_unconfirmed_machine(&self, run: &JobRun) -> bool {
        run.revision <= self.leader_key_revision
            && self.pending_jobs.has_unconfirmed_machines
            && self.machines.values().any(|m| m.tasks_unknown && m.suits(&run.spec))
    }

    /// Bound tasks by zone, for a job with a zone rule; empty for any other.
    pub(super) fn tasks_per_zone(&self, run: &JobRun) -> BTreeMap<String, u32> {
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        if !run.spec.has_zone_constraint() {
            return zones;
        }
        for b in run.bound.values() {
            let mut at: BTreeSet<&str> = b
                .reported_on
                .iter()
                .filter_map(|id| self.machines.get(id))
                .map(|m| m.zone.as_str())
                .collect();
            if let Some(h) = &b.unresolved_assignment {
                at.insert(&h.zone);
            }
            for z in at {
                *zones.entry(z.to_owned()).or_default() += 1;
            }
        }
        zones
    }

    /// The time of day in milliseconds, computed from the monotonic clock.
    pub(super) fn wall_ms(&self, now: Micros) -> u64 {
        self.term_start_wall_ms + now.since(self.term_start).0 / 1000
    }

    /// Assigns every task that can start: first the tasks within their teams' guarantees, then
    /// by priority, and within a priority by the smallest eligible start tag.
    pub(super) fn schedule(&mut self, now: Micros) {
        self.refresh_usage();
        let fresh = now.since(self.pending_jobs.built_at) < QUEUE_MAX_AGE
            && !self.pending_jobs.has_unconfirmed_machines;
        if self.queue_stale || !fresh || self.pending_jobs.next_retry.is_some_and(|t| now >= t) {
            self.queue_stale = false;
            self.pending_jobs = self.build_pending_jobs(now);
        }
        // Jobs that wait only for a delay need another pass when it has passed.
        self.needs_scheduling |= self.pending_jobs.next_retry.is_some();
        if self.pending_jobs.by_priority.is_empty() {
            return;
        }
        self.refresh_capacity_index(now);
        self.serve_starved(now);
        let borrowing = self.config.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0);
        for guaranteed in [true, false].into_iter().filter(|g| borrowing || !g) {
            let mut pass = Pass { guaranteed, preemption: PreemptionCandidates::default(), now };
            for priority in PRIORITIES {
                self.serve_priority(priority, &mut pass);
            }
        }
    }

    /// Array tasks that are on machines or assigned.
    pub fn active_array_tasks(&self) -> u64 {
        self.bound_totals.arrays
    }

    /// Collects and sorts the jobs that have a task to start.
    fn build_pending_jobs(&mut self, now: Micros) -> PendingJobs {
        let wall_ms = self.wall_ms(now);
        let slots = self.active_array_tasks();
        let mut pending = PendingJobs {
            built_at: now,
            has_unconfirmed_machines: self.has_unconfirmed_machines(),
            ..PendingJobs::default()
        };
        let mut by_priority: BTreeMap<Priority, BTreeMap<String, Vec<((bool, u64, u64), JobId)>>> =
            BTreeMap::new();
        let mut ready: Vec<JobId> = Vec::new();
        let (mut starved, mut ran_long_enough): (Vec<(u64, JobId)>, Vec<JobId>) = Default::default();
        for (id, run) in self.jobs.iter_mut().filter(|(_, r)| !r.ended && !r.unreleased) {
            let later =
                if run.retry_at > now { Some(run.retry_at) } else { run.retry_on_failed_machine_at(now) };
            if let Some(at) = later {
                pending.next_retry = Some(pending.next_retry.map_or(at, |t| t.min(at)));
            }
            if run.retry_at <= now
                && run.exhausted_task().is_none()
                && run.next_pending().is_some()
                && !run.is_throttled()
            {
                ready.push(*id);
            }
        }
        for id in ready {
            let Some(run) = self.jobs.get(&id) else { continue };
            if pending.has_unconfirmed_machines && self.may_run_on_unconfirmed_machine(run) {
                continue;
            }
            if !run.started && wall_ms > run.ready_ms + starvation::STARVATION_TIMEOUT_MS {
                match self.has_run_long_enough(id, run, now) {
                    true => ran_long_enough.push(id),
                    false => starved.push((run.ready_ms, id)),
                }
            }
            let (priority, cpu) = (run.urgency.priority, run.spec.task_resources.cpu);
            let min_cpu = pending.min_cpu.entry(priority).or_insert(cpu);
            *min_cpu = cpu.min(*min_cpu);
            let teams = by_priority.entry(priority).or_default();
            teams.entry(run.spec.team.clone()).or_default().push((run.queue_key(wall_ms, slots), id));
        }
        for id in ran_long_enough {
            if let Some(run) = self.jobs.get_mut(&id) {
                run.started = true;
            }
        }
        starved.sort();
        // The rest follow as the jobs before them get their first task.
        pending.starved = starved.into_iter().map(|(_, id)| id).take(50).collect();
        let sorted = |mut v: Vec<_>| {
            v.sort();
            v.into_iter().map(|(_, id)| id).collect()
        };
        let by_team = |teams: BTreeMap<String, Vec<_>>| {
            teams.into_iter().map(|(t, v)| (t, sorted(v))).collect::<BTreeMap<_, _>>()
        };
        pending.by_priority =
            by_priority.into_iter().map(|(priority, teams)| (priority, by_team(teams))).collect();
        pending
    }

    /// A team's weight in the queues.
    pub(super) fn weight(&self, team: &str) -> f64 {
        self.config.operator.team_weights.get(team).copied().unwrap_or(1.0)
    }

    /// Serves the pending jobs of one priority, the team with the smallest start tag first.
    fn serve_priority(&mut self, priority: Priority, pass: &mut Pass) {
        let teams = self.pending_jobs.by_priority.get(&priority).cloned().unwrap_or_default();
        let min_cpu = self.pending_jobs.min_cpu.get(&priority).copied().unwrap_or(0);
        let mut queue = self.queues.remove(&priority).unwrap_or_default();
        let cost = self.config.operator.task_cost;
        for t in &self.config.teams {
            queue.set_pending(&t.name, teams.contains_key(&t.name), cost, self.weight(&t.name));
        }
        let mut next: BTreeMap<&str, usize> = BTreeMap::new();
        let mut unservable: BTreeSet<String> = BTreeSet::new();
        let need = Resources { cpu: min_cpu, gpu: 0, mem: 0 };
        let preempts = pass.guaranteed || priority == Priority::Production;
        'priority: while let Some((_, team)) =
            queue.order().into_iter().find(|(_, t)| !unservable.contains(t))
        {
            let Some((team, list)) = teams.get_key_value(&team) else { break };
            let position = next.entry(team).or_default();
            let mut served = false;
            while let Some(id) = list.get(*position).copied() {
                if self.serve_job(id, pass) {
                    served = true;
                    break;
                }
                *position += 1;
                // If neither free CPUs nor preemption can fit the smallest pending task, the
                // other jobs need no scan.
                if !(self.capacity_index.any_with_cpu(min_cpu) || preempts && pass.preemption.may_fit(&need))
                {
                    break 'priority;
                }
            }
            if served {
                queue.serve(team);
            } else {
                unservable.insert(team.clone());
            }
        }
        self.queues.insert(priority, queue);
    }

    /// Assigns one task of a job; false if none can start now.
    fn serve_job(&mut self, id: JobId, pass: &mut Pass) -> bool {
        let now = pass.now;
        let Some(run) = self.jobs.get_mut(&id).filter(|r| !r.ended) else { return false };
        let Some(index) = run.next_pending() else { return false };
        let may_preempt = (pass.guaranteed || run.urgency.priority == Priority::Production)
            && now >= run.preempt_not_before;
        let need = run.spec.task_resources;
        if !(self.capacity_index.any_with_cpu(need.cpu) || may_preempt && pass.preemption.may_fit(&need)) {
            return false;
        }
        let Some(run) = self.jobs.get(&id) else { return false };
        let at_limit =
            self.pending_assignments.len() >= MAX_UNRESOLVED_ASSIGNMENTS && run.spec.kind == Kind::Array;
        if at_limit
            || run.is_throttled()
            || self.exceeds_team_limit(&run.spec)
            || pass.guaranteed && !self.within_guarantee(&run.spec)
        {
            return false;
        }
        let zones = self.tasks_per_zone(run);
        match self.find_machine(run, index, &zones, now) {
            Some(machine) if self.should_wait_for_image(id, &machine, now) => {
                // Preempts batch tasks on a machine that has the image, because a fetch
                // takes seconds.
                let preempted = may_preempt && self.preempt_for(id, &zones, true, pass).is_some();
                if let Some(run) = self.jobs.get_mut(&id) {
                    run.image_wait_until.get_or_insert(if preempted {
                        now + Micros::millis(700)
                    } else {
                        now
                    });
                }
                self.needs_scheduling = true;
                false
            }
            Some(machine) => {
                self.assign(TaskId { job: id, index }, machine);
                true
            }
            None if may_preempt && pass.preemption.scanned >= MAX_SCANNED_MACHINES => {
                self.needs_scheduling = true;
                false
            }
            None if may_preempt => {
                // Frees capacity for all pending tasks of the job at once. Stopped tasks
                // take a moment to exit, and preempting more before that would waste work.
                let (mut zones, mut left) = (zones, run.startable_tasks());
                while left > 0 {
                    let Some((zone, fitting)) = self.preempt_for(id, &zones, false, pass) else { break };
                    *zones.entry(zone).or_default() += fitting.min(left);
                    left -= fitting.min(left);
                }
                if let Some(run) = self.jobs.get_mut(&id) {
                    run.preempt_not_before = now + Micros::millis(800);
                }
                false
            }
            None => false,
        }
    }

    /// Whether one more task of the job fits into its team's guarantee.
    fn within_guarantee(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.config.teams.iter().find(|t| t.name == spec.team) else { return false };
        let (c, g) = self.team_usage(&spec.team);
        let own = Resources::capacity(team.cpus, team.gpus, 0.0);
        (c + spec.task_resources.cpu <= own.cpu || spec.task_resources.cpu == 0)
            && (g + spec.task_resources.gpu <= own.gpu || spec.task_resources.gpu == 0)
    }

    /// CPUs and GPUs that teams use beyond their guarantee.
    fn borrowed(&self) -> BTreeMap<String, (u64, u64)> {
        let teams = self.config.teams.iter().map(|t| {
            let (c, g) = self.team_usage(&t.name);
            let own = Resources::capacity(t.cpus, t.gpus, 0.0);
            (t.name.clone(), (c.saturating_sub(own.cpu), g.saturating_sub(own.gpu)))
        });
        teams.filter(|(_, b)| *b != (0, 0)).collect()
    }

    /// Assigns a task: binds it to the machines of the controller that holds
    /// `preferred_machine`, and reserves its resources there.
    pub(super) fn assign(&mut self, task: TaskId, preferred_machine: MachineId) {
        let attempt = Attempt(self.next_token());
        let Some(m) = self.machines.get(&preferred_machine) else { return };
        let (Some(node), zone) = (m.holder, m.zone.clone()) else { return };
        let Some(run) = self.jobs.get_mut(&task.job) else { return };
        let all = &self.machines;
        let machines = self
            .blocks
            .entry(node)
            .or_insert_with(|| {
                let held = all.iter().filter(|(_, m)| m.holder == Some(node));
                Rc::new(held.map(|(id, _)| id.clone()).collect())
            })
            .clone();
        let incarnation = self.nodes.get(node.0 as usize).map_or(0, |n| n.incarnation);
        let image = if m.images.contains(&run.spec.image) { "cached" } else { "missing" };
        debug!("{task}: assigned to {preferred_machine} image={image} attempt={}", attempt.0);
        let zone_constrained = run.spec.has_zone_constraint();
        let assignment = Assignment {
            task,
            attempt,
            zone: zone_constrained.then(|| zone.clone()),
            preferred_machine: preferred_machine.clone(),
        };
        let need = run.spec.task_resources;
        run.requeued.remove(&task.index);
        self.bound_totals.add(&run.spec);
        let watched = first_candidate(&machines, &run.spec, attempt, &self.machines);
        self.unresolved_tasks.watch(task, watched.as_ref());
        let unresolved = UnresolvedAssignment {
            incarnation,
            candidates: machines,
            preferred_machine: preferred_machine.clone(),
            zone,
            watched_at: watched,
        };
        let binding =
            Binding { attempt, unresolved_assignment: Some(unresolved), reported_on: BTreeSet::new() };
        let bound_before = run.bound.insert(task.index, binding);
        if bound_before.is_some() {
            self.violations += 1;
            error!("invariant violated name=assigned_while_bound task={task} attempt={}", attempt.0);
        }
        if let Some(m) = self.machines.get_mut(&preferred_machine) {
            m.reserved.insert(attempt, need);
            m.images.insert(run.spec.image.clone());
            m.idle_since = None;
            self.capacity_index.update(&preferred_machine, m, true);
        }
        let at = self.placement_log.record_assignment(task);
        self.pending_assignments
            .insert(attempt, PendingAssignment { to: node, assignment, log_seq: at, sent: None });
        if let Some(n) = self.nodes.get_mut(node.0 as usize) {
            n.update_due = true;
        }
    }

    /// Whether a production replica should wait for free capacity on a machine that has its
    /// image instead of starting on `found`, which lacks it.
    pub(super) fn should_wait_for_image(&self, id: JobId, found: &MachineId, now: Micros) -> bool {
        let Some(run) = self.jobs.get(&id) else { return false };
        run.spec.kind == Kind::Service
            && run.spec.priority == Priority::Production
            && run.image_wait_until.is_none_or(|until| now < until)
            && self.machines.get(found).is_some_and(|m| !m.images.contains(&run.spec.image))
            && self.machines.values().any(|m| m.images.contains(&run.spec.image))
    }

    /// Preempts tasks so that a task of job `id` fits on some machine: tasks of lower priority
    /// or, for a team within its guarantee, tasks of teams beyond their guarantees. Returns the zone and
    /// how many tasks of the job fit there after that. With `image`, only machines that have
    /// the job's image are considered.
    fn preempt_for(
        &mut self,
        id: JobId,
        zones: &BTreeMap<String, u32>,
        image: bool,
        pass: &mut Pass,
    ) -> Option<(String, u32)> {
        let (guaranteed, now) = (pass.guaranteed, pass.now);
        let run = self.jobs.get(&id)?;
        let (spec, priority) = (run.spec.clone(), run.urgency.priority);
        if pass.preemption.machines.is_none() {
            pass.preemption = self.preemption_candidates(guaranteed, now);
        }
        let PreemptionCandidates { machines: Some(candidates), max_capacity, scanned } = &mut pass.preemption
        else {
            return None;
        };
        if !max_capacity.fits(&spec.task_resources) {
            return None;
        }
        let borrowed = if guaranteed { self.borrowed() } else { BTreeMap::new() };
        let mut best: Option<(u64, MachineId, Vec<(TaskId, Attempt)>, u32)> = None;
        for (machine_id, _) in candidates.iter().filter(|(_, capacity)| capacity.fits(&spec.task_resources)) {
            *scanned += 1;
            let Some(m) = self.machines.get(machine_id) else { continue };
            if image && !m.images.contains(&spec.image)
                || !m.suits(&spec)
                || !fleet::zone_allows_task(&spec, &m.zone, zones)
                || m.reserved_priority.is_some_and(|(_, until)| now < until)
            {
                continue;
            }
            let mut reclaimable = borrowed.clone();
            // The only task of an array that has not yet run long enough is preempted last:
            // it may be the first task of a starved job.
            let may_be_first = |t: &TaskId| {
                self.jobs
                    .get(&t.job)
                    .is_some_and(|r| !r.started && r.spec.kind == Kind::Array && r.bound.len() == 1)
            };
            let mut victims: Vec<(bool, u64, TaskId, Attempt)> = m
                .tasks
                .iter()
                .filter(|(_, (_, s))| *s != TaskState::Starting)
                .map(|(t, (a, _))| (may_be_first(t), m.started.get(t).map_or(0, |x| now.since(*x).0), *t, *a))
                .collect();
            // The last started tasks lose the least work.
            victims.sort();
            let mut free = m.free();
            let (mut lost, mut chosen) = (0, Vec::new());
            for (_, ran, t, a) in victims {
                if free.fits(&spec.task_resources) {
                    break;
                }
                let Some(r) = self.jobs.get(&t.job) else { continue };
                let lower = r.urgency.priority < priority;
                let reclaims = r.spec.team != spec.team
                    && reclaimable.get(&r.spec.team).is_some_and(|(c, g)| {
                        r.spec.task_resources.cpu <= *c && r.spec.task_resources.gpu <= *g
                    });
                if !lower && !reclaims {
                    continue;
                }
                if let Some((c, g)) = reclaimable.get_mut(&r.spec.team) {
                    *c = c.saturating_sub(r.spec.task_resources.cpu);
                    *g = g.saturating_sub(r.spec.task_resources.gpu);
                }
                free = free.plus(r.spec.task_resources);
                lost += ran + 1;
                chosen.push((t, a));
            }
            let fitting = free.max_copies(&spec.task_resources, 1000) as u32;
            if fitting > 0 && !chosen.is_empty() && best.as_ref().is_none_or(|(l, ..)| lost < *l) {
                best = Some((lost, machine_id.clone(), chosen, fitting));
            }
        }
        let (_, machine_id, chosen, fitting) = best?;
        for (task, attempt) in &chosen {
            info!("{task}: preempted on {machine_id} for {id}");
            self.request_stop(*task, *attempt, &machine_id, Micros(0), now);
        }
        let m = self.machines.get_mut(&machine_id)?;
        m.reserved_priority = Some((priority, now + Micros::secs(2)));
        let here = zones.get(&m.zone).copied().unwrap_or(0);
        Some((m.zone.clone(), fitting.min(spec.max_tasks_per_zone().saturating_sub(here)).max(1)))
    }

    /// Machines with tasks that replicas, or a team within its guarantee, may preempt, and the
    /// maximum capacity that this would free.
    fn preemption_candidates(&self, guaranteed: bool, now: Micros) -> PreemptionCandidates {
        let contact = self.controllers_in_contact(now);
        let mut found = PreemptionCandidates::default();
        let mut machines = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| m.is_reachable(&contact)) {
            let mut capacity = m.free();
            let mut preemptible = false;
            for (t, _) in m.tasks.iter().filter(|(_, (_, s))| *s != TaskState::Starting) {
                let Some(r) = self.jobs.get(&t.job) else { continue };
                if guaranteed || r.urgency.priority < Priority::Production {
                    capacity = capacity.plus(r.spec.task_resources);
                    preemptible = true;
                }
            }
            if preemptible {
                found.max_capacity.cpu = found.max_capacity.cpu.max(capacity.cpu);
                found.max_capacity.gpu = found.max_capacity.gpu.max(capacity.gpu);
                found.max_capacity.mem = found.max_capacity.mem.max(capacity.mem);
                machines.push((id.clone(), capacity));
            }
        }
        found.machines = Some(machines);
        found
    }

    /// Records a stop request for an attempt and marks an update to the machine's controller as
    /// due.
    pub(super) fn request_stop(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        machine: &MachineId,
        grace: Micros,
        now: Micros,
    ) {
        let req = StopRequest { task, attempt, machine: machine.clone(), grace };
        self.pending_stops.insert((task, attempt), (req, now));
        if let Some(h) = self.machines.get(machine).and_then(|m| m.holder)
            && let Some(n) = self.nodes.get_mut(h.0 as usize)
        {
            n.update_due = true;
        }
    }
}
