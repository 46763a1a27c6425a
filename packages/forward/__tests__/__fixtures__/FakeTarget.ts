/**
 * Fake target that handles each request as a script says.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import buildExpectedAnswer from './buildExpectedAnswer.js';
import type Fault from './Fault.js';

const RESET_DELAY_MS = 20;
/** Longer than a response in chunks is held back. */
const STREAM_MS = 300;
const LATE_MS = 40;

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) {
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
}

/** Counts the requests that it ran; listens on its own loopback address. */
export default class FakeTarget {
  readonly runs = new Map<string, number>();

  readonly seenHeaders: IncomingMessage['headers'][] = [];

  /** Number of requests that the target ran and whose connection closed before the response was complete. */
  abandoned = 0;

  connectionsOpened = 0;

  /** Returns the fault for a request; `arrivals` counts the requests with that id at this target, from 1. */
  script: (id: string, arrivals: number) => Fault = () => 'none';

  private readonly arrivals = new Map<string, number>();

  private readonly sockets = new Set<Socket>();

  private readonly silenced = new WeakSet<Socket>();

  private readonly server: Server;

  constructor(
    readonly name: string,
    private readonly ip: string,
  ) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket: Socket) => {
      this.connectionsOpened += 1;
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, this.ip, resolve);
    });
  }

  async stop(): Promise<void> {
    await new Promise((resolve) => {
      this.server.close(resolve);
      this.closeAllConnections();
    });
  }

  closeAllConnections(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Stops responding on the connections that are open now; new ones work. */
  silenceOpenConnections(): void {
    this.sockets.forEach((socket) => this.silenced.add(socket));
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(request.headers['request-id'] ?? '');
    this.seenHeaders.push(request.headers);
    const count = (this.arrivals.get(id) ?? 0) + 1;
    this.arrivals.set(id, count);
    if (this.silenced.has(request.socket)) {
      return;
    }
    await this.applyFault(this.script(id, count), id, request, response);
  }

  private async applyFault(
    fault: Fault,
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (fault === 'die-before-run') {
      request.socket.destroy();
      return;
    }
    if (fault === 'silent-before-run') {
      return;
    }
    if (fault === 'shed') {
      request.resume();
      response.writeHead(503, { 'target-outcome': 'not-run' }).end('busy');
      return;
    }
    if (fault === 'plain-503') {
      response.writeHead(503).end('plain');
      return;
    }
    const body = await readAll(request);
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    response.on('close', () => {
      this.abandoned += response.writableFinished ? 0 : 1;
    });
    if (fault === 'late') {
      await new Promise((resolve) => {
        setTimeout(resolve, LATE_MS);
      });
    }
    this.answer(
      fault,
      buildExpectedAnswer(id, body, request.url?.endsWith('/large')),
      request,
      response,
    );
  }

  private answer(
    fault: Fault,
    text: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { socket } = request;
    const head = 'HTTP/1.1 200 OK\r\n';
    switch (fault) {
      case 'silent-after-run':
        return;
      case 'die-after-run':
        socket.destroy();
        return;
      case 'cut-answer':
        response.writeHead(200, { 'content-length': text.length });
        response.write(text.slice(0, 20), () => socket.destroy());
        return;
      case 'cut-chunks':
        response.write(text.slice(0, 20), () => socket.destroy());
        return;
      case 'cut-stream':
        response.write(text.slice(0, 20), () => {
          setTimeout(() => socket.destroy(), STREAM_MS);
        });
        return;
      case 'short-length':
        socket.end(`${head}content-length: ${text.length + 10}\r\n\r\n${text}`);
        return;
      case 'long-length':
        socket.write(
          `${head}content-length: ${text.length}\r\n\r\n${text}HTTP/1.1 200 OK\r\n\r\nx`,
        );
        return;
      case 'unframed-whole':
        socket.end(`${head}connection: close\r\nx-target: ${this.name}\r\n\r\n${text}`);
        return;
      case 'unframed-reset':
        socket.write(`${head}connection: close\r\n\r\n${text.slice(0, 20)}`, () => {
          setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        });
        return;
      case 'garbage':
        socket.end('SSH-2.0-nothing\r\n');
        return;
      default:
        break;
    }
    if (fault === 'hints') {
      response.writeEarlyHints({ link: '</a>; rel=preload' });
    }
    response.writeHead(200, { 'content-length': text.length, 'x-target': this.name });
    response.end(text, () => {
      if (fault === 'die-after-answer') {
        socket.destroy();
      } else if (fault === 'drop-all-after-answer') {
        this.closeAllConnections();
      }
    });
  }
}
