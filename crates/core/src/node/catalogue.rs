//! Machine types that the cloud offers, calls to the cloud, and their budget.
use crate::controller::MachineSizes;
use crate::leader::ScaleOutRequest;
use crate::leader::scaling_limits::MAX_MACHINES_PER_LIST_PAGE;
use crate::token_bucket::TokenBucket;
use crate::{Call, Target};
use gorseshore_protocol::cloud::{Flavor, Flavors, MachineNames, RentalRequest};
use gorseshore_protocol::ids::{Micros, Resources};

/// Machine types and the budget for calls to the cloud.
#[derive(Debug)]
pub(super) struct Catalogue {
    pub flavors: Vec<Flavor>,
    pub sizes: MachineSizes,
    pub requested_at: Micros,
    /// A request for the machine types is in flight.
    pub request_in_flight: bool,
    pub bucket: TokenBucket,
}

impl Catalogue {
    /// Creates an empty catalogue; `calls` is the cloud's limit in calls per second.
    pub fn new(calls: f64, now: Micros) -> Self {
        Catalogue {
            flavors: Vec::new(),
            sizes: MachineSizes::new(),
            requested_at: Micros(0),
            request_in_flight: false,
            bucket: TokenBucket::new(calls * 0.85, calls, now),
        }
    }

    /// Whether to request the machine types: every second until they are known, then every 30 s for
    /// the leader, which decides by their prices, and every 600 s otherwise.
    pub fn due(&self, leads: bool, now: Micros) -> bool {
        let period = match (self.flavors.is_empty(), leads) {
            (true, _) => Micros::millis(1000),
            (false, true) => Micros::secs(30),
            (false, false) => Micros::secs(600),
        };
        !self.request_in_flight && (self.requested_at == Micros(0) || now.since(self.requested_at) >= period)
    }

    /// Stores the cloud's response.
    pub fn update(&mut self, f: Flavors) {
        let size = |b: &Flavor| Resources::capacity(b.cpus, b.gpus, b.memory_gb);
        self.sizes = f.flavors.iter().map(|b| (b.name.clone(), size(b))).collect();
        self.flavors = f.flavors;
    }
}

/// Timeout of a call to the cloud.
const CALL_TIMEOUT: Micros = Micros::secs(4);

fn cloud_call(method: &'static str, path: String, body: Vec<u8>) -> Call {
    Call { target: Target::Cloud, method, path, body, timeout: CALL_TIMEOUT }
}

/// A call that rents machines.
pub(super) fn rent_call(request: &ScaleOutRequest) -> Call {
    let body = RentalRequest {
        request_id: request.name.clone(),
        machine_type: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
        count: request.count,
    };
    cloud_call("POST", "/rentals".into(), serde_json::to_vec(&body).unwrap_or_default())
}

/// A call that deletes machines.
pub(super) fn delete_call(names: Vec<String>) -> Call {
    let body = MachineNames { names };
    cloud_call("POST", "/rentals/delete".into(), serde_json::to_vec(&body).unwrap_or_default())
}

/// A call for a page of the cloud's list of machines, starting after a name.
pub(super) fn list_call(from: Option<&str>) -> Call {
    let from = from.map_or(String::new(), |name| format!("from={name}&"));
    cloud_call("GET", format!("/rentals?{from}limit={MAX_MACHINES_PER_LIST_PAGE}"), Vec::new())
}
