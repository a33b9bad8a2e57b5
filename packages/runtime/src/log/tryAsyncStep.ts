import type { Log } from './Log.js';

/** Like `tryStep`, for a step that returns a promise. */
export async function tryAsyncStep(
  log: Log,
  step: string,
  run: () => Promise<void>,
): Promise<boolean> {
  try {
    await run();
    return true;
  } catch (error) {
    log.alert('step failed; continuing', { step, cause: (error as Error).message });
    return false;
  }
}
