//! The program: settings, logging, and the service.
use clap::Parser;
use gorseshore_settings::{Operator, Platform, SettingsError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A controller of the gorseshore cluster scheduler.
///
/// LOG_LEVEL (error, info, debug) sets the amount of logs on standard error.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (protobuf text format).
    #[arg(long, value_name = "FILE", env = "GORSESHORE_OPERATOR_CONFIG")]
    operator_config: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError(vec![e.to_string()]))
}

fn main() -> ExitCode {
    let args = Args::parse();
    let platform = read(&args.config).and_then(|t| Platform::parse(&t));
    let operator = match &args.operator_config {
        Some(p) => read(p).and_then(|t| Operator::parse(&t)),
        None => Ok(Operator::default()),
    };
    for (path, error) in [
        (Some(&args.config), platform.as_ref().err()),
        (args.operator_config.as_ref(), operator.as_ref().err()),
    ] {
        if let (Some(path), Some(e)) = (path, error) {
            for line in &e.0 {
                eprintln!("{}: {}", path.display(), line.trim_end());
            }
        }
    }
    let (Ok(platform), Ok(operator)) = (platform, operator) else { return ExitCode::from(2) };
    if args.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    gorseshore_shell::logger::start(operator.log_format);
    match gorseshore_shell::run(platform, operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
