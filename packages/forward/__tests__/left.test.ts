/**
 * Requests that are read only after their callers have left, as after a stall of the entry VM.
 */
import { connect } from 'node:net';
import { expect } from 'chai';
import ForwardHarness from './__fixtures__/ForwardHarness.js';
import FakeTarget from './__fixtures__/FakeTarget.js';
import buildTarget from './__fixtures__/buildTarget.js';

const CALLERS = 20;
const HEAD = 'Host: ledger.example\r\n';
const BODY = 'x'.repeat(2000);

/** Sends the request and leaves at once, so that both are read together; resolves when the connection is closed. */
function sendAndLeave(address: string, request: string): Promise<void> {
  const [host = '', port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) }, () => {
      socket.end(request);
    });
    socket.on('error', () => undefined);
    socket.resume();
    socket.on('close', () => resolve());
  });
}

describe('callers that left before their requests are read', () => {
  let target: FakeTarget;
  let harness: ForwardHarness;

  beforeEach(async () => {
    target = new FakeTarget('a', '127.0.9.23');
    await target.start();
    harness = new ForwardHarness([buildTarget('a', target.address)], { ip: '127.0.9.24' });
    await harness.start();
  });

  afterEach(async () => {
    await harness.stop();
    await target.stop();
  });

  [
    ['without a body', `GET /stock HTTP/1.1\r\n${HEAD}request-id: left\r\n\r\n`],
    [
      'with a body',
      `POST /once HTTP/1.1\r\n${HEAD}request-id: left\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
    ],
  ].forEach(([name, request = '']) => {
    it(`sends no request ${name} to a target`, async () => {
      // Opens the connection to the target, so that a request would be written at once.
      expect(await harness.sendRequest('before', '/stock')).to.have.property('_tag', 'Answer');
      const address = harness.server.getAddress();
      await Promise.all(Array.from({ length: CALLERS }, () => sendAndLeave(address, request)));
      expect(await harness.sendRequest('after', '/stock')).to.have.property('_tag', 'Answer');
      expect(target.runs.get('left') ?? 0).to.equal(0);
      expect(target.seenHeaders).to.have.length(2);
    });
  });
});
