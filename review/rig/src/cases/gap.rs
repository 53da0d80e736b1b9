//! A zone with one controller is cut off, and the state service refuses that controller, while a
//! job of the zone is cancelled; then the state service is out, the others crash, and the cut ends.
use super::*;
use crate::site::kolkata;
use crate::worker::Profile;

/// The controller of saltlake, alone in its zone.
const ALONE: usize = 1;
const JOB: &str = "j-000001";

pub fn run(root: &Path, trouble: bool, record: &Record) -> Outcome {
    let mut plan = kolkata(&[("dispatch", 0.0, 0.0), ("florists", 0.0, 0.0)]);
    plan.cut_node = Some(ALONE);
    let cancel = secs(plan.cancel_s);
    on_site(root, &plan, record, |site| {
        if site.leader() == Some(ALONE) {
            // Another one is to lead.
            site.kill_node(ALONE);
            std::thread::sleep(secs(1.0));
            if let Err(e) = site.start_node(ALONE) {
                return Outcome::CouldNotRun(e.to_string());
            }
            if !site.wait_ready(secs(20.0)) || site.leader() == Some(ALONE) {
                return Outcome::CouldNotRun("no other controller leads".into());
            }
        }
        let profile = Profile {
            pieces: 1,
            cpus: 1.0,
            memory_gb: 2.1,
            bundle: "order-desk".into(),
            image_gb: 0.6,
            run: None,
            stow: None,
        };
        site.shared.profiles.lock().unwrap().insert(JOB.into(), profile);
        let body = format!(
            "{{\"ref\":\"{JOB}\",\"lot\":\"order-desk\",\"crew\":\"florists\",\"manner\":\"standing\",\"rank\":\"prod\",\"pieces\":1,\
             \"cpus\":1.0,\"gpus\":0.0,\"memory_gb\":2.1,\"bundle\":\"order-desk\",\"image_gb\":0.6,\"builds\":null,\"yard\":\"saltlake\",\
             \"same_place\":false,\"apart\":false,\"loaners\":false,\"guess_s\":0.0,\"mark_s\":0.0,\"stow_s\":0.0,\"due_s\":null}}"
        );
        let accepted = wait(secs(15.0), || {
            let answer = site.ask(site.users[0], "POST", "/submissions", "", &body, secs(5.0));
            std::thread::sleep(secs(0.3));
            answer.is_some_and(|a| matches!(a.0, 200 | 201))
        });
        if !accepted {
            return Outcome::CouldNotRun("the job was not accepted".into());
        }
        let on_machine = || stays(site, JOB).into_iter().find(|s| s.to.is_none()).map(|s| s.host);
        let holds = || {
            let host = on_machine()?;
            site.shared.reports_to.lock().unwrap().get(&host).copied()
        };
        // The machine's worker reports to the controller of its zone.
        if !wait(secs(40.0), || holds() == Some(ALONE)) {
            return Outcome::CouldNotRun(
                "the job's machine doesn't report to the controller of its zone".into(),
            );
        }
        std::thread::sleep(secs(3.0));
        let started = Instant::now();
        let at = |s: f64| std::thread::sleep((started + secs(s)).saturating_duration_since(Instant::now()));
        let others: Vec<usize> = (0..site.names.len()).filter(|n| *n != ALONE).collect();
        if trouble {
            site.partition(ALONE, true);
            site.state.refuse(ALONE, true);
            record.write(&format!(
                "the zones can't reach each other; the state service refuses {} alone",
                site.names[ALONE]
            ));
            at(2.5);
        }
        let mut told = None;
        for _ in 0..6 {
            let path = format!("/submissions/{JOB}/abort");
            let answer = site.ask(site.users[others[0]], "POST", &path, "", "", secs(5.0));
            if answer.is_some_and(|a| a.0 == 200 && a.1.contains("\"aborted\"")) {
                told = Some(Instant::now());
                break;
            }
            std::thread::sleep(secs(1.0));
        }
        let Some(told) = told else {
            return Outcome::CouldNotRun("the cancellation was not confirmed".into());
        };
        record.write("the user was told that the job is cancelled");
        if trouble {
            std::thread::sleep(secs(1.0));
            site.state.outage(true);
            record.write("the state service is out for everybody");
            std::thread::sleep(secs(2.0));
            others.iter().for_each(|n| site.kill_node(*n));
            std::thread::sleep(secs(5.0));
            for n in &others {
                if let Err(e) = site.start_node(*n) {
                    return Outcome::CouldNotRun(e.to_string());
                }
            }
            std::thread::sleep(secs(2.0));
            site.partition(ALONE, false);
            record.write(&format!(
                "the zones reach each other again, after {:.1} s",
                started.elapsed().as_secs_f64()
            ));
        }
        let limit = told + cancel;
        while Instant::now() < limit + secs(3.0) {
            std::thread::sleep(secs(3.0));
            record.write(&format!(
                "{:.1} s after the confirmation the task is on {:?}; its worker's last answer is of {:?}",
                told.elapsed().as_secs_f64(),
                on_machine(),
                holds().map(|n| &site.names[n])
            ));
        }
        let late: Vec<Stay> = stays(site, JOB)
            .into_iter()
            .filter(|s| s.to.is_none_or(|(t, _)| t > limit) || s.from > limit)
            .collect();
        if trouble {
            site.state.outage(false);
            site.state.refuse(ALONE, false);
            record.write("the state service is back");
            let gone = wait(secs(10.0), || on_machine().is_none());
            record.write(&format!("then the task is gone: {gone}"));
        }
        match late.first() {
            None => Outcome::Held,
            Some(s) => Outcome::Broken(format!(
                "ran_cancelled: {:.0} s after its user was told \"aborted\" {} was still on {}, and its worker's lease was renewed",
                plan.cancel_s, s.piece, s.host
            )),
        }
    })
}
