/* eslint-disable no-await-in-loop, no-restricted-syntax, no-param-reassign, n/no-process-exit -- the steps of a test follow one another, and its stand-ins are told what to do by their owner. */
/**
 * A machine is restarted as planned while the store loses the answer of one write and does it late. Counts what the
 * requests of each tenant that ran in any window come to.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import BOUNDS from '../kit-2/BOUNDS.mjs';
import EntryProcess, { get } from '../kit-2/EntryProcess.mjs';
import ServerStandIn from '../kit-2/ServerStandIn.mjs';
import StoreStandIn from '../kit-2/StoreStandIn.mjs';
import TenantClient from '../kit-2/TenantClient.mjs';
import findLoopback from '../kit-2/findLoopback.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const BROKEN = 1;
const UNABLE = 2;

const ZONES = { 'regina-a': 'regina', 'saskatoon-a': 'saskatoon', 'winnipeg-a': 'winnipeg' };
const RESTARTED_ZONE = 'winnipeg-a';
const HOST = 'gifts.example';
const RATE_PER_S = 20;
const BURST = 5;
const TENANTS = ['tenant-1', 'tenant-2', 'tenant-3', 'tenant-4', 'tenant-5', 'tenant-6'];
/** Requests of each tenant per second from the clients of each zone. */
const OFFERED_PER_S = { 'regina-a': 25, 'winnipeg-a': 30 };
const WORK_MS = 30;
const DEADLINE_MS = 8000;
/** The answer of one write is lost, which is done this much later; the pages allow 1 to 6 s. */
const LATE_MS = 2500;
/** Length of the disruption of the store. */
const DISRUPTION_MS = 4500;
const SETTLE_MS = 12_000;
const OBSERVED_MS = 30_000;
const READY_MS = 20_000;

const startedAtMs = performance.now();
const events = [];
const requests = new Map();

function toSeconds(ms) {
  return ((ms - startedAtMs) / 1000).toFixed(3);
}

function note(text) {
  events.push(`${toSeconds(performance.now())} ${text}`);
  process.stdout.write(`${events.at(-1)}\n`);
}

function buildConfiguration() {
  return {
    version: '0000001c',
    routes: [
      {
        name: 'gift-lookup',
        host: HOST,
        pathPrefix: '/gifts/',
        kind: 'idempotent',
        timeoutS: 8,
        targetLatencyS: 1,
        priority: 1,
        service: 'ledger-view',
        maxAttempts: 2,
        sticky: false,
        allowedRegions: [],
      },
    ],
    services: [
      {
        name: 'ledger-view',
        healthPath: '/health',
        maxConns: 1350,
        protocol: 'h1',
        tls: false,
        coldStartS: 3,
        coldPerS: 4.5,
      },
    ],
    tenants: TENANTS.map((name) => ({
      name,
      apiKeys: [`key-of-${name}`],
      ratePerS: RATE_PER_S,
      burst: BURST,
      priority: 1,
    })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutS: 3, idleTimeoutS: 15 },
    baseVersion: '0000001a',
  };
}

/** Returns the largest number of requests that were both sent and ran within one window, and the window's start. */
function findWorstWindow(tenant) {
  const windowMs = BOUNDS.quotaWindowS * 1000;
  const run = [...requests.values()]
    .filter((sent) => sent.tenant === tenant && sent.ranAtMs !== undefined)
    .sort((one, other) => one.sentAtMs - other.sentAtMs);
  let worst = { count: 0, fromMs: startedAtMs, byVm: {} };
  run.forEach(({ sentAtMs: fromMs }, index) => {
    const within = [];
    for (let at = index; at < run.length && run[at].sentAtMs <= fromMs + windowMs; at += 1) {
      if (run[at].ranAtMs <= fromMs + windowMs) {
        within.push(run[at]);
      }
    }
    if (within.length > worst.count) {
      const byVm = {};
      within.forEach(({ via }) => {
        byVm[via] = (byVm[via] ?? 0) + 1;
      });
      worst = { count: within.length, fromMs, byVm };
    }
  });
  return worst;
}

async function waitUntil(condition, limitMs, what) {
  const endsAtMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > endsAtMs) {
      throw new Error(`timeout: ${what}`);
    }
    await pause(50);
  }
}

async function noteDirectories(vms) {
  const query = new URLSearchParams({ name: HOST, region: 'regina', zone: 'regina-a' });
  for (const vm of vms) {
    const { status, body } = await get(vm.directory, `/-/resolve?${query}`, 1000);
    note(`directory of ${vm.name}: ${status} ${body.trim()}`);
  }
}

async function writeRecord(verdicts) {
  const lines = [...requests.values()].map((sent) =>
    [
      toSeconds(sent.sentAtMs),
      sent.zone,
      sent.via,
      sent.tenant,
      sent.id,
      `answer ${sent.status ?? 'none'}`,
      sent.ranAtMs === undefined ? 'not run' : `ran ${toSeconds(sent.ranAtMs)} on ${sent.ranOn}`,
    ].join(' '),
  );
  const text = [...events, '', ...verdicts, '', ...lines, ''].join('\n');
  await writeFile(join(FOLDER, 'record.txt'), text);
}

async function play(store, servers, vms, clients) {
  const { ip: outsideIp } = await findLoopback();
  const address = await store.start(outsideIp);
  store.put('op/config', buildConfiguration());
  for (const server of servers) {
    await server.start(outsideIp);
    store.put(`servers/${server.id}`, server.buildEntry());
  }
  for (const vm of vms) {
    vm.store = address;
    await vm.start();
  }
  await waitUntil(
    async () => (await Promise.all(vms.map((vm) => vm.isReady()))).every(Boolean),
    READY_MS,
    'not all machines are ready',
  );
  note(`all machines are ready: ${vms.map(({ name, front }) => `${name} ${front}`).join(', ')}`);
  clients.forEach((client) => {
    TENANTS.forEach((tenant) =>
      client.run(OFFERED_PER_S[client.zone], {
        tenant,
        apiKey: `key-of-${tenant}`,
        path: `/gifts/${tenant}`,
        deadlineMs: DEADLINE_MS,
      }),
    );
  });
  await pause(SETTLE_MS);
  await noteDirectories(vms);

  const restarted = vms.find(({ zone }) => zone === RESTARTED_ZONE);
  const key = `entry/${restarted.name}`;
  const stopsAtMs = performance.now();
  note(`SIGTERM to ${restarted.name}`);
  await restarted.stop(BOUNDS.graceS * 1000);
  note(`${restarted.name} ended with ${restarted.end} after ${performance.now() - stopsAtMs} ms`);
  const disruptedFromMs = performance.now();
  let isPending = HAS_TROUBLE;
  store.holdBack = ({ puts }) => {
    const isInTime = performance.now() < disruptedFromMs + DISRUPTION_MS;
    if (isPending && isInTime && puts.some((put) => put.key === key)) {
      isPending = false;
      return LATE_MS;
    }
    return null;
  };
  await restarted.start();
  note(`${restarted.name} is started again`);
  await pause(DISRUPTION_MS);
  const writes = store.writes.filter(({ atMs }) => atMs >= disruptedFromMs);
  const lost = writes.filter(({ isLost }) => isLost);
  note(`the store lost the answers of ${lost.length} of ${writes.length} writes in these seconds`);
  await pause(OBSERVED_MS);
  await noteDirectories(vms);
  note(`machines with an entry in the store: ${store.listKeys('entry/').join(', ')}`);
}

async function main() {
  const folder = await mkdtemp(join(tmpdir(), 'review-6-'));
  const store = new StoreStandIn();
  store.log = (line) => note(`store: ${line}`);
  const servers = Object.keys(ZONES).flatMap((zone) =>
    [1, 2].map(
      (number) =>
        new ServerStandIn({
          id: `i-${zone}-${number}`,
          service: 'ledger-view',
          zone,
          workMs: WORK_MS,
        }),
    ),
  );
  servers.forEach((server) => {
    server.onRun = (id) => {
      const sent = requests.get(id);
      if (sent !== undefined) {
        sent.ranAtMs = performance.now();
        sent.ranOn = server.id;
      }
    };
  });
  const vms = [];
  for (const zone of Object.keys(ZONES)) {
    const { ip, ports } = await findLoopback();
    const name = `front-${zone}-1`;
    vms.push(new EntryProcess({ name, ip, ports, zone, zones: ZONES, bounds: BOUNDS, folder }));
  }
  const clients = Object.keys(OFFERED_PER_S).map((zone) => {
    const isNear = (vm) => vm.zone === zone;
    const byNearness = [...vms.filter(isNear), ...vms.filter((vm) => !isNear(vm))];
    const client = new TenantClient({
      zone,
      region: ZONES[zone],
      host: HOST,
      ttlMaxS: BOUNDS.ttl_max_s,
      directories: byNearness.map(({ directory }) => directory),
    });
    client.onSent = (sent) => requests.set(sent.id, sent);
    client.onEnd = (sent, status) => {
      sent.status = status;
    };
    return client;
  });
  let failure = null;
  try {
    await play(store, servers, vms, clients);
  } catch (error) {
    failure = error;
    note(`the case could not run: ${error.message}`);
  }
  clients.forEach((client) => client.stop());
  await pause(500);
  await Promise.all(vms.map((vm) => vm.end ?? vm.stop(BOUNDS.graceS * 1000)));
  store.stop();
  servers.forEach((server) => server.stop());

  const { quotaWindowS, quotaOverage, quotaSlack } = BOUNDS;
  const limit = (RATE_PER_S * quotaWindowS + BURST) * (1 + quotaOverage) + quotaSlack;
  const worst = TENANTS.map((tenant) => ({ tenant, ...findWorstWindow(tenant) }));
  const verdicts = worst.map(
    ({ tenant, count, fromMs, byVm }) =>
      `${tenant}: at most ${count} requests in ${quotaWindowS} s (from ${toSeconds(fromMs)}), limit ${limit.toFixed(1)}; taken by ${JSON.stringify(byVm)}${count > limit ? ' BROKEN' : ''}`,
  );
  process.stdout.write(`${verdicts.join('\n')}\n`);
  await writeRecord(verdicts);
  if (process.env.KEEP_LOGS === undefined) {
    await rm(folder, { recursive: true });
  } else {
    process.stdout.write(`logs in ${folder}\n`);
  }
  const isBroken = worst.some(({ count }) => count > limit);
  const isRun = failure === null && worst.every(({ count }) => count > 0);
  if (!isRun) {
    return UNABLE;
  }
  return isBroken ? BROKEN : 0;
}

process.exitCode = await main().catch((error) => {
  note(`the case could not run: ${error.stack}`);
  return UNABLE;
});
setTimeout(() => process.exit(), 1000).unref();
