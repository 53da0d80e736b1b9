//! Index of the machines that accept tasks, ordered by free capacity, so that placement scans
//! a few machines instead of the whole fleet.
//!
//! Invariant: between `Leader::refresh_capacity_index` and the end of the scheduling pass, the
//! index contains exactly the machines that accept tasks, each under its current free capacity;
//! `Leader::assign`, which takes capacity during the pass, updates the entry. Between passes
//! entries may be stale, and the index is not read.
use super::*;
use std::collections::HashMap;

/// Sort key of a machine: machines on which tasks failed come last, then by free CPUs in
/// thousandths.
type IndexKey = (bool, u64, MachineId);

/// The state of a machine from which its sort key was computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct IndexEntry {
    /// Position in `CapacityIndex::kinds`.
    kind: usize,
    failed: bool,
    free: Resources,
    /// Number of images on the machine.
    images: usize,
}

/// Machines of the same type, zone, price class and size.
#[derive(Debug)]
struct KindIndex {
    machine_type: String,
    zone: String,
    spot: bool,
    size: Resources,
    by_cpu: BTreeSet<IndexKey>,
    by_image: HashMap<String, BTreeSet<IndexKey>>,
}

/// Sort keys by kind of machine and by image.
#[derive(Debug)]
pub(super) struct CapacityIndex {
    kinds: Vec<KindIndex>,
    /// CPUs of on-demand machines by zone, in thousandths, as of this pass.
    zone_cpu: BTreeMap<String, u64>,
    /// Machine ids that sort before and after all others, used as range bounds.
    min_id: MachineId,
    max_id: MachineId,
}

impl Default for CapacityIndex {
    fn default() -> Self {
        let (min_id, max_id) = (MachineId::from(""), MachineId::from("\u{10ffff}"));
        CapacityIndex { kinds: Vec::new(), zone_cpu: BTreeMap::new(), min_id, max_id }
    }
}

/// A task to place: its job, and the job's bound tasks by zone.
pub(super) struct PlacementQuery<'a> {
    pub spec: &'a JobSpec,
    pub zones: &'a BTreeMap<String, u32>,
}

impl CapacityIndex {
    fn kind(&mut self, m: &Machine) -> usize {
        let same = |k: &KindIndex| {
            k.spot == m.spot && k.size == m.size && k.machine_type == m.machine_type && k.zone == m.zone
        };
        self.kinds.iter().position(same).unwrap_or_else(|| {
            self.kinds.push(KindIndex {
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                size: m.size,
                by_cpu: BTreeSet::new(),
                by_image: HashMap::new(),
            });
            self.kinds.len() - 1
        })
    }

    /// Updates a machine's entry; a machine that does not accept tasks has none.
    pub(super) fn update(&mut self, id: &MachineId, m: &mut Machine, accepts_tasks: bool) {
        let entry = accepts_tasks.then(|| IndexEntry {
            kind: m.index_entry.map_or_else(|| self.kind(m), |p| p.kind),
            failed: m.failures > 0,
            free: m.free(),
            images: m.images.len(),
        });
        if m.index_entry == entry {
            return;
        }
        self.remove(id, m);
        if let Some(p) = entry {
            let key = (p.failed, p.free.cpu, id.clone());
            let kind = &mut self.kinds[p.kind];
            for image in &m.images {
                match kind.by_image.get_mut(image) {
                    Some(set) => drop(set.insert(key.clone())),
                    None => drop(kind.by_image.insert(image.clone(), BTreeSet::from([key.clone()]))),
                }
            }
            kind.by_cpu.insert(key);
        }
        m.index_entry = entry;
    }

    /// Removes a machine from the index.
    pub(super) fn remove(&mut self, id: &MachineId, m: &mut Machine) {
        let Some(p) = m.index_entry.take() else { return };
        let key = (p.failed, p.free.cpu, id.clone());
        let kind = &mut self.kinds[p.kind];
        kind.by_cpu.remove(&key);
        for image in &m.images {
            if let Some(set) = kind.by_image.get_mut(image)
                && set.remove(&key)
                && set.is_empty()
            {
                kind.by_image.remove(image);
            }
        }
    }

    /// Range of the sort keys of machines with at least `cpu` thousandths of a CPU free.
    fn key_range(&self, failed: bool, cpu: u64) -> std::ops::Range<IndexKey> {
        (failed, cpu, self.min_id.clone())..(failed, u64::MAX, self.max_id.clone())
    }

    /// Whether any machine of any kind has at least `cpu` thousandths of a CPU free.
    pub(super) fn any_with_cpu(&self, cpu: u64) -> bool {
        let (healthy, failed) = (self.key_range(false, cpu), self.key_range(true, cpu));
        let some = |k: &KindIndex, r: &std::ops::Range<IndexKey>| k.by_cpu.range(r.clone()).next().is_some();
        self.kinds.iter().any(|k| !k.by_cpu.is_empty() && (some(k, &healthy) || some(k, &failed)))
    }

    /// The best machine for the task among those for which `fits` returns free capacity.
    pub(super) fn best(
        &self,
        query: &PlacementQuery<'_>,
        fits: impl Fn(&MachineId) -> Option<Resources>,
    ) -> Option<MachineId> {
        let spec = query.spec;
        let mut best: Option<((bool, placement::Score), &MachineId)> = None;
        for k in &self.kinds {
            if k.by_cpu.is_empty()
                || !spec.allows(&k.machine_type, &k.zone, k.spot, &k.size)
                || !fleet::zone_allows_task(spec, &k.zone, query.zones)
            {
                continue;
            }
            let zone_cpu = match spec.kind {
                Kind::Service => self.zone_cpu.get(&k.zone).copied().unwrap_or(0),
                Kind::Array => 0,
            };
            let with_image = k.by_image.get(&spec.image);
            // Within one kind, the best machine is the first one: by failures, then by image,
            // then by the fewest free CPUs.
            for (set, image) in with_image.map(|s| (s, true)).into_iter().chain([(&k.by_cpu, false)]) {
                for failed in [false, true] {
                    let enough = self.key_range(failed, spec.task_resources.cpu);
                    let first = set.range(enough).find_map(|(_, _, id)| Some((fits(id)?, id)));
                    let Some((free, id)) = first else { continue };
                    let c = Candidate {
                        machine_type: &k.machine_type,
                        zone: &k.zone,
                        spot: k.spot,
                        size: &k.size,
                        free,
                        has_image: image,
                        zone_cpu,
                    };
                    let Some(score) = placement::score(spec, &c, None) else { continue };
                    let key = ((failed, score), id);
                    if best.as_ref().is_none_or(|b| key < *b) {
                        best = Some(key);
                    }
                }
            }
        }
        best.map(|(_, id)| id.clone())
    }
}

impl Leader {
    /// Updates the index with all changes since the last pass.
    pub(super) fn refresh_capacity_index(&mut self, now: Micros) {
        let contact = self.controllers_in_contact(now);
        self.capacity_index.zone_cpu.values_mut().for_each(|z| *z = 0);
        for (id, m) in self.machines.iter_mut() {
            if !m.spot && m.stage != Stage::Deleting {
                match self.capacity_index.zone_cpu.get_mut(&m.zone) {
                    Some(z) => *z += m.size.cpu,
                    None => drop(self.capacity_index.zone_cpu.insert(m.zone.clone(), m.size.cpu)),
                }
            }
            let accepts_tasks = m.accepts_tasks(&contact, now);
            self.capacity_index.update(id, m, accepts_tasks);
        }
    }

    /// The best machine for the job's task `index`.
    pub(super) fn find_machine(
        &self,
        run: &JobRun,
        index: u32,
        zones: &BTreeMap<String, u32>,
        now: Micros,
    ) -> Option<MachineId> {
        let spec = &run.spec;
        let may_retry = run.may_retry_on_failed_machine(now);
        let task = TaskId { job: spec.id, index };
        self.capacity_index.best(&PlacementQuery { spec, zones }, |id| {
            let m = self.machines.get(id)?;
            let accumulates = m.accumulating_job(now).is_some_and(|job| job != spec.id);
            let reserved =
                m.reserved_priority.is_some_and(|(r, until)| run.urgency.priority < r && now < until)
                    || accumulates && run.urgency.priority < Priority::Production;
            let failed = !may_retry && run.failed_on.contains(id);
            let has_attempt = m.exited.contains(&task);
            let free = m.free();
            (!reserved && !failed && !has_attempt && free.fits(&spec.task_resources)).then_some(free)
        })
    }

    /// Checks that the index agrees with the machines' entries; for tests.
    pub(super) fn check_capacity_index(&self) -> Result<(), String> {
        for (id, m) in &self.machines {
            let Some(p) = m.index_entry else { continue };
            let k = &self.capacity_index.kinds[p.kind];
            let key = (p.failed, p.free.cpu, id.clone());
            let images = m.images.iter().filter(|i| k.by_image.get(*i).is_some_and(|s| s.contains(&key)));
            if !k.by_cpu.contains(&key) || images.count() < p.images {
                return Err(format!("{id}: its entry {p:?} is not in the index"));
            }
        }
        let placed = self.machines.values().filter(|m| m.index_entry.is_some()).count();
        let indexed: usize = self.capacity_index.kinds.iter().map(|k| k.by_cpu.len()).sum();
        if placed != indexed {
            return Err(format!("{placed} machines have an entry, the index holds {indexed}"));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use gorseshore_protocol::users::parse_submission;

    fn spec(kind: &str, cpus: u64, mem: u64, image: &str, spot: bool) -> JobSpec {
        let v = serde_json::json!({"ref":"j-000001","lot":"l","crew":"t","manner":kind,"rank":"prod",
            "pieces":9,"cpus":cpus,"gpus":0,"memory_gb":mem,"bundle":image,"image_gb":1,
            "same_place":false,"apart":kind == "standing","loaners":spot,"guess_s":1,"mark_s":0,"stow_s":0});
        parse_submission(v.to_string().as_bytes()).unwrap()
    }

    /// The best machine by a scan of all machines.
    fn by_full_scan(
        machines: &BTreeMap<MachineId, Machine>,
        index: &CapacityIndex,
        a: &PlacementQuery<'_>,
    ) -> Option<MachineId> {
        let score = |m: &Machine| {
            let zone_cpu = match a.spec.kind {
                Kind::Service => index.zone_cpu.get(&m.zone).copied().unwrap_or(0),
                Kind::Array => 0,
            };
            let c = Candidate {
                machine_type: &m.machine_type,
                zone: &m.zone,
                spot: m.spot,
                size: &m.size,
                free: m.free(),
                has_image: m.images.contains(&a.spec.image),
                zone_cpu,
            };
            Some((m.failures > 0, placement::score(a.spec, &c, None)?))
        };
        let indexed = machines.iter().filter(|(_, m)| m.index_entry.is_some());
        let allowed = indexed.filter(|(_, m)| fleet::zone_allows_task(a.spec, &m.zone, a.zones));
        allowed.filter_map(|(id, m)| Some((score(m)?, id))).min().map(|(_, id)| id.clone())
    }

    #[test]
    fn the_index_finds_the_same_machine_as_a_full_scan() {
        let mut rng = fastrand::Rng::with_seed(7);
        let (zones, images) = (["a", "b", "c"], ["i", "j", "k", "l"]);
        let zone_cpu = BTreeMap::from([("a".into(), 9), ("b".into(), 5), ("c".into(), 7)]);
        let mut index = CapacityIndex { zone_cpu, ..CapacityIndex::default() };
        let mut machines: BTreeMap<MachineId, Machine> = BTreeMap::new();
        for i in 0..60 {
            let cpus = [4.0, 8.0, 64.0][rng.usize(0..3)];
            let rec = MachineRecord {
                machine_type: format!("t{cpus}"),
                zone: zones[rng.usize(0..3)].into(),
                spot: rng.bool(),
                addr: String::new(),
            };
            let size = Resources::capacity(cpus, 0.0, cpus * 2.0);
            let m = Machine::new(&rec, size, Stage::Up, Micros(0));
            machines.insert(MachineId::from(&*format!("host-{i:06}")), m);
        }
        let ids: Vec<MachineId> = machines.keys().cloned().collect();
        let mut found = 0;
        for step in 0..3000 {
            // A machine changes: its usage, an image, a failure, or whether it accepts tasks.
            let id = &ids[rng.usize(0..ids.len())];
            let m = machines.get_mut(id).unwrap();
            m.used = Resources {
                cpu: rng.u64(0..=m.size.cpu / 1000) * 1000,
                gpu: 0,
                mem: rng.u64(0..=m.size.mem / 1000) * 1000,
            };
            m.failures = (rng.u32(0..9) == 0) as u32;
            m.images.insert(images[rng.usize(0..4)].into());
            let accepts_tasks = rng.u32(0..7) > 0;
            index.update(id, m, accepts_tasks);
            let kind = if rng.bool() { "standing" } else { "array" };
            let s = spec(kind, rng.u64(1..9), rng.u64(1..20), images[rng.usize(0..4)], rng.bool());
            let taken = BTreeMap::from([(zones[rng.usize(0..3)].to_owned(), rng.u32(0..6))]);
            let query = PlacementQuery { spec: &s, zones: &taken };
            let actual =
                index.best(&query, |id| Some(machines[id].free()).filter(|f| f.fits(&s.task_resources)));
            assert_eq!(actual, by_full_scan(&machines, &index, &query), "step {step}: {s:?}");
            assert!(actual.is_none() || index.any_with_cpu(s.task_resources.cpu), "step {step}");
            found += actual.is_some() as u32;
        }
        assert!(found > 1000, "{found} found a machine");
        for id in &ids {
            index.remove(id, machines.get_mut(id).unwrap());
        }
        assert!(
            !index.any_with_cpu(0)
                && index.kinds.iter().all(|k| k.by_cpu.is_empty() && k.by_image.is_empty())
        );
    }
}
