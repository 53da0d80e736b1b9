//! Stand-in of the state service, written from the protocol page. Each controller has an address
//! of its own, so that one can be refused, or answered slowly, while the others are served.
use crate::http::{self, Reply, Request};
use crate::json::{Json, n, obj, s};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Entry {
    value: Json,
    stamp: u64,
    hold: Option<u64>,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket { rate, left: rate, at: Instant::now() }
    }
    fn take(&mut self, cost: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        if self.left < cost {
            return false;
        }
        self.left -= cost;
        true
    }
}

/// How one controller's address behaves.
#[derive(Default, Clone, Copy)]
struct Door {
    refused: bool,
    delay: Duration,
}

struct Inner {
    ledger: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_hold: u64,
    news: Vec<(u64, String, Option<Json>)>,
    out: bool,
    doors: Vec<Door>,
    requests: Bucket,
    writes: Bucket,
}

/// Limits of the settings.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Clone)]
pub struct State {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    limits: Limits,
}

fn error(status: u16, text: &str) -> Reply {
    Some((status, obj(vec![("error", s(text))]).to_string()))
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, q) = path.split_once('?')?;
    q.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl Inner {
    fn expire(&mut self) {
        if self.out {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end_lease(id));
    }
    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let gone: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.hold == Some(id)).map(|(k, _)| k.clone()).collect();
        if gone.is_empty() {
            return;
        }
        self.ledger += 1;
        for k in gone {
            self.keys.remove(&k);
            self.news.push((self.ledger, k, None));
        }
    }
    fn news_since(&self, prefix: &str, from: u64) -> Vec<Json> {
        let first = self.news.partition_point(|(r, ..)| *r <= from);
        self.news[first..]
            .iter()
            .filter(|(_, k, _)| k.starts_with(prefix))
            .map(|(r, k, v)| match v {
                Some(v) => obj(vec![("put", s(k)), ("v", v.clone()), ("stamp", n(r))]),
                None => obj(vec![("remove", s(k)), ("stamp", n(r))]),
            })
            .collect()
    }
}

impl State {
    /// Starts the service with one address for each of `doors` controllers.
    pub fn start(doors: usize, limits: Limits) -> std::io::Result<(State, Vec<SocketAddr>)> {
        let inner = Inner {
            ledger: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_hold: 0,
            news: Vec::new(),
            out: false,
            doors: vec![Door::default(); doors],
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let state = State { inner: Arc::new((Mutex::new(inner), Condvar::new())), limits };
        let mut addrs = Vec::new();
        for door in 0..doors {
            let state = state.clone();
            addrs.push(http::serve(1 << 20, Arc::new(move |r: &Request| state.serve(door, r)))?);
        }
        let ticker = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                ticker.inner.0.lock().unwrap().expire();
                ticker.inner.1.notify_all();
            }
        });
        Ok((state, addrs))
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Json> {
        self.inner.0.lock().unwrap().keys.get(key).map(|e| e.value.clone())
    }

    /// The name of the leading controller.
    pub fn leader(&self) -> Option<String> {
        Some(self.value("g/leader")?.get("node").str().to_owned())
    }

    /// Refuses one controller alone (503), or serves it again.
    pub fn refuse(&self, door: usize, refused: bool) {
        self.inner.0.lock().unwrap().doors[door].refused = refused;
    }

    /// Each answer to a controller takes this long.
    pub fn slow(&self, door: usize, delay: Duration) {
        self.inner.0.lock().unwrap().doors[door].delay = delay;
    }

    /// An outage begins or ends; after it all leases have their full time again.
    pub fn outage(&self, out: bool) {
        let mut i = self.inner.0.lock().unwrap();
        i.out = out;
        if !out {
            let now = Instant::now();
            i.leases.values_mut().for_each(|l| l.1 = now + l.0);
        }
    }

    fn delay(&self, door: usize) -> Duration {
        self.inner.0.lock().unwrap().doors[door].delay
    }

    fn serve(&self, door: usize, r: &Request) -> Reply {
        let delay = self.delay(door);
        std::thread::sleep(delay / 2);
        let reply = self.carry_out(door, r);
        std::thread::sleep(delay / 2);
        reply
    }

    fn carry_out(&self, door: usize, r: &Request) -> Reply {
        let (lock, changed) = &*self.inner;
        let mut i = lock.lock().unwrap();
        if i.out || i.doors[door].refused {
            return error(503, "trouble");
        }
        i.expire();
        if !i.requests.take(1.0) {
            return error(429, "too many requests");
        }
        let path = r.path.split('?').next().unwrap_or("");
        match (r.method.as_str(), path) {
            ("GET", "/store") => {
                let prefix = query(&r.path, "prefix").unwrap_or("");
                let from = query(&r.path, "from").unwrap_or("");
                let limit =
                    query(&r.path, "limit").and_then(|l| l.parse().ok()).unwrap_or(1000usize).min(1000);
                let (mut pairs, mut bytes, mut truncated) = (Vec::new(), 0, false);
                for (k, e) in i.keys.range(prefix.to_owned()..).take_while(|(k, _)| k.starts_with(prefix)) {
                    if k.as_str() <= from {
                        continue;
                    }
                    let pair = obj(vec![("path", s(k)), ("v", e.value.clone()), ("stamp", n(e.stamp))]);
                    bytes += pair.to_string().len();
                    if pairs.len() == limit || bytes > 512 * 1024 {
                        truncated = true;
                        break;
                    }
                    pairs.push(pair);
                }
                let body = obj(vec![
                    ("pairs", Json::Arr(pairs)),
                    ("truncated", Json::Bool(truncated)),
                    ("ledger", n(i.ledger)),
                ]);
                Some((200, body.to_string()))
            }
            ("GET", p) if p.starts_with("/store/") => match i.keys.get(&p["/store/".len()..]) {
                Some(e) => {
                    let mut fields = vec![
                        ("path", s(&p["/store/".len()..])),
                        ("v", e.value.clone()),
                        ("stamp", n(e.stamp)),
                    ];
                    if let Some(h) = e.hold {
                        fields.push(("hold", n(h)));
                    }
                    Some((200, obj(fields).to_string()))
                }
                None => Some((404, obj(vec![("ledger", n(i.ledger))]).to_string())),
            },
            ("GET", "/follow") => {
                let prefix = query(&r.path, "prefix").unwrap_or("").to_owned();
                let Some(from) = query(&r.path, "from").and_then(|f| f.parse::<u64>().ok()) else {
                    return error(400, "from");
                };
                let hold = query(&r.path, "hold_ms").and_then(|h| h.parse().ok()).unwrap_or(0u64).min(60_000);
                if i.news.len() > 10_000 && i.news[i.news.len() - 10_000].0 > from {
                    return error(410, "too old");
                }
                let until = Instant::now() + Duration::from_millis(hold);
                loop {
                    // During an outage, also one that only this controller has, open watches wait.
                    if !i.out && !i.doors[door].refused {
                        let news = i.news_since(&prefix, from);
                        if !news.is_empty() || Instant::now() >= until {
                            let body = obj(vec![("ledger", n(i.ledger)), ("news", Json::Arr(news))]);
                            return Some((200, body.to_string()));
                        }
                    }
                    i = changed.wait_timeout(i, Duration::from_millis(20)).unwrap().0;
                }
            }
            ("POST", "/multi") => {
                let reply = self.multi(&mut i, &r.body);
                changed.notify_all();
                reply
            }
            ("POST", "/grants") => {
                let life = Json::parse(&r.body).and_then(|b| b.get("life_ms").u64()).unwrap_or(0);
                if !(100..=600_000).contains(&life) {
                    return error(400, "life_ms");
                }
                i.next_hold += 1;
                let (hold, life) = (i.next_hold, Duration::from_millis(life));
                i.leases.insert(hold, (life, Instant::now() + life));
                Some((200, obj(vec![("hold", n(hold))]).to_string()))
            }
            ("POST", p) if p.ends_with("/renew") => {
                let hold: u64 = p.split('/').nth(2).and_then(|h| h.parse().ok()).unwrap_or(0);
                match i.leases.get_mut(&hold) {
                    Some(l) => {
                        l.1 = Instant::now() + l.0;
                        Some((200, obj(vec![("hold", n(hold))]).to_string()))
                    }
                    None => error(404, "no such lease"),
                }
            }
            ("DELETE", p) => {
                let hold: u64 = p.split('/').nth(2).and_then(|h| h.parse().ok()).unwrap_or(0);
                i.end_lease(hold);
                changed.notify_all();
                Some((200, "{}".into()))
            }
            _ => error(400, "no such path"),
        }
    }

    fn multi(&self, i: &mut Inner, body: &[u8]) -> Reply {
        let Some(txn) = Json::parse(body) else { return error(400, "not JSON") };
        let (when, writes) = (txn.get("when").arr(), txn.get("writes").arr());
        let long = |w: &Json| w.get("v").to_string().len() as f64 > self.limits.value_kb * 1024.0;
        if body.len() > 64 * 1024
            || writes.len() > self.limits.txn_ops
            || when.len() > self.limits.txn_ops * 4
            || writes.iter().any(long)
        {
            return error(400, "over a limit");
        }
        if !i.writes.take(writes.len() as f64) {
            return error(429, "too many changes");
        }
        if writes.iter().any(|w| w.get("hold").u64().is_some_and(|h| !i.leases.contains_key(&h))) {
            return error(400, "no such lease");
        }
        let failed: Vec<Json> = when
            .iter()
            .filter(|c| {
                i.keys.get(c.get("path").str()).map_or(0, |e| e.stamp) != c.get("stamp").u64().unwrap_or(0)
            })
            .map(|c| c.get("path").clone())
            .collect();
        if !failed.is_empty() {
            return Some((
                409,
                obj(vec![("failed", Json::Arr(failed)), ("ledger", n(i.ledger))]).to_string(),
            ));
        }
        if !writes.is_empty() {
            i.ledger += 1;
        }
        let stamp = i.ledger;
        for w in writes {
            if let Json::Str(k) = w.get("put") {
                let value = w.get("v").clone();
                i.keys.insert(k.clone(), Entry { value: value.clone(), stamp, hold: w.get("hold").u64() });
                i.news.push((stamp, k.clone(), Some(value)));
            } else if let Json::Str(k) = w.get("remove")
                && i.keys.remove(k).is_some()
            {
                i.news.push((stamp, k.clone(), None));
            }
        }
        Some((200, obj(vec![("ledger", n(stamp))]).to_string()))
    }
}
