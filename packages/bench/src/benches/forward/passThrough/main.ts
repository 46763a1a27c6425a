/**
 * The baseline: a plain pass-through of Node.js `http` and undici, in a process of its own.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Pool, type Dispatcher } from 'undici';

const pool = new Pool(`http://${process.argv[2]}`, { connections: 64 });

async function pass(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { connection, 'transfer-encoding': encoding, ...headers } = request.headers;
  const hasBody = encoding !== undefined || headers['content-length'] !== undefined;
  const answer = await pool.request({
    method: request.method as Dispatcher.HttpMethod,
    path: request.url as string,
    headers,
    body: hasBody ? request : null,
  });
  const { connection: hop, 'transfer-encoding': chunked, ...rest } = answer.headers;
  response.writeHead(answer.statusCode, rest);
  answer.body.pipe(response);
}

const server = createServer((request, response) => {
  pass(request, response).catch(() => response.writeHead(502).end());
});
server.listen(0, '127.0.8.2', () => {
  const { address, port } = server.address() as AddressInfo;
  process.send?.(`${address}:${port}`);
});
process.on('disconnect', () => process.exit(0));
