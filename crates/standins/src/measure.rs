//! Measures Nomad's interface against native submissions of the same work, on
//! a site on loopback, in one run.
use crate::net::{send_request, call};
use crate::site::{Options, Site, SiteError};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much is done.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests of each kind.
    pub requests: usize,
    /// Clients at a time.
    pub clients: usize,
    /// Queries that wait for a change at a time.
    pub waiters: usize,
}

const SETTINGS: &str = "nomad { max_waiters: 5000 class { name: \"all\" team: \"default\" type: \"batch\" \
    rank: \"high\" estimate_s: 1 max_count: 100 } }";

fn native(i: usize) -> Value {
    json!({"ref": format!("j-{:06}", 100 + i), "lot": "l", "crew": "default", "manner": "array", "rank": "high",
        "pieces": 1, "cpus": 0.5, "gpus": 0, "memory_gb": 0.25, "bundle": "i", "image_gb": 0.1,
        "same_place": false, "apart": false, "loaners": false, "guess_s": 1, "mark_s": 0, "stow_s": 0})
}

fn nomad(i: usize) -> Value {
    json!({"Job": {"ID": format!("load-{i}"), "Type": "batch", "TaskGroups": [{"Name": "g", "Count": 1,
        "Tasks": [{"Name": "t", "Driver": "exec", "Resources": {"CPU": 1000, "MemoryMB": 256}}]}]}})
}

/// Sends `n` requests from some clients; the rate, times and refusals.
fn drive(
    what: &str,
    load: &Load,
    to: &[SocketAddr],
    method: &'static str,
    path: &'static str,
    body: fn(usize) -> Value,
    good: fn(u16) -> bool,
) {
    let times = Arc::new(Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)));
    let (next, late) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let began = Instant::now();
    let clients: Vec<_> = (0..load.clients)
        .map(|c| {
            let (times, next, late) = (times.clone(), next.clone(), late.clone());
            let (to, n) = (to.to_vec(), load.requests);
            std::thread::spawn(move || {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    if i >= n {
                        return;
                    }
                    let text = body(i).to_string();
                    let sent = Instant::now();
                    // As users do: asked again until it is taken.
                    while !call(to[(c + i) % to.len()], method, path, &text).is_some_and(|r| good(r.0)) {
                        late.fetch_add(1, Ordering::Relaxed);
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    if let Ok(mut t) = times.lock()
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
    let spent = began.elapsed().as_secs_f64();
    if let Ok(t) = times.lock()
        && let Ok(t) = t.as_ref()
    {
        let ms = |q: f64| t.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "{what}: {:.1} a second, {:.1} ms in the middle, {:.1} ms at 99%, {} asked again",
            load.requests as f64 / spent,
            ms(0.5),
            ms(0.99),
            late.load(Ordering::Relaxed)
        );
    }
}

/// Memory of this process in KiB, from the system's own account.
fn memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Runs it and prints what it measured.
pub fn run(load: &Load, options: Options) -> Result<(), SiteError> {
    let site = Site::start(&Options { operator: SETTINGS.into(), ..options })?;
    if !site.wait_until_ready(Duration::from_secs(20)) {
        return Err(std::io::Error::other("the controllers were not ready within 20 s").into());
    }
    println!(
        "{} clients, {} requests of each kind, {} controllers",
        load.clients,
        load.requests,
        site.user_addresses.len()
    );
    drive("native submissions", load, &site.user_addresses, "POST", "/submissions", native, |s| s == 200 || s == 201);
    drive("Nomad registrations", load, &site.nomad_addresses, "PUT", "/v1/jobs", nomad, |s| s == 200);
    drive("the same again", load, &site.nomad_addresses, "PUT", "/v1/jobs", nomad, |s| s == 200);

    // Queries that wait at one controller for a job of which nothing runs.
    let a = site.nomad_addresses[0];
    let mut quiet = nomad(0);
    quiet["Job"]["ID"] = json!("quiet");
    quiet["Job"]["TaskGroups"][0]["Count"] = json!(0);
    call(a, "PUT", "/v1/jobs", &quiet.to_string());
    std::thread::sleep(Duration::from_secs(1));
    let index =
        send_request(a, "GET", "/v1/job/quiet/summary", "", "", Duration::from_secs(10)).map_or(0, |t| t.index);
    let before = memory_kib();
    let woken = Arc::new(AtomicUsize::new(0));
    let waiters: Vec<_> = (0..load.waiters)
        .filter_map(|_| {
            let woken = woken.clone();
            let path = format!("/v1/job/quiet/summary?index={index}&wait=60s");
            // Small stacks: the waiters' own memory is not what is measured.
            let thread = std::thread::Builder::new().stack_size(64 << 10);
            let wait = move || {
                if send_request(a, "GET", &path, "", "", Duration::from_secs(70)).is_some_and(|t| t.status == 200) {
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
