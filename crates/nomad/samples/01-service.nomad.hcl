# The least that a service needs.
job "climb-charts" {
  group "api" {
    count = 3

    task "serve" {
      driver = "exec"
      config {
        command = "/usr/local/bin/climb-charts"
        args    = ["--port", "8080"]
      }
      resources {
        cpu    = 4000
        memory = 3072
      }
    }
  }
}
