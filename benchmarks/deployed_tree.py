"""Build a source tree and start its planes as its deploy file says, so that measurements include the costs of a deployment.

The build may leave compiled files; a started process writes none, because its root directory is read-only in a deployment. What
the interpreter has to compile at each start is part of the cost of a start.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

DEPLOY_FILE = Path("deploy") / "system.toml"
ROLE_SUFFIX = "-plane"  # role names are data-plane and control-plane
INTERPRETER = "python3"  # as the deploy file names it


def _deployment(tree: Path) -> dict[str, Any]:
    return tomllib.loads((tree / DEPLOY_FILE).read_text())


def _base_interpreter() -> str:
    """Return the interpreter outside of any virtual environment, whose site packages a deployment does not have."""
    return getattr(sys, "_base_executable", None) or sys.executable


def build(tree: Path) -> None:
    """Run the deploy file's build in a tree with the interpreter that starts the planes.

    Raises:
        subprocess.CalledProcessError: The build failed.
    """
    path = f"{Path(_base_interpreter()).parent}{os.pathsep}{os.environ.get('PATH', '')}"
    subprocess.run(_deployment(tree)["build"], shell=True, cwd=tree, env={**os.environ, "PATH": path}, check=True)


def command(tree: Path, kind: str) -> list[str]:
    """Return the arguments that start a plane.

    Args:
        tree: The source tree.
        kind: "control" or "data".
    """
    arguments = _deployment(tree)["roles"][kind + ROLE_SUFFIX]["run"].split()
    return [_base_interpreter() if argument == INTERPRETER else argument for argument in arguments]


def environment(tree: Path) -> dict[str, str]:
    """Return the environment of a started process: its own libraries come first, and it writes no compiled files."""
    inherited = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    return {**inherited, "PYTHONPATH": str(tree / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
