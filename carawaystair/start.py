"""Entry point of ``carawaystaird``."""

import importlib
import sys

from carawaystair import reload_signal


def main() -> int:
    """Start the daemon, whose imports take most of a start."""
    reload_signal.hold()
    return importlib.import_module('carawaystair.daemon').main()


if __name__ == '__main__':
    sys.exit(main())
