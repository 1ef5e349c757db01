"""Runs seeded faults against real processes and judges the histories. See Meta/prove.sh --help."""

import argparse
import itertools
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time

import faults
from driver_history import DriverHistory
from fleet import Fleet

QUIET_SECONDS = 2.0  # Before the first fault.
SETTLE_SECONDS = 1.0  # After the last one, beyond the time that a version may take to be in force.
PUBLISH_EVERY = 2.5  # Seconds.
CALLERS_END_SECONDS = 40.0  # For the last calls to be answered or lost.

# Two faults at once, where one may hide or worsen what the other does.
PAIRS = [
    ("drain", "two-operators"), ("drain", "kill-node"), ("drain", "platform-down"), ("drain", "pause-node"),
    ("herd", "platform-down"), ("herd", "two-operators"), ("pause-node", "platform-lost"),
    ("long-pause", "platform-slow"), ("long-pause", "kill-upstream"), ("kill-node", "platform-lost"),
    ("kill-node", "platform-late"), ("platform-cut", "two-operators"), ("platform-lost", "two-operators"),
    ("drop-answers", "platform-lost"), ("shed", "drain"), ("misleading", "kill-node"), ("cold", "herd"),
    ("caller-cut", "platform-down"), ("platform-silent", "kill-node"), ("drain-node", "platform-lost"),
    ("drain-node", "drain"), ("peers-silent", "platform-lost"), ("peers-silent", "kill-node"),
    ("kill-node", "platform-down"), ("herd", "platform-cut"), ("peers-late", "pause-node"), ("peers-cut", "shed"), ("peers-hole", "kill-upstream"),
    ("named-limit", "kill-node"), ("named-limit", "answers-broken"), ("leaves-quietly", "kill-node"),
]


# Scenarios that failed once, as (faults, seed, mean milliseconds of a booking); docs/PROOFS.md says why.
KEPT = [("none", 1, 25), ("drain-node", 1, 25), ("misleading", 1, 25), ("drain+drain+drain", 1, 300),
        ("drain-node", 11, 25), ("peers-silent", 11, 25), ("peers-hole", 11, 25),
        ("kill-upstream+bad-version", 50, 200),
        ("platform-late+kill-node+drop-answers+two-operators+platform-late", 20, 200)]


# The soak draws so many faults for a seed, each of which may come more than once, in series and overlapping.
SOAK_FAULTS = (2, 5)
# Drawn after the others, one of each row for a seed, so that what a seed drew before they were there stays as it
# was.
LATER_FAULTS = ("zone-lost", "answers-broken")
LATEST_FAULTS = ("named-limit", "leaves-quietly")
# In every seed, so that each of its other faults meets it.
FAULTS_OF_ALL_SEEDS = ("rejections-repeated",)

# Promises that only runs with a certain fault can judge.
JUDGED_WITH = {"named-limit-kept": "named-limit"}


def soak_scenario(seed):
    source = random.Random(f"{seed}/soak")
    added = ("none",) + LATER_FAULTS + LATEST_FAULTS + FAULTS_OF_ALL_SEEDS
    disturbing = [name for name in faults.FAULTS if name not in added]
    drawn = source.choices(disturbing, k=source.randint(*SOAK_FAULTS))
    return "+".join([*drawn, source.choice(LATER_FAULTS), source.choice(LATEST_FAULTS), *FAULTS_OF_ALL_SEEDS])


def parse_arguments():
    parser = argparse.ArgumentParser(
        prog="Meta/prove.sh", description="Runs seeded faults against real processes and judges each history.",
        epilog="faults: " + ", ".join(faults.FAULTS) + "; two at once are joined by +, as in drain+kill-node")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds of each scenario (default 1)")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--faults", default="alone,pairs",
                        help="scenarios with commas; alone = each fault, pairs = the chosen pairs (default both), "
                             "kept = those that failed once, with their own seeds, soak = two to five drawn by each seed")
    parser.add_argument("--seconds", type=float, default=20.0, help="disturbed part of each run (default 20)")
    parser.add_argument("--nodes", type=int, default=6, help="nodes in three zones (default 6)")
    parser.add_argument("--visitors", type=int, default=16, help="callers at one time (default 16)")
    parser.add_argument("--pause-ms", type=int, default=80, help="longest pause of a caller (default 80)")
    parser.add_argument("--work-ms", type=int, default=25,
                        help="mean time that a booking runs on its upstream (default 25)")
    parser.add_argument("--convergence", type=float, default=7.0,
                        help="seconds in which an accepted version must be in force (default 7)")
    parser.add_argument("--binaries", default="Build/release/bin")
    parser.add_argument("--keep", default="Build/prove", help="where the histories of failing runs are kept")
    parser.add_argument("--keep-all", action="store_true", help="keep the histories of good runs too")
    return parser.parse_args()


def scenarios(options):
    """Yields (faults, seed, mean milliseconds of a booking) in the order to run them."""
    chosen = []
    for part in options.faults.split(","):
        if part == "kept":
            chosen += KEPT
            continue
        groups = {"alone": list(faults.FAULTS), "pairs": ["+".join(pair) for pair in PAIRS]}
        seeds = range(options.first_seed, options.first_seed + options.seeds)
        if part == "soak":
            chosen += [(soak_scenario(seed), seed, options.work_ms) for seed in seeds]
            continue
        chosen += [(name, seed, options.work_ms) for name in groups.get(part, [part]) for seed in seeds]
    for name in itertools.chain.from_iterable(scenario.split("+") for scenario, _, _ in chosen):
        if name not in faults.FAULTS:
            sys.exit(f"there is no fault named {name}; there are: {', '.join(faults.FAULTS)}")
    return chosen


class Background:
    """Threads of one run whose failure fails the run."""

    def __init__(self):
        self.stopping = threading.Event()
        self.failures = []
        self.threads = []

    def start(self, function, *arguments):
        thread = threading.Thread(target=self._guarded, args=(function, *arguments))
        self.threads.append(thread)
        thread.start()

    def _guarded(self, function, *arguments):
        try:
            function(*arguments)
        except Exception as error:  # Whatever it is, the run has not shown what it was made for.
            self.failures.append(f"{type(error).__name__}: {error}")
            self.stopping.set()

    def join(self):
        for thread in self.threads:
            thread.join()


def publish_regularly(fleet, until, stopping):
    """Every fourth change goes back to the content of an older version, under a number of its own."""
    for number in itertools.count(1):
        if stopping.wait(PUBLISH_EVERY) or time.monotonic() >= until:
            return
        if number % 4 == 0:
            fleet.operators.rollback(1)
        else:
            fleet.operators.publish("regular")


def disturb(fleet, names, seed, options):
    """The timed part of a run: callers and publishes throughout, faults in the middle."""
    background = Background()
    until = time.monotonic() + QUIET_SECONDS + options.seconds
    settle = options.convergence + SETTLE_SECONDS
    callers = fleet.launch_callers(QUIET_SECONDS + options.seconds + settle, seed, options.visitors, options.pause_ms)
    background.start(publish_regularly, fleet, until, background.stopping)
    time.sleep(QUIET_SECONDS)
    for number, name in enumerate(names):
        # Each fault draws from a generator of its own, so that threads cannot disturb each other's seeds.
        source = random.Random(f"{seed}/{number}/{name}")
        background.start(faults.run_fault, name, fleet, source, until, background.stopping)
    background.join()
    if not callers.wait(settle + CALLERS_END_SECONDS):
        background.failures.append("the callers did not end")
    fleet.operators.record_truth(fleet.history)
    return background.failures


def run_once(scenario, seed, work_ms, options):
    """Returns the checker's answer as a dictionary, with "failures" for what went wrong with the run itself."""
    # A soak's scenario may be longer than a file's name.
    name = f"{scenario[:60]}-{seed}"
    folder = os.path.join(options.keep, name)
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    history = DriverHistory(os.path.join(folder, "driver.history"))
    fleet = Fleet(options.binaries, folder, history, random.Random(f"{seed}/fleet"), options.nodes,
                  work_ms)
    failures = []
    try:
        fleet.start()
        failures = disturb(fleet, scenario.split("+"), seed, options)
    except Exception as error:  # The rest of the runs go on; this one counts as failed.
        failures.append(f"{type(error).__name__}: {error}")
    finally:
        # The promises are judged up to here; what the end of the fleet itself breaks is no part of the run.
        files = fleet.snapshot_histories()
        fleet.stop()
        history.close()
    verdict = check(options, files, folder)
    verdict["failures"] = failures
    return verdict, folder


def check(options, files, folder):
    command = [f"{options.binaries}/sagecrank-check", *files,
               "--convergence-ms", str(int(options.convergence * 1000))]
    with open(os.path.join(folder, "verdict.txt"), "w") as report:
        subprocess.run([*command, "--show", "20"], stdout=report, stderr=subprocess.STDOUT, check=False)
    result = subprocess.run([*command, "--json"], capture_output=True, text=True, check=False)
    if not result.stdout:
        return {"unreadable": result.stderr.strip(), "promises": [], "calls": {}}
    return json.loads(result.stdout)


class Summary:
    """Adds up what the runs showed."""

    def __init__(self):
        self.judged = {}
        self.broken = {}
        self.calls = {}
        self.failed_runs = []
        self.runs = 0

    def add(self, scenario, seed, verdict, folder):
        self.runs += 1
        for key, count in verdict["calls"].items():
            self.calls[key] = self.calls.get(key, 0) + count
        broken = []
        for row in verdict["promises"]:
            name = row["promise"]
            if JUDGED_WITH.get(name, scenario) not in scenario:
                continue
            self.judged[name] = self.judged.get(name, 0) + row["judged"]
            self.broken[name] = self.broken.get(name, 0) + len(row["violations"])
            if row["violations"]:
                broken.append(f"{name} x{len(row['violations'])}")
        problems = broken + verdict["failures"] + ([verdict["unreadable"]] if "unreadable" in verdict else [])
        calls = verdict["calls"]
        print(f"{scenario:32} {seed:5} {calls.get('sent', 0):7} {calls.get('done', 0):7} "
              f"{calls.get('not_run', 0):7} {calls.get('unknown', 0):7} {calls.get('lost', 0):5} "
              f"{calls.get('drains', 0):6}  {'; '.join(problems) or 'holds'}", flush=True)
        if problems:
            self.failed_runs.append(folder)
        return not problems

    def print(self):
        print("\npromise                     judged   broken  result")
        for name, judged in self.judged.items():
            broken = self.broken[name]
            # A promise that no run could judge is not proved, whatever else went well.
            result = "BROKEN" if broken else "holds" if judged else "VACUOUS"
            print(f"{name:24} {judged:9} {broken:8}  {result}")
        print("\n" + ", ".join(f"{key} {count}" for key, count in self.calls.items()))
        print(f"{self.runs} runs, {len(self.failed_runs)} failed" + "".join(f"\n  {f}" for f in self.failed_runs))

    def holds(self):
        return not self.failed_runs and bool(self.judged) and all(self.judged.values())


def end_in_order(*_):
    """Raises, so that the run under way stops the processes that it started."""
    sys.exit(128 + signal.SIGTERM)


def main():
    signal.signal(signal.SIGTERM, end_in_order)
    options = parse_arguments()
    summary = Summary()
    print(f"{'faults':32} {'seed':>5} {'calls':>7} {'done':>7} {'not-run':>7} {'unknown':>7} {'lost':>5} "
          f"{'drains':>6}  result")
    for scenario, seed, work_ms in scenarios(options):
        verdict, folder = run_once(scenario, seed, work_ms, options)
        if summary.add(scenario, seed, verdict, folder) and not options.keep_all:
            shutil.rmtree(folder)
    summary.print()
    sys.exit(0 if summary.holds() else 1)


if __name__ == "__main__":
    main()
