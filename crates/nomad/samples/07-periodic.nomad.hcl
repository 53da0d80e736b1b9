job "night-backup" {
  type = "batch"
  periodic {
    crons            = ["30 2 * * *", "@weekly"]
    prohibit_overlap = true
    time_zone        = "Europe/Prague"
  }
  group "copy" {
    task "copy" {
      driver = "raw_exec"
      config {
        command = "backup"
      }
    }
  }
}
