/**
 * The baseline: a plain Node.js server that gives one answer to whatever it is asked.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

const entries = Array.from({ length: 8 }, (_, index) => ({
  address: `10.9.0.${index + 1}:8080`,
  region: 'jabar',
  failureDomain: 'bdg-a',
}));
const body = Buffer.from(JSON.stringify({ revision: 1, maxAgeSeconds: 10, entries }));
const headers = {
  'Content-Type': 'application/json',
  'Content-Length': body.length,
  'Cache-Control': 'max-age=10',
};

const server = createServer((_request, response) => {
  response.writeHead(200, headers);
  response.end(body);
});
server.listen(0, '127.0.8.10', () => {
  process.send?.(`127.0.8.10:${(server.address() as AddressInfo).port}`);
});
process.on('message', () => {
  const { user, system } = process.cpuUsage();
  process.send?.(user + system);
});
process.on('disconnect', () => process.exit(0));
