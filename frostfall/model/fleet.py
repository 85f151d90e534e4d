"""Simulation of many agents in virtual time, deterministic for a seed.

Each agent is a real `PolicyEngine`; servers, links, discovery and the rollout platform are simulated. The
model shows the behaviour of a whole fleet: calls and messages per second, attempts of all agents at one
server, and the time until a fact has reached every agent. Sockets and processor time are not modelled. A
message or an answer takes `one_way_delay`.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from frostfall import interface as api
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.model.event_queue import SECOND, EventQueue, Micros
from frostfall.model.fleet_statistics import (
    AttemptError,
    FleetStatistics,
    ListCall,
    RequestOutcome,
    Vote,
)
from frostfall.model.servers import QueueingServer

START: Micros = 1_000 * SECOND  # Unix time at which the virtual clock starts
ONE_WAY_DELAY: Micros = 1_000
INITIAL_ROLLOUT = api.RolloutState(1, 0, api.RolloutPhase.RELEASED, 1.0, 0, api.VoteReply.NONE)


@dataclass(slots=True)
class _Request:
    """A request that an agent has accepted."""

    agent: int
    deadline: Micros
    in_flight: dict[int, int] = field(default_factory=dict)  # server id by attempt number
    answered: bool = False


@dataclass(frozen=True, slots=True)
class _Attempt:
    """An attempt at a server, with its predetermined outcome."""

    agent: int
    incarnation: int
    request_name: str
    request: _Request
    number: int
    server: int
    started_at: Micros
    outcome: api.Outcome


class Fleet:
    """Agents and servers, the links between them, discovery and the rollout platform.

    All agents have the same `settings` except for the agent number.
    """

    def __init__(
        self,
        settings: api.Settings,
        servers: Iterable[QueueingServer],
        seed: int = 1,
        one_way_delay: Micros = ONE_WAY_DELAY,
        clock_errors: Mapping[int, Micros] | None = None,
    ) -> None:
        """Start all agents at the same time, without any requests.

        `clock_errors` maps an agent to the time by which its clock is ahead, in microseconds.
        """
        self.settings = settings
        self.servers = {server.info.id: server for server in servers}
        self.random = random.Random(seed)
        self.statistics = FleetStatistics()
        self.one_way_delay = one_way_delay
        self.is_cut: Callable[[int, int], bool] = lambda sender, receiver: False  # True: messages are lost
        self.discovery_up = True
        self.clock_errors: dict[int, Micros] = dict(clock_errors or {})
        self._rollout_state = INITIAL_ROLLOUT
        self._generations: dict[tuple[api.Server, ...], int] = {}  # by content of the server list
        self._queue = EventQueue(START)
        self._requests: dict[str, _Request] = {}
        self._incarnations = defaultdict[int, int](int)  # number of restarts by agent
        self.agents: list[PolicyEngine] = []
        for number in range(settings.agents):
            self.agents.append(self._new_agent(number))
            self._start(number)

    @property
    def now(self) -> Micros:
        """The virtual time in microseconds."""
        return self._queue.now

    def clock_of(self, number: int) -> Micros:
        """Return the time by an agent's own clock."""
        return self.now + self.clock_errors.get(number, 0)

    def schedule(self, due: Micros, callback: Callable[[], None]) -> None:
        """Run a callback at the given virtual time."""
        self._queue.schedule(due, callback)

    def run(self, duration: Micros) -> None:
        """Advance the virtual time by a duration, running all callbacks that are due."""
        self._queue.run(duration)

    def _new_agent(self, number: int) -> PolicyEngine:
        return PolicyEngine(replace(self.settings, agent=number), self.random.getrandbits(64))

    def _start(self, number: int) -> None:
        agent, incarnation = self.agents[number], self._incarnations[number]
        self._execute_all(number, incarnation, agent.start(self.clock_of(number)))
        self.deliver(number, self.server_list_event(api.ServerListKind.CACHED))
        self.deliver(number, self._rollout_state)

    def restart(self, numbers: Iterable[int]) -> None:
        """Kill these agents and start each of them again without the state that it had learned."""
        for number in numbers:
            self._incarnations[number] += 1
            lost = [name for name, request in self._requests.items() if request.agent == number]
            for name in lost:
                del self._requests[name]
            self.agents[number] = self._new_agent(number)
            self._start(number)

    def deliver(self, number: int, event: api.Event) -> None:
        """Deliver one event to one agent and execute the resulting actions."""
        actions = self.agents[number].handle(self.clock_of(number), event)
        self._execute_all(number, self._incarnations[number], actions)

    def deliver_to_all(self, event: api.Event) -> None:
        """Deliver one event to all agents."""
        for number in range(len(self.agents)):
            self.deliver(number, event)

    def server_list(self) -> tuple[api.Server, ...]:
        """Return the server list of discovery."""
        return tuple(server.info for server in self.servers.values())

    def server_list_event(self, kind: api.ServerListKind) -> api.ServerListUpdated:
        """Return an update with the current server list; each distinct content has its own generation."""
        servers = self.server_list()
        generation = self._generations.setdefault(servers, len(self._generations) + 1)
        return api.ServerListUpdated(kind, servers, generation)

    def publish_server_list(self) -> None:
        """Let discovery send the current server list to all agents."""
        self.deliver_to_all(self.server_list_event(api.ServerListKind.COMPLETE))

    def publish_rollout(self, state: api.RolloutState) -> None:
        """Let the platform send a rollout state to all agents."""
        self._rollout_state = state
        self.deliver_to_all(state)

    def _execute_all(self, number: int, incarnation: int, actions: Sequence[api.Action]) -> None:
        for action in actions:
            self._execute(number, incarnation, action)

    def _deliver_later(self, number: int, incarnation: int, delay: Micros, event: api.Event) -> None:
        def arrive() -> None:
            if self._incarnations[number] == incarnation:
                self.deliver(number, event)

        self.schedule(self.now + delay, arrive)

    def _execute(self, number: int, incarnation: int, action: api.Action) -> None:
        match action:
            case api.SetTimer(delay, token):
                self._deliver_later(number, incarnation, delay, api.TimerFired(token))
            case api.SendGossip(peer, text):
                self._send_gossip(number, peer, text)
            case api.WatchServerList():
                self._call_discovery(number, incarnation)
            case api.CastVote():
                self.statistics.votes.append(Vote(self.now, number, action.verdict))
                reply = replace(self._rollout_state, reply=api.VoteReply.COUNTED)
                self._deliver_later(number, incarnation, 2 * self.one_way_delay, reply)
            case api.SendAttempt(request, server, timeout):
                self._send_attempt(number, incarnation, request, server, timeout)
            case api.CancelAttempt(request, attempt):
                self._cancel_attempt(number, incarnation, request, attempt)
            case api.RejectRequest(request):
                self._answer(request, RequestOutcome.REJECTED)
            case api.FailRequest(request):
                self._answer(request, RequestOutcome.FAILED)

    def _send_gossip(self, sender: int, receiver: int, text: str) -> None:
        self.statistics.messages += 1
        if receiver < len(self.agents) and not self.is_cut(sender, receiver):
            event = api.GossipReceived(sender, text)
            self._deliver_later(receiver, self._incarnations[receiver], self.one_way_delay, event)

    def _call_discovery(self, number: int, incarnation: int) -> None:
        self.statistics.list_calls.append(ListCall(self.now, number))
        if self.discovery_up:
            reply = self.server_list_event(api.ServerListKind.COMPLETE)
        else:
            reply = api.ServerListUpdated(api.ServerListKind.FAILED, ())
        self._deliver_later(number, incarnation, 2 * self.one_way_delay, reply)

    def submit_request(self, number: int, request_class: api.RequestClass) -> None:
        """Deliver a new client request to an agent."""
        self.statistics.requests += 1
        name, deadline = f"q{self.statistics.requests}", self.now + request_class.deadline
        self._requests[name] = _Request(number, deadline)
        own_deadline = deadline + self.clock_errors.get(number, 0)
        self.deliver(number, api.RequestArrived(name, request_class.name, own_deadline))

    def generate_traffic(
        self, rate: float, until: Micros, weight: Callable[[int], float] = lambda agent: 1.0
    ) -> None:
        """Generate requests as a Poisson process, with a uniform choice among the request classes.

        `rate` is the total in requests per second; it is divided among the agents in proportion to `weight`.
        """
        weights = [weight(agent) for agent in range(len(self.agents))]

        def arrive() -> None:
            (number,) = self.random.choices(range(len(weights)), weights)
            self.submit_request(number, self.random.choice(self.settings.classes))
            if self.now < until:
                self.schedule(self.now + int(self.random.expovariate(rate) * SECOND), arrive)

        self.schedule(self.now, arrive)

    def _answer(self, name: str, outcome: RequestOutcome) -> None:
        request = self._requests.get(name)
        if request is None:
            return
        if request.answered:
            self.statistics.duplicate_answers += 1
            return
        request.answered = True
        if outcome is RequestOutcome.SERVED and self.now > request.deadline:
            outcome = RequestOutcome.LATE
        self.statistics.outcomes[outcome] += 1

    def _send_attempt(
        self, number: int, incarnation: int, name: str, server_id: int, timeout: Micros
    ) -> None:
        request = self._requests.get(name)
        if request is None:
            return
        tracked = self.agents[number].requests.get(name)
        attempt_number = len(tracked.attempts) - 1 if tracked else 0
        request.in_flight[attempt_number] = server_id
        expiry = min(self.now + timeout, request.deadline) if timeout else request.deadline
        outcome, end = self._outcome_of_attempt(number, server_id, expiry)
        attempt = _Attempt(number, incarnation, name, request, attempt_number, server_id, self.now, outcome)
        self.schedule(end, lambda: self._end_attempt(attempt))

    def _outcome_of_attempt(self, number: int, server_id: int, expiry: Micros) -> tuple[api.Outcome, Micros]:
        """Return the outcome of an attempt that is sent now, and the time at which it ends."""
        server = self.servers.get(server_id)
        if server is None:
            return api.Outcome.UNREACHABLE, self.now + 2 * self.one_way_delay
        reply = server.serve(self.now + self.one_way_delay, number, self.random)
        if reply is None or reply.at + self.one_way_delay > expiry:
            return api.Outcome.TIMED_OUT, expiry
        return reply.outcome, reply.at + self.one_way_delay

    def _end_attempt(self, attempt: _Attempt) -> None:
        cancelled = attempt.request.in_flight.pop(attempt.number, None) is None
        if cancelled or self._incarnations[attempt.agent] != attempt.incarnation:
            return
        server = self.servers.get(attempt.server)
        succeeded = attempt.outcome is api.Outcome.SUCCESS
        if succeeded:
            self._answer(attempt.request_name, RequestOutcome.SERVED)
        elif attempt.outcome is api.Outcome.ERROR:
            self.statistics.errors.append(AttemptError(self.now, attempt.agent, attempt.server))
        load = api.LoadReport(in_flight=float(server.in_flight(self.now))) if server and succeeded else None
        ended = api.AttemptEnded(
            attempt.request_name,
            attempt.number,
            attempt.server,
            attempt.outcome,
            self.now - attempt.started_at,
            succeeded,
            load,
        )
        self.deliver(attempt.agent, ended)

    def _cancel_attempt(self, number: int, incarnation: int, name: str, attempt: int) -> None:
        request = self._requests.get(name)
        if request is None or attempt not in request.in_flight:
            return
        server = request.in_flight.pop(attempt)
        ended = api.AttemptEnded(name, attempt, server, api.Outcome.CANCELLED, 0, False)
        self._deliver_later(number, incarnation, 0, ended)
