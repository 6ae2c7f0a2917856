"""`python -m benchmarks.pairs.varied SITE OUT [--loads X] [--memory X] [--aims X] [--traffic X] [--models N]`

Writes a deployment of our own kind from a site file: other times of loads, memory of backends, latency aims, traffic, and the
models' list cut off behind N of them, with a name of its own. For days that no text was tuned on; its marks are those of the
site it was made from, so only the difference of two texts counts.
"""

from __future__ import annotations

import argparse
import re
import shutil
import sys
from pathlib import Path

NUMBER = r"(-?\d+(?:\.\d+)?)"


def scaled(text: str, key: str, factor: float) -> str:
    """Every number behind `key =` times a factor.

    >>> scaled("{ load_s = 2.0, warm_load_s = 2.0 }", "load_s", 0.5)
    '{ load_s = 1.0, warm_load_s = 2.0 }'
    """
    return re.sub(rf"\b{key} = {NUMBER}", lambda match: f"{key} = {_like(match[1], float(match[1]) * factor)}", text)


def _like(written: str, value: float) -> str:
    """A number in the form in which another was written: whole ones stay whole."""
    return f"{value:.6g}" if "." in written and value != int(value) else f"{value:.1f}" if "." in written else str(round(value))


def fewer_models(text: str, limit: int) -> str:
    """Leaves out the models of the list behind the first `most`.

    >>> fewer_models('models = [\\n  { name = "m0" },\\n  { name = "m1" },\\n]\\n', 1)
    'models = [\\n  { name = "m0" },\\n]\\n'
    """
    begin = text.index("models = [\n")
    end = text.index("\n]", begin)
    lines = text[begin:end].splitlines()
    return text[:begin] + "\n".join(lines[: 1 + limit]) + text[end:]


def varied(text: str, name: str, loads: float, memory: float, latency_targets: float, traffic: float, models: int) -> str:
    """The text of a site file with other figures; `models` 0 keeps all."""
    text = re.sub(r'^name = "[^"]*"', f'name = "{name}"', text, count=1, flags=re.MULTILINE)
    for key, factor in {"load_s": loads, "warm_s": loads, "aim_ms": latency_targets, "per_s": traffic}.items():
        text = scaled(text, key, factor)
    text = re.sub(
        rf"(kv_bytes = [^}}]*?\bmb = ){NUMBER}", lambda match: match[1] + _like(match[2], float(match[2]) * memory), text
    )
    return fewer_models(text, models) if models else text


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.pairs.varied", description="A deployment of our own kind.")
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    for key in ("loads", "memory", "aims", "traffic"):
        parser.add_argument(f"--{key}", type=float, default=1.0)
    parser.add_argument("--models", type=int, default=0)
    options = parser.parse_args()
    text = varied(
        options.site.read_text(), options.out.stem, options.loads, options.memory, options.aims, options.traffic, options.models
    )
    options.out.write_text(text)
    for companion in ("wire.json",):
        shutil.copy(options.site.parent / companion, options.out.parent / companion)
    return 0


if __name__ == "__main__":
    sys.exit(main())
