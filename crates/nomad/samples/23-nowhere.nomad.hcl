job "nowhere" {
  datacenters = ["south"]
  group "web" {
    task "web" {
      driver = "exec"
    }
  }
}
