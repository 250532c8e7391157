# A day's work of low priority, an hour long, and bursts of urgent jobs in it: how tasks
# make way is compared. Run with: dalefront load deploy/examples/burst.hcl --out DIR
seed       = 1
repeat     = 5
duration_s = 3600
machines   = 12

class "batch" {
  team               = "research"
  priority           = "low"
  per_hour           = 16
  tasks              = [4, 24]
  cpus               = 4
  memory_gb          = 2
  run_s              = [240, 0.8]
  checkpoint_every_s = 120
  save_s             = 20
  image_gb           = 2
}

class "urgent" {
  team      = "research"
  priority  = "urgent"
  per_hour  = 30
  tasks     = [2, 16]
  cpus      = 4
  memory_gb = 4
  run_s     = [60, 0.5]
  image_gb  = 1
}

fault "die" {
  at_s  = 1800
  count = 2
}

variant "adaptive" {}
variant "kill" { eviction = "kill" }
variant "checkpoint" { eviction = "checkpoint" }
variant "none" { eviction = "none" }
variant "fcfs" { order = "arrival" }
