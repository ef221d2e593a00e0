"""Entry point for ``python -m medlarvale``."""

import sys

from medlarvale.process_signals import process_signals

if __name__ == "__main__":
    process_signals.install(sys.argv[1:])
    # Imported only now, since a signal may arrive meanwhile.
    from medlarvale.cli import main

    sys.exit(main())
