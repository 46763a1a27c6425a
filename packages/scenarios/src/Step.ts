/**
 * A step of the scenario language.
 */

/** `run` gets the scenario's world and the groups that the pattern captured. */
interface Step<World> {
  readonly pattern: RegExp;
  run(world: World, groups: readonly string[]): Promise<void>;
}

export default Step;
