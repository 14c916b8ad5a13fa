"""Which customer a request belongs to, by the key that it carries."""

from __future__ import annotations

from hashlib import sha256
from hmac import compare_digest
from typing import TYPE_CHECKING

from attrs import field, frozen

from carawaylane.messages.platform_objects import Customer

if TYPE_CHECKING:
    from collections.abc import Iterable


def key_digest(key: str) -> bytes:
    """Return the hash under which a key is looked up."""
    return sha256(key.encode('utf-8', 'surrogateescape')).digest()


@frozen(kw_only=True, eq=False, repr=False)
class Credential:
    """A customer and the key that a request named it by."""

    customer: Customer
    digest: bytes = field(repr=False)


class KeyRing:
    """The keys of all customers of a configuration, by their hash."""

    def __init__(self, *, customers: Iterable[Customer]) -> None:
        self._customer_by_digest = {
            digest: customer
            for customer in customers
            for digest in customer.key_digests
        }

    def updated(
        self, removed: Iterable[Customer], added: Iterable[Customer]
    ) -> KeyRing:
        """Return the keys after a change of some customers.

        Raises `ValueError` if two customers hold a key; it names no key.
        """
        ring = KeyRing(customers=())
        holders = ring._customer_by_digest = dict(self._customer_by_digest)
        for customer in removed:
            for digest in customer.key_digests:
                holders.pop(digest, None)
        ring.add(added)
        return ring

    def add(self, customers: Iterable[Customer]) -> None:
        """Add the keys of customers.

        Raises `ValueError` if two customers hold a key; it names no key.
        """
        for customer in customers:
            for digest in customer.key_digests:
                other = self._customer_by_digest.setdefault(digest, customer)
                if other is not customer:
                    raise ValueError(
                        f'{customer.name!r} has a key that {other.name!r} '
                        'holds'
                    )

    def find(self, key: str | None) -> Credential | None:
        """Return the credential for a key, None if nobody holds the key."""
        if key is None:
            return None
        digest = key_digest(key)
        customer = self._customer_by_digest.get(digest)
        if customer is None or not _holds(customer, digest):
            return None
        return Credential(customer=customer, digest=digest)

    def still_holds(self, credential: Credential) -> bool:
        """Return whether the same customer holds the key at present."""
        customer = self._customer_by_digest.get(credential.digest)
        return (
            customer is not None and customer.name == credential.customer.name
        )


def _holds(customer: Customer, digest: bytes) -> bool:
    """Compare in constant time, so that timing tells nothing of a key."""
    found = False
    for known in customer.key_digests:
        found = compare_digest(known, digest) or found
    return found
