"""Write the results of a bench as JSON and as Markdown tables."""

from __future__ import annotations

import platform
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

Row = dict[str, Any]


def median(values: Sequence[float]) -> float:
    """Return the median, or 0 if there are no values."""
    ordered, half = sorted(values), len(values) // 2
    if not ordered:
        return 0.0
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def table(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """Format rows as a Markdown table; floats have three significant digits."""

    def cell(value: Any) -> str:
        return f"{value:.3g}" if isinstance(value, float) else str(value)

    lines = [columns, ["---"] * len(columns)]
    lines += [[cell(row.get(name, "")) for name in columns] for row in rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def write(out: Path, name: str, figures: Any, text: str) -> None:
    """Write `name`.json and `name`.md to a directory, which is created if it does not exist."""
    out.mkdir(parents=True, exist_ok=True)
    result = {"python": platform.python_version(), "machine": platform.machine(), "figures": figures}
    (out / f"{name}.json").write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    (out / f"{name}.md").write_text(text, encoding="utf-8")
