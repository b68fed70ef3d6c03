"""Speak to the platform: its log, its hosts and their workers."""
