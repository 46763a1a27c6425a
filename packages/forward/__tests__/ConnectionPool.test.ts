/**
 * Connection pool: limits, reuse for at-most-once requests, and the connections closed with a silent one.
 */
import { expect } from 'chai';
import { Registry } from 'prom-client';
import FakeClock from '@burdockcove/runtime/FakeClock';
import computeConnectionLimit from '../src/exchange/computeConnectionLimit.js';
import ConnectionPool from '../src/exchange/ConnectionPool.js';
import HeadLatency from '../src/exchange/HeadLatency.js';
import type TargetConnection from '../src/exchange/TargetConnection.js';
import ForwardMetrics from '../src/ForwardMetrics.js';

const ID = 'r1';

describe('ConnectionPool', () => {
  let clock: FakeClock;
  let pool: ConnectionPool;

  beforeEach(() => {
    clock = new FakeClock();
    pool = new ConnectionPool('127.0.9.71:1', clock, new ForwardMetrics(new Registry()));
  });

  function acquireConfirmed(limit: number): TargetConnection {
    const connection = pool.acquire(limit, false, ID) as TargetConnection;
    connection.recordConfirmed();
    return connection;
  }

  it('divides the connections of a target evenly among entry VMs, with at least one each', () => {
    expect(computeConnectionLimit(330, 12)).to.equal(27);
    expect(computeConnectionLimit(330, 6000)).to.equal(1);
  });

  it('opens connections up to the limit, then queues waiters in order', () => {
    const first = acquireConfirmed(2);
    acquireConfirmed(2);
    expect(pool.acquire(2, false, ID)).to.equal(null);
    const called: string[] = [];
    pool.waitForFree(() => called.push('a'));
    pool.waitForFree(() => called.push('b'));
    pool.release(first, true);
    expect(called).to.deep.equal(['a']);
    expect(pool.acquire(2, false, ID)).to.equal(first);
  });

  it('never reuses a connection whose exchange did not end cleanly', () => {
    const first = acquireConfirmed(2);
    pool.release(first, false);
    expect(pool.acquire(2, false, ID)).not.to.equal(first);
    expect(pool.countOpen()).to.equal(1);
  });

  it('gives at-most-once requests a recently confirmed connection or a new one', async () => {
    const first = acquireConfirmed(1);
    pool.release(first, true);
    expect(pool.acquire(1, true, ID)).to.equal(first);
    pool.release(first, true);
    await clock.advance(1500);
    const fresh = pool.acquire(1, true, ID);
    expect(fresh).not.to.equal(first);
    expect(pool.countOpen()).to.equal(1);
  });

  it('closes idle connections that received nothing since one went silent', async () => {
    const [stale, confirmed] = [acquireConfirmed(3), acquireConfirmed(3)];
    pool.release(stale, true);
    await clock.advance(100);
    confirmed.recordConfirmed();
    pool.release(confirmed, true);
    expect(pool.closeIdleUnconfirmed(50)).to.equal(1);
    expect(pool.acquire(3, false, ID)).to.equal(confirmed);
  });

  // Guards against REFUSED: a copy of an earlier refusal taken for the response to a new attempt of the same request.
  it('reuses a connection on which a request was refused for other requests only', () => {
    const refusing = acquireConfirmed(3);
    refusing.recordRefused(ID);
    pool.release(refusing, true);
    const other = pool.acquire(3, true, ID);
    expect(other).not.to.equal(refusing);
    expect(pool.acquire(3, true, 'r2')).to.equal(refusing);
  });

  it('sets the silence limit to a multiple of the peak latency, within bounds', async () => {
    const latency = new HeadLatency(clock);
    expect(latency.getSilenceLimitMs()).to.equal(3000);
    latency.record(5);
    expect(latency.getSilenceLimitMs()).to.equal(300);
    latency.record(200);
    expect(latency.getSilenceLimitMs()).to.equal(800);
    await clock.advance(10_000);
    expect(latency.getSilenceLimitMs()).to.equal(400);
  });
});
