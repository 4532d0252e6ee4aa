"""Makes the adapter's modules importable; builds documents of the platform."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent.parent / 'platform'
if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))

# The platform's form, from an upstream that sends its start time.
HEARTBEAT = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_remaining': '1500ms',
    'seq': 4,
    'born': 1_790_000_000_000,
}


def settings(**changes) -> dict:
    """Return a settings document of a host with an upstream.

    :param changes: values by path, with steps joined by ``__``; None removes
        the field.
    """
    document = {
        'self': {
            'node_name': 'sidecar-a-1',
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': ['sidecar'],
            'ip': '10.1.0.41',
            'zone': 'a',
            'region': 'r',
            'in_tolerance': False,
            'bootstrap': True,
            'app_addr': '10.1.0.41:8628',
            'service': 'wuno96b',
        },
        'network': {
            'internal_port_range': [7600, 7615],
            'seeds': ['10.1.0.48:8620', '10.2.0.31:8620', '10.3.0.15:8620'],
            'listen': {
                'inbound': '10.1.0.41:8624',
                'outbound': '10.1.0.41:8629',
                'ready': '10.1.0.41:8625',
                'control': '10.1.0.41:8620',
            },
            'zones': {'a': 'r', 'b': 'r'},
        },
        'platform': {'heartbeat_interval': '1500ms'},
        'terms': {
            'contracts': ['base'],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': {
                'grace': '6s',
                'config_apply': '2000ms',
                'retry_budget_ratio': 0.2,
                'budget_window': '10s',
                'budget_slack': 58,
                'floor_share': 0.7,
            },
        },
    }
    for path, value in changes.items():
        *steps, last = path.split('__')
        owner = document
        for step in steps:
            owner = owner[step]
        if value is None:
            del owner[last]
        else:
            owner[last] = value
    return document


def resource(kind: str, name: str, **spec) -> dict:
    """Return one resource of a configuration."""
    return {'resource_type': kind, 'metadata': {'name': name}, 'spec': spec}


def route(name: str = 'r-1', **changes) -> dict:
    """Return a route resource; None among the changes removes a field."""
    spec = {
        'host': 'jepu9.example',
        'path_prefix': '/lepu270/',
        'route_type': 'safe',
        'timeout': '8000ms',
        'target_latency': '1500ms',
        'priority': 2,
        'service': 'one',
        'max_attempts': 2,
        **changes,
    }
    kept = {key: value for key, value in spec.items() if value is not None}
    return resource('routes', name, **kept)


def configuration(*routes: dict, version: int = 7, base: int = 0) -> dict:
    """Return a complete configuration.

    :param base: the version that it builds on.
    """
    return {
        'version': version,
        'base_version': base,
        'resources': [
            *(routes or (route(),)),
            resource('services', 'one', health_path='/healthz'),
            resource(
                'services',
                'two',
                health_path='/healthz',
                max_connections=330,
                protocol='h1',
                tls=False,
            ),
            {
                'resource_type': 'limits',
                'metadata': {},
                'spec': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': 67108864,
                    'header_timeout': '3000ms',
                    'idle_timeout': '15000ms',
                },
            },
        ],
    }
