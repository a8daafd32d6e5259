"""Imports point one way: a newcomer finds the home of a decision, and nothing runs in a circle."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "src"

#: Of each package the ones that it may not know, TYPE_CHECKING or not.
FORBIDDEN = {
    "tideusher.wire": ("tideusher.core", "tideusher.actors", "tideusher.config"),
    "tideusher.core": ("tideusher.actors", "tideusher.node", "tideusher.web", "tideusher.embed"),
    "tideusher.core.model": ("tideusher.core.decide", "tideusher.core.lead"),
    "tideusher.core.decide": ("tideusher.core.lead",),
}


def imports():
    found = {}
    for path in ROOT.rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("tideusher"):
                found[name] |= {node.module, *(f"{node.module}.{alias.name}" for alias in node.names)}
    return {name: {one for one in known if one in found and one != name} for name, known in found.items()}


def circle(graph):
    """A circle of modules, or None."""
    state = {}

    def visit(name, way):
        if state.get(name) == "done":
            return None
        if name in way:
            return way[way.index(name) :] + [name]
        for other in sorted(graph[name]):
            found = visit(other, [*way, name])
            if found:
                return found
        state[name] = "done"
        return None

    return next((found for name in sorted(graph) if (found := visit(name, []))), None)


def test_imports_point_one_way_and_form_no_circle():
    graph = imports()
    for package, others in FORBIDDEN.items():
        for name, known in graph.items():
            if name.startswith(package):
                assert not [one for one in known if one.startswith(others)], name
    assert circle(graph) is None
    assert circle({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c", "a"]  # the check can fail
