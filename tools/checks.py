"""Local linter checks, for rules of the style that hacking leaves out.

``from package import name`` may name modules only.  A reader then sees at
each use where a name comes from.
"""

import importlib.util
import re

FROM_IMPORT = re.compile(r'^\s*from\s+([\w.]+)\s+import\s+(\w+)')
MESSAGE = 'C001 import modules only, not names: %s'


def _is_module(package, name):
    """Tell whether ``package.name`` can be imported as a module."""
    try:
        spec = importlib.util.find_spec('{}.{}'.format(package, name))
    except ModuleNotFoundError:
        return False
    return spec is not None


def import_modules_only(logical_line):
    """Report imports of names out of a module (C001)."""
    found = FROM_IMPORT.match(logical_line)
    if found is None or found.group(1) == '__future__':
        return
    if not _is_module(found.group(1), found.group(2)):
        yield found.start(), MESSAGE % found.group(0).strip()
