/**
 * Moments as operators type them.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';

const TIME_OF_DAY = /^([01]?\d|2[0-3]):([0-5]\d)$/;
const AGO = /^(\d+)([smhd])$/;
const UNIT_MS = { s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 } as const;

function findTimeOfDay(hours: number, minutes: number, nowMs: number): number {
  const today = new Date(nowMs);
  today.setUTCHours(hours, minutes, 0, 0);
  return today.getTime() > nowMs ? today.getTime() - UNIT_MS.d : today.getTime();
}

/** `21:40` (UTC, the last one that has passed), `30m` ago (`s`, `m`, `h`, `d`), or ISO 8601. */
export default function parseTime(text: string, nowMs: number): Option<number> {
  const ofDay = TIME_OF_DAY.exec(text);
  if (ofDay !== null) {
    return some(findTimeOfDay(Number(ofDay[1]), Number(ofDay[2]), nowMs));
  }
  const ago = AGO.exec(text);
  if (ago !== null) {
    return some(nowMs - Number(ago[1]) * UNIT_MS[ago[2] as keyof typeof UNIT_MS]);
  }
  const iso = Date.parse(text);
  return Number.isNaN(iso) ? none : some(iso);
}
