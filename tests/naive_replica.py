"""Replica that believes whatever it was told last."""

from skylarktally import _fleet


class NaiveReplica(_fleet.Fleet):
    """Fleet in which the last answer wins, old or not."""

    def apply(self, record):
        self.version = record['version'] - 1
        return super().apply(record)

    def load(self, resources, version):
        self.version = min(self.version, version - 1)
        return super().load(resources, version)
