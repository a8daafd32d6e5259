"""Runs the given days on the users' bench with several source trees and prints the figures of each tree.

    python tools/play_days.py --bench BENCH --tree old=../old --tree new=. SITE.toml days/sofia-*.toml

BENCH is the users' program; it is not part of this repository. All machines in it are simulated.
"""

import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean

import click

FIGURES = {
    "mark": r"(?m)^\S+\s+\d+\s+(\d\.\d\d)\s",
    "broken": r"rules: (\d+) of",
    "up": r"(?m) up \S+ [\d.]+ s on: ([\d.]+)",
    "worst 30 s": r"30\.0 s, worst: ([\d.]+)",
    "guarantee": r"guarantee [\d.]+ s: ([\d.]+)",
    "submit": r"submit [\d.]+ ms: ([\d.]+)",
    "lost": r"done, (\d+) lost",
    "by lease": r"(\d+) killed by their lease",
    "state refused": r"state: \d+ requests \((\d+) refused",
    "cloud refused": r"cloud: \d+ requests \((\d+) refused",
}


def play(bench: str, tree: str, site: str, day: str, seed: int, until: int | None) -> dict[str, float]:
    """Run one day and return its figures by name; figures that the bench did not print are left out."""
    command = [bench, "run", site, day, "--no-cpu", "--seed", str(seed), *(["--until", str(until)] if until else [])]
    output = subprocess.run(command, cwd=tree, capture_output=True, text=True, check=False).stdout
    return {name: float(match[1]) for name, pattern in FIGURES.items() if (match := re.search(pattern, output))}


@click.command()
@click.option("--bench", required=True, type=click.Path(exists=True, resolve_path=True))
@click.option("--tree", "trees", multiple=True, required=True, help="NAME=DIR; may be given several times.")
@click.option("--seeds", default="301,302,303", show_default=True)
@click.option("--until", type=int, help="Seconds of the day to run; only a complete day has a mark.")
@click.option("--jobs", default=6, show_default=True, help="Number of days run in parallel.")
@click.argument("site", type=click.Path(exists=True, resolve_path=True))
@click.argument("days", nargs=-1, required=True, type=click.Path(exists=True, resolve_path=True))
def main(
    bench: str, trees: tuple[str, ...], seeds: str, until: int | None, jobs: int, site: str, days: tuple[str, ...]
) -> None:
    """Print a line per day and tree: each figure's mean over the seeds, then the mark of each seed (-1: none)."""
    named_trees = [tree.partition("=")[::2] for tree in trees]
    seed_numbers = [int(seed) for seed in seeds.split(",")]
    with ThreadPoolExecutor(jobs) as pool:
        runs_by_day_and_tree = {
            (day, name): [pool.submit(play, bench, tree, site, day, seed, until) for seed in seed_numbers]
            for day in days
            for name, tree in named_trees
        }
        click.echo("day".ljust(34) + "tree".ljust(8) + "".join(name.rjust(14) for name in FIGURES) + "  marks")
        for (day, name), runs in runs_by_day_and_tree.items():
            results = [run.result() for run in runs]
            cells = []
            for figure in FIGURES:
                values = [run[figure] for run in results if figure in run]
                cells.append(f"{mean(values):.3f}".rjust(14) if values else "-".rjust(14))
            marks = " ".join(f"{run.get('mark', -1):.2f}" for run in results)
            click.echo(Path(day).stem.ljust(34) + name.ljust(8) + "".join(cells) + "  " + marks)


if __name__ == "__main__":
    main()
