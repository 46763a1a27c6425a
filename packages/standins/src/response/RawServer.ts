/**
 * A server that writes whatever bytes it is told to, and records its connections.
 */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

/** Responds to each piece of a request that arrives. */
export default class RawServer {
  /** Connections in the order of the calls that they carried. */
  readonly used: Socket[] = [];

  respond: (socket: Socket) => void = () => undefined;

  private readonly server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      this.used.push(socket);
      this.respond(socket);
    });
  });

  /** Resolves with `IP:PORT`. */
  async start(ip: string): Promise<string> {
    this.server.listen(0, ip);
    await once(this.server, 'listening');
    return `${ip}:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.used.forEach((socket) => socket.destroy());
    this.server.close();
  }
}
