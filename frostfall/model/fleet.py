"""Many agents in virtual time, deterministic for a seed: each is a real `Brain`, all else is modelled.

The model is for what a whole fleet does together: calls and messages a second, attempts at one server by
all agents, how many turns a fact takes to be known everywhere. It has no sockets and no processor time, so it
says nothing about either; a message or an answer takes `way` one way.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

from frostfall import interface as api
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.model.servers import Server

Micros = int
SECOND: Micros = 1_000_000
START: Micros = 1_000 * SECOND  # the clock at the beginning: a Unix time, if an early one


@dataclass(slots=True)
class _Taken:
    """A request that an agent has taken."""

    agent: int
    deadline: Micros
    out: dict[int, int] = field(default_factory=dict)  # server by attempt, while it is out
    answered: bool = False


@dataclass(slots=True)
class Ledger:
    """What the fleet did, for checks."""

    answers: Counter[str] = field(default_factory=Counter)  # served, refused, failed, late
    messages: int = 0
    list_calls: list[tuple[Micros, int]] = field(default_factory=list)
    votes: list[tuple[Micros, int, api.CastVote]] = field(default_factory=list)
    errors: list[tuple[Micros, int, int]] = field(default_factory=list)  # when, agent, server
    twice: int = 0  # final answers beyond the first

    def peak_calls(self, window: Micros = SECOND) -> int:
        """List calls of all agents in the busiest window."""
        times = sorted(at for at, _ in self.list_calls)
        first = most = 0
        for last, at in enumerate(times):
            while times[first] <= at - window:
                first += 1
            most = max(most, last - first + 1)
        return most


class Fleet:
    """Agents, servers and what lies between them. `settings` is that of every agent but for its number."""

    def __init__(
        self, settings: api.Settings, servers: Iterable[Server], seed: int = 1, way: Micros = 1_000
    ) -> None:
        """With all agents started at once, and nothing asked yet."""
        self.now, self.way, self.random = START, way, random.Random(seed)
        self.settings, self.ledger = settings, Ledger()
        self.servers = {server.info.id: server for server in servers}
        self.news = api.RolloutState(1, 0, api.RolloutPhase.RELEASED, 1.0, 0, api.VoteReply.NONE)
        self.cut: Callable[[int, int], bool] = lambda sender, receiver: False  # whether a message is lost
        self.discovery_up = True
        self._heap: list[tuple[Micros, int, Callable[[], None]]] = []
        self._order = 0
        self._taken: dict[str, _Taken] = {}
        self._count = 0
        self._life = defaultdict[int, int](int)  # by agent: how often it has started
        self.agents: list[PolicyEngine] = []
        for number in range(settings.agents):
            self.agents.append(self._brain(number))
            self._start(number)

    # ---- time --------------------------------------------------------------------------------------

    def at(self, when: Micros, what: Callable[[], None]) -> None:
        """Let something happen at a time."""
        self._order += 1
        heapq.heappush(self._heap, (max(when, self.now), self._order, what))

    def run(self, span: Micros) -> None:
        """Let so much time pass."""
        end = self.now + span
        while self._heap and self._heap[0][0] <= end:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        self.now = end

    # ---- agents ------------------------------------------------------------------------------------

    def _brain(self, number: int) -> PolicyEngine:
        return PolicyEngine(replace(self.settings, agent=number), self.random.getrandbits(64))

    def _start(self, number: int) -> None:
        brain, life = self.agents[number], self._life[number]
        self._carry_out(number, life, brain.start(self.now))
        self.tell(number, api.ServerListUpdated(api.ServerListKind.CACHED, self.listing()))
        self.tell(number, self.news)

    def restart(self, numbers: Iterable[int]) -> None:
        """Kill these and start them anew: they know what a new agent is told."""
        for number in numbers:
            self._life[number] += 1
            for name in [name for name, taken in self._taken.items() if taken.agent == number]:
                del self._taken[name]
            self.agents[number] = self._brain(number)
            self._start(number)

    def tell(self, number: int, event: api.Event) -> None:
        """Hand one event to one agent and carry out what it decides."""
        self._carry_out(number, self._life[number], self.agents[number].handle(self.now, event))

    def tell_all(self, event: api.Event) -> None:
        """Hand one event to all agents."""
        for number in range(len(self.agents)):
            self.tell(number, event)

    def listing(self) -> tuple[api.Server, ...]:
        """The server list."""
        return tuple(server.info for server in self.servers.values())

    def relist(self) -> None:
        """Discovery tells all agents the whole list, as it is now."""
        self.tell_all(api.ServerListUpdated(api.ServerListKind.COMPLETE, self.listing()))

    def release(self, news: api.RolloutState) -> None:
        """The platform tells all agents."""
        self.news = news
        self.tell_all(news)

    def _carry_out(self, number: int, life: int, actions: Sequence[api.Action]) -> None:
        for action in actions:
            self._one(number, life, action)

    def _later(self, number: int, life: int, delay: Micros, event: api.Event) -> None:
        def arrive() -> None:
            if self._life[number] == life:
                self.tell(number, event)

        self.at(self.now + delay, arrive)

    def _one(self, number: int, life: int, action: api.Action) -> None:
        match action:
            case api.SetTimer(delay, token):
                self._later(number, life, delay, api.TimerFired(token))
            case api.SendGossip(peer, text):
                self.ledger.messages += 1
                if peer < len(self.agents) and not self.cut(number, peer):
                    self._later(peer, self._life[peer], self.way, api.GossipReceived(number, text))
            case api.WatchServerList():
                self.ledger.list_calls.append((self.now, number))
                kind = api.ServerListKind.COMPLETE if self.discovery_up else api.ServerListKind.FAILED
                listing = self.listing() if self.discovery_up else ()
                self._later(number, life, 2 * self.way, api.ServerListUpdated(kind, listing))
            case api.CastVote():
                self.ledger.votes.append((self.now, number, action))
                self._later(number, life, 2 * self.way, replace(self.news, reply=api.VoteReply.COUNTED))
            case api.SendAttempt(request, server, timeout):
                self._attempt(number, life, request, server, timeout)
            case api.CancelAttempt(request, attempt):
                taken = self._taken.get(request)
                if taken and attempt in taken.out:
                    gone = taken.out.pop(attempt)
                    ended = api.AttemptEnded(request, attempt, gone, api.Outcome.CANCELLED, 0, False)
                    self._later(number, life, 0, ended)
            case api.RejectRequest(request):
                self._answer(request, "refused")
            case api.FailRequest(request):
                self._answer(request, "failed")

    # ---- requests ----------------------------------------------------------------------------------

    def ask(self, number: int, kind: api.RequestClass) -> None:
        """A client's request reaches an agent."""
        self._count += 1
        name, deadline = f"q{self._count}", self.now + kind.deadline
        self._taken[name] = _Taken(number, deadline)
        self.tell(number, api.RequestArrived(name, kind.name, deadline))

    def traffic(self, rate: float, until: Micros, busy: Callable[[int], float] = lambda agent: 1.0) -> None:
        """Requests of all classes alike at random times, so many a second over all agents, some busier."""
        weights = [busy(agent) for agent in range(len(self.agents))]

        def arrive() -> None:
            (number,) = self.random.choices(range(len(weights)), weights)
            self.ask(number, self.random.choice(self.settings.classes))
            if self.now < until:
                self.at(self.now + int(self.random.expovariate(rate) * SECOND), arrive)

        self.at(self.now, arrive)

    def _answer(self, name: str, how: str) -> None:
        taken = self._taken.get(name)
        if taken is None:
            return
        if taken.answered:
            self.ledger.twice += 1
            return
        taken.answered = True
        self.ledger.answers["late" if self.now > taken.deadline and how == "served" else how] += 1

    def _attempt(self, number: int, life: int, request: str, name: int, timeout: Micros) -> None:
        taken, began, server = self._taken.get(request), self.now, self.servers.get(name)
        if taken is None:
            return
        place = self.agents[number].requests.get(request)
        attempt = len(place.attempts) - 1 if place else 0
        taken.out[attempt] = name
        ends = min(began + timeout, taken.deadline) if timeout else taken.deadline
        if server is None:
            outcome, when = api.Outcome.UNREACHABLE, began + 2 * self.way
        else:
            came = server.serve(began + self.way, number, self.random)
            outcome, when = (
                (api.Outcome.TIMED_OUT, ends)
                if came is None or came[1] + self.way > ends
                else (came[0], came[1] + self.way)
            )

        def end() -> None:
            if self._life[number] != life or taken.out.pop(attempt, None) is None:
                return  # its agent has gone, or the attempt was given up
            if outcome is api.Outcome.SUCCESS:
                self._answer(request, "served")
            elif outcome is api.Outcome.ERROR:
                self.ledger.errors.append((self.now, number, name))
            final, took = outcome is api.Outcome.SUCCESS, self.now - began
            load = api.LoadReport(in_flight=float(server.held(self.now))) if server and final else None
            self.tell(number, api.AttemptEnded(request, attempt, name, outcome, took, final, load))

        self.at(when, end)
