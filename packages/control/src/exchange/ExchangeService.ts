/**
 * The serving side of distribution and membership.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import type Clock from '@burdockcove/runtime/Clock';
import {
  StateService,
  type ExchangeRequest,
  type ExchangeResponseSchema,
  type FollowRequest,
  type FollowResponseSchema,
} from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import type GossipMembership from '../membership/GossipMembership.js';
import type MemberRecord from '../membership/MemberRecord.js';
import encodeMember from '../membership/encodeMember.js';
import parseMember from '../membership/parseMember.js';
import CONTROL_MESSAGE_MAJOR from '../peer/CONTROL_MESSAGE_MAJOR.js';
import checkMessageVersion from '../peer/checkMessageVersion.js';
import type StateReplica from '../replica/StateReplica.js';
import encodeDelta from '../replica/encodeDelta.js';
import streamState from '../replica/streamState.js';
import MAX_MEMBERS_PER_MESSAGE from './MAX_MEMBERS_PER_MESSAGE.js';
import type PeerExchanger from './PeerExchanger.js';

const MAX_DELTA_BYTES = 1_000_000;
/** Members that are not alive, named to a process that has just started. */
const MAX_JOIN_MEMBERS = 256;
const VERSION = { major: CONTROL_MESSAGE_MAJOR };

/** `registerRoutes` is the registrar for `PeerServer`. */
export default class ExchangeService {
  constructor(
    private readonly clock: Clock,
    private readonly membership: GossipMembership,
    private readonly replica: StateReplica,
    private readonly exchanger: PeerExchanger,
    /** Called with the peer address of a VM whose copy is newer than this one's. */
    private readonly onNewerPeer: (peerAddress: string) => void,
  ) {}

  readonly registerRoutes = (router: ConnectRouter): void => {
    router.service(StateService, {
      exchange: (request) => this.answerExchange(request),
      follow: (request, context) => this.answerFollow(request, context.signal),
    });
  };

  private async answerExchange(
    request: ExchangeRequest,
  ): Promise<MessageInitShape<typeof ExchangeResponseSchema>> {
    checkMessageVersion(request.version);
    const members = this.mergeNews(request);
    const { table } = this.replica;
    const delta = table.listNewer(Number(request.completeRevision), MAX_DELTA_BYTES);
    return {
      version: VERSION,
      sender: encodeMember(this.membership.getSelfRecord()),
      delta: encodeDelta(delta),
      ageMs: BigInt(Math.ceil(this.replica.getAgeMs())),
      members: members.map(encodeMember),
      ready: this.replica.isReady(),
      probeAnswered: await this.probeFor(request.probePeerAddress),
    };
  }

  /** Takes in the sender's news and lists this VM's own, with its view of the sender first. */
  private mergeNews(request: ExchangeRequest): readonly MemberRecord[] {
    const sender = parseMember(request.sender);
    const view = sender && this.findContradicted(sender);
    [...request.members, request.receiver]
      .map(parseMember)
      .forEach((record) => record !== undefined && this.membership.mergeRecord(record));
    if (sender !== undefined) {
      this.noteSender(sender, Number(request.completeRevision));
    }
    const count = this.membership.table.count();
    const news = this.membership.news.takeRecords(MAX_MEMBERS_PER_MESSAGE, count);
    const joining = request.joining ? this.listNotAlive() : [];
    return [...(view === undefined ? [] : [view]), ...news, ...joining];
  }

  /** What this VM held of the sender until now, where the sender's own word differs. */
  private findContradicted(sender: MemberRecord): MemberRecord | undefined {
    const view = this.membership.table.getRow(sender.address)?.record;
    const differs =
      view !== undefined &&
      (view.health !== 'alive' ||
        view.incarnation > sender.incarnation ||
        view.leaving !== sender.leaving);
    return differs ? view : undefined;
  }

  private noteSender(sender: MemberRecord, completeRevision: number): void {
    this.membership.mergeDirect(sender);
    if (completeRevision > this.replica.table.getCompleteRevision()) {
      this.onNewerPeer(sender.peerAddress);
    }
  }

  private listNotAlive(): readonly MemberRecord[] {
    return this.membership.table
      .listRows()
      .map(({ record }) => record)
      .filter(({ health, leaving }) => health !== 'alive' || leaving)
      .slice(0, MAX_JOIN_MEMBERS);
  }

  private async probeFor(peerAddress: string): Promise<boolean> {
    if (peerAddress === '') {
      return false;
    }
    return isRight(await this.exchanger.exchangeWith(peerAddress));
  }

  private async *answerFollow(
    request: FollowRequest,
    signal: AbortSignal,
  ): AsyncGenerator<MessageInitShape<typeof FollowResponseSchema>> {
    checkMessageVersion(request.version);
    const after = Number(request.afterRevision);
    for await (const delta of streamState(this.clock, this.replica.table, after, signal)) {
      yield { version: VERSION, delta: encodeDelta(delta) };
    }
  }
}
