"""The command line. Imports are lazy: a controller's start-up time is charged."""

import sys

import click


@click.group()
def main() -> None:
    """tideusher: a cluster scheduler that ranks teams by charged machine time."""


@main.command()
@click.option("--config", "config_path", required=True, type=click.Path(), help="The platform's TOML file.")
@click.option("--properties", "properties_path", type=click.Path(), help="The operators' properties file.")
def serve(config_path: str, properties_path: str | None) -> None:
    """Run one controller until it is killed."""
    from tideusher.config import ConfigError, load_config, load_policy

    try:
        config, policy = load_config(config_path), load_policy(properties_path)
    except ConfigError as error:
        click.echo(f"tideusher: {error}", err=True)
        sys.exit(2)
    from tideusher.node import Node

    Node(config, policy).run()
