//! The job that a file describes: checked against the table, with the specification's defaults
//! filled in.
use crate::table::{self, Row, Shape, Support};
use crate::tree::{Attr, Block, Datum, Diagnostics, Node, Tree};
use gorseshore_protocol::ids::Micros;
use gorseshore_protocol::job::Kind;
use std::collections::BTreeMap;

/// A job.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Job id.
    pub id: String,
    /// Offset of the job block in the file.
    pub at: usize,
    /// Path for diagnostics, `job.ID`.
    pub path: String,
    /// Display name.
    pub name: String,
    /// Namespace.
    pub namespace: String,
    /// Region and its offset, if one is set.
    pub region: Option<(String, usize)>,
    /// Service or batch.
    pub kind: Kind,
    /// Priority, 1 to 100.
    pub priority: u32,
    /// Zone patterns with their offsets; empty for every zone.
    pub datacenters: Vec<(String, usize)>,
    /// User-defined metadata.
    pub meta: BTreeMap<String, String>,
    /// Groups.
    pub groups: Vec<Group>,
    /// Cron launches, for a periodic job.
    pub periodic: Option<Periodic>,
    /// Dispatch rules, for a parameterized job.
    pub parameterized: Option<Parameterized>,
}

/// A task group.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// Name.
    pub name: String,
    /// Offset in the file.
    pub at: usize,
    /// Path for diagnostics.
    pub path: String,
    /// Number of tasks.
    pub count: u32,
    /// Offset of the count, or of the group if it sets none.
    pub count_at: usize,
    /// Constraints of job, group and task.
    pub constraints: Vec<Condition>,
    /// Affinities of job, group and task, with their weights.
    pub affinities: Vec<(Condition, f64)>,
    /// Whether tasks are spread over zones.
    pub spread: bool,
    /// Restarts of a failed task on the same machine; `None` for unlimited.
    pub restarts: Option<u32>,
    /// Offset of the restart attempts.
    pub restarts_at: usize,
    /// Moves to another machine; `None` for unlimited.
    pub reschedules: Option<u32>,
    /// Offset of the reschedule attempts.
    pub reschedules_at: usize,
    /// Disk in MB and its offset.
    pub disk_mb: (u64, usize),
    /// Metadata of group and task.
    pub meta: BTreeMap<String, String>,
    /// The group's only task.
    pub task: Task,
}

/// A task.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// Name.
    pub name: String,
    /// Offset in the file.
    pub at: usize,
    /// Driver.
    pub driver: String,
    /// Configuration of the driver.
    pub config: Datum,
    /// Environment variables.
    pub env: BTreeMap<String, String>,
    /// CPU in MHz; not used if `cores` is set.
    pub cpu_mhz: u64,
    /// Number of whole CPUs.
    pub cores: Option<u64>,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Offset of the resources.
    pub resources_at: usize,
    /// Time that a stopped task has to exit.
    pub kill_timeout: Micros,
    /// Offset of the kill timeout.
    pub kill_at: usize,
}

/// The condition of a constraint or an affinity.
#[derive(Debug, Clone, PartialEq)]
pub struct Condition {
    /// Left operand, such as `${node.class}`.
    pub attribute: String,
    /// Comparison operator.
    pub operator: String,
    /// Right operand.
    pub value: String,
    /// Offset in the file.
    pub at: usize,
    /// Path for diagnostics.
    pub path: String,
}

/// Cron launches of a periodic job.
#[derive(Debug, Clone, PartialEq)]
pub struct Periodic {
    /// Whether the job is launched by cron.
    pub enabled: bool,
    /// Cron expressions.
    pub crons: Vec<String>,
    /// Time zone.
    pub time_zone: String,
    /// Whether a launch is skipped while an earlier one runs.
    pub prohibit_overlap: bool,
    /// Offset in the file.
    pub at: usize,
}

/// Whether a dispatch carries a payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Payload {
    /// A payload is allowed.
    Optional,
    /// A payload is required.
    Required,
    /// A payload is not allowed.
    Forbidden,
}

/// Dispatch rules of a parameterized job.
#[derive(Debug, Clone, PartialEq)]
pub struct Parameterized {
    /// Payload rule.
    pub payload: Payload,
    /// Meta keys that a dispatch must set.
    pub required: Vec<String>,
    /// Meta keys that a dispatch may set.
    pub optional: Vec<String>,
}

/// Longest id, name or namespace in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Most groups of a job.
pub const MAX_GROUPS: usize = 64;
/// Most tasks of a group in any class, the limit of native jobs.
pub const MAX_COUNT: u64 = 100_000;

/// Reads a job block; `None` if it has no id. All diagnostics are collected.
pub fn read(block: &Block, diagnostics: &mut Diagnostics) -> Option<Job> {
    let label = match &block.labels[..] {
        [(l, _)] => Some(l.clone()),
        [] => None,
        _ => {
            diagnostics.refused(block.at, "job", "a job has one name");
            None
        }
    };
    let mut r = Reader { diagnostics };
    let path = label.as_ref().map_or("job".to_owned(), |l| format!("job.{l}"));
    r.check(&block.body, "", &path);
    let t = &block.body;
    let id = r.text(t, "id", &path).or(label);
    let Some(id) = id else {
        r.diagnostics.refused(block.at, &path, "the job has no id");
        return None;
    };
    let name = r.text(t, "name", &path).unwrap_or_else(|| id.clone());
    let namespace = r.text(t, "namespace", &path).unwrap_or_else(|| "default".into());
    for (what, text) in [("id", &id), ("name", &name), ("namespace", &namespace)] {
        r.check_name(what, text, block.at, &path);
    }
    let kind = match r.text(t, "type", &path).as_deref() {
        None | Some("service") => Kind::Service,
        Some("batch") => Kind::Array,
        Some(other) => {
            let at = position_of(t, "type");
            let text = match other {
                "system" | "sysbatch" => {
                    format!(
                        "{other} runs a task on every machine; machines are rented as work needs them, so there is no such set"
                    )
                }
                _ => format!("\"{other}\" must be service or batch"),
            };
            r.diagnostics.refused(at, &format!("{path}.type"), text);
            Kind::Service
        }
    };
    let priority = match r.integer(t, "priority", &path) {
        None => 50,
        Some(p) if (1..=100).contains(&p) => p as u32,
        Some(p) => {
            let text = format!("{p} must be 1 to 100");
            r.diagnostics.refused(position_of(t, "priority"), &format!("{path}.priority"), text);
            50
        }
    };
    if let Some(pool) = r.text(t, "node_pool", &path)
        && !matches!(pool.as_str(), "default" | "all")
    {
        let text = format!("there is no node pool {pool}: default and all are every machine");
        r.diagnostics.refused(position_of(t, "node_pool"), &format!("{path}.node_pool"), text);
    }
    let constraints = r.conditions(t, "constraint", &path);
    let affinities = r.affinities(t, &path);
    let spread = r.spread(t, &path);
    let reschedule = t.block("reschedule");
    let mut groups = Vec::new();
    for b in t.blocks_named("group") {
        if groups.len() == MAX_GROUPS {
            r.diagnostics.refused(b.at, &path, format!("a job has at most {MAX_GROUPS} groups"));
            break;
        }
        let Some(mut g) = r.group(b, kind, reschedule, &path) else { continue };
        if groups.iter().any(|x: &Group| x.name == g.name) {
            r.diagnostics.refused(g.at, &g.path, "the job has this group twice");
        }
        g.constraints.splice(0..0, constraints.iter().cloned());
        g.affinities.splice(0..0, affinities.iter().cloned());
        g.spread |= spread;
        groups.push(g);
    }
    if t.blocks_named("group").next().is_none() {
        let text = match t.attr("task") {
            Some(_) => "tasks stand in a group",
            None => "the job has no group",
        };
        r.diagnostics.refused(block.at, &path, text);
    }
    let periodic = t.block("periodic").map(|b| r.periodic(b, &path));
    let parameterized = t.block("parameterized").map(|b| r.parameterized(b, &path));
    if let (Kind::Service, true) = (kind, periodic.is_some() || parameterized.is_some()) {
        let what = if periodic.is_some() { "periodic" } else { "parameterized" };
        let at = t.block(what).map_or(block.at, |b| b.at);
        r.diagnostics.refused(
            at,
            &format!("{path}.{what}"),
            "is for jobs of type batch: a service has no end",
        );
    }
    if periodic.is_some() && parameterized.is_some() {
        r.diagnostics.refused(block.at, &path, "a job is periodic or parameterized, not both");
    }
    Some(Job {
        at: block.at,
        name,
        namespace,
        region: r.text(t, "region", &path).map(|v| (v, position_of(t, "region"))),
        kind,
        priority,
        datacenters: r.text_list(t, "datacenters", &path),
        meta: r.map(t, "meta", &path),
        groups,
        periodic,
        parameterized,
        id,
        path,
    })
}

fn position_of(t: &Tree, name: &str) -> usize {
    t.attr(name).map(|a| a.at).or_else(|| t.block(name).map(|b| b.at)).unwrap_or(t.at)
}

/// A duration: a number of nanoseconds, or text such as `1h30m`.
pub fn parse_duration(d: &Datum) -> Result<Micros, String> {
    match d {
        Datum::Number(n) if *n >= 0.0 && *n < 1e19 => Ok(Micros((*n / 1000.0) as u64)),
        Datum::Number(n) => Err(format!("{n} must not be negative")),
        Datum::Text(s) => match s.parse::<jiff::SignedDuration>() {
            Ok(d) if !d.is_negative() => match u64::try_from(d.as_micros()) {
                Ok(us) => Ok(Micros(us)),
                Err(_) => Err(format!("\"{s}\" is too long")),
            },
            Ok(_) => Err(format!("\"{s}\" must not be negative")),
            Err(_) if s == "0" => Ok(Micros(0)),
            Err(_) => Err(format!("\"{s}\" is not a length of time such as 1h30m")),
        },
        d => Err(format!("must be a length of time such as \"1h30m\", not {}", d.kind())),
    }
}

struct Reader<'f> {
    diagnostics: &'f mut Diagnostics,
}

impl Reader<'_> {
    /// Checks a stanza against the table: each field must be listed, have the listed shape, and be
    /// served or at least accepted.
    fn check(&mut self, t: &Tree, stanza: &str, path: &str) {
        for a in &t.attrs {
            let here = format!("{path}.{}", a.name);
            let Some(row) = table::find(stanza, &a.name) else {
                self.report_unknown(stanza, &a.name, a.at, &here);
                continue;
            };
            if self.check_support(row, a.at, &here, &a.value.datum) {
                self.check_shape(row, a, &here);
            }
        }
        let mut seen: Vec<(&str, Option<&str>)> = Vec::new();
        for b in &t.blocks {
            let mut here = format!("{path}.{}", b.name);
            let Some(row) = table::find(stanza, &b.name) else {
                self.report_unknown(stanza, &b.name, b.at, &here);
                continue;
            };
            if !self.check_support(row, b.at, &here, &Datum::Bool(true)) {
                continue;
            }
            b.labels.iter().for_each(|(l, _)| here.extend([".", l]));
            let labels = matches!(row.shape, Shape::LabeledBlocks) as usize;
            if b.labels.len() != labels {
                let text = if labels == 1 { "needs one name" } else { "has no name" };
                self.diagnostics.refused(b.at, &here, text);
                continue;
            }
            let name = (b.name.as_str(), b.labels.first().map(|l| l.0.as_str()));
            match row.shape {
                Shape::Block | Shape::Map | Shape::Any if seen.contains(&name) => {
                    self.diagnostics.refused(b.at, &here, "stands twice");
                }
                Shape::Block | Shape::Blocks | Shape::LabeledBlocks => {
                    let stanza =
                        if stanza.is_empty() { b.name.clone() } else { format!("{stanza}.{}", b.name) };
                    self.check(&b.body, &stanza, &here);
                }
                Shape::Map | Shape::Any => {}
                _ => self.diagnostics.refused(b.at, &here, "is set with =, it is no block"),
            }
            seen.push(name);
        }
    }

    fn report_unknown(&mut self, stanza: &str, name: &str, at: usize, path: &str) {
        let closest = table::fields_of(stanza)
            .map(|r| table::last_segment(r.path))
            .map(|n| (strsim::damerau_levenshtein(n, name), n))
            .min()
            .filter(|(d, _)| *d <= 2);
        let text = match closest {
            Some((_, n)) => format!("is not in the job specification; did you mean {n}?"),
            None => "is not in the job specification".to_owned(),
        };
        self.diagnostics.refused(at, path, text);
    }

    /// Reports a field by its support in the table; returns whether it is to be read.
    fn check_support(&mut self, row: &Row, at: usize, path: &str, value: &Datum) -> bool {
        match row.support {
            Support::Served(_) => *value != Datum::Null,
            Support::ReadOnly => false,
            _ if value.is_empty() => false,
            Support::NoEffect(why) => {
                self.diagnostics.warning(at, path, format!("has no effect: {why}"));
                // The contents of a stanza without effect are not checked.
                !matches!(row.shape, Shape::Block | Shape::Blocks | Shape::LabeledBlocks)
            }
            Support::Refused(why) => {
                self.diagnostics.refused(at, path, format!("is not served: {why}"));
                false
            }
        }
    }

    fn check_shape(&mut self, row: &Row, a: &Attr, path: &str) {
        let d = &a.value.datum;
        let problem = match row.shape {
            Shape::Text => d.text().is_none().then_some("must be text"),
            Shape::Integer => match d {
                Datum::Number(n) if *n >= 0.0 && n.fract() == 0.0 && *n <= 9e15 => None,
                _ => Some("must be a whole number from 0"),
            },
            Shape::Number => (!matches!(d, Datum::Number(_))).then_some("must be a number"),
            Shape::Bool => (!matches!(d, Datum::Bool(_))).then_some("must be true or false"),
            Shape::Duration => {
                if let Err(text) = parse_duration(d) {
                    self.diagnostics.refused(a.value.at, path, text);
                }
                None
            }
            Shape::TextList => match d {
                Datum::List(l) if l.iter().all(|n| matches!(n.datum, Datum::Text(_))) => None,
                _ => Some("must be a list of texts"),
            },
            Shape::Map => match d {
                Datum::Map(m) if m.iter().all(|(_, n)| n.datum.text().is_some()) => None,
                _ => Some("must be a map of texts"),
            },
            Shape::Any => None,
            Shape::Block | Shape::Blocks | Shape::LabeledBlocks => Some("is a block: write it without ="),
        };
        if let Some(text) = problem {
            let actual = match d {
                Datum::Number(_) | Datum::Bool(_) => d.text().unwrap_or_default(),
                _ => d.kind().to_owned(),
            };
            self.diagnostics.refused(a.value.at, path, format!("{text}, not {actual}"));
        }
    }

    fn check_name(&mut self, what: &str, text: &str, at: usize, path: &str) {
        let invalid = text.is_empty()
            || text.len() > MAX_NAME_BYTES
            || text.chars().any(|c| c.is_whitespace() || c.is_control());
        if invalid {
            let text = format!("must have 1 to {MAX_NAME_BYTES} bytes without white space");
            self.diagnostics.refused(at, &format!("{path}.{what}"), text);
        }
    }

    // The functions below read fields whose shape was already checked. A field with an error there
    // was reported and counts as not set.

    fn text(&mut self, t: &Tree, name: &str, path: &str) -> Option<String> {
        let a = t.attr(name)?;
        match &a.value.datum {
            Datum::Runtime(s) => {
                let text = format!("{s} is known only on the machine; here it is needed before");
                self.diagnostics.refused(a.value.at, &format!("{path}.{name}"), text);
                None
            }
            d => d.text(),
        }
    }

    fn integer(&self, t: &Tree, name: &str, _path: &str) -> Option<u64> {
        match t.attr(name)?.value.datum {
            Datum::Number(n) if n >= 0.0 && n.fract() == 0.0 && n <= 9e15 => Some(n as u64),
            _ => None,
        }
    }

    fn boolean(&self, t: &Tree, name: &str) -> Option<bool> {
        match t.attr(name)?.value.datum {
            Datum::Bool(b) => Some(b),
            _ => None,
        }
    }

    fn text_list(&self, t: &Tree, name: &str, _path: &str) -> Vec<(String, usize)> {
        match t.attr(name).map(|a| &a.value.datum) {
            Some(Datum::List(l)) => l.iter().filter_map(|n| Some((n.datum.text()?, n.at))).collect(),
            _ => Vec::new(),
        }
    }

    fn map(&mut self, t: &Tree, name: &str, path: &str) -> BTreeMap<String, String> {
        let mut out = BTreeMap::new();
        let fields: Vec<(&String, &Node)> = match (t.attr(name).map(|a| &a.value.datum), t.block(name)) {
            (Some(Datum::Map(m)), _) => m.iter().map(|(k, n)| (k, n)).collect(),
            (_, Some(b)) => {
                for inner in &b.body.blocks {
                    self.diagnostics.refused(inner.at, &format!("{path}.{name}"), "holds no blocks");
                }
                b.body.attrs.iter().map(|a| (&a.name, &a.value)).collect()
            }
            _ => return out,
        };
        for (k, n) in fields {
            match n.datum.text() {
                Some(v) => drop(out.insert(k.clone(), v)),
                None => self.diagnostics.refused(n.at, &format!("{path}.{name}.{k}"), "must be text"),
            }
        }
        out
    }

    fn conditions(&mut self, t: &Tree, stanza: &str, path: &str) -> Vec<Condition> {
        t.blocks_named(stanza).filter_map(|b| self.parse_condition(b, &format!("{path}.{stanza}"))).collect()
    }

    fn parse_condition(&mut self, b: &Block, path: &str) -> Option<Condition> {
        let t = &b.body;
        let any = |name: &str| t.attr(name).and_then(|a| a.value.datum.text());
        let mut operator = any("operator").unwrap_or_else(|| "=".into());
        let mut value = any("value").unwrap_or_default();
        for shorthand in ["regexp", "set_contains", "set_contains_all", "set_contains_any"] {
            if let Some(v) = any(shorthand) {
                (operator, value) = (shorthand.to_owned(), v);
            }
        }
        let attribute = any("attribute").unwrap_or_default();
        if attribute.is_empty() {
            // `distinct_hosts` and similar fields come without an attribute and were already
            // refused.
            let reported = t.attrs.iter().any(|a| a.name.starts_with("distinct"));
            if !reported && !operator.starts_with("distinct") {
                self.diagnostics.refused(b.at, path, "attribute is missing");
            }
            if operator.starts_with("distinct") {
                self.diagnostics.refused(
                    b.at,
                    path,
                    format!("{operator} is not served: repeats share machines where there is room"),
                );
            }
            return None;
        }
        Some(Condition { attribute, operator, value, at: b.at, path: path.to_owned() })
    }

    fn affinities(&mut self, t: &Tree, path: &str) -> Vec<(Condition, f64)> {
        let mut out = Vec::new();
        for b in t.blocks_named("affinity") {
            let here = format!("{path}.affinity");
            let weight = match b.body.attr("weight").map(|a| &a.value.datum) {
                None => 50.0,
                Some(Datum::Number(n)) if *n != 0.0 && n.abs() <= 100.0 => *n,
                Some(_) => {
                    self.diagnostics.refused(b.at, &format!("{here}.weight"), "must be -100 to 100, not 0");
                    continue;
                }
            };
            out.extend(self.parse_condition(b, &here).map(|m| (m, weight)));
        }
        out
    }

    fn spread(&mut self, t: &Tree, path: &str) -> bool {
        let mut spread = false;
        for b in t.blocks_named("spread") {
            let here = format!("{path}.spread");
            let attribute = b.body.attr("attribute").and_then(|a| a.value.datum.text()).unwrap_or_default();
            if attribute != "${node.datacenter}" {
                let text = format!(
                    "\"{attribute}\" is not served: repeats are spread over ${{node.datacenter}} only"
                );
                self.diagnostics.refused(b.at, &format!("{here}.attribute"), text);
                continue;
            }
            match self.integer(&b.body, "weight", &here) {
                Some(w) if w > 100 => {
                    self.diagnostics.refused(b.at, &format!("{here}.weight"), "must be 0 to 100")
                }
                w => spread |= w != Some(0),
            }
        }
        spread
    }

    /// Attempts of a `restart` or `reschedule` block and their offset; `None` for unlimited.
    fn attempts(&mut self, b: Option<&Block>, default: Option<u32>, path: &str) -> (Option<u32>, usize) {
        let Some(b) = b else { return (default, 0) };
        let path = format!("{path}.{}", b.name);
        let t = &b.body;
        let at = t.attr("attempts").map_or(b.at, |a| a.at);
        let mut n = self
            .integer(t, "attempts", &path)
            .map(|n| Some(n.min(u32::MAX as u64) as u32))
            .unwrap_or(default);
        if self.boolean(t, "unlimited") == Some(true) {
            if self.integer(t, "attempts", &path).is_some_and(|n| n > 0) {
                self.diagnostics.refused(
                    at,
                    &format!("{path}.attempts"),
                    "stands beside unlimited: one of both",
                );
            }
            n = None;
        } else if self.boolean(t, "unlimited") == Some(false) && n.is_none() {
            n = Some(0);
        }
        match self.text(t, "mode", &path).as_deref() {
            None | Some("fail") => {}
            Some("delay") => n = None,
            Some(other) => {
                let text = format!("\"{other}\" must be fail or delay");
                self.diagnostics.refused(position_of(t, "mode"), &format!("{path}.mode"), text);
            }
        }
        (n, at)
    }

    fn group(&mut self, b: &Block, kind: Kind, reschedule: Option<&Block>, path: &str) -> Option<Group> {
        let (name, _) = b.labels.first()?;
        let path = format!("{path}.group.{name}");
        self.check_name("name", name, b.at, &path);
        let t = &b.body;
        let tasks: Vec<&Block> = t.blocks_named("task").collect();
        let Some(first) = tasks.first() else {
            self.diagnostics.refused(b.at, &path, "the group has no task");
            return None;
        };
        for more in &tasks[1..] {
            self.diagnostics.refused(
                more.at,
                &format!("{path}.task"),
                "a second task is not served: a worker runs one command for each repeat; make it a group of its own",
            );
        }
        let task = self.task(first, &path)?;
        let task_path = format!("{path}.task.{}", task.name);
        let mut constraints = self.conditions(t, "constraint", &path);
        constraints.extend(self.conditions(&first.body, "constraint", &task_path));
        let mut affinities = self.affinities(t, &path);
        affinities.extend(self.affinities(&first.body, &task_path));
        let (restarts, reschedules) = match kind {
            Kind::Array => (Some(3), Some(1)),
            Kind::Service => (Some(2), None),
        };
        let restart = first.body.block("restart").or(t.block("restart"));
        let (restarts, restarts_at) = self.attempts(restart, restarts, &path);
        let (reschedules, reschedules_at) =
            self.attempts(t.block("reschedule").or(reschedule), reschedules, &path);
        let count = match self.integer(t, "count", &path) {
            Some(n) if n > MAX_COUNT => {
                let text = format!("{n} is more than {MAX_COUNT}, the most that any job may have");
                self.diagnostics.refused(position_of(t, "count"), &format!("{path}.count"), text);
                1
            }
            n => n.unwrap_or(1) as u32,
        };
        let mut meta = self.map(t, "meta", &path);
        meta.extend(self.map(&first.body, "meta", &task_path));
        let disk = t.block("ephemeral_disk");
        Some(Group {
            name: name.clone(),
            at: b.at,
            count,
            count_at: t.attr("count").map_or(b.at, |a| a.at),
            constraints,
            affinities,
            spread: self.spread(t, &path),
            restarts,
            restarts_at,
            reschedules,
            reschedules_at,
            disk_mb: disk.map_or((300, b.at), |d| {
                (self.integer(&d.body, "size", &path).unwrap_or(300), position_of(&d.body, "size"))
            }),
            meta,
            task,
            path,
        })
    }

    fn task(&mut self, b: &Block, path: &str) -> Option<Task> {
        let (name, _) = b.labels.first()?;
        let path = format!("{path}.task.{name}");
        self.check_name("name", name, b.at, &path);
        let t = &b.body;
        let driver = self.text(t, "driver", &path).unwrap_or_default();
        if driver.is_empty() {
            self.diagnostics.refused(b.at, &format!("{path}.driver"), "is missing");
        }
        let none = Tree::default();
        let res = t.block("resources").map_or(&none, |r| &r.body);
        let resources_at = t.block("resources").map_or(b.at, |r| r.at);
        let res_path = format!("{path}.resources");
        let cores = self.integer(res, "cores", &res_path).filter(|c| *c > 0);
        let cpu = self.integer(res, "cpu", &res_path).filter(|c| *c > 0);
        if cores.is_some() && cpu.is_some() {
            self.diagnostics.refused(
                position_of(res, "cores"),
                &format!("{res_path}.cores"),
                "stands beside cpu: one of both",
            );
        }
        Some(Task {
            name: name.clone(),
            at: b.at,
            driver,
            config: match (t.attr("config"), t.block("config")) {
                (Some(a), _) => a.value.datum.clone(),
                (None, Some(b)) => block_to_map(&b.body),
                _ => Datum::Null,
            },
            env: self.map(t, "env", &path),
            cpu_mhz: cpu.unwrap_or(100),
            cores,
            memory_mb: self.integer(res, "memory", &res_path).filter(|m| *m > 0).unwrap_or(300),
            resources_at,
            kill_timeout: t
                .attr("kill_timeout")
                .and_then(|a| parse_duration(&a.value.datum).ok())
                .unwrap_or(Micros::secs(5)),
            kill_at: position_of(t, "kill_timeout"),
        })
    }

    fn periodic(&mut self, b: &Block, path: &str) -> Periodic {
        let path = format!("{path}.periodic");
        let t = &b.body;
        let mut crons: Vec<String> = self.text_list(t, "crons", &path).into_iter().map(|c| c.0).collect();
        crons.extend(self.text(t, "cron", &path));
        if let Some(kind) = self.text(t, "spec_type", &path)
            && kind != "cron"
        {
            self.diagnostics.refused(
                position_of(t, "spec_type"),
                &format!("{path}.spec_type"),
                "must be cron",
            );
        }
        let time_zone = self.text(t, "time_zone", &path).unwrap_or_else(|| "UTC".into());
        if crons.is_empty() {
            self.diagnostics.refused(b.at, &path, "cron is missing");
        }
        for c in &crons {
            if let Err(text) = crate::cron::Cron::read(c, &time_zone) {
                self.diagnostics.refused(position_of(t, "cron"), &format!("{path}.cron"), text);
            }
        }
        Periodic {
            enabled: self.boolean(t, "enabled").unwrap_or(true),
            crons,
            time_zone,
            prohibit_overlap: self.boolean(t, "prohibit_overlap").unwrap_or(false),
            at: b.at,
        }
    }

    fn parameterized(&mut self, b: &Block, path: &str) -> Parameterized {
        let path = format!("{path}.parameterized");
        let t = &b.body;
        let payload = match self.text(t, "payload", &path).as_deref() {
            None | Some("" | "optional") => Payload::Optional,
            Some("required") => Payload::Required,
            Some("forbidden") => Payload::Forbidden,
            Some(other) => {
                let text = format!("\"{other}\" must be optional, required or forbidden");
                self.diagnostics.refused(position_of(t, "payload"), &format!("{path}.payload"), text);
                Payload::Optional
            }
        };
        let names = |l: Vec<(String, usize)>| l.into_iter().map(|x| x.0).collect::<Vec<_>>();
        let required = names(self.text_list(t, "meta_required", &path));
        let optional = names(self.text_list(t, "meta_optional", &path));
        if let Some(k) = required.iter().find(|k| optional.contains(k)) {
            self.diagnostics.refused(b.at, &path, format!("{k} is both required and optional"));
        }
        Parameterized { payload, required, optional }
    }
}

/// Converts a block of any content to a map; blocks of the same name become a list.
fn block_to_map(t: &Tree) -> Datum {
    let mut out: Vec<(String, Node)> = t.attrs.iter().map(|a| (a.name.clone(), a.value.clone())).collect();
    for b in &t.blocks {
        let mut inner = block_to_map(&b.body);
        for (l, at) in b.labels.iter().rev() {
            inner = Datum::Map(vec![(l.clone(), Node { at: *at, datum: inner })]);
        }
        let node = Node { at: b.at, datum: inner };
        match out.iter_mut().find(|(k, _)| *k == b.name) {
            Some((_, Node { datum: Datum::List(l), .. })) => l.push(node),
            _ => out.push((b.name.clone(), Node { at: b.at, datum: Datum::List(vec![node]) })),
        }
    }
    Datum::Map(out)
}
