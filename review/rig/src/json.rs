//! A small JSON reader and writer. Numbers keep their text, so that values pass unchanged.
use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

const NULL: Json = Json::Null;

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut p = Parser { text, pos: 0, depth: 0 };
        let v = p.value()?;
        p.space();
        (p.pos == text.len()).then_some(v)
    }
    /// The field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == name).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(n) => n.parse().ok(),
            _ => None,
        }
    }
    pub fn f64(&self) -> Option<f64> {
        match self {
            Json::Num(n) => n.parse().ok(),
            _ => None,
        }
    }
    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(a) => a,
            _ => &[],
        }
    }
}

pub fn s(text: &str) -> Json {
    Json::Str(text.to_owned())
}
pub fn n(v: impl fmt::Display) -> Json {
    Json::Num(v.to_string())
}
pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

fn write_str(f: &mut fmt::Formatter<'_>, t: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in t.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(t) => f.write_str(t),
            Json::Str(t) => write_str(f, t),
            Json::Arr(a) => {
                f.write_str("[")?;
                for (i, v) in a.iter().enumerate() {
                    if i > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{v}")?;
                }
                f.write_str("]")
            }
            Json::Obj(o) => {
                f.write_str("{")?;
                for (i, (k, v)) in o.iter().enumerate() {
                    if i > 0 {
                        f.write_str(",")?;
                    }
                    write_str(f, k)?;
                    write!(f, ":{v}")?;
                }
                f.write_str("}")
            }
        }
    }
}

struct Parser<'a> {
    text: &'a [u8],
    pos: usize,
    depth: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.pos).is_some_and(|b| matches!(b, b' ' | b'\t' | b'\r' | b'\n')) {
            self.pos += 1;
        }
    }
    fn eat(&mut self, b: u8) -> Option<()> {
        self.space();
        (self.text.get(self.pos) == Some(&b)).then(|| self.pos += 1)
    }
    fn word(&mut self, w: &str, v: Json) -> Option<Json> {
        self.text[self.pos..].starts_with(w.as_bytes()).then(|| {
            self.pos += w.len();
            v
        })
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        self.depth += 1;
        if self.depth > 100 {
            return None;
        }
        let v = match *self.text.get(self.pos)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.pos += 1;
                let mut a = Vec::new();
                if self.eat(b']').is_some() {
                    self.depth -= 1;
                    return Some(Json::Arr(a));
                }
                loop {
                    a.push(self.value()?);
                    if self.eat(b']').is_some() {
                        break Some(Json::Arr(a));
                    }
                    self.eat(b',')?;
                }
            }
            b'{' => {
                self.pos += 1;
                let mut o = Vec::new();
                if self.eat(b'}').is_some() {
                    self.depth -= 1;
                    return Some(Json::Obj(o));
                }
                loop {
                    self.space();
                    let k = self.string()?;
                    self.eat(b':')?;
                    let v = self.value()?;
                    o.push((k, v));
                    if self.eat(b'}').is_some() {
                        break Some(Json::Obj(o));
                    }
                    self.eat(b',')?;
                }
            }
            _ => {
                let from = self.pos;
                while self
                    .text
                    .get(self.pos)
                    .is_some_and(|b| b.is_ascii_digit() || matches!(b, b'-' | b'+' | b'.' | b'e' | b'E'))
                {
                    self.pos += 1;
                }
                let t = std::str::from_utf8(&self.text[from..self.pos]).ok()?;
                t.parse::<f64>().ok().map(|_| Json::Num(t.to_owned()))
            }
        };
        self.depth -= 1;
        v
    }
    fn string(&mut self) -> Option<String> {
        if self.text.get(self.pos) != Some(&b'"') {
            return None;
        }
        self.pos += 1;
        let mut out: Vec<u8> = Vec::new();
        loop {
            match *self.text.get(self.pos)? {
                b'"' => {
                    self.pos += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let c = *self.text.get(self.pos + 1)?;
                    self.pos += 2;
                    match c {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let h = std::str::from_utf8(self.text.get(self.pos..self.pos + 4)?).ok()?;
                            let c = char::from_u32(u32::from_str_radix(h, 16).ok()?).unwrap_or('?');
                            self.pos += 4;
                            out.extend(c.to_string().as_bytes());
                        }
                        c => out.push(c),
                    }
                }
                b => {
                    out.push(b);
                    self.pos += 1;
                }
            }
        }
    }
}
