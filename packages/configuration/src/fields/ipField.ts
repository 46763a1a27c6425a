/**
 * Schema of IP numbers.
 */
import { isSome } from 'fp-ts/lib/Option.js';
import { z } from 'zod';
import parseIpv4 from '@burdockcove/steering/parseIpv4';

const ERROR = 'an IPv4 number such as "10.0.0.1"';

/** An IPv4 number. */
const ipField = z.string({ error: ERROR }).refine((text) => isSome(parseIpv4(text)), {
  error: ERROR,
});

export default ipField;
