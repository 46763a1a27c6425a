// Owner of one part of a quota: leases, stale views, restarts, handing over, two VMs.
//
// "b" ranks first for the part and "a" next. Times are whole units. Delays are unbounded: a message
// stays until an action takes it, or is lost. A paused VM is one that no action chooses. The
// constants switch off one rule each, for variants that must be refuted.
module quotas {
  // An owner grants only until its lease ends, counted from when the renewal was requested.
  const FENCE: bool
  // An owner grants only with recent knowledge, counted from when the store was asked.
  const RECENT: bool
  // An owner that registered anew waits until all others know of it.
  const WAIT: bool
  // A former owner goes on for a new one only until that may grant.
  const END: bool
  // That time counts from a view without the new owner, not from the one that shows it.
  const NOTE: bool
  // A process that finds the registration of its earlier one counts from the time that it holds.
  const AT: bool
  // That time is one at which the registration had taken effect, not the one at which it was asked for.
  const EFFECT: bool

  pure val VMS = Set("a", "b")
  pure val LEASE = 4
  pure val MAX_AGE = 2
  pure val MAX_MESSAGES = 3
  pure val NEVER = 1000
  pure val ALWAYS = -1000

  // `knows` says whether the view holds the other VM; `first` when the VM last knew that the other was not
  // there; `lease` the one of its registration, or that of an earlier process which its first view held.
  type Node = {
    alive: bool, inc: int, hasRead: bool, knows: bool, verified: int, until: int, since: int,
    first: int, lease: int
  }
  // A renewal of a lease on its way to the store, or its response once `done`. If that lease is gone, it writes a new
  // registration. `at` is the time that the registration holds.
  type Renewal = { vm: str, inc: int, asked: int, done: bool, kept: bool, lease: int, at: int }
  type View = { vm: str, inc: int, asked: int, own: bool, other: bool, lease: int }
  type State = {
    now: int, registered: str -> int, at: str -> int, leases: str -> int, nodes: str -> Node, renewals: Set[Renewal], views: Set[View]
  }

  var s: State

  pure def other(v: str): str = if (v == "a") "b" else "a"

  pure def makeNode(inc: int): Node = {
    alive: true, inc: inc, hasRead: false, knows: false,
    verified: ALWAYS, until: ALWAYS, since: NEVER, first: ALWAYS, lease: 0
  }

  def isRegistered(v: str): bool = s.registered.get(v) > s.now

  // A successor registers after `first`, and waits from then on for longer than this.
  def goesOn(node: Node): bool =
    node.first > ALWAYS and (not(END) or s.now <= node.first + MAX_AGE)

  def mayGrant(v: str): bool = {
    val node = s.nodes.get(v)
    and {
      node.alive,
      node.hasRead,
      v == "b" or not(node.knows) or goesOn(node),
      node.since < NEVER,
      not(FENCE) or s.now < node.until,
      not(RECENT) or s.now - node.verified <= MAX_AGE,
      not(WAIT) or s.now - node.since > MAX_AGE,
    }
  }

  val oneOwner = not(mayGrant("a") and mayGrant("b"))

  action init = s' = {
    now: 0, registered: VMS.mapBy(v => ALWAYS), at: VMS.mapBy(v => ALWAYS),
    leases: VMS.mapBy(v => 0), nodes: VMS.mapBy(v => makeNode(0)),
    renewals: Set(), views: Set()
  }

  action tick = s' = { ...s, now: s.now + 1 }

  action renew(v: str): bool = {
    val node = s.nodes.get(v)
    all {
      node.alive, node.hasRead, s.renewals.size() < MAX_MESSAGES,
      s' = { ...s, renewals: s.renewals.union(Set(
        { vm: v, inc: node.inc, asked: s.now, done: false, kept: false,
          lease: node.lease, at: ALWAYS })) }
    }
  }

  action applyRenewal(r: Renewal): bool = {
    val kept = isRegistered(r.vm) and r.lease == s.leases.get(r.vm)
    val lease = if (kept) r.lease else s.leases.get(r.vm) + 1
    val written = if (EFFECT) s.now else r.asked
    val at = if (kept) s.at.get(r.vm) else written
    all {
      not(r.done),
      s' = {
        ...s, registered: s.registered.set(r.vm, s.now + LEASE), at: s.at.set(r.vm, at),
        leases: s.leases.set(r.vm, lease),
        renewals: s.renewals.exclude(Set(r)).union(Set({ ...r, done: true, kept: kept, lease: lease, at: at }))
      }
    }
  }

  // A renewal that found no registration wrote a new one: the VM has been registered since then.
  action receiveRenewal(r: Renewal): bool = {
    val node = s.nodes.get(r.vm)
    val earlier = if (AT) r.at else ALWAYS
    val since = if (not(r.kept)) s.now else if (node.since == NEVER) earlier else node.since
    val until = if (r.asked + LEASE > node.until) r.asked + LEASE else node.until
    all {
      r.done,
      s' = {
        ...s, renewals: s.renewals.exclude(Set(r)),
        nodes: if (node.alive and node.inc == r.inc)
          s.nodes.set(r.vm, { ...node, until: until, since: since, lease: r.lease }) else s.nodes
      }
    }
  }

  action read(v: str): bool = {
    val node = s.nodes.get(v)
    all {
      node.alive, s.views.size() < MAX_MESSAGES,
      s' = { ...s, views: s.views.union(Set({
        vm: v, inc: node.inc, asked: s.now, own: isRegistered(v), other: isRegistered(other(v)),
        lease: s.leases.get(v) })) }
    }
  }

  // A view older than the one known is not applied.
  action receiveView(w: View): bool = {
    val node = s.nodes.get(w.vm)
    val fresh = node.alive and node.inc == w.inc and w.asked >= node.verified
    s' = {
      ...s, views: s.views.exclude(Set(w)),
      nodes: if (fresh) s.nodes.set(w.vm, {
        ...node, hasRead: true,
        lease: if (not(node.hasRead) and w.own) w.lease else node.lease,
        knows: w.other, verified: w.asked,
        first: if (not(w.other) or (not(NOTE) and not(node.knows))) w.asked else node.first
      }) else s.nodes
    }
  }

  action restart(v: str): bool =
    s' = { ...s, nodes: s.nodes.set(v, makeNode(s.nodes.get(v).inc + 1)) }

  action die(v: str): bool =
    s' = { ...s, nodes: s.nodes.set(v, { ...s.nodes.get(v), alive: false }) }

  action lose = any {
    { nondet r = s.renewals.oneOf() s' = { ...s, renewals: s.renewals.exclude(Set(r)) } },
    { nondet w = s.views.oneOf() s' = { ...s, views: s.views.exclude(Set(w)) } }
  }

  action messageStep = any {
    { nondet v = VMS.oneOf() renew(v) },
    { nondet v = VMS.oneOf() read(v) },
    { nondet r = s.renewals.oneOf() applyRenewal(r) },
    { nondet r = s.renewals.oneOf() receiveRenewal(r) },
    { nondet w = s.views.oneOf() receiveView(w) }
  }

  action step = any {
    tick, messageStep, messageStep, messageStep, messageStep, lose,
    { nondet v = VMS.oneOf() any { restart(v), die(v) } }
  }

  // Without deaths, long runs of renewals and reads are reached sooner.
  action stepAlive = any { tick, messageStep, messageStep, messageStep, messageStep }

  action deliver = any {
    { nondet r = s.renewals.oneOf() applyRenewal(r) },
    { nondet r = s.renewals.oneOf() receiveRenewal(r) },
    { nondet w = s.views.oneOf() receiveView(w) }
  }

  // The VM that ranks first is added late, and restarts once when it is registered.
  action stepRestarts = any {
    tick, deliver, deliver, deliver,
    { nondet v = VMS.oneOf() all { v == "a" or s.now >= MAX_AGE + 1, any { renew(v), read(v) } } },
    all { s.nodes.get("b").inc == 0, isRegistered("b"), restart("b") }
  }

  // One VM reads at its start only, and renews its lease.
  action stepStale = any {
    tick,
    all { s.now < 2, read("a") },
    read("b"),
    { nondet v = VMS.oneOf() renew(v) },
    { nondet r = s.renewals.oneOf() applyRenewal(r) },
    { nondet r = s.renewals.oneOf() receiveRenewal(r) },
    { nondet w = s.views.oneOf() receiveView(w) }
  }
}

module quotasHold {
  import quotas(
    FENCE = true, RECENT = true, WAIT = true, END = true, NOTE = true, AT = true, EFFECT = true
  ).*
}

module quotasNoFence {
  import quotas(
    FENCE = false, RECENT = true, WAIT = true, END = true, NOTE = true, AT = true, EFFECT = true
  ).*
}

module quotasNoRecent {
  import quotas(
    FENCE = true, RECENT = false, WAIT = true, END = true, NOTE = true, AT = true, EFFECT = true
  ).*
}

module quotasNoWait {
  import quotas(
    FENCE = true, RECENT = true, WAIT = false, END = true, NOTE = true, AT = true, EFFECT = true
  ).*
}

module quotasNoEnd {
  import quotas(
    FENCE = true, RECENT = true, WAIT = true, END = false, NOTE = true, AT = true, EFFECT = true
  ).*
}

module quotasNoNote {
  import quotas(
    FENCE = true, RECENT = true, WAIT = true, END = true, NOTE = false, AT = true, EFFECT = true
  ).*
}

module quotasAlways {
  import quotas(
    FENCE = true, RECENT = true, WAIT = true, END = true, NOTE = true, AT = false, EFFECT = true
  ).*
}

module quotasAsked {
  import quotas(
    FENCE = true, RECENT = true, WAIT = true, END = true, NOTE = true, AT = true, EFFECT = false
  ).*
}
