//! Machine types of stand-in clouds.
use gorseshore_protocol::cloud::Flavor;

/// A type without GPUs, to be had in these zones: price an hour, what part of it
/// a spot machine costs, and seconds to boot.
pub fn flavor(sku: &str, cpus: f64, hourly: f64, spot: f64, boot_s: f64, zones: &[&str]) -> Flavor {
    Flavor {
        name: sku.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        image_cache_gb: 40.0,
        image_pull_gb_per_s: 1.0,
        hourly_price: hourly,
        spot_price: Some(hourly * spot),
        boot_s,
        zones: zones.iter().map(|z| (*z).to_owned()).collect(),
    }
}
