/**
 * Following of a relay by a VM that does not watch the store itself.
 */
import { createClient } from '@connectrpc/connect';
import type Child from '@burdockcove/runtime/Child';
import type Clock from '@burdockcove/runtime/Clock';
import type Logger from '@burdockcove/runtime/Logger';
import type Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import {
  StateService,
  type FollowResponse,
} from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import type PeerTransports from '@burdockcove/protocol/PeerTransports';
import type Member from '@burdockcove/types/Member';
import computeBackoff from '../computeBackoff.js';
import type RelaySet from '../membership/RelaySet.js';
import CONTROL_MESSAGE_MAJOR from '../peer/CONTROL_MESSAGE_MAJOR.js';
import checkMessageVersion from '../peer/checkMessageVersion.js';
import type StateReplica from './StateReplica.js';
import parseDelta from './parseDelta.js';

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
/** A stream without a message for this long is given up, in milliseconds. */
const SILENCE_MS = 5_000;
const ROLE_CHECK_MS = 500;

/** Goes from relay to relay until one serves. */
export default class RelayFollower implements Child {
  readonly name = 'relay-follower';

  private failures = 0;

  private attempt = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
    private readonly transports: PeerTransports,
    private readonly relays: RelaySet,
    private readonly replica: StateReplica,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sources = this.relays.isRelay() ? [] : this.relays.listSources();
      const source = sources[this.attempt % Math.max(1, sources.length)];
      if (source === undefined) {
        await waitFor(this.clock, ROLE_CHECK_MS, signal);
      } else {
        await this.followOnce(source, signal);
      }
    }
  }

  private async followOnce(source: Member, signal: AbortSignal): Promise<void> {
    const ended = new AbortController();
    const stop = (): void => ended.abort();
    signal.addEventListener('abort', stop, { signal: ended.signal });
    try {
      await this.readStream(source, ended);
    } catch (error) {
      this.logger.info('relay not followed', {
        step: 'follow',
        peer: source.peerAddress,
        error: String(error),
      });
    }
    ended.abort();
    if (!signal.aborted) {
      await this.waitBackoff(signal);
    }
  }

  private async waitBackoff(signal: AbortSignal): Promise<void> {
    this.failures += 1;
    this.attempt += 1;
    const { random, failures } = this;
    const backoffMs = computeBackoff(random, failures, FIRST_BACKOFF_MS, MAX_BACKOFF_MS);
    await waitFor(this.clock, backoffMs, signal);
  }

  private async readStream(source: Member, ended: AbortController): Promise<void> {
    const client = createClient(StateService, this.transports.getTransport(source.peerAddress));
    const request = {
      version: { major: CONTROL_MESSAGE_MAJOR },
      afterRevision: BigInt(this.replica.table.getCompleteRevision()),
    };
    let silence = this.startSilenceTimer(ended);
    const options = { signal: ended.signal, timeoutMs: 0 };
    for await (const message of client.follow(request, options)) {
      silence.cancel();
      this.applyMessage(message);
      if (this.relays.isRelay()) {
        return;
      }
      silence = this.startSilenceTimer(ended);
    }
  }

  private applyMessage(message: FollowResponse): void {
    checkMessageVersion(message.version);
    this.failures = 0;
    this.replica.table.mergeDelta(parseDelta(message.delta));
  }

  private startSilenceTimer(ended: AbortController): { cancel(): void } {
    return this.clock.startTimer(SILENCE_MS, () => ended.abort());
  }
}
