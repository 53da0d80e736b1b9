job "mesh" {
  type = "system"
  vault {
    policies = ["read"]
  }
  group "web" {
    network {
      mode = "bridge"
      port "http" {
        to = 8080
      }
    }
    service {
      name = "web"
      port = "http"
      connect {
        sidecar_service {}
      }
    }
    volume "data" {
      type   = "host"
      source = "data"
    }
    task "init" {
      driver = "exec"
      lifecycle {
        hook = "prestart"
      }
    }
    task "web" {
      driver = "exec"
      template {
        data        = "x"
        destination = "local/x"
      }
      resources {
        device "nvidia/gpu" {
          count = 1
        }
      }
    }
  }
}
