import { execFile } from 'node:child_process';
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { beforeAll, describe, expect, it } from 'vitest';

const ROOT = new URL('../../../', import.meta.url).pathname;
const EXAMPLES = join(ROOT, 'examples', 'library');
/** An example or an import takes well under a second; the margin allows for a busy machine. */
const TIMEOUT_MS = 20_000;

const files = readdirSync(EXAMPLES)
  .filter((file) => file.endsWith('.ts'))
  .sort();
const run = promisify(execFile);

async function runNode(args: readonly string[]): Promise<string> {
  const { stdout } = await run(process.execPath, args, { cwd: ROOT, timeout: TIMEOUT_MS });
  return stdout;
}

/** Lines that the output of each example must contain. */
const EXPECTED_OUTPUT: Readonly<Record<string, readonly string[]>> = {
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
  }, TIMEOUT_MS * 2);

  it('has an example for each part of the library', () => {
    expect(files).toEqual(Object.keys(EXPECTED_OUTPUT));
  });

  // Guards against examples that fail, hang or no longer print what the documentation describes.
  it.each(files)('%s runs and exits', async (file) => {
    const output = await runNode([join(EXAMPLES, 'dist', file.replace('.ts', '.js'))]);
    for (const line of EXPECTED_OUTPUT[file]!) expect(output).toContain(line);
  });

  // Guards against examples that import internal modules, which an embedding program cannot do.
  it.each(files)('%s imports from package entry points only', (file) => {
    const text = readFileSync(join(EXAMPLES, file), 'utf8');
    const imported = [...text.matchAll(/from '([^']+)'/g)].map(([, name]) => name);
    expect(imported.length).toBeGreaterThan(0);
    for (const name of imported) expect(name).toMatch(/^@limpetbay\/[a-z]+$/);
  });

  it.each(files)('%s is mentioned in docs/library.md', (file) => {
    const page = readFileSync(join(ROOT, 'docs', 'library.md'), 'utf8');
    expect(page).toContain(`examples/library/${file}`);
  });
});

// Guards against an import that starts a timer or opens a socket in the embedding program. An
// unreferenced timer does not keep the process alive, so created resources are checked as well.
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
  const runObserver = (action: string) =>
    runNode(['--input-type=module', '-e', observe.replace('ACTION', action)]);

  it('starts no timer, opens no socket and lets the process exit', async () => {
    const output = await runObserver("await import('@limpetbay/core');");
    const { left, seen } = JSON.parse(output) as { left: string[]; seen: string[] };
    expect(seen).toEqual([]);
    expect(left.filter((type) => /Timeout|TCP|UDP/.test(type))).toEqual([]);
  });

  // Guards against an observer that detects nothing.
  it('would be detected if it started an unreferenced timer or opened a socket', async () => {
    const output = await runObserver(`
      setTimeout(() => {}, 60_000).unref();
      (await import('node:net')).createServer().listen(0, '127.0.0.1').unref();
    `);
    const { seen } = JSON.parse(output) as { seen: string[] };
    expect(seen).toContain('Timeout');
    expect(seen.some((type) => type.startsWith('TCP'))).toBe(true);
  });
});
