"""Settings and machine types of the users' site files, as far as the cases need them."""


def flavor(sku, cpus, memory, hourly, spot, cache, pull, boot, yards):
    return {"sku": sku, "cpus": cpus, "gpus": 0, "memory_gb": memory, "cache_gb": cache, "pull_gb_per_s": pull,
            "hourly": hourly, "spot_price": spot, "boot_s": boot, "yards": yards}


KOLKATA = ["howrah", "saltlake"]
KOLKATA_FLAVORS = [flavor("kuri", 8.0, 64.0, 0.7, 0.26, 40.0, 0.6, 35.0, KOLKATA),
                   flavor("mala", 32.0, 128.0, 2.05, 0.83, 40.0, 0.3, 25.0, KOLKATA)]
# kit/sites/phoolbari-kolkata.toml
KOLKATA_SETTINGS = {"clock_off_ms": 100.0, "report_s": 2.5, "lease_s": 14.0, "cancel_s": 34.0, "rps": 200.0,
                    "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 24, "cloud_rps": 3.0, "list_lag_s": 6.0,
                    "cpu": 0.12, "ram_mb": 56.0, "sockets": 1500, "restart_s": 5.0}
# kit/more/hunt/phoolbari-kolkata-hunt.toml
KOLKATA_HUNT_SETTINGS = dict(KOLKATA_SETTINGS, report_s=5.0, lease_s=26.5, cancel_s=46.5, rps=500.0, write_rps=180.0,
                             cloud_rps=5.0, cpu=0.256, ram_mb=128.0, sockets=3208)
BRNO = ["morava", "cechy", "slezsko"]
BRNO_FLAVORS = [flavor("sedlo", 4.0, 8.0, 0.16, 0.04, 70.0, 0.4, 15.0, BRNO),
                flavor("stoupani", 8.0, 32.0, 0.32, 0.07, 60.0, 0.2, 20.0, BRNO),
                flavor("velkyvrch", 64.0, 256.0, 2.69, 0.7, 35.0, 0.25, 50.0, BRNO)]
# kit/sites/profilovna-brno.toml
BRNO_SETTINGS = {"clock_off_ms": 25.0, "report_s": 2.0, "lease_s": 12.0, "cancel_s": 42.0, "rps": 100.0,
                 "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 8, "cloud_rps": 8.0, "list_lag_s": 5.0, "cpu": 0.12,
                 "ram_mb": 72.0, "sockets": 1500, "restart_s": 3.0}
