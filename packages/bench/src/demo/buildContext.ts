/**
 * The operators' tool as the demo uses it.
 */
import { randomUUID } from 'node:crypto';
import { right } from 'fp-ts/lib/Either.js';
import type CommandContext from 'burdockcovectl/commands/CommandContext';
import type Deployment from '../deployment/Deployment.js';

/** Commands run against the deployment's store as `burdockcovectl` runs them. */
export default function buildContext(deployment: Deployment, operator: string): CommandContext {
  return {
    store: deployment.operatorStore,
    clock: deployment.clock,
    operator,
    createId: randomUUID,
    admins: [],
    fetchAdmin: async () => right({}),
  };
}
