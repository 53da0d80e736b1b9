//! Common functions of HCL2. Functions that read the local machine or its clock, or that use
//! randomness, are refused, so that a file means the same wherever it is read.
use crate::eval::{insert, values_equal};
use crate::tree::{Datum, Node, number_text};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256, Sha512};

type FunctionResult = Result<Datum, String>;

/// Longest list that `range` returns.
const MAX_RANGE: usize = 100_000;

fn list(items: impl IntoIterator<Item = Datum>, at: usize) -> Datum {
    Datum::List(items.into_iter().map(|datum| Node { at, datum }).collect())
}

fn to_text(d: &Datum) -> Result<String, String> {
    d.text().ok_or_else(|| format!("text is wanted, not {}", d.kind()))
}

fn to_number(d: &Datum) -> Result<f64, String> {
    match d {
        Datum::Number(n) => Ok(*n),
        Datum::Text(s) => s.trim().parse().map_err(|_| format!("\"{s}\" is not a number")),
        d => Err(format!("a number is wanted, not {}", d.kind())),
    }
}

fn to_integer(d: &Datum) -> Result<i64, String> {
    let n = to_number(d)?;
    if n.fract() == 0.0 && n.abs() < 9e15 { Ok(n as i64) } else { Err(format!("{n} is not a whole number")) }
}

fn as_list(d: &Datum) -> Result<&[Node], String> {
    match d {
        Datum::List(l) => Ok(l),
        d => Err(format!("a list is wanted, not {}", d.kind())),
    }
}

fn as_map(d: &Datum) -> Result<&[(String, Node)], String> {
    match d {
        Datum::Map(m) => Ok(m),
        d => Err(format!("a map is wanted, not {}", d.kind())),
    }
}

/// Calls a function; the error is the reason without its location.
pub fn call(name: &str, a: &[Datum], at: usize) -> FunctionResult {
    let text_of = |i: usize| to_text(&a[i]);
    let check_arg_count = |min: usize, max: usize| {
        if (min..=max).contains(&a.len()) {
            return Ok(());
        }
        let want = match (min, max) {
            (l, m) if l == m => format!("{l}"),
            (l, usize::MAX) => format!("at least {l}"),
            (l, m) => format!("{l} to {m}"),
        };
        Err(format!("{name} takes {want} arguments, not {}", a.len()))
    };
    let t = |s: String| Ok(Datum::Text(s));
    let n = |v: f64| {
        if v.is_finite() { Ok(Datum::Number(v)) } else { Err(format!("{name} has no finite result")) }
    };
    match name {
        "upper" | "lower" | "title" | "trimspace" | "chomp" | "strrev" | "strlen" | "base64encode"
        | "base64decode" | "sha256" | "sha512" | "urlencode" | "jsondecode" => {
            check_arg_count(1, 1)?;
            let s = text_of(0)?;
            match name {
                "upper" => t(s.to_uppercase()),
                "lower" => t(s.to_lowercase()),
                "title" => t(s.split_inclusive(char::is_whitespace).map(capital).collect()),
                "trimspace" => t(s.trim().to_owned()),
                "chomp" => t(s.trim_end_matches(['\r', '\n']).to_owned()),
                "strrev" => t(s.chars().rev().collect()),
                "strlen" => n(s.chars().count() as f64),
                "base64encode" => t(STANDARD.encode(s)),
                "base64decode" => {
                    let bytes = STANDARD.decode(s).map_err(|e| format!("not base64: {e}"))?;
                    t(String::from_utf8(bytes).map_err(|_| "what is decoded is not text")?)
                }
                "sha256" => t(hex::encode(Sha256::digest(s))),
                "sha512" => t(hex::encode(Sha512::digest(s))),
                "urlencode" => {
                    t(percent_encoding::utf8_percent_encode(&s, percent_encoding::NON_ALPHANUMERIC)
                        .to_string())
                }
                _ => {
                    let v: serde_json::Value =
                        serde_json::from_str(&s).map_err(|e| format!("not JSON: {e}"))?;
                    Ok(Datum::from_json(&v, at))
                }
            }
        }
        "trim" | "trimprefix" | "trimsuffix" => {
            check_arg_count(2, 2)?;
            let (s, x) = (text_of(0)?, text_of(1)?);
            t(match name {
                "trim" => s.trim_matches(|c| x.contains(c)).to_owned(),
                "trimprefix" => s.strip_prefix(&*x).unwrap_or(&s).to_owned(),
                _ => s.strip_suffix(&*x).unwrap_or(&s).to_owned(),
            })
        }
        "replace" => {
            check_arg_count(3, 3)?;
            let (s, x, y) = (text_of(0)?, text_of(1)?, text_of(2)?);
            // A pattern between slashes is a regular expression.
            match x.strip_prefix('/').and_then(|p| p.strip_suffix('/')).filter(|p| !p.is_empty()) {
                Some(p) => regex_replace(&s, p, &y).map(Datum::Text),
                None if x.is_empty() => Err("the text to replace is empty".into()),
                None => {
                    check_result_size(s.len() + s.matches(&x).count().saturating_mul(y.len()))?;
                    t(s.replace(&x, &y))
                }
            }
        }
        "regex_replace" => {
            check_arg_count(3, 3)?;
            regex_replace(&text_of(0)?, &text_of(1)?, &text_of(2)?).map(Datum::Text)
        }
        "substr" => {
            check_arg_count(3, 3)?;
            let chars: Vec<char> = text_of(0)?.chars().collect();
            let (from, len) = (to_integer(&a[1])?, to_integer(&a[2])?);
            let from = if from < 0 { chars.len() as i64 + from } else { from }.clamp(0, chars.len() as i64);
            let end = if len < 0 { chars.len() as i64 } else { (from + len).min(chars.len() as i64) };
            t(chars[from as usize..end as usize].iter().collect())
        }
        "indent" => {
            check_arg_count(2, 2)?;
            let pad = " ".repeat(to_integer(&a[0])?.clamp(0, 200) as usize);
            let s = text_of(1)?;
            check_result_size(s.len() + s.matches('\n').count() * pad.len())?;
            t(s.replace('\n', &format!("\n{pad}")))
        }
        "join" => {
            check_arg_count(2, usize::MAX)?;
            let sep = text_of(0)?;
            let mut parts = Vec::new();
            for l in &a[1..] {
                for x in as_list(l)? {
                    parts.push(to_text(&x.datum)?);
                }
            }
            check_result_size(
                parts.len().saturating_mul(sep.len()) + parts.iter().map(String::len).sum::<usize>(),
            )?;
            t(parts.join(&sep))
        }
        "split" => {
            check_arg_count(2, 2)?;
            let (sep, s) = (text_of(0)?, text_of(1)?);
            if sep.is_empty() {
                check_result_size(s.len() * 64)?;
                return Ok(list(s.chars().map(|c| Datum::Text(c.to_string())), at));
            }
            Ok(list(s.split(&*sep).map(|p| Datum::Text(p.to_owned())), at))
        }
        "startswith" | "endswith" | "strcontains" => {
            check_arg_count(2, 2)?;
            let (s, x) = (text_of(0)?, text_of(1)?);
            Ok(Datum::Bool(match name {
                "startswith" => s.starts_with(&*x),
                "endswith" => s.ends_with(&*x),
                _ => s.contains(&*x),
            }))
        }
        "format" => {
            check_arg_count(1, usize::MAX)?;
            t(format_text(&text_of(0)?, &a[1..])?)
        }
        "formatlist" => {
            check_arg_count(2, usize::MAX)?;
            let rows = a[1..].iter().filter_map(|d| as_list(d).ok().map(<[Node]>::len)).max().unwrap_or(1);
            let form = text_of(0)?;
            check_result_size(rows.saturating_mul(form.len()))?;
            let (mut out, mut total_bytes) = (Vec::new(), 0);
            for i in 0..rows {
                let mut args = Vec::new();
                for d in &a[1..] {
                    args.push(match d {
                        Datum::List(l) => l.get(i).ok_or("the lists differ in length")?.datum.clone(),
                        d => d.clone(),
                    });
                }
                let line = format_text(&form, &args)?;
                total_bytes += line.len();
                check_result_size(total_bytes)?;
                out.push(Datum::Text(line));
            }
            Ok(list(out, at))
        }
        "tostring" | "tonumber" | "tobool" => {
            check_arg_count(1, 1)?;
            match (name, &a[0]) {
                (_, Datum::Null) => Ok(Datum::Null),
                ("tostring", d) => t(to_text(d)?),
                ("tonumber", d) => n(to_number(d)?),
                (_, Datum::Bool(b)) => Ok(Datum::Bool(*b)),
                (_, Datum::Text(s)) if s == "true" => Ok(Datum::Bool(true)),
                (_, Datum::Text(s)) if s == "false" => Ok(Datum::Bool(false)),
                (_, d) => Err(format!("{} is no boolean", d.kind())),
            }
        }
        "tolist" | "toset" | "tomap" => {
            check_arg_count(1, 1)?;
            match (name, &a[0]) {
                ("tomap", Datum::Map(_)) | ("tolist", Datum::List(_)) => Ok(a[0].clone()),
                ("toset", Datum::List(l)) => Ok(distinct(l, at)),
                (_, d) => Err(format!("{} can't be made that", d.kind())),
            }
        }
        "abs" | "ceil" | "floor" | "signum" => {
            check_arg_count(1, 1)?;
            let v = to_number(&a[0])?;
            n(match name {
                "abs" => v.abs(),
                "ceil" => v.ceil(),
                "floor" => v.floor(),
                _ if v == 0.0 => 0.0,
                _ => v.signum(),
            })
        }
        "pow" | "log" => {
            check_arg_count(2, 2)?;
            let (x, y) = (to_number(&a[0])?, to_number(&a[1])?);
            n(if name == "pow" { x.powf(y) } else { x.log(y) })
        }
        "parseint" => {
            check_arg_count(2, 2)?;
            let base = to_integer(&a[1])?;
            if !(2..=36).contains(&base) {
                return Err("the base must be 2 to 36".into());
            }
            let s = text_of(0)?;
            let v = i64::from_str_radix(&s, base as u32).map_err(|_| format!("\"{s}\" is not a number"))?;
            n(v as f64)
        }
        "min" | "max" => {
            check_arg_count(1, usize::MAX)?;
            let mut best = to_number(&a[0])?;
            for d in &a[1..] {
                let v = to_number(d)?;
                best = if name == "min" { best.min(v) } else { best.max(v) };
            }
            n(best)
        }
        "sum" => {
            check_arg_count(1, 1)?;
            let mut s = 0.0;
            for x in as_list(&a[0])? {
                s += to_number(&x.datum)?;
            }
            n(s)
        }
        "length" => {
            check_arg_count(1, 1)?;
            n(match &a[0] {
                Datum::List(l) => l.len(),
                Datum::Map(m) => m.len(),
                d => to_text(d)?.chars().count(),
            } as f64)
        }
        "concat" | "setunion" => {
            check_arg_count(1, usize::MAX)?;
            let mut out = Vec::new();
            for d in a {
                out.extend(as_list(d)?.iter().cloned());
            }
            if name == "setunion" { Ok(distinct(&out, at)) } else { Ok(Datum::List(out)) }
        }
        "setintersection" | "setsubtract" => {
            check_arg_count(2, 2)?;
            let other = as_list(&a[1])?;
            let keep_common = name == "setintersection";
            let kept: Vec<Node> = as_list(&a[0])?
                .iter()
                .filter(|x| other.iter().any(|y| values_equal(&x.datum, &y.datum)) == keep_common)
                .cloned()
                .collect();
            Ok(distinct(&kept, at))
        }
        "contains" => {
            check_arg_count(2, 2)?;
            Ok(Datum::Bool(as_list(&a[0])?.iter().any(|x| values_equal(&x.datum, &a[1]))))
        }
        "index" => {
            check_arg_count(2, 2)?;
            match as_list(&a[0])?.iter().position(|x| values_equal(&x.datum, &a[1])) {
                Some(i) => n(i as f64),
                None => Err("the list does not hold that".into()),
            }
        }
        "distinct" => {
            check_arg_count(1, 1)?;
            Ok(distinct(as_list(&a[0])?, at))
        }
        "compact" => {
            check_arg_count(1, 1)?;
            Ok(Datum::List(as_list(&a[0])?.iter().filter(|x| !x.datum.is_empty()).cloned().collect()))
        }
        "reverse" => {
            check_arg_count(1, 1)?;
            Ok(Datum::List(as_list(&a[0])?.iter().rev().cloned().collect()))
        }
        "sort" => {
            check_arg_count(1, 1)?;
            let mut v = Vec::new();
            for x in as_list(&a[0])? {
                v.push(to_text(&x.datum)?);
            }
            v.sort();
            Ok(list(v.into_iter().map(Datum::Text), at))
        }
        "flatten" => {
            check_arg_count(1, 1)?;
            fn flat(l: &[Node], out: &mut Vec<Node>) {
                for x in l {
                    match &x.datum {
                        Datum::List(m) => flat(m, out),
                        _ => out.push(x.clone()),
                    }
                }
            }
            let mut out = Vec::new();
            flat(as_list(&a[0])?, &mut out);
            Ok(Datum::List(out))
        }
        "element" => {
            check_arg_count(2, 2)?;
            let l = as_list(&a[0])?;
            if l.is_empty() {
                return Err("the list is empty".into());
            }
            Ok(l[to_integer(&a[1])?.rem_euclid(l.len() as i64) as usize].datum.clone())
        }
        "slice" => {
            check_arg_count(3, 3)?;
            let l = as_list(&a[0])?;
            let (from, to) = (to_integer(&a[1])?, to_integer(&a[2])?);
            if from < 0 || to < from || to > l.len() as i64 {
                return Err(format!("the list has {} elements, not {from} to {to}", l.len()));
            }
            Ok(Datum::List(l[from as usize..to as usize].to_vec()))
        }
        "chunklist" => {
            check_arg_count(2, 2)?;
            let size = to_integer(&a[1])?.max(1) as usize;
            Ok(list(as_list(&a[0])?.chunks(size).map(|c| Datum::List(c.to_vec())), at))
        }
        "range" => {
            check_arg_count(1, 3)?;
            let v: Vec<f64> = a.iter().map(to_number).collect::<Result<_, _>>()?;
            let (from, to) = if v.len() == 1 { (0.0, v[0]) } else { (v[0], v[1]) };
            let step = v.get(2).copied().unwrap_or(if to >= from { 1.0 } else { -1.0 });
            if step == 0.0 {
                return Err("the step is 0".into());
            }
            let count = ((to - from) / step).ceil().max(0.0);
            if count > MAX_RANGE as f64 {
                return Err(format!("a range has at most {MAX_RANGE} elements"));
            }
            Ok(list((0..count as usize).map(|i| Datum::Number(from + i as f64 * step)), at))
        }
        "keys" | "values" => {
            check_arg_count(1, 1)?;
            let mut m: Vec<&(String, Node)> = as_map(&a[0])?.iter().collect();
            m.sort_by(|x, y| x.0.cmp(&y.0));
            Ok(list(
                m.into_iter()
                    .map(|(k, v)| if name == "keys" { Datum::Text(k.clone()) } else { v.datum.clone() }),
                at,
            ))
        }
        "lookup" => {
            check_arg_count(2, 3)?;
            let key = text_of(1)?;
            match (as_map(&a[0])?.iter().find(|(k, _)| *k == key), a.get(2)) {
                (Some((_, v)), _) => Ok(v.datum.clone()),
                (None, Some(d)) => Ok(d.clone()),
                (None, None) => Err(format!("the map has no {key}")),
            }
        }
        "merge" => {
            check_arg_count(1, usize::MAX)?;
            let mut out = Vec::new();
            for d in a {
                for (k, v) in as_map(d)? {
                    insert(&mut out, k.clone(), v.clone());
                }
            }
            Ok(Datum::Map(out))
        }
        "zipmap" => {
            check_arg_count(2, 2)?;
            let (k, v) = (as_list(&a[0])?, as_list(&a[1])?);
            if k.len() != v.len() {
                return Err("the lists differ in length".into());
            }
            let mut out = Vec::new();
            for (k, v) in k.iter().zip(v) {
                insert(&mut out, to_text(&k.datum)?, v.clone());
            }
            Ok(Datum::Map(out))
        }
        "coalesce" | "coalescelist" => {
            check_arg_count(1, usize::MAX)?;
            a.iter().find(|d| !d.is_empty()).cloned().ok_or("all arguments are empty".into())
        }
        "jsonencode" => {
            check_arg_count(1, 1)?;
            t(a[0].json().to_string())
        }
        "cidrhost" | "cidrnetmask" | "cidrsubnet" => cidr(name, a),
        "file" | "fileset" | "filebase64" | "templatefile" | "filemd5" | "filesha256" | "abspath" => {
            Err(format!("{name} reads the machine that the file is checked on: put the text into the file"))
        }
        "timestamp" | "uuidv4" | "uuidv5" | "bcrypt" | "plantimestamp" => Err(format!(
            "{name} gives something else each time: a file must mean the same wherever it is read"
        )),
        _ => Err(format!("the function {name} is not known")),
    }
}

fn capital(word: &str) -> String {
    let mut c = word.chars();
    c.next().map_or(String::new(), |f| f.to_uppercase().chain(c).collect())
}

/// Refuses a result that would take too much memory, before it is built.
fn check_result_size(bytes: usize) -> Result<(), String> {
    if bytes <= 4 << 20 { Ok(()) } else { Err("the result is longer than 4 MiB".into()) }
}

fn regex_replace(s: &str, pattern: &str, with: &str) -> Result<String, String> {
    let r = regex(pattern)?;
    // Every `$` in the replacement stands for at most the whole text, once.
    let groups = with.matches('$').count().saturating_mul(s.len());
    check_result_size(s.len() + r.find_iter(s).count().saturating_mul(with.len()) + groups)?;
    Ok(r.replace_all(s, with).into_owned())
}

fn regex(p: &str) -> Result<regex_lite::Regex, String> {
    regex_lite::RegexBuilder::new(p)
        .size_limit(1 << 20)
        .build()
        .map_err(|e| format!("not a regular expression: {e}"))
}

fn distinct(l: &[Node], at: usize) -> Datum {
    let mut out: Vec<Node> = Vec::new();
    let mut seen = std::collections::HashSet::new();
    for x in l {
        // Equal values have equal JSON text; maps that differ only in key order may not, which at
        // worst leaves a duplicate.
        if seen.insert(x.datum.json().to_string()) {
            out.push(Node { at, datum: x.datum.clone() });
        }
    }
    Datum::List(out)
}

/// Formats `%s`, `%d`, `%f`, `%q`, `%v`, `%t`, `%x` and `%%`, with width, zero padding and
/// precision.
fn format_text(f: &str, args: &[Datum]) -> Result<String, String> {
    let (mut out, mut next, mut rest) = (String::new(), 0, f);
    while let Some(i) = rest.find('%') {
        out.push_str(&rest[..i]);
        rest = &rest[i + 1..];
        let end = rest.find(|c: char| c.is_alphabetic() || c == '%').ok_or("% stands at the end")?;
        let (flags, verb) = (&rest[..end], rest[end..].chars().next().unwrap_or('%'));
        rest = &rest[end + verb.len_utf8()..];
        if verb == '%' {
            out.push('%');
            continue;
        }
        let arg = args.get(next).ok_or(format!("there is no argument for %{flags}{verb}"))?;
        next += 1;
        let (width, digits) = flags.split_once('.').map_or((flags, None), |(w, d)| (w, Some(d)));
        let digits: Option<usize> = match digits {
            Some(d) => Some(d.parse::<usize>().map_err(|_| format!("%{flags}{verb} is not known"))?.min(30)),
            None => None,
        };
        let left = width.starts_with('-');
        let zeros = width.starts_with('0');
        let width = width.trim_start_matches('-');
        let width: usize = if width.is_empty() {
            0
        } else {
            width.parse::<usize>().map_err(|_| format!("%{flags}{verb} is not known"))?.min(1000)
        };
        let s = match verb {
            's' | 'v' => arg.text().unwrap_or_else(|| arg.json().to_string()),
            'q' => serde_json::Value::from(to_text(arg)?).to_string(),
            't' => match arg {
                Datum::Bool(b) => b.to_string(),
                d => return Err(format!("%t wants a boolean, not {}", d.kind())),
            },
            'd' => to_integer(arg)?.to_string(),
            'x' => format!("{:x}", to_integer(arg)?),
            'f' => format!("{:.*}", digits.unwrap_or(6), to_number(arg)?),
            _ => return Err(format!("%{flags}{verb} is not known")),
        };
        let pad = width.saturating_sub(s.chars().count());
        match (left, zeros) {
            (true, _) => out.extend([s, " ".repeat(pad)]),
            (_, true) => match s.strip_prefix('-') {
                Some(digits) => out.extend(["-".to_owned(), "0".repeat(pad), digits.to_owned()]),
                None => out.extend(["0".repeat(pad), s]),
            },
            _ => out.extend([" ".repeat(pad), s]),
        }
    }
    out.push_str(rest);
    if next < args.len() {
        return Err(format!("format has {} arguments for {next} places", args.len()));
    }
    Ok(out)
}

fn cidr(name: &str, a: &[Datum]) -> FunctionResult {
    let want = match name {
        "cidrnetmask" => 1,
        "cidrhost" => 2,
        _ => 3,
    };
    if a.len() != want {
        return Err(format!("{name} takes {want} arguments, not {}", a.len()));
    }
    let s = to_text(&a[0])?;
    let net: ipnet::IpNet = s.parse().map_err(|_| format!("\"{s}\" is not a network such as 10.0.0.0/8"))?;
    let net = net.trunc();
    // Addresses as integers, for both IPv4 and IPv6.
    let (base, bits): (u128, u32) = match net.network() {
        std::net::IpAddr::V4(v) => (u32::from(v) as u128, 32),
        std::net::IpAddr::V6(v) => (u128::from(v), 128),
    };
    let address = |v: u128| -> std::net::IpAddr {
        if bits == 32 {
            std::net::Ipv4Addr::from(v as u32).into()
        } else {
            std::net::Ipv6Addr::from(v).into()
        }
    };
    let free = bits - net.prefix_len() as u32;
    match name {
        "cidrnetmask" => Ok(Datum::Text(net.netmask().to_string())),
        "cidrhost" => {
            let i = to_integer(&a[1])?;
            let size = if free >= 127 { u128::MAX } else { 1u128 << free };
            let at = if i < 0 { size.checked_sub(i.unsigned_abs() as u128) } else { Some(i as u128) };
            match at.filter(|x| *x < size) {
                Some(x) => Ok(Datum::Text(address(base + x).to_string())),
                None => Err(format!("{net} has no host {}", number_text(i as f64))),
            }
        }
        _ => {
            let (new_bits, i) = (to_integer(&a[1])?, to_integer(&a[2])?);
            if !(0..=free as i64).contains(&new_bits) || i < 0 || new_bits < 63 && i >= 1i64 << new_bits {
                return Err(format!("{net} has no such subnet"));
            }
            let shift = free - new_bits as u32;
            let sub = base + if shift >= 128 { 0 } else { (i as u128) << shift };
            Ok(Datum::Text(format!("{}/{}", address(sub), net.prefix_len() as i64 + new_bits)))
        }
    }
}
