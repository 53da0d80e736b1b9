//! Reader of JSON files and requests, in the form of the interface (`{"Job": {"ID": …}}`) or in
//! that of a job file (`{"job": {"name": {…}}}`).
use crate::table::{self, Row, Shape, Support};
use crate::tree::{Attr, Block, Datum, Diagnostics, MAX_DEPTH, MAX_FILE_BYTES, Node, Tree};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

const STRICT: ParseOptions = ParseOptions {
    allow_comments: false,
    allow_loose_object_property_names: false,
    allow_trailing_commas: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads a file; `None` if it can't be read.
pub fn read(source: &str, diagnostics: &mut Diagnostics) -> Option<Block> {
    if source.len() > MAX_FILE_BYTES {
        diagnostics.unreadable(0, "", format!("the file is longer than {} KiB", MAX_FILE_BYTES / 1024));
        return None;
    }
    let parsed = match parse_to_ast(source, &CollectOptions::default(), &STRICT) {
        Ok(p) => p,
        Err(e) => {
            diagnostics.unreadable(e.range().start, "", format!("not JSON: {}", e.kind()));
            return None;
        }
    };
    let Some(root @ Value::Object(_)) = parsed.value else {
        diagnostics.unreadable(0, "", "not a JSON object");
        return None;
    };
    if depth(&root) > MAX_DEPTH {
        diagnostics.unreadable(0, "", format!("nested deeper than {MAX_DEPTH} levels"));
        return None;
    }
    let Value::Object(o) = &root else { return None };
    let find = |name: &str| o.properties.iter().find(|p| p.name.as_str() == name);
    if let Some(p) = find("Job").or_else(|| find("job").filter(|p| has_api_fields(&p.value))) {
        return api_job(&p.value, diagnostics);
    }
    if let Some(p) = find("job") {
        // {"job": {"name": {…}}}
        let Value::Object(names) = &p.value else {
            diagnostics.unreadable(p.range.start, "job", "must be an object");
            return None;
        };
        let [entry] = &names.properties[..] else {
            diagnostics.unreadable(p.range.start, "job", "must hold one job by its name");
            return None;
        };
        let (name, at) = (entry.name.as_str().to_owned(), entry.range.start);
        let path = format!("job.{name}");
        let body = build_tree(&entry.value, "", &path, Form::File, diagnostics)?;
        return Some(Block { name: "job".into(), at, labels: vec![(name, at)], body });
    }
    if has_api_fields(&root) {
        return api_job(&root, diagnostics);
    }
    diagnostics.unreadable(0, "", "the file has no job");
    None
}

fn depth(v: &Value<'_>) -> usize {
    match v {
        Value::Object(o) => 1 + o.properties.iter().map(|p| depth(&p.value)).max().unwrap_or(0),
        Value::Array(a) => 1 + a.elements.iter().map(depth).max().unwrap_or(0),
        _ => 0,
    }
}

fn has_api_fields(v: &Value<'_>) -> bool {
    let Value::Object(o) = v else { return false };
    o.properties.iter().any(|p| matches!(p.name.as_str(), "ID" | "Name" | "TaskGroups"))
}

fn api_job(v: &Value<'_>, diagnostics: &mut Diagnostics) -> Option<Block> {
    let at = v.range().start;
    let body = build_tree(v, "", "job", Form::Api, diagnostics)?;
    let label =
        body.attr("id").or_else(|| body.attr("name")).and_then(|a| Some((a.value.datum.text()?, a.at)));
    Some(Block { name: "job".into(), at, labels: label.into_iter().collect(), body })
}

#[derive(Clone, Copy, PartialEq)]
enum Form {
    /// Names and types of the interface.
    Api,
    /// Names of job files.
    File,
}

/// Converts an object to a tree; `stanza` is its path in the table.
fn build_tree(
    v: &Value<'_>,
    stanza: &str,
    path: &str,
    form: Form,
    diagnostics: &mut Diagnostics,
) -> Option<Tree> {
    let at = v.range().start;
    let Value::Object(o) = v else {
        diagnostics.unreadable(at, path, "must be an object");
        return None;
    };
    let mut tree = Tree { at, ..Tree::default() };
    for p in &o.properties {
        let (name, at) = (p.name.as_str(), p.range.start);
        let row = match form {
            Form::Api => table::find_json(stanza, name),
            Form::File => table::find(stanza, name),
        };
        let Some(row) = row else {
            // Kept for the model's check, which reports unknown fields.
            let value = Node { at: p.value.range().start, datum: datum(&p.value) };
            tree.attrs.push(Attr { name: name.to_owned(), at, value });
            continue;
        };
        let name = table::last_segment(row.path);
        if tree.attr(name).is_some() {
            diagnostics.unreadable(at, &format!("{path}.{name}"), "set twice");
            continue;
        }
        let d = datum(&p.value);
        // Clients of the interface send every field, most of them empty.
        if form == Form::Api && (d == Datum::Null || d.is_empty() && row.empty_means_unset()) {
            continue;
        }
        let blocks = matches!(row.shape, Shape::Block | Shape::Blocks | Shape::LabeledBlocks);
        if !blocks || matches!(row.support, Support::Refused(_) | Support::NoEffect(_) | Support::ReadOnly) {
            let value = Node { at: p.value.range().start, datum: d };
            tree.attrs.push(Attr { name: name.to_owned(), at, value });
            continue;
        }
        let stanza = join(stanza, name);
        let inner = format!("{path}.{name}");
        let parts: Vec<(Option<String>, &Value<'_>)> = match (&p.value, row.shape, form) {
            (Value::Array(a), ..) => a.elements.iter().map(|e| (None, e)).collect(),
            (Value::Object(o), Shape::LabeledBlocks, Form::File) => {
                let named = o.properties.iter().flat_map(|p| {
                    match &p.value {
                        Value::Array(a) => a.elements.iter().collect::<Vec<_>>(),
                        v => vec![v],
                    }
                    .into_iter()
                    .map(|v| (Some(p.name.as_str().to_owned()), v))
                    .collect::<Vec<_>>()
                });
                named.collect()
            }
            (v, ..) => vec![(None, v)],
        };
        for (label, v) in parts {
            let label_path = label.as_ref().map_or(inner.clone(), |l| format!("{inner}.{l}"));
            let Some(body) = build_tree(v, &stanza, &label_path, form, diagnostics) else { continue };
            let label = match (row.shape, label) {
                (Shape::LabeledBlocks, None) => body.attr("name").and_then(|a| a.value.datum.text()),
                (_, l) => l,
            };
            let at = v.range().start;
            let labels = label.into_iter().map(|l| (l, at)).collect();
            tree.blocks.push(Block { name: name.to_owned(), at, labels, body });
        }
    }
    Some(tree)
}

impl Row {
    /// Whether an empty value means that the field is not set. It does not for served numbers and
    /// booleans: `Count: 0` stops a group.
    fn empty_means_unset(&self) -> bool {
        !matches!(self.support, Support::Served(_))
            || !matches!(self.shape, Shape::Integer | Shape::Number | Shape::Bool)
    }
}

fn join(stanza: &str, name: &str) -> String {
    if stanza.is_empty() { name.to_owned() } else { format!("{stanza}.{name}") }
}

fn datum(v: &Value<'_>) -> Datum {
    let node = |v: &Value<'_>| Node { at: v.range().start, datum: datum(v) };
    match v {
        Value::NullKeyword(_) => Datum::Null,
        Value::BooleanLit(b) => Datum::Bool(b.value),
        Value::NumberLit(n) => Datum::Number(n.value.parse().unwrap_or(f64::MAX)),
        Value::StringLit(s) => Datum::Text(s.value.to_string()),
        Value::Array(a) => Datum::List(a.elements.iter().map(node).collect()),
        Value::Object(o) => {
            Datum::Map(o.properties.iter().map(|p| (p.name.as_str().to_owned(), node(&p.value))).collect())
        }
    }
}
