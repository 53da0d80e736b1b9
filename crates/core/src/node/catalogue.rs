//! Machine types as the cloud sells them, and the budget of its calls.
use crate::controller::Sizes;
use crate::rate::Bucket;
use gorseshore_protocol::cloud::{Flavor, Flavors};
use gorseshore_protocol::ids::{Micros, Resources};

/// Machine types and the calls that may be made.
#[derive(Debug)]
pub(super) struct Catalogue {
    pub flavors: Vec<Flavor>,
    pub sizes: Sizes,
    pub asked_at: Micros,
    /// The types were asked for.
    pub open: bool,
    pub bucket: Bucket,
}

impl Catalogue {
    /// Nothing known; `calls` a second are the cloud's.
    pub fn new(calls: f64, now: Micros) -> Self {
        Catalogue {
            flavors: Vec::new(),
            sizes: Sizes::new(),
            asked_at: Micros(0),
            open: false,
            bucket: Bucket::new(calls * 0.85, calls, now),
        }
    }

    /// Whether the types should be asked for: often until they are known, now
    /// and then for the leader, who goes by their prices.
    pub fn due(&self, leads: bool, now: Micros) -> bool {
        let period = match (self.flavors.is_empty(), leads) {
            (true, _) => Micros::millis(1000),
            (false, true) => Micros::secs(30),
            (false, false) => Micros::secs(600),
        };
        !self.open && (self.asked_at == Micros(0) || now.since(self.asked_at) >= period)
    }

    /// The cloud's answer.
    pub fn take(&mut self, f: Flavors) {
        let size = |b: &Flavor| Resources::have(b.cpus, b.gpus, b.memory_gb);
        self.sizes = f.builds.iter().map(|b| (b.sku.clone(), size(b))).collect();
        self.flavors = f.builds;
    }
}
