//! Messages of the users' API: job submissions and responses.
use crate::ids::{JobId, Resources};
use crate::job::{JobSpec, Kind, Priority};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;

/// A submission under the API's field names, before validation.
#[derive(Debug, Deserialize)]
struct Submission {
    #[serde(rename = "ref")]
    id: String,
    #[serde(rename = "lot")]
    class: String,
    #[serde(rename = "crew")]
    team: String,
    #[serde(rename = "manner")]
    kind: Kind,
    #[serde(rename = "rank")]
    priority: Priority,
    #[serde(rename = "pieces")]
    tasks: u32,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    #[serde(rename = "bundle")]
    image: String,
    image_gb: f64,
    #[serde(rename = "builds", default)]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    zone: Option<String>,
    #[serde(rename = "same_place")]
    one_zone: bool,
    #[serde(rename = "apart")]
    spread: bool,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "guess_s")]
    estimated_runtime_s: f64,
    #[serde(rename = "mark_s")]
    checkpoint_interval_s: f64,
    #[serde(rename = "stow_s")]
    checkpoint_save_s: f64,
    #[serde(rename = "due_s", default)]
    deadline_s: Option<f64>,
    #[serde(rename = "awaits", default)]
    dependencies: Option<Vec<String>>,
}

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// Extracts the job id from a submission without validating the rest: a retried
/// submission of a known job is answered 200 whatever else its body holds.
pub fn peek_job_id(body: &[u8]) -> Option<JobId> {
    let map: Map<String, Value> = serde_json::from_slice(body).ok()?;
    JobId::parse_user_id(map.get("ref")?.as_str()?)
}

/// Parses and validates a submission; the error is the reason of a 400 response.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, String> {
    let value: Value = serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
    if !value.is_object() {
        return Err("not an object".into());
    }
    let s: Submission = serde_json::from_value(value).map_err(|e| e.to_string())?;
    let id = JobId::parse_user_id(&s.id).ok_or("ref: not of the form j-000412")?;
    if s.tasks == 0 || s.tasks > MAX_TASKS {
        return Err(format!("pieces: must be 1 to {MAX_TASKS}"));
    }
    let amounts = [
        ("cpus", s.cpus),
        ("gpus", s.gpus),
        ("memory_gb", s.memory_gb),
        ("image_gb", s.image_gb),
        ("guess_s", s.estimated_runtime_s),
        ("mark_s", s.checkpoint_interval_s),
        ("stow_s", s.checkpoint_save_s),
        ("due_s", s.deadline_s.unwrap_or(0.0)),
    ];
    for (name, v) in amounts {
        if !v.is_finite() || !(0.0..=1e9).contains(&v) {
            return Err(format!("{name}: must be a number from 0 to 1e9"));
        }
    }
    let texts = [("lot", &s.class), ("crew", &s.team), ("bundle", &s.image)];
    for (name, t) in texts {
        if t.is_empty() || t.len() > 256 {
            return Err(format!("{name}: must have 1 to 256 bytes"));
        }
    }
    if s.machine_types.as_ref().is_some_and(|b| b.len() > 64 || b.iter().any(|t| t.len() > 64)) {
        return Err("builds: at most 64 names of 64 bytes".into());
    }
    if s.zone.as_ref().is_some_and(|y| y.len() > 64) {
        return Err("yard: at most 64 bytes".into());
    }
    let dependencies = parse_dependencies(&s.dependencies.unwrap_or_default())?;
    Ok(JobSpec {
        id,
        class: s.class,
        team: s.team,
        kind: s.kind,
        priority: s.priority,
        tasks: s.tasks,
        task_resources: Resources::request(s.cpus, s.gpus, s.memory_gb),
        machine_types: s.machine_types,
        zones: s.zone.map(|z| vec![z]),
        one_zone: s.one_zone,
        spread: s.spread,
        spot: s.spot,
        image: s.image,
        image_gb: s.image_gb,
        estimated_runtime_s: s.estimated_runtime_s,
        checkpoint_interval_s: s.checkpoint_interval_s,
        checkpoint_save_s: s.checkpoint_save_s,
        deadline_s: s.deadline_s,
        max_attempts: None,
        preferences: Vec::new(),
        replaces: Vec::new(),
        dependencies,
    })
}

/// Parses the ids of the jobs that a submission depends on and drops duplicates.
fn parse_dependencies(names: &[String]) -> Result<Vec<JobId>, String> {
    let mut ids = BTreeSet::new();
    for name in names {
        let id = JobId::parse_user_id(name).ok_or("awaits: must hold job ids of the form j-000412")?;
        ids.insert(id);
    }
    Ok(ids.into_iter().collect())
}

/// JSON body with the state of a job; `done` and `running` count tasks.
pub fn job_status_body(id: JobId, stage: &str, done: u32, running: u32) -> Vec<u8> {
    json!({"ref": id.to_string(), "stage": stage, "done": done, "running": running}).to_string().into_bytes()
}

/// JSON body with the state of a permanently failed job, which users see as
/// `aborted`, and the cause.
pub fn failed_job_body(id: JobId, cause: &str) -> Vec<u8> {
    json!({"ref": id.to_string(), "stage": "aborted", "done": 0, "running": 0, "cause": cause})
        .to_string()
        .into_bytes()
}

/// JSON body of an error response.
pub fn error_body(reason: &str) -> Vec<u8> {
    json!({ "error": reason }).to_string().into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn valid_submission() -> Value {
        json!({"ref":"j-000412","lot":"train","crew":"vision","manner":"array","rank":"high",
            "pieces":16,"cpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,
            "builds":["g8"],"yard":null,"same_place":true,"apart":false,"loaners":true,
            "guess_s":240.0,"mark_s":30.0,"stow_s":4.0,"due_s":900.0})
    }

    #[test]
    fn invalid_submissions_are_rejected() {
        assert!(parse_submission(valid_submission().to_string().as_bytes()).is_ok());
        // (field, invalid value; null stands for a missing required field)
        let invalid = [
            ("ref", json!("x")),
            ("ref", json!(7)),
            ("lot", json!("")),
            ("crew", Value::Null),
            ("manner", json!("ensemble")),
            ("rank", json!("urgent")),
            ("pieces", json!(0)),
            ("pieces", json!(100_001)),
            ("pieces", json!(-1)),
            ("pieces", json!(1.5)),
            ("cpus", json!(-0.5)),
            ("cpus", json!("4")),
            ("memory_gb", json!(1e300)),
            ("due_s", json!(-1.0)),
            ("same_place", json!(1)),
            ("builds", json!("g8")),
            ("yard", json!(3)),
            ("awaits", json!("j-000398")),
            ("awaits", json!([398])),
            ("awaits", json!(["398"])),
            ("awaits", json!(["j-398"])),
            ("awaits", json!([null])),
            ("awaits", json!({"j-000398": 1})),
            ("awaits", json!(["j-1000000000000000000"])),
        ];
        for (field, v) in invalid {
            let mut s = valid_submission();
            s[field] = v.clone();
            assert!(parse_submission(s.to_string().as_bytes()).is_err(), "{field}={v}");
        }
        for text in ["", "[]", "{", "null", "{}", "\u{1}", r#"{"ref":"j-000412","cpus":NaN}"#] {
            assert!(parse_submission(text.as_bytes()).is_err(), "{text}");
        }
    }

    #[test]
    fn optional_fields_may_be_missing_and_unknown_fields_are_ignored() {
        let mut s = valid_submission();
        let m = s.as_object_mut().unwrap();
        for f in ["builds", "yard", "due_s", "awaits"] {
            m.remove(f);
        }
        m.insert("later".into(), json!([1, 2]));
        assert!(parse_submission(s.to_string().as_bytes()).is_ok());
    }

    #[test]
    fn duplicate_dependencies_are_dropped() {
        // (field, ids)
        let cases = [
            (Value::Null, vec![]),
            (json!([]), vec![]),
            (json!(["j-000405", "j-000398"]), vec![JobId(398), JobId(405)]),
            (json!(["j-000398", "j-000398"]), vec![JobId(398)]),
        ];
        for (awaits, ids) in cases {
            let mut s = valid_submission();
            s["awaits"] = awaits;
            assert_eq!(parse_submission(s.to_string().as_bytes()).unwrap().dependencies, ids);
        }
    }
}
