/**
 * Opens connections for undici's clients.
 */
import ClientSocket from './ClientSocket.js';

const DEFAULT_PORT = 80;
const KEEP_ALIVE_DELAY_MS = 60_000;

type Done = (...result: [Error, null] | [null, ClientSocket]) => void;

/** Calls `done` once, with the open socket or with the reason why none was opened within the time in milliseconds. */
export default function connectClient(
  { hostname, port }: { readonly hostname: string; readonly port: string },
  timeoutMs: number,
  done: Done,
): void {
  const socket = new ClientSocket();
  const timer = setTimeout(
    () => socket.destroy(new Error(`no connection within ${timeoutMs} ms`)),
    timeoutMs,
  );
  let isDone = false;
  const finish: Done = (...result) => {
    clearTimeout(timer);
    if (!isDone) {
      isDone = true;
      done(...result);
    }
  };
  socket.on('error', (error) => finish(error, null));
  socket.once('connect', () => finish(null, socket));
  socket.setNoDelay(true).setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
  socket.connect({ host: hostname, port: Number(port) || DEFAULT_PORT });
}
