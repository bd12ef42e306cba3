"""Tests of the daemon's settings."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from ...exception import SettingsError
from ..daemon import load_settings

REQUIRED = {"name": "a", "data_centre": "x"}


def test_flag_takes_precedence_over_environment():
    settings = load_settings({**REQUIRED, "callers_port": "1"}, {"LIMPETPULLEY_CALLERS_PORT": "2"})
    assert_that(settings.callers_port, Equals(1))
    settings = load_settings(REQUIRED, {"LIMPETPULLEY_PEERS": "h:1, h:2"})
    assert_that(settings.peers, Equals(("h:1", "h:2")))


@pytest.mark.parametrize(
    ("flags", "environment", "message"),
    [
        ({"data_centre": "x"}, {}, "--name: a value is needed"),
        (
            {**REQUIRED, "callers_port": "70000"},
            {},
            "--callers-port: '70000' is not a whole number",
        ),
        ({**REQUIRED, "name": "A B"}, {}, "--name: 'A B' is not a name"),
        ({**REQUIRED, "log_level": "loud"}, {}, "one of debug"),
        (REQUIRED, {"LIMPETPULLEY_STORE_URL": "x"}, "LIMPETPULLEY_STORE_URL: 'x' is not a URL"),
        (REQUIRED, {"LIMPETPULLEY_PEERS": "nowhere"}, "host:port addresses"),
        ({**REQUIRED, "validity_seconds": "nan"}, {}, "a number from 0.2 to 60"),
    ],
)
def test_invalid_setting_is_reported_in_one_line(flags, environment, message):
    with pytest.raises(SettingsError) as caught:
        load_settings(flags, environment)
    assert_that(str(caught.value), Contains(message))
    assert_that(str(caught.value).count("\n"), Equals(0))
