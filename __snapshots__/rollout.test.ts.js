exports['rollout shows the shares in force and ordered, and stores orders 1'] = [
  "catalogue-tracks: moving forward at 25% since 2026-12-04T05:00:00.000Z (errors and headroom stay within limits)",
  "  in force: track=steady 80%, track=new 20%",
  "  ordered: track=steady 50%, track=new 50%"
]

exports['history tells changes and decisions around a moment 1'] = [
  "1970-01-01T00:10:00.000Z 127.1.1.1:8080 decided: shift catalogue-tracks: held forward at 25.0%",
  "  evidence: jatim near its limit: 11 of 12 requests",
  "  under revision 9, epoch 4"
]
