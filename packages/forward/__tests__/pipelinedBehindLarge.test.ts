/**
 * Large responses with other requests behind them on the caller's connection.
 */
import { expect } from 'chai';
import ForwardHarness from './__fixtures__/ForwardHarness.js';
import pause from './__fixtures__/pause.js';
import RawCaller from './__fixtures__/RawCaller.js';
import RawTarget from './__fixtures__/RawTarget.js';

const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound';
const LARGE_BYTES = 100_000;
/** More than is held back of a response. */
const HUGE_BYTES = 3_000_000;
const STEP_MS = 200;

function buildGet(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: ledger.example\r\n\r\n`;
}

function buildLengthHead(bytes: number): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n`;
}

/** Returns the path of the latest request on the connection. */
function takePath(connection: RawTarget['connections'][number]): string {
  const [, path = ''] = /^GET (\S+)/.exec(connection.received.toString('latin1')) ?? [];
  Object.assign(connection, { received: Buffer.alloc(0) });
  return path;
}

describe('a large response', () => {
  const target = new RawTarget('t1');
  let harness: ForwardHarness;
  let caller: RawCaller;

  beforeEach(async () => {
    harness = new ForwardHarness([await target.start()], {
      service: { deadlineMs: 5000 },
      ip: '127.0.9.57',
    });
    await harness.start();
    caller = new RawCaller(harness.server.getAddress());
  });

  afterEach(async () => {
    caller.close();
    await harness.stop();
    await target.stop();
    target.connections.length = 0;
  });

  [
    ['with a length', buildLengthHead(LARGE_BYTES), 'x'.repeat(LARGE_BYTES / 2)],
    ['without a length', CHUNKED, `10000\r\n${'x'.repeat(0x10000)}\r\n10\r\nxx`],
  ].forEach(([how, head, part]) => {
    // Guards against LOST: responses of sound targets went with a large one whose head had been passed on.
    it(`${how} that breaks off takes no other response with it`, async () => {
      target.script = (connection) => {
        const { socket } = connection;
        return takePath(connection) === '/once/broken'
          ? socket.end(`${head}${part}`)
          : socket.write(WHOLE);
      };
      caller.write(`${buildGet('/once/broken')}${buildGet('/stock/a')}${buildGet('/stock/b')}`);
      await caller.waitFor(/502[^]*200 OK[^]*sound[^]*200 OK[^]*sound/);
      expect(caller.isClosed).to.equal(false);
    });
  });

  it('arrives whole with others behind it', async () => {
    target.script = (connection) =>
      connection.socket.write(
        takePath(connection) === '/stock/large'
          ? `${buildLengthHead(LARGE_BYTES)}${'x'.repeat(LARGE_BYTES)}`
          : WHOLE,
      );
    caller.write(`${buildGet('/stock/large')}${buildGet('/stock/a')}`);
    await caller.waitFor(/x{100000}HTTP\/1\.1 200 OK[^]*sound/);
  });

  ['whole', 'broken'].forEach((end) => {
    // Guards against LOST: a request was run whose response could only go with the one before it.
    it(`that has been sent in part, and will be ${end}, keeps those behind it from targets`, async () => {
      let isOver = false;
      const ranEarly: boolean[] = [];
      target.script = async (connection) => {
        const { socket } = connection;
        if (takePath(connection) !== '/once/huge') {
          ranEarly.push(!isOver);
          socket.write(WHOLE);
          return;
        }
        socket.write(`${buildLengthHead(HUGE_BYTES)}${'x'.repeat(HUGE_BYTES / 2)}`);
        await pause(STEP_MS);
        caller.write(buildGet('/stock/a'));
        await pause(STEP_MS);
        isOver = true;
        if (end === 'whole') {
          socket.write('x'.repeat(HUGE_BYTES / 2));
        } else {
          socket.destroy();
        }
      };
      caller.write(buildGet('/once/huge'));
      if (end === 'whole') {
        await caller.waitFor(/xHTTP\/1\.1 200 OK[^]*sound/);
        expect(ranEarly).to.deep.equal([false]);
      } else {
        await pause(4 * STEP_MS);
        expect(caller.isClosed).to.equal(true);
        expect(ranEarly).to.deep.equal([]);
      }
    });
  });
});
