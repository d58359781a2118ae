"""Client of the platform's service that advises on workers."""

import datetime

from returns import result

from skylarktally import _errors
from skylarktally.platform import _decoding
from skylarktally.platform import _http
from skylarktally.scheduling import _advice
from skylarktally.scheduling import _work

ErrorKind = _errors.ErrorKind


class AdvisorCalls:
    """Asks the service which workers may run a step."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = _http.HttpClient(ErrorKind.PLATFORM_UNAVAILABLE)

    def advise(
        self,
        step: _work.StepId,
        workers: tuple[str, ...],
        timeout: datetime.timedelta,
    ) -> result.Result[_advice.Answer, _errors.Failure]:
        """Return the workers that may run the step, with their tickets.

        :param timeout: how long to wait for the answer
        """
        body = {
            # Despite its name, this field holds the name of the step.
            'step_index': _decoding.format_step(step),
            'worker_ids': list(workers),
        }
        outcome = self._client.call(
            'POST', self._address, '/-/advise', timeout, body
        )
        return outcome.bind(_read_advice)


def _read_advice(
    response: _http.Response,
) -> result.Result[_advice.Answer, _errors.Failure]:
    if response.status == 200:
        try:
            return result.Success(_decoding.decode_advice(response.body))
        except _errors.MalformedInput as error:
            message = f'unreadable advice: {error}'
            kind = ErrorKind.OUTCOME_UNKNOWN
            return result.Failure(_errors.Failure(kind, message))
    kind = ErrorKind.PLATFORM_UNAVAILABLE
    if response.status == 429:
        kind = ErrorKind.RATE_LIMITED
    message = f'advice answered {response.status}'
    return result.Failure(_errors.Failure(kind, message))
