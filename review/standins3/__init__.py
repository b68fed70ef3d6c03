"""Stand-ins of the platform, and the daemons that run beside them."""
