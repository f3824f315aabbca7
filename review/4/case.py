"""Two of four core machines are killed for 1.7 s, while a service's replicas crash and come back as new lives."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2", "platform"))
from fleet import BROKEN, HELD, CannotRun, now, route, run_case, service  # noqa: E402
import signal  # noqa: E402

ZONES = ("zh-a", "zh-b", "wt-a", "bd-a")
DOWN_S = 1.7            # herd_kill on the core in the site file: share 0.56, for_s = 1.8
REPLICAS_DOWN_S = 4.2   # srv_crash of the site: for_s = 4.2
CONFIG_APPLY_S = 2.0
WATCHED_S = 10.0


async def case(fleet, trouble):
    record = fleet.record
    for zone in ZONES:
        for _ in range(2):
            fleet.add_replica("lm-pool", zone)
    study = [fleet.add_replica("study-api", "wt-a") for _ in range(2)]
    fleet.services = [service("lm-pool"), service("study-api")]
    fleet.routes = [route("r-hint", "/hint/", "safe", "lm-pool"),
                    route("r-card", "/card/", "safe", "study-api", aim_ms=300, deadlineMs=1000)]
    await fleet.boot()
    prefixes = ["/hint/", "/card/"]
    answers = []
    running = True

    async def ask(number, prefix):
        sent = now()
        answer = await fleet.send(fleet.machines[number % len(fleet.machines)], "%s%d" % (prefix, number), "safe", 1000)
        answers.append((sent, prefix, answer.status == 200 and answer.complete))

    async def clients():
        number = 0
        while running:
            number += 1
            asyncio.ensure_future(ask(number, prefixes[number // len(fleet.machines) % len(prefixes)]))
            await asyncio.sleep(0.02)

    traffic = asyncio.ensure_future(clients())
    await asyncio.sleep(4)
    reader = None
    tries = 0
    while reader is None and tries < 20:
        reader = fleet.list_server.reader()
        tries += 1
        await asyncio.sleep(0.1)
    if reader is None:
        raise CannotRun("the machine that reads the list was not found")
    killed = [machine for machine in fleet.machines if machine.disk and machine is not reader][:2]
    if trouble:
        record.say("killed: " + ", ".join(machine.name for machine in killed))
        for machine in killed:
            machine.signal(signal.SIGKILL)
    record.say("both replicas of study-api crash")
    for replica in study:
        await replica.crash()
    await asyncio.sleep(DOWN_S)
    if trouble:
        for machine in killed:
            for role in list(machine.processes):
                machine.start(role)
    await asyncio.sleep(REPLICAS_DOWN_S - DOWN_S)
    for replica in study:
        await replica.start()
    record.say("both replicas of study-api are back and on the list")
    await asyncio.sleep(8)
    fleet.routes.append(route("r-new", "/new/", "safe", "study-api", aim_ms=300, deadlineMs=1000))
    if not await fleet.configure():
        raise CannotRun("the configuration with the later route was not taken")
    record.say("a route to study-api was added and acknowledged")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    counted_from = now()
    prefixes.append("/new/")
    await asyncio.sleep(WATCHED_S)
    running = False
    await traffic
    await asyncio.sleep(1.6)

    def served(wanted):
        mine = [ok for sent, prefix, ok in answers if sent >= counted_from and prefix in wanted]
        return len(mine), sum(mine) / max(1, len(mine))

    first_count, first_share = served(("/hint/", "/card/"))
    later_count, later_share = served(("/new/",))
    record.say("first routes: %d requests, %.3f served; later-added route: %d requests, %.3f served" %
               (first_count, first_share, later_count, later_share))
    record.say("of /card/, which leads to the same replicas: %.3f served" % served(("/card/",))[1])
    return BROKEN if later_count >= 20 and later_share < first_share / 4 else HELD


run_case(__file__, case, zones=ZONES, fronts_without_disk=4)
