"""Starts the project's daemons as the deploy file does, and ends them."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]


def free_ports(count):
    """Returns free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Daemon:
    """One daemon, with its own settings file."""

    def __init__(self, record, folder, name, zone, ports):
        self.record = record
        self.name = name
        self.zone = zone
        self.caller, self.ready, self.peer, self.metrics = ports
        self.settings = folder / f"{name}.json"
        self.log = open(folder / f"{name}.log", "ab")
        self.process = None

    def write_settings(self, store, duties, seeds, bounds):
        def at(port):
            return f"127.0.0.1:{port}"

        self.settings.write_text(json.dumps({
            "host": self.name, "data_centre": self.zone, "caller_address": at(self.caller),
            "ready_address": at(self.ready), "peer_address": at(self.peer),
            "metrics_address": at(self.metrics), "store_address": at(store),
            "promotion_address": at(duties), "seeds": [at(port) for port in seeds],
            "processor_cores": 0.25, "link_mbps": 1000.0} | bounds))

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "SNIPEHEAD_BOOT": str(self.settings)}
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.write(self.name, "started")

    def signal(self, number):
        self.record.write(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def restart(self, pause_s):
        """Kills the daemon and starts it again after a pause."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(pause_s)
        self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


class Fleet:
    """All daemons of a case, in a temporary folder."""

    BOUNDS = {"revoke_limit_ms": 5000, "apply_limit_ms": 3000, "grace_s": 6}

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.daemons = []

    def add(self, count, zones):
        ports = free_ports(4 * count)
        for number in range(count):
            zone = zones[number % len(zones)]
            self.daemons.append(Daemon(
                self.record, pathlib.Path(self.folder.name), f"front-{zone}-{number + 1}", zone,
                ports[4 * number:4 * number + 4]))

    async def start(self, stores, duties):
        """Starts all daemons. `stores` has the store's port for each of them."""
        seeds = [one.peer for one in self.daemons[:3]]
        for one, store in zip(self.daemons, stores):
            one.write_settings(store, duties, seeds, self.BOUNDS)
            one.start()
        for _ in range(200):
            if all([await one.is_ready() for one in self.daemons]):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the daemons did not get ready")

    def named(self, name):
        return next(one for one in self.daemons if one.name == name)

    def end(self):
        keep = os.environ.get("KEEP_LOGS")
        for one in self.daemons:
            one.end()
        if keep:
            subprocess.run(["cp", "-r", self.folder.name, keep], check=False)
        self.folder.cleanup()
