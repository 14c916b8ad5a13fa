"""Records of crashes keep their meaning between nodes with other clocks."""

from hypothesis import given
from hypothesis import strategies as st

from carawaylane.decisions.admission.quarantine import (
    NEVER_MS,
    QUARANTINE_MS,
    CrashRecord,
)
from carawaylane.rpc.crash_codec import (
    pack_crash_records,
    unpack_crash_records,
)

AGES_MS = st.integers(0, QUARANTINE_MS)


@given(
    digest=st.integers(0, 2**64 - 1),
    ages=st.dictionaries(st.text(max_size=20), AGES_MS, max_size=4),
    answered=st.none() | AGES_MS,
    skew_ms=st.integers(-(10**12), 10**12),
)
def test_records_arrive_with_the_ages_that_they_had(
    digest, ages, answered, skew_ms
):
    now_ms = 10**9
    record = CrashRecord(
        digest=str(digest),
        victims=tuple(
            (target, now_ms - age_ms) for target, age_ms in ages.items()
        ),
        answered_ms=NEVER_MS if answered is None else now_ms - answered,
    )
    [received] = unpack_crash_records(
        pack_crash_records([record], now_ms), now_ms + skew_ms
    )
    assert received.digest == record.digest
    assert received.victims == tuple(
        (target, crashed_ms + skew_ms) for target, crashed_ms in record.victims
    )
    if answered is None:
        assert received.answered_ms == NEVER_MS
    else:
        assert received.answered_ms == record.answered_ms + skew_ms
