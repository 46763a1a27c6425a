/**
 * How the end of a response's body is delimited.
 */

/** `connection-end`: by the end of the connection. */
type Framing = 'length' | 'chunked' | 'connection-end';

export default Framing;
