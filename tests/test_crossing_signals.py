"""Signals that arrive during the program's start, a reload, a shutdown or the last answer."""

from __future__ import annotations

import signal
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import msgspec
import pytest

from frostfall import config
from tests.standins import (
    STREAM_ERRORS,
    TEST_TIMEOUT_SECONDS,
    Client,
    StandInServer,
    free_port,
    instance,
    make_config,
    read_statement,
    tcp_server,
    write_statement,
)
from tests.test_agent import code, program, until
from tests.test_config import EXAMPLE
from tests.test_crossing_lists import ScriptedDiscovery

pytestmark = pytest.mark.anyio
ROOT = Path(__file__).parent.parent

# A program that, after its first read of the configuration, replaces the file and sends itself signals.
STARTUP_SCRIPT = """
import os, signal, sys
from pathlib import Path
from frostfall import config, program
load, path = config.load, Path(os.environ["BALANCER_CONFIG"])
def load_and_send_signals(environ):
    loaded = load(environ)
    if path.with_suffix(".next").exists():
        path.with_suffix(".next").rename(path)
        for name in sys.argv[1:]:
            os.kill(os.getpid(), getattr(signal, name))
    return loaded
config.load = load_and_send_signals
sys.exit(program.main())
"""


def write_config(path: Path, configuration: config.Config, discovery: str) -> None:
    example = EXAMPLE | {
        "listen": str(configuration.listen),
        "discovery": discovery,
        "peers": [],
        "peer_listen": "",
    }
    example["known"] = {"generation": 1, "reset": True, "instances": []}
    example["settings"] = example["settings"] | {"nInstances": 1}
    example["release_api"] = example["release_api"] | {"address": str(configuration.rollout_api)}
    path.write_bytes(msgspec.json.encode(example))


@asynccontextmanager
async def started(path: Path, *command: str) -> AsyncIterator[subprocess.Popen[bytes]]:
    """Run the program by a given command, with its log next to its configuration."""
    with path.with_suffix(".log").open("wb") as log:
        process = subprocess.Popen(
            command,
            stderr=log,
            cwd=ROOT,
            env={
                "BALANCER_CONFIG": str(path),
                "PATH": str(Path(sys.executable).parent),
                "FROSTFALL_LOG": "debug",
            },
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def wait_for_exit(process: subprocess.Popen[bytes]) -> int:
    return await anyio.to_thread.run_sync(lambda: process.wait(TEST_TIMEOUT_SECONDS), abandon_on_cancel=True)


async def test_a_sighup_right_after_the_configuration_was_read_is_not_lost(tmp_path: Path) -> None:
    path, configuration, new = tmp_path / "config.json", make_config(), ScriptedDiscovery()
    write_config(path, configuration, f"127.0.0.1:{free_port()}")
    write_config(path.with_suffix(".next"), configuration, str(new.address))
    async with started(path, sys.executable, "-c", STARTUP_SCRIPT, "SIGHUP"):
        # The agent would keep the old address if it lost a SIGHUP that arrives after it has read the old
        # configuration and before it handles signals.
        assert (await new.call()).startswith("/v1/servers")
    assert b"Traceback" not in path.with_suffix(".log").read_bytes()
    new.close()


async def test_a_sigterm_during_the_start_ends_the_program_without_a_traceback(tmp_path: Path) -> None:
    path, configuration = tmp_path / "config.json", make_config()
    write_config(path, configuration, f"127.0.0.1:{free_port()}")
    write_config(path.with_suffix(".next"), configuration, f"127.0.0.1:{free_port()}")
    async with started(path, sys.executable, "-c", STARTUP_SCRIPT, "SIGHUP", "SIGTERM") as process:
        assert await wait_for_exit(process) in (0, -signal.SIGTERM)
    assert b"Traceback" not in path.with_suffix(".log").read_bytes()


async def test_a_sighup_before_the_interpreter_starts_does_not_end_the_program(tmp_path: Path) -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    before, exec_, rest = deploy["run"].partition("exec ")
    assert exec_ and rest.endswith(" -m frostfall")
    path, configuration, new = tmp_path / "config.json", make_config(), ScriptedDiscovery()
    write_config(path, configuration, f"127.0.0.1:{free_port()}")
    # The deployed command, with a signal immediately before the shell's exec of the interpreter.
    command = f"{before}kill -HUP $$; exec {sys.executable} -m frostfall"
    async with started(path, "/bin/sh", "-c", command) as process:
        log = path.with_suffix(".log")
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await until(lambda: b"listening" in log.read_bytes() or process.poll() is not None)
        assert process.poll() is None
        write_config(path, configuration, str(new.address))
        process.send_signal(signal.SIGHUP)  # the program handles it by now
        assert (await new.call()).startswith("/v1/servers")
        process.send_signal(signal.SIGTERM)
        assert await wait_for_exit(process) == 0
    new.close()


@pytest.mark.parametrize(
    "signals",
    [
        ["SIGTERM", "SIGTERM"],
        ["SIGTERM", "SIGHUP"],
        ["SIGHUP", "SIGTERM"],
        ["SIGHUP", "SIGTERM", "SIGHUP", "SIGTERM", "SIGINT"],
    ],
)
async def test_signals_in_any_order_do_not_cut_off_a_pending_answer(
    signals: list[str], tmp_path: Path
) -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address:
        server = instance("s-1", address)
        configuration = make_config(server)
        async with program(configuration, tmp_path / "config.json", server) as process:
            client = await Client.connect(configuration.listen)
            await client.send_query(write_statement("s1", 1200))
            await appliance.query_received.wait()
            for name in signals:
                process.send_signal(getattr(signal, name))
            assert code(await client.receive_answer()) not in ("53300", "57P03")
            with pytest.raises(STREAM_ERRORS):
                await client.reader.message()
            assert await wait_for_exit(process) == 0
            assert process.stderr is not None and b"Traceback" not in process.stderr.read()


async def test_a_reload_of_a_truncated_file_changes_nothing_and_the_next_reload_succeeds(
    tmp_path: Path,
) -> None:
    async with tcp_server(StandInServer()) as address:
        server = instance("s-1", address)
        configuration, path, new = make_config(server), tmp_path / "config.json", ScriptedDiscovery()
        async with program(configuration, path, server) as process:
            log, contents = path.with_suffix(".log"), path.read_bytes()
            path.write_bytes(contents[: len(contents) // 2])
            process.send_signal(signal.SIGHUP)
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                await until(lambda: b"reload refused" in log.read_bytes())
            client = await Client.connect(configuration.listen)
            assert (await client.query(read_statement("s2")))[0] == b"D"
            path.write_bytes(
                contents.replace(str(configuration.discovery).encode(), str(new.address).encode())
            )
            process.send_signal(signal.SIGHUP)
            assert (await new.call()) == "/v1/servers"
            assert (await client.query(read_statement("s3")))[0] == b"D"
    new.close()
