/**
 * Target that speaks raw bytes, for behaviour that an HTTP server does not offer.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import type Target from '@burdockcove/types/Target';

/** One connection: the bytes received so far, and the socket to answer on. */
interface RawConnection {
  readonly socket: Socket;
  received: Buffer;
}

/** Calls the script for each chunk that arrives. */
export default class RawTarget {
  readonly connections: RawConnection[] = [];

  script: (connection: RawConnection) => void = () => undefined;

  private readonly server: Server;

  constructor(private readonly name: string) {
    this.server = createServer((socket) => {
      const connection: RawConnection = { socket, received: Buffer.alloc(0) };
      this.connections.push(connection);
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        connection.received = Buffer.concat([connection.received, chunk]);
        this.script(connection);
      });
    });
  }

  async start(): Promise<Target> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    return {
      name: this.name,
      service: 'ledger',
      address: `127.0.0.1:${port}`,
      failureDomain: 'a',
      slots: 3,
      labels: {},
    };
  }

  async stop(): Promise<void> {
    this.connections.forEach(({ socket }) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }
}
