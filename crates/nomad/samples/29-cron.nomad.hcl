job "night-cron" {
  type = "batch"
  periodic {
    cron      = "61 2 * * *"
    time_zone = "Europe/Brnoo"
  }
  parameterized {}
  group "g" {
    task "t" {
      driver = "exec"
    }
  }
}
