/**
 * Targets that may take new work.
 */
import type LabelledTarget from '@burdockcove/steering/LabelledTarget';
import listLabelledTargets from '@burdockcove/steering/listLabelledTargets';
import type Configuration from '@burdockcove/types/Configuration';

/** Targets of the service that no label takes away. */
export default function listUsableTargets(
  configuration: Configuration,
  service: string,
): readonly LabelledTarget[] {
  return listLabelledTargets(configuration).filter(
    ({ target, isLabelledLeaving }) => target.service === service && !isLabelledLeaving,
  );
}
