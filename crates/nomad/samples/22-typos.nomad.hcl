job "typos" {
  datacentres = ["east"]
  priority    = 101
  group "web" {
    cuont = 2
    count = "three"
    restart {
      attempts = -1
      interval = "soon"
      mode     = "explode"
    }
    task "web" {
      driver = "exec"
      env    = ["A=1"]
      resources {
        cpu    = 1.5
        memory = 256
      }
      resources {
        cpu = 100
      }
    }
  }
}
