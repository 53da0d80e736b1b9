//! What to rent: the cheapest machines that fit what waits.
use super::placement::{self, Candidate};
use gorseshore_protocol::ids::Resources;
use gorseshore_protocol::job::{JobSpec, Kind};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A machine that can be had.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Size.
    pub size: Resources,
    /// Price an hour.
    pub price: f64,
    /// It was refused just now.
    pub refused: bool,
    /// Usual boot time in seconds.
    pub boot_s: f64,
}

/// Room on a machine that is there or booting.
#[derive(Debug, Clone)]
pub struct Room {
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Size.
    pub size: Resources,
    /// Free room.
    pub free: Resources,
    /// CPUs that work of lower priority takes, which replicas may stop.
    pub lent: u64,
}

/// Waiting tasks of a job.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Job.
    pub spec: Rc<JobSpec>,
    /// Tasks that wait.
    pub waiting: u32,
    /// Nothing of it runs, and it has waited for long: what others run on
    /// doesn't help it.
    pub starving: bool,
    /// Nothing of it runs, and it has waited for a while: where no spot machine
    /// can be had, it may get one of `Policy::ordinary_for_arrays`.
    pub thirsty: bool,
    /// The job's tasks on machines, by zone.
    pub zones: BTreeMap<String, u32>,
}

/// Machines to rent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Want {
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
}

/// What the plan goes by.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Array work that waits should be through in this time.
    pub drain_s: f64,
    /// Array tasks on machines now.
    pub running_arrays: f64,
    /// Most machines to add.
    pub max_new: usize,
    /// Ordinary machines that may be added for arrays that could run on spot
    /// ones, while there are none of these.
    pub ordinary_for_arrays: usize,
    /// CPUs of room for replicas that should be there in each zone, in
    /// thousandths: those that come don't wait for a machine to boot.
    pub spare: BTreeMap<String, u64>,
}

/// Decides what to rent; `demands` come in the order in which they are served.
pub fn plan(
    mut rooms: Vec<Room>,
    demands: &[Demand],
    offers: &[Offer],
    policy: &Policy,
) -> BTreeMap<Want, u32> {
    let mut wants = BTreeMap::new();
    let mut added = 0;
    // Tasks that find room on what is there or booting.
    let mut unmet: Vec<(Rc<JobSpec>, u32, BTreeMap<String, u32>, bool, bool)> = Vec::new();
    let mut placed_arrays = 0.0;
    let mut zone_cpu: BTreeMap<String, u64> = BTreeMap::new();
    for r in rooms.iter().filter(|r| !r.spot) {
        *zone_cpu.entry(r.zone.clone()).or_default() += r.size.cpu;
    }
    rooms.retain(|r| r.free.cpu > 0 || r.lent > 0 && !r.spot);
    let mut nowhere = Nowhere::default();
    for d in demands {
        let mut zones = d.zones.clone();
        let left = d.waiting - fill(&mut rooms, &zone_cpu, &mut nowhere, &d.spec, &mut zones, d.waiting);
        if d.spec.kind == Kind::Array {
            placed_arrays += (d.waiting - left) as f64;
        }
        if left > 0 {
            let whole = left == d.waiting;
            unmet.push((d.spec.clone(), left, zones, d.starving && whole, d.thirsty && whole));
        }
    }
    // Arrays share what is there: rent only what the backlog needs to be
    // through in time.
    let work: f64 = unmet
        .iter()
        .filter(|(s, ..)| s.kind == Kind::Array)
        .map(|(s, n, ..)| *n as f64 * s.estimated_runtime_s.max(1.0))
        .sum();
    let mut slots = (work / policy.drain_s).ceil() - policy.running_arrays - placed_arrays;
    let mut ordinary_left = policy.ordinary_for_arrays;
    for (spec, mut left, mut zones, starving, thirsty) in unmet {
        if spec.kind == Kind::Array {
            if slots <= 0.0 && !starving {
                continue;
            }
            left = left.min(slots.ceil().max(1.0) as u32);
            slots -= left as f64;
        }
        // Work that may run on spot machines is not worth an ordinary one: it
        // waits for the next spot machine, or fills the room that replicas leave.
        let spot_only = spec.kind == Kind::Array
            && offers.iter().any(|o| o.spot && spec.allows(&o.build, &o.zone, true, &o.size));
        left -= fill(&mut rooms, &zone_cpu, &mut nowhere, &spec, &mut zones, left);
        // Unless it is starved: then a few.
        let dry = spot_only
            && thirsty
            && offers.iter().all(|o| !o.spot || o.refused || !spec.allows(&o.build, &o.zone, true, &o.size));
        while left > 0 && added < policy.max_new {
            let ordinary = !spot_only || dry && ordinary_left > 0;
            let best = offers
                .iter()
                .filter(|o| !o.refused && spec.allows(&o.build, &o.zone, o.spot, &o.size))
                .filter(|o| o.spot || ordinary)
                .filter(|o| zone_ok(&spec, &o.zone, &zones))
                .map(|o| {
                    let k = o.size.max_copies(&spec.task_resources, 10_000).max(1);
                    let used = k.min((left as u64).max(k.div_ceil(4)));
                    (o.price * (1.0 + o.boot_s / 120.0) / used as f64, o)
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, o)) = best else { break };
            ordinary_left -= (dry && !o.spot) as usize;
            let mut room = Room {
                build: o.build.clone(),
                zone: o.zone.clone(),
                spot: o.spot,
                size: o.size,
                free: o.size,
                lent: 0,
            };
            left -= put(&mut room, &spec, &mut zones, left);
            nowhere.forget();
            rooms.push(room);
            *wants.entry(Want { build: o.build.clone(), zone: o.zone.clone(), spot: o.spot }).or_default() +=
                1;
            added += 1;
        }
    }
    for (zone, target) in &policy.spare {
        let ordinary = rooms.iter().filter(|r| !r.spot && r.zone == *zone);
        let mut there: u64 = ordinary.map(|r| r.free.cpu + r.lent).sum();
        while there < *target && added < policy.max_new {
            let gap = (target - there) as f64;
            let cost = |o: &Offer| o.price * (1.0 + o.boot_s / 120.0) / gap.min(o.size.cpu as f64);
            // A machine several times the target is no price for waiting less.
            let fair = 1..=2 * target;
            let here = offers
                .iter()
                .filter(|o| !o.refused && !o.spot && o.zone == *zone && fair.contains(&o.size.cpu));
            let Some(o) = here.min_by(|a, b| cost(a).total_cmp(&cost(b))) else { break };
            there += o.size.cpu;
            *wants.entry(Want { build: o.build.clone(), zone: zone.clone(), spot: false }).or_default() += 1;
            added += 1;
        }
    }
    wants
}

/// Whether another task of the job may go to `zone`.
pub fn zone_ok(spec: &JobSpec, zone: &str, zones: &BTreeMap<String, u32>) -> bool {
    let here = zones.get(zone).copied().unwrap_or(0);
    let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
    !(spec.one_zone && elsewhere) && here < spec.max_tasks_per_zone()
}

/// Needs that no room fits: as rooms only get smaller, a task that takes as much
/// or more need not be tried.
#[derive(Debug, Default)]
struct Nowhere(Vec<Resources>);

impl Nowhere {
    fn covers(&self, need: &Resources) -> bool {
        self.0.iter().any(|n| need.fits(n))
    }
    fn add(&mut self, need: Resources) {
        self.0.retain(|n| !n.fits(&need));
        self.0.push(need);
    }
    /// Room was added.
    fn forget(&mut self) {
        self.0.clear();
    }
}

/// Puts up to `left` tasks of the job where there is room, the best first; how
/// many found some.
fn fill(
    rooms: &mut [Room],
    zone_cpu: &BTreeMap<String, u64>,
    nowhere: &mut Nowhere,
    spec: &JobSpec,
    zones: &mut BTreeMap<String, u32>,
    left: u32,
) -> u32 {
    if nowhere.covers(&spec.task_resources) {
        return 0;
    }
    if !rooms.iter().any(|r| r.free.fits(&spec.task_resources)) {
        nowhere.add(spec.task_resources);
        return 0;
    }
    let zone_cpu = |z: &str| match spec.kind {
        Kind::Service => zone_cpu.get(z).copied().unwrap_or(0),
        Kind::Array => 0,
    };
    let mut order: Vec<(placement::Score, usize)> = rooms
        .iter()
        .enumerate()
        .filter(|(_, r)| r.free.fits(&spec.task_resources))
        .filter_map(|(i, r)| {
            let c = Candidate {
                build: &r.build,
                zone: &r.zone,
                spot: r.spot,
                size: &r.size,
                free: r.free,
                image: true,
                zone_cpu: zone_cpu(&r.zone),
            };
            Some((placement::score(spec, &c, None)?, i))
        })
        .collect();
    order.sort_unstable();
    let mut placed = 0;
    for (_, i) in order {
        if placed == left {
            break;
        }
        placed += put(&mut rooms[i], spec, zones, left - placed);
    }
    placed
}

/// Puts up to `left` tasks of the job into one room.
fn put(room: &mut Room, spec: &JobSpec, zones: &mut BTreeMap<String, u32>, left: u32) -> u32 {
    if !zone_ok(spec, &room.zone, zones) {
        return 0;
    }
    let here = zones.get(&room.zone).copied().unwrap_or(0);
    let n = (room.free.max_copies(&spec.task_resources, left as u64) as u32)
        .min(spec.max_tasks_per_zone().saturating_sub(here));
    for _ in 0..n {
        room.free = room.free.saturating_sub(spec.task_resources);
    }
    if n > 0 {
        *zones.entry(room.zone.clone()).or_default() += n;
    }
    n
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offer(build: &str, zone: &str, spot: bool, cpus: f64, price: f64) -> Offer {
        let size = Resources::capacity(cpus, 0.0, cpus * 4.0);
        Offer { build: build.into(), zone: zone.into(), spot, size, price, refused: false, boot_s: 30.0 }
    }

    fn demand(kind: &str, n: u32, cpus: f64, spot: bool, spread: bool) -> Demand {
        let v = serde_json::json!({"ref":"j-000001","lot":"l","crew":"t","manner":kind,
            "rank":"standard","pieces":n,"cpus":cpus,"gpus":0,"memory_gb":1,"bundle":"i",
            "image_gb":1,"same_place":false,"apart":spread,"loaners":spot,"guess_s":30,
            "mark_s":0,"stow_s":0});
        let spec = gorseshore_protocol::users::parse_submission(v.to_string().as_bytes()).unwrap();
        Demand { spec: Rc::new(spec), waiting: n, starving: false, thirsty: false, zones: BTreeMap::new() }
    }

    fn policy(running_arrays: f64, spare: BTreeMap<String, u64>) -> Policy {
        Policy { drain_s: 30.0, running_arrays, max_new: 50, ordinary_for_arrays: 0, spare }
    }

    #[test]
    fn a_few_ordinary_machines_where_spot_ones_are_sold_out() {
        let offer = |zone, spot, refused| Offer { refused, ..offer("small", zone, spot, 4.0, 0.1) };
        // (may be had, has waited, machines allowed; rented)
        let cases = [
            (vec![offer("a", false, false), offer("a", true, true)], true, 2, 2),
            (vec![offer("a", false, false), offer("a", true, true)], true, 0, 0),
            (vec![offer("a", false, false), offer("a", true, true)], false, 2, 0),
            // A spot machine may come elsewhere.
            (vec![offer("a", false, false), offer("a", true, true), offer("b", true, false)], true, 2, 8),
        ];
        for (i, (offers, thirsty, allowed, want)) in cases.into_iter().enumerate() {
            let d = Demand { thirsty, ..demand("array", 8, 4.0, true, false) };
            let p = Policy { ordinary_for_arrays: allowed, ..policy(0.0, BTreeMap::new()) };
            let got = plan(Vec::new(), &[d], &offers, &p);
            assert_eq!(got.values().sum::<u32>(), want, "case {i}: {got:?}");
        }
    }

    #[test]
    fn rents_the_cheapest_that_fits() {
        let offers = [
            offer("small", "a", false, 4.0, 0.16),
            offer("small", "a", true, 4.0, 0.04),
            offer("big", "a", true, 64.0, 0.6),
            offer("small", "b", false, 4.0, 0.17),
        ];
        let want = |b: &str, z: &str, s, n| (Want { build: b.into(), zone: z.into(), spot: s }, n);
        // (demands, array tasks running, rented)
        let cases = [
            (vec![], 0.0, vec![]),
            (vec![demand("array", 2, 4.0, true, false)], 0.0, vec![want("small", "a", true, 2)]),
            (vec![demand("array", 64, 4.0, true, false)], 0.0, vec![want("big", "a", true, 4)]),
            // Running tasks end soon: a small backlog waits for them.
            (vec![demand("array", 10, 4.0, true, false)], 20.0, vec![]),
            (vec![demand("standing", 1, 2.0, false, false)], 99.0, vec![want("small", "a", false, 1)]),
            // Spread: one of two per zone.
            (
                vec![demand("standing", 2, 2.0, false, true)],
                0.0,
                vec![want("small", "a", false, 1), want("small", "b", false, 1)],
            ),
            // Two jobs share a machine.
            (
                vec![demand("standing", 1, 2.0, false, false), demand("standing", 1, 2.0, false, false)],
                0.0,
                vec![want("small", "a", false, 1)],
            ),
            (vec![demand("array", 1, 99.0, true, false)], 0.0, vec![]),
        ];
        for (i, (demands, running, wanted)) in cases.into_iter().enumerate() {
            let policy = policy(running, BTreeMap::new());
            let got = plan(Vec::new(), &demands, &offers, &policy);
            assert_eq!(got.into_iter().collect::<Vec<_>>(), wanted, "case {i}");
        }
    }

    #[test]
    fn a_job_that_nothing_there_fits_is_not_left_waiting() {
        let offers = [offer("small", "a", false, 4.0, 0.16)];
        let policy = policy(100.0, BTreeMap::new());
        for (starving, machines) in [(false, 0), (true, 1)] {
            let mut d = demand("array", 3, 4.0, false, false);
            d.starving = starving;
            let got = plan(Vec::new(), &[d], &offers, &policy);
            assert_eq!(got.values().sum::<u32>(), machines, "{starving}");
        }
    }

    #[test]
    fn room_for_replicas_that_come_is_rented_ahead() {
        let offers = [
            offer("small", "a", false, 4.0, 0.16),
            offer("big", "a", false, 64.0, 2.0),
            offer("small", "a", true, 4.0, 0.04),
            offer("small", "b", false, 4.0, 0.16),
        ];
        let room = |free: f64, lent: u64, spot| Room {
            build: "big".into(),
            zone: "a".into(),
            spot,
            size: offers[1].size,
            free: Resources::capacity(free, 0.0, 64.0),
            lent,
        };
        // (room there, target in CPUs, machines rented in zone a by type)
        let cases: [(Vec<Room>, u64, &[(&str, u32)]); 6] = [
            (vec![], 0, &[]),
            (vec![], 6, &[("small", 2)]),
            (vec![room(6.0, 0, false)], 6, &[]),
            // Batch work gives way to replicas; spot machines don't hold them.
            (vec![room(0.0, 6000, false)], 6, &[]),
            (vec![room(6.0, 6000, true)], 6, &[("small", 2)]),
            (vec![], 60, &[("big", 1)]),
        ];
        for (rooms, target, want) in cases {
            let spare = BTreeMap::from([("a".to_owned(), target * 1000)]);
            let policy = policy(0.0, spare);
            let got = plan(rooms, &[], &offers, &policy);
            let got: Vec<(&str, u32)> = got.iter().map(|(w, n)| (w.build.as_str(), *n)).collect();
            assert_eq!(got, want, "{target}");
        }
        // Nothing several times too big where the right size is refused.
        let refused = [Offer { refused: true, ..offers[0].clone() }, offers[1].clone()];
        let spare = BTreeMap::from([("a".to_owned(), 6000)]);
        let policy = policy(0.0, spare);
        assert!(plan(Vec::new(), &[], &refused, &policy).is_empty());
    }

    #[test]
    fn booting_room_counts() {
        let o = [offer("small", "a", true, 4.0, 0.04)];
        let room = Room {
            build: "small".into(),
            zone: "a".into(),
            spot: true,
            size: o[0].size,
            free: o[0].size,
            lent: 0,
        };
        let policy = policy(0.0, BTreeMap::new());
        let d = [demand("array", 1, 4.0, true, false)];
        assert!(plan(vec![room], &d, &o, &policy).is_empty());
    }
}
