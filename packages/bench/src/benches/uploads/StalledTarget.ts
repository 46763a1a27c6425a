/**
 * A target that accepts connections and reads nothing, so that every upload stays open.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Counts the connections that are open. */
export default class StalledTarget {
  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  constructor() {
    this.server = createServer({ pauseOnConnect: true }, (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  countOpen(): number {
    return this.sockets.size;
  }

  /** Resolves with the `IP:PORT` that it listens on. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.8.6', resolve);
    });
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  async stop(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }
}
