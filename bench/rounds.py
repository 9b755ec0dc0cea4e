#!/usr/bin/env python3
"""Plays days of a site with several seeds and prints what was decided well or ill.

Usage: bench/rounds.py FLEETBENCH SITE [--days a,b] [--seeds 1,2,3] [--jobs 6]
                       [--why TEXT] [--no-cpu] [--keep DIR]

Run in the repository of the system that is measured. Seed 0 is a day's own. Prints
one line a day: medians over the seeds with the least and greatest worth, the worst
windows, late and failed streams in 100, runs of items cut for each item, and broken
rules. --keep leaves each report and log as DIR/DAY-SEED.json and .log.
"""

import argparse
import collections
import concurrent.futures
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile


def arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", default="0")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--why", default="round")
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--keep", default="")
    return parser.parse_args()


def days_of(site):
    """Lists the names of a site's days."""
    with open(site) as file:
        return re.findall(r'^\[\[day\]\]\s*\nname = "([^"]+)"', file.read(), re.M)


def play(args, day, seed, folder):
    """Plays one day; gives its report, or None."""
    report = os.path.join(folder, f"{day}-{seed}.json")
    command = [args.bench, "run", args.site, day, "--jobs", "1", "--report", report, "--why", args.why]
    if seed:
        command += ["--seed", str(seed)]
    if args.no_cpu:
        command.append("--no-cpu")
    if args.keep:
        command += ["--log", "all"]
    with open(os.path.join(folder, f"{day}-{seed}.log"), "w") as log:
        subprocess.run(command, stdout=log, stderr=subprocess.STDOUT, check=False)
    if not os.path.exists(report):
        return None
    with open(report) as file:
        return json.load(file)


def figures(report):
    """What one play is judged by."""
    parts = {name: value for name, _, value in report["parts"]}
    online = [c for c in report["classes"] if not is_batch(report, c)]
    count = max(sum(c["n"] for c in online), 1)
    lots = " ".join(report["hints"])
    items = re.search(r"with (\d+) items", lots)
    cut = re.search(r"(\d+) runs were cut", lots)
    return {
        "worth": report["G"],
        "day": parts.get("whole day", 0),
        "window": parts.get("worst windows", 0),
        "class": parts.get("worst class", 0),
        "late": 100 * sum(c["late"] for c in online) / count,
        "failed": 100 * sum(c["failed"] + c["refused"] for c in online) / count,
        "cut": int(cut.group(1)) / max(int(items.group(1)), 1) if items and cut else 0,
        "prices": sum(price for _, _, price in report["prices"] if price),
        "broken": report["breaks"],
        "gate": not report["short"] and not report["fault"],
    }


def is_batch(report, kind):
    """Batch items end seconds after they were sent, all other requests at once."""
    return kind["p50_ms"] > 3000


def line(day, plays):
    """One line for a day: medians over its plays."""
    def median(name):
        return statistics.median(play[name] for play in plays)

    worths = [play["worth"] for play in plays]
    broken = collections.Counter()
    for each in plays:
        broken.update(each["broken"])
    gates = sum(not each["gate"] for each in plays)
    return (f"{day:14} {len(plays):5} {median('worth'):6.3f} {min(worths):6.3f} {max(worths):6.3f}"
            f" {median('day'):6.3f} {median('window'):7.3f} {median('class'):6.3f} {median('prices'):7.4f}"
            f" {median('late'):6.2f} {median('failed'):6.2f} {median('cut'):5.2f}"
            f" {dict(broken) or ''}{f' gate failed {gates}' if gates else ''}")


def main():
    args = arguments()
    days = args.days.split(",") if args.days else days_of(args.site)
    seeds = [int(seed) for seed in args.seeds.split(",")]
    folder = args.keep or tempfile.mkdtemp()
    os.makedirs(folder, exist_ok=True)
    subprocess.run([args.bench, "build"], stdout=subprocess.DEVNULL, check=True)
    print("day            plays  worth  least   most    day windows  class  prices   late failed   cut")
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        played = {(day, seed): pool.submit(play, args, day, seed, folder) for day in days for seed in seeds}
        everything = []
        for day in days:
            reports = [played[day, seed].result() for seed in seeds]
            plays = [figures(report) for report in reports if report]
            missing = len(reports) - len(plays)
            if missing:
                print(f"{day}: {missing} plays gave no report", file=sys.stderr)
            if plays:
                print(line(day, plays), flush=True)
                everything += plays
    if everything:
        print(line("all", everything))


if __name__ == "__main__":
    main()
