/**
 * The ledgers of entry VMs that lend each other idle slots.
 */
import { none, some } from 'fp-ts/lib/Option.js';
import StaticMembership from '@burdockcove/control/StaticMembership';
import type Replica from '@burdockcove/store/Replica';
import type Clock from '@burdockcove/runtime/Clock';
import Random from '@burdockcove/runtime/Random';
import DEFAULT_SHARE_TIMING from '@burdockcove/shares/DEFAULT_SHARE_TIMING';
import encodeRegionPlan from '@burdockcove/shares/encodeRegionPlan';
import getPlanKey from '@burdockcove/shares/getPlanKey';
import IdleLendingPolicy from '@burdockcove/shares/IdleLendingPolicy';
import LoanClient from '@burdockcove/shares/LoanClient';
import LoanService from '@burdockcove/shares/LoanService';
import OwnedSlotLedger from '@burdockcove/shares/OwnedSlotLedger';
import type RegionPlan from '@burdockcove/shares/RegionPlan';
import type ConfigurationSource from '@burdockcove/types/ConfigurationSource';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Service from '@burdockcove/types/Service';
import type SlotLedger from '@burdockcove/types/SlotLedger';
import type Target from '@burdockcove/types/Target';
import DelayedShareTransport from './DelayedShareTransport.js';
import sleep from './sleep.js';
import splitSlots from './splitSlots.js';

/** One region with its targets and the entry VMs that own their slots. */
interface LoanRegion {
  readonly region: string;
  readonly vms: number;
  readonly targets: readonly Target[];
}

interface LoanOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly service: Service;
  readonly regions: readonly LoanRegion[];
  /** One-way delay between VMs of one region, and of two, in milliseconds. */
  readonly oneWayMs: { readonly near: number; readonly far: number };
  readonly signal: AbortSignal;
}

const LENDING_RESERVE = 0.1;
const ROUND_MS = 100;

function buildVms({ region, vms }: LoanRegion): readonly EntryVm[] {
  return Array.from({ length: vms }, (_, index) => {
    const address = `${region}-vm-${String(index)}`;
    return { address, peerAddress: address, region, failureDomain: `${region}-a` };
  });
}

function buildPlan(options: LoanOptions, loanRegion: LoanRegion): RegionPlan {
  const { region, vms, targets } = loanRegion;
  const shares = splitSlots(targets, vms);
  return {
    version: 1,
    region,
    configurationRevision: 1,
    epoch: 1,
    longestDeadlineMs: options.service.deadlineMs,
    targets: targets.map(({ name }) => name),
    slots: targets.map(({ slots }) => slots),
    rows: buildVms(loanRegion).map(({ address, peerAddress }, index) => {
      const row = targets.map(({ name }) => shares[index]?.get(name) ?? 0);
      return { address, peerAddress, shares: row, held: row };
    }),
  };
}

function buildConfiguration({ service, regions }: LoanOptions): ConfigurationSource {
  const configuration = {
    version: 1,
    regions: [],
    failureDomains: [],
    links: [],
    services: [service],
    targets: regions.flatMap(({ targets }) => targets),
    selectors: [],
    clientBlocks: [],
    entriesMaxAgeSeconds: 30,
    maxEntryVms: 12,
  } as const;
  const accepted = {
    version: 1,
    revision: 1,
    changeId: '',
    operator: '',
    reason: '',
    baseRevision: 0,
    acceptedAt: '',
    configuration,
  } as const;
  return { getCurrent: () => some(accepted), subscribe: () => () => undefined };
}

function buildReplica(options: LoanOptions): Replica {
  const entries = options.regions.map((region) => ({
    key: getPlanKey(region.region),
    value: encodeRegionPlan(buildPlan(options, region)),
    revision: 1,
  }));
  return {
    getEntry: () => none,
    listEntries: () => entries,
    subscribe: () => () => undefined,
    getAgeMs: () => 0,
  };
}

/** Runs the loans of all VMs over a network with the delays given; a plan splits the slots evenly at the start. */
export default function buildLoanLedgers(options: LoanOptions): readonly SlotLedger[] {
  const { clock, seed, regions, signal } = options;
  const vms = regions.flatMap(buildVms);
  const replica = buildReplica(options);
  const configuration = buildConfiguration(options);
  const services = new Map<string, LoanService>();
  return vms.map((vm, index) => {
    const others = vms.filter((other) => other !== vm);
    const membership = new StaticMembership(vm, others);
    const timing = DEFAULT_SHARE_TIMING;
    const ledger = new OwnedSlotLedger(clock, timing, membership, configuration, replica);
    // The VMs owned nothing before the simulation began, so there is nothing to wait out.
    regions.forEach(({ region }) => ledger.confirmPlan(region, none));
    const service = new LoanService(ledger, timing, new IdleLendingPolicy(LENDING_RESERVE));
    services.set(vm.address, service);
    const transport = new DelayedShareTransport(clock, services, (peer) =>
      peer.startsWith(`${vm.region}-vm-`) ? options.oneWayMs.near : options.oneWayMs.far,
    );
    const random = new Random(seed + index);
    const client = new LoanClient(clock, random, timing, membership, ledger, transport);
    const fail = (error: unknown): void => {
      throw error;
    };
    client.run(signal).catch(fail);
    const keep = async (): Promise<void> => {
      while (!signal.aborted) {
        service.removeExpired();
        ledger.plans.listUnconfirmed(vm.region);
        ledger.notifyListeners();
        await sleep(clock, ROUND_MS);
      }
    };
    keep().catch(fail);
    return ledger;
  });
}
