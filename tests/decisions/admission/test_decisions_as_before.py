"""Without customers the decisions are those recorded before admission."""

from __future__ import annotations

from hashlib import sha256
from platform import machine

import pytest
from attrs import evolve

from bench.dispatch_sim import LOADS, Simulation
from carawaylane.decisions.admission.dispatcher import Dispatcher

# Digests of all replies, recorded with the dispatcher of commit 5a93705. The
# last bit of a logarithm or power may differ between kinds of processors.
RECORDED = {
    'aarch64': {
        'tight': '5c621454412716d30308b4d2d0cfbfe3',
        'overload': '924b3040c6a8f0d8338ccafe6bc9096b',
        'crowded': 'a9f5cf799006d02cbc50395f8b0bbf17',
    },
    'x86_64': {
        'tight': 'c5f738ae5b5e752d843ab5879db404c4',
        'overload': '924b3040c6a8f0d8338ccafe6bc9096b',
        'crowded': 'a9f5cf799006d02cbc50395f8b0bbf17',
    },
}


class RecordingDispatcher(Dispatcher):
    """Adds each reply to a digest."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.digest = sha256()

    def request_slot(self, request, now_s):
        reply = super().request_slot(request, now_s)
        self.digest.update(repr(reply).encode())
        return reply

    def serve_queue(self, now_s, **kwargs):
        replies = super().serve_queue(now_s, **kwargs)
        for _, reply in replies:
            self.digest.update(repr(reply).encode())
        return replies


@pytest.mark.parametrize('name', ['tight', 'overload', 'crowded'])
def test_decisions_without_customers_are_those_recorded(name):
    """Guards against new decisions where no configuration asks for them."""
    simulation = Simulation(
        load=evolve(LOADS[name], duration_s=15.0),
        seed=7,
        dispatcher_class=RecordingDispatcher,
    )
    simulation.run()
    recorded = RECORDED[machine()][name]
    assert simulation.dispatcher.digest.hexdigest()[:32] == recorded
