"""What a bench leaves: its figures as JSON, as a table and as a plot."""

from __future__ import annotations

import platform
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

Row = dict[str, Any]


def middle(values: Sequence[float]) -> float:
    """The median; 0 of none."""
    ordered, half = sorted(values), len(values) // 2
    if not ordered:
        return 0.0
    return ordered[half] if len(ordered) % 2 else (ordered[half - 1] + ordered[half]) / 2


def table(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """Rows as a Markdown table; numbers with three digits that count."""

    def cell(value: Any) -> str:
        return f"{value:.3g}" if isinstance(value, float) else str(value)

    lines = [columns, ["---"] * len(columns)]
    lines += [[cell(row.get(name, "")) for name in columns] for row in rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def write(out: Path, name: str, figures: Any, text: str) -> None:
    """Leave `name`.json and `name`.md in a folder, which is made."""
    out.mkdir(parents=True, exist_ok=True)
    where = {"python": platform.python_version(), "machine": platform.machine(), "figures": figures}
    (out / f"{name}.json").write_bytes(msgspec.json.format(msgspec.json.encode(where), indent=1))
    (out / f"{name}.md").write_text(text, encoding="utf-8")
