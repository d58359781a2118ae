"""Guards the promise that every error kind has exactly one answer."""

import pytest

from skylarktally import _errors


@pytest.mark.parametrize('kind', list(_errors.ErrorKind))
def test_every_kind_has_an_answer(kind):
    answer = _errors.ERROR_RESPONSES[kind]
    assert 400 <= answer.status < 600
    assert answer.outcome is not _errors.Outcome.COMPLETE
