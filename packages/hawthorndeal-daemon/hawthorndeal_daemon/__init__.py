"""Run an entry host: serve callers, follow the log, maintain hosts."""
