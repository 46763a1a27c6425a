/**
 * Callers that leave while the entry VM does not read their connections, or while their responses are held back.
 */
import { expect } from 'chai';
import ForwardHarness from './__fixtures__/ForwardHarness.js';
import pause from './__fixtures__/pause.js';
import RawCaller from './__fixtures__/RawCaller.js';
import RawTarget from './__fixtures__/RawTarget.js';

/** Time within which work for a caller that left must have ended, in milliseconds. */
const MAX_NOTICE_MS = 500;
const CHOICE_MS = 1500;
const POLL_INTERVAL_MS = 10;
const HEAD = 'Host: ledger.example\r\n';
const LARGE_BODY_BYTES = 60_000_000;
const CHUNK = Buffer.alloc(100_000);

function buildGet(path: string): string {
  return `GET ${path} HTTP/1.1\r\n${HEAD}\r\n`;
}

function buildUpload(bytes: number): string {
  return `POST /once HTTP/1.1\r\n${HEAD}Content-Length: ${bytes}\r\n\r\n`;
}

describe('callers that leave while their connections are paused', () => {
  const target = new RawTarget('t1');
  let harness: ForwardHarness;
  let caller: RawCaller;
  let choiceMs: number;
  let streaming: NodeJS.Timeout | undefined;

  async function waitForTarget(text: string): Promise<void> {
    while (!target.connections.some(({ received }) => received.includes(text))) {
      await pause(POLL_INTERVAL_MS);
    }
  }

  /** Responds with a large body to requests for the path, as fast as it is accepted. */
  function streamResponses(path: string): void {
    target.script = ({ socket, received }) => {
      if (received.includes(path)) {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${LARGE_BODY_BYTES}\r\n\r\n`);
        streaming = setInterval(() => socket.writableNeedDrain || socket.write(CHUNK), 1);
      }
    };
  }

  /** Leaves and expects that all attempts are cancelled in time. */
  async function expectCancelled(how: 'end' | 'reset', attempts: number): Promise<void> {
    const { results } = harness.chooser;
    expect(results).to.have.length(0);
    const leftAtMs = Date.now();
    caller.leave(how);
    while (results.length < attempts && Date.now() - leftAtMs < MAX_NOTICE_MS) {
      await pause(POLL_INTERVAL_MS);
    }
    const expected = Array.from({ length: attempts }, () => 'cancelled');
    expect(results.map(({ ended }) => ended)).to.deep.equal(expected);
  }

  beforeEach(async () => {
    choiceMs = 0;
    harness = new ForwardHarness([await target.start()], {
      service: { deadlineMs: 15_000 },
      ip: '127.0.9.41',
      chooser: (inner) => ({
        chooseTarget: async (request) => {
          await pause(choiceMs);
          return inner.chooseTarget(request);
        },
      }),
    });
    await harness.start();
    caller = new RawCaller(harness.server.getAddress());
  });

  afterEach(async () => {
    clearInterval(streaming);
    caller.close();
    await harness.stop();
    target.script = () => undefined;
    await target.stop();
    target.connections.length = 0;
  });

  (['end', 'reset'] as const).forEach((how) => {
    [30, 100, 400, 3000].forEach((kilobytes) => {
      // Guards against work for a caller that left while a body over 64 KB waited, unread, for a target.
      it(`sends nothing of a body of ${kilobytes} KB if the caller left before the choice (${how})`, async () => {
        const bytes = kilobytes * 1000;
        choiceMs = CHOICE_MS;
        caller.write(buildUpload(bytes));
        await caller.writeBody(bytes, 300);
        await pause(300);
        caller.leave(how);
        await pause(CHOICE_MS);
        expect(target.connections.map(({ received }) => received.length)).to.deep.equal([]);
      });
    });

    // Guards against work for a caller that left while its body was held back by a target that does not read.
    it(`cancels a large upload to a target that does not read (${how})`, async () => {
      target.script = ({ socket }) => socket.pause();
      caller.write(buildUpload(LARGE_BODY_BYTES));
      await caller.writeBody(LARGE_BODY_BYTES, 300);
      await waitForTarget('POST /once');
      await expectCancelled(how, 1);
    });

    it(`cancels an upload behind another request (${how})`, async () => {
      caller.write(buildGet('/stock/a'));
      await waitForTarget('/stock/a');
      target.script = ({ socket, received }) => received.includes('/once') && socket.pause();
      caller.write(buildUpload(400_000));
      await caller.writeBody(400_000, 300);
      await waitForTarget('POST /once');
      await expectCancelled(how, 2);
    });

    it(`cancels a request whose response the caller does not read (${how})`, async () => {
      streamResponses('/stock');
      caller.stopReading();
      caller.write(buildGet('/stock'));
      await waitForTarget('/stock');
      await pause(CHOICE_MS);
      await expectCancelled(how, 1);
    });

    it(`cancels requests behind a response that the caller does not read (${how})`, async () => {
      streamResponses('/stock/large');
      caller.stopReading();
      caller.write(`${buildGet('/stock/large')}${buildGet('/stock/a')}${buildGet('/stock/b')}`);
      await waitForTarget('/stock/large');
      await waitForTarget('/stock/a');
      await pause(300);
      await expectCancelled(how, 3);
    });

    it(`never passes on requests that wait behind a response sent in part (${how})`, async () => {
      streamResponses('/stock/large');
      caller.stopReading();
      caller.write(buildGet('/stock/large'));
      await waitForTarget('/stock/large');
      await pause(300);
      caller.write(`${buildGet('/stock/a')}${buildGet('/stock/b')}`);
      await pause(300);
      await expectCancelled(how, 3);
      await pause(MAX_NOTICE_MS);
      expect(target.connections).to.have.length(1);
    });

    it(`cancels pipelined requests (${how})`, async () => {
      caller.write(`${buildGet('/stock/a')}${buildGet('/stock/b')}`);
      await waitForTarget('/stock/b');
      await expectCancelled(how, 2);
    });
  });
});
