//! The scale-out plan: the cheapest machines for the pending tasks.
use super::placement::{self, Candidate};
use gorseshore_protocol::ids::Resources;
use gorseshore_protocol::job::{JobSpec, Kind};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A kind of machine that the cloud offers.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Size.
    pub size: Resources,
    /// Price per hour.
    pub price: f64,
    /// The cloud refused it recently.
    pub refused: bool,
    /// Usual boot time, in seconds.
    pub boot_s: f64,
}

/// Free capacity of a machine that is up or booting.
#[derive(Debug, Clone)]
pub struct MachineCapacity {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Size.
    pub size: Resources,
    /// Free resources.
    pub free: Resources,
    /// CPUs, in thousandths, of lower-priority tasks that replicas may preempt.
    pub preemptible_cpu: u64,
}

/// Pending tasks of a job.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Job.
    pub spec: Rc<JobSpec>,
    /// Number of pending tasks.
    pub pending_tasks: u32,
    /// None of its tasks runs and it has waited for long, so that capacity taken by other jobs
    /// does not help it: machines are rented for it even when the backlog needs none.
    pub starved: bool,
    /// None of its tasks runs and it has waited for a while: if no spot machine is available, it
    /// may get one of `ScalingPolicy::on_demand_for_arrays`.
    pub on_demand_allowed: bool,
    /// The job's tasks on machines, by zone.
    pub zones: BTreeMap<String, u32>,
}

/// A kind of machine to rent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RentalKind {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
}

/// Targets and bounds of a scale-out plan.
#[derive(Debug, Clone)]
pub struct ScalingPolicy {
    /// Time, in seconds, in which the backlog of array tasks should complete.
    pub drain_s: f64,
    /// Number of array tasks on machines now.
    pub running_arrays: f64,
    /// Maximum number of machines to add.
    pub max_new: usize,
    /// On-demand machines that may be added for arrays that could run on spot machines, while
    /// none of those is available.
    pub on_demand_for_arrays: usize,
    /// Spare CPUs for replicas by zone, in thousandths, so that new replicas do not wait for a
    /// machine to boot.
    pub spare: BTreeMap<String, u64>,
}

/// Decides how many machines of each kind to rent; `demands` are in service order.
pub fn plan(
    mut machines: Vec<MachineCapacity>,
    demands: &[Demand],
    offers: &[Offer],
    policy: &ScalingPolicy,
) -> BTreeMap<RentalKind, u32> {
    let mut rentals = BTreeMap::new();
    let mut added = 0;
    // Places tasks on machines that are up or booting; the rest are unmet.
    let mut unmet: Vec<(Rc<JobSpec>, u32, BTreeMap<String, u32>, bool, bool)> = Vec::new();
    let mut placed_arrays = 0.0;
    let mut zone_cpu: BTreeMap<String, u64> = BTreeMap::new();
    for m in machines.iter().filter(|m| !m.spot) {
        *zone_cpu.entry(m.zone.clone()).or_default() += m.size.cpu;
    }
    machines.retain(|m| m.free.cpu > 0 || m.preemptible_cpu > 0 && !m.spot);
    let mut unplaceable = UnplaceableNeeds::default();
    for d in demands {
        let mut zones = d.zones.clone();
        let left = d.pending_tasks
            - place_tasks(&mut machines, &zone_cpu, &mut unplaceable, &d.spec, &mut zones, d.pending_tasks);
        if d.spec.kind == Kind::Array {
            placed_arrays += (d.pending_tasks - left) as f64;
        }
        if left > 0 {
            let whole = left == d.pending_tasks;
            unmet.push((d.spec.clone(), left, zones, d.starved && whole, d.on_demand_allowed && whole));
        }
    }
    // Arrays share the existing machines: only the slots that the backlog needs to complete
    // within `drain_s` are rented.
    let work: f64 = unmet
        .iter()
        .filter(|(s, ..)| s.kind == Kind::Array)
        .map(|(s, n, ..)| *n as f64 * s.estimated_runtime_s.max(1.0))
        .sum();
    let mut slots = (work / policy.drain_s).ceil() - policy.running_arrays - placed_arrays;
    let mut on_demand_left = policy.on_demand_for_arrays;
    for (spec, mut left, mut zones, starved, on_demand_allowed) in unmet {
        if spec.kind == Kind::Array {
            if slots <= 0.0 && !starved {
                continue;
            }
            left = left.min(slots.ceil().max(1.0) as u32);
            slots -= left as f64;
        }
        // An array that may run on spot machines does not justify an on-demand machine: it waits
        // for the next spot machine, or uses capacity that replicas leave free.
        let spot_only = spec.kind == Kind::Array
            && offers.iter().any(|o| o.spot && spec.allows(&o.machine_type, &o.zone, true, &o.size));
        left -= place_tasks(&mut machines, &zone_cpu, &mut unplaceable, &spec, &mut zones, left);
        // After a while, it may get a few if no spot machine is available.
        let spot_unavailable = spot_only
            && on_demand_allowed
            && offers
                .iter()
                .all(|o| !o.spot || o.refused || !spec.allows(&o.machine_type, &o.zone, true, &o.size));
        while left > 0 && added < policy.max_new {
            let on_demand = !spot_only || spot_unavailable && on_demand_left > 0;
            let best = offers
                .iter()
                .filter(|o| !o.refused && spec.allows(&o.machine_type, &o.zone, o.spot, &o.size))
                .filter(|o| o.spot || on_demand)
                .filter(|o| zone_allows_task(&spec, &o.zone, &zones))
                .map(|o| {
                    let fitting = o.size.max_copies(&spec.task_resources, 10_000).max(1);
                    let used = fitting.min((left as u64).max(fitting.div_ceil(4)));
                    (o.price * (1.0 + o.boot_s / 120.0) / used as f64, o)
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, o)) = best else { break };
            on_demand_left -= (spot_unavailable && !o.spot) as usize;
            let mut machine = MachineCapacity {
                machine_type: o.machine_type.clone(),
                zone: o.zone.clone(),
                spot: o.spot,
                size: o.size,
                free: o.size,
                preemptible_cpu: 0,
            };
            left -= place_on(&mut machine, &spec, &mut zones, left);
            unplaceable.clear();
            machines.push(machine);
            *rentals
                .entry(RentalKind {
                    machine_type: o.machine_type.clone(),
                    zone: o.zone.clone(),
                    spot: o.spot,
                })
                .or_default() += 1;
            added += 1;
        }
    }
    for (zone, target) in &policy.spare {
        let on_demand = machines.iter().filter(|m| !m.spot && m.zone == *zone);
        let mut spare: u64 = on_demand.map(|m| m.free.cpu + m.preemptible_cpu).sum();
        while spare < *target && added < policy.max_new {
            let gap = (target - spare) as f64;
            let cost = |o: &Offer| o.price * (1.0 + o.boot_s / 120.0) / gap.min(o.size.cpu as f64);
            // A machine of more than twice the target costs more than the shorter wait is worth.
            let allowed_cpu = 1..=2 * target;
            let here = offers
                .iter()
                .filter(|o| !o.refused && !o.spot && o.zone == *zone && allowed_cpu.contains(&o.size.cpu));
            let Some(o) = here.min_by(|a, b| cost(a).total_cmp(&cost(b))) else { break };
            spare += o.size.cpu;
            *rentals
                .entry(RentalKind { machine_type: o.machine_type.clone(), zone: zone.clone(), spot: false })
                .or_default() += 1;
            added += 1;
        }
    }
    rentals
}

/// Whether another task of the job may go to `zone`.
pub fn zone_allows_task(spec: &JobSpec, zone: &str, zones: &BTreeMap<String, u32>) -> bool {
    let here = zones.get(zone).copied().unwrap_or(0);
    let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
    !(spec.one_zone && elsewhere) && here < spec.max_tasks_per_zone()
}

/// Resource requests that no machine fits. Free capacity only shrinks until a machine is added, so
/// a task that requests as much or more is not tried.
#[derive(Debug, Default)]
struct UnplaceableNeeds(Vec<Resources>);

impl UnplaceableNeeds {
    fn covers(&self, need: &Resources) -> bool {
        self.0.iter().any(|n| need.fits(n))
    }
    fn add(&mut self, need: Resources) {
        self.0.retain(|n| !n.fits(&need));
        self.0.push(need);
    }
    /// A machine was added.
    fn clear(&mut self) {
        self.0.clear();
    }
}

/// Places up to `left` tasks of the job on machines with free capacity, the best machine first;
/// returns the number placed.
fn place_tasks(
    machines: &mut [MachineCapacity],
    zone_cpu: &BTreeMap<String, u64>,
    unplaceable: &mut UnplaceableNeeds,
    spec: &JobSpec,
    zones: &mut BTreeMap<String, u32>,
    left: u32,
) -> u32 {
    if unplaceable.covers(&spec.task_resources) {
        return 0;
    }
    if !machines.iter().any(|m| m.free.fits(&spec.task_resources)) {
        unplaceable.add(spec.task_resources);
        return 0;
    }
    let zone_cpu = |z: &str| match spec.kind {
        Kind::Service => zone_cpu.get(z).copied().unwrap_or(0),
        Kind::Array => 0,
    };
    let mut order: Vec<(placement::Score, usize)> = machines
        .iter()
        .enumerate()
        .filter(|(_, r)| r.free.fits(&spec.task_resources))
        .filter_map(|(i, r)| {
            let c = Candidate {
                machine_type: &r.machine_type,
                zone: &r.zone,
                spot: r.spot,
                size: &r.size,
                free: r.free,
                has_image: true,
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
        placed += place_on(&mut machines[i], spec, zones, left - placed);
    }
    placed
}

/// Places up to `left` tasks of the job on one machine; returns the number placed.
fn place_on(
    machine: &mut MachineCapacity,
    spec: &JobSpec,
    zones: &mut BTreeMap<String, u32>,
    left: u32,
) -> u32 {
    if !zone_allows_task(spec, &machine.zone, zones) {
        return 0;
    }
    let here = zones.get(&machine.zone).copied().unwrap_or(0);
    let n = (machine.free.max_copies(&spec.task_resources, left as u64) as u32)
        .min(spec.max_tasks_per_zone().saturating_sub(here));
    for _ in 0..n {
        machine.free = machine.free.saturating_sub(spec.task_resources);
    }
    if n > 0 {
        *zones.entry(machine.zone.clone()).or_default() += n;
    }
    n
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offer(machine_type: &str, zone: &str, spot: bool, cpus: f64, price: f64) -> Offer {
        let size = Resources::capacity(cpus, 0.0, cpus * 4.0);
        Offer {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            size,
            price,
            refused: false,
            boot_s: 30.0,
        }
    }

    fn demand(kind: &str, n: u32, cpus: f64, spot: bool, spread: bool) -> Demand {
        let v = serde_json::json!({"ref":"j-000001","lot":"l","crew":"t","manner":kind,
            "rank":"standard","pieces":n,"cpus":cpus,"gpus":0,"memory_gb":1,"bundle":"i",
            "image_gb":1,"same_place":false,"apart":spread,"loaners":spot,"guess_s":30,
            "mark_s":0,"stow_s":0});
        let spec = gorseshore_protocol::users::parse_submission(v.to_string().as_bytes()).unwrap();
        Demand {
            spec: Rc::new(spec),
            pending_tasks: n,
            starved: false,
            on_demand_allowed: false,
            zones: BTreeMap::new(),
        }
    }

    fn policy(running_arrays: f64, spare: BTreeMap<String, u64>) -> ScalingPolicy {
        ScalingPolicy { drain_s: 30.0, running_arrays, max_new: 50, on_demand_for_arrays: 0, spare }
    }

    #[test]
    fn rents_a_few_on_demand_machines_while_spot_is_sold_out() {
        let offer = |zone, spot, refused| Offer { refused, ..offer("small", zone, spot, 4.0, 0.1) };
        // (offers, has waited, on-demand machines allowed; machines rented)
        let cases = [
            (vec![offer("a", false, false), offer("a", true, true)], true, 2, 2),
            (vec![offer("a", false, false), offer("a", true, true)], true, 0, 0),
            (vec![offer("a", false, false), offer("a", true, true)], false, 2, 0),
            // A spot machine is available in another zone.
            (vec![offer("a", false, false), offer("a", true, true), offer("b", true, false)], true, 2, 8),
        ];
        for (i, (offers, on_demand_allowed, allowed, expected)) in cases.into_iter().enumerate() {
            let d = Demand { on_demand_allowed, ..demand("array", 8, 4.0, true, false) };
            let p = ScalingPolicy { on_demand_for_arrays: allowed, ..policy(0.0, BTreeMap::new()) };
            let actual = plan(Vec::new(), &[d], &offers, &p);
            assert_eq!(actual.values().sum::<u32>(), expected, "case {i}: {actual:?}");
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
        let rental =
            |b: &str, z: &str, s, n| (RentalKind { machine_type: b.into(), zone: z.into(), spot: s }, n);
        // (demands, array tasks running; machines rented)
        let cases = [
            (vec![], 0.0, vec![]),
            (vec![demand("array", 2, 4.0, true, false)], 0.0, vec![rental("small", "a", true, 2)]),
            (vec![demand("array", 64, 4.0, true, false)], 0.0, vec![rental("big", "a", true, 4)]),
            // Running tasks complete soon: a small backlog waits for them.
            (vec![demand("array", 10, 4.0, true, false)], 20.0, vec![]),
            (vec![demand("standing", 1, 2.0, false, false)], 99.0, vec![rental("small", "a", false, 1)]),
            // Spread: one of the two tasks in each zone.
            (
                vec![demand("standing", 2, 2.0, false, true)],
                0.0,
                vec![rental("small", "a", false, 1), rental("small", "b", false, 1)],
            ),
            // Two jobs share a machine.
            (
                vec![demand("standing", 1, 2.0, false, false), demand("standing", 1, 2.0, false, false)],
                0.0,
                vec![rental("small", "a", false, 1)],
            ),
            (vec![demand("array", 1, 99.0, true, false)], 0.0, vec![]),
        ];
        for (i, (demands, running, wanted)) in cases.into_iter().enumerate() {
            let policy = policy(running, BTreeMap::new());
            let actual = plan(Vec::new(), &demands, &offers, &policy);
            assert_eq!(actual.into_iter().collect::<Vec<_>>(), wanted, "case {i}");
        }
    }

    #[test]
    fn rents_for_a_starved_job_that_no_machine_fits() {
        let offers = [offer("small", "a", false, 4.0, 0.16)];
        let policy = policy(100.0, BTreeMap::new());
        for (starved, machines) in [(false, 0), (true, 1)] {
            let mut d = demand("array", 3, 4.0, false, false);
            d.starved = starved;
            let actual = plan(Vec::new(), &[d], &offers, &policy);
            assert_eq!(actual.values().sum::<u32>(), machines, "{starved}");
        }
    }

    #[test]
    fn rents_spare_capacity_for_replicas_ahead() {
        let offers = [
            offer("small", "a", false, 4.0, 0.16),
            offer("big", "a", false, 64.0, 2.0),
            offer("small", "a", true, 4.0, 0.04),
            offer("small", "b", false, 4.0, 0.16),
        ];
        let machine = |free: f64, preemptible_cpu: u64, spot| MachineCapacity {
            machine_type: "big".into(),
            zone: "a".into(),
            spot,
            size: offers[1].size,
            free: Resources::capacity(free, 0.0, 64.0),
            preemptible_cpu,
        };
        // (machines, target in CPUs; machines rented in zone a by type)
        let cases: [(Vec<MachineCapacity>, u64, &[(&str, u32)]); 6] = [
            (vec![], 0, &[]),
            (vec![], 6, &[("small", 2)]),
            (vec![machine(6.0, 0, false)], 6, &[]),
            // Replicas preempt batch tasks, but do not run on spot machines.
            (vec![machine(0.0, 6000, false)], 6, &[]),
            (vec![machine(6.0, 6000, true)], 6, &[("small", 2)]),
            (vec![], 60, &[("big", 1)]),
        ];
        for (machines, target, expected) in cases {
            let spare = BTreeMap::from([("a".to_owned(), target * 1000)]);
            let policy = policy(0.0, spare);
            let actual = plan(machines, &[], &offers, &policy);
            let actual: Vec<(&str, u32)> =
                actual.iter().map(|(w, n)| (w.machine_type.as_str(), *n)).collect();
            assert_eq!(actual, expected, "{target}");
        }
        // No machine several times the target is rented when the right size is refused.
        let refused = [Offer { refused: true, ..offers[0].clone() }, offers[1].clone()];
        let spare = BTreeMap::from([("a".to_owned(), 6000)]);
        let policy = policy(0.0, spare);
        assert!(plan(Vec::new(), &[], &refused, &policy).is_empty());
    }

    #[test]
    fn capacity_of_booting_machines_counts() {
        let o = [offer("small", "a", true, 4.0, 0.04)];
        let machine = MachineCapacity {
            machine_type: "small".into(),
            zone: "a".into(),
            spot: true,
            size: o[0].size,
            free: o[0].size,
            preemptible_cpu: 0,
        };
        let policy = policy(0.0, BTreeMap::new());
        let d = [demand("array", 1, 4.0, true, false)];
        assert!(plan(vec![machine], &d, &o, &policy).is_empty());
    }
}
