//! The program on loopback, against test doubles of the external systems.
use gorseshore_standins::net::{call, free_address, send_raw};
use gorseshore_standins::site::{Options, Site};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct RunningProcess(Child);
impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn settings(public: SocketAddr, cluster: SocketAddr, cloud: SocketAddr, state: SocketAddr) -> String {
    format!(
        "host_name = \"n0\"\ndomain = \"east\"\npublic_addr = \"{public}\"\ncluster_listen = \"{cluster}\"\n\
         later = 1\n[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[deployment]\nzones = [\"east\", \"west\"]\n\
         [[deployment.teams]]\nname = \"t\"\n[deployment.workers]\nreport_s = 2.0\nlease_s = 12.0\n\
         cancel_s = 30.0\n[deployment.state]\nrps = 200.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 8\n\
         [deployment.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n"
    )
}

fn gorseshore(args: &[&str]) -> Command {
    let mut c = Command::new(env!("CARGO_BIN_EXE_gorseshore"));
    c.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    c
}

/// Polls until `condition` holds; fails after a minute.
fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(60), "{description}: not within a minute");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn job_runs_and_its_end_survives_a_restart() {
    let site = Site::start(&Options { controllers: 0, ..Options::default() }).unwrap();
    let (public, cluster) = (free_address().unwrap(), free_address().unwrap());
    site.set_worker_targets(&[public]);
    let text = settings(public, cluster, site.cloud_address, site.state_address);
    let file = std::env::temp_dir().join(format!("gorseshore-smoke-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let path = file.to_str().unwrap().to_owned();
    let start = || RunningProcess(gorseshore(&["--config", &path]).stderr(Stdio::null()).spawn().unwrap());
    let ready = || call(public, "GET", "/ready", "").is_some_and(|r| r.0 == 200);

    let node = start();
    wait_until("ready", ready);
    let job = json!({"ref":"j-000001","lot":"l","crew":"t","manner":"array","rank":"standard","pieces":3,
        "cpus":1,"gpus":0,"memory_gb":1,"bundle":"i","image_gb":0.1,"same_place":false,"apart":false,
        "loaners":false,"guess_s":1,"mark_s":0,"stow_s":0});
    let mut unknown_team = job.clone();
    unknown_team["crew"] = json!("x");
    unknown_team["ref"] = json!("j-000002");
    let big = format!("POST /submissions HTTP/1.1\r\nContent-Length: {}\r\n\r\n", 70_000);
    // (request, status)
    let cases = [
        (("GET", "/submissions/j-000001", String::new()), 404),
        (("GET", "/submissions/nonsense", String::new()), 404),
        (("GET", "/submissions/j-1000000000000000001", String::new()), 404),
        (("POST", "/submissions/j-1000000000000000001/abort", String::new()), 404),
        (("GET", "/elsewhere", String::new()), 404),
        (("DELETE", "/submissions", String::new()), 405),
        (("POST", "/submissions", "{".into()), 400),
        (("POST", "/checkin", "{}".into()), 400),
    ];
    for ((method, path, body), status) in cases {
        assert_eq!(call(public, method, path, &body).map(|r| r.0), Some(status), "{method} {path}");
    }
    wait_until("machine types known", || {
        call(public, "POST", "/submissions", &unknown_team.to_string()).unwrap().0 == 422
    });
    let raw_status = |bytes: &[u8]| send_raw(public, bytes, Duration::from_secs(10)).unwrap().status;
    assert_eq!(raw_status(big.as_bytes()), 413);
    assert_eq!(raw_status(b"nonsense\r\n\r\n"), 400);

    wait_until("accepted", || call(public, "POST", "/submissions", &job.to_string()).unwrap().0 == 201);
    let stage = || call(public, "GET", "/submissions/j-000001", "").map(|r| r.1["stage"].clone());
    wait_until("done", || stage() == Some(json!("done")));

    // The job's end survives a restart; a retry of its submission is answered whatever its content.
    drop(node);
    let _node = start();
    wait_until("ready again", ready);
    assert_eq!(stage(), Some(json!("done")));
    let mut retry = job.clone();
    retry["pieces"] = json!(0);
    let (status, body) = call(public, "POST", "/submissions", &retry.to_string()).unwrap();
    assert_eq!((status, &body["stage"]), (200, &json!("done")));
    let (status, body) = call(public, "POST", "/submissions/j-000001/abort", "").unwrap();
    assert_eq!((status, &body["stage"]), (200, &json!("done")));
    let _ = std::fs::remove_file(file);
}

/// The program is killed and restarted 12 times, 0 to 300 ms later, while a user submits jobs:
/// a retry is accepted by the new process, no job is lost, and the replicas keep running. A
/// process that starts while the previous one still holds the address waits for it.
#[test]
fn quick_restarts_lose_no_job() {
    let site = Site::start(&Options { controllers: 0, ..Options::default() }).unwrap();
    let (public, cluster) = (free_address().unwrap(), free_address().unwrap());
    site.set_worker_targets(&[public]);
    let text = settings(public, cluster, site.cloud_address, site.state_address);
    let file = std::env::temp_dir().join(format!("gorseshore-restart-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let path = file.to_str().unwrap().to_owned();
    let start = || RunningProcess(gorseshore(&["--config", &path]).stderr(Stdio::null()).spawn().unwrap());
    let ready = || call(public, "GET", "/ready", "").is_some_and(|r| r.0 == 200);
    let job = |n: usize, kind: &str| {
        json!({"ref": format!("j-{n:06}"), "lot": "l", "crew": "t", "manner": kind, "rank": "standard",
            "pieces": 2, "cpus": 1, "gpus": 0, "memory_gb": 1, "bundle": "i", "image_gb": 0.1,
            "same_place": false, "apart": false, "loaners": false, "guess_s": 1, "mark_s": 0, "stow_s": 0})
        .to_string()
    };
    let mut node = start();
    wait_until("ready", ready);
    wait_until("accepted", || {
        call(public, "POST", "/submissions", &job(1, "standing")).is_some_and(|r| r.0 == 201)
    });
    let replicas = || site.running_tasks().iter().filter(|t| t.starts_with("j-000001/")).count();
    wait_until("replicas run", || replicas() == 2);
    for (i, downtime_ms) in [0, 20, 100, 300].into_iter().cycle().take(12).enumerate() {
        // A submission sent just before the process is killed may or may not take effect.
        let n = 10 + i;
        let submission = std::thread::spawn(move || call(public, "POST", "/submissions", &job(n, "array")));
        drop(node);
        let _ = submission.join();
        std::thread::sleep(Duration::from_millis(downtime_ms));
        let started = Instant::now();
        node = start();
        wait_until("a retry is accepted", || {
            call(public, "POST", "/submissions", &job(n, "array")).is_some_and(|r| r.0 == 201 || r.0 == 200)
        });
        println!(
            "down for {downtime_ms} ms: a retry was accepted {} ms after the start",
            started.elapsed().as_millis()
        );
        assert_eq!(replicas(), 2, "replicas keep running");
    }
    // The next process starts before this one ends.
    let next = start();
    std::thread::sleep(Duration::from_millis(200));
    drop(node);
    wait_until("the next process is ready", ready);
    for n in 10..22 {
        let stage =
            || call(public, "GET", &format!("/submissions/j-{n:06}"), "").map(|r| r.1["stage"].clone());
        wait_until("every job is done", || stage() == Some(json!("done")));
    }
    assert_eq!(replicas(), 2);
    drop(next);
    let _ = std::fs::remove_file(file);
}

/// Sends a request on an open connection. Returns the status, 0 if the connection was closed.
fn request(s: &mut TcpStream, head: &str, body: &str) -> u16 {
    let text = format!("{head} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut buf = [0u8; 1024];
    let n = s.write_all(text.as_bytes()).and_then(|()| s.read(&mut buf)).unwrap_or(0);
    let response = String::from_utf8_lossy(&buf[..n]);
    response.split(' ').nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
}

/// Users hold every connection that may stay open, and more users connect: all workers get
/// responses and keep their connections, and every user gets a response.
#[test]
fn workers_are_admitted_while_users_hold_all_connections() {
    let site = Site::start(&Options { controllers: 0, ..Options::default() }).unwrap();
    let (public, cluster) = (free_address().unwrap(), free_address().unwrap());
    let text = settings(public, cluster, site.cloud_address, site.state_address)
        + "[deployment.machine_limits]\nsockets = 200\n";
    let file = std::env::temp_dir().join(format!("gorseshore-connections-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let _node = RunningProcess(
        gorseshore(&["--config", file.to_str().unwrap()]).stderr(Stdio::null()).spawn().unwrap(),
    );
    wait_until("ready", || call(public, "GET", "/ready", "").is_some_and(|r| r.0 == 200));
    let open = || {
        let s = TcpStream::connect(public).unwrap();
        s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        s
    };
    let poll = |s: &mut TcpStream| request(s, "GET /submissions/j-000777", "");
    // More connections than may stay open: those that were idle for longest are evicted.
    let mut users: Vec<TcpStream> = Vec::new();
    for _ in 0..180 {
        let mut s = open();
        assert_eq!(poll(&mut s), 404);
        users.push(s);
    }
    assert_eq!(poll(&mut users[179]), 404, "the newest connection stays open");
    assert_eq!(poll(&mut users[0]), 0, "the oldest connection is closed");
    let report = |host: usize| {
        json!({"host": format!("host-{host:06}"), "addr": "127.0.0.1:9", "build": "small", "yard": "east",
            "loaners": false, "shift": 1, "tally": 1, "baton": 0, "warning_s": null, "pieces": []})
        .to_string()
    };
    // All workers report at once, each twice on a connection of its own. Users connect and
    // disconnect meanwhile, and each gets a response.
    let workers: Vec<_> = (0..60)
        .map(|i| {
            let body = report(i);
            std::thread::spawn(move || {
                let mut s = TcpStream::connect(public).unwrap();
                s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
                [0, 1].map(|_| request(&mut s, "POST /checkin", &body))
            })
        })
        .collect();
    for _ in 0..100 {
        let status = poll(&mut open());
        assert!([404, 503].contains(&status), "user: {status}");
    }
    for (i, w) in workers.into_iter().enumerate() {
        for status in w.join().unwrap() {
            assert!([200, 421].contains(&status), "worker {i}: {status}");
        }
    }
    let _ = std::fs::remove_file(file);
}

#[test]
fn settings_are_validated() {
    let a: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let good = settings(a, a, a, a);
    let dir = std::env::temp_dir();
    let platform = dir.join(format!("gorseshore-check-{}.toml", std::process::id()));
    let operator = dir.join(format!("gorseshore-check-{}.txtpb", std::process::id()));
    // (platform file, operators' file, texts expected in the error; none if valid)
    let cases = [
        (good.clone(), "", vec![]),
        (good.clone(), include_str!("../docs/operator.example.txtpb"), vec![]),
        (good.replace("127.0.0.1:9", "nowhere"), "", vec!["public_addr", "endpoints.state"]),
        (good.replace("lease_s = 12.0", "lease_s = -1.0"), "", vec!["deployment.workers.lease_s"]),
        (good.replace("zones =", "clock_off_ms = -1.0\nzones ="), "", vec!["deployment.clock_off_ms"]),
        (good.replace("host_name", "hostname"), "", vec!["host_name"]),
        (good.clone(), "block_lease_ms: 1", vec!["block_lease_ms"]),
        (good.clone(), "task_cost: 1\n  colour: 3", vec!["line 2, column 3", "colour"]),
        (good, "team_weight { team: \"t\" weight: -2 }", vec!["team_weight[0]"]),
    ];
    for (platform_text, operator_text, expected_texts) in cases {
        std::fs::write(&platform, platform_text).unwrap();
        std::fs::write(&operator, operator_text).unwrap();
        let args = ["--config", platform.to_str().unwrap(), "--check", "--operator-config"];
        let out = gorseshore(&args).arg(&operator).output().unwrap();
        let err = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.success(), expected_texts.is_empty(), "{operator_text}: {err}");
        for expected in expected_texts {
            assert!(err.contains(expected), "{expected} is not in: {err}");
        }
    }
    let _ = (std::fs::remove_file(platform), std::fs::remove_file(operator));
}
