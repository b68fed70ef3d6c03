"""The decision logic of a fleet, without any I/O.

Every decision is a function of state, event, time and a random number
generator, so that daemons, tests and measurements run the same code.
"""
