/**
 * The command line after `meow` has read it.
 */

/** Flags that were not given are undefined. */
interface CommandLine {
  readonly command: string | undefined;
  readonly words: readonly string[];
  readonly flags: {
    readonly reason?: string;
    readonly base?: number;
    readonly changeId?: string;
    readonly dryRun: boolean;
    readonly demand: readonly string[];
    readonly since?: string;
    readonly at?: string;
    readonly limit: number;
    readonly from?: number;
    readonly to?: number;
  };
}

export default CommandLine;
