/* eslint-disable no-await-in-loop -- the steps of a test follow one another, and its stand-ins are told what to do by their owner. */
/**
 * Finds loopback addresses on which the ports of an entry machine are free.
 */
import { createServer } from 'node:net';
import { once } from 'node:events';

const METRICS_PORT = 9464;
const PORT_COUNT = 30;
const ATTEMPTS = 50;

function pick(from, to) {
  return from + Math.floor(Math.random() * (to - from));
}

async function isFree(ip, port) {
  const server = createServer();
  server.listen(port, ip);
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

/** Resolves with an address of 127.0.0.0/8 and the first of `PORT_COUNT` ports that are free there. */
export default async function findLoopback() {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const ip = `127.${pick(20, 250)}.${pick(1, 250)}.${pick(2, 250)}`;
    const ports = pick(11_000, 29_000);
    const all = [METRICS_PORT, ...Array.from({ length: PORT_COUNT }, (_, index) => ports + index)];
    const free = await Promise.all(all.map((port) => isFree(ip, port)));
    if (free.every(Boolean)) {
      return { ip, ports };
    }
  }
  throw new Error('no free loopback address');
}
