"""Replica without version checks, to show that tests detect a fault."""

from skylarktally import _fleet


class NaiveReplica(_fleet.Fleet):
    """Fleet that applies the latest received record even if it is stale."""

    def apply(self, record):
        self.version = record['version'] - 1
        return super().apply(record)

    def load(self, resources, version):
        self.version = min(self.version, version - 1)
        return super().load(resources, version)
