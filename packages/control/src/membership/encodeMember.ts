/**
 * Member records as messages.
 */
import { create } from '@bufbuild/protobuf';
import {
  MemberHealth as HealthCode,
  MemberRecordSchema,
  type MemberRecord as MemberMessage,
} from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import type MemberHealth from './MemberHealth.js';
import type MemberRecord from './MemberRecord.js';

const CODES: Readonly<Record<MemberHealth, HealthCode>> = {
  alive: HealthCode.ALIVE,
  suspect: HealthCode.SUSPECT,
  unreachable: HealthCode.UNREACHABLE,
};

/** The record as a message, with the fields of newer versions that it came with. */
export default function encodeMember(record: MemberRecord): MemberMessage {
  const { unknown, health, incarnation, ...fields } = record;
  const message = create(MemberRecordSchema, {
    ...fields,
    incarnation: BigInt(incarnation),
    health: CODES[health],
  });
  return unknown === undefined ? message : Object.assign(message, { $unknown: [...unknown] });
}
