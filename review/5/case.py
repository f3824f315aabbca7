"""A cut holds an operator's order back; the order was given again and acknowledged elsewhere, and then reversed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2", "platform"))
from fleet import BROKEN, HELD, CannotRun, Proxy, now, route, run_case, service  # noqa: E402

ZONES = ("zh-a", "zh-b", "wt-a", "bd-a")
ZONE = "zh-b"
CUT_S = 4.0             # core_cut of the site: for_s = 4.7
EVACUATE_S = 5.0        # evacuateMs


async def case(fleet, trouble):
    record = fleet.record
    for zone in ZONES:
        for _ in range(2):
            fleet.add_replica("study-api", zone)
    fleet.services = [service("study-api")]
    fleet.routes = [route("r-card", "/card/", "safe", "study-api", aim_ms=300, deadlineMs=1000)]
    core = [machine for machine in fleet.machines if machine.disk]
    cut = core[0]
    path = Proxy("%s.210:%d" % (fleet.net, fleet.port + 3), cut.control)
    await path.start()
    await fleet.boot()
    running = True

    async def clients():
        number = 0
        while running:
            number += 1
            machine = fleet.machines[number % len(fleet.machines)]
            asyncio.ensure_future(fleet.send(machine, "/card/%d" % number, "safe", 1000))
            await asyncio.sleep(0.02)

    async def order(action, first):
        answer = await fleet.evacuate(ZONE, action, first)
        record.say("%s %s: %d" % (action, ZONE, answer.status))
        if answer.status != 200:
            raise CannotRun("an order was not acknowledged")
        return now()

    traffic = asyncio.ensure_future(clients())
    await order("begin", core[1])
    await asyncio.sleep(EVACUATE_S + 1)
    cut.operator_address = path.listen
    cut_at = now()
    if trouble:
        record.say("the path from the operator to %s is cut" % cut.name)
        path.gate.clear()
    await order("finish", cut)
    await asyncio.sleep(0.5)
    acknowledged = await order("begin", core[1])
    await asyncio.sleep(max(0.0, cut_at + CUT_S - now()))
    path.gate.set()
    record.say("the path is whole again")
    await asyncio.sleep(EVACUATE_S + 10)
    running = False
    await traffic
    await asyncio.sleep(1.6)
    late = [run for run in fleet.runs if run["zone"] == ZONE and run["at"] > acknowledged + EVACUATE_S]
    record.say("runs in %s later than %.0f s after its evacuation was acknowledged, and before it is taken back: %d" %
               (ZONE, EVACUATE_S, len(late)))
    return BROKEN if late else HELD


run_case(__file__, case, zones=ZONES, fronts_without_disk=4)
