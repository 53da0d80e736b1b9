//! Records of Nomad jobs in the state service. This module alone defines their key names, all of
//! which are below the extension's prefix.
//!
//! A job has one **job record**, which is written last; writing it is the registration. What is too
//! long for the record (the job as submitted and the native descriptions) is in **chunks**. They
//! are written first, below a nonce of their own, and have no effect until a job record references
//! the nonce.
use crate::model::{Job, Payload};
use gorseshore_protocol::ids::JobId;
use gorseshore_protocol::job::Kind;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Key of a job: a hash of its namespace and id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub String);

impl JobKey {
    /// The key of a job.
    pub fn of(namespace: &str, id: &str) -> Self {
        let digest = Sha256::new().chain_update(namespace).chain_update([0]).chain_update(id).finalize();
        JobKey(hex::encode(&digest[..20]))
    }
}

/// Key names below the extension's prefix.
pub mod names {
    use super::JobKey;
    /// The record of a job.
    pub fn job_record(k: &JobKey) -> String {
        format!("j/{}", k.0)
    }
    /// All chunks of one written content of a job.
    pub fn chunk_prefix(k: &JobKey, nonce: &str) -> String {
        format!("p/{}/{nonce}/", k.0)
    }
    /// One chunk of a content; the keys sort in the order of the chunks.
    pub fn chunk(k: &JobKey, nonce: &str, i: usize) -> String {
        format!("p/{}/{nonce}/{i:03}", k.0)
    }
    /// The last launch of a periodic job.
    pub fn last_launch(k: &JobKey) -> String {
        format!("l/{}", k.0)
    }
    /// A dispatch, by its hashed idempotency token.
    pub fn dispatch_token(k: &JobKey) -> String {
        format!("i/{}", k.0)
    }
}

/// A group in a job record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Name.
    #[serde(rename = "g")]
    pub name: String,
    /// Id of the native job.
    #[serde(rename = "j")]
    pub job: u64,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub count: u32,
}

/// A previous version of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PreviousVersion {
    /// Version number.
    #[serde(rename = "v")]
    pub version: u64,
    /// Nonce of its chunks.
    #[serde(rename = "w")]
    pub nonce: String,
    /// Time of its registration in milliseconds since 1970.
    #[serde(rename = "at")]
    pub at: u64,
}

/// Cron launches of a periodic job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeriodicRecord {
    /// Cron expressions.
    #[serde(rename = "c")]
    pub crons: Vec<String>,
    /// Time zone.
    #[serde(rename = "z")]
    pub time_zone: String,
    /// Whether a launch is skipped while an earlier one runs.
    #[serde(rename = "o", default)]
    pub prohibit_overlap: bool,
    /// Whether the job is launched by cron.
    #[serde(rename = "e")]
    pub enabled: bool,
}

/// Dispatch rules of a parameterized job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ParameterizedRecord {
    /// `optional`, `required` or `forbidden`.
    #[serde(rename = "p")]
    pub payload: String,
    /// Meta keys that a dispatch must set.
    #[serde(rename = "r", default)]
    pub required: Vec<String>,
    /// Meta keys that a dispatch may set.
    #[serde(rename = "o", default)]
    pub optional: Vec<String>,
}

/// The record of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Namespace.
    #[serde(rename = "ns")]
    pub namespace: String,
    /// Job id.
    pub id: String,
    /// Display name.
    #[serde(rename = "nm")]
    pub name: String,
    /// Version number; each registration that changes something increments it.
    #[serde(rename = "v")]
    pub version: u64,
    /// Hash of the content.
    #[serde(rename = "h")]
    pub hash: String,
    /// Hash of the content without counts.
    #[serde(rename = "hc")]
    pub hash_without_counts: String,
    /// Nonce of the chunks.
    #[serde(rename = "w")]
    pub nonce: String,
    /// Time of this registration in milliseconds since 1970.
    pub at: u64,
    /// Revision of the first registration; set from the second registration on.
    #[serde(rename = "ci", default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<u64>,
    /// `service` or `batch`.
    #[serde(rename = "k")]
    pub kind: String,
    /// Priority, 1 to 100.
    #[serde(rename = "pr")]
    pub priority: u32,
    /// Whether a user stopped the job.
    #[serde(rename = "s", default)]
    pub stop: bool,
    /// Whether the record is deleted once none of the job's native jobs is active.
    #[serde(rename = "pg", default)]
    pub purge: bool,
    /// Class.
    #[serde(rename = "cl")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// Zone patterns as the file names them.
    #[serde(rename = "dc", default)]
    pub datacenters: Vec<String>,
    /// Groups.
    #[serde(rename = "gr")]
    pub groups: Vec<GroupRecord>,
    /// Native jobs of earlier versions that may still be active.
    #[serde(rename = "o", default)]
    pub superseded_jobs: Vec<u64>,
    /// Cron launches, for a periodic job.
    #[serde(rename = "pe", default, skip_serializing_if = "Option::is_none")]
    pub periodic: Option<PeriodicRecord>,
    /// Dispatch rules, for a parameterized job.
    #[serde(rename = "pa", default, skip_serializing_if = "Option::is_none")]
    pub parameterized: Option<ParameterizedRecord>,
    /// Id of the periodic or parameterized job that created this one.
    #[serde(rename = "up", default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// Previous versions, latest first.
    #[serde(rename = "vs", default)]
    pub previous_versions: Vec<PreviousVersion>,
}

/// Most previous versions that a record keeps.
pub const MAX_PREVIOUS_VERSIONS: usize = 5;
/// Most native jobs of earlier versions that may still be active.
pub const MAX_SUPERSEDED_JOBS: usize = 16;

impl JobRecord {
    /// The key of the job.
    pub fn key(&self) -> JobKey {
        JobKey::of(&self.namespace, &self.id)
    }
    /// Whether the job only creates other jobs and runs no tasks itself.
    pub fn is_template(&self) -> bool {
        self.periodic.is_some() || self.parameterized.is_some()
    }
    /// Whether the current or a kept previous version uses the chunks of `nonce`.
    pub fn references(&self, nonce: &str) -> bool {
        self.nonce == nonce || self.previous_versions.iter().any(|e| e.nonce == nonce)
    }
    /// Native jobs of the current version and of earlier ones.
    pub fn native_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.groups.iter().map(|g| g.job).chain(self.superseded_jobs.iter().copied()).map(JobId)
    }
}

/// The content of a job, joined from its chunks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The job in the JSON form of the interface.
    pub job: Value,
    /// Native job descriptions by group, in the form of records.
    pub specs: BTreeMap<String, Value>,
}

/// Splits a text into chunks, each of at most `room` bytes when encoded as JSON.
pub fn split_into_chunks(text: &str, max_bytes: usize) -> Vec<String> {
    let (mut chunks, mut chunk, mut chunk_bytes) = (Vec::new(), String::new(), 2);
    for c in text.chars() {
        // Bytes of the character in JSON.
        let n = match c {
            '"' | '\\' => 2,
            c if (c as u32) < 0x20 => 6,
            c => c.len_utf8(),
        };
        if chunk_bytes + n > max_bytes && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            chunk_bytes = 2;
        }
        chunk.push(c);
        chunk_bytes += n;
    }
    chunks.push(chunk);
    chunks
}

/// The job in the JSON form of the interface, with defaults filled in.
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

/// The specification's word for a payload rule.
pub fn payload_word(p: Payload) -> &'static str {
    match p {
        Payload::Optional => "optional",
        Payload::Required => "required",
        Payload::Forbidden => "forbidden",
    }
}

/// Hash of a job's content, and hash of the content without counts.
pub fn hashes(content: &Content) -> (String, String) {
    let hash = |v: &Content| {
        let text = serde_json::to_string(v).unwrap_or_default();
        hex::encode(&Sha256::digest(text)[..16])
    };
    let mut uncounted = content.clone();
    if let Some(groups) = uncounted.job["TaskGroups"].as_array_mut() {
        groups.iter_mut().for_each(|g| g["Count"] = Value::Null);
    }
    uncounted.specs.values_mut().for_each(|s| s["d"]["n"] = Value::Null);
    (hash(content), hash(&uncounted))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_fit_the_limit_and_join_to_the_text() {
        for text in ["", "abc", "\"\\\n\u{1}é€😀 and more of it", &"x\"".repeat(3000)] {
            for max_bytes in [20, 64, 3900] {
                let chunks = split_into_chunks(text, max_bytes);
                assert_eq!(chunks.concat(), text);
                for p in &chunks {
                    assert!(json!(p).to_string().len() <= max_bytes, "{max_bytes}: {p:?}");
                }
            }
        }
    }

    #[test]
    fn keys_separate_namespace_and_id() {
        assert_ne!(JobKey::of("a", "bc"), JobKey::of("ab", "c"));
        assert_eq!(names::chunk(&JobKey::of("a", "b"), "n", 7).len(), 2 + 40 + 3 + 3);
    }

    /// A record as this version writes it; later versions must be able to read it.
    #[test]
    fn records_of_this_version_are_read() {
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
