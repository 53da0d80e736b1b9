//! Evaluator of HCL2 expressions with bounded cost.
//!
//! Invariant: steps and output are counted as they are produced, so a file that expands without end
//! is refused before it exhausts memory or time.
use crate::functions;
use crate::tree::{Datum, Node};
use hcl_edit::Span;
use hcl_edit::expr::{BinaryOperator, Expression, ObjectKey, TraversalOperator, UnaryOperator};
use hcl_edit::template::{Directive, Element, Template};
use std::collections::BTreeMap;

/// Most evaluation steps for one file.
const MAX_STEPS: usize = 400_000;
/// Most bytes and elements that the expressions of one file may produce.
const MAX_OUTPUT_SIZE: usize = 4 << 20;

/// Why an expression could not be evaluated.
#[derive(Debug, Clone, PartialEq)]
pub struct EvalError {
    /// Byte offset in the file.
    pub at: usize,
    /// The reason.
    pub text: String,
    /// Whether a limit was exceeded; the rest of the file is then not evaluated.
    pub fatal: bool,
}

/// Whether a name is the root of a reference that only the machine can resolve at run time.
pub fn runtime_root(name: &str) -> bool {
    matches!(name, "node" | "attr" | "meta" | "env" | "device" | "unique") || name.starts_with("NOMAD_")
}

/// Names in scope, and the part of the limits used so far.
pub struct Scope<'a> {
    source: &'a str,
    names: BTreeMap<String, Datum>,
    steps: usize,
    output_size: usize,
    /// Spaces that an indented heredoc removes from the start of each line.
    indent: usize,
    /// Whether evaluation is inside a directive of a template. The parser removes the indentation
    /// only outside directives, so here it is removed during evaluation.
    in_directive: bool,
}

type Result<T> = std::result::Result<T, EvalError>;

fn fail<T>(at: usize, text: impl Into<String>) -> Result<T> {
    Err(EvalError { at, text: text.into(), fatal: false })
}

fn offset_of(e: &impl Span, or: usize) -> usize {
    e.span().map_or(or, |s| s.start)
}

impl<'a> Scope<'a> {
    /// An empty scope for the text of a file.
    pub fn new(source: &'a str) -> Self {
        Scope { source, names: BTreeMap::new(), steps: 0, output_size: 0, indent: 0, in_directive: false }
    }

    /// Binds a name and returns its previous value.
    pub fn set(&mut self, name: &str, value: Datum) -> Option<Datum> {
        self.names.insert(name.to_owned(), value)
    }

    /// Restores the previous value of a name.
    pub fn restore(&mut self, name: &str, before: Option<Datum>) {
        match before {
            Some(v) => drop(self.names.insert(name.to_owned(), v)),
            None => drop(self.names.remove(name)),
        }
    }

    /// The value of a name.
    pub fn get(&self, name: &str) -> Option<&Datum> {
        self.names.get(name)
    }

    /// Counts one step and the size of its output against the limits.
    pub fn count_work(&mut self, at: usize, made: usize) -> Result<()> {
        self.steps += 1;
        self.output_size += made;
        if self.steps > MAX_STEPS {
            let text = format!("the expressions take more than {MAX_STEPS} steps");
            return Err(EvalError { at, text, fatal: true });
        }
        if self.output_size > MAX_OUTPUT_SIZE {
            let text = format!("the expressions make more than {} MiB", MAX_OUTPUT_SIZE >> 20);
            return Err(EvalError { at, text, fatal: true });
        }
        Ok(())
    }

    /// Copies a value and counts its size.
    fn copy(&mut self, at: usize, v: &Datum) -> Result<Datum> {
        self.count_work(at, approximate_size(v))?;
        Ok(v.clone())
    }

    /// Evaluates an expression; `or` is the offset to report if the expression has none.
    pub fn eval(&mut self, e: &Expression, or: usize) -> Result<Datum> {
        let at = offset_of(e, or);
        self.count_work(at, 1)?;
        match e {
            Expression::Null(_) => Ok(Datum::Null),
            Expression::Bool(b) => Ok(Datum::Bool(**b)),
            Expression::Number(n) => match n.as_f64() {
                Some(f) if f.is_finite() => Ok(Datum::Number(f)),
                _ => fail(at, "the number is out of range"),
            },
            Expression::String(s) => {
                self.count_work(at, s.len())?;
                Ok(Datum::Text(s.to_string()))
            }
            Expression::Array(a) => {
                let mut list = Vec::new();
                for x in a.iter() {
                    list.push(Node { at: offset_of(x, at), datum: self.eval(x, at)? });
                }
                Ok(Datum::List(list))
            }
            Expression::Object(o) => {
                let mut map: Vec<(String, Node)> = Vec::new();
                for (k, v) in o.iter() {
                    let key = match k {
                        ObjectKey::Ident(i) => i.to_string(),
                        ObjectKey::Expression(Expression::Variable(v)) => v.to_string(),
                        ObjectKey::Expression(x) => match self.eval(x, at)?.text() {
                            Some(t) => t,
                            None => return fail(offset_of(x, at), "a map's key must be text"),
                        },
                    };
                    let x = v.expr();
                    let node = Node { at: offset_of(x, at), datum: self.eval(x, at)? };
                    insert(&mut map, key, node);
                }
                Ok(Datum::Map(map))
            }
            Expression::StringTemplate(t) => {
                let previous = (std::mem::take(&mut self.indent), std::mem::take(&mut self.in_directive));
                let mut out = TemplateOutput::default();
                let done = self.elements(t.iter(), at, &mut out);
                (self.indent, self.in_directive) = previous;
                done.map(|()| out.into_datum())
            }
            Expression::HeredocTemplate(h) => {
                let previous = (self.indent, self.in_directive);
                (self.indent, self.in_directive) = (h.indent().unwrap_or(0), false);
                let mut out = TemplateOutput::default();
                let done = self.template(&h.template, at, &mut out);
                (self.indent, self.in_directive) = previous;
                done.map(|()| out.into_datum())
            }
            Expression::Parenthesis(p) => self.eval(p.inner(), at),
            Expression::Variable(v) => {
                let name = v.as_str();
                match self.names.get(name).cloned() {
                    Some(d) => self.copy(at, &d),
                    None if runtime_root(name) => Ok(Datum::Runtime(format!("${{{name}}}"))),
                    None => fail(at, format!("{name} is not known here")),
                }
            }
            Expression::Conditional(c) => match self.eval(&c.cond_expr, at)? {
                Datum::Bool(true) => self.eval(&c.true_expr, at),
                Datum::Bool(false) => self.eval(&c.false_expr, at),
                d => {
                    fail(offset_of(&c.cond_expr, at), format!("the condition is {}, not a boolean", d.kind()))
                }
            },
            Expression::FuncCall(f) => {
                let name = f.name.name.as_str();
                if !f.name.namespace.is_empty() {
                    return fail(at, format!("the function {name} is not known"));
                }
                // `try` and `can` evaluate their arguments one by one and catch errors, except
                // exceeded limits.
                if name == "try" || name == "can" {
                    for x in f.args.iter() {
                        match self.eval(x, at) {
                            Ok(v) if name == "try" => return Ok(v),
                            Ok(_) => return Ok(Datum::Bool(true)),
                            Err(e) if e.fatal => return Err(e),
                            Err(_) => {}
                        }
                    }
                    return match name {
                        "can" => Ok(Datum::Bool(false)),
                        _ => fail(at, "none of the arguments of try has a value"),
                    };
                }
                let mut args = Vec::new();
                for x in f.args.iter() {
                    args.push(self.eval(x, at)?);
                }
                if f.args.expand_final() {
                    match args.pop() {
                        Some(Datum::List(l)) => args.extend(l.into_iter().map(|n| n.datum)),
                        _ => return fail(at, "only a list can be expanded with ..."),
                    }
                }
                if let Some(d) = args.iter().find(|d| matches!(d, Datum::Runtime(_))) {
                    let t = d.text().unwrap_or_default();
                    return fail(at, format!("{name} can't work on {t}, which only the machine knows"));
                }
                let v = functions::call(name, &args, at).or_else(|text| fail(at, text))?;
                self.count_work(at, approximate_size(&v))?;
                Ok(v)
            }
            Expression::Traversal(t) => self.traversal(t, at),
            Expression::UnaryOp(u) => match (*u.operator.value(), self.eval(&u.expr, at)?) {
                (UnaryOperator::Not, Datum::Bool(b)) => Ok(Datum::Bool(!b)),
                (UnaryOperator::Neg, Datum::Number(n)) => Ok(Datum::Number(-n)),
                (op, d) => fail(at, format!("{} can't be applied to {}", op.as_str(), d.kind())),
            },
            Expression::BinaryOp(b) => {
                let op = *b.operator.value();
                let l = self.eval(&b.lhs_expr, at)?;
                match (op, &l) {
                    (BinaryOperator::And, Datum::Bool(false)) => return Ok(l),
                    (BinaryOperator::Or, Datum::Bool(true)) => return Ok(l),
                    _ => {}
                }
                let r = self.eval(&b.rhs_expr, at)?;
                apply_binary_operator(op, &l, &r).or_else(|text| fail(at, text))
            }
            Expression::ForExpr(f) => {
                let items = self.items(&f.intro.collection_expr, at)?;
                let key_var = f.intro.key_var.as_ref().map(|k| k.as_str().to_owned());
                let value_var = f.intro.value_var.as_str().to_owned();
                let (mut list, mut map) = (Vec::new(), Vec::new());
                for (k, v) in items {
                    let previous = self.bind(key_var.as_deref(), &value_var, k, v);
                    let result = self.for_item(f, at, &mut list, &mut map);
                    self.unbind(key_var.as_deref(), &value_var, previous);
                    result?;
                }
                Ok(if f.key_expr.is_some() { Datum::Map(map) } else { Datum::List(list) })
            }
        }
    }

    fn for_item(
        &mut self,
        f: &hcl_edit::expr::ForExpr,
        at: usize,
        list: &mut Vec<Node>,
        map: &mut Vec<(String, Node)>,
    ) -> Result<()> {
        if let Some(c) = &f.cond {
            match self.eval(&c.expr, at)? {
                Datum::Bool(true) => {}
                Datum::Bool(false) => return Ok(()),
                d => return fail(at, format!("the condition is {}, not a boolean", d.kind())),
            }
        }
        let value = Node { at, datum: self.eval(&f.value_expr, at)? };
        let Some(k) = &f.key_expr else {
            list.push(value);
            return Ok(());
        };
        let Some(key) = self.eval(k, at)?.text() else { return fail(at, "a map's key must be text") };
        if !f.grouping {
            insert(map, key, value);
            return Ok(());
        }
        match map.iter_mut().find(|(x, _)| *x == key) {
            Some((_, Node { datum: Datum::List(l), .. })) => l.push(value),
            _ => map.push((key, Node { at, datum: Datum::List(vec![value]) })),
        }
        Ok(())
    }

    /// Keys and values that a `for` iterates over.
    pub fn items(&mut self, e: &Expression, or: usize) -> Result<Vec<(Datum, Datum)>> {
        let at = offset_of(e, or);
        match self.eval(e, at)? {
            Datum::List(l) => {
                Ok(l.into_iter().enumerate().map(|(i, n)| (Datum::Number(i as f64), n.datum)).collect())
            }
            Datum::Map(m) => Ok(m.into_iter().map(|(k, n)| (Datum::Text(k), n.datum)).collect()),
            d => fail(at, format!("for goes through a list or a map, not {}", d.kind())),
        }
    }

    /// Binds the names of a `for` and returns their previous values.
    pub fn bind(
        &mut self,
        key: Option<&str>,
        value: &str,
        k: Datum,
        v: Datum,
    ) -> (Option<Datum>, Option<Datum>) {
        let old_key = key.and_then(|name| self.set(name, k));
        (old_key, self.set(value, v))
    }

    /// Restores the values that `bind` returned.
    pub fn unbind(&mut self, key: Option<&str>, value: &str, before: (Option<Datum>, Option<Datum>)) {
        self.restore(value, before.1);
        if let Some(name) = key {
            self.restore(name, before.0);
        }
    }

    fn traversal(&mut self, t: &hcl_edit::expr::Traversal, at: usize) -> Result<Datum> {
        if let Expression::Variable(v) = &t.expr
            && !self.names.contains_key(v.as_str())
            && runtime_root(v.as_str())
        {
            // A run-time reference keeps its source text.
            let text = t.span().and_then(|s| self.source.get(s)).unwrap_or("").trim().to_owned();
            return Ok(Datum::Runtime(format!("${{{text}}}")));
        }
        // Only the selected part of a value is copied.
        let mut d = match &t.expr {
            Expression::Variable(v) if self.names.contains_key(v.as_str()) => {
                let mut selected = self.names.get(v.as_str());
                let mut consumed = 0;
                for op in &t.operators {
                    let (TraversalOperator::GetAttr(name), Some(Datum::Map(m))) = (op.value(), selected)
                    else {
                        break;
                    };
                    let Some((_, n)) = m.iter().find(|(k, _)| k == name.as_str()) else {
                        return fail(at, format!("{} has no {}", v.as_str(), name.as_str()));
                    };
                    selected = Some(&n.datum);
                    consumed += 1;
                }
                let found = selected.cloned().unwrap_or(Datum::Null);
                self.count_work(at, approximate_size(&found))?;
                return self.apply_operators(found, &t.operators[consumed..], at);
            }
            e => self.eval(e, at)?,
        };
        d = self.apply_operators(d, &t.operators, at)?;
        Ok(d)
    }

    fn apply_operators(
        &mut self,
        mut d: Datum,
        ops: &[hcl_edit::Decorated<TraversalOperator>],
        at: usize,
    ) -> Result<Datum> {
        for (i, op) in ops.iter().enumerate() {
            self.count_work(at, 1)?;
            d = match op.value() {
                TraversalOperator::GetAttr(name) => get(&d, &Datum::Text(name.to_string()), at)?,
                TraversalOperator::Index(e) => {
                    let key = self.eval(e, at)?;
                    get(&d, &key, at)?
                }
                TraversalOperator::LegacyIndex(n) => get(&d, &Datum::Number(*n.value() as f64), at)?,
                TraversalOperator::AttrSplat(_) | TraversalOperator::FullSplat(_) => {
                    let list = match d {
                        Datum::List(l) => l,
                        Datum::Null => Vec::new(),
                        other => vec![Node { at, datum: other }],
                    };
                    let mut out = Vec::new();
                    for n in list {
                        out.push(Node { at: n.at, datum: self.apply_operators(n.datum, &ops[i + 1..], at)? });
                    }
                    return Ok(Datum::List(out));
                }
            };
        }
        Ok(d)
    }

    /// Evaluates a template into `out`.
    pub fn template(&mut self, t: &Template, at: usize, out: &mut TemplateOutput) -> Result<()> {
        self.elements(t.iter(), at, out)
    }

    fn elements<'e>(
        &mut self,
        elements: impl Iterator<Item = &'e Element>,
        at: usize,
        out: &mut TemplateOutput,
    ) -> Result<()> {
        for e in elements {
            match e {
                Element::Literal(s) => {
                    self.count_work(at, s.len())?;
                    match self.in_directive && self.indent > 0 {
                        true => out.literal(&dedent(s, self.indent)),
                        false => out.literal(s),
                    }
                }
                Element::Interpolation(i) => {
                    if i.strip.strip_start() {
                        out.strip();
                    }
                    let at = offset_of(&i.expr, at);
                    let v = self.eval(&i.expr, at)?;
                    let Some(text) = v.text() else {
                        return fail(at, format!("{} can't be put into text", v.kind()));
                    };
                    self.count_work(at, text.len())?;
                    out.value(&text, matches!(v, Datum::Runtime(_)));
                    out.strip_next = i.strip.strip_end();
                }
                Element::Directive(d) => self.directive(d, at, out)?,
            }
        }
        Ok(())
    }

    fn directive(&mut self, d: &Directive, at: usize, out: &mut TemplateOutput) -> Result<()> {
        let previous = std::mem::replace(&mut self.in_directive, true);
        let done = self.directive_inside(d, at, out);
        self.in_directive = previous;
        done
    }

    fn directive_inside(&mut self, d: &Directive, at: usize, out: &mut TemplateOutput) -> Result<()> {
        match d {
            Directive::If(i) => {
                let condition = match self.eval(&i.if_expr.cond_expr, at)? {
                    Datum::Bool(b) => b,
                    d => return fail(at, format!("the condition is {}, not a boolean", d.kind())),
                };
                out.strip_around(i.if_expr.strip);
                if condition {
                    self.template(&i.if_expr.template, at, out)?;
                }
                if let Some(e) = &i.else_expr {
                    out.strip_around(e.strip);
                    if !condition {
                        self.template(&e.template, at, out)?;
                    }
                }
                out.strip_around(i.endif_expr.strip);
            }
            Directive::For(f) => {
                let items = self.items(&f.for_expr.collection_expr, at)?;
                let key = f.for_expr.key_var.as_ref().map(|k| k.as_str().to_owned());
                let value = f.for_expr.value_var.as_str().to_owned();
                if f.for_expr.strip.strip_start() {
                    out.strip();
                }
                for (k, v) in items {
                    let before = self.bind(key.as_deref(), &value, k, v);
                    out.strip_next = f.for_expr.strip.strip_end();
                    let done = self.template(&f.for_expr.template, at, out);
                    self.unbind(key.as_deref(), &value, before);
                    done?;
                    if f.endfor_expr.strip.strip_start() {
                        out.strip();
                    }
                }
                out.strip_next = f.endfor_expr.strip.strip_end();
            }
        }
        Ok(())
    }
}

/// Text of a template during evaluation.
#[derive(Debug, Default)]
pub struct TemplateOutput {
    text: String,
    runtime: bool,
    strip_next: bool,
}

impl TemplateOutput {
    fn literal(&mut self, s: &str) {
        let s = if std::mem::take(&mut self.strip_next) { s.trim_start() } else { s };
        self.text.push_str(s);
    }
    fn value(&mut self, s: &str, runtime: bool) {
        self.strip_next = false;
        self.text.push_str(s);
        self.runtime |= runtime;
    }
    fn strip(&mut self) {
        self.text.truncate(self.text.trim_end().len());
    }
    fn strip_around(&mut self, s: hcl_edit::template::Strip) {
        if s.strip_start() {
            self.strip();
        }
        self.strip_next = s.strip_end();
    }
    /// The finished text.
    pub fn into_datum(self) -> Datum {
        if self.runtime { Datum::Runtime(self.text) } else { Datum::Text(self.text) }
    }
}

/// Removes up to `indent` spaces from the start of each line but the first.
fn dedent(s: &str, indent: usize) -> String {
    let mut lines = s.split('\n');
    let mut out = lines.next().unwrap_or("").to_owned();
    for line in lines {
        let spaces = line.bytes().take(indent).take_while(|b| *b == b' ').count();
        out.push('\n');
        out.push_str(&line[spaces..]);
    }
    out
}

/// Approximate size of a value in bytes and elements.
fn approximate_size(d: &Datum) -> usize {
    match d {
        Datum::Text(s) | Datum::Runtime(s) => s.len() + 16,
        Datum::List(l) => l.iter().map(|n| approximate_size(&n.datum) + 16).sum::<usize>() + 16,
        Datum::Map(m) => m.iter().map(|(k, n)| k.len() + approximate_size(&n.datum) + 32).sum::<usize>() + 16,
        _ => 16,
    }
}

/// Sets a key of a map; a later value replaces an earlier one.
pub fn insert(map: &mut Vec<(String, Node)>, key: String, node: Node) {
    match map.iter_mut().find(|(k, _)| *k == key) {
        Some((_, n)) => *n = node,
        None => map.push((key, node)),
    }
}

fn get(d: &Datum, key: &Datum, at: usize) -> Result<Datum> {
    match (d, key) {
        (Datum::List(l), Datum::Number(n)) => {
            let i = *n as usize;
            match l.get(i).filter(|_| *n >= 0.0 && n.fract() == 0.0) {
                Some(x) => Ok(x.datum.clone()),
                None => fail(at, format!("the list has {} elements, there is no number {n}", l.len())),
            }
        }
        (Datum::Map(m), key) => {
            let Some(key) = key.text() else { return fail(at, "a map's key must be text") };
            match m.iter().find(|(k, _)| *k == key) {
                Some((_, x)) => Ok(x.datum.clone()),
                None => fail(at, format!("the map has no {key}")),
            }
        }
        (d, _) => fail(at, format!("{} has no elements", d.kind())),
    }
}

/// Equality of HCL values, ignoring their offsets in the file.
pub fn values_equal(a: &Datum, b: &Datum) -> bool {
    match (a, b) {
        (Datum::List(x), Datum::List(y)) => {
            x.len() == y.len() && x.iter().zip(y).all(|(p, q)| values_equal(&p.datum, &q.datum))
        }
        (Datum::Map(x), Datum::Map(y)) => {
            x.len() == y.len()
                && x.iter().all(|(k, v)| y.iter().any(|(l, w)| k == l && values_equal(&v.datum, &w.datum)))
        }
        _ => a == b,
    }
}

fn apply_binary_operator(op: BinaryOperator, l: &Datum, r: &Datum) -> std::result::Result<Datum, String> {
    use BinaryOperator::*;
    if let Some(d) = [l, r].into_iter().find(|d| matches!(d, Datum::Runtime(_))) {
        let t = d.text().unwrap_or_default();
        return Err(format!("{} can't work on {t}, which only the machine knows", op.as_str()));
    }
    let number = |n: f64| {
        if n.is_finite() { Ok(Datum::Number(n)) } else { Err("the result is not a number".to_owned()) }
    };
    match (op, l, r) {
        (Eq, l, r) => Ok(Datum::Bool(values_equal(l, r))),
        (NotEq, l, r) => Ok(Datum::Bool(!values_equal(l, r))),
        (And, Datum::Bool(a), Datum::Bool(b)) => Ok(Datum::Bool(*a && *b)),
        (Or, Datum::Bool(a), Datum::Bool(b)) => Ok(Datum::Bool(*a || *b)),
        (Plus, Datum::Number(a), Datum::Number(b)) => number(a + b),
        (Minus, Datum::Number(a), Datum::Number(b)) => number(a - b),
        (Mul, Datum::Number(a), Datum::Number(b)) => number(a * b),
        (Div, Datum::Number(a), Datum::Number(b)) => number(a / b),
        (Mod, Datum::Number(a), Datum::Number(b)) => number(a % b),
        (Less, Datum::Number(a), Datum::Number(b)) => Ok(Datum::Bool(a < b)),
        (LessEq, Datum::Number(a), Datum::Number(b)) => Ok(Datum::Bool(a <= b)),
        (Greater, Datum::Number(a), Datum::Number(b)) => Ok(Datum::Bool(a > b)),
        (GreaterEq, Datum::Number(a), Datum::Number(b)) => Ok(Datum::Bool(a >= b)),
        (op, l, r) => Err(format!("{} can't be applied to {} and {}", op.as_str(), l.kind(), r.kind())),
    }
}
