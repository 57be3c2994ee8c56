"""A confirmed cancellation, an outage of the state service, and each controller crashes once."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from fleet import CannotRun, Fleet, job, main
from sites import VOLTASWAP

JOB = "j-000001"
# The other controllers crash this long after the user was told of the cancellation, or soon after
# that: when the worker has just had an answer, and isn't looking for another controller.
OTHERS_CRASH_S, LATEST_CRASH_S = 15.0, 19.0
JUST_ANSWERED_S = 0.3
MARGIN_S = 0.5
LONGEST_LOOK_S = 60.0


async def crash(nodes):
    """Ends processes and starts them again after the time that the operators' page names."""
    for node in nodes:
        node.kill()
    await asyncio.sleep(VOLTASWAP["back_s"])
    for node in nodes:
        node.start()


async def case(folder, trouble):
    fleet = Fleet(folder, VOLTASWAP, machines=(4, 0))
    cancel_s = fleet.workers_settings["cancel_s"]
    try:
        await fleet.start()
        await fleet.submit(job(JOB, VOLTASWAP, "service"))
        await fleet.until("the replica runs", 25, lambda: fleet.on_machines(JOB))
        await asyncio.sleep(4.0)

        # The user cancels at a controller that doesn't lead: one that no worker stays with.
        worker = fleet.cloud.running_workers()[0]
        confirming = fleet.nodes[(worker.node + 1) % len(fleet.nodes)]
        if trouble:
            def after_the_transaction(keys):
                fleet.state.on_commit = None
                fleet.state.begin_outage()
            fleet.state.on_commit = after_the_transaction
        status, answer = await fleet.request(confirming, "POST", f"/work/{JOB}/withdraw")
        told_at = fleet.record.now()
        if status != 200 or answer["Stance"] != "aborted":
            raise CannotRun("the cancellation was not confirmed at once")
        if trouble:
            await crash([confirming])
            await asyncio.sleep(told_at + OTHERS_CRASH_S - fleet.record.now())
            await fleet.wait_while(
                lambda: time.monotonic() > worker.leased_at + JUST_ANSWERED_S,
                told_at + LATEST_CRASH_S - fleet.record.now())
            await crash([node for node in fleet.nodes if node is not confirming])

        await asyncio.sleep(told_at + cancel_s + MARGIN_S - fleet.record.now())
        late = fleet.on_machines(JOB)
        # How long it stays there, for the record.
        await fleet.wait_while(lambda: fleet.on_machines(JOB),
                               told_at + LONGEST_LOOK_S - fleet.record.now())
        gone = [ended - told_at for task, _, _, ended in fleet.history if task == f"{JOB}/0"]
        text = (f"cancelled at 0 s; {len(late)} task(s) on a machine at {cancel_s + MARGIN_S} s; "
                f"gone at {', '.join(f'{at:.1f} s' for at in gone) or 'no time seen'}")
        fleet.record.write("test", text)
        return not late, text
    finally:
        fleet.close()


main(FOLDER, case)
