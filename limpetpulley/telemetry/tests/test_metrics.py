"""Tests of the metrics: the exported text, its values and the bound on label values."""

import anyio
import pytest
from prometheus_client.parser import text_string_to_metric_families

from ...api.metrics import MetricsApp
from ...exception import StoreUnavailable
from ..metrics import MAX_PENDING_OBSERVATIONS, BatchMetrics


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


def record_all(metrics):
    metrics.count_request("PUT", 503, "late")
    metrics.observe_request("desk", "PUT", 0.2)
    metrics.observe_start("desk", 20.0)
    metrics.observe_loop_lag(0.002)
    metrics.count_event("job-accepted", "")


@pytest.mark.parametrize(("rounds_before", "rounds_after"), [(0, 2), (1, 1), (2, 0)])
def test_observations_from_before_the_instruments_were_loaded_are_exported(
    rounds_before, rounds_after
):
    metrics = BatchMetrics()
    for _ in range(rounds_before):
        record_all(metrics)
    metrics.load()
    for _ in range(rounds_after):
        record_all(metrics)
    samples = export_samples(metrics)
    assert samples["limpetpulley_requests_total", "503", "PUT", "late"] == 2
    assert samples["limpetpulley_request_seconds_sum", "PUT", "desk"] == 0.4
    assert samples["limpetpulley_request_seconds_bucket", "0.1", "PUT", "desk"] == 0
    assert samples["limpetpulley_request_seconds_bucket", "0.3", "PUT", "desk"] == 2
    assert samples["limpetpulley_start_seconds_sum", "desk"] == 40.0
    assert samples["limpetpulley_loop_lag_seconds_sum",] == 0.004
    assert samples["limpetpulley_events_total", "", "job-accepted"] == 2


def test_observations_kept_until_the_instruments_are_loaded_are_bounded():
    metrics = BatchMetrics()
    for _ in range(MAX_PENDING_OBSERVATIONS + 1):
        metrics.count_event("job-accepted", "")
    assert metrics.pending == []
    key = ("limpetpulley_events_total", "", "job-accepted")
    assert export_samples(metrics)[key] == MAX_PENDING_OBSERVATIONS + 1


def test_scrape_loads_the_instruments():
    metrics = BatchMetrics()
    metrics.count_event("job-accepted", "")
    messages = []

    async def send(message):
        messages.append(message)

    anyio.run(MetricsApp(metrics), {"method": "GET"}, None, send)
    assert messages[0]["status"] == 200
    assert b'limpetpulley_events_total{event="job-accepted",reason=""} 1.0' in messages[1]["body"]
