"""Entry point for ``python -m medlarvale``."""

import sys

from medlarvale.cli import main

if __name__ == "__main__":
    sys.exit(main())
