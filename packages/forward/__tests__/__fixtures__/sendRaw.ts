/**
 * Sends raw bytes.
 */
import { connect } from 'node:net';

interface SendOptions {
  /** Closes the sending side after the bytes are sent. */
  readonly half?: boolean;
  /** Destroys the connection after this time, in milliseconds. */
  readonly destroyAfterMs?: number;
}

/** Resolves with all that was received until the connection closed. */
export default function sendRaw(
  address: string,
  bytes: string,
  { half = false, destroyAfterMs }: SendOptions = {},
): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    const socket = connect({ host: host as string, port: Number(port), allowHalfOpen: true });
    socket.on('data', (part) => parts.push(part));
    socket.on('end', () => socket.end());
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(parts).toString('latin1')));
    socket.write(bytes);
    if (half) {
      socket.end();
    }
    if (destroyAfterMs !== undefined) {
      setTimeout(() => socket.destroy(), destroyAfterMs);
    }
  });
}
