//! A reader of the state service's records as the program in production (commit
//! dc723f6) reads them, written field by field after its sources and sharing
//! nothing with the code beside it: what is recorded now has to pass it.
//!
//! As there, fields, keys and spaces that it doesn't know are passed over. It is
//! stricter in one thing: where production would lose a record without a word
//! (a job without its description, a leader or witnesses that count as nobody),
//! it returns an error.
//!
//! Used by several test programs, none of which needs all of it.
#![allow(dead_code)]
use serde_json::Value;
use std::collections::BTreeMap;

/// Tasks in one record of progress.
const PROGRESS_CHUNK: u32 = 8192;
/// Bits of a word of progress.
const WORD_BITS: u32 = 64;
/// Places of a job's row as it was written before fields had names.
const ROW_PLACES: usize = 17;

/// A job's description.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub class: String,
    pub team: String,
    pub kind: String,
    pub rank: String,
    pub tasks: u32,
    pub need: [u64; 3],
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
    /// Type, zone, weight.
    pub prefer: Vec<(String, String, i32)>,
    /// Jobs that have to be over before anything of this one starts.
    pub after: Vec<u64>,
}

/// What a record says to production.
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
        settled: bool,
        cause: Option<String>,
    },
    Progress {
        id: u64,
        chunk: u32,
        tasks: Vec<u32>,
    },
    /// By task: how many, and the last attempt that counted.
    Failures {
        id: u64,
        chunk: u32,
        tasks: BTreeMap<u32, (u32, u64)>,
    },
    /// Name and address of each.
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
    Books {
        term: u64,
        led: u64,
        nodes: Vec<(String, u64)>,
    },
    Mail {
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
    /// Production reads nothing of it.
    PassedOver,
}

/// A Nomad job's head.
#[derive(Debug, Clone, PartialEq)]
pub struct NomadHead {
    pub namespace: String,
    pub id: String,
    pub version: u64,
    pub nonce: String,
    pub stop: bool,
    pub purge: bool,
    /// Name, native job, repeats.
    pub groups: Vec<(String, u64, u32)>,
    pub old: Vec<u64>,
    pub periodic: bool,
    pub parameterized: bool,
    pub parent: Option<String>,
    pub earlier: Vec<(u64, String, u64)>,
}

type Read<T> = Result<T, String>;

/// What production reads at a key.
pub fn read(key: &str, v: &Value) -> Read<Record> {
    let fault = |e: String| format!("{key}: {e}: {v}");
    match key {
        "g/leader" => return leader(v).map_err(fault),
        "g/term" => return number(v).map(Record::Term).map_err(fault),
        "g/books" => return books(v).map_err(fault),
        _ => {}
    }
    let Some(rest) = key.strip_prefix("g/") else { return Ok(Record::PassedOver) };
    let Some((space, name)) = rest.split_once('/') else { return Ok(Record::PassedOver) };
    match space {
        "j" => job_record(name, v),
        "x" => end(name, v),
        "p" => progress(name, v),
        "r" => failures(name, v),
        "h" => machines(v),
        "m" => machine(name, v),
        "c" => mail(name, v),
        "n" => nomad(name, v),
        _ => Ok(Record::PassedOver),
    }
    .map_err(fault)
}

/// A field that has to be there.
fn field<'a>(v: &'a Value, name: &str) -> Read<&'a Value> {
    v.as_object().ok_or("not an object")?.get(name).ok_or_else(|| format!("no {name}"))
}

/// A field that may be missing, with its value then.
fn field_or<T>(v: &Value, name: &str, missing: T, read: impl Fn(&Value) -> Read<T>) -> Read<T> {
    v.get(name).map_or(Ok(missing), |x| read(x).map_err(|e| format!("{name}: {e}")))
}

/// A field that may be missing or null.
fn field_if<T>(v: &Value, name: &str, read: impl Fn(&Value) -> Read<T>) -> Read<Option<T>> {
    field_or(v, name, None, |x| optional(x, &read))
}

fn optional<T>(v: &Value, read: impl Fn(&Value) -> Read<T>) -> Read<Option<T>> {
    if v.is_null() { Ok(None) } else { read(v).map(Some) }
}

fn text(v: &Value) -> Read<String> {
    v.as_str().map(str::to_owned).ok_or_else(|| format!("{v} is not a text"))
}

fn number(v: &Value) -> Read<u64> {
    v.as_u64().ok_or_else(|| format!("{v} is not a whole number"))
}

fn small(v: &Value) -> Read<u32> {
    u32::try_from(number(v)?).map_err(|e| e.to_string())
}

fn weight(v: &Value) -> Read<i32> {
    let n = v.as_i64().ok_or_else(|| format!("{v} is not a whole number"))?;
    i32::try_from(n).map_err(|e| e.to_string())
}

fn decimal(v: &Value) -> Read<f64> {
    v.as_f64().ok_or_else(|| format!("{v} is not a number"))
}

fn flag(v: &Value) -> Read<bool> {
    v.as_bool().ok_or_else(|| format!("{v} is neither true nor false"))
}

fn list<T>(v: &Value, read: impl Fn(&Value) -> Read<T>) -> Read<Vec<T>> {
    v.as_array().ok_or_else(|| format!("{v} is not a list"))?.iter().map(read).collect()
}

fn pair(v: &Value) -> Read<(&Value, &Value)> {
    match v.as_array().map(Vec::as_slice) {
        Some([a, b]) => Ok((a, b)),
        _ => Err(format!("{v} is not a pair")),
    }
}

fn word_of(v: &Value, words: &[&str]) -> Read<String> {
    text(v).and_then(|t| if words.contains(&t.as_str()) { Ok(t) } else { Err(format!("unknown: {t}")) })
}

fn kind(v: &Value) -> Read<String> {
    word_of(v, &["array", "standing"])
}

fn rank(v: &Value) -> Read<String> {
    word_of(v, &["idle", "standard", "high", "prod"])
}

fn need(v: &Value) -> Read<[u64; 3]> {
    list(v, number)?.try_into().map_err(|_| format!("{v} is not three numbers"))
}

/// Only the canonical spelling is an id: six digits, or more without a zero first.
fn job_id(name: &str) -> Read<u64> {
    let digits = name.strip_prefix("j-").ok_or("not a job's id")?;
    let all_digits = digits.bytes().all(|b| b.is_ascii_digit());
    let canonical = digits.len() == 6 || digits.len() > 6 && digits.len() <= 20 && !digits.starts_with('0');
    if !all_digits || !canonical {
        return Err("not a job's id".into());
    }
    digits.parse().map_err(|_| "not a job's id".to_owned())
}

fn job_and_chunk(name: &str) -> Read<(u64, u32)> {
    let (id, chunk) = name.split_once('/').ok_or("no chunk")?;
    Ok((job_id(id)?, chunk.parse().map_err(|_| "not a chunk")?))
}

fn job_record(name: &str, v: &Value) -> Read<Record> {
    let description = field(v, "d")?;
    let job = match description.as_array() {
        Some(row) => job_of_row(row)?,
        None => job_of_fields(description)?,
    };
    Ok(Record::Job { id: job_id(name)?, job: Box::new(job), submitted_ms: number(field(v, "at")?)? })
}

fn job_of_fields(d: &Value) -> Read<Job> {
    let texts = |v: &Value| list(v, text);
    Ok(Job {
        class: text(field(d, "l")?)?,
        team: text(field(d, "t")?)?,
        kind: kind(field(d, "k")?)?,
        rank: rank(field(d, "r")?)?,
        tasks: small(field(d, "n")?)?,
        need: need(field(d, "u")?)?,
        types: field_if(d, "b", texts)?,
        zones: field_if(d, "z", texts)?,
        one_zone: field_or(d, "o", false, flag)?,
        spread: field_or(d, "a", false, flag)?,
        spot: field_or(d, "s", false, flag)?,
        image: text(field(d, "i")?)?,
        image_gb: field_or(d, "ig", 0.0, decimal)?,
        estimate_s: field_or(d, "e", 0.0, decimal)?,
        checkpoint_s: field_or(d, "c", 0.0, decimal)?,
        save_s: field_or(d, "w", 0.0, decimal)?,
        deadline_s: field_if(d, "d", decimal)?,
        attempts: field_if(d, "f", small)?,
        prefer: field_or(d, "p", Vec::new(), |p| list(p, preference))?,
        after: field_or(d, "x", Vec::new(), |x| list(x, number))?,
    })
}

fn preference(v: &Value) -> Read<(String, String, i32)> {
    Ok((text(field(v, "t")?)?, text(field(v, "z")?)?, weight(field(v, "w")?)?))
}

/// The row of places of earlier versions; places after the last are passed over.
fn job_of_row(row: &[Value]) -> Read<Job> {
    if row.len() < ROW_PLACES {
        return Err(format!("{} places of {ROW_PLACES}", row.len()));
    }
    Ok(Job {
        class: text(&row[0])?,
        team: text(&row[1])?,
        kind: kind(&row[2])?,
        rank: rank(&row[3])?,
        tasks: small(&row[4])?,
        need: need(&row[5])?,
        types: optional(&row[6], |v| list(v, text))?,
        zones: optional(&row[7], text)?.map(|zone| vec![zone]),
        one_zone: flag(&row[8])?,
        spread: flag(&row[9])?,
        spot: flag(&row[10])?,
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

fn end(name: &str, v: &Value) -> Read<Record> {
    // Production takes every other word for "aborted".
    let done = word_of(field(v, "end")?, &["done", "aborted"])? == "done";
    Ok(Record::End {
        id: job_id(name)?,
        done,
        at_ms: number(field(v, "at")?)?,
        settled: v["gone"] == true,
        cause: v["why"].as_str().map(str::to_owned),
    })
}

/// Words in hexadecimal, commas between them; the lowest bit is the first task.
fn progress(name: &str, v: &Value) -> Read<Record> {
    let (id, chunk) = job_and_chunk(name)?;
    let words = text(v)?;
    let mut tasks = Vec::new();
    for (place, word) in words.split(',').enumerate() {
        if place as u32 >= PROGRESS_CHUNK / WORD_BITS {
            return Err("a word too many".into());
        }
        let bits =
            if word.is_empty() { 0 } else { u64::from_str_radix(word, 16).map_err(|e| e.to_string())? };
        let first = chunk * PROGRESS_CHUNK + place as u32 * WORD_BITS;
        tasks.extend((0..WORD_BITS).filter(|bit| bits >> bit & 1 == 1).map(|bit| first + bit));
    }
    Ok(Record::Progress { id, chunk, tasks })
}

fn failures(name: &str, v: &Value) -> Read<Record> {
    let (id, chunk) = job_and_chunk(name)?;
    let mut tasks = BTreeMap::new();
    for (index, f) in v.as_object().ok_or("not an object")? {
        let index = index.parse().map_err(|_| "not a task's number")?;
        tasks.insert(index, (small(field(f, "n")?)?, number(field(f, "a")?)?));
    }
    Ok(Record::Failures { id, chunk, tasks })
}

fn machine_kind(v: &Value) -> Read<(String, String, bool)> {
    Ok((text(field(v, "t")?)?, text(field(v, "z")?)?, flag(field(v, "s")?)?))
}

fn machines(v: &Value) -> Read<Record> {
    let name_and_address = |m: &Value| {
        let (name, address) = pair(m)?;
        Ok((text(name)?, text(address)?))
    };
    Ok(Record::Machines { kind: machine_kind(v)?, machines: list(field(v, "m")?, name_and_address)? })
}

/// A machine by itself, as earlier versions recorded them.
fn machine(name: &str, v: &Value) -> Read<Record> {
    let address = text(field(v, "a")?)?;
    Ok(Record::Machines { kind: machine_kind(v)?, machines: vec![(name.to_owned(), address)] })
}

fn leader(v: &Value) -> Read<Record> {
    Ok(Record::Leader {
        node: text(field(v, "node")?)?,
        term: number(field(v, "term")?)?,
        lease: number(field(v, "lease")?)?,
    })
}

fn books(v: &Value) -> Read<Record> {
    let name_and_process = |n: &Value| {
        let (name, process) = pair(n)?;
        Ok((text(name)?, number(process)?))
    };
    Ok(Record::Books {
        term: number(field(v, "term")?)?,
        led: number(field(v, "led")?)?,
        nodes: list(field(v, "nodes")?, name_and_process)?,
    })
}

fn mail(name: &str, v: &Value) -> Read<Record> {
    let (to, _) = name.split_once('/').ok_or("no sender")?;
    let Some([process, count, part, parts, words]) = v.as_array().map(Vec::as_slice) else {
        return Err("not five places".into());
    };
    Ok(Record::Mail {
        to: to.to_owned(),
        process: number(process)?,
        number: number(count)?,
        part: number(part)? as usize,
        parts: number(parts)? as usize,
        text: text(words)?,
    })
}

fn nomad(name: &str, v: &Value) -> Read<Record> {
    match name.split_once('/').ok_or("no space")?.0 {
        "j" => nomad_head(v).map(|h| Record::NomadHead(Box::new(h))),
        "p" => text(v).map(Record::NomadPart),
        "l" => number(v).map(Record::NomadLaunch),
        "i" => text(v).map(Record::NomadToken),
        _ => Ok(Record::PassedOver),
    }
}

fn nomad_head(v: &Value) -> Read<NomadHead> {
    for name in ["nm", "h", "hc", "k", "cl", "t"] {
        text(field(v, name)?)?;
    }
    number(field(v, "at")?)?;
    small(field(v, "pr")?)?;
    field_if(v, "ci", number)?;
    field_or(v, "dc", Vec::new(), |d| list(d, text))?;
    let group = |g: &Value| Ok((text(field(g, "g")?)?, number(field(g, "j")?)?, small(field(g, "n")?)?));
    let earlier = |e: &Value| Ok((number(field(e, "v")?)?, text(field(e, "w")?)?, number(field(e, "at")?)?));
    Ok(NomadHead {
        namespace: text(field(v, "ns")?)?,
        id: text(field(v, "id")?)?,
        version: number(field(v, "v")?)?,
        nonce: text(field(v, "w")?)?,
        stop: field_or(v, "s", false, flag)?,
        purge: field_or(v, "pg", false, flag)?,
        groups: list(field(v, "gr")?, group)?,
        old: field_or(v, "o", Vec::new(), |o| list(o, number))?,
        periodic: field_if(v, "pe", nomad_periodic)?.is_some(),
        parameterized: field_if(v, "pa", nomad_parameterized)?.is_some(),
        parent: field_if(v, "up", text)?,
        earlier: field_or(v, "vs", Vec::new(), |e| list(e, earlier))?,
    })
}

fn nomad_periodic(v: &Value) -> Read<()> {
    list(field(v, "c")?, text)?;
    text(field(v, "z")?)?;
    field_or(v, "o", false, flag)?;
    flag(field(v, "e")?)?;
    Ok(())
}

fn nomad_parameterized(v: &Value) -> Read<()> {
    text(field(v, "p")?)?;
    field_or(v, "r", Vec::new(), |r| list(r, text))?;
    field_or(v, "o", Vec::new(), |o| list(o, text))?;
    Ok(())
}
