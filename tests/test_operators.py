"""Steps of features/operators.feature, the scenarios of operators."""

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests import apis
from tests import fake_controllers
from tests import invariants

scenarios('features/operators.feature')


class OperatorSession:
    """Two operators at the APIs of two controllers, and the last response."""

    def __init__(self):
        self.world = fake_controllers.build_world()
        self.controller = fake_controllers.FakeController(
            self.world
        ).take_leases()
        self.controller.finish()
        self.apis = [
            apis.ApiHarness(self.world.table, f'a{n}', seed=10 + n)
            for n in range(2)
        ]
        self.status = 0
        self.answer = {}

    def call(self, operator, *arguments):
        self.status, self.answer = self.apis[operator].call(*arguments)
        self.controller.step(5)


@pytest.fixture
def session():
    new_session = OperatorSession()
    yield new_session
    invariants.check(new_session.world)


@given('a running fleet')
def start_fleet(session):
    assert fake_controllers.is_settled(session.world)


@given(parsers.parse('worker "{name}" runs a request'))
def start_request(session, name):
    instance = session.world.read_instances()[name]
    worker = session.world.get_worker(name)
    assert worker.start(instance.epoch, instance.pool)


@given('the table is down')
def stop_table(session):
    session.world.table.down = True


@when(
    parsers.parse(
        'the operator applies a pool "{pool}" and a job in pool "{absent}"'
    )
)
def apply_file(session, pool, absent):
    documents = [
        apis.declare('pool', pool, team='north'),
        apis.declare('job', 'j', pool=absent),
    ]
    session.call(0, 'POST', '/v1/apply', {'resources': documents})


@when(parsers.parse('the operator drains "{name}"'))
def drain(session, name):
    session.call(0, 'POST', f'/v1/instances/{name}/drain', {})


@when(parsers.parse('the operator returns "{name}"'))
def return_instance(session, name):
    session.call(0, 'POST', f'/v1/instances/{name}/return', {})


@when(parsers.parse('the operator moves "{name}" to "{pool}"'))
def move(session, name, pool):
    session.call(0, 'POST', f'/v1/instances/{name}/move', {'pool': pool})


@when(parsers.parse('another operator moves "{name}" to "{pool}"'))
def move_by_another(session, name, pool):
    session.call(1, 'POST', f'/v1/instances/{name}/move', {'pool': pool})


@when(parsers.parse('the request on "{name}" ends'))
def end_request(session, name):
    session.world.get_worker(name).finish()


@then('the command is refused')
def check_refused(session):
    assert session.status >= 400


@then(parsers.parse('the error names "{text}"'))
def check_error(session, text):
    error = session.answer['error']
    assert text in f'{error["kind"]}: {error["message"]}'


@then(parsers.parse('there is no pool "{name}"'))
def check_absent(session, name):
    assert (
        session.world.read_fleet().find(fake_controllers.Kind.POOL, name)
        is None
    )


@then(parsers.parse('worker "{name}" gets no new request'))
def check_no_new(session, name):
    instance = session.world.read_instances()[name]
    worker = session.world.get_worker(name)
    assert not worker.start(instance.epoch - 1, instance.pool)


@then(parsers.parse('worker "{name}" is not rebooted'))
def check_not_rebooted(session, name):
    assert session.world.get_worker(name).boots == 1


@then(parsers.parse('instance "{name}" serves again after {count:d} reboot'))
def check_serves_again(session, name, count):
    session.controller.finish()
    assert session.world.get_worker(name).boots == 1 + count


@then(parsers.parse('instance "{name}" is serving'))
def check_serving(session, name):
    phase = session.world.read_instances()[name].phase
    assert phase is fake_controllers.Phase.SERVING


@then(parsers.parse('instance "{name}" belongs to "{pool}"'))
def check_pool(session, name, pool):
    assert session.world.read_instances()[name].pool == pool


@then('no request was cut off')
def check_uncut(session):
    assert sum(w.interrupted for w in session.world.workers.values()) == 0
