"""Stand-ins of the state service, the cloud, the workers and the users, after the users' pages
(PROTOCOL-gorseshore.md), and real controller processes. Everything is on loopback."""
import asyncio, bisect, json, os, random, re, shlex, shutil, signal, socket, sys, tempfile, time, traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not be run (exit code 2)."""


class Record:
    """record.txt: what was sent, answered and run, with the time since the start of the test."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads an HTTP message; returns (first line, headers, body), or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    first = line.decode().strip()
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


def encode_answer(status, value):
    body = json.dumps(value).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(handler, port=0):
    """Serves `handler(method, path, body) -> (status, value)`, or None to close without an answer."""
    async def client(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                method, path, _ = first.split(" ", 2)
                answer = await handler(method, path, body)
                if answer is None:
                    break
                writer.write(encode_answer(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    server = await asyncio.start_server(client, "127.0.0.1", port, limit=1 << 22, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """A client's connection, kept open between requests."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def send(self, method, path, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 22)
        body = b"" if value is None else json.dumps(value).encode()
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await self.writer.drain()

    async def receive(self):
        message = await read_message(self.reader)
        if message is None:
            raise OSError("closed")
        first, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(body) if body else None
        except ValueError:
            value = None
        return int(first.split(" ")[1]), value

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(port, method, path, value=None, limit=5.0):
    """One request on a connection of its own; (status, value), or (None, reason)."""
    connection = Connection(port)
    async def both():
        await connection.send(method, path, value)
        return await connection.receive()
    try:
        return await asyncio.wait_for(both(), limit)
    except (OSError, asyncio.IncompleteReadError, ValueError) as e:
        return None, f"{type(e).__name__}"
    except asyncio.TimeoutError:
        return None, "no answer in time"
    finally:
        connection.close()


class Bucket:
    """A rate limit that allows bursts of `burst_s` seconds' worth."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.size, self.level, self.at = rate, rate * burst_s, rate * burst_s, time.monotonic()

    def take(self, n=1):
        now = time.monotonic()
        self.level = min(self.size, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < n:
            return False
        self.level -= n
        return True


# ---------------------------------------------------------------- state service

class State:
    def __init__(self, site):
        self.site, self.revision, self.keys, self.leases = site, 0, {}, {}
        self.next_lease, self.events, self.out, self.sorted = 0, [], False, []
        self.refused = set()  # controllers (by index) that get 503 alone
        self.changed = asyncio.Event()
        s = site.settings
        self.requests, self.changes = Bucket(s["rps"]), Bucket(s["write_rps"])

    def set_outage(self, out):
        self.site.record(f"state service: {'outage begins' if out else 'outage ends'}")
        self.out = out
        if not out:
            for lease in self.leases.values():
                lease[1] = time.monotonic() + lease[0]

    def put_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, n):
        self.leases.pop(n, None)
        gone = [k for k, (_, _, lease) in self.keys.items() if lease == n]
        if gone:
            self.revision += 1
        for k in gone:
            del self.keys[k]
            self.sorted = []
            self.put_event({"remove": k, "stamp": self.revision})

    def expire(self):
        if self.out:
            return
        now = time.monotonic()
        for n in [n for n, (_, until) in self.leases.items() if until <= now]:
            self.end_lease(n)

    async def tick(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    def handler(self, controller):
        async def handle(method, path, body):
            return await self.request(controller, method, path, body)
        return handle

    async def request(self, controller, method, path, body):
        await asyncio.sleep(self.site.settings.get("state_latency_s", 0.002))
        path, _, text = path.partition("?")
        query = dict(p.split("=", 1) for p in text.split("&") if "=" in p)
        if self.out or controller in self.refused:
            return 503, {}
        self.expire()
        if not self.requests.take():
            return 429, {}
        if path == "/follow":
            return await self.follow(controller, query)
        if method == "GET" and path == "/store":
            start, limit = query.get("from", ""), min(int(query.get("limit", 1000)), 1000)
            if len(self.sorted) != len(self.keys):
                self.sorted = sorted(self.keys)
            first = bisect.bisect_right(self.sorted, start)
            names = [k for k in self.sorted[first:first + limit + 1] if k.startswith(query["prefix"])]
            pairs = [{"path": k, "v": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:limit]]
            return 200, {"pairs": pairs, "truncated": len(names) > limit, "ledger": self.revision}
        if method == "GET" and path.startswith("/store/"):
            k = path[len("/store/"):]
            if k not in self.keys:
                return 404, {"ledger": self.revision}
            v, stamp, lease = self.keys[k]
            return 200, {"path": k, "v": v, "stamp": stamp, "hold": lease}
        if path == "/multi":
            return self.multi(json.loads(body))
        if method == "POST" and path == "/grants":
            life = json.loads(body)["life_ms"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = [life, time.monotonic() + life]
            return 200, {"hold": self.next_lease}
        if path.startswith("/grants/"):
            n = int(path.split("/")[2])
            if method == "DELETE":
                self.end_lease(n)
                return 200, {}
            if n not in self.leases:
                return 404, {}
            self.leases[n][1] = time.monotonic() + self.leases[n][0]
            return 200, {"hold": n}
        return 400, {}

    def multi(self, m):
        writes, when, s = m.get("writes", []), m.get("when", []), self.site.settings
        if len(writes) > s["txn_ops"] or len(when) > 4 * s["txn_ops"]:
            return 400, {"error": "too many"}
        if any(len(json.dumps(w["v"])) > s["value_kb"] * 1024 for w in writes if "put" in w):
            return 400, {"error": "value too long"}
        if writes and not self.changes.take(len(writes)):
            return 429, {}
        if any(w.get("hold") is not None and w["hold"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["path"] for c in when if self.keys.get(c["path"], (0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if writes:
            self.revision += 1
        for w in writes:
            if "put" in w:
                if w["put"] not in self.keys:
                    self.sorted = []
                self.keys[w["put"]] = (w["v"], self.revision, w.get("hold"))
                self.put_event({"put": w["put"], "v": w["v"], "stamp": self.revision})
            elif w["remove"] in self.keys:
                del self.keys[w["remove"]]
                self.sorted = []
                self.put_event({"remove": w["remove"], "stamp": self.revision})
        return 200, {"ledger": self.revision}

    async def follow(self, controller, query):
        start, prefix = int(query["from"]), query["prefix"]
        until = time.monotonic() + int(query.get("hold_ms", 0)) / 1000
        while True:
            cut = self.out or controller in self.refused  # open watches wait
            news = [] if cut else [e for e in self.events if e["stamp"] > start
                                   and (e.get("put") or e.get("remove")).startswith(prefix)]
            left = until - time.monotonic()
            if not cut and (news or left <= 0):
                return 200, {"ledger": self.revision, "news": news}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), 0.2 if cut else min(left, 0.2))
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud

class Cloud:
    def __init__(self, site):
        self.site, self.hosts, self.rentals, self.count = site, {}, {}, 0
        self.requests = Bucket(site.settings["cloud_rps"], 2.0)
        self.out = False

    async def request(self, method, path, body):
        await asyncio.sleep(0.02)
        if self.out:
            return 503, {"error": "trouble"}
        if not self.requests.take():
            return 429, {}
        path, _, text = path.partition("?")
        query = dict(p.split("=", 1) for p in text.split("&") if "=" in p)
        if path == "/flavors":
            return 200, {"builds": self.site.flavors}
        if path == "/rentals/delete":
            for name in json.loads(body)["hosts"]:
                self.delete(name)
            return 200, {}
        if path == "/rentals" and method == "POST":
            r = json.loads(body)
            if r["hire"] not in self.rentals:
                n = min(r["number"], 50, self.site.max_hosts - sum(1 for h in self.hosts.values() if h["gone"] is None))
                if n <= 0:
                    return 503, {"error": "no capacity"}
                self.rentals[r["hire"]] = [
                    await self.create(r["build"], r["yard"], r["loaners"]) for _ in range(n)]
                self.site.record(f"cloud: rented {r} -> {self.rentals[r['hire']]}")
            return 200, {"hosts": self.rentals[r["hire"]]}
        if path == "/rentals":
            now, lag = time.monotonic(), self.site.settings["list_lag_s"]
            names = [n for n, h in sorted(self.hosts.items()) if h["since"] <= now - lag
                     and (h["gone"] is None or h["gone"] > now - lag) and n > query.get("from", "")]
            limit = int(query.get("limit", 500))
            return 200, {"hosts": [{"ref": n, "addr": self.hosts[n]["worker"].addr, "build": self.hosts[n]["build"],
                                    "yard": self.hosts[n]["yard"], "loaners": self.hosts[n]["loaners"],
                                    "stage": "running" if self.hosts[n]["up"] <= now - lag else "starting",
                                    "held_s": now - lag - self.hosts[n]["since"]} for n in names[:limit]],
                         "truncated": len(names) > limit}
        return 400, {}

    async def create(self, build, yard, loaners, age=0.0, boot=None):
        self.count += 1
        name = f"host-{self.count:06d}"
        now = time.monotonic()
        boot = self.site.settings.get("boot_s", 1.0) if boot is None else boot
        worker = Worker(self.site, name, build, yard, loaners)
        await worker.listen()
        self.hosts[name] = {"build": build, "yard": yard, "loaners": loaners, "since": now - age, "gone": None,
                            "up": now + boot, "worker": worker}
        worker.task = asyncio.create_task(worker.run(boot))
        return name

    def delete(self, name):
        h = self.hosts.get(name)
        if h and h["gone"] is None:
            h["gone"] = time.monotonic()
            h["worker"].end("machine deleted")


# ---------------------------------------------------------------- workers

class Worker:
    """A machine's worker. Times are of the steady clock."""

    def __init__(self, site, name, build, yard, loaners):
        self.site, self.name, self.build, self.yard, self.loaners = site, name, build, yard, loaners
        self.size = next(f for f in site.flavors if f["sku"] == build)
        self.shift, self.tally, self.baton, self.tasks = 1, 0, 0, {}
        self.lease_start, self.alive, self.deaf = time.monotonic(), True, False
        self.sick = False  # fails every task that it starts
        self.hung = False  # does nothing: no report, no answer, no step of its tasks, no connection accepted
        self.changed, self.token_change_at, self.images = asyncio.Event(), -1e9, {}
        self.answered_at = None
        self.target = random.randrange(max(1, len(site.controllers)))
        self.connection, self.task, self.server, self.writers = None, None, None, set()

    # A task is [state, cause, end of this state]. Keys are (task, attempt).
    def log(self, text):
        self.site.record(f"{self.name}: {text}")

    async def listen(self):
        async def client(reader, writer):
            self.writers.add(writer)
            try:
                while (message := await read_message(reader)) is not None:
                    if self.deaf or self.hung or not self.alive:
                        # What is sent to the machine is lost; the connection hangs.
                        await asyncio.sleep(3600)
                    first, _, body = message
                    method, path, _ = first.split(" ", 2)
                    writer.write(encode_answer(*self.request(path, body)))
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()
        self.server = await asyncio.start_server(client, "127.0.0.1", 0, limit=1 << 22, backlog=128)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def set_deaf(self, deaf):
        self.log("deaf: answers and direct commands are lost" if deaf else "no longer deaf")
        self.deaf = deaf
        for w in list(self.writers):
            w.close()

    def hang(self, accepts=False):
        """The machine stands still. Its kernel does so too unless it `accepts`: connections to it hang."""
        self.log("hangs")
        self.hung = True
        if accepts:
            return
        listener = self.server.sockets[0]
        asyncio.get_running_loop().remove_reader(listener.fileno())
        raw = socket.socket(fileno=os.dup(listener.fileno()))
        raw.listen(0)
        raw.detach()
        self.waiting = []  # fills the queue of connections to accept, so that the next one hangs
        for _ in range(4):
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex(listener.getsockname())
            self.waiting.append(s)

    def set_sick(self, sick):
        self.log("sick: fails every task that it starts" if sick else "no longer sick")
        self.sick = sick

    def request(self, path, body):
        self.step()
        if path == "/status":
            return 200, self.report()
        if len(body) > 65536:
            self.log(f"/do refused with 413: a body of {len(body)} bytes, the limit is 65536")
            return 413, {"error": "the limit for request bodies is 64 KiB"}
        r = json.loads(body)
        if "baton" not in r or "shift" not in r:
            return 400, {}
        if r["baton"] < self.baton or r["shift"] != self.shift:
            self.log(f"/do refused with 409: baton {r['baton']} < {self.baton} or shift {r['shift']} != {self.shift}")
            return 409, self.report()
        self.see_token(r["baton"])
        self.execute(r.get("orders", []), "/do")
        return 200, self.report()

    def see_token(self, baton):
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now - self.token_change_at >= self.site.settings["lease_s"] / 2:
                self.token_change_at = now
                self.changed.set()

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), (state, cause, _) in self.tasks.items():
            p = {"piece": piece, "try": attempt, "stage": state}
            if cause:
                p["cause"] = cause
            pieces.append(p)
        return {"host": self.name, "addr": self.addr, "build": self.build, "yard": self.yard,
                "loaners": self.loaners, "shift": self.shift, "tally": self.tally, "baton": self.baton,
                "warning_s": None, "pieces": pieces}

    def execute(self, orders, where):
        now = time.monotonic()
        for o in orders:
            key = (o["piece"], o["try"])
            job = self.site.jobs.get(o["piece"].split("/")[0])
            if o["verb"] == "run" and key not in self.tasks:
                self.changed.set()
                if job is None:
                    self.tasks[key] = ["exited", "no_such", None]
                    continue
                live = [k for k, t in self.tasks.items() if t[0] != "exited"]
                used = [self.site.jobs[k[0].split("/")[0]] for k in live]
                if any(k[0] == o["piece"] for k in live):
                    self.tasks[key] = ["exited", "busy", None]
                elif any(sum(u[f] for u in used) + job[f] > self.size[f] + 1e-6 for f in ("cpus", "memory_gb")):
                    self.tasks[key] = ["exited", "no_room", None]
                else:
                    ready = self.images.setdefault(job["bundle"], now + job["image_gb"] / self.size["pull_gb_per_s"])
                    self.tasks[key] = ["pulling", None, max(now, ready)]
                if self.site.log_tasks:
                    self.log(f"{where}: run {o['piece']} try {o['try']} -> {self.tasks[key][0]} {self.tasks[key][1] or ''}")
            elif o["verb"] == "halt" and key in self.tasks and self.tasks[key][0] != "exited":
                self.changed.set()
                grace = o.get("wind_down_s") or 0
                t = self.tasks[key]
                if t[0] == "running" and job["mark_s"] > 0 and grace >= job["stow_s"]:
                    self.tasks[key] = ["flushing", None, now + job["stow_s"]]
                elif not (t[0] == "flushing" and grace > 0):
                    self.leave(key, "halted")
                if self.site.log_tasks:
                    self.log(f"{where}: halt {o['piece']} try {o['try']} -> {self.tasks[key][0]}")
            elif o["verb"] == "clear" and key in self.tasks and self.tasks[key][0] == "exited":
                self.changed.set()
                del self.tasks[key]

    def on_machine(self, key):
        return self.tasks[key][0] in ("running", "flushing")

    def leave(self, key, cause):
        if self.on_machine(key):
            self.site.left(self, key, cause)
        self.tasks[key] = ["exited", cause, None]
        self.changed.set()

    def step(self):
        """What has happened until now: the lease, image fetches, tasks that end."""
        if self.hung:
            return
        now = time.monotonic()
        if self.alive and now > self.lease_start + self.site.settings["lease_s"]:
            for key in list(self.tasks):
                if self.on_machine(key):
                    self.site.left(self, key, "killed, the lease expired")
            self.log(f"lease expired, session {self.shift} ends with {len(self.tasks)} tasks")
            self.tasks = {}
            self.shift += 1
            self.lease_start = now
            self.changed.set()
        for key, t in list(self.tasks.items()):
            job = self.site.jobs.get(key[0].split("/")[0])
            if t[0] == "pulling" and now >= t[2]:
                end = None if job["manner"] == "standing" else now + job["run_s"]
                self.tasks[key] = ["running", None, end]
                self.site.came(self, key)
                self.changed.set()
                if self.sick:
                    self.leave(key, "error")
            elif t[0] == "running" and t[2] is not None and now >= t[2]:
                self.leave(key, "done")
            elif t[0] == "flushing" and now >= t[2]:
                self.leave(key, "halted")

    def end(self, why):
        self.step()
        self.alive = False
        for key in list(self.tasks):
            if self.on_machine(key):
                self.site.left(self, key, why)
        self.tasks = {}
        self.log(why)
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.close()

    async def run(self, boot):
        await asyncio.sleep(boot)
        self.lease_start = time.monotonic()
        self.log(f"up ({self.build} in {self.yard}, {self.addr})")
        asyncio.create_task(self.steps())
        while self.alive:
            self.changed.clear()
            sent = time.monotonic()
            pause = await self.send_report()
            if pause is not None:
                await asyncio.sleep(pause)
                continue
            interval = self.site.settings["report_s"] * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, sent + interval - time.monotonic()))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))

    async def steps(self):
        while self.alive:
            self.step()
            await asyncio.sleep(0.05)

    async def send_report(self):
        """Sends a report; returns the pause before the next one, None for the usual interval."""
        nodes = self.site.worker_ports
        while self.hung:
            await asyncio.sleep(0.1)
        self.step()
        report, sent, shift = self.report(), time.monotonic(), self.shift
        if self.connection is None:
            self.connection = Connection(nodes[self.target % len(nodes)])
        async def exchange():
            await self.connection.send("POST", "/checkin", report)
            if self.deaf:
                await asyncio.sleep(3600)
            answer = await self.connection.receive()
            if self.deaf or self.hung:
                await asyncio.sleep(3600)
            return answer
        try:
            status, value = await asyncio.wait_for(exchange(), 4.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
            status, value = None, None
        if not self.alive:
            return 3600
        if status != 200 or self.site.log_reports:
            self.log(f"report tally {report['tally']} baton {report['baton']} with {len(report['pieces'])} tasks to "
                     f"{self.site.names[self.target % len(nodes)]}: {status} "
                     f"{json.dumps(value)[:200] if status else 'no answer'}")
        if status == 200:
            self.step()
            if value.get("baton") is None or value["baton"] < self.baton or shift != self.shift:
                return None
            self.lease_start = max(self.lease_start, sent)
            self.answered_at = time.monotonic()
            self.see_token(value["baton"])
            self.execute(value.get("orders", []), "answer")
            return None
        self.connection.close()
        self.connection = None
        foreman = (value or {}).get("foreman") if status == 421 else None
        if foreman in self.site.names and self.site.names.index(foreman) != self.target % len(nodes):
            self.target = self.site.names.index(foreman)
            return random.uniform(0.0, 0.5)
        self.target = (self.target + 1) % len(nodes)
        return 1.0


# ---------------------------------------------------------------- controllers and the site

class Controller:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.public = self.cluster = 0
        self.process, self.log = None, None


def free_port(taken):
    """A port outside the range of outgoing connections, which nobody listens on."""
    for _ in range(1000):
        port = random.randrange(12000, 30000)
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port
    raise CannotRun("no free port")


class Site:
    def __init__(self, folder, settings, flavors, zones, teams, max_hosts=50):
        """zones: the zone of each controller."""
        self.record = Record(folder)
        self.settings, self.flavors, self.teams, self.max_hosts = settings, flavors, teams, max_hosts
        self.zones = zones
        self.names = [f"bari-{i}" for i in range(len(zones))]
        self.controllers = [Controller(n, z) for n, z in zip(self.names, zones)]
        self.jobs, self.log_tasks, self.log_reports = {}, True, False
        self.present = {}  # task -> {(worker, attempt): since}
        self.history = []  # (time, task, worker, "start" or cause)
        self.directory = tempfile.mkdtemp(prefix="gorseshore-review-")

    def came(self, worker, key):
        now = time.monotonic()
        self.history.append((now, key[0], worker.name, "start"))
        self.present.setdefault(key[0], {})[(worker.name, key[1])] = now
        self.record(f"TASK {key[0]} try {key[1]} starts on {worker.name}"
                    + (f"; also on {[w for w, _ in self.present[key[0]]]}" if len(self.present[key[0]]) > 1 else ""))

    def left(self, worker, key, cause):
        now = time.monotonic()
        self.history.append((now, key[0], worker.name, cause))
        self.present.get(key[0], {}).pop((worker.name, key[1]), None)
        self.record(f"TASK {key[0]} try {key[1]} leaves {worker.name}: {cause}")

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml")) as f:
            run = re.search(r'^run\s*=\s*"(.*)"\s*$', f.read(), re.M)
        self.command = shlex.split(run.group(1))
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")
        taken = set()
        self.state, self.cloud = State(self), Cloud(self)
        self.state_task = asyncio.create_task(self.state.tick())
        _, cloud_port = await serve(self.cloud.request)
        self.cloud_port = cloud_port
        for i, c in enumerate(self.controllers):
            c.public, c.cluster = free_port(taken), free_port(taken)
            _, c.state_port = await serve(self.state.handler(i))
        self.worker_ports = [c.public for c in self.controllers]
        for c in self.controllers:
            self.write_settings(c)

    def write_settings(self, c):
        s = self.settings
        text = (f'host_name = "{c.name}"\ndomain = "{c.zone}"\npublic_addr = "127.0.0.1:{c.public}"\n'
                f'cluster_listen = "127.0.0.1:{c.cluster}"\n')
        for o in self.controllers:
            if o is not c:
                port = self.peer_port(c, o)
                text += f'[[peers]]\nhost_name = "{o.name}"\ndomain = "{o.zone}"\npeer_addr = "127.0.0.1:{port}"\n'
        text += (f'[endpoints]\ncloud = "127.0.0.1:{self.cloud_port}"\nstate = "127.0.0.1:{c.state_port}"\n'
                 f'[deployment]\nnodes = {len(self.controllers)}\nzones = {json.dumps(sorted(set(self.zones)))}\n'
                 f'clock_off_ms = {s["clock_off_ms"]}\n')
        for name, limit in self.teams:
            text += (f'[[deployment.teams]]\nname = "{name}"\ncpus = 0.0\ncpus_max = {limit}\ngpus = 0.0\n'
                     'gpus_max = 0.0\n')
        text += (f'[deployment.workers]\nreport_s = {s["report_s"]}\nlease_s = {s["lease_s"]}\n'
                 f'gang_wait_s = 35.0\ngang_peer_s = 5.0\ncancel_s = {s["cancel_s"]}\n'
                 f'[deployment.state]\nrps = {s["rps"]}\nwrite_rps = {s["write_rps"]}\nvalue_kb = {s["value_kb"]}\n'
                 f'txn_ops = {s["txn_ops"]}\n' + self.next_limits() + f'[deployment.cloud]\nrps = {s["cloud_rps"]}\n'
                 f'list_lag_s = {s["list_lag_s"]}\n[deployment.machine_limits]\ncpu = {s["cpu"]}\n'
                 f'ram_mb = {s["ram_mb"]}\nsockets = {s["sockets"]}\n')
        c.config = os.path.join(self.directory, c.name + ".toml")
        with open(c.config, "w") as f:
            f.write(text)

    def next_limits(self):
        later = self.settings.get("next")
        return "[deployment.state.next]\n" + "".join(f"{k} = {v}\n" for k, v in later.items()) if later else ""

    def peer_port(self, c, o):
        return o.cluster

    async def launch(self, i):
        c = self.controllers[i]
        log = open(os.path.join(self.directory, c.name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if not k.startswith("GORSESHORE")}
        environment["LOG_LEVEL"] = os.environ.get("LOG_LEVEL", "info")
        c.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, self.command[0]), *self.command[1:], c.config,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT, env=environment)
        log.close()
        self.record(f"{c.name}: process started")

    async def kill(self, i):
        c = self.controllers[i]
        if c.process and c.process.returncode is None:
            c.process.send_signal(signal.SIGKILL)
            await c.process.wait()
            self.record(f"{c.name}: process killed")

    def signal(self, i, number):
        self.controllers[i].process.send_signal(number)
        self.record(f"{self.names[i]}: signal {signal.Signals(number).name}")

    def ended(self):
        """Controllers that ended by themselves."""
        return [c.name for c in self.controllers if c.process and c.process.returncode is not None]

    async def wait_ready(self, limit=20.0, which=None):
        until = time.monotonic() + limit
        for i in which if which is not None else range(len(self.controllers)):
            while (await call(self.controllers[i].public, "GET", "/ready", limit=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{self.names[i]} is not ready")
                await asyncio.sleep(0.1)
        self.record("controllers are ready")

    def job(self, ref, **changes):
        """A submission; run_s is what the stand-in workers run (users upload the description)."""
        run_s = changes.pop("run_s", 10.0)
        spec = {"ref": ref, "lot": "order-desk", "crew": self.teams[0][0], "manner": "array", "rank": "standard",
                "pieces": 1, "cpus": 1.0, "gpus": 0.0, "memory_gb": 2.1, "bundle": "img-01", "image_gb": 0.1,
                "builds": None, "yard": None, "same_place": False, "apart": False, "loaners": False,
                "guess_s": run_s, "mark_s": 0.0, "stow_s": 0.0, "due_s": None}
        spec.update(changes)
        self.jobs[ref] = dict(spec, run_s=run_s)
        return spec

    async def user(self, method, path, value=None, at=0, limit=5.0):
        answer = await call(self.controllers[at].public, method, path, value, limit)
        self.record(f"user to {self.names[at]}: {method} {path} -> {answer[0]} {json.dumps(answer[1])[:160]}")
        return answer

    async def until_answer(self, method, path, value=None, order=None, limit=60.0, accept=(200, 201)):
        """Repeats a request as the users do, at one controller after the other."""
        order = order or list(range(len(self.controllers)))
        until, n = time.monotonic() + limit, 0
        while time.monotonic() < until:
            status, value_ = await self.user(method, path, value, order[n % len(order)])
            if status in accept:
                return status, value_
            n += 1
            await asyncio.sleep(1.0)
        raise CannotRun(f"{method} {path}: no answer in {limit} s")

    async def submit(self, spec, **more):
        return await self.until_answer("POST", "/submissions", spec, **more)

    async def wait_for(self, condition, limit, what):
        until = time.monotonic() + limit
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"{what}: not in {limit} s")
            await asyncio.sleep(0.02)

    def running(self, ref):
        return [t for t, on in self.present.items() if t.split("/")[0] == ref and on]

    async def stop(self):
        for i in range(len(self.controllers)):
            if self.controllers[i].process and self.controllers[i].process.returncode is None:
                self.controllers[i].process.send_signal(signal.SIGKILL)
                await self.controllers[i].process.wait()
        if os.environ.get("KEEP"):
            shutil.copytree(self.directory, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, case, limit=115.0):
    """Runs `case(folder, trouble) -> list of what broke the rule`; exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    async def run():
        sites = []
        def make(*args, **more):
            sites.append(Site(folder, *args, **more))
            return sites[-1]
        try:
            broken = await asyncio.wait_for(case(make, trouble), limit)
            for b in broken:
                sites[0].record(f"BROKEN {b}")
            sites[0].record("result: the rule was broken" if broken else "result: the rule held")
            print("\n".join(broken) or "the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as e:
            if not isinstance(e, CannotRun):
                traceback.print_exc()
            print(f"the case could not run: {e!r}")
            if sites:
                sites[0].record(f"the case could not run: {e!r}")
            return 2
        finally:
            for s in sites:
                await s.stop()
    async def run_and_exit():
        task = asyncio.ensure_future(run())
        for number in (signal.SIGTERM, signal.SIGINT):  # its processes end with it
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        code = await task
        sys.stdout.flush()
        os._exit(code)  # open connections need no farewell
    asyncio.run(run_and_exit())
