//! Settings: the platform's TOML file and the operators' protobuf text file.
#![warn(missing_docs)]
mod nomad;
mod operator;
mod platform;
mod state_limits;
pub use nomad::{Nomad, NomadClass, NomadMachine, NomadToken};
pub use operator::{LogFormat, Operator};
pub use platform::{Objective, Platform, Team};
pub use state_limits::{EffectiveStateLimits, NextStateLimits, StateLimits};

use thiserror::Error;

/// Errors in a settings file, one line per field.
#[derive(Debug, Error)]
#[error("{}", .0.join("\n"))]
pub struct SettingsError(pub Vec<String>);
