//! Machines: what is asked of the cloud.
use super::*;

/// An array of which nothing runs has waited for a while after this, in
/// milliseconds.
const THIRSTY_MS: u64 = 30_000;
/// One in so many ordinary machines may hold nothing but arrays while spot ones
/// are sold out.
const ORDINARY_PART: usize = 2;
/// Spot machines are sold out when in so long a time only a few could be had for
/// what waits.
const SOLD_OUT: Micros = Micros::secs(60);
/// Waiting tasks for each spot machine that was had meanwhile.
const FEW: usize = 4;
/// While spot machines are more than one in so many of the CPUs of ordinary ones, work
/// that waits for them gets its turn there: a small deployment has few at any time.
const SPOT_THERE: u64 = 10;

impl Leader {
    /// Decides what to rent and return; what to ask the cloud now.
    pub fn fleet(&mut self, flavors: &[Flavor], now: Micros) -> Vec<CloudWish> {
        let mut wishes = Vec::new();
        if !self.granted {
            return wishes;
        }
        if now >= self.fleet_at {
            let passed = now.since(self.measured);
            self.measured = now;
            self.fleet_at = now + Micros::millis(400);
            self.measure();
            for m in self.machines.values_mut() {
                m.busy += m.used.cpu as u128 * passed.0 as u128;
            }
            self.drain_warned(now);
            let suspects = self.machines.iter().filter(|(_, m)| !m.failed_jobs.is_empty());
            let suspects: Vec<MachineId> = suspects.map(|(id, _)| id.clone()).collect();
            suspects.iter().for_each(|id| self.take_out_if_guilty(id));
            self.watch_zones(now);
            self.return_idle(flavors, now);
            self.tell_waits(now);
            if now >= self.rent_not_before {
                self.plan_hires(flavors, now);
            }
            let forgotten = &mut self.forgotten;
            self.gone.retain(|_, (t, stamp)| {
                let keep = now.since(*t) < Micros::secs(600);
                *forgotten = if keep { *forgotten } else { (*forgotten).max(*stamp) };
                keep
            });
        }
        wishes.extend(self.deletions(now));
        for (req, stage, _) in self.hires.values() {
            if *stage == HireStage::Recorded {
                wishes.push(CloudWish::Hire(req.clone()));
            }
        }
        let pause = match self.list_from {
            Some(_) => growth::list_page_pause(self.ctx.cloud_rps),
            None => growth::LIST_PAUSE,
        };
        if !self.listing && now.since(self.listed) >= pause {
            wishes.push(CloudWish::List(self.list_from.clone()));
        }
        wishes
    }

    /// Deletions that are due.
    pub fn deletions(&self, now: Micros) -> Option<CloudWish> {
        let doomed: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.stage == Stage::Deleting && m.delete_sent.is_none_or(|t| now.since(t) > Micros::secs(3))
            })
            .map(|(id, _)| id.clone())
            .take(growth::NAMES_A_DELETION)
            .collect();
        (!doomed.is_empty()).then_some(CloudWish::Delete(doomed))
    }

    /// A wish went out.
    pub fn wish_sent(&mut self, wish: &CloudWish, now: Micros) {
        match wish {
            CloudWish::Delete(ids) => {
                for id in ids {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.delete_sent = Some(now);
                    }
                }
            }
            CloudWish::Hire(r) => {
                if let Some(h) = self.hires.get_mut(&r.name) {
                    h.1 = HireStage::Called;
                    h.2 = now;
                }
            }
            CloudWish::List(_) => self.listing = true,
        }
    }

    /// The cloud deleted these.
    pub fn deleted(&mut self, ids: &[MachineId], now: Micros) {
        for id in ids {
            self.machine_gone(id, now);
        }
    }

    /// A deletion was not confirmed; it is sent again.
    pub fn delete_failed(&mut self, ids: &[MachineId], now: Micros) {
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                // In half a second, whatever the usual pause.
                m.delete_sent = Some(now - Micros::millis(2500));
            }
        }
    }

    /// A rental ended: machines, a refusal (`Some(empty)`), or nobody knows.
    pub fn hired(&mut self, req: &HireRequest, got: Option<&[String]>, sizes: &Sizes, now: Micros) {
        let Some(hosts) = got else {
            // The same name again gives the same machines.
            if let Some(h) = self.hires.get_mut(&req.name) {
                h.1 = HireStage::Recorded;
            }
            return;
        };
        self.hires.remove(&req.name);
        if req.spot && !hosts.is_empty() {
            self.spot_had.push_back((now, hosts.len()));
        }
        if hosts.len() < req.count as usize {
            self.refused.insert((req.build.clone(), req.zone.clone(), req.spot), now);
        }
        info!(
            "rented {} of {} {} in {}{}",
            hosts.len(),
            req.count,
            req.build,
            req.zone,
            if req.spot { ", spot" } else { "" }
        );
        for h in hosts {
            let id = MachineId::from(&**h);
            if self.gone.contains_key(&id) || self.machines.contains_key(&id) {
                continue;
            }
            let rec = MachineRecord {
                machine_type: req.build.clone(),
                zone: req.zone.clone(),
                spot: req.spot,
                addr: String::new(),
            };
            let size = sizes.get(&req.build).copied().unwrap_or_default();
            self.machines.insert(id, Machine::new(&rec, size, Stage::Booting, now));
        }
    }

    /// A page of the list (or none, if the call failed).
    pub fn listed(&mut self, page: Option<&Rentals>, sizes: &Sizes, now: Micros) {
        self.listing = false;
        self.listed = now;
        let Some(page) = page else { return };
        let last = page.machines.last().filter(|_| page.truncated);
        self.list_from = last.map(|r| r.name.clone());
        for r in &page.machines {
            let id = MachineId::from(&*r.name);
            if self.gone.contains_key(&id) {
                continue;
            }
            match self.machines.get_mut(&id) {
                Some(m) => {
                    let (failed, deleting) = (r.state == "failed", m.stage == Stage::Deleting);
                    if m.addr.is_empty() {
                        m.addr = r.addr.clone();
                        self.tell(&id);
                    }
                    if failed && !deleting {
                        self.delete(&id, "it failed", now);
                    }
                }
                None => {
                    let Some(size) = sizes.get(&r.machine_type) else { continue };
                    let rec = MachineRecord {
                        machine_type: r.machine_type.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        addr: r.addr.clone(),
                    };
                    info!("{id}: found in the list ({} in {}, {})", r.machine_type, rec.zone, r.state);
                    let mut m = Machine::new(&rec, *size, Stage::Booting, now);
                    m.since = now - Micros::from_secs_f64(r.age_s);
                    self.machines.insert(id.clone(), m);
                    if r.state == "failed" {
                        self.delete(&id, "it failed", now);
                    }
                }
            }
        }
    }

    /// Closes zones of which nothing is heard, and opens them again.
    fn watch_zones(&mut self, now: Micros) {
        let mut sights: BTreeMap<String, Sight> = BTreeMap::new();
        for (id, m) in &self.machines {
            let seen = self.last_seen.get(id).map(|x| x.1);
            let sight = match sights.get_mut(&m.zone) {
                Some(s) => s,
                None => sights.entry(m.zone.clone()).or_default(),
            };
            sight.up += (m.stage == Stage::Up) as u32;
            // Also of one that is being deleted: it is the way that counts.
            sight.heard = sight.heard.max(m.heard.max(seen));
        }
        // All of a zone's workers report in a quarter more than this.
        let patience = self.ctx.report.max(Micros::secs(4)) + Micros::secs(2);
        let listens_from = self.lateness.silent_from(self.began + Micros::secs(2));
        for turn in self.health.look(&sights, listens_from, patience, now) {
            self.dirty = true;
            match turn {
                Turn::Closed(zone, up, silent) => warn!(
                    "zone {zone} is closed to renting: nothing of its {up} machines for {:.1} s, while others are heard",
                    silent.as_secs_f64()
                ),
                Turn::Opened(zone, after) => {
                    info!("zone {zone} is open to renting again after {:.1} s", after.as_secs_f64())
                }
            }
        }
    }

    /// How many more machines may be asked for in a zone; no bound while it is open.
    fn probes_left(&self, zone: &str, now: Micros) -> Option<u32> {
        let allowed = self.health.allowed(zone, now)?;
        let booting = self.machines.values().filter(|m| m.stage == Stage::Booting && m.zone == zone).count();
        let asked: u32 = self.hires.values().filter(|(r, ..)| r.zone == zone).map(|(r, ..)| r.count).sum();
        Some(allowed.saturating_sub(booting as u32 + asked))
    }

    pub(super) fn drain_warned(&mut self, now: Micros) {
        // Work that can be saved is saved before the cloud takes the machine.
        let mut stops = Vec::new();
        for (id, m) in &self.machines {
            let Some(until) = m.warning else { continue };
            for (t, (a, s)) in &m.tasks {
                let Some(r) = self.jobs.get(&t.job) else { continue };
                let save = Micros::from_secs_f64(r.spec.checkpoint_save_s);
                let left = until - now;
                // The notice may be half as long as it says.
                if r.spec.checkpoint_interval_s > 0.0
                    && *s == TaskState::Running
                    && left.scale(1, 2) <= save + Micros::millis(2500)
                    && left > save
                    && !self.stops.contains_key(&(*t, *a))
                {
                    stops.push((*t, *a, id.clone(), save.scale(3, 2) + Micros::millis(1000)));
                }
            }
        }
        for (t, a, id, grace) in stops {
            info!("{t}: saved and stopped, {id} is taken back");
            self.stop(t, a, &id, grace, now);
        }
        let machines = &self.machines;
        self.stops.retain(|(t, a), (r, _)| {
            machines.get(&r.machine).is_some_and(|m| m.tasks.get(t).is_some_and(|x| x.0 == *a))
        });
    }

    pub(super) fn return_idle(&mut self, flavors: &[Flavor], now: Micros) {
        let mut back = Vec::new();
        let waiting = self.jobs.values().any(|r| !r.over && !r.held && r.waiting() > 0);
        // Room for replicas that come, by zone: ordinary machines only.
        let mut spare: BTreeMap<String, u64> = BTreeMap::new();
        for m in self.machines.values().filter(|m| !m.spot && m.usable()) {
            *spare.entry(m.zone.clone()).or_default() += m.free().cpu;
        }
        let targets = self.spare_targets(now);
        let least = (self.ctx.operator.spare_cpus * 1000.0) as u64;
        let list: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in list {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            match m.stage {
                Stage::Booting => {
                    let boot = flavors.iter().find(|f| f.name == m.build).map_or(60.0, |f| f.boot_s);
                    if now.since(m.since) > Micros::from_secs_f64(boot * 4.0 + 20.0) {
                        back.push((id, "it never came up"));
                    }
                }
                Stage::Up if m.confirmed && m.empty() => {
                    let idle = now.since(*m.idle_since.get_or_insert(now));
                    if m.draining.is_some() {
                        back.push((id, "out of use and empty"));
                        continue;
                    }
                    if idle < self.ctx.operator.idle_return || m.warning.is_some() {
                        continue;
                    }
                    if !m.spot {
                        let s = spare.entry(m.zone.clone()).or_default();
                        let keep = targets.get(&m.zone).copied().unwrap_or(least);
                        if s.saturating_sub(m.size.cpu) < keep {
                            continue;
                        }
                        *s -= m.size.cpu;
                    }
                    if waiting && idle < self.ctx.operator.idle_return.scale(3, 1) {
                        continue;
                    }
                    back.push((id, "idle"));
                }
                Stage::Up => m.idle_since = None,
                Stage::Deleting => {}
            }
        }
        for (id, why) in back {
            self.delete(&id, why, now);
        }
    }

    /// CPUs of a machine that work below the highest priority takes.
    fn lent(&self, m: &Machine) -> u64 {
        let lower =
            |t: &&TaskId| self.jobs.get(&t.job).is_some_and(|r| r.urgency.priority < Priority::Production);
        m.tasks.keys().filter(lower).map(|t| self.jobs[&t.job].spec.task_resources.cpu).sum()
    }

    /// Room that should be there for production replicas that come, by zone:
    /// for the largest service there is, and for what comes while a machine
    /// boots, as far as the last minute tells; never more than a tenth of what
    /// runs, or a start from nothing would be taken for the usual flow.
    fn spare_targets(&self, now: Micros) -> BTreeMap<String, u64> {
        let least = (self.ctx.operator.spare_cpus * 1000.0) as u64;
        let all = self.machines.values().map(|m| &m.zone);
        let zones: BTreeSet<&String> = all.filter(|z| !self.health.is_closed(z)).collect();
        let minute_ago = self.wall_ms(now).saturating_sub(60_000);
        let (mut largest, mut recent, mut running) = (0, 0, 0);
        let services = |r: &&Run| {
            r.spec.kind == Kind::Service && r.spec.priority == Priority::Production && !r.over && !r.held
        };
        for r in self.jobs.values().filter(services) {
            largest = largest.max(r.spec.task_resources.cpu * r.spec.max_tasks_per_zone() as u64);
            running += r.spec.task_resources.cpu * r.bound.len() as u64;
            if r.ready_ms > minute_ago {
                recent += r.spec.task_resources.cpu * r.spec.tasks as u64;
            }
        }
        if largest == 0 {
            return BTreeMap::new();
        }
        let flow = (recent / 2).min(running / 10) / zones.len().max(1) as u64;
        zones.into_iter().map(|z| (z.clone(), least.max(largest).max(flow))).collect()
    }

    pub(super) fn plan_hires(&mut self, flavors: &[Flavor], now: Micros) {
        let open = growth::open_rentals(self.ctx.cloud_rps);
        if self.hires.len() >= open {
            return;
        }
        let mut offers = Vec::new();
        for f in flavors {
            let size = Resources::capacity(f.cpus, f.gpus, f.memory_gb);
            for z in &f.zones {
                for spot in [false, true] {
                    let price = if spot { f.spot_price } else { Some(f.hourly_price) };
                    let Some(price) = price else { continue };
                    let key = (f.name.clone(), z.clone(), spot);
                    let refused = self.refused.get(&key).is_some_and(|t| now.since(*t) < Micros::secs(8));
                    if self.hires.values().any(|(r, ..)| (&r.build, &r.zone, r.spot) == (&f.name, z, spot)) {
                        continue;
                    }
                    offers.push(Offer {
                        build: f.name.clone(),
                        zone: z.clone(),
                        spot,
                        size,
                        price,
                        refused,
                        boot_s: f.boot_s,
                    });
                }
            }
        }
        let mut rooms: Vec<Room> = self
            .machines
            .values()
            .filter(|m| m.draining.is_none() && m.warning.is_none() && !self.health.is_closed(&m.zone))
            .filter(|m| m.stage == Stage::Booting || (m.stage == Stage::Up && (m.confirmed || !m.unknown)))
            .filter(|m| !m.hearing.doubted_for(Micros::secs(5), now))
            .filter(|m| {
                // One that is late may never come.
                let boot = flavors.iter().find(|f| f.name == m.build).map_or(60.0, |f| f.boot_s);
                m.stage == Stage::Up || now.since(m.since) < Micros::from_secs_f64(boot * 1.8 + 5.0)
            })
            .map(|m| Room {
                build: m.build.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                size: m.size,
                free: m.free(),
                lent: if m.spot { 0 } else { self.lent(m) },
            })
            .collect();
        for (r, ..) in self.hires.values().filter(|(r, ..)| !self.health.is_closed(&r.zone)) {
            if let Some(f) = flavors.iter().find(|f| f.name == r.build) {
                let size = Resources::capacity(f.cpus, f.gpus, f.memory_gb);
                for _ in 0..r.count {
                    rooms.push(Room {
                        build: r.build.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        size,
                        free: size,
                        lent: 0,
                    });
                }
            }
        }
        let (wall_ms, slots) = (self.wall_ms(now), self.array_slots());
        let mut list: Vec<(Priority, (bool, u64, u64), Demand)> = Vec::new();
        let mut thirsty = 0;
        let mut running = 0.0;
        for r in self.jobs.values() {
            if r.spec.kind == Kind::Array {
                running += self.ends_soon(r) as f64;
            }
            let waiting = r.may_start();
            // A job that fails wherever it is gets no more machines; one whose
            // attempts are bounded comes to its end the sooner.
            let hopeless = r.failures > 5 && !r.proven && r.spec.max_attempts.is_none();
            if waiting == 0 || r.over || r.held || self.blocked(r) || hopeless {
                continue;
            }
            let waited = |ms: u64| r.bound.is_empty() && wall_ms > r.ready_ms + ms;
            let (starving, dry) = (waited(90_000), waited(THIRSTY_MS) && r.spec.kind == Kind::Array);
            thirsty += if dry { waiting as usize } else { 0 };
            list.push((
                r.urgency.priority,
                r.order(wall_ms, slots),
                Demand { spec: r.spec.clone(), waiting, starving, thirsty: dry, zones: self.zones_of(r) },
            ));
        }
        list.sort_by_key(|(rank, order, d)| (std::cmp::Reverse(*rank), *order, d.spec.id));
        let mut demands: Vec<Demand> = list.into_iter().map(|x| x.2).collect();
        self.keep_to_limits(&mut demands);
        let policy = Policy {
            spare: self.spare_targets(now),
            drain_s: 20.0,
            running_arrays: running,
            ordinary_for_arrays: self.ordinary_for_arrays(thirsty, now),
            max_new: self
                .ctx
                .operator
                .max_machines
                .saturating_sub(self.machines.len())
                .min(growth::machines_added(self.machines.len())),
        };
        let full = policy.max_new == 0 && !demands.is_empty();
        if std::mem::replace(&mut self.fleet_full, full) != full && full {
            warn!("max_machines is reached: work waits and nothing more is rented");
        }
        // A closed zone is tried with a few machines, and only where the work
        // would want them there.
        let mut wants = BTreeMap::new();
        if self.health.any_closed() {
            let (closed, open): (Vec<Offer>, Vec<Offer>) =
                offers.iter().cloned().partition(|o| self.health.is_closed(&o.zone));
            let zones: BTreeSet<&String> = closed.iter().map(|o| &o.zone).collect();
            let mut left: BTreeMap<String, u32> =
                zones.into_iter().filter_map(|z| Some((z.clone(), self.probes_left(z, now)?))).collect();
            if left.values().any(|n| *n > 0) {
                for (w, n) in fleet::plan(rooms.clone(), &demands, &offers, &policy) {
                    let Some(left) = left.get_mut(&w.zone).filter(|l| **l > 0) else { continue };
                    let n = n.min(*left);
                    *left -= n;
                    wants.insert(w, n);
                }
            }
            offers = open;
        }
        wants.extend(fleet::plan(rooms, &demands, &offers, &policy));
        for (want, machines) in wants {
            self.ask_for(&want, machines, open, now);
        }
    }

    /// Asks for machines of one kind, in as many rentals as they take and may be open;
    /// in one at least, so that no kind waits for the others.
    pub(super) fn ask_for(&mut self, want: &Want, machines: u32, open: usize, now: Micros) {
        let mut left = machines;
        loop {
            let count = left.min(growth::MACHINES_A_RENTAL);
            self.hire_count += 1;
            let name = format!("g-{}-{}", self.term, self.hire_count);
            let req = HireRequest {
                name: name.clone(),
                build: want.build.clone(),
                zone: want.zone.clone(),
                spot: want.spot,
                count,
            };
            self.hires.insert(name, (req, HireStage::ToRecord, now));
            left -= count;
            if left == 0 || self.hires.len() >= open {
                return;
            }
        }
    }

    /// Ordinary machines that may be added for arrays while spot ones are sold
    /// out: with those that hold nothing but arrays now, a part of all that are
    /// there. Replicas that come stop work on these, as on any.
    fn ordinary_for_arrays(&mut self, thirsty: usize, now: Micros) -> usize {
        while self.spot_had.front().is_some_and(|(t, _)| now.since(*t) >= SOLD_OUT) {
            self.spot_had.pop_front();
        }
        let had: usize = self.spot_had.iter().map(|(_, n)| n).sum();
        if thirsty <= had * FEW || now.since(self.began) < SOLD_OUT {
            return 0;
        }
        let cpus = |spot| {
            let there = self.machines.values().filter(|m| m.spot == spot && m.stage == Stage::Up);
            there.map(|m| m.size.cpu).sum::<u64>()
        };
        if cpus(true) * SPOT_THERE > cpus(false) {
            return 0;
        }
        let ordinary = || self.machines.values().filter(|m| !m.spot && m.stage != Stage::Deleting);
        let of_array = |t: &TaskId| self.jobs.get(&t.job).is_some_and(|r| r.spec.kind == Kind::Array);
        let given = ordinary()
            .filter(|m| m.stage == Stage::Booting || !m.tasks.is_empty() && m.tasks.keys().all(of_array));
        (ordinary().count() / ORDINARY_PART).saturating_sub(given.count())
    }

    /// Tasks of an array whose ends will be heard: where nothing is heard,
    /// nothing ends.
    fn ends_soon(&self, r: &Run) -> usize {
        if !self.health.any_closed() {
            return r.bound.len();
        }
        let lost = |id: &MachineId| self.machines.get(id).is_some_and(|m| self.health.is_closed(&m.zone));
        r.bound.values().filter(|b| b.on.is_empty() || !b.on.iter().all(lost)).count()
    }

    /// Leaves of what waits, in the order in which it is served, only what the
    /// teams' limits let start: a machine for the rest would stand idle.
    pub(super) fn keep_to_limits(&self, demands: &mut Vec<Demand>) {
        let mut left: BTreeMap<&str, Resources> = BTreeMap::new();
        for team in &self.ctx.teams {
            let max = Resources::capacity(team.cpus_max, team.gpus_max, 0.0);
            if max.cpu == 0 && max.gpu == 0 {
                continue;
            }
            let (cpu, gpu) = self.sums.teams.get(&team.name).copied().unwrap_or_default();
            // No limit is meant by 0.
            let of = |max: u64, used: u64| if max == 0 { u64::MAX } else { max.saturating_sub(used) };
            left.insert(
                &team.name,
                Resources { cpu: of(max.cpu, cpu), gpu: of(max.gpu, gpu), mem: u64::MAX },
            );
        }
        demands.retain_mut(|d| {
            let Some(room) = left.get_mut(d.spec.team.as_str()) else { return true };
            d.waiting = room.max_copies(&d.spec.task_resources, d.waiting as u64) as u32;
            for _ in 0..d.waiting {
                *room = room.saturating_sub(d.spec.task_resources);
            }
            d.waiting > 0
        });
    }
}
