job "broken" {
  group "web" {
    count = 2
    task "web" {
      driver = "exec
    }
  }
}
