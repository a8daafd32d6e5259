"""Kills real host processes at random points: `python tools/kill_embed.py --points 200 [--seed N]`.

A host process embeds an instance in a directory and prints a line per event. It is killed (SIGKILL) after a seeded
number of lines and a seeded fraction of a second; some are stopped (SIGSTOP) for a while before. The next host takes
over the directory. The history checker judges the events of all processes together; an event that was not printed
before the kill does not count as acknowledged.

With `--claims` this program is the keeper of the machine and grants it under a fence and a lease of half a second:
renewals are held back, notices given, and hosts stopped for longer than their lease. Then no start may come after the
end of the last lease that the keeper sent, and nothing may run when the host reports that the machine is gone.
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
    """Run the host process that is killed. `claim_fd`: its connection to the keeper; 0: it owns its machines."""
    from tideusher.clock import Clock
    from tideusher.embed import Instance, Settings, small_job
    from tideusher.embed.claim import ClaimLink, Claims

    rng = random.Random(seed)
    print_lock = threading.Lock()

    def emit(*event: object) -> None:
        with print_lock:
            os.write(1, (" ".join(map(str, event)) + "\n").encode())

    def on_start(task) -> None:
        cards = ",".join(map(str, task.cards)) or "-"
        now_us = time.monotonic_ns() // 1000
        emit("start", task.job.id, task.index, task.attempt, task.machine, cards, int(task.job.gpus), now_us)
        threading.Timer(rng.random() * 0.02, end, [task]).start()

    def end(task) -> None:
        emit("stop", task.job.id, task.index)
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
    emit("open")
    submitted: list[str] = []
    for number in range(10_000):
        ref = f"req-{life * 100_000 + number + 1:012d}"
        shape = rng.choice(["batch", "batch", "gang"])
        spec = small_job(ref, rng.choice(["red", "blue"]), tasks=2, gpus=float(rng.randrange(3)), shape=shape)
        instance.submit(spec)
        emit("accept", ref)
        submitted.append(ref)
        if claim_fd:
            link.step()
            time.sleep(0.002)
        if rng.random() < 0.1:
            name = rng.choice(submitted)
            emit("end", name, instance.cancel(name).status)
        if rng.random() < 0.3:
            name = submitted[max(0, len(submitted) - 8)]
            status = instance.wait(name, 0.05).status
            if status in ("done", "withdrawn"):
                emit("end", name, status)


def record_event(history: History, line: str, until_us: int = 0) -> None:
    """Add one printed event to the history; `until_us` is the end of the longest lease sent so far."""
    event, *args = line.split()
    if event == "start":
        job, index, attempt, machine, cards, gpus, at_us = args
        machine, _, fence = machine.partition("#")
        if fence and int(at_us) > until_us:
            raise BadHistory(f"{job}/{index} starts {int(at_us) - until_us} us after the lease of fence {fence}")
        numbers = () if cards == "-" else tuple(map(int, cards.split(",")))
        history.start(job, int(index), int(attempt), machine, numbers, int(gpus))
    elif event == "stop":
        history.stop(args[0], int(args[1]))
    elif event == "accept":
        history.accept(args[0])
    elif event == "end":
        history.end(args[0], args[1])


def reopen(history: History, directory: str) -> None:
    """Check the state that a recovery finds, without placing anything."""
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
    """Run hosts as the keeper of their machine: grant, renew or withhold, give notice, stop and kill."""
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
        fence, until_us, renewing, is_gone = life * 1000, 0, True, True
        end_s = time.monotonic() + 0.3 + rng.random() * 2.5
        while time.monotonic() < end_s or (counts["gone"] < life // 2 and not is_gone):
            now_us = time.monotonic_ns() // 1000
            if is_gone and renewing and rng.random() < 0.2:
                fence, until_us, is_gone = fence + 1, now_us + LEASE_US, False
                grant = wire.Granted("req-1", 0, fence, f"host-{fence % 4}", "m4", "a", until_us, [0, 1, 2, 3])
                ours.sendall(wire.frame(grant))
            elif renewing and not is_gone:
                until_us = now_us + LEASE_US
                ours.sendall(wire.frame(wire.Alive(fence, until_us)))
            choice = rng.random()
            if not is_gone and choice < 0.02:
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
            rest = _read_events(process.stdout.fileno(), rest, history, until_us)
            try:
                for message in frames.feed(ours.recv(65536)):
                    if isinstance(message, wire.Gone):
                        rest = _read_events(process.stdout.fileno(), rest, history, until_us)
                        if history.running:
                            raise BadHistory(f"fence {message.fence} is gone, and runs {sorted(history.running)}")
                        counts["gone"] += 1
                        is_gone, renewing = True, True
            except BlockingIOError:
                pass
        process.kill()
        process.wait()
        _read_events(process.stdout.fileno(), rest, history, until_us)
        ours.close()
        history.crash()
        reopen(history, directory)
    shutil.rmtree(directory)
    print(f"seed {seed}: {points} processes with claims killed; {counts}; {history.starts:,} starts, no rule broken")


def _read_events(fd: int, rest: bytes, history: History, until_us: int) -> bytes:
    """Add all printed events to the history; returns the incomplete line at their end."""
    try:
        while data := os.read(fd, 65536):
            rest += data
    except BlockingIOError:
        pass
    *lines, rest = rest.split(b"\n")
    for line in lines:
        record_event(history, line.decode(), until_us)
    return rest


@click.command()
@click.option("--points", default=200, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--claims", "claimed", is_flag=True, help="Grant the machine instead of letting the host own it.")
@click.option("--host", "as_host", nargs=3, hidden=True, type=str)
def main(points: int, seed: int, claimed: bool, as_host: tuple[str, str, str] | None) -> None:
    """Run and kill hosts; a broken rule ends the run with an error."""
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
            record_event(history, line)
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
        for line in process.stdout:  # printed before the kill
            if line.endswith("\n"):
                record_event(history, line)
        process.wait()
        history.crash()
        reopen(history, directory)
    shutil.rmtree(directory)
    print(
        f"seed {seed}: {points} processes killed ({stopped} stopped for a while before): "
        f"{len(history.accepted):,} jobs acknowledged, {history.starts:,} starts, "
        f"{len(history.final):,} ends reported; no rule broken"
    )


if __name__ == "__main__":
    main()
