#!/usr/bin/env python3
"""Makes the tables of docs/CAPACITY.md from the recorded figures beside this script.

tables.py            writes the tables into the page
tables.py --check    ends with 1 when the page does not follow from the figures
"""

import csv
import pathlib
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
PAGE = HERE.parent / "CAPACITY.md"

TARGET = {
    "nodes": 350, "control": 6, "regions": 2, "zones": 6, "models": 6, "replicas": 600, "accelerators": 4800,
    "tenants": 2900, "sessions": 1000000, "prefixes": 160000, "changes": 550, "restarts": 320, "failures": 15,
    "requests": 7100, "tokens": 2400000, "first_ms": 1700, "gap_ms": 32, "force_ms": 5000,
}
ALLOWED_CPU = 0.012e6
ALLOWED_MEMORY = 32e6
ALLOWED_BYTES = 4000.0
DAY = 86400.0
SEEN_FOR = 600.0
CHANGE_DUTIES = ("news", "agreement", "operators", "holdings")
BENDS = {"counted": 0.15, "heap": 0.15, "timed": 0.30}


class Figures:
    """Recorded figures: (group, measure, role, unit) -> points of (size, value); and each run's command."""

    def __init__(self, folder):
        self.points = {}
        self.kinds = {}
        self.of = {}
        self.commands = {}
        for path in sorted(folder.glob("*.csv")):
            group = path.name.split(".")[0]
            lines = path.read_text().splitlines()
            if not lines or not lines[0].startswith("# "):
                raise ValueError(f"{path.name}: the first line must name the command")
            self.commands.setdefault(group, []).append(lines[0][2:])
            for row in csv.DictReader(lines[1:]):
                key = (group, row["measure"], row["role"], row["unit"])
                self.points.setdefault(key, []).append((float(row["size"]), float(row["value"])))
                self.kinds[key] = row["kind"]
                self.of[group] = row["of"]
        for points in self.points.values():
            points.sort()

    def get(self, group, measure, role, unit):
        return self.points.get((group, measure, role, unit), [])

    def at(self, group, measure, role, unit, size):
        """Value at a size: measured there, or by the line through the two nearest measured sizes."""
        points = self.get(group, measure, role, unit)
        if not points:
            raise ValueError(f"not recorded: {group} {measure} {role} {unit}")
        for x, y in points:
            if x == size:
                return y
        if len(points) == 1:
            return points[0][1]
        near = sorted(points, key=lambda p: abs(p[0] - size))[:2]
        (x1, y1), (x2, y2) = sorted(near)
        return y1 + (y2 - y1) * (size - x1) / (x2 - x1)

    def only(self, group, measure, role, unit):
        """Value of a run at one size."""
        points = self.get(group, measure, role, unit)
        if len(points) != 1:
            raise ValueError(f"not recorded at one size: {group} {measure} {role} {unit}")
        return points[0][1]


def fit(points):
    """Least squares: intercept, slope and the worst miss as a share of the largest value."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    var = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / var if var else 0.0
    base = my - slope * mx
    top = max(abs(y) for _, y in points) or 1.0
    return base, slope, max(abs(y - base - slope * x) for x, y in points) / top


def bend(points, tolerance):
    """First size that the line through all smaller ones misses by more than the tolerance; None: it does not bend."""
    for i in range(2, len(points)):
        base, slope, _ = fit(points[:i])
        x, y = points[i]
        if abs(y - base - slope * x) > tolerance * max(abs(y), 1e-9):
            return x
    return None


def number(value):
    if value is None:
        return "-"
    if value == 0:
        return "0"
    size = abs(value)
    if size >= 9.995e8:
        return f"{value / 1e9:.3g} G"
    if size >= 9.995e5:
        return f"{value / 1e6:.3g} M"
    if size >= 9995:
        return f"{value / 1e3:.3g} k"
    return f"{value:.3g}" if size < 100 else f"{value:.0f}"


def ms(value):
    return "none" if value < 0 else f"{value:.0f} ms"


def verdict(value, allowed):
    return "holds" if 0 <= value <= allowed else "**fails**" if value < 0 else f"**fails**, {value / allowed:.3g} times"


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return "\n".join(lines + ["| " + " | ".join(str(c) for c in row) + " |" for row in rows])


# What is listed as a slope: group, measure, role, unit, what it is, and the target's size.
SLOPES = [
    ("rest-nodes", "sent.confirmations", "router", "messages/s", "confirmations asked for, per node", "nodes"),
    ("rest-nodes", "sent.confirmations", "router", "bytes/s", "the same", "nodes"),
    ("rest-nodes", "sent.confirmations", "controller", "bytes/s", "confirmations given, per control machine", "nodes"),
    ("rest-nodes", "sent.contacts", "router", "messages/s", "contacts, per node", "nodes"),
    ("rest-nodes", "sent.contacts", "router", "bytes/s", "the same", "nodes"),
    ("rest-nodes", "sent.shuffles", "router", "messages/s", "shuffles, per node", "nodes"),
    ("rest-nodes", "sent.shuffles", "router", "bytes/s", "the same", "nodes"),
    ("rest-nodes", "sent.beats", "controller", "bytes/s", "heartbeats, per control machine", "nodes"),
    ("rest-nodes", "sent.all", "router", "bytes/s", "all that a node sends at rest", "nodes"),
    ("rest-nodes", "cpu.all", "router", "us/s", "processor time of a node at rest", "nodes"),
    ("rest-nodes", "cpu.clock", "router", "us/s", "of that, clock events", "nodes"),
    ("rest-nodes", "cpu.all", "controller", "us/s", "processor time of a control machine at rest", "nodes"),
    ("rest-nodes", "cpu.clock", "controller", "us/s", "of that, clock events", "nodes"),
    ("rest-nodes", "state", "router", "bytes", "state of a node", "nodes"),
    ("rest-nodes", "state", "controller", "bytes", "state of a control machine", "nodes"),
    ("rest-nodes", "page.fleet", "operator", "bytes", "the page of the fleet that the tools read", "nodes"),
    ("links-nodes", "links.held", "router", "links", "links that a node holds", "nodes"),
    ("links-nodes", "links.dialled", "router", "links/s", "links that a node dials", "nodes"),
    ("links-nodes", "links.held", "controller", "links", "links that a control machine holds", "nodes"),
    ("links-nodes", "links.dialled", "controller", "links/s", "links that a control machine dials", "nodes"),
    ("rest-templates", "sent.all", "router", "bytes/s", "all that a node sends at rest, by keys (a family each)", None),
    ("rest-templates", "cpu.all", "controller", "us/s", "processor time of a control machine, by keys", None),
    ("rest-changes", "sent.news", "router", "bytes/s", "acknowledged news, per node, by changes a day", "changes"),
    ("rest-changes", "sent.news", "controller", "bytes/s", "news, per control machine, by changes a day", "changes"),
    ("change-tenants", "change.taken.news", "router", "bytes", "one change's news at a node, by tenants", "tenants"),
    ("change-tenants", "change.cpu.news", "router", "us", "processor time of one change at a node", "tenants"),
    ("change-tenants", "change.cpu.agreement", "controller", "us", "processor time of one change's agreement", "tenants"),
    ("change-tenants", "change.disk", "controller", "bytes", "bytes on disk of one change", "tenants"),
    ("change-nodes", "change.sent.news", "controller", "bytes", "one change's news at a control machine", "nodes"),
    ("change-nodes", "in_force.most", "operator", "ms", "longest time until a change is in force", "nodes"),
    ("change-tenants", "in_force.most", "operator", "ms", "the same by tenants", "tenants"),
    ("outage-nodes", "join.sent", "controller", "bytes", "a new node on the roster, per control machine", "nodes"),
    ("outage-nodes", "join.taken", "router", "bytes", "a new node on the roster, per node", "nodes"),
    ("outage-nodes", "recover", "router", "ms", "until all stand again after an outage of all", "nodes"),
    ("outage-tenants", "restart.image", "controller", "bytes", "snapshot for a node that starts, per control machine", "tenants"),
    ("outage-tenants", "copy", "controller", "bytes in all", "copy of a member", "tenants"),
    ("outage-tenants", "copy", "controller", "ms", "until a copied member votes", "tenants"),
    ("outage-control", "found", "controller", "ms", "until the membership is founded, by control machines", "control"),
    ("state-tenants", "configured", "router", "bytes", "configuration at a node, by tenants (instances)", "tenants"),
    ("state-tenants", "configured", "controller", "bytes", "configuration at a control machine", "tenants"),
    ("state-tenants", "credits", "router", "bytes", "credits, one a tenant, whole pool in each part", "tenants"),
    ("state-tenants", "page.metrics", "operator", "bytes", "a node's metrics page", "tenants"),
    ("state-paths", "configured", "router", "bytes", "configuration at a node, by paths of 300 tenants", None),
    ("state-replicas", "configured", "router", "bytes", "lists at a node, by replicas", "replicas"),
    ("state-calls", "calls", "router", "bytes", "calls in hand", None),
    ("state-calls", "streams", "router", "bytes", "their streams", None),
    ("state-ids", "ids", "router", "bytes", "ids of requests, bounded", None),
    ("state-prefixes", "prefixes", "router", "bytes", "prefixes and sessions, bounded", None),
    ("cost-tenants", "request", "router", "us", "one request, by credits in use", "tenants"),
    ("cost-tenants", "clock", "router", "us/s", "a node's clock events, by credits in use, 600 replicas", "tenants"),
    ("cost-replicas", "request", "router", "us", "one request, by replicas", "replicas"),
    ("cost-replicas", "clock", "router", "us/s", "a node's clock events, by replicas, 300 tenants", "replicas"),
    ("cost-calls", "request", "router", "us", "one request, by calls in hand", None),
    ("cost-calls", "clock", "router", "us/s", "a node's clock events, by calls in hand", None),
    ("cost-calls", "piece", "router", "us", "one piece of a stream", None),
    ("real", "real.cpu", "router", "us/s", "a real node process at rest", "nodes"),
    ("real", "real.own", "router", "bytes", "its own memory", None),
    ("real", "real.resident", "router", "bytes", "its resident memory, libraries included", None),
    ("real", "real.threads", "router", "threads", "its threads", None),
    ("real", "real.cpu", "controller", "us/s", "a real control process at rest", "nodes"),
]


def slopes(f):
    rows = []
    for group, measure, role, unit, what, sized in SLOPES:
        points = f.get(group, measure, role, unit)
        if len(points) < 2:
            raise ValueError(f"no slope recorded: {group} {measure} {role} {unit}")
        base, slope, miss = fit(points)
        where = bend(points, BENDS[f.kinds[(group, measure, role, unit)]])
        at = "-"
        if sized:
            at = number(f.at(group, measure, role, unit, TARGET[sized]))
            if all(x != TARGET[sized] for x, _ in points):
                at += " (drawn out)"
        rows.append((what, f"{f.of[group]}, {number(points[0][0])} to {number(points[-1][0])}, {len(points)} sizes", f"{number(base)} + {number(slope)} x",
                     unit, f"{100 * miss:.0f}%", "no" if where is None else f"at {number(where)}", at))
    return table(["what", "sizes x", "line", "unit", "worst miss", "bends", "at the target"], rows)


def codec(f):
    nodes = TARGET["nodes"]
    rows = []
    for group, measure, role, unit in sorted(f.points):
        if group != "rest-nodes" or not measure.startswith("pack."):
            continue
        kind = measure[5:]
        taker = role if f.get(group, "unpack." + kind, role, unit) else {"router": "controller", "controller": "router"}[role]
        rows.append((kind, role, number(f.at(group, "size." + kind, role, "bytes/message", nodes)), number(f.at(group, measure, role, unit, nodes)),
                     taker, number(f.at(group, "unpack." + kind, taker, unit, nodes)), number(f.at(group, "handle." + kind, taker, unit, nodes))))
    return table(["message", "sent by", "bytes", "pack, us", "taken by", "unpack, us", "handle, us"], rows)


class Target:
    """What follows for each role at the target's size."""

    def __init__(self, f):
        self.f = f
        n = TARGET["nodes"]
        t = TARGET["tenants"]
        self.tokens_each = TARGET["tokens"] / TARGET["requests"]
        self.lasts = (TARGET["first_ms"] + TARGET["gap_ms"] * self.tokens_each) / 1000.0
        self.in_hand = TARGET["requests"] * self.lasts
        self.calls = self.in_hand / n
        self.requests = TARGET["requests"] / n
        self.ids = self.requests * SEEN_FOR
        self.changes = TARGET["changes"] / DAY
        self.joins = TARGET["restarts"] / DAY
        self.bytes = {}
        self.cpu = {}
        for role in ("router", "controller"):
            rest = f.at("rest-nodes", "sent.all", role, "bytes/s", n) + f.at("rest-nodes", "taken.all", role, "bytes/s", n)
            change = sum(f.only("target-change", "change.%s.%s" % (way, duty), role, "bytes")
                         for way in ("sent", "taken") for duty in CHANGE_DUTIES)
            join = sum(f.at("outage-nodes", "join." + way, role, "bytes", n) for way in ("sent", "taken"))
            self.bytes[role] = {"rest": rest, "changes": change * self.changes, "joins": join * self.joins, "one change": change}
            change_cpu = sum(f.only("target-change", "change.cpu." + duty, role, "us") for duty in CHANGE_DUTIES)
            self.cpu[role] = {"rest": f.at("rest-nodes", "cpu.all", role, "us/s", n), "changes": change_cpu * self.changes, "one change": change_cpu}
        self.snapshot = f.at("outage-tenants", "restart.image", "controller", "bytes", t)
        self.fanout = self.bytes["controller"]["one change"]


def node(f):
    t = Target(f)
    bytes_ = t.bytes["router"]
    cpu = t.cpu["router"]
    traffic = bytes_["rest"] + bytes_["changes"] + bytes_["joins"]
    contacts = sum(f.at("rest-nodes", way + ".contacts", "router", "bytes/s", TARGET["nodes"]) for way in ("sent", "taken"))
    confirm = sum(f.at("rest-nodes", way + ".confirmations", "router", "bytes/s", TARGET["nodes"]) for way in ("sent", "taken"))
    shuffles = sum(f.at("rest-nodes", way + ".shuffles", "router", "bytes/s", TARGET["nodes"]) for way in ("sent", "taken"))
    largest, real = f.get("real", "real.cpu", "router", "us/s")[-1]
    at_none, each_node, _ = fit(f.get("real", "real.cpu", "router", "us/s"))
    drawn = at_none + each_node * TARGET["nodes"]
    messages = sum(f.at("rest-nodes", way + ".all", "router", "messages/s", TARGET["nodes"]) for way in ("sent", "taken"))
    sent = f.at("rest-nodes", "sent.all", "router", "bytes/s", TARGET["nodes"])
    base = f.at("real", "real.own", "router", "bytes", TARGET["nodes"])
    resident = f.at("real", "real.resident", "router", "bytes", TARGET["nodes"])
    contacts_state = f.at("rest-nodes", "state", "router", "bytes", TARGET["nodes"])
    configuration = f.at("state-tenants", "configured", "router", "bytes", TARGET["tenants"])
    credits = f.at("state-tenants", "credits", "router", "bytes", TARGET["tenants"])
    calls = sum(f.at("state-calls", m, "router", "bytes", t.calls) for m in ("calls", "streams"))
    ids = f.at("state-ids", "ids", "router", "bytes", t.ids)
    prefixes = max((y for _, y in f.get("state-prefixes", "prefixes", "router", "bytes")))
    held = max((y for _, y in f.get("state-prefixes", "held.prefixes", "router", "prefixes")))
    each = prefixes / held
    control_memory = resident + contacts_state + configuration
    clock = f.at("cost-tenants", "clock", "router", "us/s", TARGET["tenants"])
    request = f.at("cost-tenants", "request", "router", "us", TARGET["tenants"])
    piece = f.at("cost-calls", "piece", "router", "us", 254)
    spread = each * (TARGET["prefixes"] + TARGET["sessions"] / TARGET["nodes"])
    anywhere = each * (TARGET["prefixes"] + TARGET["sessions"])
    rows = [
        ("**messages**, bytes/s sent and taken", number(traffic), number(ALLOWED_BYTES), verdict(traffic, ALLOWED_BYTES), "the sum of the rows from confirmations to restarts"),
        ("of that at rest; sent alone", f"{number(bytes_['rest'])}; {number(sent)}", number(ALLOWED_BYTES), verdict(bytes_["rest"], ALLOWED_BYTES), "the next three rows"),
        ("confirmations", number(confirm), "", "", "asked of two held control machines by a digest; keys are named on a mismatch alone"),
        ("contacts", number(contacts), "", "", "two neighbours a second; six each 200 ms while control confirms nothing for 600 ms"),
        ("shuffles", number(shuffles), "", "", "8 contacts each 1.2 s: places, incarnations and ages of what the roster names"),
        ("changes, 550 a day", number(bytes_["changes"]), "", "", "both held control machines push the whole family; will be: only what changed, from one"),
        ("nodes restarted or replaced, 320 a day, as if each were new", number(bytes_["joins"]), "", "", "the whole roster from both held control machines; will be: roster as changes"),
        ("**processor time** of control, share of a core", f"{100 * (cpu['rest'] + cpu['changes']) / 1e6:.2g}%", "1.2%", verdict(cpu["rest"] + cpu["changes"], ALLOWED_CPU),
         "reducers and packing alone, of hollow processes"),
        (f"the same of real processes at {largest:.0f} nodes, sockets and threads included", f"{100 * real / 1e6:.2g}%", "1.2%", verdict(real, ALLOWED_CPU), "links, threads and clocks cost more than reducers and packing"),
        ("that drawn out by the line through all sizes", f"{100 * drawn / 1e6:.2g}%", "1.2%", verdict(drawn, ALLOWED_CPU), "messages are as many at any size"),
        ("messages a second, sent and taken", number(messages), "", "", "two held control machines, two neighbours"),
        ("one change, ms", f"{cpu['one change'] / 1e3:.3g}", "", "", "a family is rendered as one; will be: only the instance that changed"),
        ("**memory** of control, bytes", number(control_memory), number(ALLOWED_MEMORY), verdict(control_memory, ALLOWED_MEMORY), "process, contacts and configuration"),
        ("process with its libraries, resident (of that its own), drawn out", f"{number(resident)} ({number(base)})", "", "", f"libraries, and links of the last twenty seconds: {number(f.at('links-nodes', 'links.held', 'router', 'links', TARGET['nodes']))} held, {number(f.at('links-nodes', 'links.dialled', 'router', 'links/s', TARGET['nodes']))} dialled a second; the line of memory is drawn past the size at which these stop growing"),
        ("contacts, roster, revisions", number(contacts_state), "", "", "the roster and an age for each of it"),
        ("configuration: 2,900 tenants, 600 replicas", number(configuration), "", "", "each path of each instance is rendered; will be: rendered on first use"),
        ("memory with the state of the next rows added, bytes", number(control_memory + calls + credits + ids + prefixes), "", "", "the allowance is for control alone; ids, prefixes and credits are bounded or by tenant"),
        ("*requests*: in hand", f"{t.calls:.0f} calls, {number(calls)} bytes", "", "", f"{t.requests:.3g} a second, {t.lasts:.3g} s each"),
        ("*requests*: processor time of the reducer, share of a core", f"{100 * t.requests * request / 1e6:.2g}%", "", "", f"{number(request)} us each with 2,900 credits; grows with credits in use"),
        ("*pieces*: the same at one token a piece", f"{100 * TARGET['tokens'] / TARGET['nodes'] * piece / 1e6:.2g}%", "", "", f"{number(piece)} us each; the HTTP edge's sockets are not in it"),
        ("*credits*: processor time of looks, share of a core", f"{100 * clock / 1e6:.3g}%", "100%", verdict(clock, 1e6),
         "looks at credits that are awake, here all 2,900, with the whole pool in each part; at rest they cost nothing"),
        ("*credits*: state", f"{number(credits)} bytes", "", "", "one for each tenant that the node has served, with the whole pool in each part; candidates are shared by pool"),
        ("*ids*: 10 minutes", f"{t.ids:.0f} ids, {number(ids)} bytes", "", "", "bounded at 100,000"),
        ("*prefixes and sessions*: kept", f"{held:.0f}, {number(prefixes)} bytes", "", "", "bounded at 20,000, oldest out first"),
        ("*prefixes and sessions*: if all shared ones and the node's own sessions were kept", f"{number(spread)} bytes", "", "",
         f"{each:.0f} bytes each; needs callers that stay with a node; will be: prefix chains, bounded, aged by each replica's memory"),
        ("*prefixes and sessions*: if callers went to any node and each kept all", f"{number(anywhere)} bytes", "", "", "does not fit, so the bound forgets the oldest and their prompts are read again; will be: the same, chains by hash"),
    ]
    return table(["a node at the target", "figure", "allowance", "", "carried by"], rows)


def control(f):
    t = Target(f)
    bytes_ = t.bytes["controller"]
    cpu = t.cpu["controller"]
    n = TARGET["nodes"]
    traffic = bytes_["rest"] + bytes_["changes"] + bytes_["joins"]
    nodes_state = f.at("rest-nodes", "state", "controller", "bytes", n)
    configuration = f.at("state-tenants", "configured", "controller", "bytes", TARGET["tenants"])
    burst = t.fanout * TARGET["control"]
    real = f.at("real", "real.cpu", "controller", "us/s", n)
    rows = [
        ("messages at rest, bytes/s sent and taken", number(bytes_["rest"]), "each node asks two of the control machines"),
        ("of that, heartbeats among control machines", number(2 * f.at("rest-nodes", "sent.beats", "controller", "bytes/s", n)), "digests of the keys; flat in nodes"),
        ("changes, 550 a day, bytes/s", number(bytes_["changes"]), "each pushes each change to the nodes that it holds, and tells the others how far it is"),
        ("one change, bytes sent and taken", number(bytes_["one change"]), f"{number(burst)} in all six, the whole family each time; will be: only what changed, from one of the two"),
        ("new nodes, bytes/s", number(bytes_["joins"]), "roster as a whole text; will be: as changes"),
        ("one node that starts, bytes, a mean over the control machines", number(t.snapshot), "whole snapshots from the two that it holds; will be: from one"),
        ("all traffic, bytes/s", number(traffic), "no allowance said"),
        ("processor time at rest, share of a core", f"{100 * cpu['rest'] / 1e6:.3g}%", "confirmations, and clock events that walk every held node"),
        ("the same of real processes, drawn out from the two largest sizes", f"{100 * real / 1e6:.3g}%", "links and threads included; 3 control machines there, so each holds twice as many nodes"),
        ("processor time of one change, ms", f"{cpu['one change'] / 1e3:.3g}", "judged, packed and written as a whole family; its messages to 350 nodes"),
        ("processor time of changes, share of a core", f"{100 * cpu['changes'] / 1e6:.2g}%", ""),
        ("state: nodes, bytes", number(nodes_state), "a digest for each held node, and what it lacks"),
        ("state: configuration, bytes", number(configuration), "registers and committed values"),
        ("disk for one change, bytes", number(f.at("change-tenants", "change.disk", "controller", "bytes", TARGET["tenants"])), "the whole family on each record"),
        ("machines", f"{TARGET['control']} of 6", "holds; see the loss of a region"),
    ]
    return table(["a control machine at the target", "figure", "carried by"], rows)


def whole(f):
    t = Target(f)
    n = TARGET["nodes"]
    c = TARGET["control"]
    rows = []
    for name, nodes, machines in (("a region", n / 2, c / 2), ("in all", n, c)):
        traffic = sum(nodes * t.bytes["router"][k] + machines * t.bytes["controller"][k] for k in ("rest", "changes", "joins")) / 2
        cpu = sum(nodes * t.cpu["router"][k] + machines * t.cpu["controller"][k] for k in ("rest", "changes")) / 1e6
        state = nodes * (f.at("rest-nodes", "state", "router", "bytes", n) + f.at("state-tenants", "configured", "router", "bytes", TARGET["tenants"]))
        state += machines * (f.at("rest-nodes", "state", "controller", "bytes", n) + f.at("state-tenants", "configured", "controller", "bytes", TARGET["tenants"]))
        messages = (nodes * f.at("rest-nodes", "sent.all", "router", "messages/s", n) + machines * f.at("rest-nodes", "sent.all", "controller", "messages/s", n))
        rows.append((name, number(nodes), number(machines), number(messages), number(traffic), f"{cpu:.3g}", number(state)))
    rows.append(("allowed in all", number(n), number(c), "", number(n * ALLOWED_BYTES), f"{n * ALLOWED_CPU / 1e6:.3g} for nodes", f"{number(n * ALLOWED_MEMORY)} for nodes"))
    return table(["control at the target", "nodes", "control machines", "messages/s", "bytes/s (each counted once)", "cores", "state, bytes"], rows)


def operators(f):
    n = TARGET["nodes"]
    rows = [
        ("changes", f"550 a day, one each {DAY / 550:.0f} s", "one call and one answer each; the tools hold nothing between calls"),
        ("the page of the fleet, bytes", number(f.at("rest-nodes", "page.fleet", "operator", "bytes", n)), "read when asked for"),
        ("a node's metrics page, bytes", number(f.at("state-tenants", "page.metrics", "operator", "bytes", TARGET["tenants"])), "four lines a credit; will be: credits in use alone"),
        ("all nodes' metrics each 15 s, bytes/s", number(n * f.at("state-tenants", "page.metrics", "operator", "bytes", TARGET["tenants"]) / 15), "the same"),
    ]
    return table(["operators' tools at the target", "figure", "carried by"], rows)


def events(f):
    n = TARGET["nodes"]
    force = f.only("target-change", "in_force.most", "operator", "ms")
    median = f.only("target-change", "in_force.median", "operator", "ms")
    t = Target(f)
    work = (t.cpu["controller"]["one change"] + t.cpu["router"]["one change"]) / 1000.0
    zone_change = f.at("zone-nodes", "zone.change", "operator", "ms", n)
    zone_next = f.at("zone-nodes", "zone.next_change", "operator", "ms", n)
    recover = f.only("target-outage", "recover", "router", "ms")
    recover_work = sum(f.only("target-outage", "recover.cpu", r, "us") for r in ("router", "controller")) / 1000.0
    rows = [
        ("a change in force, median and longest of 12, at the whole target, by messages alone", f"{ms(median)}, {ms(force)}", "5 s", verdict(force, TARGET["force_ms"]), "all nodes acknowledge; a dark one costs the fence of 1.7 s"),
        ("the longest with all processor time of one control machine and one node added", ms(force + work), "5 s", verdict(force + work, TARGET["force_ms"]), "the whole family is packed for each node"),
        ("a zone goes dark: nodes of the rest that stand", number(f.at("zone-nodes", "zone.standing", "router", "least share of the rest", n)), "1", "holds" if f.at("zone-nodes", "zone.standing", "router", "least share of the rest", n) == 1 else "**fails**", "confirmations of the five other control machines; held ones that went dark are replaced"),
        ("a zone goes dark: first change, the next one", f"{ms(zone_change)}, {ms(zone_next)}", "5 s", verdict(zone_change, TARGET["force_ms"]), "a majority and the fence; a key of a lost owner waits for the next one"),
    ]
    for members in (3, 4, 5, 6):
        share = [f.at("split-control", "split.standing.region%d" % r, "router", "share", members) for r in (1, 2)]
        disks = [f.at("split-control", "split.members.region%d" % r, "controller", "machines", members) for r in (1, 2)]
        changes = [f.at("split-control", "split.change.region%d" % r, "operator", "ms", members) for r in (1, 2)]
        status = [f.at("split-control", "split.status.region%d" % r, "operator", "status", members) for r in (1, 2)]
        told = ["in force after " + ms(c) if c >= 0 else f"not in force ({s:.0f})" for c, s in zip(changes, status)]
        rows.append((f"regions lose each other, control machines {disks[0]:.0f} + {disks[1]:.0f}: nodes that stand in each", f"{share[0]:.0%}, {share[1]:.0%}; a change is {told[0]}, {told[1]}", "100%, 100%",
                     "holds" if min(share) == 1 else "**fails**", "a majority of the disks or of the roster; will be: a membership and a roster in each region, changes exchanged when joined"))
    rows += [
        ("the same at 350 nodes, 3 + 3, and back after it", f"{f.at('split-nodes', 'split.standing.region1', 'router', 'share', n):.0%}, {f.at('split-nodes', 'split.standing.region2', 'router', 'share', n):.0%}; back in {ms(f.at('split-nodes', 'split.back', 'router', 'ms', n))}", "", "", ""),
        ("one node restarted, at the target, until it stands", ms(f.only("target-outage", "restart", "router", "ms")), "", "", "whole snapshot; 320 a day are one each 270 s"),
        ("a new node, at the target, until it stands", ms(f.only("target-outage", "join", "router", "ms")), "", "", "a change of the roster, one at a time"),
        ("a member copied after its disk was lost, at the target", ms(f.only("target-outage", "copy", "controller", "ms")), "", "", f"{number(f.only('target-outage', 'copy', 'controller', 'bytes in all'))} bytes"),
        ("all processes killed, until all nodes stand, at the target, by messages alone", ms(recover), "12 s", verdict(recover, 12000), "the registers' owners are found again; whole snapshots"),
        ("the same with all processor time of one control machine and one node added", ms(recover + recover_work), "12 s", verdict(recover + recover_work, 12000), "snapshots packed anew for each node and each ask; will be: packed once"),
        ("the membership founded", ms(f.at("outage-control", "found", "controller", "ms", 6)), "", "", ""),
    ]
    return table(["what happens", "measured", "aim", "", "carried by"], rows)


def peak(f):
    t = Target(f)
    rows = []
    for name, nodes, replicas in (("all up", 350, 600), ("a zone lost (one of six)", 350 * 5 / 6, 500), ("15 nodes failed", 335, 600), ("a region lost", 175, 300)):
        rows.append((name, f"{nodes:.0f}", f"{TARGET['requests'] / nodes:.3g}", f"{t.in_hand / nodes:.0f}", number(TARGET["tokens"] / nodes), f"{replicas:.0f}", f"{TARGET['requests'] / replicas:.3g}", f"{t.in_hand / replicas:.0f}"))
    return table(["peak of 7,100 requests a second", "nodes", "requests/s each", "calls in hand each", "tokens/s each", "replicas", "requests/s each", "in hand each"], rows)


def check(f):
    n = TARGET["nodes"]
    rows = []
    for what, measure, role, unit in (("messages a node sends, a second", "sent.all", "router", "messages/s"), ("bytes a node sends, a second", "sent.all", "router", "bytes/s"),
                                      ("bytes a control machine sends, a second", "sent.all", "controller", "bytes/s"), ("processor time of a node, us/s", "cpu.all", "router", "us/s"),
                                      ("processor time of a control machine, us/s", "cpu.all", "controller", "us/s")):
        told = f.at("rest-nodes", measure, role, unit, n)
        found = f.only("target-rest", measure, role, unit)
        rows.append((what, number(told), number(found), f"{100 * (found - told) / told:+.0f}%"))
    told = f.at("change-tenants", "change.taken.news", "router", "bytes", TARGET["tenants"])
    found = f.only("target-change", "change.taken.news", "router", "bytes")
    rows.append(("one change's news at a node, bytes", number(told), number(found), f"{100 * (found - told) / told:+.0f}%"))
    return table(["at 350 nodes", "from one argument at a time", "with all arguments at the target", ""], rows)


def commands(f):
    rows = []
    for line in (HERE / "runs.txt").read_text().splitlines():
        name, command = line.split(" ", 1)
        rows.append((f"`{name}`", f"`build/testing/{command}`"))
    return table(["figures, `docs/capacity/record NAME`", "command"], rows)


def landed(f):
    n = TARGET["nodes"]
    both = {what: sum(f.at("rest-nodes", f"{way}.{what}", role, "bytes/s", n) for way in ("sent", "taken"))
            for what, role in (("contacts", "router"), ("confirmations", "router"), ("shuffles", "router"), ("holdings", "controller"))}
    news = f.only("target-change", "change.taken.news", "router", "bytes")
    acks = sum(f.only("target-change", "change.%s.holdings" % way, "controller", "bytes") for way in ("sent", "taken"))
    clock = f.at("cost-tenants", "clock", "router", "us/s", TARGET["tenants"])
    held = f.at("links-nodes", "links.held", "router", "links", n)
    rows = [
        ("a shuffle of whole contacts each 1.2 s", "places, incarnations and ages of what the roster names", f"{number(both['shuffles'])} bytes/s a node"),
        ("links to ever new neighbours, each kept for two minutes", "let go after twenty seconds", f"{number(held)} links a node"),
        ("looks at all credits and all replicas ten times a second", "looks at credits that are awake; candidates made anew when a list, a zone or a rest changes, and shared by pool", f"{100 * clock / 1e6:.2g}% of a core with all credits awake"),
        ("ages asked of six neighbours between two answers of control, at a share of the nodes that grew with the fleet", "asked after two questions' time without an answer that counts", f"{number(both['contacts'])} bytes/s a node, with the sample of the next row"),
        ("contacts of every node with every other", "a bounded sample of neighbours that pass on ages", f"{number(both['contacts'])} bytes/s a node"),
        ("confirmations from every control machine with every key", "a digest of the configuration's revisions, asked of two held control machines", f"{number(both['confirmations'])} bytes/s a node"),
        ("news acknowledged to every control machine and relayed among them", "acknowledged to the held ones, who tell the others one bit a node", f"{number(both['holdings'])} bytes/s a control machine at rest, {number(acks)} bytes for one change"),
        ("every control machine pushing every change to every node", "the held ones alone push; still the whole family", f"{number(news)} bytes a node for one change"),
    ]
    return table(["what did not fit", "mechanism that carries it", "figure now, sent and taken"], rows)


TABLES = {"node": node, "landed": landed, "control": control, "whole": whole, "operators": operators, "events": events, "peak": peak, "slopes": slopes, "codec": codec, "check": check, "commands": commands}


def made(page, figures):
    """The page with every table made anew."""
    names = re.findall(r"<!-- table (\w+) -->", page)
    for name in TABLES:
        if name not in names:
            raise ValueError(f"the page lacks the table {name}")
    return re.sub(r"<!-- table (\w+) -->\n.*?<!-- end -->", lambda m: f"<!-- table {m[1]} -->\n{TABLES[m[1]](figures)}\n<!-- end -->", page, flags=re.S)


def main(words):
    if words not in ([], ["--check"]):
        print("tables.py: takes nothing or --check", file=sys.stderr)
        return 2
    figures = Figures(HERE)
    page = PAGE.read_text()
    try:
        fresh = made(page, figures)
    except ValueError as e:
        print(f"tables.py: {e}", file=sys.stderr)
        return 1
    if words == ["--check"]:
        for number_, (a, b) in enumerate(zip(page.splitlines(), fresh.splitlines()), 1):
            if a != b:
                print(f"docs/CAPACITY.md:{number_} does not follow from docs/capacity/*.csv:\n  page:    {a}\n  figures: {b}")
        return 0 if page == fresh else 1
    PAGE.write_text(fresh)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
