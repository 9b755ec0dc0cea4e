#!/usr/bin/env bash
# Plays days of our own on a site file of the users: each kind of trouble alone, at
# three moments. Prints a line a day; a broken rule or a missed gate is shown.
# Usage: bench/days.sh FLEETBENCH SITE [PATTERN]
set -euo pipefail
bench=$1
site=$2
pattern=${3:-.}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# kind | entry without 'at' | list it belongs to
troubles='
give_up|kind = "give_up", share = 0.3, for_s = 8.0|faults
srv_grey|kind = "srv_grey", share = 0.2, x = 0.4, for_s = 8.0|faults
srv_grey_shed|kind = "srv_grey", how = "shed", share = 0.2, x = 0.4, for_s = 8.0|faults
srv_grey_hang|kind = "srv_grey", how = "hang", share = 0.2, x = 0.4, for_s = 8.0|faults
srv_grey_reset|kind = "srv_grey", how = "reset", share = 0.2, x = 0.4, for_s = 8.0|faults
srv_grey_mute|kind = "srv_grey", how = "mute", share = 0.2, x = 0.4, for_s = 8.0|faults
srv_grey_slow|kind = "srv_grey", how = "slow", share = 0.2, x = 8.0, for_s = 8.0|faults
srv_cut|kind = "srv_cut", share = 0.2, for_s = 6.0|faults
srv_cut_some|kind = "srv_cut", how = "some", share = 0.2, x = 0.3, for_s = 6.0|faults
srv_cut_fronts|kind = "srv_cut", how = "fronts", share = 0.2, x = 0.3, for_s = 6.0|faults
reuse|kind = "replace_with_reuse", share = 0.2|faults
reuse_drain|kind = "replace_with_reuse", how = "drain", share = 0.2|faults
reuse_dark|kind = "replace_with_reuse", how = "dark", share = 0.2|faults
scale_out|kind = "scale_out", share = 0.3, gap_s = 1.0|plan
spot|kind = "scale_in", how = "spot", share = 0.2|plan
clock_step|kind = "clock_step", share = 0.3, x = 2000.0, for_s = 6.0|faults
clock_back|kind = "clock_step", how = "back", share = 0.5, x = 5000.0, for_s = 6.0|faults
hup|kind = "hup", share = 0.5, gap_s = 0.5|plan
reset_conns|kind = "reset_conns", share = 0.4, x = 0.5|faults
node_cut|kind = "node_cut", share = 0.2, for_s = 5.0|faults
node_cut_all|kind = "node_cut", how = "all", share = 0.2, for_s = 5.0|faults
node_cut_servers|kind = "node_cut", how = "servers", share = 0.3, for_s = 5.0|faults
srv_crash_dark|kind = "srv_crash", how = "dark", share = 0.25, for_s = 5.0|faults
srv_crash_gone|kind = "srv_crash", how = "gone", share = 0.2|faults
garble_unframed|kind = "garble", how = "unframed", share = 0.5, x = 0.05, for_s = 8.0|faults
garble_early|kind = "garble", how = "early", share = 0.5, x = 0.05, for_s = 8.0|faults
garble_extra|kind = "garble", how = "extra", share = 0.5, x = 0.05, for_s = 8.0|faults
answer_lost|kind = "answer_lost", share = 0.5, x = 0.05, for_s = 8.0|faults
roll_busy|kind = "roll_term", how = "busy", gap_s = 1.0, share = 1.0|plan
roll_two|kind = "roll_term", x = 2.0, gap_s = 1.5, share = 1.0|plan
freeze|kind = "node_freeze", share = 0.3, for_s = 4.0|faults
store_freeze|kind = "node_freeze", on = "store", count = 1, for_s = 4.0|faults
slow|kind = "node_slow", share = 0.3, x = 6.0, for_s = 6.0|faults
store_slow|kind = "node_slow", on = "store", count = 1, x = 6.0, for_s = 6.0|faults
store_split|kind = "core_cut", on = "store", how = "split", for_s = 5.0|faults
store_behind|kind = "core_cut", on = "store", how = "behind", for_s = 4.0|faults
store_oneway|kind = "core_cut", on = "store", how = "one_way", count = 1, for_s = 5.0|faults
store_all_power|kind = "herd_kill", on = "store", how = "off", share = 1.0, for_s = 2.0|faults
store_all_kill|kind = "herd_kill", on = "store", share = 1.0|faults
ack_wipe|kind = "after_ack_wipe", on = "store", count = 1, for_s = 1.0|faults
ack_kill|kind = "after_ack_kill", on = "store", how = "taken", count = 1, for_s = 2.0|faults
replace|kind = "replace_core", on = "store", x = 1.0|faults
replace_planned|kind = "replace_core", on = "store", how = "planned"|faults
retire|kind = "retire", for_s = 9.0|plan
retire_wipe|kind = "retire", for_s = 9.0, how = "wipe"|plan
down|kind = "platform_down", for_s = 6.0|faults
down_silent|kind = "platform_down", how = "silent lapse", for_s = 6.0|faults
down_busy|kind = "platform_down", how = "busy", for_s = 6.0|faults
platform_slow|kind = "platform_slow", x = 80.0, for_s = 6.0|faults
lost_late|kind = "platform_lost", how = "late", x = 0.5, for_s = 6.0|faults
compact|kind = "platform_compact", x = 4.0, for_s = 8.0|faults
compact_drain|kind = "platform_compact", how = "drain", x = 4.0, for_s = 8.0|faults
config_route|kind = "config_change", how = "route"|plan
config_weights|kind = "config_change", how = "weights"|plan
config_storm|kind = "config_storm"|plan
big_config|kind = "big_config", count = 400|plan
lossy|kind = "lossy", x = 0.05, for_s = 6.0|faults
release|kind = "release", share = 1.0, x = 2.0, gap_s = 0.7|plan
'
moments='0.5 12.0 30.0'

broken=0
while IFS='|' read -r name entry list; do
  [ -n "$name" ] || continue
  [[ $name =~ $pattern ]] || continue
  for at in $moments; do
    file=$folder/$name-$at.toml
    {
      echo "name = \"own-$name-$at\""
      echo 'slot = "trouble"'
      echo "seed = $((RANDOM * 32768 + RANDOM))"
      echo "$list = [ { at = $at, $entry } ]"
      [ "$list" = plan ] && echo 'faults = []' || echo 'plan = []'
    } > "$file"
    result=$("$bench" run "$site" "$file" 2>&1 || true)
    line=$(grep "own-$name" <<< "$result" | head -1 || true)
    if [ -z "$line" ]; then
      line="own-$name-$at: not played: $(tail -1 <<< "$result")"
    fi
    echo "$line"
    if grep -q BROKEN <<< "$line"; then
      broken=$((broken + 1))
      cp "$file" "/tmp/broken-$(basename "$site" .toml)-$name-$at.toml"
      grep -A6 "^rules broken" <<< "$result" | tail -6
    fi
  done
done <<< "$troubles"
echo "$broken days with a broken rule"
