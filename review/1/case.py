"""Control is lost for good when a disk is lost just after a control machine was replaced."""

import asyncio
import json
import os
import shutil
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

import fleet as f

HOST, PREFIX, SERVICE = "ficu95.example", "/lohu930/", "huvo11a"
# How long the machine that lost its disk is down.
DOWN_S = 1.0
# How long the manifest is asked for after the recovery time.
READ_S = 20.0


def document(version):
    route = {"Name": "r-1", "Host": HOST, "PathPrefix": PREFIX, "Kind": "idempotent",
             "TimeoutMs": 2000 + version, "TargetLatencyMs": 150, "Priority": 2,
             "Service": SERVICE, "MaxAttempts": 2}
    service = {"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 110,
               "Protocol": "h1", "Tls": False}
    return f.manifest(version, [route], [service])


async def put(fleet, record, version):
    """Sends a manifest until it is acknowledged. Returns the process that did so."""
    until, turn = f.now() + f.CATCH_UP_S, 0
    while f.now() < until:
        core = fleet.cores[turn % len(fleet.cores)]
        turn += 1
        answer = await f.call((core.ip, f.CONTROL_PORT), "PUT", "/configuration", document(version))
        if answer and answer[0] == 200:
            record("manifest_acknowledged", version=version, by=core.name)
            return core
        await asyncio.sleep(0.05)
    raise f.CannotRun(f"version {version} was not acknowledged")


async def case(record, trouble):
    fleet = f.Fleet(record, stores=2)
    try:
        fleet.start()
        await fleet.operator("PUT", "/configuration", document(3))
        await asyncio.sleep(f.CONTACT_S + 1.0)
        fleet.check_alive()

        # A planned replacement: the new machine comes first, and has had its time to catch up
        # before the old one is stopped and removed.
        fleet.add_core()
        await asyncio.sleep(f.CATCH_UP_S + 0.5)
        old = fleet.cores[2]
        old.signal(f.signal.SIGTERM)
        until = f.now() + f.GRACE_S
        while old.child.poll() is None and f.now() < until:
            await asyncio.sleep(0.02)
        if old.child.poll() is None:
            old.kill()
        removed_at = f.now()
        shutil.rmtree(old.folder)
        fleet.cores.remove(old)
        record("machine_removed", node=old.name)

        # One machine loses its disk right after it has acknowledged a manifest.
        hit = await put(fleet, record, 4)
        if trouble:
            hit.kill()
            shutil.rmtree(hit.folder)
            record("disk_lost", node=hit.name, after_removal=f"{f.now() - removed_at:.2f}s")
            await asyncio.sleep(DOWN_S)
            hit.start()

        await asyncio.sleep(f.RECOVERY_S)
        until, read, statuses = f.now() + READ_S, None, []
        while f.now() < until and read != 4:
            for core in fleet.cores:
                answer = await f.call((core.ip, f.CONTROL_PORT), "GET", "/configuration")
                status = answer[0] if answer else "none"
                statuses.append(status)
                if status == 200:
                    read = json.loads(answer[2])["Version"]
                record("manifest_read", node=core.name, status=status, version=read)
            await asyncio.sleep(0.5)
        fleet.check_alive()
        record("judged", read=read, reads=len(statuses))
        if read == 4:
            return True
        print(f"the manifest was not read back within {f.RECOVERY_S + READ_S:.0f} s:",
              f"{len(statuses)} reads, answers {sorted(set(map(str, statuses)))}")
        return False
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(f.run(case, os.path.join(HERE, "record.txt")))
