"""An operator that changes the configuration many times a second.

The command-line tool takes a third of a second for a change.  This one asks
the administration API itself.
"""

import json
import uuid

import aiohttp

PATH = '/v1/manifests'
# One change may take so long, seconds.
CHANGE_S = 2.0


async def change(
    session: aiohttp.ClientSession, admin: str, document: dict
) -> str:
    """Put another manifest in the place of the one in force.

    :param admin: address of the administration API of a control host.
    :param document: the manifest.
    :return: the version; empty when it was refused or not answered.
    """
    url = 'http://%s%s' % (admin, PATH)
    timeout = aiohttp.ClientTimeout(total=CHANGE_S)
    try:
        async with session.get(url + '/current', timeout=timeout) as answer:
            parent = (await answer.json()).get('digest', '')
        headers = {
            'Caraway-Parent': parent,
            'Caraway-Submission': str(uuid.uuid4()),
            'Caraway-Operator': 'storm',
        }
        body = json.dumps(document)
        async with session.post(
            url, data=body, headers=headers, timeout=timeout
        ) as answer:
            told = await answer.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return ''
    return told.get('version', '') if answer.status == 200 else ''
