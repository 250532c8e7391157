calendar         = "calendar.hcl"
archive_after_s  = 5
takeover_copy_s  = 10
snapshot_dir     = "snapshots"
snapshot_every_s = 3600
