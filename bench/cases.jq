# Emits one object {name, lines} for each run: a trace as docs/traces.md
# describes it. Arguments: $only (case name or ""), $seeds (number).

def policies: ["nutmegpick", "round_robin", "naive_retry"];

# A call occupies a slot for its service time and its round trip; two of three
# leaves are in another region. At load 1 every slot of a service is occupied.
def service_ms: 20;
def small($n; $l; $s): {service: $n, leaves: $l, slots: $s, shards: 1};
def sets: {
  hraunlitir: {set: "examples/hraunlitir", port: 21000, region_delay_ms: 12,
    caller_delay_ms: 1, top: "booking", low: "invoicing",
    search: [small("design-browser"; 3; 5), small("painter-directory"; 2; 2),
             small("invoicing"; 3; 5)],
    keyed: [{service: "booking", leaves: 2, slots: 2, shards: 20}]},
  guild: {set: "examples/guild", port: 22000, region_delay_ms: 8,
    caller_delay_ms: 3, top: "order", low: "newsletter",
    search: [small("storefront"; 3; 3), small("newsletter"; 3; 3)],
    keyed: [{service: "order-desk", leaves: 2, slots: 3, shards: 10},
            {service: "fair-booking", leaves: 2, slots: 3, shards: 5}]},
  "large-hraunlitir": {set: "out/large-hraunlitir.toml", port: 20000, region_delay_ms: 12,
    caller_delay_ms: 1, search: [small("large"; 3; 2)]},
  "large-guild": {set: "out/large-guild.toml", port: 20000, region_delay_ms: 8,
    caller_delay_ms: 3, search: [small("large"; 3; 3)]}
};

def rate($set; $load): $load * 1000 * .leaves * .slots * .shards /
  (service_ms + 2 * $set.region_delay_ms * 2 / 3);

def requests($set; $services; $load; $from; $until):
  $services[] | {requests: {service, at_ms: $from, end_ms: $until,
                            rate: rate($set; $load)}};
def search($set; $load; $until): requests($set; $set.search; $load; 0; $until);
# Offers load to one service: the class of the highest worth gets up to half of
# the capacity; the service's own class and the lowest class share the rest.
def mixed($set; $load; $until): $set.search[0] |
  ({service, at_ms: 0, end_ms: $until} as $r |
   {requests: ($r + {rate: rate($set; 0.5 * ([$load, 1] | min)),
                     class: $set.top})},
   (rate($set; ($load - 0.5 * ([$load, 1] | min)) / 2) as $rest |
    {requests: ($r + {rate: $rest})},
    {requests: ($r + {rate: $rest, class: $set.low})}));

def fault($kind; $target; $value; $from; $to):
  {fault: {kind: $kind, target: $target, value: $value,
           start_ms: $from, end_ms: $to}};
def fault($kind; $value; $from; $to): fault($kind; 0; $value; $from; $to);
# A fault of leaf $i, counted in the order of the files of the set.
def leaf($set; $kind; $i; $value; $from; $to):
  {fault: {kind: $kind, leaf: "127.0.0.1:\($set.port + $i)", value: $value,
           start_ms: $from, end_ms: $to}};
# Of each kind of service one leaf is slow and one is lost: a drain of 0 ms
# stands for the loss of the process.
def leaf_faults($set; $seed; $from; $to):
  ((0, 30, 75, 95) as $first |
   leaf($set; "leaf_slow"; $first + $seed % 10; 10; $from; $to),
   leaf($set; "leaf_drain"; $first + ($seed + 4) % 10; 0; $from; $to)),
  fault("loss"; 0.01; $from; $to),
  fault("reset"; 0.005; $from; $to);
def reply_faults($from; $to):
  fault("crossed"; 0.01; $from; $to), fault("late"; 0.01; $from; $to),
  fault("duplicate"; 0.01; $from; $to), fault("loss"; 0.01; $from; $to);
# Rolling replacement: each leaf drains for 4 s and is down for 2 s. The
# replicas of a shard are replaced one after the other.
def rolling($set; $first; $count; $replicas; $step):
  range($count) | (. % $replicas * ($count / $replicas) +
                   (. / $replicas | floor)) as $place |
  leaf($set; "leaf_drain"; . + $first; 4000; 4000 + $place * $step;
       10000 + $place * $step);

# Emits every variant of every case, with its trace lines, for one set and seed.
def variants($set; $seed):
  def v($case; $name; $window; stream):
    {case: $case, variant: $name, window: $window, lines: [stream]};
  if $set.top then
    v("extra"; "healthy"; [2000, 20000]; search($set; 0.6; 20000)),
    v("extra"; "faults"; [2000, 20000]; search($set; 0.6; 20000),
      leaf_faults($set; $seed; 2000; 20000)),
    ((0.6, 0.8, 1, 1.2, 1.5) as $load | v("overload"; "load \($load)";
      [2000, 20000]; mixed($set; $load; 20000))),
    ((2, 5) as $load | v("overload"; "load \($load)";
      [0, 60000]; mixed($set; $load; 60000))),
    v("domain"; "lost"; [13000, 25000]; search($set; 0.4; 25000),
      fault("domain_down"; $seed; 1; 10000; 25000)),
    v("reports"; "true"; [2000, 20000]; search($set; 0.6; 20000)),
    v("reports"; "stale"; [2000, 20000]; search($set; 0.6; 20000),
      fault("stale"; 10; 0; 20000)),
    v("reports"; "inverted"; [2000, 20000]; search($set; 0.6; 20000),
      fault("inverted"; 1; 0; 20000)),
    v("rolling"; "leaves"; [2000, 45000]; search($set; 0.3; 45000),
      rolling($set; 0; 75; 3; 400), rolling($set; 75; 20; 2; 1500)),
    v("keys"; "leaves"; [4000, 50000];
      requests($set; $set.keyed; 0.3; 4000; 50000),
      (5000, 28000) as $t | leaf_faults($set; $seed; $t; $t + 15000)),
    v("keys"; "hosts"; [4000, 50000];
      requests($set; $set.keyed; 0.3; 4000; 50000),
      fault("host_down"; $seed; 1; 8000; 18000),
      fault("host_pause"; $seed + 2; 1; 20000; 28000),
      fault("host_down"; $seed + 4; 1; 30000; 33000),
      fault("host_pause"; $seed + 5; 1; 36000; 39000)),
    v("keys"; "all"; [4000, 50000];
      requests($set; $set.keyed; 0.3; 4000; 50000),
      ((5000, 28000) as $t | leaf_faults($set; $seed; $t; $t + 15000)),
      fault("late"; 0.01; 5000; 45000), fault("duplicate"; 0.01; 5000; 45000),
      fault("host_down"; $seed; 1; 8000; 18000),
      fault("host_pause"; $seed + 2; 1; 12000; 20000),
      fault("domain_down"; $seed; 1; 30000; 36000),
      fault("host_pause"; $seed + 5; 1; 38000; 42000)),
    v("crossed"; "faults"; [2000, 20000]; search($set; 0.5; 20000),
      reply_faults(2000; 20000), fault("snapshot"; 0; 5000; 8000),
      fault("snapshot"; 0; 11000; 14000)),
    v("recovery"; "none"; [30000, 45000]; search($set; 0.5; 45000)),
    v("recovery"; "faults"; [30000, 45000]; search($set; 0.5; 45000),
      leaf_faults($set; $seed; 8000; 20000), reply_faults(8000; 20000),
      fault("domain_down"; $seed; 1; 10000; 20000))
  else
    v("straggler"; "none"; [2000, 14000]; search($set; 0.6; 14000)),
    v("straggler"; "slow"; [2000, 14000]; search($set; 0.6; 14000),
      ((0, 1) as $i | leaf($set; "leaf_slow";
        $seed * 13 + 5 + $i * 101; 10; 0; 14000)))
  end;

sets | to_entries[] | .key as $name | .value as $set |
range(1; $seeds + 1) as $seed | variants($set; $seed) |
select($only == "" or .case == $only) | . as $v | policies[] as $policy |
{name: "\($v.case)-\($v.variant)-\($name)-\($policy)-\($seed)" |
         gsub(" "; "_"),
 lines: ([{setup: ($set | {set, region_delay_ms, caller_delay_ms} +
           {policy: $policy, seed: $seed, service_ms: service_ms,
            case: $v.case, variant: $v.variant, deployment: $name,
            window_ms: $v.window})}] + $v.lines)}
