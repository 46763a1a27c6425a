/**
 * Lending of connections: limits, proof, and what is closed with a silent one.
 */
import { expect } from 'chai';
import { Registry } from 'prom-client';
import FakeClock from '@burdockcove/runtime/FakeClock';
import computeConnectionLimit from '../src/exchange/computeConnectionLimit.js';
import ConnectionPool from '../src/exchange/ConnectionPool.js';
import HeadLatency from '../src/exchange/HeadLatency.js';
import type TargetConnection from '../src/exchange/TargetConnection.js';
import ForwardMetrics from '../src/ForwardMetrics.js';

describe('ConnectionPool', () => {
  let clock: FakeClock;
  let pool: ConnectionPool;

  beforeEach(() => {
    clock = new FakeClock();
    pool = new ConnectionPool('127.0.9.71:1', clock, new ForwardMetrics(new Registry()));
  });

  function takeProven(limit: number): TargetConnection {
    const connection = pool.acquire(limit, false) as TargetConnection;
    connection.recordConfirmed();
    return connection;
  }

  it('shares the connections of a target evenly, and at least one each', () => {
    expect(computeConnectionLimit(330, 12)).to.equal(27);
    expect(computeConnectionLimit(330, 6000)).to.equal(1);
  });

  it('opens up to the limit, then lets wait in order', () => {
    const first = takeProven(2);
    takeProven(2);
    expect(pool.acquire(2, false)).to.equal(null);
    const served: string[] = [];
    pool.waitForFree(() => served.push('a'));
    pool.waitForFree(() => served.push('b'));
    pool.release(first, true);
    expect(served).to.deep.equal(['a']);
    expect(pool.acquire(2, false)).to.equal(first);
  });

  it('never lends a connection again whose exchange did not end cleanly', () => {
    const first = takeProven(2);
    pool.release(first, false);
    expect(pool.acquire(2, false)).not.to.equal(first);
    expect(pool.countOpen()).to.equal(1);
  });

  it('gives at-most-once requests a lately proven connection or a new one', async () => {
    const first = takeProven(1);
    pool.release(first, true);
    expect(pool.acquire(1, true)).to.equal(first);
    pool.release(first, true);
    await clock.advance(1500);
    const fresh = pool.acquire(1, true);
    expect(fresh).not.to.equal(first);
    expect(pool.countOpen()).to.equal(1);
  });

  it('closes idle connections not heard from since one went silent', async () => {
    const [old, heard] = [takeProven(3), takeProven(3)];
    pool.release(old, true);
    await clock.advance(100);
    heard.recordConfirmed();
    pool.release(heard, true);
    expect(pool.closeIdleUnconfirmed(50)).to.equal(1);
    expect(pool.acquire(3, false)).to.equal(heard);
  });

  it('suspects silence after a multiple of the usual latency, within bounds', async () => {
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
