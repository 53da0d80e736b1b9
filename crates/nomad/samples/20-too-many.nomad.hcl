job "night-flood" {
  type = "batch"
  group "a" {
    count = 200
    task "t" {
      driver = "exec"
    }
  }
  group "b" {
    count = 101
    task "t" {
      driver = "exec"
    }
  }
}
