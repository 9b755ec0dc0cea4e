#!/usr/bin/env python3
"""Plays days of our own on a site: each kind of trouble alone, and pairs of those
that touch the same part, at several moments.

Usage: bench/days.py FLEETBENCH SITE [--pattern REGEXP] [--moments 0.5,12,30]
                     [--jobs 6] [--why TEXT] [--keep DIR]

Prints a line a day; a broken rule or a missed gate is shown, its file is kept. Exits
with 1 if a rule was broken. Kinds that a site's contracts do not know are named.
"""

import argparse
import concurrent.futures
import os
import random
import re
import subprocess
import sys
import tempfile

# (name, entry without 'at', the list of the day that it belongs to)
TROUBLES = [
    ("give_up", 'kind = "give_up", share = 0.3, for_s = 8.0', "faults"),
    ("srv_grey", 'kind = "srv_grey", share = 0.2, x = 0.4, for_s = 8.0', "faults"),
    ("srv_grey_shed", 'kind = "srv_grey", how = "shed", share = 0.2, x = 0.4, for_s = 8.0', "faults"),
    ("srv_grey_hang", 'kind = "srv_grey", how = "hang", share = 0.2, x = 0.4, for_s = 8.0', "faults"),
    ("srv_grey_reset", 'kind = "srv_grey", how = "reset", share = 0.2, x = 0.4, for_s = 8.0', "faults"),
    ("srv_grey_mute", 'kind = "srv_grey", how = "mute", share = 0.2, x = 0.4, for_s = 8.0', "faults"),
    ("srv_grey_slow", 'kind = "srv_grey", how = "slow", share = 0.2, x = 8.0, for_s = 8.0', "faults"),
    ("srv_cut", 'kind = "srv_cut", share = 0.2, for_s = 6.0', "faults"),
    ("srv_cut_some", 'kind = "srv_cut", how = "some", share = 0.2, x = 0.3, for_s = 6.0', "faults"),
    ("srv_cut_fronts", 'kind = "srv_cut", how = "fronts", share = 0.2, x = 0.3, for_s = 6.0', "faults"),
    ("reuse", 'kind = "replace_with_reuse", share = 0.2', "faults"),
    ("reuse_drain", 'kind = "replace_with_reuse", how = "drain", share = 0.2', "faults"),
    ("reuse_dark", 'kind = "replace_with_reuse", how = "dark", share = 0.2', "faults"),
    ("scale_out", 'kind = "scale_out", share = 0.3, gap_s = 1.0', "plan"),
    ("spot", 'kind = "scale_in", how = "spot", share = 0.2', "plan"),
    ("clock_step", 'kind = "clock_step", share = 0.3, x = 2000.0, for_s = 6.0', "faults"),
    ("clock_back", 'kind = "clock_step", how = "back", share = 0.5, x = 5000.0, for_s = 6.0', "faults"),
    ("hup", 'kind = "hup", share = 0.5, gap_s = 0.5', "plan"),
    ("reset_conns", 'kind = "reset_conns", share = 0.4, x = 0.5', "faults"),
    ("node_cut", 'kind = "node_cut", share = 0.2, for_s = 5.0', "faults"),
    ("node_cut_all", 'kind = "node_cut", how = "all", share = 0.2, for_s = 5.0', "faults"),
    ("node_cut_servers", 'kind = "node_cut", how = "servers", share = 0.3, for_s = 5.0', "faults"),
    ("srv_crash_dark", 'kind = "srv_crash", how = "dark", share = 0.25, for_s = 5.0', "faults"),
    ("srv_crash_gone", 'kind = "srv_crash", how = "gone", share = 0.2', "faults"),
    ("garble_unframed", 'kind = "garble", how = "unframed", share = 0.5, x = 0.05, for_s = 8.0', "faults"),
    ("garble_early", 'kind = "garble", how = "early", share = 0.5, x = 0.05, for_s = 8.0', "faults"),
    ("garble_extra", 'kind = "garble", how = "extra", share = 0.5, x = 0.05, for_s = 8.0', "faults"),
    ("answer_lost", 'kind = "answer_lost", share = 0.5, x = 0.05, for_s = 8.0', "faults"),
    ("roll_busy", 'kind = "roll_term", how = "busy", gap_s = 1.0, share = 1.0', "plan"),
    ("roll_two", 'kind = "roll_term", x = 2.0, gap_s = 1.5, share = 1.0', "plan"),
    ("freeze", 'kind = "node_freeze", share = 0.3, for_s = 4.0', "faults"),
    ("store_freeze", 'kind = "node_freeze", on = "store", count = 1, for_s = 4.0', "faults"),
    ("slow", 'kind = "node_slow", share = 0.3, x = 6.0, for_s = 6.0', "faults"),
    ("store_slow", 'kind = "node_slow", on = "store", count = 1, x = 6.0, for_s = 6.0', "faults"),
    ("store_split", 'kind = "core_cut", on = "store", how = "split", for_s = 5.0', "faults"),
    ("store_behind", 'kind = "core_cut", on = "store", how = "behind", for_s = 4.0', "faults"),
    ("store_oneway", 'kind = "core_cut", on = "store", how = "one_way", count = 1, for_s = 5.0', "faults"),
    ("store_all_power", 'kind = "herd_kill", on = "store", how = "off", share = 1.0, for_s = 2.0', "faults"),
    ("store_all_kill", 'kind = "herd_kill", on = "store", share = 1.0', "faults"),
    ("ack_wipe", 'kind = "after_ack_wipe", on = "store", count = 1, for_s = 1.0', "faults"),
    ("ack_kill", 'kind = "after_ack_kill", on = "store", how = "taken", count = 1, for_s = 2.0', "faults"),
    ("replace", 'kind = "replace_core", on = "store", x = 1.0', "faults"),
    ("replace_planned", 'kind = "replace_core", on = "store", how = "planned"', "faults"),
    ("retire", 'kind = "retire", for_s = 9.0', "plan"),
    ("retire_wipe", 'kind = "retire", for_s = 9.0, how = "wipe"', "plan"),
    ("down", 'kind = "platform_down", for_s = 6.0', "faults"),
    ("down_silent", 'kind = "platform_down", how = "silent lapse", for_s = 6.0', "faults"),
    ("down_busy", 'kind = "platform_down", how = "busy", for_s = 6.0', "faults"),
    ("platform_slow", 'kind = "platform_slow", x = 80.0, for_s = 6.0', "faults"),
    ("lost_late", 'kind = "platform_lost", how = "late", x = 0.5, for_s = 6.0', "faults"),
    ("compact", 'kind = "platform_compact", x = 4.0, for_s = 8.0', "faults"),
    ("compact_drain", 'kind = "platform_compact", how = "drain", x = 4.0, for_s = 8.0', "faults"),
    ("config_route", 'kind = "config_change", how = "route"', "plan"),
    ("config_weights", 'kind = "config_change", how = "weights"', "plan"),
    ("config_storm", 'kind = "config_storm"', "plan"),
    ("big_config", 'kind = "big_config", count = 400', "plan"),
    ("lossy", 'kind = "lossy", x = 0.05, for_s = 6.0', "faults"),
    ("release", 'kind = "release", share = 1.0, x = 2.0, gap_s = 0.7', "plan"),
    ("disk_stall", 'kind = "disk_stall", count = 1, for_s = 4.0', "faults"),
    ("srv_slow", 'kind = "srv_slow", share = 0.2, x = 5.0, for_s = 7.0', "faults"),
    ("srv_lying", 'kind = "srv_lying_health", share = 0.2, for_s = 8.0', "faults"),
    ("srv_flap", 'kind = "srv_flap", share = 0.2, for_s = 8.0', "faults"),
    ("scale_in", 'kind = "scale_in", share = 0.25', "plan"),
    ("add_stores", 'kind = "add_nodes", on = "store"', "plan"),
    ("replace_leader", 'kind = "replace_core", how = "leader", x = 2.0', "faults"),
    ("herd_kill", 'kind = "herd_kill", share = 0.6', "faults"),
    ("herd_power", 'kind = "herd_kill", share = 0.6, how = "power", for_s = 2.0', "faults"),
    ("node_kill_leader", 'kind = "node_kill", on = "core", count = 1, how = "power leader", for_s = 3.5', "faults"),
    ("cut_refuse", 'kind = "core_cut", count = 1, for_s = 5.5, how = "leader refuse"', "faults"),
    ("down_nodes_revoke", 'kind = "platform_down", how = "nodes busy revoke meet", share = 0.33, for_s = 9.0', "faults"),
    ("down_nodes_many", 'kind = "platform_down", how = "nodes many leader", share = 0.35, for_s = 7.0', "faults"),
    ("down_lapse", 'kind = "platform_down", how = "busy lapse", for_s = 5.0', "faults"),
    ("down_reset_lapse", 'kind = "platform_down", how = "reset lapse", for_s = 6.0', "faults"),
    ("config_quota", 'kind = "config_change", how = "quota"', "plan"),
    ("config_quota_down", 'kind = "config_change", how = "quota down"', "plan"),
    ("config_tenant", 'kind = "config_change", how = "tenant"', "plan"),
    ("config_timeout", 'kind = "config_change", how = "timeout"', "plan"),
    ("poison", 'kind = "poison", for_s = 4.0', "faults"),
    ("burst", 'kind = "burst", x = 1.6, for_s = 5.0', "faults"),
    ("garble_late", 'kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 6.0', "faults"),
    ("answer_reset", 'kind = "answer_lost", how = "reset", share = 0.5, x = 0.05, for_s = 6.0', "faults"),
]

# Names of troubles that begin in the same second.
PAIRS = [
    ("ack_wipe", "config_quota_down"),
    ("store_oneway", "config_quota_down"),
    ("replace", "config_quota_down"),
    ("down_lapse", "scale_in"),
    ("down_reset_lapse", "release"),
    ("down_silent", "srv_crash_gone"),
    ("compact_drain", "store_freeze"),
    ("retire", "ack_wipe"),
    ("replace_leader", "roll_busy"),
    ("herd_kill", "down_lapse"),
    ("burst", "scale_in"),
    ("srv_slow", "burst"),
    ("store_freeze", "disk_stall"),
    ("node_cut", "store_oneway"),
    ("down_nodes_revoke", "config_storm"),
    ("slow", "store_slow"),
]


def arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--pattern", default=".")
    parser.add_argument("--moments", default="0.5,12,30")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--why", default="own days")
    parser.add_argument("--keep", default="")
    return parser.parse_args()


def day(name, at, names):
    """The text of a day with the named troubles at a moment."""
    known = {each[0]: each for each in TROUBLES}
    lists = {"plan": [], "faults": []}
    for each in names:
        _, entry, where = known[each]
        lists[where].append(f"{{ at = {at}, {entry} }}")
    lines = [f'name = "own-{name}-{at}"', 'slot = "trouble"', f"seed = {random.randrange(1, 2**30)}"]
    lines += [f"{where} = [ {', '.join(entries)} ]" for where, entries in lists.items()]
    return "\n".join(lines) + "\n"


def play(args, folder, name, at, names):
    """Plays a day; gives the line that the bench prints of it, and the output."""
    path = os.path.join(folder, f"{name}-{at}.toml")
    with open(path, "w") as file:
        file.write(day(name, at, names))
    done = subprocess.run([args.bench, "run", args.site, path, "--jobs", "1", "--why", args.why],
                          capture_output=True, text=True, check=False)
    text = done.stdout + done.stderr
    found = re.search(rf"^own-{re.escape(name)}.*$", text, re.M)
    last = (text.strip().splitlines() or ["nothing"])[-1]
    return (found.group(0) if found else f"own-{name}-{at}: not played: {last}"), text, path


def main():
    args = arguments()
    folder = args.keep or tempfile.mkdtemp()
    os.makedirs(folder, exist_ok=True)
    subprocess.run([args.bench, "build"], stdout=subprocess.DEVNULL, check=True)
    days = [(name, [name]) for name, _, _ in TROUBLES] + [(f"{a}+{b}", [a, b]) for a, b in PAIRS]
    days = [each for each in days if re.search(args.pattern, each[0])]
    broken = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        played = [pool.submit(play, args, folder, name, at, names) for name, names in days for at in args.moments.split(",")]
        for each in played:
            line, text, path = each.result()
            print(line, flush=True)
            if "BROKEN" in line:
                broken += 1
                print(f"  kept: {path}")
                print("\n".join("  " + row for row in text.splitlines() if row.startswith("  ") or "broken" in row)[:2000])
    print(f"{broken} days with a broken rule")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
