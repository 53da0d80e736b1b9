//! Request validation at every controller, with the state service available and unavailable: jobs
//! that lack a field, have one of a wrong type or out of its range, or can never run; repeated
//! submissions and cancellations of known, ended and unknown jobs.
use super::*;

fn valid_job(j: u64) -> Value {
    json!({"ref": format!("j-{j:06}"), "lot": "odd", "crew": "free", "manner": "array", "rank": "high",
        "pieces": 2, "cpus": 0.5, "gpus": 0.0, "memory_gb": 0.5, "bundle": "i", "image_gb": 0.4,
        "builds": ["big"], "yard": "east", "same_place": false, "apart": false, "loaners": false,
        "guess_s": 3.0, "mark_s": 0.0, "stow_s": 0.0, "due_s": 900.0})
}

/// Sends a request to a controller and returns the status, and the stage if the answer has one.
fn send(w: &mut World, n: usize, method: &'static str, path: &str, body: &str) -> (u16, Option<String>) {
    w.consistency.direct_answer = None;
    w.request(n, method, path.into(), body.as_bytes().to_vec(), Requester::Direct);
    let until = w.now + 5 * S;
    while w.consistency.direct_answer.is_none() && w.now < until {
        w.run(w.now + 20 * MS);
    }
    let (status, body) = w.consistency.direct_answer.take().unwrap_or((0, Vec::new()));
    let v: Value = serde_json::from_slice(&body).unwrap_or_default();
    (status, v["stage"].as_str().map(str::to_owned))
}

/// A simulation without faults in which every controller has started.
fn started_world(nodes: usize) -> World {
    start_logger();
    let mut w = World::new(7, true, Size { nodes, jobs: 0, busy_until: 0, end_at: 600 * S, ..SMALL });
    w.run(20 * S);
    w
}

/// Field, value and expected status of invalid submissions; `None` removes the field.
fn invalid_fields() -> Vec<(&'static str, Option<Value>, u16)> {
    let mut all = Vec::new();
    let text = ["ref", "lot", "crew", "manner", "rank", "bundle"];
    let amounts = ["cpus", "gpus", "memory_gb", "image_gb", "guess_s", "mark_s", "stow_s"];
    let flags = ["same_place", "apart", "loaners"];
    for f in text.into_iter().chain(amounts).chain(flags).chain(["pieces"]) {
        all.push((f, None, 400));
        all.push((f, Some(Value::Null), 400));
        all.push((f, Some(json!([1])), 400));
        all.push((f, Some(json!({"a": 1})), 400));
    }
    for f in text {
        all.push((f, Some(json!(7)), 400));
        all.push((f, Some(json!("")), 400));
    }
    for f in amounts {
        all.push((f, Some(json!("4")), 400));
        all.push((f, Some(json!(-0.1)), 400));
        all.push((f, Some(json!(1e300)), 400));
    }
    for f in flags {
        all.push((f, Some(json!(1)), 400));
        all.push((f, Some(json!("true")), 400));
    }
    all.extend([
        ("ref", Some(json!("j-")), 400),
        ("ref", Some(json!("k-000412")), 400),
        ("ref", Some(json!("j-12345678901234567890")), 400),
        ("manner", Some(json!("ensemble")), 400),
        ("rank", Some(json!("urgent")), 400),
        ("pieces", Some(json!(0)), 400),
        ("pieces", Some(json!(-1)), 400),
        ("pieces", Some(json!(1.5)), 400),
        ("pieces", Some(json!(100_001)), 400),
        ("pieces", Some(json!(1u64 << 40)), 400),
        ("due_s", Some(json!(-1.0)), 400),
        ("due_s", Some(json!("soon")), 400),
        ("builds", Some(json!("big")), 400),
        ("builds", Some(json!([3])), 400),
        ("yard", Some(json!(3)), 400),
        // Well formed, but can never run.
        ("crew", Some(json!("nobody")), 422),
        ("cpus", Some(json!(17.0)), 422),
        ("gpus", Some(json!(1.0)), 422),
        ("memory_gb", Some(json!(100_000.0)), 422),
        ("builds", Some(json!(["huge"])), 422),
        ("builds", Some(json!([])), 422),
        ("yard", Some(json!("north")), 422),
    ]);
    all
}

#[test]
fn invalid_submissions_are_refused_and_known_jobs_never() {
    for nodes in [3, 7] {
        let mut w = started_world(nodes);
        // Known before the invalid submissions; two of them have ended.
        let known = [(900_001, "queued"), (900_002, "aborted"), (900_003, "done")];
        for (j, _) in known {
            assert_eq!(send(&mut w, 0, "POST", "/submissions", &valid_job(j).to_string()).0, 201);
        }
        let path = |j: u64, rest: &str| format!("/submissions/j-{j:06}{rest}");
        assert_eq!(send(&mut w, 1, "POST", &path(900_002, "/abort"), "").0, 200);
        let end = json!({"end": "done", "at": 1});
        let m = json!({"when": [], "writes": [{"put": "g/x/j-900003", "v": end}]}).to_string();
        w.state.request("POST", "/multi", m.as_bytes(), w.now);
        w.run(w.now + S);
        let texts = ["", "[]", "{", "null", "{}", "7", "\"x\"", "{\"ref\":\"j-000777\",\"cpus\":NaN}"];
        let mut failed = Vec::new();
        for state_unavailable in [false, true] {
            w.state.unavailable = state_unavailable;
            w.run(w.now + 3 * S);
            for n in 0..nodes {
                for (i, (field, value, expected)) in invalid_fields().into_iter().enumerate() {
                    // While the state service is unavailable, each invalid submission goes to few
                    // controllers: an answer takes long.
                    if state_unavailable && i % (4 * nodes) != n {
                        continue;
                    }
                    let mut s = valid_job(800_000 + (n * 1000 + i) as u64);
                    match &value {
                        Some(v) => s[field] = v.clone(),
                        None => drop(s.as_object_mut().unwrap().remove(field)),
                    }
                    let (actual, _) = send(&mut w, n, "POST", "/submissions", &s.to_string());
                    // The job may be a known one: no controller can tell while the state service is
                    // unavailable.
                    if actual != expected && !(state_unavailable && actual == 503) {
                        failed.push(format!(
                            "{field} {value:?} at {n}, state service unavailable {state_unavailable}: {actual}, not {expected}"
                        ));
                    }
                }
                for text in texts {
                    let (actual, _) = send(&mut w, n, "POST", "/submissions", text);
                    if actual != 400 && !(state_unavailable && actual == 503) {
                        failed.push(format!(
                            "{text} at {n}, state service unavailable {state_unavailable}: {actual}"
                        ));
                    }
                }
                // An invalid submission of a known job is answered with the known job's state.
                for (j, stage) in known {
                    for invalid in [
                        json!({"pieces": -1}),
                        json!({"crew": "nobody"}),
                        json!({"cpus": 1e9}),
                        json!({"awaits": 7}),
                        json!({"awaits": ["j-700000"]}),
                    ] {
                        let mut s = valid_job(j);
                        let o = invalid.as_object().unwrap();
                        o.iter().for_each(|(k, v)| s[k] = v.clone());
                        let (actual, reported) = send(&mut w, n, "POST", "/submissions", &s.to_string());
                        let over = stage != "queued";
                        let right = actual == 200 && reported.as_deref() == Some(stage);
                        if !(right || actual == 200 && !over || state_unavailable && !over && actual == 503) {
                            failed.push(format!(
                                "{stage} {invalid} at {n}, state service unavailable {state_unavailable}: {actual} {reported:?}"
                            ));
                        }
                    }
                    // A cancellation of an ended job is answered with how it ended.
                    if stage != "queued" {
                        let actual = send(&mut w, n, "POST", &path(j, "/abort"), "");
                        if actual != (200, Some(stage.into())) {
                            failed.push(format!(
                                "cancelling what is {stage} at {n}, state service unavailable {state_unavailable}: {actual:?}"
                            ));
                        }
                    }
                }
                for (rest, method) in [("", "GET"), ("/abort", "POST")] {
                    let (actual, _) = send(&mut w, n, method, &path(700_000, rest), "");
                    if actual != if state_unavailable { 503 } else { 404 } {
                        failed.push(format!(
                            "{method} of an unknown job at {n}, state service unavailable {state_unavailable}: {actual}"
                        ));
                    }
                }
            }
        }
        w.state.end_outage(w.now);
        w.run(w.now + 5 * S);
        // Nullable fields may be missing, and unknown fields are ignored.
        for (i, n) in (0..nodes).enumerate() {
            let mut s = valid_job(600_000 + i as u64);
            let o = s.as_object_mut().unwrap();
            ["builds", "yard", "due_s"].iter().for_each(|f| drop(o.remove(*f)));
            o.insert("later".into(), json!({"x": [1]}));
            let (actual, _) = send(&mut w, n, "POST", "/submissions", &s.to_string());
            if actual != 201 {
                failed.push(format!("without nullable fields, at {n}: {actual}"));
            }
        }
        assert!(failed.is_empty(), "{nodes} controllers, {}:\n{}", failed.len(), failed.join("\n"));
    }
}

const ACTIVE: u64 = 900_001;
const ABORTED: u64 = 900_002;
const DONE: u64 = 900_003;
const SERVICE: u64 = 900_004;
const UNKNOWN: u64 = 700_000;
/// About as many job ids as a request body holds.
const MAX_NAMES: u64 = 5_000;

fn name(j: u64) -> String {
    format!("j-{j:06}")
}

fn names(jobs: &[u64]) -> Value {
    json!(jobs.iter().map(|j| name(*j)).collect::<Vec<_>>())
}

/// Values of `awaits`, the jobs that a submission waits for, with the expected status; `None`
/// leaves the field out.
fn awaits_cases(own: u64) -> Vec<(Option<Value>, u16)> {
    let forms = [
        json!(""),
        json!(name(ACTIVE)),
        json!(7),
        json!(1.5),
        json!(true),
        json!({}),
        json!({"0": name(ACTIVE)}),
        json!([7]),
        json!([null]),
        json!([[name(ACTIVE)]]),
        json!([{"ref": name(ACTIVE)}]),
        json!([""]),
        json!(["j-"]),
        json!(["k-900001"]),
        json!(["j-900001 "]),
        json!(["j-12345678901234567890"]),
        json!([name(ACTIVE), 7]),
        json!([name(ACTIVE), "j-"]),
    ];
    let mut all: Vec<(Option<Value>, u16)> = forms.into_iter().map(|v| (Some(v), 400)).collect();
    let never: [&[u64]; 7] = [
        &[own],
        &[ACTIVE, own],
        &[UNKNOWN],
        &[UNKNOWN, UNKNOWN],
        &[ACTIVE, UNKNOWN],
        &[SERVICE],
        &[ACTIVE, SERVICE],
    ];
    all.extend(never.into_iter().map(|jobs| (Some(names(jobs)), 422)));
    let unknown: Vec<u64> = (0..MAX_NAMES).map(|i| UNKNOWN + i).collect();
    all.push((Some(names(&unknown)), 422));
    let known: [&[u64]; 7] =
        [&[], &[ACTIVE], &[ACTIVE, ACTIVE], &[ABORTED], &[DONE], &[DONE, ACTIVE], &[ACTIVE, DONE, ABORTED]];
    all.extend(known.into_iter().map(|jobs| (Some(names(jobs)), 201)));
    all.push((Some(names(&vec![ACTIVE; MAX_NAMES as usize])), 201));
    all.extend([(None, 201), (Some(Value::Null), 201)]);
    all
}

/// A simulation without faults with a queued or running job, a cancelled one, one that is done, and
/// a service.
fn world_with_known_jobs(size: Size) -> World {
    start_logger();
    let mut w = World::new(7, true, Size { jobs: 0, busy_until: 0, end_at: 900 * S, ..size });
    w.run(20 * S);
    for j in [ACTIVE, ABORTED, DONE] {
        assert_eq!(send(&mut w, 0, "POST", "/submissions", &valid_job(j).to_string()).0, 201);
    }
    let mut service = valid_job(SERVICE);
    service["manner"] = json!("standing");
    service["guess_s"] = json!(0.0);
    assert_eq!(send(&mut w, 0, "POST", "/submissions", &service.to_string()).0, 201);
    assert_eq!(send(&mut w, 1, "POST", &format!("/submissions/{}/abort", name(ABORTED)), "").0, 200);
    let end = json!({"end": "done", "at": 1});
    let m = json!({"when": [], "writes": [{"put": "g/x/j-900003", "v": end}]}).to_string();
    w.state.request("POST", "/multi", m.as_bytes(), w.now);
    w.run(w.now + S);
    w
}

#[test]
fn awaited_jobs_are_validated_at_every_controller() {
    for nodes in [3, 7] {
        let mut w = world_with_known_jobs(Size { nodes, ..SMALL });
        let mut failed = Vec::new();
        let mut accepted: Vec<(u64, Option<Value>)> = Vec::new();
        for state_unavailable in [false, true] {
            w.state.unavailable = state_unavailable;
            w.run(w.now + 3 * S);
            for n in 0..nodes {
                let rows = awaits_cases(0).len();
                for i in 0..rows {
                    if state_unavailable && i % (4 * nodes) != n {
                        continue;
                    }
                    let own = 800_000 + (state_unavailable as usize * 10_000 + n * 1000 + i) as u64;
                    let (value, expected) = awaits_cases(own).swap_remove(i);
                    let mut s = valid_job(own);
                    if let Some(v) = &value {
                        s["awaits"] = v.clone();
                    }
                    let (actual, _) = send(&mut w, n, "POST", "/submissions", &s.to_string());
                    if actual != expected && !(state_unavailable && actual == 503) {
                        let value = value.map_or(String::new(), |v| v.to_string().chars().take(60).collect());
                        failed.push(format!(
                            "{value} at {n}, state service unavailable {state_unavailable}: {actual}, not {expected}"
                        ));
                    } else if actual == 201 {
                        accepted.push((own, value));
                    }
                }
            }
        }
        w.state.end_outage(w.now);
        w.run(w.now + w.size.cancel_timeout);
        // A job that waits for a cancelled job is cancelled; a job that waits for others is queued.
        for (own, value) in accepted {
            let text = value.map_or(String::new(), |v| v.to_string());
            for n in 0..nodes {
                let (actual, stage) = send(&mut w, n, "GET", &format!("/submissions/{}", name(own)), "");
                let expected = if text.contains(&name(ABORTED)) { "aborted" } else { "queued" };
                let waits = text.contains(&name(ACTIVE)) || expected == "aborted";
                if actual != 200 || waits && stage.as_deref() != Some(expected) {
                    let text: String = text.chars().take(60).collect();
                    failed.push(format!("{text} at {n}: {actual} {stage:?}, not {expected}"));
                }
            }
        }
        assert!(failed.is_empty(), "{nodes} controllers, {}:\n{}", failed.len(), failed.join("\n"));
    }
}

/// A job accepted at one controller may be named at another one immediately afterwards.
#[test]
fn a_newly_accepted_job_is_known_to_all_controllers() {
    for nodes in [3, 7] {
        let mut w = world_with_known_jobs(Size { nodes, ..SMALL });
        let mut failed = Vec::new();
        let mut before = ACTIVE;
        for i in 0..60 {
            let (own, n) = (800_000 + i, (i as usize * 5 + 1) % nodes);
            let mut s = valid_job(own);
            s["awaits"] = names(&[before, ABORTED][..1 + (i == 59) as usize]);
            if i % 10 == 9 {
                w.state.compact();
            }
            let mut actual = 503;
            for _ in 0..10 {
                actual = send(&mut w, n, "POST", "/submissions", &s.to_string()).0;
                if actual != 503 {
                    break;
                }
                w.run(w.now + S);
            }
            if actual != 201 {
                failed.push(format!("{own} at {n}: {actual}"));
            }
            before = own;
        }
        assert!(failed.is_empty(), "{nodes} controllers, {}:\n{}", failed.len(), failed.join("\n"));
    }
}

/// A job that waits for as many different known jobs as a request body holds. With short values and
/// few writes per transaction not all of them fit: such a job is refused at every controller, and
/// nothing of it is stored.
#[test]
fn a_job_may_wait_for_thousands_of_jobs() {
    let roomy = Size { writes_per_s: 400.0, ..SMALL };
    let tight = Size { max_value_kib: 2.0, max_txn_writes: 4, ..roomy };
    // (limits of the state service, number of awaited jobs, accepted)
    let cases = [(roomy, MAX_NAMES, true), (tight, 600, true), (tight, MAX_NAMES, false)];
    for (size, count, accepted) in cases {
        let run_label = format!("{count} in {} KiB, {} at once", size.max_value_kib, size.max_txn_writes);
        let mut w = world_with_known_jobs(size);
        for i in 0..count {
            let mut s = valid_job(100_000 + i);
            s["awaits"] = names(&[ACTIVE]);
            w.request(
                (i % 3) as usize,
                "POST",
                "/submissions".into(),
                s.to_string().into_bytes(),
                Requester::Direct,
            );
            if i % 50 == 49 {
                w.run(w.now + 200 * MS);
            }
        }
        w.run(w.now + 5 * S);
        let jobs: Vec<u64> = (0..count).map(|i| 100_000 + i).collect();
        let mut s = valid_job(800_000);
        s["awaits"] = names(&jobs);
        let path = format!("/submissions/{}", name(800_000));
        if !accepted {
            for n in 0..3 {
                assert_eq!(
                    send(&mut w, n, "POST", "/submissions", &s.to_string()).0,
                    400,
                    "{run_label}, at {n}"
                );
                assert_eq!(send(&mut w, n, "GET", &path, "").0, 404, "{run_label}, at {n}");
            }
            continue;
        }
        let (actual, stage) = send(&mut w, 1, "POST", "/submissions", &s.to_string());
        assert_eq!((actual, stage.as_deref()), (201, Some("queued")), "{run_label}");
        let everywhere = |w: &mut World, expected: &str| {
            for n in 0..3 {
                let actual = send(w, n, "GET", &path, "");
                assert_eq!(actual, (200, Some(expected.to_owned())), "{run_label}, at {n}");
            }
        };
        everywhere(&mut w, "queued");
        (0..3).for_each(|n| w.terminate(n, 100 * MS));
        w.run(w.now + 30 * S);
        everywhere(&mut w, "queued");
        let (actual, _) = send(&mut w, 2, "POST", &format!("/submissions/{}/abort", name(ACTIVE)), "");
        assert_eq!(actual, 200, "{run_label}");
        w.run(w.now + w.size.cancel_timeout);
        everywhere(&mut w, "aborted");
    }
}
