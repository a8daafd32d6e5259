"""Real programs killed in the middle. Not a test: `python tools/kill_embed.py --points 200 [--seed N]`.

A host program works in a directory and tells what it sees, a line an event. It is killed (SIGKILL) after a
seeded number of lines and a seeded fraction of a second; some are stopped (SIGSTOP) for a while before.
The next host takes the directory over. All lives together are judged by the checker of histories; a line
that was not told before the kill does not count as acknowledged.

With `--claims` the machine is granted under a fence and a lease of half a second, by this program as its
keeper: renewals are held back, notices given, hosts stopped beyond their lease. Then no start may come after
the last lease that the keeper ever told, and nothing may run when the program says that it is gone.
"""

import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import click

from history import KIND, SETTINGS, TEAMS, BadHistory, History
from tideusher.wire import claims as wire

GPUS = {f"host-{n}": 4 for n in range(4)}
LEASE_US, MARGIN_S = 500_000, 0.1


def host(directory: str, life: int, seed: int, claim_fd: int) -> None:
    """The program that is killed. `claim_fd`: its connection to the keeper; 0: the machines are its own."""
    from tideusher.clock import Clock
    from tideusher.embed import Instance, Settings, small_job
    from tideusher.embed.claim import ClaimLink, Claims

    rng = random.Random(seed)
    told = threading.Lock()

    def tell(*event: object) -> None:
        with told:
            os.write(1, (" ".join(map(str, event)) + "\n").encode())

    def on_start(task) -> None:
        cards = ",".join(map(str, task.cards)) or "-"
        now_us = time.monotonic_ns() // 1000
        tell("start", task.job.id, task.index, task.attempt, task.machine, cards, int(task.job.gpus), now_us)
        threading.Timer(rng.random() * 0.02, end, [task]).start()

    def end(task) -> None:
        tell("stop", task.job.id, task.index)
        task.stopped() if task.stopping else task.done()

    if claim_fd:
        clock = Clock()
        claims = Claims(clock, MARGIN_S)
        link = ClaimLink(socket.socket(fileno=claim_fd), claims, "kill")
        instance = Instance(
            directory, Settings([KIND], [], TEAMS), on_start, drive="step", snapshot_bytes=3000, guard=claims.usable
        )
        link.serve(instance)
    else:
        instance = Instance(directory, SETTINGS, on_start, lambda task: None, snapshot_bytes=3000)
    tell("open")
    mine: list[str] = []
    for number in range(10_000):
        ref = f"req-{life * 100_000 + number + 1:012d}"
        shape = rng.choice(["batch", "batch", "gang"])
        spec = small_job(ref, rng.choice(["red", "blue"]), tasks=2, gpus=float(rng.randrange(3)), shape=shape)
        instance.submit(spec)
        tell("accept", ref)
        mine.append(ref)
        if claim_fd:
            link.step()
            time.sleep(0.002)
        if rng.random() < 0.1:
            name = rng.choice(mine)
            tell("end", name, instance.cancel(name).status)
        if rng.random() < 0.3:
            name = mine[max(0, len(mine) - 8)]
            status = instance.wait(name, 0.05).status
            if status in ("done", "withdrawn"):
                tell("end", name, status)


def take(history: History, line: str, until_us: int = 0) -> None:
    """One told line; `until_us` is the end of the longest lease told so far."""
    what, *args = line.split()
    if what == "start":
        job, index, attempt, machine, cards, gpus, at_us = args
        machine, _, fence = machine.partition("#")
        if fence and int(at_us) > until_us:
            raise BadHistory(f"{job}/{index} starts {int(at_us) - until_us} us after the lease of fence {fence}")
        numbers = () if cards == "-" else tuple(map(int, cards.split(",")))
        history.start(job, int(index), int(attempt), machine, numbers, int(gpus))
    elif what == "stop":
        history.stop(args[0], int(args[1]))
    elif what == "accept":
        history.accept(args[0])
    elif what == "end":
        history.end(args[0], args[1])


def reopen(history: History, directory: str) -> None:
    """Look, without placing anything, at what a recovery finds."""
    from tideusher.embed import EmbedError, Instance

    instance = Instance(directory, SETTINGS, lambda task: None, drive="step")

    def status_of(job: str) -> str | None:
        try:
            return instance.status(job).status
        except EmbedError:
            return None

    history.reopened(status_of)
    instance.close()


def run_claims(points: int, seed: int) -> None:
    """This program is the keeper: it grants, renews or does not, gives notice, stops and kills."""
    rng, history, directory = random.Random(seed), History(GPUS), tempfile.mkdtemp()
    counts = dict.fromkeys(("stopped", "unrenewed", "noticed", "gone"), 0)
    for life in range(1, points + 1):
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        command = [sys.executable, __file__, "--host", directory, str(life), str(theirs.fileno())]
        command += ["--seed", str(rng.randrange(1 << 30))]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, pass_fds=[theirs.fileno()])
        theirs.close()
        assert process.stdout is not None
        os.set_blocking(process.stdout.fileno(), False)
        frames, rest = wire.frames(), b""
        fence, until_us, renewing, told_gone = life * 1000, 0, True, True
        ends = time.monotonic() + 0.3 + rng.random() * 2.5
        while time.monotonic() < ends or (counts["gone"] < life // 2 and not told_gone):
            now_us = time.monotonic_ns() // 1000
            if told_gone and renewing and rng.random() < 0.2:
                fence, until_us, told_gone = fence + 1, now_us + LEASE_US, False
                grant = wire.Granted("req-1", 0, fence, f"host-{fence % 4}", "m4", "a", until_us, [0, 1, 2, 3])
                ours.sendall(wire.frame(grant))
            elif renewing and not told_gone:
                until_us = now_us + LEASE_US
                ours.sendall(wire.frame(wire.Alive(fence, until_us)))
            choice = rng.random()
            if not told_gone and choice < 0.02:
                counts["noticed"] += 1
                ours.sendall(wire.frame(wire.Notice(fence, 0.0, "a test")))
            elif choice < 0.04:
                renewing = not renewing
                counts["unrenewed"] += not renewing
            elif choice < 0.06:
                counts["stopped"] += 1
                os.kill(process.pid, signal.SIGSTOP)
                time.sleep(rng.choice([0.1, 0.8]))
                os.kill(process.pid, signal.SIGCONT)
            time.sleep(0.02)
            rest = _hear(process.stdout.fileno(), rest, history, until_us)
            try:
                for message in frames.feed(ours.recv(65536)):
                    if isinstance(message, wire.Gone):
                        rest = _hear(process.stdout.fileno(), rest, history, until_us)
                        if history.running:
                            raise BadHistory(f"fence {message.fence} is gone, and runs {sorted(history.running)}")
                        counts["gone"] += 1
                        told_gone, renewing = True, True
            except BlockingIOError:
                pass
        process.kill()
        process.wait()
        _hear(process.stdout.fileno(), rest, history, until_us)
        ours.close()
        history.crash()
        reopen(history, directory)
    shutil.rmtree(directory)
    print(f"seed {seed}: {points} lives with claims killed; {counts}; {history.starts:,} starts, no rule broken")


def _hear(fd: int, rest: bytes, history: History, until_us: int) -> bytes:
    """Take the lines that were told; returns the part of a line at their end."""
    try:
        while data := os.read(fd, 65536):
            rest += data
    except BlockingIOError:
        pass
    *lines, rest = rest.split(b"\n")
    for line in lines:
        take(history, line.decode(), until_us)
    return rest


@click.command()
@click.option("--points", default=200, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--claims", "claimed", is_flag=True, help="The machine is granted, not owned.")
@click.option("--host", "as_host", nargs=3, hidden=True, type=str)
def main(points: int, seed: int, claimed: bool, as_host: tuple[str, str, str] | None) -> None:
    """Run and kill; a broken rule ends it with its seed and life."""
    if as_host:
        host(as_host[0], int(as_host[1]), seed, int(as_host[2]))
        return
    if claimed:
        run_claims(points, seed)
        return
    rng, history, directory = random.Random(seed), History(GPUS), tempfile.mkdtemp()
    stopped = 0
    for life in range(1, points + 1):
        command = [
            sys.executable,
            __file__,
            "--host",
            directory,
            str(life),
            "0",
            "--seed",
            str(rng.randrange(1 << 30)),
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        lines = rng.randrange(1, 150)
        for line in process.stdout:
            take(history, line)
            lines -= 1
            if not lines:
                break
        if rng.random() < 0.1:
            stopped += 1
            os.kill(process.pid, signal.SIGSTOP)
            time.sleep(0.3)
            os.kill(process.pid, signal.SIGCONT)
        time.sleep(rng.random() * 0.02)
        process.kill()
        for line in process.stdout:  # told before the kill
            if line.endswith("\n"):
                take(history, line)
        process.wait()
        history.crash()
        reopen(history, directory)
    shutil.rmtree(directory)
    print(
        f"seed {seed}: {points} lives killed ({stopped} stopped for a while before): {len(history.accepted):,} jobs "
        f"acknowledged, {history.starts:,} starts, {len(history.final):,} ends told; no rule broken"
    )


if __name__ == "__main__":
    main()
