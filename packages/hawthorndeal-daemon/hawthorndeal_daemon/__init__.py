"""Entry host daemon: serves callers, follows the log, maintains hosts."""
