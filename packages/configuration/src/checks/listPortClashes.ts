/**
 * Clashes between the ports of one process.
 */
import defaults from '../defaults.js';
import type Finding from '../Finding.js';

const KEYS = ['callerPort', 'peerPort', 'adminPort'] as const;

/** Ports that two listeners would share, defaults counted in. */
export default function listPortClashes(settings: unknown): readonly Finding[] {
  const given = (settings ?? {}) as Readonly<Record<string, unknown>>;
  const ports = KEYS.map((key) => ({ key, port: given[key] ?? defaults.settings[key] }));
  return ports.flatMap(({ key, port }, index) => {
    const clash = ports.slice(0, index).find((other) => other.port === port);
    const found = `port ${String(port)} again`;
    return clash === undefined
      ? []
      : [{ path: [key], found, expected: `a port other than that of "${clash.key}"` }];
  });
}
