/**
 * What forwarding does with a header.
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

/** `expect` is answered by each hop's server itself. */
const REPLACED: readonly string[] = ['expect', 'via', 'x-forwarded-for'];

/** Words that only burdockcove itself or a target's shed answer may say. */
const RESERVED: readonly string[] = ['burdockcove-outcome', 'target-outcome'];

type HeaderKind = 'keep' | 'hop' | 'replaced' | 'reserved' | 'host';

const KINDS: ReadonlyMap<string, HeaderKind> = new Map<string, HeaderKind>([
  ...HOP_BY_HOP.map((name) => [name, 'hop'] as const),
  ...REPLACED.map((name) => [name, 'replaced'] as const),
  ...RESERVED.map((name) => [name, 'reserved'] as const),
  ['host', 'host'],
]);

/** Spellings remembered, so that usual ones are not put in lower case each time. */
const MAX_REMEMBERED = 1024;
const remembered = new Map<string, HeaderKind>();

/** The kind of a header by its name in any case. */
export default function classifyHeader(name: string): HeaderKind {
  const known = remembered.get(name);
  if (known !== undefined) {
    return known;
  }
  const kind = KINDS.get(name.toLowerCase()) ?? 'keep';
  if (remembered.size < MAX_REMEMBERED) {
    remembered.set(name, kind);
  }
  return kind;
}
