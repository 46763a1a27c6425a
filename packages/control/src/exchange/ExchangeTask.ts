/**
 * Regular exchanges with other entry VMs: anti-entropy, news about members and failure detection.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import type FailureDetector from './FailureDetector.js';
import type ExchangeTiming from './ExchangeTiming.js';
import type PeerExchanger from './PeerExchanger.js';
import type ProbeOrder from './ProbeOrder.js';

/** VMs told at once when an exchange brought news. */
const SPREAD_COUNT = 2;
/** Exchanges beside the regular one, at once. */
const MAX_EXTRA = 4;
/** VMs told at once that this one is leaving. */
const ANNOUNCE_COUNT = 16;
const SPREAD_DELAY_MS = 50;

/** One exchange an interval with the next VM in turn; news is spread at once, within a bound. */
export default class ExchangeTask implements Child {
  readonly name = 'exchange';

  private extra = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly exchanger: PeerExchanger,
    private readonly detector: FailureDetector,
    private readonly order: ProbeOrder,
    private readonly timing: ExchangeTiming,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const jitter = 0.75 + this.random.nextFloat() / 2;
      await waitFor(this.clock, this.timing.intervalMs * jitter, signal);
      if (!signal.aborted) {
        this.detector.sweep();
        this.startExchange();
      }
    }
  }

  /** Fetches from a VM that is known to have newer state; calls beyond the bound are dropped. */
  fetchFrom(peerAddress: string): void {
    this.runExtra(() => this.exchangeWithPeer(peerAddress));
  }

  /** Tells many VMs at once that this one is leaving; the others hear it from them. */
  announceLeaving(): void {
    this.order.pickOthers(ANNOUNCE_COUNT, '').forEach(({ peerAddress }) => {
      this.exchangeWithPeer(peerAddress).catch((error: unknown) =>
        this.reportFailure(peerAddress, error),
      );
    });
  }

  private startExchange(): void {
    const record = this.order.nextMember();
    if (record === undefined) {
      return;
    }
    this.exchangeWithPeer(record.peerAddress)
      .then((answered) => (answered ? undefined : this.detector.investigate(record)))
      .catch((error: unknown) => this.reportFailure(record.peerAddress, error));
  }

  private async exchangeWithPeer(peerAddress: string): Promise<boolean> {
    const result = await this.exchanger.exchangeWith(peerAddress);
    if (!isRight(result)) {
      this.logger.debug('exchange failed', { ...result.left });
      return result.left._tag === 'PeerRefused';
    }
    this.detector.noteAnswer();
    if (result.right.isNews) {
      this.spreadNews(peerAddress);
    }
    return true;
  }

  /** Makes a few VMs fetch from this one, by asking them for what they have. */
  private spreadNews(except: string): void {
    this.order
      .pickOthers(SPREAD_COUNT, except)
      .forEach(({ peerAddress }) => this.runExtra(() => this.spreadTo(peerAddress)));
  }

  private async spreadTo(peerAddress: string): Promise<void> {
    await waitFor(this.clock, SPREAD_DELAY_MS * this.random.nextFloat());
    await this.exchangeWithPeer(peerAddress);
  }

  private runExtra(run: () => Promise<unknown>): void {
    if (this.extra >= MAX_EXTRA) {
      return;
    }
    this.extra += 1;
    run()
      .catch((error: unknown) => this.reportFailure('', error))
      .finally(() => {
        this.extra -= 1;
      });
  }

  private reportFailure(peer: string, error: unknown): void {
    this.logger.error('exchange broke', { step: 'exchange', peer, error: String(error) });
  }
}
