//! The real program on loopback, against stand-ins for the outside systems.
use gorseshore_standins::net::{call, free_address, send_raw};
use gorseshore_standins::site::{Options, Site};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Running(Child);
impl Drop for Running {
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

fn program(args: &[&str]) -> Command {
    let mut c = Command::new(env!("CARGO_BIN_EXE_gorseshore"));
    c.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    c
}

/// Asks until `done` says so; fails after a minute.
fn until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(60), "{what}: not within a minute");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn serves_a_job_and_keeps_its_end() {
    let site = Site::start(&Options { controllers: 0, ..Options::default() }).unwrap();
    let (public, cluster) = (free_address().unwrap(), free_address().unwrap());
    site.set_worker_targets(&[public]);
    let text = settings(public, cluster, site.cloud_address, site.state_address);
    let file = std::env::temp_dir().join(format!("gorseshore-smoke-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let path = file.to_str().unwrap().to_owned();
    let run = || Running(program(&["--config", &path]).stderr(Stdio::null()).spawn().unwrap());
    let ready = || call(public, "GET", "/ready", "").is_some_and(|r| r.0 == 200);

    let node = run();
    until("ready", ready);
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
    until("types known", || {
        call(public, "POST", "/submissions", &unknown_team.to_string()).unwrap().0 == 422
    });
    let refused = |bytes: &[u8]| send_raw(public, bytes, Duration::from_secs(10)).unwrap().status;
    assert_eq!(refused(big.as_bytes()), 413);
    assert_eq!(refused(b"nonsense\r\n\r\n"), 400);

    until("accepted", || call(public, "POST", "/submissions", &job.to_string()).unwrap().0 == 201);
    let stage = || call(public, "GET", "/submissions/j-000001", "").map(|r| r.1["stage"].clone());
    until("done", || stage() == Some(json!("done")));

    // The end outlives the process, and a retry is answered whatever it says.
    drop(node);
    let _node = run();
    until("ready again", ready);
    assert_eq!(stage(), Some(json!("done")));
    let mut retry = job.clone();
    retry["pieces"] = json!(0);
    let (status, body) = call(public, "POST", "/submissions", &retry.to_string()).unwrap();
    assert_eq!((status, &body["stage"]), (200, &json!("done")));
    let (status, body) = call(public, "POST", "/submissions/j-000001/abort", "").unwrap();
    assert_eq!((status, &body["stage"]), (200, &json!("done")));
    let _ = std::fs::remove_file(file);
}

/// The real program ends and is started again at once, ten times and more; a
/// user's retry meets the new process, and one that starts while the last one
/// still holds the address waits for it.
#[test]
fn a_program_that_is_back_at_once_loses_nothing() {
    let site = Site::start(&Options { controllers: 0, ..Options::default() }).unwrap();
    let (public, cluster) = (free_address().unwrap(), free_address().unwrap());
    site.set_worker_targets(&[public]);
    let text = settings(public, cluster, site.cloud_address, site.state_address);
    let file = std::env::temp_dir().join(format!("gorseshore-blink-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let path = file.to_str().unwrap().to_owned();
    let run = || Running(program(&["--config", &path]).stderr(Stdio::null()).spawn().unwrap());
    let ready = || call(public, "GET", "/ready", "").is_some_and(|r| r.0 == 200);
    let job = |n: usize, kind: &str| {
        json!({"ref": format!("j-{n:06}"), "lot": "l", "crew": "t", "manner": kind, "rank": "standard",
            "pieces": 2, "cpus": 1, "gpus": 0, "memory_gb": 1, "bundle": "i", "image_gb": 0.1,
            "same_place": false, "apart": false, "loaners": false, "guess_s": 1, "mark_s": 0, "stow_s": 0})
        .to_string()
    };
    let mut node = run();
    until("ready", ready);
    until("accepted", || {
        call(public, "POST", "/submissions", &job(1, "standing")).is_some_and(|r| r.0 == 201)
    });
    let replicas = || site.running_tasks().iter().filter(|t| t.starts_with("j-000001/")).count();
    until("replicas run", || replicas() == 2);
    for (i, away) in [0, 20, 100, 300].into_iter().cycle().take(12).enumerate() {
        // In the middle of things: what is sent just before may or may not count.
        let n = 10 + i;
        let asked = std::thread::spawn(move || call(public, "POST", "/submissions", &job(n, "array")));
        drop(node);
        let _ = asked.join();
        std::thread::sleep(Duration::from_millis(away));
        let began = Instant::now();
        node = run();
        until("a retry is accepted", || {
            call(public, "POST", "/submissions", &job(n, "array")).is_some_and(|r| r.0 == 201 || r.0 == 200)
        });
        println!(
            "away for {away} ms: a retry was accepted {} ms after the start",
            began.elapsed().as_millis()
        );
        assert_eq!(replicas(), 2, "replicas went on");
    }
    // The next process is there before this one has ended.
    let next = run();
    std::thread::sleep(Duration::from_millis(200));
    drop(node);
    until("the next one is ready", ready);
    for n in 10..22 {
        let stage =
            || call(public, "GET", &format!("/submissions/j-{n:06}"), "").map(|r| r.1["stage"].clone());
        until("every job is done", || stage() == Some(json!("done")));
    }
    assert_eq!(replicas(), 2);
    drop(next);
    let _ = std::fs::remove_file(file);
}

/// Asks on an open connection; the status, 0 where it was closed.
fn ask(s: &mut TcpStream, head: &str, body: &str) -> u16 {
    let text = format!("{head} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut part = [0u8; 1024];
    let n = s.write_all(text.as_bytes()).and_then(|()| s.read(&mut part)).unwrap_or(0);
    let words = String::from_utf8_lossy(&part[..n]);
    words.split(' ').nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
}

/// Users hold every connection that may stay open, and more come: all workers are
/// answered and stay, and no user is left without an answer.
#[test]
fn workers_come_in_where_users_fill_all_connections() {
    let site = Site::start(&Options { controllers: 0, ..Options::default() }).unwrap();
    let (public, cluster) = (free_address().unwrap(), free_address().unwrap());
    let text = settings(public, cluster, site.cloud_address, site.state_address)
        + "[deployment.machine_limits]\nsockets = 200\n";
    let file = std::env::temp_dir().join(format!("gorseshore-crowd-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let _node =
        Running(program(&["--config", file.to_str().unwrap()]).stderr(Stdio::null()).spawn().unwrap());
    until("ready", || call(public, "GET", "/ready", "").is_some_and(|r| r.0 == 200));
    let open = || {
        let s = TcpStream::connect(public).unwrap();
        s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        s
    };
    let poll = |s: &mut TcpStream| ask(s, "GET /submissions/j-000777", "");
    // More than may stay: those that were idle for longest go.
    let mut users: Vec<TcpStream> = Vec::new();
    for _ in 0..180 {
        let mut s = open();
        assert_eq!(poll(&mut s), 404);
        users.push(s);
    }
    assert_eq!(poll(&mut users[179]), 404, "the newest stays");
    assert_eq!(poll(&mut users[0]), 0, "the oldest went");
    let report = |host: usize| {
        json!({"host": format!("host-{host:06}"), "addr": "127.0.0.1:9", "build": "small", "yard": "east",
            "loaners": false, "shift": 1, "tally": 1, "baton": 0, "warning_s": null, "pieces": []})
        .to_string()
    };
    // All at once, each on a connection of its own, twice; others come and go
    // meanwhile, and each gets an answer.
    let workers: Vec<_> = (0..60)
        .map(|i| {
            let body = report(i);
            std::thread::spawn(move || {
                let mut s = TcpStream::connect(public).unwrap();
                s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
                [0, 1].map(|_| ask(&mut s, "POST /checkin", &body))
            })
        })
        .collect();
    for _ in 0..100 {
        let status = poll(&mut open());
        assert!([404, 503].contains(&status), "a user: {status}");
    }
    for (i, w) in workers.into_iter().enumerate() {
        for status in w.join().unwrap() {
            assert!([200, 421].contains(&status), "worker {i}: {status}");
        }
    }
    let _ = std::fs::remove_file(file);
}

#[test]
fn settings_are_checked() {
    let a: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let good = settings(a, a, a, a);
    let dir = std::env::temp_dir();
    let platform = dir.join(format!("gorseshore-check-{}.toml", std::process::id()));
    let operator = dir.join(format!("gorseshore-check-{}.txtpb", std::process::id()));
    // (platform file, operators' file, words in the complaint; none if valid)
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
    for (p, o, words) in cases {
        std::fs::write(&platform, p).unwrap();
        std::fs::write(&operator, o).unwrap();
        let args = ["--config", platform.to_str().unwrap(), "--check", "--operator-config"];
        let out = program(&args).arg(&operator).output().unwrap();
        let err = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.success(), words.is_empty(), "{o}: {err}");
        for w in words {
            assert!(err.contains(w), "{w} is not in: {err}");
        }
    }
    let _ = (std::fs::remove_file(platform), std::fs::remove_file(operator));
}
