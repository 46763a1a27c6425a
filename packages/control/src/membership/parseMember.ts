/**
 * Member records from messages.
 */
import {
  MemberHealth as HealthCode,
  type MemberRecord as MemberMessage,
} from '@burdockcove/protocol/gen/burdockcove/v1/distribution_pb';
import type MemberHealth from './MemberHealth.js';
import type MemberRecord from './MemberRecord.js';

function parseHealth(code: HealthCode): MemberHealth {
  switch (code) {
    case HealthCode.SUSPECT:
      return 'suspect';
    case HealthCode.UNREACHABLE:
      return 'unreachable';
    default:
      return 'alive';
  }
}

/** The record, or undefined where the message names no VM. */
export default function parseMember(message: MemberMessage | undefined): MemberRecord | undefined {
  if (message === undefined || message.address === '' || message.peerAddress === '') {
    return undefined;
  }
  return {
    address: message.address,
    peerAddress: message.peerAddress,
    failureDomain: message.failureDomain,
    region: message.region,
    incarnation: Number(message.incarnation),
    leaving: message.leaving,
    health: parseHealth(message.health),
    ...(message.$unknown === undefined ? {} : { unknown: message.$unknown }),
  };
}
