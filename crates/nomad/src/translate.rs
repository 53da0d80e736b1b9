//! From a job file to native jobs: the class that takes it, its bounds, the
//! machine types and zones that its constraints leave.
//!
//! Invariant: a job's priority comes from its class alone, within the class's
//! rank, and no class of batch jobs has the services' rank (the settings see to
//! that): a batch file can never outrank or preempt a service.
use crate::model::{Group, Job, Match};
use crate::tree::{Datum, Faults};
use globset::Glob;
use gorseshore_protocol::ids::{JobId, Resources};
use gorseshore_protocol::job::{JobSpec, Kind, Preference, Priority};
use gorseshore_settings::{Nomad, NomadClass, NomadMachine};
use std::collections::{BTreeMap, BTreeSet};

/// A machine type in a zone, as constraints see it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineKind {
    /// Type.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// CPUs.
    pub cpus: f64,
    /// Memory.
    pub memory_gb: f64,
}

/// What is known of the site.
#[derive(Debug, Clone, Default)]
pub struct Site {
    /// Machine types in their zones; none if they are not known here.
    pub machines: Vec<MachineKind>,
    /// Teams; empty if they are not known here.
    pub teams: Vec<String>,
}

impl Site {
    /// The site as the operators' file describes it; its teams are not known.
    pub fn described(settings: &Nomad) -> Self {
        let kind = |m: &NomadMachine| MachineKind {
            name: m.name.clone(),
            zone: m.zone.clone(),
            cpus: m.cpus,
            memory_gb: m.memory_gb,
        };
        Site { machines: settings.machines.iter().map(kind).collect(), teams: Vec::new() }
    }
}

/// A group as a native job; its id is given when it is recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Group.
    pub group: String,
    /// Description.
    pub spec: JobSpec,
}

/// Whether text matches a pattern with `*` and `?`.
pub fn matches(pattern: &str, text: &str) -> bool {
    Glob::new(pattern).is_ok_and(|g| g.compile_matcher().is_match(text))
}

/// The first class that takes the job.
pub fn class<'a>(job: &Job, settings: &'a Nomad) -> Option<&'a NomadClass> {
    settings.classes.iter().find(|c| {
        let zones = &job.datacenters;
        c.kind.is_none_or(|k| k == job.kind)
            && matches(&c.job_pattern, &job.id)
            && matches(&c.namespace_pattern, &job.namespace)
            && (c.datacenter_pattern == "*" || zones.iter().any(|(z, _)| matches(&c.datacenter_pattern, z)))
    })
}

/// Translates a job; what can't be served is among the faults.
pub fn translate(job: &Job, settings: &Nomad, site: &Site, faults: &mut Faults) -> Vec<Planned> {
    if let Some((r, at)) = &job.region
        && r != "global"
        && *r != settings.region
    {
        let text = format!("this is region {}, not {r}", settings.region);
        faults.refused(*at, &format!("{}.region", job.path), text);
    }
    let Some(class) = class(job, settings) else {
        let kind = if job.kind == Kind::Service { "service" } else { "batch" };
        let text = match settings.classes.len() {
            0 => "no classes are set: the operators' file says which jobs are taken (nomad.class)".to_owned(),
            _ => format!("no class takes a {kind} job of this id, namespace and datacenters"),
        };
        faults.refused(job.at, &job.path, text);
        return Vec::new();
    };
    if !site.teams.is_empty() && !site.teams.contains(&class.team) {
        let text =
            format!("class {} belongs to team {}, which this site does not have", class.name, class.team);
        faults.refused(job.at, &job.path, text);
    }
    let total: u64 = job.groups.iter().map(|g| g.count as u64).sum();
    if total > class.max_count as u64 {
        let at = job.groups.iter().max_by_key(|g| g.count).map_or(job.at, |g| g.count_at);
        let text =
            format!("{total} repeats over all groups, class {} allows {}", class.name, class.max_count);
        faults.refused(at, &format!("{}.group.count", job.path), text);
    }
    if job.groups.is_empty() || site.machines.is_empty() {
        let text = "constraints, datacenters and sizes are not judged: the machine types are not known here";
        faults.warning(job.at, &job.path, text);
    }
    job.groups.iter().filter_map(|g| group(job, g, class, settings, site, faults)).collect()
}

/// The rank of a job of a class: the class's, or for low priorities one or two
/// below it, never above.
pub fn rank(class: &NomadClass, kind: Kind, priority: u32) -> Priority {
    if kind == Kind::Service {
        return class.max_priority;
    }
    let order = [Priority::Low, Priority::Normal, Priority::High, Priority::Production];
    let top = order.iter().position(|r| *r == class.max_priority).unwrap_or(0);
    // Beyond doubt, whatever the settings said.
    let top = top.min(2);
    let below = match priority {
        50.. => 0,
        20..50 => 1,
        _ => 2,
    };
    order[top.saturating_sub(below)]
}

fn group(
    job: &Job,
    g: &Group,
    class: &NomadClass,
    settings: &Nomad,
    site: &Site,
    faults: &mut Faults,
) -> Option<Planned> {
    let task = &g.task;
    let task_path = format!("{}.task.{}", g.path, task.name);
    let res_path = format!("{task_path}.resources");
    let cpus = match task.cores {
        Some(n) => n as f64,
        None => task.cpu_mhz as f64 / settings.mhz_per_cpu,
    };
    let memory_gb = task.memory_mb as f64 / 1024.0;
    if cpus > class.max_cpus {
        let text = format!("{cpus:.3} CPUs, class {} allows {}", class.name, class.max_cpus);
        faults.refused(task.resources_at, &format!("{res_path}.cpu"), text);
    }
    if memory_gb > class.max_memory_gb {
        let text = format!("{memory_gb:.3} GB, class {} allows {}", class.name, class.max_memory_gb);
        faults.refused(task.resources_at, &format!("{res_path}.memory"), text);
    }
    if g.disk_mb.0 > class.max_disk_mb as u64 {
        let text = format!("{} MB, class {} allows {}", g.disk_mb.0, class.name, class.max_disk_mb);
        faults.refused(g.disk_mb.1, &format!("{}.ephemeral_disk.size", g.path), text);
    }
    let kill_s = task.kill_timeout.as_secs_f64();
    if kill_s > class.max_kill_timeout_s {
        let text = format!("{kill_s} s, class {} allows {}", class.name, class.max_kill_timeout_s);
        faults.refused(task.kill_at, &format!("{task_path}.kill_timeout"), text);
    }
    let attempts = attempts(job, g, class, faults);
    let constraints: Vec<&Match> = g.constraints.iter().collect();
    let allowed = allowed(job, g, &constraints, settings, site, faults)?;
    let need = Resources::request(cpus, 0.0, memory_gb);
    if !allowed.kinds.is_empty() {
        let fits = |k: &&MachineKind| Resources::capacity(k.cpus, 0.0, k.memory_gb).fits(&need);
        if !allowed.kinds.iter().any(fits) {
            let most = allowed
                .kinds
                .iter()
                .map(|k| (k.cpus, k.memory_gb))
                .fold((0.0, 0.0), |a: (f64, f64), b| (a.0.max(b.0), a.1.max(b.1)));
            let text = format!(
                "{cpus:.3} CPUs and {memory_gb:.3} GB fit no machine that is left: those have up to {} CPUs and {} GB",
                most.0, most.1
            );
            faults.refused(task.resources_at, &res_path, text);
        }
    }
    let image = match &task.config {
        Datum::Map(m) => m.iter().find(|(k, _)| k == "image").and_then(|(_, n)| n.datum.text()),
        _ => None,
    };
    let image = image.filter(|i| !i.is_empty()).unwrap_or_else(|| task.driver.clone());
    if image.len() > 256 {
        let text = "the image's name has more than 256 bytes";
        faults.refused(task.at, &format!("{task_path}.config.image"), text);
        return None;
    }
    let image_gb = class
        .images
        .iter()
        .find(|(p, _)| matches(p, &image) || matches(p, &task.driver))
        .map_or(class.image_gb, |(_, gb)| *gb);
    let prefer = preferences(g, &allowed.kinds, settings, faults);
    let spec = JobSpec {
        id: JobId(0),
        class: class.job_class.clone(),
        team: class.team.clone(),
        kind: job.kind,
        priority: rank(class, job.kind, job.priority),
        tasks: g.count,
        task_resources: need,
        machine_types: allowed.types,
        zones: allowed.zones,
        one_zone: false,
        spread: g.spread && g.count > 1,
        spot: class.spot && allowed.spot,
        image,
        image_gb,
        estimated_runtime_s: if job.kind == Kind::Array { class.estimate_s } else { 0.0 },
        checkpoint_interval_s: if job.kind == Kind::Array { class.checkpoint_s } else { 0.0 },
        checkpoint_save_s: kill_s,
        deadline_s: class.deadline_s.filter(|_| job.kind == Kind::Array),
        max_attempts: attempts,
        preferences: prefer,
        replaces: Vec::new(),
        dependencies: Vec::new(),
    };
    Some(Planned { group: g.name.clone(), spec })
}

/// Attempts that a task of the group has before its job has failed.
fn attempts(job: &Job, g: &Group, class: &NomadClass, faults: &mut Faults) -> Option<u32> {
    let mut bounded = |n: Option<u32>, most: u32, what: &str, at: usize| {
        let text = match n {
            Some(n) if n <= most => return,
            Some(n) => format!("{n} attempts, class {} allows {most}", class.name),
            None => format!("no end of attempts, class {} allows {most}", class.name),
        };
        faults.refused(at, &format!("{}.{what}.attempts", g.path), text);
    };
    match job.kind {
        // A service has no end of its own: it is started again until it is stopped.
        Kind::Service => {
            if let Some(n) = g.restarts {
                bounded(Some(n), class.max_restarts, "restart", g.restarts_at);
            }
            if let Some(n) = g.reschedules {
                bounded(Some(n), class.max_reschedules, "reschedule", g.reschedules_at);
                let text = "has no effect on a service: it is started again until it is stopped";
                faults.warning(g.reschedules_at, &format!("{}.reschedule", g.path), text);
            }
            None
        }
        Kind::Array => {
            bounded(g.restarts, class.max_restarts, "restart", g.restarts_at);
            bounded(g.reschedules, class.max_reschedules, "reschedule", g.reschedules_at);
            Some((g.restarts? + 1).saturating_mul(g.reschedules? + 1))
        }
    }
}

struct Allowed<'a> {
    kinds: Vec<&'a MachineKind>,
    types: Option<Vec<String>>,
    zones: Option<Vec<String>>,
    spot: bool,
}

/// What datacenters and constraints leave. Each constraint speaks of one
/// property, of the type or of the zone, so what is left is types times zones.
fn allowed<'a>(
    job: &Job,
    g: &Group,
    constraints: &[&Match],
    settings: &Nomad,
    site: &'a Site,
    faults: &mut Faults,
) -> Option<Allowed<'a>> {
    let all_types: BTreeSet<&str> = site.machines.iter().map(|k| k.name.as_str()).collect();
    let all_zones: BTreeSet<&str> = site.machines.iter().map(|k| k.zone.as_str()).collect();
    let mut types = all_types.clone();
    let mut zones = all_zones.clone();
    let patterns = &job.datacenters;
    if !patterns.is_empty() && !site.machines.is_empty() {
        zones.retain(|z| patterns.iter().any(|(p, _)| matches(p, z)));
        if zones.is_empty() {
            let names: Vec<&str> = all_zones.iter().copied().collect();
            let text = format!("none of them is here: there are {}", names.join(", "));
            faults.refused(patterns[0].1, &format!("{}.datacenters", job.path), text);
            return None;
        }
    }
    let mut spot = true;
    let mut good = true;
    for c in constraints {
        match property(&c.attribute) {
            None => {
                faults.refused(c.at, &c.path, unknown_property(&c.attribute));
                good = false;
            }
            Some(Property::Spot) => match compare(c, &["false"]) {
                Ok(true) => spot = false,
                Ok(false) => {
                    faults.refused(c.at, &c.path, "tasks can be kept off spot machines, not on them");
                    good = false;
                }
                Err(text) => {
                    faults.refused(c.at, &c.path, text);
                    good = false;
                }
            },
            Some(p) => {
                // Faults of the comparison itself are found with any value.
                if let Err(text) = compare(c, &["1"]) {
                    faults.refused(c.at, &c.path, text);
                    good = false;
                    continue;
                }
                let holds = |k: &MachineKind| {
                    let v = value(p, k, settings);
                    compare(c, &[&v]).unwrap_or(false)
                };
                let of = |f: &dyn Fn(&MachineKind) -> &str| -> BTreeSet<String> {
                    site.machines.iter().filter(|k| holds(k)).map(|k| f(k).to_owned()).collect()
                };
                let all = match p {
                    Property::Fixed(v) => compare(c, &[v]).unwrap_or(false),
                    Property::Region => {
                        ["global", &settings.region].iter().any(|r| compare(c, &[r]).unwrap_or(false))
                    }
                    Property::Zone => narrow(&mut zones, &of(&|k| &k.zone)),
                    _ => narrow(&mut types, &of(&|k| &k.name)),
                };
                if !all && !site.machines.is_empty() {
                    let text = format!(
                        "{} {} {} leaves no machine: there are {} in {}, region {}",
                        c.attribute,
                        c.operator,
                        c.value,
                        all_types.iter().copied().collect::<Vec<_>>().join(", "),
                        all_zones.iter().copied().collect::<Vec<_>>().join(", "),
                        settings.region,
                    );
                    faults.refused(c.at, &c.path, text);
                    good = false;
                }
            }
        }
    }
    if !good {
        return None;
    }
    let kinds: Vec<&MachineKind> = site
        .machines
        .iter()
        .filter(|k| types.contains(k.name.as_str()) && zones.contains(k.zone.as_str()))
        .collect();
    if kinds.is_empty() && !site.machines.is_empty() {
        faults.refused(g.at, &g.path, "no machine type is left in the zones that are left");
        return None;
    }
    let owned = |s: &BTreeSet<&str>| s.iter().map(|x| (*x).to_owned()).collect::<Vec<_>>();
    Some(Allowed {
        kinds,
        types: (types != all_types).then(|| owned(&types)),
        zones: (zones != all_zones).then(|| owned(&zones)),
        spot,
    })
}

/// Keeps of a set what is in another; false, and nothing is taken away, if that
/// is nothing: the constraints after it are judged by what was there.
fn narrow(set: &mut BTreeSet<&str>, to: &BTreeSet<String>) -> bool {
    let left: BTreeSet<&str> = set.iter().copied().filter(|x| to.contains(*x)).collect();
    if left.is_empty() {
        return false;
    }
    *set = left;
    true
}

#[derive(Clone, Copy, PartialEq)]
enum Property {
    Zone,
    Type,
    Region,
    Cores,
    Compute,
    Memory,
    Spot,
    Fixed(&'static str),
}

fn property(attribute: &str) -> Option<Property> {
    let name = attribute.strip_prefix("${")?.strip_suffix('}')?;
    Some(match name {
        "node.datacenter" => Property::Zone,
        "node.class" => Property::Type,
        "node.region" => Property::Region,
        "node.pool" => Property::Fixed("default"),
        "attr.cpu.numcores" => Property::Cores,
        "attr.cpu.totalcompute" => Property::Compute,
        "attr.memory.totalbytes" => Property::Memory,
        "attr.kernel.name" => Property::Fixed("linux"),
        "attr.unique.spot" => Property::Spot,
        _ => return None,
    })
}

fn unknown_property(attribute: &str) -> String {
    format!(
        "the machine types don't tell of {attribute}: they tell of node.datacenter, node.class, node.region, \
         node.pool, attr.cpu.numcores, attr.cpu.totalcompute, attr.memory.totalbytes, attr.kernel.name and \
         attr.unique.spot, written as ${{…}}"
    )
}

fn value(p: Property, k: &MachineKind, settings: &Nomad) -> String {
    match p {
        Property::Zone => k.zone.clone(),
        Property::Type => k.name.clone(),
        Property::Region => settings.region.clone(),
        Property::Cores => format!("{}", k.cpus.floor() as u64),
        Property::Compute => format!("{}", (k.cpus * settings.mhz_per_cpu) as u64),
        Property::Memory => format!("{}", (k.memory_gb * (1u64 << 30) as f64) as u64),
        Property::Spot => "false".into(),
        Property::Fixed(v) => v.to_owned(),
    }
}

/// Whether a value satisfies a match; the error is about the match itself.
fn compare(m: &Match, values: &[&str]) -> Result<bool, String> {
    let value = values[0];
    let order = |want: fn(std::cmp::Ordering) -> bool| {
        // As the specification has it: numbers as numbers, others as text.
        let o = match (value.parse::<f64>(), m.value.parse::<f64>()) {
            (Ok(a), Ok(b)) => a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal),
            _ => value.cmp(m.value.as_str()),
        };
        want(o)
    };
    let members = || m.value.split(',').map(str::trim);
    Ok(match m.operator.as_str() {
        "=" | "==" | "is" | "" => value == m.value,
        "!=" | "not" => value != m.value,
        "<" => order(|o| o.is_lt()),
        "<=" => order(|o| o.is_le()),
        ">" => order(|o| o.is_gt()),
        ">=" => order(|o| o.is_ge()),
        "regexp" => regex_lite::RegexBuilder::new(&m.value)
            .size_limit(1 << 20)
            .build()
            .map_err(|e| format!("\"{}\" is not a regular expression: {e}", m.value))?
            .is_match(value),
        "set_contains" | "set_contains_all" => members().all(|x| x == value),
        "set_contains_any" => members().any(|x| x == value),
        "is_set" => true,
        "is_not_set" => false,
        "version" | "semver" => return Err("the machine types tell of no versions".into()),
        other => return Err(format!("the operator {other} is not known")),
    })
}

/// What affinities say of the kinds that are left.
fn preferences(g: &Group, kinds: &[&MachineKind], settings: &Nomad, faults: &mut Faults) -> Vec<Preference> {
    let mut sums: BTreeMap<(&str, &str), i32> = BTreeMap::new();
    for (m, weight) in &g.affinities {
        let Some(p) = property(&m.attribute) else {
            faults.refused(m.at, &m.path, unknown_property(&m.attribute));
            continue;
        };
        if let Err(text) = compare(m, &["1"]) {
            faults.refused(m.at, &m.path, text);
            continue;
        }
        if matches!(p, Property::Spot | Property::Fixed(_) | Property::Region) {
            let text = "has no effect: it is the same for every machine, or the price decides";
            faults.warning(m.at, &m.path, text);
            continue;
        }
        for k in kinds {
            if compare(m, &[&value(p, k, settings)]).unwrap_or(false) {
                *sums.entry((&k.name, &k.zone)).or_default() += *weight as i32;
            }
        }
    }
    sums.into_iter()
        .filter(|(_, w)| *w != 0)
        .map(|((build, zone), weight)| Preference { machine_type: build.into(), zone: zone.into(), weight })
        .collect()
}
