# Draws the worth that callers get in a second against the load, as an SVG plot
# with one panel for each case and one line for each mode.
def color: {never: "#c60", organisations: "#36c", always: "#1b6"}[.];
# Lines on top of each other stay visible.
def dash: {never: "", organisations: "7 5", always: ""}[.];
def text($x; $y; $size; $t):
  "<text x=\"\($x)\" y=\"\($y)\" font-size=\"\($size)\">\($t)</text>";
def panel($x0; $y0; $title; $most):
  def x: $x0 + . / 4 * 330;
  def y: $y0 + 220 - . / $most * 200;
  text($x0; $y0; 14; $title),
  "<path d=\"M\($x0) \($y0 + 10)V\($y0 + 220)H\($x0 + 340)\" fill=\"none\" stroke=\"#888\"/>",
  text($x0 + 110; $y0 + 254; 12; "load (1 = capacity)"),
  (0, 1, 2, 3, 4 | text(x; $y0 + 236; 11; .)),
  (0.25, 0.5, 0.75, 1 | . * $most | text($x0 - 42; y; 11; round)),
  (("never", "always", "organisations") as $mode |
   (map(select(.mode == $mode)) | group_by(.load) |
    map("\(.[0].load | x),\(map(.worth / .seconds) | add / length | y)")) as $points |
   "<polyline points=\"\($points | join(" "))\" fill=\"none\" stroke=\"\($mode | color)\" stroke-width=\"2\" stroke-dasharray=\"\($mode | dash)\"/>");

map(select(.load > 0)) |
(map(.worth / .seconds) | max * 1.05) as $most |
"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"860\" height=\"640\" font-family=\"sans-serif\">",
"<rect width=\"860\" height=\"640\" fill=\"#fff\"/>",
text(60; 24; 13; "Worth of the answers a second, by triage.mode:"),
(["never", "organisations", "always"] | to_entries[] |
 "<g fill=\"\(.value | color)\">\(text(380 + 110 * .key; 24; 13; .value))</g>"),
((map(.case) | unique | to_entries[]) as $c |
 map(select(.case == $c.value)) |
 panel(60 + 420 * ($c.key % 2); 60 + 290 * ($c.key / 2 | floor); $c.value; $most)),
"</svg>"
