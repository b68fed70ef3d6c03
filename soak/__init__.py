"""Fault soak: real daemons under load, with stand-ins of the platform.

Daemons, the store and the executors are processes of their own. What the
executors ran and what the callers submitted is recorded, and judged when the
load is over.
"""
