variable "count" {
  type    = number
  default = 4
}

variable "image" {
  type        = string
  default     = "registry.example/desk:1.9"
  description = "what runs"
}

variable "zones" {
  type    = list(string)
  default = ["east", "west"]
}

locals {
  prefix = "order"
  name   = "${local.prefix}-desk"
  env = {
    REGION = upper("here")
    COUNT  = var.count * 2
  }
}

job "order-desk" {
  name        = local.name
  datacenters = var.zones

  group "desk" {
    count = var.count
    spread {
      attribute = "${node.datacenter}"
      weight    = 100
    }
    task "serve" {
      driver = "docker"
      config {
        image = var.image
      }
      env = merge(local.env, { NAME = local.name })
      resources {
        cpu    = 2000
        memory = 2150
      }
    }
  }
}
