exports['explainRoute tells selector, shares, a running shift, and what was ruled out and why 1'] = [
  "Service catalogue, configuration revision 1.",
  "Client 10.3.0.1 is in region far.",
  "Selector tracks decides; when the nearest region of a route is full or lost, its other regions may serve.",
  "Route track=steady takes 80% (a shift is moving it from 80% to 70%): near (0 ms away): 1 target, far (20 ms away): 1 target.",
  "Route track=new takes 20% (a shift is moving it from 20% to 30%): near (0 ms away): 1 target, middle (10 ms away): 1 target, far (20 ms away): 1 target.",
  "Ruled out selector middle-only: it applies to clients of middle only.",
  "Ruled out target middle-1: the VM list calls it leaving, or no longer lists it."
]
