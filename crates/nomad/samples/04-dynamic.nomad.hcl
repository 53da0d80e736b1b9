locals {
  teams = {
    howrah   = 3
    saltlake = 2
  }
}

job "bouquet-plans" {
  type = "batch"

  dynamic "group" {
    for_each = local.teams
    labels   = ["plan-${group.key}"]
    content {
      count = group.value
      task "plan" {
        driver = "exec"
        config {
          command = "plan"
          args    = [for i in range(group.value) : format("--part=%02d", i)]
        }
      }
    }
  }
}
