//! Room on the machines that tasks may be handed to, in order, so that finding
//! the best machine looks at a few of them and not at the whole fleet.
//!
//! Invariant: between `Leader::settle_rooms` and the end of the pass, a machine
//! stands here exactly if tasks may be handed to it, with the room that it has:
//! whatever takes room meanwhile (`Leader::hand_out`) brings its place up to
//! date. Between passes places may be out of date, and nobody looks.
use super::*;
use std::collections::HashMap;

/// A machine's place: those on which tasks failed come last, then by free CPUs.
type Place = (bool, u64, MachineId);

/// What a machine's place was worked out from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Placed {
    kind: usize,
    failed: bool,
    free: Resources,
    images: usize,
}

#[derive(Debug)]
struct KindRooms {
    build: String,
    zone: String,
    spot: bool,
    size: Resources,
    all: BTreeSet<Place>,
    by_image: HashMap<String, BTreeSet<Place>>,
}

/// The places, by kind of machine and by image.
#[derive(Debug)]
pub(super) struct Rooms {
    kinds: Vec<KindRooms>,
    /// CPUs of ordinary machines by zone, in thousandths, as of this pass.
    zone_cpu: BTreeMap<String, u64>,
    /// Names before and behind all others, for the ends of ranges.
    first: MachineId,
    last: MachineId,
}

impl Default for Rooms {
    fn default() -> Self {
        let (first, last) = (MachineId::from(""), MachineId::from("\u{10ffff}"));
        Rooms { kinds: Vec::new(), zone_cpu: BTreeMap::new(), first, last }
    }
}

/// What a machine has to satisfy beyond its kind and its room.
pub(super) struct Asked<'a> {
    pub spec: &'a JobSpec,
    pub zones: &'a BTreeMap<String, u32>,
}

impl Rooms {
    fn kind(&mut self, m: &Machine) -> usize {
        let same =
            |k: &KindRooms| k.spot == m.spot && k.size == m.size && k.build == m.build && k.zone == m.zone;
        self.kinds.iter().position(same).unwrap_or_else(|| {
            self.kinds.push(KindRooms {
                build: m.build.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                size: m.size,
                all: BTreeSet::new(),
                by_image: HashMap::new(),
            });
            self.kinds.len() - 1
        })
    }

    /// Brings a machine's place up to date; `open`: tasks may be handed to it.
    pub(super) fn put(&mut self, id: &MachineId, m: &mut Machine, open: bool) {
        let now = open.then(|| Placed {
            kind: m.placed.map_or_else(|| self.kind(m), |p| p.kind),
            failed: m.failures > 0,
            free: m.free(),
            images: m.images.len(),
        });
        if m.placed == now {
            return;
        }
        self.take(id, m);
        if let Some(p) = now {
            let place = (p.failed, p.free.cpu, id.clone());
            let kind = &mut self.kinds[p.kind];
            for image in &m.images {
                match kind.by_image.get_mut(image) {
                    Some(set) => drop(set.insert(place.clone())),
                    None => drop(kind.by_image.insert(image.clone(), BTreeSet::from([place.clone()]))),
                }
            }
            kind.all.insert(place);
        }
        m.placed = now;
    }

    /// Takes a machine out.
    pub(super) fn take(&mut self, id: &MachineId, m: &mut Machine) {
        let Some(p) = m.placed.take() else { return };
        let place = (p.failed, p.free.cpu, id.clone());
        let kind = &mut self.kinds[p.kind];
        kind.all.remove(&place);
        for image in &m.images {
            if let Some(set) = kind.by_image.get_mut(image)
                && set.remove(&place)
                && set.is_empty()
            {
                kind.by_image.remove(image);
            }
        }
    }

    /// Places of machines with at least so many free CPUs.
    fn from(&self, failed: bool, cpu: u64) -> std::ops::Range<Place> {
        (failed, cpu, self.first.clone())..(failed, u64::MAX, self.last.clone())
    }

    /// Whether some machine has so many free CPUs, wherever it is.
    pub(super) fn any(&self, cpu: u64) -> bool {
        let (well, failed) = (self.from(false, cpu), self.from(true, cpu));
        let some = |k: &KindRooms, r: &std::ops::Range<Place>| k.all.range(r.clone()).next().is_some();
        self.kinds.iter().any(|k| !k.all.is_empty() && (some(k, &well) || some(k, &failed)))
    }

    /// The best machine for a task of the job among those that `fits` accepts.
    pub(super) fn best(
        &self,
        asked: &Asked<'_>,
        fits: impl Fn(&MachineId) -> Option<Resources>,
    ) -> Option<MachineId> {
        let spec = asked.spec;
        let mut best: Option<((bool, placement::Score), &MachineId)> = None;
        for k in &self.kinds {
            if k.all.is_empty()
                || !spec.allows(&k.build, &k.zone, k.spot, &k.size)
                || !fleet::zone_ok(spec, &k.zone, asked.zones)
            {
                continue;
            }
            let zone_cpu = match spec.kind {
                Kind::Service => self.zone_cpu.get(&k.zone).copied().unwrap_or(0),
                Kind::Array => 0,
            };
            let with_image = k.by_image.get(&spec.image);
            // Of one kind, the first in order is the best one: by failures, by
            // image, by the room that is left.
            for (set, image) in with_image.map(|s| (s, true)).into_iter().chain([(&k.all, false)]) {
                for failed in [false, true] {
                    let enough = self.from(failed, spec.task_resources.cpu);
                    let first = set.range(enough).find_map(|(_, _, id)| Some((fits(id)?, id)));
                    let Some((free, id)) = first else { continue };
                    let c = Candidate {
                        build: &k.build,
                        zone: &k.zone,
                        spot: k.spot,
                        size: &k.size,
                        free,
                        image,
                        zone_cpu,
                    };
                    let Some(score) = placement::score(spec, &c, None) else { continue };
                    let rank = ((failed, score), id);
                    if best.as_ref().is_none_or(|b| rank < *b) {
                        best = Some(rank);
                    }
                }
            }
        }
        best.map(|(_, id)| id.clone())
    }
}

impl Leader {
    /// Brings the places up to date with all that changed since the last pass.
    pub(super) fn settle_rooms(&mut self, now: Micros) {
        let contact = self.contacts(now);
        self.rooms.zone_cpu.values_mut().for_each(|z| *z = 0);
        for (id, m) in self.machines.iter_mut() {
            if !m.spot && m.stage != Stage::Deleting {
                match self.rooms.zone_cpu.get_mut(&m.zone) {
                    Some(z) => *z += m.size.cpu,
                    None => drop(self.rooms.zone_cpu.insert(m.zone.clone(), m.size.cpu)),
                }
            }
            let open = m.open(&contact, now);
            self.rooms.put(id, m, open);
        }
    }

    /// The best machine for one more task of the job.
    pub(super) fn find(&self, run: &Run, zones: &BTreeMap<String, u32>, now: Micros) -> Option<MachineId> {
        let spec = &run.spec;
        let again = run.may_go_back(now);
        self.rooms.best(&Asked { spec, zones }, |id| {
            let m = self.machines.get(id)?;
            let gathers = m.gathers_for(now).is_some_and(|job| job != spec.id);
            let kept = m.kept_for.is_some_and(|(r, until)| run.urgency.priority < r && now < until)
                || gathers && run.urgency.priority < Priority::Production;
            let failed = !again && run.failed_on.contains(id);
            let free = m.free();
            (!kept && !failed && free.fits(&spec.task_resources)).then_some(free)
        })
    }

    /// Whether the places are those that the machines have now: for tests.
    pub(super) fn check_rooms(&self) -> Result<(), String> {
        for (id, m) in &self.machines {
            let Some(p) = m.placed else { continue };
            let k = &self.rooms.kinds[p.kind];
            let place = (p.failed, p.free.cpu, id.clone());
            let images = m.images.iter().filter(|i| k.by_image.get(*i).is_some_and(|s| s.contains(&place)));
            if !k.all.contains(&place) || images.count() < p.images {
                return Err(format!("{id}: its place {p:?} is not kept"));
            }
        }
        let placed = self.machines.values().filter(|m| m.placed.is_some()).count();
        let kept: usize = self.rooms.kinds.iter().map(|k| k.all.len()).sum();
        if placed != kept {
            return Err(format!("{placed} machines have a place, {kept} are kept"));
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

    /// What a look at every machine finds.
    fn by_looking(
        machines: &BTreeMap<MachineId, Machine>,
        rooms: &Rooms,
        a: &Asked<'_>,
    ) -> Option<MachineId> {
        let rate = |m: &Machine| {
            let zone_cpu = match a.spec.kind {
                Kind::Service => rooms.zone_cpu.get(&m.zone).copied().unwrap_or(0),
                Kind::Array => 0,
            };
            let c = Candidate {
                build: &m.build,
                zone: &m.zone,
                spot: m.spot,
                size: &m.size,
                free: m.free(),
                image: m.images.contains(&a.spec.image),
                zone_cpu,
            };
            Some((m.failures > 0, placement::score(a.spec, &c, None)?))
        };
        let open = machines.iter().filter(|(_, m)| m.placed.is_some());
        let there = open.filter(|(_, m)| fleet::zone_ok(a.spec, &m.zone, a.zones));
        there.filter_map(|(id, m)| Some((rate(m)?, id))).min().map(|(_, id)| id.clone())
    }

    #[test]
    fn the_machine_found_is_the_one_that_a_look_at_all_finds() {
        let mut rng = fastrand::Rng::with_seed(7);
        let (zones, images) = (["a", "b", "c"], ["i", "j", "k", "l"]);
        let zone_cpu = BTreeMap::from([("a".into(), 9), ("b".into(), 5), ("c".into(), 7)]);
        let mut rooms = Rooms { zone_cpu, ..Rooms::default() };
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
            // Something changes: what is used, an image, a failure, or whether
            // tasks may go there at all.
            let id = &ids[rng.usize(0..ids.len())];
            let m = machines.get_mut(id).unwrap();
            m.used = Resources {
                cpu: rng.u64(0..=m.size.cpu / 1000) * 1000,
                gpu: 0,
                mem: rng.u64(0..=m.size.mem / 1000) * 1000,
            };
            m.failures = (rng.u32(0..9) == 0) as u32;
            m.images.insert(images[rng.usize(0..4)].into());
            let open = rng.u32(0..7) > 0;
            rooms.put(id, m, open);
            let kind = if rng.bool() { "standing" } else { "array" };
            let s = spec(kind, rng.u64(1..9), rng.u64(1..20), images[rng.usize(0..4)], rng.bool());
            let taken = BTreeMap::from([(zones[rng.usize(0..3)].to_owned(), rng.u32(0..6))]);
            let asked = Asked { spec: &s, zones: &taken };
            let got =
                rooms.best(&asked, |id| Some(machines[id].free()).filter(|f| f.fits(&s.task_resources)));
            assert_eq!(got, by_looking(&machines, &rooms, &asked), "step {step}: {s:?}");
            assert!(got.is_none() || rooms.any(s.task_resources.cpu), "step {step}");
            found += got.is_some() as u32;
        }
        assert!(found > 1000, "{found} found a machine");
        for id in &ids {
            rooms.take(id, machines.get_mut(id).unwrap());
        }
        assert!(!rooms.any(0) && rooms.kinds.iter().all(|k| k.all.is_empty() && k.by_image.is_empty()));
    }
}
