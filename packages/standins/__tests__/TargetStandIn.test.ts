/**
 * Slots, shedding and counting of the target stand-in.
 */
import { expect } from 'chai';
import { Client, request } from 'undici';
import SystemClock from '@burdockcove/runtime/SystemClock';
import TargetStandIn from '../src/target/TargetStandIn.js';

const OPTIONS = {
  name: 't1',
  ip: '127.0.0.1',
  port: 0,
  slots: 1,
  maxConnections: 10,
  serviceMs: 20,
  answerBytes: 10,
  coldMs: 0,
  coldFactor: 1,
  seed: 1,
};

describe('TargetStandIn', () => {
  let target: TargetStandIn;
  let url: string;

  beforeEach(async () => {
    target = new TargetStandIn(OPTIONS, new SystemClock());
    url = `http://${await target.start()}`;
  });

  afterEach(async () => {
    await target.crash();
  });

  it('sheds above its slots and says that the request was not run', async () => {
    const first = request(`${url}/a`, { headers: { 'request-id': 'a' } });
    while (target.getCounts().inFlight === 0) {
      await new Promise(setImmediate);
    }
    const second = await request(`${url}/b`, { headers: { 'request-id': 'b' } });
    expect(second.statusCode).to.equal(503);
    expect(second.headers['target-outcome']).to.equal('not-run');
    expect((await first).statusCode).to.equal(200);
    expect([...target.getCounts().runs.keys()]).to.deep.equal(['a']);
  });

  it('leaves open connections silent while new ones work', async () => {
    const old = new Client(url, { headersTimeout: 100 });
    expect((await old.request({ path: '/healthz', method: 'GET' })).statusCode).to.equal(200);
    target.silenceOpenConnections();
    const fresh = await request(`${url}/healthz`);
    expect(fresh.statusCode).to.equal(200);
    const failure = await old.request({ path: '/load', method: 'GET' }).catch((error) => error);
    expect(failure.code).to.equal('UND_ERR_HEADERS_TIMEOUT');
    await old.destroy();
  });
});
