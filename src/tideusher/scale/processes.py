"""Starts, monitors and ends the processes of a scale run by id, however the run ends."""

import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import psutil

_PR_SET_PDEATHSIG = 1
_END_TIMEOUT_S = 5.0
_MB = 1e6


class Usage(msgspec.Struct):
    """Resource usage of the processes of a role; shares are of one core."""

    processes: int = 0
    cpu_s: float = 0.0
    mean_core_share: float = 0.0  # of the busiest process, over the run
    peak_core_share: float = 0.0  # of any process, over one second
    peak_memory_mb: float = 0.0  # of any process


class ProcessUsage(msgspec.Struct):
    """Resource usage of a process since its last start."""

    role: str
    lived_s: float
    cpu_s: float
    peak_core_share: float
    peak_memory_mb: float


@dataclass(slots=True)
class _MonitoredProcess:
    name: str
    role: str
    popen: "subprocess.Popen[bytes]"
    process: psutil.Process
    started_at_s: float
    cpu_s: float = 0.0
    sampled_at_s: float = 0.0
    peak_share: float = 0.0
    peak_mb: float = 0.0


@dataclass(slots=True)
class _EndedUsage:
    """Accumulated resource usage of a role's processes that were killed."""

    cpu_s: float = 0.0
    peak_share: float = 0.0
    peak_mb: float = 0.0


def _end_with_parent() -> None:
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True)
class Processes:
    """All processes that a run has started, by name."""

    directory: Path
    _monitored: dict[str, _MonitoredProcess] = field(default_factory=dict)
    _ended_usage: dict[str, _EndedUsage] = field(default_factory=dict)
    peak_memory_mb: float = 0.0
    peak_count: int = 0

    def start(self, name: str, role: str, command: Sequence[str], now_s: float) -> None:
        """Starts a process; its output goes to its own log file."""
        with (self.directory / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=_end_with_parent
            )
        self._monitored[name] = _MonitoredProcess(
            name, role, popen, psutil.Process(popen.pid), now_s, sampled_at_s=now_s
        )

    def kill(self, name: str) -> None:
        """Kills a process without a signal that it could handle, as the platform does."""
        monitored = self._monitored.pop(name, None)
        if monitored is None:
            return
        monitored.popen.kill()
        monitored.popen.wait()
        ended_usage = self._ended_usage.setdefault(monitored.role, _EndedUsage())
        ended_usage.cpu_s += monitored.cpu_s
        ended_usage.peak_share = max(ended_usage.peak_share, monitored.peak_share)
        ended_usage.peak_mb = max(ended_usage.peak_mb, monitored.peak_mb)

    def runs(self, name: str) -> bool:
        """True if the process was started and has not been killed since."""
        return name in self._monitored

    def pause(self, name: str) -> bool:
        """Suspends a process, whose clocks run on; False if it does not exist."""
        monitored = self._monitored.get(name)
        if monitored is not None:
            monitored.popen.send_signal(signal.SIGSTOP)
        return monitored is not None

    def go_on(self, name: str) -> None:
        """Resumes a suspended process."""
        monitored = self._monitored.get(name)
        if monitored is not None:
            monitored.popen.send_signal(signal.SIGCONT)

    def ended(self) -> list[str]:
        """Returns the names of the processes that exited by themselves."""
        return [monitored.name for monitored in self._monitored.values() if monitored.popen.poll() is not None]

    def log_tail(self, name: str, lines: int = 3) -> str:
        """Returns the last lines of a process's log file."""
        text = (self.directory / f"{name}.log").read_text("utf-8", "replace").strip().splitlines()
        return " | ".join(text[-lines:])

    def sample(self, now_s: float) -> float:
        """Samples the usage of each process; returns their total memory in MB, including this process's own."""
        total_mb = psutil.Process(os.getpid()).memory_info().rss / _MB
        for monitored in self._monitored.values():
            try:
                times, memory = monitored.process.cpu_times(), monitored.process.memory_info()
            except psutil.Error:
                continue
            cpu_s, memory_mb = times.user + times.system, memory.rss / _MB
            if now_s > monitored.sampled_at_s:
                monitored.peak_share = max(
                    monitored.peak_share, (cpu_s - monitored.cpu_s) / (now_s - monitored.sampled_at_s)
                )
            monitored.cpu_s, monitored.sampled_at_s, monitored.peak_mb = (
                cpu_s,
                now_s,
                max(monitored.peak_mb, memory_mb),
            )
            total_mb += memory_mb
        self.peak_memory_mb = max(self.peak_memory_mb, total_mb)
        self.peak_count = max(self.peak_count, len(self._monitored) + 1)
        return total_mb

    def usage(self, now_s: float) -> dict[str, Usage]:
        """Returns the resource usage by role."""
        usages: dict[str, Usage] = {}
        for role, ended_usage in self._ended_usage.items():
            usages[role] = Usage(0, ended_usage.cpu_s, 0.0, ended_usage.peak_share, ended_usage.peak_mb)
        for monitored in self._monitored.values():
            usage = usages.setdefault(monitored.role, Usage())
            usage.processes += 1
            usage.cpu_s += monitored.cpu_s
            mean_share = monitored.cpu_s / max(1e-6, now_s - monitored.started_at_s)
            usage.mean_core_share = max(usage.mean_core_share, mean_share)
            usage.peak_core_share = max(usage.peak_core_share, monitored.peak_share)
            usage.peak_memory_mb = max(usage.peak_memory_mb, monitored.peak_mb)
        return usages

    def each(self, now_s: float) -> dict[str, ProcessUsage]:
        """Returns the resource usage by process; for a restarted process, since its last start."""
        return {
            monitored.name: ProcessUsage(
                monitored.role,
                now_s - monitored.started_at_s,
                monitored.cpu_s,
                monitored.peak_share,
                monitored.peak_mb,
            )
            for monitored in self._monitored.values()
        }

    def end_all(self) -> None:
        """Ends all processes that still run: terminates them, and kills those that outlast `_END_TIMEOUT_S`."""
        for monitored in self._monitored.values():
            if monitored.popen.poll() is None:
                monitored.popen.send_signal(signal.SIGCONT)
                monitored.popen.terminate()
        for monitored in self._monitored.values():
            try:
                monitored.popen.wait(_END_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                monitored.popen.kill()
                monitored.popen.wait()
        self._monitored.clear()


def role_command(module: str, *arguments: str) -> list[str]:
    """Returns the command line of a simulation process."""
    return [sys.executable, "-m", f"tideusher.scale.{module}", *arguments]


def controller_command(tree: Path | None, config: Path) -> list[str]:
    """Returns the command line of a controller: `run.py` of a checkout, or the installed package if there is none."""
    script = (tree or Path(__file__).resolve().parents[3]) / "run.py"
    if script.exists():
        return [sys.executable, str(script), "--config", str(config)]
    return [sys.executable, "-m", "tideusher", "serve", "--config", str(config)]
