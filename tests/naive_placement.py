"""Reference placement that scans every instance for every run."""

from skylarktally import _placement
from skylarktally import _preemption
from skylarktally import _resources
from skylarktally import _sizes

State = _sizes.RunState
PreemptionMethod = _preemption.PreemptionMethod
REPEATABLE = (State.CHECKPOINTED, State.STOPPED, State.LOST)


class NaivePool:
    """State of one pool as plain lists, scanned for each query."""

    def __init__(self, jobs, instances, usage, now):
        self.jobs = {job.name: job for job in jobs}
        self.usage = [u for u in usage if u.job in self.jobs]
        self.sizes = {
            n: _sizes.estimate_size(j, [u for u in usage if u.job == n], now)
            for n, j in self.jobs.items()
        }
        self.instances = instances
        self.serving = {
            i.name: i for i in instances if i.phase is _resources.Phase.SERVING
        }
        self.held = [u for u in self.usage if u.holds_capacity]
        self.placed = []
        self.preempted = []
        self.open_to_uninterruptible = self.choose_open()

    def choose_open(self):
        if all(j.urgency != 'urgent' for j in self.jobs.values()):
            return set(self.serving)
        ranked = []
        for name, i in sorted(self.serving.items()):
            same_rack = sorted(
                o.name
                for o in self.serving.values()
                if (o.zone, o.rack) == (i.zone, i.rack)
            )
            has_uninterruptible = any(
                self.jobs[u.job].urgency != 'urgent'
                and not self.jobs[u.job].idempotent
                for u in self.held
                if u.instance == name
            )
            ranked.append(
                (not has_uninterruptible, same_rack.index(name), name)
            )
        half = (len(ranked) + 1) // 2
        return {name for *_, name in sorted(ranked)[:half]}

    def get_run_size(self, u):
        size = self.sizes[u.job]
        if u.state is State.THROTTLED:
            return size._replace(cores=size.cores * _sizes.THROTTLED_SHARE)
        return size

    def free(self, name, without=()):
        free = _sizes.get_instance_size(self.serving[name])
        for u in self.held:
            if u.instance == name and u not in without:
                free = free.minus(self.get_run_size(u))
        for a in self.placed:
            if a.instance == name:
                free = free.minus(self.sizes[a.job])
        return free

    def count(self, job, match):
        names = [u.instance for u in self.held if u.job == job]
        names += [a.instance for a in self.placed if a.job == job]
        return sum(match(self.serving[n]) for n in names if n in self.serving)

    def score(self, job, name):
        i = self.serving[name]
        return (
            self.count(job, lambda o: o.zone == i.zone),
            self.count(job, lambda o: (o.zone, o.rack) == (i.zone, i.rack)),
            self.count(job, lambda o: o.name == name),
            -self.free(name).slots,
            name,
        )

    def pending(self, urgency):
        runs = []
        for name, job in self.jobs.items():
            size = self.sizes[name]
            if job.urgency != urgency or not any(
                size.fits(_sizes.get_instance_size(i)) for i in self.instances
            ):
                continue
            known = {u.run: u.state for u in self.usage if u.job == name}
            numbers = [
                n
                for n in range(job.runs)
                if n not in known
                or (job.idempotent and known[n] in REPEATABLE)
            ]
            key = tuple(-a for a in size)
            runs += [(t, key, name, n) for t, n in enumerate(numbers)]
        return [(name, n) for _, _, name, n in sorted(runs)]

    def place(self, name, number):
        job, size = self.jobs[name], self.sizes[name]
        names = [
            n
            for n in self.serving
            if size.fits(self.free(n))
            and (
                job.urgency == 'urgent'
                or job.idempotent
                or n in self.open_to_uninterruptible
            )
        ]
        if not names:
            return False
        best = min(names, key=lambda n: self.score(name, n))
        self.placed.append(_placement.Assignment(name, number, best))
        return True

    def plan(self, name, size):
        """Plan preemptions on an instance, and drop those not needed.

        Returns the preempted runs and which of them end, or None.
        """
        runs = [
            u
            for u in self.held
            if u.instance == name and self.jobs[u.job].urgency != 'urgent'
        ]
        runs.sort(key=lambda u: (u.started_at, u.job, u.run), reverse=True)
        endable = [u for u in runs if self.jobs[u.job].idempotent]
        throttling_only = [u for u in runs if u.state is State.RUNNING]
        ending_and_throttling = [
            u for u in runs if u in endable or u in throttling_only
        ]
        for candidates, ending in (
            (throttling_only, []),
            (ending_and_throttling, endable),
        ):
            for count in range(len(candidates) + 1):
                taken = candidates[:count]
                if size.fits(self.free_after(name, taken, ending)):
                    for u in list(taken):
                        rest = [t for t in taken if t != u]
                        if size.fits(self.free_after(name, rest, ending)):
                            taken = rest
                    return taken, [u for u in taken if u in ending]
        return None

    def free_after(self, name, taken, ending):
        free = self.free(name, without=[u for u in taken if u in ending])
        for u in taken:
            if u not in ending:
                cores = self.get_run_size(u).cores * (
                    1 - _sizes.THROTTLED_SHARE
                )
                free = free.plus(_sizes.Size(cores, 0, 0, 0))
        return free

    def place_with_preemptions(self, name, number):
        size = self.sizes[name]
        plans = []
        for instance in self.serving:
            plan = self.plan(instance, size)
            if plan is not None and plan[0]:
                taken, ended = plan
                plans.append((len(ended), len(taken), instance, taken, ended))
        if not plans:
            return False
        _, _, instance, taken, ended = min(plans, key=lambda p: p[:3])
        for u in taken:
            self.held.remove(u)
            if u not in ended:
                self.held.append(u._replace(state=State.THROTTLED))
            self.preempted.append((u.job, u.run, u in ended))
        self.placed.append(_placement.Assignment(name, number, instance))
        return True


def place_all(jobs, instances, usage, now):
    """Place all runs, in a pool without throttled runs."""
    pool = NaivePool(jobs, instances, usage, now)
    for name, number in pool.pending('urgent'):
        pool.place(name, number) or pool.place_with_preemptions(name, number)
    for name, number in pool.pending('deferrable'):
        pool.place(name, number)
    return pool
