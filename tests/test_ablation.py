"""Every ablation still finds the source text that it replaces."""

import ast
import pathlib
import shutil

import pytest

from measure.ablation import MECHANISMS, disable_mechanism

PACKAGE = pathlib.Path(__file__).parent.parent / "limpetpulley"


@pytest.mark.parametrize("mechanism", MECHANISMS, ids=lambda mechanism: mechanism.name)
def test_mechanism_is_disabled(mechanism, tmp_path):
    module = tmp_path / mechanism.path
    module.parent.mkdir(parents=True)
    shutil.copy(PACKAGE / mechanism.path, module)
    disable_mechanism(mechanism, tmp_path)
    ast.parse(module.read_text())
    assert module.read_text() != (PACKAGE / mechanism.path).read_text()
