# For how long a user waits at most for the word that a job is cancelled while a controller
# can't be told of it. A controller that is cut off goes on renewing leases for as long, and
# for what cancel_s leaves after a lease. Used with --operator or DALEFRONT_OPERATOR on every
# controller; docs/meetings.md.
cancel_wait_s = 45
