"""Services of one node without its sockets."""

from asyncio import sleep
from random import Random

import pytest

from carawaylane.config.schema import Service
from carawaylane.kernel.kernel import Kernel
from carawaylane.services import SERVICE_MODULES, load_services
from carawaylane.settings.settings import read_settings

GIVEN = [
    '--name', 'n1',
    '--data-centre', 'dc',
    '--listen', '127.0.0.1:1',
    '--rpc', '127.0.0.1:2',
    '--admin', '127.0.0.1:3',
    '--platform', 'http://127.0.0.1:9',
]  # fmt: skip


@pytest.fixture
async def kernel():
    load_services()
    cfg, _ = read_settings(GIVEN, {})
    made = Kernel(cfg=cfg, rng=Random(1))
    made.create_services(SERVICE_MODULES)
    spec = Service(name='s', selector='app=s')
    made.find('relay').config.docs[('Service', 's')] = spec
    names = (
        'relay',
        'membership',
        'catalogue',
        'journal',
        'homes',
        'suspects',
        'attempts',
    )
    for name in names:
        await made.find(name).start()
    while 's' not in made.find('catalogue').config.services:
        await sleep(0)
    yield made
    for name in reversed(names):
        await made.find(name).stop()
