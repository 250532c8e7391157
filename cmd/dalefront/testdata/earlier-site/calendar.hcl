calendar "utc" {
  timezone = "UTC"
}

# It ends: what falls due later does not push its history out.
schedule "minutely" {
  calendar = "utc"
  cron     = "* * * * *"
  until    = "2026-12-02T10:35:00"
  missed   = "skip"
  overlap  = "allow"
  job {
    class      = "minutely"
    team       = "research"
    cpus       = 1
    memory_gb  = 1
    image      = "i"
    image_gb   = 0.5
    estimate_s = 1
  }
}

schedule "paused" {
  calendar = "utc"
  cron     = "* * * * *"
  until    = "2026-12-02T10:35:00"
  job {
    class      = "paused"
    team       = "research"
    cpus       = 1
    memory_gb  = 1
    image      = "i"
    image_gb   = 0.5
    estimate_s = 1
  }
}
