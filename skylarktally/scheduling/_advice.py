"""Advice on the workers that may run a step, where a queue asks for it.

Only a service of the platform knows which workers the policy of such a
queue allows. It answers one question of an entry at a time, the later the
more workers are named, so that few are asked about and the most urgent
step comes first. What it says of a worker does not change; the ticket that
it gives expires.
"""

from collections.abc import Iterable
import datetime
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

# Workers in one question.
_MOST_WORKERS = 30
# A ticket is asked for anew this long before it expires.
_RENEWAL = datetime.timedelta(seconds=0.5)


class Question(NamedTuple):
    """Which of the workers may run a step."""

    group: _states.TaskGroup
    workers: tuple[_work.WorkerRecord, ...]

    @property
    def answer_time(self) -> datetime.timedelta:
        """Time that the service takes for the answer."""
        advice = self.group.job.queue.advice
        if advice is None:
            return datetime.timedelta()
        return advice.decision_time + len(self.workers) * advice.worker_time


class WorkerTicket(NamedTuple):
    """A worker that may run the step, and the ticket that proves it."""

    worker: str
    ticket: str


class Answer(NamedTuple):
    """The workers of a question that may run the step."""

    worker_tickets: tuple[WorkerTicket, ...]
    validity: datetime.timedelta


class Advisor(Protocol):
    """The service that knows which workers a step may use."""

    def advise(
        self,
        step: _work.StepId,
        workers: tuple[str, ...],
        answer_time: datetime.timedelta,
    ) -> result.Result[Answer, _errors.Failure]:
        """Return the workers that may run the step.

        :param answer_time: time that the service needs
        """


def choose_question(
    groups: Iterable[_states.TaskGroup],
    worker_states: Iterable[_states.WorkerState],
    now: datetime.timedelta,
) -> Question | None:
    """Return what to ask next, if anything.

    :param groups: open ones, the most urgent first
    """
    listed = [
        worker_state for worker_state in worker_states if worker_state.is_open
    ]
    for group in groups:
        if group.job.queue.advice is None or not _waits(group):
            continue
        workers = _list_askable(group, listed, now)
        if workers:
            return Question(group, tuple(workers[:_MOST_WORKERS]))
    return None


def _waits(group: _states.TaskGroup) -> bool:
    return any(task.run is None and not task.is_done for task in group.tasks)


def _list_askable(
    group: _states.TaskGroup,
    worker_states: list[_states.WorkerState],
    now: datetime.timedelta,
) -> list[_work.WorkerRecord]:
    """Return workers of which nothing is known, then those to renew."""
    unknown = []
    expiring = []
    for worker_state in sorted(
        worker_states, key=lambda item: -item.room.cpu_millicores
    ):
        found = group.worker_advice.get(worker_state.record.id)
        if found is None or found.started_ms != worker_state.record.started_ms:
            unknown.append(worker_state.record)
        elif found.ticket and found.until - _RENEWAL <= now:
            expiring.append(worker_state.record)
    return unknown + expiring


def note_answer(
    question: Question, answer: Answer, sent_at: datetime.timedelta
) -> None:
    """Keep the answer to a question, also where it is a refusal."""
    tickets = {
        permit.worker: permit.ticket for permit in answer.worker_tickets
    }
    for record in question.workers:
        question.group.worker_advice[record.id] = _states.WorkerAdvice(
            record.started_ms,
            tickets.get(record.id, ''),
            sent_at + answer.validity,
        )


def find_ticket(
    group: _states.TaskGroup,
    worker_state: _states.WorkerState,
    now: datetime.timedelta,
) -> str | None:
    """Return the ticket for a start; None if the worker may not run it.

    Empty where the queue asks for no advice.
    """
    if group.job.queue.advice is None:
        return ''
    found = group.worker_advice.get(worker_state.record.id)
    if found is None or found.started_ms != worker_state.record.started_ms:
        return None
    if not found.ticket or found.until <= now:
        return None
    return found.ticket
