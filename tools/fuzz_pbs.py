"""Fuzzes the PBS translation for a given time: `python tools/fuzz_pbs.py --minutes 10 [--seed N]`.

Each input is a sample script with bytes deleted, duplicated, inserted or replaced by another sample's, or with its
lines shuffled. It must give either a valid job, whose packed script unpacks unchanged, or a one-line refusal that
names the place.
"""

import random
import re
import time
from collections import Counter

import click
import msgspec

from test_pbs import NOW, PROFILE, SAMPLES
from tideusher.pbs import Refusal, read_script, translate
from tideusher.pbs.storage import pack, unpack
from tideusher.wire.jobs import parse_job

TOKENS = b"=:,+%-'\"\\#[] \t\r\n\0\xff0123456789abcdefghijklmnopqrstuvwxyzAJNPSVW"


def mutate(rng: random.Random, samples: list[bytes]) -> bytes:
    """Returns one sample after up to eight random mutations."""
    text = bytearray(rng.choice(samples))
    for _ in range(rng.randrange(9)):
        at = rng.randrange(len(text) + 1)
        end = min(len(text), at + rng.randrange(20))
        mutation = rng.randrange(5)
        if mutation == 0:
            del text[at:end]
        elif mutation == 1:
            text[at:at] = text[at:end]
        elif mutation == 2:
            text[at:at] = bytes(rng.choices(TOKENS, k=rng.randrange(4)))
        elif mutation == 3:
            other = rng.choice(samples)
            start = rng.randrange(len(other))
            text[at:end] = other[start : start + rng.randrange(40)]
        else:
            lines = bytes(text).split(b"\n")
            rng.shuffle(lines)
            text = bytearray(b"\n".join(lines))
    return bytes(text)


@click.command()
@click.option("--minutes", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(minutes: float, seed: int) -> None:
    """Fuzz and print the counts; an exception ends the run and prints the script that caused it."""
    rng, counts, reasons = random.Random(seed), Counter[str](), Counter[str]()
    samples = [path.read_bytes() for path in sorted(SAMPLES.glob("*.pbs"))]
    end = time.monotonic() + minutes * 60
    while time.monotonic() < end:
        text = mutate(rng, samples)
        options = [rng.choice(["-N", "x", "-l", "walltime=60", "-J", "0-3%2", "-h"]) for _ in range(rng.randrange(3))]
        try:
            translated = translate(read_script(text, "f.pbs", options), PROFILE, "req-000412", NOW)
        except Refusal as refusal:
            assert re.fullmatch(r"(f\.pbs|command line):[0-9]+: .+", str(refusal)), (text, str(refusal))
            counts["refused"] += 1
            reasons[re.sub(r"'.*?'|[0-9]+", "*", refusal.reason)[:60]] += 1
            continue
        except BaseException:
            print(repr(text), options)
            raise
        assert parse_job(msgspec.json.encode(translated.spec)) == translated.spec, text
        assert unpack(pack(translated.run, text, 8192, 11)) == (translated.run, text), text
        counts["accepted"] += 1
    print(f"seed {seed}, {minutes:g} minutes: {dict(counts)}, {len(reasons)} different reasons")


if __name__ == "__main__":
    main()
