/* Bundles each program of the platform folder into one file under `target/`. */
import { readdirSync } from 'node:fs';
import { build } from 'esbuild';

const alias = {};
for (const name of readdirSync('packages')) {
  alias[`@limpetbay/${name}`] = `./packages/${name}/src/index.ts`;
}

/**
 * `ts-results` is written as a UMD module, which a bundler cannot follow; its ES modules have no
 * default export, which `@limpetbay/core` imports.
 */
const tsResults = {
  name: 'ts-results',
  setup(builder) {
    builder.onResolve({ filter: /^ts-results$/ }, () => ({
      path: 'default',
      namespace: 'results',
    }));
    builder.onLoad({ filter: /.*/, namespace: 'results' }, () => ({
      contents:
        "import * as all from './node_modules/ts-results/esm/index.js'; export default all;",
      resolveDir: '.',
    }));
  },
};

/** Texts of check failures in other languages are a third of the bundle. */
const zodLocales = {
  name: 'zod-locales',
  setup(builder) {
    builder.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
    }));
  },
};

await build({
  entryPoints: ['platform/src/entry.ts', 'platform/src/agent.ts'],
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // CommonJS packages in the bundle call `require` for the modules of Node.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  alias,
  plugins: [tsResults, zodLocales],
  minify: true,
  sourcemap: 'linked',
  legalComments: 'none',
});
