//! `gorseshore nomad …`: subcommands for job files in Nomad's format.
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
pub enum Subcommands {
    /// Validate job files without a running service; exit code 0 if all are accepted, 1 if
    /// one is rejected, 2 if one is unreadable.
    Check(CheckArgs),
    /// Print the supported parts of the job specification as a table.
    Table,
    /// Show what registering a file with a running controller would do.
    Plan(RegisterArgs),
    /// Register a file with a running controller.
    Run(RegisterArgs),
    /// Show the status of one job or of all jobs.
    Status(StatusArgs),
    /// Stop a job.
    Stop(StopArgs),
    /// Generate a token for a team; prints the token and its hash for the operators' file.
    Token,
}

#[derive(Args)]
pub struct Server {
    /// Address of any controller's Nomad API.
    #[arg(long, value_name = "URL", env = "NOMAD_ADDR", default_value = "http://127.0.0.1:4646")]
    address: String,
    /// API token of the team.
    #[arg(long, env = "NOMAD_TOKEN", hide_env_values = true)]
    token: Option<String>,
    /// Namespace of the job.
    #[arg(long, default_value = "default")]
    namespace: String,
}

#[derive(Args)]
pub struct RegisterArgs {
    #[command(flatten)]
    server: Server,
    /// Job file, HCL or JSON; `-` for standard input.
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Value of a variable.
    #[arg(long = "var", value_name = "NAME=VALUE", value_parser = parse_name_value)]
    vars: Vec<(String, String)>,
    /// File with values of variables; later files take precedence.
    #[arg(long = "var-file", value_name = "FILE")]
    var_files: Vec<PathBuf>,
}

#[derive(Args)]
pub struct StatusArgs {
    #[command(flatten)]
    server: Server,
    /// Job to show; all jobs if omitted.
    #[arg(value_name = "JOB")]
    job: Option<String>,
    /// Print the API's JSON to standard output.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct StopArgs {
    #[command(flatten)]
    server: Server,
    /// Job to stop.
    #[arg(value_name = "JOB")]
    job: String,
    /// Delete the job once none of its tasks is left.
    #[arg(long)]
    purge: bool,
}

#[derive(Args)]
pub struct CheckArgs {
    /// Job files, HCL or JSON; `-` for standard input.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Value of a variable.
    #[arg(long = "var", value_name = "NAME=VALUE", value_parser = parse_name_value)]
    vars: Vec<(String, String)>,
    /// File with values of variables; later files take precedence.
    #[arg(long = "var-file", value_name = "FILE")]
    var_files: Vec<PathBuf>,
    /// The operators' settings, with classes (protobuf text format).
    #[arg(long, value_name = "FILE", env = "GORSESHORE_OPERATOR_CONFIG")]
    operator_config: Option<PathBuf>,
    /// Print one JSON document to standard output.
    #[arg(long)]
    json: bool,
}

fn parse_name_value(s: &str) -> Result<(String, String), String> {
    match s.split_once('=') {
        Some((k, v)) if !k.is_empty() => Ok((k.to_owned(), v.to_owned())),
        _ => Err("must be NAME=VALUE".into()),
    }
}

/// Stack size of the thread that parses job files, in bytes. The parser gets its own stack,
/// so that its nesting limits are safe whatever the size of the caller's stack.
const PARSER_STACK_BYTES: usize = 64 << 20;

pub fn run(command: Subcommands) -> ExitCode {
    let run_with_parser_stack = |f: Box<dyn FnOnce() -> ExitCode + Send>| {
        let thread = std::thread::Builder::new().stack_size(PARSER_STACK_BYTES).spawn(f);
        match thread.map(|t| t.join()) {
            Ok(Ok(code)) => code,
            _ => ExitCode::from(2),
        }
    };
    match command {
        Subcommands::Check(args) => run_with_parser_stack(Box::new(move || check(&args))),
        Subcommands::Plan(args) => run_with_parser_stack(Box::new(move || plan_or_run(&args, true))),
        Subcommands::Run(args) => run_with_parser_stack(Box::new(move || plan_or_run(&args, false))),
        Subcommands::Status(args) => exit_code(status(&args)),
        Subcommands::Stop(args) => exit_code(stop(&args)),
        Subcommands::Token => token(),
        Subcommands::Table => {
            print!("{}", table::markdown());
            ExitCode::SUCCESS
        }
    }
}

/// A failed request: the exit code for scripts (1 if the controller rejected the request,
/// 2 if the request got no valid response) and the reason.
struct RequestError(u8, String);

fn exit_code(r: Result<(), RequestError>) -> ExitCode {
    match r {
        Ok(()) => ExitCode::SUCCESS,
        Err(RequestError(code, text)) => {
            eprintln!("{text}");
            ExitCode::from(code)
        }
    }
}

impl Server {
    /// Sends a request and returns the body of a 200 response.
    fn request(&self, method: &str, path: &str, body: &str) -> Result<Value, RequestError> {
        let host = self.address.strip_prefix("http://").unwrap_or(&self.address).trim_end_matches('/');
        let no_response = |e: String| RequestError(2, format!("{}: {e}", self.address));
        let mut stream = TcpStream::connect(host).map_err(|e| no_response(e.to_string()))?;
        stream.set_read_timeout(Some(Duration::from_secs(60))).map_err(|e| no_response(e.to_string()))?;
        let token = match &self.token {
            Some(t) if t.chars().all(|c| c.is_ascii_graphic()) => format!("X-Nomad-Token: {t}\r\n"),
            Some(_) => {
                return Err(RequestError(2, "the token must consist of visible ASCII characters".into()));
            }
            None => String::new(),
        };
        let separator = if path.contains('?') { '&' } else { '?' };
        let namespace = utf8_percent_encode(&self.namespace, NON_ALPHANUMERIC);
        let head = format!(
            "{method} {path}{separator}namespace={namespace} HTTP/1.1\r\nHost: {host}\r\n{token}Content-Length: {}\r\n\r\n",
            body.len()
        );
        stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(body.as_bytes()))
            .map_err(|e| no_response(e.to_string()))?;
        let (mut buf, mut chunk) = (Vec::new(), [0u8; 8192]);
        loop {
            match http::parse_response_head(&buf) {
                Err(_) => return Err(no_response("the response is not valid HTTP".into())),
                Ok(Some(h)) => {
                    if let http::BodyFraming::Length(n) = h.framing
                        && buf.len() >= h.head_len + n
                    {
                        let body = &buf[h.head_len..h.head_len + n];
                        return match h.status {
                            200 => serde_json::from_slice(body)
                                .map_err(|e| no_response(format!("not JSON: {e}"))),
                            status => {
                                Err(RequestError(1, format!("{status}: {}", String::from_utf8_lossy(body))))
                            }
                        };
                    }
                }
                Ok(None) => {}
            }
            match stream.read(&mut chunk) {
                Ok(0) => return Err(no_response("the server closed the connection".into())),
                Ok(n) => buf.extend_from_slice(&chunk[..n]),
                Err(e) => return Err(no_response(e.to_string())),
            }
        }
    }
}

fn inputs(vars: &[(String, String)], files: &[PathBuf]) -> Result<Inputs, String> {
    let mut inputs = Inputs { vars: vars.iter().cloned().collect(), ..Inputs::default() };
    for f in files {
        inputs.files.push((f.display().to_string(), read_text(f)?));
    }
    Ok(inputs)
}

/// Runs `plan` or `run`. The file is parsed here, so that errors show their position in it.
fn plan_or_run(args: &RegisterArgs, plan: bool) -> ExitCode {
    let read = read_text(&args.file).and_then(|t| Ok((t, inputs(&args.vars, &args.var_files)?)));
    let (source, inputs) = match read {
        Ok(x) => x,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let (job, faults) = gorseshore_nomad::read(&source, &inputs);
    for f in &faults.list {
        eprintln!("{}:{f}", args.file.display());
    }
    let Some(job) = job.filter(|_| faults.accepted()) else {
        let code = if faults.worst() == Some(Severity::Unreadable) { 2 } else { 1 };
        return ExitCode::from(code);
    };
    let body = json!({ "Job": api_job(&job) }).to_string();
    let result = if plan {
        let path = format!("/v1/job/{}/plan", utf8_percent_encode(&job.id, NON_ALPHANUMERIC));
        args.server.request("POST", &path, &body).map(|v| {
            for (group, u) in v["Annotations"]["DesiredTGUpdates"].as_object().into_iter().flatten() {
                println!(
                    "{group}: {} to start, {} to stop, {} keep running",
                    u["Place"], u["Stop"], u["InPlaceUpdate"]
                );
            }
            for (group, why) in v["FailedTGAllocs"].as_object().into_iter().flatten() {
                println!("{group}: some tasks can't be placed: {why}");
            }
        })
    } else {
        args.server
            .request("PUT", "/v1/jobs", &body)
            .map(|v| println!("{}: registered at index {}", job.id, v["JobModifyIndex"]))
    };
    exit_code(result)
}

fn status(args: &StatusArgs) -> Result<(), RequestError> {
    let Some(job) = &args.job else {
        let v = args.server.request("GET", "/v1/jobs", "")?;
        if args.json {
            println!("{v}");
            return Ok(());
        }
        for j in v.as_array().into_iter().flatten() {
            let text = |k: &str| j[k].as_str().unwrap_or("").to_owned();
            println!(
                "{:32} {:8} {:8} {}",
                text("ID"),
                text("Type"),
                text("Status"),
                text("StatusDescription")
            );
        }
        return Ok(());
    };
    let id = utf8_percent_encode(job, NON_ALPHANUMERIC);
    let v = args.server.request("GET", &format!("/v1/job/{id}"), "")?;
    let summary = args.server.request("GET", &format!("/v1/job/{id}/summary"), "")?;
    if args.json {
        println!("{}", json!({"Job": v, "Summary": summary}));
        return Ok(());
    }
    let text = |k: &str| v[k].as_str().unwrap_or("").to_owned();
    println!("{}: {}, {}, version {}", text("ID"), text("Type"), text("Status"), v["Version"]);
    if !text("StatusDescription").is_empty() {
        println!("  {}", text("StatusDescription"));
    }
    for (group, s) in summary["Summary"].as_object().into_iter().flatten() {
        println!(
            "  {group}: {} running, {} waiting, {} complete, {} failed",
            s["Running"], s["Queued"], s["Complete"], s["Failed"]
        );
    }
    Ok(())
}

fn stop(args: &StopArgs) -> Result<(), RequestError> {
    let id = utf8_percent_encode(&args.job, NON_ALPHANUMERIC);
    let v = args.server.request("DELETE", &format!("/v1/job/{id}?purge={}", args.purge), "")?;
    println!("{}: stop recorded at index {}", args.job, v["JobModifyIndex"]);
    Ok(())
}

fn token() -> ExitCode {
    let mut bytes = [0u8; 32];
    if let Err(e) = getrandom::fill(&mut bytes) {
        eprintln!("can't generate random numbers: {e}");
        return ExitCode::from(2);
    }
    let token = hex::encode(&bytes[..16]);
    println!("token: {token}");
    println!("hash: {}", tokens::hash(&bytes[16..], &token));
    ExitCode::SUCCESS
}

fn read_text(path: &Path) -> Result<String, String> {
    let read = if path.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|e| format!("{}: {e}", path.display()))
}

fn check(args: &CheckArgs) -> ExitCode {
    let settings = match crate::operator_settings(args.operator_config.as_deref()) {
        Ok(o) => o.nomad,
        Err(e) => {
            crate::print_errors(args.operator_config.as_deref().unwrap_or(Path::new("")), &e);
            return ExitCode::from(2);
        }
    };
    let Some(settings) = settings else {
        eprintln!(
            "the operators' file has no nomad settings: jobs can't be validated without classes (--operator-config)"
        );
        return ExitCode::from(2);
    };
    let inputs = match inputs(&args.vars, &args.var_files) {
        Ok(i) => i,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let site = Site::described(&settings);
    let mut worst = 0;
    let mut documents = Vec::new();
    for path in &args.files {
        let name = path.display().to_string();
        let source = match read_text(path) {
            Ok(t) => t,
            Err(e) => {
                worst = 2;
                if args.json {
                    documents.push(json!({"file": name, "verdict": "unreadable", "error": e}));
                } else {
                    eprintln!("{e}");
                }
                continue;
            }
        };
        let j = judge(&source, &inputs, &settings, &site);
        worst = worst.max(j.exit_code());
        if args.json {
            documents.push(verdict_json(&name, &j));
        } else {
            print_verdict(&name, &j);
        }
    }
    if args.json {
        println!("{}", json!({ "files": documents }));
    }
    ExitCode::from(worst)
}

fn verdict(j: &Judgement) -> &'static str {
    match j.exit_code() {
        0 => "accepted",
        1 => "refused",
        _ => "unreadable",
    }
}

fn print_verdict(name: &str, j: &Judgement) {
    for f in &j.faults.list {
        eprintln!("{name}:{f}");
    }
    if j.faults.more > 0 {
        eprintln!("{name}: {} more errors are not shown", j.faults.more);
    }
    let class = j.class.as_ref().map_or(String::new(), |c| format!(", class {c}"));
    println!("{name}: {}{class}", verdict(j));
    if j.accepted() {
        for p in &j.groups {
            let s = &p.spec;
            println!(
                "  {}: {} of {} CPUs and {} GB, team {}, image {}",
                p.group,
                s.tasks,
                s.task_resources.cpu as f64 / 1000.0,
                s.task_resources.mem as f64 / 1000.0,
                s.team,
                s.image
            );
        }
    }
}

fn verdict_json(name: &str, j: &Judgement) -> serde_json::Value {
    let groups: Vec<_> = j
        .groups
        .iter()
        .map(|p| {
            let s = &p.spec;
            json!({
                "group": p.group, "count": s.tasks, "cpus": s.task_resources.cpu as f64 / 1000.0,
                "memory_gb": s.task_resources.mem as f64 / 1000.0, "team": s.team, "lot": s.class, "rank": s.priority,
                "manner": s.kind, "types": s.machine_types, "zones": s.zones, "spread": s.spread, "spot": s.spot,
                "image": s.image, "image_gb": s.image_gb, "attempts": s.max_attempts,
            })
        })
        .collect();
    json!({
        "file": name,
        "verdict": verdict(j),
        "job": j.job.as_ref().map(|x| &x.id),
        "class": j.class,
        "groups": if j.accepted() { groups } else { Vec::new() },
        "faults": j.faults.list,
        "faults_not_shown": j.faults.more,
    })
}
