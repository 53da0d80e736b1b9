//! Nomad's job files, translated to native jobs.
//!
//! A file goes through [`hcl`] or [`json`] to a [`tree`], through [`model`],
//! which checks it against the [`table`] of the specification, and through
//! [`translate`], which finds its class and makes native jobs of it. Nothing
//! here does input or output. [`service`] is the interface, a state machine
//! beside the scheduler.
#![warn(missing_docs)]
pub mod cron;
pub mod eval;
mod functions;
pub mod hcl;
pub mod json;
pub mod model;
pub mod service;
pub mod table;
pub mod translate;
pub mod tree;

use gorseshore_settings::Nomad;
use translate::{PlannedGroup, Site};
use tree::{Diagnostics, Severity};

pub use hcl::Inputs;

/// What became of a file.
#[derive(Debug)]
pub struct ValidationReport {
    /// The job, if there is enough to read of it.
    pub job: Option<model::Job>,
    /// The class that takes it.
    pub class: Option<String>,
    /// Its groups as native jobs; whole only if the file is accepted.
    pub groups: Vec<PlannedGroup>,
    /// Everything to say, by place.
    pub diagnostics: Diagnostics,
}

impl ValidationReport {
    /// Whether the file is accepted.
    pub fn accepted(&self) -> bool {
        self.job.is_some() && self.diagnostics.accepted()
    }
    /// What a script goes by: 0 accepted, 1 refused, 2 unreadable.
    pub fn exit_code(&self) -> u8 {
        match self.diagnostics.worst() {
            Some(Severity::Unreadable) => 2,
            Some(Severity::Refused) => 1,
            _ if self.job.is_none() => 2,
            _ => 0,
        }
    }
}

fn read_unplaced(source: &str, inputs: &Inputs, diagnostics: &mut Diagnostics) -> Option<model::Job> {
    let block = if source.trim_start().starts_with('{') {
        json::read(source, diagnostics)
    } else {
        hcl::read(source, inputs, diagnostics)
    };
    let mut job = block.and_then(|b| model::read(&b, diagnostics))?;
    if let (Some(n), "default") = (&inputs.namespace, job.namespace.as_str()) {
        job.namespace = n.clone();
    }
    Some(job)
}

/// Reads a file by its content, JSON if it begins with a brace, and checks it
/// against the specification, not against classes and machines.
pub fn read(source: &str, inputs: &Inputs) -> (Option<model::Job>, Diagnostics) {
    let mut diagnostics = Diagnostics::default();
    let job = read_unplaced(source, inputs, &mut diagnostics);
    diagnostics.assign_positions(source);
    (job, diagnostics)
}

/// Judges a file by its content: JSON if it begins with a brace.
pub fn validate(source: &str, inputs: &Inputs, settings: &Nomad, site: &Site) -> ValidationReport {
    let mut diagnostics = Diagnostics::default();
    let job = read_unplaced(source, inputs, &mut diagnostics);
    let mut class = None;
    let mut groups = Vec::new();
    if let Some(j) = &job {
        class = translate::find_class(j, settings).map(|c| c.name.clone());
        groups = translate::translate(j, settings, site, &mut diagnostics);
    }
    diagnostics.assign_positions(source);
    ValidationReport { job, class, groups, diagnostics }
}
