//! Stand-in of the cloud, written from the protocol page.
use crate::http::{self, Reply, Request};
use crate::json::{Json, n, obj, s};
use crate::worker::{Kind, Machine, Yard};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A machine type on offer.
#[derive(Debug, Clone)]
pub struct Flavor {
    pub sku: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    /// Machines to be had by zone: ordinary ones and spot ones.
    pub stock: Vec<(&'static str, u32, u32)>,
}

struct Host {
    build: &'static str,
    yard: &'static str,
    spot: bool,
    rented: Instant,
    machine: Option<Arc<Machine>>,
}

#[derive(Default)]
struct Inner {
    hosts: BTreeMap<String, Host>,
    hires: BTreeMap<String, Vec<String>>,
    next: u64,
}

#[derive(Clone)]
pub struct Cloud {
    inner: Arc<Mutex<Inner>>,
    flavors: Arc<Vec<Flavor>>,
    shared: Arc<Yard>,
    list_lag: Duration,
}

impl Cloud {
    pub fn start(flavors: Vec<Flavor>, list_lag: Duration, shared: Arc<Yard>) -> std::io::Result<SocketAddr> {
        let cloud = Cloud { inner: Arc::default(), flavors: Arc::new(flavors), shared, list_lag };
        http::serve(1 << 20, Arc::new(move |r: &Request| cloud.serve(r)))
    }

    fn serve(&self, r: &Request) -> Reply {
        let body = Json::parse(&r.body).unwrap_or(Json::Null);
        match (r.method.as_str(), r.path.split('?').next().unwrap_or("")) {
            ("GET", "/flavors") => {
                let builds = self.flavors.iter().map(|f| {
                    obj(vec![
                        ("sku", s(f.sku)),
                        ("cpus", n(f.cpus)),
                        ("gpus", n(0)),
                        ("memory_gb", n(f.memory_gb)),
                        ("cache_gb", n(f.cache_gb)),
                        ("pull_gb_per_s", n(f.pull_gb_per_s)),
                        ("hourly", n(f.hourly)),
                        ("spot_price", n(f.spot_price)),
                        ("boot_s", n(f.boot_s)),
                        ("yards", Json::Arr(f.stock.iter().map(|(z, ..)| s(z)).collect())),
                    ])
                });
                Some((200, obj(vec![("builds", Json::Arr(builds.collect()))]).to_string()))
            }
            ("POST", "/rentals") => self.rent(&body),
            ("POST", "/rentals/delete") => {
                let mut i = self.inner.lock().unwrap();
                for host in body.get("hosts").arr() {
                    if let Some(h) = i.hosts.remove(host.str()) {
                        self.shared.log.write(&format!("cloud: {} deleted", host.str()));
                        if let Some(m) = h.machine {
                            m.delete();
                        }
                    }
                }
                Some((200, "{}".into()))
            }
            ("GET", "/rentals") => {
                let i = self.inner.lock().unwrap();
                let from = r.path.split_once("from=").map_or("", |x| x.1.split('&').next().unwrap_or(""));
                let listed =
                    i.hosts.iter().filter(|(k, h)| k.as_str() > from && h.rented.elapsed() >= self.list_lag);
                let hosts: Vec<Json> = listed
                    .take(500)
                    .map(|(k, h)| {
                        let addr =
                            h.machine.as_ref().map_or(String::new(), |m| m.addr.lock().unwrap().clone());
                        let age = h.rented.elapsed().saturating_sub(self.list_lag).as_secs_f64();
                        obj(vec![
                            ("ref", s(k)),
                            ("addr", s(&addr)),
                            ("build", s(h.build)),
                            ("yard", s(h.yard)),
                            ("loaners", Json::Bool(h.spot)),
                            ("stage", s(if h.machine.is_some() { "running" } else { "starting" })),
                            ("held_s", n(format!("{age:.1}"))),
                        ])
                    })
                    .collect();
                let truncated = Json::Bool(hosts.len() == 500);
                Some((200, obj(vec![("hosts", Json::Arr(hosts)), ("truncated", truncated)]).to_string()))
            }
            _ => Some((400, "{}".into())),
        }
    }

    fn rent(&self, body: &Json) -> Reply {
        let mut i = self.inner.lock().unwrap();
        let (hire, number) = (body.get("hire").str(), body.get("number").u64().unwrap_or(0));
        let names = |hosts: &[String]| {
            let hosts = Json::Arr(hosts.iter().map(|h| s(h)).collect());
            Some((200, obj(vec![("hosts", hosts)]).to_string()))
        };
        if let Some(hosts) = i.hires.get(hire) {
            return names(hosts);
        }
        let spot = *body.get("loaners") == Json::Bool(true);
        let offer = self
            .flavors
            .iter()
            .find(|f| f.sku == body.get("build").str())
            .and_then(|f| f.stock.iter().find(|(z, ..)| *z == body.get("yard").str()).map(|z| (f, *z)));
        let Some((flavor, (yard, ordinary, cheap))) = offer.filter(|_| (1..=50).contains(&number)) else {
            return Some((400, "{}".into()));
        };
        let held = i.hosts.values().filter(|h| (h.build, h.yard, h.spot) == (flavor.sku, yard, spot)).count();
        let free = (if spot { cheap } else { ordinary } as usize).saturating_sub(held).min(number as usize);
        if free == 0 {
            return Some((503, obj(vec![("error", s("no capacity"))]).to_string()));
        }
        let mut hosts = Vec::new();
        for _ in 0..free {
            i.next += 1;
            let host = format!("host-{:06}", i.next);
            i.hosts.insert(
                host.clone(),
                Host { build: flavor.sku, yard, spot, rented: Instant::now(), machine: None },
            );
            let (cloud, flavor, name) = (self.clone(), flavor.clone(), host.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(flavor.boot_s));
                cloud.boot(&name, &flavor, yard, spot);
            });
            hosts.push(host);
        }
        self.shared.log.write(&format!("cloud: {hire} rents {} {} in {yard}", hosts.len(), flavor.sku));
        i.hires.insert(hire.to_owned(), hosts.clone());
        names(&hosts)
    }

    fn boot(&self, name: &str, flavor: &Flavor, yard: &'static str, spot: bool) {
        let mut i = self.inner.lock().unwrap();
        let Some(h) = i.hosts.get_mut(name) else { return };
        let kind = Kind {
            build: flavor.sku,
            yard,
            spot,
            cpus: flavor.cpus,
            memory_gb: flavor.memory_gb,
            pull_gb_per_s: flavor.pull_gb_per_s,
        };
        h.machine = Machine::start(name, &kind, self.shared.clone()).ok();
    }
}
