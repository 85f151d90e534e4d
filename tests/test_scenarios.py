"""Tests of the fault scripts in tests/scenarios, run on processes, and of errors for invalid scripts."""

from __future__ import annotations

from pathlib import Path

import pytest

from frostfall.bench import faults

SCRIPTS = sorted((Path(__file__).parent / "scenarios").glob("*.json5"))


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda path: path.stem)
def test_a_script_completes_with_a_clean_history(path: Path, tmp_path: Path) -> None:
    findings = faults.run_script(faults.parse(path.read_text()), tmp_path)
    assert findings.clean, findings


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("{steps: [{do: 'explode'}]}", "explode"),
        ("{steps: [{do: 'kill', whom: []}]}", "whom"),
        ("{steps: [}", "Unexpected"),
        ("{}", "steps"),
    ],
)
def test_an_invalid_script_raises_an_error_that_names_the_key(text: str, part: str) -> None:
    with pytest.raises(faults.ScriptError, match=part):
        faults.parse(text)
