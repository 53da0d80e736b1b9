//! The operators' settings file, in protobuf text format.
use super::SettingsError;
use super::nomad::Nomad;
use gorseshore_protocol::ids::Micros;
use prost_reflect::{DescriptorPool, DynamicMessage, Value};
use std::collections::HashMap;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Plain,
    /// One JSON object per line.
    Json,
}

/// Operators' settings; `docs/operator.example.txtpb` documents them with their defaults.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Weights of teams in the fair queue; 1 for a team that is not listed.
    pub team_weights: HashMap<String, f64>,
    /// Duration of a controller's machine lease (its block) without renewal.
    pub block_lease: Micros,
    /// Maximum number of machines that one controller leases; unlimited by default.
    pub block_size: usize,
    /// Cost of a task in the fair queue.
    pub task_cost: f64,
    /// Duration of the leadership lease in the state service.
    pub leader_lease: Micros,
    /// Idle time after which a machine is returned to the cloud.
    pub idle_return: Micros,
    /// Time without contact after which a machine is deleted.
    pub silent_delete: Micros,
    /// Maximum number of rented machines; unlimited by default.
    pub max_machines: usize,
    /// Free capacity reserved for service replicas, in CPUs.
    pub spare_cpus: f64,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Settings for Nomad's job format; `None` disables it.
    pub nomad: Option<Nomad>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            team_weights: HashMap::new(),
            block_lease: Micros::secs(20),
            block_size: usize::MAX,
            task_cost: 1.0,
            leader_lease: Micros::millis(3000),
            idle_return: Micros::secs(10),
            silent_delete: Micros::millis(5500),
            max_machines: usize::MAX,
            spare_cpus: 4.0,
            log_format: LogFormat::Plain,
            nomad: None,
        }
    }
}

impl Operator {
    /// Parses and validates the file; an unknown field is an error with its position.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let single_error = |e: String| SettingsError(vec![e]);
        let bytes = &include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"))[..];
        let pool = DescriptorPool::decode(bytes).map_err(|e| single_error(e.to_string()))?;
        let desc = pool
            .get_message_by_name("gorseshore.Operator")
            .ok_or_else(|| single_error("schema has no message gorseshore.Operator".into()))?;
        let msg = DynamicMessage::parse_text_format(desc, text)
            .map_err(|e| single_error(with_position(text, &e)))?;
        let mut o = Operator::default();
        let mut errors = Vec::new();
        let mut number = |field: &str, min: f64, max: f64| -> Option<f64> {
            if !msg.has_field_by_name(field) {
                return None;
            }
            let v = match msg.get_field_by_name(field)?.as_ref() {
                Value::U64(v) => *v as f64,
                Value::U32(v) => *v as f64,
                Value::F64(v) => *v,
                _ => return None,
            };
            if (min..=max).contains(&v) {
                return Some(v);
            }
            errors.push(format!("{field}: {v} must be from {min} to {max}"));
            None
        };
        let ms = |v: f64| Micros::millis(v as u64);
        if let Some(v) = number("block_lease_ms", 2_000.0, 600_000.0) {
            o.block_lease = ms(v);
        }
        if let Some(v) = number("block_size", 1.0, 10_000.0) {
            o.block_size = v as usize;
        }
        if let Some(v) = number("task_cost", 0.001, 1000.0) {
            o.task_cost = v;
        }
        if let Some(v) = number("leader_lease_ms", 1_000.0, 60_000.0) {
            o.leader_lease = ms(v);
        }
        if let Some(v) = number("idle_return_ms", 0.0, 3_600_000.0) {
            o.idle_return = ms(v);
        }
        if let Some(v) = number("silent_delete_ms", 3_000.0, 3_600_000.0) {
            o.silent_delete = ms(v);
        }
        if let Some(v) = number("max_machines", 1.0, 100_000.0) {
            o.max_machines = v as usize;
        }
        if let Some(v) = number("spare_cpus", 0.0, 100_000.0) {
            o.spare_cpus = v;
        }
        if let Some(f) = msg.get_field_by_name("log_format").filter(|_| msg.has_field_by_name("log_format")) {
            match f.as_str() {
                Some("plain") => o.log_format = LogFormat::Plain,
                Some("json") => o.log_format = LogFormat::Json,
                _ => errors.push("log_format: must be \"plain\" or \"json\"".into()),
            }
        }
        if let Some(list) = msg.get_field_by_name("team_weight")
            && let Some(list) = list.as_list()
        {
            for (i, item) in list.iter().enumerate() {
                let Some(m) = item.as_message() else { continue };
                let team = m.get_field_by_name("team").and_then(|v| v.as_str().map(str::to_owned));
                let weight = m.get_field_by_name("weight").and_then(|v| v.as_f64()).unwrap_or(0.0);
                match team {
                    Some(t) if !t.is_empty() && (0.001..=1000.0).contains(&weight) => {
                        o.team_weights.insert(t, weight);
                    }
                    _ => errors
                        .push(format!("team_weight[{i}]: must have a team and a weight from 0.001 to 1000")),
                }
            }
        }
        if msg.has_field_by_name("nomad")
            && let Some(v) = msg.get_field_by_name("nomad")
            && let Some(m) = v.as_message()
        {
            o.nomad = Some(Nomad::read(m, &mut errors));
        }
        if errors.is_empty() { Ok(o) } else { Err(SettingsError(errors)) }
    }
}

/// Formats a parser error with line and column. The parser exposes the offset only in the
/// error's debug output.
fn with_position(text: &str, e: &prost_reflect::text_format::ParseError) -> String {
    let debug = format!("{e:?}");
    let offset = debug
        .find("offset: ")
        .or_else(|| debug.find("span: "))
        .and_then(|i| {
            let digits: String = debug[i..]
                .chars()
                .skip_while(|c| !c.is_ascii_digit())
                .take_while(|c| c.is_ascii_digit())
                .collect();
            digits.parse::<usize>().ok()
        })
        .unwrap_or(0)
        .min(text.len());
    let before = text.get(..offset).unwrap_or("");
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |i| i + 1) + 1;
    format!("line {line}, column {column}: {e}")
}
