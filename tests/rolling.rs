//! Rolling update of controllers that run as processes of given programs, while jobs run.
use gorseshore_standins::net::call;
use gorseshore_standins::site::{Options, Site, SiteError};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(60);

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "{description}: not within a minute");
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// A rolling update of all controllers while an array job and a service run: no replica of the
/// service is restarted, the array completes, and every controller reports it as done.
#[test]
fn jobs_keep_running_during_a_rolling_update_of_the_controllers() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_gorseshore"));
    let programs: BTreeMap<usize, PathBuf> = (0..3).map(|i| (i, program.clone())).collect();
    let site = Site::start(&Options { programs, ..Options::default() }).unwrap();
    assert!(site.wait_until_ready(LIMIT), "not ready");
    let job = |number: u32, kind: &str, seconds: u32| {
        json!({"ref": format!("j-{number:06}"), "lot": "l", "crew": "default", "manner": kind,
            "rank": "standard", "pieces": 3, "cpus": 1, "gpus": 0, "memory_gb": 1, "bundle": "i",
            "image_gb": 0.1, "same_place": false, "apart": false, "loaners": false, "guess_s": seconds,
            "mark_s": 0, "stow_s": 0})
        .to_string()
    };
    let submit = |to: usize, body: &str| {
        wait_until("accepted", || {
            call(site.user_addresses[to], "POST", "/submissions", body)
                .is_some_and(|r| matches!(r.0, 200 | 201))
        });
    };
    submit(0, &job(1, "standing", 0));
    submit(1, &job(2, "array", 40));
    let mut replicas = Vec::new();
    wait_until("replicas run", || {
        replicas = site.running_tasks().into_iter().filter(|t| t.starts_with("j-000001/")).collect();
        replicas.len() == 3
    });
    for controller in 0..3 {
        site.replace_controller(controller, &program).unwrap();
        // Another controller serves users meanwhile, and this one does again within LIMIT.
        submit((controller + 1) % 3, &job(10 + controller as u32, "array", 1));
        assert!(site.wait_until_controller_ready(controller, LIMIT).is_some(), "controller {controller}");
        let running = site.running_tasks();
        assert!(replicas.iter().all(|t| running.contains(t)), "{replicas:?} in {running:?}");
    }
    for number in [2, 10, 11, 12] {
        for user in &site.user_addresses {
            wait_until("done on every controller", || {
                call(*user, "GET", &format!("/submissions/j-{number:06}"), "")
                    .is_some_and(|r| r.1["stage"] == "done")
            });
        }
    }
}

#[test]
fn update_of_a_controller_without_a_process_or_program_is_rejected() {
    let site = Site::start(&Options { controllers: 1, ..Options::default() }).unwrap();
    let missing_program = Path::new("/nothing/there");
    for controller in [0, 7] {
        assert!(
            matches!(site.replace_controller(controller, missing_program), Err(SiteError::NoProcess(n)) if n == controller)
        );
    }
    let programs = BTreeMap::from([(0, missing_program.to_owned())]);
    let started = Site::start(&Options { controllers: 1, programs, ..Options::default() });
    let error = started.err();
    assert!(matches!(error, Some(SiteError::Program { .. })), "{error:?}");
}
