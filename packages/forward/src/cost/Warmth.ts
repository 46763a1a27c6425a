/**
 * What this VM knows about whether a target has recently handled an object.
 */

/**
 * `known`: this VM has sent the object there lately. `preferred`, `second`: the first and second target of the object's
 * order of preference, to which other VMs may have sent it. `unlikely`: any other target, and any that just started.
 * `none`: the request concerns no known object.
 */
type Warmth = 'known' | 'preferred' | 'second' | 'unlikely' | 'none';

export default Warmth;
