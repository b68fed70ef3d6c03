"""Jobs of several steps, and every decision on them; no I/O."""
