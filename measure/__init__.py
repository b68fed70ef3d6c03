"""Measurements of the policies and of the slopes in docs/CAPACITY.md."""
