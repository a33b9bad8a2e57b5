import { getHeapStatistics } from 'node:v8';

const BYTES_PER_MB = 1_048_576;

const HEAP_OPTION = /--max[-_]old[-_]space[-_]size[= ](\d+)/g;

/**
 * Returns the heap size at which V8 ends the process, bytes. `heap_size_limit` of V8 includes the
 * young generation, so it is up to 48 MiB above what `--max-old-space-size` allows.
 *
 * @param options command line options of Node.js; those of this process by default
 */
export function getHeapLimit(
  options = `${process.env.NODE_OPTIONS ?? ''} ${process.execArgv.join(' ')}`,
): number {
  let megabytes = 0;
  // The last one applies, as in V8.
  for (const [, value] of options.matchAll(HEAP_OPTION)) megabytes = Number(value);
  return megabytes > 0 ? megabytes * BYTES_PER_MB : getHeapStatistics().heap_size_limit;
}
