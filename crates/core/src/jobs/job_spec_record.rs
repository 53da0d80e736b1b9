//! The stored form of a job specification.
use gorseshore_protocol::ids::{JobId, Resources};
use gorseshore_protocol::job::{JobSpec, Kind, Preference, Priority};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A job specification as it is stored. New fields get a default, so that records of
/// earlier versions still parse. Versions before 3 wrote an array of 17 positional
/// values, which [`JobSpecRecord::parse`] accepts as well.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct JobSpecRecord {
    #[serde(rename = "l")]
    class: String,
    #[serde(rename = "t")]
    team: String,
    #[serde(rename = "k")]
    kind: Kind,
    #[serde(rename = "r")]
    priority: Priority,
    #[serde(rename = "n")]
    tasks: u32,
    /// Thousandths of CPUs, GPUs and GB of memory.
    #[serde(rename = "u")]
    task_resources: [u64; 3],
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    zones: Option<Vec<String>>,
    #[serde(rename = "o", default, skip_serializing_if = "is_default")]
    one_zone: bool,
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    spread: bool,
    #[serde(rename = "s", default, skip_serializing_if = "is_default")]
    spot: bool,
    #[serde(rename = "i")]
    image: String,
    #[serde(rename = "ig", default, skip_serializing_if = "is_default")]
    image_gb: f64,
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    estimated_runtime_s: f64,
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    checkpoint_interval_s: f64,
    #[serde(rename = "w", default, skip_serializing_if = "is_default")]
    checkpoint_save_s: f64,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    deadline_s: Option<f64>,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    max_attempts: Option<u32>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    preferences: Vec<Preference>,
    /// Jobs that it replaces, followed, if it has dependencies, by its own id and its
    /// dependencies. Versions without support for dependencies delay a job until all of
    /// these jobs are over, so they never start a job that waits for itself.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u64>,
    /// Number of ids at the end of `after` that are dependencies.
    #[serde(rename = "q", default, skip_serializing_if = "is_default")]
    pub dependencies: usize,
    /// Number of additional keys that hold dependencies (`keys::dependencies`).
    #[serde(rename = "qk", default, skip_serializing_if = "is_default")]
    pub dependency_keys: u32,
}

/// The job's own id if it has dependencies; its record lists it among the jobs that it
/// replaces.
pub(super) fn own_id_if_dependent(s: &JobSpec) -> Option<&JobId> {
    (!s.dependencies.is_empty()).then_some(&s.id)
}

fn is_default<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

impl JobSpecRecord {
    pub fn from_spec(s: &JobSpec) -> Self {
        JobSpecRecord {
            class: s.class.clone(),
            team: s.team.clone(),
            kind: s.kind,
            priority: s.priority,
            tasks: s.tasks,
            task_resources: [s.task_resources.cpu, s.task_resources.gpu, s.task_resources.mem],
            machine_types: s.machine_types.clone(),
            zones: s.zones.clone(),
            one_zone: s.one_zone,
            spread: s.spread,
            spot: s.spot,
            image: s.image.clone(),
            image_gb: s.image_gb,
            estimated_runtime_s: s.estimated_runtime_s,
            checkpoint_interval_s: s.checkpoint_interval_s,
            checkpoint_save_s: s.checkpoint_save_s,
            deadline_s: s.deadline_s,
            max_attempts: s.max_attempts,
            preferences: s.preferences.clone(),
            after: s
                .replaces
                .iter()
                .chain(own_id_if_dependent(s))
                .chain(&s.dependencies)
                .map(|j| j.0)
                .collect(),
            dependencies: s.dependencies.len(),
            dependency_keys: 0,
        }
    }

    pub fn parse(v: &Value) -> Option<Self> {
        match v {
            Value::Array(row) => Self::from_row(row),
            _ => Self::deserialize(v).ok(),
        }
    }

    pub fn into_spec(self, id: JobId) -> JobSpec {
        let r = self;
        let mut after: Vec<JobId> = r.after.into_iter().map(JobId).collect();
        let dependencies = after.split_off(after.len().saturating_sub(r.dependencies));
        after.retain(|job| *job != id);
        JobSpec {
            id,
            class: r.class,
            team: r.team,
            kind: r.kind,
            priority: r.priority,
            tasks: r.tasks,
            task_resources: Resources {
                cpu: r.task_resources[0],
                gpu: r.task_resources[1],
                mem: r.task_resources[2],
            },
            machine_types: r.machine_types,
            zones: r.zones,
            one_zone: r.one_zone,
            spread: r.spread,
            spot: r.spot,
            image: r.image,
            image_gb: r.image_gb,
            estimated_runtime_s: r.estimated_runtime_s,
            checkpoint_interval_s: r.checkpoint_interval_s,
            checkpoint_save_s: r.checkpoint_save_s,
            deadline_s: r.deadline_s,
            max_attempts: r.max_attempts,
            preferences: r.preferences,
            replaces: after,
            dependencies,
        }
    }

    pub fn from_row(row: &[Value]) -> Option<Self> {
        fn at<'a, T: Deserialize<'a>>(row: &'a [Value], i: usize) -> Option<T> {
            T::deserialize(row.get(i)?).ok()
        }
        Some(JobSpecRecord {
            class: at(row, 0)?,
            team: at(row, 1)?,
            kind: at(row, 2)?,
            priority: at(row, 3)?,
            tasks: at(row, 4)?,
            task_resources: at(row, 5)?,
            machine_types: at(row, 6)?,
            zones: at::<Option<String>>(row, 7)?.map(|z| vec![z]),
            one_zone: at(row, 8)?,
            spread: at(row, 9)?,
            spot: at(row, 10)?,
            image: at(row, 11)?,
            image_gb: at(row, 12)?,
            estimated_runtime_s: at(row, 13)?,
            checkpoint_interval_s: at(row, 14)?,
            checkpoint_save_s: at(row, 15)?,
            deadline_s: at(row, 16)?,
            max_attempts: None,
            preferences: Vec::new(),
            after: Vec::new(),
            dependencies: 0,
            dependency_keys: 0,
        })
    }
}
