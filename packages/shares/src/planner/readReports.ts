/**
 * Asking entry VMs what they use.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type EntryVm from '@burdockcove/types/EntryVm';
import type ShareReport from '../ShareReport.js';
import type ShareTransport from '../ShareTransport.js';

/** Calls under way at once. */
const MAX_CALLS = 16;

/** Reads reports; entry VMs that do not answer are left out. */
export default async function readReports(
  transport: ShareTransport,
  region: string,
  vms: readonly Pick<EntryVm, 'address' | 'peerAddress'>[],
): Promise<ReadonlyMap<string, ShareReport>> {
  const reports = new Map<string, ShareReport>();
  const waiting = [...vms];
  const work = async (): Promise<void> => {
    for (let vm = waiting.pop(); vm !== undefined; vm = waiting.pop()) {
      const report = await transport.readShares(vm.peerAddress, region)();
      if (isRight(report)) {
        reports.set(vm.address, report.right);
      }
    }
  };
  await Promise.all(Array.from({ length: MAX_CALLS }, work));
  return reports;
}
