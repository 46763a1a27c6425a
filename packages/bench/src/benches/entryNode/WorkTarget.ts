/**
 * A target that notes when it worked on which request.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

interface Work {
  readonly id: string;
  readonly startMs: number;
  endMs: number;
}

/** Works a fixed time on each request, and stops when its caller goes away. */
export default class WorkTarget {
  readonly works: Work[] = [];

  /** Said in the load report. */
  draining = false;

  private readonly server: Server;

  constructor(
    private readonly ip: string,
    private readonly slots: number,
    private readonly workMs: number,
  ) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  /** Listens and returns `IP:PORT`. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, this.ip, resolve);
    });
    return `${this.ip}:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Monotonic time at which the last request came, in milliseconds. */
  getLastStartMs(): number {
    return this.works[this.works.length - 1]?.startMs ?? -Infinity;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.resume();
    if (request.url === '/load' || request.url === '/healthz') {
      const { slots, draining } = this;
      response.end(JSON.stringify({ inFlight: 0, slots, draining }));
      return;
    }
    const startMs = performance.now();
    const work = { id: String(request.headers['request-id']), startMs, endMs: Infinity };
    this.works.push(work);
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    await wait(this.workMs, undefined, { signal: gone.signal }).catch(() => undefined);
    work.endMs = performance.now();
    response.end('done');
  }
}
