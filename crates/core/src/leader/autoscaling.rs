//! Autoscaling: rents and deletes machines, and applies the cloud's responses.
use super::*;

/// An array that has run nothing for this long may get on-demand machines while spot machines
/// are sold out.
const ON_DEMAND_WAIT_MS: u64 = 30_000;
/// One in this many on-demand machines may hold only array tasks while spot machines are sold
/// out.
const ON_DEMAND_PER_ARRAY_MACHINE: usize = 2;
/// Spot machines count as sold out when few were rented within this time, compared with the
/// pending tasks.
const SPOT_SOLD_OUT_WINDOW: Micros = Micros::secs(60);
/// Spot machines are sold out when more than this many tasks of long-pending arrays wait for each
/// spot machine rented within `SPOT_SOLD_OUT_WINDOW`.
const PENDING_PER_SPOT_RENTAL: usize = 4;
/// While spot machines have more than one CPU for this many CPUs of on-demand machines, they do
/// not count as sold out: pending arrays are served on them. A small deployment has only a
/// few spot machines at any time.
const ON_DEMAND_TO_SPOT_CPU_RATIO: u64 = 10;

impl Leader {
    /// Decides which machines to rent and delete, and returns the calls to make to the cloud now.
    pub fn autoscale(&mut self, flavors: &[Flavor], now: Micros) -> Vec<CloudRequest> {
        let mut requests = Vec::new();
        if !self.grants_started {
            return requests;
        }
        if now >= self.next_autoscale_at {
            let passed = now.since(self.usage_measured_at);
            self.usage_measured_at = now;
            self.next_autoscale_at = now + Micros::millis(400);
            self.refresh_usage();
            for m in self.machines.values_mut() {
                m.used_cpu_time += m.used.cpu as u128 * passed.0 as u128;
            }
            self.save_tasks_before_reclaim(now);
            let suspects = self.machines.iter().filter(|(_, m)| !m.failed_jobs.is_empty());
            let suspects: Vec<MachineId> = suspects.map(|(id, _)| id.clone()).collect();
            suspects.iter().for_each(|id| self.drain_if_faulty(id));
            self.update_zone_health(now);
            self.delete_idle(flavors, now);
            self.log_longest_pending(now);
            if now >= self.rent_not_before {
                self.plan_scale_out(flavors, now);
            }
            let min_base = &mut self.min_update_base;
            self.deleted_machines.retain(|_, (t, update_seq)| {
                let keep = now.since(*t) < Micros::secs(600);
                *min_base = if keep { *min_base } else { (*min_base).max(*update_seq) };
                keep
            });
        }
        requests.extend(self.due_deletions(now));
        for (req, stage, _) in self.scale_out_requests.values() {
            if *stage == ScaleOutStage::Recorded {
                requests.push(CloudRequest::Rent(req.clone()));
            }
        }
        let interval = match self.list_cursor {
            Some(_) => scaling_limits::list_page_interval(self.config.cloud_rps),
            None => scaling_limits::LIST_INTERVAL,
        };
        if !self.list_pending && now.since(self.listed_at) >= interval {
            requests.push(CloudRequest::List(self.list_cursor.clone()));
        }
        requests
    }

    /// The deletion call to send now, if machines are to be deleted. An unconfirmed deletion is
    /// sent again after 3 s.
    pub fn due_deletions(&self, now: Micros) -> Option<CloudRequest> {
        let ids: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.stage == Stage::Deleting && m.delete_sent_at.is_none_or(|t| now.since(t) > Micros::secs(3))
            })
            .map(|(id, _)| id.clone())
            .take(scaling_limits::MAX_MACHINES_PER_DELETION)
            .collect();
        (!ids.is_empty()).then_some(CloudRequest::Delete(ids))
    }

    /// Records that a call to the cloud was sent.
    pub fn cloud_request_sent(&mut self, request: &CloudRequest, now: Micros) {
        match request {
            CloudRequest::Delete(ids) => {
                for id in ids {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.delete_sent_at = Some(now);
                    }
                }
            }
            CloudRequest::Rent(r) => {
                if let Some(h) = self.scale_out_requests.get_mut(&r.name) {
                    h.1 = ScaleOutStage::Requested;
                    h.2 = now;
                }
            }
            CloudRequest::List(_) => self.list_pending = true,
        }
    }

    /// Removes machines whose deletion the cloud confirmed.
    pub fn deletion_confirmed(&mut self, ids: &[MachineId], now: Micros) {
        for id in ids {
            self.remove_machine(id, now);
        }
    }

    /// Makes an unconfirmed deletion due again.
    pub fn deletion_unconfirmed(&mut self, ids: &[MachineId], now: Micros) {
        for id in ids {
            if let Some(m) = self.machines.get_mut(id) {
                // Due in 0.5 s instead of the usual 3 s.
                m.delete_sent_at = now.before(Micros::millis(2500));
            }
        }
    }

    /// Applies the result of a scale-out request: the rented machines, a refusal (`Some` of an empty
    /// slice), or an unknown result (`None`).
    pub fn rental_finished(
        &mut self,
        req: &ScaleOutRequest,
        result: Option<&[String]>,
        sizes: &MachineSizes,
        now: Micros,
    ) {
        let Some(machines) = result else {
            // Sent again under the same name, for which the cloud returns the same machines.
            if let Some(h) = self.scale_out_requests.get_mut(&req.name) {
                h.1 = ScaleOutStage::Recorded;
            }
            return;
        };
        self.scale_out_requests.remove(&req.name);
        if req.spot && !machines.is_empty() {
            self.recent_spot_rentals.push_back((now, machines.len()));
        }
        if machines.len() < req.count as usize {
            self.refused_offers.insert((req.machine_type.clone(), req.zone.clone(), req.spot), now);
        }
        info!(
            "rented {} of {} {} in {}{}",
            machines.len(),
            req.count,
            req.machine_type,
            req.zone,
            if req.spot { ", spot" } else { "" }
        );
        for h in machines {
            let id = MachineId::from(&**h);
            if self.deleted_machines.contains_key(&id) || self.machines.contains_key(&id) {
                continue;
            }
            let rec = MachineRecord {
                machine_type: req.machine_type.clone(),
                zone: req.zone.clone(),
                spot: req.spot,
                addr: String::new(),
            };
            let size = sizes.get(&req.machine_type).copied().unwrap_or_default();
            self.machines.insert(id, Machine::new(&rec, size, Stage::Booting, now));
        }
    }

    /// Applies a page of the cloud's machine list; `None` if the call failed.
    pub fn list_page_received(&mut self, page: Option<&Rentals>, sizes: &MachineSizes, now: Micros) {
        self.list_pending = false;
        self.listed_at = now;
        let Some(page) = page else { return };
        let last = page.machines.last().filter(|_| page.truncated);
        self.list_cursor = last.map(|r| r.name.clone());
        for r in &page.machines {
            let id = MachineId::from(&*r.name);
            if self.deleted_machines.contains_key(&id) {
                continue;
            }
            match self.machines.get_mut(&id) {
                Some(m) => {
                    let (failed, deleting) = (r.state == "failed", m.stage == Stage::Deleting);
                    if m.addr.is_empty() {
                        m.addr = r.addr.clone();
                        self.mark_changed(&id);
                    }
                    if failed && !deleting {
                        self.delete(&id, "the cloud reports that it failed", now);
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
                    info!(
                        "{id}: adopted from the cloud's list ({} in {}, {})",
                        r.machine_type, rec.zone, r.state
                    );
                    let mut m = Machine::new(&rec, *size, Stage::Booting, now);
                    // One that was rented before the clock began has at least the clock's age.
                    m.stage_since = now.before(Micros::from_secs_f64(r.age_s)).unwrap_or_default();
                    self.machines.insert(id.clone(), m);
                    if r.state == "failed" {
                        self.delete(&id, "the cloud reports that it failed", now);
                    }
                }
            }
        }
    }

    /// Closes zones without contact to renting, and opens them again.
    fn update_zone_health(&mut self, now: Micros) {
        let mut observations: BTreeMap<String, ZoneObservation> = BTreeMap::new();
        for (id, m) in &self.machines {
            let seen = self.last_seen.get(id).map(|x| x.1);
            let observation = match observations.get_mut(&m.zone) {
                Some(s) => s,
                None => observations.entry(m.zone.clone()).or_default(),
            };
            observation.up += (m.stage == Stage::Up) as u32;
            // Contact with a machine that is being deleted counts too, because it shows that the
            // network path is open.
            observation.last_contact = observation.last_contact.max(m.last_contact.max(seen));
        }
        // All workers of a zone send a heartbeat within 1.25 times the report interval.
        let max_silence = self.config.report_interval.max(Micros::secs(4)) + Micros::secs(2);
        let silence_from = self.lateness.silence_start(self.term_start + Micros::secs(2));
        for transition in self.zone_health.update(&observations, silence_from, max_silence, now) {
            self.needs_scheduling = true;
            match transition {
                ZoneTransition::Closed(zone, up, silent) => warn!(
                    "zone {zone} closed to renting: no contact with its {up} machines for {:.1} s, while other zones respond",
                    silent.as_secs_f64()
                ),
                ZoneTransition::Opened(zone, after) => {
                    info!("zone {zone} opened to renting again after {:.1} s", after.as_secs_f64())
                }
            }
        }
    }

    /// Machines that may still be requested in a zone; `None` if it is open, which means no bound.
    fn probes_left(&self, zone: &str, now: Micros) -> Option<u32> {
        let allowance = self.zone_health.probe_allowance(zone, now)?;
        let booting = self.machines.values().filter(|m| m.stage == Stage::Booting && m.zone == zone).count();
        let requested: u32 =
            self.scale_out_requests.values().filter(|(r, ..)| r.zone == zone).map(|(r, ..)| r.count).sum();
        Some(allowance.saturating_sub(booting as u32 + requested))
    }

    /// Stops tasks that can save a checkpoint before the cloud reclaims their spot machine, and
    /// drops stop orders whose attempt is no longer on its machine.
    pub(super) fn save_tasks_before_reclaim(&mut self, now: Micros) {
        let mut stops = Vec::new();
        for (id, m) in &self.machines {
            let Some(until) = m.preemption_at else { continue };
            for (t, (a, s)) in &m.tasks {
                let Some(r) = self.jobs.get(&t.job) else { continue };
                let save = Micros::from_secs_f64(r.spec.checkpoint_save_s);
                let left = until.since(now);
                // The cloud may reclaim the machine after half of the announced time.
                if r.spec.checkpoint_interval_s > 0.0
                    && *s == TaskState::Running
                    && left.scale(1, 2) <= save + Micros::millis(2500)
                    && left > save
                    && !self.pending_stops.contains_key(&(*t, *a))
                {
                    stops.push((*t, *a, id.clone(), save.scale(3, 2) + Micros::millis(1000)));
                }
            }
        }
        for (t, a, id, grace) in stops {
            info!("{t}: stopped to save a checkpoint, the cloud reclaims {id}");
            self.request_stop(t, a, &id, grace, now);
        }
        let machines = &self.machines;
        self.pending_stops.retain(|(t, a), (r, _)| {
            machines.get(&r.machine).is_some_and(|m| m.tasks.get(t).is_some_and(|x| x.0 == *a))
        });
    }

    /// Deletes machines that did not boot in time, that are drained, or that are idle beyond the
    /// spare capacity to keep.
    pub(super) fn delete_idle(&mut self, flavors: &[Flavor], now: Micros) {
        let mut to_delete = Vec::new();
        let any_pending = self.jobs.values().any(|r| !r.ended && !r.unreleased && r.pending_tasks() > 0);
        // Spare CPUs for new replicas by zone; only on-demand machines count.
        let mut spare: BTreeMap<String, u64> = BTreeMap::new();
        for m in self.machines.values().filter(|m| !m.spot && m.is_usable()) {
            *spare.entry(m.zone.clone()).or_default() += m.free().cpu;
        }
        let targets = self.spare_cpu_targets(now);
        let min_spare_cpu = (self.config.operator.spare_cpus * 1000.0) as u64;
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            match m.stage {
                Stage::Booting => {
                    let boot = flavors.iter().find(|f| f.name == m.machine_type).map_or(60.0, |f| f.boot_s);
                    if now.since(m.stage_since) > Micros::from_secs_f64(boot * 4.0 + 20.0) {
                        to_delete.push((id, "it did not boot in time"));
                    }
                }
                Stage::Up if m.confirmed && m.is_empty() => {
                    let idle = now.since(*m.idle_since.get_or_insert(now));
                    if m.draining.is_some() {
                        to_delete.push((id, "it is drained and empty"));
                        continue;
                    }
                    if idle < self.config.operator.idle_return || m.preemption_at.is_some() {
                        continue;
                    }
                    if !m.spot {
                        let s = spare.entry(m.zone.clone()).or_default();
                        let keep = targets.get(&m.zone).copied().unwrap_or(min_spare_cpu);
                        if s.saturating_sub(m.size.cpu) < keep {
                            continue;
                        }
                        *s -= m.size.cpu;
                    }
                    if any_pending && idle < self.config.operator.idle_return.scale(3, 1) {
                        continue;
                    }
                    to_delete.push((id, "idle"));
                }
                // Its token is being raised.
                Stage::Up if m.is_empty() => {}
                Stage::Up => m.idle_since = None,
                Stage::Deleting => {}
            }
        }
        for (id, why) in to_delete {
            self.delete(&id, why, now);
        }
    }

    /// CPUs, in thousandths, that tasks below the highest priority take on a machine.
    fn preemptible_cpu(&self, m: &Machine) -> u64 {
        let lower =
            |t: &&TaskId| self.jobs.get(&t.job).is_some_and(|r| r.urgency.priority < Priority::Production);
        m.tasks.keys().filter(lower).map(|t| self.jobs[&t.job].spec.task_resources.cpu).sum()
    }

    /// Spare CPUs, in thousandths, to keep in each open zone for new production replicas: the
    /// largest of the `spare_cpus` setting, the part of the largest service that one zone may
    /// hold, and the replicas expected while a machine boots. These are estimated as half of the
    /// last minute's new replicas, divided among the zones. The estimate never exceeds a tenth of
    /// the running replicas, because otherwise a start from nothing would count as the usual rate.
    fn spare_cpu_targets(&self, now: Micros) -> BTreeMap<String, u64> {
        let min_spare_cpu = (self.config.operator.spare_cpus * 1000.0) as u64;
        let all = self.machines.values().map(|m| &m.zone);
        let zones: BTreeSet<&String> = all.filter(|z| !self.zone_health.is_closed(z)).collect();
        let minute_ago = self.wall_ms(now).saturating_sub(60_000);
        let (mut largest, mut recent, mut running) = (0, 0, 0);
        let services = |r: &&JobRun| {
            r.spec.kind == Kind::Service
                && r.spec.priority == Priority::Production
                && !r.ended
                && !r.unreleased
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
        let expected = (recent / 2).min(running / 10) / zones.len().max(1) as u64;
        zones.into_iter().map(|z| (z.clone(), min_spare_cpu.max(largest).max(expected))).collect()
    }

    /// Creates scale-out requests for the pending tasks.
    pub(super) fn plan_scale_out(&mut self, flavors: &[Flavor], now: Micros) {
        let max_open = scaling_limits::max_open_rentals(self.config.cloud_rps);
        if self.scale_out_requests.len() >= max_open {
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
                    let refused =
                        self.refused_offers.get(&key).is_some_and(|t| now.since(*t) < Micros::secs(8));
                    if self
                        .scale_out_requests
                        .values()
                        .any(|(r, ..)| (&r.machine_type, &r.zone, r.spot) == (&f.name, z, spot))
                    {
                        continue;
                    }
                    offers.push(Offer {
                        machine_type: f.name.clone(),
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
        let mut capacities: Vec<MachineCapacity> = self
            .machines
            .values()
            .filter(|m| {
                m.draining.is_none() && m.preemption_at.is_none() && !self.zone_health.is_closed(&m.zone)
            })
            .filter(|m| {
                m.stage == Stage::Booting || (m.stage == Stage::Up && (m.confirmed || !m.tasks_unknown))
            })
            .filter(|m| !m.command_reachability.unacknowledged_for(Micros::secs(5), now))
            .filter(|m| {
                // A machine that is late to boot may never come up.
                let boot = flavors.iter().find(|f| f.name == m.machine_type).map_or(60.0, |f| f.boot_s);
                m.stage == Stage::Up || now.since(m.stage_since) < Micros::from_secs_f64(boot * 1.8 + 5.0)
            })
            .map(|m| MachineCapacity {
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                size: m.size,
                free: m.free(),
                preemptible_cpu: if m.spot { 0 } else { self.preemptible_cpu(m) },
            })
            .collect();
        for (r, ..) in self.scale_out_requests.values().filter(|(r, ..)| !self.zone_health.is_closed(&r.zone))
        {
            if let Some(f) = flavors.iter().find(|f| f.name == r.machine_type) {
                let size = Resources::capacity(f.cpus, f.gpus, f.memory_gb);
                for _ in 0..r.count {
                    capacities.push(MachineCapacity {
                        machine_type: r.machine_type.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        size,
                        free: size,
                        preemptible_cpu: 0,
                    });
                }
            }
        }
        let (wall_ms, slots) = (self.wall_ms(now), self.active_array_tasks());
        let mut list: Vec<(Priority, (bool, u64, u64), Demand)> = Vec::new();
        let mut long_pending_tasks = 0;
        let mut running = 0.0;
        for r in self.jobs.values() {
            if r.spec.kind == Kind::Array {
                running += self.tasks_expected_to_end(r) as f64;
            }
            let startable = r.startable_tasks();
            // A job that fails on every machine gets no more machines. A job with bounded
            // attempts does, and reaches its end sooner.
            let excluded = r.failures > 5 && !r.ran_well && r.spec.max_attempts.is_none();
            if startable == 0 || r.ended || r.unreleased || self.may_run_on_unconfirmed_machine(r) || excluded
            {
                continue;
            }
            let waited = |ms: u64| r.bound.is_empty() && wall_ms > r.ready_ms + ms;
            let (starved, on_demand_allowed) =
                (waited(90_000), waited(ON_DEMAND_WAIT_MS) && r.spec.kind == Kind::Array);
            long_pending_tasks += if on_demand_allowed { startable as usize } else { 0 };
            list.push((
                r.urgency.priority,
                r.queue_key(wall_ms, slots),
                Demand {
                    spec: r.spec.clone(),
                    pending_tasks: startable,
                    starved,
                    on_demand_allowed,
                    zones: self.tasks_per_zone(r),
                },
            ));
        }
        list.sort_by_key(|(priority, order, d)| (std::cmp::Reverse(*priority), *order, d.spec.id));
        let mut demands: Vec<Demand> = list.into_iter().map(|x| x.2).collect();
        self.cap_demand_to_team_limits(&mut demands);
        let policy = ScalingPolicy {
            spare: self.spare_cpu_targets(now),
            drain_s: 20.0,
            running_arrays: running,
            on_demand_for_arrays: self.on_demand_for_arrays(long_pending_tasks, now),
            max_new: self
                .config
                .operator
                .max_machines
                .saturating_sub(self.machines.len())
                .min(scaling_limits::max_machines_added(self.machines.len())),
        };
        let full = policy.max_new == 0 && !demands.is_empty();
        if std::mem::replace(&mut self.fleet_full, full) != full && full {
            warn!("max_machines is reached: tasks are pending and no machine is rented");
        }
        // A closed zone is probed with a few machines, and only if the plan over all zones would
        // rent machines there.
        let mut rentals = BTreeMap::new();
        if self.zone_health.any_closed() {
            let (closed, open): (Vec<Offer>, Vec<Offer>) =
                offers.iter().cloned().partition(|o| self.zone_health.is_closed(&o.zone));
            let zones: BTreeSet<&String> = closed.iter().map(|o| &o.zone).collect();
            let mut left: BTreeMap<String, u32> =
                zones.into_iter().filter_map(|z| Some((z.clone(), self.probes_left(z, now)?))).collect();
            if left.values().any(|n| *n > 0) {
                for (kind, n) in fleet::plan(capacities.clone(), &demands, &offers, &policy) {
                    let Some(left) = left.get_mut(&kind.zone).filter(|l| **l > 0) else { continue };
                    let n = n.min(*left);
                    *left -= n;
                    rentals.insert(kind, n);
                }
            }
            offers = open;
        }
        rentals.extend(fleet::plan(capacities, &demands, &offers, &policy));
        for (kind, machines) in rentals {
            self.create_scale_out_requests(&kind, machines, max_open, now);
        }
    }

    /// Creates scale-out requests for machines of one kind: as many as are needed and may be open,
    /// but at least one, so that no kind waits for the others.
    pub(super) fn create_scale_out_requests(
        &mut self,
        kind: &RentalKind,
        machines: u32,
        max_open: usize,
        now: Micros,
    ) {
        let mut left = machines;
        loop {
            let count = left.min(scaling_limits::MAX_MACHINES_PER_RENTAL);
            self.scale_out_count += 1;
            let name = format!("g-{}-{}", self.term, self.scale_out_count);
            let req = ScaleOutRequest {
                name: name.clone(),
                machine_type: kind.machine_type.clone(),
                zone: kind.zone.clone(),
                spot: kind.spot,
                count,
            };
            self.scale_out_requests.insert(name, (req, ScaleOutStage::Unrecorded, now));
            left -= count;
            if left == 0 || self.scale_out_requests.len() >= max_open {
                return;
            }
        }
    }

    /// On-demand machines that may be added for arrays while spot machines are sold out.
    /// Together with the on-demand machines that are booting or hold only array tasks, they are
    /// at most one in `ON_DEMAND_PER_ARRAY_MACHINE` of all on-demand machines. New replicas
    /// preempt tasks on these machines as on any other.
    fn on_demand_for_arrays(&mut self, long_pending_tasks: usize, now: Micros) -> usize {
        while self.recent_spot_rentals.front().is_some_and(|(t, _)| now.since(*t) >= SPOT_SOLD_OUT_WINDOW) {
            self.recent_spot_rentals.pop_front();
        }
        let rented: usize = self.recent_spot_rentals.iter().map(|(_, n)| n).sum();
        if long_pending_tasks <= rented * PENDING_PER_SPOT_RENTAL
            || now.since(self.term_start) < SPOT_SOLD_OUT_WINDOW
        {
            return 0;
        }
        let cpus = |spot| {
            let up = self.machines.values().filter(|m| m.spot == spot && m.stage == Stage::Up);
            up.map(|m| m.size.cpu).sum::<u64>()
        };
        if cpus(true) * ON_DEMAND_TO_SPOT_CPU_RATIO > cpus(false) {
            return 0;
        }
        let on_demand = || self.machines.values().filter(|m| !m.spot && m.stage != Stage::Deleting);
        let of_array = |t: &TaskId| self.jobs.get(&t.job).is_some_and(|r| r.spec.kind == Kind::Array);
        let taken = on_demand()
            .filter(|m| m.stage == Stage::Booting || !m.tasks.is_empty() && m.tasks.keys().all(of_array));
        (on_demand().count() / ON_DEMAND_PER_ARRAY_MACHINE).saturating_sub(taken.count())
    }

    /// Bound tasks of an array whose end can be reported. Tasks whose machines are all in closed
    /// zones are left out.
    fn tasks_expected_to_end(&self, r: &JobRun) -> usize {
        if !self.zone_health.any_closed() {
            return r.bound.len();
        }
        let lost =
            |id: &MachineId| self.machines.get(id).is_some_and(|m| self.zone_health.is_closed(&m.zone));
        r.bound.values().filter(|b| b.reported_on.is_empty() || !b.reported_on.iter().all(lost)).count()
    }

    /// Reduces the demands, in the order in which they are served, to the tasks that the teams'
    /// limits let start: machines rented for the rest would be idle.
    pub(super) fn cap_demand_to_team_limits(&self, demands: &mut Vec<Demand>) {
        let mut left: BTreeMap<&str, Resources> = BTreeMap::new();
        for team in &self.config.teams {
            let max = Resources::capacity(team.cpus_max, team.gpus_max, 0.0);
            if max.cpu == 0 && max.gpu == 0 {
                continue;
            }
            let (cpu, gpu) = self.bound_totals.teams.get(&team.name).copied().unwrap_or_default();
            // 0 means no limit.
            let remaining = |max: u64, used: u64| if max == 0 { u64::MAX } else { max.saturating_sub(used) };
            left.insert(
                &team.name,
                Resources { cpu: remaining(max.cpu, cpu), gpu: remaining(max.gpu, gpu), mem: u64::MAX },
            );
        }
        demands.retain_mut(|d| {
            let Some(quota) = left.get_mut(d.spec.team.as_str()) else { return true };
            d.pending_tasks = quota.max_copies(&d.spec.task_resources, d.pending_tasks as u64) as u32;
            for _ in 0..d.pending_tasks {
                *quota = quota.saturating_sub(d.spec.task_resources);
            }
            d.pending_tasks > 0
        });
    }
}
