/**
 * Deltas as messages.
 */
import { create } from '@bufbuild/protobuf';
import {
  StateDeltaSchema,
  type StateDelta as StateDeltaMessage,
} from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import type StateDelta from './StateDelta.js';

/** The delta as a message. */
export default function encodeDelta(delta: StateDelta): StateDeltaMessage {
  return create(StateDeltaSchema, {
    afterRevision: BigInt(delta.afterRevision),
    completeRevision: BigInt(delta.completeRevision),
    entries: delta.entries.map(({ key, value, revision }) => ({
      key,
      value,
      revision: BigInt(revision),
    })),
    truncated: delta.truncated,
  });
}
