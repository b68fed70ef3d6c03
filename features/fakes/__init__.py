"""Small stand-ins for the platform and for endpoints, a process each."""
