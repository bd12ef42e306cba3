"""Tests of the daemon's settings."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from ...exception import SettingsError
from ..daemon import load_settings

NEEDED = {"name": "a", "data_centre": "x"}


def test_flag_goes_before_the_environment():
    found = load_settings({**NEEDED, "callers_port": "1"}, {"LIMPETPULLEY_CALLERS_PORT": "2"})
    assert_that(found.callers_port, Equals(1))
    found = load_settings(NEEDED, {"LIMPETPULLEY_PEERS": "h:1, h:2"})
    assert_that(found.peers, Equals(("h:1", "h:2")))


@pytest.mark.parametrize(
    ("flags", "environment", "words"),
    [
        ({"data_centre": "x"}, {}, "--name: a value is needed"),
        ({**NEEDED, "callers_port": "70000"}, {}, "--callers-port: '70000' is not a whole number"),
        ({**NEEDED, "name": "A B"}, {}, "--name: 'A B' is not a name"),
        ({**NEEDED, "log_level": "loud"}, {}, "one of debug"),
        (NEEDED, {"LIMPETPULLEY_STORE_URL": "x"}, "LIMPETPULLEY_STORE_URL: 'x' is not an address"),
        (NEEDED, {"LIMPETPULLEY_PEERS": "nowhere"}, "host:port addresses"),
        ({**NEEDED, "validity_seconds": "nan"}, {}, "a number from 0.2 to 60"),
    ],
)
def test_bad_value_is_named_in_one_line(flags, environment, words):
    with pytest.raises(SettingsError) as caught:
        load_settings(flags, environment)
    assert_that(str(caught.value), Contains(words))
    assert_that(str(caught.value).count("\n"), Equals(0))
