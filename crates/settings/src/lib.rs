//! Settings: the platform's TOML file and the operators' own file.
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

/// What is wrong with the settings, field by field.
#[derive(Debug, Error)]
#[error("{}", .0.join("\n"))]
pub struct SettingsError(pub Vec<String>);
