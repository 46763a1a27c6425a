/**
 * Why a request was refused by a quota, and which VMs own the parts that did not admit it.
 */

interface QuotaRefusalBasis {
  /**
   * `denied`: each part is used up. `late`: the request waited as long as it may. `unanswered`: no part could be asked,
   * since calls had failed. `crowded`: too many requests waited already.
   */
  readonly cause: 'denied' | 'late' | 'unanswered' | 'crowded';
  /** Names of the entry VMs. */
  readonly owners: readonly string[];
}

export default QuotaRefusalBasis;
