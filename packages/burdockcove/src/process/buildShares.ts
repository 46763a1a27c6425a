/**
 * Assembly of shares of capacity and of shifts.
 */
import CountingStore from '@burdockcove/store/CountingStore';
import ConnectShareTransport from '@burdockcove/shares/ConnectShareTransport';
import DEFAULT_SHARE_TIMING from '@burdockcove/shares/DEFAULT_SHARE_TIMING';
import LocalShareEndpoint from '@burdockcove/shares/LocalShareEndpoint';
import IdleLendingPolicy from '@burdockcove/shares/IdleLendingPolicy';
import LoanClient from '@burdockcove/shares/LoanClient';
import LoanService from '@burdockcove/shares/LoanService';
import OwnedSlotLedger from '@burdockcove/shares/OwnedSlotLedger';
import ShareMaintainer from '@burdockcove/shares/ShareMaintainer';
import TokenBucketLinkBudget from '@burdockcove/shares/TokenBucketLinkBudget';
import Planner from '@burdockcove/shares/planner/Planner';
import registerShareMetrics from '@burdockcove/shares/registerShareMetrics';
import registerShareService from '@burdockcove/shares/registerShareService';
import ReplicaShiftPositions from '@burdockcove/shares/shift/ReplicaShiftPositions';
import ShiftRunner from '@burdockcove/shares/shift/ShiftRunner';
import type StepEvaluator from '@burdockcove/shares/shift/StepEvaluator';
import SteeringSource from '@burdockcove/steering/SteeringSource';
import type ControlParts from './ControlParts.js';
import type EntryVmParts from './EntryVmParts.js';
import type ShareParts from './ShareParts.js';

/** Idle slots that an owner keeps for its own next requests, as a share of its slots. */
const KEPT_IDLE_SHARE = 0.25;

/** The planner and the shift runner act only while this VM holds their roles. */
export default function buildShares(
  { settings, store, clock, random, logger, registry }: EntryVmParts,
  { membership, configuration, replica, peers, roles, audit }: ControlParts,
  evidence: StepEvaluator,
): ShareParts {
  const timing = DEFAULT_SHARE_TIMING;
  const ledger = new OwnedSlotLedger(clock, timing, membership, configuration, replica);
  const links = new TokenBucketLinkBudget(clock, configuration);
  const positions = new ReplicaShiftPositions(configuration, replica);
  const steering = new SteeringSource({ source: configuration, membership, positions, random });
  const transport = new ConnectShareTransport(peers);
  const service = new LoanService(ledger, timing, new IdleLendingPolicy(KEPT_IDLE_SHARE));
  registerShareMetrics(registry, ledger, positions);
  const endpoint = new LocalShareEndpoint(ledger, service, positions);
  const planner = new Planner(
    clock,
    random,
    logger,
    timing,
    settings.region,
    roles.planner,
    membership,
    configuration,
    replica,
    new CountingStore(store, 'planner', registry),
    transport,
    audit,
  );
  const shiftRunner = new ShiftRunner(
    clock,
    random,
    logger,
    timing,
    roles.shift,
    membership,
    configuration,
    replica,
    new CountingStore(store, 'shift', registry),
    transport,
    evidence,
    audit,
  );
  const keeper = new ShareMaintainer(
    clock,
    logger,
    membership,
    new CountingStore(store, 'shares', registry),
    ledger,
    service,
  );
  const loans = new LoanClient(clock, random, timing, membership, ledger, transport);
  return {
    ledger,
    links,
    positions,
    steering,
    routes: (router) => registerShareService(router, endpoint),
    children: [keeper, loans, planner, shiftRunner],
  };
}
