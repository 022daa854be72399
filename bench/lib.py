"""What the benches with real processes share: nodes and stand-ins on loopback, their processor time and memory."""
import hashlib
import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("ROBINRUN_BUILD", os.path.join(ROOT, "build"))
TOKEN = "bench-operator"
TICK = os.sysconf("SC_CLK_TCK")


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


class Deployment:
    """Processes that this bench started, and only those; all end with it."""

    def __init__(self, base_port):
        self.base = base_port
        self.folder = tempfile.mkdtemp(prefix="robinrun-bench-")
        self.processes = {}
        self.platform = f"127.0.0.1:{base_port}"
        self.start("platform", [f"{BUILD}/test/standin-platform", self.platform])
        self.wait(lambda: self.http("GET", self.platform, "/stats") is not None)

    def start(self, name, command):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)

    def http(self, method, address, path, body=None, headers=None, timeout=5):
        """The reply's body, or None if there is none or it is an error."""
        request = urllib.request.Request(f"http://{address}{path}", method=method, headers=headers or {},
                                         data=body.encode() if body is not None else None)
        try:
            with urllib.request.urlopen(request, timeout=timeout) as reply:
                return reply.read().decode()
        except (urllib.error.URLError, OSError):
            return None

    def api(self, method, address, path, body=None, version=None):
        headers = {"Authorization": f"Bearer {TOKEN}"}
        if version == "*":
            headers["If-None-Match"] = "*"
        elif version is not None:
            headers["If-Match"] = str(version)
        reply = self.http(method, address, path, body, headers)
        return json.loads(reply) if reply else None

    def control(self, address, query):
        self.http("POST", address, f"/control?{query}", "")

    def wait(self, condition, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise RuntimeError("gave up waiting")

    def backend(self, name, address, slots, mean_ms, sigma):
        self.start(name, [f"{BUILD}/test/standin-backend", address, str(slots), str(mean_ms), str(sigma)])

    def node(self, name, number, hall="h1", region="r1", upstream="", extra=""):
        """Writes the settings of a node and starts it. Returns its three addresses."""
        callers, operators, peers = (f"127.0.0.1:{self.base + 1000 * k + number}" for k in (1, 2, 3))
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(f"node: {name}\ndata_hall: {hall}\nregion: {region}\ncharts: charts\n"
                      + (f"upstream: {upstream}\n" if upstream else "")
                      + f"listen: {{callers: '{callers}', operators: '{operators}', peers: '{peers}'}}\n"
                      f"platform: {{log: '{self.platform}', hosts: '{self.platform}'}}\n"
                      f"operator_tokens: {{bench: {sha256(TOKEN)}}}\nlog: {{level: info}}\n{extra}")
        self.http("PUT", self.platform, f"/hosts/{name}", f"{peers} {hall} {region} live")
        self.start(name, [f"{BUILD}/robinrun-node", "--settings", path])
        return callers, operators, peers

    def load(self, spec, name="load"):
        """Runs robinrun-load over a spec. Returns its JSON lines."""
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(spec)
        done = subprocess.run([f"{BUILD}/robinrun-load", "--json", "--spec", path], capture_output=True, text=True, check=False)
        return [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")]

    def cpu_seconds(self, name):
        with open(f"/proc/{self.processes[name].pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def rss_kb(self, name):
        with open(f"/proc/{self.processes[name].pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    def metrics(self, operators):
        """The counters and gauges of a node, by series."""
        out = {}
        for line in (self.http("GET", operators, "/metrics") or "").splitlines():
            if line and not line.startswith("#"):
                series, value = line.rsplit(" ", 1)
                out[series] = float(value)
        return out

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)

    def stop(self):
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=3)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def service(deadline_ms=2000, queue_limit=1000):
    return json.dumps({"service": {"deadline_ms": deadline_ms, "queue_limit": queue_limit, "retry_fraction": 0.1}})


def upstream(service_id, backend, peers, host, hall="h1", region="r1", slots=1000, connections=1000):
    return json.dumps({"upstream": {"service": service_id, "address": backend, "node_address": peers, "host": host,
                                    "data_hall": hall, "region": region, "slots": slots, "connections": connections}})


def group(secret):
    return json.dumps({"group": {"credential_sha256": sha256(secret)}})


def fit(xs, ys):
    """Least squares: intercept, slope, and the largest error of a point as a share of the largest value."""
    n = len(xs)
    mx, my = sum(xs) / n, sum(ys) / n
    slope = sum((x - mx) * (y - my) for x, y in zip(xs, ys)) / sum((x - mx) ** 2 for x in xs)
    intercept = my - slope * mx
    worst = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys))
    return intercept, slope, worst / max(max(abs(y) for y in ys), 1e-9)
