"""Bad clients of one of three agents that run as processes, while another agent is killed and restarted."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, suppress
from functools import partial
from pathlib import Path
from threading import Event, Thread

import pytest

from frostfall.bench.cluster import Cluster
from frostfall.bench.peers import statement
from frostfall.protocol import pg
from frostfall.protocol.statement import Statement, parse
from tests.standins import read_statement, write_statement
from tests.test_power_loss import count_runs, restart, running

BAD_CLIENTS = 300
SOCKETS = 256  # descriptors of an agent: fewer than its bad clients need
STARTUP = pg.startup(user="web")
LINE_OF_BLANKS = pg.frame(b"Q", read_statement("blanks") + b" " * 60_000 + b"x\0")
FIELD_COUNT = 19_000  # in a comment, for a statement of almost the longest length
MANY_FIELDS = pg.frame(
    b"Q",
    read_statement("fields").replace(
        b" */", b"".join(b",a%d=" % each for each in range(FIELD_COUNT)) + b" */\0"
    ),
)
UPLOAD_BYTES = 4  # in each non-idempotent statement of the cluster's own clients
HALF_QUERY = pg.frame(b"Q", read_statement("half") + b"\0")[:30]


def connect(cluster: Cluster, name: str, data: bytes) -> socket.socket:
    """Connect to an agent and send data after the startup message."""
    host, _, port = cluster.listen[name].rpartition(":")
    client = socket.create_connection((host, int(port)))
    client.sendall(STARTUP + data)
    return client


def first_reply(client: socket.socket) -> bytes:
    """Return the type of the first message that follows the startup's."""
    stream = client.makefile("rb")
    started = False
    while True:
        kind, length = stream.read(1), int.from_bytes(stream.read(4))
        stream.read(length - 4)
        if started or not kind:
            return kind
        started = kind == b"Z"


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


# Guards against an agent that answered nobody while it parsed long lines, or while others stopped halfway.
@pytest.mark.parametrize(
    ("count", "data"),
    [(1, LINE_OF_BLANKS), (BAD_CLIENTS, HALF_QUERY), (BAD_CLIENTS, MANY_FIELDS)],
    ids=["blanks", "half", "fields"],
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
        same = statement(request, "order", upload=UPLOAD_BYTES).replace(b" */", b",op=shared */")
        assert isinstance(parse(same), Statement)
        with connect(cluster, "n0", pg.frame(b"Q", same + b"\0")):
            time.sleep(0.1)  # until the agent has read the statement
        cluster.kill("n2")
        cluster.servers(let_go=True)
        assert cluster.wait("answered", since=since, id=request)["what"] == "served"
        restart(cluster, "n2")
        assert count_runs(cluster, "shared") == 1


# Guards against a client that is served the answer of another client's request, as it sent its id.
@pytest.mark.parametrize("asked", ["n0", "n1"], ids=["at its member", "at another member"])
@pytest.mark.parametrize("open_meanwhile", [True, False], ids=["open", "answered"])
def test_another_statement_with_the_id_of_a_request_gets_an_error(
    tmp_path: Path, asked: str, open_meanwhile: bool
) -> None:
    with running(tmp_path) as cluster:
        cluster.servers(hold=["order"] if open_meanwhile else [])
        since, request = cluster.now, cluster.ask("n0", "shared")
        cluster.wait("ran", op="shared")
        if not open_meanwhile:
            cluster.wait("answered", since=since, id=request)
        other = write_statement(request, 1500).replace(b" */", b",op=shared,r=1 */")
        with connect(cluster, asked, pg.frame(b"Q", other + b"\0")) as bad:
            time.sleep(0.2)  # until the member has polled the others
            cluster.servers(let_go=True)
            assert cluster.wait("answered", since=since, id=request)["what"] == "served"
            assert first_reply(bad) == b"E"
        assert count_runs(cluster, "shared") == 1
        assert cluster.query("n2", "shared", 2) == "served"


@contextmanager
def running_alone(directory: Path) -> Iterator[Cluster]:
    """Run agents without a group until they serve."""
    cluster = Cluster(directory, agents=3, servers=2, group=False)
    try:
        cluster.open()
        cluster.start()
        cluster.start_clients(rate=0)
        for name in cluster.names:
            while cluster.query(name, f"ready-{name}-{cluster.now}") != "served":
                time.sleep(0.05)
        yield cluster
    finally:
        cluster.close()


# Guards against an id that ran twice, when it came again after its client had left.
@pytest.mark.parametrize(
    "start",
    [partial(running, expect_clean=False), running_alone],  # the history lacks what this test's clients ask
    ids=["group", "alone"],
)
@pytest.mark.parametrize("mark", [b"", b",r=1"], ids=["unmarked", "marked"])
@pytest.mark.parametrize("is_held", [True, False], ids=["held", "ran"])
def test_an_id_does_not_run_again_after_its_client_has_left(
    tmp_path: Path, start: Callable[[Path], AbstractContextManager[Cluster]], mark: bytes, is_held: bool
) -> None:
    text = write_statement("again", 1500).replace(b" */", b",op=again */")
    with start(tmp_path) as cluster:
        cluster.servers(hold=["order"] if is_held else [])
        with connect(cluster, "n0", pg.frame(b"Q", text + b"\0")):
            cluster.wait("ran", op="again")
        time.sleep(0.3)  # until the agent has handled the end of the connection
        with connect(cluster, "n0", pg.frame(b"Q", text.replace(b" */", mark + b" */") + b"\0")) as client:
            time.sleep(0.2)
            cluster.servers(let_go=True)
            assert first_reply(client)
        assert count_runs(cluster, "again") == 1


# Guards against the same where the answer comes from a copy, as the member that had it is away.
def test_another_statement_with_the_id_of_a_request_is_not_served_from_a_copy(tmp_path: Path) -> None:
    with running(tmp_path, copies={"kept": 3, "acknowledged": 2}) as cluster:
        assert cluster.query("n0", "shared") == "served"
        cluster.kill("n0")
        other = write_statement("other", 1500).replace(b" */", b",op=shared,r=1 */")
        with connect(cluster, "n1", pg.frame(b"Q", other + b"\0")) as bad:
            assert first_reply(bad) == b"E"
        assert cluster.query("n1", "shared", 2) == "served"
        assert count_runs(cluster, "shared") == 1
        restart(cluster, "n0")
