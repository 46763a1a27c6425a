/**
 * Sends requests for portions to their owners, those for the same owner in one call.
 */
import { isLeft, left, right, type Either } from 'fp-ts/lib/Either.js';
import type Clock from '@burdockcove/runtime/Clock';
import type Timer from '@burdockcove/runtime/Timer';
import type PeerError from '@burdockcove/types/PeerError';
import type PortionAnswer from './PortionAnswer.js';
import type QuotaClient from './QuotaClient.js';
import type QuotaCounts from './QuotaCounts.js';
import type RequestedPortion from './RequestedPortion.js';
import type SentPortion from './SentPortion.js';

/** How long a portion that no request waits for may stay for others to join it. */
const JOIN_MS = 20;
/** Portions in one call; the rest goes into another one. */
const MAX_PORTIONS = 64;

const STEP = 'ask for portions of quotas';

interface QueuedPortion {
  readonly requested: RequestedPortion;
  readonly settle: (sent: SentPortion) => void;
}

interface Batch {
  readonly portions: QueuedPortion[];
  readonly timer: Timer | undefined;
  isUrgent: boolean;
}

function makeError(peer: string, detail: string): PeerError {
  return { _tag: 'PeerMalformed', step: STEP, peer, detail };
}

function pickAnswer(
  address: string,
  answers: Either<PeerError, readonly PortionAnswer[]>,
  index: number,
): Either<PeerError, PortionAnswer> {
  if (isLeft(answers)) {
    return answers;
  }
  const answer = answers.right[index];
  return answer === undefined ? left(makeError(address, 'an answer is missing')) : right(answer);
}

/** Addresses are those at which owners are asked. */
export default class PortionOutbox {
  private readonly batches = new Map<string, Batch>();

  constructor(
    private readonly client: QuotaClient,
    private readonly counts: QuotaCounts,
    private readonly clock: Clock,
  ) {}

  /** Resolves with the answer to one portion. Whatever waits for the same owner is sent with an urgent one. */
  send(
    address: string,
    requested: RequestedPortion,
    timeoutMs: number,
    isUrgent: boolean,
  ): Promise<SentPortion> {
    return new Promise((settle) => {
      const batch = this.findBatch(address, timeoutMs);
      batch.portions.push({ requested, settle });
      if (batch.portions.length >= MAX_PORTIONS) {
        this.flush(address, timeoutMs);
      } else if (isUrgent && !batch.isUrgent) {
        batch.isUrgent = true;
        // Portions of the same turn join the call.
        queueMicrotask(() => this.flushBatch(address, batch, timeoutMs));
      }
    });
  }

  private findBatch(address: string, timeoutMs: number): Batch {
    const known = this.batches.get(address);
    if (known !== undefined) {
      return known;
    }
    const timer = this.clock.startTimer(JOIN_MS, () => this.flush(address, timeoutMs));
    const batch: Batch = { portions: [], timer, isUrgent: false };
    this.batches.set(address, batch);
    return batch;
  }

  private flushBatch(address: string, batch: Batch, timeoutMs: number): void {
    if (this.batches.get(address) === batch) {
      this.flush(address, timeoutMs);
    }
  }

  private flush(address: string, timeoutMs: number): void {
    const batch = this.batches.get(address);
    if (batch !== undefined) {
      this.batches.delete(address);
      batch.timer?.cancel();
      this.call(address, batch.portions, timeoutMs);
    }
  }

  private call(address: string, portions: readonly QueuedPortion[], timeoutMs: number): void {
    const askedAt = { monotonicMs: this.clock.getMonotonicMs(), wallMs: this.clock.getWallMs() };
    const requested = portions.map((portion) => portion.requested);
    const settleAll = (answers: Either<PeerError, readonly PortionAnswer[]>): void => {
      portions.forEach(({ settle }, index) => {
        settle({ answer: pickAnswer(address, answers, index), askedAt });
      });
    };
    this.counts.calls += 1;
    this.client
      .requestPortions(address, requested, timeoutMs)()
      .then(settleAll, (error: unknown) => {
        settleAll(left(makeError(address, String(error))));
      });
  }
}
