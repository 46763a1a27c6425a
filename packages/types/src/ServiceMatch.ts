/**
 * How requests are assigned to a service beside the first label of the host name.
 */

/** A request matches when the host's first label equals `host` (if given) and the path starts with `pathPrefix`. */
interface ServiceMatch {
  readonly host?: string;
  readonly pathPrefix: string;
}

export default ServiceMatch;
