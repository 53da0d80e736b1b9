//! Limits of the state service: the current ones, and those announced to apply from a later
//! time that is not announced.
use serde::Deserialize;

/// Minimum number of changes that a transaction must allow, because a new leader writes the
/// leader record, the term and the record of its placement log's replicas in one transaction.
const MIN_TXN_OPS: usize = 3;

/// Limits of the state service (`deployment.state`).
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum changes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that apply from an unknown later time.
    #[serde(default)]
    pub next: NextStateLimits,
}

/// Limits announced for a later time (`deployment.state.next`); a missing limit doesn't
/// change.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct NextStateLimits {
    /// Maximum requests per second.
    pub rps: Option<f64>,
    /// Maximum changes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    pub txn_ops: Option<usize>,
}

/// Limits that satisfy the current and the next limits: the smaller of both in each field.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveStateLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum changes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// Limits for a writer that doesn't know when the next limits take effect.
    pub fn effective(&self) -> EffectiveStateLimits {
        let smaller = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
        EffectiveStateLimits {
            rps: smaller(self.rps, self.next.rps),
            write_rps: smaller(self.write_rps, self.next.write_rps),
            value_kb: smaller(self.value_kb, self.next.value_kb),
            txn_ops: self.next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
        }
    }

    /// Adds an error line for each invalid field; `path` is the path of the settings block.
    pub(crate) fn check(&self, path: &str, errors: &mut Vec<String>) {
        let next = &self.next;
        let amounts = [
            ("rps", Some(self.rps)),
            ("write_rps", Some(self.write_rps)),
            ("value_kb", Some(self.value_kb)),
            ("next.rps", next.rps),
            ("next.write_rps", next.write_rps),
            ("next.value_kb", next.value_kb),
        ];
        for (field, amount) in amounts {
            if let Some(amount) = amount
                && !(amount.is_finite() && amount > 0.0)
            {
                errors.push(format!("{path}.{field}: {amount} must be above 0"));
            }
        }
        for (field, ops) in [("txn_ops", Some(self.txn_ops)), ("next.txn_ops", next.txn_ops)] {
            if ops.is_some_and(|n| n < MIN_TXN_OPS) {
                errors.push(format!("{path}.{field}: must be at least {MIN_TXN_OPS}"));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: &str = "rps = 100.0\nwrite_rps = 40.0\nvalue_kb = 4.0\ntxn_ops = 8\n";

    fn limits(next: &str) -> StateLimits {
        toml::from_str(&format!("{NOW}{next}")).unwrap()
    }

    #[test]
    fn the_smaller_of_both_limits_is_effective() {
        let of =
            |rps, write_rps, value_kb, txn_ops| EffectiveStateLimits { rps, write_rps, value_kb, txn_ops };
        // (settings of the next limits, effective limits)
        let cases = [
            ("", of(100.0, 40.0, 4.0, 8)),
            ("[next]\n", of(100.0, 40.0, 4.0, 8)),
            ("[next]\nrps = 50.0\n", of(50.0, 40.0, 4.0, 8)),
            ("[next]\nwrite_rps = 15.0\n", of(100.0, 15.0, 4.0, 8)),
            ("[next]\nvalue_kb = 2.0\n", of(100.0, 40.0, 2.0, 8)),
            ("[next]\ntxn_ops = 4\n", of(100.0, 40.0, 4.0, 4)),
            ("[next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4\n", of(100.0, 15.0, 2.0, 4)),
            (
                "[next]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 24\n",
                of(100.0, 40.0, 4.0, 8),
            ),
            ("[next]\nsomething_new = 1\n", of(100.0, 40.0, 4.0, 8)),
        ];
        for (next, expected) in cases {
            assert_eq!(limits(next).effective(), expected, "{next}");
        }
    }

    #[test]
    fn every_invalid_field_is_reported() {
        // (edit of the limits, the fields reported as invalid)
        type Edit = fn(&mut StateLimits);
        let cases: [(Edit, &[&str]); 11] = [
            (|_| (), &[]),
            (|l| l.rps = 0.0, &["state.rps"]),
            (|l| l.write_rps = f64::NAN, &["state.write_rps"]),
            (|l| l.value_kb = -1.0, &["state.value_kb"]),
            (|l| l.txn_ops = 2, &["state.txn_ops"]),
            (|l| l.next.rps = Some(f64::INFINITY), &["state.next.rps"]),
            (|l| l.next.write_rps = Some(0.0), &["state.next.write_rps"]),
            (|l| l.next.value_kb = Some(-0.5), &["state.next.value_kb"]),
            (|l| l.next.txn_ops = Some(0), &["state.next.txn_ops"]),
            (|l| l.next.txn_ops = Some(3), &[]),
            (|l| (l.rps, l.next.txn_ops) = (0.0, Some(1)), &["state.rps", "state.next.txn_ops"]),
        ];
        for (i, (edit, expected)) in cases.into_iter().enumerate() {
            let mut l = limits("");
            edit(&mut l);
            let mut errors = Vec::new();
            l.check("state", &mut errors);
            let fields: Vec<&str> = errors.iter().filter_map(|f| f.split(':').next()).collect();
            assert_eq!(fields, expected, "case {i}");
        }
    }
}
