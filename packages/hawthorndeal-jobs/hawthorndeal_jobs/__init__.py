"""Model of jobs, and the scheduling decisions on them; performs no I/O."""
