import { spawn } from 'node:child_process';
import { expect, it } from 'vitest';

const PACKAGES = new URL('../../', import.meta.url).pathname;

// Guards against a daemon that ends with status 2 and no last line in its log.
it.each(['entry', 'agent'])('a daemon with invalid settings logs its end: %s', async (name) => {
  const program = `${PACKAGES}${name}/dist/main.js`;
  const child = spawn(process.execPath, [program, '--settings', '/dev/null'], { stdio: 'pipe' });
  let errors = '';
  child.stderr.on('data', (data: Buffer) => {
    errors += data.toString('utf8');
  });
  const status = await new Promise((resolve) => {
    child.on('close', resolve);
  });
  expect(status).toBe(2);
  expect(errors).toMatch(/error process: process ended status=2 cause=invalid settings: /);
});
