/**
 * Fetches the share reports of entry VMs.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type EntryVm from '@burdockcove/types/EntryVm';
import type ShareReport from '../ShareReport.js';
import type ShareTransport from '../ShareTransport.js';

const MAX_CONCURRENT_CALLS = 16;

/** Returns the reports by address; entry VMs that do not respond are omitted. */
export default async function fetchReports(
  transport: ShareTransport,
  region: string,
  vms: readonly Pick<EntryVm, 'address' | 'peerAddress'>[],
): Promise<ReadonlyMap<string, ShareReport>> {
  const reports = new Map<string, ShareReport>();
  const pending = [...vms];
  const runWorker = async (): Promise<void> => {
    for (let vm = pending.pop(); vm !== undefined; vm = pending.pop()) {
      const report = await transport.readShares(vm.peerAddress, region)();
      if (isRight(report)) {
        reports.set(vm.address, report.right);
      }
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_CALLS }, runWorker));
  return reports;
}
