//! What goes next, and where: SFQ, limits, placement, preemption.
use super::assignments::{Handed, first_watched};
use super::*;

/// What the tasks of a machine take. A task whose job is forgotten takes all.
pub(super) fn used(m: &Machine, jobs: &BTreeMap<JobId, Run>) -> Resources {
    let mut sum = Resources::default();
    for t in m.tasks.keys() {
        match jobs.get(&t.job) {
            Some(r) => sum = sum.plus(r.spec.task_resources),
            None => return m.size,
        }
    }
    sum
}

/// Jobs that have a task to start, by priority and team, in the order in which
/// they are served, and the least that one of their tasks takes.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    ranks: BTreeMap<Priority, BTreeMap<String, Rc<[JobId]>>>,
    least_cpu: BTreeMap<Priority, u64>,
    /// Those that nothing ran of for very long, the earliest first.
    pub(super) overdue: Vec<JobId>,
    made: Micros,
    /// When a job may be tried again that is left out for now.
    retry: Option<Micros>,
    /// Machines may hold anything: what they hold up changes with every report.
    unsure: bool,
}

impl Waiting {
    /// At the beginning of a term.
    pub(super) fn new() -> Self {
        Waiting { unsure: true, ..Waiting::default() }
    }
}

/// How long the order of waiting jobs is kept while nothing begins to wait.
const ORDER_KEPT: Micros = Micros::millis(250);

/// Machines that one pass looks at to stop work on: a burst of replicas is
/// served in several passes, so that none takes long.
const LOOKED_AT: usize = 8_000;

/// Hand-outs of arrays wait while so many have no outcome: each is kept, told and
/// counted, and an array of 25,000 short tasks would fill a leader's memory with them.
const ON_THEIR_WAY: usize = 2_000;

/// What a pass has found out about room that lower work would leave.
#[derive(Debug, Default)]
pub(super) struct Lendable {
    /// Machines with work that may be stopped, and the room if all of it went.
    machines: Option<Vec<(MachineId, Resources)>>,
    most: Resources,
    looked: usize,
}

impl Lendable {
    /// Whether so much can be had anywhere by stopping work.
    fn any(&self, need: &Resources) -> bool {
        self.machines.is_none() || self.most.fits(need)
    }
}

/// What one pass keeps in mind.
struct Pass {
    guaranteed: bool,
    lendable: Lendable,
    now: Micros,
}

impl Leader {
    /// Adds up what the tasks take of machines on which they changed.
    pub(super) fn measure(&mut self) {
        let jobs = &self.jobs;
        for m in self.machines.values_mut().filter(|m| m.stale) {
            m.stale = false;
            m.used = used(m, jobs);
        }
    }

    /// CPUs and GPUs of a team's bound tasks, wherever they may be.
    pub(super) fn team_use(&self, team: &str) -> (u64, u64) {
        self.sums.teams.get(team).copied().unwrap_or_default()
    }

    pub(super) fn over_limit(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.ctx.teams.iter().find(|t| t.name == spec.team) else { return true };
        if team.cpus_max == 0.0 && team.gpus_max == 0.0 {
            return false;
        }
        // Machines that nobody heard yet may hold anybody's tasks.
        if self.unsure() {
            return true;
        }
        let (c, g) = self.team_use(&spec.team);
        let max = Resources::capacity(team.cpus_max, team.gpus_max, 0.0);
        (max.cpu > 0 && c + spec.task_resources.cpu > max.cpu)
            || (max.gpu > 0 && g + spec.task_resources.gpu > max.gpu)
    }

    /// Whether there are machines that nobody heard in this term. Once there are
    /// none, there are none for the rest of it.
    fn unsure(&self) -> bool {
        self.waiting.unsure && self.machines.values().any(|m| m.unknown)
    }

    /// Whether a machine that nobody heard may hold a task of the job.
    pub(super) fn blocked(&self, run: &Run) -> bool {
        run.stamp <= self.began_stamp
            && self.waiting.unsure
            && self.machines.values().any(|m| m.unknown && m.suits(&run.spec))
    }

    pub(super) fn zones_of(&self, run: &Run) -> BTreeMap<String, u32> {
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        if !run.spec.has_zone_constraint() {
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

    /// The time of day, as far as it can be told from the steady clock.
    pub(super) fn wall_ms(&self, now: Micros) -> u64 {
        self.began_ms + now.since(self.began).0 / 1000
    }

    /// Hands out what can be: first what fits into the teams' guarantees, then
    /// by priority, and within it by the smallest eligible start tag.
    pub(super) fn schedule(&mut self, now: Micros) {
        self.measure();
        let kept = now.since(self.waiting.made) < ORDER_KEPT && !self.waiting.unsure;
        if self.requeue || !kept || self.waiting.retry.is_some_and(|t| now >= t) {
            self.requeue = false;
            self.waiting = self.waiting_jobs(now);
        }
        // Who waits only for time is looked at again when it has passed.
        self.dirty |= self.waiting.retry.is_some();
        if self.waiting.ranks.is_empty() {
            return;
        }
        self.settle_rooms(now);
        self.serve_overdue(now);
        let borrowing = self.ctx.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0);
        for guaranteed in [true, false].into_iter().filter(|g| borrowing || !g) {
            let mut pass = Pass { guaranteed, lendable: Lendable::default(), now };
            for rank in PRIORITIES {
                self.serve_rank(rank, &mut pass);
            }
        }
    }

    /// Array tasks that are on machines or on their way.
    pub fn array_slots(&self) -> u64 {
        self.sums.arrays
    }

    /// The jobs that have a task to start, by priority and team, in order.
    fn waiting_jobs(&mut self, now: Micros) -> Waiting {
        let wall_ms = self.wall_ms(now);
        let slots = self.array_slots();
        let mut waiting = Waiting { made: now, unsure: self.unsure(), ..Waiting::default() };
        let mut ranks: BTreeMap<Priority, BTreeMap<String, Vec<((bool, u64, u64), JobId)>>> = BTreeMap::new();
        let mut ready: Vec<JobId> = Vec::new();
        let (mut overdue, mut begun): (Vec<(u64, JobId)>, Vec<JobId>) = Default::default();
        for (id, run) in self.jobs.iter_mut().filter(|(_, r)| !r.over && !r.held) {
            let later = if run.retry_at > now { Some(run.retry_at) } else { run.goes_back_at(now) };
            if let Some(at) = later {
                waiting.retry = Some(waiting.retry.map_or(at, |t| t.min(at)));
            }
            if run.retry_at <= now && run.used_up().is_none() && run.peek().is_some() && !run.held_back() {
                ready.push(*id);
            }
        }
        for id in ready {
            let Some(run) = self.jobs.get(&id) else { continue };
            if waiting.unsure && self.blocked(run) {
                continue;
            }
            if !run.begun && wall_ms > run.ready_ms + overdue::OVERDUE_MS {
                match self.has_begun(id, run, now) {
                    true => begun.push(id),
                    false => overdue.push((run.ready_ms, id)),
                }
            }
            let (rank, cpu) = (run.urgency.priority, run.spec.task_resources.cpu);
            let least = waiting.least_cpu.entry(rank).or_insert(cpu);
            *least = cpu.min(*least);
            let teams = ranks.entry(rank).or_default();
            teams.entry(run.spec.team.clone()).or_default().push((run.order(wall_ms, slots), id));
        }
        for id in begun {
            if let Some(run) = self.jobs.get_mut(&id) {
                run.begun = true;
            }
        }
        overdue.sort();
        // In turn, as those before them get their task.
        waiting.overdue = overdue.into_iter().map(|(_, id)| id).take(50).collect();
        let sorted = |mut v: Vec<_>| {
            v.sort();
            v.into_iter().map(|(_, id)| id).collect()
        };
        let by_team = |teams: BTreeMap<String, Vec<_>>| {
            teams.into_iter().map(|(t, v)| (t, sorted(v))).collect::<BTreeMap<_, _>>()
        };
        waiting.ranks = ranks.into_iter().map(|(rank, teams)| (rank, by_team(teams))).collect();
        waiting
    }

    /// A team's weight in the queues.
    pub(super) fn weight(&self, team: &str) -> f64 {
        self.ctx.operator.team_weights.get(team).copied().unwrap_or(1.0)
    }

    fn serve_rank(&mut self, rank: Priority, pass: &mut Pass) {
        let teams = self.waiting.ranks.get(&rank).cloned().unwrap_or_default();
        let least = self.waiting.least_cpu.get(&rank).copied().unwrap_or(0);
        let mut queue = self.queues.remove(&rank).unwrap_or_default();
        let cost = self.ctx.operator.task_cost;
        for t in &self.ctx.teams {
            queue.set_waiting(&t.name, teams.contains_key(&t.name), cost, self.weight(&t.name));
        }
        let mut next: BTreeMap<&str, usize> = BTreeMap::new();
        let mut stuck: BTreeSet<String> = BTreeSet::new();
        let need = Resources { cpu: least, gpu: 0, mem: 0 };
        let preempts = pass.guaranteed || rank == Priority::Production;
        'rank: while let Some((_, team)) = queue.order().into_iter().find(|(_, t)| !stuck.contains(t)) {
            let Some((team, list)) = teams.get_key_value(&team) else { break };
            let at = next.entry(team).or_default();
            let mut served = false;
            while let Some(id) = list.get(*at).copied() {
                if self.serve_job(id, pass) {
                    served = true;
                    break;
                }
                *at += 1;
                // Where nothing has room for the least that waits, the rest of
                // them need not be looked at.
                if !(self.rooms.any(least) || preempts && pass.lendable.any(&need)) {
                    break 'rank;
                }
            }
            if served {
                queue.serve(team);
            } else {
                stuck.insert(team.clone());
            }
        }
        self.queues.insert(rank, queue);
    }

    /// Hands out one task of a job; false if none can be now.
    fn serve_job(&mut self, id: JobId, pass: &mut Pass) -> bool {
        let now = pass.now;
        let Some(run) = self.jobs.get_mut(&id).filter(|r| !r.over) else { return false };
        let Some(index) = run.peek() else { return false };
        let may_preempt =
            (pass.guaranteed || run.urgency.priority == Priority::Production) && now >= run.room_until;
        let need = run.spec.task_resources;
        if !(self.rooms.any(need.cpu) || may_preempt && pass.lendable.any(&need)) {
            return false;
        }
        let Some(run) = self.jobs.get(&id) else { return false };
        let crowded = self.handouts.len() >= ON_THEIR_WAY && run.spec.kind == Kind::Array;
        if crowded
            || run.held_back()
            || self.over_limit(&run.spec)
            || pass.guaranteed && !self.within_guarantee(&run.spec)
        {
            return false;
        }
        let zones = self.zones_of(run);
        match self.find(run, &zones, now) {
            Some(machine) if self.better_with_image(id, &machine, now) => {
                // Batch work that holds the room where the image is gives way:
                // a fetch takes seconds.
                let made = may_preempt && self.make_room(id, &zones, true, pass).is_some();
                if let Some(run) = self.jobs.get_mut(&id) {
                    run.patience.get_or_insert(if made { now + Micros::millis(700) } else { now });
                }
                self.dirty = true;
                false
            }
            Some(machine) => {
                self.hand_out(TaskId { job: id, index }, machine);
                true
            }
            None if may_preempt && pass.lendable.looked >= LOOKED_AT => {
                self.dirty = true;
                false
            }
            None if may_preempt => {
                // Room for all that waits at once; what was stopped needs a
                // moment to go, and stopping more meanwhile would be waste.
                let (mut zones, mut left) = (zones, run.may_start());
                while left > 0 {
                    let Some((zone, room)) = self.make_room(id, &zones, false, pass) else { break };
                    *zones.entry(zone).or_default() += room.min(left);
                    left -= room.min(left);
                }
                if let Some(run) = self.jobs.get_mut(&id) {
                    run.room_until = now + Micros::millis(800);
                }
                false
            }
            None => false,
        }
    }

    /// Whether one more such task fits into its team's guarantee.
    fn within_guarantee(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.ctx.teams.iter().find(|t| t.name == spec.team) else { return false };
        let (c, g) = self.team_use(&spec.team);
        let own = Resources::capacity(team.cpus, team.gpus, 0.0);
        (c + spec.task_resources.cpu <= own.cpu || spec.task_resources.cpu == 0)
            && (g + spec.task_resources.gpu <= own.gpu || spec.task_resources.gpu == 0)
    }

    /// Teams that use more than their guarantee, and by how much.
    fn borrowed(&self) -> BTreeMap<String, (u64, u64)> {
        let teams = self.ctx.teams.iter().map(|t| {
            let (c, g) = self.team_use(&t.name);
            let own = Resources::capacity(t.cpus, t.gpus, 0.0);
            (t.name.clone(), (c.saturating_sub(own.cpu), g.saturating_sub(own.gpu)))
        });
        teams.filter(|(_, b)| *b != (0, 0)).collect()
    }

    pub(super) fn hand_out(&mut self, task: TaskId, hint: MachineId) {
        let attempt = Attempt(self.draw());
        let Some(m) = self.machines.get(&hint) else { return };
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
        let image = if m.images.contains(&run.spec.image) { "has" } else { "fetches" };
        debug!("{task}: handed out for {hint}, which {image} its image, attempt {}", attempt.0);
        let fixed = run.spec.has_zone_constraint();
        let out = HandOut { task, attempt, zone: fixed.then(|| zone.clone()), hint: hint.clone() };
        let need = run.spec.task_resources;
        run.again.remove(&task.index);
        self.sums.bound(&run.spec);
        let watched = first_watched(&machines, &run.spec, attempt, &self.machines);
        self.handed.watch(task, watched.as_ref());
        let handed = Handed { incarnation, machines, hint: hint.clone(), zone, watched };
        let binding = Binding { attempt, handed: Some(handed), on: BTreeSet::new() };
        let bound_before = run.bound.insert(task.index, binding);
        if bound_before.is_some() {
            self.violations += 1;
            error!("invariant violated name=assigned_while_bound task={task} attempt={}", attempt.0);
        }
        if let Some(m) = self.machines.get_mut(&hint) {
            m.reserved.insert(attempt, need);
            m.images.insert(run.spec.image.clone());
            m.idle_since = None;
            self.rooms.put(&hint, m, true);
        }
        let at = self.books.hand_out(task);
        self.handouts.insert(attempt, OnItsWay { to: node, out, covered_by: at, sent: None });
        if let Some(n) = self.nodes.get_mut(node.0 as usize) {
            n.dirty = true;
        }
    }

    /// Whether a replica should rather wait a moment for room on a machine that
    /// has its image.
    pub(super) fn better_with_image(&self, id: JobId, found: &MachineId, now: Micros) -> bool {
        let Some(run) = self.jobs.get(&id) else { return false };
        run.spec.kind == Kind::Service
            && run.spec.priority == Priority::Production
            && run.patience.is_none_or(|until| now < until)
            && self.machines.get(found).is_some_and(|m| !m.images.contains(&run.spec.image))
            && self.machines.values().any(|m| m.images.contains(&run.spec.image))
    }

    /// Stops work so that a task of `id` fits on some machine: work of lower
    /// priority, or, for a team within its guarantee, what others borrowed.
    /// The zone, and how many such tasks fit there then.
    fn make_room(
        &mut self,
        id: JobId,
        zones: &BTreeMap<String, u32>,
        image: bool,
        pass: &mut Pass,
    ) -> Option<(String, u32)> {
        let (guaranteed, now) = (pass.guaranteed, pass.now);
        let run = self.jobs.get(&id)?;
        let (spec, rank) = (run.spec.clone(), run.urgency.priority);
        if pass.lendable.machines.is_none() {
            pass.lendable = self.lendable(guaranteed, now);
        }
        let Lendable { machines: Some(lent), most, looked } = &mut pass.lendable else { return None };
        if !most.fits(&spec.task_resources) {
            return None;
        }
        let borrowed = if guaranteed { self.borrowed() } else { BTreeMap::new() };
        let mut best: Option<(u64, MachineId, Vec<(TaskId, Attempt)>, u32)> = None;
        for (mid, _) in lent.iter().filter(|(_, room)| room.fits(&spec.task_resources)) {
            *looked += 1;
            let Some(m) = self.machines.get(mid) else { continue };
            if image && !m.images.contains(&spec.image)
                || !m.suits(&spec)
                || !fleet::zone_ok(&spec, &m.zone, zones)
                || m.kept_for.is_some_and(|(_, until)| now < until)
            {
                continue;
            }
            let mut lendable = borrowed.clone();
            // The first task of a job that waited too long goes last.
            let first = |t: &TaskId| {
                self.jobs
                    .get(&t.job)
                    .is_some_and(|r| !r.begun && r.spec.kind == Kind::Array && r.bound.len() == 1)
            };
            let mut victims: Vec<(bool, u64, TaskId, Attempt)> = m
                .tasks
                .iter()
                .filter(|(_, (_, s))| *s != TaskState::Starting)
                .map(|(t, (a, _))| (first(t), m.started.get(t).map_or(0, |x| now.since(*x).0), *t, *a))
                .collect();
            // The least work lost: the last ones started.
            victims.sort();
            let mut free = m.free();
            let (mut lost, mut chosen) = (0, Vec::new());
            for (_, ran, t, a) in victims {
                if free.fits(&spec.task_resources) {
                    break;
                }
                let Some(r) = self.jobs.get(&t.job) else { continue };
                let lower = r.urgency.priority < rank;
                let lent = r.spec.team != spec.team
                    && lendable.get(&r.spec.team).is_some_and(|(c, g)| {
                        r.spec.task_resources.cpu <= *c && r.spec.task_resources.gpu <= *g
                    });
                if !lower && !lent {
                    continue;
                }
                if let Some((c, g)) = lendable.get_mut(&r.spec.team) {
                    *c = c.saturating_sub(r.spec.task_resources.cpu);
                    *g = g.saturating_sub(r.spec.task_resources.gpu);
                }
                free = free.plus(r.spec.task_resources);
                lost += ran + 1;
                chosen.push((t, a));
            }
            let room = free.max_copies(&spec.task_resources, 1000) as u32;
            if room > 0 && !chosen.is_empty() && best.as_ref().is_none_or(|(l, ..)| lost < *l) {
                best = Some((lost, mid.clone(), chosen, room));
            }
        }
        let (_, mid, chosen, room) = best?;
        for (task, attempt) in &chosen {
            info!("{task}: stopped on {mid} to make room for {id}");
            self.stop(*task, *attempt, &mid, Micros(0), now);
        }
        let m = self.machines.get_mut(&mid)?;
        m.kept_for = Some((rank, now + Micros::secs(2)));
        let here = zones.get(&m.zone).copied().unwrap_or(0);
        Some((m.zone.clone(), room.min(spec.max_tasks_per_zone().saturating_sub(here)).max(1)))
    }

    /// Machines with work that replicas, or a team within its guarantee, may
    /// have stopped, and the most room that this would leave.
    fn lendable(&self, guaranteed: bool, now: Micros) -> Lendable {
        let contact = self.contacts(now);
        let mut l = Lendable::default();
        let mut machines = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| m.in_reach(&contact)) {
            let mut room = m.free();
            let mut some = false;
            for (t, _) in m.tasks.iter().filter(|(_, (_, s))| *s != TaskState::Starting) {
                let Some(r) = self.jobs.get(&t.job) else { continue };
                if guaranteed || r.urgency.priority < Priority::Production {
                    room = room.plus(r.spec.task_resources);
                    some = true;
                }
            }
            if some {
                l.most.cpu = l.most.cpu.max(room.cpu);
                l.most.gpu = l.most.gpu.max(room.gpu);
                l.most.mem = l.most.mem.max(room.mem);
                machines.push((id.clone(), room));
            }
        }
        l.machines = Some(machines);
        l
    }

    pub(super) fn stop(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        machine: &MachineId,
        grace: Micros,
        now: Micros,
    ) {
        let req = StopRequest { task, attempt, machine: machine.clone(), grace };
        self.stops.insert((task, attempt), (req, now));
        if let Some(h) = self.machines.get(machine).and_then(|m| m.holder)
            && let Some(n) = self.nodes.get_mut(h.0 as usize)
        {
            n.dirty = true;
        }
    }
}
