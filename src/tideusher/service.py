"""What the platform starts: one controller, with as little loaded as it needs.

The command line for people (`tideusher.cli`) rests on click, whose import was a sixth of a small
controller's start; a controller takes one file name, for which the standard library's parser does.
"""

import argparse
import sys
from collections.abc import Sequence

from tideusher.config import Config, ConfigError, OperatorSettings, load_config, load_settings


def load(config_path: str, properties_path: str | None) -> tuple[Config, OperatorSettings]:
    """Both settings files; what is wrong with them is one line and exit 2."""
    try:
        return load_config(config_path), load_settings(properties_path)
    except ConfigError as error:
        print(f"tideusher: {error}", file=sys.stderr)
        sys.exit(2)


def serve(config_path: str, properties_path: str | None = None) -> None:
    """Run one controller until it is killed."""
    config, settings = load(config_path, properties_path)
    from tideusher.node import Node  # the command line's check of settings needs none of it

    Node(config, settings.policy, profile=settings.profile).run()


def main(arguments: Sequence[str]) -> None:
    """Serve as the arguments say."""
    parser = argparse.ArgumentParser(
        prog="run.py",
        description="Run one tideusher controller.",
        # To ask the terminal for its width loads three compression libraries.
        formatter_class=lambda prog: argparse.HelpFormatter(prog, width=100),
    )
    parser.add_argument("--config", required=True, help="the platform's TOML file")
    parser.add_argument("--properties", help="the operators' own settings, Java-style properties")
    given = parser.parse_args(arguments)
    serve(given.config, given.properties)
