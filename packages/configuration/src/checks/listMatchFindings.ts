/**
 * Clashes of service matches.
 */
import type Finding from '../Finding.js';
import type ConfigurationDraft from './ConfigurationDraft.js';

function describeMatch(host: string | undefined, pathPrefix: string): string {
  return `${host === undefined ? 'any host' : `host ${JSON.stringify(host)}`} and path ${JSON.stringify(pathPrefix)}`;
}

/** Matches that two services have, and queues longer than the service's limit. */
export default function listMatchFindings({ services }: ConfigurationDraft): readonly Finding[] {
  const owners = new Map<string, string>();
  const clashes = services.flatMap(({ index, item }) =>
    item.match.flatMap(({ host, pathPrefix }, position) => {
      const described = describeMatch(host, pathPrefix);
      const owner = owners.get(described);
      owners.set(described, owner ?? item.name);
      const expected = `a match other than one of service ${JSON.stringify(owner)}`;
      const path = ['services', index, 'match', position];
      return owner === undefined ? [] : [{ path, found: `${described} again`, expected }];
    }),
  );
  const queues = services
    .filter(({ item }) => item.maxQueuePerVm > item.maxRequestsPerVm)
    .map(({ index, item }) => ({
      path: ['services', index, 'maxQueuePerVm'],
      found: `a queue of ${item.maxQueuePerVm}`,
      expected: `at most "maxRequestsPerVm", which is ${item.maxRequestsPerVm}`,
    }));
  return [...clashes, ...queues];
}
