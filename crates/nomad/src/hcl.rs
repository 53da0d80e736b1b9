//! Reader of HCL2 files. It evaluates variables, locals, dynamic blocks and expressions and returns
//! a plain tree.
use crate::eval::{EvalError, Scope};
use crate::tree::{Attr, Block, Datum, Diagnostics, MAX_FILE_BYTES, Node, Tree};
use hcl_edit::Span;
use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Attribute, Body, Structure};
use std::collections::{BTreeMap, BTreeSet};

/// Values from outside the file.
#[derive(Debug, Clone, Default)]
pub struct Inputs {
    /// `--var name=value`; the value is parsed according to the variable's type.
    pub vars: BTreeMap<String, String>,
    /// Variable files as (name, text); later files take precedence.
    pub files: Vec<(String, String)>,
    /// The namespace of a job whose file sets none.
    pub namespace: Option<String>,
}

fn offset_of(e: &impl Span, or: usize) -> usize {
    e.span().map_or(or, |s| s.start)
}

/// Reads a file and returns its `job` block; `None` if it can't be read.
pub fn read(source: &str, inputs: &Inputs, diagnostics: &mut Diagnostics) -> Option<Block> {
    if source.len() > MAX_FILE_BYTES {
        diagnostics.unreadable(0, "", format!("the file is longer than {} KiB", MAX_FILE_BYTES / 1024));
        return None;
    }
    let body = match hcl_edit::parser::parse_body(source) {
        Ok(b) => b,
        Err(e) => {
            diagnostics.unreadable(e.location().offset(), "", e.message().trim().replace('\n', "; "));
            return None;
        }
    };
    let mut r = Reader { scope: Scope::new(source), diagnostics, stopped: false };
    r.variables(&body, inputs);
    r.locals(&body);
    let mut jobs = Vec::new();
    for s in body.iter() {
        match s {
            Structure::Attribute(a) => {
                let (p, name) = (offset_of(&a.key, 0), a.key.as_str());
                r.diagnostics.unreadable(p, name, "only job, variable and locals stand at the top of a file");
            }
            Structure::Block(b) => match b.ident.as_str() {
                "variable" | "locals" => {}
                "job" => jobs.push(b),
                "variables" => {
                    // The older form that declares several variables in one block.
                    let p = offset_of(&b.ident, 0);
                    r.diagnostics.unreadable(p, "variables", "write a variable block for each variable");
                }
                name => r.diagnostics.unreadable(
                    offset_of(&b.ident, 0),
                    name,
                    "only job, variable and locals stand at the top of a file",
                ),
            },
        }
    }
    let Some(job) = jobs.first() else {
        r.diagnostics.unreadable(0, "", "the file has no job");
        return None;
    };
    if let Some(second) = jobs.get(1) {
        r.diagnostics.unreadable(offset_of(&second.ident, 0), "job", "a file has one job");
    }
    let labels = r.labels(job);
    let path = match labels.first() {
        Some((l, _)) => format!("job.{l}"),
        None => "job".into(),
    };
    let block =
        Block { name: "job".into(), at: offset_of(&job.ident, 0), labels, body: r.body(&job.body, 0, &path) };
    (!r.stopped).then_some(block)
}

struct Reader<'a, 'f> {
    scope: Scope<'a>,
    diagnostics: &'f mut Diagnostics,
    /// A limit was exceeded; the rest is not evaluated.
    stopped: bool,
}

impl Reader<'_, '_> {
    fn report_error(&mut self, e: EvalError, path: &str) {
        self.stopped |= e.fatal;
        self.diagnostics.unreadable(e.at, path, e.text);
    }

    fn value(&mut self, e: &Expression, or: usize, path: &str) -> Option<Node> {
        if self.stopped {
            return None;
        }
        // Entries of a map or list are evaluated one by one, so that the errors of all of them are
        // reported.
        let or = offset_of(e, or);
        match e {
            Expression::Object(o) => {
                let (mut map, mut valid) = (Vec::new(), true);
                for (k, v) in o.iter() {
                    let key = self.key(k, or, path);
                    let inner = format!("{path}.{}", key.as_deref().unwrap_or("?"));
                    let value = self.value(v.expr(), or, &inner);
                    match (key, value) {
                        (Some(k), Some(v)) => crate::eval::insert(&mut map, k, v),
                        _ => valid = false,
                    }
                }
                return valid.then_some(Node { at: or, datum: Datum::Map(map) });
            }
            Expression::Array(a) => {
                let all: Vec<Option<Node>> = a.iter().map(|x| self.value(x, or, path)).collect();
                let list: Option<Vec<Node>> = all.into_iter().collect();
                return list.map(|l| Node { at: or, datum: Datum::List(l) });
            }
            _ => {}
        }
        match self.scope.eval(e, or) {
            Ok(datum) => Some(Node { at: offset_of(e, or), datum }),
            Err(e) => {
                self.report_error(e, path);
                None
            }
        }
    }

    fn key(&mut self, k: &ObjectKey, or: usize, path: &str) -> Option<String> {
        match k {
            ObjectKey::Ident(i) => Some(i.to_string()),
            ObjectKey::Expression(Expression::Variable(v)) => Some(v.to_string()),
            ObjectKey::Expression(x) => {
                let n = self.value(x, or, path)?;
                let text = n.datum.text();
                if text.is_none() {
                    self.diagnostics.unreadable(n.at, path, "a map's key must be text");
                }
                text
            }
        }
    }

    fn variables(&mut self, body: &Body, inputs: &Inputs) {
        let mut inputs_by_name: BTreeMap<String, InputValue> = BTreeMap::new();
        for (file, text) in &inputs.files {
            // A variable file consists of HCL attributes. Its offsets do not apply to the job file,
            // so diagnostics name the file instead.
            match hcl_edit::parser::parse_body(text) {
                Ok(b) => {
                    for a in b.attributes() {
                        let mut scope = Scope::new(text);
                        match scope.eval(&a.value, 0) {
                            Ok(d) => drop(inputs_by_name.insert(a.key.to_string(), InputValue::Value(d))),
                            Err(e) => self.diagnostics.unreadable(0, "", format!("{file}: {}", e.text)),
                        }
                    }
                    if b.blocks().next().is_some() {
                        self.diagnostics.unreadable(0, "", format!("{file}: only name = value stands in it"));
                    }
                }
                Err(e) => {
                    let l = e.location();
                    let text = format!("{file}:{}:{}: {}", l.line(), l.column(), e.message().trim());
                    self.diagnostics.unreadable(0, "", text.replace('\n', "; "));
                }
            }
        }
        for (k, v) in &inputs.vars {
            inputs_by_name.insert(k.clone(), InputValue::Text(v.clone()));
        }
        let mut vars: Vec<(String, Node)> = Vec::new();
        for b in body.get_blocks("variable") {
            let p = offset_of(&b.ident, 0);
            let [(name, name_offset)] = &self.labels(b)[..] else {
                self.diagnostics.unreadable(p, "variable", "a variable has one name");
                continue;
            };
            let path = format!("variable.{name}");
            if vars.iter().any(|(k, _)| k == name) {
                self.diagnostics.unreadable(*name_offset, &path, "declared twice");
                continue;
            }
            let mut kind = VariableType::Any;
            let mut default = None;
            for s in b.body.iter() {
                match s {
                    Structure::Attribute(a) => match a.key.as_str() {
                        "type" => match VariableType::read(&a.value) {
                            Some(k) => kind = k,
                            None => self.diagnostics.unreadable(
                                offset_of(&a.value, p),
                                &path,
                                "the type must be string, number, bool, any, or list, set, map, tuple or object of types",
                            ),
                        },
                        "default" => default = self.value(&a.value, p, &path),
                        "description" | "sensitive" | "nullable" => {}
                        other => {
                            let text = format!("a variable has no {other}");
                            self.diagnostics.unreadable(offset_of(&a.key, p), &path, text);
                        }
                    },
                    Structure::Block(v) if v.ident.as_str() == "validation" => {
                        let text = "validations are not run: check the value in the file that gives it";
                        self.diagnostics.warning(offset_of(&v.ident, p), &path, text);
                    }
                    Structure::Block(v) => {
                        let text = format!("a variable has no {}", v.ident.as_str());
                        self.diagnostics.unreadable(offset_of(&v.ident, p), &path, text);
                    }
                }
            }
            let node = match (inputs_by_name.remove(name), default) {
                (Some(InputValue::Value(datum)), _) => Some(Node { at: p, datum }),
                (Some(InputValue::Text(t)), _) => Some(Node { at: p, datum: kind.given(&t) }),
                (None, d) => d,
            };
            match node {
                None if self.stopped => {}
                None => {
                    let text = "it has no value: give one with --var or --var-file, or set a default";
                    self.diagnostics.unreadable(*name_offset, &path, text);
                }
                Some(n) => match kind.convert(n.datum) {
                    Ok(datum) => vars.push((name.clone(), Node { at: n.at, datum })),
                    Err(text) => self.diagnostics.unreadable(n.at, &path, text),
                },
            }
        }
        // A value for a variable that the file does not declare is treated as a typing error.
        let unknown: Vec<&String> = inputs_by_name.keys().collect();
        for name in unknown {
            self.diagnostics.unreadable(0, &format!("variable.{name}"), "the file has no such variable");
        }
        self.scope.set("var", Datum::Map(vars));
    }

    /// Evaluates locals, which may refer to each other in any order.
    fn locals(&mut self, body: &Body) {
        let mut pending: Vec<&Attribute> = Vec::new();
        let mut names = BTreeSet::new();
        for b in body.get_blocks("locals") {
            for a in b.body.attributes() {
                if !names.insert(a.key.to_string()) {
                    let path = format!("local.{}", a.key.as_str());
                    self.diagnostics.unreadable(offset_of(&a.key, 0), &path, "set twice");
                }
                pending.push(a);
            }
        }
        self.scope.set("local", Datum::Map(Vec::new()));
        loop {
            let before = pending.len();
            let mut failed = Vec::new();
            for a in std::mem::take(&mut pending) {
                match self.scope.eval(&a.value, 0) {
                    Ok(datum) => {
                        let node = Node { at: offset_of(&a.value, 0), datum };
                        if let Some(Datum::Map(m)) = self.scope.get("local") {
                            let mut m = m.clone();
                            m.push((a.key.to_string(), node));
                            self.scope.set("local", Datum::Map(m));
                        }
                    }
                    Err(e) if e.fatal => return self.report_error(e, &format!("local.{}", a.key.as_str())),
                    Err(e) => failed.push((a, e)),
                }
            }
            if failed.len() == before {
                for (a, e) in failed {
                    self.report_error(e, &format!("local.{}", a.key.as_str()));
                }
                return;
            }
            pending = failed.into_iter().map(|(a, _)| a).collect();
        }
    }

    fn labels(&mut self, b: &hcl_edit::structure::Block) -> Vec<(String, usize)> {
        b.labels.iter().map(|l| (l.as_str().to_owned(), l.span().map_or(0, |s| s.start))).collect()
    }

    fn body(&mut self, body: &Body, start: usize, path: &str) -> Tree {
        let mut tree = Tree { at: start, ..Tree::default() };
        for s in body.iter() {
            if self.stopped {
                break;
            }
            match s {
                Structure::Attribute(a) => {
                    let (name, p) = (a.key.to_string(), offset_of(&a.key, start));
                    let path = format!("{path}.{name}");
                    if tree.attr(&name).is_some() {
                        self.diagnostics.unreadable(p, &path, "set twice");
                        continue;
                    }
                    if let Some(value) = self.value(&a.value, p, &path) {
                        tree.attrs.push(Attr { name, at: p, value });
                    }
                }
                Structure::Block(b) if b.ident.as_str() == "dynamic" => self.dynamic(b, path, &mut tree),
                Structure::Block(b) => {
                    let (name, p) = (b.ident.to_string(), offset_of(&b.ident, start));
                    let labels = self.labels(b);
                    let mut path = format!("{path}.{name}");
                    labels.iter().for_each(|(l, _)| path.extend([".", l]));
                    if let Err(e) = self.scope.count_work(p, 64) {
                        return {
                            self.report_error(e, &path);
                            tree
                        };
                    }
                    let body = self.body(&b.body, p, &path);
                    tree.blocks.push(Block { name, at: p, labels, body });
                }
            }
        }
        tree
    }

    /// `dynamic "name" { for_each = …  content { … } }`
    fn dynamic(&mut self, b: &hcl_edit::structure::Block, path: &str, tree: &mut Tree) {
        let p = offset_of(&b.ident, 0);
        let [(name, _)] = &self.labels(b)[..] else {
            return self.diagnostics.unreadable(p, path, "dynamic has the name of the block that it makes");
        };
        let path = format!("{path}.{name}");
        let (Some(each), Some(content)) =
            (b.body.get_attribute("for_each"), b.body.get_blocks("content").next())
        else {
            return self.diagnostics.unreadable(p, &path, "dynamic needs for_each and content");
        };
        let iterator = match b.body.get_attribute("iterator").map(|a| &a.value) {
            None => name.clone(),
            Some(Expression::Variable(v)) => v.to_string(),
            Some(e) => {
                return self.diagnostics.unreadable(offset_of(e, p), &path, "iterator must be a name");
            }
        };
        let items = match self.scope.items(&each.value, p) {
            Ok(i) => i,
            Err(e) => return self.report_error(e, &path),
        };
        for (key, value) in items {
            if self.stopped {
                return;
            }
            let node = |datum| Node { at: p, datum };
            let item = Datum::Map(vec![("key".into(), node(key)), ("value".into(), node(value))]);
            let before = self.scope.set(&iterator, item);
            let mut labels = Vec::new();
            if let Some(l) = b.body.get_attribute("labels")
                && let Some(n) = self.value(&l.value, p, &path)
            {
                match n.datum {
                    Datum::List(l) => labels.extend(l.iter().filter_map(|x| Some((x.datum.text()?, x.at)))),
                    _ => self.diagnostics.unreadable(n.at, &path, "labels must be a list"),
                }
            }
            if let Err(e) = self.scope.count_work(p, 64) {
                self.report_error(e, &path);
            }
            let body = self.body(&content.body, p, &path);
            self.scope.restore(&iterator, before);
            tree.blocks.push(Block { name: name.clone(), at: p, labels, body });
        }
    }
}

enum InputValue {
    Value(Datum),
    Text(String),
}

/// The type of a variable.
#[derive(Debug, Clone, PartialEq)]
enum VariableType {
    Any,
    Text,
    Number,
    Bool,
    List(Box<VariableType>),
    Map(Box<VariableType>),
    Object(Vec<(String, VariableType, bool)>),
}

impl VariableType {
    fn read(e: &Expression) -> Option<VariableType> {
        match e {
            Expression::Variable(v) => match v.as_str() {
                "string" => Some(VariableType::Text),
                "number" => Some(VariableType::Number),
                "bool" => Some(VariableType::Bool),
                "any" => Some(VariableType::Any),
                "list" | "set" | "tuple" => Some(VariableType::List(Box::new(VariableType::Any))),
                "map" | "object" => Some(VariableType::Map(Box::new(VariableType::Any))),
                _ => None,
            },
            Expression::String(s) => match s.as_str() {
                "string" => Some(VariableType::Text),
                "list" => Some(VariableType::List(Box::new(VariableType::Any))),
                "map" => Some(VariableType::Map(Box::new(VariableType::Any))),
                _ => None,
            },
            Expression::FuncCall(f) => {
                let arg = f.args.iter().next()?;
                match f.name.name.as_str() {
                    "list" | "set" => Some(VariableType::List(Box::new(VariableType::read(arg)?))),
                    "map" => Some(VariableType::Map(Box::new(VariableType::read(arg)?))),
                    "tuple" => Some(VariableType::List(Box::new(VariableType::Any))),
                    "optional" => VariableType::read(arg),
                    "object" => {
                        let Expression::Object(o) = arg else { return None };
                        let mut fields = Vec::new();
                        for (k, v) in o.iter() {
                            let optional = matches!(v.expr(), Expression::FuncCall(f) if f.name.name.as_str() == "optional");
                            let name = match k {
                                ObjectKey::Ident(i) => i.to_string(),
                                ObjectKey::Expression(Expression::Variable(v)) => v.to_string(),
                                ObjectKey::Expression(Expression::String(s)) => s.to_string(),
                                _ => return None,
                            };
                            fields.push((name, VariableType::read(v.expr())?, optional));
                        }
                        Some(VariableType::Object(fields))
                    }
                    _ => None,
                }
            }
            _ => None,
        }
    }

    /// A value from the command line: text as is, other types parsed as HCL.
    fn given(&self, t: &str) -> Datum {
        if *self == VariableType::Text {
            return Datum::Text(t.to_owned());
        }
        let parsed = hcl_edit::parser::parse_expr(t).ok();
        parsed
            .and_then(|e| Scope::new(t).eval(&e, 0).ok())
            .filter(|d| !matches!(d, Datum::Runtime(_)))
            .unwrap_or_else(|| Datum::Text(t.to_owned()))
    }

    fn convert(&self, d: Datum) -> Result<Datum, String> {
        let each =
            |k: &VariableType, n: Node| Ok::<Node, String>(Node { at: n.at, datum: k.convert(n.datum)? });
        match (self, d) {
            (VariableType::Any, d) | (_, d @ Datum::Null) => Ok(d),
            (VariableType::Text, d) => {
                d.text().map(Datum::Text).ok_or(format!("{} is not a string", d.kind()))
            }
            (VariableType::Number, d @ Datum::Number(_)) | (VariableType::Bool, d @ Datum::Bool(_)) => Ok(d),
            (VariableType::Number, Datum::Text(s)) => match s.trim().parse::<f64>() {
                Ok(n) if n.is_finite() => Ok(Datum::Number(n)),
                _ => Err(format!("\"{s}\" is not a number")),
            },
            (VariableType::Bool, Datum::Text(s)) if s == "true" || s == "false" => {
                Ok(Datum::Bool(s == "true"))
            }
            (VariableType::List(k), Datum::List(l)) => {
                Ok(Datum::List(l.into_iter().map(|n| each(k, n)).collect::<Result<_, _>>()?))
            }
            (VariableType::Map(k), Datum::Map(m)) => {
                let fields = m.into_iter().map(|(name, n)| Ok((name, each(k, n)?)));
                Ok(Datum::Map(fields.collect::<Result<_, String>>()?))
            }
            (VariableType::Object(fields), Datum::Map(m)) => {
                let mut out = Vec::new();
                for (name, k, optional) in fields {
                    match m.iter().find(|(x, _)| x == name) {
                        Some((_, n)) => out.push((name.clone(), each(k, n.clone())?)),
                        None if *optional => {
                            out.push((name.clone(), Node { at: 0, datum: Datum::Null }));
                        }
                        None => return Err(format!("the object lacks {name}")),
                    }
                }
                Ok(Datum::Map(out))
            }
            (k, d) => {
                let want = match k {
                    VariableType::Number => "a number",
                    VariableType::Bool => "a bool",
                    VariableType::List(_) => "a list",
                    _ => "a map",
                };
                Err(format!("the type asks for {want}, not {}", d.kind()))
            }
        }
    }
}
