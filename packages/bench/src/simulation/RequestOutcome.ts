/**
 * What a simulated request came to.
 */

/** `refused`: not run, by burdockcove; `shed`: not run, by the target's last word; `late`: not answered in time. */
type RequestOutcome = 'answered' | 'refused' | 'shed' | 'late';

export default RequestOutcome;
