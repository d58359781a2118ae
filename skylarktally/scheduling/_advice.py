"""Advice on the workers that may run a step, for queues that require it.

Only the advisor service of the platform knows which workers the policy of
such a queue allows. It answers one question of an entry instance at a time,
and takes longer the more workers a question names. Questions therefore name
few workers, and the most urgent step is asked first. An answer for a worker
does not change, but its ticket expires.
"""

from collections.abc import Iterable
import datetime
from typing import NamedTuple, Protocol

from returns import result

from skylarktally import _errors
from skylarktally.scheduling import _states
from skylarktally.scheduling import _work

# Maximum number of workers in one question.
_MAX_WORKERS = 30
# A ticket is renewed this long before it expires.
_RENEWAL_MARGIN = datetime.timedelta(seconds=0.5)


class Question(NamedTuple):
    """Asks which of the workers may run a step."""

    group: _states.TaskGroup
    workers: tuple[_work.WorkerRecord, ...]

    @property
    def answer_time(self) -> datetime.timedelta:
        """Time that the service needs for the answer."""
        advice = self.group.job.queue.advice
        if advice is None:
            return datetime.timedelta()
        return advice.decision_time + len(self.workers) * advice.worker_time


class WorkerTicket(NamedTuple):
    """A worker that may run the step, with the ticket for its starts."""

    worker: str
    ticket: str


class Answer(NamedTuple):
    """Workers of a question that may run the step."""

    worker_tickets: tuple[WorkerTicket, ...]
    validity: datetime.timedelta


class Advisor(Protocol):
    """Client of the advisor service."""

    def advise(
        self,
        step: _work.StepId,
        workers: tuple[str, ...],
        timeout: datetime.timedelta,
    ) -> result.Result[Answer, _errors.Failure]:
        """Return the workers that may run the step.

        Fails with OUTCOME_UNKNOWN if the service may have the question.

        :param timeout: how long to wait for the answer
        """


def choose_question(
    groups: Iterable[_states.TaskGroup],
    worker_states: Iterable[_states.WorkerState],
    now: datetime.timedelta,
) -> Question | None:
    """Return the next question; None if no answer is missing.

    :param groups: ready groups, the most urgent first
    """
    schedulable = [
        worker_state
        for worker_state in worker_states
        if worker_state.is_schedulable
    ]
    for group in groups:
        if group.job.queue.advice is None or not _has_waiting_tasks(group):
            continue
        workers = _list_workers_to_ask(group, schedulable, now)
        if workers:
            return Question(group, tuple(workers[:_MAX_WORKERS]))
    return None


def _has_waiting_tasks(group: _states.TaskGroup) -> bool:
    return any(task.run is None and not task.is_done for task in group.tasks)


def _list_workers_to_ask(
    group: _states.TaskGroup,
    worker_states: list[_states.WorkerState],
    now: datetime.timedelta,
) -> list[_work.WorkerRecord]:
    """Return workers without an answer, then those with expiring tickets."""
    unknown = []
    expiring = []
    for worker_state in sorted(
        worker_states, key=lambda item: -item.available.cpu_millicores
    ):
        found = group.worker_advice.get(worker_state.record.id)
        if found is None or found.started_ms != worker_state.record.started_ms:
            unknown.append(worker_state.record)
        elif found.ticket and found.expires_at - _RENEWAL_MARGIN <= now:
            expiring.append(worker_state.record)
    return unknown + expiring


def record_answer(
    question: Question, answer: Answer, sent_at: datetime.timedelta
) -> None:
    """Store the answer for each worker of the question.

    Workers that the answer does not name get an empty ticket: they may not
    run the step and are not asked about again until they restart.
    """
    tickets = {item.worker: item.ticket for item in answer.worker_tickets}
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
    """Return the ticket for a start on a worker.

    None if the worker may not run the step or its ticket has expired; empty
    if the queue requires no advice.
    """
    if group.job.queue.advice is None:
        return ''
    found = group.worker_advice.get(worker_state.record.id)
    if found is None or found.started_ms != worker_state.record.started_ms:
        return None
    if not found.ticket or found.expires_at <= now:
        return None
    return found.ticket
