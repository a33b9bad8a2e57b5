import { execFile } from 'node:child_process';
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { beforeAll, describe, expect, it } from 'vitest';

const ROOT = new URL('../../../', import.meta.url).pathname;
const EXAMPLES = join(ROOT, 'examples', 'library');
/** Generous on a busy machine; an example or an import takes well under a second. */
const LIMIT_MS = 20_000;

const files = readdirSync(EXAMPLES)
  .filter((file) => file.endsWith('.ts'))
  .sort();
const run = promisify(execFile);

async function runNode(args: readonly string[]): Promise<string> {
  const { stdout } = await run(process.execPath, args, { cwd: ROOT, timeout: LIMIT_MS });
  return stdout;
}

/** Lines that show what an example is about. */
const SHOWN: Readonly<Record<string, readonly string[]>> = {
  'admission.ts': ['0 s: cold, at most 2 in flight', '4 s: full, at most 16 in flight', 'leaving'],
  'claims.ts': [
    'first request: run',
    'the same at the other agent: replay',
    'the key with another body: key_reused',
  ],
  'config.ts': [
    'bookings at revision 2: zones a b',
    'bookings at revision 3: zones a',
    'accepted: false',
    'state: fresh',
  ],
  'mapSwitch.ts': ['step 0: map 1', ': map 2', '120 steps, 0 of them with two maps'],
  'placement.ts': ['skew now 1.09: change', 'skew after 7 loaded copies 1.02'],
  'router.ts': ['first attempt: canerota-1, lowest score', 'second attempt: canerota-2, '],
};

describe('examples/library', () => {
  // Guards against examples that no longer compile against the public types.
  beforeAll(async () => {
    await runNode([join(ROOT, 'node_modules', 'typescript', 'bin', 'tsc'), '-p', EXAMPLES]);
  }, LIMIT_MS * 2);

  it('has an example for each part', () => {
    expect(files).toEqual(Object.keys(SHOWN));
  });

  // Guards against examples that fail, hang or no longer show what the page says.
  it.each(files)('%s runs and ends', async (file) => {
    const output = await runNode([join(EXAMPLES, 'dist', file.replace('.ts', '.js'))]);
    for (const line of SHOWN[file]!) expect(output).toContain(line);
  });

  // Guards against examples that reach into a package, which an embedding program cannot do.
  it.each(files)('%s imports public names of packages only', (file) => {
    const text = readFileSync(join(EXAMPLES, file), 'utf8');
    const imported = [...text.matchAll(/from '([^']+)'/g)].map(([, name]) => name);
    expect(imported.length).toBeGreaterThan(0);
    for (const name of imported) expect(name).toMatch(/^@limpetbay\/[a-z]+$/);
  });

  it.each(files)('%s is on the page', (file) => {
    const page = readFileSync(join(ROOT, 'docs', 'library.md'), 'utf8');
    expect(page).toContain(`examples/library/${file}`);
  });
});

// Guards against an import that starts a timer or opens a socket in the embedding program. A timer
// that is not referenced would not keep the process alive, so creations are counted as well.
describe('importing @limpetbay/core', () => {
  const observe = `
    const { createHook } = await import('node:async_hooks');
    // The stream is opened on first use; without this it would count as opened by the import.
    process.stdout.write('');
    const seen = [];
    createHook({ init: (id, type) => { seen.push(type); } }).enable();
    ACTION
    process.on('exit', () => process.stdout.write(JSON.stringify({
      left: process.getActiveResourcesInfo(),
      seen: seen.filter((type) => /Timeout|Immediate|TCP|UDP|PIPE|DNS|GETADDRINFO|HTTP/i.test(type)),
    })));
  `;
  const observeAction = (action: string) =>
    runNode(['--input-type=module', '-e', observe.replace('ACTION', action)]);

  it('starts no timer, opens no socket and lets the process end', async () => {
    const output = await observeAction("await import('@limpetbay/core');");
    const { left, seen } = JSON.parse(output) as { left: string[]; seen: string[] };
    expect(seen).toEqual([]);
    expect(left.filter((type) => /Timeout|TCP|UDP/.test(type))).toEqual([]);
  });

  // Guards against an observation that sees nothing.
  it('would be noticed if it started an unreferenced timer or opened a socket', async () => {
    const output = await observeAction(`
      setTimeout(() => {}, 60_000).unref();
      (await import('node:net')).createServer().listen(0, '127.0.0.1').unref();
    `);
    const { seen } = JSON.parse(output) as { seen: string[] };
    expect(seen).toContain('Timeout');
    expect(seen.some((type) => type.startsWith('TCP'))).toBe(true);
  });
});
