/**
 * Which service a request is for, and what its operation may bear.
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

/** A target may resolve these differently, so no prefix says what such a path means. */
const AMBIGUOUS_PATH = /\/\/|\\|\/\.{1,2}(?:\/|$)|%(?:2e|2f|5c)/i;

function removeQuery(path: string): string {
  const end = path.indexOf('?');
  return end < 0 ? path : path.slice(0, end);
}

function getFirstHostLabel(host: string): string {
  const end = host.search(/[.:]/);
  return (end < 0 ? host : host.slice(0, end)).toLowerCase();
}

/** Rules that name a host come first, then the service named by the host, then rules by path alone. */
export default class ServiceIndex {
  private readonly byName: ReadonlyMap<string, Service>;

  private readonly rules: readonly Rule[];

  constructor(services: readonly Service[]) {
    this.byName = new Map(services.map((service) => [service.name, service]));
    this.rules = services
      .flatMap((service) => service.match.map((match) => ({ match, service })))
      .sort((left, right) => right.match.pathPrefix.length - left.match.pathPrefix.length);
  }

  /** The longest matching path prefix decides among rules of one kind. */
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

  /** At-most-once where no operation matches or the path can be read in two ways. */
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
