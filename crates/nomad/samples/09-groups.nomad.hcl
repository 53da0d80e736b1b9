job "shop" {
  group "front" {
    count = 4
    task "front" {
      driver = "docker"
      config {
        image = "registry.example/front:7"
      }
    }
  }
  group "back" {
    count = 2
    task "back" {
      driver = "docker"
      config {
        image = "registry.example/back:7"
        port_map = {
          http = 8080
        }
      }
      resources {
        cpu        = 500
        memory     = 256
        memory_max = 512
      }
    }
  }
  group "spare" {
    count = 0
    task "spare" {
      driver = "exec"
      config {
        command = "spare"
      }
    }
  }
}
