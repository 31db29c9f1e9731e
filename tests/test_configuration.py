"""Loading the configuration reports the name of a field that is missing or malformed."""

import asyncio

import pytest
from loopback import Fleet, settings

from message_relay.server.configuration import ConfigurationError, load_configuration


@pytest.mark.parametrize(
    ("name", "value", "field"),
    [
        ("LB_CONFIG", "", "LB_CONFIG"),
        ("LB_CONFIG", "/nowhere", "LB_CONFIG"),
        ("LB_STATE", "/nowhere", "LB_STATE"),
        ("LB_LISTEN", "here", "LB_LISTEN"),
        ("LB_DISCOVERY", "127.0.0.1:x", "LB_DISCOVERY"),
    ],
)
def test_a_malformed_value_is_reported_with_its_field(tmp_path, name, value, field):
    async def run():
        async with Fleet(tmp_path) as fleet:
            return fleet.write_configuration()

    environment = asyncio.run(run())
    load_configuration(environment)
    with pytest.raises(ConfigurationError, match=f"^{field}: [^\n]+$"):
        load_configuration({**environment, name: value})


def test_settings_out_of_range_are_reported_with_their_field(tmp_path):
    async def run():
        async with Fleet(tmp_path, settings(familyInfo__maxCalls=0)) as fleet:
            return fleet.write_configuration()

    with pytest.raises(ConfigurationError, match="^settings: call_slots"):
        load_configuration(asyncio.run(run()))
