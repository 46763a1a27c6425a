/**
 * Keys that callers send, which tables keep.
 */
import type { IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { some } from 'fp-ts/lib/Option.js';
import FakeClock from '@burdockcove/runtime/FakeClock';
import WarmObjects from '../src/affinity/WarmObjects.js';
import CallerPipeline from '../src/exchange/CallerPipeline.js';
import CallerState from '../src/exchange/CallerState.js';
import ReadAheadBudget from '../src/exchange/ReadAheadBudget.js';
import DefaultCallerProtocol from '../src/ingress/DefaultCallerProtocol.js';
import RequestPlanner from '../src/ingress/RequestPlanner.js';
import limitKey from '../src/limitKey.js';
import buildSteering from './__fixtures__/buildSteering.js';
import SERVICE from './__fixtures__/SERVICE.js';

const LONG_KEYS = 2000;
const KEY_LENGTH = 15_000;
const MAX_KEY_LENGTH = 64;

describe('limitKey', () => {
  it('keeps keys of the usual length as they are', () => {
    expect(limitKey('member-17')).to.equal('member-17');
    expect(limitKey('k'.repeat(MAX_KEY_LENGTH))).to.equal('k'.repeat(MAX_KEY_LENGTH));
  });

  // Guards against FAULT: tables that are limited in number kept keys of 15 KB for each of hundreds of targets.
  it('shortens long keys, each to one of its own', () => {
    const keys = Array.from({ length: LONG_KEYS }, (_, i) => `${i}`.padStart(KEY_LENGTH, 'x'));
    const limited = keys.map((key) => limitKey(key));
    expect(Math.max(...limited.map(({ length }) => length))).to.be.at.most(MAX_KEY_LENGTH);
    expect(new Set(limited).size).to.equal(LONG_KEYS);
    expect(limitKey(keys[7] as string)).to.equal(limited[7]);
  });

  it('serves warm objects like the key itself', () => {
    const objects = new WarmObjects(new FakeClock());
    objects.record(limitKey('a'.repeat(KEY_LENGTH)));
    expect(objects.has(limitKey('a'.repeat(KEY_LENGTH)))).to.equal(true);
    expect(objects.has(limitKey('b'.repeat(KEY_LENGTH)))).to.equal(false);
  });

  it('is applied to the affinity keys of requests', () => {
    const protocol = new DefaultCallerProtocol();
    const key = 'k'.repeat(KEY_LENGTH);
    Object.assign(protocol, { readAffinityKey: () => key });
    const source = { getCurrent: () => some(buildSteering(SERVICE)) };
    const planned = new RequestPlanner(source, protocol).planRequest({
      message: {
        method: 'GET',
        url: '/stock',
        headers: { host: 'ledger.example' },
      } as IncomingMessage,
      head: { headers: [], deadlines: [], hostCount: 1 },
      peer: '127.0.0.1',
      caller: new CallerState(new AbortController().signal),
      pipeline: new CallerPipeline(new ReadAheadBudget(0)),
      receivedAtMs: 0,
    });
    expect(isRight(planned) && planned.right.affinityKey).to.equal(limitKey(key));
  });
});
