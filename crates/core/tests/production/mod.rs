//! Reference parser of the state service's records as the program in production
//! (commit dc723f6) reads them. It is written field by field after that program's
//! sources and shares no code with the workspace. Records written now must pass it.
//!
//! Like production, it ignores unknown fields, keys and key spaces. It is stricter
//! in one respect: it returns an error where production would silently drop a
//! record (a job without its specification, or a leader or standby replicas that
//! production would treat as absent).
//!
//! Several test binaries include this module; none of them uses all of it.
#![allow(dead_code)]
use serde_json::Value;
use std::collections::BTreeMap;

/// Tasks in one progress record.
const PROGRESS_CHUNK_TASKS: u32 = 8192;
/// Bits in a word of a progress record.
const WORD_BITS: u32 = 64;
/// Values in a positional job row, the format before named fields.
const ROW_LEN: usize = 17;

/// A job's specification.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub class: String,
    pub team: String,
    pub kind: String,
    pub priority: String,
    pub tasks: u32,
    pub task_resources: [u64; 3],
    pub types: Option<Vec<String>>,
    pub zones: Option<Vec<String>>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: String,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
    pub attempts: Option<u32>,
    /// Machine type, zone, weight.
    pub prefer: Vec<(String, String, i32)>,
    /// Jobs that must be over before any task of this one starts.
    pub after: Vec<u64>,
}

/// A record as production understands it.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    Job {
        id: u64,
        job: Box<Job>,
        submitted_ms: u64,
    },
    End {
        id: u64,
        done: bool,
        at_ms: u64,
        fully_stopped: bool,
        cause: Option<String>,
    },
    Progress {
        id: u64,
        chunk: u32,
        tasks: Vec<u32>,
    },
    /// By task: number of failed attempts, and the last attempt that was counted.
    Failures {
        id: u64,
        chunk: u32,
        tasks: BTreeMap<u32, (u32, u64)>,
    },
    /// Name and worker address of each machine.
    Machines {
        kind: (String, String, bool),
        machines: Vec<(String, String)>,
    },
    Leader {
        node: String,
        term: u64,
        lease: u64,
    },
    Term(u64),
    PlacementReplicas {
        term: u64,
        led: u64,
        nodes: Vec<(String, u64)>,
    },
    RelayedMessage {
        to: String,
        process: u64,
        number: u64,
        part: usize,
        parts: usize,
        text: String,
    },
    NomadHead(Box<NomadHead>),
    NomadPart(String),
    NomadLaunch(u64),
    NomadToken(String),
    /// Production ignores the key.
    Ignored,
}

/// The head record of a Nomad job.
#[derive(Debug, Clone, PartialEq)]
pub struct NomadHead {
    pub namespace: String,
    pub id: String,
    pub version: u64,
    pub nonce: String,
    pub stop: bool,
    pub purge: bool,
    /// Name, native job, count.
    pub groups: Vec<(String, u64, u32)>,
    pub old: Vec<u64>,
    pub periodic: bool,
    pub parameterized: bool,
    pub parent: Option<String>,
    pub earlier: Vec<(u64, String, u64)>,
}

type Parsed<T> = Result<T, String>;

/// Parses the record at a key as production does.
pub fn read(key: &str, v: &Value) -> Parsed<Record> {
    let with_key = |e: String| format!("{key}: {e}: {v}");
    match key {
        "g/leader" => return leader(v).map_err(with_key),
        "g/term" => return number(v).map(Record::Term).map_err(with_key),
        "g/books" => return placement_replicas(v).map_err(with_key),
        _ => {}
    }
    let Some(rest) = key.strip_prefix("g/") else { return Ok(Record::Ignored) };
    let Some((space, name)) = rest.split_once('/') else { return Ok(Record::Ignored) };
    match space {
        "j" => job_record(name, v),
        "x" => end(name, v),
        "p" => progress(name, v),
        "r" => failures(name, v),
        "h" => machines(v),
        "m" => machine(name, v),
        "c" => relayed_message(name, v),
        "n" => nomad(name, v),
        _ => Ok(Record::Ignored),
    }
    .map_err(with_key)
}

/// A required field.
fn field<'a>(v: &'a Value, name: &str) -> Parsed<&'a Value> {
    v.as_object().ok_or("not an object")?.get(name).ok_or_else(|| format!("no {name}"))
}

/// An optional field with a default.
fn field_or<T>(v: &Value, name: &str, default: T, read: impl Fn(&Value) -> Parsed<T>) -> Parsed<T> {
    v.get(name).map_or(Ok(default), |x| read(x).map_err(|e| format!("{name}: {e}")))
}

/// An optional field that may also be null.
fn optional_field<T>(v: &Value, name: &str, read: impl Fn(&Value) -> Parsed<T>) -> Parsed<Option<T>> {
    field_or(v, name, None, |x| optional(x, &read))
}

fn optional<T>(v: &Value, read: impl Fn(&Value) -> Parsed<T>) -> Parsed<Option<T>> {
    if v.is_null() { Ok(None) } else { read(v).map(Some) }
}

fn text(v: &Value) -> Parsed<String> {
    v.as_str().map(str::to_owned).ok_or_else(|| format!("{v} is not a string"))
}

fn number(v: &Value) -> Parsed<u64> {
    v.as_u64().ok_or_else(|| format!("{v} is not a whole number"))
}

fn number_u32(v: &Value) -> Parsed<u32> {
    u32::try_from(number(v)?).map_err(|e| e.to_string())
}

fn weight(v: &Value) -> Parsed<i32> {
    let n = v.as_i64().ok_or_else(|| format!("{v} is not a whole number"))?;
    i32::try_from(n).map_err(|e| e.to_string())
}

fn decimal(v: &Value) -> Parsed<f64> {
    v.as_f64().ok_or_else(|| format!("{v} is not a number"))
}

fn boolean(v: &Value) -> Parsed<bool> {
    v.as_bool().ok_or_else(|| format!("{v} is neither true nor false"))
}

fn list<T>(v: &Value, read: impl Fn(&Value) -> Parsed<T>) -> Parsed<Vec<T>> {
    v.as_array().ok_or_else(|| format!("{v} is not an array"))?.iter().map(read).collect()
}

fn pair(v: &Value) -> Parsed<(&Value, &Value)> {
    match v.as_array().map(Vec::as_slice) {
        Some([a, b]) => Ok((a, b)),
        _ => Err(format!("{v} is not a pair")),
    }
}

fn one_of(v: &Value, allowed: &[&str]) -> Parsed<String> {
    text(v).and_then(|t| if allowed.contains(&t.as_str()) { Ok(t) } else { Err(format!("unknown: {t}")) })
}

fn kind(v: &Value) -> Parsed<String> {
    one_of(v, &["array", "standing"])
}

fn priority(v: &Value) -> Parsed<String> {
    one_of(v, &["idle", "standard", "high", "prod"])
}

fn task_resources(v: &Value) -> Parsed<[u64; 3]> {
    list(v, number)?.try_into().map_err(|_| format!("{v} is not three numbers"))
}

/// Only the canonical spelling is an id: six digits, or more without a leading zero.
fn job_id(name: &str) -> Parsed<u64> {
    let digits = name.strip_prefix("j-").ok_or("not a job id")?;
    let all_digits = digits.bytes().all(|b| b.is_ascii_digit());
    let canonical = digits.len() == 6 || digits.len() > 6 && digits.len() <= 20 && !digits.starts_with('0');
    if !all_digits || !canonical {
        return Err("not a job id".into());
    }
    digits.parse().map_err(|_| "not a job id".to_owned())
}

fn job_and_chunk(name: &str) -> Parsed<(u64, u32)> {
    let (id, chunk) = name.split_once('/').ok_or("no chunk")?;
    Ok((job_id(id)?, chunk.parse().map_err(|_| "not a chunk")?))
}

fn job_record(name: &str, v: &Value) -> Parsed<Record> {
    let spec = field(v, "d")?;
    let job = match spec.as_array() {
        Some(row) => job_from_row(row)?,
        None => job_from_fields(spec)?,
    };
    Ok(Record::Job { id: job_id(name)?, job: Box::new(job), submitted_ms: number(field(v, "at")?)? })
}

fn job_from_fields(d: &Value) -> Parsed<Job> {
    let texts = |v: &Value| list(v, text);
    Ok(Job {
        class: text(field(d, "l")?)?,
        team: text(field(d, "t")?)?,
        kind: kind(field(d, "k")?)?,
        priority: priority(field(d, "r")?)?,
        tasks: number_u32(field(d, "n")?)?,
        task_resources: task_resources(field(d, "u")?)?,
        types: optional_field(d, "b", texts)?,
        zones: optional_field(d, "z", texts)?,
        one_zone: field_or(d, "o", false, boolean)?,
        spread: field_or(d, "a", false, boolean)?,
        spot: field_or(d, "s", false, boolean)?,
        image: text(field(d, "i")?)?,
        image_gb: field_or(d, "ig", 0.0, decimal)?,
        estimate_s: field_or(d, "e", 0.0, decimal)?,
        checkpoint_s: field_or(d, "c", 0.0, decimal)?,
        save_s: field_or(d, "w", 0.0, decimal)?,
        deadline_s: optional_field(d, "d", decimal)?,
        attempts: optional_field(d, "f", number_u32)?,
        prefer: field_or(d, "p", Vec::new(), |p| list(p, preference))?,
        after: field_or(d, "x", Vec::new(), |x| list(x, number))?,
    })
}

fn preference(v: &Value) -> Parsed<(String, String, i32)> {
    Ok((text(field(v, "t")?)?, text(field(v, "z")?)?, weight(field(v, "w")?)?))
}

/// Parses the positional row of earlier versions; values beyond the last position are ignored.
fn job_from_row(row: &[Value]) -> Parsed<Job> {
    if row.len() < ROW_LEN {
        return Err(format!("row has {} of {ROW_LEN} values", row.len()));
    }
    Ok(Job {
        class: text(&row[0])?,
        team: text(&row[1])?,
        kind: kind(&row[2])?,
        priority: priority(&row[3])?,
        tasks: number_u32(&row[4])?,
        task_resources: task_resources(&row[5])?,
        types: optional(&row[6], |v| list(v, text))?,
        zones: optional(&row[7], text)?.map(|zone| vec![zone]),
        one_zone: boolean(&row[8])?,
        spread: boolean(&row[9])?,
        spot: boolean(&row[10])?,
        image: text(&row[11])?,
        image_gb: decimal(&row[12])?,
        estimate_s: decimal(&row[13])?,
        checkpoint_s: decimal(&row[14])?,
        save_s: decimal(&row[15])?,
        deadline_s: optional(&row[16], decimal)?,
        attempts: None,
        prefer: Vec::new(),
        after: Vec::new(),
    })
}

fn end(name: &str, v: &Value) -> Parsed<Record> {
    // Production treats every word but "done" as "aborted".
    let done = one_of(field(v, "end")?, &["done", "aborted"])? == "done";
    Ok(Record::End {
        id: job_id(name)?,
        done,
        at_ms: number(field(v, "at")?)?,
        fully_stopped: v["gone"] == true,
        cause: v["why"].as_str().map(str::to_owned),
    })
}

/// Comma-separated words in hexadecimal; the lowest bit is the first task.
fn progress(name: &str, v: &Value) -> Parsed<Record> {
    let (id, chunk) = job_and_chunk(name)?;
    let words = text(v)?;
    let mut tasks = Vec::new();
    for (position, word) in words.split(',').enumerate() {
        if position as u32 >= PROGRESS_CHUNK_TASKS / WORD_BITS {
            return Err("too many words".into());
        }
        let bits =
            if word.is_empty() { 0 } else { u64::from_str_radix(word, 16).map_err(|e| e.to_string())? };
        let first = chunk * PROGRESS_CHUNK_TASKS + position as u32 * WORD_BITS;
        tasks.extend((0..WORD_BITS).filter(|bit| bits >> bit & 1 == 1).map(|bit| first + bit));
    }
    Ok(Record::Progress { id, chunk, tasks })
}

fn failures(name: &str, v: &Value) -> Parsed<Record> {
    let (id, chunk) = job_and_chunk(name)?;
    let mut tasks = BTreeMap::new();
    for (index, f) in v.as_object().ok_or("not an object")? {
        let index = index.parse().map_err(|_| "not a task index")?;
        tasks.insert(index, (number_u32(field(f, "n")?)?, number(field(f, "a")?)?));
    }
    Ok(Record::Failures { id, chunk, tasks })
}

fn machine_kind(v: &Value) -> Parsed<(String, String, bool)> {
    Ok((text(field(v, "t")?)?, text(field(v, "z")?)?, boolean(field(v, "s")?)?))
}

fn machines(v: &Value) -> Parsed<Record> {
    let name_and_address = |m: &Value| {
        let (name, address) = pair(m)?;
        Ok((text(name)?, text(address)?))
    };
    Ok(Record::Machines { kind: machine_kind(v)?, machines: list(field(v, "m")?, name_and_address)? })
}

/// A record of a single machine, as earlier versions wrote them.
fn machine(name: &str, v: &Value) -> Parsed<Record> {
    let address = text(field(v, "a")?)?;
    Ok(Record::Machines { kind: machine_kind(v)?, machines: vec![(name.to_owned(), address)] })
}

fn leader(v: &Value) -> Parsed<Record> {
    Ok(Record::Leader {
        node: text(field(v, "node")?)?,
        term: number(field(v, "term")?)?,
        lease: number(field(v, "lease")?)?,
    })
}

fn placement_replicas(v: &Value) -> Parsed<Record> {
    let name_and_process = |n: &Value| {
        let (name, process) = pair(n)?;
        Ok((text(name)?, number(process)?))
    };
    Ok(Record::PlacementReplicas {
        term: number(field(v, "term")?)?,
        led: number(field(v, "led")?)?,
        nodes: list(field(v, "nodes")?, name_and_process)?,
    })
}

fn relayed_message(name: &str, v: &Value) -> Parsed<Record> {
    let (to, _) = name.split_once('/').ok_or("no sender")?;
    let Some([process, message_number, part, parts, part_text]) = v.as_array().map(Vec::as_slice) else {
        return Err("not an array of five values".into());
    };
    Ok(Record::RelayedMessage {
        to: to.to_owned(),
        process: number(process)?,
        number: number(message_number)?,
        part: number(part)? as usize,
        parts: number(parts)? as usize,
        text: text(part_text)?,
    })
}

fn nomad(name: &str, v: &Value) -> Parsed<Record> {
    match name.split_once('/').ok_or("no key space")?.0 {
        "j" => nomad_head(v).map(|h| Record::NomadHead(Box::new(h))),
        "p" => text(v).map(Record::NomadPart),
        "l" => number(v).map(Record::NomadLaunch),
        "i" => text(v).map(Record::NomadToken),
        _ => Ok(Record::Ignored),
    }
}

fn nomad_head(v: &Value) -> Parsed<NomadHead> {
    for name in ["nm", "h", "hc", "k", "cl", "t"] {
        text(field(v, name)?)?;
    }
    number(field(v, "at")?)?;
    number_u32(field(v, "pr")?)?;
    optional_field(v, "ci", number)?;
    field_or(v, "dc", Vec::new(), |d| list(d, text))?;
    let group = |g: &Value| Ok((text(field(g, "g")?)?, number(field(g, "j")?)?, number_u32(field(g, "n")?)?));
    let earlier = |e: &Value| Ok((number(field(e, "v")?)?, text(field(e, "w")?)?, number(field(e, "at")?)?));
    Ok(NomadHead {
        namespace: text(field(v, "ns")?)?,
        id: text(field(v, "id")?)?,
        version: number(field(v, "v")?)?,
        nonce: text(field(v, "w")?)?,
        stop: field_or(v, "s", false, boolean)?,
        purge: field_or(v, "pg", false, boolean)?,
        groups: list(field(v, "gr")?, group)?,
        old: field_or(v, "o", Vec::new(), |o| list(o, number))?,
        periodic: optional_field(v, "pe", nomad_periodic)?.is_some(),
        parameterized: optional_field(v, "pa", nomad_parameterized)?.is_some(),
        parent: optional_field(v, "up", text)?,
        earlier: field_or(v, "vs", Vec::new(), |e| list(e, earlier))?,
    })
}

fn nomad_periodic(v: &Value) -> Parsed<()> {
    list(field(v, "c")?, text)?;
    text(field(v, "z")?)?;
    field_or(v, "o", false, boolean)?;
    boolean(field(v, "e")?)?;
    Ok(())
}

fn nomad_parameterized(v: &Value) -> Parsed<()> {
    text(field(v, "p")?)?;
    field_or(v, "r", Vec::new(), |r| list(r, text))?;
    field_or(v, "o", Vec::new(), |o| list(o, text))?;
    Ok(())
}
