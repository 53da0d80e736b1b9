job "stock-report" {
  type = "batch"
  group "report" {
    task "report" {
      driver = "exec"
      config {
        command = "/bin/sh"
        args    = ["-c", <<-EOT
          set -e
          echo "stock of ${NOMAD_ALLOC_ID}"
          %{ for shop in ["howrah", "saltlake"] ~}
          report --shop ${shop}
          %{ endfor ~}
          EOT
        ]
      }
    }
  }
}
