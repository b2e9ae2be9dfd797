# Summarises the requests of one run that arrived in the window of its setup.
# Columns of a row of .requests: arrival, latency, deadline (ms), class, result,
# coverage, needed calls, extra calls, runs.
def quantile($q): if length == 0 then null
  else .[[($q * length | floor), length - 1] | min] end;
def tally(f): reduce .[] as $r ({}; .[$r | f] += 1);

.classes as $classes | .setup.window_ms as $w | ($w[1] - $w[0]) as $ms |
.setup + .counts +
([.requests[] | select(.[0] >= $w[0] and .[0] < $w[1])] |
 map(select(.[4] == "OK")) as $done |
 ($done | map(select(.[1] <= .[2]))) as $in_time |
 ($done | map(.[1]) | sort) as $latency |
 {offered: length, completed: ($done | length),
  completed_per_s: (($done | length) * 1000 / $ms),
  in_time_per_s: (($in_time | length) * 1000 / $ms),
  p50_ms: ($latency | quantile(0.5)), p99_ms: ($latency | quantile(0.99)),
  p999_ms: ($latency | quantile(0.999)),
  coverage: (($done | map(.[5]) | add) / ([$done | length, 1] | max)),
  full: ($done | map(select(.[5] == 1)) | length),
  needed: (map(.[6]) | add), extra: (map(.[7]) | add),
  worth_per_s: (($in_time | map($classes[.[3]].worth) | add // 0) * 1000 / $ms),
  offered_by_class: tally(.[3]), in_time_by_class: ($in_time | tally(.[3])),
  classes: $classes,
  refusals: (map(select(.[4] != "OK")) | tally(.[4])),
  refusals_by_class: (map(select(.[4] != "OK")) |
                      tally("\(.[3]) \(.[4])"))})
