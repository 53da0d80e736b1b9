//! Nomad job files and Nomad's HTTP interface, translated to native jobs.
//!
//! A file is parsed by [`hcl`] or [`json`] to a [`tree`]. [`model`] checks the tree against the
//! [`table`] of the specification, and [`translate`] selects the job's class and builds its native
//! jobs. These modules do no I/O. [`service`] is the interface, a state machine that runs as an
//! extension of the scheduler.
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

/// The result of validating a job file.
#[derive(Debug)]
pub struct ValidationReport {
    /// The job, if enough of it could be read.
    pub job: Option<model::Job>,
    /// The class that accepts the job.
    pub class: Option<String>,
    /// Its groups as native jobs; complete only if the file is accepted.
    pub groups: Vec<PlannedGroup>,
    /// Errors and warnings, sorted by position.
    pub diagnostics: Diagnostics,
}

impl ValidationReport {
    /// Whether the file is accepted.
    pub fn accepted(&self) -> bool {
        self.job.is_some() && self.diagnostics.accepted()
    }
    /// Exit code for scripts: 0 accepted, 1 refused, 2 unreadable.
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

/// Reads a file, as JSON if it begins with a brace, and checks it against the specification, but
/// not against classes and machine types.
pub fn read(source: &str, inputs: &Inputs) -> (Option<model::Job>, Diagnostics) {
    let mut diagnostics = Diagnostics::default();
    let job = read_unplaced(source, inputs, &mut diagnostics);
    diagnostics.assign_positions(source);
    (job, diagnostics)
}

/// Validates a file, read as JSON if it begins with a brace, and translates it to native jobs.
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
