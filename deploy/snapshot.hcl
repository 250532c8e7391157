# Keeps the state small and copies of it at hand. Used with --operator or
# DALEFRONT_OPERATOR on every controller; docs/snapshots.md says what it does. Only
# once all controllers run a version that has these settings.

# Final answers of jobs that ended an hour ago move into the archive, at no more than a
# tenth of what the state service takes.
archive_after_s = 3600
archive_share   = 0.1

# The leader writes a copy of the state each hour and keeps two. Relative to this file.
snapshot_dir     = "../target/snapshots"
snapshot_every_s = 3600

# A secret in a file of its own makes the copies tamper-evident.
# snapshot_key_file = "/etc/dalefront/snapshot.key"
