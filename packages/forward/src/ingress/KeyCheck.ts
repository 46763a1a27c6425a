/**
 * Decides by its key whether a request is admitted.
 *
 * No message or field of a refusal holds the key.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type Customer from '@burdockcove/types/Customer';
import type KeyRule from '@burdockcove/types/KeyRule';
import type RequestFailure from '@burdockcove/types/RequestFailure';
import type Steering from '@burdockcove/types/Steering';
import makeNotRun from '../makeNotRun.js';
import type CallerProtocol from './CallerProtocol.js';
import type KeyLimits from './KeyLimits.js';

const STEP = 'check the key';

/** Reads the age of what is known anew for each request. */
export default class KeyCheck {
  constructor(
    private readonly protocol: CallerProtocol,
    private readonly limits: KeyLimits,
  ) {}

  /** Returns the customer of the request, undefined where no key is needed. */
  checkKey(
    rule: KeyRule,
    steering: Steering,
    headers: IncomingHttpHeaders,
    peer: string,
  ): Either<RequestFailure, Customer | undefined> {
    if (rule !== 'required') {
      return right(undefined);
    }
    const ageMs = this.limits.getVerifiedAgeMs();
    if (ageMs > this.limits.getMaxKnownKeyAgeMs()) {
      const detail = 'this entry VM does not know lately enough which keys are revoked';
      return left(makeNotRun('stale-keys', STEP, peer, detail));
    }
    const key = this.readKey(headers);
    const customer = key === undefined ? undefined : steering.findCustomer(key);
    if (customer !== undefined) {
      return right(customer);
    }
    // A newer configuration may hold the key, or may have made the route public.
    if (ageMs > this.limits.getMaxUnknownKeyAgeMs()) {
      const detail = 'this entry VM does not know lately enough which keys there are';
      return left(makeNotRun('stale-keys', STEP, peer, detail));
    }
    const detail = key === undefined ? 'the request has no key' : 'the key belongs to no customer';
    return left(makeNotRun('unknown-key', STEP, peer, detail));
  }

  private readKey(headers: IncomingHttpHeaders): string | undefined {
    const { keyHeader } = this.protocol;
    const key = keyHeader === undefined ? undefined : headers[keyHeader];
    return typeof key === 'string' && key !== '' ? key : undefined;
  }
}
