/**
 * Callers in every region of a deployment.
 */
import CallerStandIn from '@burdockcove/standins/caller/CallerStandIn';
import type Deployment from './Deployment.js';

const CALLERS_PER_REGION = 2;
/** Beyond every deadline, so that a stalled machine does not make a caller leave before its answer. */
const CALLER_TIMEOUT_MS = 20_000;
/** Third octet of the first region's callers, as in the examples' client blocks. */
const FIRST_CALLER_NET = 101;

/** Callers by name; their addresses lie in the client blocks of the examples. */
export default function buildCallers(deployment: Deployment): ReadonlyMap<string, CallerStandIn> {
  const { configuration, options, vms, clock } = deployment;
  const entries = vms.map(({ address }) => address);
  const callers = configuration.regions.flatMap((region, index) =>
    Array.from({ length: CALLERS_PER_REGION }, (_none, position) => {
      const name = `${region.name}-${position + 1}`;
      const localIp = `127.${options.octet}.${FIRST_CALLER_NET + index}.${position + 1}`;
      const caller = { name, localIp, entries, timeoutMs: CALLER_TIMEOUT_MS };
      return [name, new CallerStandIn(caller, clock)] as const;
    }),
  );
  return new Map(callers);
}
