/**
 * Rank of a request under overload.
 */
import type ChoiceRequest from './ChoiceRequest.js';

/** Returns the customer's priority, else the service's; 0 is the most urgent. */
export default function getPriority({ priority, service }: ChoiceRequest): number {
  return priority ?? service.priority ?? 0;
}
