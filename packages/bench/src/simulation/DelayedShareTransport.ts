/**
 * Calls of the core protocol in virtual time.
 */
import { left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type Clock from '@burdockcove/runtime/Clock';
import type LoanResponse from '@burdockcove/shares/LoanResponse';
import type LoanService from '@burdockcove/shares/LoanService';
import type LoanUpdate from '@burdockcove/shares/LoanUpdate';
import type ShareTransport from '@burdockcove/shares/ShareTransport';
import type PeerError from '@burdockcove/types/PeerError';
import sleep from './sleep.js';

/** Delivers loans after a delay each way; the planner's calls are not part of the simulations. */
export default class DelayedShareTransport implements ShareTransport {
  constructor(
    private readonly clock: Clock,
    private readonly services: ReadonlyMap<string, LoanService>,
    private readonly getOneWayMs: (peer: string) => number,
  ) {}

  updateLoans(peer: string, update: LoanUpdate): TaskEither<PeerError, LoanResponse> {
    return async () => {
      await sleep(this.clock, this.getOneWayMs(peer));
      const answer = this.services.get(peer)?.updateLoans(update);
      await sleep(this.clock, this.getOneWayMs(peer));
      return answer === undefined ? left(DelayedShareTransport.makeError(peer)) : right(answer);
    };
  }

  readShares(peer: string): TaskEither<PeerError, never> {
    return () => Promise.resolve(left(DelayedShareTransport.makeError(peer)));
  }

  readShift(peer: string): TaskEither<PeerError, never> {
    return () => Promise.resolve(left(DelayedShareTransport.makeError(peer)));
  }

  private static makeError(peer: string): PeerError {
    return { _tag: 'PeerUnreachable', step: 'simulated-call', peer, detail: 'not simulated' };
  }
}
