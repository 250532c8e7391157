# The size of two years from now, on one machine:
#   dalefront site scale deploy/examples/scale.hcl --out DIR [--sweep]
# docs/scale.md says what a run plays and measures, docs/CAPACITY.md what came of it.
ramp_s    = 240
steady_s  = 70
sweep_s   = 15
trouble_s = 90
task_s    = 5

counts {
  controllers    = 6
  zones          = 5
  workers        = 2700
  accelerators   = 3200
  tasks_running  = 51000
  starts_per_s   = 920
  teams          = 49
  gang_size      = 256
  gang_every_s   = 20
  urgent_tasks   = 50
  urgent_every_s = 5
  config_per_s   = 0.16
  jobs_per_day   = 11000
}

workers {
  report_s = 4
  lease_s  = 20
}

state {
  rps       = 750
  write_rps = 250
  value_kb  = 16
  txn_ops   = 24
}

event "kill" {
  at_s  = 5
  for_s = 0.2
}

event "rack" {
  at_s  = 25
  count = 40
}

event "restart" {
  at_s  = 40
  for_s = 15
  count = 200
}

event "cut" {
  at_s  = 65
  for_s = 15
}

sweep "workers" {
  values = [675, 1350, 2025, 2700]
}

sweep "tasks_running" {
  values = [12750, 25500, 38250, 51000]
}

sweep "starts_per_s" {
  values = [100, 370, 640, 920]
}

sweep "teams" {
  values = [7, 21, 35, 49]
}

sweep "jobs_waiting" {
  values = [0, 500, 1000, 2000]
}
