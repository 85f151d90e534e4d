"""Policy modules are listed in the deploy file, refer to the interface and keep to the line length."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["policy"]
SOURCE = {name: (ROOT / name).read_text(encoding="utf-8").splitlines() for name in FILES}


def test_the_lines_of_the_policy_files_have_at_most_110_characters() -> None:
    assert max(len(line) for lines in SOURCE.values() for line in lines) <= 110


def test_every_module_under_policy_is_named_in_the_deploy_file() -> None:
    modules = {str(path.relative_to(ROOT)) for path in (ROOT / "frostfall" / "policy").glob("*.py")}
    assert set(FILES) == modules - {"frostfall/policy/__init__.py"}


def test_the_tops_name_the_interface() -> None:
    assert SOURCE
    for lines in SOURCE.values():
        assert "frostfall/interface.py" in lines[0]
