import { execFile } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect, it } from 'vitest';

const ROOT = new URL('../../../', import.meta.url).pathname;

const run = promisify(execFile);

interface Finished {
  readonly status: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function runBinary(name: string, args: readonly string[]): Promise<Finished> {
  const main = join(ROOT, 'packages', name, 'dist', 'main.js');
  try {
    const { stdout, stderr } = await run(process.execPath, [main, ...args], { cwd: ROOT });
    return { status: 0, stdout, stderr };
  } catch (error) {
    const { code, stdout, stderr } = error as { code: number } & Omit<Finished, 'status'>;
    return { status: code, stdout, stderr };
  }
}

// Guards against example settings that the shipped binaries refuse.
it.each([
  ['entry', 'examples/ofori/entry.ini', []],
  ['agent', 'examples/ofori/agent.ini', []],
  ['cli', 'examples/ofori/limpetbay.ini', ['status']],
  ['entry', 'examples/le-goff/entry.ini', []],
  ['agent', 'examples/le-goff/agent.ini', []],
  ['cli', 'examples/le-goff/limpetbay.ini', ['status']],
])('%s accepts %s with --check', async (name, file, command) => {
  const { status, stdout, stderr } = await runBinary(name, [
    ...command,
    '--settings',
    file,
    '--check',
  ]);
  expect(stderr).toBe('');
  expect(stdout).toMatch(new RegExp(`^${file}: .*valid\n$`));
  expect(status).toBe(0);
});

// Guards against a --check that passes whatever the file holds.
it.each(['entry', 'agent'])('%s refuses the settings of the other daemon', async (name) => {
  const other = name === 'entry' ? 'agent' : 'entry';
  const file = `examples/ofori/${other}.ini`;
  const { status, stderr } = await runBinary(name, ['--settings', file, '--check']);
  expect(status).toBe(2);
  expect(stderr).toContain(`${file}: [${name}]`);
});

// Guards against an agent whose service has no document in the same folder.
it.each(['ofori', 'le-goff'])('%s has a document for the service of its agent', (house) => {
  const agent = readFileSync(join(ROOT, 'examples', house, 'agent.ini'), 'utf8');
  const service = /^service = (\S+)$/m.exec(agent)![1]!;
  const document = readFileSync(
    join(ROOT, 'examples', house, 'documents', `${service}.ini`),
    'utf8',
  );
  expect(document).toContain(`name = ${service}\n`);
});
