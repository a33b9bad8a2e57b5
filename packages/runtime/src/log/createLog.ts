import type { Writable } from 'node:stream';
import type { Clock } from '@limpetbay/core';
import { createConsola } from 'consola/core';
import { RealClock } from '../clock/RealClock.js';
import type { Log } from './Log.js';
import { LogLimiter } from './LogLimiter.js';
import { formatFields } from './formatFields.js';

type Fields = Record<string, unknown>;

interface LogOptions {
  /** `json` prints one JSON object per line, `text` one sentence per line. */
  readonly format: 'text' | 'json';
  /** `info` prints all lines, `warn` omits routine lines, `silent` prints nothing. */
  readonly level: 'info' | 'warn' | 'silent';
  /** Destination of the lines; standard error by default. */
  readonly stream?: Writable;
  /** Clock of the rate limit; `RealClock` by default. */
  readonly clock?: Clock;
  /**
   * Whether lines may use a reserve of the buffer that the other lines leave, for those that tell
   * why a process ends; false by default.
   */
  readonly mayUseReserve?: boolean;
  /** Called for each line that is dropped. */
  readonly onDrop?: () => void;
}

/** Lines are dropped while more than this is buffered in the stream, bytes. */
const MAX_BUFFERED_BYTES = 262_144;

/** Bytes that are buffered in addition for lines that may use the reserve. */
const RESERVE_BYTES = 65_536;

/** Longer string values are truncated, characters. */
const MAX_VALUE_LENGTH = 400;

/** Numeric levels of consola. */
const CONSOLA_LEVELS = { info: 3, warn: 1, silent: -999 } as const;

/**
 * Creates the log of one component. Writes never block: lines above the rate limit, and lines that
 * exceed the stream buffer because the reader is slow, are dropped and counted. A `log lines dropped`
 * line with their number precedes the next line that is written.
 *
 * @param prefix fixed prefix of the component, such as `route`
 */
export function createLog(prefix: string, options: LogOptions): Log {
  const stream = options.stream ?? process.stderr;
  const limiter = new LogLimiter(options.clock ?? new RealClock());
  const maxBufferedBytes =
    MAX_BUFFERED_BYTES + (options.mayUseReserve === true ? RESERVE_BYTES : 0);
  const writeLine = (time: Date, level: string, sentence: string, fields?: Fields): void => {
    const timestamp = time.toISOString();
    const line =
      options.format === 'json'
        ? JSON.stringify({ time: timestamp, level, part: prefix, sentence, ...fields }, trimValue)
        : `${timestamp} ${level} ${prefix}: ${sentence}${formatFields(fields)}`;
    stream.write(`${line}\n`);
  };
  const consola = createConsola({
    level: CONSOLA_LEVELS[options.level],
    reporters: [
      {
        log: (entry) => {
          const [sentence, fields] = entry.args as [string, Fields | undefined];
          const kind = entry.type === 'info' ? 'routine' : 'failure';
          if (stream.writableLength > maxBufferedBytes || !limiter.take(kind)) {
            limiter.recordDrop();
            options.onDrop?.();
            return;
          }
          const lines = limiter.takeDropped();
          if (lines > 0) writeLine(entry.date, 'warn', 'log lines dropped', { lines });
          writeLine(entry.date, entry.type, sentence, fields);
        },
      },
    ],
  });
  return {
    report: (sentence, fields) => consola.info(sentence, fields),
    warn: (sentence, fields) => consola.warn(sentence, fields),
    alert: (sentence, fields) => consola.error(sentence, fields),
  };
}

function trimValue(_name: string, value: unknown): unknown {
  if (typeof value !== 'string' || value.length <= MAX_VALUE_LENGTH) return value;
  return `${value.slice(0, MAX_VALUE_LENGTH)}…`;
}
