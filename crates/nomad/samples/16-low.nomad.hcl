job "sweep" {
  type     = "batch"
  priority = 5
  group "sweep" {
    count = 2
    task "sweep" {
      driver = "exec"
      config {
        command = "sweep"
      }
      resources {
        cpu    = 200
        memory = 128
      }
    }
  }
}
