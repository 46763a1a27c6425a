/**
 * Filling of a new process's copy from several peers.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import { Counter, type Registry } from 'prom-client';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type StateReplica from '../replica/StateReplica.js';
import type PeerExchanger from './PeerExchanger.js';
import type ProbeOrder from './ProbeOrder.js';

/** Peers asked, each in another failure domain. */
const PEERS_ASKED = 5;
const RETRY_MS = 500;
/** After this long, what any one peer had is taken, in milliseconds. */
const GRACE_MS = 15_000;
const NEVER_MS = 3_600_000;

/** Ready once a majority of the peers asked have answered; each key is taken from whoever has it newest. */
export default class JoinTask implements Child {
  readonly name = 'join';

  private readonly partial: Counter;

  private answeredOnce = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly exchanger: PeerExchanger,
    private readonly order: ProbeOrder,
    private readonly replica: StateReplica,
    registry: Registry,
  ) {
    this.partial = new Counter({
      name: 'burdockcove_replica_partial_joins_total',
      help: 'Starts at which fewer than a majority of the peers asked had answered in time',
      registers: [registry],
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const startedMs = this.clock.getMonotonicMs();
    while (!signal.aborted && !this.replica.isReady()) {
      await this.askPeers(this.clock.getMonotonicMs() - startedMs > GRACE_MS);
      await waitFor(this.clock, RETRY_MS, signal);
    }
    while (!signal.aborted) {
      await waitFor(this.clock, NEVER_MS, signal);
    }
  }

  private async askPeers(isLate: boolean): Promise<void> {
    const peers = this.order.pickAcrossDomains(PEERS_ASKED);
    const answers = await Promise.all(
      peers.map(({ peerAddress }) => this.exchanger.exchangeWith(peerAddress, { joining: true })),
    );
    const whole = answers.filter((answer) => isRight(answer) && answer.right.isWhole);
    this.answeredOnce ||= whole.length > 0;
    if (whole.length > peers.length / 2) {
      this.replica.markReady();
    } else if (isLate && this.answeredOnce && !this.replica.isReady()) {
      this.partial.inc();
      this.logger.warn('ready with the word of a minority of peers', { step: 'join' });
      this.replica.markReady();
    }
  }
}
