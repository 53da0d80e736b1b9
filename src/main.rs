//! The program: settings, logging, and the service, or one of its verbs.
mod nomad;

use clap::{Parser, Subcommand};
use gorseshore_settings::{Operator, Platform, SettingsError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A controller of the gorseshore cluster scheduler.
///
/// LOG_LEVEL (error, info, debug) sets the amount of logs on standard error.
#[derive(Parser)]
#[command(version, subcommand_negates_reqs = true, args_conflicts_with_subcommands = true)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (protobuf text format).
    #[arg(long, value_name = "FILE", env = "GORSESHORE_OPERATOR_CONFIG")]
    operator_config: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Job files in Nomad's format.
    #[command(subcommand)]
    Nomad(nomad::Verb),
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError(vec![e.to_string()]))
}

/// Tells what is wrong with a settings file.
fn complain(path: &Path, e: &SettingsError) {
    for line in &e.0 {
        eprintln!("{}: {}", path.display(), line.trim_end());
    }
}

/// The operators' settings, or the defaults without a file.
fn operator(path: Option<&Path>) -> Result<Operator, SettingsError> {
    match path {
        Some(p) => read(p).and_then(|t| Operator::parse(&t)),
        None => Ok(Operator::default()),
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Some(Verb::Nomad(verb)) = args.verb {
        return nomad::run(verb);
    }
    let Some(config) = args.config else { return ExitCode::from(2) };
    let platform = read(&config).and_then(|t| Platform::parse(&t));
    let operator = operator(args.operator_config.as_deref());
    if let Err(e) = &platform {
        complain(&config, e);
    }
    if let (Some(p), Err(e)) = (&args.operator_config, &operator) {
        complain(p, e);
    }
    let (Ok(platform), Ok(operator)) = (platform, operator) else { return ExitCode::from(2) };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    gorseshore_shell::logger::start(operator.log_format);
    let guest = operator.nomad.clone().and_then(|n| {
        let listen = n.listen?;
        let guest = Box::new(gorseshore_nomad::service::Service::new(n, fastrand::u64(..)));
        Some(gorseshore_shell::ExtensionEndpoint { extension: guest, listen })
    });
    match gorseshore_shell::run(platform, operator, guest) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
