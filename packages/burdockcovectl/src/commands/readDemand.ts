/**
 * Demand as the entry VMs observe it.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type Demand from '../limits/Demand.js';
import type CommandContext from './CommandContext.js';

/** The part of `GET /status` that tells demand; absent where the VM does not measure it. */
interface StatusWithDemand {
  readonly demand?: readonly Demand[];
}

/** Sums over the entry VMs that were named; one that does not answer adds nothing. */
export default async function readDemand(context: CommandContext): Promise<readonly Demand[]> {
  const sums = new Map<string, Demand>();
  for (const address of context.admins) {
    const answer = await context.fetchAdmin(address, '/status');
    const demand = isRight(answer) ? ((answer.right as StatusWithDemand).demand ?? []) : [];
    demand.forEach((each) => {
      const key = `${each.service}@${each.region}`;
      const sum = sums.get(key) ?? { ...each, inFlight: 0, perSecond: 0 };
      sums.set(key, {
        ...sum,
        inFlight: sum.inFlight + each.inFlight,
        perSecond: sum.perSecond + each.perSecond,
      });
    });
  }
  return [...sums.values()];
}
