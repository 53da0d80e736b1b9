//! What goes next, and where: SFQ, limits, placement, preemption.
use super::*;

impl Leader {
    pub(super) fn measure(&mut self) {
        let jobs = &self.jobs;
        for m in self.machines.values_mut() {
            m.used = m.tasks.keys().fold(Resources::default(), |u, t| {
                u.plus(jobs.get(&t.job).map_or(Resources::default(), |r| r.spec.need))
            });
            // A task whose job is forgotten still takes room.
            if m.tasks.keys().any(|t| !jobs.contains_key(&t.job)) {
                m.used = m.size;
            }
        }
    }

    /// CPUs and GPUs of a team's bound tasks, wherever they may be.
    pub(super) fn team_use(&self, team: &str) -> (u64, u64) {
        self.jobs.values().filter(|r| r.spec.team == team).fold((0, 0), |(c, g), r| {
            let n = r.bound.len() as u64;
            (c + n * r.spec.need.cpu, g + n * r.spec.need.gpu)
        })
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

    pub(super) fn zones_of(&self, run: &Run) -> HashMap<String, u32> {
        let mut zones: HashMap<String, u32> = HashMap::new();
        if !run.spec.spread && !run.spec.one_zone {
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

    pub(super) fn find(&self, run: &Run, zones: &HashMap<String, u32>, now: Micros) -> Option<MachineId> {
        let mut zone_cpu: HashMap<&str, u64> = HashMap::new();
        if run.spec.kind == Kind::Service {
            for m in self.machines.values().filter(|m| !m.spot && m.stage != Stage::Deleting) {
                *zone_cpu.entry(&m.zone).or_default() += m.size.cpu;
            }
        }
        self.machines
            .iter()
            .filter(|(_, m)| m.usable())
            .filter(|(_, m)| m.holder.is_some_and(|h| self.in_contact(h, now)))
            .filter(|(_, m)| m.heard.is_some_and(|t| now.since(t) < Micros::secs(4)))
            .filter(|(_, m)| m.kept_for.is_none_or(|(r, until)| run.spec.rank >= r || now >= until))
            .filter(|(id, _)| run.proven || !run.failed_on.contains(id) || run.failed_on.len() > 3)
            .filter(|(_, m)| fleet::zone_ok(&run.spec, &m.zone, zones))
            .filter_map(|(id, m)| {
                let c = Candidate {
                    build: &m.build,
                    zone: &m.zone,
                    spot: m.spot,
                    size: &m.size,
                    free: m.free(),
                    image: m.images.contains(&run.spec.image),
                    zone_cpu: zone_cpu.get(m.zone.as_str()).copied().unwrap_or(0),
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

    pub(super) fn schedule(&mut self, now: Micros) {
        let wall_ms = self.wall_ms(now);
        self.measure();
        for rank in RANKS {
            let mut teams: BTreeMap<String, Vec<((bool, u64, u64), JobId)>> = BTreeMap::new();
            let ids: Vec<JobId> =
                self.jobs.iter().filter(|(_, r)| r.spec.rank == rank && !r.over).map(|(i, _)| *i).collect();
            for id in ids {
                let Some(run) = self.jobs.get_mut(&id) else { continue };
                if run.retry_at > now {
                    self.dirty = true;
                    continue;
                }
                if run.peek().is_none() {
                    continue;
                }
                let Some(run) = self.jobs.get(&id) else { continue };
                if !self.blocked(run) {
                    teams.entry(run.spec.team.clone()).or_default().push((run.order(wall_ms), id));
                }
            }
            let mut queue = self.queues.remove(&rank).unwrap_or_default();
            for t in &self.ctx.teams {
                let w = self.ctx.operator.team_weights.get(&t.name).copied().unwrap_or(1.0);
                queue.set_waiting(&t.name, teams.contains_key(&t.name), self.ctx.operator.task_cost, w);
            }
            teams.values_mut().for_each(|v| v.sort());
            let mut stuck: BTreeSet<String> = BTreeSet::new();
            let mut made_room: u32 = 0;
            // The smallest eligible start tag goes next.
            while let Some((_, team)) = queue.order().into_iter().find(|(_, t)| !stuck.contains(t)) {
                let Some(list) = teams.get_mut(&team) else { break };
                let mut served = false;
                while let Some((_, id)) = list.first().copied() {
                    let Some(index) = self.jobs.get_mut(&id).and_then(Run::peek) else {
                        list.remove(0);
                        continue;
                    };
                    let Some(run) = self.jobs.get(&id) else { break };
                    if self.over_limit(&run.spec) {
                        list.remove(0);
                        continue;
                    }
                    let zones = self.zones_of(run);
                    match self.find(run, &zones, now) {
                        Some(machine) if self.better_with_image(id, &machine, now) => {
                            // Batch work that holds the room where the image
                            // is gives way: a fetch takes seconds.
                            let zones = zones.clone();
                            let made = self.make_room(id, &zones, true, now);
                            made_room += made;
                            if let Some(run) = self.jobs.get_mut(&id) {
                                run.patience.get_or_insert(if made > 0 {
                                    now + Micros::millis(700)
                                } else {
                                    now
                                });
                            }
                            self.dirty = true;
                            list.remove(0);
                            continue;
                        }
                        Some(machine) => {
                            self.hand_out(TaskId { job: id, index }, machine);
                            served = true;
                        }
                        None => {
                            if rank == Rank::Production && made_room < 8 {
                                made_room += self.make_room(id, &zones, false, now);
                            }
                            list.remove(0);
                            continue;
                        }
                    }
                    break;
                }
                if served {
                    queue.serve(&team);
                } else {
                    queue.set_waiting(&team, false, self.ctx.operator.task_cost, 1.0);
                    stuck.insert(team);
                }
            }
            self.queues.insert(rank, queue);
        }
    }

    pub(super) fn hand_out(&mut self, task: TaskId, hint: MachineId) {
        let attempt = Attempt(self.draw());
        let Some(m) = self.machines.get(&hint) else { return };
        let (Some(node), zone) = (m.holder, m.zone.clone()) else { return };
        let Some(run) = self.jobs.get_mut(&task.job) else { return };
        let machines: BTreeSet<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.holder == Some(node) && run.spec.allows(&m.build, &m.zone, m.spot, &m.size))
            .map(|(id, _)| id.clone())
            .collect();
        let incarnation = self.nodes.get(node.0 as usize).map_or(0, |n| n.incarnation);
        let fixed = run.spec.spread || run.spec.one_zone;
        let out = HandOut { task, attempt, zone: fixed.then(|| zone.clone()), hint: hint.clone() };
        let need = run.spec.need;
        run.again.remove(&task.index);
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
        self.handouts.insert(attempt, (node, out));
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

    /// Stops work of lower priority so that a task of `id` fits; the number
    /// of tasks stopped.
    pub(super) fn make_room(
        &mut self,
        id: JobId,
        zones: &HashMap<String, u32>,
        image: bool,
        now: Micros,
    ) -> u32 {
        let Some(run) = self.jobs.get(&id) else { return 0 };
        let spec = run.spec.clone();
        let mut best: Option<(u64, MachineId, Vec<(TaskId, Attempt)>)> = None;
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
            let mut victims: Vec<(u64, TaskId, Attempt, Resources)> = m
                .tasks
                .iter()
                .filter_map(|(t, (a, s))| {
                    let r = self.jobs.get(&t.job)?;
                    let ran = m.started.get(t).map_or(0, |x| now.since(*x).0);
                    (r.spec.rank < spec.rank && *s != TaskState::Starting).then_some((
                        ran,
                        *t,
                        *a,
                        r.spec.need,
                    ))
                })
                .collect();
            victims.sort_by_key(|v| (v.0, v.1));
            let mut free = m.free();
            let (mut lost, mut chosen) = (0, Vec::new());
            for (ran, t, a, need) in victims {
                if free.fits(&spec.need) {
                    break;
                }
                free = free.plus(need);
                lost += ran + 1;
                chosen.push((t, a));
            }
            if free.fits(&spec.need) && best.as_ref().is_none_or(|(l, ..)| lost < *l) {
                best = Some((lost, mid.clone(), chosen));
            }
        }
        let Some((_, mid, chosen)) = best else { return 0 };
        for (task, attempt) in &chosen {
            info!("{task}: stopped on {mid} to make room for {id}");
            self.stop(*task, *attempt, &mid, Micros(0), now);
        }
        if let Some(m) = self.machines.get_mut(&mid) {
            m.kept_for = Some((spec.rank, now + Micros::secs(2)));
        }
        chosen.len() as u32
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
