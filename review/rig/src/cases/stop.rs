//! A Nomad job is stopped while the state service refuses the leader alone; a second later it
//! is out for everybody, for longer than `cancel_s`.
use super::*;
use crate::site::kolkata;
use crate::worker::Profile;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut plan = kolkata(&[("dispatch", 0.0, 0.0), ("florists", 0.0, 0.0)]);
    plan.operator = Some(nomad_settings(""));
    let cancel = secs(plan.cancel_s);
    on_site(root, &plan, record, |site| {
        *site.shared.made.lock().unwrap() = Some(Profile {
            pieces: 100,
            cpus: 1.0,
            memory_gb: 1.0,
            bundle: "order-desk".into(),
            image_gb: 0.5,
            run: None,
            stow: None,
        });
        if !register(site, 0, "", &nomad_job("order-desk", "service", "desk", 4, "order-desk", vec![])) {
            return Outcome::CouldNotRun("the job was not accepted".into());
        }
        // A native service beside it, cancelled in the same moment, for comparison.
        if !submit(site, "j-000001", "florists", "standing", "prod", 2, 1.0, 1.0, 0.5, None) {
            return Outcome::CouldNotRun("the native job was not accepted".into());
        }
        let running = || site.shared.stays.lock().unwrap().iter().filter(|s| s.to.is_none()).count();
        if !wait(secs(30.0), || running() == 6) {
            return Outcome::CouldNotRun(format!("{} of 6 tasks run", running()));
        }
        std::thread::sleep(secs(3.0));
        let Some(leader) = site.leader() else { return Outcome::CouldNotRun("no leader".into()) };
        let other = (leader + 1) % site.names.len();
        let troubled = Instant::now();
        if trouble {
            site.state.refuse(leader, true);
            record.write(&format!("the state service refuses {} alone", site.names[leader]));
            std::thread::sleep(secs(0.4));
        }
        // The users cancel, at a controller that the state service serves.
        let native = {
            let site = site.clone();
            std::thread::spawn(move || {
                let answer =
                    site.ask(site.users[other], "POST", "/submissions/j-000001/abort", "", "", secs(5.0));
                (answer.is_some_and(|a| a.0 == 200), Instant::now())
            })
        };
        let answer = site.ask(site.nomad[other], "DELETE", "/v1/job/order-desk", "", "", secs(5.0));
        let told = Instant::now();
        let confirmed = answer.is_some_and(|a| a.0 == 200);
        let status = site
            .ask(site.nomad[other], "GET", "/v1/job/order-desk", "", "", secs(2.0))
            .and_then(|a| Json::parse(a.1.as_bytes()))
            .map_or(String::new(), |j| j.get("Status").str().to_owned());
        record.write(&format!("stop of the Nomad job: confirmed={confirmed}, its status is \"{status}\""));
        if trouble {
            std::thread::sleep(secs(1.0).saturating_sub(troubled.elapsed()));
            site.state.outage(true);
            site.state.refuse(leader, false);
            record.write("the state service is out for everybody");
        }
        let (native_told, native_at) = native.join().unwrap_or((false, Instant::now()));
        record.write(&format!("cancellation of the native job: confirmed={native_told}"));
        if !confirmed {
            if trouble {
                site.state.outage(false);
            }
            return Outcome::CouldNotRun("the stop was not confirmed".into());
        }
        std::thread::sleep((told + cancel + secs(3.0)).saturating_duration_since(Instant::now()));
        let late = |all: Vec<Stay>, told: Instant| -> Vec<String> {
            all.into_iter()
                .filter(|s| s.to.is_none_or(|(t, _)| t > told + cancel) || s.from > told + cancel)
                .map(|s| format!("{} on {}", s.piece, s.host))
                .collect()
        };
        let native_late = if native_told { late(stays(site, "j-000001"), native_at) } else { Vec::new() };
        let mut made_late = Vec::new();
        for job in made_jobs(site) {
            made_late.extend(late(stays(site, &job), told));
        }
        record.write(&format!(
            "{:.1} s after the confirmation there are: {made_late:?}, native: {native_late:?}",
            told.elapsed().as_secs_f64()
        ));
        if trouble {
            site.state.outage(false);
            record.write("the state service is back");
        }
        let gone =
            wait(secs(8.0), || made_jobs(site).iter().all(|j| stays(site, j).iter().all(|s| s.to.is_some())));
        record.write(&format!("after that, all tasks of the Nomad job ended: {gone}"));
        match (made_late.is_empty(), native_late.is_empty()) {
            (true, true) => Outcome::Held,
            _ => Outcome::Broken(format!(
                "ran_cancelled: {:.0} s after the answer 200 these were still on machines: {}",
                plan.cancel_s + 3.0,
                made_late.iter().chain(&native_late).cloned().collect::<Vec<_>>().join(", ")
            )),
        }
    })
}
