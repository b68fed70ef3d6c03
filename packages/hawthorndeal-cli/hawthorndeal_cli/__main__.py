"""Run the command line as ``python -m hawthorndeal_cli``."""

import sys

from . import main

sys.exit(main.main())
