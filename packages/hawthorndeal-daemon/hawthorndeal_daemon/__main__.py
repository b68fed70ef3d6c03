"""Run the daemon as ``python -m hawthorndeal_daemon``."""

import sys

from . import main

sys.exit(main.main())
