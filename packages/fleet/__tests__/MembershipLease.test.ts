/**
 * Registration of an entry VM that starts, and its calls to the store.
 */
import { expect } from 'chai';
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import type Store from '@burdockcove/store/Store';
import type StoreError from '@burdockcove/types/StoreError';
import MembershipLease from '../src/MembershipLease.js';

const UNAVAILABLE: StoreError = { _tag: 'StoreUnavailable', step: 's', peer: 'p', detail: '' };

describe('MembershipLease', () => {
  let clock: FakeClock;
  let calls: string[];
  let isReady: boolean;
  let granted: Either<StoreError, string>;
  let remainingS: number;
  let lease: MembershipLease;
  let stop: AbortController;

  beforeEach(() => {
    clock = new FakeClock();
    calls = [];
    isReady = false;
    granted = right('7');
    remainingS = 4;
    stop = new AbortController();
    const record = <Value>(name: string, getValue: () => Value) => {
      calls.push(name);
      return async () => getValue();
    };
    const store = {
      grantLease: () => record('grant', () => granted),
      commitTransaction: () => record('write', () => right({ _tag: 'Committed' })),
      keepAlive: () => record('keep', () => right(remainingS)),
      revokeLease: () => record('revoke', () => right(undefined)),
    } as unknown as Store;
    const logger = new Logger('silent', 'json');
    lease = new MembershipLease(store, 'k', 'v', clock, logger, () => isReady);
    lease.run(stop.signal).catch(() => undefined);
  });

  afterEach(() => stop.abort());

  it('makes no call before the VM is ready, and registers within 50 ms from then on', async () => {
    await clock.advance(5000);
    expect(calls).to.deep.equal([]);
    isReady = true;
    await clock.advance(50);
    expect(calls).to.deep.equal(['grant', 'write']);
  });

  it('renews about once a second, and registers again when the lease has expired', async () => {
    isReady = true;
    await clock.advance(50);
    await clock.advance(10_000);
    expect(calls.filter((call) => call === 'keep').length).to.be.within(7, 10);
    remainingS = 0;
    await clock.advance(1300);
    expect(calls.slice(-3)).to.deep.equal(['keep', 'grant', 'write']);
  });

  it('retries at most three times a second while the store is unavailable', async () => {
    granted = left(UNAVAILABLE);
    isReady = true;
    await clock.advance(10_000);
    expect(calls.length).to.be.within(10, 30);
  });

  it('makes no further call after it has deregistered', async () => {
    isReady = true;
    await clock.advance(50);
    await lease.deregister();
    calls.length = 0;
    await clock.advance(5000);
    expect(calls).to.deep.equal([]);
  });
});
