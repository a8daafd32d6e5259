"""Generates the configuration files of a scale run's controllers, as the platform would write them."""

from typing import Any

import msgspec

from tideusher.config import Team
from tideusher.scale.layout import Layout
from tideusher.scale.settings import ScaleSettings
from tideusher.scale.workload import team_name


def teams(settings: ScaleSettings) -> list[Team]:
    """Returns all teams, each with the same guarantee and limit."""
    team = settings.teams
    return [Team(team_name(n), team.cpus, team.cpus_max, team.gpus, team.gpus_max) for n in range(team.count)]


def controller_config(settings: ScaleSettings, layout: Layout, number: int) -> str:
    """Returns the TOML configuration of a controller."""
    count = settings.control.controllers
    peers = [
        {
            "host_name": layout.controller_name(other),
            "site": layout.zones[layout.controller_place(other).zone],
            "address": layout.peer_link(number, other),
        }
        for other in range(count)
        if other != number
    ]
    table: dict[str, Any] = {
        "host_name": layout.controller_name(number),
        "site": layout.zones[layout.controller_place(number).zone],
        "bind": layout.controller(number),
        "cluster_listen": layout.controller_peers(number),
        "peers": peers,
        "endpoints": {"cloud": layout.cloud_link(number), "state": layout.state_link(number)},
        "settings": {
            "size": count,
            "zones": layout.zones,
            "objectives": [],
            "teams": msgspec.to_builtins(teams(settings)),
            "workers": msgspec.to_builtins(settings.workers.settings()),
            "state": msgspec.to_builtins(settings.state.settings()),
            "cloud": msgspec.to_builtins(settings.cloud.settings()),
            "resources": msgspec.to_builtins(settings.control.resources()),
        },
    }
    return msgspec.toml.encode(table).decode()
