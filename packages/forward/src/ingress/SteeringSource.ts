/**
 * Source of the active compiled configuration.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type Steering from '@burdockcove/types/Steering';

/** `getCurrent` returns none before the first configuration is received. */
interface SteeringSource {
  getCurrent(): Option<Steering>;
}

export default SteeringSource;
