"""A setting that is a fraction. The platform exchanges the settings files (`grace_period_s` becomes
8.5), sends SIGHUP, and then stops and starts the machines in turn. Without the disruption the value
stays 8; all else is the same."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import platform_site as w  # noqa: E402

STARTS = 3
START_AFTER_S = 0.5


def case(trouble, folder):
    site = w.Site(folder, core=3, fronts=1)
    try:
        site.start_all()
        site.replicas("app", 3, w.answer_plain, slots=6)
        services = [{"name": "app", "health_path": "/health", "max_connections": 110,
                     "protocol": "h1", "tls": False}]
        routes = [{"name": "u", "host": w.HOST, "path_prefix": "/u/", "kind": "unsafe",
                   "timeout_ms": 1200, "target_latency_ms": 150, "priority": 1, "service": "app",
                   "max_attempts": 1, "public": False}]
        if not site.put(site.config(routes, services)):
            raise w.CannotRun("the first configuration was not acknowledged")
        site.wait_ready()
        for host in range(site.count):
            site.wait("an answer", lambda: site.status(host, "/u/x") == 200)
        # The settings files change, and SIGHUP says so.
        site.bootstrap = False
        site.bounds["grace_period_s"] = 8.5 if trouble else 8
        for host in range(site.count):
            site.write_settings(host)
            site.signal(host, signal.SIGHUP)
        ends = {}
        for host in range(site.count):
            site.signal(host, signal.SIGTERM)
            site.wait("the end of host %d" % host, lambda: site.is_ended(host), 10)
            site.start(host)
            # A process that exits is started again after a short delay.
            until, starts = time.monotonic() + 10, 1
            while time.monotonic() < until and not site.is_ready(host):
                time.sleep(START_AFTER_S)
                ended = [role for role in ("control", "entry")
                         if (host, role) in site.processes
                         and site.processes[(host, role)].poll() is not None]
                for role in ended:
                    code = site.processes[(host, role)].returncode
                    site.record.line("ended  host %d %s by itself, code %d" % (host, role, code))
                    ends[(host, role)] = ends.get((host, role), 0) + 1
                if starts == STARTS and ended:
                    break
                if ended:
                    starts += 1
                    site.start(host, ended)
        served = [site.status(host, "/u/x") for host in range(site.count)]
        often = {host for (host, _), count in ends.items() if 3 <= count}
        for line in site.last_log_lines():
            site.record.line("log    " + line)
        site.record.line("ends by themselves: %s; requests at the end: %s" % (ends, served))
        held = len(often) < 2
        print("%s: processes of %d machines ended by themselves three times; answers at the end: %s" % (
            "held" if held else "broken", len(often), served))
        return held
    finally:
        site.end()


w.main(case)
