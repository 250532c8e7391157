# A site on this machine, larger than the default one. Start it with:
#   dalefront site up deploy/examples/site.hcl
# What is left out has a default; docs/site.md lists them all.
controllers = 3
machines    = 60
zones       = ["north", "south", "west"]

machine "small" {
  cpus       = 8
  memory_gb  = 32
  price      = 0.4
  spot_price = 0.15
}

machine "gpu" {
  cpus      = 16
  gpus      = 4
  memory_gb = 128
  price     = 4
  boot_s    = 3
  zones     = ["north", "south"]
}

team "research" {
  cpus     = 100
  cpus_max = 400
}

team "web" {
  cpus     = 50
  cpus_max = 100
}

workers {
  report_s = 1
  lease_s  = 5
}

state {
  rps       = 400
  write_rps = 150
}
