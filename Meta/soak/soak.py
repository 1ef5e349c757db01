"""Plays seeded faults on real processes and checks what callers were promised. See Meta/soak.sh --help."""

import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import sys
import time

from clients import PROMISES_NOT_RUN, Callers
from deployments import DEPLOYMENTS, scaled
from faults import FAULTS
from fleet import Fleet

FAULTS_AT_ONCE = 4
LATE_RUN_SECONDS = 2.0  # A refused request may run later.


def parse_arguments():
    parser = argparse.ArgumentParser(prog="Meta/soak.sh", description=__doc__,
                                     epilog="faults: " + ", ".join(FAULTS))
    parser.add_argument("--deployment", choices=DEPLOYMENTS, action="append", help="may be given often (default all)")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0, help="of load and faults in each run (default 30)")
    parser.add_argument("--load", type=float, default=0.5, help="share of the deployment's requests and slots")
    parser.add_argument("--faults", help="with commas, all at one time (default: drawn by the seed)")
    parser.add_argument("--node-program", default="Build/release/bin/sagecrank-node")
    parser.add_argument("--binaries", default="Build/release/bin")
    parser.add_argument("--keep", default="Build/soak")
    parser.add_argument("--keep-all", action="store_true", help="keep the logs of good runs too")
    return parser.parse_args()


async def repeat_fault(fleet, names, source, until):
    """Rounds of `names` in series, each drawn anew. A fault that cannot be played fails the run."""
    while time.monotonic() < until:
        await FAULTS[source.choice(names)](fleet, source)
        await asyncio.sleep(source.uniform(0.1, 1.0))


async def play(name, deployment, seed, options, folder):
    source = random.Random(f"{name}/{seed}")
    names = options.faults.split(",") if options.faults else list(FAULTS)
    async with Fleet(deployment, folder, options.node_program, options.binaries) as fleet:
        until = time.monotonic() + options.seconds
        callers = Callers(deployment, fleet.machines, random.Random(f"{name}/{seed}/callers"), f"s{seed}")
        series = [[name] for name in names] if options.faults else [names] * FAULTS_AT_ONCE
        await asyncio.gather(callers.run(options.seconds),
                             *(repeat_fault(fleet, part, random.Random(source.random()), until) for part in series))
        await asyncio.sleep(LATE_RUN_SECONDS)
    return callers.answers


def count_runs(folder):
    """How often each attempt ran, by the servers' own records. A killed server may cut its last line."""
    runs = collections.Counter()
    for file_name in os.listdir(folder):
        if not file_name.startswith("server-"):
            continue
        with open(os.path.join(folder, file_name), errors="replace") as lines:
            for line in lines:
                if '"upstream.began"' not in line:
                    continue
                try:
                    runs[json.loads(line)["call"]] += 1
                except ValueError:
                    continue
    return runs


def judge(answers, runs):
    """The broken promises, by name of the rule."""
    once = [answer for answer in answers if not answer.route.may_repeat]
    return {
        "REFUSED": [answer for answer in once if answer.status in PROMISES_NOT_RUN and runs[answer.attempt]],
        "TWICE": [answer for answer in once if runs[answer.attempt] > 1],
        "MIXED": [answer for answer in answers if answer.belongs_to_another()]}


def report(name, seed, answers, runs, broken, folder):
    once = [answer for answer in answers if not answer.route.may_repeat]
    refused = sum(answer.status in PROMISES_NOT_RUN for answer in once)
    served = sum(answer.status == 200 for answer in answers)
    text = "; ".join(f"{rule} {len(found)}" for rule, found in broken.items() if found) or "holds"
    print(f"{name:20} {seed:5} {len(answers):8} {served:8} {len(once):8} {refused:8} {text}", flush=True)
    with open(os.path.join(folder, "broken.txt"), "w") as file:
        for rule, found in broken.items():
            file.writelines(f"{rule} {answer.attempt} {answer.route.name} got {answer.status} at {answer.at:.4f}, "
                            f"ran {runs[answer.attempt]} times\n" for answer in found)
    return not any(broken.values())


def run_once(name, seed, options):
    folder = os.path.join(options.keep, f"{name}-{seed}")
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    answers = asyncio.run(play(name, scaled(DEPLOYMENTS[name], options.load), seed, options, folder))
    runs = count_runs(folder)
    if not runs:
        sys.exit("nothing ran, so nothing is shown")
    holds = report(name, seed, answers, runs, judge(answers, runs), folder)
    if holds and not options.keep_all:
        shutil.rmtree(folder)
    return holds


def end_in_order(*_):
    """Raises, so that the run under way ends the processes that it started."""
    sys.exit(128 + signal.SIGTERM)


def main():
    signal.signal(signal.SIGTERM, end_in_order)
    options = parse_arguments()
    print(f"{'deployment':20} {'seed':>5} {'answers':>8} {'served':>8} {'unsafe':>8} {'refused':>8} result")
    holds = [run_once(name, seed, options) for seed in range(options.first_seed, options.first_seed + options.seeds)
             for name in options.deployment or DEPLOYMENTS]
    print(f"{holds.count(True)} passed, {holds.count(False)} failed")
    sys.exit(0 if all(holds) else 1)


if __name__ == "__main__":
    main()
