//! Limits of the state service that all writers keep to.
use gorseshore_settings::StateLimits;
use serde_json::Value;

/// Bytes of a value counted as one KiB of the settings. Fewer than 1,024, because the service may
/// count more than the text itself.
const BYTES_PER_KB: f64 = 1000.0;

/// Preconditions that a transaction may have for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;

/// Bounds on a single change, on a transaction and on the requests and writes per second, for the
/// present and the announced limits together: a writer that keeps to them need not know which of
/// the two are in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreLimits {
    /// Maximum length of a value, in bytes of its JSON text; see [`StoreLimits::fits`].
    pub value_bytes: usize,
    /// Maximum puts and removals in a transaction.
    pub txn_ops: usize,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Puts and removals per second.
    pub writes_per_s: f64,
}

impl StoreLimits {
    /// The smaller of the present and the announced limits in the platform's settings.
    pub fn new(settings: &StateLimits) -> Self {
        let effective = settings.effective();
        StoreLimits {
            value_bytes: (effective.value_kb * BYTES_PER_KB) as usize,
            txn_ops: effective.txn_ops,
            requests_per_s: effective.rps,
            writes_per_s: effective.write_rps,
        }
    }

    /// Maximum preconditions in a transaction.
    pub fn txn_conditions(&self) -> usize {
        self.txn_ops * CONDITIONS_PER_CHANGE
    }

    /// Whether a value is short enough to be written.
    pub fn fits(&self, value: &Value) -> bool {
        value_len(value) <= self.value_bytes
    }
}

/// Length of a value's JSON text, with a space after each separator, because the service may store
/// it in that form.
pub fn value_len(value: &Value) -> usize {
    match value {
        Value::Array(items) => 2 + items.iter().map(|item| value_len(item) + 2).sum::<usize>(),
        Value::Object(fields) => 2 + fields.iter().map(field_len).sum::<usize>(),
        scalar => scalar.to_string().len(),
    }
}

/// Length of an object's field with its name and separators.
fn field_len((name, value): (&String, &Value)) -> usize {
    Value::from(name.as_str()).to_string().len() + 2 + value_len(value) + 2
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde::Deserialize;
    use serde_json::json;

    #[test]
    fn a_value_is_never_counted_shorter_than_its_text() {
        let cases = [
            json!(null),
            json!(17),
            json!("a \"quoted\" \u{e9}"),
            json!([]),
            json!({}),
            json!([["host-000001", "10.0.0.1:80"], ["host-000002", "10.0.0.2:80"]]),
            json!({"t": "b", "m": [1, 2, [3]], "x": {"0": {"n": 3, "a": 99}}}),
        ];
        for v in cases {
            let (text, counted) = (v.to_string(), value_len(&v));
            let separators = text.matches([',', ':']).count();
            assert!(counted >= text.len(), "{text}");
            assert!(counted <= text.len() + separators + 2 * text.matches(['[', '{']).count(), "{text}");
        }
    }

    #[test]
    fn the_smaller_of_present_and_announced_limits_apply() {
        let settings = |next: Value| {
            let block = json!({"rps": 100.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 8, "next": next});
            StoreLimits::new(&StateLimits::deserialize(block).unwrap())
        };
        let limits = settings(json!({"value_kb": 2.0, "txn_ops": 4}));
        assert_eq!((limits.value_bytes, limits.txn_ops, limits.txn_conditions()), (2000, 4, 16));
        assert_eq!((limits.requests_per_s, limits.writes_per_s), (100.0, 15.0));
        assert!(limits.fits(&json!("x".repeat(1998))) && !limits.fits(&json!("x".repeat(1999))));
        assert!(settings(json!({})).fits(&json!("x".repeat(1999))));
    }
}
