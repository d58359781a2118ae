"""Guards what operators are promised, in their own words."""

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


class Desk:
    """Two operators at the APIs of two controllers, and the last answer."""

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
def desk():
    made = Desk()
    yield made
    invariants.check(made.world)


@given('a running fleet')
def start_fleet(desk):
    assert fake_controllers.is_settled(desk.world)


@given(parsers.parse('worker "{name}" runs a request'))
def start_request(desk, name):
    instance = desk.world.read_instances()[name]
    worker = desk.world.get_worker(name)
    assert worker.start(instance.epoch, instance.pool)


@given('the table is down')
def stop_table(desk):
    desk.world.table.down = True


@when(
    parsers.parse(
        'the operator applies a pool "{pool}" and a job in pool "{absent}"'
    )
)
def apply_file(desk, pool, absent):
    documents = [
        apis.declare('pool', pool, team='north'),
        apis.declare('job', 'j', pool=absent),
    ]
    desk.call(0, 'POST', '/v1/apply', {'resources': documents})


@when(parsers.parse('the operator drains "{name}"'))
def drain(desk, name):
    desk.call(0, 'POST', f'/v1/instances/{name}/drain', {})


@when(parsers.parse('the operator returns "{name}"'))
def return_instance(desk, name):
    desk.call(0, 'POST', f'/v1/instances/{name}/return', {})


@when(parsers.parse('the operator moves "{name}" to "{pool}"'))
def move(desk, name, pool):
    desk.call(0, 'POST', f'/v1/instances/{name}/move', {'pool': pool})


@when(parsers.parse('another operator moves "{name}" to "{pool}"'))
def move_by_another(desk, name, pool):
    desk.call(1, 'POST', f'/v1/instances/{name}/move', {'pool': pool})


@when(parsers.parse('the request on "{name}" ends'))
def end_request(desk, name):
    desk.world.get_worker(name).finish()


@then('the command is refused')
def check_refused(desk):
    assert desk.status >= 400


@then(parsers.parse('the error names "{text}"'))
def check_error(desk, text):
    error = desk.answer['error']
    assert text in f'{error["kind"]}: {error["message"]}'


@then(parsers.parse('there is no pool "{name}"'))
def check_absent(desk, name):
    assert (
        desk.world.read_fleet().find(fake_controllers.Kind.POOL, name) is None
    )


@then(parsers.parse('worker "{name}" gets no new request'))
def check_no_new(desk, name):
    instance = desk.world.read_instances()[name]
    worker = desk.world.get_worker(name)
    assert not worker.start(instance.epoch - 1, instance.pool)


@then(parsers.parse('worker "{name}" is not rebooted'))
def check_not_rebooted(desk, name):
    assert desk.world.get_worker(name).boots == 1


@then(parsers.parse('instance "{name}" serves again after {count:d} reboot'))
def check_serves_again(desk, name, count):
    desk.controller.finish()
    assert desk.world.get_worker(name).boots == 1 + count


@then(parsers.parse('instance "{name}" is serving'))
def check_serving(desk, name):
    phase = desk.world.read_instances()[name].phase
    assert phase is fake_controllers.Phase.SERVING


@then(parsers.parse('instance "{name}" belongs to "{pool}"'))
def check_pool(desk, name, pool):
    assert desk.world.read_instances()[name].pool == pool


@then('no request was cut off')
def check_uncut(desk):
    assert sum(w.interrupted for w in desk.world.workers.values()) == 0
