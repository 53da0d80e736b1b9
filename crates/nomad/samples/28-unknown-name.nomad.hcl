variable "needed" {
  type = string
}

job "names" {
  meta = {
    a = var.other
    b = local.nothing
    c = nothing
    d = file("/etc/hostname")
    e = 1 + "x"
  }
  group "g" {
    task "t" {
      driver = "exec"
    }
  }
}
