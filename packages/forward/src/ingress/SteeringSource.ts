/**
 * The compiled configuration in force.
 */
import type { Option } from 'fp-ts/lib/Option.js';
import type Steering from '@burdockcove/types/Steering';

/** None before the first configuration arrived. */
interface SteeringSource {
  getCurrent(): Option<Steering>;
}

export default SteeringSource;
