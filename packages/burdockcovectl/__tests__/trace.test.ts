/**
 * The way from a request's id to its cause.
 */
import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import snapshot from 'snap-shot-it';
import runTrace from '../src/commands/runTrace.js';
import mergeLogs from '../src/trace/mergeLogs.js';

const UNKNOWN = {
  time: '2026-12-04T09:00:01.000Z',
  level: 'WARN',
  message: 'request ended: unknown',
  requestId: 'r7',
  service: 'r-order',
  semantics: 'at-most-once',
  outcome: 'unknown',
  durationMs: 240,
  attempts: [
    { target: 't1', address: '10.0.0.9:80', ended: 'shed', status: 503, latencyMs: 12 },
    { target: 't2', address: '10.0.0.8:80', ended: 'broken', status: 0, latencyMs: 210 },
  ],
  step: 'exchange',
  peer: '10.0.0.8:80',
  detail: 'other side closed',
};

describe('trace', () => {
  it('tells what happened to a request, in words and with its lines', () => {
    const log = [
      `vm-1 ${JSON.stringify(UNKNOWN)}`,
      '{"message":"other","requestId":"r8"}',
      '{"cut r7',
    ];
    const traced = runTrace('r7', ['', log.join('\n')]);
    snapshot(isRight(traced) ? traced.right.lines : []);
  });

  it('refuses a request that no line names', () => {
    expect(isRight(runTrace('r9', [JSON.stringify(UNKNOWN)]))).to.equal(false);
  });

  it('keeps the order of a VM whose clock went back', () => {
    const build = (time: string, message: string) => ({ time, message });
    const merged = mergeLogs([
      [build('03', 'first of a'), build('01', 'second of a')],
      [build('02', 'first of b')],
    ]);
    expect(merged.map(({ message }) => message)).to.deep.equal([
      'first of b',
      'first of a',
      'second of a',
    ]);
  });
});
