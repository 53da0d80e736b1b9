//! Messages of the cloud provider's API. Attributes map the API's field names to the code's.
use serde::{Deserialize, Serialize};

/// `GET /flavors`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Flavors {
    /// All machine types on offer.
    pub builds: Vec<Flavor>,
}

/// A machine type.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Flavor {
    /// Name of the machine type.
    pub sku: String,
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Image pull rate in GB per second.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// On-demand price per hour.
    pub hourly: f64,
    /// Spot price per hour.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Usual boot time in seconds.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that offer the machine type.
    #[serde(default)]
    pub yards: Vec<String>,
}

/// `POST /rentals`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hire {
    /// Unique id of the request, never reused.
    pub hire: String,
    /// Machine type.
    pub build: String,
    /// Zone to rent in.
    pub yard: String,
    /// Whether to rent spot machines.
    pub loaners: bool,
    /// Number of machines.
    pub number: u32,
}

/// Machine names: the response to a rental, and the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hosts {
    /// Names that the cloud gave the machines.
    pub hosts: Vec<String>,
}

/// `GET /rentals`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rentals {
    /// Machines, sorted by name.
    pub hosts: Vec<Rental>,
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
    pub build: String,
    /// Zone of the machine.
    pub yard: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    pub loaners: bool,
    /// `starting`, `running` or `failed`.
    pub stage: String,
    /// Age of the rental in seconds.
    #[serde(default)]
    pub held_s: f64,
}
