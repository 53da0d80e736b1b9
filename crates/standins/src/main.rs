//! Command line of the stand-ins: a complete site on loopback for trying things out,
//! measurements, and the soak.
use clap::{Args, Parser, Subcommand};
use gorseshore_standins::measure::Load;
use gorseshore_standins::scale::Sizing;
use gorseshore_standins::site::{Options, Site};
use gorseshore_standins::soak;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Time within which a controller has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins on loopback for the systems that gorseshore depends on.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: CliCommand,
}

#[derive(Subcommand)]
enum CliCommand {
    /// Start controllers, state service, cloud and workers; nothing is persisted.
    ///
    /// Without --seconds, commands are read from standard input, one a line:
    /// `roll N PATH` kills controller N and starts the program at PATH in its place, with
    /// the same settings (only for controllers that were started with
    /// --controller-program); an empty line or the end of input stops the site.
    #[command(verbatim_doc_comment)]
    Site(SiteArgs),
    /// Compare Nomad's interface with native submissions of the same work.
    MeasureNomad(MeasureArgs),
    /// Measure the processing time of scheduling decisions at several cluster sizes, with slopes.
    Scale(ScaleArgs),
    /// Inject random faults into real controllers and check what users, workers and cloud observed.
    ///
    /// Prints the fault schedule and the result of each seed. Exits with 1 if a rule was
    /// broken, with 2 if a run could not be carried out.
    Soak(SoakArgs),
}

#[derive(Args)]
struct SoakArgs {
    /// Seeds to run: A up to, but not including, B.
    #[arg(long, value_name = "A..B", value_parser = seed_range)]
    seeds: Range<u64>,
    /// Machines that the first job requests; 0 for only those that the other jobs need.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=2000))]
    workers: u32,
    /// Controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=15))]
    controllers: u8,
    /// Seconds in which faults occur; the run continues for 95 s after the last one.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(10..=3600))]
    seconds: u64,
    /// Socket limit of a controller; a low limit makes connections scarce.
    #[arg(long, default_value_t = 8000, value_parser = clap::value_parser!(u32).range(64..=1_000_000))]
    sockets: u32,
    /// Add controllers that get only part of the time to the faults.
    #[arg(long)]
    slow_controllers: bool,
    /// Program of the controllers; by default, gorseshore in the directory of this program.
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// Write the history of a seed that broke a rule to PREFIX-SEED.txt.
    #[arg(long, value_name = "PREFIX")]
    history: Option<String>,
}

/// Parses `A..B`.
fn seed_range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("not of the form A..B")?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("\"{text}\" is not a number"));
    let range = number(from)?..number(to)?;
    if range.is_empty() {
        return Err(format!("{text} holds no seed"));
    }
    Ok(range)
}

/// Time that a run continues after its last fault: longer than any time limit that is checked.
const QUIET_PERIOD: Duration = Duration::from_secs(95);

fn run_soak(args: &SoakArgs) -> ExitCode {
    let sibling = || Some(std::env::current_exe().ok()?.with_file_name("gorseshore"));
    let Some(program) = args.program.clone().or_else(sibling).filter(|program| program.is_file()) else {
        let missing = args.program.as_deref().unwrap_or(Path::new("gorseshore beside this program"));
        eprintln!("--program: {} is not there", missing.display());
        return ExitCode::from(2);
    };
    let settings = soak::Settings {
        program,
        controllers: args.controllers as usize,
        fleet_machines: args.workers,
        sockets: args.sockets as usize,
        slow_controllers: args.slow_controllers,
        fault_period: Duration::from_secs(args.seconds),
        quiet_period: QUIET_PERIOD,
    };
    let mut seeds_with_violations = 0;
    for seed in args.seeds.clone() {
        println!("seed {seed}:");
        for fault in settings.faults(seed) {
            println!("  {fault}");
        }
        let outcome = match soak::run(&settings, seed) {
            Ok(outcome) => outcome,
            Err(e) => {
                eprintln!("seed {seed}: {e}");
                return ExitCode::from(2);
            }
        };
        println!(
            "seed {seed}: {} jobs, {} answers, {} starts, {} machines, longest unanswered {:.1} s, {} rules broken",
            outcome.jobs,
            outcome.answers,
            outcome.task_starts,
            outcome.machines,
            outcome.longest_unanswered_s,
            outcome.violations.len()
        );
        outcome.violations.iter().for_each(|v| println!("  {v}"));
        seeds_with_violations += usize::from(!outcome.violations.is_empty());
        if let Some(prefix) = args.history.as_ref().filter(|_| !outcome.violations.is_empty()) {
            let path = format!("{prefix}-{seed}.txt");
            if let Err(e) = std::fs::write(&path, outcome.history.to_string()) {
                eprintln!("{path}: {e}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{seeds_with_violations} of {} seeds broke a rule", args.seeds.end - args.seeds.start);
    if seeds_with_violations > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

#[derive(Args)]
struct ScaleArgs {
    /// Numbers of machines.
    #[arg(long, value_delimiter = ',', default_value = "300,1400,5000",
        value_parser = clap::value_parser!(u32).range(100..=50_000))]
    machines: Vec<u32>,
    /// Numbers of controllers.
    #[arg(long, value_delimiter = ',', default_value = "3,7,15",
        value_parser = clap::value_parser!(u32).range(1..=15))]
    controllers: Vec<u32>,
    /// Numbers of past jobs.
    #[arg(long, value_delimiter = ',', default_value = "1000,10000,100000",
        value_parser = clap::value_parser!(u32).range(1..=2_000_000))]
    past: Vec<u32>,
    /// Numbers of pending jobs for which there is no free capacity.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1000, 10_000], value_parser = clap::value_parser!(u32).range(1..=100_000))]
    waiting: Vec<u32>,
}

fn run_scale(a: &ScaleArgs) -> ExitCode {
    let to_usize = |v: &[u32]| v.iter().map(|n| *n as usize).collect();
    let sizing = Sizing {
        machines: to_usize(&a.machines),
        controllers: to_usize(&a.controllers),
        past_jobs: to_usize(&a.past),
        pending_jobs: to_usize(&a.waiting),
    };
    match gorseshore_standins::scale::run(&sizing) {
        Ok(table) => {
            print!("{table}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

#[derive(Args)]
struct MeasureArgs {
    /// Requests of each kind.
    #[arg(long, default_value_t = 400)]
    requests: usize,
    /// Number of concurrent clients.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u8).range(1..=200))]
    clients: u8,
    /// Number of concurrent blocking queries.
    #[arg(long, default_value_t = 1000)]
    waiters: usize,
    /// Writes per second that the state service accepts.
    #[arg(long, default_value_t = 200.0)]
    changes: f64,
}

#[derive(Args)]
struct SiteArgs {
    /// Controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=15))]
    controllers: u8,
    /// Operator settings (protobuf text format).
    #[arg(long, value_name = "FILE")]
    operator_config: Option<PathBuf>,
    /// Run time of a task in seconds per second of its estimate.
    #[arg(long, default_value_t = 0.1)]
    pace: f64,
    /// Run controller N (from 0) as a process of the program at PATH, which is started with
    /// --config FILE and --operator-config FILE; may be given once per controller. The others
    /// run in this process. Programs log to standard error.
    #[arg(long, value_name = "N=PATH", value_parser = controller_program)]
    controller_program: Vec<(usize, PathBuf)>,
    /// Stop after this many seconds instead of at the end of standard input.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
}

/// Parses `N=PATH`.
fn controller_program(text: &str) -> Result<(usize, PathBuf), String> {
    let (number, path) = text.split_once('=').ok_or("not of the form N=PATH")?;
    let number = number.parse().map_err(|_| format!("\"{number}\" is not a controller's number"))?;
    match path {
        "" => Err("no path".into()),
        path => Ok((number, path.into())),
    }
}

/// A command on standard input.
#[derive(Debug, PartialEq)]
enum SiteCommand<'a> {
    /// Replace a controller's program.
    Replace(usize, &'a Path),
    /// Stop the site.
    Stop,
}

impl<'a> SiteCommand<'a> {
    fn parse(line: &'a str) -> Result<Self, String> {
        let line = line.trim();
        if line.is_empty() {
            return Ok(SiteCommand::Stop);
        }
        let usage =
            || format!("\"{line}\" is not a command; roll N PATH is, and an empty line ends the site");
        let (number, path) = line
            .strip_prefix("roll ")
            .and_then(|rest| rest.trim_start().split_once(' '))
            .ok_or_else(usage)?;
        let number = number.parse().map_err(|_| usage())?;
        Ok(SiteCommand::Replace(number, Path::new(path.trim())))
    }
}

/// Replaces a controller's program and prints the result.
fn replace_controller(site: &Site, controller: usize, program: &Path) {
    match site.replace_controller(controller, program) {
        Err(e) => println!("{e}"),
        Ok(()) => match site.wait_until_controller_ready(controller, READY_TIMEOUT) {
            Some(took) => println!(
                "controller n{controller}: {}, ready after {:.2} s",
                program.display(),
                took.as_secs_f64()
            ),
            None => println!("controller n{controller}: {}, not ready in time", program.display()),
        },
    }
}

/// Executes commands from standard input until its end or an empty line.
fn run_site_commands(site: &Site) {
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match SiteCommand::parse(&line) {
            Ok(SiteCommand::Stop) => return,
            Ok(SiteCommand::Replace(controller, program)) => replace_controller(site, controller, program),
            Err(e) => println!("{e}"),
        }
    }
}

fn run_measure_nomad(m: &MeasureArgs) -> ExitCode {
    let load = Load { requests: m.requests, clients: m.clients as usize, waiters: m.waiters };
    let options = Options { time_scale: 0.05, writes_per_s: m.changes.clamp(1.0, 1e6), ..Options::default() };
    match gorseshore_standins::measure::run(&load, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let args = match Cli::parse().command {
        CliCommand::Site(args) => args,
        CliCommand::MeasureNomad(m) => return run_measure_nomad(&m),
        CliCommand::Scale(a) => return run_scale(&a),
        CliCommand::Soak(a) => return run_soak(&a),
    };
    let operator = match &args.operator_config {
        None => String::new(),
        Some(p) => match std::fs::read_to_string(p) {
            Ok(t) => t,
            Err(e) => {
                eprintln!("{}: {e}", p.display());
                return ExitCode::from(2);
            }
        },
    };
    let programs: BTreeMap<usize, PathBuf> = args.controller_program.into_iter().collect();
    if let Some(n) = programs.keys().find(|n| **n >= args.controllers as usize) {
        eprintln!("--controller-program: there is no controller n{n}");
        return ExitCode::from(2);
    }
    gorseshore_shell::logger::start(gorseshore_settings::LogFormat::Plain);
    let options = Options {
        controllers: args.controllers as usize,
        operator,
        time_scale: args.pace.clamp(0.001, 1000.0),
        programs,
        ..Options::default()
    };
    let site = match Site::start(&options) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    if !site.wait_until_ready(READY_TIMEOUT) {
        eprintln!("the controllers were not ready within {} s", READY_TIMEOUT.as_secs());
        return ExitCode::FAILURE;
    }
    for (i, a) in site.user_addresses.iter().enumerate() {
        println!("controller n{i}: http://{a}");
    }
    for (i, a) in site.nomad_addresses.iter().enumerate() {
        println!("Nomad's interface of n{i}: http://{a}/v1/");
    }
    println!("state service: http://{}", site.state_address);
    println!("cloud: http://{}", site.cloud_address);
    match args.seconds {
        Some(s) => {
            println!("ready; ends after {s} s");
            std::thread::sleep(Duration::from_secs(s));
        }
        None => {
            println!("ready; roll N PATH rolls a controller over; Enter or the end of input ends it");
            run_site_commands(&site);
        }
    }
    println!("ended; nothing is kept");
    ExitCode::SUCCESS
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_programs_seeds_and_commands() {
        // (argument, parsed)
        let programs = [
            ("0=/a/b", Some((0, PathBuf::from("/a/b")))),
            ("12=a=b", Some((12, PathBuf::from("a=b")))),
            ("=a", None),
            ("1=", None),
            ("1", None),
            ("n1=a", None),
        ];
        for (text, expected) in programs {
            assert_eq!(controller_program(text).ok(), expected, "{text}");
        }
        // (argument, seeds)
        let seeds =
            [("0..3", Some(0..3)), ("5..5", None), ("6..2", None), ("3", None), ("a..4", None), ("..", None)];
        for (text, expected) in seeds {
            assert_eq!(seed_range(text).ok(), expected, "{text}");
        }
        // (line, parsed)
        let commands = [
            ("", Some(SiteCommand::Stop)),
            (" \n", Some(SiteCommand::Stop)),
            ("roll 2 /a/b c", Some(SiteCommand::Replace(2, Path::new("/a/b c")))),
            ("roll  0  x ", Some(SiteCommand::Replace(0, Path::new("x")))),
            ("roll 2", None),
            ("roll x /a", None),
            ("rolls 2 /a", None),
            ("end", None),
        ];
        for (line, expected) in commands {
            assert_eq!(SiteCommand::parse(line).ok(), expected, "{line}");
        }
    }
}
