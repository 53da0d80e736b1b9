//! Machine types offered by the cloud stand-ins.
use gorseshore_protocol::cloud::Flavor;

/// A machine type without GPUs that is available in `zones`. `hourly` is the
/// on-demand price per hour, `spot_fraction` the fraction of it that a spot machine costs,
/// `boot_s` the boot time in seconds.
pub fn flavor(sku: &str, cpus: f64, hourly: f64, spot_fraction: f64, boot_s: f64, zones: &[&str]) -> Flavor {
    Flavor {
        name: sku.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        image_cache_gb: 40.0,
        image_pull_gb_per_s: 1.0,
        hourly_price: hourly,
        spot_price: Some(hourly * spot_fraction),
        boot_s,
        zones: zones.iter().map(|z| (*z).to_owned()).collect(),
    }
}
