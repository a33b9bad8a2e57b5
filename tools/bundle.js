/*
 * Bundles each program of `platform/` into one ES module under `target/`, or the given folder, and beside it the small
 * CommonJS program that is run: it handles signals before it loads the rest. Node.js starts such a
 * program earlier than an ES module, and takes longer to read the whole bundle than for both.
 */
import { readdirSync } from 'node:fs';
import { build } from 'esbuild';

const alias = {};
for (const name of readdirSync('packages')) {
  alias[`@limpetbay/${name}`] = `./packages/${name}/src/index.ts`;
}
alias['@limpetbay/runtime/ignoreEarlySignals'] =
  './packages/runtime/src/process/ignoreEarlySignals.ts';

/**
 * Resolves `ts-results` to its ES modules with an added default export. Its main module is UMD,
 * which esbuild cannot follow; its ES modules lack the default export that `@limpetbay/core`
 * imports.
 */
const tsResultsPlugin = {
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

/** Keeps only the English messages of zod; the other languages are a third of the bundle. */
const zodLocalesPlugin = {
  name: 'zod-locales',
  setup(builder) {
    builder.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
    }));
  },
};

const [folder = 'target'] = process.argv.slice(2);

const programs = ['entry', 'agent'];

await build({
  entryPoints: programs.map((name) => `platform/src/${name}.ts`),
  outdir: folder,
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Bundled CommonJS packages call `require` for Node modules, which ES modules do not define.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  alias,
  plugins: [tsResultsPlugin, zodLocalesPlugin],
  minify: true,
  sourcemap: 'linked',
  legalComments: 'none',
});

for (const name of programs) {
  await build({
    stdin: {
      contents: `import '@limpetbay/runtime/ignoreEarlySignals'; import('./${name}.mjs');`,
      resolveDir: '.',
    },
    outfile: `${folder}/${name}.cjs`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    external: [`./${name}.mjs`],
    alias,
    minify: true,
  });
}
