// Shares of one target's slots: plan, loans, restarts, two planners.
//
// Times are whole units. Delays are unbounded: a message or a pending write stays until an action
// takes it, or is lost. A paused process is one that no action chooses. The constants switch off
// one rule each, for variants that must be refuted.
module shares {
  // The planner takes a giver's slots only after the giver confirmed.
  const ACK: bool
  // A write compares the revisions of the plan and of the role's key.
  const FENCE: bool
  // Slots of an owner that is gone are free only after the longest time.
  const WAIT: bool
  // The borrower counts the term from when it sent the request.
  const FROM_SEND: bool
  // A starting process reads the plan from the store and waits out its predecessor.
  const READ: bool

  pure val VMS = Set("a", "b")
  pure val SLOTS = 1
  pure val TERM = 1
  pure val DEADLINE = 2
  pure val MARGIN = 1
  pure val LASTS = TERM + DEADLINE + MARGIN
  pure val MAX_MESSAGES = 3

  type Plan = { rev: int, share: str -> int, held: str -> int, zeroAt: str -> int }
  // `opens` is -1 until the process has read the plan.
  type Node = { alive: bool, inc: int, rev: int, owned: int, opens: int, since: int }
  type Run = { id: int, vm: str, inc: int, loan: int, end: int }
  type Loan = { id: int, owner: str, ownerInc: int, borrower: str, inc: int, sent: int, until: int }
  type Write = { base: int, epoch: int, target: Plan }

  type State = {
    now: int, ids: int, plan: Plan, epoch: int, believed: str -> int, writes: Set[Write],
    nodes: str -> Node, running: Set[Run],
    asks: Set[Loan], answers: Set[Loan], lent: Set[Loan], borrowed: Set[Loan]
  }

  var s: State

  pure def max(x: int, y: int): int = if (x > y) x else y

  pure def sumHeld(plan: Plan): int = VMS.fold(0, (sum, v) => sum + plan.held.get(v))

  // What the process knows to be in use of its owned slots.
  def use(v: str): int = {
    val inc = s.nodes.get(v).inc
    s.running.filter(r => r.vm == v and r.inc == inc and r.loan == 0).size()
      + s.lent.filter(l => l.owner == v and l.ownerInc == inc and l.until > s.now).size()
  }

  def isOpen(v: str): bool = {
    val node = s.nodes.get(v)
    node.alive and node.opens >= 0 and s.now >= node.opens
  }

  def isFree(v: str): bool = isOpen(v) and use(v) < s.nodes.get(v).owned

  action init = {
    val share = Map("a" -> 1, "b" -> 0)
    val plan = { rev: 1, share: share, held: share, zeroAt: VMS.mapBy(v => 0) }
    s' = {
      now: 0, ids: 1, plan: plan, epoch: 1, believed: VMS.mapBy(v => 0), writes: Set(),
      nodes: VMS.mapBy(v => { alive: true, inc: 1, rev: 1, owned: share.get(v), opens: 0, since: 0 }),
      running: Set(), asks: Set(), answers: Set(), lent: Set(), borrowed: Set()
    }
  }

  action tick = s' = {
    ...s, now: s.now + 1,
    running: s.running.filter(r => r.end > s.now + 1),
    lent: s.lent.filter(l => l.until > s.now + 1)
  }

  // --- planner ---

  action acquire(v: str): bool = all {
    s.nodes.get(v).alive,
    s' = { ...s, epoch: s.epoch + 1, believed: s.believed.set(v, s.epoch + 1) }
  }

  // Decides on the plan as it is; the write takes effect later or never.
  action decide(v: str, target: Plan): bool = all {
    s.nodes.get(v).alive,
    s.believed.get(v) > 0,
    s.writes.size() < MAX_MESSAGES,
    s' = { ...s, writes: s.writes.union(Set({ base: s.plan.rev, epoch: s.believed.get(v), target: target })) }
  }

  action lower(p: str, v: str): bool = all {
    s.plan.share.get(v) > 0,
    decide(p, { ...s.plan, share: s.plan.share.setBy(v, n => n - 1) })
  }

  action raise(p: str, v: str): bool = all {
    sumHeld(s.plan) < SLOTS,
    decide(p, {
      ...s.plan, share: s.plan.share.setBy(v, n => n + 1),
      held: s.plan.held.set(v, max(s.plan.held.get(v), s.plan.share.get(v) + 1))
    })
  }

  action confirm(p: str, v: str): bool = all {
    s.plan.held.get(v) > s.plan.share.get(v),
    not(ACK) or (isOpen(v) and s.nodes.get(v).rev >= s.plan.rev),
    val held = if (ACK) max(s.plan.share.get(v), use(v)) else s.plan.share.get(v)
    decide(p, { ...s.plan, held: s.plan.held.set(v, held) })
  }

  action release(p: str, v: str): bool = all {
    s.plan.held.get(v) > 0,
    s.plan.share.get(v) == 0,
    not(s.nodes.get(v).alive),
    not(WAIT) or s.now - max(s.plan.zeroAt.get(v), s.nodes.get(v).since) >= LASTS,
    decide(p, { ...s.plan, held: s.plan.held.set(v, 0) })
  }

  action commit(w: Write): bool = {
    val holds = not(FENCE) or (w.base == s.plan.rev and w.epoch == s.epoch)
    val zeroAt = VMS.mapBy(v =>
      if (w.target.share.get(v) == 0 and s.plan.share.get(v) > 0) s.now else s.plan.zeroAt.get(v))
    val plan = if (holds) { ...w.target, rev: s.plan.rev + 1, zeroAt: zeroAt } else s.plan
    s' = { ...s, plan: plan, writes: s.writes.exclude(Set(w)) }
  }

  // --- processes ---

  action applyPlan(v: str): bool = {
    val node = s.nodes.get(v)
    all {
      node.alive, node.opens >= 0, node.rev < s.plan.rev,
      s' = { ...s, nodes: s.nodes.set(v, { ...node, rev: s.plan.rev, owned: s.plan.share.get(v) }) }
    }
  }

  action die(v: str): bool = {
    val node = s.nodes.get(v)
    all {
      node.alive,
      s' = { ...s, nodes: s.nodes.set(v, { ...node, alive: false, since: s.now }), believed: s.believed.set(v, 0) }
    }
  }

  // A replica may show the plan of long ago to a process that starts.
  action restart(v: str): bool = {
    val node = s.nodes.get(v)
    val fresh = { alive: true, inc: node.inc + 1, rev: 0, owned: 0, opens: -1, since: s.now }
    val stale = { ...fresh, rev: 1, owned: if (v == "a") 1 else 0, opens: s.now }
    all {
      not(node.alive),
      s' = { ...s, nodes: s.nodes.set(v, if (READ) fresh else stale) }
    }
  }

  action readPlan(v: str): bool = {
    val node = s.nodes.get(v)
    val hasRow = s.plan.held.get(v) > 0
    all {
      node.alive, node.opens < 0,
      s' = { ...s, nodes: s.nodes.set(v, {
        ...node, rev: s.plan.rev, owned: s.plan.share.get(v),
        opens: if (hasRow) node.since + LASTS else s.now
      }) }
    }
  }

  action startRun(v: str, loan: int): bool = s' = {
    ...s, ids: s.ids + 1,
    running: s.running.union(Set({ id: s.ids, vm: v, inc: s.nodes.get(v).inc, loan: loan, end: s.now + DEADLINE }))
  }

  action startOwned(v: str): bool = all { isFree(v), startRun(v, 0) }

  action startBorrowed(l: Loan): bool = all {
    s.nodes.get(l.borrower).alive,
    s.nodes.get(l.borrower).inc == l.inc,
    s.now < l.until,
    s.running.forall(r => r.loan != l.id),
    startRun(l.borrower, l.id)
  }

  action finish(r: Run): bool = s' = { ...s, running: s.running.exclude(Set(r)) }

  // --- loans ---

  action ask(v: str, owner: str): bool = all {
    s.nodes.get(v).alive, v != owner, s.asks.size() < MAX_MESSAGES,
    s' = {
      ...s, ids: s.ids + 1,
      asks: s.asks.union(Set({
        id: s.ids, owner: owner, ownerInc: 0, borrower: v, inc: s.nodes.get(v).inc, sent: s.now, until: 0
      }))
    }
  }

  action grant(l: Loan): bool = {
    val loan = { ...l, ownerInc: s.nodes.get(l.owner).inc, until: s.now + LASTS }
    all {
      isFree(l.owner),
      s' = {
        ...s, asks: s.asks.exclude(Set(l)),
        lent: s.lent.union(Set(loan)), answers: s.answers.union(Set(loan))
      }
    }
  }

  action receive(l: Loan): bool = {
    val loan = { ...l, until: TERM + if (FROM_SEND) l.sent else s.now }
    s' = { ...s, answers: s.answers.exclude(Set(l)), borrowed: s.borrowed.union(Set(loan)) }
  }

  action giveBack(l: Loan): bool = all {
    s.running.forall(r => r.loan != l.id),
    s' = { ...s, borrowed: s.borrowed.exclude(Set(l)), lent: s.lent.filter(o => o.id != l.id) }
  }

  action lose = any {
    { nondet l = s.asks.oneOf() s' = { ...s, asks: s.asks.exclude(Set(l)) } },
    { nondet l = s.answers.oneOf() s' = { ...s, answers: s.answers.exclude(Set(l)) } },
    { nondet w = s.writes.oneOf() s' = { ...s, writes: s.writes.exclude(Set(w)) } }
  }

  action planStep = {
    nondet p = VMS.oneOf()
    nondet v = VMS.oneOf()
    any { lower(p, v), raise(p, v), confirm(p, v), release(p, v) }
  }

  action processStep = {
    nondet v = VMS.oneOf()
    any { applyPlan(v), applyPlan(v), die(v), restart(v), readPlan(v), startOwned(v), startOwned(v), acquire(v) }
  }

  action loanStep = any {
    { nondet v = VMS.oneOf() nondet o = VMS.oneOf() ask(v, o) },
    { nondet l = s.asks.oneOf() grant(l) },
    { nondet l = s.answers.oneOf() receive(l) },
    { nondet l = s.borrowed.oneOf() startBorrowed(l) },
    { nondet l = s.borrowed.oneOf() giveBack(l) }
  }

  action step = any {
    tick, planStep, planStep, processStep, processStep, loanStep, loanStep, lose,
    { nondet w = s.writes.oneOf() commit(w) },
    { nondet w = s.writes.oneOf() commit(w) },
    { nondet r = s.running.oneOf() finish(r) }
  }

  // Narrower steps reach deep states of one part sooner.
  action stepPlanner = any {
    planStep, planStep,
    { nondet v = VMS.oneOf() acquire(v) },
    { nondet w = s.writes.oneOf() commit(w) },
    { nondet w = s.writes.oneOf() commit(w) },
    { nondet v = VMS.oneOf() any { applyPlan(v), startOwned(v) } }
  }

  action stepGone = any {
    planStep,
    { nondet w = s.writes.oneOf() commit(w) },
    { nondet v = VMS.oneOf() any { applyPlan(v), startOwned(v), die(v), acquire(v) } }
  }

  action stepLoans = any {
    tick, loanStep, loanStep, loanStep,
    { nondet v = VMS.oneOf() startOwned(v) },
    { nondet r = s.running.oneOf() finish(r) }
  }

  // No more requests run than the target has slots.
  val withinSlots = s.running.size() <= SLOTS

  // The plan never holds more than the target has.
  val planWithinSlots = sumHeld(s.plan) <= SLOTS
}

module sharesHold {
  import shares(ACK = true, FENCE = true, WAIT = true, FROM_SEND = true, READ = true).*
}

module sharesNoAck {
  import shares(ACK = false, FENCE = true, WAIT = true, FROM_SEND = true, READ = true).*
}

module sharesNoFence {
  import shares(ACK = true, FENCE = false, WAIT = true, FROM_SEND = true, READ = true).*
}

module sharesNoWait {
  import shares(ACK = true, FENCE = true, WAIT = false, FROM_SEND = true, READ = true).*
}

module sharesFromAnswer {
  import shares(ACK = true, FENCE = true, WAIT = true, FROM_SEND = false, READ = true).*
}

module sharesNoRead {
  import shares(ACK = true, FENCE = true, WAIT = true, FROM_SEND = true, READ = false).*
}
