/**
 * Structured logs.
 */
import { Logger as TsLogger } from 'tslog';

/** Fields that every log line may carry; request bodies and credentials are never logged. */
interface LogFields {
  readonly step?: string;
  readonly peer?: string;
  readonly revision?: number;
  readonly requestId?: string;
  readonly [field: string]: unknown;
}

const MIN_LEVELS = { debug: 2, info: 3, warn: 4, error: 5, silent: 6 } as const;

/** Writes one line a record, as JSON or for reading. */
export default class Logger {
  private readonly logger: TsLogger<unknown>;

  constructor(level: keyof typeof MIN_LEVELS, format: 'json' | 'pretty', name = 'burdockcove') {
    const type = level === 'silent' ? 'hidden' : format;
    this.logger = new TsLogger({ name, type, minLevel: MIN_LEVELS[level] });
  }

  debug(message: string, fields: LogFields = {}): void {
    this.logger.debug(message, fields);
  }

  info(message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(message, fields);
  }

  error(message: string, fields: LogFields = {}): void {
    this.logger.error(message, fields);
  }
}
