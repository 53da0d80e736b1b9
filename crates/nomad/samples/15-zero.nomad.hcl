job "night-pause" {
  type = "batch"
  group "work" {
    count = 0
    task "work" {
      driver = "exec"
    }
  }
}
