"""Tests of the metrics: the exported text, its values and the bound on label values."""

import anyio
import pytest
from prometheus_client.parser import text_string_to_metric_families

from ...exception import StoreUnavailable
from ..metrics import BatchMetrics


def export_samples(metrics):
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
def test_only_single_words_become_label_values(reason, label):
    metrics = BatchMetrics()
    metrics.count_event("job-refused", reason)
    key = ("limpetpulley_events_total", *sorted(["job-refused", label]))
    assert export_samples(metrics)[key] == 1


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
    samples = export_samples(metrics)
    assert samples["limpetpulley_calls_total", *sorted(["store", "get", result])] == 1
    assert samples["limpetpulley_call_seconds_count", "get", "store"] == 1


def test_gauges_are_updated_at_export():
    metrics = BatchMetrics(lambda metrics: metrics.owned_pools.set(3))
    assert export_samples(metrics)["limpetpulley_owned_pools",] == 3
