"""Clients for the platform's log, hosts and workers."""
