/**
 * The store stand-in behind the etcd v3 JSON gateway's protocol, on a loopback port.
 */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type StoreError from '@burdockcove/types/StoreError';
import type StoreStandIn from './StoreStandIn.js';
import answerGatewayCall from './answerGatewayCall.js';
import streamGatewayWatch from './streamGatewayWatch.js';

const STATUS_OF_ERROR: Readonly<Record<StoreError['_tag'], number>> = {
  StoreRefused: 429,
  StoreUnavailable: 503,
  StoreAnswerLost: 503,
  StoreMalformed: 400,
};

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Refuses connections while the stand-in is down; a lost answer is a connection that breaks. */
export default class StoreServer {
  private server: Server | undefined;

  private address: AddressInfo | undefined;

  private unsubscribe = (): void => undefined;

  constructor(private readonly store: StoreStandIn) {}

  /** Starts to listen; port zero takes a free one. Returns `IP:PORT`. */
  async start(ip: string, port: number): Promise<string> {
    const address = await this.listen(ip, port);
    this.unsubscribe = this.store.subscribeDown((down) => this.followDown(down));
    return address;
  }

  async stop(): Promise<void> {
    this.unsubscribe();
    await this.closeServer();
  }

  private async listen(ip: string, port: number): Promise<string> {
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    this.server.listen(port, ip);
    await once(this.server, 'listening');
    this.address = this.server.address() as AddressInfo;
    return `${this.address.address}:${this.address.port}`;
  }

  private followDown(down: boolean): void {
    const { address } = this;
    if (down) {
      this.closeServer().catch(() => undefined);
    } else if (address !== undefined && this.server === undefined) {
      this.listen(address.address, address.port).catch(() => undefined);
    }
  }

  private async closeServer(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (server !== undefined) {
      server.close();
      server.closeAllConnections();
      await once(server, 'close');
    }
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (request.url === '/v3/watch') {
      await streamGatewayWatch(this.store, body, response);
      return;
    }
    const result = await answerGatewayCall(this.store, request.url ?? '', body);
    if (result._tag === 'Right') {
      sendJson(response, 200, result.right);
    } else if (result.left._tag === 'StoreAnswerLost') {
      response.destroy();
    } else {
      sendJson(response, STATUS_OF_ERROR[result.left._tag], { message: result.left.detail });
    }
  }
}
