"""A result joins the events of two runs after all machines that count were killed."""

import asyncio
import json
import os
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

import fleet as f

HOST, PREFIX, SERVICE, MODEL = "ficu95.example", "/pule252/", "huvo11a", "daka51"
JOB, ITEM = "7c41e09b52d6a3f8", "e5b2907c14da6f38"
EVENTS, STEP_S = 150, 0.04
EVENT = re.compile(r"(\d+):v(\d+):run(\d+)$")


def batch_job():
    headers = {"X-Model": MODEL, "X-Token-Count": "40,150", "X-Prompt-Prefix": "9c2e41:40"}
    item = {"Id": ITEM, "Path": PREFIX + "3/91c4", "Headers": headers, "Body": "cHJvbXB0",
            "Tokens": 190, "Group": "g1"}
    return {"Step": 0, "Model": MODEL, "MinVersion": 1, "GroupCount": 1, "Items": [item]}


async def read_result(fleet, record):
    entry = (fleet.entries[0].ip, f.ENTRY_PORT)
    answer = await f.call(entry, "GET", f"/lots/{JOB}?After=0", headers={"Host": HOST}, limit=3.0)
    if not answer or answer[0] != 200:
        record("job_read", status=answer and answer[0])
        return None
    results = json.loads(answer[2])["Results"]
    return results[0] if results else None


def faults(result, asked):
    """Returns what is wrong with the text of a result. `asked` is the event after which each run
    was asked to go on."""
    wrong = []
    events = [EVENT.match(line) for line in result["Text"].split("\n")]
    if not all(events):
        return ["a line that is no event"]
    events = [tuple(int(part) for part in event.groups()) for event in events]
    numbers = [number for number, _, _ in events]
    if numbers != list(range(1, EVENTS + 1)):
        wrong.append(f"ORDER: the events are {numbers}")
    for before, event in zip(events, events[1:]):
        if event[2] != before[2] and asked[event[2]] != before[0]:
            wrong.append(f"ORDER: after event {before[0]} of run {before[2]} the text goes on with"
                         f" run {event[2]}, which was asked to go on after {asked[event[2]]}")
    versions = sorted({version for _, version, _ in events})
    if versions != result["Versions"]:
        wrong.append(f"VERSION: Versions is {result['Versions']}, the events were made by"
                     f" {versions}")
    if len(versions) > 1:
        wrong.append(f"VERSION: the events were made by {versions} on a SingleVersion route")
    return wrong


async def case(record, trouble):
    fleet = f.Fleet(record, stores=3)
    first = f.Engine(fleet, "i-1", SERVICE, 1, f.ZONES[0], MODEL, EVENTS, STEP_S)
    second = f.Engine(fleet, "i-2", SERVICE, 2, f.ZONES[1], MODEL, EVENTS, STEP_S, version=2)
    asked = {}
    for engine in (first, second):
        def run(writer, request, after, engine=engine, run=engine.run):
            asked[f.Engine.runs + 1] = after
            return run(writer, request, after)
        engine.run = run
    try:
        fleet.start()
        route = {"Name": "r-1", "Host": HOST, "PathPrefix": PREFIX, "Kind": "rollout",
                 "TargetLatencyMs": 400, "ResultDeadlineMs": 20000, "MaxAgeS": 60, "Priority": 1,
                 "SingleVersion": True, "Service": SERVICE, "MaxAttempts": 3}
        service = {"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 150,
                   "Protocol": "h1", "Tls": False,
                   "Engine": {"Slots": 8, "KvCacheTokens": 67574, "Models": [{"Name": MODEL}]}}
        await fleet.operator("PUT", "/configuration", f.manifest(3, [route], [service]))
        await first.start()
        await asyncio.sleep(f.CONTACT_S + 1.0)
        fleet.check_alive()

        entry = (fleet.entries[0].ip, f.ENTRY_PORT)
        headers = {"Host": HOST, "X-Attempt-Id": JOB, "Content-Type": "application/json"}
        answer = await f.call(entry, "POST", PREFIX + "7c41e0", batch_job(), headers, limit=4.0)
        record("job_submitted", status=answer and answer[0])
        if not answer or answer[0] != 202:
            raise f.CannotRun("the job was not accepted")
        submitted_at = f.now()

        # The trainer names version 2. A sampler that is added then starts with it.
        await asyncio.sleep(0.5)
        await fleet.operator("POST", "/version-put", {"Model": MODEL, "Version": 2})
        await second.start()
        if trouble:
            await asyncio.sleep(max(0.0, submitted_at + 2.0 - f.now()))
            if not first.arrivals:
                raise f.CannotRun("the first sampler did not run the item")
            first.exit()
            record("sampler_crashes", sampler=first.name)
            while not second.arrivals and f.now() < submitted_at + 10:
                await asyncio.sleep(0.01)
            if not second.arrivals:
                raise f.CannotRun("the second sampler did not run the item")
            await asyncio.sleep(1.8)
            # All machines that count are killed at the same time, and are back within a second.
            killed = fleet.cores + fleet.stores
            for node in killed:
                node.signal(f.signal.SIGKILL)
            for node in killed:
                node.child.wait()
            await asyncio.sleep(0.5)
            for node in killed:
                node.start()

        result, until = None, f.now() + 40.0
        while not result and f.now() < until:
            result = await read_result(fleet, record)
            await asyncio.sleep(0.3)
        if not result or result["State"] != "completed":
            raise f.CannotRun(f"no completed result: {result}")
        runs = re.findall(r":v(\d+):run(\d+)", result["Text"])
        parts = [(key, runs.count(key)) for key in dict.fromkeys(runs)]
        record("result", versions=result["Versions"],
               text=", ".join(f"{count} events of run {run} (version {version})"
                              for (version, run), count in parts))
        record("events", text=result["Text"].replace("\n", " "))
        wrong = faults(result, asked)
        for line in wrong:
            record("wrong", what=line)
            print(line)
        return not wrong
    finally:
        for engine in (first, second):
            if engine.server:
                engine.exit()
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run(case, os.path.join(HERE, "record.txt")))
