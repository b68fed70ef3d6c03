"""Demonstration of the system on fakes of the platform and endpoints."""
