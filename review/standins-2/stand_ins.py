"""Stand-ins for the platform of jackdawchute: the store, workers, an advisor and callers.

They follow the platform's pages, listen on loopback addresses only, and record what was ordered,
answered and run. Standard library only.
"""
import asyncio, base64, json, os, random, shutil, signal, socket, subprocess, tempfile, time
from urllib.parse import parse_qsl


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes what happened, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, *words):
        line = "%8.3f " % (time.monotonic() - self.began) + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads the head and body of an HTTP/1.1 message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


class Http:
    """An HTTP server; `serve(method, path, query, headers, body)` returns (status, value), or None to
    leave the request without an answer and the connection open."""

    def __init__(self, serve):
        self.serve = serve
        self.server = None
        self.writers = set()

    async def listen(self, address):
        host, port = address
        self.server = await asyncio.start_server(self.connection, host, port)
        return self.server.sockets[0].getsockname()

    async def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = {}
                pairs.update(parse_qsl(query, keep_blank_values=True))
                answer = await self.serve(method, path, pairs, headers, body)
                if answer is None:
                    # Delivers nothing further on this connection.
                    await reader.read()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(data))).encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store, in the form of tables. `down` is an answer that it gives to all calls, or
    "silent"."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.http = Http(self.serve)
        self.down = None
        self.tx_ms = 6

    def put(self, table, key, value, part=""):
        self.ver += 1
        data = base64.b64encode(json.dumps(value).encode()).decode() if value is not None else None
        self._set(table, part, key, data)
        self._wake()

    def _set(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.ver)
        self.log.append((self.ver, table, part, key, value))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, part, key):
        value, ver = self.rows[(table, part, key)]
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    def answer(self, rows, **more):
        return {"rows": rows, "ver": self.ver, "now_ms": now_ms(), "has_more": False, **more}

    async def serve(self, method, path, query, headers, body):
        if self.down:
            return self.down if self.down != "silent" else None
        if path == "/rows-tx":
            call = json.loads(body)
            await asyncio.sleep(self.tx_ms / 1000)
            current = []
            failed = False
            for want in call.get("expected_revision", []):
                at = (want["table"], want.get("part", ""), want["key"])
                have = self.rows[at][1] if at in self.rows else 0
                if at in self.rows:
                    current.append(self.row(*at))
                failed |= have != want.get("ver", 0)
            if failed:
                return 412, self.answer(current)
            self.ver += 1
            for row in call.get("set_keys", []):
                self._set(row["table"], row.get("part", ""), row["key"], row["value"])
            for row in call.get("remove", []):
                self._set(row["table"], row.get("part", ""), row["key"], None)
            self._wake()
            return 200, self.answer([])
        if path == "/rows-get":
            table, part = query["table"], query.get("part", "")
            keys = sorted(k for (t, p, k) in self.rows if t == table and p == part)
            if query.get("from"):
                keys = [k for k in keys if k >= query["from"]]
            if query.get("target"):
                keys = [k for k in keys if k < query["target"]]
            limit = min(int(query.get("limit", 500)), 500)
            page = keys[:limit]
            return 200, self.answer([self.row(table, part, k) for k in page],
                                    has_more=len(keys) > limit)
        if path == "/rows-feed":
            table, after = query["table"], int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                changed = self.changed
                rows = []
                for ver, t, p, k, value in self.log:
                    if ver > after and t == table:
                        row = {"table": t, "part": p, "key": k, "ver": ver}
                        if value is None:
                            row["tombstone"] = True
                        else:
                            row["value"] = value
                        rows.append(row)
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.answer(rows)
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Run:
    def __init__(self, task, run, spec, worker, checkpoint):
        self.task, self.run, self.spec, self.worker = task, run, spec, worker
        self.checkpoint = checkpoint
        self.began = time.monotonic()
        self.work_s = worker.world.work_s(task, spec)

    def percent(self):
        if self.work_s is None:
            return 100
        return min(99, int(100 * (time.monotonic() - self.began) / self.work_s))


class Worker:
    """A minion: one life of a machine."""

    def __init__(self, world, id, service, capacity, labels, address=("127.0.0.1", 0)):
        self.world, self.id, self.service = world, id, service
        self.capacity, self.labels, self.address = capacity, labels, address
        self.http = None
        self.entry_state = "ready"
        self.alive = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.clock0 = time.monotonic() - 0.2
        self.running, self.ended, self.last_n = {}, [], 0
        self.highest = {}
        self.token, self.lease = 0, 0
        self.sequence = 0
        self.ended_event = asyncio.Event()
        self.http = Http(self.serve)
        self.address = await self.http.listen(self.address)
        self.alive = True
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]

    async def stop(self):
        """Crashes: everything that runs ends, and nothing is sent."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        await self.http.close()
        for run in list(self.running.values()):
            self.world.ended(self, run, "lost")
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.clock0) * 1000)

    def entry(self):
        entry = {"service": self.service, "address": "%s:%d" % tuple(self.address[:2]),
                 "zone": "z1", "version": "1", "slots": 64, "state": self.entry_state,
                 "cold_remaining_ms": 0, "sequence": self.sequence, "capacity": self.capacity,
                 "labels": self.labels, "born": self.born}
        return entry

    async def beat(self):
        while True:
            self.sequence += 1
            self.world.store.put("servers", self.id, self.entry())
            await asyncio.sleep(1.5)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.lease:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                if run.work_s is not None and time.monotonic() - run.began >= run.work_s:
                    self.end(run, self.world.how(run))

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.last_n += 1
        self.ended.append([self.last_n, run.task, run.run, how, run.checkpoint])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.world.ended(self, run, how)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def fenced(self, call):
        token = call.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def extend(self, until):
        if until is not None:
            self.lease = max(self.lease, min(until, self.clock() + self.world.max_hold_ms))

    async def serve(self, method, path, query, headers, body):
        expected = headers.get("x-jackdawchute-expected-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        call = json.loads(body) if body else {}
        return await self.carry_out(path, call)

    async def carry_out(self, path, call):
        clock = lambda **more: {"clock_ms": self.clock(), "born": self.born, **more}
        if path == "/run-start":
            if self.fenced(call):
                return 409, clock(reason="fence")
            task, number = call["task"], call["run"]
            if call["until_ms"] <= self.clock():
                return 409, clock(reason="late")
            self.extend(call["until_ms"])
            present = self.running.get(task)
            if present and present.run == number:
                return 200, clock()
            if number <= self.highest.get(task, 0) or (present and present.run >= number):
                return 409, clock(reason="old")
            if present:
                return 409, clock(reason="old")
            run = Run(task, number, call["spec"], self, call.get("checkpoint", ""))
            self.running[task] = run
            self.world.started(self, run, call)
            return 200, clock()
        if path == "/run-stop":
            if self.fenced(call):
                return 409, clock(reason="fence")
            task, number = call["task"], call["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            self.world.record("stop", task, "run", number, "on", self.id)
            run = self.running.get(task)
            if run and run.run <= number:
                asyncio.get_running_loop().call_later(0.05, self.end, run, "stopped")
            return 200, clock()
        if path == "/pace":
            return (409, clock(reason="fence")) if self.fenced(call) else (200, clock())
        if path == "/hold":
            if self.fenced(call):
                return 409, clock(reason="fence")
            self.extend(call.get("until_ms"))
            last_seen = call.get("last_seen", 0)
            self.ended = [end for end in self.ended if end[0] > last_seen]
            if call.get("wait_ms") and not self.ended:
                try:
                    await asyncio.wait_for(self.ended_event.wait(), call["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[r.task, r.run, r.checkpoint, r.percent(), 0] for r in self.running.values()]
            return 200, clock(running=running, ended=self.ended[:500])
        return 404, {}


class World:
    """The platform and the checks of what it sees."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.workers = {}
        self.max_hold_ms = 10000
        self.done = {}      # the run and the minion of the end `done`, by task
        self.starts = []    # (time, task, run, minion)

    def work_s(self, task, spec):
        """The spec of a task is JSON: work_s, or null for a task that lasts."""
        return json.loads(spec).get("work_s")

    def how(self, run):
        return "done"

    def started(self, worker, run, call):
        self.record("start", run.task, "run", run.run, "on", worker.id, "token",
                    call.get("fencing_token"))
        self.starts.append((time.monotonic(), run.task, run.run, worker.id))

    def ended(self, worker, run, how):
        self.record("end", run.task, "run", run.run, "on", worker.id, how)
        if how == "done":
            self.done[run.task] = (run.run, worker.id)

    async def add_worker(self, id, **more):
        worker = Worker(self, id, more.get("service", "svc"),
                        more.get("capacity", {"cpu": 16000, "mem_mb": 32000, "gpus": 0}),
                        more.get("labels", ["a", "r1"]))
        self.workers[id] = worker
        await worker.start()
        return worker


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Cell:
    """The processes of the system, started with the command of the deploy file."""

    def __init__(self, root, record, store, advisors=None, count=3, bounds=None):
        self.root, self.record, self.store = root, record, store
        self.dir = tempfile.mkdtemp(prefix="jackdawchute-review-")
        self.bounds = {"max_hold_ms": 10000, "stop_ms": 900, "grace_s": 6, "status_s": 120}
        self.bounds.update(bounds or {})
        self.nodes = []
        for index in range(count):
            host = "127.0.0.%d" % (11 + index)
            ports = [free_port(host) for _ in range(4)]
            self.nodes.append({"name": "frontend-%d" % index, "host": host, "ports": ports,
                               "process": None, "store": store,
                               "advisor": advisors[index] if advisors else None})

    def settings(self, node):
        host, ports, bounds = node["host"], node["ports"], self.bounds
        text = ('instance: "%s"\nfailure_domain: "z1"\nlisten:\n  callers: "%s:%d"\n'
                '  readiness: "%s:%d"\n  peers: "%s:%d"\n  metrics: "%s:%d"\n' % (
                    node["name"], host, ports[0], host, ports[1], host, ports[2], host, ports[3]))
        text += 'platform:\n  store: "%s:%d"\n' % tuple(node["store"][:2])
        if node["advisor"]:
            text += '  advisor: "%s:%d"\n' % tuple(node["advisor"][:2])
        text += ("bounds:\n  lease_max_ms: %d\n  task_stop_ms: %d\n  shutdown_ms: %d\n"
                 "  ended_retention_ms: %d\nprocessor:\n  share: 0.25\n  speed: 1\nlog_level: info\n"
                 % (bounds["max_hold_ms"], bounds["stop_ms"], bounds["grace_s"] * 1000,
                    bounds["status_s"] * 1000))
        path = os.path.join(self.dir, node["name"] + ".yaml")
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self, index):
        node = self.nodes[index]
        path = self.settings(node)
        log = open(os.path.join(self.dir, node["name"] + ".log"), "a")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["JACKDAWCHUTE_NODE_FILE"] = path
        node["process"] = subprocess.Popen(["target/release/jackdawchute", "cell"], cwd=self.root,
                                           env=environment, stdout=log, stderr=log)
        self.record("process", node["name"], "started, pid", node["process"].pid)

    def end(self):
        for node in self.nodes:
            process = node["process"]
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        shutil.rmtree(self.dir, ignore_errors=True)


async def call(address, method, path, host, body=None, deadline_ms=3000, timeout=5):
    """Makes one call on a new connection; returns (status, value), or None without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = ("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                    "X-Jackdawchute-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n")
            writer.write((head % (method, path, host, deadline_ms, len(data))).encode() + data)
            message = await read_message(reader)
            if message is None:
                return None
            first, headers, answer = message
            return int(first.split(" ")[1]), (json.loads(answer) if answer else None)
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, OSError):
        return None


def config(version, queues, services=("svc",)):
    routes = []
    for queue in queues:
        routes.append({"name": queue["name"], "host": "q.example",
                       "path_prefix": "/" + queue["name"] + "/",
                       "service": queue.get("service", "svc"), "priority": queue.get("priority", 1),
                       "max_attempts": queue.get("max_attempts", 3), "stretch": 3.0,
                       "target_duration_ms": queue.get("target_duration_ms", 2000),
                       **({"advice": queue["advice"]} if "advice" in queue else {})})
    return {"version": version, "routes": routes,
            "services": [{"name": s, "rejects_overload": False} for s in services],
            "limits": {"max_body_bytes": 262144}}


def job_id():
    return "%016x" % random.getrandbits(64)
