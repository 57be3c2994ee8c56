"""A replica whose first starts meet machines that fail every task for a few seconds."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from fleet import Fleet, job, main
from sites import JADELEAF

MACHINES = 2
RUNNING, REPLICA, LATER_REPLICA = "j-000001", "j-000002", "j-000003"
WAIT_LIMIT_S = 90.0
MARGIN_S = 1.0


def replica(ref):
    """One replica of `pickup-concierge`, with the figures of the operators' page."""
    return job(ref, JADELEAF, "service", Grain="pickup-concierge", Rank="production", Cores=11.0,
               Gpus=2.0, MemoryGb=35.0)


async def case(folder, trouble):
    # The cloud has two machines of 8 GPUs to give, and no more.
    fleet = Fleet(folder, JADELEAF, machines=(MACHINES, 0))
    try:
        await fleet.start()
        # On each machine a replica of 4 GPUs runs all the time.
        await fleet.submit({**replica(RUNNING), "Spokes": 2, "Gpus": 4.0, "Cores": 40.0})
        await fleet.until("both machines have a replica", 25,
                          lambda: len(fleet.on_machines(RUNNING)) == MACHINES)
        workers = fleet.cloud.running_workers()

        # The job in question meets the machines while they fail what they start.
        for worker in workers:
            worker.sick = trouble
        fleet.record.write("test", "machines fail every task that they start", sick=trouble)
        await fleet.submit(replica(REPLICA))

        def has_met_the_machines():
            failed_on = {h[1] for h in fleet.history if h[0] == f"{REPLICA}/0"}
            return len(failed_on) == MACHINES if trouble else fleet.on_machines(REPLICA)
        await fleet.until("the job started on the machines", 20, has_met_the_machines)
        for worker in workers:
            worker.sick = False
        over_at = fleet.record.now()
        fleet.record.write("test", "all troubles are over")

        # A job that differs from it in the id alone runs beside the first replicas.
        await asyncio.sleep(6.0)
        await fleet.submit(replica(LATER_REPLICA))
        await fleet.until("the later job runs", 25, lambda: fleet.on_machines(LATER_REPLICA))

        await fleet.wait_while(lambda: not fleet.on_machines(REPLICA),
                               over_at + WAIT_LIMIT_S + MARGIN_S - fleet.record.now())
        waited = fleet.record.now() - over_at
        runs = bool(fleet.on_machines(REPLICA))
        stance = await fleet.poll(REPLICA)
        starts = sum(1 for h in fleet.history if h[0] == f"{REPLICA}/0")
        used = sorted(f"{task} on {machine}" for task, machine in fleet.present)
        text = (f"{REPLICA} {'runs' if runs else 'does not run'} {waited:.0f} s after the troubles "
                f"and is called {stance}; {starts} of its starts failed; present: "
                f"{', '.join(used)}")
        fleet.record.write("test", text)
        return runs, text
    finally:
        fleet.close()


main(FOLDER, case)
