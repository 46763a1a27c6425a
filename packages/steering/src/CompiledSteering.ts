/**
 * The configuration compiled for the request path.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type KeyRule from '@burdockcove/types/KeyRule';
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type Route from '@burdockcove/types/Route';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Selector from '@burdockcove/types/Selector';
import type Service from '@burdockcove/types/Service';
import type ShiftPositions from '@burdockcove/types/ShiftPositions';
import type Steering from '@burdockcove/types/Steering';
import type CompiledRoute from './CompiledRoute.js';
import CompiledSelector from './CompiledSelector.js';
import type ConfigurationIndex from './ConfigurationIndex.js';
import hasLabels from './hasLabels.js';
import type LabelledTarget from './LabelledTarget.js';
import listRegionCandidates from './listRegionCandidates.js';
import type RouteSequences from './RouteSequences.js';
import ServiceIndex from './ServiceIndex.js';

/** Dependencies of a compiled steering besides the configuration. */
interface SteeringContext {
  readonly ownRegion: string;
  readonly positions: ShiftPositions;
  readonly sequences: RouteSequences;
  /** Whether the VM list reports the target at this address as leaving. */
  readonly isTargetLeaving: (address: string) => boolean;
}

/** Immutable except for the weights in force, which are read on each request. */
export default class CompiledSteering implements Steering {
  readonly revision: number;

  private readonly selectors = new Map<string, CompiledSelector>();

  private readonly candidates = new Map<string, readonly LabelledTarget[]>();

  private readonly defaultPlans = new Map<string, RoutePlan>();

  constructor(
    readonly index: ConfigurationIndex,
    private readonly context: SteeringContext,
  ) {
    this.revision = index.revision;
    index.configuration.services.forEach(({ name }) => {
      this.candidates.set(name, index.listTargets(name).filter(this.isCandidate));
    });
    index.configuration.selectors.forEach((selector) => {
      this.selectors.set(selector.name, this.compileSelector(selector));
    });
  }

  findService(host: string, path: string): Option<Service> {
    return this.index.services.findService(host, path);
  }

  getKeyRule(): KeyRule {
    return 'none';
  }

  findCustomer(): undefined {
    return undefined;
  }

  getSemantics(service: Service, method: string, path: string): OperationSemantics {
    return ServiceIndex.findSemantics(service, method, path);
  }

  planRoute(service: Service, clientAddress: string): RoutePlan {
    const clientRegion = this.index.clientBlocks.findRegion(clientAddress);
    const selector = this.findSelector(service.name, clientRegion);
    return selector?.planRoute(clientRegion) ?? this.buildDefaultPlan(service.name, clientRegion);
  }

  /** Returns the compiled selector that applies to clients of this region, or undefined. */
  findSelector(service: string, clientRegion: string): CompiledSelector | undefined {
    const selector = this.index.findSelector(service, clientRegion);
    return selector && this.selectors.get(selector.name);
  }

  /**
   * Returns every plan that `planRoute` may return for clients of this region, without drawing a
   * route.
   */
  listPlans(service: string, clientRegion: string): readonly RoutePlan[] {
    const selector = this.findSelector(service, clientRegion);
    return selector?.listPlans(clientRegion) ?? [this.buildDefaultPlan(service, clientRegion)];
  }

  /** Targets of the service that are not leaving. */
  listCandidates(service: string): readonly LabelledTarget[] {
    return this.candidates.get(service) ?? [];
  }

  /** Returns why the target accepts no new requests, or undefined if it accepts them. */
  getExclusionReason(labelled: LabelledTarget): string | undefined {
    if (labelled.isLabelledLeaving) {
      return 'the target, its failure domain or its region has the label leaving: "true"';
    }
    return this.context.isTargetLeaving(labelled.target.address)
      ? 'the VM list reports it as leaving or no longer contains it'
      : undefined;
  }

  private readonly isCandidate = (labelled: LabelledTarget): boolean =>
    this.getExclusionReason(labelled) === undefined;

  private compileSelector(selector: Selector): CompiledSelector {
    const { positions, sequences } = this.context;
    const compileRoute = (route: Route): CompiledRoute =>
      this.compileRoute(selector.service, route);
    const sequence = sequences.getSequence(selector.name);
    return new CompiledSelector(selector, positions, sequence, compileRoute);
  }

  private compileRoute(service: string, route: Route): CompiledRoute {
    const targets = this.listCandidates(service).filter(({ labels }) =>
      hasLabels(labels, route.targets),
    );
    return { route, regions: this.groupByRegion(targets) };
  }

  private groupByRegion(targets: readonly LabelledTarget[]): CompiledRoute['regions'] {
    return listRegionCandidates(targets, this.context.ownRegion, this.index.delays);
  }

  private buildDefaultPlan(service: string, clientRegion: string): RoutePlan {
    const key = `${service}>${clientRegion}`;
    const cached = this.defaultPlans.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const regions = this.groupByRegion(this.listCandidates(service));
    const plan = {
      selector: '',
      clientRegion,
      routeIndex: 0,
      targetService: service,
      regions,
    };
    this.defaultPlans.set(key, plan);
    return plan;
  }
}
