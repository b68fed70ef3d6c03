"""Decide everything about a fleet, without performing any I/O.

Every decision is a function of state, event, time and a random source, so
that it runs the same in a daemon, in a test and in a measurement.
"""
