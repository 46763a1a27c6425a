/**
 * Detection of entry VMs that are gone, with other VMs' help.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type GossipMembership from '../membership/GossipMembership.js';
import type MemberRecord from '../membership/MemberRecord.js';
import type ExchangeTiming from './ExchangeTiming.js';
import type PeerExchanger from './PeerExchanger.js';
import type ProbeOrder from './ProbeOrder.js';

/** VMs asked to probe one that did not answer. */
const HELPERS = 3;
/** Failures investigated at once. */
const MAX_INVESTIGATIONS = 8;
/** Sweeps later than this show that the process was paused, in multiples of the interval. */
const PAUSE_FACTOR = 3;

/** A VM is suspected only where another VM could not reach it either, or where this one reaches nobody. */
export default class FailureDetector {
  private investigations = 0;

  private answeredMs: number;

  private sweptMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly membership: GossipMembership,
    private readonly exchanger: PeerExchanger,
    private readonly order: ProbeOrder,
    private readonly timing: ExchangeTiming,
  ) {
    this.answeredMs = clock.getMonotonicMs();
    this.sweptMs = this.answeredMs;
  }

  /** Records that some VM answered, so that this one is not cut off. */
  noteAnswer(): void {
    this.answeredMs = this.clock.getMonotonicMs();
  }

  /** Asks others to probe a VM that did not answer. */
  async investigate(record: MemberRecord): Promise<void> {
    if (record.health !== 'alive' || this.investigations >= MAX_INVESTIGATIONS) {
      return;
    }
    this.investigations += 1;
    try {
      await this.askHelpers(record);
    } finally {
      this.investigations -= 1;
    }
  }

  /** Marks VMs unreachable whose suspicion nobody contradicted in time. */
  sweep(): void {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs - this.sweptMs > this.timing.intervalMs * PAUSE_FACTOR) {
      this.membership.table.renewSuspects();
    }
    this.sweptMs = nowMs;
    this.membership.table.expireSuspects(this.timing.failureTimeoutMs);
  }

  private async askHelpers(record: MemberRecord): Promise<void> {
    const helpers = this.order.pickOthers(HELPERS, record.address);
    const probe = record.peerAddress;
    const answers = await Promise.all(
      helpers.map(({ peerAddress }) => this.exchanger.exchangeWith(peerAddress, { probe })),
    );
    const heard = answers.filter(isRight);
    if (heard.some(({ right }) => right.probeAnswered)) {
      return;
    }
    if (heard.length > 0 || helpers.length === 0 || this.isCutOff()) {
      this.suspect(record);
    }
  }

  /** Suspects the VM unless it was heard from in the meantime. */
  private suspect(record: MemberRecord): void {
    const known = this.membership.table.getRow(record.address)?.record;
    if (known !== undefined && known.incarnation === record.incarnation) {
      this.membership.table.setHealth(record.address, 'suspect');
    }
  }

  private isCutOff(): boolean {
    return this.clock.getMonotonicMs() - this.answeredMs > this.timing.failureTimeoutMs;
  }
}
