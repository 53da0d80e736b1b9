job "picky" {
  constraint {
    attribute = "${attr.cpu.arch}"
    value     = "amd64"
  }
  constraint {
    distinct_hosts = true
  }
  group "web" {
    constraint {
      attribute = "${node.class}"
      value     = "huge"
    }
    task "web" {
      driver = "exec"
    }
  }
}
