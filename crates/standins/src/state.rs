//! Stand-in for the state service, implemented from the protocol.
use gorseshore_protocol::state::{Event, KeyValue, Listing, Transaction, WatchResponse, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::ops::Bound;

struct Entry {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

/// The state service: keys with revisions, leases, watches and transactions.
#[derive(Default)]
pub struct StateService {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    events: Vec<Event>,
    /// Events up to this revision are compacted.
    compacted_revision: u64,
    /// An outage: requests are answered with 503, and watches wait.
    pub unavailable: bool,
    /// Writes per second, the remaining write budget, and the time in microseconds at
    /// which that remainder was computed.
    write_budget: (f64, f64, u64),
    max_txn_writes: usize,
    max_value_bytes: usize,
    /// The limits were lowered: a transaction beyond them is answered with 400.
    limits_lowered: bool,
    /// Why transactions were rejected: a value too long, or too many writes.
    rejected_transactions: Vec<String>,
    /// Transactions rejected for exceeding the write rate.
    rate_limited_count: usize,
    /// Keys on a page of a listing.
    page_keys: PageKeys,
    /// Keys whose puts are rejected as invalid whatever their value, with the number
    /// of rejections.
    rejected_puts: BTreeMap<String, usize>,
}

/// Most keys on a page of a listing: few, so that clients have to page.
struct PageKeys(usize);

impl Default for PageKeys {
    fn default() -> Self {
        PageKeys(7)
    }
}

/// Outcome of a request: a response, or a watch that waits for events.
pub enum Outcome {
    /// Status and body.
    Answer(u16, Vec<u8>),
    /// A watch without events so far. [`StateService::watch_response`] returns its
    /// response once there are events; [`StateService::empty_watch_response`] is its
    /// response after the timeout.
    Wait {
        /// Prefix of the watched keys.
        prefix: String,
        /// Events after this revision are delivered.
        from: u64,
        /// When the watch times out, in microseconds.
        until: u64,
    },
}

fn query(path: &str) -> BTreeMap<&str, &str> {
    let params = path.split_once('?').map_or("", |x| x.1);
    params.split('&').filter_map(|kv| kv.split_once('=')).collect()
}

impl StateService {
    fn json_response(status: u16, v: Value) -> Outcome {
        Outcome::Answer(status, v.to_string().into_bytes())
    }

    /// Removes expired leases and the keys attached to them; none expires during an outage.
    pub fn expire_leases(&mut self, now: u64) {
        if self.unavailable {
            return;
        }
        let expired: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(i, _)| *i).collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
        for k in keys {
            self.revision += 1;
            self.keys.remove(&k);
            self.events.push(Event {
                put: None,
                remove: Some(k),
                value: Value::Null,
                revision: self.revision,
            });
        }
    }

    /// Ends an outage; every lease restarts with its full duration.
    pub fn end_outage(&mut self, now: u64) {
        self.unavailable = false;
        for l in self.leases.values_mut() {
            l.1 = now + l.0;
        }
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Discards all past events; a watch from before them gets 410.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.events.clear();
    }

    /// Whether some events after this revision are compacted.
    pub fn is_compacted(&self, from: u64) -> bool {
        from < self.compacted_revision
    }

    /// Response body of a watch, or `None` while it has no events.
    pub fn watch_response(&self, prefix: &str, from: u64) -> Option<Vec<u8>> {
        let events = self.events_since(prefix, from);
        (!events.is_empty()).then(|| self.watch_body(events))
    }

    fn events_since(&self, prefix: &str, from: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|e| e.revision > from)
            .filter(|e| e.put.as_deref().or(e.remove.as_deref()).is_some_and(|k| k.starts_with(prefix)))
            .cloned()
            .collect()
    }

    fn watch_body(&self, events: Vec<Event>) -> Vec<u8> {
        serde_json::to_vec(&WatchResponse { revision: self.revision, events }).unwrap()
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|e| e.value.clone())
    }

    /// Revision of a key's last change, 0 if the key does not exist.
    pub fn key_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |e| e.revision)
    }

    /// All keys with a prefix.
    pub fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// Response body of a watch that timed out without events.
    pub fn empty_watch_response(&self) -> Vec<u8> {
        self.watch_body(Vec::new())
    }

    /// Executes an HTTP request of the protocol; `now` is in microseconds.
    pub fn request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Outcome {
        if self.unavailable {
            if path.starts_with("/follow") && !path.contains("hold_ms=0") {
                let q = query(path);
                let from = q["from"].parse().unwrap();
                return Outcome::Wait { prefix: q["prefix"].into(), from, until: now + 10_000_000 };
            }
            return Self::json_response(503, json!({}));
        }
        self.expire_leases(now);
        let q = query(path);
        match (method, path.split('?').next().unwrap()) {
            ("GET", "/store") => {
                let (prefix, from) = (q["prefix"], q.get("from").copied().unwrap_or(""));
                let limit = q["limit"].parse::<usize>().unwrap().min(self.page_keys.0);
                let after = (Bound::Excluded(from.max(prefix)), Bound::Unbounded);
                let first = self.keys.get_key_value(prefix).filter(|_| prefix > from);
                let rest = first.into_iter().chain(self.keys.range::<str, _>(after));
                let mut rest = rest.take_while(|(k, _)| k.starts_with(prefix)).peekable();
                let page = rest.by_ref().take(limit);
                let pairs: Vec<KeyValue> = page
                    .map(|(k, e)| KeyValue { key: k.clone(), value: e.value.clone(), revision: e.revision })
                    .collect();
                let truncated = rest.peek().is_some();
                Self::json_response(
                    200,
                    json!(Listing { entries: pairs, truncated, revision: self.revision }),
                )
            }
            ("GET", p) if p.starts_with("/store/") => match self.keys.get(&p["/store/".len()..]) {
                Some(e) => {
                    let key = p["/store/".len()..].to_owned();
                    Self::json_response(
                        200,
                        json!(KeyValue { key, value: e.value.clone(), revision: e.revision }),
                    )
                }
                None => Self::json_response(404, json!({ "ledger": self.revision })),
            },
            ("GET", "/follow") => {
                let from: u64 = q["from"].parse().unwrap();
                if self.is_compacted(from) {
                    return Self::json_response(410, json!({}));
                }
                let events = self.events_since(q["prefix"], from);
                let hold: u64 = q["hold_ms"].parse().unwrap();
                if events.is_empty() && hold > 0 {
                    return Outcome::Wait { prefix: q["prefix"].into(), from, until: now + hold * 1000 };
                }
                Outcome::Answer(200, self.watch_body(events))
            }
            ("POST", "/multi") => {
                let m: Transaction = serde_json::from_slice(body).unwrap();
                if let Some(fault) = self.exceeded_limit(&m) {
                    // Clients must keep to the limits unless these were lowered without
                    // notice.
                    assert!(self.limits_lowered, "{fault}");
                    let answer = Self::json_response(400, json!({ "error": fault }));
                    self.rejected_transactions.push(fault);
                    return answer;
                }
                if let Some(count) = self.rejected_put_counter(&m) {
                    *count += 1;
                    return Self::json_response(400, json!({"error": "unwelcome"}));
                }
                if !self.take_write_budget(m.writes.len(), now) {
                    self.rate_limited_count += 1;
                    return Self::json_response(429, json!({}));
                }
                self.apply_transaction(m)
            }
            ("POST", "/grants") => {
                let v: Value = serde_json::from_slice(body).unwrap();
                let duration = v["life_ms"].as_u64().unwrap() * 1000;
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (duration, now + duration));
                Self::json_response(200, json!({ "hold": self.next_lease }))
            }
            ("POST", p) => {
                let id: u64 = p.split('/').nth(2).unwrap().parse().unwrap();
                match self.leases.get_mut(&id) {
                    Some(l) => {
                        l.1 = now + l.0;
                        Self::json_response(200, json!({ "hold": id }))
                    }
                    None => Self::json_response(404, json!({})),
                }
            }
            ("DELETE", p) => {
                let id: u64 = p.split('/').nth(2).unwrap().parse().unwrap();
                self.revoke_lease(id);
                Self::json_response(200, json!({}))
            }
            other => panic!("not in the protocol: {other:?}"),
        }
    }

    /// A service with limits: writes per second, writes in a transaction, and KiB in a value.
    pub fn with_limits(writes_per_s: f64, max_txn_writes: usize, max_value_kib: f64) -> Self {
        StateService {
            write_budget: (writes_per_s, writes_per_s, 0),
            max_txn_writes,
            max_value_bytes: (max_value_kib * 1024.0) as usize,
            ..StateService::default()
        }
    }

    /// Stores keys at once, without events, as if they had been written long ago; from now on a
    /// page of a listing holds as many keys as the protocol allows.
    pub fn insert_past(&mut self, keys: impl IntoIterator<Item = (String, Value)>) {
        for (key, value) in keys {
            self.revision += 1;
            self.keys.insert(key, Entry { value, revision: self.revision, lease: None });
        }
        self.compacted_revision = self.revision;
        self.page_keys = PageKeys(1000);
    }

    /// Replaces the limits without notifying clients.
    pub fn lower_limits(&mut self, writes_per_s: f64, max_txn_writes: usize, max_value_kib: f64) {
        self.write_budget.0 = writes_per_s;
        self.write_budget.1 = self.write_budget.1.min(writes_per_s);
        self.max_txn_writes = max_txn_writes;
        self.max_value_bytes = (max_value_kib * 1024.0) as usize;
        self.limits_lowered = true;
    }

    /// Why transactions were rejected since the limits were lowered: a value too
    /// long, or too many writes.
    pub fn rejected_transactions(&self) -> &[String] {
        &self.rejected_transactions
    }

    /// Number of transactions rejected for exceeding the write rate.
    pub fn rate_limited_count(&self) -> usize {
        self.rate_limited_count
    }

    /// Rejects every put of a key as invalid from now on.
    pub fn reject_puts_of(&mut self, key: &str) {
        self.rejected_puts.insert(key.to_owned(), 0);
    }

    /// Number of rejected puts of a key.
    pub fn rejected_put_count(&self, key: &str) -> usize {
        self.rejected_puts.get(key).copied().unwrap_or(0)
    }

    fn rejected_put_counter(&mut self, m: &Transaction) -> Option<&mut usize> {
        let key = m.writes.iter().find_map(|w| match w {
            Write::Put { key: put, .. } if self.rejected_puts.contains_key(put) => Some(put),
            _ => None,
        })?;
        self.rejected_puts.get_mut(key)
    }

    fn exceeded_limit(&self, m: &Transaction) -> Option<String> {
        if m.writes.len() > self.max_txn_writes {
            return Some(format!("{} changes at once", m.writes.len()));
        }
        m.writes.iter().find_map(|w| match w {
            Write::Put { key: put, value: v, .. } if v.to_string().len() > self.max_value_bytes => {
                Some(format!("{put} is too long"))
            }
            _ => None,
        })
    }

    /// Takes `n` writes from the budget; false, and nothing taken, if it is short of them.
    fn take_write_budget(&mut self, n: usize, now: u64) -> bool {
        let (rate, left, at) = self.write_budget;
        let left = (left + now.saturating_sub(at) as f64 / 1e6 * rate).min(rate);
        let enough = left >= n as f64;
        self.write_budget = (rate, if enough { left - n as f64 } else { left }, now);
        enough
    }

    fn apply_transaction(&mut self, m: Transaction) -> Outcome {
        for w in &m.writes {
            if let Write::Put { lease: Some(h), .. } = w
                && !self.leases.contains_key(h)
            {
                return Self::json_response(400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<&str> = m
            .preconditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |e| e.revision) != c.revision)
            .map(|c| c.key.as_str())
            .collect();
        if !failed.is_empty() {
            return Self::json_response(409, json!({"failed": failed, "ledger": self.revision}));
        }
        if !m.writes.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        for w in m.writes {
            match w {
                Write::Put { key: put, value: v, lease: hold } => {
                    self.events.push(Event {
                        put: Some(put.clone()),
                        remove: None,
                        value: v.clone(),
                        revision,
                    });
                    self.keys.insert(put, Entry { value: v, revision, lease: hold });
                }
                Write::Remove { key: remove } => {
                    if self.keys.remove(&remove).is_some() {
                        self.events.push(Event {
                            put: None,
                            remove: Some(remove),
                            value: Value::Null,
                            revision,
                        });
                    }
                }
            }
        }
        Self::json_response(200, json!({"ledger": self.revision}))
    }
}
