# Waits twice as long for silent machines as what was observed suggests, for networks
# whose cuts are known to be short. Used with --operator or DALEFRONT_OPERATOR;
# docs/failure-domains.md says what it weighs.
silent_patience = 2
