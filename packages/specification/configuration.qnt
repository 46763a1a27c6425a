// Accepted configurations: two operators, lost answers, replicas that restart from a peer.
//
// The constants switch off one rule each, for variants that must be refuted.
module configuration {
  // A write compares the revision that the change was made against.
  const FENCE: bool
  // After a lost answer the operator reads back before saying what happened.
  const READ_BACK: bool
  // A replica applies only newer revisions.
  const NEWER: bool

  pure val NODES = Set("a", "b", "c")
  pure val OPERATORS = Set("o", "p")
  pure val LAST = 6

  type Change = { id: int, operator: str, base: int }
  type Told = { id: int, word: str }

  type State = {
    ids: int, current: int, log: List[int], changes: Set[Change], lost: Set[Change],
    answers: Set[Told], told: Set[Told], view: str -> int, wentBack: bool
  }

  var s: State

  action init = s' = {
    ids: 1, current: 0, log: [], changes: Set(), lost: Set(),
    answers: Set(), told: Set(), view: NODES.mapBy(n => 0), wentBack: false
  }

  pure def hasId(log: List[int], id: int): bool = log.indices().exists(i => log[i] == id)

  action propose(o: str): bool = all {
    s.ids <= LAST, s.changes.size() < 3,
    s' = { ...s, ids: s.ids + 1, changes: s.changes.union(Set({ id: s.ids, operator: o, base: s.current })) }
  }

  // The store's answer may be lost, whether the write took effect or not.
  action commit(c: Change, answered: bool): bool = {
    val holds = not(FENCE) or c.base == s.current
    // A blind write replaces what came in between.
    val log = if (holds) s.log.slice(0, c.base).append(c.id) else s.log
    val answer = { id: c.id, word: if (holds) "done" else "refused" }
    s' = {
      ...s, changes: s.changes.exclude(Set(c)), log: log, current: log.length(),
      told: if (answered) s.told.union(Set(answer)) else s.told,
      lost: if (answered) s.lost else s.lost.union(Set(c))
    }
  }

  action settle(c: Change): bool = {
    val word = if (not(READ_BACK)) "refused" else if (hasId(s.log, c.id)) "done" else "refused"
    s' = { ...s, lost: s.lost.exclude(Set(c)), told: s.told.union(Set({ id: c.id, word: word })) }
  }

  // A replica hears some revision that exists, from the store or from a peer that lags.
  action hear(n: str, revision: int): bool = {
    val applies = not(NEWER) or revision > s.view.get(n)
    s' = {
      ...s, view: if (applies) s.view.set(n, revision) else s.view,
      wentBack: s.wentBack or (applies and revision < s.view.get(n))
    }
  }

  action step = any {
    { nondet o = OPERATORS.oneOf() propose(o) },
    { nondet c = s.changes.oneOf() nondet answered = Set(true, false).oneOf() commit(c, answered) },
    { nondet c = s.lost.oneOf() settle(c) },
    { nondet n = NODES.oneOf() nondet revision = 0.to(s.current).oneOf() hear(n, revision) },
    { nondet n = NODES.oneOf() nondet peer = NODES.oneOf() hear(n, s.view.get(peer)) }
  }

  // What was accepted stays, and what an operator was told is true.
  val toldTruth = s.told.forall(t => (t.word == "done") == hasId(s.log, t.id))

  val neverBack = not(s.wentBack)
}

module configurationHolds {
  import configuration(FENCE = true, READ_BACK = true, NEWER = true).*
}

module configurationNoFence {
  import configuration(FENCE = false, READ_BACK = true, NEWER = true).*
}

module configurationNoReadBack {
  import configuration(FENCE = true, READ_BACK = false, NEWER = true).*
}

module configurationNotNewer {
  import configuration(FENCE = true, READ_BACK = true, NEWER = false).*
}
