/**
 * Format and rate limit of log lines.
 */
import { expect } from 'chai';
import FakeClock from '../src/FakeClock.js';
import LogRateLimiter from '../src/LogRateLimiter.js';
import Logger from '../src/Logger.js';

describe('Logger with an output of its own', () => {
  let clock: FakeClock;
  let lines: Record<string, unknown>[];
  let logger: Logger;

  beforeEach(() => {
    clock = new FakeClock();
    lines = [];
    logger = new Logger('info', 'json', 'test', {
      writeLine: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
      rateLimiter: new LogRateLimiter(clock, 10, 5),
    });
  });

  it('writes one JSON line with time, level, message and fields', () => {
    logger.warn('store unavailable', { step: 'follow', revision: 7 });
    expect(lines).to.have.length(1);
    expect(lines[0]).to.include({
      level: 'WARN',
      message: 'store unavailable',
      step: 'follow',
      revision: 7,
    });
    expect(lines[0]?.time).to.be.a('string');
  });

  it('limits the lines of one kind and reports how many it omitted', async () => {
    Array.from({ length: 50 }).forEach(() => logger.info('request answered'));
    logger.info('target removed');
    expect(lines).to.have.length(6);
    await clock.advance(1000);
    logger.info('request answered');
    expect(lines.at(-1)).to.include({ message: 'request answered', leftOut: 45 });
  });
});
