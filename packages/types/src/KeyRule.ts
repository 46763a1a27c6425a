/**
 * What a service asks of the customers' keys.
 */

/**
 * `none`: there are no customers, and their headers have no meaning. `public`: no key is needed, and none is passed on.
 * `required`: each request must carry the key of a customer.
 */
type KeyRule = 'none' | 'public' | 'required';

export default KeyRule;
