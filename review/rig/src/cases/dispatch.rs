//! A parameterized job is dispatched while a planner registers a changed version of it and the
//! state service answers slowly.
use super::*;
use crate::site::kolkata;
use crate::worker::Profile;

const ROUNDS: usize = 12;
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
            run: Some(secs(3.0)),
            stow: None,
        });
        let parameterized = |version: usize| {
            let rules = obj(vec![("Payload", s("optional")), ("MetaOptional", Json::Arr(vec![s("route")]))]);
            nomad_job(
                "route-on-demand",
                "batch",
                &format!("route-{version}"),
                1,
                "plan",
                vec![("ParameterizedJob", rules)],
            )
        };
        if !register(site, 0, "", &parameterized(0)) {
            return Outcome::CouldNotRun("the job was not accepted".into());
        }
        if trouble {
            for i in 0..site.names.len() {
                site.state.slow(i, secs(SLOW));
            }
            record.write("each answer of the state service takes 40 ms");
        }
        let mut children = Vec::new();
        for round in 1..=ROUNDS {
            // The planner's new version, whose group has another name, and a dispatch beside it.
            let planner = {
                let (site, job) = (site.clone(), parameterized(round));
                std::thread::spawn(move || register(&site, 0, "", &job))
            };
            std::thread::sleep(secs(if trouble { 0.015 * round as f64 } else { 1.0 }));
            let body = format!("{{\"Meta\":{{\"route\":\"{round}\"}}}}");
            let answer =
                site.ask(site.nomad[1], "POST", "/v1/job/route-on-demand/dispatch", "", &body, secs(10.0));
            if let Some((200, text)) = answer {
                let id = Json::parse(text.as_bytes())
                    .map_or(String::new(), |j| j.get("DispatchedJobID").str().to_owned());
                children.push(id);
            }
            if !planner.join().unwrap_or(false) {
                return Outcome::CouldNotRun("a version was not accepted".into());
            }
            std::thread::sleep(secs(0.5));
        }
        record.write(&format!("dispatched: {children:?}"));
        if children.is_empty() {
            return Outcome::CouldNotRun("no dispatch was accepted".into());
        }
        for i in 0..site.names.len() {
            site.state.slow(i, secs(0.0));
        }
        record.write("the state service answers at once");
        let status = |id: &str| {
            let path = format!("/v1/job/{}", id.replace('/', "%2F"));
            site.ask(site.nomad[2], "GET", &path, "", "", secs(5.0))
                .and_then(|a| Json::parse(a.1.as_bytes()))
                .map_or(String::new(), |j| j.get("Status").str().to_owned())
        };
        let mut left = children.clone();
        let limit = Instant::now() + secs(60.0);
        while Instant::now() < limit && !left.is_empty() {
            std::thread::sleep(secs(3.0));
            left.retain(|id| status(id) != "dead");
        }
        let done =
            site.shared.stays.lock().unwrap().iter().filter(|s| matches!(s.to, Some((_, "done")))).count();
        record.write(&format!("{} dispatched, {done} tasks completed, not over: {left:?}", children.len()));
        match left.is_empty() {
            true => Outcome::Held,
            false => Outcome::Broken(format!(
                "{} of {} dispatches that were answered 200 did not run within 60 s: {}",
                left.len(),
                children.len(),
                left.join(", ")
            )),
        }
    })
}
