import type { Writable } from 'node:stream';
import type { Clock } from '@limpetbay/core';
import { createConsola } from 'consola/core';
import { RealClock } from '../clock/RealClock.js';
import type { Log } from './Log.js';
import { LogLimiter } from './LogLimiter.js';
import { formatFields } from './formatFields.js';

type Fields = Record<string, unknown>;

interface LogOptions {
  /** `json` prints one JSON object a line, `text` one sentence a line. */
  readonly format: 'text' | 'json';
  /** `info` prints everything, `warn` leaves out routine lines, `silent` prints nothing. */
  readonly level: 'info' | 'warn' | 'silent';
  readonly stream?: Writable;
  /** Measures the rate of lines; tests pass their own. */
  readonly clock?: Clock;
  /** Called for each line that is dropped. */
  readonly onDrop?: () => void;
}

/** Lines are dropped while the reader leaves more than this unread, bytes. */
const MAX_UNREAD_BYTES = 262_144;

/** Longer values are cut, characters. */
const MAX_VALUE_LENGTH = 400;

const LEVELS = { info: 3, warn: 1, silent: -999 } as const;

/**
 * Creates the log of one part. A write never blocks: lines beyond the rate of the part, and lines
 * that a slow reader leaves unread, are dropped and counted; the next line tells how many.
 *
 * @param prefix fixed prefix of the part, such as `route`
 */
export function createLog(prefix: string, options: LogOptions): Log {
  const stream = options.stream ?? process.stderr;
  const limiter = new LogLimiter(options.clock ?? new RealClock());
  const writeLine = (time: Date, level: string, sentence: string, fields?: Fields): void => {
    const at = time.toISOString();
    const line =
      options.format === 'json'
        ? JSON.stringify({ time: at, level, part: prefix, sentence, ...fields }, trimValue)
        : `${at} ${level} ${prefix}: ${sentence}${formatFields(fields)}`;
    stream.write(`${line}\n`);
  };
  const consola = createConsola({
    level: LEVELS[options.level],
    reporters: [
      {
        log: (entry) => {
          const [sentence, fields] = entry.args as [string, Fields | undefined];
          const kind = entry.type === 'info' ? 'routine' : 'failure';
          if (stream.writableLength > MAX_UNREAD_BYTES || !limiter.take(kind)) {
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
