"""Guards against an error kind for which no response is defined."""

import pytest

from skylarktally import _errors


@pytest.mark.parametrize('kind', list(_errors.ErrorKind))
def test_every_kind_has_a_response(kind):
    response = _errors.ERROR_RESPONSES[kind]
    assert 400 <= response.status < 600
    assert response.outcome is not _errors.Outcome.COMPLETE
