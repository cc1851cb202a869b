"""Stand-ins of the platform for the scripts of the review: store, minions, links, clients.

Everything listens on 127.0.0.1 with ports that the system chooses. The stand-ins follow the
pages PROTOCOL.md, SYSTEM.md and DEPLOY.md; where a page is silent they behave like a sound server.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROW_BYTES = 65536          # platform.row_bytes
HISTORY_S = 20             # platform.history_s
TX_MS = 6                  # platform.tx_ms
MAX_HOLD_MS = 10000        # bounds.max_hold_ms
STOP_MS = 900              # bounds.stop_ms
GRACE_S = 6                # bounds.grace_s
STATUS_S = 120             # bounds.status_s
ENDS_AT_A_TIME = 500       # PROTOCOL.md, Running tasks: ends are returned 500 at a time
HEARTBEAT_S = 1.5          # heartbeat_ms
HOST = "127.0.0.1"
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "jackdawchute")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Returns unused ports; the sockets are closed again, so that a process can bind them."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_at

    def line(self, who, what, **values):
        rest = " ".join(f"{name}={value}" for name, value in values.items())
        self.file.write(f"{self.now():8.3f} {who} {what} {rest}\n")

    def say(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()
        print(f"{self.now():8.3f} {text}", flush=True)


# --- HTTP -----------------------------------------------------------------------------------

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP/1.1 on one port; `silent` makes it read nothing and answer nothing."""

    def __init__(self, handle):
        self.handle = handle
        self.silent = False
        self.server = None
        self.writers = set()
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 23,
                                                 backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if self.silent:
                    continue
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None or self.silent:
                    continue
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                              "content-type: application/json\r\n"
                              f"content-length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Ends the server as a crash does: the port is closed and all connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def http_call(port, method, path, body=None, host="localhost", headers=None, timeout=3.0):
    """Makes one HTTP call on a connection of its own; returns status and body, or (None, cause)."""

    async def call():
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 23)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            extra = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          "Content-Type: application/json\r\nConnection: close\r\n"
                          f"{extra}Content-Length: {len(data)}\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "broken"
            line, _, answer = message
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer"
    except (OSError, asyncio.IncompleteReadError) as cause:
        return None, type(cause).__name__


# --- Store ----------------------------------------------------------------------------------


class Store:
    """The platform's metadata store. Each instance may get an endpoint of its own, so that its
    path to the store can be cut, and so that it sees the minions at addresses of its own."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.down = None       # None, "busy" (503) or "silent"
        self.endpoints = []
        self.refused_rows = 0
        self.parts = {}

    async def endpoint(self, view=None):
        """Starts an endpoint; `view` maps a row of `servers` to what this endpoint shows."""

        async def handle(method, target, headers, body):
            return await self.handle(method, target, body, view)

        server = HttpServer(handle)
        await server.start()
        self.endpoints.append(server)
        return server

    def write(self, table, part, key, value):
        """Writes a row as the operator or a minion does; None drops it."""
        self.version += 1
        self.apply(table, part, key, value)
        self.wake()

    def apply(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[(table, part, key)] = row
        self.history.append((time.monotonic(), row))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, rows, **extra):
        return {"rows": rows, "ver": self.version,
                "now_ms": int(time.monotonic() * 1000), **extra}

    async def handle(self, method, target, body, view):
        if self.down == "busy":
            return 503, {}
        if self.down == "silent":
            return None
        url = urlsplit(target)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if (method, url.path) == ("POST", "/rows-tx"):
            return await self.transact(body)
        if (method, url.path) == ("GET", "/rows-get"):
            await asyncio.sleep(0.004)
            return self.read(query, view)
        if (method, url.path) == ("GET", "/rows-feed"):
            return await self.feed(query, view)
        return 404, {}

    async def transact(self, body):
        transaction = json.loads(body)
        expected = transaction.get("expected_revision", [])
        writes = transaction.get("set_keys", [])
        removed = transaction.get("remove", [])
        entries = expected + writes + removed
        parts = {row.get("part", "") for row in entries}
        if len(entries) > 100 or len(body) > 1 << 20 or len(parts) != 1:
            return 400, {}
        for row in writes:
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                self.refused_rows += 1
                if self.refused_rows <= 5:
                    self.record.say(f"store refuses row {row['table']}/{row['key']} of {size} "
                                    f"bytes; row_bytes is {ROW_BYTES}")
                return 400, {"error": "a value is larger than row_bytes"}
        if any(row["table"] in ("op", "servers") for row in writes + removed):
            return 403, {}
        lock = self.parts.setdefault(parts.pop(), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_MS / 1000)
            if self.down:
                return (503, {}) if self.down == "busy" else None
            name = lambda row: (row["table"], row.get("part", ""), row["key"])
            for row in expected:
                current = self.rows.get(name(row))
                if (current["ver"] if current else 0) != row["ver"]:
                    known = [self.rows[name(row)] for row in expected if name(row) in self.rows]
                    return 412, self.answer(known)
            self.version += 1
            for row in writes:
                self.apply(*name(row), base64.b64decode(row["value"]))
            for row in removed:
                self.apply(*name(row), None)
            self.wake()
            return 200, self.answer([])

    def read(self, query, view):
        first, last = query.get("from", ""), query.get("target")
        rows = sorted((row for (table, part, key), row in self.rows.items()
                       if table == query["table"] and part == query.get("part", "")
                       and key >= first and (last is None or key < last)),
                      key=lambda row: row["key"].encode())
        limit = min(int(query.get("limit", 500)), 500)
        page, size = [], 0
        for row in rows[:limit]:
            size += len(row["value"])
            if page and size > 1 << 20:
                break
            page.append(shown(row, view))
        return 200, self.answer(page, has_more=len(page) < len(rows))

    async def feed(self, query, view):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            oldest = time.monotonic() - HISTORY_S
            if any(at < oldest and row["ver"] > after for at, row in self.history
                   if row["table"] == table):
                return 410, {}
            changed = {}
            for _, row in self.history:
                if row["table"] == table and row["ver"] > after:
                    changed.pop((row["part"], row["key"]), None)
                    changed[(row["part"], row["key"])] = shown(row, view)
            wait = until - time.monotonic()
            if changed or wait <= 0:
                return 200, self.answer(list(changed.values()))
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
            if self.down:
                return (503, {}) if self.down == "busy" else None


def shown(row, view):
    if view is None or row["table"] != "servers" or "value" not in row:
        return row
    entry = view(row["key"], json.loads(base64.b64decode(row["value"])))
    return {**row, "value": base64.b64encode(json.dumps(entry).encode()).decode()}


# --- Minions --------------------------------------------------------------------------------


class Minion:
    """One minion: a life of a machine, with leases, fences, runs and their ends.

    `durations` tells how long a task works, in seconds. One port for each path to the minion
    stands for the links of the instances, so that a single link can be cut.
    """

    def __init__(self, record, store, name, durations, service, capacity, labels, paths=1,
                 zone="z1"):
        self.record, self.store, self.name, self.durations = record, store, name, durations
        self.service, self.zone, self.paths = service, zone, paths
        self.history = []          # every run: (task, run, life, began, ended or None, how)
        self.noted = set()         # ends that were taken note of: (life, number)
        self.over_capacity = []    # starts that brought the minion over its capacity
        self.wrong_label = []
        self.life = 0
        self.ports = None
        self.needs = lambda task: (0, 0)
        self.selector = lambda task: None
        self.up = False
        self.registered = True     # whether it reaches the store
        self.registered_at = time.monotonic()
        self.listed = False
        self.expiry = None
        self.begin_life(capacity, labels)

    def begin_life(self, capacity, labels):
        self.life += 1
        self.capacity, self.labels = capacity, labels
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running = {}          # task -> [run, began, entry of history]
        self.ended = []            # [N, task, run, how, saved]
        self.last_number = 0
        self.stopped = {}          # task -> highest run that was stopped or ended here
        self.end_happened = asyncio.Event()
        self.sequence = 0
        self.servers = []

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def start(self):
        self.servers = [HttpServer(self.handle) for _ in range(self.paths)]
        for index, server in enumerate(self.servers):
            await server.start(self.ports[index] if self.ports else 0)
        self.ports = [server.port for server in self.servers]
        self.up = True
        self.record.line(self.name, "up", life=self.life, born=self.born, ports=self.ports,
                         capacity=self.capacity, labels=self.labels)
        self.register()
        asyncio.ensure_future(self.beat(self.life))
        asyncio.ensure_future(self.watch_lease(self.life))

    def register(self):
        if not self.registered or self.store.down:
            return
        self.sequence += 1
        entry = {"service": self.service, "address": f"{HOST}:{self.ports[0]}", "zone": self.zone,
                 "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                 "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels,
                 "born": self.born}
        self.store.write("servers", "", self.name, json.dumps(entry).encode())
        self.registered_at = time.monotonic()
        if not self.listed:
            self.listed = True
            if self.expiry is None:
                self.expiry = asyncio.ensure_future(self.expire())

    async def beat(self, life):
        while self.up and self.life == life:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up and self.life == life:
                self.register()

    async def expire(self):
        """Removes the entry after three heartbeat intervals of silence, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            silent_s = time.monotonic() - self.registered_at
            if self.listed and silent_s > 3 * HEARTBEAT_S and not self.store.down:
                self.listed = False
                self.store.write("servers", "", self.name, None)
                self.record.line(self.name, "entry removed")

    async def crash(self):
        """The process is gone: its connections are reset, and nothing runs any more."""
        self.up = False
        for task in list(self.running):
            entry = self.running.pop(task)[2]
            entry[4], entry[5] = time.monotonic(), "crashed"
        for server in self.servers:
            await server.stop()
        self.record.line(self.name, "crash", life=self.life)

    async def watch_lease(self, life):
        while self.up and self.life == life:
            await asyncio.sleep(0.02)
            if self.up and self.life == life and self.running and self.clock() > self.lease_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run, _, entry = self.running.pop(task)
        self.last_number += 1
        entry[4], entry[5], entry[6] = time.monotonic(), how, self.last_number
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        self.ended.append([self.last_number, task, run, how, ""])
        self.record.line(self.name, "end", task=task, run=run, how=how, number=self.last_number)
        self.end_happened.set()
        self.end_happened = asyncio.Event()

    def extend(self, until_ms):
        if until_ms is not None:
            self.lease_ms = max(self.lease_ms, min(until_ms, self.clock() + MAX_HOLD_MS))

    async def handle(self, method, target, headers, body):
        if method != "POST":
            return (200, {}) if method == "GET" else (404, {})
        if headers.get("x-jackdawchute-expected-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        order = json.loads(body)
        if order.get("fencing_token", 0) < self.token:
            self.record.line(self.name, "fence", path=target, token=order.get("fencing_token"),
                             seen=self.token)
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = order.get("fencing_token", 0)
        if target == "/run-start":
            return self.run_start(order)
        if target == "/run-stop":
            return await self.run_stop(order)
        if target == "/hold":
            return await self.hold(order)
        return 404, {}

    def run_start(self, order):
        task, run, until = order["task"], order["run"], order["until_ms"]
        refused = lambda reason: (409, {"clock_ms": self.clock(), "reason": reason})
        if until <= self.clock():
            return refused("late")
        self.extend(until)
        if task in self.running and self.running[task][0] == run:
            return 200, {"clock_ms": self.clock()}
        if task in self.running or run <= self.stopped.get(task, 0):
            return refused("old")
        entry = [task, run, self.life, time.monotonic(), None, None, None]
        self.history.append(entry)
        self.running[task] = [run, time.monotonic(), entry]
        self.record.line(self.name, "start", task=task, run=run, token=self.token,
                         spec=order["spec"][:24])
        used = [sum(self.needs(name)[index] for name in self.running) for index in (0, 1)]
        if used[0] > self.capacity["cpu"] or used[1] > self.capacity["mem_mb"]:
            self.over_capacity.append((self.record.now(), task, used, dict(self.capacity)))
            self.record.line(self.name, "OVER", task=task, used=used, capacity=self.capacity)
        label = self.selector(task)
        if label and label not in self.labels:
            self.wrong_label.append((self.record.now(), task, label, list(self.labels)))
            self.record.line(self.name, "LABEL", task=task, label=label, labels=self.labels)
        asyncio.ensure_future(self.work(task, run, self.life))
        return 200, {"clock_ms": self.clock()}

    async def work(self, task, run, life):
        await asyncio.sleep(self.durations(task))
        held = self.running.get(task)
        if self.life == life and self.up and held and held[0] == run:
            self.end(task, "done")

    async def run_stop(self, order):
        task, run = order["task"], order["run"]
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        self.record.line(self.name, "stop", task=task, run=run)
        if task in self.running and self.running[task][0] <= run:
            await asyncio.sleep(0.02)
            if task in self.running:
                self.end(task, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, order):
        self.extend(order.get("until_ms"))
        seen = order.get("last_seen", 0)
        self.noted.update((self.life, end[0]) for end in self.ended if end[0] <= seen)
        self.ended = [end for end in self.ended if end[0] > seen]
        wait = min(order.get("wait_ms", 0), 2000) / 1000
        life = self.life
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.end_happened.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if life != self.life or not self.up:
            return None
        now = time.monotonic()
        percent = lambda task, began: min(
            99, int(100 * (now - began) / max(self.durations(task), 0.001)))
        running = [[task, run, "", percent(task, began), 0]
                   for task, (run, began, _) in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:ENDS_AT_A_TIME]}


def runs_twice(minions):
    """Returns the breaks of TWICE: a run that began while another run of its task was going on,
    and a start after a run had ended `done`, where that end was taken note of."""
    by_task = {}
    for minion in minions:
        for entry in minion.history:
            by_task.setdefault(entry[0], []).append((minion, entry))
    now = time.monotonic()
    overlapping, restarted = [], []
    for task, entries in by_task.items():
        entries.sort(key=lambda item: item[1][3])
        last_end, last, done = 0, None, None
        for minion, entry in entries:
            began, ended = entry[3], entry[4] or now
            if began < last_end:
                overlapping.append((task, last[0].name, last[1][1], minion.name, entry[1],
                                    min(last_end, ended) - began))
            elif done and done[1][4] < began:
                restarted.append((task, done[0].name, done[1][1], minion.name, entry[1]))
            if ended > last_end:
                last_end, last = ended, (minion, entry)
            if done is None and entry[5] == "done" and (entry[2], entry[6]) in minion.noted:
                done = (minion, entry)
    return overlapping, restarted


# --- Instances ------------------------------------------------------------------------------


class Link:
    """A proxy in front of an instance's peer port. While it is cut, it passes nothing on; while
    `banned` is set, it passes nothing on from the instance that says hello with that address."""

    def __init__(self):
        self.cut = False
        self.banned = None
        self.target = None
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        state = {"from_banned": False}
        try:
            to_reader, to_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, sink, outward):
            try:
                while data := await source.read(65536):
                    if outward and self.banned and self.banned.encode() in unmasked(data):
                        state["from_banned"] = True
                    while self.cut or (self.banned and state["from_banned"]):
                        await asyncio.sleep(0.02)
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, to_writer, True), pump(to_reader, writer, False))


def unmasked(data):
    """Returns the payload of a client's web socket frame, or the data itself if it is none."""
    if len(data) < 8 or data[0] & 0x0f != 1 or not data[1] & 0x80:
        return data
    length = data[1] & 0x7f
    at = 2 if length < 126 else 4 if length == 126 else 10
    key = data[at:at + 4]
    return bytes(byte ^ key[index % 4] for index, byte in enumerate(data[at + 4:]))


class Instance:
    """A process of the deploy file's command, with settings like those of the deploy template."""

    def __init__(self, folder, name, store_port, share=0.25, link=None, advisor=None):
        self.folder, self.name, self.link = folder, name, link
        self.front, self.ready, self.peers, self.metrics = free_ports(4)
        self.process = None
        advertised = ""
        if link:
            link.target = self.peers
            advertised = f'  advertised_peers: "{HOST}:{link.port}"\n'
        advisor_line = f'  advisor: "{HOST}:{advisor}"\n' if advisor else ""
        self.settings = os.path.join(folder, f"{name}.yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                f'instance: "{name}"\nfailure_domain: "z1"\nlisten:\n'
                f'  callers: "{HOST}:{self.front}"\n  readiness: "{HOST}:{self.ready}"\n'
                f'  peers: "{HOST}:{self.peers}"\n{advertised}'
                f'  metrics: "{HOST}:{self.metrics}"\n'
                f'platform:\n  store: "{HOST}:{store_port}"\n{advisor_line}'
                f'bounds:\n  lease_max_ms: {MAX_HOLD_MS}\n  task_stop_ms: {STOP_MS}\n'
                f'  shutdown_ms: {GRACE_S}000\n  ended_retention_ms: {STATUS_S}000\n'
                f'processor:\n  share: {share}\n  speed: 1\nlog_level: info\n')

    def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "JACKDAWCHUTE_NODE_FILE": self.settings}
        self.process = subprocess.Popen([BINARY, "cell"], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def log_text(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()


class Client:
    """A client with retries, at any daemon, as the pages say."""

    def __init__(self, record, instances, host, prefix, retries=4, deadline_ms=3000):
        self.record, self.instances = record, instances
        self.host, self.prefix = host, prefix
        self.retries, self.deadline_ms = retries, deadline_ms
        self.turn = 0

    async def call(self, method, path, body=None, instance=None):
        if instance is None:
            self.turn += 1
            instance = self.instances[self.turn % len(self.instances)]
        sent = self.record.now()
        status, answer = await http_call(
            instance.front, method, self.prefix + path, body, self.host,
            {"X-Jackdawchute-Deadline-Ms": self.deadline_ms}, self.deadline_ms / 1000 + 0.2)
        self.record.line("client", f"{method} {path}", at=instance.name, sent=f"{sent:.3f}",
                         status=status, answer=answer if status is None else
                         answer[:80].decode("latin-1"))
        return status, answer

    async def submit(self, job, body):
        """Hands a job in; returns all statuses, the last of which is final."""
        statuses = []
        for attempt in range(self.retries + 1):
            status, _ = await self.call("POST", job, body)
            statuses.append(status)
            if status in (200, 400, 404, 413):
                break
            await asyncio.sleep(0.3 + 0.2 * attempt)
        return statuses

    async def state(self, job):
        status, answer = await self.call("GET", job)
        if status != 200:
            return status, None
        return status, json.loads(answer).get("state")


def job_id():
    return f"{random.getrandbits(64):016x}"


def configuration(routes, version=1):
    return json.dumps({
        "version": version, "routes": routes, "limits": {"max_body_bytes": 262144},
        "services": [{"name": name} for name in sorted({r["service"] for r in routes})],
    }).encode()


def route(name="queue", host="desk.example", prefix="/desk/", service="repair-desk", **more):
    return {"name": name, "host": host, "path_prefix": prefix, "service": service,
            "priority": 0, "max_attempts": 3, "stretch": 2.0, "target_duration_ms": 3000, **more}


async def wait_ready(instances, limit_s=15):
    """Waits until all instances report that they are ready."""
    until = time.monotonic() + limit_s
    for instance in instances:
        while True:
            status, _ = await http_call(instance.ready, "GET", "/readyz", timeout=1)
            if status == 200:
                break
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.1)
    return True


def leader_of(instances):
    """Returns the instance that last claimed the epoch, by the log lines of the processes."""
    best = (0, None)
    for instance in instances:
        for line in instance.log_text().splitlines():
            if '"epoch claimed"' in line:
                epoch = json.loads(line)["kv"]["epoch"]
                best = max(best, (epoch, instance), key=lambda pair: pair[0])
    return best[1]


def run_case(case, folder):
    """Runs a case with a time limit; exits with 1 if the rule was broken, 0 if it held, 2 if the
    case couldn't run. All processes that were started are ended."""
    if not os.access(BINARY, os.X_OK):
        print("target/release/jackdawchute is missing: run the build of the deploy file")
        sys.exit(2)
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    instances = []

    def finish(code):
        for instance in instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in instances:
            if instance.process:
                instance.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(work, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(work, ignore_errors=True)
        record.say({0: "HELD", 1: "BROKEN", 2: "NOT RUN"}[code])
        record.file.close()
        sys.stdout.flush()
        os._exit(code)  # the event loop has nothing left that has to be closed in order

    def out_of_time():
        record.say("the case ran out of time")
        finish(2)

    watchdog = threading.Timer(110, out_of_time)
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: finish(2))
    signal.signal(signal.SIGINT, lambda *_: finish(2))
    try:
        code = asyncio.new_event_loop().run_until_complete(case(record, work, instances))
    except Exception as cause:  # the case couldn't run; the cause is shown
        record.say(f"the case couldn't run: {type(cause).__name__}: {cause}")
        code = 2
    finish(code)
