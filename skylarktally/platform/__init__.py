"""Adapter of the platform: translates its names and protocols."""

from skylarktally.platform._advisor import AdvisorCalls
from skylarktally.platform._decoding import decode_job
from skylarktally.platform._ingress import create_readiness_application
from skylarktally.platform._ingress import Ingress
from skylarktally.platform._layout import PlatformLayout
from skylarktally.platform._store import TableStore
from skylarktally.platform._workers import InstanceCalls
from skylarktally.platform._workers import WorkerCalls

__all__ = [
    'AdvisorCalls',
    'Ingress',
    'InstanceCalls',
    'PlatformLayout',
    'TableStore',
    'WorkerCalls',
    'create_readiness_application',
    'decode_job',
]
