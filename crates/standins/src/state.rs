//! Stand-in for the state service, written from the protocol.
use gorseshore_protocol::state::{Event, KeyValue, Listing, Transaction, WatchResponse, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;

struct Entry {
    value: Value,
    stamp: u64,
    lease: Option<u64>,
}

/// The service.
#[derive(Default)]
pub struct State {
    ledger: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    log: Vec<Event>,
    /// Changes up to this revision are not kept any more.
    forgotten: u64,
    /// 503 to everybody.
    pub down: bool,
    /// Changes a second, what is left of them, and as of when.
    changes: (f64, f64, u64),
    changes_at_once: usize,
    value_limit: usize,
    /// The limits were lowered: what is beyond them is answered with 400.
    lowered: bool,
    /// What was refused for its size or its number of changes.
    refused: Vec<String>,
    /// Changes beyond the rate.
    too_fast: usize,
    /// Puts of these keys are called wrong, whatever they say; how often they were.
    unwelcome: BTreeMap<String, usize>,
}

/// A request's outcome: an answer, or a watch that waits.
pub enum Outcome {
    /// Status and body.
    Answer(u16, Vec<u8>),
    /// A watch; [`State::news`] says when it is over, [`State::no_news`] ends it.
    Wait {
        /// Keys that it watches.
        prefix: String,
        /// Revision from which on changes count.
        from: u64,
        /// When it ends without news, in microseconds.
        until: u64,
    },
}

fn query(path: &str) -> BTreeMap<&str, &str> {
    let q = path.split_once('?').map_or("", |x| x.1);
    q.split('&').filter_map(|kv| kv.split_once('=')).collect()
}

impl State {
    fn answer(status: u16, v: Value) -> Outcome {
        Outcome::Answer(status, v.to_string().into_bytes())
    }

    /// Ends leases; their keys go.
    pub fn expire(&mut self, now: u64) {
        if self.down {
            return;
        }
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(i, _)| *i).collect();
        for id in over {
            self.end(id);
        }
    }

    fn end(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
        for k in keys {
            self.ledger += 1;
            self.keys.remove(&k);
            self.log.push(Event { put: None, remove: Some(k), value: Value::Null, revision: self.ledger });
        }
    }

    /// After an outage all leases have their full time again.
    pub fn recover(&mut self, now: u64) {
        self.down = false;
        for l in self.leases.values_mut() {
            l.1 = now + l.0;
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.ledger
    }

    /// Keeps none of the changes that there were.
    pub fn forget(&mut self) {
        self.forgotten = self.ledger;
        self.log.clear();
    }

    /// Whether changes after this revision are not kept any more.
    pub fn too_old(&self, from: u64) -> bool {
        from < self.forgotten
    }

    /// The news of a watch, once there are any.
    pub fn news(&self, prefix: &str, from: u64) -> Option<Vec<u8>> {
        let news = self.collect(prefix, from);
        (!news.is_empty()).then(|| self.news_body(news))
    }

    fn collect(&self, prefix: &str, from: u64) -> Vec<Event> {
        self.log
            .iter()
            .filter(|e| e.revision > from)
            .filter(|e| e.put.as_deref().or(e.remove.as_deref()).is_some_and(|k| k.starts_with(prefix)))
            .cloned()
            .collect()
    }

    fn news_body(&self, news: Vec<Event>) -> Vec<u8> {
        serde_json::to_vec(&WatchResponse { revision: self.ledger, events: news }).unwrap()
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|e| e.value.clone())
    }

    /// The revision of a key's last change, 0 if it is not there.
    pub fn stamp(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |e| e.stamp)
    }

    /// Keys with a prefix.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    /// The empty answer of a watch whose time is over.
    pub fn no_news(&self) -> Vec<u8> {
        self.news_body(Vec::new())
    }

    /// Executes a request.
    pub fn request(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Outcome {
        if self.down {
            if path.starts_with("/follow") && !path.contains("hold_ms=0") {
                let q = query(path);
                let from = q["from"].parse().unwrap();
                return Outcome::Wait { prefix: q["prefix"].into(), from, until: now + 10_000_000 };
            }
            return Self::answer(503, json!({}));
        }
        self.expire(now);
        let q = query(path);
        match (method, path.split('?').next().unwrap()) {
            ("GET", "/store") => {
                let (prefix, from) = (q["prefix"], q.get("from").copied().unwrap_or(""));
                // Small pages, so that paging is exercised.
                let limit = q["limit"].parse::<usize>().unwrap().min(7);
                let mut rest =
                    self.keys.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > from).peekable();
                let page = rest.by_ref().take(limit);
                let pairs: Vec<KeyValue> = page
                    .map(|(k, e)| KeyValue { key: k.clone(), value: e.value.clone(), revision: e.stamp })
                    .collect();
                let truncated = rest.peek().is_some();
                Self::answer(200, json!(Listing { entries: pairs, truncated, revision: self.ledger }))
            }
            ("GET", "/follow") => {
                let from: u64 = q["from"].parse().unwrap();
                if self.too_old(from) {
                    return Self::answer(410, json!({}));
                }
                let news = self.collect(q["prefix"], from);
                let hold: u64 = q["hold_ms"].parse().unwrap();
                if news.is_empty() && hold > 0 {
                    return Outcome::Wait { prefix: q["prefix"].into(), from, until: now + hold * 1000 };
                }
                Outcome::Answer(200, self.news_body(news))
            }
            ("POST", "/multi") => {
                let m: Transaction = serde_json::from_slice(body).unwrap();
                if let Some(fault) = self.beyond_limits(&m) {
                    // Without lower limits on the way nobody may come to this.
                    assert!(self.lowered, "{fault}");
                    let answer = Self::answer(400, json!({ "error": fault }));
                    self.refused.push(fault);
                    return answer;
                }
                if let Some(times) = self.unwelcome_put(&m) {
                    *times += 1;
                    return Self::answer(400, json!({"error": "unwelcome"}));
                }
                if !self.afford(m.writes.len(), now) {
                    self.too_fast += 1;
                    return Self::answer(429, json!({}));
                }
                self.multi(m)
            }
            ("POST", "/grants") => {
                let v: Value = serde_json::from_slice(body).unwrap();
                let life = v["life_ms"].as_u64().unwrap() * 1000;
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (life, now + life));
                Self::answer(200, json!({ "hold": self.next_lease }))
            }
            ("POST", p) => {
                let id: u64 = p.split('/').nth(2).unwrap().parse().unwrap();
                match self.leases.get_mut(&id) {
                    Some(l) => {
                        l.1 = now + l.0;
                        Self::answer(200, json!({ "hold": id }))
                    }
                    None => Self::answer(404, json!({})),
                }
            }
            ("DELETE", p) => {
                let id: u64 = p.split('/').nth(2).unwrap().parse().unwrap();
                self.end(id);
                Self::answer(200, json!({}))
            }
            other => panic!("not in the protocol: {other:?}"),
        }
    }

    /// A service with limits.
    pub fn limited(changes: f64, changes_at_once: usize, value_kb: f64) -> Self {
        State {
            changes: (changes, changes, 0),
            changes_at_once,
            value_limit: (value_kb * 1024.0) as usize,
            ..State::default()
        }
    }

    /// Other limits apply from now on; nobody is told.
    pub fn lower(&mut self, changes: f64, changes_at_once: usize, value_kb: f64) {
        self.changes.0 = changes;
        self.changes.1 = self.changes.1.min(changes);
        self.changes_at_once = changes_at_once;
        self.value_limit = (value_kb * 1024.0) as usize;
        self.lowered = true;
    }

    /// What was refused for its size or its number of changes since the limits
    /// were lowered.
    pub fn refused(&self) -> &[String] {
        &self.refused
    }

    /// How often changes came beyond the rate.
    pub fn too_fast(&self) -> usize {
        self.too_fast
    }

    /// Calls every put of a key wrong from now on.
    pub fn refuse_key(&mut self, key: &str) {
        self.unwelcome.insert(key.to_owned(), 0);
    }

    /// How often a put of a key was called wrong.
    pub fn times_refused(&self, key: &str) -> usize {
        self.unwelcome.get(key).copied().unwrap_or(0)
    }

    fn unwelcome_put(&mut self, m: &Transaction) -> Option<&mut usize> {
        let key = m.writes.iter().find_map(|w| match w {
            Write::Put { key: put, .. } if self.unwelcome.contains_key(put) => Some(put),
            _ => None,
        })?;
        self.unwelcome.get_mut(key)
    }

    fn beyond_limits(&self, m: &Transaction) -> Option<String> {
        if m.writes.len() > self.changes_at_once {
            return Some(format!("{} changes at once", m.writes.len()));
        }
        m.writes.iter().find_map(|w| match w {
            Write::Put { key: put, value: v, .. } if v.to_string().len() > self.value_limit => {
                Some(format!("{put} is too long"))
            }
            _ => None,
        })
    }

    /// Whether the budget has room for `n` changes; they are taken from it.
    fn afford(&mut self, n: usize, now: u64) -> bool {
        let (rate, left, at) = self.changes;
        let left = (left + now.saturating_sub(at) as f64 / 1e6 * rate).min(rate);
        let enough = left >= n as f64;
        self.changes = (rate, if enough { left - n as f64 } else { left }, now);
        enough
    }

    fn multi(&mut self, m: Transaction) -> Outcome {
        for w in &m.writes {
            if let Write::Put { lease: Some(h), .. } = w
                && !self.leases.contains_key(h)
            {
                return Self::answer(400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<&str> = m
            .preconditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |e| e.stamp) != c.revision)
            .map(|c| c.key.as_str())
            .collect();
        if !failed.is_empty() {
            return Self::answer(409, json!({"failed": failed, "ledger": self.ledger}));
        }
        if !m.writes.is_empty() {
            self.ledger += 1;
        }
        let stamp = self.ledger;
        for w in m.writes {
            match w {
                Write::Put { key: put, value: v, lease: hold } => {
                    self.log.push(Event {
                        put: Some(put.clone()),
                        remove: None,
                        value: v.clone(),
                        revision: stamp,
                    });
                    self.keys.insert(put, Entry { value: v, stamp, lease: hold });
                }
                Write::Remove { key: remove } => {
                    if self.keys.remove(&remove).is_some() {
                        self.log.push(Event {
                            put: None,
                            remove: Some(remove),
                            value: Value::Null,
                            revision: stamp,
                        });
                    }
                }
            }
        }
        Self::answer(200, json!({"ledger": self.ledger}))
    }
}
