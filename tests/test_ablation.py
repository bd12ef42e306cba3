"""The switches of the ablation still find their mechanisms."""

import ast
import pathlib
import shutil

import pytest

from measure.ablation import MECHANISMS, switch_off

PACKAGE = pathlib.Path(__file__).parent.parent / "limpetpulley"


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda mechanism: mechanism.name)
def test_a_mechanism_is_switched_off(mechanism, tmp_path):
    copy = tmp_path / mechanism.path
    copy.parent.mkdir(parents=True)
    shutil.copy(PACKAGE / mechanism.path, copy)
    switch_off(mechanism, tmp_path)
    ast.parse(copy.read_text())
    assert copy.read_text() != (PACKAGE / mechanism.path).read_text()
