/**
 * Some clients leave before their deadline while an answer without a length is still coming. The other clients must get
 * the answers that sound instances make for them.
 */
/* eslint-disable no-await-in-loop -- the steps follow each other. */
import CallerConnection from '../lib/CallerConnection.mjs';
import EntryVm from '../lib/EntryVm.mjs';
import StoreStandIn from '../lib/StoreStandIn.mjs';
import TargetStandIn from '../lib/TargetStandIn.mjs';
import buildConfiguration, { SERVICE } from '../lib/buildConfiguration.mjs';
import runCase from '../lib/runCase.mjs';

const CALLERS = 20;
/** One client in twenty leaves, at half of the objective of 0.8 s. */
const LEAVING = 1;
const LEAVE_AFTER_MS = 400;
const WORK_MS = 700;
const PIECES = 20;
const NAME = 'i-7f3a91c2';
const ALLOWED_CLOSED = 3;

function pause(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Answers with a length after its work; path `/lohu930/list` gets an answer without one, in pieces. */
async function answer({ id, path }, send) {
  const echo = `X-Attempt-Id: ${id}\r\nX-Response-Stamp: ${NAME}\r\n`;
  if (path !== '/lohu930/list') {
    await pause(path === '/lohu930/first' ? 1 : WORK_MS);
    send(`HTTP/1.1 200 OK\r\n${echo}Content-Length: 4\r\n\r\ndone`);
    return 'keep';
  }
  send(`HTTP/1.1 200 OK\r\n${echo}Connection: close\r\n\r\n`);
  for (let piece = 0; piece < PIECES; piece += 1) {
    await pause(WORK_MS / PIECES);
    send(`piece ${piece};`);
  }
  return 'close';
}

async function play({ write, hasTrouble, onEnd }) {
  const store = new StoreStandIn();
  const storeAddress = await store.start();
  onEnd(() => store.stop());
  const target = new TargetStandIn(NAME, answer);
  await target.start();
  onEnd(() => target.stop());
  store.put('op/config', buildConfiguration(2));
  store.put(`servers/${NAME}`, target.buildEntry(SERVICE));
  const vm = new EntryVm('front-bdg-a-1', storeAddress);
  onEnd(() => vm.end());
  await vm.start();
  await vm.waitUntilReady();
  let serial = 0;
  const buildId = () => {
    serial += 1;
    return `9c41d07be2a3${String(serial).padStart(4, '0')}`;
  };
  const callers = Array.from({ length: CALLERS }, () => new CallerConnection(vm.address));
  onEnd(() => callers.forEach((caller) => caller.close()));
  // So that every connection has been used before.
  const first = await Promise.all(
    callers.map((caller) => caller.send({ id: buildId(), path: '/lohu930/first' })),
  );
  write(`first requests: ${first.map(({ status }) => status).join(' ')}`);
  const staying = callers.slice(LEAVING).map(async (caller, index) => {
    const id = buildId();
    const isSafe = index % 2 === 0;
    const path = isSafe ? '/lohu930/2f' : '/pufi791/2f';
    const got = await caller.send({ id, path, method: isSafe ? 'GET' : 'POST' });
    return { id, path, got };
  });
  await pause(50);
  const leaving = callers.slice(0, LEAVING).map(async (caller) => {
    const id = buildId();
    const leaveAfterMs = hasTrouble ? LEAVE_AFTER_MS : undefined;
    const got = await caller.send({ id, path: '/lohu930/list', leaveAfterMs });
    write(`${id} /lohu930/list: ${got.status} ${got.error ?? `${got.body.length} bytes`}`);
  });
  const answered = await Promise.all(staying);
  await Promise.all(leaving);
  let lost = 0;
  answered.forEach(({ id, path, got }) => {
    const run = target.runs.get(id);
    const isLost = got.status === 0 && run !== undefined;
    lost += isLost ? 1 : 0;
    write(
      `${id} ${path}: ${got.status} ${got.error ?? ''} run by the instance: ${run !== undefined}` +
        `${isLost ? ' <- passed on, connection closed without an answer' : ''}`,
    );
  });
  await pause(300);
  const end = vm.exit === null ? 'still runs' : `ended by itself with code ${vm.exit.code}`;
  write(`the process of the entry VM ${end}`);
  if (vm.exit !== null) {
    write(`its last output: ${vm.output.trim().slice(-900)}`);
  }
  write(`${lost} requests passed on to a sound instance lost their answers`);
  return lost <= ALLOWED_CLOSED && vm.exit === null;
}

runCase(import.meta.url, play);
