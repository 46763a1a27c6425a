/**
 * The assembled shares of capacity.
 */
import type Child from '@burdockcove/runtime/Child';
import type RouteRegistrar from '@burdockcove/control/peer/RouteRegistrar';
import type OwnedSlotLedger from '@burdockcove/shares/OwnedSlotLedger';
import type TokenBucketLinkBudget from '@burdockcove/shares/TokenBucketLinkBudget';
import type ReplicaShiftPositions from '@burdockcove/shares/shift/ReplicaShiftPositions';
import type SteeringSource from '@burdockcove/steering/SteeringSource';

/** `children` run after the replica and the peer server. */
interface ShareParts {
  readonly ledger: OwnedSlotLedger;
  readonly links: TokenBucketLinkBudget;
  readonly positions: ReplicaShiftPositions;
  readonly steering: SteeringSource;
  readonly routes: RouteRegistrar;
  readonly children: readonly Child[];
}

export default ShareParts;
