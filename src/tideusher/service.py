"""The entry point that the platform starts: one controller, with a minimum of imports.

The command line for operators (`tideusher.cli`) uses click, whose import took a sixth of the start of a small
controller. A controller only takes file names, for which the standard library's parser is enough.
"""

import argparse
import sys
from collections.abc import Sequence

from tideusher.config import Config, ConfigError, OperatorSettings, load_config, load_settings


def load(config_path: str, properties_path: str | None) -> tuple[Config, OperatorSettings]:
    """Loads both settings files; an error in them is printed as one line, with exit status 2."""
    try:
        return load_config(config_path), load_settings(properties_path)
    except ConfigError as error:
        print(f"tideusher: {error}", file=sys.stderr)
        sys.exit(2)


def serve(config_path: str, properties_path: str | None = None) -> None:
    """Runs one controller until it is killed."""
    config, settings = load(config_path, properties_path)
    from tideusher.node import Node  # imported late: the command line's check of settings does not need it

    Node(config, settings.policy, profile=settings.profile).run()


def main(arguments: Sequence[str]) -> None:
    """Parses the arguments and runs a controller."""
    parser = argparse.ArgumentParser(
        prog="run.py",
        description="Run one tideusher controller.",
        # Determining the terminal's width would import three compression libraries.
        formatter_class=lambda prog: argparse.HelpFormatter(prog, width=100),
    )
    parser.add_argument("--config", required=True, help="the platform's TOML file")
    parser.add_argument("--properties", help="the operators' own settings, Java-style properties")
    given = parser.parse_args(arguments)
    serve(given.config, given.properties)
