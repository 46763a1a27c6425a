/**
 * The baseline of benches of faults: a plain pass-through in this process.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Pool, type Dispatcher } from 'undici';

/** Sends requests to the targets in turn over kept connections, and knows nothing of their state. */
export default class PassThrough {
  private readonly pools: readonly Pool[];

  private readonly server: Server;

  private next = 0;

  constructor(
    private readonly ip: string,
    addresses: readonly string[],
  ) {
    this.pools = addresses.map((address) => new Pool(`http://${address}`, { connections: 64 }));
    this.server = createServer((request, response) => {
      this.pass(request, response).catch(() => response.destroy());
    });
  }

  /** Listens and returns `IP:PORT`. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, this.ip, resolve);
    });
    return `${this.ip}:${(this.server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  private async pass(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.next = (this.next + 1) % this.pools.length;
    const { connection, 'transfer-encoding': encoding, ...headers } = request.headers;
    const hasBody = encoding !== undefined || headers['content-length'] !== undefined;
    const answer = await (this.pools[this.next] as Pool).request({
      method: request.method as Dispatcher.HttpMethod,
      path: request.url as string,
      headers,
      body: hasBody ? request : null,
    });
    const { connection: hop, 'transfer-encoding': chunked, ...rest } = answer.headers;
    response.writeHead(answer.statusCode, rest);
    answer.body.pipe(response);
  }
}
