/**
 * A target that answers at once, in a process of its own.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

const ANSWER_BYTES = 1024;
const answer = Buffer.alloc(ANSWER_BYTES, 'a');

const server = createServer((request, response) => {
  request.resume();
  request.on('end', () => {
    response.writeHead(200, {
      'content-type': 'text/plain',
      'content-length': ANSWER_BYTES,
      'cache-control': 'max-age=1',
    });
    response.end(answer);
  });
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.8.1', () => {
  const { address, port } = server.address() as AddressInfo;
  process.send?.(`${address}:${port}`);
});
process.on('disconnect', () => process.exit(0));
