/*
 * Bundles each program of `platform/` into one file under `target/`, or the given folder, with its
 * compiled code, and beside it the small program that is run: it handles signals before it loads the
 * rest. All are CommonJS, because Node.js starts an ES module later.
 */
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';

/** Settings with which a program is run to compile its code; nothing is served at the addresses. */
const WARM_UP_SETTINGS = `node_name=build
ip=127.0.0.1
zone=a
app=127.0.0.1:9
service=build
listen.front=127.0.0.1:9
platform.address=127.0.0.1:9
internal_port_range=7340,7355
`;

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

/**
 * Makes the text formatters of `hdr-histogram-js` when they are used. It makes one with `Intl` when
 * it is loaded, which takes a tenth of the start of a program, and this project never uses it.
 */
const histogramFormatsPlugin = {
  name: 'histogram-formats',
  setup(builder) {
    builder.onLoad({ filter: /hdr-histogram-js\/dist\/formatters\.js$/ }, ({ path }) => {
      const text = readFileSync(path, 'utf8');
      const eager = 'const numberFormatter = new Intl.NumberFormat(';
      const use = 'numberFormatter.format(';
      if (!text.includes(eager) || !text.includes(use)) {
        throw new Error(`${path} has changed; the plugin histogram-formats must be adapted`);
      }
      const contents = text
        .replace(eager, 'const getFormatter = () => new Intl.NumberFormat(')
        .replace(use, 'getFormatter().format(');
      return { contents };
    });
  },
};

const common = { bundle: true, platform: 'node', target: 'node20', format: 'cjs', alias };

/** Returns the options of Node.js with which the deploy file runs a program; none without it. */
function readNodeOptions(name) {
  if (!existsSync('deploy/system.toml')) return [];
  const text = readFileSync('deploy/system.toml', 'utf8');
  const [, options = ''] = new RegExp(`run = "node (.*)target/${name}\\.cjs"`).exec(text) ?? [];
  return options.split(' ').filter((option) => option !== '');
}

/** Runs a program once, with settings that are valid for each, and keeps its compiled code. */
function makeCodeCache(file, name, buildId) {
  const work = mkdtempSync(join(tmpdir(), 'limpetbay-build-'));
  const settings = join(work, 'node.conf');
  writeFileSync(settings, WARM_UP_SETTINGS);
  const maker = [join(folder, 'make-code-cache.cjs'), file, buildId, '--check'];
  const { status, stderr } = spawnSync(process.execPath, [...readNodeOptions(name), ...maker], {
    env: { ...process.env, LIMPETBAY_NODE_FILE: settings },
  });
  rmSync(work, { recursive: true });
  if (status !== 0) {
    process.stdout.write(`no code cache for ${name}: its starts take longer: ${stderr}\n`);
  }
}

const [folder = 'target'] = process.argv.slice(2);

const programs = ['entry', 'agent'];

mkdirSync(folder, { recursive: true });

for (const file of readdirSync(folder)) {
  if (/^(entry|agent)\..*\.cache$/.test(file)) rmSync(join(folder, file));
}

await build({
  ...common,
  entryPoints: programs.map((name) => `platform/src/${name}.ts`),
  outdir: folder,
  outExtension: { '.js': '.main.cjs' },
  plugins: [tsResultsPlugin, zodLocalesPlugin, histogramFormatsPlugin],
  minify: true,
  sourcemap: 'linked',
  legalComments: 'none',
  // Code that reads files of its package is not part of these programs.
  logOverride: { 'empty-import-meta': 'silent' },
});

await build({
  ...common,
  stdin: {
    contents: `
      import { resolve } from 'node:path';
      import { makeCodeCache } from './platform/src/launch/makeCodeCache.ts';
      const [file, buildId] = process.argv.splice(2, 2);
      makeCodeCache(resolve(file), buildId);`,
    resolveDir: '.',
  },
  outfile: `${folder}/make-code-cache.cjs`,
});

for (const name of programs) {
  const main = `${folder}/${name}.main.cjs`;
  const buildId = createHash('sha256').update(readFileSync(main)).digest('hex').slice(0, 12);
  await build({
    ...common,
    stdin: {
      contents: `
        import '@limpetbay/runtime/ignoreEarlySignals';
        import { join } from 'node:path';
        import { startProgram } from './platform/src/launch/startProgram.ts';
        startProgram(join(__dirname, '${name}.main.cjs'), '${buildId}');`,
      resolveDir: '.',
    },
    outfile: `${folder}/${name}.cjs`,
    minify: true,
  });
  makeCodeCache(main, name, buildId);
}
