# Two controllers stand by warm and take over within a fraction of a second. Used with
# --operator or DALEFRONT_OPERATOR on every controller; docs/standby.md says how. The
# default is one standby; 0 switches it off.
standbys = 2

# For how long a leader whose connection broke must answer nobody before a standby
# replaces its term; 0 leaves it to the hold (term_s).
suspect_s = 0.25
