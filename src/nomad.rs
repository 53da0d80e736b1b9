//! `gorseshore nomad …`: job files in Nomad's format.
use clap::{Args, Subcommand};
use gorseshore_nomad::service::records::api_job;
use gorseshore_nomad::service::tokens;
use gorseshore_nomad::translate::Site;
use gorseshore_nomad::tree::Severity;
use gorseshore_nomad::{Inputs, Judgement, judge, table};
use gorseshore_shell::http;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Verb {
    /// Judge job files without any service: 0 all accepted, 1 refused, 2 unreadable.
    Check(Check),
    /// Print what is served of the job specification.
    Table,
    /// What registering a file would do at a running controller.
    Plan(Remote),
    /// Register a file at a running controller.
    Run(Remote),
    /// Where jobs stand: one, or all.
    Status(Ask),
    /// Stop a job.
    Stop(Stop),
    /// Make a token for a team: the token, and its hash for the operators' file.
    Token,
}

#[derive(Args)]
pub struct Server {
    /// The interface of any controller.
    #[arg(long, value_name = "URL", env = "NOMAD_ADDR", default_value = "http://127.0.0.1:4646")]
    address: String,
    /// The team's token.
    #[arg(long, env = "NOMAD_TOKEN", hide_env_values = true)]
    token: Option<String>,
    /// The namespace.
    #[arg(long, default_value = "default")]
    namespace: String,
}

#[derive(Args)]
pub struct Remote {
    #[command(flatten)]
    server: Server,
    /// The job file, HCL or JSON; `-` for standard input.
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// A variable's value.
    #[arg(long = "var", value_name = "NAME=VALUE", value_parser = pair)]
    vars: Vec<(String, String)>,
    /// A file of variables' values; later ones count.
    #[arg(long = "var-file", value_name = "FILE")]
    var_files: Vec<PathBuf>,
}

#[derive(Args)]
pub struct Ask {
    #[command(flatten)]
    server: Server,
    /// The job; all of them if none is named.
    #[arg(value_name = "JOB")]
    job: Option<String>,
    /// The interface's JSON on standard output.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Stop {
    #[command(flatten)]
    server: Server,
    /// The job.
    #[arg(value_name = "JOB")]
    job: String,
    /// Forget it once nothing of it is left.
    #[arg(long)]
    purge: bool,
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
    let deep = |f: Box<dyn FnOnce() -> ExitCode + Send>| {
        let done = std::thread::Builder::new().stack_size(STACK).spawn(f);
        match done.map(|t| t.join()) {
            Ok(Ok(code)) => code,
            _ => ExitCode::from(2),
        }
    };
    match verb {
        Verb::Check(c) => deep(Box::new(move || check(&c))),
        Verb::Plan(r) => deep(Box::new(move || remote(&r, true))),
        Verb::Run(r) => deep(Box::new(move || remote(&r, false))),
        Verb::Status(a) => said(status(&a)),
        Verb::Stop(s) => said(stop(&s)),
        Verb::Token => token(),
        Verb::Table => {
            print!("{}", table::markdown());
            ExitCode::SUCCESS
        }
    }
}

/// Why a request came to nothing, and the exit code for scripts: 1 if the
/// controller refused it, 2 if it could not be asked.
struct Failure(u8, String);

fn said(r: Result<(), Failure>) -> ExitCode {
    match r {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(code, text)) => {
            eprintln!("{text}");
            ExitCode::from(code)
        }
    }
}

impl Server {
    /// One request; the body of a 200.
    fn ask(&self, method: &str, path: &str, body: &str) -> Result<Value, Failure> {
        let host = self.address.strip_prefix("http://").unwrap_or(&self.address).trim_end_matches('/');
        let lost = |e: String| Failure(2, format!("{}: {e}", self.address));
        let mut s = TcpStream::connect(host).map_err(|e| lost(e.to_string()))?;
        s.set_read_timeout(Some(Duration::from_secs(60))).map_err(|e| lost(e.to_string()))?;
        let token = match &self.token {
            Some(t) if t.chars().all(|c| c.is_ascii_graphic()) => format!("X-Nomad-Token: {t}\r\n"),
            Some(_) => return Err(Failure(2, "the token must be of visible ASCII characters".into())),
            None => String::new(),
        };
        let sep = if path.contains('?') { '&' } else { '?' };
        let namespace = utf8_percent_encode(&self.namespace, NON_ALPHANUMERIC);
        let head = format!(
            "{method} {path}{sep}namespace={namespace} HTTP/1.1\r\nHost: {host}\r\n{token}Content-Length: {}\r\n\r\n",
            body.len()
        );
        s.write_all(head.as_bytes())
            .and_then(|()| s.write_all(body.as_bytes()))
            .map_err(|e| lost(e.to_string()))?;
        let (mut buf, mut part) = (Vec::new(), [0u8; 8192]);
        loop {
            match http::parse_response_head(&buf) {
                Err(_) => return Err(lost("the answer is not HTTP".into())),
                Ok(Some(h)) => {
                    if let http::BodyFraming::Length(n) = h.framing
                        && buf.len() >= h.head_len + n
                    {
                        let body = &buf[h.head_len..h.head_len + n];
                        return match h.status {
                            200 => serde_json::from_slice(body).map_err(|e| lost(format!("not JSON: {e}"))),
                            s => Err(Failure(1, format!("{s}: {}", String::from_utf8_lossy(body)))),
                        };
                    }
                }
                Ok(None) => {}
            }
            match s.read(&mut part) {
                Ok(0) => return Err(lost("the connection was closed".into())),
                Ok(n) => buf.extend_from_slice(&part[..n]),
                Err(e) => return Err(lost(e.to_string())),
            }
        }
    }
}

fn inputs(vars: &[(String, String)], files: &[PathBuf]) -> Result<Inputs, String> {
    let mut inputs = Inputs { vars: vars.iter().cloned().collect(), ..Inputs::default() };
    for f in files {
        inputs.files.push((f.display().to_string(), text(f)?));
    }
    Ok(inputs)
}

/// `plan` and `run`: the file is read here, so that faults have their places.
fn remote(r: &Remote, plan: bool) -> ExitCode {
    let read = text(&r.file).and_then(|t| Ok((t, inputs(&r.vars, &r.var_files)?)));
    let (source, inputs) = match read {
        Ok(x) => x,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let (job, faults) = gorseshore_nomad::read(&source, &inputs);
    for f in &faults.list {
        eprintln!("{}:{f}", r.file.display());
    }
    let Some(job) = job.filter(|_| faults.accepted()) else {
        let code = if faults.worst() == Some(Severity::Unreadable) { 2 } else { 1 };
        return ExitCode::from(code);
    };
    let body = json!({ "Job": api_job(&job) }).to_string();
    let done = if plan {
        let path = format!("/v1/job/{}/plan", utf8_percent_encode(&job.id, NON_ALPHANUMERIC));
        r.server.ask("POST", &path, &body).map(|v| {
            for (group, u) in v["Annotations"]["DesiredTGUpdates"].as_object().into_iter().flatten() {
                println!(
                    "{group}: {} to start, {} to stop, {} go on",
                    u["Place"], u["Stop"], u["InPlaceUpdate"]
                );
            }
            for (group, why) in v["FailedTGAllocs"].as_object().into_iter().flatten() {
                println!("{group}: some can't be placed: {why}");
            }
        })
    } else {
        r.server
            .ask("PUT", "/v1/jobs", &body)
            .map(|v| println!("{}: recorded at {}", job.id, v["JobModifyIndex"]))
    };
    said(done)
}

fn status(a: &Ask) -> Result<(), Failure> {
    let Some(job) = &a.job else {
        let v = a.server.ask("GET", "/v1/jobs", "")?;
        if a.json {
            println!("{v}");
            return Ok(());
        }
        for j in v.as_array().into_iter().flatten() {
            let word = |k: &str| j[k].as_str().unwrap_or("").to_owned();
            println!(
                "{:32} {:8} {:8} {}",
                word("ID"),
                word("Type"),
                word("Status"),
                word("StatusDescription")
            );
        }
        return Ok(());
    };
    let id = utf8_percent_encode(job, NON_ALPHANUMERIC);
    let v = a.server.ask("GET", &format!("/v1/job/{id}"), "")?;
    let summary = a.server.ask("GET", &format!("/v1/job/{id}/summary"), "")?;
    if a.json {
        println!("{}", json!({"Job": v, "Summary": summary}));
        return Ok(());
    }
    let word = |k: &str| v[k].as_str().unwrap_or("").to_owned();
    println!("{}: {}, {}, version {}", word("ID"), word("Type"), word("Status"), v["Version"]);
    if !word("StatusDescription").is_empty() {
        println!("  {}", word("StatusDescription"));
    }
    for (group, s) in summary["Summary"].as_object().into_iter().flatten() {
        println!(
            "  {group}: {} running, {} waiting, {} complete, {} failed",
            s["Running"], s["Queued"], s["Complete"], s["Failed"]
        );
    }
    Ok(())
}

fn stop(s: &Stop) -> Result<(), Failure> {
    let id = utf8_percent_encode(&s.job, NON_ALPHANUMERIC);
    let v = s.server.ask("DELETE", &format!("/v1/job/{id}?purge={}", s.purge), "")?;
    println!("{}: stop recorded at {}", s.job, v["JobModifyIndex"]);
    Ok(())
}

fn token() -> ExitCode {
    let mut bytes = [0u8; 32];
    if let Err(e) = getrandom::fill(&mut bytes) {
        eprintln!("no random numbers: {e}");
        return ExitCode::from(2);
    }
    let token = hex::encode(&bytes[..16]);
    println!("token: {token}");
    println!("hash: {}", tokens::hash(&bytes[16..], &token));
    ExitCode::SUCCESS
}

fn text(path: &Path) -> Result<String, String> {
    let read = if path.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|e| format!("{}: {e}", path.display()))
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
    let inputs = match inputs(&c.vars, &c.var_files) {
        Ok(i) => i,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let site = Site::described(&settings);
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
