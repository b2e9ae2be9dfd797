# Reads the summaries of all runs and adds a verdict for each target of
# docs/design.md, section 1.7. A target is met if every seed meets it.
def ratio($a; $b): if $a == null or ($b // 0) == 0 then null else $a / $b end;
def in_time($class): ratio(.in_time_by_class[$class] // 0;
                           .offered_by_class[$class]);
def top: .classes | to_entries | max_by(.value.worth) | .key;
def target($case; $variant; $figure; $limit; f):
  select(.case == $case and .variant == $variant) |
  {case, variant, deployment, policy, seed, figure: $figure,
   value: f} + $limit;

# Emits the targets of a run. Input: the run, with the runs of all variants of
# its case in .others.
def targets:
  target("straggler"; "slow"; "p99 to that without straggler"; {max: 1.3};
         ratio(.p99_ms; .others.none.p99_ms)),
  target("extra"; "healthy"; "extra calls per needed call"; {max: 0.05};
         ratio(.extra; .needed)),
  target("extra"; "faults"; "extra calls per needed call"; {max: 0.1};
         ratio(.extra; .needed)),
  (("load 2", "load 5") as $v |
   target("overload"; $v; "goodput to its peak"; {min: 0.95};
          ratio(.in_time_per_s; [.others[].in_time_per_s] | max)),
   target("overload"; $v; "highest worth in time"; {min: 0.999};
          in_time(top))),
  target("domain"; "lost"; "answers of full coverage after 3 s"; {min: 1};
         ratio(.full; .completed)),
  target("domain"; "lost"; "false not run"; {max: 0}; .false_not_run),
  (("stale", "inverted") as $v |
   target("reports"; $v; "p99 to that with true reports"; {max: 1.2};
          ratio(.p99_ms; .others["true"].p99_ms))),
  target("rolling"; "leaves"; "requests cut off at a leaf"; {max: 0}; .interrupted),
  target("rolling"; "leaves"; "requests failed"; {max: 0};
         .refusals | del(.OVERLOAD) | add // 0),
  target("rolling"; "leaves"; "calls past 3 s of the notice"; {max: 0};
         .late_work),
  target("rolling"; "leaves"; "peak at a leaf to its slots"; {max: 1};
         .slot_peak),
  target("rolling"; "leaves"; "connections refused at the limit"; {max: 0};
         .connection_refusals),
  (("leaves", "hosts", "all") as $v |
   target("keys"; $v; "run twice"; {max: 0}; .run_twice),
   target("keys"; $v; "false not run"; {max: 0}; .false_not_run),
   target("keys"; $v; "completed"; {min: 0.99};
          ratio(.completed; .offered))),
  target("crossed"; "faults"; "wrong or mixed answers"; {max: 0};
         .wrong + .false_coverage),
  target("crossed"; "faults"; "mixed snapshots"; {max: 0}; .mixed_snapshots),
  # A run has recovered if p99 is within a tenth and admission within 0.1% of
  # the run without faults, and extra calls are within the bound for healthy
  # runs.
  target("recovery"; "faults"; "p99 to the run without faults"; {max: 1.1};
         ratio(.p99_ms; .others.none.p99_ms)),
  target("recovery"; "faults"; "extra calls per needed call"; {max: 0.05};
         ratio(.extra; .needed)),
  target("recovery"; "faults"; "completed to the run without faults";
         {min: 0.999}; ratio(.completed; .others.none.completed));

def is_met: .value != null and
  (if .max != null then .value <= .max else .value >= .min end);
def verdict: (sort_by(.value) |
    if .[0].max != null then reverse else . end) as $by_value |
  $by_value[0] | del(.seed, .value) +
  {worst: .value, worst_seed: .seed, median: ($by_value | .[length / 2 | floor].value),
   seeds: ($by_value | length), met: ($by_value | all(is_met))};

. as $runs |
(group_by([.case, .deployment, .policy, .seed]) |
 map((map({key: .variant, value: .}) | from_entries) as $others |
     .[] | . + {others: $others} | targets)) as $values |
{runs: $runs,
 verdicts: ($values | group_by([.case, .figure, .variant, .deployment, .policy])
            | map(verdict))}
