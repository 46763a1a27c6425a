exports['explainRoute explains the selector, the shares, a running shift, and what was ruled out and why 1'] = [
  "Service catalogue, configuration revision 1.",
  "Client 10.3.0.1 is in region far.",
  "Selector tracks applies; when the nearest region of a route is full or unavailable, its other regions may serve.",
  "Route track=steady takes 80% (a shift is moving it from 80% to 70%): near (0 ms away): 1 target, far (20 ms away): 1 target.",
  "Route track=new takes 20% (a shift is moving it from 20% to 30%): near (0 ms away): 1 target, middle (10 ms away): 1 target, far (20 ms away): 1 target.",
  "Ruled out selector middle-only: it applies only to clients of middle.",
  "Ruled out target middle-1: the VM list reports it as leaving or no longer contains it."
]
