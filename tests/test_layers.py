"""Imports between packages follow the layers and have no cycles."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "src"

#: The packages that each package must not import, also not for type checking.
FORBIDDEN = {
    "tideusher.wire": ("tideusher.core", "tideusher.actors", "tideusher.config"),
    "tideusher.core": ("tideusher.actors", "tideusher.node", "tideusher.web", "tideusher.embed"),
    "tideusher.core.model": ("tideusher.core.decide", "tideusher.core.lead"),
    "tideusher.core.decide": ("tideusher.core.lead",),
}


def import_graph():
    graph = {}
    for path in ROOT.rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        graph[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("tideusher"):
                graph[name] |= {node.module, *(f"{node.module}.{alias.name}" for alias in node.names)}
    return {
        name: {module for module in imported if module in graph and module != name}
        for name, imported in graph.items()
    }


def find_cycle(graph):
    """Returns a cycle of modules, or None."""
    state = {}

    def visit(name, path):
        if state.get(name) == "done":
            return None
        if name in path:
            return path[path.index(name) :] + [name]
        for other in sorted(graph[name]):
            cycle = visit(other, [*path, name])
            if cycle:
                return cycle
        state[name] = "done"
        return None

    return next((cycle for name in sorted(graph) if (cycle := visit(name, []))), None)


def test_imports_follow_the_layers_and_have_no_cycle():
    graph = import_graph()
    for package, forbidden in FORBIDDEN.items():
        for name, imported in graph.items():
            if name.startswith(package):
                assert not [module for module in imported if module.startswith(forbidden)], name
    assert find_cycle(graph) is None
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c", "a"]  # a cycle is found
