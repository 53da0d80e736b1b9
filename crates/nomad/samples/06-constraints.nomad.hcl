job "big-machines" {
  datacenters = ["*"]
  constraint {
    attribute = "${attr.cpu.numcores}"
    operator  = ">="
    value     = "8"
  }
  constraint {
    attribute = "${attr.kernel.name}"
    value     = "linux"
  }
  group "model" {
    count = 2
    affinity {
      attribute = "${node.datacenter}"
      value     = "west"
      weight    = 75
    }
    task "serve" {
      driver = "exec"
      constraint {
        attribute = "${node.class}"
        regexp    = "^b.g$"
      }
      config {
        command = "serve"
      }
      resources {
        cores  = 6
        memory = 16384
      }
    }
  }
}
