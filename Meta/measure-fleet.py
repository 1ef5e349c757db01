#!/usr/bin/env python3
"""Measures a fleet of real nodes on loopback: convergence of configuration and of endpoint changes, control
bytes, processor time, memory and reads of the platform; idle, during changes and during churn; and full push
and direct polling on the same platform and changes. Ends every process that it started, by its id.

    ./Meta/measure-fleet.py --nodes 50 --zones 5 --services 20 --routes 3 [--json FILE]
"""

import argparse
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("SAGECRANK_BIN", ROOT / "Build" / "release" / "bin"))
TICKS = os.sysconf("SC_CLK_TCK")


class Process:
    def __init__(self, arguments, output):
        self.output = output
        with open(output, "ab") as stream:
            self.child = subprocess.Popen(arguments, stdout=stream, stderr=subprocess.DEVNULL)

    def end(self, hard=False):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL if hard else signal.SIGTERM)

    def wait(self):
        try:
            self.child.wait(timeout=10)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()

    def processor_seconds(self):
        with open(f"/proc/{self.child.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident_mebibytes(self):
        with open(f"/proc/{self.child.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Node(Process):
    def __init__(self, index, options, folder):
        self.index = index
        self.admin = options.base_port + 5 * index + 4
        zone = f"zone-{index % options.zones}"
        port = lambda offset: f"127.0.0.1:{options.base_port + 5 * index + offset}"
        seeds = [f"127.0.0.1:{options.base_port + 5 * i + 2}" for i in range(3) if i != index]
        settings = folder / f"node-{index}.toml"
        settings.write_text(f"""[node]
id = "n{index}"
region = "region"
zone = "{zone}"
site = "{zone}"
threads = 1
[listen]
callers = "{port(0)}"
peers = "{port(1)}"
gossip = "{port(2)}"
control = "{port(3)}"
admin = "{port(4)}"
[platform]
table = "{options.platform}"
objects = "{options.platform}"
[gossip]
seeds = {json.dumps(seeds)}
[history]
enabled = true
[log]
level = "error"
""")
        super().__init__([BIN / "sagecrank-node", "--settings", settings], folder / f"node-{index}.out")

    def get(self, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.admin, timeout=5)
        connection.request("GET", path)
        text = connection.getresponse().read()
        connection.close()
        return text

    def status(self):
        return json.loads(self.get("/status"))

    def announce(self, state):
        body = json.dumps({"cluster": "service-0", "address": "127.0.0.1:1", "slots": 6, "state": state})
        connection = http.client.HTTPConnection("127.0.0.1", self.admin, timeout=5)
        connection.request("POST", "/v1/upstream", body, {"Content-Type": "application/json"})
        status = connection.getresponse().status
        connection.close()
        return status


def events(path):
    """Whole lines only: the last one may still be on its way."""
    with open(path, "rb") as stream:
        for line in stream:
            if line.endswith(b"\n") and line.startswith(b"{"):
                yield json.loads(line)


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


def spread(values):
    return {"p50_ms": quantile(values, 0.5), "p99_ms": quantile(values, 0.99),
            "last_ms": max(values, default=float("nan")), "samples": len(values)}


class Run:
    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.nodes = []
        self.version = 0
        self.result = {"nodes": options.nodes, "zones": options.zones, "services": options.services,
                       "routes": options.routes, "load_average": os.getloadavg()[0]}

    def publish(self):
        self.version += 1
        options = self.options
        text = subprocess.run(
            [BIN / "sagecrank-fleet-bench", "publish", "--platform", options.platform, "--version",
             str(self.version), "--sites", str(options.zones), "--services", str(options.services),
             "--routes", str(options.routes)], capture_output=True, text=True, check=True).stdout
        return int(text.split()[0])

    def counters(self):
        host, port = self.options.platform.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request("GET", "/emulator/counters")
        return json.loads(connection.getresponse().read())

    def wait_for(self, condition, limit, what):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.25)
        print(f"gave up waiting for {what}", file=sys.stderr)
        return False

    def sample(self):
        sample = {"time": time.monotonic(), "platform": self.counters(), "nodes": []}
        for node in self.nodes:
            status = node.status()
            sample["nodes"].append({
                "gossip": status["gossip"]["sent_bytes"] + status["gossip"]["received_bytes"],
                "sent": status["gossip"]["sent_bytes"],
                "pulled": status["pulls"]["bytes"] + status["pulls"]["bytes_served"],
                "cpu": node.processor_seconds(), "rss": node.resident_mebibytes()})
        return sample

    def between(self, first, second):
        seconds = second["time"] - first["time"]
        rates = lambda key: [(b[key] - a[key]) / seconds for a, b in zip(first["nodes"], second["nodes"])]
        platform = second["platform"]
        reads = platform["reads"] - first["platform"]["reads"]
        writes = platform["writes"] - first["platform"]["writes"]
        gossip, pulled, cpu = rates("gossip"), rates("pulled"), rates("cpu")
        rss = [node["rss"] for node in second["nodes"]]
        count = len(rss)
        return {"seconds": round(seconds, 1), "gossip_bytes_s": sum(gossip) / count,
                "gossip_bytes_s_most": max(gossip), "pull_bytes_s": sum(pulled) / count,
                "cpu_percent": 100 * sum(cpu) / count, "cpu_percent_most": 100 * max(cpu),
                "rss_mib": sum(rss) / count, "rss_mib_most": max(rss),
                "platform_reads_s": reads / seconds, "platform_writes_s": writes / seconds}

    def start(self):
        began = time.monotonic()
        for index in range(self.options.nodes):
            self.nodes.append(Node(index, self.options, self.folder))
        ready = self.wait_for(self.all_see_all, 120, "every node to see every node")
        self.result["herd_start"] = {"seconds_until_all_see_all_and_hold": time.monotonic() - began,
                                     "reached": ready, "platform_reads": self.counters()["reads"]}

    def all_see_all(self):
        try:
            for node in self.nodes:
                status = node.status()
                if status["members"]["alive"] != len(self.nodes) or status["version"] != self.version:
                    return False
        except (OSError, http.client.HTTPException):
            return False
        return True

    def idle(self):
        first = self.sample()
        time.sleep(self.options.window)
        self.result["idle"] = self.between(first, self.sample())

    def changes(self):
        first = self.sample()
        accepted = {}
        for _ in range(self.options.changes):
            when = self.publish()
            accepted[self.version] = when
            time.sleep(self.options.change_interval)
        time.sleep(5)
        self.result["change"] = self.between(first, self.sample())
        self.result["change"]["changes"] = self.options.changes
        self.result["change"]["convergence"] = self.swaps(accepted, [n.output for n in self.nodes])

    def swaps(self, accepted, outputs):
        delays, missed, last = [], 0, []
        by_version = {version: [] for version in accepted}
        for output in outputs:
            reached = {}
            for event in events(output):
                if event.get("e") == "node.swapped":
                    for version in accepted:
                        if event["version"] >= version and (event["p"], version) not in reached:
                            reached[(event["p"], version)] = event["t"]
            for (_, version), when in reached.items():
                by_version[version].append((when - accepted[version]) / 1e6)
        for version, times in by_version.items():
            delays += times
            missed += max(0, self.options.nodes - len(times))
            last.append(max(times, default=float("nan")))
        return dict(spread(delays), missed=missed, last_node_of_each_change_ms=[None if x != x else round(x) for x in last])

    def drains(self):
        chosen = [self.nodes[(i * 7 + 3) % len(self.nodes)] for i in range(self.options.drains)]
        delays, missed = [], 0
        for node in chosen:
            node.announce("ready")
            time.sleep(1.5)
            node.announce("ready")
            time.sleep(1)
            began = time.monotonic_ns()
            node.announce("draining")
            time.sleep(2.5)
            seen = 0
            for viewer in self.nodes:
                times = [e["t"] for e in events(viewer.output)
                         if e.get("e") == "node.member" and e["member"] == f"n{node.index}"
                         and e["upstream"] == "draining" and e["t"] >= began]
                if times:
                    seen += 1
                    delays.append((min(times) - began) / 1e6)
            missed += len(self.nodes) - seen
        self.result["drain"] = dict(spread(delays), missed=missed, drains=len(chosen))

    def churn(self):
        first = self.sample()
        end = time.monotonic() + self.options.window
        restarts = 0
        kept = list(self.nodes)
        while time.monotonic() < end:
            index = 3 + (restarts * 11) % max(1, len(self.nodes) - 3)
            node = self.nodes[index]
            node.end(hard=True)
            node.wait()
            self.nodes[index] = Node(index, self.options, self.folder)
            restarts += 1
            time.sleep(self.options.churn_interval)
        began = time.monotonic()
        self.wait_for(self.all_see_all, 60, "the fleet to be whole after churn")
        healed = time.monotonic() - began
        second = self.sample()
        same = [i for i, node in enumerate(self.nodes) if node is kept[i]]
        for sample in (first, second):
            sample["nodes"] = [sample["nodes"][i] for i in same]
        if same:
            self.result["churn"] = dict(self.between(first, second), restarts=restarts, survivors=len(same),
                                        seconds_until_whole=healed)

    def baseline(self, mode):
        output = self.folder / f"{mode}.out"
        process = Process([BIN / "sagecrank-fleet-bench", mode, "--nodes", str(self.options.nodes),
                           "--platform", self.options.platform, "--site", "zone-0"], output)
        time.sleep(5)
        first = self.counters()
        began = time.monotonic()
        accepted = {}
        for _ in range(self.options.changes):
            when = self.publish()
            accepted[self.version] = when
            time.sleep(self.options.change_interval)
        seconds = time.monotonic() - began
        reads = self.counters()["reads"] - first["reads"]
        process.end()
        process.wait()
        counted = [e for e in events(output) if e.get("e") == "counters"][-1]
        self.result[mode] = {"convergence": self.swaps(accepted, [output]),
                             "platform_reads_s": reads / seconds, "bytes_in_all": counted["bytes"],
                             "changes_taken": self.options.changes + 1}

    def stop_nodes(self):
        for node in self.nodes:
            node.end(hard=True)
        for node in self.nodes:
            node.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--nodes", type=int, default=10)
    parser.add_argument("--zones", type=int, default=5)
    parser.add_argument("--services", type=int, default=20)
    parser.add_argument("--routes", type=int, default=3)
    parser.add_argument("--window", type=float, default=20, help="seconds of the idle and the churn window")
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--change-interval", type=float, default=3)
    parser.add_argument("--drains", type=int, default=5)
    parser.add_argument("--churn-interval", type=float, default=2)
    parser.add_argument("--base-port", type=int, default=20000)
    parser.add_argument("--platform", default="127.0.0.1:19900")
    parser.add_argument("--skip", default="", help="parts left out: idle,changes,drains,churn,polling,push")
    parser.add_argument("--json", help="also writes the result to this file")
    options = parser.parse_args()
    skipped = set(options.skip.split(","))
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        run = Run(options, folder)
        platform = Process([BIN / "sagecrank-platform-emulator", "--listen", options.platform],
                           folder / "platform.out")
        try:
            time.sleep(0.5)
            run.publish()
            run.start()
            for part in ("idle", "changes", "drains", "churn"):
                if part not in skipped:
                    getattr(run, part)()
            run.stop_nodes()
            for mode in ("polling", "push"):
                if mode not in skipped:
                    run.baseline(mode)
        finally:
            run.stop_nodes()
            platform.end()
            platform.wait()
    text = json.dumps(run.result, indent=1, default=str)
    print(text)
    if options.json:
        pathlib.Path(options.json).write_text(text)


if __name__ == "__main__":
    main()
