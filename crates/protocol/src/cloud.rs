//! Messages of the cloud provider's API. Attributes map the API's field names to the code's.
use serde::{Deserialize, Serialize};

/// `GET /flavors`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Flavors {
    /// All machine types on offer.
    #[serde(rename = "builds")]
    pub flavors: Vec<Flavor>,
}

/// A machine type.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Flavor {
    /// Name of the machine type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(rename = "cache_gb", default)]
    pub image_cache_gb: f64,
    /// Image pull rate in GB per second.
    #[serde(rename = "pull_gb_per_s", default)]
    pub image_pull_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Spot price per hour.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Usual boot time in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that offer the machine type.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// `POST /rentals`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    /// Unique id of the request, never reused.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone to rent in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machine names: the response to a rental, and the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names that the cloud gave the machines.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// `GET /rentals`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rentals {
    /// Machines, sorted by name.
    #[serde(rename = "hosts")]
    pub machines: Vec<Rental>,
    /// The list continues on a further page.
    #[serde(default)]
    pub truncated: bool,
}

/// A rented machine in `GET /rentals`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rental {
    /// Machine name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address of the machine's worker.
    #[serde(default)]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "stage")]
    pub state: String,
    /// Age of the rental in seconds.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}
