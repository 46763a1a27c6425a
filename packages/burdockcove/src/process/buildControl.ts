/**
 * Assembly of control.
 */
import { isNone, some } from 'fp-ts/lib/Option.js';
import StoreConfigurationSource from '@burdockcove/control/configuration/StoreConfigurationSource';
import GossipMembership from '@burdockcove/control/membership/GossipMembership';
import VmListTask from '@burdockcove/control/membership/VmListTask';
import PeerClients from '@burdockcove/control/peer/PeerClients';
import StateReplica from '@burdockcove/control/replica/StateReplica';
import StoreFollower from '@burdockcove/control/replica/StoreFollower';
import CountingStore from '@burdockcove/platform/CountingStore';
import type RoleKeeper from '@burdockcove/platform/RoleKeeper';
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

function buildOpenRole(role: string): RoleKeeper {
  const key = `roles/${role}`;
  return { role, getHeldRole: () => some({ role, epoch: 0, key }) };
}

/** Everything that agrees on something goes through the store or the replica built here. */
export default function buildControl({
  settings,
  store,
  vmList,
  clock,
  random,
  logger,
  registry,
}: EntryVmParts): ControlParts {
  const replica = new StateReplica(clock, registry);
  const configuration = new StoreConfigurationSource(replica, logger, registry);
  const findRegion = (name: string): string => {
    const current = configuration.getCurrent();
    const domains = isNone(current) ? [] : current.value.configuration.failureDomains;
    return domains.find((domain) => domain.name === name)?.region ?? '';
  };
  const membership = new GossipMembership(clock, buildSelf(settings), findRegion, registry);
  configuration.subscribe(() => membership.noteChange());
  const { pollMs } = settings.vmList;
  const list = new VmListTask(clock, random, logger, vmList, membership, pollMs, registry);
  const replicaStore = new CountingStore(store, 'replica', registry);
  const follower = new StoreFollower(
    clock,
    random,
    logger,
    replicaStore,
    replica,
    () => true,
    registry,
  );
  return {
    replica,
    configuration,
    membership,
    peers: new PeerClients(),
    roles: {
      planner: buildOpenRole(`planner/${settings.region}`),
      shift: buildOpenRole('shift'),
    },
    audit: { recordDecision: (record) => logger.info('decision', { ...record }) },
    routes: [],
    children: [list, follower],
  };
}
