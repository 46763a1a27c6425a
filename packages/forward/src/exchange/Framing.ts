/**
 * How the end of an answer's body is marked.
 */

/** `connection-end`: only the end of the connection tells. */
type Framing = 'length' | 'chunked' | 'connection-end';

export default Framing;
