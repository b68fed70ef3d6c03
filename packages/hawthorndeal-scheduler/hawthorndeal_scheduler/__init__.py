"""The tasks of a daemon that own, place and follow jobs."""
