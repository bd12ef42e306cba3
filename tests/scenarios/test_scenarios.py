"""Runs each scenario file as a test."""

import pathlib

import pytest
from absl import logging

from .runner import run_scenario

logging.set_verbosity(logging.FATAL)
FILES = sorted(pathlib.Path(__file__).parent.glob("*.scenario"))


@pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_scenario(path):
    try:
        run_scenario(path, seed=1)
    except* AssertionError as group:
        failed = group
        while isinstance(failed, BaseExceptionGroup):
            failed = failed.exceptions[0]
        pytest.fail(str(failed))
