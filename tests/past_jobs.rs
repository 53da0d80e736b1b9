//! Memory of the real program with many past jobs in the state service.
#![cfg(target_os = "linux")]
use gorseshore_core::jobs::{cancelled_value, job_value, keys};
use gorseshore_protocol::ids::JobId;
use gorseshore_protocol::users::parse_submission;
use gorseshore_standins::net::{call, free_address};
use gorseshore_standins::site::{Options, Site};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Jobs of a deployment's day.
const PAST_JOBS: u64 = 66_240;
/// Id of the first past job.
const FIRST: u64 = 100_000;
const LIMIT: Duration = Duration::from_secs(60);
/// Resident memory that a controller may take with any number of past jobs, during its start too.
const MAX_MB: f64 = 14.0;
/// Starts of the program for each measurement.
const STARTS: usize = 5;
/// How much more it may be than without past jobs.
const MAX_GROWTH_MB: f64 = 1.0;

/// The program, its address and its settings file.
struct Controller {
    process: Child,
    users: SocketAddr,
    settings: PathBuf,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Controller {
    fn start(site: &Site) -> Controller {
        let (users, cluster) = (free_address().unwrap(), free_address().unwrap());
        let text = format!(
            "host_name = \"n0\"\ndomain = \"east\"\npublic_addr = \"{users}\"\ncluster_listen = \"{cluster}\"\n\
             [endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n[deployment]\nzones = [\"east\", \"west\"]\n\
             [[deployment.teams]]\nname = \"t\"\n[deployment.workers]\nreport_s = 2.0\nlease_s = 12.0\n\
             cancel_s = 30.0\n[deployment.state]\nrps = 200.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 8\n\
             [deployment.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n",
            site.cloud_address, site.state_address
        );
        let settings = std::env::temp_dir().join(format!("gorseshore-past-jobs-{}.toml", std::process::id()));
        std::fs::write(&settings, text).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_gorseshore"))
            .arg("--config")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let controller = Controller { process, users, settings };
        let start = Instant::now();
        while call(users, "GET", "/ready", "").is_none_or(|r| r.0 != 200) {
            assert!(start.elapsed() < LIMIT, "not ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        controller
    }

    /// The most memory that was resident since the start, in MB.
    fn peak_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1024.0
    }

    /// Checks the answer about a past job; the one after the last was never accepted.
    fn check_past_job(&self, id: u64) {
        let (status, body) = call(self.users, "GET", &format!("/submissions/{}", JobId(id)), "").unwrap();
        if id >= FIRST + PAST_JOBS {
            return assert_eq!(status, 404, "{id}");
        }
        let (stage, done) = if id % 4 < 2 { ("aborted", 0) } else { ("done", 3) };
        assert_eq!((status, &body["stage"], &body["done"]), (200, &json!(stage), &json!(done)), "{id}");
    }
}

/// The rows of past jobs: arrays that are done, services and arrays that were cancelled.
fn past_rows(jobs: u64) -> impl Iterator<Item = (String, Value)> {
    (FIRST..FIRST + jobs).flat_map(|id| {
        let service = id % 4 == 0;
        let body = json!({"ref": JobId(id).to_string(), "lot": "route-batch", "crew": "t",
            "manner": if service { "standing" } else { "array" }, "rank": "standard", "pieces": 3, "cpus": 1,
            "gpus": 0, "memory_gb": 1, "bundle": "img-07", "image_gb": 0.5, "same_place": false,
            "apart": false, "loaners": false, "guess_s": 1, "mark_s": 0, "stow_s": 0});
        let spec = parse_submission(body.to_string().as_bytes()).unwrap();
        let end = match id % 4 {
            0 | 1 => cancelled_value(1_700_000_000_000, None, true),
            _ => json!({"end": "done", "at": 1_700_000_000_000u64}),
        };
        [(keys::job(spec.id), job_value(&spec, 1_700_000_000_000)), (keys::end(spec.id), end)]
    })
}

/// Guards against memory that grows with the number of jobs that were ever accepted: one day's past
/// jobs once took 53 MB in each controller, which the platform killed for ever.
#[test]
fn past_jobs_take_no_memory_and_are_answered() {
    let site = Site::start(&Options { controllers: 0, ..Options::default() }).unwrap();
    let without = typical_peak_mb(&site, &[]);
    site.insert_past_keys(past_rows(PAST_JOBS));
    let with = typical_peak_mb(
        &site,
        &[FIRST, FIRST + 1, FIRST + 2, FIRST + PAST_JOBS / 2, FIRST + PAST_JOBS - 1, FIRST + PAST_JOBS],
    );
    println!("{without:.1} MB without past jobs, {with:.1} MB with {PAST_JOBS}");
    assert!(with < MAX_MB, "{with:.1} MB with {PAST_JOBS} past jobs, of {MAX_MB}");
    assert!(
        with - without < MAX_GROWTH_MB,
        "{with:.1} MB with {PAST_JOBS} past jobs, {without:.1} MB without"
    );
}

/// The median of the peaks of several starts: the number of resident pages of the program's file
/// varies by half a MB. Each controller is asked for these jobs.
fn typical_peak_mb(site: &Site, jobs: &[u64]) -> f64 {
    let mut peaks: Vec<f64> = (0..STARTS)
        .map(|_| {
            let controller = Controller::start(site);
            jobs.iter().for_each(|id| controller.check_past_job(*id));
            controller.peak_mb()
        })
        .collect();
    peaks.sort_by(f64::total_cmp);
    peaks[STARTS / 2]
}
