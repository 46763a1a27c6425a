/**
 * Targets that shed some requests although they are not full: callers must retry at once, since a later response
 * would exceed the target latency.
 */
import { expect } from 'chai';
import buildRequestFailure from '../src/exchange/buildRequestFailure.js';

const TARGET_LATENCY_MS = 300;

function buildShed(inFlight: number) {
  return {
    _tag: 'Shed',
    status: 503,
    isMisdirected: false,
    latencyMs: 5,
    receivedBytes: 0,
    load: { inFlight, slots: 3, draining: false },
  } as const;
}

describe('buildRequestFailure', () => {
  it('lets the caller retry at once if the target has free slots', () => {
    const failure = buildRequestFailure(buildShed(1), 'peer');
    expect(failure).to.have.property('_tag', 'NotRun');
    expect(failure)
      .to.have.property('retryAfterMs')
      .that.is.below(TARGET_LATENCY_MS / 3);
  });

  it('delays the retry at a full target until some of its requests have ended', () => {
    const failure = buildRequestFailure(buildShed(5), 'peer');
    expect(failure).to.have.property('retryAfterMs').that.is.at.least(TARGET_LATENCY_MS);
  });

  it('lets the caller retry at once if another target will be chosen', () => {
    const end = {
      _tag: 'NotSent',
      cause: 'unreachable',
      detail: 'reset',
      latencyMs: 1,
      receivedBytes: 0,
    } as const;
    const failure = buildRequestFailure(end, 'peer');
    expect(failure)
      .to.have.property('retryAfterMs')
      .that.is.below(TARGET_LATENCY_MS / 3);
  });
});
