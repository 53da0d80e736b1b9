//! `gorseshore nomad …`: job files in Nomad's format.
use clap::{Args, Subcommand};
use gorseshore_nomad::translate::{MachineKind, Site};
use gorseshore_nomad::{Inputs, Judgement, judge, table};
use gorseshore_settings::Nomad;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Verb {
    /// Judge job files without any service: 0 all accepted, 1 refused, 2 unreadable.
    Check(Check),
    /// Print what is served of the job specification.
    Table,
}

#[derive(Args)]
pub struct Check {
    /// Job files, HCL or JSON; `-` for standard input.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// A variable's value.
    #[arg(long = "var", value_name = "NAME=VALUE", value_parser = pair)]
    vars: Vec<(String, String)>,
    /// A file of variables' values; later ones count.
    #[arg(long = "var-file", value_name = "FILE")]
    var_files: Vec<PathBuf>,
    /// The operators' settings, with classes (protobuf text format).
    #[arg(long, value_name = "FILE", env = "GORSESHORE_OPERATOR_CONFIG")]
    operator_config: Option<PathBuf>,
    /// One JSON document on standard output.
    #[arg(long)]
    json: bool,
}

fn pair(s: &str) -> Result<(String, String), String> {
    match s.split_once('=') {
        Some((k, v)) if !k.is_empty() => Ok((k.to_owned(), v.to_owned())),
        _ => Err("must be NAME=VALUE".into()),
    }
}

/// The reader of files is given a stack of its own, so that its bounds on
/// nesting hold whatever the caller's is.
const STACK: usize = 64 << 20;

pub fn run(verb: Verb) -> ExitCode {
    match verb {
        Verb::Check(c) => {
            let done = std::thread::Builder::new().stack_size(STACK).spawn(move || check(&c));
            match done.map(|t| t.join()) {
                Ok(Ok(code)) => code,
                _ => ExitCode::from(2),
            }
        }
        Verb::Table => {
            print!("{}", table::markdown());
            ExitCode::SUCCESS
        }
    }
}

fn text(path: &Path) -> Result<String, String> {
    let read = if path.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|e| format!("{}: {e}", path.display()))
}

/// The site as the operators' file describes it.
fn site(n: &Nomad) -> Site {
    let machines = n
        .machines
        .iter()
        .map(|m| MachineKind {
            name: m.name.clone(),
            zone: m.zone.clone(),
            cpus: m.cpus,
            memory_gb: m.memory_gb,
        })
        .collect();
    Site { machines, teams: Vec::new() }
}

fn check(c: &Check) -> ExitCode {
    let settings = match crate::operator(c.operator_config.as_deref()) {
        Ok(o) => o.nomad,
        Err(e) => {
            crate::complain(c.operator_config.as_deref().unwrap_or(Path::new("")), &e);
            return ExitCode::from(2);
        }
    };
    let Some(settings) = settings else {
        eprintln!(
            "the operators' file has no nomad settings: without classes no job can be judged (--operator-config)"
        );
        return ExitCode::from(2);
    };
    let mut inputs = Inputs { vars: c.vars.iter().cloned().collect::<BTreeMap<_, _>>(), files: Vec::new() };
    for f in &c.var_files {
        match text(f) {
            Ok(t) => inputs.files.push((f.display().to_string(), t)),
            Err(e) => {
                eprintln!("{e}");
                return ExitCode::from(2);
            }
        }
    }
    let site = site(&settings);
    let mut worst = 0;
    let mut documents = Vec::new();
    for path in &c.files {
        let name = path.display().to_string();
        let source = match text(path) {
            Ok(t) => t,
            Err(e) => {
                worst = 2;
                if c.json {
                    documents.push(json!({"file": name, "verdict": "unreadable", "error": e}));
                } else {
                    eprintln!("{e}");
                }
                continue;
            }
        };
        let j = judge(&source, &inputs, &settings, &site);
        worst = worst.max(j.exit_code());
        if c.json {
            documents.push(document(&name, &j));
        } else {
            show(&name, &j);
        }
    }
    if c.json {
        println!("{}", json!({ "files": documents }));
    }
    ExitCode::from(worst)
}

fn word(j: &Judgement) -> &'static str {
    match j.exit_code() {
        0 => "accepted",
        1 => "refused",
        _ => "unreadable",
    }
}

fn show(name: &str, j: &Judgement) {
    for f in &j.faults.list {
        eprintln!("{name}:{f}");
    }
    if j.faults.more > 0 {
        eprintln!("{name}: {} more are not shown", j.faults.more);
    }
    let class = j.class.as_ref().map_or(String::new(), |c| format!(", class {c}"));
    println!("{name}: {}{class}", word(j));
    if j.accepted() {
        for p in &j.groups {
            let s = &p.spec;
            println!(
                "  {}: {} of {} CPUs and {} GB, team {}, image {}",
                p.group,
                s.tasks,
                s.need.cpu as f64 / 1000.0,
                s.need.mem as f64 / 1000.0,
                s.team,
                s.image
            );
        }
    }
}

fn document(name: &str, j: &Judgement) -> serde_json::Value {
    let groups: Vec<_> = j
        .groups
        .iter()
        .map(|p| {
            let s = &p.spec;
            json!({
                "group": p.group, "count": s.tasks, "cpus": s.need.cpu as f64 / 1000.0,
                "memory_gb": s.need.mem as f64 / 1000.0, "team": s.team, "lot": s.class, "rank": s.rank,
                "manner": s.kind, "types": s.types, "zones": s.zones, "spread": s.spread, "spot": s.spot,
                "image": s.image, "image_gb": s.image_gb, "attempts": s.attempts,
            })
        })
        .collect();
    json!({
        "file": name,
        "verdict": word(j),
        "job": j.job.as_ref().map(|x| &x.id),
        "class": j.class,
        "groups": if j.accepted() { groups } else { Vec::new() },
        "faults": j.faults.list,
        "faults_not_shown": j.faults.more,
    })
}
