//! The project's own job files, and the table of the specification, walked.
use gorseshore_nomad::table::{ROWS, Row, Shape, Verdict, last, markdown};
use gorseshore_nomad::translate::{Site, rank};
use gorseshore_nomad::tree::Severity;
use gorseshore_nomad::{Inputs, Judgement, judge};
use gorseshore_protocol::job::{Kind, Priority};
use gorseshore_settings::{Nomad, Operator};
use proptest::prelude::*;
use serde_json::{Value, json};
use std::path::PathBuf;

fn settings() -> Nomad {
    let text = include_str!("../../../deploy/nomad.txtpb");
    Operator::parse(text).unwrap().nomad.unwrap()
}

fn site(n: &Nomad) -> Site {
    Site { teams: vec!["default".into()], ..Site::described(n) }
}

fn judged(source: &str, inputs: &Inputs) -> Judgement {
    let n = settings();
    judge(source, inputs, &n, &site(&n))
}

fn sample(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("samples").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{name}: {e}"))
}

#[test]
fn samples_are_accepted_as_they_are_meant() {
    // (file, class, groups: name, count, thousandths of a CPU, rank, attempts)
    type Group = (&'static str, u32, u64, Priority, Option<u32>);
    let cases: [(&str, &str, &[Group]); 16] = [
        ("01-service.nomad.hcl", "service", &[("api", 3, 2000, Priority::Production, None)]),
        ("02-batch.nomad.hcl", "night", &[("recompute", 50, 4000, Priority::Low, Some(6))]),
        ("03-variables.nomad.hcl", "service", &[("desk", 4, 1000, Priority::Production, None)]),
        (
            "04-dynamic.nomad.hcl",
            "batch",
            &[
                ("plan-howrah", 3, 50, Priority::High, Some(8)),
                ("plan-saltlake", 2, 50, Priority::High, Some(8)),
            ],
        ),
        ("05-heredoc.nomad.hcl", "batch", &[("report", 1, 50, Priority::High, Some(8))]),
        ("06-constraints.nomad.hcl", "service", &[("model", 2, 6000, Priority::Production, None)]),
        ("07-periodic.nomad.hcl", "night", &[("copy", 1, 50, Priority::Normal, Some(8))]),
        ("08-parameterized.nomad.hcl", "batch", &[("route", 1, 500, Priority::High, Some(8))]),
        (
            "09-groups.nomad.hcl",
            "service",
            &[
                ("front", 4, 50, Priority::Production, None),
                ("back", 2, 250, Priority::Production, None),
                ("spare", 0, 50, Priority::Production, None),
            ],
        ),
        ("10-warnings.nomad.hcl", "service", &[("web", 2, 50, Priority::Production, None)]),
        ("11-api.json", "service", &[("api", 2, 750, Priority::Production, None)]),
        ("12-file.json", "night", &[("work", 12, 1000, Priority::Normal, Some(4))]),
        ("13-bare.json", "batch", &[("g", 3, 50, Priority::High, Some(8))]),
        ("14-expressions.nomad.hcl", "batch", &[("g", 2, 600, Priority::High, Some(8))]),
        ("15-zero.nomad.hcl", "night", &[("work", 0, 50, Priority::Normal, Some(8))]),
        ("16-low.nomad.hcl", "batch", &[("sweep", 2, 100, Priority::Low, Some(8))]),
    ];
    for (file, class, groups) in cases {
        let j = judged(&sample(file), &Inputs::default());
        assert!(j.accepted() && j.exit_code() == 0, "{file}: {:?}", j.faults.list);
        assert_eq!(j.class.as_deref(), Some(class), "{file}");
        let got: Vec<Group> = j
            .groups
            .iter()
            .map(|p| {
                (&*p.group, p.spec.tasks, p.spec.task_resources.cpu, p.spec.priority, p.spec.max_attempts)
            })
            .map(|(g, n, c, r, a)| (&*Box::leak(g.to_owned().into_boxed_str()), n, c, r, a))
            .collect();
        assert_eq!(got, groups, "{file}");
    }
    let j = judged(&sample("06-constraints.nomad.hcl"), &Inputs::default());
    let s = &j.groups[0].spec;
    assert_eq!((s.machine_types.as_deref(), s.zones.as_deref()), (Some(&["big".to_owned()][..]), None));
    assert!(s.placement_penalty("big", "west") < s.placement_penalty("big", "east"));
    let j = judged(&sample("02-batch.nomad.hcl"), &Inputs::default());
    let s = &j.groups[0].spec;
    assert_eq!((s.kind, s.task_resources.mem, s.checkpoint_save_s, s.spot), (Kind::Array, 5300, 12.0, true));
    assert!(judged(&sample("03-variables.nomad.hcl"), &Inputs::default()).groups[0].spec.spread);
    let meta = judged(&sample("14-expressions.nomad.hcl"), &Inputs::default()).job.unwrap().meta;
    let want = [("list", "[\"a\",\"b\"]"), ("net", "10.7.0.5"), ("parts", "B=2"), ("safe", "none")];
    for (k, v) in want {
        assert_eq!(meta[k], v, "{k}");
    }
    let report = judged(&sample("05-heredoc.nomad.hcl"), &Inputs::default()).job.unwrap();
    let script = report.groups[0].task.config.json()["args"][1].as_str().unwrap().to_owned();
    let want = "set -e\necho \"stock of ${NOMAD_ALLOC_ID}\"\nreport --shop howrah\nreport --shop saltlake\n";
    assert_eq!(script, want);
}

/// What the interface shows of a job is the job: registered again, it means the same.
#[test]
fn a_job_as_the_interface_shows_it_means_the_same() {
    use gorseshore_nomad::service::records::api_job;
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("samples");
    let mut seen = 0;
    for f in std::fs::read_dir(dir).unwrap() {
        let name = f.unwrap().file_name().into_string().unwrap();
        let first = judged(&sample(&name), &Inputs::default());
        let Some(job) = first.job.as_ref().filter(|_| first.accepted()) else { continue };
        let second = judged(&json!({ "Job": api_job(job) }).to_string(), &Inputs::default());
        assert!(second.accepted(), "{name}: {:?}", second.faults.list);
        assert_eq!(second.groups, first.groups, "{name}");
        let other = second.job.unwrap();
        assert_eq!(
            (&other.periodic.is_some(), &other.parameterized),
            (&job.periodic.is_some(), &job.parameterized)
        );
        assert_eq!((&other.meta, other.priority, &other.id), (&job.meta, job.priority, &job.id), "{name}");
        seen += 1;
    }
    assert!(seen >= 16);
}

#[test]
fn samples_are_refused_with_place_and_reason() {
    // (file, exit code, (line, column, path, words of the reason))
    let cases: [(&str, u8, &[(usize, usize, &str, &str)]); 11] = [
        (
            "20-too-many.nomad.hcl",
            1,
            &[(4, 5, "job.night-flood.group.count", "301 repeats over all groups, class night allows 300")],
        ),
        (
            "21-refused.nomad.hcl",
            1,
            &[
                (2, 3, "job.mesh.type", "system"),
                (3, 3, "job.mesh.vault", "secret store"),
                (7, 5, "job.mesh.group.web.network", "no networks"),
                (13, 5, "job.mesh.group.web.service", "registry"),
                (20, 5, "job.mesh.group.web.volume", "no volumes"),
                (26, 7, "job.mesh.group.web.task.init.lifecycle", "one task"),
                (30, 5, "job.mesh.group.web.task", "second task"),
                (32, 7, "job.mesh.group.web.task.web.template", "helper"),
                (37, 9, "job.mesh.group.web.task.web.resources.device", "devices"),
            ],
        ),
        (
            "22-typos.nomad.hcl",
            1,
            &[
                (2, 3, "job.typos.datacentres", "did you mean datacenters?"),
                (3, 3, "job.typos.priority", "101 must be 1 to 100"),
                (5, 5, "job.typos.group.web.cuont", "did you mean count?"),
                (6, 13, "job.typos.group.web.count", "whole number from 0, not text"),
                (8, 18, "job.typos.group.web.restart.attempts", "not -1"),
                (9, 18, "job.typos.group.web.restart.interval", "\"soon\" is not a length of time"),
                (10, 7, "job.typos.group.web.restart.mode", "explode"),
                (14, 16, "job.typos.group.web.task.web.env", "not a list"),
                (16, 18, "job.typos.group.web.task.web.resources.cpu", "not 1.5"),
                (19, 7, "job.typos.group.web.task.web.resources", "twice"),
            ],
        ),
        ("23-nowhere.nomad.hcl", 1, &[(2, 18, "job.nowhere.datacenters", "there are east, west")]),
        (
            "24-constraint.nomad.hcl",
            1,
            &[
                (2, 3, "job.picky.constraint", "attr.cpu.arch"),
                (7, 5, "job.picky.constraint.distinct_hosts", "share machines"),
                (10, 5, "job.picky.group.web.constraint", "huge leaves no machine"),
            ],
        ),
        (
            "25-endless.nomad.hcl",
            1,
            &[
                (5, 7, "job.night-endless.group.work.restart.attempts", "6 attempts, class night allows 5"),
                (
                    8,
                    5,
                    "job.night-endless.group.work.reschedule.attempts",
                    "no end of attempts, class night allows 3",
                ),
                (
                    12,
                    7,
                    "job.night-endless.group.work.ephemeral_disk.size",
                    "20000 MB, class night allows 10240",
                ),
                (
                    16,
                    7,
                    "job.night-endless.group.work.task.work.kill_timeout",
                    "600 s, class night allows 30",
                ),
                (
                    17,
                    7,
                    "job.night-endless.group.work.task.work.resources.cpu",
                    "12.000 CPUs, class night allows 8",
                ),
            ],
        ),
        (
            "26-api-refused.json",
            1,
            &[
                (8, 9, "job.api-refused.group.count", "41 repeats over all groups, class service allows 40"),
                (9, 9, "job.api-refused.group.api.network", "no networks"),
                (11, 45, "job.api-refused.group.api.task.a.template", "helper"),
            ],
        ),
        ("27-broken.nomad.hcl", 2, &[(5, 7, "", "expected")]),
        (
            "28-unknown-name.nomad.hcl",
            2,
            &[
                (1, 10, "variable.needed", "it has no value"),
                (7, 9, "job.names.meta.a", "var has no other"),
                (8, 9, "job.names.meta.b", "local has no nothing"),
                (9, 9, "job.names.meta.c", "nothing is not known here"),
                (10, 9, "job.names.meta.d", "reads the machine"),
                (11, 9, "job.names.meta.e", "can't be applied"),
            ],
        ),
        (
            "29-cron.nomad.hcl",
            1,
            &[(4, 5, "job.night-cron.periodic.cron", "Brnoo"), (1, 1, "job.night-cron", "not both")],
        ),
        ("30-broken.json", 2, &[(1, 36, "", "not JSON")]),
    ];
    for (file, code, want) in cases {
        let j = judged(&sample(file), &Inputs::default());
        assert_eq!((j.exit_code(), j.accepted()), (code, false), "{file}: {:?}", j.faults.list);
        for (line, column, path, words) in want {
            let found = j.faults.list.iter().any(|f| {
                (f.line, f.column, f.path.as_str()) == (*line, *column, *path)
                    && f.text.contains(words)
                    && f.severity != Severity::Warning
            });
            assert!(found, "{file}: no {line}:{column} {path} {words} in {:#?}", j.faults.list);
        }
        // All faults are told at once, and no others.
        let told = j.faults.list.iter().filter(|f| f.severity != Severity::Warning).count();
        assert_eq!(told, want.len(), "{file}: {:#?}", j.faults.list);
    }
}

#[test]
fn variables_come_from_the_command_line_and_files() {
    let source = sample("03-variables.nomad.hcl");
    let inputs = |vars: &[(&str, &str)], files: &[&str]| Inputs {
        vars: vars.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect(),
        files: files.iter().map(|t| ("f.hcl".to_owned(), t.to_string())).collect(),
        namespace: None,
    };
    // (vars, files, count, words of a refusal)
    let cases: [(&[(&str, &str)], &[&str], u32, &str); 7] = [
        (&[("count", "7")], &[], 7, ""),
        (&[], &["count = 2 + 3\nimage = \"x\""], 5, ""),
        (&[("count", "7")], &["count = 5"], 7, ""),
        (&[], &["count = 5", "count = 6"], 6, ""),
        (&[("count", "many")], &[], 0, "not a number"),
        (&[("cuont", "7")], &[], 0, "no such variable"),
        (&[], &["count = "], 0, "f.hcl:1"),
    ];
    for (vars, files, count, words) in cases {
        let j = judged(&source, &inputs(vars, files));
        if words.is_empty() {
            assert_eq!(j.groups.first().map(|g| g.spec.tasks), Some(count), "{:?}", j.faults.list);
        } else {
            assert!(j.exit_code() == 2, "{vars:?} {files:?}");
            assert!(j.faults.list.iter().any(|f| f.text.contains(words)), "{words}: {:?}", j.faults.list);
        }
    }
}

/// A request's namespace counts before the class is found: a token's team is
/// held against the class whose team the tasks run under.
#[test]
fn a_namespace_from_outside_chooses_the_class() {
    let text = "nomad { class { name: \"a\" team: \"a\" namespace: \"default\" } class { name: \"b\" team: \"b\" } }";
    let settings = Operator::parse(text).unwrap().nomad.unwrap();
    let source = sample("13-bare.json");
    for (namespace, want) in [(None, "a"), (Some("default"), "a"), (Some("other"), "b")] {
        let inputs = Inputs { namespace: namespace.map(str::to_owned), ..Inputs::default() };
        let j = judge(&source, &inputs, &settings, &Site::default());
        assert_eq!(j.class.as_deref(), Some(want), "{namespace:?}");
        assert!(j.groups.iter().all(|p| p.spec.team == want), "{namespace:?}");
        assert_eq!(j.job.unwrap().namespace, namespace.unwrap_or("default"));
    }
}

/// What a field of this row may hold, as HCL and as JSON.
fn value(row: &Row) -> Option<(String, Value)> {
    let text = |s: &str| Some((format!("\"{s}\"").replace("${", "$${").replace("$$$", "$"), json!(s)));
    match row.path {
        "type" => return text("batch"),
        "region" => return text("here"),
        "datacenters" => return Some(("[\"east\"]".into(), json!(["east"]))),
        "node_pool" => return text("default"),
        "periodic.cron" => return text("0 * * * *"),
        "periodic.crons" => return Some(("[\"@daily\"]".into(), json!(["@daily"]))),
        "periodic.time_zone" => return text("Asia/Kolkata"),
        "periodic.spec_type" => return text("cron"),
        "parameterized.payload" => return text("required"),
        "priority" => return Some(("50".into(), json!(50))),
        "*constraint.attribute" | "*affinity.attribute" | "*spread.attribute" => {
            return Some(("\"${node.datacenter}\"".into(), json!("${node.datacenter}")));
        }
        "*constraint.value" | "*affinity.value" => return text("east"),
        "*constraint.regexp" | "*affinity.regexp" => return text("east|west"),
        "*constraint.operator" | "*affinity.operator" => return text("="),
        p if p.starts_with("*constraint.set_") || p.starts_with("*affinity.set_") => return text("east"),
        "*reschedule.unlimited" => return Some(("false".into(), json!(false))),
        "*restart.mode" => return text("fail"),
        "*reschedule.delay_function" => return text("constant"),
        _ => {}
    }
    match row.shape {
        Shape::Text => text("x"),
        Shape::Whole | Shape::Number => Some(("1".into(), json!(1))),
        Shape::Bool => Some(("true".into(), json!(true))),
        Shape::Span => Some(("\"3s\"".into(), json!(3_000_000_000u64))),
        Shape::Texts => Some(("[\"x\"]".into(), json!(["x"]))),
        Shape::Map => Some(("{ a = \"b\" }".into(), json!({"a": "b"}))),
        Shape::Any => Some(("{ a = 1 }".into(), json!({"a": 1}))),
        Shape::Block | Shape::Blocks | Shape::Named => None,
    }
}

/// Puts `field` into the stanza of a small job; as HCL and as JSON.
fn job_with(row: &Row) -> (String, Value) {
    let shared = row.path.strip_prefix('*');
    let stanza: Vec<&str> = match shared {
        // `*spread.target` and alike hang on the group.
        Some(p) => ["group"].into_iter().chain(p.split('.')).collect(),
        None => row.path.split('.').collect(),
    };
    let (inner, field) = (&stanza[..stanza.len() - 1], stanza[stanza.len() - 1]);
    let mut hcl = match (value(row), row.shape) {
        (Some((v, _)), _) => format!("{field} = {v}\n"),
        (None, Shape::Named) => format!("{field} \"n\" {{\n}}\n"),
        (None, _) => format!("{field} {{\n}}\n"),
    };
    let mut json = match (value(row), row.shape) {
        (Some((_, v)), _) => json!({ row.json: v }),
        (None, Shape::Named) => json!({ row.json: [{"Name": "n"}] }),
        // Content, so that it counts as set; a served stanza is looked into.
        (None, shape) => {
            let inner = match row.verdict {
                Verdict::Served(_) => json!({}),
                _ => json!({"Any": 1}),
            };
            json!({ row.json: if shape == Shape::Blocks { json!([inner]) } else { inner } })
        }
    };
    // What the stanza needs beside the field.
    let beside: &[(&str, &str, Value)] = match inner.last().copied() {
        Some("constraint" | "affinity") => &[
            ("attribute", "\"${node.datacenter}\"", json!("${node.datacenter}")),
            ("value", "\"east\"", json!("east")),
        ],
        Some("spread") => &[("attribute", "\"${node.datacenter}\"", json!("${node.datacenter}"))],
        Some("periodic") => &[("cron", "\"@daily\"", json!("@daily"))],
        _ => &[],
    };
    let names = [
        ("attribute", if inner.last() == Some(&"spread") { "Attribute" } else { "LTarget" }),
        ("value", "RTarget"),
        ("cron", "Spec"),
    ];
    for (name, h, j) in beside {
        if *name != field {
            hcl += &format!("{name} = {h}\n");
            let key = names.iter().find(|(n, _)| n == name).unwrap().1;
            json[key] = j.clone();
        }
    }
    let task_h = "task \"t\" {\ndriver = \"exec\"\n}\n";
    let mut done_task = false;
    for (depth, name) in inner.iter().enumerate().rev() {
        let path = inner[..=depth].join(".");
        let json_name = ROWS
            .iter()
            .find(|r| r.path == path || shared.is_some() && depth > 0 && r.path == format!("group.{name}"))
            .or_else(|| ROWS.iter().find(|r| r.path.strip_prefix('*') == Some(&inner[1..=depth].join("."))))
            .unwrap_or_else(|| panic!("no stanza {path}"));
        match *name {
            "task" => {
                done_task = true;
                let driver = if field == "driver" { "" } else { "driver = \"exec\"\n" };
                hcl = format!("task \"t\" {{\n{driver}{hcl}}}\n");
                json["Name"] = json!("t");
                json["Driver"] = json!("exec");
                json = json!({ "Tasks": [json] });
            }
            "group" => {
                let task = if done_task || field == "task" { "" } else { task_h };
                hcl = format!("group \"g\" {{\n{task}{hcl}}}\n");
                json["Name"] = json!("g");
                if json.get("Tasks").is_none() {
                    json["Tasks"] = json!([{"Name": "t", "Driver": "exec"}]);
                }
                json = json!({ "TaskGroups": [json] });
            }
            _ => {
                hcl = format!(
                    "{name} {}{{\n{hcl}}}\n",
                    if json_name.shape == Shape::Named { "\"n\" " } else { "" }
                );
                let many = matches!(json_name.shape, Shape::Blocks | Shape::Named);
                json = json!({ json_name.json: if many { json!([json]) } else { json } });
            }
        }
    }
    if json.get("TaskGroups").is_none() {
        json["TaskGroups"] = json!([{"Name": "g", "Tasks": [{"Name": "t", "Driver": "exec"}]}]);
    }
    json["ID"] = json!("j");
    if row.path != "type" {
        json["Type"] = json!("batch");
    }
    let group = if stanza[0] == "group" { String::new() } else { format!("group \"g\" {{\n{task_h}}}\n") };
    let kind = if row.path == "type" { "" } else { "type = \"batch\"\n" };
    (format!("job \"j\" {{\n{kind}{hcl}{group}}}\n"), json!({ "Job": json }))
}

/// Every row of the table, in both forms: what it says is what happens.
#[test]
fn every_row_of_the_table_holds() {
    for row in ROWS.iter().filter(|r| r.verdict != Verdict::ReadOnly) {
        // The group and the task are in every file; the name is the label.
        if matches!(row.path, "group.name" | "group.task.name" | "id") {
            continue;
        }
        let (hcl, json) = job_with(row);
        for source in [hcl, json.to_string()] {
            let j = judged(&source, &Inputs::default());
            let field = last(row.path);
            let about: Vec<_> = j
                .faults
                .list
                .iter()
                .filter(|f| f.path.ends_with(field) || f.path.contains(&format!(".{field}.")))
                .collect();
            let ok = match row.verdict {
                // Stanzas that need more than an empty block may say so.
                Verdict::Served(_) => {
                    let whole = !matches!(row.shape, Shape::Block | Shape::Blocks | Shape::Named);
                    let unknown = about.iter().any(|f| f.text.contains("not in the job specification"));
                    let refused = about.iter().any(|f| f.severity != Severity::Warning);
                    !unknown && !(whole && (refused || !j.accepted()))
                }
                Verdict::NoEffect(why) => {
                    j.accepted()
                        && about.iter().any(|f| {
                            f.severity == Severity::Warning
                                && f.text.contains(why)
                                && f.line > 0
                                && f.column > 0
                        })
                }
                Verdict::Refused(why) => {
                    !j.accepted()
                        && about.iter().any(|f| f.severity == Severity::Refused && f.text.contains(why))
                }
                Verdict::ReadOnly => true,
            };
            assert!(ok, "{} is {:?}, but: {:#?}\n{source}", row.path, row.verdict, j.faults.list);
        }
    }
}

#[test]
fn the_page_holds_the_table() {
    let page = include_str!("../../../docs/nomad.md");
    assert!(
        page.contains(&markdown()),
        "docs/nomad.md lacks the table as `gorseshore nomad table` prints it"
    );
}

/// A batch file, whatever its priority, never has the services' rank.
#[test]
fn batch_never_outranks_services() {
    let n = settings();
    for class in &n.classes {
        for priority in 1..=100 {
            assert!(rank(class, Kind::Array, priority) < Priority::Production, "{} {priority}", class.name);
        }
    }
    // Not even by the operators' file.
    for class in ["rank: \"prod\"", "rank: \"prod\" type: \"batch\""] {
        let text = format!("nomad {{ class {{ name: \"c\" team: \"t\" {class} }} }}");
        let e = Operator::parse(&text).unwrap_err();
        assert!(e.0.iter().any(|f| f.contains("nomad.class[0].rank")), "{e}");
    }
    let mut wrong = n.classes[0].clone();
    wrong.max_priority = Priority::Production;
    assert_eq!(rank(&wrong, Kind::Array, 100), Priority::High);
}

#[test]
fn settings_are_checked_field_by_field() {
    let class = "name: \"c\" team: \"t\"";
    // (settings, word in the complaint)
    let cases = [
        ("listen: \"here\"".to_owned(), "nomad.listen"),
        ("mhz_per_cpu: 1".to_owned(), "nomad.mhz_per_cpu: 1 must be from 100 to 100000"),
        ("class { team: \"t\" }".to_owned(), "nomad.class[0].name: is missing"),
        ("class { name: \"c\" }".to_owned(), "nomad.class[0].team"),
        (format!("class {{ {class} type: \"system\" }}"), "nomad.class[0].type"),
        (format!("class {{ {class} job: \"[\" }}"), "nomad.class[0].job: not a pattern"),
        (format!("class {{ {class} max_count: 0 }}"), "nomad.class[0].max_count"),
        (format!("class {{ {class} image {{ gb: -1 }} }}"), "nomad.class[0].image[0].gb"),
        (format!("class {{ {class} }} class {{ {class} }}"), "nomad.class[1].name: c stands twice"),
        ("token { team: \"t\" hash: \"secret\" }".to_owned(), "nomad.token[0].hash"),
        ("machine { name: \"m\" }".to_owned(), "nomad.machine[0].zone"),
        ("colour: 1".to_owned(), "line 1"),
    ];
    for (text, word) in cases {
        let e = Operator::parse(&format!("nomad {{ {text} }}")).unwrap_err();
        assert!(e.0.iter().any(|f| f.contains(word)), "{text}: {e}");
    }
}

/// Files made to hurt: refused within bounds, told why.
#[test]
fn hostile_files_are_refused_within_bounds() {
    let job = |inner: &str| format!("job \"j\" {{\ntype = \"batch\"\n{inner}\n{GROUP}}}");
    const GROUP: &str = "group \"g\" {\ntask \"t\" {\ndriver = \"exec\"\n}\n}\n";
    let counted = |n: u64| {
        format!(
            "job \"j\" {{\ntype = \"batch\"\n{}}}",
            GROUP.replace("{\ntask", &format!("{{\ncount = {n}\ntask"))
        )
    };
    let mut doubling = String::from("locals {\n  s0 = \"0123456789abcdef\"\n");
    for i in 1..60 {
        doubling += &format!("  s{i} = \"${{local.s{}}}${{local.s{}}}\"\n", i - 1, i - 1);
    }
    doubling += "}\n";
    let nest = |n: usize| format!("{}1{}", "[".repeat(n), "]".repeat(n));
    // (what, file, words of the reason)
    let cases: [(&str, String, &str); 15] = [
        ("100,000 repeats", counted(100_000), "class batch allows 50"),
        ("more than any job may have", counted(9_000_000_000), "100000"),
        ("lists 10,000 deep", job(&format!("meta = {{ a = {} }}", nest(10_000))), "nested"),
        (
            "blocks 10,000 deep",
            format!("job \"j\" {}{}", "{\na ".repeat(10_000), "}\n".repeat(10_000)),
            "nested",
        ),
        ("JSON 10,000 deep", format!("{{\"Job\": {{\"ID\": {}}}}}", nest(10_000)), "nesting"),
        (
            "JSON 100 deep",
            format!("{{\"Job\": {{\"ID\": \"x\", \"Meta\": {}}}}}", nest(100)),
            "nested deeper than 64",
        ),
        ("a chain of signs", job(&format!("priority = {}1", "-".repeat(10_000))), "nest"),
        ("a doubling text", doubling + &job("meta = { a = local.s59 }"), "MiB"),
        (
            "nested loops",
            job("meta = { a = length([for a in range(1000) : [for b in range(1000) : a]]) }"),
            "MiB",
        ),
        (
            "long sums in a loop",
            job(&format!("meta = {{ a = length([for a in range(9000) : a{}]) }}", " + 1".repeat(100))),
            "steps",
        ),
        ("a long range", job("meta = { a = length(range(100000000)) }"), "at most 100000"),
        (
            "a replacement that grows",
            job(
                "meta = { a = replace(join(\"\", [for i in range(9999) : \"a\"]), \"a\", join(\"\", [for i in range(9999) : \"b\"])) }",
            ),
            "4 MiB",
        ),
        (
            "a pattern that grows",
            job("meta = { a = regex_replace(\"a\", \"(a{999}){999}\", \"b\") }"),
            "regular expression",
        ),
        (
            "a dynamic block without end",
            job(
                "dynamic \"constraint\" { \nfor_each = range(100000)\ncontent {\nattribute = \"${node.class}\"\n}\n}",
            ),
            "MiB",
        ),
        ("a long file", format!("# {}", "x".repeat(600 * 1024)), "512 KiB"),
    ];
    for (what, source, words) in cases {
        let began = std::time::Instant::now();
        let j = judged(&source, &Inputs::default());
        assert!(!j.accepted(), "{what}");
        assert!(
            j.faults.list.iter().any(|f| f.text.contains(words)),
            "{what}: {:?}",
            j.faults.list.iter().take(3).collect::<Vec<_>>()
        );
        assert!(began.elapsed().as_secs() < 20, "{what}: {:?}", began.elapsed());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Nothing panics, whatever comes.
    #[test]
    fn any_text_is_judged(s in "\\PC{0,200}") {
        judged(&s, &Inputs::default());
    }

    /// Samples with pieces cut out, doubled and replaced: every fault has a place.
    #[test]
    fn torn_samples_are_judged(i in 0usize..26, from in 0usize..1500, len in 0usize..40, with in "[\\[\\]{}\"$%=.,a1 \\n-]{0,12}") {
        let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("samples");
        let mut files: Vec<PathBuf> = std::fs::read_dir(dir).unwrap().map(|f| f.unwrap().path()).collect();
        files.sort();
        let source = std::fs::read_to_string(&files[i % files.len()]).unwrap();
        let chars: Vec<char> = source.chars().collect();
        let (a, b) = (from.min(chars.len()), (from + len).min(chars.len()));
        let torn: String = chars[..a].iter().chain(with.chars().collect::<Vec<_>>().iter()).chain(&chars[b..]).collect();
        let j = judged(&torn, &Inputs::default());
        for f in &j.faults.list {
            prop_assert!(f.line >= 1 && f.column >= 1);
        }
        prop_assert!(j.accepted() || !j.faults.list.is_empty());
    }

    /// Expressions of every kind, well formed or not, end within their bounds.
    #[test]
    fn any_expression_ends(e in "(upper|range|join|format|merge|try|flatten|lookup|slice)\\((\\[1, 2\\]|\"a%d\"|\\{a = 1\\}|-1|null|var\\.x|[a-z0-9, ]{0,8})(, (\"x\"|2|\\[\\])){0,3}\\)") {
        judged(&format!("job \"j\" {{\nmeta = {{ a = {e} }}\n}}"), &Inputs::default());
    }
}
