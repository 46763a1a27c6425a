/**
 * Targets that refuse part of their requests although they are not full: callers come back at once, not after the
 * answer would be too late.
 */
import { expect } from 'chai';
import buildRequestFailure from '../src/exchange/buildRequestFailure.js';

const AIM_MS = 300;

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

describe('describeEnd', () => {
  it('sends the caller back at once where the target has free slots', () => {
    const failure = buildRequestFailure(buildShed(1), 'peer');
    expect(failure).to.have.property('_tag', 'NotRun');
    expect(failure)
      .to.have.property('retryAfterMs')
      .that.is.below(AIM_MS / 3);
  });

  it('lets the caller of a full target wait until some of its requests have ended', () => {
    const failure = buildRequestFailure(buildShed(5), 'peer');
    expect(failure).to.have.property('retryAfterMs').that.is.at.least(AIM_MS);
  });

  it('sends the caller back at once where another target will be chosen', () => {
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
      .that.is.below(AIM_MS / 3);
  });
});
