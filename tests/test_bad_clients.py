"""Bad clients of one of three agents that run as processes, while another agent is killed and restarted."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from threading import Event, Thread

import pytest

from frostfall.bench.cluster import Cluster
from frostfall.protocol import pg
from frostfall.protocol.statement import Statement, parse
from tests.standins import read_statement, write_statement
from tests.test_power_loss import count_runs, restart, running

BAD_CLIENTS = 300
SOCKETS = 256  # descriptors of an agent: fewer than its bad clients need
STARTUP = pg.startup(user="web")
LINE_OF_BLANKS = pg.frame(b"Q", read_statement("blanks") + b" " * 60_000 + b"x\0")
HALF_QUERY = pg.frame(b"Q", read_statement("half") + b"\0")[:30]


def connect(cluster: Cluster, name: str, data: bytes) -> socket.socket:
    """Connect to an agent and send data after the startup message."""
    host, _, port = cluster.listen[name].rpartition(":")
    client = socket.create_connection((host, int(port)))
    client.sendall(STARTUP + data)
    return client


@contextmanager
def bad_clients(cluster: Cluster, name: str, count: int, data: bytes) -> Iterator[None]:
    """Keep `count` clients that send `data` and stay; one that is turned away comes again."""
    stopped = Event()

    def run() -> None:
        while not stopped.is_set():
            with suppress(OSError), connect(cluster, name, data) as client:
                client.settimeout(0.2)
                while not stopped.is_set():
                    with suppress(TimeoutError):
                        if not client.recv(pg.MAX_READ_BYTES):
                            break

    threads = [Thread(target=run) for _ in range(count)]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopped.set()
        for thread in threads:
            thread.join()


# Guards against an agent that answered nobody while it parsed a line, or while others stopped halfway.
@pytest.mark.parametrize(
    ("count", "data"), [(1, LINE_OF_BLANKS), (BAD_CLIENTS, HALF_QUERY)], ids=["blanks", "half"]
)
def test_usual_clients_are_served_beside_bad_ones_while_a_member_restarts(
    tmp_path: Path, count: int, data: bytes
) -> None:
    with running(tmp_path, sockets=SOCKETS) as cluster:
        with bad_clients(cluster, "n0", count, data):
            cluster.kill("n2")
            for number in range(5):
                assert cluster.query("n0", f"beside-{number}") == "served"
            restart(cluster, "n2")
            for number in range(5, 10):
                assert cluster.query("n0", f"beside-{number}") == "served"
        assert [count_runs(cluster, f"beside-{number}") for number in range(10)] == [1] * 10


# Guards against a request that ran and was never answered, because a client that had sent its id left.
def test_a_request_is_answered_once_though_a_client_with_its_id_leaves_and_a_member_dies(
    tmp_path: Path,
) -> None:
    with running(tmp_path) as cluster:
        cluster.servers(hold=["order"])
        since, request = cluster.now, cluster.ask("n0", "shared")
        cluster.wait("ran", op="shared")
        same = write_statement(request).replace(b" */", b",op=shared */")
        assert isinstance(parse(same), Statement)
        with connect(cluster, "n0", pg.frame(b"Q", same + b"\0")):
            time.sleep(0.1)  # until the agent has read the statement
        cluster.kill("n2")
        cluster.servers(let_go=True)
        assert cluster.wait("answered", since=since, id=request)["what"] == "served"
        restart(cluster, "n2")
        assert count_runs(cluster, "shared") == 1
