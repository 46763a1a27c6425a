/**
 * The example configurations, moved to other loopback addresses.
 */
import { readFile } from 'node:fs/promises';
import { isLeft } from 'fp-ts/lib/Either.js';
import formatFaults from '@burdockcove/configuration/formatFaults';
import parseConfiguration from '@burdockcove/configuration/parseConfiguration';
import type Configuration from '@burdockcove/types/Configuration';
import type DeploymentOptions from './DeploymentOptions.js';

const EXAMPLES = new URL('../../../../examples/', import.meta.url);
/** Loopback numbers of the examples: 127.1.x.y and 127.2.x.y. */
const EXAMPLE_OCTETS = /"127\.[12]\./g;

/** Throws where the example has faults. */
export default async function readExample({
  name,
  octet,
  shiftWindowSeconds,
}: DeploymentOptions): Promise<Configuration> {
  const file = new URL(`${name}/configuration.jsonc`, EXAMPLES);
  const text = await readFile(file, 'utf8');
  const moved = text.replace(EXAMPLE_OCTETS, `"127.${octet}.`);
  const parsed = parseConfiguration(`${name}/configuration.jsonc`, moved);
  if (isLeft(parsed)) {
    throw new Error(formatFaults(parsed.left));
  }
  const selectors = parsed.right.selectors.map((selector) => ({
    ...selector,
    shift: { ...selector.shift, windowSeconds: shiftWindowSeconds },
  }));
  return { ...parsed.right, selectors, entriesMaxAgeSeconds: 2 };
}
