//! Jobs as their owners describe them.
use crate::ids::{JobId, Resources};
use serde::{Deserialize, Serialize};

/// What a job's tasks do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Each task runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Replicas run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Rank {
    /// Lowest.
    #[serde(rename = "idle")]
    Low,
    /// Ordinary work.
    #[serde(rename = "standard")]
    Normal,
    /// Above ordinary work.
    #[serde(rename = "high")]
    High,
    /// Live services.
    #[serde(rename = "prod")]
    Production,
}

/// All ranks, highest first.
pub const RANKS: [Rank; 4] = [Rank::Production, Rank::High, Rank::Normal, Rank::Low];

/// A checked job description.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Id.
    pub id: JobId,
    /// Class of jobs.
    pub class: String,
    /// Team.
    pub team: String,
    /// Array or service.
    pub kind: Kind,
    /// Priority.
    pub rank: Rank,
    /// Number of tasks.
    pub tasks: u32,
    /// What one task takes.
    pub need: Resources,
    /// Allowed machine types.
    pub types: Option<Vec<String>>,
    /// Allowed zones.
    pub zones: Option<Vec<String>>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// Spot machines are allowed.
    pub spot: bool,
    /// Image.
    pub image: String,
    /// Its size.
    pub image_gb: f64,
    /// The owner's estimate of a task's run time.
    pub estimate_s: f64,
    /// Interval of checkpoints, 0 for none.
    pub checkpoint_s: f64,
    /// Time to save.
    pub save_s: f64,
    /// Deadline, from the submission.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether a task may be on such a machine, by type, zone, kind and size.
    pub fn allows(&self, build: &str, zone: &str, spot: bool, size: &Resources) -> bool {
        (!spot || self.spot)
            && self.types.as_ref().is_none_or(|t| t.iter().any(|x| x == build))
            && self.zones.as_ref().is_none_or(|l| l.iter().any(|z| z == zone))
            && size.fits(&self.need)
    }
    /// Most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
}
