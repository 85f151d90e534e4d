"""The decision module stays small enough to port by hand."""

from pathlib import Path

import frostfall.brain

SOURCE = Path(frostfall.brain.__file__).read_text(encoding="utf-8").splitlines()


def test_the_module_holds_at_most_560_lines_of_at_most_110_characters() -> None:
    assert sum(bool(line.strip()) for line in SOURCE) <= 560
    assert max(map(len, SOURCE)) <= 110


def test_its_top_names_the_interface() -> None:
    assert "frostfall/interface.py" in SOURCE[0]
