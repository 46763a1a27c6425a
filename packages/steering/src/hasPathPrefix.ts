/**
 * Path prefix matching.
 */

/**
 * Whether the path equals the prefix or continues it with a new segment; `/a` does not match `/ab`.
 */
export default function hasPathPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) {
    return false;
  }
  return path.length === prefix.length || prefix.endsWith('/') || path[prefix.length] === '/';
}
