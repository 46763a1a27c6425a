/**
 * HTTP/2 sessions that end a stream at a response with an invalid head.
 */
import type { ClientHttp2Stream } from 'node:http2';
import { Http2SessionManager } from '@connectrpc/connect-node';
import findHeadFault from '@burdockcove/runtime/findHeadFault';

/** The client library reads the status only to tell 200 from others, and the body of some of those as an error. */
export default class CheckedSessions extends Http2SessionManager {
  override async request(
    ...call: Parameters<Http2SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...call);
    stream.once('response', (headers) => {
      const fault = findHeadFault(headers[':status'] ?? 0, headers);
      if (fault !== undefined) {
        stream.destroy(new Error(fault));
      }
    });
    return stream;
  }
}
