"""At-most-once execution of a request key through any router."""

import json
import time

import pytest

from skylarktally import _claims
from skylarktally import _errors
from skylarktally import _limits
from skylarktally import _loop
from tests import serving

PATH = '/v1/pools/desk/jobs/lien/work?seconds=0.2&bytes=5'


@pytest.fixture(params=['product', 'naive'])
def cell(request):
    with serving.Cell(naive=request.param == 'naive') as cell:
        for _ in range(2):
            cell.add_worker()
            cell.add_router()
        yield cell


@pytest.fixture
def product():
    with serving.Cell() as cell:
        cell.add_worker()
        for _ in range(2):
            cell.add_router()
        yield cell


def post(router, key, path=PATH, body=b''):
    headers = {'Idempotency-Key': key}
    return serving.call(router.serving_address, 'POST', path, body, headers)


def count_runs(cell):
    return sum(len(x.worker.runs) for x in cell.workers)


@pytest.mark.parametrize('routers', [(0, 1), (0, 0), (0, 1, 1, 0)])
@pytest.mark.parametrize('lost_answers', [0, 1, 2])
def test_same_key_at_the_same_time(cell, routers, lost_answers):
    """Guards against two runs of a key that is sent twice at once."""
    cell.table.lost_answers = lost_answers

    def check():
        replies = serving.run_all(
            [lambda i=i: post(cell.routers[i], 'k1') for i in routers]
        )
        assert count_runs(cell) <= 1
        outcomes = sorted(x.outcome for x in replies)
        assert outcomes[0] == 'complete'
        assert set(outcomes[1:]) == {'unknown'}

    cell.expect_failure_if_naive(check)


@pytest.mark.parametrize('second', [0, 1])
def test_same_key_later(cell, second):
    """Guards against a second run instead of the recorded response."""

    def check():
        first = post(cell.routers[0], 'k1')
        again = post(cell.routers[second], 'k1')
        assert count_runs(cell) == 1
        assert again.outcome == 'complete'
        assert (again.status, again.body) == (first.status, first.body)
        instance = 'Skylarktally-Instance'
        assert again.headers[instance] == first.headers[instance]

    cell.expect_failure_if_naive(check)


@pytest.mark.parametrize(
    'path, body', [(PATH, b'other'), (PATH.replace('0.2', '0.1'), b'')]
)
def test_key_of_another_request(product, path, body):
    """Guards against the response of another request with the same key."""
    post(product.routers[0], 'k1')
    reply = post(product.routers[1], 'k1', path, body)
    assert (reply.status, reply.outcome) == (409, 'not-run')
    assert count_runs(product) == 1


def test_request_that_cannot_be_sent_does_not_use_up_its_key(product):
    """Guards against a key that is refused after the outcome "not-run"."""
    connection = serving.connect(product.routers[0].serving_address)
    head = f'POST {PATH}\x7f HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\n'
    connection.sendall(head.encode() + b'Connection: close\r\n\r\n')
    answer = serving.read_all(connection)
    connection.close()
    assert answer.startswith(b'HTTP/1.1 400 ')
    assert b'Skylarktally-Outcome: not-run' in answer
    assert post(product.routers[0], 'k1').outcome == 'complete'


def issue(router):
    reply = serving.call(router.serving_address, 'POST', '/v1/request-keys')
    return json.loads(reply.body)['key']


def test_table_is_down(product):
    """Guards against runs without a claim, and refusals of issued keys."""
    product.table.down = True
    reply = post(product.routers[0], 'k1')
    assert (reply.status, reply.outcome) == (503, 'not-run')
    assert b'platform_unavailable' in reply.body
    assert count_runs(product) == 0
    key = issue(product.routers[0])
    # The second router forwards it to the issuer.
    replies = serving.run_all(
        [lambda r=r: post(r, key) for r in product.routers]
    )
    assert sorted(x.outcome for x in replies) == ['complete', 'unknown']
    assert post(product.routers[1], key).outcome == 'complete'
    assert count_runs(product) == 1
    product.table.down = False
    # The outcome of the refusal was "not-run", so the key stays valid.
    assert post(product.routers[0], 'k1').outcome == 'complete'


@pytest.mark.parametrize(
    'silent, table_down, paused, status, outcome, runs',
    [
        (True, False, 0, 200, 'complete', 1),
        # Of two routers, the one that does not respond is skipped.
        (True, False, 1, 200, 'complete', 1),
        (True, False, 2, 503, 'not-run', 0),
        (True, True, 0, 503, 'not-run', 0),
        # The platform responds that it is down, as it would to other zones.
        (False, False, 0, 503, 'not-run', 0),
    ],
)
def test_claim_of_a_zone_without_the_table(
    silent, table_down, paused, status, outcome, runs
):
    """Guards against refusals that another zone could have avoided."""
    with serving.Cell() as cell:
        cell.add_worker()
        cell.add_worker(zone='b')
        own = cell.add_router()
        others = [cell.add_router(zone='b') for _ in range(2)]
        own.claims._table = serving.FakeTable()
        own.claims._table.down = True
        own.claims._table.is_unresponsive = silent
        cell.table.down = table_down
        cell.peers.paused = {x.peer_address for x in others[:paused]}
        for router in others[:paused]:
            router.pipeline.application = lambda *_: _loop.sleep(60)
        for _ in range(2):
            start = time.monotonic()
            reply = post(own, 'k1')
            assert (reply.status, reply.outcome) == (status, outcome)
            assert count_runs(cell) == runs
            # A paused router does not delay a request that another can serve.
            assert paused == 2 or time.monotonic() - start < 1


@pytest.mark.parametrize('issued', [True, False])
def test_owner_is_gone(product, issued):
    """Guards against a second run when the first can't be ruled out."""
    key = issue(product.routers[0]) if issued else 'k1'
    if not issued:
        post(product.routers[0], key)
    before = count_runs(product)
    del product.peers.routers[0]
    reply = post(product.routers[1], key)
    assert reply.outcome == 'unknown'
    assert count_runs(product) == before


def test_pause_between_claim_and_dispatch():
    """Guards against a run after the deadline, reported as "not-run"."""
    with serving.Cell() as cell:
        cell.add_worker()
        router = cell.add_router()
        commit = cell.table.commit

        def pause(transaction):
            claimed = commit(transaction)
            _loop.sleep(0.3)
            return claimed

        cell.table.commit = pause
        headers = {'Idempotency-Key': 'k1', 'Skylarktally-Timeout-Ms': '200'}
        reply = cell.call('POST', PATH, b'', headers)
        assert (reply.status, reply.outcome) == (504, 'not-run')
        _loop.sleep(0.3)
        assert count_runs(cell) == 0
        # The owner knows that the request did not run.
        assert post(router, 'k1').outcome == 'complete'
        assert count_runs(cell) == 1


class TestClaims:
    """Decisions of the claims, with a manual clock."""

    def create(self, table=None, name='r1', incarnation=1):
        self.clock = serving.ManualClock()
        self.table = table or serving.FakeTable()
        owner = _claims.Owner(name, incarnation, f'peer-{name}')
        limits = _limits.ServingLimits()
        return _claims.Claims(self.table, self.clock, owner, limits)

    def read(self, claimed):
        return claimed.unwrap().status.value

    @pytest.mark.parametrize(
        'lost_answers, lost_commits, status',
        [
            (1, 0, 'granted'),
            # The row is absent, so the same transaction is sent again.
            (0, 1, 'granted'),
            (1, 1, 'granted'),
            (0, 2, 'granted'),
        ],
    )
    def test_lost_claims(self, lost_answers, lost_commits, status):
        claims = self.create()
        self.table.lost_answers = lost_answers
        self.table.lost_commits = lost_commits
        assert self.read(claims.claim('k1')) == status
        assert self.read(claims.claim('k1')) == 'held'

    def test_undecided_claim_is_not_run_and_is_granted_once(self):
        """Guards against two grants for a row of a claim that was refused."""
        claims = self.create()
        self.table.lost_answers = 1
        read, self.table.read = (
            self.table.read,
            lambda key: self.table._fail(
                _errors.ErrorKind.PLATFORM_UNAVAILABLE
            ),
        )
        failure = claims.claim('k1').failure()
        assert failure.kind.value == 'platform_unavailable'
        self.table.read = read
        self.clock.advance(1)
        assert self.read(claims.claim('k1')) == 'granted'
        assert self.read(claims.claim('k1')) == 'held'
        other = self.create(self.table, name='r2')
        assert self.read(other.claim('k1')) == 'held'

    def test_claim_outlives_the_memory_of_the_owner(self):
        """Guards against a second run after the response was forgotten."""
        claims = self.create()
        assert self.read(claims.claim('k1')) == 'granted'
        self.clock.advance(3600)
        assert self.read(claims.claim('k1')) == 'held'

    def test_restarted_router_does_not_inherit_claims(self):
        """Guards against a run by a new incarnation of the owner."""
        claims = self.create()
        claims.claim('k1')
        again = self.create(self.table, incarnation=2)
        assert self.read(again.claim('k1')) == 'held'
        key = claims.issue_key()
        assert self.read(again.claim(key)) == 'elsewhere'

    @pytest.mark.parametrize(
        'age, use_first, result',
        [
            (0, False, 'granted'),
            (599, False, 'granted'),
            (599, True, 'held'),
            # Claims of issued keys are forgotten only once the keys expire.
            (600, True, 'key_expired'),
            (1300, True, 'key_expired'),
        ],
    )
    def test_issued_key(self, age, use_first, result):
        claims = self.create()
        key = claims.issue_key()
        if use_first:
            claims.claim(key)
        self.clock.advance(age)
        claimed = claims.claim(key)
        found = claimed.map(lambda x: x.status.value).value_or(None)
        assert (found or claimed.failure().kind.value) == result

    @pytest.mark.parametrize(
        'change',
        [
            lambda key: key[:-1] + ('0' if key[-1] != '0' else '1'),
            lambda key: key.replace('.', '.9', 3),
            lambda key: key.rpartition('.')[0],
            lambda key: _claims.ISSUED_PREFIX,
            lambda key: _claims.ISSUED_PREFIX + 'cjE=.1.x.y.z',
        ],
    )
    def test_forged_key(self, change):
        """Guards against keys that a caller forged or extended."""
        claims = self.create()
        claimed = claims.claim(change(claims.issue_key()))
        state = claimed.map(lambda x: x.status.value).value_or('refused')
        assert state in ('refused', 'elsewhere')

    def test_answers_are_bounded(self):
        """Guards against recorded responses that fill the memory."""
        limits = _limits.ServingLimits(
            max_recorded_answers=3, max_recorded_answer_bytes=10
        )
        owner = _claims.Owner('r1', 1, 'peer')
        clock = serving.ManualClock()
        claims = _claims.Claims(serving.FakeTable(), clock, owner, limits)
        recorded = _claims.ResponseState.RECORDED
        for i in range(5):
            claims.claim(f'k{i}')
            size = 11 if i == 4 else 10
            answer = _claims.RecordedResponse(recorded, 200, (), b'a' * size)
            claims.record(f'k{i}', answer)
        states = [claims.find(f'k{i}').state.value for i in range(6)]
        assert states == ['running'] + ['recorded'] * 3 + ['running', 'absent']
