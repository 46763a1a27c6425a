/**
 * Builds the key of the object that a request concerns.
 */
import type ChoiceRequest from '../ChoiceRequest.js';

/** Includes the service's name, since equal keys of different services stand for different objects. */
export default function buildObjectKey({
  affinityKey,
  service,
}: ChoiceRequest): string | undefined {
  return affinityKey === undefined ? undefined : `${service.name} ${affinityKey}`;
}
