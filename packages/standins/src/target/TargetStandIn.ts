/**
 * A stand-in for one target: slots, shedding, draining, cold starts and the faults of the brief.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type Clock from '@burdockcove/runtime/Clock';
import Random from '@burdockcove/runtime/Random';
import waitFor from '@burdockcove/runtime/waitFor';
import readBody from './readBody.js';
import type TargetCounts from './TargetCounts.js';
import type TargetFaults from './TargetFaults.js';
import type TargetOptions from './TargetOptions.js';

const REQUEST_ID_HEADER = 'request-id';
const DEADLINE_HEADER = 'burdockcove-deadline-ms';

/** Listens on loopback; every request id that starts running is counted. */
export default class TargetStandIn {
  readonly faults: TargetFaults = {
    shedAll: false,
    dropAfterRun: false,
    cutAnswer: false,
    plainUnavailable: false,
    lateMs: 0,
    healthLie: undefined,
    loadLie: undefined,
    loadFrozen: false,
  };

  /** Reported by `/load`; a draining target still serves what it is sent. */
  draining = false;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private readonly silentSockets = new WeakSet<Socket>();

  private readonly runs = new Map<string, number>();

  private readonly random: Random;

  private shed = 0;

  private cancelled = 0;

  private wastedMs = 0;

  private inFlight = 0;

  private peakInFlight = 0;

  private peakConnections = 0;

  private lastStartMs = -1;

  private startedMs = 0;

  private frozenLoad = '';

  constructor(
    private readonly options: TargetOptions,
    private readonly clock: Clock,
  ) {
    this.random = new Random(options.seed);
    this.server = createServer((request, response) => this.serveRequest(request, response));
    this.server.maxConnections = options.maxConnections;
    this.server.on('connection', (socket: Socket) => this.addSocket(socket));
  }

  /** Listens and returns `IP:PORT`. */
  async start(): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.options.port, this.options.ip, resolve);
    });
    this.startedMs = this.clock.getMonotonicMs();
    return this.getAddress();
  }

  getAddress(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Connections open now. */
  countConnections(): number {
    return this.sockets.size;
  }

  getCounts(): TargetCounts {
    return {
      runs: this.runs,
      shed: this.shed,
      cancelled: this.cancelled,
      wastedMs: this.wastedMs,
      inFlight: this.inFlight,
      peakInFlight: this.peakInFlight,
      peakConnections: this.peakConnections,
      lastStartMs: this.lastStartMs,
    };
  }

  /** Makes every connection now open go silent for good; new ones work. */
  silenceOpenConnections(): void {
    this.sockets.forEach((socket) => {
      this.silentSockets.add(socket);
      socket.pause();
    });
  }

  /** Keeps repeating the present load report. */
  freezeLoad(): void {
    this.frozenLoad = this.buildLoad();
    this.faults.loadFrozen = true;
  }

  /** Drops every connection at once and stops listening, as a crash does. */
  async crash(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private addSocket(socket: Socket): void {
    this.sockets.add(socket);
    this.peakConnections = Math.max(this.peakConnections, this.sockets.size);
    socket.on('close', () => this.sockets.delete(socket));
  }

  private serveRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.silentSockets.has(request.socket)) {
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(this.faults.healthLie === false ? 503 : 200).end();
      return;
    }
    if (request.url === '/load') {
      response.setHeader('content-type', 'application/json');
      response.end(this.faults.loadFrozen ? this.frozenLoad : this.buildLoad());
      return;
    }
    if (this.faults.plainUnavailable) {
      response.writeHead(503).end();
      return;
    }
    if (this.faults.shedAll || this.inFlight >= this.options.slots) {
      this.shedRequest(response);
      return;
    }
    this.runRequest(request, response).catch(() => response.destroy());
  }

  private buildLoad(): string {
    const lie = this.faults.loadLie;
    return JSON.stringify({
      inFlight: lie?.inFlight ?? this.inFlight,
      slots: this.options.slots,
      draining: lie?.draining ?? this.draining,
    });
  }

  private shedRequest(response: ServerResponse): void {
    this.shed += 1;
    response.writeHead(503, { 'target-outcome': 'not-run' }).end();
  }

  private async runRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(request.headers[REQUEST_ID_HEADER] ?? '');
    const startMs = this.noteStart(id);
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    try {
      const body = await readBody(request, gone.signal);
      await waitFor(this.clock, this.drawServiceMs(request), gone.signal);
      if (gone.signal.aborted) {
        this.cancelled += 1;
        this.wastedMs += this.clock.getMonotonicMs() - startMs;
      } else {
        this.sendAnswer(request, response, id, body);
      }
    } finally {
      this.inFlight -= 1;
    }
  }

  private noteStart(id: string): number {
    const nowMs = this.clock.getMonotonicMs();
    this.inFlight += 1;
    this.peakInFlight = Math.max(this.peakInFlight, this.inFlight);
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.lastStartMs = nowMs;
    return nowMs;
  }

  private drawServiceMs(request: IncomingMessage): number {
    const cold = this.clock.getMonotonicMs() - this.startedMs < this.options.coldMs;
    const spread = 0.5 + this.random.nextFloat();
    const serviceMs = this.options.serviceMs * spread * (cold ? this.options.coldFactor : 1);
    const deadlineMs = Number(request.headers[DEADLINE_HEADER] ?? Infinity);
    return Math.min(serviceMs + this.faults.lateMs, deadlineMs);
  }

  private sendAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    body: string,
  ): void {
    if (this.faults.dropAfterRun || this.silentSockets.has(request.socket)) {
      if (this.faults.dropAfterRun) {
        request.socket.destroy();
      }
      return;
    }
    const answer = JSON.stringify({
      target: this.options.name,
      id,
      method: request.method,
      path: request.url,
      received: body.length,
      filler: 'x'.repeat(this.options.answerBytes),
    });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(answer),
    });
    if (this.faults.cutAnswer) {
      response.write(answer.slice(0, answer.length / 2), () => request.socket.destroy());
      return;
    }
    response.end(answer);
  }
}
