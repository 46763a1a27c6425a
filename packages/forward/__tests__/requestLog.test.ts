/**
 * What a request's log line tells about waits and unread bodies.
 */
import { expect } from 'chai';
import FakeClock from '@burdockcove/runtime/FakeClock';
import LogRateLimiter from '@burdockcove/runtime/LogRateLimiter';
import Logger from '@burdockcove/runtime/Logger';
import type Choice from '../src/Choice.js';
import type CallerRequest from '../src/exchange/CallerRequest.js';
import RequestLogEntry from '../src/exchange/RequestLogEntry.js';
import buildTarget from './__fixtures__/buildTarget.js';
import SERVICE from './__fixtures__/SERVICE.js';

describe('the log line of a request', () => {
  it('has the time at which each attempt began, and for how long the body was not read', () => {
    const lines: string[] = [];
    const logger = new Logger('info', 'json', 'test', {
      writeLine: (line) => lines.push(line),
      rateLimiter: new LogRateLimiter(new FakeClock(), 10, 5),
    });
    const request = { id: '1', service: SERVICE, plan: {}, receivedAtMs: 1000 };
    const entry = new RequestLogEntry(logger, request as CallerRequest);
    const choice = { target: buildTarget('a', '127.0.0.1:1') } as Choice;
    const end = { latencyMs: 30, receivedBytes: 0, headSent: false, status: 0, detail: '' };
    entry.addAttempt(choice, { ...end, _tag: 'InDoubt', cause: 'caller-gone' }, 2234.4);
    entry.logOutcome('caller-gone', 1300, 812.6);
    const line = JSON.parse(lines[0] ?? '{}') as Record<string, unknown>;
    expect(line).to.include({ message: 'request ended: caller-gone', bodyUnreadMs: 813 });
    expect(line.attempts).to.have.nested.property('[0].sentAfterMs', 1234);
  });
});
