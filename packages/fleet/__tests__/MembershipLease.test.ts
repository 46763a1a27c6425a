/**
 * Registration of an entry VM that starts, and its calls to the store.
 */
import { expect } from 'chai';
import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { none } from 'fp-ts/lib/Option.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import Logger from '@burdockcove/runtime/Logger';
import waitFor from '@burdockcove/runtime/waitFor';
import type Store from '@burdockcove/store/Store';
import StoreEra from '@burdockcove/store/StoreEra';
import type StoreEntry from '@burdockcove/store/StoreEntry';
import type StoreTransaction from '@burdockcove/store/StoreTransaction';
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
  let own: StoreEntry | undefined;
  let hasOwn: boolean;
  /** Time of day in the value that was written last. */
  let written: number;
  let delayMs: number;
  let stop: AbortController;
  let era: StoreEra;

  beforeEach(() => {
    clock = new FakeClock();
    calls = [];
    isReady = false;
    granted = right('7');
    remainingS = 4;
    own = undefined;
    hasOwn = true;
    written = NaN;
    delayMs = 0;
    stop = new AbortController();
    era = new StoreEra();
    const record = <Value>(name: string, getValue: () => Value) => {
      calls.push(name);
      return async () => {
        await (delayMs > 0 ? waitFor(clock, delayMs) : undefined);
        return getValue();
      };
    };
    const store = {
      grantLease: () => record('grant', () => granted),
      commitTransaction: ({ compares, puts }: StoreTransaction) => {
        written = Number(puts[0]?.value.split('@')[0]);
        const [{ revision } = { revision: NaN }] = compares;
        return record(revision === 0 ? 'create' : `replace at ${revision}`, () =>
          right({ committed: revision === 0 || hasOwn, revision: 9 }),
        );
      },
      readKey: () => record('read', () => right(none)),
      keepAlive: () => record('keep', () => right(remainingS)),
      revokeLease: () => record('revoke', () => right(undefined)),
    } as unknown as Store;
    const logger = new Logger('silent', 'json');
    lease = new MembershipLease(
      store,
      {
        key: 'k',
        buildValue: (registeredAtMs, inEra) => `${registeredAtMs}@${inEra}`,
        readRegisteredAt: (value, inEra) => {
          const [time = '', writtenIn = '0'] = value.split('@');
          return time === '' || Number(writtenIn) !== inEra ? undefined : Number(time);
        },
      },
      clock,
      logger,
      () => isReady,
      { findOwn: () => own, hasApplied: () => false },
      era,
    );
    lease.run(stop.signal).catch(() => undefined);
  });

  afterEach(() => stop.abort());

  it('makes no call before the VM is ready, and registers within 50 ms from then on', async () => {
    await clock.advance(5000);
    expect(calls).to.deep.equal([]);
    isReady = true;
    await clock.advance(50);
    expect(calls).to.deep.equal(['grant', 'create']);
  });

  it('renews about once a second, and registers again when the lease has expired', async () => {
    isReady = true;
    await clock.advance(50);
    await clock.advance(10_000);
    expect(calls.filter((call) => call === 'keep').length).to.be.within(7, 10);
    remainingS = 0;
    await clock.advance(1300);
    expect(calls.slice(-3)).to.deep.equal(['keep', 'grant', 'create']);
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

  // Guards against two owners: what a VM does as a member must end before others may take its lease for expired.
  it('counts the life of the lease from when its renewal was requested', async () => {
    expect(lease.getValidUntilMs()).to.equal(-Infinity);
    isReady = true;
    delayMs = 300;
    await clock.advance(1000);
    expect(lease.getValidUntilMs()).to.equal(4000 + 40);
    await clock.advance(1300);
    expect(lease.getValidUntilMs()).to.equal(640 + 1300 + 4000);
    remainingS = 2;
    await clock.advance(1600);
    expect(lease.getValidUntilMs()).to.equal(640 + 2900 + 2000);
    delayMs = 0;
    await lease.deregister();
    expect(lease.getValidUntilMs()).to.equal(-Infinity);
  });

  // Guards against a VM that was frozen with its monotonic clock and takes its lease for valid.
  it('ends the life of the lease by the time of day, too', async () => {
    isReady = true;
    await clock.advance(50);
    clock.shiftWallClock(60_000);
    expect(lease.getValidUntilMs()).to.be.below(clock.getMonotonicMs());
  });

  // Guards against a successor that does not know of this VM: a registration counts from its writing, gaps end it.
  it('knows since when it has been registered without a gap', async () => {
    expect(lease.getRegisteredSinceMs()).to.equal(Infinity);
    await clock.advance(1000);
    isReady = true;
    await clock.advance(50);
    const sinceMs = lease.getRegisteredSinceMs();
    expect(sinceMs).to.be.within(1000, 1050);
    await clock.advance(10_000);
    expect(lease.getRegisteredSinceMs()).to.equal(sinceMs);
    remainingS = 0;
    await clock.advance(1300);
    expect(lease.getRegisteredSinceMs()).to.be.above(11_000);
    await lease.deregister();
    expect(lease.getRegisteredSinceMs()).to.equal(Infinity);
  });

  // Guards against a process that takes a registration of a moment ago for one that all other VMs know of.
  it('has been registered for as long as the entry of its earlier process that it replaces', async () => {
    clock.shiftWallClock(60_000);
    own = { key: 'k', value: '58000', revision: 5 };
    isReady = true;
    await clock.advance(50);
    expect(calls).to.deep.equal(['grant', 'replace at 5']);
    expect(lease.getRegisteredSinceMs()).to.equal(-2000);
    expect(written).to.equal(58_000);
  });

  ['', '70000'].forEach((value) => {
    it(`has been registered from now on if that entry holds the time "${value}"`, async () => {
      clock.shiftWallClock(60_000);
      own = { key: 'k', value, revision: 5 };
      isReady = true;
      await clock.advance(50);
      expect(calls).to.deep.equal(['grant', 'replace at 5']);
      expect(lease.getRegisteredSinceMs()).to.be.within(0, 50);
      expect(written).to.be.within(60_000, 60_050);
    });
  });

  // Guards against two owners: the entry was gone before the store returned, and who took over has lost its own.
  it('has not been registered all along by an entry of an earlier era of the store', async () => {
    await clock.advance(60_000);
    era.record(2);
    own = { key: 'k', value: '1000@1', revision: 5 };
    isReady = true;
    await clock.advance(50);
    expect(calls).to.deep.equal(['grant', 'replace at 5']);
    expect(lease.getRegisteredSinceMs()).to.be.within(60_000, 60_050);
    expect(written).to.be.at.least(60_000);
  });

  it('has been registered all along by an entry of the present era', async () => {
    await clock.advance(60_000);
    era.record(2);
    own = { key: 'k', value: '1000@2', revision: 5 };
    isReady = true;
    await clock.advance(50);
    expect(lease.getRegisteredSinceMs()).to.equal(1000);
  });

  // Guards against a time before the write has taken effect, which may be as late as the end of its lease.
  it('writes a time of day at which the registration is surely there', async () => {
    clock.shiftWallClock(60_000);
    isReady = true;
    await clock.advance(50);
    expect(written).to.be.within(64_000, 64_050);
  });

  it('has not been registered all along if that entry is gone, or is its own of a moment ago', async () => {
    own = { key: 'k', value: '-60000', revision: 5 };
    hasOwn = false;
    isReady = true;
    await clock.advance(50);
    expect(calls).to.deep.equal(['grant', 'replace at 5', 'read', 'create']);
    expect(lease.getRegisteredSinceMs()).to.be.within(0, 50);
    hasOwn = true;
    remainingS = 0;
    await clock.advance(1300);
    expect(calls.slice(-3)).to.deep.equal(['keep', 'grant', 'replace at 5']);
    expect(lease.getRegisteredSinceMs()).to.be.above(1000);
  });
});
