"""What a controller imports at its start: the time for it is spent at every restart."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

#: Runs run.py up to the point where it would serve, then prints the loaded modules and their cached files.
PROBE = """
import sys
sys.argv = ["run.py"]
import run
import importlib
outside = set()
real = importlib.import_module
def recording(name):
    module = real(name)
    outside.update(sys.modules)
    return module
importlib.import_module = recording
try:
    run.start(["--config", "nowhere.toml"])
except SystemExit:
    pass
import os
for name, module in sorted(sys.modules.items()):
    cached = getattr(module, "__cached__", None) or ""
    print(name, name in outside, os.path.exists(cached), cached)
"""


@pytest.fixture(scope="module")
def loaded(tmp_path_factory):
    """A checkout built as in deploy/service.toml, with its dependencies already installed, and started."""
    tree = tmp_path_factory.mktemp("checkout")
    shutil.copytree(ROOT / "src", tree / "src", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "run.py", tree)
    shutil.copy(ROOT / "requirements.txt", tree)
    build = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["build"]
    (tree / "target" / "deps").mkdir(parents=True)
    os.utime(tree / "requirements.txt", (0, 0))  # older than the dependencies even if the clock steps
    path = os.pathsep.join([str(Path(sys.executable).parent), os.environ["PATH"]])
    env = {**os.environ, "PATH": path}
    subprocess.run(["sh", "-c", build], cwd=tree, env=env, check=True, capture_output=True)
    found = subprocess.run(
        [sys.executable, "-B", "-c", PROBE], cwd=tree, env=env, check=True, capture_output=True, text=True
    )
    rows = [line.split(" ", 3) for line in found.stdout.splitlines()]
    return tree, {row[0]: (row[1] == "True", row[2] == "True", row[3]) for row in rows if row[0] != "run"}


def test_controller_imports_no_command_line_no_properties_and_no_metrics_library(loaded):
    modules = loaded[1]
    assert "tideusher.node" in modules and "gevent.pywsgi" in modules
    for name in ("click", "javaproperties", "prometheus_client", "tideusher.cli", "tideusher.client"):
        assert name not in modules, name


def test_sources_are_loaded_compiled_from_the_build_and_libraries_from_their_own_caches(loaded):
    tree, modules = loaded
    ours = {name: row for name, row in modules.items() if name.split(".")[0] == "tideusher"}
    assert len(ours) > 30
    for name, (_, exists, cached) in ours.items():
        assert exists and cached.startswith(str(tree / "target" / "pycache")), name
    # Everything else must have been imported before: it would be compiled again at each start.
    late = {name for name, (before, _, _) in modules.items() if not before} - set(ours) - {"__main__"}
    assert not late
