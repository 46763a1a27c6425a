/**
 * What the choice of a target knows of each target now.
 */
import type ChoiceDescription from '@burdockcove/forward/choice/ChoiceDescription';
import type RoutePlan from '@burdockcove/types/RoutePlan';
import type Service from '@burdockcove/types/Service';

/** Reads state; chooses nothing. */
interface ChoiceDescriber {
  describeChoice(service: Service, plan: RoutePlan): ChoiceDescription;
}

export default ChoiceDescriber;
