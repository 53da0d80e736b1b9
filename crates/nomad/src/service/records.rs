//! What is kept of jobs in the state service, and the one module that knows
//! the names of its keys. All names are below the guest's space.
//!
//! A job is its **head**: one record, written last, whose writing is the
//! registration. What is too long for it (the job as it was written, the
//! native descriptions) is in **parts**, written before, under a name of their
//! own that only the head makes count.
use crate::model::{Job, Payload};
use gorseshore_protocol::ids::JobId;
use gorseshore_protocol::job::Kind;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// A job, by a hash of its namespace and id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub String);

impl JobKey {
    /// The key of a job.
    pub fn of(namespace: &str, id: &str) -> Self {
        let digest = Sha256::new().chain_update(namespace).chain_update([0]).chain_update(id).finalize();
        JobKey(hex::encode(&digest[..20]))
    }
}

/// Names below the guest's space.
pub mod names {
    use super::JobKey;
    /// A job's head.
    pub fn head(k: &JobKey) -> String {
        format!("j/{}", k.0)
    }
    /// All parts of one writing of a job.
    pub fn chunk_prefix(k: &JobKey, nonce: &str) -> String {
        format!("p/{}/{nonce}/", k.0)
    }
    /// A part; parts sort in their order.
    pub fn chunk(k: &JobKey, nonce: &str, i: usize) -> String {
        format!("p/{}/{nonce}/{i:03}", k.0)
    }
    /// The last launch of a periodic job.
    pub fn last_launch(k: &JobKey) -> String {
        format!("l/{}", k.0)
    }
    /// A dispatch by its idempotency token.
    pub fn dispatch_token(k: &JobKey) -> String {
        format!("i/{}", k.0)
    }
}

/// A group of a job as its head has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Name.
    #[serde(rename = "g")]
    pub name: String,
    /// The native job.
    #[serde(rename = "j")]
    pub job: u64,
    /// Repeats.
    #[serde(rename = "n")]
    pub count: u32,
}

/// An earlier version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreviousVersion {
    /// Version.
    #[serde(rename = "v")]
    pub version: u64,
    /// Name of its parts.
    #[serde(rename = "w")]
    pub nonce: String,
    /// Time of day of its registration in milliseconds.
    #[serde(rename = "at")]
    pub at: u64,
}

/// Launches by cron.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeriodicRecord {
    /// Expressions.
    #[serde(rename = "c")]
    pub crons: Vec<String>,
    /// Time zone.
    #[serde(rename = "z")]
    pub time_zone: String,
    /// No launch while an earlier one runs.
    #[serde(rename = "o", default)]
    pub prohibit_overlap: bool,
    /// It launches.
    #[serde(rename = "e")]
    pub enabled: bool,
}

/// Runs by dispatch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ParameterizedRecord {
    /// `optional`, `required` or `forbidden`.
    #[serde(rename = "p")]
    pub payload: String,
    /// Keys that a dispatch must give.
    #[serde(rename = "r", default)]
    pub required: Vec<String>,
    /// Keys that it may give.
    #[serde(rename = "o", default)]
    pub optional: Vec<String>,
}

/// A job's head.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Namespace.
    #[serde(rename = "ns")]
    pub namespace: String,
    /// Id.
    pub id: String,
    /// Shown name.
    #[serde(rename = "nm")]
    pub name: String,
    /// Counts up with every registration that changes something.
    #[serde(rename = "v")]
    pub version: u64,
    /// Hash of the content.
    #[serde(rename = "h")]
    pub hash: String,
    /// Hash of the content without counts.
    #[serde(rename = "hc")]
    pub hash_without_counts: String,
    /// Name of the parts.
    #[serde(rename = "w")]
    pub nonce: String,
    /// Time of day of this registration in milliseconds.
    pub at: u64,
    /// Revision of its first registration, once there is a second one.
    #[serde(rename = "ci", default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<u64>,
    /// `service` or `batch`.
    #[serde(rename = "k")]
    pub kind: String,
    /// 1 to 100.
    #[serde(rename = "pr")]
    pub priority: u32,
    /// Stopped by its users.
    #[serde(rename = "s", default)]
    pub stop: bool,
    /// Its head goes once nothing of it is left.
    #[serde(rename = "pg", default)]
    pub purge: bool,
    /// Class.
    #[serde(rename = "cl")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// Zones as the file names them.
    #[serde(rename = "dc", default)]
    pub datacenters: Vec<String>,
    /// Groups.
    #[serde(rename = "gr")]
    pub groups: Vec<GroupRecord>,
    /// Native jobs of earlier versions that may not be over.
    #[serde(rename = "o", default)]
    pub superseded_jobs: Vec<u64>,
    /// Launches by cron.
    #[serde(rename = "pe", default, skip_serializing_if = "Option::is_none")]
    pub periodic: Option<PeriodicRecord>,
    /// Runs by dispatch.
    #[serde(rename = "pa", default, skip_serializing_if = "Option::is_none")]
    pub param: Option<ParameterizedRecord>,
    /// The job that launched or dispatched it.
    #[serde(rename = "up", default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// Versions before, the last one first.
    #[serde(rename = "vs", default)]
    pub earlier: Vec<PreviousVersion>,
}

/// Versions before the current one that are kept.
pub const MAX_PREVIOUS_VERSIONS: usize = 5;
/// Most native jobs of earlier versions that may not be over.
pub const MAX_SUPERSEDED_JOBS: usize = 16;

impl JobRecord {
    /// Its key.
    pub fn key(&self) -> JobKey {
        JobKey::of(&self.namespace, &self.id)
    }
    /// It makes jobs and runs nothing itself.
    pub fn is_template(&self) -> bool {
        self.periodic.is_some() || self.param.is_some()
    }
    /// Whether a writing of parts is one of its versions.
    pub fn references(&self, nonce: &str) -> bool {
        self.nonce == nonce || self.earlier.iter().any(|e| e.nonce == nonce)
    }
    /// Native jobs, those of earlier versions too.
    pub fn native_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.groups.iter().map(|g| g.job).chain(self.superseded_jobs.iter().copied()).map(JobId)
    }
}

/// What is in a job's parts, put together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The job as the interface shows it.
    pub job: Value,
    /// Native descriptions by group, as records.
    pub specs: BTreeMap<String, Value>,
}

/// Cuts a text into parts whose JSON has at most `room` bytes.
pub fn split_into_chunks(text: &str, room: usize) -> Vec<String> {
    let (mut parts, mut part, mut size) = (Vec::new(), String::new(), 2);
    for c in text.chars() {
        // What the character takes as JSON.
        let n = match c {
            '"' | '\\' => 2,
            c if (c as u32) < 0x20 => 6,
            c => c.len_utf8(),
        };
        if size + n > room && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            size = 2;
        }
        part.push(c);
        size += n;
    }
    parts.push(part);
    parts
}

/// The job as the interface shows it, with the defaults filled in.
pub fn api_job(j: &Job) -> Value {
    let kind = if j.kind == Kind::Service { "service" } else { "batch" };
    let groups: Vec<Value> = j
        .groups
        .iter()
        .map(|g| {
            let t = &g.task;
            json!({
                "Name": g.name, "Count": g.count, "Meta": g.meta,
                "Constraints": g.constraints.iter().map(|m| json!({
                    "LTarget": m.attribute, "RTarget": m.value, "Operand": m.operator})).collect::<Vec<_>>(),
                "Affinities": g.affinities.iter().map(|(m, w)| json!({
                    "LTarget": m.attribute, "RTarget": m.value, "Operand": m.operator,
                    "Weight": *w as i64})).collect::<Vec<_>>(),
                "Spreads": if g.spread {
                    json!([{"Attribute": "${node.datacenter}", "Weight": 50}])
                } else {
                    json!([])
                },
                "RestartPolicy": {
                    "Attempts": g.restarts.unwrap_or(0),
                    "Mode": if g.restarts.is_some() { "fail" } else { "delay" },
                },
                "ReschedulePolicy": {
                    "Attempts": g.reschedules.unwrap_or(0), "Unlimited": g.reschedules.is_none(),
                },
                "EphemeralDisk": {"SizeMB": g.disk_mb.0},
                "Tasks": [{
                    "Name": t.name, "Driver": t.driver, "Config": t.config.json(), "Env": t.env,
                    "KillTimeout": t.kill_timeout.0 * 1000,
                    "Resources": {
                        "CPU": if t.cores.is_some() { 0 } else { t.cpu_mhz },
                        "Cores": t.cores.unwrap_or(0), "MemoryMB": t.memory_mb,
                    },
                }],
            })
        })
        .collect();
    json!({
        "ID": j.id, "Name": j.name, "Namespace": j.namespace, "Type": kind, "Priority": j.priority,
        "Region": j.region.as_ref().map_or("global", |r| r.0.as_str()),
        "Datacenters": j.datacenters.iter().map(|d| &d.0).collect::<Vec<_>>(),
        "Meta": j.meta, "TaskGroups": groups,
        "Periodic": j.periodic.as_ref().map(|p| json!({
            "Enabled": p.enabled, "Specs": p.crons, "SpecType": "cron", "TimeZone": p.time_zone,
            "ProhibitOverlap": p.prohibit_overlap})),
        "ParameterizedJob": j.parameterized.as_ref().map(|p| json!({
            "Payload": payload_word(p.payload), "MetaRequired": p.required, "MetaOptional": p.optional})),
    })
}

/// The word for whether a dispatch carries a payload.
pub fn payload_word(p: Payload) -> &'static str {
    match p {
        Payload::Optional => "optional",
        Payload::Required => "required",
        Payload::Forbidden => "forbidden",
    }
}

/// The hash of a job's content, with and without its counts.
pub fn hashes(content: &Content) -> (String, String) {
    let hash = |v: &Content| {
        let text = serde_json::to_string(v).unwrap_or_default();
        hex::encode(&Sha256::digest(text)[..16])
    };
    let mut shape = content.clone();
    if let Some(groups) = shape.job["TaskGroups"].as_array_mut() {
        groups.iter_mut().for_each(|g| g["Count"] = Value::Null);
    }
    shape.specs.values_mut().for_each(|s| s["d"]["n"] = Value::Null);
    (hash(content), hash(&shape))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn texts_are_cut_to_fit_and_come_together_again() {
        for text in ["", "abc", "\"\\\n\u{1}é€😀 and more of it", &"x\"".repeat(3000)] {
            for room in [20, 64, 3900] {
                let parts = split_into_chunks(text, room);
                assert_eq!(parts.concat(), text);
                for p in &parts {
                    assert!(json!(p).to_string().len() <= room, "{room}: {p:?}");
                }
            }
        }
    }

    #[test]
    fn keys_tell_namespace_from_id() {
        assert_ne!(JobKey::of("a", "bc"), JobKey::of("ab", "c"));
        assert_eq!(names::chunk(&JobKey::of("a", "b"), "n", 7).len(), 2 + 40 + 3 + 3);
    }

    /// As this version writes it: later ones must read it.
    #[test]
    fn heads_of_this_version_are_read() {
        let text = r#"{"ns":"default","id":"desk","nm":"desk","v":3,"h":"aa","hc":"bb","w":"f00d","at":5,
            "k":"service","pr":50,"cl":"service","t":"florists","gr":[{"g":"api","j":1000000000000000007,"n":4}]}"#;
        let h: JobRecord = serde_json::from_str(text).unwrap();
        assert_eq!(
            (h.version, h.groups[0].job, h.stop, h.superseded_jobs.len()),
            (3, 1_000_000_000_000_000_007, false, 0)
        );
        let again: JobRecord = serde_json::from_value(json!(h)).unwrap();
        assert_eq!(again, h);
    }
}
