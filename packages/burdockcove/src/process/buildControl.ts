/**
 * Assembly of control.
 */
import ControlPlane from '@burdockcove/control/ControlPlane';
import StoreAuditTrail from '@burdockcove/control/audit/StoreAuditTrail';
import PeerClients from '@burdockcove/control/peer/PeerClients';
import LeaseRoleKeeper from '@burdockcove/control/roles/LeaseRoleKeeper';
import RendezvousCandidacy from '@burdockcove/control/roles/RendezvousCandidacy';
import CountingStore from '@burdockcove/store/CountingStore';
import type EntryVm from '@burdockcove/types/EntryVm';
import type Settings from '@burdockcove/types/Settings';
import type ControlParts from './ControlParts.js';
import type EntryVmParts from './EntryVmParts.js';

function buildSelf(settings: Settings): EntryVm {
  return {
    address: `${settings.ip}:${settings.callerPort}`,
    peerAddress: `${settings.ip}:${settings.peerPort}`,
    region: settings.region,
    failureDomain: settings.failureDomain,
  };
}

function buildRole(
  role: string,
  { clock, random, logger, store, registry }: EntryVmParts,
  { membership, replica }: ControlPlane,
  region = '',
): LeaseRoleKeeper {
  const counted = new CountingStore(store, 'roles', registry);
  const isInformed = (): boolean => membership.hasList() && replica.isReady();
  const candidacy = new RendezvousCandidacy(membership, region, isInformed);
  return new LeaseRoleKeeper(role, clock, random, logger, counted, candidacy);
}

/** Everything that agrees on something goes through the store or the replica built here. */
export default function buildControl(parts: EntryVmParts): ControlParts {
  const { settings, store, vmList, clock, random, logger, registry } = parts;
  const self = buildSelf(settings);
  const peers = new PeerClients();
  const plane = new ControlPlane({
    clock,
    random,
    logger,
    registry,
    self,
    store,
    vmList,
    vmListPollMs: settings.vmList.pollMs,
    transports: peers,
  });
  const { replica, configuration, membership } = plane;
  const planner = buildRole(`planner/${settings.region}`, parts, plane, settings.region);
  const shift = buildRole('shift', parts, plane);
  const auditStore = new CountingStore(store, 'audit', registry);
  const audit = new StoreAuditTrail(clock, random, logger, auditStore, self.address, registry);
  return {
    replica,
    configuration,
    membership,
    peers,
    roles: { planner, shift },
    audit,
    routes: [plane.registerRoutes],
    children: [...plane.children, planner, shift, audit],
  };
}
