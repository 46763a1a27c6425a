/**
 * Finds the service of a request and the semantics of its operation.
 */
import { fromNullable, type Option } from 'fp-ts/lib/Option.js';
import type OperationSemantics from '@burdockcove/types/OperationSemantics';
import type Service from '@burdockcove/types/Service';
import type ServiceMatch from '@burdockcove/types/ServiceMatch';
import hasPathPrefix from './hasPathPrefix.js';

interface Rule {
  readonly match: ServiceMatch;
  readonly service: Service;
}

/** Targets may normalize such paths differently, so a prefix match cannot be relied upon. */
const AMBIGUOUS_PATH = /\/\/|\\|\/\.{1,2}(?:\/|$)|%(?:2e|2f|5c)/i;

function removeQuery(path: string): string {
  const end = path.indexOf('?');
  return end < 0 ? path : path.slice(0, end);
}

function getFirstHostLabel(host: string): string {
  const end = host.search(/[.:]/);
  return (end < 0 ? host : host.slice(0, end)).toLowerCase();
}

/**
 * Rules with a host take precedence, then the service named by the host, then rules with a path
 * only.
 */
export default class ServiceIndex {
  private readonly byName: ReadonlyMap<string, Service>;

  private readonly rules: readonly Rule[];

  constructor(services: readonly Service[]) {
    this.byName = new Map(services.map((service) => [service.name, service]));
    this.rules = services
      .flatMap((service) => service.match.map((match) => ({ match, service })))
      .sort((left, right) => right.match.pathPrefix.length - left.match.pathPrefix.length);
  }

  /** Among rules of the same kind, the longest matching path prefix applies. */
  findService(host: string, path: string): Option<Service> {
    const label = getFirstHostLabel(host);
    const pathname = removeQuery(path);
    const byHost = this.findRule(label, pathname);
    return fromNullable(byHost ?? this.byName.get(label) ?? this.findRule(undefined, pathname));
  }

  findByName(name: string): Option<Service> {
    return fromNullable(this.byName.get(name));
  }

  private findRule(host: string | undefined, path: string): Service | undefined {
    return this.rules.find(
      ({ match }) => match.host?.toLowerCase() === host && hasPathPrefix(path, match.pathPrefix),
    )?.service;
  }

  /** Returns at-most-once if no operation matches or the path is ambiguous. */
  static findSemantics(service: Service, method: string, path: string): OperationSemantics {
    const pathname = removeQuery(path);
    if (AMBIGUOUS_PATH.test(pathname)) {
      return 'at-most-once';
    }
    const operation = service.operations.find(
      (each) =>
        (each.method === '*' || each.method === method) && hasPathPrefix(pathname, each.pathPrefix),
    );
    return operation?.semantics ?? 'at-most-once';
  }
}
