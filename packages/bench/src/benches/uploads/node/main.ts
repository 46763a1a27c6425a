/**
 * One entry VM's request path, which tells its memory when asked.
 */
import buildConfiguration from '../../entryNode/buildConfiguration.js';
import startNode from '../../entryNode/startNode.js';

const IP = '127.0.8.5';
const SEED = 1;
const SLOTS = 64;
const DEADLINE_MS = 30_000;

const addresses = process.argv.slice(2);
const accepted = buildConfiguration({ addresses, slots: SLOTS, deadlineMs: DEADLINE_MS });
const node = await startNode(IP, accepted, SEED);
process.send?.(node.server.getAddress());
process.on('message', () => {
  globalThis.gc?.();
  process.send?.(process.memoryUsage().rss);
});
process.on('disconnect', () => process.exit(0));
