/**
 * Polling of the VM list.
 */
import * as E from 'fp-ts/lib/Either.js';
import { Counter, type Registry } from 'prom-client';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type VmList from '@burdockcove/store/VmList';
import registerGauge from '../registerGauge.js';
import type GossipMembership from './GossipMembership.js';

/** Typical size of one VM in the list, in bytes. */
const BYTES_PER_VM = 160;
/** Bytes a second that polling may cost; a long list is polled less often, since exchanges carry the news. */
const POLL_BYTES_PER_SECOND = 4_096;
const MS_PER_SECOND = 1_000;

/** The last good list stays in force while the list is unreachable or empty. */
export default class VmListTask implements Child {
  readonly name = 'vm-list';

  private loadedMs: number;

  private length = 0;

  private readonly polls: Counter<'result'>;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly list: VmList,
    private readonly membership: GossipMembership,
    private readonly pollMs: number,
    registry: Registry,
  ) {
    this.loadedMs = clock.getMonotonicMs();
    this.polls = new Counter({
      name: 'burdockcove_vm_list_polls_total',
      help: 'Polls of the VM list by result',
      labelNames: ['result'] as const,
      registers: [registry],
    });
    const getAge = (): number => (clock.getMonotonicMs() - this.loadedMs) / MS_PER_SECOND;
    const help = 'Seconds since the VM list was last read';
    registerGauge(registry, 'burdockcove_vm_list_age_seconds', help, getAge);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.pollOnce();
      const jitter = 0.75 + this.random.nextFloat() / 2;
      await waitFor(this.clock, this.computeIntervalMs() * jitter, signal);
    }
  }

  private computeIntervalMs(): number {
    const budgetMs = (this.length * BYTES_PER_VM * MS_PER_SECOND) / POLL_BYTES_PER_SECOND;
    return Math.max(this.pollMs, budgetMs);
  }

  private async pollOnce(): Promise<void> {
    const listed = await this.list.listVms()();
    if (E.isLeft(listed)) {
      this.polls.inc({ result: listed.left._tag });
      this.logger.warn('VM list not read', { ...listed.left });
      return;
    }
    if (listed.right.length === 0) {
      this.polls.inc({ result: 'empty' });
      this.logger.warn('VM list is empty', { step: 'vm list' });
      return;
    }
    this.polls.inc({ result: 'ok' });
    this.loadedMs = this.clock.getMonotonicMs();
    this.length = listed.right.length;
    this.membership.applyList(listed.right);
  }
}
