"""Measurements of the policies and of the slopes behind CAPACITY.md."""
