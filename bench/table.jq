# Prints the tables of out/bench.json in Markdown.
def round($n): if . == null then "-" else
  (. * pow(10; $n) | round) / pow(10; $n) | tostring end;
def mean(f): (map(f) | add) / length;
def limit: if .max != null then "at most \(.max)" else "at least \(.min)" end;

"### Targets\n",
"| case | variant | deployment | figure | target | worst (seed) | median | nutmegpick | round_robin worst | naive_retry worst |",
"|---|---|---|---|---|---|---|---|---|---|",
(.verdicts | group_by([.case, .figure, .variant, .deployment])[] |
 (map({key: .policy, value: .}) | from_entries) as $p | $p.nutmegpick |
 "| \(.case) | \(.variant) | \(.deployment) | \(.figure) | \(limit) | " +
 "\(.worst | round(4)) (\(.worst_seed)) | \(.median | round(4)) | " +
 "\(if .met then "met" else "missed" end) | " +
 "\($p.round_robin.worst | round(4)) | \($p.naive_retry.worst | round(4)) |"),
"\n### Runs\n",
"Means over the seeds; peaks are the highest of any seed.\n",
"| case | variant | deployment | policy | offered/s | completed/s | in time/s | p50 ms | p99 ms | p99.9 ms | coverage | extra per needed | refused | worth/s | slot peak | connection peak | sheds |",
"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
(.runs | group_by([.case, .variant, .deployment, .policy])[] |
 (.[0].window_ms | .[1] - .[0]) as $ms |
 (map(.refusals | to_entries[]) | group_by(.key) |
  map("\(.[0].key) \(map(.value) | add)") | join(", ")) as $refusals |
 "| \(.[0].case) | \(.[0].variant) | \(.[0].deployment) | \(.[0].policy) | " +
 "\(mean(.offered * 1000 / $ms) | round(0)) | " +
 "\(mean(.completed_per_s) | round(0)) | \(mean(.in_time_per_s) | round(0)) | " +
 "\(mean(.p50_ms) | round(1)) | \(mean(.p99_ms) | round(1)) | " +
 "\(mean(.p999_ms) | round(1)) | \(mean(.coverage) | round(4)) | " +
 "\((map(.extra) | add) / ([(map(.needed) | add), 1] | max) | round(4)) | " +
 "\($refusals) | \(mean(.worth_per_s) | round(0)) | " +
 "\(map(.slot_peak) | max | round(2)) | " +
 "\(map(.connection_peak) | max | round(2)) | \(mean(.sheds) | round(0)) |"),
"\n### Overload by kind and worth\n",
"| variant | deployment | policy | kind (worth) | offered/s | in time, share of the offered | refused |",
"|---|---|---|---|---|---|---|",
(.runs | map(select(.case == "overload")) |
 group_by([.variant, .deployment, .policy])[] | . as $g |
 (.[0].window_ms | .[1] - .[0]) as $ms |
 .[0].offered_by_class | keys[] | . as $c |
 ($g | map(.offered_by_class[$c] // 0) | add) as $offered |
 ($g | map(.refusals_by_class | to_entries[] |
           select(.key | startswith($c + " "))) | group_by(.key) |
  map("\(.[0].key | split(" ")[1]) \(map(.value) | add)") | join(", "))
   as $refused |
 $g[0].classes[$c] as $class |
 "| \($g[0].variant) | \($g[0].deployment) | \($g[0].policy) | " +
 "\($class.kind) (\($class.worth)) | " +
 "\($offered * 1000 / $ms / ($g | length) | round(0)) | " +
 "\(($g | map(.in_time_by_class[$c] // 0) | add) / $offered | round(4)) | " +
 "\($refused) |")
