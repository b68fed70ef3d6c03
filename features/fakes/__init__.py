"""Fakes of the platform's services, of endpoints and of executors."""
