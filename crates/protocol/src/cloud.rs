//! The cloud's interface.
use serde::{Deserialize, Serialize};

/// `GET /flavors`.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Flavors {
    /// Machine types.
    pub builds: Vec<Flavor>,
}

/// A machine type.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Flavor {
    /// Name.
    pub sku: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
    /// Image cache.
    #[serde(default)]
    pub cache_gb: f64,
    /// Fetch rate.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// Ordinary price an hour.
    pub hourly: f64,
    /// Spot price an hour.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Usual boot time.
    #[serde(default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(default)]
    pub yards: Vec<String>,
}

/// `POST /rentals`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hire {
    /// Request name, never reused.
    pub hire: String,
    /// Type.
    pub build: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub loaners: bool,
    /// How many.
    pub number: u32,
}

/// Names of machines: the answer to a rental, and the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hosts {
    /// Machine names.
    pub hosts: Vec<String>,
}

/// `GET /rentals`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rentals {
    /// Machines, in the order of their names.
    pub hosts: Vec<Rental>,
    /// More follow.
    #[serde(default)]
    pub truncated: bool,
}

/// A machine in the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Rental {
    /// Name.
    #[serde(rename = "ref")]
    pub name: String,
    /// Worker address.
    #[serde(default)]
    pub addr: String,
    /// Type.
    pub build: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    #[serde(default)]
    pub loaners: bool,
    /// `starting`, `running` or `failed`.
    pub stage: String,
    /// Age.
    #[serde(default)]
    pub held_s: f64,
}
