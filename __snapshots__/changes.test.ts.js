exports['changes takes back what get prints, and says what the cap makes of it 1'] = [
  "change selector catalogue-tracks: route track=new weight 10 -> 60",
  "shift catalogue-tracks: 30% of its traffic moves, at most 5% in 60 s: 6 steps, at least 360 s"
]

exports['changes refuses a stale file with what changed in between, and by whom 1'] = [
  "revision 2 by citra at TIME: new disk",
  "  target catalogue-bdg-a-1: labels.leaving none -> \"true\""
]
