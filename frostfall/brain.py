"""Every decision of frostfall. Its events, actions and settings are in frostfall/interface.py.

Sans-I/O: `Brain.start` and `Brain.handle` take the clock and an event and return actions. An instance shares
nothing with others, draws randomness from its seed alone and never iterates over a set.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict, deque
from zlib import crc32

from frostfall import interface as api
from frostfall.interface import Availability, Effect, Outcome, Phase, Verdict, VoteReply
from frostfall.linalg import second_eigenvalue
from frostfall.state import Attempt, Ballot, Known, Request, Test

# ---- constants: time in microseconds -----------------------------------------------------------------------
BEAT, BEATS_PER_TICK = 50_000, 4  # housekeeping, short against any aim; the design's tick is 200 ms
ALPHA, BETA = 0.05, 0.05  # the design's chances of a wrong 'on' and, shared out among the agents, 'back'
MARGIN = 0.05  # the design's p1 - p0
LATE_AIMS, LATE_TIMES = 1.5, 2.5  # an answer is late over so many aims, or usual times of its class
LATE_MARGIN = 0.2  # p1 - p0 for lateness: wide, as unequal load on the machines makes some
LATE_MEMORY, LATE_LEAST = 3e6, 15.0  # lateness is held against enough answers of the same moment
SETTLE = 5_000_000  # the design: younger machines may still be slow
TIMED_ON = 0  # the design waits 2 s after the least stage time; a vote stands, so waiting only costs delay
LEAST_POOLED = 10  # the design: outcomes that a vote needs
PRIOR_BAD, PRIOR_WEIGHT = 0.01, 50.0  # p0 before outcomes, and how many outcomes it is worth: keeps p0 off 0
FLAG_FLOOR = 0.003  # disputes of right answers that are always reckoned with
MEMORY = 200.0  # outcomes that p0 remembers; counted, not timed, so that it stands when no old server is left
HEARD_LIFE = 3  # ticks that a peer's term may be reused before its weight goes back to self
COLD_USE = 0.8  # part of the cold budget we use: leaves room for chance and for heavy requests
COLD_LEAST = 0.3  # sends per second that a cold server gets of each agent though it has nothing served yet
KEEN = 4.0  # a server is drawn with odds of its cost to minus this power
EAGER = 0.25  # doublings of load by which a trial build is preferred, as delay has a price; where old servers
# stay, more in step with the new ones that run, for a few machines cannot take much more than their share
FORGET, STALE = 3_000_000, 500_000  # what is known of a server's speed, or its load, fades to the fleet's
ANSWER_EARLY = 10_000  # a request is concluded so long before its deadline
RETRY_SHARE, RETRY_DEPTH = 0.15, 6.0  # further attempts per request taken, and how many may be saved up
OVERDUE = 3.0  # usual answer times after which an open attempt speaks against its server
SHUN_FIRST, SHUN_MOST = 300_000, 4_000_000  # how long an unreachable server is left alone, doubling
PROBE_PERIOD = 1_000_000  # per server, where load is told to probes alone: under a point in the listed prices
FILL, SPARE = 0.6, 0.3  # of the aim: how long answers may take; of what may be open: kept for the worthiest


def links(agents: int) -> list[list[int]]:
    """Every agent's peers: two ring neighbours and two hashed links, made symmetric; the same everywhere."""
    near: list[set[int]] = [set() for _ in range(agents)]
    for i in range(agents):
        for j in ((i + 1) % agents, *(crc32(f"{i}/{k}".encode()) % agents for k in range(2))):
            if i != j:
                near[i].add(j)
                near[j].add(i)
    return [sorted(each) for each in near]


def weights(agents: int) -> list[list[float]]:
    """The weight matrix: 1 / (1 + the larger end degree) a link, the rest on self."""
    near = links(agents)
    matrix = [[1.0 / (1 + max(len(near[i]), len(near[j]))) if j in near[i] else 0.0 for j in range(agents)]
              for i in range(agents)]
    for i, row in enumerate(matrix):
        row[i] = 1.0 - sum(row)
    return matrix


def evidence(bad: bool, p0: float, margin: float) -> float:
    """Log-likelihood ratio of one outcome: bad share p0 against p0 + margin; below zero speaks for bad."""
    return math.log(p0 / (p0 + margin)) if bad else math.log((1 - p0) / (1 - p0 - margin))


def divergence(p1: float, p0: float) -> float:
    """Mean log-likelihood ratio of one outcome with bad share p1 against p0."""
    return p1 * math.log(p1 / p0) + (1 - p1) * math.log((1 - p1) / (1 - p0))


def threshold(error: float, agents: int, r: float, m: float) -> float:
    """The design's bound on the mixed score for one error chance (the paper's Theorem 4.1)."""
    k = agents * r * r
    miss = -math.expm1(-agents * max(m, 1e-6) / (4 * (k + 1)))  # m near 0 would ask for an endless band
    return 8 * (k + 1) / (7 * agents) * (math.log(2 / error) - math.log(miss))


class Brain:
    """One agent."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Take the settings; nothing is known of the fleet yet."""
        self.set, self.agents = settings, max(settings.agents, settings.agent + 1)
        self.rollout, self.limits, self.rules = settings.rollout, settings.limits, settings.rules
        self.random, self.probing = random.Random(seed), settings.load_by_probe and settings.limits.probes
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.now, self.actions = 0, list[api.Action]()
        self.servers: dict[int, Known] = {}
        self.requests: dict[str, Request] = {}
        self.held: dict[str, None] = {}  # requests with no server to go to yet, in order
        self.beats, self.rate, self.eager = 0, 0.0, EAGER  # the rate: requests served per second
        self.norms: dict[int, tuple[float, float]] = {}  # by build: mean errors and slowness of its machines
        self.retry_tokens = RETRY_DEPTH
        self.mean_time: dict[str, float] = {}  # answer time by class
        self.mean_hint: dict[str, float] = {}
        self.usual, self.open, self.crowd = 0.0, 0, 1.0  # answer time; attempts out; mean load of a server
        self.ask_backoff, self.ask_at = SHUN_FIRST, 0
        # exposure
        self.news: api.RolloutNews | None = None
        self.taken: defaultdict[str, deque[int]] = defaultdict(deque)
        self.exposed: defaultdict[tuple[int, str], deque[int]] = defaultdict(deque)
        self.restarts: list[int] = []
        self.answered_by: dict[str, int] = {}  # one-way keys
        # the test
        self.matrix = weights(self.agents)
        self.peers = links(self.agents)[settings.agent]
        self.r = second_eigenvalue(self.matrix)
        self.failures: dict[tuple[int, str], list[float]] = {}  # by build, class: outcomes, failed, all ever
        self.flags: dict[int, int] = {}  # answers disputed, by build
        self.lateness: dict[int, list[float]] = {}  # by build: answers, late ones, when last counted
        self.test: Test | None = None
        self.ballot: Ballot | None = None

    # ---- events ------------------------------------------------------------------------------------------

    def start(self, now: int) -> list[api.Action]:
        """The first actions of a new instance."""
        return self.handle(now, api.TimerFired("beat"))

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Answer one event."""
        self.now, self.actions = now, []
        match event:
            case api.RequestArrived():
                self._arrive(event)
            case api.AttemptEnded():
                self._ended(event)
            case api.TimerFired(token="beat"):
                self._beat()
            case api.TimerFired() if request := self.requests.get(event.token):
                self._give_up(request)
            case api.PeerMessage():
                self._hear(event)
            case api.ServersListed():
                self._listed(event)
            case api.RolloutNews():
                self._news(event)
            case api.ProbeEnded():
                self._probed(event)
            case api.AnswerDisputed():
                self._disputed(event)
            case api.StreamStarted() if request := self.requests.get(event.request):
                request.streaming = True
            case api.ClientLeft() if request := self.requests.get(event.request):
                self._close(request)
            case _:  # tallies sample the outcomes that the agents pool: counting them would be counting twice
                pass
        return self.actions

    def _act(self, action: api.Action) -> None:
        self.actions.append(action)

    def _beat(self) -> None:
        self._act(api.SetTimer(BEAT, "beat"))
        self.beats += 1
        self.rate *= math.exp(-BEAT / 2e6)
        on_top = self.rollout is not None and self.rollout.keeps_old_servers
        up = [s for s in self.servers.values() if s.info.availability is Availability.UP]
        count, builds = max(len(up), 1), defaultdict[int, list[Known]](list)
        for server in up:
            builds[server.info.build].append(server)
        self.norms = {build: (sum(s.errors for s in each) / len(each), sum(s.slow for s in each) / len(each))
                      for build, each in builds.items()}
        new = len(builds.get(self.test.key[0], ())) if self.test else 0
        self.eager = EAGER * (1 + 8 * new / count if on_top else 1)
        earned = max(COLD_USE * self.rules.fall_multiple * self.rate / count, COLD_LEAST) * BEAT / 1e6
        self.crowd = sum(map(self._load, up)) / count or 1.0
        others = sum(s.others for s in up) / count
        for server in self.servers.values():
            # Danger: agents together push a cold server over. Our part of what a server carries (served: more
            # may be asked than can be done), times its least capacity now, is safe if all keep to theirs.
            server.credit = min(server.credit + earned * self._capacity(server), 1.0)
            # Danger: a server that looks bad gets nothing, so nothing corrects the look.
            server.errors -= server.errors * BEAT / FORGET
            server.slow += (1 - server.slow) * BEAT / FORGET
            server.others += (others - server.others) * BEAT / STALE
            if self.probing and self.now - server.probed_at >= PROBE_PERIOD:
                server.probed_at = self.now - self.random.randrange(BEAT)
                self._act(api.ProbeServer(server.info.id))
        for name in list(self.held):
            if request := self.requests.get(name):
                self._place(request)
        if self.beats % BEATS_PER_TICK == 0 and self.test:
            self._tick(self.test)
        if self.set.must_subscribe and self.now >= self.ask_at:
            self.ask_at = self.now + self.rules.ask_within
            self._act(api.Subscribe())

    # ---- the server list ---------------------------------------------------------------------------------

    def _listed(self, event: api.ServersListed) -> None:
        if event.kind is api.ListKind.FAILED:
            # Danger: without a subscription we send to servers that have left. Ask again, ever more slowly.
            self.ask_at = self.now + self.ask_backoff + self.random.randrange(100_000)
            self.ask_backoff = min(self.ask_backoff * 2, SHUN_MOST)
            return
        self.ask_backoff, listed = SHUN_FIRST, {info.id for info in event.servers}
        if event.kind is not api.ListKind.CHANGES:
            self.servers = {name: s for name, s in self.servers.items() if name in listed}
        for info in event.servers:
            old = self.servers.get(info.id)
            if info.availability is Availability.REMOVED:
                self.servers.pop(info.id, None)
            elif old and (old.info.started_at, old.info.build) == (info.started_at, info.build):
                old.info = info
            else:
                self.servers[info.id] = Known(info)

    def _age(self, server: Known) -> int:
        return self.now - server.info.started_at if server.info.started_at else 1 << 60

    def _capacity(self, server: Known) -> float:
        """The least share of its full capacity that a server can have by now."""
        warm = min(1.0, max(0.0, self._age(server) / max(self.rules.warm_up, 1)))
        return self.rules.cold_share + (1 - self.rules.cold_share) * warm

    # ---- guards: every send and refusal passes here, whatever policy chose it ----------------------------

    def _may_send(self, request: Request, server: Known) -> bool:
        kind, tries, info = request.kind, request.attempts, server.info
        if (request.done or self.now >= request.event.deadline or len(tries) >= self.limits.max_attempts
                or info.availability is not Availability.UP or self.servers.get(info.id) is not server):
            return False
        parallel = self.limits.parallel_attempts and kind.effect is Effect.SAFE
        if not parallel and any(earlier.outcome is None for earlier in tries):
            return False
        if not all(self._repeatable(kind, earlier, info) for earlier in tries if earlier.may_have_run):
            return False
        if self._age(server) < self.rules.warm_up and server.credit < 1:
            return False
        return self._within_exposure(request, server.info.build)

    def _repeatable(self, kind: api.RequestClass, earlier: Attempt, target: api.Server) -> bool:
        if kind.effect is not Effect.KEYED:
            return kind.effect is Effect.SAFE
        first = earlier.server.info
        same = {api.KeyGroup.ALL: True, api.KeyGroup.ZONE: first.zone == target.zone,
                api.KeyGroup.CELL: first.cell == target.cell}[kind.key_group]
        return same and self.now - earlier.sent_at < kind.key_ttl

    def _may_refuse(self, request: Request) -> bool:
        harmless = request.kind.effect is Effect.KEYED and request.kind.key_group is api.KeyGroup.ALL
        harmless = harmless or request.kind.effect is Effect.SAFE
        return harmless or not any(attempt.may_have_run for attempt in request.attempts)

    def _on_trial(self, build: int) -> bool:
        news = self.news if self.rollout else None
        return news is not None and build >= news.build + (news.phase is Phase.RELEASED)

    def _within_exposure(self, request: Request, build: int) -> bool:
        rollout, news = self.rollout, self.news
        if rollout is None:
            return True
        if news is None:  # not told yet what is on trial: only the lowest build cannot be
            return build == min(s.info.build for s in self.servers.values())
        bound = rollout.one_way and news.phase in (Phase.TRIAL, Phase.RELEASED)
        if bound and build < self.answered_by.get(request.event.key or "", 0):
            return False
        if not self._on_trial(build):
            return True
        stage, cap = (news.stage, news.cap) if build == news.build else (0, rollout.stage_caps[0])
        if cap <= 0 or (stage < rollout.closed_stages and request.kind.effect is not Effect.SAFE):
            return False
        # A lowered cap binds here at once, and the requests taken before its grace are then forgotten.
        while self.restarts and self.now >= self.restarts[0]:
            self.restarts.pop(0)
            self.taken.clear()
        logs = self.taken[request.group], self.exposed[build, request.group]
        for log in logs:
            while log and log[0] < self.now - rollout.window:
                log.popleft()
        return len(logs[1]) + 1 <= rollout.free_attempts + cap * len(logs[0])

    def _send(self, request: Request, server: Known) -> None:
        """Send, if the guards allow it: the only place where an attempt begins."""
        name = request.event.request
        if not self._may_send(request, server):
            raise AssertionError(f"policy chose to send {name} where the guards forbid it")
        self.exposed[server.info.build, request.group].append(self.now)
        server.credit = max(server.credit - 1, 0.0)
        self.open += 1
        attempt = Attempt(server, self.now, max(1.0, self._load(server) / self.crowd))
        server.out[name, len(request.attempts)] = self.now
        request.attempts.append(attempt)
        self._act(api.SendAttempt(name, server.info.id, self._timeout(request)))

    def _give_up(self, request: Request) -> None:
        """The final answer of a request that is not served: refused where that is true, else failed."""
        if request.done or request.streaming:
            return
        self._cancel(request)
        wait = min(self.limits.max_retry_after, request.kind.aim // 2) * self.limits.retry_after
        refuse, name = self._may_refuse(request), request.event.request
        self._act(api.Refuse(name, wait) if refuse else api.Fail(name))
        self._close(request)

    def _cancel(self, request: Request) -> None:
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None and self.limits.may_cancel and not request.streaming:
                self._act(api.CancelAttempt(request.event.request, number))

    def _close(self, request: Request) -> None:
        request.done = True
        self.held.pop(request.event.request, None)
        if all(attempt.outcome is not None for attempt in request.attempts):
            self.requests.pop(request.event.request, None)

    # ---- the path of a request ---------------------------------------------------------------------------

    def _arrive(self, event: api.RequestArrived) -> None:
        kind = self.kinds.get(event.class_name)
        if kind is None:  # a class that the settings do not name: the least that can be promised
            left = event.deadline - self.now
            kind = api.RequestClass(event.class_name, Effect.UNSAFE, api.KeyGroup.ALL, 0, left, left, 0.0)
        group = kind.name if self.rollout and self.rollout.per_class else ""
        request = self.requests[event.request] = Request(event, kind, self.now, group)
        self.retry_tokens = min(self.retry_tokens + RETRY_SHARE, RETRY_DEPTH)
        self.taken[group].append(self.now)
        mean = self.mean_hint.setdefault(kind.name, float(event.hint or 0))
        self.mean_hint[kind.name] += 0.02 * ((event.hint or mean) - mean)
        self._act(api.SetTimer(max(event.deadline - self.now - ANSWER_EARLY, 0), event.request))
        self._place(request)

    def _room(self, request: Request) -> bool:
        # Danger: when more is asked than can be served, all answers come late. So no more is kept open than
        # is served in a part of the aim (Little's law), and the least worthy class finds no room first.
        best = max((kind.worth for kind in self.set.classes), default=1.0)
        fit = max(self.rate * FILL * request.kind.aim / 1e6 + 2, len(self.servers) / 2)
        return self.open < fit * (1 - SPARE + SPARE * request.kind.worth / max(best, 1e-9))

    def _place(self, request: Request) -> None:
        """Send to the best server that the guards allow, or hold the request for a while."""
        most = self.limits.max_attempts
        options = [s for s in self.servers.values() if s.shunned_until <= self.now
                   and self._may_send(request, s)] if self._room(request) else []
        if options:
            self.held.pop(request.event.request, None)
            lean = self._lean()  # once for all servers: it costs a band
            preferred = [s for s in options if self._wanted(request, s, lean)] or options
            # Danger: many agents with the same late reports all rush to the server that looks idle.
            odds = [self._cost(request, s, lean) ** -KEEN for s in preferred]
            self._send(request, self.random.choices(preferred, odds)[0])
        elif self.now - request.arrived_at < request.kind.aim // 3 and len(request.attempts) < most:
            self.held[request.event.request] = None
        else:
            self._give_up(request)

    def _lean(self) -> float:
        """The worst mixed score's place in its band, from -1 (back) to 1 and more (on)."""
        scored = zip(self.test.score if self.test else (), self._bands())
        places = [score / upper if score > 0 else -score / lower for score, (upper, lower) in scored]
        return max(-1.0, min(places, default=0.0))

    def _short(self) -> bool:
        return self.test is not None and self.test.count * self.agents < LEAST_POOLED

    def _wanted(self, request: Request, server: Known, lean: float) -> bool:
        """Whether the build's score so far lets this request go to it by choice."""
        build, news = server.info.build, self.news
        if news is None or not self._on_trial(build):
            return True
        # Danger: if a low score stopped the traffic before a vote has its outcomes, there would be no vote.
        if news.phase is not Phase.TRIAL or (lean <= -1 and not self._short()):
            return False
        return request.kind.effect is Effect.SAFE or (build == news.build and news.stage > 0)

    def _load(self, server: Known) -> float:
        return (1.0 + len(server.out) + server.others) / max(server.info.size, 0.1)

    def _cost(self, request: Request, server: Known, lean: float) -> float:
        """Expected time there: queue, speed, errors, the way to it, and what its build has scored."""
        info = server.info
        cost = self._load(server)
        # Danger: shunning a failing trial build would end the evidence on it, and shunning only the failing
        # machines of the earlier one would flatter p0. So a machine is held against others of its build.
        errors, slow = self.norms.get(info.build, (0.0, 1.0))
        cost *= server.slow / slow / (1.0 - min(max(server.errors - errors, 0.0), 0.9)) ** 2
        trial = self.test is not None and info.build == self.test.key[0]
        if trial:
            cost *= 2.0 ** -(self.eager * (1 + min(lean, 1.0)))
        if not (trial and self._short()):
            cost /= self._capacity(server)
        if server.out and self.usual:  # Danger: a lost, stuck or slow server looks idle to its list.
            overdue = (self.now - min(server.out.values())) / self.usual / OVERDUE
            cost *= min(max(overdue, 1.0), 10.0)
        if info.zone != self.set.zone:
            cost *= 1 + 5 * self.set.prices.cross_zone
        if request.event.key and self.rollout and self.rollout.warm_keys:
            cost *= 0.85 + 0.3 * crc32(f"{request.event.key}/{info.id}".encode()) / 2**32
        return cost

    def _timeout(self, request: Request) -> int:
        """A further attempt must be possible and affordable for the first to be cut short."""
        kind, left = request.kind, request.event.deadline - self.now
        if kind.effect is Effect.UNSAFE or kind.name not in self.mean_time or self.retry_tokens < 1:
            return left
        return min(left, int(max(6 * self.mean_time[kind.name], 0.7 * kind.aim)))

    def _ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or request.attempts[event.attempt].outcome is not None:
            return
        attempt = request.attempts[event.attempt]
        attempt.outcome = event.outcome
        attempt.server.out.pop((event.request, event.attempt), None)
        self.open -= 1
        self._learn(request, attempt, event)
        self._judge(request, attempt, event)
        if event.final or request.done:
            key, build = request.event.key, attempt.server.info.build
            if event.outcome is Outcome.SUCCESS and key and self._on_trial(build):
                self.answered_by[key] = build
            self._cancel(request)
            self._close(request)
        elif all(earlier.outcome is not None for earlier in request.attempts):
            self._again(request, event.outcome)

    def _again(self, request: Request, outcome: Outcome) -> None:
        """A further attempt where class, time and budget allow; else the answer at once."""
        allowed = outcome.never_ran or request.kind.effect is not Effect.UNSAFE
        if not allowed or request.event.deadline - self.now < ANSWER_EARLY or self.retry_tokens < 1:
            self._give_up(request)
        else:
            self.retry_tokens -= 1.0 if outcome is not Outcome.UNREACHABLE else 0.2
            self._place(request)

    # ---- health ------------------------------------------------------------------------------------------

    def _learn(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        server, name = attempt.server, request.kind.name
        if event.outcome is Outcome.UNREACHABLE:
            server.shun = min(max(server.shun * 2, SHUN_FIRST), SHUN_MOST)
            server.shunned_until = self.now + server.shun
            return
        if event.outcome in (Outcome.SUCCESS, Outcome.ERROR, Outcome.OVERLOADED):
            server.heard_at, server.shun = self.now, 0
            server.shunned_until = self.now + SHUN_FIRST * (event.outcome is Outcome.OVERLOADED)
        if event.outcome in (Outcome.SUCCESS, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET):
            server.errors += 0.15 * ((event.outcome is not Outcome.SUCCESS) - server.errors)
        self.rate += 0.5 * (event.outcome is Outcome.SUCCESS)
        if event.outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            times = event.elapsed / max(self._usual(request), 1.0)
            server.slow += 0.07 * (min(max(times, 0.3), 8.0) - server.slow)
            mean = self.mean_time.setdefault(name, float(event.elapsed))
            self.mean_time[name] += 0.03 * (event.elapsed - mean)
            self.usual += 0.03 * (event.elapsed - self.usual)
        self._report(server, event.load)

    def _usual(self, request: Request) -> float:
        """How long an answer of this class, and of this work where it is hinted, has taken of late."""
        name, hint = request.kind.name, request.event.hint
        work = min(max(hint / max(self.mean_hint[name], 1.0), 0.3), 3.0) if hint else 1.0
        return work * self.mean_time.get(name, request.kind.aim / 2)

    def _report(self, server: Known, load: api.Load | None) -> None:
        if load and (held := load.held if load.held is not None else load.queued) is not None:
            server.others += 0.5 * (max(0.0, held - len(server.out)) - server.others)

    def _probed(self, event: api.ProbeEnded) -> None:
        server = self.servers.get(event.server)
        if server and event.outcome is Outcome.SUCCESS:
            server.heard_at = self.now
            self._report(server, event.load)
        elif server and event.outcome is Outcome.UNREACHABLE:
            server.shunned_until = self.now + PROBE_PERIOD

    # ---- the mechanism: consensus+innovations SPRT -------------------------------------------------------

    def _news(self, news: api.RolloutNews) -> None:
        old = self.news
        if news.reply in (VoteReply.NONE, VoteReply.COUNTED):
            if old and news.cap < old.cap:
                self.restarts.append(self.now + self.rules.drain_grace)
            self.news = news
            key = (news.build, news.stage if news.phase is Phase.TRIAL else -1)
            if news.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
                self.test = None
            elif self.test is None or self.test.key != key:
                self.test = Test(key, self.now - news.age)
            if old is None or (old.build, old.stage, old.phase) != (news.build, news.stage, news.phase):
                self._act(api.Log(f"build {news.build} stage {news.stage} {news.phase.name} cap {news.cap}"))
        if news.reply in (VoteReply.OVERLOADED, VoteReply.ERROR, VoteReply.UNKNOWN) and self.ballot:
            self.ballot.renew_at = self.now + 300_000 + self.random.randrange(500_000)

    def _earlier(self) -> int:
        return max((b for b, _ in self.failures if self.test and b < self.test.key[0]), default=-1)

    def _p0(self, name: str | None) -> float:
        """The earlier build's smoothed share of failures, of a class (leaning on that of all) or of all."""
        build = self._earlier()
        rows = {cls: row for (b, cls), row in self.failures.items() if b == build}
        total, bad = sum(row[0] for row in rows.values()), sum(row[1] for row in rows.values())
        p0, row = (bad + PRIOR_BAD * PRIOR_WEIGHT) / (total + PRIOR_WEIGHT), rows.get(name or "", [0.0, 0.0])
        return min((row[1] + p0 * PRIOR_WEIGHT) / (row[0] + PRIOR_WEIGHT), 0.9 - MARGIN)

    def _p0_late(self) -> float | None:
        """The earlier build's share of late answers now; None where it gives too few to compare with."""
        answers, late, at = self.lateness.get(self._earlier(), (0.0, 0.0, 0.0))
        if answers * math.exp((at - self.now) / LATE_MEMORY) < LATE_LEAST:
            return None
        return min((late + 1) / (answers + 10), 0.9 - LATE_MARGIN)

    def _streams(self, name: str | None = None) -> list[tuple[float, float] | None]:
        # Failures, lateness and disputes, each with its p0 and p1 - p0, or None where it cannot be told.
        # Danger: in one sum, a build that errs in one way is covered by how well it does in the others.
        late, share = self._p0_late(), self.rollout.flag_share if self.rollout else 0.0
        return [(self._p0(name), MARGIN), (late, LATE_MARGIN) if late is not None else None,
                (self._p0_flag(), MARGIN * share) if share else None]

    def _bands(self) -> list[tuple[float, float]]:
        """The upper and the lower threshold of each stream; wide where there is nothing to test."""
        n, pace = self.agents, self.test.count / max(self.test.ticks, 1) if self.test else 0.0
        rates = [divergence(sum(stream), stream[0]) * pace if stream else 0.0 for stream in self._streams()]
        return [(threshold(ALPHA, n, self.r, m), -threshold(BETA / n, n, self.r, m)) for m in rates]

    def _judge(self, request: Request, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Turn one outcome into evidence on the trial build, or on the build that it is measured against."""
        server = attempt.server
        if event.outcome not in (Outcome.SUCCESS, Outcome.ERROR, Outcome.TIMED_OUT):
            return
        # Danger: a server that has said nothing since is lost or cut off; that tells nothing of its build.
        if event.outcome is Outcome.TIMED_OUT and server.heard_at <= attempt.sent_at:
            return
        build, failed, late = server.info.build, event.outcome is Outcome.ERROR, None
        if self._age(server) >= SETTLE and not failed:  # a cold machine is slow whatever its build
            # Danger: machines of the trial build that are sent more than others are slower for that alone.
            limit = min(LATE_AIMS * request.kind.aim, LATE_TIMES * self._usual(request) * attempt.crowding)
            late = event.elapsed > limit
            row = self.lateness.setdefault(build, [0.0, 0.0, float(self.now)])
            fade = math.exp((row[2] - self.now) / LATE_MEMORY)
            row[:] = [row[0] * fade + 1, row[1] * fade + late, self.now]
        if event.outcome is Outcome.TIMED_OUT and late is None:
            return
        row = self.failures.setdefault((build, request.kind.name), [0.0, 0.0, 0.0])
        row[:] = [row[0] * (1 - 1 / MEMORY) + 1, row[1] * (1 - 1 / MEMORY) + failed, row[2] + 1]
        if self.test and build == self.test.key[0] and not request.judged:
            request.judged = True  # Danger: one failing request, retried, would count again and again.
            self.test.outcomes += 1
            facts = (failed, late, None if failed else False)
            for k, (bad, stream) in enumerate(zip(facts, self._streams(request.kind.name))):
                self.test.innovation[k] += evidence(bad, *stream) if bad is not None and stream else 0.0

    def _disputed(self, event: api.AnswerDisputed) -> None:
        # Danger: a wrong answer counts as a good one when it comes; only a flag tells, and some flags err.
        server, test = self.servers.get(event.server), self.test
        if server is None or self._age(server) <= event.age:
            return  # it was another build's, or another start's
        self.flags[server.info.build] = self.flags.get(server.info.build, 0) + 1
        stream = self._streams()[2]
        if test and stream and server.info.build == test.key[0]:
            test.innovation[2] += evidence(True, *stream) - evidence(False, *stream)

    def _p0_flag(self) -> float:
        """The share of the earlier build's answers that were disputed, kept off zero."""
        build = self._earlier()
        answers = sum(row[2] for (b, _), row in self.failures.items() if b == build)
        return max((self.flags.get(build, 0) + 1) / (answers + 1 / FLAG_FLOOR), FLAG_FLOOR)

    def _hear(self, event: api.PeerMessage) -> None:
        """Danger: a peer on another build or stage, or a mangled message, must not reach the score."""
        if self.test is None or event.sender not in self.peers:
            return
        try:
            mark, build, stage, *numbers = event.text.split(" ")
            key = (int(build), int(stage))
            *scores, count = (float(number) for number in numbers)
        except ValueError:
            return
        sane = len(scores) == 6 and max(map(abs, scores)) < 1e4 and 0 <= count < 1e6
        if mark == "s" and key == self.test.key and sane:
            terms = [a + b for a, b in zip(scores[:3], scores[3:])]
            self.test.heard[event.sender] = (terms, count, self.test.ticks)

    def _tick(self, test: Test) -> None:
        me = self.set.agent
        own = [score + fresh for score, fresh in zip(test.score, test.innovation)]
        count = test.count + test.outcomes
        if self.limits.peers:
            numbers = " ".join(f"{number:.3f}" for number in (*test.score, *test.innovation, count))
            for peer in self.peers:
                self._act(api.TellPeer(peer, f"s {test.key[0]} {test.key[1]} {numbers}"))
        test.score, test.innovation, test.count, test.outcomes = [0.0] * 3, [0.0] * 3, 0.0, 0
        for j in (me, *self.peers):
            # Danger: a silent peer freezes its term. After a few ticks its weight goes back to our own.
            terms, counted, at = test.heard.get(j, (own, count, -HEARD_LIFE - 1))
            if j == me or test.ticks - at > HEARD_LIFE:
                terms, counted = own, count
            test.score = [score + self.matrix[me][j] * term for score, term in zip(test.score, terms)]
            test.count += self.matrix[me][j] * counted
        test.ticks += 1
        self._vote(test)

    def _vote(self, test: Test) -> None:
        rollout, trial = self.rollout, self.news is not None and self.news.phase is Phase.TRIAL
        if rollout is None:
            return
        place, age, bands = self._lean(), self.now - test.since, self._bands()
        verdict, pooled = Verdict.NONE, test.count * self.agents
        if pooled >= LEAST_POOLED and age >= rollout.least_stage_time:
            moves = trial and rollout.control is api.Control.VOTES
            timed = age >= rollout.least_stage_time + TIMED_ON and place > -0.5
            if place <= -1:
                verdict = Verdict.BACK
            elif moves and (place >= 1 or timed):
                verdict = Verdict.ON
            elif trial and not moves and place < -0.5:
                verdict = Verdict.HOLD
        # What was earned beyond the band must not hide a build that sours later.
        test.score = [min(score, band[0]) for score, band in zip(test.score, bands)]
        last = self.ballot if self.ballot and self.ballot.key == test.key else None
        stands, held = last.verdict if last else Verdict.NONE, last is not None and self.now < last.renew_at
        if (verdict is stands and held) or (verdict is Verdict.NONE and stands is not Verdict.HOLD):
            return
        if verdict is not stands:
            scores = ", ".join(f"{s:.2f} in {b[1]:.2f}..{b[0]:.2f}" for s, b in zip(test.score, bands))
            self._act(api.Log(f"vote {verdict.name} build {test.key[0]} stage {test.key[1]}: failures, late, "
                              f"disputes {scores}, {pooled:.0f} outcomes, p0 {self._p0(None):.3f}"))
        self._act(api.CastVote(test.key[0], max(test.key[1], 0), verdict))
        life = max(rollout.vote_life * 3 // 4, rollout.vote_timeout)
        self.ballot = Ballot(verdict, test.key, self.now + life)
