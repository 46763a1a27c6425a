/**
 * How a call to another entry VM can fail.
 */

/** Failure of a call to a peer. */
interface PeerError {
  readonly _tag: 'PeerUnreachable' | 'PeerRefused' | 'PeerMalformed';
  readonly step: string;
  readonly peer: string;
  readonly detail: string;
}

export default PeerError;
