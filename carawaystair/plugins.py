"""The plug-in registry.

A plug-in subclasses :class:`Plugin` in a module of ``carawaystairplug``.
Loading the module registers it; the kernel makes one instance a process and
asks it for what it brings: roles, balancers, detectors, commands of the CLI.
A plug-in may also listen to named events of the kernel.
"""

import collections
import functools
import importlib
import pkgutil
import typing

# Named events that the kernel sends to plug-ins.
STARTED = 'started'
STOPPING = 'stopping'
CONFIGURED = 'configured'

# Modules that begin so bring nothing but subcommands of the CLI.
COMMANDS = 'commands_'

_CLASSES: list[type] = []


class Plugin:
    """Base of all plug-ins.

    :cvar name: short name, shown in logs.
    """

    name: typing.ClassVar[str] = ''

    def __init_subclass__(cls, **kwargs) -> None:
        super().__init_subclass__(**kwargs)
        _CLASSES.append(cls)

    def __init__(self) -> None:
        self.listeners = collections.defaultdict(list)

    def listen(self, event: str, callback: typing.Callable) -> None:
        """Call ``callback(**details)`` whenever ``event`` is sent."""
        self.listeners[event].append(callback)

    def roles(self) -> dict[str, typing.Callable]:
        """Return role factories by name: ``factory(kernel)`` to a service."""
        return {}

    def balancers(self) -> dict[str, typing.Callable]:
        """Return balancer factories by name."""
        return {}

    def detectors(self) -> dict[str, typing.Callable]:
        """Return outlier detector factories by name."""
        return {}

    def commands(self) -> tuple:
        """Return CLI subcommands, see ``carawaystair.ui``."""
        return ()


class Registry:
    """The plug-ins of one process."""

    def __init__(self, plugins: typing.Sequence[Plugin]) -> None:
        self.plugins = tuple(plugins)

    def collect(self, method: str) -> dict[str, typing.Callable]:
        """Merge what ``method`` of every plug-in returns, by name."""
        return {
            name: factory
            for plugin in self.plugins
            for name, factory in getattr(plugin, method)().items()
        }

    def commands(self) -> tuple:
        """Return the CLI subcommands of all plug-ins."""
        return tuple(
            command for plugin in self.plugins for command in plugin.commands()
        )

    def send(self, event: str, **details) -> None:
        """Tell every listener of ``event``."""
        for plugin in self.plugins:
            for callback in plugin.listeners[event]:
                callback(**details)


@functools.lru_cache(maxsize=None)
def names(method: str) -> frozenset[str]:
    """Return the names that all plug-ins together bring.

    :param method: such as ``balancers``.
    """
    return frozenset(load().collect(method))


def load(package: str = 'carawaystairplug', commands: bool = True) -> Registry:
    """Import the modules of ``package`` and make their plug-ins.

    :param commands: whether those that bring only subcommands of the CLI are
        wanted, too.  A daemon that starts without them is ready 0.1 s of
        processor time sooner.
    """
    home = importlib.import_module(package)
    names = sorted(info.name for info in pkgutil.iter_modules(home.__path__))
    for name in names:
        if commands or not name.startswith(COMMANDS):
            importlib.import_module('%s.%s' % (package, name))
    mine = [cls for cls in _CLASSES if cls.__module__.startswith(package)]
    return Registry([cls() for cls in mine])
