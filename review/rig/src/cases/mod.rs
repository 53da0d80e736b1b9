//! The cases.
mod dispatch;
mod gap;
mod memory;
mod scale;
mod stop;

use crate::Outcome;
use crate::json::{Json, n, obj, s};
use crate::record::Record;
use crate::site::{Plan, Site};
use crate::worker::Stay;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub fn run(case: &str, root: &Path, trouble: bool, record: &Record) -> Outcome {
    match case {
        "stop" => stop::run(root, trouble, record),
        "scale" => scale::run(root, trouble, record),
        "gap" => gap::run(root, trouble, record),
        "memory" => memory::run(root, trouble, record),
        "dispatch" => dispatch::run(root, trouble, record),
        _ => Outcome::CouldNotRun(format!("no case {case}")),
    }
}

/// Starts a site, runs a case on it, and ends it.
fn on_site(root: &Path, plan: &Plan, record: &Record, case: impl FnOnce(&Arc<Site>) -> Outcome) -> Outcome {
    record.write(&format!("site {}", plan.name));
    let site = match Site::start(root, plan, record) {
        Ok(site) => site,
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    let outcome = match site.wait_ready(Duration::from_secs(20)) {
        true => case(&site),
        false => Outcome::CouldNotRun("the controllers were not ready".into()),
    };
    let ended = site.ended();
    site.end();
    match (ended.is_empty(), outcome) {
        (false, _) => Outcome::CouldNotRun(format!("a controller ended by itself: {}", ended.join(" "))),
        (_, outcome) => outcome,
    }
}

/// Waits for a condition.
fn wait(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    condition()
}

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Stays of tasks whose id begins with `job` and a slash.
fn stays(site: &Site, job: &str) -> Vec<Stay> {
    let prefix = format!("{job}/");
    site.shared.stays.lock().unwrap().iter().filter(|s| s.piece.starts_with(&prefix)).cloned().collect()
}

/// Operators' settings for Nomad's interface, as deploy/nomad.txtpb has them, for kolkata's teams.
fn nomad_settings(further: &str) -> String {
    format!(
        "nomad {{\n listen: \"NOMAD\"\n region: \"here\"\n mhz_per_cpu: 2000\n\
         class {{ name: \"service\" type: \"service\" team: \"florists\" rank: \"prod\" lot: \"order-desk\" max_count: 40 max_cpus: 8 max_memory_gb: 32 image_gb: 0.5 }}\n\
         class {{ name: \"batch\" type: \"batch\" team: \"dispatch\" rank: \"standard\" lot: \"route-batch\" estimate_s: 15 max_count: 50 max_restarts: 10 max_reschedules: 10 max_cpus: 16 max_memory_gb: 64 image_gb: 0.5 }}\n\
         {further}}}\n"
    )
}

/// A Nomad job of one group, as the interface takes it.
fn nomad_job(id: &str, kind: &str, group: &str, count: u32, image: &str, further: Vec<(&str, Json)>) -> Json {
    let task = obj(vec![
        ("Name", s("t")),
        ("Driver", s("docker")),
        ("Config", obj(vec![("image", s(image))])),
        ("Resources", obj(vec![("CPU", n(2000)), ("MemoryMB", n(1024))])),
    ]);
    let group = obj(vec![
        ("Name", s(group)),
        ("Count", n(count)),
        ("RestartPolicy", obj(vec![("Attempts", n(1)), ("Mode", s("fail"))])),
        ("ReschedulePolicy", obj(vec![("Attempts", n(0)), ("Unlimited", Json::Bool(kind == "service"))])),
        ("Tasks", Json::Arr(vec![task])),
    ]);
    let mut job =
        vec![("ID", s(id)), ("Name", s(id)), ("Type", s(kind)), ("TaskGroups", Json::Arr(vec![group]))];
    job.extend(further);
    obj(vec![("Job", obj(job))])
}

/// Registers a Nomad job, again after 503; whether it was accepted.
fn register(site: &Site, at: usize, headers: &str, job: &Json) -> bool {
    let start = Instant::now();
    while start.elapsed() < secs(20.0) {
        let answer = site.ask(site.nomad[at], "PUT", "/v1/jobs", headers, &job.to_string(), secs(10.0));
        match answer {
            Some((200, _)) => return true,
            Some((503, _)) | None => std::thread::sleep(secs(0.3)),
            Some(_) => return false,
        }
    }
    false
}

/// The native job that a Nomad job's group became, from the allocations that the interface lists.
fn made_jobs(site: &Site) -> Vec<String> {
    let all = site.shared.stays.lock().unwrap();
    let mut jobs: Vec<String> = all
        .iter()
        .filter_map(|s| Some(s.piece.split_once('/')?.0.to_owned()))
        .filter(|j| j.len() >= 21)
        .collect();
    jobs.sort();
    jobs.dedup();
    jobs
}

/// A native submission.
fn submission(
    id: &str,
    crew: &str,
    manner: &str,
    rank: &str,
    pieces: u32,
    cpus: f64,
    memory_gb: f64,
    image_gb: f64,
    guess_s: f64,
) -> String {
    format!(
        "{{\"ref\":\"{id}\",\"lot\":\"{}\",\"crew\":\"{crew}\",\"manner\":\"{manner}\",\"rank\":\"{rank}\",\"pieces\":{pieces},\
         \"cpus\":{cpus:?},\"gpus\":0.0,\"memory_gb\":{memory_gb:?},\"bundle\":\"img-{id}\",\"image_gb\":{image_gb:?},\"builds\":null,\"yard\":null,\
         \"same_place\":false,\"apart\":false,\"loaners\":false,\"guess_s\":{guess_s:?},\"mark_s\":0.0,\"stow_s\":0.0,\"due_s\":null}}",
        if manner == "array" { "route-batch" } else { "order-desk" }
    )
}

/// Uploads a native job's description for its workers, and submits it, again after 503.
#[allow(clippy::too_many_arguments)]
fn submit(
    site: &Site,
    id: &str,
    crew: &str,
    manner: &str,
    rank: &str,
    pieces: u32,
    cpus: f64,
    memory_gb: f64,
    image_gb: f64,
    run: Option<Duration>,
) -> bool {
    site.shared.profiles.lock().unwrap().insert(
        id.to_owned(),
        crate::worker::Profile {
            pieces,
            cpus,
            memory_gb,
            bundle: format!("img-{id}"),
            image_gb,
            run,
            stow: None,
        },
    );
    let body = submission(
        id,
        crew,
        manner,
        rank,
        pieces,
        cpus,
        memory_gb,
        image_gb,
        run.map_or(0.0, |r| r.as_secs_f64()),
    );
    for i in 0..20 {
        match site.ask(site.users[i % site.users.len()], "POST", "/submissions", "", &body, secs(5.0)) {
            Some((200 | 201, _)) => return true,
            Some((400 | 422, _)) => return false,
            _ => std::thread::sleep(secs(1.0)),
        }
    }
    false
}
