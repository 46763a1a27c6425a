/**
 * What the head of a final response says.
 */
import { toUndefined } from 'fp-ts/lib/Option.js';
import NO_NOTICE from '@burdockcove/targets/NO_NOTICE';
import type ResponseMeaning from '@burdockcove/targets/ResponseMeaning';
import type SentRequest from '@burdockcove/targets/SentRequest';
import type TargetLoad from '@burdockcove/targets/TargetLoad';
import type TargetNotice from '@burdockcove/targets/TargetNotice';
import type TargetProtocol from '@burdockcove/targets/TargetProtocol';

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** The head of a final response. */
interface InterpretedHead {
  readonly status: number;
  readonly meaning: ResponseMeaning;
  /** Whether the target states that it did not run the request. */
  readonly isShed: boolean;
  /** `NO_NOTICE` if the head has none. */
  readonly notice: TargetNotice;
  readonly load: TargetLoad | undefined;
}

/** A response to another request may be an old one, whose wish for a pause has passed; a leaving target stays so. */
function findNotice(
  protocol: TargetProtocol,
  meaning: ResponseMeaning,
  status: number,
  headers: Headers,
): TargetNotice {
  const notice = meaning === 'misdirected' ? NO_NOTICE : protocol.parseNotice(status, headers);
  return meaning === 'foreign' && notice !== NO_NOTICE ? { ...notice, pauseMs: 0 } : notice;
}

/** Interprets the head by the target's protocol; a response to another request tells no load. */
export default function interpretHead(
  protocol: TargetProtocol,
  sent: SentRequest,
  status: number,
  headers: Headers,
): InterpretedHead {
  const meaning = protocol.interpretResponse(status, headers, sent);
  return {
    status,
    meaning,
    isShed: meaning === 'misdirected' || meaning === 'not-run',
    notice: findNotice(protocol, meaning, status, headers),
    load: meaning === 'foreign' ? undefined : toUndefined(protocol.parseResponseLoad(headers)),
  };
}
