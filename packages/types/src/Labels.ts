/**
 * Labels that operators put on targets and places; selectors match on them.
 */

/** Label names mapped to their values. */
type Labels = Readonly<Record<string, string>>;

export default Labels;
