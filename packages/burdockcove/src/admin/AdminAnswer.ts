/**
 * An answer of the admin server.
 */

/** Sent with its length; never cached. */
interface AdminAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export default AdminAnswer;
