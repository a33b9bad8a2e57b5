import type { Log } from './Log.js';

/**
 * Runs one step of a loop. An exception is a fault of the program; it is logged, so that the loop
 * continues with the next step.
 *
 * @param step what the step does, for the log
 * @returns whether it ended without an exception
 */
export function tryStep(
  log: Log,
  step: string,
  fields: Record<string, unknown>,
  run: () => void,
): boolean {
  try {
    run();
    return true;
  } catch (error) {
    log.alert('step failed; continuing', { step, ...fields, cause: (error as Error).message });
    return false;
  }
}
