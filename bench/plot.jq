# Draws an SVG plot of requests answered in time against offered load, one line
# per policy.
def color: {nutmegpick: "#1b6", round_robin: "#c60", naive_retry: "#36c"}[.];
def text($x; $y; $size; $t):
  "<text x=\"\($x)\" y=\"\($y)\" font-size=\"\($size)\">\($t)</text>";
def panel($x0; $title):
  (map(.in_time_per_s) | max * 1.1) as $most |
  def x: $x0 + . / 5 * 330; def y: 270 - . / $most * 220;
  text($x0; 30; 14; $title),
  "<path d=\"M\($x0) 50V270H\($x0 + 340)\" fill=\"none\" stroke=\"#888\"/>",
  text($x0 + 110; 305; 12; "offered load (1 = capacity)"),
  (0, 1, 2, 3, 4, 5 | text(x; 286; 11; .)),
  (0.25, 0.5, 0.75, 1 | . * $most | text($x0 - 42; y; 11; round)),
  (group_by(.policy) | to_entries[] | .key as $i | .value |
   (.[0].policy) as $policy |
   (group_by(.load) |
    map("\(.[0].load | x),\(map(.in_time_per_s) | add / length | y)") |
    "<polyline points=\"\(join(" "))\" fill=\"none\" stroke=\"\($policy |
      color)\" stroke-width=\"2\"/>"),
   "<g fill=\"\($policy | color)\">\(text($x0 + 240; 60 + 16 * $i; 12;
      $policy))</g>");

"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"860\" height=\"320\" font-family=\"sans-serif\">",
"<rect width=\"860\" height=\"320\" fill=\"#fff\"/>",
(.runs | map(select(.case == "overload") |
             .load = (.variant | ltrimstr("load ") | tonumber)) |
 group_by(.deployment) | to_entries[] |
 .key as $i | .value |
 panel(60 + 420 * $i; "\(.[0].deployment): requests in time per second")),
"</svg>"
