//! Job specifications.
use crate::ids::{JobId, Resources};
use serde::{Deserialize, Serialize};

/// Whether a job's tasks end by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Each task runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Each task is a replica that runs until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Lowest priority.
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

/// All priorities, highest first.
pub const PRIORITIES: [Priority; 4] = [Priority::Production, Priority::High, Priority::Normal, Priority::Low];

/// A validated job specification.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Id that its user chose or the service generated.
    pub id: JobId,
    /// Job class, to which objectives apply.
    pub class: String,
    /// Team that owns the job.
    pub team: String,
    /// Array or service.
    pub kind: Kind,
    /// Scheduling priority.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that one task requests.
    pub task_resources: Resources,
    /// Allowed machine types; `None` allows all.
    pub machine_types: Option<Vec<String>>,
    /// Allowed zones; `None` allows all.
    pub zones: Option<Vec<String>>,
    /// All tasks must run in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may run in the same zone.
    pub spread: bool,
    /// Tasks may run on spot machines.
    pub spot: bool,
    /// Image that the tasks run.
    pub image: String,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// The user's estimate of a task's run time, in seconds.
    pub estimated_runtime_s: f64,
    /// Interval between checkpoints in seconds, 0 for none.
    pub checkpoint_interval_s: f64,
    /// Time that a task takes to save a checkpoint, in seconds.
    pub checkpoint_save_s: f64,
    /// Deadline, in seconds from the submission.
    pub deadline_s: Option<f64>,
    /// Number of failed attempts after which a task, and with it its job, fails
    /// permanently; `None` retries without limit, as all natively submitted jobs do.
    pub max_attempts: Option<u32>,
    /// Preferred and avoided machines, where there is a choice.
    pub preferences: Vec<Preference>,
    /// Jobs that this one replaces: none of its tasks starts while a task of theirs is
    /// left on a machine.
    pub replaces: Vec<JobId>,
    /// Jobs that must be done before any task of this one starts, without duplicates.
    pub dependencies: Vec<JobId>,
}

/// Preference for one machine type in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Preference {
    /// Machine type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// Higher is preferred; negative is avoided.
    #[serde(rename = "w")]
    pub weight: i32,
}

impl JobSpec {
    /// Whether the tasks may run on a machine of this type, zone, spot flag and capacity.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool, capacity: &Resources) -> bool {
        (!spot || self.spot)
            && self.machine_types.as_ref().is_none_or(|t| t.iter().any(|x| x == machine_type))
            && self.zones.as_ref().is_none_or(|l| l.iter().any(|z| z == zone))
            && capacity.fits(&self.task_resources)
    }
    /// Penalty for placing a task on this machine type and zone; 0 for the most preferred.
    pub fn placement_penalty(&self, machine_type: &str, zone: &str) -> u64 {
        if self.preferences.is_empty() {
            return 0;
        }
        let weight = |p: &Preference| p.weight.clamp(-1_000_000, 1_000_000) as i64;
        let preference: i64 = self
            .preferences
            .iter()
            .filter(|p| p.machine_type == machine_type && p.zone == zone)
            .map(weight)
            .sum();
        (1_000_000 - preference.clamp(-1_000_000, 1_000_000)) as u64
    }
    /// Whether the zone of one task restricts the zones of the job's other tasks.
    pub fn has_zone_constraint(&self) -> bool {
        self.spread || self.one_zone
    }
    /// Maximum number of tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
}
