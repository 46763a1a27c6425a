/**
 * The traffic of each deployment's demo.
 */
import type TrafficFlow from '@burdockcove/standins/traffic/TrafficFlow';
import type DeploymentOptions from '../deployment/DeploymentOptions.js';

const DEADLINE_MS = 2000;
const MEMBERS = 6;

/** The kinds of request of a deployment, by what they mean there. */
interface DemoKind {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly requestsPerSecond: number;
}

const KINDS: Readonly<Record<DeploymentOptions['name'], readonly DemoKind[]>> = {
  java: [
    { service: 'catalogue', method: 'GET', path: '/lookups/sachet', requestsPerSecond: 120 },
    { service: 'ledger', method: 'POST', path: '/orders', requestsPerSecond: 60 },
  ],
  estonia: [
    { service: 'rota', method: 'GET', path: '/slots/today', requestsPerSecond: 120 },
    { service: 'rota', method: 'POST', path: '/bookings', requestsPerSecond: 30 },
    { service: 'valve', method: 'POST', path: '/unlocks', requestsPerSecond: 30 },
  ],
};

/** Flows of every kind, spread evenly over the callers. */
export default function demoTraffic(
  name: DeploymentOptions['name'],
  callers: readonly string[],
): readonly TrafficFlow[] {
  return KINDS[name].map(({ service, method, path, requestsPerSecond }) => ({
    callers,
    requestsPerSecond,
    buildRequest: (sequence) => ({
      service,
      member: `member-${sequence % MEMBERS}`,
      method,
      path,
      body: method === 'POST' ? `{"sequence":${sequence}}` : undefined,
      deadlineMs: DEADLINE_MS,
    }),
  }));
}
