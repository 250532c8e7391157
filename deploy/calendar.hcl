# Recurring jobs. Switched on by `calendar = "deploy/calendar.hcl"` in the operator's
# settings; docs/calendars.md says what everything means.

calendar "tartu" {
  timezone = "Europe/Tallinn"
}

calendar "curepipe" {
  timezone = "Indian/Mauritius"
  weekdays = ["mon", "tue", "wed", "thu", "fri"]

  holiday "New Year" { date = "01-01" }
  holiday "New Year, second day" { date = "01-02" }
  holiday "Abolition of Slavery" { date = "02-01" }
  holiday "Independence and Republic Day" { date = "03-12" }
  holiday "Labour Day" { date = "05-01" }
  holiday "Arrival of Indentured Labourers" { date = "11-02" }
  holiday "Christmas" { date = "12-25" }
  # Those that go by the moon are gazetted each year: list them here.
  # holiday "Eid-ul-Fitr" { dates = ["YYYY-MM-DD"] }
}

# The dimming schedules go out forty minutes before civil dusk.
schedule "dimming" {
  calendar = "tartu"
  sun {
    event     = "civil_dusk"
    latitude  = 58.38
    longitude = 26.72
    offset_s  = -2400
  }
  latest_start_s = 2400
  missed         = "run_once"
  overlap        = "replace"
  job {
    class      = "dimming"
    team       = "tallinnalamps"
    priority   = "urgent"
    tasks      = 12
    cpus       = 2
    memory_gb  = 4
    image      = "dimming"
    image_gb   = 0.5
    estimate_s = 300
  }
}

# The night's sweep, at a quarter past three, which the clocks show twice in October.
schedule "nightly-sweep" {
  calendar = "tartu"
  cron     = "15 3 * * *"
  jitter_s = 120
  job {
    class      = "faultsweep"
    team       = "tallinnalamps"
    cpus       = 4
    memory_gb  = 8
    image      = "sweep"
    image_gb   = 1.2
    estimate_s = 900
  }
}

# The revocation checks are done before the registry opens, but not on holidays.
schedule "revocation-checks" {
  calendar = "curepipe"
  finish_by {
    at    = "08:45"
    run_s = 2700
  }
  latest_start_s = 1800
  job {
    class      = "revocation"
    team       = "certops"
    priority   = "production"
    tasks      = 8
    cpus       = 1
    memory_gb  = 2
    image      = "revocation"
    image_gb   = 0.4
    estimate_s = 1800
    deadline_s = 2700
  }
}
