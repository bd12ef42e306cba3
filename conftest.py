"""Marks the tests listed in KNOWN-RED.txt as expected failures, which the run reports."""

from __future__ import annotations

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark each test whose id is the first word of a line of the list."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    known_ids = {line.split(" ", 1)[0] for line in lines if "::" in line}
    for item in items:
        if item.nodeid in known_ids:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))
