# The size of two years from now with ten changes of configuration a second, and a kill of the
# leader among them:
#   dalefront site scale deploy/examples/scale-config.hcl --out DIR
# docs/scale.md says what a run plays and measures.
ramp_s    = 240
steady_s  = 30
trouble_s = 30
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
  config_per_s   = 10
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
  at_s  = 10
  for_s = 0.2
}
