import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Creates a function that collects the young generation at once, in one or two milliseconds. V8
 * collects it by the size of its objects and hardly counts the buffers outside of the heap that these
 * keep: a process that reads fast exceeds its memory by the buffers of reads that are over.
 */
export function createCollector(): () => void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as (options: { readonly type: 'minor' }) => void;
  return () => collect({ type: 'minor' });
}
