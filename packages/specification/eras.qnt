// Histories of a store that returns from a snapshot: replicas that list, watch and read from one another, with responses
// that arrive at any later time.
//
// The constants switch off one rule each, for variants that must be refuted.
module eras {
  // A whole state is ordered by its era before its revision.
  const ORDER: bool
  // Changes are applied to a state of their own era only.
  const WATCH: bool

  pure val VMS = Set("a", "b")
  pure val LAST_ERA = 2
  pure val LAST_WRITE = 6
  pure val MAX_MESSAGES = 4

  // `items` are the writes after the revision `after`; a whole state has them all.
  type Message = { to: str, whole: bool, era: int, after: int, items: List[int] }
  type Replica = { era: int, view: List[int] }

  type State = {
    writes: int, era: int, histories: int -> List[int], vms: str -> Replica, messages: Set[Message], wentBack: bool
  }

  var s: State

  action init = s' = {
    writes: 0, era: 0, histories: 0.to(LAST_ERA).mapBy(e => []),
    vms: VMS.mapBy(v => { era: 0, view: [] }), messages: Set(), wentBack: false
  }

  pure def log(state: State): List[int] = state.histories.get(state.era)

  action write = all {
    s.writes < LAST_WRITE,
    s' = { ...s, writes: s.writes + 1, histories: s.histories.set(s.era, log(s).append(s.writes + 1)) }
  }

  // The store returns with the state of an earlier revision.
  action restore(revision: int): bool = all {
    s.era < LAST_ERA, revision <= log(s).length(),
    s' = { ...s, era: s.era + 1, histories: s.histories.set(s.era + 1, log(s).slice(0, revision)) }
  }

  action send(m: Message): bool = all {
    s.messages.size() < MAX_MESSAGES,
    s' = { ...s, messages: s.messages.union(Set(m)) }
  }

  action answerList(v: str): bool =
    send({ to: v, whole: true, era: s.era, after: 0, items: log(s) })

  // A watch from a revision that the store does not have is refused.
  action answerWatch(v: str): bool = {
    val after = s.vms.get(v).view.length()
    all {
      after <= log(s).length(),
      send({ to: v, whole: false, era: s.era, after: after, items: log(s).slice(after, log(s).length()) })
    }
  }

  // A peer passes changes on within one era, and its whole state otherwise.
  action answerPeer(v: str, peer: str): bool = {
    val after = s.vms.get(v).view.length()
    val known = s.vms.get(peer)
    if (known.era == s.vms.get(v).era and after <= known.view.length())
      send({ to: v, whole: false, era: known.era, after: after, items: known.view.slice(after, known.view.length()) })
    else
      send({ to: v, whole: true, era: known.era, after: 0, items: known.view })
  }

  pure def apply(known: Replica, m: Message): Replica = {
    val revision = known.view.length()
    val isLater = m.era > known.era or (m.era == known.era and m.items.length() >= revision)
    val fits = m.after <= revision and m.after + m.items.length() > revision
    if (m.whole)
      if (if (ORDER) isLater else m.items.length() >= revision) { era: m.era, view: m.items } else known
    else if ((not(WATCH) or m.era == known.era) and fits)
      { ...known, view: known.view.concat(m.items.slice(revision - m.after, m.items.length())) }
    else known
  }

  action receive(m: Message): bool = {
    val known = s.vms.get(m.to)
    val applied = apply(known, m)
    s' = {
      ...s, messages: s.messages.exclude(Set(m)), vms: s.vms.set(m.to, applied),
      wentBack: s.wentBack or applied.era < known.era
        or (applied.era == known.era and applied.view.length() < known.view.length())
    }
  }

  action step = any {
    write,
    { nondet revision = 0.to(LAST_WRITE).oneOf() restore(revision) },
    { nondet v = VMS.oneOf() answerList(v) },
    { nondet v = VMS.oneOf() answerWatch(v) },
    { nondet v = VMS.oneOf() nondet peer = VMS.oneOf() answerPeer(v, peer) },
    { nondet m = s.messages.oneOf() receive(m) }
  }

  // What a replica holds is a beginning of the one history of its era.
  val oneHistory = VMS.forall(v => {
    val known = s.vms.get(v)
    val history = s.histories.get(known.era)
    known.view.length() <= history.length()
      and known.view.indices().forall(i => known.view[i] == history[i])
  })

  val neverBack = not(s.wentBack)
}

module erasHold {
  import eras(ORDER = true, WATCH = true).*
}

module erasByRevision {
  import eras(ORDER = false, WATCH = true).*
}

module erasAnyWatch {
  import eras(ORDER = true, WATCH = false).*
}
