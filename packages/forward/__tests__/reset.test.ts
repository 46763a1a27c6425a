/**
 * Requests that are cancelled while the target does not read them.
 */
import { createServer, type AddressInfo, type Server } from 'node:net';
import { expect } from 'chai';
import buildTarget from './__fixtures__/buildTarget.js';
import ForwardHarness from './__fixtures__/ForwardHarness.js';

describe('a cancelled request', () => {
  let server: Server;
  let harness: ForwardHarness;
  let ended: Promise<string>;

  beforeEach(async () => {
    server = createServer();
    ended = new Promise((resolve) => {
      server.on('connection', (socket) => {
        socket.resume();
        socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? 'error'));
        socket.on('end', () => resolve('orderly end'));
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.9.31', resolve);
    });
    const { address, port } = server.address() as AddressInfo;
    harness = new ForwardHarness([buildTarget('a', `${address}:${port}`)], { ip: '127.0.9.3' });
    await harness.start();
  });

  afterEach(async () => {
    await harness.stop();
    server.close();
  });

  it('resets the connection to the target, so that bytes in flight are not delivered later', async () => {
    const abort = new AbortController();
    const result = harness.sendRequest('1', '/stock', { signal: abort.signal });
    setTimeout(() => abort.abort(), 100);
    await result;
    expect(await ended).to.equal('ECONNRESET');
  });

  it('resets the connection at the deadline', async () => {
    const headers = { 'burdockcove-deadline-ms': '100' };
    expect(await harness.sendRequest('1', '/once', { headers })).to.include({ status: 504 });
    expect(await ended).to.equal('ECONNRESET');
  });
});

describe('a connection that the target resets at once', () => {
  let server: Server;
  let harness: ForwardHarness;

  beforeEach(async () => {
    server = createServer((socket) => socket.resetAndDestroy());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.9.32', resolve);
    });
    const { address, port } = server.address() as AddressInfo;
    harness = new ForwardHarness([buildTarget('a', `${address}:${port}`)], { ip: '127.0.9.33' });
    await harness.start();
  });

  afterEach(async () => {
    await harness.stop();
    server.close();
  });

  // Guards against a request that waits until its deadline on a connection that ended before it was used.
  ['/stock', '/once'].forEach((path) => {
    it(`is not waited for (${path})`, async () => {
      const startMs = Date.now();
      const result = await harness.sendRequest('1', path);
      expect(result).to.have.property('status').that.is.oneOf([502, 503]);
      expect(Date.now() - startMs).to.be.lessThan(1000);
    });
  });
});
