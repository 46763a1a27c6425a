/**
 * One exchange with another entry VM, as the caller.
 */
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { Counter, type Registry } from 'prom-client';
import type Clock from '@burdockcove/runtime/Clock';
import {
  StateService,
  type ExchangeResponse,
} from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import type PeerTransports from '@burdockcove/protocol/PeerTransports';
import type PeerError from '@burdockcove/types/PeerError';
import type GossipMembership from '../membership/GossipMembership.js';
import encodeMember from '../membership/encodeMember.js';
import parseMember from '../membership/parseMember.js';
import CONTROL_MESSAGE_MAJOR from '../peer/CONTROL_MESSAGE_MAJOR.js';
import checkMessageVersion from '../peer/checkMessageVersion.js';
import type StateReplica from '../replica/StateReplica.js';
import parseDelta from '../replica/parseDelta.js';
import type ExchangeOutcome from './ExchangeOutcome.js';
import type ExchangeTiming from './ExchangeTiming.js';
import MAX_MEMBERS_PER_MESSAGE from './MAX_MEMBERS_PER_MESSAGE.js';
import callWithTimeout from './callWithTimeout.js';

const STEP = 'exchange';

function buildPeerError(peer: string, error: unknown): PeerError {
  const isRefused = ConnectError.from(error).code === Code.FailedPrecondition;
  return {
    _tag: isRefused ? 'PeerRefused' : 'PeerUnreachable',
    step: STEP,
    peer,
    detail: String(error),
  };
}

/** What one exchange is for. */
interface ExchangeOptions {
  readonly joining?: boolean;
  /** Peer address of a VM that the peer is to probe. */
  readonly probe?: string;
}

/** Takes in what the peer knows and records that it answered. */
export default class PeerExchanger {
  private readonly exchanges: Counter<'result'>;

  constructor(
    private readonly clock: Clock,
    private readonly transports: PeerTransports,
    private readonly membership: GossipMembership,
    private readonly replica: StateReplica,
    private readonly timing: ExchangeTiming,
    registry: Registry,
  ) {
    this.exchanges = new Counter({
      name: 'burdockcove_exchanges_total',
      help: 'Exchanges with other entry VMs by result',
      labelNames: ['result'] as const,
      registers: [registry],
    });
  }

  /** Exchanges with the VM of that peer address; a probe on behalf takes twice the timeout. */
  async exchangeWith(
    peer: string,
    options: ExchangeOptions = {},
  ): Promise<Either<PeerError, ExchangeOutcome>> {
    const sentMs = this.clock.getMonotonicMs();
    const timeoutMs = this.timing.timeoutMs * (options.probe === undefined ? 1 : 2);
    try {
      const response = await callWithTimeout(this.clock, timeoutMs, (signal) =>
        this.sendRequest(peer, options, signal),
      );
      checkMessageVersion(response.version);
      this.exchanges.inc({ result: 'ok' });
      return right(this.applyResponse(response, sentMs));
    } catch (error) {
      const failure = buildPeerError(peer, error);
      this.exchanges.inc({ result: failure._tag });
      return left(failure);
    }
  }

  private sendRequest(
    peer: string,
    options: ExchangeOptions,
    signal: AbortSignal,
  ): Promise<ExchangeResponse> {
    const { membership } = this;
    const receiver = membership.table.findByPeerAddress(peer);
    const news = membership.news.takeRecords(MAX_MEMBERS_PER_MESSAGE, membership.table.count());
    const request = {
      version: { major: CONTROL_MESSAGE_MAJOR },
      sender: encodeMember(membership.getSelfRecord()),
      ...(receiver === undefined ? {} : { receiver: encodeMember(receiver) }),
      completeRevision: BigInt(this.replica.table.getCompleteRevision()),
      members: news.map(encodeMember),
      joining: options.joining ?? false,
      probePeerAddress: options.probe ?? '',
    };
    const client = createClient(StateService, this.transports.getTransport(peer));
    return client.exchange(request, { signal, timeoutMs: 0 });
  }

  private applyResponse(response: ExchangeResponse, sentMs: number): ExchangeOutcome {
    const sender = parseMember(response.sender);
    if (sender !== undefined) {
      this.membership.mergeDirect(sender);
    }
    response.members
      .map(parseMember)
      .forEach((record) => record !== undefined && this.membership.mergeRecord(record));
    const delta = parseDelta(response.delta);
    const isNews = this.replica.table.mergeDelta(delta);
    const isWhole =
      !delta.truncated && this.replica.table.getCompleteRevision() >= delta.completeRevision;
    if (response.ready && isWhole) {
      this.replica.markCurrent(sentMs, Number(response.ageMs));
    }
    return { isNews, isWhole: response.ready && isWhole, probeAnswered: response.probeAnswered };
  }
}
