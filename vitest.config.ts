import { readdirSync } from 'node:fs';
import { defineConfig } from 'vitest/config';

const alias: Record<string, string> = {};
for (const name of readdirSync(new URL('./packages/', import.meta.url))) {
  alias[`@limpetbay/${name}`] = new URL(
    `./packages/${name}/src/index.ts`,
    import.meta.url,
  ).pathname;
}

export default defineConfig({
  resolve: { alias },
  test: {
    include: [
      'platform/test/**/*.test.ts',
      'packages/*/test/**/*.test.ts',
      'bench/test/**/*.test.ts',
      'soak/test/**/*.test.ts',
    ],
    testTimeout: 20_000,
    maxWorkers: 4,
  },
});
