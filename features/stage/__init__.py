"""Start daemons and stand-ins as processes on loopback, and end them."""
