/**
 * Memory of an entry VM while many uploads are open and their targets do not read.
 */
import { connect, type Socket } from 'node:net';
import type Bench from '../Bench.js';
import buildPackages from './forward/buildPackages.js';
import MeasuredProcess from './uploads/MeasuredProcess.js';
import StalledTarget from './uploads/StalledTarget.js';

/** The configuration allows an entry VM two connections to each. */
const TARGETS = 100;
const OPEN_UPLOADS = 200;
const BODY_BYTES = 16 * 1024 * 1024;
const CHUNK = Buffer.alloc(64 * 1024, 'x');
/** Time for the callers to send as much as is accepted. */
const FILL_MS = 4000;
const BYTES_PER_KB = 1024;
const BYTES_PER_MB = 1024 * 1024;
/** Memory of the smallest entry VM on the users' sheets. */
const MAX_VM_MB = 250;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Sends an upload as fast as it is accepted. */
function openUpload(address: string): Socket {
  const [host = '', port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.write(`POST /up HTTP/1.1\r\nHost: desk.example\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`);
  const fill = (): void => {
    while (socket.writable && socket.write(CHUNK)) {
      // Goes on until the socket is full.
    }
  };
  socket.on('connect', fill);
  socket.on('drain', fill);
  return socket;
}

const uploads: Bench = {
  name: 'uploads',
  summary: 'memory of an entry VM with many open uploads to targets that do not read',
  async run() {
    await buildPackages();
    const targets = Array.from({ length: TARGETS }, () => new StalledTarget());
    const addresses = await Promise.all(targets.map((target) => target.start()));
    const node = await MeasuredProcess.start(addresses);
    const sockets: Socket[] = [];
    try {
      const idleBytes = await node.readResidentBytes();
      for (let index = 0; index < OPEN_UPLOADS; index += 1) {
        sockets.push(openUpload(node.address));
      }
      await pause(FILL_MS);
      const openBytes = await node.readResidentBytes();
      const open = targets.reduce((sum, target) => sum + target.countOpen(), 0);
      return [
        { figure: 'uploads open at targets', value: open, unit: 'uploads' },
        {
          figure: 'memory per open upload',
          value: (openBytes - idleBytes) / Math.max(1, open) / BYTES_PER_KB,
          unit: 'KB',
        },
        {
          figure: 'resident memory with all uploads open',
          value: openBytes / BYTES_PER_MB,
          unit: 'MB',
          baseline: idleBytes / BYTES_PER_MB,
          target: `at most the ${MAX_VM_MB} MB of the smallest entry VM`,
          holds: (value) => open >= OPEN_UPLOADS && value <= MAX_VM_MB,
        },
      ];
    } finally {
      sockets.forEach((socket) => socket.destroy());
      node.stop();
      await Promise.all(targets.map((target) => target.stop()));
    }
  },
};

export default uploads;
