# Prints the tables of the runs of bench/triage-load, with sums over the seeds:
# the worth by load, then the outcome for callers at load 2 and in the cases that
# have one load. All figures are in 100 of the callers of a group.
def percent: . * 1000 | round / 10;
def sum: reduce (.[] | to_entries[]) as $e ({}; .[$e.key] += $e.value);
# Sums the callers of a group whose outcome has a name that matches.
def outcome($pattern):
  to_entries | map(select(.key | test($pattern)) | .value) | add // 0;
def columns:
  .callers as $all |
  [.worth, .in_goal // 0, .late // 0, outcome("^503"), outcome("^429"),
   outcome("^401"), outcome("^50[024]")] | map(. / $all | percent);
def line: "| \(map(tostring) | join(" | ")) |";
def modes: ["never", "organisations", "always"];
def worth($mode; $route):
  map(select(.mode == $mode).routes[$route]) | sum | .worth / .callers | percent;
# Groups of callers, with the runs of one case and mode as input.
def groups:
  (["large", "small"][] as $r | {name: $r, counts: map(.routes[$r])}),
  (select(.[0].organisations | length > 0) |
   {name: "o0", counts: map(.organisations.o0)},
   {name: "others", counts: map(.organisations | del(.o0)[])});

(group_by(.case)[] | select(.[0].load > 0) |
 "Worth, \(.[0].case):\n",
 (["load"] + [modes[] | "\(.): large", "small"] | line),
 ([range(7) | "---"] | line),
 (group_by(.load)[] | . as $runs |
  [.[0].load] + [modes[] as $m | ["large", "small"][] as $r | $runs | worth($m; $r)] |
  line),
 ""),
"Outcome for callers:\n",
(["case", "triage.mode", "group", "worth", "in goal", "late", "503", "429",
  "401", "failed"] | line),
([range(10) | "---"] | line),
(map(select(.load == 2 or .load == 0)) | group_by(.case)[] |
 modes[] as $m | map(select(.mode == $m)) | . as $runs | groups |
 [$runs[0].case, $m, .name] + (.counts | sum | columns) | line),
"\nCalls outside of the regions: \(map(.outside) | add)."
