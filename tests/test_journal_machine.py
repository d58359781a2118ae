"""Guards against control writes that are lost, applied twice or reverted.

Two authors commit concurrently to the stand-in's table while requests and
responses are lost, delayed or duplicated, authors crash between two calls,
leases change holders and the log is trimmed. The table records every
committed log entry; the test compares them with the outcomes that the
authors were told and with the contents of their replicas.
"""

import contextlib
import random
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _resources
from skylarktally import _table
from standins import table as standin_table
from tests import fakes
from tests import naive_journal

LEASE = 'lease/z1/0'
# Small values, so that short runs cover trimming and paging.
RETAINED = 6
PAGE = 3
COMMIT_FAULTS = ('drop', 'lose', 'duplicate', 'delay', 'refuse', 'limit')
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Crash(Exception):
    pass


class RecordingRows(standin_table.RowStore):
    """Row store that records every committed log entry."""

    def __init__(self):
        super().__init__()
        self.entries = []

    def commit(self, transaction):
        body = super().commit(transaction)
        if body['committed']:
            self.entries.extend(
                write['value']
                for write in transaction['writes']
                if write['key'].startswith('log/') and write['value']
            )
        return body


class ScriptedTable(fakes.FaultyTable):
    """Table on which each call triggers the next event of a script.

    :param delayed: transactions that the table holds back
    :param events: functions by name of the event
    """

    def __init__(self, rows, delayed, events):
        super().__init__(rows)
        self.delayed = delayed
        self.events = events
        self.script = []

    def _run_event(self, call):
        event = self.script.pop(0) if self.script else None
        if event in COMMIT_FAULTS:
            self.faults = [event]
        elif event in self.events:
            self.events[event]()
        if event == 'crash_before':
            raise Crash
        answer = call()
        if event == 'crash_after':
            raise Crash
        return answer

    def commit(self, transaction):
        self.faults = []
        commit = super().commit
        return self._run_event(lambda: commit(transaction))

    def read(self, key):
        read = super().read
        return self._run_event(lambda: self._read_rows(lambda: read(key)))

    def scan(self, prefix, after='', limit=1000):
        scan = super().scan
        page = min(limit, PAGE)
        return self._run_event(
            lambda: self._read_rows(lambda: scan(prefix, after, page))
        )

    def _read_rows(self, call):
        if self.faults:
            self.faults = []
            return fakes.fail(_errors.ErrorKind.PLATFORM_UNAVAILABLE)
        return call()


SCRIPTS = strategies.lists(
    strategies.sampled_from(
        (None, *COMMIT_FAULTS, 'crash_before', 'crash_after')
        + ('race', 'overtake', 'deliver', 'steal')
    ),
    max_size=8,
)


class Author:
    """A journal with its replica; a crash loses both."""

    def __init__(self, name, table, journal_class, clock):
        self.name = name
        self.table = table
        self.fleet = _fleet.Fleet()
        self.versions = [0]
        self.fleet.subscribe(self.versions.append)
        self.journal = journal_class(
            table, self.fleet, clock, name, random.Random(name)
        )


class JournalMachine(stateful.RuleBasedStateMachine):
    journal_class = _journal.Journal

    def __init__(self):
        super().__init__()
        self.patches = contextlib.ExitStack()
        for module, name, value in (
            (_fleet, 'RETAINED_RECORDS', RETAINED),
            (_journal, '_PAGE_ROWS', PAGE),
        ):
            self.patches.enter_context(mock.patch.object(module, name, value))
        self.rows = RecordingRows()
        self.clock = fakes.ManualClock()
        self.delayed = []
        self.crashes = 0
        # Outcome of each operation as its author was told it: whether it
        # was committed, or None if unknown.
        self.reported = {}
        self.authors = [self.start_author(n) for n in (0, 1)]

    def teardown(self):
        self.patches.close()

    def start_author(self, number):
        events = {
            'race': lambda: self.run(1 - number, []),
            'overtake': lambda: self.overtake(1 - number),
            'deliver': self.deliver,
            'steal': self.steal_lease,
        }
        table = ScriptedTable(self.rows, self.delayed, events)
        self.crashes += 1
        name = f'author-{number}-{self.crashes}'
        return Author(name, table, self.journal_class, self.clock)

    @stateful.rule(number=strategies.integers(0, 1), script=SCRIPTS)
    def transact(self, number, script):
        self.run(number, script)

    @stateful.rule(
        number=strategies.integers(0, 1),
        script=SCRIPTS,
        behind=strategies.integers(0, 2),
    )
    def propose_fenced(self, number, script, behind):
        row = self.rows.read(LEASE)
        fence = _table.Condition(LEASE, row['version'] if row else 0)

        def propose(author, decide):
            base = max(0, author.fleet.version - behind)
            changes = decide(author.fleet).unwrap()
            return author.journal.propose(changes, base, (fence,))

        self.run(number, script, propose)

    def overtake(self, number):
        # Commits so many entries that those of the other author are trimmed.
        for _ in range(RETAINED + 1):
            self.run(number, [])

    @stateful.rule()
    def deliver(self):
        if self.delayed:
            self.authors[0].table.deliver()

    @stateful.rule()
    def steal_lease(self):
        row = self.rows.read(LEASE)
        version = row['version'] if row else 0
        write = {'key': LEASE, 'value': {'holder': str(version)}}
        self.rows.commit({'conditions': [], 'writes': [write]})

    def run(self, number, script, act=None):
        """Increment the counter as an author and record the outcome."""
        author = self.authors[number]
        outer, author.table.script = author.table.script, list(script)
        operation = f'operation-{len(self.reported)}'
        self.reported[operation] = None

        def decide(fleet):
            kind = _resources.Kind.CONFIGURATION
            found = fleet.find(kind, 'counter')
            count = found['spec']['count'] if found else 0
            return result.Success(
                [
                    build_change('counter', {'count': count + 1}),
                    build_change(operation, {}),
                ]
            )

        try:
            if act is None:
                outcome = author.journal.transact(decide)
            else:
                outcome = act(author, decide)
        except Crash:
            self.authors[number] = self.start_author(number)
            return operation
        author.table.script = outer
        if isinstance(outcome, result.Success):
            self.reported[operation] = True
        elif outcome.failure().kind is not _errors.ErrorKind.OUTCOME_UNKNOWN:
            self.reported[operation] = False
        return operation

    @stateful.invariant()
    def log_has_no_gap_or_duplicate(self):
        versions = [entry['version'] for entry in self.rows.entries]
        assert versions == list(range(1, len(versions) + 1)), 'gap in the log'
        written = self.list_written()
        assert len(set(written)) == len(written), 'applied twice'

    @stateful.invariant()
    def reported_outcomes_are_true(self):
        written = self.list_written()
        for operation, reported in self.reported.items():
            if reported is not None:
                assert (operation in written) == reported, 'wrong outcome'

    def list_written(self):
        return [entry['changes'][1]['name'] for entry in self.rows.entries]

    @stateful.invariant()
    def replicas_match_the_log(self):
        for author in self.authors:
            assert author.versions == sorted(set(author.versions)), 'reverted'
            names = {'counter'} | {
                entry['changes'][1]['name']
                for entry in self.rows.entries[: author.fleet.version]
            }
            held = author.fleet.list(_resources.Kind.CONFIGURATION)
            if author.fleet.version > 0:
                assert {r['name'] for r in held} == names
                counter = next(r for r in held if r['name'] == 'counter')
                assert counter['spec']['count'] == author.fleet.version
                assert counter['resource_version'] == author.fleet.version

    @stateful.invariant()
    def table_retains_the_newest_entries(self):
        kept = [
            row['value']['version'] for row in self.rows.scan('log/', '', 99)
        ]
        assert kept == [e['version'] for e in self.rows.entries[-RETAINED:]]


class NaiveMachine(JournalMachine):
    """Checks the baseline only for duplicate writes, its known fault."""

    journal_class = naive_journal.NaiveJournal

    def reported_outcomes_are_true(self):
        pass


def build_change(name, spec):
    value = _resources.Resource(
        kind='configuration',
        name=name,
        spec=spec,
        status={},
        resource_version=0,
    )
    return _resources.Change(kind='configuration', name=name, value=value)


def test_invariants_hold_under_random_faults():
    stateful.run_state_machine_as_test(JournalMachine, settings=SETTINGS)


# The first call of each sequence reads the log, the second commits.
@pytest.mark.parametrize(
    'script, reported',
    [
        ([None, 'lose'], True),
        ([None, 'drop'], True),
        ([None, 'duplicate'], True),
        ([None, 'limit'], True),
        ([None, 'refuse'], False),
        ([None, 'delay', 'race'], True),
        ([None, 'delay', None, 'deliver'], True),
        # The response and the look-up are lost, then the table is down.
        ([None, 'lose', 'drop', 'refuse'], True),
        # The entry is trimmed before its author can look it up.
        ([None, 'lose', 'drop', 'overtake'], None),
        # Entries are committed between the reads of a snapshot.
        ([None, None, None, 'race', 'race'], True),
    ],
)
def test_outcome_after_a_sequence_of_faults(script, reported):
    machine = JournalMachine()
    machine.overtake(1)
    if script[1] in COMMIT_FAULTS:
        machine.run(0, [])
    operation = machine.run(0, script)
    assert machine.reported[operation] is reported
    machine.deliver()
    machine.run(0, [])
    machine.log_has_no_gap_or_duplicate()
    machine.reported_outcomes_are_true()
    machine.replicas_match_the_log()
    machine.teardown()


@pytest.mark.parametrize(
    'script', [[None, 'lose'], [None, 'delay', None, 'deliver']]
)
def test_naive_journal_applies_a_write_twice(script):
    """Shows that the checks above fail without transaction ids.

    The sequences are fixed because the examples that hypothesis generates
    also depend on the modules that other tests have loaded.
    """
    machine = NaiveMachine()
    machine.overtake(1)
    machine.run(0, [])
    machine.run(0, script)
    machine.deliver()
    machine.run(0, [])
    with pytest.raises(AssertionError, match='applied twice'):
        machine.log_has_no_gap_or_duplicate()
    machine.teardown()
