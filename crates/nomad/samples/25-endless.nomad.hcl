job "night-endless" {
  type = "batch"
  group "work" {
    restart {
      attempts = 6
      mode     = "fail"
    }
    reschedule {
      unlimited = true
    }
    ephemeral_disk {
      size = 20000
    }
    task "work" {
      driver       = "exec"
      kill_timeout = "10m"
      resources {
        cores  = 12
        memory = 1024
      }
    }
  }
}
