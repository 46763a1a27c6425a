/**
 * What knowing the other entry VMs costs each of them.
 */
import { Registry } from 'prom-client';
import GossipMembership from '@burdockcove/control/membership/GossipMembership';
import FakeClock from '@burdockcove/runtime/FakeClock';
import type Vm from '@burdockcove/types/Vm';
import type SlopeMeasurement from '../SlopeMeasurement.js';
import twoYearTarget from '../twoYearTarget.js';
import measureBestMs from './measureBestMs.js';
import measureHeldBytes from './measureHeldBytes.js';

const SIZES = [750, 1500, 3000, 6000];
const VMS_PER_SUBNET = 250;

function buildVms(count: number): readonly Vm[] {
  return Array.from({ length: count }, (_none, index) => {
    const ip = `127.3.${Math.floor(index / VMS_PER_SUBNET)}.${1 + (index % VMS_PER_SUBNET)}`;
    return {
      address: `${ip}:8080`,
      peerAddress: `${ip}:8081`,
      kind: 'entry',
      failureDomain: `domain-${index % twoYearTarget.domains}`,
      state: 'live',
    };
  });
}

function buildMembership(): GossipMembership {
  const self = {
    address: '127.2.0.1:8080',
    peerAddress: '127.2.0.1:8081',
    region: 'region-0',
    failureDomain: 'domain-0',
  };
  const findRegion = (domain: string): string =>
    `region-${Number(domain.split('-')[1]) % twoYearTarget.regions}`;
  return new GossipMembership(new FakeClock(), self, findRegion, new Registry());
}

const memberMeasurements: readonly SlopeMeasurement[] = [
  {
    name: 'member-memory',
    summary: 'Memory of the member table in one entry VM',
    per: 'nodes',
    unit: 'bytes',
    sizes: SIZES,
    measure: async (size) =>
      measureHeldBytes(
        () => {
          const membership = buildMembership();
          membership.applyList(JSON.parse(JSON.stringify(buildVms(size))) as Vm[]);
          membership.getMembers();
          return membership;
        },
        (membership) => membership.getMembers(),
      ),
  },
  {
    name: 'member-list-ms',
    summary: 'Processor time to take in an unchanged VM list',
    per: 'nodes',
    unit: 'ms',
    sizes: SIZES,
    measure: async (size) => {
      const membership = buildMembership();
      const vms = buildVms(size);
      membership.applyList(vms);
      return measureBestMs(() => {
        membership.applyList(vms);
        membership.getMembers();
      });
    },
  },
];

export default memberMeasurements;
