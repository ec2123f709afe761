"""A small deployment on loopback: the project's own processes, with stand-ins for the platform, the
operator, replicas and requesters. Only the standard library is used."""

import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The commands of deploy/system.toml.
PROGRAM = os.path.join(ROOT, "target", "release", "wasabi-platform")
KEY = "k1"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case cannot run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Message:
    def __init__(self, start, headers, body, is_complete):
        self.start, self.headers, self.body, self.is_complete = start, headers, body, is_complete

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self):
        parts = self.start.split(" ")
        return int(parts[1]) if 2 <= len(parts) and parts[1].isdigit() else 0


def read_message(stream):
    """Reads a message; returns none when the connection ended before its first byte."""
    start = stream.readline()
    if not start:
        return None
    headers = []
    while True:
        line = stream.readline()
        if not line:
            return Message(start.decode().strip(), headers, b"", False)
        line = line.decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers.append((name.lower(), value.strip()))
    message = Message(start.decode().strip(), headers, b"", True)
    length = message.header("content-length")
    if length is not None:
        message.body = stream.read(int(length)) if int(length) else b""
        message.is_complete = len(message.body) == int(length)
    elif (message.header("transfer-encoding") or "").lower() == "chunked":
        message.is_complete = False
        while True:
            line = stream.readline().strip()
            if not line:
                break
            size = int(line.split(b";")[0], 16)
            chunk = stream.read(size + 2)
            if len(chunk) < size + 2:
                break
            if size == 0:
                message.is_complete = True
                break
            message.body += chunk[:-2]
    return message


def call(address, head, body=b"", timeout=1.0):
    """Sends a request on a new channel; returns the answer, or none when none came."""
    try:
        with socket.create_connection(address, timeout=timeout) as stream:
            stream.sendall(head.encode() + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            with stream.makefile("rb") as reader:
                return read_message(reader)
    except (OSError, ValueError):
        return None


class Replica:
    """A sound replica. `handler(replica, request, stream)` answers a request."""

    def __init__(self, site, ident, service, handler, zone, slots=7, model=False, ip=None):
        self.site, self.ident, self.service, self.handler = site, ident, service, handler
        self.zone, self.slots, self.model = zone, slots, model
        self.state, self.beats, self.sequence = "ready", True, 0
        self.born = int(time.time() * 1000)
        self.acked = {}
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip or "127.0.2.1", 0))
        self.listener.listen(256)
        self.address = self.listener.getsockname()
        self.runs = []
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = stream.makefile("rb")
        try:
            while True:
                request = read_message(reader)
                if request is None or not request.is_complete:
                    return
                expected = request.header("x-expect-replica")
                if expected is not None and expected != self.ident:
                    stream.sendall(b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                                   + (request.header("x-attempt-id") or "").encode()
                                   + b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                with self.lock:
                    self.runs.append((time.monotonic(), request))
                self.site.record.line("run    %s id=%s %s tenant=%s body=%d" % (
                    self.ident, request.header("x-attempt-id"), request.start,
                    request.header("x-tenant"), len(request.body)))
                self.handler(self, request, stream)
        except (OSError, ValueError):
            pass
        finally:
            reader.close()
            stream.close()

    def announcement(self, state=None):
        self.sequence += 1
        body = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state or self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
        if self.model:
            body.update({"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]})
        return json.dumps(body).encode()

    def beat_once(self, state=None, hosts=None):
        for address in hosts or self.site.control_addresses():
            head = "POST /Replicas.Heartbeat/%s HTTP/1.1\r\nHost: c" % self.ident
            answer = call(address, head, self.announcement(state))
            if answer and answer.status // 100 == 2:
                return address
        return None

    def beat(self):
        while True:
            if self.beats:
                self.beat_once()
            time.sleep(1.2)


def answer_plain(replica, request, stream, body=b"ok", delay=0.03):
    time.sleep(delay)
    head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: s\r\nContent-Length: %d\r\n\r\n"
    stream.sendall((head % (request.header("x-attempt-id"), len(body))).encode() + body)


class Site:
    """Hosts with the roles of the deploy file: the first `core` hosts have a disk."""

    def __init__(self, folder, core=3, fronts=3, memory_mb=110):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="wasabi-review-")
        self.core, self.count = core, core + fronts
        self.memory_mb = memory_mb
        self.processes = {}
        self.seeds = list(range(min(core, 3)))
        self.bootstrap = True
        self.bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 72000, "recovery_s": 12, "ttl_max_s": 5}
        self.port = self.free_port()
        self.version = 0
        self.numbers = itertools.count(1)
        if not os.path.exists(PROGRAM):
            raise CannotRun("build first: %s is missing" % PROGRAM)

    @staticmethod
    def free_port():
        for base in range(20000 + os.getpid() % 1000 * 20, 60000, 40):
            try:
                for offset in range(20):
                    with socket.socket() as probe:
                        probe.bind(("127.0.1.1", base + offset))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def ip(self, host):
        return "127.0.1.%d" % (host + 1)

    def at(self, host, offset):
        return (self.ip(host), self.port + offset)

    def front(self, host):
        return self.at(host, 0)

    def ready(self, host):
        return self.at(host, 1)

    def control(self, host):
        return self.at(host, 2)

    def directory(self, host):
        return self.at(host, 3)

    def zone(self, host):
        return ["kozani-a", "ptolemaida-b", "florina-c"][host % 3]

    def control_addresses(self):
        return [self.control(host) for host in range(self.core)]

    def settings(self, host):
        return os.path.join(self.work, "boot-%d.json" % host)

    def write_settings(self, host):
        text = lambda address: "%s:%d" % address
        has_disk = host < self.core
        boot = {
            "node_name": "front-%d" % host, "role": "x", "machine_class": "front",
            "serves": ["front", "control", "directory"], "ip_address": self.ip(host),
            "zone": self.zone(host), "region": "dytiki-mak",
            "zones": {"kozani-a": "dytiki-mak", "ptolemaida-b": "dytiki-mak", "florina-c": "dytiki-mak"},
            "listen": {"front": text(self.front(host)), "ready": text(self.ready(host)),
                       "control": text(self.control(host)), "directory": text(self.directory(host))},
            "internal_port_range": [self.port + 4, self.port + 19],
            "seed_nodes": [text(self.control(seed)) for seed in self.seeds],
            "bootstrap": self.bootstrap, "counts_toward_loss": has_disk,
            "limits": {"cpu_share": 0.45, "cpu_cores": 1, "memory_mb": self.memory_mb,
                       "max_file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 64},
            "discovery": "registration", "entry": "directory", "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "quota", "rollout"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.bounds,
            "config_mode": "highest",
        }
        if has_disk:
            boot["data_directory"] = os.path.join(self.work, "data-%d" % host)
        path = self.settings(host)
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(boot, file)
        os.rename(path + ".new", path)

    def start(self, host, roles=("control", "entry")):
        self.write_settings(host)
        for role in roles:
            if role == "control" and self.core <= host:
                continue
            log = open(os.path.join(self.work, "%s-%d.log" % (role, host)), "ab")
            environment = {key: value for key, value in os.environ.items()
                           if key in ("PATH", "HOME", "LANG")}
            environment["WASABIDOOR_BOOT"] = self.settings(host)
            self.processes[(host, role)] = subprocess.Popen(
                [PROGRAM, role], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
            log.close()
            self.record.line("start  host %d %s" % (host, role))

    def start_all(self):
        for host in range(self.count):
            self.start(host)

    def signal(self, host, number, roles=("control", "entry")):
        for role in roles:
            process = self.processes.get((host, role))
            if process and process.poll() is None:
                process.send_signal(number)
                self.record.line("signal %s host %d %s" % (signal.Signals(number).name, host, role))

    def kill(self, host, roles=("control", "entry")):
        self.signal(host, signal.SIGKILL, roles)
        for role in roles:
            process = self.processes.get((host, role))
            if process:
                process.wait()

    def is_ended(self, host):
        return all(process.poll() is not None for (other, _), process in self.processes.items()
                   if other == host)

    def last_log_lines(self):
        """Returns the last line that each process has written."""
        lines = []
        for host, role in sorted(self.processes):
            path = os.path.join(self.work, "%s-%d.log" % (role, host))
            with open(path, encoding="utf-8", errors="replace") as file:
                text = file.read().splitlines()
            if text:
                lines.append("host %d %s: %s" % (host, role, text[-1].replace(self.work, "")))
        return lines

    def config(self, routes, services, tenants=None, **extra):
        self.version += 1
        config = {"version": self.version, "routes": routes, "services": services,
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                  "tenants": tenants or [{"name": "hule930", "api_keys": [KEY], "priority": 1,
                                          "unit": "tokens", "plain_tokens": 200, "per_s": 0,
                                          "burst": 0}]}
        config.update(extra)
        return config

    def put(self, config, hosts=None, within=20.0):
        body = json.dumps(config).encode()
        until = time.monotonic() + within
        while time.monotonic() < until:
            for address in hosts or self.control_addresses():
                answer = call(address, "POST /Config.Put HTTP/1.1\r\nHost: c", body)
                self.record.line("config version %d to %s: %s" % (
                    config["version"], address[0], answer.status if answer else "no answer"))
                if answer and answer.status // 100 == 2:
                    return True
                if answer and answer.status in (400, 409, 412, 413, 422):
                    return False
            time.sleep(0.1)
        return False

    def is_ready(self, host):
        answer = call(self.ready(host), "GET /ready HTTP/1.1\r\nHost: r")
        return bool(answer) and answer.status == 200

    def wait(self, what, holds, within=20.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if holds():
                return
            time.sleep(0.05)
        raise CannotRun("%s did not happen within %g s" % (what, within))

    def wait_ready(self, hosts=None):
        for host in hosts if hosts is not None else range(self.count):
            self.wait("readiness of host %d" % host, lambda: self.is_ready(host))

    def request(self, host, path, ident, method="POST", body=b"", deadline=2500, headers="",
                timeout=None):
        head = ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                "Api-Key: %s%s" % (method, path, HOST, ident, deadline, KEY, headers))
        self.record.line("sent   id=%s host %d %s %s body=%d" % (ident, host, method, path, len(body)))
        answer = call(self.front(host), head, body, timeout or deadline / 1000.0 + 1)
        text = "closed without an answer" if answer is None else "%d complete=%s" % (
            answer.status, answer.is_complete)
        self.record.line("answer id=%s %s" % (ident, text))
        return answer

    def status(self, host, path):
        """Sends a request and returns its status, 0 when it has no answer."""
        answer = self.request(host, path, "a-%d" % next(self.numbers))
        return answer.status if answer else 0

    def replicas(self, service, count, handler, slots, model=False):
        return [Replica(self, "%s-%d" % (service, number), service, handler, self.zone(number),
                        slots=slots, model=model) for number in range(count)]

    @staticmethod
    def memory_mb_of(process, field="VmRSS"):
        """Returns the memory that a process uses, in MB; 0 when it has ended."""
        try:
            with open("/proc/%d/status" % process.pid, encoding="utf-8") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def main(case, seconds=115):
    """Runs a case: `case(trouble, folder)` returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    timer = threading.Timer(seconds, lambda: os.kill(os.getpid(), signal.SIGALRM))
    timer.daemon = True
    timer.start()

    def late(*_):
        raise CannotRun("the case took too long")

    signal.signal(signal.SIGALRM, late)
    signal.signal(signal.SIGTERM, late)
    try:
        held = case(trouble, folder)
    except CannotRun as reason:
        print("cannot run: %s" % reason, file=sys.stderr)
        sys.exit(2)
    except Exception:
        # A fault of the case itself says nothing about the rule.
        traceback.print_exc()
        sys.exit(2)
    sys.exit(0 if held else 1)
