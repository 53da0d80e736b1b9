//! Compares Nomad's interface with native submissions of the same work, in one run
//! on a loopback site.
use crate::net::{call, send_request};
use crate::site::{Options, Site, SiteError};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Load of a measurement.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests of each kind.
    pub requests: usize,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Number of concurrent blocking queries.
    pub waiters: usize,
}

const OPERATOR_SETTINGS: &str = "nomad { max_waiters: 5000 class { name: \"all\" team: \"default\" type: \"batch\" \
    rank: \"high\" estimate_s: 1 max_count: 100 } }";

fn native_job(i: usize) -> Value {
    json!({"ref": format!("j-{:06}", 100 + i), "lot": "l", "crew": "default", "manner": "array", "rank": "high",
        "pieces": 1, "cpus": 0.5, "gpus": 0, "memory_gb": 0.25, "bundle": "i", "image_gb": 0.1,
        "same_place": false, "apart": false, "loaners": false, "guess_s": 1, "mark_s": 0, "stow_s": 0})
}

fn nomad_job(i: usize) -> Value {
    json!({"Job": {"ID": format!("load-{i}"), "Type": "batch", "TaskGroups": [{"Name": "g", "Count": 1,
        "Tasks": [{"Name": "t", "Driver": "exec", "Resources": {"CPU": 1000, "MemoryMB": 256}}]}]}})
}

/// Sends the requests from the concurrent clients; prints rate, latencies and retries.
fn run_clients(
    label: &str,
    load: &Load,
    controllers: &[SocketAddr],
    method: &'static str,
    path: &'static str,
    body: fn(usize) -> Value,
    accepted: fn(u16) -> bool,
) {
    let latencies = Arc::new(Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)));
    let (next, retries) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let start = Instant::now();
    let clients: Vec<_> = (0..load.clients)
        .map(|c| {
            let (latencies, next, retries) = (latencies.clone(), next.clone(), retries.clone());
            let (controllers, n) = (controllers.to_vec(), load.requests);
            std::thread::spawn(move || {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    if i >= n {
                        return;
                    }
                    let text = body(i).to_string();
                    let sent = Instant::now();
                    // Retries until the request is accepted, as users do.
                    while !call(controllers[(c + i) % controllers.len()], method, path, &text)
                        .is_some_and(|r| accepted(r.0))
                    {
                        retries.fetch_add(1, Ordering::Relaxed);
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    if let Ok(mut t) = latencies.lock()
                        && let Ok(t) = t.as_mut()
                    {
                        t.saturating_record(sent.elapsed().as_micros() as u64);
                    }
                }
            })
        })
        .collect();
    for c in clients {
        let _ = c.join();
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    if let Ok(t) = latencies.lock()
        && let Ok(t) = t.as_ref()
    {
        let ms = |q: f64| t.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{label}: {:.1} a second, {:.1} ms in the middle, {:.1} ms at 99%, {} asked again",
            load.requests as f64 / elapsed_s,
            ms(0.5),
            ms(0.99),
            retries.load(Ordering::Relaxed)
        );
    }
}

/// Resident memory of this process in KiB, from `/proc/self/status`.
fn memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Runs the measurement and prints its results.
pub fn run(load: &Load, options: Options) -> Result<(), SiteError> {
    let site = Site::start(&Options { operator: OPERATOR_SETTINGS.into(), ..options })?;
    if !site.wait_until_ready(Duration::from_secs(20)) {
        return Err(std::io::Error::other("the controllers were not ready within 20 s").into());
    }
    println!(
        "{} clients, {} requests of each kind, {} controllers",
        load.clients,
        load.requests,
        site.user_addresses.len()
    );
    run_clients("native submissions", load, &site.user_addresses, "POST", "/submissions", native_job, |s| {
        s == 200 || s == 201
    });
    run_clients("Nomad registrations", load, &site.nomad_addresses, "PUT", "/v1/jobs", nomad_job, |s| {
        s == 200
    });
    run_clients("the same again", load, &site.nomad_addresses, "PUT", "/v1/jobs", nomad_job, |s| s == 200);

    // Blocking queries at one controller for a job without tasks.
    let a = site.nomad_addresses[0];
    let mut idle_job = nomad_job(0);
    idle_job["Job"]["ID"] = json!("quiet");
    idle_job["Job"]["TaskGroups"][0]["Count"] = json!(0);
    call(a, "PUT", "/v1/jobs", &idle_job.to_string());
    std::thread::sleep(Duration::from_secs(1));
    let index = send_request(a, "GET", "/v1/job/quiet/summary", "", "", Duration::from_secs(10))
        .map_or(0, |t| t.index);
    let before = memory_kib();
    let woken = Arc::new(AtomicUsize::new(0));
    let waiters: Vec<_> = (0..load.waiters)
        .filter_map(|_| {
            let woken = woken.clone();
            let path = format!("/v1/job/quiet/summary?index={index}&wait=60s");
            // Small stacks, so that the client threads add little to the measured memory.
            let thread = std::thread::Builder::new().stack_size(64 << 10);
            let wait = move || {
                if send_request(a, "GET", &path, "", "", Duration::from_secs(70))
                    .is_some_and(|t| t.status == 200)
                {
                    woken.fetch_add(1, Ordering::Relaxed);
                }
            };
            thread.spawn(wait).ok()
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let waiting = load.waiters - woken.load(Ordering::Relaxed);
    let during = memory_kib();
    let changed = Instant::now();
    call(a, "DELETE", "/v1/job/quiet", "");
    for w in waiters {
        let _ = w.join();
    }
    println!(
        "{waiting} of {} queries waited, {} KiB more for each (with its client's thread), all {} answered {:.0} ms after the change",
        load.waiters,
        during.saturating_sub(before) / load.waiters.max(1) as u64,
        woken.load(Ordering::Relaxed),
        changed.elapsed().as_secs_f64() * 1000.0
    );
    Ok(())
}
