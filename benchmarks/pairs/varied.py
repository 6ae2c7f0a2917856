"""`python -m benchmarks.pairs.varied SITE OUT [--loads X] [--memory X] [--aims X] [--traffic X] [--models N]`

Write a variant of a site file: scaled load times, backend memory, latency targets and traffic, and only the first N models. It
serves to compare source variants on a deployment that none was tuned for. The marks are those of the original site, so only the
difference between two source variants is meaningful.
"""

from __future__ import annotations

import argparse
import re
import shutil
import sys
from pathlib import Path

NUMBER = r"(-?\d+(?:\.\d+)?)"


def scaled(text: str, key: str, factor: float) -> str:
    """Multiply every number after `key =` by a factor.

    >>> scaled("{ load_s = 2.0, warm_load_s = 2.0 }", "load_s", 0.5)
    '{ load_s = 1.0, warm_load_s = 2.0 }'
    """
    return re.sub(rf"\b{key} = {NUMBER}", lambda match: f"{key} = {_format_like(match[1], float(match[1]) * factor)}", text)


def _format_like(original: str, value: float) -> str:
    """Format a value like the original number: integers stay integers."""
    return (
        f"{value:.6g}" if "." in original and value != int(value) else f"{value:.1f}" if "." in original else str(round(value))
    )


def fewer_models(text: str, limit: int) -> str:
    """Keep only the first models of the list.

    >>> fewer_models('models = [\\n  { name = "m0" },\\n  { name = "m1" },\\n]\\n', 1)
    'models = [\\n  { name = "m0" },\\n]\\n'
    """
    begin = text.index("models = [\n")
    end = text.index("\n]", begin)
    lines = text[begin:end].splitlines()
    return text[:begin] + "\n".join(lines[: 1 + limit]) + text[end:]


def varied(text: str, name: str, loads: float, memory: float, latency_targets: float, traffic: float, models: int) -> str:
    """Return the text of a site file with scaled values; `models` 0 keeps all models."""
    text = re.sub(r'^name = "[^"]*"', f'name = "{name}"', text, count=1, flags=re.MULTILINE)
    for key, factor in {"load_s": loads, "warm_s": loads, "aim_ms": latency_targets, "per_s": traffic}.items():
        text = scaled(text, key, factor)
    text = re.sub(
        rf"(kv_bytes = [^}}]*?\bmb = ){NUMBER}", lambda match: match[1] + _format_like(match[2], float(match[2]) * memory), text
    )
    return fewer_models(text, models) if models else text


def main() -> int:
    """Write the variant and copy the files that belong to the site."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.pairs.varied", description="Write a variant of a site file.")
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
