variable "size" {
  type = object({
    cpu    = number
    memory = optional(number)
  })
  default = {
    cpu    = 1200
    memory = 700
  }
}

locals {
  busy  = contains(["east", "north"], "east") && !false
  parts = { for k, v in { a = 1, b = 2 } : upper(k) => v if v > 1 }
  net   = cidrsubnet("10.0.0.0/8", 8, 7)
  text  = join(",", [for k, v in local.parts : "${k}=${v}"])
}

job "expressions" {
  type     = "batch"
  priority = local.busy ? 60 : 20
  meta = {
    parts = local.text
    net   = cidrhost(local.net, 5)
    safe  = try(local.missing, "none")
    sum   = sha256("x")
    list  = jsonencode(distinct(["a", "b", "a"]))
  }
  group "g" {
    count = length(keys(local.parts)) + 1
    task "t" {
      driver = "exec"
      config {
        command = trimspace("  run ")
      }
      resources {
        cpu    = var.size.cpu
        memory = var.size["memory"]
      }
    }
  }
}
