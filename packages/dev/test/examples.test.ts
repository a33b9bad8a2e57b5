import { execFile } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect, it } from 'vitest';

const ROOT = new URL('../../../', import.meta.url).pathname;

const execFileAsync = promisify(execFile);

interface ProcessResult {
  readonly status: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function runBinary(name: string, args: readonly string[]): Promise<ProcessResult> {
  const main = join(ROOT, 'packages', name, 'dist', 'main.js');
  try {
    const { stdout, stderr } = await execFileAsync(process.execPath, [main, ...args], {
      cwd: ROOT,
    });
    return { status: 0, stdout, stderr };
  } catch (error) {
    const { code, stdout, stderr } = error as { code: number } & Omit<ProcessResult, 'status'>;
    return { status: code, stdout, stderr };
  }
}

// Guards against example settings that the daemons or the command line reject.
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

// Guards against a --check that accepts any file without validating it.
it.each(['entry', 'agent'])('%s rejects the settings of the other daemon', async (name) => {
  const other = name === 'entry' ? 'agent' : 'entry';
  const file = `examples/ofori/${other}.ini`;
  const { status, stderr } = await runBinary(name, ['--settings', file, '--check']);
  expect(status).toBe(2);
  expect(stderr).toContain(`${file}: [${name}]`);
});

// Guards against an example agent whose service has no document in the same folder.
it.each(['ofori', 'le-goff'])('%s has a document for the service of its agent', (example) => {
  const agent = readFileSync(join(ROOT, 'examples', example, 'agent.ini'), 'utf8');
  const service = /^service = (\S+)$/m.exec(agent)![1]!;
  const document = readFileSync(
    join(ROOT, 'examples', example, 'documents', `${service}.ini`),
    'utf8',
  );
  expect(document).toContain(`name = ${service}\n`);
});
