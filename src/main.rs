//! The `gorseshore` program: runs a controller, or one of the subcommands.
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
    command: Option<Subcommands>,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Job files in Nomad's format.
    #[command(subcommand)]
    Nomad(nomad::Subcommands),
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError(vec![e.to_string()]))
}

/// Prints the errors in a settings file to standard error.
fn print_errors(path: &Path, e: &SettingsError) {
    for line in &e.0 {
        eprintln!("{}: {}", path.display(), line.trim_end());
    }
}

/// Reads the operators' settings; without a file they are the defaults.
fn operator_settings(path: Option<&Path>) -> Result<Operator, SettingsError> {
    match path {
        Some(p) => read(p).and_then(|t| Operator::parse(&t)),
        None => Ok(Operator::default()),
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    if let Some(Subcommands::Nomad(command)) = args.command {
        return nomad::run(command);
    }
    let Some(config) = args.config else { return ExitCode::from(2) };
    let platform = read(&config).and_then(|t| Platform::parse(&t));
    let operator = operator_settings(args.operator_config.as_deref());
    if let Err(e) = &platform {
        print_errors(&config, e);
    }
    if let (Some(p), Err(e)) = (&args.operator_config, &operator) {
        print_errors(p, e);
    }
    let (Ok(platform), Ok(operator)) = (platform, operator) else { return ExitCode::from(2) };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    gorseshore_shell::logger::start(operator.log_format);
    let extension = operator.nomad.clone().and_then(|n| {
        let listen = n.listen?;
        let service = Box::new(gorseshore_nomad::service::Service::new(n, fastrand::u64(..)));
        Some(gorseshore_shell::ExtensionEndpoint { extension: service, listen })
    });
    match gorseshore_shell::run(platform, operator, extension) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
