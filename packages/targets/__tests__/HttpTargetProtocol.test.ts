/**
 * Interpretation of targets' responses and reports.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { left, right } from 'fp-ts/lib/Either.js';
import HttpTargetProtocol from '../src/HttpTargetProtocol.js';

const TIMEOUT_MS = 100;
const GOOD = '{"inFlight":2,"slots":3,"draining":false,"later":"field"}';

describe('HttpTargetProtocol', () => {
  const protocol = new HttpTargetProtocol(TIMEOUT_MS);
  let server: Server;
  let address: string;
  let status = 200;
  let body = '';

  before(async () => {
    server = createServer((_request, response) => {
      if (body === 'silent') {
        response.writeHead(status).flushHeaders();
        return;
      }
      response.writeHead(status).end(body);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.9.61', resolve);
    });
    address = `127.0.9.61:${(server.address() as AddressInfo).port}`;
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  it('returns not-run only for a 503 with the not-run header', () => {
    const shedHeaders = { 'target-outcome': 'not-run' };
    expect(protocol.interpretResponse(503, shedHeaders)).to.equal('not-run');
    expect(protocol.interpretResponse(503, {})).to.equal('answered');
    expect(protocol.interpretResponse(500, shedHeaders)).to.equal('answered');
    expect(protocol.interpretResponse(503, { 'target-outcome': 'maybe' })).to.equal('answered');
    const twice = { 'target-outcome': ['not-run', 'not-run'] };
    expect(protocol.interpretResponse(503, twice)).to.equal('answered');
  });

  it('reads health and load reports', async () => {
    body = GOOD;
    expect(await protocol.readHealth(address)()).to.deep.equal(right(true));
    expect(await protocol.readLoad(address)()).to.deep.equal(
      right({ inFlight: 2, slots: 3, draining: false }),
    );
    status = 500;
    expect(await protocol.readHealth(address)()).to.deep.equal(right(false));
    status = 200;
  });

  [
    ['no JSON', 'busy'],
    ['a negative count', '{"inFlight":-1,"slots":3,"draining":false}'],
    ['a missing field', '{"inFlight":1,"slots":3}'],
  ].forEach(([name, text]) => {
    it(`rejects a load report with ${name}`, async () => {
      body = text as string;
      const read = await protocol.readLoad(address)();
      expect(read).to.have.nested.property('left._tag', 'PeerMalformed');
      expect(read).to.have.nested.property('left.peer', address);
    });
  });

  it('returns an error for an oversized report, one that never ends, and an unreachable target', async () => {
    body = ' '.repeat(5000) + GOOD;
    expect(await protocol.readLoad(address)()).to.have.property('_tag', 'Left');
    body = 'silent';
    const timedOut = await protocol.readLoad(address)();
    expect(timedOut).to.have.nested.property('left._tag', 'PeerUnreachable');
    const unreachable = await protocol.readHealth('127.0.9.61:1')();
    expect(unreachable).to.deep.include({ _tag: left(0)._tag });
  });
});
