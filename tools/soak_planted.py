"""Checks that the soak finds known faults: plants each in a copy of the sources and runs the soak on it.

    python tools/soak_planted.py --seeds 201-206 --out DIR [--parallel 3] [--only NAME]

Prints a line per fault: the seeds that found it, and the first finding of each. Exits 1 if no seed found a fault.
"""

import argparse
import shutil
import sys
from dataclasses import dataclass
from pathlib import Path

from tideusher.scale.soak import Outcome, Soak, parse_seeds, play

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = Path("src") / "tideusher"


@dataclass(frozen=True, slots=True)
class Change:
    """One piece of source text and its replacement."""

    file: str
    old: str
    new: str


#: Faults by name. A guard elsewhere in the sources that would mask the fault is removed with it.
PLANTED = {
    "names repeated in a term": [
        Change("actors/election.py", "if token <= self._last_token:", "if token == self.token:"),
        Change("actors/leader.py", "if token <= self._last_token:", "if False:"),
    ],
    "a lapsed answer": [
        Change("actors/users.py", "if missing and not is_fresh and not self._store.sync():", "if False:"),
        Change("actors/users.py", "if not self._store.sync():", "if False:"),
    ],
    "a cancel that stops at one node": [
        Change(
            "core/lead/cluster.py",
            'self._stop_job(job, 0.0, job.why or "its user cancelled it")\n            self._retire(job)\n        ',
            "self._retire(job)\n        ",
        ),
        Change("actors/gateway.py", "return job_id in self._cancellations or", "return False and"),
    ],
    "a start after a cancellation": [
        Change("actors/confirmations.py", "stored_us = self._cancellations.learnt_us(job)", "stored_us = None"),
        Change("actors/leader.py", "if not start_lease_valid(self._store.contact_us, now_us):", "if False:"),
        Change("actors/leader.py", 'return "cancelling" if', 'return "" if'),
        # A leader that reads within a tenth of a second, and gateways that drop its starts, mask it almost always.
        Change("actors/store.py", "self._poll_pause_s = 0.1 if leading", "self._poll_pause_s = 1.5 if leading"),
        Change("actors/gateway.py", "return job_id in self._cancellations or", "return False and"),
    ],
    "the placing rule left out": [
        Change("core/model/records.py", "        and (spec.spot or not spot)\n", ""),
        Change("core/decide/starts.py", "if machine.spot and not spec.spot:", "if False:"),
    ],
}


def plant(changes: list[Change], tree: Path) -> None:
    """Copies the sources to `tree` with these changes; raises ValueError if a text to replace is not found."""
    shutil.copytree(ROOT / "src", tree / "src", ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"))
    shutil.copy(ROOT / "run.py", tree / "run.py")
    for change in changes:
        path = tree / PACKAGE / change.file
        text = path.read_text()
        if change.old not in text:
            raise ValueError(f"{change.file}: {change.old!r} not found in the sources")
        path.write_text(text.replace(change.old, change.new))


def main() -> None:
    """Run the soak on each planted fault."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", required=True)
    parser.add_argument("--out", required=True, type=Path)
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--only", choices=PLANTED)
    args = parser.parse_args()
    missed = []
    for name in [args.only] if args.only else PLANTED:
        directory = args.out.resolve() / name.replace(" ", "-")
        tree = directory / "tree"
        plant(PLANTED[name], tree)
        soak = Soak(parse_seeds(args.seeds), directory / "runs", parallel=args.parallel, tree=tree)
        outcomes = play(soak, lambda outcome: None)
        print(summary(name, outcomes), flush=True)
        if not any(outcome.findings.all for outcome in outcomes):
            missed.append(name)
    sys.exit(bool(missed))


def summary(name: str, outcomes: list[Outcome]) -> str:
    """Returns a line with the seeds that found the fault, and the first finding of each."""
    first_findings = {outcome.seed: outcome.findings.all[0] for outcome in outcomes if outcome.findings.all}
    details = "; ".join(f"{seed}: {finding[:100]}" for seed, finding in sorted(first_findings.items()))
    return f"{name}: found in {len(first_findings)} of {len(outcomes)} seeds ({details})"


if __name__ == "__main__":
    main()
