/**
 * Responses and requests whose bodies come in pieces of any size. Guards against a process that ends because its heap is
 * full of pieces of a few bytes each, or that serves nobody else while it passes them on.
 */
import { expect } from 'chai';
import ByteCollector from '../src/exchange/ByteCollector.js';
import FakeResponse from './__fixtures__/FakeResponse.js';
import FakeSource from './__fixtures__/FakeSource.js';
import ForwardHarness from './__fixtures__/ForwardHarness.js';
import pause from './__fixtures__/pause.js';
import RawCaller from './__fixtures__/RawCaller.js';
import RawTarget from './__fixtures__/RawTarget.js';

const KB = 1024;
/** What one read from a target may hold. */
const READ_BYTES = 64 * KB;
const SIZES = [1, 2, 3, 4, 7, 60, 1000, 20_000, READ_BYTES];
/** Writes that a response may have waiting: its first 64 KiB and what comes until the target is paused. */
const MAX_WAITING_WRITES = 16;
const MAX_PIECES_PER_TURN = 1024;
const READS = 20;
const DEADLINE_MS = 3000;

/** Lets other work have its turn. */
function waitForTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('a body in small pieces', () => {
  SIZES.forEach((size) => {
    it(`costs few writes to a caller that does not read: pieces of ${size} bytes`, async () => {
      const response = new FakeResponse(false);
      const source = new FakeSource(response);
      let isOver = false;
      for (let turns = 0; turns < 1000 && !isOver; turns += 1) {
        isOver = source.offer(size, READ_BYTES) === 0;
        await waitForTurn();
      }
      expect(isOver).to.equal(true);
      expect(response.writes).to.be.within(1, MAX_WAITING_WRITES);
      expect(response.bytes).to.be.below(3 * READ_BYTES);
    });

    it(`leaves others their turn and arrives whole: pieces of ${size} bytes`, async () => {
      const response = new FakeResponse(true);
      const source = new FakeSource(response);
      let sent = 0;
      let turns = 0;
      for (; turns < READS; turns += 1) {
        const passed = source.offer(size, READ_BYTES);
        expect(passed).to.be.within(1, MAX_PIECES_PER_TURN);
        sent += passed * size;
        await waitForTurn();
      }
      source.end();
      expect(response.bytes).to.equal(sent);
      expect(response.writes).to.be.at.most(turns + Math.ceil(sent / (16 * KB)));
    });

    it(`is held in few blocks: pieces of ${size} bytes`, () => {
      const collector = new ByteCollector();
      const pieces = Array.from({ length: Math.ceil(READ_BYTES / size) }, (_, index) =>
        Buffer.alloc(size, index),
      );
      pieces.forEach((piece) => collector.append(piece));
      expect(collector.length).to.equal(pieces.length * size);
      const blocks = collector.take();
      expect(blocks.length).to.be.below(MAX_WAITING_WRITES);
      expect(Buffer.concat(blocks).equals(Buffer.concat(pieces))).to.equal(true);
      expect(collector.takeJoined()).to.have.length(0);
    });
  });
});

describe('bodies in chunks of one byte from targets', () => {
  const target = new RawTarget('t1');
  let harness: ForwardHarness;

  beforeEach(async () => {
    harness = new ForwardHarness([await target.start()], {
      service: { deadlineMs: DEADLINE_MS },
      ip: '127.0.9.47',
    });
    await harness.start();
  });

  afterEach(async () => {
    await harness.stop();
    await target.stop();
    target.connections.length = 0;
  });

  it('arrive whole, with their trailers', async () => {
    const body = Array.from({ length: 150_000 }, (_, index) => 'abcdefghij'[index % 10]).join('');
    const chunks = [...body].map((letter) => `1\r\n${letter}\r\n`).join('');
    target.script = ({ socket }) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: x-end\r\n\r\n');
      socket.write(`${chunks}0\r\nX-End: yes\r\n\r\n`);
    };
    const caller = new RawCaller(harness.server.getAddress());
    caller.write('GET /once HTTP/1.1\r\nHost: ledger.example\r\nConnection: close\r\n\r\n');
    await caller.waitFor(/X-End: yes\r\n\r\n$/i);
    const [, framed = ''] = caller.received.split(/\r\n\r\n(.*)/s);
    const received = framed.replace(/(^|\r\n)[0-9a-f]+\r\n/g, '').replace(/X-End: yes.*/is, '');
    expect(received === body).to.equal(true);
    caller.close();
  });

  it('without end leave requests to other targets served', async () => {
    const piece = Buffer.from('1\r\na\r\n'.repeat(500));
    const floods: NodeJS.Timeout[] = [];
    target.script = ({ socket, received }) => {
      if (!received.toString('latin1').includes('/repeatable/endless')) {
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone');
        return;
      }
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      const flood = setInterval(() => {
        if (!socket.writableNeedDrain && !socket.destroyed) {
          socket.write(piece);
        }
      }, 1);
      floods.push(flood);
    };
    const callers = Array.from({ length: 10 }, () => new RawCaller(harness.server.getAddress()));
    callers.forEach((caller) =>
      caller.write('GET /repeatable/endless HTTP/1.1\r\nHost: ledger.example\r\n\r\n'),
    );
    await pause(500);
    for (let index = 0; index < 5; index += 1) {
      const { status } = (await harness.sendRequest(String(index), '/once')) as { status: number };
      expect(status).to.equal(200);
    }
    callers.forEach((caller) => caller.close());
    floods.forEach((flood) => clearInterval(flood));
  });
});
