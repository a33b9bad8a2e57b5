import { describe, expect, it } from 'vitest';
import { RealTimers } from '../src/index.js';

// Guards against delays that Node.js shortens to 1 ms because they exceed 2^31 - 1 ms.
describe('RealTimers', () => {
  it.each([2 ** 31, 1e12, 1e300, Infinity])(
    'does not run an action at once after %d ms',
    async (delayMs) => {
      let hasRun = false;
      const cancel = new RealTimers().schedule(delayMs, () => {
        hasRun = true;
      });
      await new Promise((resolve) => {
        setTimeout(resolve, 30);
      });
      cancel();
      expect(hasRun).toBe(false);
    },
  );
});
