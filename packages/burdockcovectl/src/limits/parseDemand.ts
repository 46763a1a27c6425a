/**
 * Demand as given on the command line.
 */
import { none, some, type Option } from 'fp-ts/lib/Option.js';
import type Demand from './Demand.js';

const PATTERN = /^([a-z0-9-]+)@([a-z0-9-]+)=(\d+(?:\.\d+)?)(?::(\d+(?:\.\d+)?))?$/;

/** `SERVICE@REGION=IN_FLIGHT[:PER_SECOND]`. */
export default function parseDemand(text: string): Option<Demand> {
  const match = PATTERN.exec(text);
  if (match === null) {
    return none;
  }
  const [, service = '', region = '', inFlight, perSecond] = match;
  return some({
    service,
    region,
    inFlight: Number(inFlight),
    perSecond: Number(perSecond ?? 0),
  });
}
