job "route-on-demand" {
  type = "batch"
  parameterized {
    payload       = "optional"
    meta_required = ["route"]
    meta_optional = ["grid"]
  }
  group "route" {
    task "plan" {
      driver = "exec"
      config {
        command = "plan-route"
        args    = ["${NOMAD_META_route}"]
      }
      resources {
        cpu    = 1000
        memory = 512
      }
    }
  }
}
