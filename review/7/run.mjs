/* eslint-disable n/no-process-exit -- ends also if a process it started holds it open. */
/**
 * Some instances spoil a few of their answers: bytes without end. Counts the requests from kept connections that ran on
 * sound instances and whose connection was closed without an answer.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { readFile, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import BOUNDS from '../kit-2/BOUNDS.mjs';
import EntryProcess, { endWithThis } from '../kit-2/EntryProcess.mjs';
import StoreStandIn from '../kit-2/StoreStandIn.mjs';
import findLoopback from '../kit-2/findLoopback.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const BROKEN = 1;
const UNABLE = 2;

const ZONE = 'doo-otaru';
const HOST = 'labels.example';
/** Service, number of instances and milliseconds of work of each. */
const SERVICES = ['reprint-desk', '24', '1300', 'pickup-ledger', '20', '1700'];
const CLASSES = [
  { name: 'label-reprint', weight: 4.4, method: 'GET', path: '/reprint/1', deadlineMs: 8000 },
  {
    name: 'pickup-booking',
    weight: 2.5,
    method: 'POST',
    path: '/pickup/1',
    deadlineMs: 10_000,
    body: 'pickup',
  },
];
/** What one of the four machines of a zone gets at the peak of the zone's wave: 333 x 1.55 / 4. */
const PER_S = 129;
/** Times the usual requests, at the moment of the spoilt answers. */
const BURST = { x: 1.7, forMs: 3000 };
/** Share of the instances that spoil answers, and one in how many of theirs they spoil (0.03 is the largest dose). */
const GARBLE = { share: 0.6, every: 34, forMs: 5000 };
const CALM_MS = 12_000;
const OBSERVED_MS = 14_000;
const READY_MS = 20_000;
const SAMPLE_MS = 100;
/** More of them break the rule. */
const ALLOWED = 3;

const startedAtMs = Date.now();
const events = [];

function note(text) {
  events.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${text}`);
  process.stdout.write(`${events.at(-1)}\n`);
}

function buildConfiguration() {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 100_000,
    headerTimeoutS: 3,
    idleTimeoutS: 15,
  };
  const common = { host: HOST, priority: 1, maxAttempts: 2, sticky: false, allowedRegions: [] };
  return {
    version: '0000001c',
    routes: [
      {
        ...common,
        name: 'label-reprint',
        pathPrefix: '/reprint/',
        kind: 'idempotent',
        timeoutS: 4,
        targetLatencyS: 1,
        service: 'reprint-desk',
      },
      {
        ...common,
        name: 'pickup-booking',
        pathPrefix: '/pickup/',
        kind: 'non_idempotent',
        timeoutS: 5,
        targetLatencyS: 1.2,
        service: 'pickup-ledger',
      },
    ],
    services: ['reprint-desk', 'pickup-ledger'].map((name) => ({
      name,
      healthPath: '/health',
      maxConns: 1260,
      protocol: 'h1',
      tls: false,
      coldStartS: 3,
      coldPerS: 4.5,
    })),
    limits,
    baseVersion: '0000001a',
  };
}

async function readMemoryMb(vm) {
  try {
    const text = await readFile(`/proc/${vm.pid}/status`, 'utf8');
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)[1]) / 1024);
  } catch {
    return 0;
  }
}

async function waitUntilReady(vm) {
  const endsAtMs = Date.now() + READY_MS;
  const isReady = await vm.isReady();
  if (!isReady && Date.now() < endsAtMs && vm.end === null) {
    await pause(SAMPLE_MS);
    await waitUntilReady(vm);
  }
}

/** Notes the memory of the process until the time has passed or it has ended. */
async function observe(vm, forMs, getState) {
  const endsAtMs = Date.now() + forMs;
  const sample = async (count) => {
    if (Date.now() > endsAtMs || vm.end !== null) {
      return;
    }
    await pause(SAMPLE_MS);
    if (count % 5 === 0) {
      note(`${await readMemoryMb(vm)} MB; ${getState()}`);
    }
    await sample(count + 1);
  };
  await sample(0);
}

async function collect(child) {
  const messages = [];
  child.on('message', (message) => messages.push(message));
  child.send('stop');
  await once(child, 'disconnect');
  return messages.find(({ runs, requests }) => runs ?? requests);
}

async function main() {
  const folder = await mkdtemp(join(tmpdir(), 'review-7-'));
  const { ip: outsideIp } = await findLoopback();
  const { ip, ports } = await findLoopback();
  const store = new StoreStandIn();
  const address = await store.start(outsideIp);
  store.put('op/config', buildConfiguration());
  const servers = fork(join(FOLDER, 'servers.mjs'), [outsideIp, ZONE, ...SERVICES]);
  endWithThis(servers);
  const [{ entries }] = await once(servers, 'message');
  entries.forEach(({ key, value }) => store.put(key, value));
  const vm = new EntryProcess({
    name: `front-${ZONE}-1`,
    ip,
    ports,
    zone: ZONE,
    zones: { [ZONE]: 'doo' },
    bounds: BOUNDS,
    folder,
  });
  vm.store = address;
  await vm.start();
  await waitUntilReady(vm);
  note(`${vm.name} is ready, process ${vm.pid}`);
  const clients = fork(join(FOLDER, 'clients.mjs'), [vm.front, HOST]);
  endWithThis(clients);
  let load = {};
  let answers = {};
  clients.on('message', (message) => {
    load = message;
  });
  servers.on('message', (message) => {
    answers = message;
  });
  const getState = () =>
    `${load.inFlight} requests in flight, ${answers.spoilt} of ${answers.spoilable} answers of faulty instances spoilt`;

  clients.send({ classes: CLASSES, perS: PER_S });
  await observe(vm, CALM_MS, getState);
  if (HAS_TROUBLE) {
    note(`burst: ${BURST.x} times the requests for ${BURST.forMs} ms`);
    clients.send({ perS: PER_S * BURST.x });
    setTimeout(() => clients.connected && clients.send({ perS: PER_S }), BURST.forMs);
    note(`garble: ${GARBLE.share} of the instances spoil 1 in ${GARBLE.every} of their answers`);
    servers.send(GARBLE);
    setTimeout(() => servers.connected && servers.send(null), GARBLE.forMs);
  }
  const endedBefore = vm.end;
  await observe(vm, OBSERVED_MS, getState);
  const ended = vm.end;
  note(ended === null ? `${vm.name} runs` : `${vm.name} has ended by itself: ${ended.join(' ')}`);
  await pause(1000);
  const { requests } = await collect(clients);
  const { runs, spoilt, spoilable } = await collect(servers);
  if (vm.end === null) {
    await vm.stop(BOUNDS.graceS * 1000);
  }
  store.stop();

  const runById = new Map(runs.map((run) => [run.id, run]));
  const faulty = new Set(runs.filter(({ isSpoilt }) => isSpoilt).map(({ on }) => on));
  const lost = requests.filter(({ id, isKept, end }) => {
    const run = runById.get(id);
    return end.startsWith('closed') && isKept && run !== undefined && !faulty.has(run.on);
  });
  const lostOnce = lost.filter(({ name }) => name === 'pickup-booking');
  const verdicts = [
    `spoilt answers: ${spoilt} of ${spoilable} of the faulty instances`,
    `requests sent: ${requests.length}, answered 200: ${requests.filter(({ end }) => end === '200').length}`,
    `requests from kept connections that ran on instances which spoilt no answer, and whose connection was closed without an answer: ${lost.length} (allowed: ${ALLOWED}); not idempotent: ${lostOnce.length}`,
    `end of the process before it was stopped: ${ended?.join(' ') ?? 'none'}`,
  ];
  process.stdout.write(`${verdicts.join('\n')}\n`);
  const lines = requests.map(({ id, name, atMs, isKept, end, endMs }) => {
    const run = runById.get(id);
    const ran = run === undefined ? 'not run' : `ran ${run.atMs - startedAtMs} on ${run.on}`;
    const spoiled = run?.isSpoilt === true ? ', spoilt' : '';
    const kept = isKept ? 'kept connection' : 'new connection';
    return `${atMs - startedAtMs} ${name} ${id} ${kept}, ${ran}${spoiled}, ${end} at ${endMs - startedAtMs}`;
  });
  const text = [...events, '', ...verdicts, '', 'Milliseconds from the start:', ...lines, ''];
  await writeFile(join(FOLDER, 'record.txt'), text.join('\n'));
  if (process.env.KEEP_LOGS === undefined) {
    await rm(folder, { recursive: true });
  } else {
    process.stdout.write(`logs in ${folder}\n`);
  }
  if (endedBefore !== null || requests.length === 0) {
    return UNABLE;
  }
  return lost.length > ALLOWED ? BROKEN : 0;
}

process.exitCode = await main().catch((error) => {
  note(`the case could not run: ${error.stack}`);
  return UNABLE;
});
setTimeout(() => process.exit(), 1000).unref();
