/**
 * An entry VM gets SIGTERM while instances work on requests. Each client must get the answer of its instance.
 */
/* eslint-disable no-await-in-loop, no-restricted-syntax -- the steps follow each other. */
import CallerConnection from '../lib/CallerConnection.mjs';
import EntryVm from '../lib/EntryVm.mjs';
import StoreStandIn from '../lib/StoreStandIn.mjs';
import TargetStandIn from '../lib/TargetStandIn.mjs';
import buildConfiguration, { SERVICE } from '../lib/buildConfiguration.mjs';
import runCase from '../lib/runCase.mjs';

/** Figures of `price-history`: its work is 2.2 s in the mean and 6.6 s at most, its timeout 5 s, its aim 1.5 s. */
const TIMEOUT_S = 5;
const AIM_S = 1.5;
const WORK_MS = 2800;
const DEADLINE_MS = 12_000;
const CALLERS = 12;
const GAP_MS = 200;
/** Requests are sent until about 1.5 s after the signal, so that all end long before the grace period. */
const TERM_AFTER_CALLERS = 5;
const BUSY = 'i-7f3a91c2';
const FULL = ['i-18bb0e47', 'i-22c1d90a', 'i-5e0f7b13'];

function pause(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function buildSlowConfiguration() {
  const configuration = buildConfiguration(2);
  const routes = configuration.routes.map((route) => ({
    ...route,
    timeoutS: TIMEOUT_S,
    targetLatencyS: AIM_S,
  }));
  return { ...configuration, routes };
}

async function play({ write, hasTrouble, onEnd }) {
  const store = new StoreStandIn();
  const storeAddress = await store.start();
  onEnd(() => store.stop());
  const busy = new TargetStandIn(BUSY, async ({ id, path }, send) => {
    await pause(path === '/lohu930/first' ? 1 : WORK_MS);
    const echo = `X-Attempt-Id: ${id}\r\nX-Response-Stamp: ${BUSY}\r\n`;
    send(`HTTP/1.1 200 OK\r\n${echo}Content-Length: 4\r\n\r\ndone`);
    return 'keep';
  });
  let refusals = 0;
  // Their slots and queues are taken by requests that came through other machines.
  const full = FULL.map(
    (name) =>
      new TargetStandIn(name, ({ id }, send) => {
        refusals += 1;
        const echo = `X-Attempt-Id: ${id}\r\nX-Not-Run: full\r\n`;
        send(`HTTP/1.1 503 Service Unavailable\r\n${echo}Content-Length: 0\r\n\r\n`);
        return Promise.resolve('keep');
      }),
  );
  store.put('op/config', buildSlowConfiguration());
  for (const target of [busy, ...full]) {
    await target.start();
    onEnd(() => target.stop());
    store.put(`servers/${target.name}`, target.buildEntry(SERVICE));
  }
  const vm = new EntryVm('front-bdg-a-1', storeAddress);
  onEnd(() => vm.end());
  await vm.start();
  await vm.waitUntilReady();
  const callers = Array.from({ length: CALLERS }, () => new CallerConnection(vm.address));
  onEnd(() => callers.forEach((caller) => caller.close()));
  const startedAtMs = performance.now();
  const call = async (caller, index) => {
    const id = `9c41d07be2a3${String(index).padStart(4, '0')}`;
    const sentAtMs = performance.now();
    const got = await caller.send({ id, path: '/lohu930/2f', deadlineMs: DEADLINE_MS });
    const ms = Math.round(performance.now() - sentAtMs);
    const run = busy.runs.get(id);
    const isBrokenOff =
      run !== undefined && got.headers['x-response-stamp'] === undefined && ms < TIMEOUT_S * 1000;
    write(
      `${id}: sent at ${Math.round(sentAtMs - startedAtMs)} ms, ${got.status} after ${ms} ms` +
        `${isBrokenOff ? `, an answer of its own while the instance worked: ${got.body}` : ''}`,
    );
    return isBrokenOff;
  };
  const answers = [];
  for (let index = 0; index < CALLERS; index += 1) {
    answers.push(call(callers[index], index));
    await pause(GAP_MS);
    if (hasTrouble && index === TERM_AFTER_CALLERS) {
      write('SIGTERM');
      vm.child.kill('SIGTERM');
    }
  }
  const brokenOff = (await Promise.all(answers)).filter(Boolean).length;
  write(`${brokenOff} requests broken off, ${refusals} refusals of the full instances`);
  if (!hasTrouble) {
    write('the rule is in force after a SIGTERM only');
  }
  return !hasTrouble || brokenOff === 0;
}

runCase(import.meta.url, play);
