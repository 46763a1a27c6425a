// Capped steps of a shift over the whole fleet, by two runners of which one may be paused.
//
// Positions are counted in steps; each step moves a cap's worth of the traffic at each entry VM.
// The constants switch off one rule each, for variants that must be refuted.
module shifts {
  // A step waits until every entry VM applied the one before.
  const ACK: bool
  // A step waits for a whole window after that.
  const WAIT: bool
  // A write compares the revision of the shift's record.
  const FENCE: bool

  pure val VMS = Set("a", "b")
  pure val RUNNERS = Set("p", "q")
  pure val WINDOW = 2
  pure val LAST = 6

  // `since` is the time of the confirmation by all, or -1.
  type Runner = { base: int, since: int }
  type Write = { id: int, base: int, position: int }
  type Move = { id: int, vm: str, at: int, steps: int }

  type State = {
    now: int, position: int, rev: int, ids: int,
    seen: str -> int, runners: str -> Runner, writes: Set[Write], moves: Set[Move]
  }

  var s: State

  action init = s' = {
    now: 0, position: 0, rev: 1, ids: 1, seen: VMS.mapBy(v => 0),
    runners: RUNNERS.mapBy(r => { base: 0, since: -1 }), writes: Set(), moves: Set()
  }

  action tick = s' = { ...s, now: s.now + 1, moves: s.moves.filter(m => m.at + WINDOW > s.now + 1) }

  action applyStep(v: str): bool = {
    val steps = s.position - s.seen.get(v)
    all {
      steps != 0,
      s' = {
        ...s, ids: s.ids + 1, seen: s.seen.set(v, s.position),
        moves: s.moves.union(Set({ id: s.ids, vm: v, at: s.now, steps: steps }))
      }
    }
  }

  // The runner learns that every entry VM has the record as it is now.
  action confirm(r: str): bool = all {
    s.runners.get(r).base != s.rev,
    not(ACK) or VMS.forall(v => s.seen.get(v) == s.position),
    s' = { ...s, runners: s.runners.set(r, { base: s.rev, since: s.now }) }
  }

  // Decides on a step; the write takes effect later or never.
  action decide(r: str): bool = {
    val runner = s.runners.get(r)
    all {
      runner.base == s.rev, s.position < LAST, s.writes.size() < 2,
      not(WAIT) or s.now - runner.since >= WINDOW,
      s' = {
        ...s, ids: s.ids + 1,
        writes: s.writes.union(Set({ id: s.ids, base: s.rev, position: s.position + 1 }))
      }
    }
  }

  action commit(w: Write): bool = {
    val holds = not(FENCE) or w.base == s.rev
    s' = {
      ...s, writes: s.writes.exclude(Set(w)),
      position: if (holds) w.position else s.position,
      rev: if (holds) s.rev + 1 else s.rev
    }
  }

  // A successor knows nothing but the record.
  action replace(r: str): bool =
    s' = { ...s, runners: s.runners.set(r, { base: 0, since: -1 }) }

  action step = any {
    tick, tick,
    { nondet v = VMS.oneOf() applyStep(v) },
    { nondet v = VMS.oneOf() applyStep(v) },
    { nondet r = RUNNERS.oneOf() any { confirm(r), decide(r), decide(r), replace(r) } },
    { nondet w = s.writes.oneOf() commit(w) },
    { nondet w = s.writes.oneOf() s' = { ...s, writes: s.writes.exclude(Set(w)) } }
  }

  // Without lost writes and replaced runners, so that an old write is soon met.
  action stepPaused = any {
    tick, tick,
    { nondet v = VMS.oneOf() applyStep(v) },
    { nondet v = VMS.oneOf() applyStep(v) },
    { nondet v = VMS.oneOf() applyStep(v) },
    { nondet r = RUNNERS.oneOf() any { confirm(r), decide(r) } },
    { nondet w = s.writes.oneOf() commit(w) }
  }

  pure def distance(n: int): int = if (n < 0) -n else n

  // Within a window the whole fleet moves no more than one step each.
  val withinCap = s.moves.fold(0, (sum, m) => sum + distance(m.steps)) <= VMS.size()

  // No entry VM is more than one step behind.
  val atMostOneBehind = VMS.forall(v => s.position - s.seen.get(v) <= 1)
}

module shiftsHold {
  import shifts(ACK = true, WAIT = true, FENCE = true).*
}

module shiftsNoAck {
  import shifts(ACK = false, WAIT = true, FENCE = true).*
}

module shiftsNoWait {
  import shifts(ACK = true, WAIT = false, FENCE = true).*
}

module shiftsNoFence {
  import shifts(ACK = true, WAIT = true, FENCE = false).*
}
