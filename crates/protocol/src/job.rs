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
    /// Failed attempts after which a task, and with it its job, has failed for
    /// good; without end natively.
    pub attempts: Option<u32>,
    /// Machines that come first or last where there is a choice.
    pub prefer: Vec<Preference>,
    /// Jobs that it replaces: nothing of it starts before nothing is left of them.
    pub after: Vec<JobId>,
    /// Jobs that have to be done before any task of this one starts; each once.
    pub dependencies: Vec<JobId>,
}

/// How much a kind of machine is preferred.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Preference {
    /// Type.
    #[serde(rename = "t")]
    pub build: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// More is better; below 0 it is avoided.
    #[serde(rename = "w")]
    pub weight: i32,
}

impl JobSpec {
    /// Whether a task may be on such a machine, by type, zone, kind and size.
    pub fn allows(&self, build: &str, zone: &str, spot: bool, size: &Resources) -> bool {
        (!spot || self.spot)
            && self.types.as_ref().is_none_or(|t| t.iter().any(|x| x == build))
            && self.zones.as_ref().is_none_or(|l| l.iter().any(|z| z == zone))
            && size.fits(&self.need)
    }
    /// How little a kind of machine is preferred, 0 at best.
    pub fn dislike(&self, build: &str, zone: &str) -> u64 {
        if self.prefer.is_empty() {
            return 0;
        }
        let weight = |p: &Preference| p.weight.clamp(-1_000_000, 1_000_000) as i64;
        let here: i64 = self.prefer.iter().filter(|p| p.build == build && p.zone == zone).map(weight).sum();
        (1_000_000 - here.clamp(-1_000_000, 1_000_000)) as u64
    }
    /// Whether it matters to the job's other tasks in which zone one is.
    pub fn has_zone_rule(&self) -> bool {
        self.spread || self.one_zone
    }
    /// Most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
}
