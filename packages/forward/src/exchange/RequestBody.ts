/**
 * The body of a caller's request.
 */
import type BodyStream from './BodyStream.js';

/** A small body is buffered and can be sent again; a stream can be sent once. */
type RequestBody =
  | { readonly _tag: 'Empty' }
  | { readonly _tag: 'Buffered'; readonly bytes: Buffer }
  | { readonly _tag: 'Streamed'; readonly stream: BodyStream };

export default RequestBody;
