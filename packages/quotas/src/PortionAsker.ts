/**
 * Finds the owner of a part and asks it for a portion: this VM itself without a call, another one with one retry.
 */
import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type FleetMember from '@burdockcove/fleet/FleetMember';
import type MemberTable from '@burdockcove/fleet/MemberTable';
import type Clock from '@burdockcove/runtime/Clock';
import getPartKey from './getPartKey.js';
import PortionOutbox from './PortionOutbox.js';
import type QuotaClient from './QuotaClient.js';
import type QuotaCounts from './QuotaCounts.js';
import type QuotaOwner from './QuotaOwner.js';
import type RequestedPortion from './RequestedPortion.js';
import type SentPortion from './SentPortion.js';

const STEP = 'ask for portions of quotas';
/**
 * Longer than a request waits: the portion of an answer that comes late serves the next requests, and an owner that is
 * slow does not cost a new connection.
 */
const CALL_TIMEOUT_MS = 800;
/** Time without an answer after which the owner is looked up again. */
const LATE_MS = 200;
/** Time from the first call on after which no other call is made for its requests, which have ended by then. */
const RETRY_MS = 300;

interface PortionAskerDependencies {
  readonly owner: QuotaOwner;
  readonly members: MemberTable;
  readonly client: QuotaClient;
  readonly counts: QuotaCounts;
  readonly clock: Clock;
}

function isGranted({ answer }: SentPortion): boolean {
  return answer._tag === 'Right' && answer.right._tag === 'Granted';
}

/** Answers at once where this VM owns the part. */
export default class PortionAsker {
  private readonly outbox: PortionOutbox;

  constructor(private readonly dependencies: PortionAskerDependencies) {
    const { client, counts, clock } = dependencies;
    this.outbox = new PortionOutbox(client, counts, clock);
  }

  /** `waiting` is the number of requests that wait; this VM's own parts are asked for these only. */
  ask(requested: RequestedPortion, waiting: number): SentPortion | Promise<SentPortion> {
    const asked = this.findOwner(requested, 0);
    if (asked === undefined || !this.isSelf(asked)) {
      return this.askOthers(requested, asked, waiting > 0);
    }
    const sent = this.askSelf({ ...requested, wanted: waiting });
    return isGranted(sent) ? sent : this.retry(requested, asked, sent, waiting > 0);
  }

  /** Returns the name of the VM that owns the part, or the empty string if this VM knows none. */
  findOwnerName(customer: string, part: number): string {
    return this.findOwner({ customer, part }, 0)?.name ?? '';
  }

  private async askOthers(
    requested: RequestedPortion,
    asked: FleetMember | undefined,
    isUrgent: boolean,
  ): Promise<SentPortion> {
    const calling = this.call(asked, requested, isUrgent);
    const sent = await this.awaitPresentOwner(calling, requested, asked);
    if (sent === undefined) {
      return this.call(this.findOwner(requested, 0), requested, isUrgent);
    }
    const elapsedMs = this.dependencies.clock.getMonotonicMs() - sent.askedAt.monotonicMs;
    return isGranted(sent) || elapsedMs > RETRY_MS
      ? sent
      : this.retry(requested, asked, sent, isUrgent);
  }

  /**
   * Resolves with the answer, or undefined if it is late and another VM owns the part by now. The same owner is not asked
   * again while a call is in flight: calls on one connection are answered in order, and a second one would cost a busy
   * owner twice.
   */
  private awaitPresentOwner(
    calling: Promise<SentPortion>,
    requested: RequestedPortion,
    asked: FleetMember | undefined,
  ): Promise<SentPortion | undefined> {
    return new Promise((resolve) => {
      const timer = this.dependencies.clock.startTimer(LATE_MS, () => {
        if (this.findOwner(requested, 0)?.name !== asked?.name) {
          resolve(undefined);
        }
      });
      calling.then(
        (sent) => {
          timer.cancel();
          resolve(sent);
        },
        () => undefined,
      );
    });
  }

  /**
   * Asks the present owner. If that is the VM that has just said that it does not own the part, the next member by rank
   * may still own it: a new VM waits until all others know of it.
   */
  private async retry(
    requested: RequestedPortion,
    asked: FleetMember | undefined,
    sent: SentPortion,
    isUrgent: boolean,
  ): Promise<SentPortion> {
    const present = this.findOwner(requested, 0);
    const isRefused = !isLeft(sent.answer) && present?.name === asked?.name;
    const next = isRefused ? this.findOwner(requested, 1) : present;
    if (next === undefined) {
      return sent;
    }
    return this.isSelf(next) ? this.askSelf(requested) : this.call(next, requested, isUrgent);
  }

  private async call(
    member: FleetMember | undefined,
    requested: RequestedPortion,
    isUrgent: boolean,
  ): Promise<SentPortion> {
    const address = member?.stateAddress;
    if (address === undefined) {
      const detail = 'the owner has no address for other entry VMs';
      const peer = member?.name ?? '';
      const answer = left({ _tag: 'PeerUnreachable' as const, step: STEP, peer, detail });
      return { answer, askedAt: this.readClocks() };
    }
    return this.outbox.send(address, requested, CALL_TIMEOUT_MS, isUrgent);
  }

  private askSelf(requested: RequestedPortion): SentPortion {
    const askedAt = this.readClocks();
    const [answer = { _tag: 'NotOwner' as const }] = this.dependencies.owner.grantPortions([
      requested,
    ]);
    return { answer: right(answer), askedAt };
  }

  /** A VM without a registration is no owner in the eyes of others. */
  private findOwner(
    { customer, part }: Omit<RequestedPortion, 'wanted'>,
    rank: number,
  ): FleetMember | undefined {
    const { members, owner } = this.dependencies;
    const canOwn = owner.isRegistered();
    return members
      .rankFirst(getPartKey(customer, part))
      .filter((member) => canOwn || !this.isSelf(member))[rank];
  }

  private isSelf({ name }: FleetMember): boolean {
    return name === this.dependencies.members.self.name;
  }

  private readClocks(): SentPortion['askedAt'] {
    const { clock } = this.dependencies;
    return { monotonicMs: clock.getMonotonicMs(), wallMs: clock.getWallMs() };
  }
}
