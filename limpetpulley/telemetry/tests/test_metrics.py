"""Metrics are readable as text, exact, and of bounded size."""

import anyio
import pytest
from prometheus_client.parser import text_string_to_metric_families

from ...exception import StoreUnavailable
from ..metrics import BatchMetrics


def samples(metrics):
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(metrics.render().decode())
        for sample in family.samples
    }


@pytest.mark.parametrize(
    ("reason", "label"),
    [
        ("late", "late"),
        ("fits-nowhere", "fits-nowhere"),
        ("192.0.2.1:7000: Connection lost", ""),
        ("x" * 200, ""),
        (None, ""),
        (7, ""),
    ],
)
def test_only_words_become_labels(reason, label):
    metrics = BatchMetrics()
    metrics.count_event("job-refused", reason)
    key = ("limpetpulley_events_total", *sorted(["job-refused", label]))
    assert samples(metrics)[key] == 1


@pytest.mark.parametrize(
    ("error", "result"), [(None, "answered"), (StoreUnavailable("away"), "StoreUnavailable")]
)
def test_calls_are_counted_by_result(error, result):
    metrics = BatchMetrics()

    async def call():
        if error:
            raise error
        return 7

    async def run():
        try:
            assert await metrics.measure("store", "get", call()) == 7
        except StoreUnavailable:
            assert error

    anyio.run(run)
    found = samples(metrics)
    assert found["limpetpulley_calls_total", *sorted(["store", "get", result])] == 1
    assert found["limpetpulley_call_seconds_count", "get", "store"] == 1


def test_levels_are_set_when_they_are_read():
    metrics = BatchMetrics(lambda found: found.owned_pools.set(3))
    assert samples(metrics)["limpetpulley_owned_pools",] == 3
