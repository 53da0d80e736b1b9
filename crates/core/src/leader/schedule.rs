//! What goes next, and where: SFQ, limits, placement, preemption.
use super::*;

/// What the tasks of a machine take. A task whose job is forgotten takes all.
pub(super) fn used(m: &Machine, jobs: &BTreeMap<JobId, Run>) -> Resources {
    let mut sum = Resources::default();
    for t in m.tasks.keys() {
        match jobs.get(&t.job) {
            Some(r) => sum = sum.plus(r.spec.need),
            None => return m.size,
        }
    }
    sum
}

/// The most room that any one machine of a kind has, by dimension: where that
/// is not enough, no machine of the kind need be looked at.
#[derive(Debug, Default)]
pub(super) struct Roomiest {
    kinds: Vec<RoomiestKind>,
    /// CPUs of ordinary machines by zone, in thousandths.
    zone_cpu: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct RoomiestKind {
    build: String,
    zone: String,
    spot: bool,
    size: Resources,
    free: Resources,
}

/// Jobs that have a task to start, by priority and team, in order.
type Waiting = BTreeMap<Rank, BTreeMap<String, VecDeque<JobId>>>;

impl Roomiest {
    fn add(&mut self, m: &Machine) {
        let same = |k: &&mut RoomiestKind| (&k.build, &k.zone, k.spot) == (&m.build, &m.zone, m.spot);
        let free = m.free();
        match self.kinds.iter_mut().find(same) {
            Some(k) => {
                k.free.cpu = k.free.cpu.max(free.cpu);
                k.free.gpu = k.free.gpu.max(free.gpu);
                k.free.mem = k.free.mem.max(free.mem);
            }
            None => self.kinds.push(RoomiestKind {
                build: m.build.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                size: m.size,
                free,
            }),
        }
    }

    /// Whether a machine with room for a task of the job may exist.
    fn may_hold(&self, spec: &JobSpec, zones: &BTreeMap<String, u32>) -> bool {
        self.kinds.iter().any(|k| {
            k.free.fits(&spec.need)
                && spec.allows(&k.build, &k.zone, k.spot, &k.size)
                && fleet::zone_ok(spec, &k.zone, zones)
        })
    }
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
        if self.machines.values().any(|m| m.unknown) {
            return true;
        }
        let (c, g) = self.team_use(&spec.team);
        let max = Resources::have(team.cpus_max, team.gpus_max, 0.0);
        (max.cpu > 0 && c + spec.need.cpu > max.cpu) || (max.gpu > 0 && g + spec.need.gpu > max.gpu)
    }

    /// Whether a machine that nobody heard may hold a task of the job.
    pub(super) fn blocked(&self, run: &Run) -> bool {
        run.stamp <= self.began_stamp
            && self
                .machines
                .values()
                .any(|m| m.unknown && run.spec.allows(&m.build, &m.zone, m.spot, &m.size))
    }

    pub(super) fn zones_of(&self, run: &Run) -> BTreeMap<String, u32> {
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        if !run.spec.has_zone_rule() {
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

    /// A machine that tasks may be handed to.
    fn open(&self, m: &Machine, now: Micros) -> bool {
        m.usable()
            && m.holder.is_some_and(|h| self.in_contact(h, now))
            && m.heard.is_some_and(|t| now.since(t) < Micros::secs(4))
    }

    fn roomiest(&self, now: Micros) -> Roomiest {
        let mut r = Roomiest::default();
        for m in self.machines.values() {
            if !m.spot && m.stage != Stage::Deleting {
                match r.zone_cpu.get_mut(&m.zone) {
                    Some(z) => *z += m.size.cpu,
                    None => drop(r.zone_cpu.insert(m.zone.clone(), m.size.cpu)),
                }
            }
            if self.open(m, now) {
                r.add(m);
            }
        }
        r
    }

    fn find(
        &self,
        run: &Run,
        zones: &BTreeMap<String, u32>,
        most: &Roomiest,
        now: Micros,
    ) -> Option<MachineId> {
        if !most.may_hold(&run.spec, zones) {
            return None;
        }
        let zone_cpu = |z: &str| match run.spec.kind {
            Kind::Service => most.zone_cpu.get(z).copied().unwrap_or(0),
            Kind::Array => 0,
        };
        self.machines
            .iter()
            .filter(|(_, m)| m.size.minus(m.used).fits(&run.spec.need) && self.open(m, now))
            .filter(|(_, m)| m.kept_for.is_none_or(|(r, until)| run.spec.rank >= r || now >= until))
            .filter(|(id, _)| {
                // Whose attempts are bounded uses them up where there is room:
                // waiting for another machine would only put off its end.
                let again = run.proven || run.spec.attempts.is_some() || run.failed_on.len() > 3;
                again || !run.failed_on.contains(id)
            })
            .filter(|(_, m)| fleet::zone_ok(&run.spec, &m.zone, zones))
            .filter_map(|(id, m)| {
                let c = Candidate {
                    build: &m.build,
                    zone: &m.zone,
                    spot: m.spot,
                    size: &m.size,
                    free: m.free(),
                    image: m.images.contains(&run.spec.image),
                    zone_cpu: zone_cpu(&m.zone),
                };
                // A machine on which something failed comes last.
                Some(((m.failures > 0, placement::score(&run.spec, &c, None)?), id))
            })
            .min()
            .map(|(_, id)| id.clone())
    }

    /// The time of day, as far as it can be told from the steady clock.
    pub(super) fn wall_ms(&self, now: Micros) -> u64 {
        self.began_ms + now.since(self.began).0 / 1000
    }

    /// Hands out what can be: first what fits into the teams' guarantees, then
    /// by priority, and within it by the smallest eligible start tag.
    pub(super) fn schedule(&mut self, now: Micros) {
        self.measure();
        let waiting = self.waiting_jobs(now);
        if waiting.is_empty() {
            return;
        }
        let most = self.roomiest(now);
        if self.ctx.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0) {
            for rank in RANKS {
                self.serve_rank(rank, waiting.get(&rank), &most, true, now);
            }
        }
        for rank in RANKS {
            self.serve_rank(rank, waiting.get(&rank), &most, false, now);
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
        let unknown = self.machines.values().any(|m| m.unknown);
        let mut waiting: BTreeMap<Rank, BTreeMap<String, Vec<((bool, u64, u64), JobId)>>> = BTreeMap::new();
        let mut ready: Vec<JobId> = Vec::new();
        for (id, run) in self.jobs.iter_mut().filter(|(_, r)| !r.over && !r.held) {
            if run.retry_at > now {
                self.dirty = true;
            } else if run.used_up().is_none() && run.peek().is_some() {
                ready.push(*id);
            }
        }
        for id in ready {
            let Some(run) = self.jobs.get(&id) else { continue };
            if unknown && self.blocked(run) {
                continue;
            }
            let teams = waiting.entry(run.spec.rank).or_default();
            teams.entry(run.spec.team.clone()).or_default().push((run.order(wall_ms, slots), id));
        }
        let sorted = |mut v: Vec<_>| {
            v.sort();
            v.into_iter().map(|(_, id)| id).collect()
        };
        let by_team = |teams: BTreeMap<String, Vec<_>>| {
            teams.into_iter().map(|(t, v)| (t, sorted(v))).collect::<BTreeMap<_, _>>()
        };
        waiting.into_iter().map(|(rank, teams)| (rank, by_team(teams))).collect()
    }

    fn serve_rank(
        &mut self,
        rank: Rank,
        waiting: Option<&BTreeMap<String, VecDeque<JobId>>>,
        most: &Roomiest,
        guaranteed: bool,
        now: Micros,
    ) {
        let mut teams = waiting.cloned().unwrap_or_default();
        let mut queue = self.queues.remove(&rank).unwrap_or_default();
        let cost = self.ctx.operator.task_cost;
        for t in &self.ctx.teams {
            let w = self.ctx.operator.team_weights.get(&t.name).copied().unwrap_or(1.0);
            queue.set_waiting(&t.name, teams.contains_key(&t.name), cost, w);
        }
        let mut stuck: BTreeSet<String> = BTreeSet::new();
        while let Some((_, team)) = queue.order().into_iter().find(|(_, t)| !stuck.contains(t)) {
            let Some(list) = teams.get_mut(&team) else { break };
            let mut served = false;
            while let Some(id) = list.front().copied() {
                if self.serve_job(id, most, guaranteed, now) {
                    served = true;
                    break;
                }
                list.pop_front();
            }
            if served {
                queue.serve(&team);
            } else {
                stuck.insert(team);
            }
        }
        self.queues.insert(rank, queue);
    }

    /// Hands out one task of a job; false if none can be now.
    fn serve_job(&mut self, id: JobId, most: &Roomiest, guaranteed: bool, now: Micros) -> bool {
        let Some(index) = self.jobs.get_mut(&id).and_then(Run::peek) else { return false };
        let Some(run) = self.jobs.get(&id) else { return false };
        if self.over_limit(&run.spec) || guaranteed && !self.within_guarantee(&run.spec) {
            return false;
        }
        let may_preempt = (guaranteed || run.spec.rank == Rank::Production) && now >= run.room_until;
        let zones = self.zones_of(run);
        match self.find(run, &zones, most, now) {
            Some(machine) if self.better_with_image(id, &machine, now) => {
                // Batch work that holds the room where the image is gives way:
                // a fetch takes seconds.
                let made = may_preempt && self.make_room(id, &zones, true, guaranteed, now).is_some();
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
            None if may_preempt => {
                // Room for all that waits at once; what was stopped needs a
                // moment to go, and stopping more meanwhile would be waste.
                let (mut zones, mut left) = (zones, run.waiting());
                while left > 0 {
                    let Some((zone, room)) = self.make_room(id, &zones, false, guaranteed, now) else {
                        break;
                    };
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
        let own = Resources::have(team.cpus, team.gpus, 0.0);
        (c + spec.need.cpu <= own.cpu || spec.need.cpu == 0)
            && (g + spec.need.gpu <= own.gpu || spec.need.gpu == 0)
    }

    /// Teams that use more than their guarantee, and by how much.
    fn borrowed(&self) -> BTreeMap<String, (u64, u64)> {
        let teams = self.ctx.teams.iter().map(|t| {
            let (c, g) = self.team_use(&t.name);
            let own = Resources::have(t.cpus, t.gpus, 0.0);
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
        let fixed = run.spec.has_zone_rule();
        let out = HandOut { task, attempt, zone: fixed.then(|| zone.clone()), hint: hint.clone() };
        let need = run.spec.need;
        run.again.remove(&task.index);
        self.sums.bound(&run.spec);
        self.handed.insert(task);
        run.bound.insert(
            task.index,
            Binding {
                attempt,
                handed: Some(Handed { incarnation, machines, hint: hint.clone(), zone }),
                on: BTreeSet::new(),
            },
        );
        if let Some(m) = self.machines.get_mut(&hint) {
            m.reserved.insert(attempt, need);
            m.images.insert(run.spec.image.clone());
            m.idle_since = None;
        }
        let at = self.books.hand_out(task);
        self.handouts.insert(attempt, (node, out, at));
        if let Some(n) = self.nodes.get_mut(node.0 as usize) {
            n.dirty = true;
        }
    }

    /// Whether a replica should rather wait a moment for room on a machine that
    /// has its image.
    pub(super) fn better_with_image(&self, id: JobId, found: &MachineId, now: Micros) -> bool {
        let Some(run) = self.jobs.get(&id) else { return false };
        run.spec.kind == Kind::Service
            && run.spec.rank == Rank::Production
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
        guaranteed: bool,
        now: Micros,
    ) -> Option<(String, u32)> {
        let spec = self.jobs.get(&id)?.spec.clone();
        let borrowed = if guaranteed { self.borrowed() } else { BTreeMap::new() };
        let mut best: Option<(u64, MachineId, Vec<(TaskId, Attempt)>, u32)> = None;
        for (mid, m) in &self.machines {
            if !m.usable()
                || image && !m.images.contains(&spec.image)
                || !m.holder.is_some_and(|h| self.in_contact(h, now))
                || !spec.allows(&m.build, &m.zone, m.spot, &m.size)
                || !fleet::zone_ok(&spec, &m.zone, zones)
                || m.kept_for.is_some_and(|(_, until)| now < until)
            {
                continue;
            }
            let mut lendable = borrowed.clone();
            let mut victims: Vec<(u64, TaskId, Attempt)> = m
                .tasks
                .iter()
                .filter(|(_, (_, s))| *s != TaskState::Starting)
                .map(|(t, (a, _))| (m.started.get(t).map_or(0, |x| now.since(*x).0), *t, *a))
                .collect();
            // The least work lost: the last ones started.
            victims.sort();
            let mut free = m.free();
            let (mut lost, mut chosen) = (0, Vec::new());
            for (ran, t, a) in victims {
                if free.fits(&spec.need) {
                    break;
                }
                let Some(r) = self.jobs.get(&t.job) else { continue };
                let lower = r.spec.rank < spec.rank;
                let lent = r.spec.team != spec.team
                    && lendable
                        .get(&r.spec.team)
                        .is_some_and(|(c, g)| r.spec.need.cpu <= *c && r.spec.need.gpu <= *g);
                if !lower && !lent {
                    continue;
                }
                if let Some((c, g)) = lendable.get_mut(&r.spec.team) {
                    *c = c.saturating_sub(r.spec.need.cpu);
                    *g = g.saturating_sub(r.spec.need.gpu);
                }
                free = free.plus(r.spec.need);
                lost += ran + 1;
                chosen.push((t, a));
            }
            let room = free.count(&spec.need, 1000) as u32;
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
        m.kept_for = Some((spec.rank, now + Micros::secs(2)));
        let here = zones.get(&m.zone).copied().unwrap_or(0);
        Some((m.zone.clone(), room.min(spec.zone_cap().saturating_sub(here)).max(1)))
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
