/**
 * One entry VM's request path in a process of its own.
 */
import buildConfiguration from '../../entryNode/buildConfiguration.js';
import startNode from '../../entryNode/startNode.js';

const IP = '127.0.8.3';
const SEED = 1;
const SLOTS = 64;
const DEADLINE_MS = 5000;

const addresses = [process.argv[2] as string];
const accepted = buildConfiguration({ addresses, slots: SLOTS, deadlineMs: DEADLINE_MS });
const node = await startNode(IP, accepted, SEED);
process.send?.(node.server.getAddress());
process.on('disconnect', () => process.exit(0));
