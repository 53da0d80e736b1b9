//! Batch jobs in Nomad's format are scaled up as their last tasks complete, while the state service
//! answers slowly.
use super::*;
use crate::site::kolkata;
use crate::worker::Profile;

const JOBS: usize = 8;
const RUN: f64 = 10.0;
/// Time of each answer of the state service, where it is slow.
const SLOW: f64 = 0.04;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut plan = kolkata(&[("dispatch", 0.0, 0.0), ("florists", 0.0, 0.0)]);
    plan.operator = Some(nomad_settings(""));
    on_site(root, &plan, record, |site| {
        *site.shared.made.lock().unwrap() = Some(Profile {
            pieces: 100,
            cpus: 1.0,
            memory_gb: 1.0,
            bundle: "plan".into(),
            image_gb: 0.5,
            run: Some(secs(RUN)),
            stow: None,
        });
        // A first job has machines rented and the image fetched.
        if !register(site, 0, "", &nomad_job("warm-up", "batch", "g", 30, "plan", vec![])) {
            return Outcome::CouldNotRun("the first job was not accepted".into());
        }
        let count = |all: &[Stay]| all.iter().filter(|s| matches!(s.to, Some((_, "done")))).count();
        if !wait(secs(40.0), || count(&site.shared.stays.lock().unwrap()) >= 30) {
            return Outcome::CouldNotRun("the first job did not complete".into());
        }
        if trouble {
            for i in 0..site.names.len() {
                site.state.slow(i, secs(SLOW));
            }
            record.write("each answer of the state service takes 40 ms");
        }
        std::thread::sleep(secs(0.5));
        let mut threads = Vec::new();
        for k in 0..JOBS {
            let site = site.clone();
            threads.push(std::thread::spawn(move || one(&site, k, trouble)));
            // One job after the other, so that each is told apart by its native job.
            std::thread::sleep(secs(2.5));
        }
        // All of them have ended or gone on by then.
        std::thread::sleep(secs(15.0));
        for i in 0..site.names.len() {
            site.state.slow(i, secs(0.0));
        }
        record.write("the state service answers at once");
        let mut broken = Vec::new();
        for t in threads {
            match t.join() {
                Ok(Ok(None)) => {}
                Ok(Ok(Some(text))) => broken.push(text),
                Ok(Err(text)) => return Outcome::CouldNotRun(text),
                Err(_) => return Outcome::CouldNotRun("a user's thread failed".into()),
            }
        }
        match broken.is_empty() {
            true => Outcome::Held,
            false => Outcome::Broken(broken.join("; ")),
        }
    })
}

/// Registers a job of 3 tasks, scales it to 5 as they end, and watches it.
fn one(site: &Site, k: usize, trouble: bool) -> Result<Option<String>, String> {
    let id = format!("plan-{k}");
    let at = k % site.names.len();
    if !register(site, at, "", &nomad_job(&id, "batch", "g", 3, "plan", vec![])) {
        return Err(format!("{id} was not accepted"));
    }
    // Its native job is the one that its allocations name.
    let mut native = String::new();
    let mut begun = false;
    for _ in 0..50 {
        std::thread::sleep(secs(0.5));
        native = allocations(site, at, &id)
            .first()
            .and_then(|a| piece_of(a.get("ID").str()))
            .and_then(|p| Some(p.split_once('/')?.0.to_owned()))
            .unwrap_or_default();
        begun = !native.is_empty() && stays(site, &native).len() == 3;
        if begun {
            break;
        }
    }
    if !begun {
        return Err(format!("{id} did not begin"));
    }
    let last = stays(site, &native).iter().map(|s| s.from).max().unwrap_or(Instant::now());
    // From 0.14 s before the last task ends to its end; without the disruption, well before.
    let early = if trouble { 0.14 - 0.02 * k as f64 } else { 3.0 };
    std::thread::sleep((last + secs(RUN - early)).saturating_duration_since(Instant::now()));
    let body = "{\"Target\":{\"Group\":\"g\"},\"Count\":5}";
    let mut accepted = false;
    for _ in 0..5 {
        match site.ask(site.nomad[at], "POST", &format!("/v1/job/{id}/scale"), "", body, secs(10.0)) {
            Some((200, _)) => {
                accepted = true;
                break;
            }
            Some((503, _)) | None => std::thread::sleep(secs(0.5)),
            Some((status, text)) => return Err(format!("{id}: scale answered {status} {text}")),
        }
    }
    if !accepted {
        return Ok(None);
    }
    // All its tasks have to complete; some of them may run as another native job.
    let completed = || {
        let path = format!("/v1/job/{id}/summary");
        let answer = site.ask(site.nomad[at], "GET", &path, "", "", secs(5.0));
        let summary = answer.and_then(|a| Json::parse(a.1.as_bytes())).unwrap_or(Json::Null);
        summary.get("Summary").get("g").get("Complete").u64().unwrap_or(0)
    };
    let limit = Instant::now() + secs(30.0);
    let mut seen = 0;
    while Instant::now() < limit {
        std::thread::sleep(secs(2.0));
        seen = completed();
        if seen >= 5 {
            return Ok(never_ran(site, at, &id));
        }
    }
    let answer = site.ask(site.nomad[at], "GET", &format!("/v1/job/{id}"), "", "", secs(5.0));
    let job = answer.and_then(|a| Json::parse(a.1.as_bytes())).unwrap_or(Json::Null);
    let native_state = site.ask(site.users[at], "GET", &format!("/submissions/{native}"), "", "", secs(2.0));
    Ok(Some(format!(
        "{id} was scaled to 5 (200), {seen} of 5 tasks completed, its status is \"{}\", the native job's state is {}",
        job.get("Status").str(),
        native_state.map_or("unknown".into(), |a| a.1)
    )))
}

/// Tasks that the interface calls complete though no worker completed them.
fn never_ran(site: &Site, at: usize, id: &str) -> Option<String> {
    let all = allocations(site, at, id);
    let complete = all.iter().filter(|a| a.get("ClientStatus").str() == "complete");
    let stays = site.shared.stays.lock().unwrap().clone();
    let ran = |piece: &str| stays.iter().any(|s| s.piece == piece && matches!(s.to, Some((_, "done"))));
    let missing: Vec<String> =
        complete.filter_map(|a| piece_of(a.get("ID").str())).filter(|p| !ran(p)).collect();
    (!missing.is_empty())
        .then(|| format!("{id}: called complete, though no worker completed them: {}", missing.join(", ")))
}

fn allocations(site: &Site, at: usize, id: &str) -> Vec<Json> {
    site.ask(site.nomad[at], "GET", &format!("/v1/job/{id}/allocations"), "", "", secs(5.0))
        .and_then(|a| Json::parse(a.1.as_bytes()))
        .map_or(vec![], |j| j.arr().to_vec())
}

/// The task that an allocation's id names: its native job and its number.
fn piece_of(id: &str) -> Option<String> {
    let hex: Vec<u8> = id.bytes().filter(|b| *b != b'-').collect();
    let byte = |i: usize| u8::from_str_radix(std::str::from_utf8(hex.get(2 * i..2 * i + 2)?).ok()?, 16).ok();
    let number = |at: &[usize]| at.iter().try_fold(0u64, |n, i| Some(n << 8 | u64::from(byte(*i)?)));
    let (job, index) = (number(&[0, 1, 2, 3, 4, 5, 7, 9])?, number(&[10, 11, 12, 13])?);
    Some(format!("j-{job:06}/{index}"))
}
