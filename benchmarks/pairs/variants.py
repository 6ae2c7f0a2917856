"""Prepare source variants for a comparison: checkouts with some module constants replaced, for measurements only.

A variant is written as `NAME=REVISION[,FILE:CONSTANT=VALUE]...`; `FILE` is below `mulleinhatch/`. Example:
`slow=HEAD,control_plane/placement.py:KEEP_ADVANTAGE=3.0`.
"""

from __future__ import annotations

import hashlib
import re
import subprocess
from dataclasses import dataclass
from pathlib import Path

PACKAGE = "mulleinhatch"


class VariantError(ValueError):
    """A variant can't be made; the message says what to write instead."""


@dataclass(frozen=True)
class Replacement:
    """A new value for a module constant."""

    file: str
    constant: str
    value: str


@dataclass(frozen=True)
class Variant:
    """A source variant to measure."""

    name: str
    revision: str
    replacements: tuple[Replacement, ...] = ()


def parse_variant(text: str) -> Variant:
    """Parse `NAME=REVISION[,FILE:CONSTANT=VALUE]...`.

    Raises:
        VariantError: If the text has another form.

    >>> parse_variant("slow=HEAD,control_plane/placement.py:KEEP_ADVANTAGE=3.0").replacements
    (Replacement(file='control_plane/placement.py', constant='KEEP_ADVANTAGE', value='3.0'),)
    """
    name, separator, rest = text.partition("=")
    revision, *changes = rest.split(",")
    if not separator or not name or not revision:
        raise VariantError(f"{text!r}: write NAME=REVISION[,FILE:CONSTANT=VALUE]...")
    return Variant(name, revision, tuple(_replacement(change) for change in changes))


def _replacement(text: str) -> Replacement:
    file, colon, rest = text.partition(":")
    constant, separator, value = rest.partition("=")
    if not (file and colon and constant and separator and value):
        raise VariantError(f"{text!r}: write FILE:CONSTANT=VALUE")
    return Replacement(file, constant, value)


def replace_constant(source: str, constant: str, value: str) -> str:
    """Return source text with a new value for a module constant; the trailing comment stays.

    Raises:
        VariantError: Unless there is exactly one such constant.

    >>> replace_constant("A = 1.0  # seconds\\n", "A", "2.0")
    'A = 2.0  # seconds\\n'
    """
    pattern = re.compile(
        rf"^{re.escape(constant)}(?P<type>: [^=\n]+)? = (?P<old>[^#\n]*?)(?P<rest>\s*(#[^\n]*)?)$", re.MULTILINE
    )
    changed, count = pattern.subn(lambda match: f"{constant}{match['type'] or ''} = {value}{match['rest']}", source)
    if count != 1:
        raise VariantError(f"{constant}: {count} module constants of this name, one is needed")
    return changed


def prepare(variant: Variant, repository: Path, folder: Path) -> Path:
    """Write the sources of a variant below `folder` and return their root; existing ones are replaced.

    Raises:
        VariantError: If the file or constant of a replacement does not exist, or the constant is not unique.
    """
    root = folder / variant.name
    root.mkdir(parents=True, exist_ok=True)
    subprocess.run(["rm", "-rf", str(root / PACKAGE), str(root / "deploy")], check=True)
    if variant.revision == "WORK":
        _copy_working_tree(repository, root)
    else:
        archive = subprocess.run(
            ["git", "-C", str(repository), "archive", variant.revision, "--", ".", ":!journal"], check=True, capture_output=True
        )
        subprocess.run(["tar", "-x", "-C", str(root)], input=archive.stdout, check=True)
    built = repository / "target"
    if built.exists() and not (root / "target").exists():
        subprocess.run(["cp", "-a", str(built), str(root / "target")], check=True)
    if not (root / ".git").exists():
        subprocess.run(["git", "init", "-q", str(root)], check=True)
    for replacement in variant.replacements:
        file = root / PACKAGE / replacement.file
        if not file.exists():
            raise VariantError(f"{replacement.file}: no such file below {PACKAGE}/")
        file.write_text(replace_constant(file.read_text(), replacement.constant, replacement.value))
    return root


def _copy_working_tree(repository: Path, root: Path) -> None:
    """Copy the files of the working tree."""
    names = subprocess.run(
        ["git", "-C", str(repository), "ls-files", "-z", "--cached", "--others", "--exclude-standard", "--", ".", ":!journal"],
        check=True,
        capture_output=True,
    ).stdout
    archive = subprocess.run(
        ["tar", "-c", "-C", str(repository), "--null", "--ignore-failed-read", "-T", "-"], input=names, capture_output=True
    )
    subprocess.run(["tar", "-x", "-C", str(root)], input=archive.stdout, check=True)


def digest(root: Path) -> str:
    """Return a short digest of the files that determine a run: the package, the programs and the deploy file."""
    hasher = hashlib.sha256()
    files = [*sorted((root / PACKAGE).rglob("*.py")), *sorted(root.glob("*.py")), root / "deploy" / "system.toml"]
    for file in files:
        hasher.update(str(file.relative_to(root)).encode() + b"\0" + file.read_bytes())
    return hasher.hexdigest()[:12]
