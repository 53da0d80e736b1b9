//! Nomad API against controllers on loopback.
use gorseshore_protocol::job::Kind;
use gorseshore_standins::net::{Response, send_request};
use gorseshore_standins::site::{Options, Site};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("../deploy/nomad.txtpb");

fn start_site(options: Options) -> Site {
    let s = Site::start(&options).unwrap();
    assert!(s.wait_until_ready(Duration::from_secs(30)), "not ready");
    s
}

fn options() -> Options {
    Options { operator: SETTINGS.into(), time_scale: 0.01, ..Options::default() }
}

fn get(a: SocketAddr, path: &str) -> Response {
    send_request(a, "GET", path, "", "", Duration::from_secs(30))
        .unwrap_or_else(|| panic!("GET {path}: no response"))
}

fn send(a: SocketAddr, method: &str, path: &str, body: &Value) -> Response {
    send_request(a, method, path, "", &body.to_string(), Duration::from_secs(40))
        .unwrap_or_else(|| panic!("{method} {path}: no response"))
}

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(40), "{description}: not within 40 s");
        std::thread::sleep(Duration::from_millis(30));
    }
}

fn job(id: &str, kind: &str, count: u32, image: &str) -> Value {
    json!({"Job": {"ID": id, "Name": id, "Type": kind, "TaskGroups": [{"Name": "g", "Count": count,
        "RestartPolicy": {"Attempts": 1, "Mode": "fail"}, "ReschedulePolicy": {"Attempts": 0, "Unlimited": kind == "service"},
        "Tasks": [{"Name": "t", "Driver": "docker", "Config": {"image": image},
            "Resources": {"CPU": 1000, "MemoryMB": 256}}]}]}})
}

fn status(a: SocketAddr, id: &str) -> Value {
    get(a, &format!("/v1/job/{id}")).json()["Status"].clone()
}

fn summary(a: SocketAddr, id: &str) -> Value {
    get(a, &format!("/v1/job/{id}/summary")).json()["Summary"]["g"].clone()
}

/// Jobs are registered, watched, scaled, replaced, stopped, purged and dispatched through the
/// Nomad API, and invalid requests are rejected, on any controller.
#[test]
fn job_lifecycle_through_the_nomad_api() {
    let s = start_site(options());
    let (a, b) = (s.nomad_addresses[0], s.nomad_addresses[1]);
    wait_until("machine types known", || {
        let t = send(a, "PUT", "/v1/jobs", &job("first", "batch", 2, "i"));
        assert!(t.status == 200 || t.status == 503, "{} {}", t.status, t.text());
        t.status == 200
    });
    wait_until("first completes", || status(b, "first") == "dead");
    assert_eq!(summary(b, "first")["Complete"], 2);

    // A service is visible at once on another controller; registering it unchanged has no effect.
    let web = job("web", "service", 2, "i");
    let t = send(a, "PUT", "/v1/jobs", &web);
    assert_eq!(t.status, 200, "{}", t.text());
    let index = t.json()["JobModifyIndex"].as_u64().unwrap();
    let again = send(b, "PUT", "/v1/jobs", &web);
    assert_eq!(again.json()["JobModifyIndex"].as_u64(), Some(index), "{}", again.text());
    wait_until("web runs", || summary(b, "web")["Running"] == 2);
    assert_eq!(s.running_tasks().len(), 2);

    // EnforceIndex rejects a stale index; errors have the form of the Nomad API.
    let mut stale = job("web", "service", 3, "i");
    stale["EnforceIndex"] = json!(true);
    stale["JobModifyIndex"] = json!(index - 1);
    let t = send(b, "PUT", "/v1/jobs", &stale);
    assert!(t.status == 409 && t.text().contains("Enforcing job modify index"), "{} {}", t.status, t.text());
    let cases = [
        ("PUT", "/v1/jobs", job("many", "service", 4100, "i"), 400, "class service allows 40"),
        ("PUT", "/v1/jobs", json!({"Job": {"ID": "x", "Type": "system", "TaskGroups": []}}), 400, "system"),
        ("GET", "/v1/job/nothing", json!(null), 404, "not found"),
        ("GET", "/v1/nothing", json!(null), 404, "no such path"),
        ("GET", "/v1/acl/tokens", json!(null), 501, "operators' file"),
        ("DELETE", "/v1/jobs", json!(null), 405, "method"),
        ("GET", "/v1/jobs?index=x", json!(null), 400, "index"),
        ("GET", "/v1/jobs?per_page=0", json!(null), 400, "per_page"),
        ("POST", "/v1/job/web/scale", json!({"Target": {"Group": "none"}, "Count": 1}), 400, "no group"),
        ("POST", "/v1/job/web/scale", json!({"Target": {"Group": "g"}, "Count": 41}), 400, "allows 40"),
        ("POST", "/v1/job/web/dispatch", json!({}), 400, "not parameterized"),
        ("POST", "/v1/jobs/parse", json!({"JobHCL": "job \"x\" {"}), 400, "1:"),
    ];
    for (method, path, body, expected, expected_text) in cases {
        let t = send(a, method, path, &body);
        assert!(
            t.status == expected && t.text().contains(expected_text),
            "{method} {path}: {} {}",
            t.status,
            t.text()
        );
    }

    // Scaling changes the job in place: scaling out keeps the running tasks.
    let before = s.running_tasks();
    assert_eq!(
        send(b, "POST", "/v1/job/web/scale", &json!({"Target": {"Group": "g"}, "Count": 4})).status,
        200
    );
    wait_until("web has four", || summary(a, "web")["Running"] == 4);
    assert!(before.iter().all(|t| s.running_tasks().contains(t)), "the first two tasks keep running");
    assert_eq!(
        send(a, "POST", "/v1/job/web/scale", &json!({"Target": {"Group": "g"}, "Count": 1})).status,
        200
    );
    wait_until("web has one", || s.running_tasks().len() == 1);

    // Another image makes another version, which starts after the old task is terminated.
    let old = s.running_tasks();
    assert_eq!(send(a, "PUT", "/v1/jobs", &job("web", "service", 1, "i2")).status, 200);
    wait_until("replaced", || {
        let now = s.running_tasks();
        assert!(now.len() <= 1, "{now:?}");
        now.len() == 1 && now != old
    });
    let versions = get(b, "/v1/job/web/versions").json();
    assert!(versions["Versions"].as_array().unwrap().len() >= 3, "{versions}");

    // Stop, then purge.
    assert_eq!(send(b, "DELETE", "/v1/job/web", &json!(null)).status, 200);
    assert_eq!(status(a, "web"), "dead");
    wait_until("nothing runs", || s.running_tasks().is_empty());
    assert_eq!(send(b, "DELETE", "/v1/job/web?purge=true", &json!(null)).status, 200);
    wait_until("purged", || get(a, "/v1/job/web").status == 404);

    // A batch job that used up its attempts has failed for good.
    assert_eq!(send(a, "PUT", "/v1/jobs", &job("bad", "batch", 1, "fails")).status, 200);
    wait_until("failed", || summary(b, "bad")["Failed"] == 1);
    let failed_job = get(b, "/v1/job/bad").json();
    assert_eq!(failed_job["Status"], "dead");
    assert!(
        failed_job["StatusDescription"].as_str().unwrap().contains("task 0 failed 2 times"),
        "{failed_job}"
    );

    // Dispatch checks payload and metadata, and dispatches once for an idempotency token.
    let mut param = job("param", "batch", 1, "i");
    param["Job"]["ParameterizedJob"] = json!({"Payload": "forbidden", "MetaRequired": ["route"]});
    assert_eq!(send(a, "PUT", "/v1/jobs", &param).status, 200);
    let dispatch = |body: Value| send(b, "POST", "/v1/job/param/dispatch", &body);
    for (body, expected_text) in [
        (json!({}), "Meta.route: is required"),
        (json!({"Meta": {"route": "1", "x": "y"}}), "Meta.x"),
        (json!({"Meta": {"route": "1"}, "Payload": "aGk="}), "forbidden"),
    ] {
        let t = dispatch(body);
        assert!(
            t.status == 400 && t.text().contains(expected_text),
            "{expected_text}: {} {}",
            t.status,
            t.text()
        );
    }
    let once = json!({"Meta": {"route": "7"}, "IdempotencyToken": "t1"});
    let first = dispatch(once.clone());
    assert_eq!(first.status, 200, "{}", first.text());
    let child = first.json()["DispatchedJobID"].as_str().unwrap().to_owned();
    let second = send(a, "POST", "/v1/job/param/dispatch", &once);
    assert_eq!(second.json()["DispatchedJobID"], json!(child), "{}", second.text());
    let path = child.replace('/', "%2F");
    wait_until("dispatched job completes", || status(a, &path) == "dead");
    assert_eq!(get(a, &format!("/v1/job/{path}")).json()["Meta"]["route"], "7");

    // Lists support prefixes and pages; allocations refer to their job.
    let all = get(a, "/v1/jobs").json();
    let ids: Vec<&str> = all.as_array().unwrap().iter().map(|j| j["ID"].as_str().unwrap()).collect();
    assert_eq!(ids, ["bad", "first", "param", &child]);
    assert_eq!(get(b, "/v1/jobs?prefix=par").json().as_array().unwrap().len(), 2);
    assert_eq!(get(b, "/v1/jobs?per_page=3").json().as_array().unwrap().len(), 3);
    let allocs = get(a, "/v1/job/first/allocations").json();
    let alloc_id = allocs[0]["ID"].as_str().unwrap();
    assert_eq!(get(b, &format!("/v1/allocation/{alloc_id}")).json()["JobID"], "first");
    assert_eq!(get(b, "/v1/allocation/00000000-0000-8000-8000-000000000000").status, 404);
    for path in [
        "/v1/nodes",
        "/v1/namespaces",
        "/v1/regions",
        "/v1/status/leader",
        "/v1/agent/self",
        "/v1/agent/health",
        "/v1/evaluations",
    ] {
        assert_eq!(get(b, path).status, 200, "{path}");
    }
    // Native requests can neither submit nor cancel the ids of Nomad jobs, but can query them.
    let nomad_id =
        s.state_keys("g/j/").first().and_then(|k| k.strip_prefix("g/j/").map(str::to_owned)).unwrap();
    let native =
        |method: &str, path: String, body: &Value| send(s.user_addresses[0], method, &path, body).status;
    let native_job = json!({"ref": nomad_id, "lot":"l","crew":"default","manner":"array","rank":"standard","pieces":1,
        "cpus":1,"gpus":0,"memory_gb":1,"bundle":"i","image_gb":0.1,"same_place":false,"apart":false,
        "loaners":false,"guess_s":1,"mark_s":0,"stow_s":0});
    assert_eq!(native("POST", "/submissions".into(), &native_job), 400);
    assert_eq!(native("POST", format!("/submissions/{nomad_id}/abort"), &json!(null)), 404);
    assert_eq!(native("GET", format!("/submissions/{nomad_id}"), &json!(null)), 200);
}

/// A blocking query waits for a change, misses none, and its index never decreases, on any
/// controller; an event stream reports each change.
#[test]
fn blocking_queries_wait_and_streams_report_changes() {
    let s = start_site(options());
    let a = s.nomad_addresses[0];
    wait_until("registered", || send(a, "PUT", "/v1/jobs", &job("one", "service", 1, "i")).status == 200);
    let mut index = get(a, "/v1/jobs").index;
    assert!(index > 0);
    // Without a change the query ends at its wait time, with an index that is not lower.
    wait_until("one runs", || summary(a, "one")["Running"] == 1);
    let unchanged = get(a, "/v1/job/one/summary").index;
    let began = Instant::now();
    let t = get(s.nomad_addresses[1], &format!("/v1/job/one/summary?index={unchanged}&wait=1s"));
    assert!(t.status == 200 && t.index >= unchanged, "{} {unchanged}", t.index);
    assert!(began.elapsed() < Duration::from_secs(8));
    // Each change ends the query, on any controller.
    let mut stream = TcpStream::connect(s.nomad_addresses[2]).unwrap();
    stream.write_all(b"GET /v1/event/stream?topic=Job HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    for i in 0..6 {
        let reader = s.nomad_addresses[i % 3];
        let from = index;
        let waiting =
            std::thread::spawn(move || get(reader, &format!("/v1/jobs?index={from}&wait=20s&prefix=more")));
        std::thread::sleep(Duration::from_millis(100));
        let t = send(
            s.nomad_addresses[(i + 1) % 3],
            "PUT",
            "/v1/jobs",
            &job(&format!("more-{i}"), "batch", 1, "i"),
        );
        assert_eq!(t.status, 200, "{}", t.text());
        let mut changed = waiting.join().unwrap();
        assert!(changed.index >= from, "{} after {from}", changed.index);
        // Another change may have ended the query: query again.
        let began = Instant::now();
        while changed.json().as_array().unwrap().len() <= i {
            assert!(began.elapsed() < Duration::from_secs(20));
            let next = get(reader, &format!("/v1/jobs?index={}&wait=5s&prefix=more", changed.index));
            assert!(next.index >= changed.index);
            changed = next;
        }
        index = changed.index;
    }
    let mut text = String::new();
    let mut chunk = [0u8; 4096];
    while !(0..6).all(|i| text.contains(&format!("\"Key\":\"more-{i}\""))) {
        let n = stream.read(&mut chunk).expect("the stream stays open");
        assert!(n > 0, "the stream ended: {text}");
        text.push_str(&String::from_utf8_lossy(&chunk[..n]));
    }
}

/// Three controllers register the same job concurrently with different content: each accepted
/// registration is a version of its own, the last one holds, and only its tasks keep running.
/// While the state service is down requests get 503, and accepted jobs are kept.
#[test]
fn concurrent_registrations_and_state_outage() {
    let s = start_site(options());
    wait_until("registered", || {
        send(s.nomad_addresses[0], "PUT", "/v1/jobs", &job("race", "service", 1, "i")).status == 200
    });
    let threads: Vec<_> = (0..9u32)
        .map(|i| {
            let a = s.nomad_addresses[i as usize % 3];
            std::thread::spawn(move || {
                send(a, "PUT", "/v1/jobs", &job("race", "service", 1 + i % 4, &format!("i{i}")))
            })
        })
        .collect();
    let responses: Vec<Response> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    let accepted: Vec<u64> = responses
        .iter()
        .filter(|t| t.status == 200)
        .filter_map(|t| t.json()["JobModifyIndex"].as_u64())
        .collect();
    assert!(!accepted.is_empty());
    for t in &responses {
        assert!(matches!(t.status, 200 | 503), "{} {}", t.status, t.text());
    }
    // Every accepted registration is a version of its own, and the last one holds.
    let mut distinct = accepted.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), accepted.len());
    let now = get(s.nomad_addresses[2], "/v1/job/race").json();
    assert_eq!(now["JobModifyIndex"].as_u64(), accepted.iter().max().copied());
    assert_eq!(now["Version"].as_u64(), Some(accepted.len() as u64));
    let expected = now["TaskGroups"][0]["Count"].as_u64().unwrap();
    wait_until("only the last version runs", || {
        summary(s.nomad_addresses[0], "race")["Running"].as_u64() == Some(expected)
            && s.running_tasks().len() as u64 == expected
    });

    s.set_state_unavailable(true);
    std::thread::sleep(Duration::from_millis(200));
    for (method, path, body) in [
        ("PUT", "/v1/jobs", job("down", "batch", 1, "i")),
        ("GET", "/v1/jobs", json!(null)),
        ("DELETE", "/v1/job/race", json!(null)),
        ("POST", "/v1/job/race/scale", json!({"Target": {"Group": "g"}, "Count": 2})),
    ] {
        let t = send(s.nomad_addresses[0], method, path, &body);
        assert_eq!(t.status, 503, "{method} {path}: {}", t.text());
    }
    s.set_state_unavailable(false);
    wait_until("registered after the outage", || {
        send(s.nomad_addresses[0], "PUT", "/v1/jobs", &job("up", "batch", 1, "i")).status == 200
    });
    assert_eq!(get(s.nomad_addresses[1], "/v1/job/race").json()["Version"], now["Version"]);
}

/// A job that exceeds the limits of a value and of a transaction is stored as parts first and
/// its head last, so that it is registered in one step; parts that no head names are ignored.
/// It reads back whole. A job over the size limit is rejected.
#[test]
fn job_longer_than_a_transaction_is_registered_in_one_step() {
    let s = start_site(Options { max_value_kib: 4.0, max_txn_writes: 8, writes_per_s: 60.0, ..options() });
    let mut long = job("long", "batch", 2, "i");
    long["Job"]["Meta"] = json!({"text": "é\"\\\n".repeat(4000)});
    wait_until("registered", || {
        let t = send(s.nomad_addresses[0], "PUT", "/v1/jobs", &long);
        assert!(matches!(t.status, 200 | 503), "{} {}", t.status, t.text());
        t.status == 200
    });
    let parts = s.state_keys("g/n/p/").len();
    assert!(parts > 8, "{parts} parts");
    let back = get(s.nomad_addresses[1], "/v1/job/long").json();
    assert!(back["Meta"]["text"] == long["Job"]["Meta"]["text"], "the stored job equals the registered one");
    wait_until("completed", || status(s.nomad_addresses[2], "long") == "dead");
    long["Job"]["Meta"]["text"] = json!("x".repeat(300_000));
    let t = send(s.nomad_addresses[0], "PUT", "/v1/jobs", &long);
    assert!(t.status == 400 && t.text().contains("at most"), "{} {}", t.status, t.text());
}

/// A token allows access to the jobs of its team only.
#[test]
fn tokens_allow_access_to_their_teams_jobs_only() {
    use gorseshore_nomad::service::tokens::hash;
    let tokens = format!(
        "token {{ team: \"default\" hash: \"{}\" }} token {{ team: \"other\" hash: \"{}\" }}",
        hash(&[7; 16], "mine"),
        hash(&[8; 16], "theirs")
    );
    let operator = SETTINGS.replacen("nomad {", &format!("nomad {{ {tokens}"), 1);
    let s = start_site(Options { operator, controllers: 1, ..options() });
    let a = s.nomad_addresses[0];
    let with = |token: &str, method: &str, path: &str, body: &Value| {
        let head = if token.is_empty() { String::new() } else { format!("X-Nomad-Token: {token}\r\n") };
        send_request(a, method, path, &head, &body.to_string(), Duration::from_secs(20)).unwrap()
    };
    wait_until("registered", || with("mine", "PUT", "/v1/jobs", &job("j", "service", 1, "i")).status == 200);
    let cases = [
        ("", "GET", "/v1/jobs", 403),
        ("wrong", "GET", "/v1/jobs", 403),
        ("mine", "GET", "/v1/job/j", 200),
        ("theirs", "GET", "/v1/job/j", 404),
        ("theirs", "DELETE", "/v1/job/j", 404),
        ("theirs", "PUT", "/v1/jobs", 403),
        ("", "GET", "/v1/status/leader", 200),
        ("", "GET", "/v1/agent/health", 200),
    ];
    for (token, method, path, expected) in cases {
        assert_eq!(
            with(token, method, path, &job("j", "service", 2, "i")).status,
            expected,
            "{token} {method} {path}"
        );
    }
    assert_eq!(with("theirs", "GET", "/v1/jobs", &json!(null)).json(), json!([]));
}

/// Every accepted sample file, registered through the Nomad API, ends like the native job of
/// the same specification.
#[test]
fn samples_end_like_native_jobs() {
    let s = start_site(Options { time_scale: 0.005, ..options() });
    let a = s.nomad_addresses[0];
    wait_until("machine types known", || {
        send(a, "PUT", "/v1/jobs", &job("warm", "batch", 1, "i")).status == 200
    });
    let dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("crates/nomad/samples");
    let mut files: Vec<_> = std::fs::read_dir(dir).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    let operator = gorseshore_settings::Operator::parse(SETTINGS).unwrap().nomad.unwrap();
    let known = gorseshore_nomad::translate::Site::from_settings(&operator);
    let (mut samples, mut number, mut pairs) = (0, 100, Vec::new());
    for file in files {
        let source = std::fs::read_to_string(&file).unwrap();
        let judgement = gorseshore_nomad::validate(&source, &Default::default(), &operator, &known);
        let Some(job) = judgement.job.as_ref().filter(|_| judgement.accepted()) else { continue };
        let mut api_job = gorseshore_nomad::service::records::api_job(job);
        // A periodic or parameterized job is tested as the job that it launches.
        api_job["Periodic"] = Value::Null;
        api_job["ParameterizedJob"] = Value::Null;
        let t = send(a, "PUT", "/v1/jobs", &json!({ "Job": api_job }));
        assert_eq!(t.status, 200, "{file:?}: {}", t.text());
        samples += 1;
        for p in judgement.groups.iter().filter(|p| p.spec.tasks > 0) {
            let x = &p.spec;
            number += 1;
            let native = json!({"ref": format!("j-{number:06}"), "lot": x.class, "crew": x.team, "manner": x.kind,
                "rank": x.priority, "pieces": x.tasks, "cpus": x.task_resources.cpu as f64 / 1000.0, "gpus": 0,
                "memory_gb": x.task_resources.mem as f64 / 1000.0, "bundle": x.image, "image_gb": x.image_gb,
                "builds": x.machine_types, "yard": null, "same_place": false, "apart": x.spread, "loaners": x.spot,
                "guess_s": x.estimated_runtime_s, "mark_s": x.checkpoint_interval_s, "stow_s": x.checkpoint_save_s});
            let t = send(s.user_addresses[0], "POST", "/submissions", &native);
            assert!(t.status == 201, "{file:?}: {} {}", t.status, t.text());
            pairs.push((job.id.clone(), p.group.clone(), x.tasks, number, x.kind));
        }
    }
    assert!(samples >= 16, "{samples} samples");
    for (id, group, tasks, number, kind) in pairs {
        let mut last = String::new();
        wait_until(&format!("{id} {group}"), || {
            let native = get(s.user_addresses[1], &format!("/submissions/j-{number:06}")).json();
            let own =
                get(s.nomad_addresses[1], &format!("/v1/job/{id}/summary")).json()["Summary"][&group].clone();
            last = format!("{native} {own}");
            let ended = native["stage"] == "done" && own["Complete"] == tasks;
            let running = native["running"] == tasks && own["Running"] == tasks;
            match kind {
                Kind::Array => ended,
                Kind::Service => running,
            }
        });
        println!("{id} {group}: {last}");
    }
}
