/**
 * Callers that leave while the entry VM stands still, for example because it is frozen.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { expect } from 'chai';
import type TargetChooser from '../src/TargetChooser.js';
import ForwardHarness from './__fixtures__/ForwardHarness.js';
import type OrderedChooser from './__fixtures__/OrderedChooser.js';
import type PeersMessage from './__fixtures__/PeersMessage.js';
import buildTarget from './__fixtures__/buildTarget.js';
import pause from './__fixtures__/pause.js';

const CALLERS = 10;
const STALL_MS = 1200;
const ANSWER_AT_MS = 200;
const LEAVE_AT_MS = 500;
const SETTLE_MS = 200;
const PENDING_TICKS = 100;
const HEAD = 'Host: ledger.example\r\n';
const GET = `GET /stock HTTP/1.1\r\n${HEAD}\r\n`;

/** Stops the thread, so that events are only handled once the time has passed. */
function standStill(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Resolves once what is queued has run, and before the event loop polls: connections are begun then, but not yet open. */
async function runPendingTicks(): Promise<void> {
  for (let tick = 0; tick < PENDING_TICKS; tick += 1) {
    await new Promise((resolve) => {
      process.nextTick(resolve);
    });
  }
}

(['end', 'reset'] as const).forEach((leave) => {
  describe(`callers that leave while the entry VM stands still (${leave})`, () => {
    let worker: Worker;
    let port: number;
    let harness: ForwardHarness;

    async function startHarness(
      connectionsPerTarget: number,
      chooser: (inner: OrderedChooser) => TargetChooser = (inner) => inner,
    ): Promise<void> {
      harness = new ForwardHarness([buildTarget('a', `127.0.0.1:${port}`)], {
        service: { deadlineMs: 10_000, connectionsPerTarget },
        ip: '127.0.9.42',
        maxEntryVms: 1,
        chooser,
      });
      await harness.start();
    }

    function post(message: PeersMessage): void {
      worker.postMessage(message);
    }

    function postRequests(count: number, text: string): void {
      const address = harness.server.getAddress();
      for (let i = 0; i < count; i += 1) {
        post({ _tag: 'Send', address, text });
      }
    }

    async function sendRequests(count: number, text: string): Promise<void> {
      const before = harness.server.countInFlight();
      postRequests(count, text);
      while (harness.server.countInFlight() < before + count) {
        await pause(10);
      }
      await pause(SETTLE_MS);
    }

    function runPeers(rest = ''): void {
      post({ _tag: 'Run', answerAtMs: ANSWER_AT_MS, rest, leaveAtMs: LEAVE_AT_MS, leave });
    }

    async function countAtTarget(): Promise<number> {
      await pause(SETTLE_MS);
      post({ _tag: 'Count' });
      const [count] = (await once(worker, 'message')) as [number];
      return count;
    }

    beforeEach(async () => {
      worker = new Worker(new URL('./__fixtures__/peersWorker.mjs', import.meta.url));
      [port = 0] = (await once(worker, 'message')) as [number];
    });

    afterEach(async () => {
      await harness.stop();
      await worker.terminate();
    });

    // Guards against requests that are sent when a connection becomes free, before the end of their callers is read.
    it('sends no request that waited for a connection', async () => {
      await startHarness(1);
      await sendRequests(1, GET);
      await sendRequests(CALLERS, GET);
      runPeers();
      standStill(STALL_MS);
      expect(await countAtTarget()).to.equal(1);
    });

    // Guards against requests that are sent when a slot becomes free, before the end of their callers is read.
    it('sends no request that waited for a slot', async () => {
      let release: () => void = () => undefined;
      const released = new Promise<void>((resolve) => {
        release = resolve;
      });
      let chosen = 0;
      await startHarness(40, (inner) => ({
        chooseTarget: async (request) => {
          chosen += 1;
          if (chosen > 1) {
            await released;
            return inner.chooseTarget(request);
          }
          const choice = await inner.chooseTarget(request);
          return '_tag' in choice && choice._tag === 'Right'
            ? { ...choice, right: { ...choice.right, reportResult: release } }
            : choice;
        },
      }));
      await sendRequests(1, GET);
      await sendRequests(CALLERS, GET);
      runPeers();
      standStill(STALL_MS);
      expect(await countAtTarget()).to.equal(1);
    });

    // Guards against requests that are written as soon as a connection opens, before the end of their callers is read.
    it('sends no request whose connection to the target was being opened', async () => {
      let arrived = 0;
      let open: () => void = () => undefined;
      const opened = new Promise<void>((resolve) => {
        open = resolve;
      });
      const stall = (): void => {
        runPeers();
        standStill(STALL_MS);
      };
      await startHarness(40, (inner) => ({
        chooseTarget: async (request) => {
          arrived += 1;
          if (arrived === CALLERS) {
            open();
            runPendingTicks().then(stall, stall);
          }
          await opened;
          return inner.chooseTarget(request);
        },
      }));
      postRequests(CALLERS, GET);
      await opened;
      await pause(SETTLE_MS);
      expect(await countAtTarget()).to.equal(0);
    });

    // Guards against requests that are sent at the last byte of their bodies, before the end of their callers is read.
    it('sends no request whose body was completed meanwhile', async () => {
      await startHarness(40);
      // Leaves an open connection to the target, on which a request is written at once.
      post({ _tag: 'Answer' });
      expect(await harness.sendRequest('before', '/stock')).to.have.property('_tag', 'Answer');
      post({ _tag: 'Hold' });
      const body = 'x'.repeat(2000);
      const start = `POST /stock HTTP/1.1\r\n${HEAD}Content-Length: ${2 * body.length}\r\n\r\n${body}`;
      await sendRequests(CALLERS, start);
      runPeers(body);
      standStill(STALL_MS);
      expect(await countAtTarget()).to.equal(1);
    });
  });
});
