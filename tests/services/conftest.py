"""A node with some of its services, none of which opens a socket."""

from asyncio import sleep
from random import Random

import pytest

from carawaylane.config.schema import Service
from carawaylane.kernel.kernel import Kernel
from carawaylane.services import SERVICE_MODULES, load_services
from carawaylane.settings.settings import read_settings

REQUIRED_FLAGS = [
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
    cfg, _ = read_settings(REQUIRED_FLAGS, {})
    node = Kernel(cfg=cfg, rng=Random(1))
    node.create_services(SERVICE_MODULES)
    service = Service(name='s', selector='app=s')
    node.find('relay').config.docs[('Service', 's')] = service
    service_names = (
        'relay',
        'membership',
        'catalogue',
        'journal',
        'homes',
        'suspects',
        'attempts',
    )
    for name in service_names:
        await node.find(name).start()
    while 's' not in node.find('catalogue').config.services:
        await sleep(0)
    yield node
    for name in reversed(service_names):
        await node.find(name).stop()
