job "gentle" {
  all_at_once = true
  update {
    max_parallel = 1
    canary       = 1
  }
  group "web" {
    count = 2
    migrate {
      max_parallel = 1
    }
    ephemeral_disk {
      size   = 500
      sticky = true
    }
    task "web" {
      driver      = "exec"
      leader      = true
      kill_signal = "SIGINT"
      logs {
        max_files     = 3
        max_file_size = 10
      }
      config {
        command = "web"
      }
    }
  }
}
