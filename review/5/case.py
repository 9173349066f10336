"""A batch job that was accepted is unknown once the manifest has its first tenants.

Sequence: a trainer submits a batch job under a manifest without tenants and gets 202. A manifest with the trainer's tenant
is acknowledged. The trainer reads on, with its key. With TROUBLE=0 the second manifest has no tenants, and the trainer
sends no key.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

import fleet2
from engines2 import LENGTH
from engines2 import Engine
from engines2 import Lot
from engines2 import lot_routes
from engines2 import piece
from fleet2 import CONTACT_S
from fleet2 import Fleet
from fleet2 import Sampler
from fleet2 import manifest

KEY = "key-of-the-trainer"
TENANTS = [{"Name": "training", "ApiKeys": [KEY]}]
SETTLE_S = 1.0
CONFIG_APPLY_S = 2.0
READS = 12


async def case(record, trouble):
    fleet = Fleet(record)
    samplers = []
    try:
        fleet.start()
        routes, services = lot_routes()
        for route in routes:
            # A reward call "needs no key or tenant".
            route["Public"] = route["Name"] == "r-score"
        await fleet.configure(manifest(1, routes, services))
        await fleet.wait_ready()
        samplers = [Engine(fleet, event_s=0.2) for _ in range(3)] + [Sampler(fleet, "desk") for _ in range(4)]
        for sampler in samplers:
            await sampler.start()
        await asyncio.sleep(CONTACT_S + 1.0)
        lot = Lot(fleet)
        if not await lot.submit():
            raise fleet2.CannotRun("the batch job was not accepted")
        accepted = record.now()
        await asyncio.sleep(1.5)
        if await lot.read(0) != 200:
            raise fleet2.CannotRun("the batch job could not be read at first")
        second = manifest(2, routes, services)
        if trouble:
            second["Tenants"] = TENANTS
        await fleet.configure(second)
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        if trouble:
            lot.key = KEY
        statuses = []
        for _ in range(READS):
            status = await lot.read()
            statuses.append(status)
            record.write(f"lot {lot.id} read: {status}, {len(lot.results)} results of {len(lot.items)}")
            await asyncio.sleep(0.5)
        runs = sum(len(sampler.runs) for sampler in samplers if isinstance(sampler, Engine))
        text = "\n".join(piece(lot.items[0]["Id"], number) for number in range(1, LENGTH + 1))
        whole = any(result.get("Text") == text for result in lot.results)
        status, _, _ = await lot.call("DELETE", f"/lots/{lot.id}", {}, b"", 2.5)
        record.write(f"lot {lot.id} ended: {status}; its items ran {runs} times; the first one's text was read: {whole}")
        lost = [status for status in statuses if status in (404, 410)]
        record.write(f"{len(lost)} of {READS} reads later than {SETTLE_S} s after the 202 ({accepted:.3f}) got 404 or 410")
        if not lost and not whole:
            raise fleet2.CannotRun(f"the batch job was not read: {statuses}")
        return 1 if lost else 0
    finally:
        for sampler in samplers:
            await sampler.end()
        fleet.stop()


fleet2.main(HERE, case)
