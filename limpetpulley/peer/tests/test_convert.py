"""Messages are converted in the same way in every process."""

import pytest

from .. import convert
from .. import peer_pb2 as pb

NAMES = [f"slot/vm-{number}" for number in range(40)]


@pytest.mark.parametrize(
    "names",
    [NAMES, NAMES[::-1], NAMES[20:] + NAMES[:20]],
    ids=["up", "down", "rotated"],
)
def test_map_fields_are_sorted_by_key(names):
    counts = {name: number + 1 for number, name in enumerate(names)}
    message = pb.GroupReport(group="pool/main", free=counts, running=counts)
    report = convert.from_report(message, "member", "dc1")
    assert list(report.free) == sorted(names)
    assert list(report.running) == sorted(names)
    assert dict(report.free) == counts
