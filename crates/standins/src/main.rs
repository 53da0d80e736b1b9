//! `gorseshore-standins site`: a whole site on loopback, to try things.
use clap::{Args, Parser, Subcommand};
use gorseshore_standins::measure::Load;
use gorseshore_standins::scale::Sizing;
use gorseshore_standins::site::{Options, Site};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

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
    Site(SiteArgs),
    /// Measure Nomad's interface against native submissions of the same work.
    MeasureNomad(MeasureArgs),
    /// Measure what decisions cost at several sizes, with slopes.
    Scale(ScaleArgs),
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
    /// End after so many seconds instead of at the end of standard input.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
}

fn measure(m: &MeasureArgs) -> ExitCode {
    let load = Load { requests: m.requests, clients: m.clients as usize, waiters: m.waiters };
    let options = Options { pace: 0.05, changes: m.changes.clamp(1.0, 1e6), ..Options::default() };
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
    gorseshore_shell::logger::start(gorseshore_settings::LogFormat::Plain);
    let options = Options {
        controllers: args.controllers as usize,
        operator,
        pace: args.pace.clamp(0.001, 1000.0),
        ..Options::default()
    };
    let site = match Site::start(&options) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    if !site.ready(Duration::from_secs(20)) {
        eprintln!("the controllers were not ready within 20 s");
        return ExitCode::FAILURE;
    }
    for (i, a) in site.users.iter().enumerate() {
        println!("controller n{i}: http://{a}");
    }
    for (i, a) in site.nomad.iter().enumerate() {
        println!("Nomad's interface of n{i}: http://{a}/v1/");
    }
    println!("state service: http://{}", site.state);
    println!("cloud: http://{}", site.cloud);
    match args.seconds {
        Some(s) => {
            println!("ready; ends after {s} s");
            std::thread::sleep(Duration::from_secs(s));
        }
        None => {
            println!("ready; Enter or the end of input ends it");
            let _ = std::io::stdin().read_line(&mut String::new());
        }
    }
    println!("ended; nothing is kept");
    ExitCode::SUCCESS
}
