//! Machine types as the cloud sells them, its calls and their budget.
use crate::controller::Sizes;
use crate::leader::HireRequest;
use crate::leader::growth::LIST_PAGE;
use crate::rate::Bucket;
use crate::{Call, Target};
use gorseshore_protocol::cloud::{Flavor, Flavors, MachineNames, RentalRequest};
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
        let size = |b: &Flavor| Resources::capacity(b.cpus, b.gpus, b.memory_gb);
        self.sizes = f.flavors.iter().map(|b| (b.name.clone(), size(b))).collect();
        self.flavors = f.flavors;
    }
}

/// A call of the cloud is given up after this.
const CALL_TIMEOUT: Micros = Micros::secs(4);

fn cloud_call(method: &'static str, path: String, body: Vec<u8>) -> Call {
    Call { target: Target::Cloud, method, path, body, timeout: CALL_TIMEOUT }
}

/// Rents machines.
pub(super) fn rent_call(request: &HireRequest) -> Call {
    let body = RentalRequest {
        request_id: request.name.clone(),
        machine_type: request.build.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
        count: request.count,
    };
    cloud_call("POST", "/rentals".into(), serde_json::to_vec(&body).unwrap_or_default())
}

/// Deletes machines.
pub(super) fn delete_call(names: Vec<String>) -> Call {
    let body = MachineNames { names };
    cloud_call("POST", "/rentals/delete".into(), serde_json::to_vec(&body).unwrap_or_default())
}

/// Asks for a page of the list of machines, after a name.
pub(super) fn list_call(from: Option<&str>) -> Call {
    let from = from.map_or(String::new(), |name| format!("from={name}&"));
    cloud_call("GET", format!("/rentals?{from}limit={LIST_PAGE}"), Vec::new())
}
