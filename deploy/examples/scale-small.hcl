# A scale run of a hundred workers, in under a minute:
#   dalefront site scale deploy/examples/scale-small.hcl --out DIR
# docs/scale.md says what a run plays and measures.
ramp_s    = 25
steady_s  = 10
trouble_s = 8
task_s    = 2

counts {
  controllers    = 3
  zones          = 2
  workers        = 100
  accelerators   = 0
  tasks_running  = 1900
  starts_per_s   = 34
  teams          = 4
  gang_size      = 16
  gang_every_s   = 6
  urgent_tasks   = 8
  urgent_every_s = 2
  config_per_s   = 0.5
  jobs_per_day   = 11000
}

workers {
  report_s = 1
  lease_s  = 6
}

event "kill" {
  at_s  = 1
  for_s = 0.2
}
