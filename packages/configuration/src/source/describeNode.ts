/**
 * Naming of what a file holds.
 */
import { getNodeValue, type Node } from 'jsonc-parser';

const MAX_SHOWN = 60;

/** Short text for a value as it was found. */
export default function describeNode(node: Node): string {
  if (node.type === 'object') {
    return 'an object';
  }
  if (node.type === 'array') {
    const length = node.children?.length ?? 0;
    return length === 0 ? 'an empty list' : `a list of ${length}`;
  }
  const shown = JSON.stringify(getNodeValue(node));
  return shown.length > MAX_SHOWN ? `${shown.slice(0, MAX_SHOWN)}…` : shown;
}
