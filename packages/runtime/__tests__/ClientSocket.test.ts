/**
 * Ends of connections that undici uses, at moments at which it has paused the response.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { Client, type Dispatcher } from 'undici';
import ClientSocket from '../src/ClientSocket.js';
import connectClient from '../src/connectClient.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const PARTS = ['first part;', 'second part;', 'last part'];
const PART_INTERVAL_MS = 20;
const PAUSE_MS = 60;
const CONNECT_TIMEOUT_MS = 1000;

/** Sends the parts one after another and ends the connection right after the last one. */
async function sendParts(socket: Socket, parts: readonly string[]): Promise<void> {
  socket.write(HEAD);
  for (const part of parts) {
    await new Promise((resolve) => {
      setTimeout(resolve, PART_INTERVAL_MS);
    });
    socket.write(part);
  }
  socket.end();
}

/** Pauses after each piece of the body for longer than the target needs to send the rest. */
class PausingHandler implements Dispatcher.DispatchHandler {
  body = '';

  isStarted = false;

  constructor(private readonly settle: (result: string) => void) {}

  onRequestStart(): void {
    this.isStarted = true;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.body += chunk.toString('latin1');
    if (chunk.length > 0) {
      // undici passes an empty piece when it goes on after a pause.
      controller.pause();
      setTimeout(() => controller.resume(), PAUSE_MS);
    }
  }

  onResponseEnd(): void {
    this.settle('complete');
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    this.settle(error.message);
  }
}

describe('ClientSocket', () => {
  let server: Server;
  let client: Client;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => sendParts(socket, PARTS));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    client = new Client(`http://127.0.0.1:${port}`, {
      connect: (options, done) => connectClient(options, CONNECT_TIMEOUT_MS, done),
    });
  });

  afterEach(async () => {
    await client.destroy();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  // Guards against LOST: the end was reported while the response was paused, which ended the process.
  it('reports the end of a connection once the paused response has been read', async () => {
    let handler: PausingHandler | undefined;
    const result = await new Promise<string>((settle) => {
      handler = new PausingHandler(settle);
      client.dispatch({ method: 'GET', path: '/' }, handler);
    });
    expect([result, handler?.body]).to.deep.equal(['complete', PARTS.join('')]);
  });

  // Guards against LOST: each pause copied all that had arrived after it.
  it('gives back the rest of a chunk as it is, before what has arrived after it', () => {
    const socket = new ClientSocket();
    socket.on('error', () => undefined);
    socket.push(Buffer.from('first second'));
    const rest = (socket.read() as Buffer).subarray(6);
    socket.unshift(rest);
    socket.push(Buffer.from(' third'));
    expect(socket.read()).to.equal(rest);
    expect(String(socket.read())).to.equal(' third');
    socket.destroy();
  });
});
