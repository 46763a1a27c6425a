/**
 * Kinds of headers, by how they are forwarded.
 */

/** Headers of RFC 9110 section 7.6.1, which concern one connection only. */
const HOP_BY_HOP: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'transfer-encoding',
  'upgrade',
];

/** `expect` is handled by the server of each hop. */
const REPLACED: readonly string[] = ['expect', 'via', 'x-forwarded-for'];

/** Headers that only burdockcove itself or a target's shed response may set. */
const RESERVED: readonly string[] = ['burdockcove-outcome', 'target-outcome'];

type HeaderKind = 'keep' | 'hop' | 'replaced' | 'reserved' | 'host';

const KINDS: ReadonlyMap<string, HeaderKind> = new Map<string, HeaderKind>([
  ...HOP_BY_HOP.map((name) => [name, 'hop'] as const),
  ...REPLACED.map((name) => [name, 'replaced'] as const),
  ...RESERVED.map((name) => [name, 'reserved'] as const),
  ['host', 'host'],
]);

/** Size of the cache of spellings, which avoids converting common ones to lower case each time. */
const MAX_CACHED_NAMES = 1024;
/** Callers may invent names as long as a head. */
const MAX_CACHED_LENGTH = 64;
const cachedKinds = new Map<string, HeaderKind>();

/** Returns the kind of a header; its name is matched case-insensitively. */
export default function classifyHeader(name: string): HeaderKind {
  const known = cachedKinds.get(name);
  if (known !== undefined) {
    return known;
  }
  const kind = KINDS.get(name.toLowerCase()) ?? 'keep';
  if (cachedKinds.size < MAX_CACHED_NAMES && name.length <= MAX_CACHED_LENGTH) {
    cachedKinds.set(name, kind);
  }
  return kind;
}
