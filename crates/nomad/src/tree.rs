//! A job file as a tree of attributes and blocks, independent of its syntax, with the offset of
//! every element, and the diagnostics found in it.
use serde::Serialize;
use std::fmt;

/// Longest accepted file in bytes.
pub const MAX_FILE_BYTES: usize = 512 * 1024;
/// Deepest nesting of blocks, lists and maps.
pub const MAX_DEPTH: usize = 64;

/// A value, after evaluation of all expressions.
#[derive(Debug, Clone, PartialEq)]
pub enum Datum {
    /// Null.
    Null,
    /// A boolean.
    Bool(bool),
    /// A number; whole numbers are exact up to 2^53.
    Number(f64),
    /// Text.
    Text(String),
    /// Text with references that only the machine can resolve, such as `${node.class}`, kept as
    /// written.
    Runtime(String),
    /// A list.
    List(Vec<Node>),
    /// A map, in the order of the file.
    Map(Vec<(String, Node)>),
}

impl Datum {
    /// The name of its type in diagnostics.
    pub fn kind(&self) -> &'static str {
        match self {
            Datum::Null => "null",
            Datum::Bool(_) => "a boolean",
            Datum::Number(_) => "a number",
            Datum::Text(_) => "text",
            Datum::Runtime(_) => "text that only the machine knows",
            Datum::List(_) => "a list",
            Datum::Map(_) => "a map",
        }
    }

    /// The text of a scalar, as in a template.
    pub fn text(&self) -> Option<String> {
        Some(match self {
            Datum::Text(s) | Datum::Runtime(s) => s.clone(),
            Datum::Number(n) => number_text(*n),
            Datum::Bool(b) => b.to_string(),
            _ => return None,
        })
    }

    /// Whether the value equals that of an unset field.
    pub fn is_empty(&self) -> bool {
        match self {
            Datum::Null => true,
            Datum::Bool(b) => !b,
            Datum::Number(n) => *n == 0.0,
            Datum::Text(s) | Datum::Runtime(s) => s.is_empty(),
            Datum::List(l) => l.is_empty(),
            Datum::Map(m) => m.is_empty(),
        }
    }

    /// The value as JSON.
    pub fn json(&self) -> serde_json::Value {
        use serde_json::Value;
        match self {
            Datum::Null => Value::Null,
            Datum::Bool(b) => Value::Bool(*b),
            Datum::Number(n) if n.fract() == 0.0 && n.abs() < 9e15 => Value::from(*n as i64),
            Datum::Number(n) => Value::from(*n),
            Datum::Text(s) | Datum::Runtime(s) => Value::from(s.as_str()),
            Datum::List(l) => Value::Array(l.iter().map(|n| n.datum.json()).collect()),
            Datum::Map(m) => Value::Object(m.iter().map(|(k, n)| (k.clone(), n.datum.json())).collect()),
        }
    }

    /// Converts JSON; every element gets the offset `at`.
    pub fn from_json(v: &serde_json::Value, at: usize) -> Datum {
        use serde_json::Value;
        match v {
            Value::Null => Datum::Null,
            Value::Bool(b) => Datum::Bool(*b),
            Value::Number(n) => Datum::Number(n.as_f64().unwrap_or(0.0)),
            Value::String(s) => Datum::Text(s.clone()),
            Value::Array(l) => {
                Datum::List(l.iter().map(|v| Node { at, datum: Datum::from_json(v, at) }).collect())
            }
            Value::Object(m) => Datum::Map(
                m.iter().map(|(k, v)| (k.clone(), Node { at, datum: Datum::from_json(v, at) })).collect(),
            ),
        }
    }
}

/// A number, without a fraction if it is whole.
pub fn number_text(n: f64) -> String {
    if n.fract() == 0.0 && n.abs() < 1e15 { format!("{}", n as i64) } else { format!("{n}") }
}

/// A value with its offset.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Offset in the file in bytes.
    pub at: usize,
    /// The value.
    pub datum: Datum,
}

/// `name = value`.
#[derive(Debug, Clone, PartialEq)]
pub struct Attr {
    /// Name as the file writes it.
    pub name: String,
    /// Offset of the name.
    pub at: usize,
    /// Value.
    pub value: Node,
}

/// `name "label" { … }`.
#[derive(Debug, Clone, PartialEq)]
pub struct Block {
    /// Name.
    pub name: String,
    /// Offset of the name.
    pub at: usize,
    /// Labels with their offsets.
    pub labels: Vec<(String, usize)>,
    /// Content between the braces.
    pub body: Tree,
}

/// Attributes and blocks of one level.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tree {
    /// Offset of the start.
    pub at: usize,
    /// Attributes.
    pub attrs: Vec<Attr>,
    /// Blocks.
    pub blocks: Vec<Block>,
}

impl Tree {
    /// The attribute of this name.
    pub fn attr(&self, name: &str) -> Option<&Attr> {
        self.attrs.iter().find(|a| a.name == name)
    }
    /// All blocks of this name.
    pub fn blocks_named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Block> + 'a {
        self.blocks.iter().filter(move |b| b.name == name)
    }
    /// The first block of this name.
    pub fn block<'a>(&'a self, name: &'a str) -> Option<&'a Block> {
        self.blocks_named(name).next()
    }
}

/// Severity of a diagnostic; the most severe sorts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The file can't be read.
    Unreadable,
    /// The file is readable, but can't be served.
    Refused,
    /// The file is accepted, but a part of it has no effect.
    Warning,
}

/// An error or warning at a position of a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Severity.
    pub severity: Severity,
    /// Offset in the file in bytes.
    #[serde(skip)]
    pub at: usize,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path in the job, such as `job.web.group.api.count`; empty for the whole file.
    pub path: String,
    /// What is wrong and what is allowed.
    pub text: String,
}

/// Most diagnostics kept for one file.
const MAX_DIAGNOSTICS: usize = 200;

/// Collects the diagnostics of a file.
#[derive(Debug, Default)]
pub struct Diagnostics {
    /// Diagnostics in the order in which they were found, until they are sorted by
    /// `assign_positions`.
    pub list: Vec<Diagnostic>,
    /// Number of diagnostics found beyond the limit.
    pub omitted: usize,
}

impl Diagnostics {
    fn add(&mut self, severity: Severity, at: usize, path: &str, text: String) {
        let diagnostic = Diagnostic { severity, at, line: 0, column: 0, path: path.into(), text };
        if self.list.contains(&diagnostic) {
            return;
        }
        if self.list.len() < MAX_DIAGNOSTICS {
            self.list.push(diagnostic);
        } else {
            self.omitted += 1;
        }
    }
    /// Adds an error: the file can't be read.
    pub fn unreadable(&mut self, at: usize, path: &str, text: impl Into<String>) {
        self.add(Severity::Unreadable, at, path, text.into());
    }
    /// Adds a refusal: the file requests what can't be served.
    pub fn refused(&mut self, at: usize, path: &str, text: impl Into<String>) {
        self.add(Severity::Refused, at, path, text.into());
    }
    /// Adds a warning: something has no effect.
    pub fn warning(&mut self, at: usize, path: &str, text: impl Into<String>) {
        self.add(Severity::Warning, at, path, text.into());
    }
    /// The highest severity.
    pub fn worst(&self) -> Option<Severity> {
        self.list.iter().map(|f| f.severity).min()
    }
    /// Whether the file is accepted.
    pub fn accepted(&self) -> bool {
        self.worst().is_none_or(|s| s == Severity::Warning)
    }
    /// Sets line and column of every diagnostic, and sorts them by position.
    pub fn assign_positions(&mut self, source: &str) {
        self.list.sort_by_key(|f| (f.at, f.severity));
        let (mut line, mut start, mut scanned) = (1, 0, 0);
        for f in &mut self.list {
            let at = (0..=f.at.min(source.len())).rev().find(|i| source.is_char_boundary(*i)).unwrap_or(0);
            for (i, _) in source[scanned..at].match_indices('\n') {
                line += 1;
                start = scanned + i + 1;
            }
            scanned = scanned.max(at);
            f.line = line;
            f.column = source[start.min(at)..at].chars().count() + 1;
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self.severity {
            Severity::Unreadable => "error",
            Severity::Refused => "refused",
            Severity::Warning => "warning",
        };
        write!(f, "{}:{}: {word}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.text)
    }
}
