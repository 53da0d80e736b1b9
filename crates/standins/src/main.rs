//! `gorseshore-standins site`: a whole site on loopback, to try things.
use clap::{Args, Parser, Subcommand};
use gorseshore_standins::measure::Load;
use gorseshore_standins::scale::Sizing;
use gorseshore_standins::site::{Options, Site};
use gorseshore_standins::soak::{self, schedule};
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A controller has so long to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Stand-ins for what gorseshore needs, on loopback.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Start controllers, state service, cloud and workers; nothing is kept.
    ///
    /// Without --seconds, commands are read from standard input, one a line:
    /// `roll N PATH` ends controller N without warning and starts the program at PATH
    /// in its place, with the same settings (only controllers that were started with
    /// --controller-program); an empty line or the end of input ends the site.
    #[command(verbatim_doc_comment)]
    Site(SiteArgs),
    /// Measure Nomad's interface against native submissions of the same work.
    MeasureNomad(MeasureArgs),
    /// Measure what decisions cost at several sizes, with slopes.
    Scale(ScaleArgs),
    /// Play random faults on real controllers and check what users, workers and cloud saw.
    ///
    /// Prints each seed's schedule of faults and what it came to. Ends with 1 if a rule was
    /// broken, with 2 if a run could not be played.
    Soak(SoakArgs),
}

#[derive(Args)]
struct SoakArgs {
    /// Seeds to play: A..B plays A up to, but not with, B.
    #[arg(long, value_name = "A..B", value_parser = seed_range)]
    seeds: Range<u64>,
    /// Machines that a first job asks for; 0 for what the other jobs need.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=2000))]
    workers: u32,
    /// Controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=15))]
    controllers: u8,
    /// Seconds in which faults come; the run goes on for 95 s after the last of them.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(10..=3600))]
    seconds: u64,
    /// Sockets of a controller: few of them, and connections run short.
    #[arg(long, default_value_t = 8000, value_parser = clap::value_parser!(u32).range(64..=1_000_000))]
    sockets: u32,
    /// The controllers' program; without it, gorseshore beside this program.
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// Write what was seen of a seed that broke a rule to PREFIX-SEED.txt.
    #[arg(long, value_name = "PREFIX")]
    history: Option<String>,
}

/// Reads `A..B`.
fn seed_range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("not of the form A..B")?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("\"{text}\" is not a number"));
    let range = number(from)?..number(to)?;
    if range.is_empty() {
        return Err(format!("{text} holds no seed"));
    }
    Ok(range)
}

/// A run goes on for so long after its last fault: longer than any bound that is checked.
const CALM: Duration = Duration::from_secs(95);

fn play_soak(args: &SoakArgs) -> ExitCode {
    let beside = || Some(std::env::current_exe().ok()?.with_file_name("gorseshore"));
    let Some(program) = args.program.clone().or_else(beside).filter(|program| program.is_file()) else {
        let named = args.program.as_deref().unwrap_or(Path::new("gorseshore beside this program"));
        eprintln!("--program: {} is not there", named.display());
        return ExitCode::from(2);
    };
    let settings = soak::Settings {
        program,
        controllers: args.controllers as usize,
        fleet_machines: args.workers,
        sockets: args.sockets as usize,
        fault_period: Duration::from_secs(args.seconds),
        quiet_period: CALM,
    };
    let mut broken = 0;
    for seed in args.seeds.clone() {
        println!("seed {seed}:");
        for fault in schedule::faults(seed, settings.controllers, settings.fault_period) {
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
        broken += usize::from(!outcome.violations.is_empty());
        if let Some(prefix) = args.history.as_ref().filter(|_| !outcome.violations.is_empty()) {
            let path = format!("{prefix}-{seed}.txt");
            if let Err(e) = std::fs::write(&path, outcome.history.to_string()) {
                eprintln!("{path}: {e}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{broken} of {} seeds broke a rule", args.seeds.end - args.seeds.start);
    if broken > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
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
    /// Numbers of jobs that wait and find no room.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1000, 10_000], value_parser = clap::value_parser!(u32).range(1..=100_000))]
    waiting: Vec<u32>,
}

fn scale(a: &ScaleArgs) -> ExitCode {
    let all = |v: &[u32]| v.iter().map(|n| *n as usize).collect();
    let sizing = Sizing {
        machines: all(&a.machines),
        controllers: all(&a.controllers),
        past: all(&a.past),
        waiting: all(&a.waiting),
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
    /// Clients at a time.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u8).range(1..=200))]
    clients: u8,
    /// Queries that wait at a time.
    #[arg(long, default_value_t = 1000)]
    waiters: usize,
    /// Changes a second that the state service takes.
    #[arg(long, default_value_t = 200.0)]
    changes: f64,
}

#[derive(Args)]
struct SiteArgs {
    /// Controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=15))]
    controllers: u8,
    /// The operators' settings (protobuf text format).
    #[arg(long, value_name = "FILE")]
    operator_config: Option<PathBuf>,
    /// Seconds that a second of a task's estimate takes.
    #[arg(long, default_value_t = 0.1)]
    pace: f64,
    /// Run controller N (from 0) as a process of the program at PATH, which is called with
    /// --config FILE and --operator-config FILE; may be given for each controller. The others
    /// run in this process. What a program logs goes to standard error.
    #[arg(long, value_name = "N=PATH", value_parser = controller_program)]
    controller_program: Vec<(usize, PathBuf)>,
    /// End after so many seconds instead of at the end of standard input.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
}

/// Reads `N=PATH`.
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
    /// Start another program in a controller's place.
    Roll(usize, &'a Path),
    /// End the site.
    End,
}

impl<'a> SiteCommand<'a> {
    fn read(line: &'a str) -> Result<Self, String> {
        let line = line.trim();
        if line.is_empty() {
            return Ok(SiteCommand::End);
        }
        let usage =
            || format!("\"{line}\" is not a command; roll N PATH is, and an empty line ends the site");
        let (number, path) = line
            .strip_prefix("roll ")
            .and_then(|rest| rest.trim_start().split_once(' '))
            .ok_or_else(usage)?;
        let number = number.parse().map_err(|_| usage())?;
        Ok(SiteCommand::Roll(number, Path::new(path.trim())))
    }
}

/// Rolls a controller over and says how it went.
fn roll(site: &Site, controller: usize, program: &Path) {
    match site.replace_controller(controller, program) {
        Err(e) => println!("{e}"),
        Ok(()) => match site.wait_until_controller_ready(controller, READY_LIMIT) {
            Some(took) => println!(
                "controller n{controller}: {}, ready after {:.2} s",
                program.display(),
                took.as_secs_f64()
            ),
            None => println!("controller n{controller}: {}, not ready in time", program.display()),
        },
    }
}

/// Does what standard input says, until its end or an empty line.
fn follow_commands(site: &Site) {
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match SiteCommand::read(&line) {
            Ok(SiteCommand::End) => return,
            Ok(SiteCommand::Roll(controller, program)) => roll(site, controller, program),
            Err(e) => println!("{e}"),
        }
    }
}

fn measure(m: &MeasureArgs) -> ExitCode {
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
    let args = match Cli::parse().verb {
        Verb::Site(args) => args,
        Verb::MeasureNomad(m) => return measure(&m),
        Verb::Scale(a) => return scale(&a),
        Verb::Soak(a) => return play_soak(&a),
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
    if !site.wait_until_ready(READY_LIMIT) {
        eprintln!("the controllers were not ready within {} s", READY_LIMIT.as_secs());
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
            follow_commands(&site);
        }
    }
    println!("ended; nothing is kept");
    ExitCode::SUCCESS
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn programs_and_commands_are_read() {
        // (argument, what it says)
        let programs = [
            ("0=/a/b", Some((0, PathBuf::from("/a/b")))),
            ("12=a=b", Some((12, PathBuf::from("a=b")))),
            ("=a", None),
            ("1=", None),
            ("1", None),
            ("n1=a", None),
        ];
        for (text, want) in programs {
            assert_eq!(controller_program(text).ok(), want, "{text}");
        }
        // (argument, seeds)
        let seeds =
            [("0..3", Some(0..3)), ("5..5", None), ("6..2", None), ("3", None), ("a..4", None), ("..", None)];
        for (text, want) in seeds {
            assert_eq!(seed_range(text).ok(), want, "{text}");
        }
        // (line, what it says)
        let commands = [
            ("", Some(SiteCommand::End)),
            (" \n", Some(SiteCommand::End)),
            ("roll 2 /a/b c", Some(SiteCommand::Roll(2, Path::new("/a/b c")))),
            ("roll  0  x ", Some(SiteCommand::Roll(0, Path::new("x")))),
            ("roll 2", None),
            ("roll x /a", None),
            ("rolls 2 /a", None),
            ("end", None),
        ];
        for (line, want) in commands {
            assert_eq!(SiteCommand::read(line).ok(), want, "{line}");
        }
    }
}
