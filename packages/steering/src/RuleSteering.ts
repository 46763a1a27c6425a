/**
 * Steering by rules for hosts and path prefixes.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type Customer from '@burdockcove/types/Customer';
import type KeyRule from '@burdockcove/types/KeyRule';
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';
import type Steering from '@burdockcove/types/Steering';
import type CustomerTable from './CustomerTable.js';
import type RoutingRule from './RoutingRule.js';
import TrafficSplitter from './TrafficSplitter.js';

/** Dependencies of the rules. */
interface RuleContext {
  /** All regions with targets. */
  readonly regions: readonly string[];
  readonly maxBodyBytes: number;
  readonly getConnectionsPerTarget: (service: string) => number;
  /** Absent: requests need no keys. */
  readonly customers?: CustomerTable | undefined;
}

interface CompiledRule {
  readonly rule: RoutingRule;
  readonly service: Service;
  readonly splitter: TrafficSplitter;
  readonly regions: RoutePlan['regions'];
}

/** A target may resolve a parent segment, and so serve the path of a rule that is not public. */
const PARENT_SEGMENT = /(?:[/\\]|%2f|%5c)(?:\.|%2e){2}(?:[/\\;]|%2f|%5c|$)/i;

const UNLIMITED = Number.MAX_SAFE_INTEGER;

function compileService(
  rule: RoutingRule,
  connectionsPerTarget: number,
  maxBodyBytes: number,
): Service {
  return {
    name: rule.name,
    match: [],
    objective: 'latency',
    billed: true,
    operations: [],
    deadlineMs: rule.timeoutMs,
    maxRequestsPerVm: UNLIMITED,
    maxQueuePerVm: UNLIMITED,
    retryBudget: 0,
    connectionsPerTarget,
    expectedAnswerBytes: 0,
    targetLatencyMs: rule.targetLatencyMs,
    priority: rule.priority,
    maxAttempts: rule.maxAttempts,
    maxBodyBytes,
  };
}

/** Returns the regions that the customer allows too. */
function limitRegions(regions: RoutePlan['regions'], customer?: Customer): RoutePlan['regions'] {
  if (customer?.hasUnreadableRegions === true) {
    return [];
  }
  const homeRegions = customer?.homeRegions ?? [];
  return homeRegions.length === 0
    ? regions
    : regions.filter(({ region }) => homeRegions.includes(region));
}

/** Compiled once per version. Rules are looked up by host, then by the longest path prefix. */
export default class RuleSteering implements Steering {
  private readonly hosts = new Map<string, CompiledRule[]>();

  private readonly rules = new Map<string, CompiledRule>();

  private readonly publicServices = new Set<Service>();

  private readonly customers: CustomerTable | undefined;

  constructor(
    readonly revision: number,
    rules: readonly RoutingRule[],
    context: RuleContext,
  ) {
    this.customers = context.customers;
    rules.forEach((rule) => this.addRule(rule, context));
    this.hosts.forEach((compiled) =>
      compiled.sort((a, b) => b.rule.pathPrefix.length - a.rule.pathPrefix.length),
    );
  }

  findService(host: string, path: string): Option<Service> {
    const [name = ''] = host.toLowerCase().split(':', 1);
    const [pathname = ''] = path.split('?', 1);
    const found = this.hosts.get(name)?.find(({ rule }) => pathname.startsWith(rule.pathPrefix));
    return found === undefined ? none : some(found.service);
  }

  getKeyRule(service: Service, path: string): KeyRule {
    if (this.customers === undefined) {
      return 'none';
    }
    const [pathname = ''] = path.split('?', 1);
    const isPublic = this.publicServices.has(service) && !PARENT_SEGMENT.test(pathname);
    return isPublic ? 'public' : 'required';
  }

  findCustomer(key: string): Customer | undefined {
    return this.customers?.findCustomer(key);
  }

  getSemantics(service: Service): OperationSemantics {
    return this.rules.get(service.name)?.rule.semantics ?? 'at-most-once';
  }

  planRoute(
    service: Service,
    _clientAddress: string,
    affinityKey?: string,
    customer?: Customer,
  ): RoutePlan {
    return this.buildPlan(service, customer, ({ rule, splitter }) =>
      splitter.choosePart(rule.isSticky ? affinityKey : undefined),
    );
  }

  /** Returns the plan that `planRoute` would return now; counts nothing. */
  describePlan(service: Service, affinityKey?: string, customer?: Customer): RoutePlan {
    return this.buildPlan(service, customer, ({ rule, splitter }) =>
      splitter.findPart(rule.isSticky ? affinityKey : undefined),
    );
  }

  /** Returns the customer with the name; searches all of them. */
  findCustomerByName(name: string): Customer | undefined {
    return this.customers?.listCustomers().find((customer) => customer.name === name);
  }

  private buildPlan(
    service: Service,
    customer: Customer | undefined,
    getPart: (compiled: CompiledRule) => number,
  ): RoutePlan {
    const compiled = this.rules.get(service.name);
    if (compiled === undefined || compiled.rule.parts.length === 0) {
      return { selector: '', clientRegion: '', routeIndex: 0, targetService: '', regions: [] };
    }
    const { rule, regions } = compiled;
    const routeIndex = getPart(compiled);
    const targetService = rule.parts[routeIndex]?.service ?? '';
    return {
      selector: rule.name,
      clientRegion: '',
      routeIndex,
      targetService,
      regions: limitRegions(regions, customer),
    };
  }

  /** Regions that may serve requests for the host; all regions if empty. */
  listHomeRegions(host: string): readonly string[] {
    const homeRegions = (this.hosts.get(host.toLowerCase()) ?? []).map(
      ({ rule }) => rule.homeRegions,
    );
    const restricted = homeRegions.filter((regions) => regions.length > 0);
    const [first] = restricted;
    return first === undefined
      ? []
      : first.filter((region) => restricted.every((regions) => regions.includes(region)));
  }

  private addRule(rule: RoutingRule, context: RuleContext): void {
    const connections = Math.min(
      UNLIMITED,
      ...rule.parts.map(({ service }) => context.getConnectionsPerTarget(service)),
    );
    const regions = context.regions
      .filter((region) => rule.homeRegions.length === 0 || rule.homeRegions.includes(region))
      // The target chooser lists the targets itself, since they change while a request is in flight.
      .map((region) => ({ region, oneWayMs: 0, targets: [] }));
    const compiled = {
      rule,
      service: compileService(rule, connections, context.maxBodyBytes),
      splitter: new TrafficSplitter(rule.parts.map(({ weight }) => weight)),
      regions,
    };
    if (rule.isPublic) {
      this.publicServices.add(compiled.service);
    }
    this.rules.set(rule.name, compiled);
    const host = rule.host.toLowerCase();
    this.hosts.set(host, [...(this.hosts.get(host) ?? []), compiled]);
  }
}
