"""Daemon tasks that own a partition of jobs, place and track their runs."""
