job "night-elevation" {
  type        = "batch"
  priority    = 40
  datacenters = ["east", "west"]
  meta {
    owner = "routes"
  }

  group "recompute" {
    count = 50
    restart {
      attempts = 2
      mode     = "fail"
    }
    reschedule {
      attempts  = 1
      unlimited = false
    }
    task "elevation" {
      driver       = "exec"
      kill_timeout = "12s"
      config {
        command = "/opt/elevation/run"
      }
      env {
        GRID = "10m"
      }
      resources {
        cores  = 4
        memory = 5427
      }
    }
  }
}
