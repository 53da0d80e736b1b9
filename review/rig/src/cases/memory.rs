//! Planners bring over their night jobs in Nomad's format; then all controllers crash and are started
//! again, on machines with the memory that the settings state.
use super::*;
use crate::site::kolkata;
use std::sync::atomic::{AtomicUsize, Ordering};

const JOBS: usize = 960;
/// Jobs without which the case says nothing.
const ENOUGH: usize = 900;
/// Bytes of notes in a job; with the rest its request stays below 64 KiB.
const NOTES: usize = 60_000;
/// "back about 5 s after an end"
const BACK: f64 = 5.0;

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut plan = kolkata(&[("dispatch", 0.0, 0.0), ("florists", 0.0, 0.0)]);
    plan.operator = Some(nomad_settings(""));
    on_site(root, &plan, record, |site| {
        site.watch_memory(plan.ram_mb, secs(BACK));
        if !submit(site, "j-000001", "florists", "standing", "prod", 2, 1.0, 1.0, 0.5, None) {
            return Outcome::CouldNotRun("the service was not accepted".into());
        }
        let (next, accepted) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let until = Instant::now() + secs(70.0);
        let planners: Vec<_> = (0..9)
            .map(|planner| {
                let (site, next, accepted) = (site.clone(), next.clone(), accepted.clone());
                std::thread::spawn(move || {
                    loop {
                        let k = next.fetch_add(1, Ordering::Relaxed);
                        if k >= JOBS {
                            return;
                        }
                        let job = night_job(k).to_string();
                        while Instant::now() < until {
                            let at = site.nomad[planner % site.nomad.len()];
                            let answer = crate::http::call(at, "PUT", "/v1/jobs", "", &job, secs(10.0));
                            if answer.is_some_and(|a| a.0 == 200) {
                                accepted.fetch_add(1, Ordering::Relaxed);
                                break;
                            }
                            std::thread::sleep(secs(0.3));
                        }
                    }
                })
            })
            .collect();
        planners.into_iter().for_each(|t| drop(t.join()));
        let accepted = accepted.load(Ordering::Relaxed);
        let memory = || -> Vec<String> {
            let held = |i| site.memory_mb(i).map_or("not running".into(), |m| format!("{m:.1} MB"));
            (0..site.names.len()).map(held).collect()
        };
        record.write(&format!(
            "{accepted} night jobs of {NOTES} bytes accepted (200), memory held: {:?}",
            memory()
        ));
        if accepted < ENOUGH {
            return Outcome::CouldNotRun(format!("{accepted} of {ENOUGH} jobs accepted in time"));
        }
        if trouble {
            (0..site.names.len()).for_each(|i| site.kill_node(i));
            std::thread::sleep(secs(BACK));
            for i in 0..site.names.len() {
                if let Err(e) = site.start_node(i) {
                    return Outcome::CouldNotRun(e.to_string());
                }
            }
        }
        // Ten seconds to start; then users ask, for 20 s.
        std::thread::sleep(secs(10.0));
        let (mut answered, mut asked) = (0, 0);
        for _ in 0..20 {
            for at in &site.users {
                let answer = site.ask(*at, "GET", "/submissions/j-000001", "", "", secs(2.0));
                answered += answer.is_some_and(|a| a.0 == 200) as u32;
                asked += 1;
            }
            record.write(&format!("memory held: {:?}", memory()));
            std::thread::sleep(secs(1.0));
        }
        let ends = site.memory_ends();
        record.write(&format!("{answered} of {asked} questions answered, ends for memory: {ends}"));
        match ends {
            0 if answered > 0 => Outcome::Held,
            0 => Outcome::CouldNotRun("no question was answered, though no controller ended".into()),
            _ => Outcome::Broken(format!(
                "after all controllers had crashed once, they were ended for memory {ends} times within 30 s, and {answered} of {asked} questions about an accepted job were answered"
            )),
        }
    })
}

/// A job that is launched at three in the morning.
fn night_job(k: usize) -> Json {
    let periodic =
        obj(vec![("Enabled", Json::Bool(true)), ("SpecType", s("cron")), ("Spec", s("0 3 * * *"))]);
    let notes = obj(vec![("notes", s(&format!("{k:05} ").repeat(NOTES / 6)))]);
    nomad_job(&format!("night-{k}"), "batch", "g", 1, "plan", vec![("Periodic", periodic), ("Meta", notes)])
}
