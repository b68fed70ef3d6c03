"""Give operators a command line for a fleet."""
