import { spawn } from 'node:child_process';
import { expect, it } from 'vitest';

const PACKAGES = new URL('../../', import.meta.url).pathname;

/** Sends SIGHUP to the process as soon as it loads a module of a library. */
const HOOKS = `export async function load(url, context, next) {
  if (url.includes('/node_modules/zod/')) process.kill(process.pid, 'SIGHUP');
  return next(url, context);
}`;

function encodeModule(text: string): string {
  return `data:text/javascript;base64,${Buffer.from(text).toString('base64')}`;
}

const PRELOAD = `import { register } from 'node:module'; register('${encodeModule(HOOKS)}');`;

// Guards against SIGHUP while the modules of a program load, which ends it: that takes most of its
// start.
it.each(['entry', 'agent'])('does not end by SIGHUP while its modules load: %s', async (name) => {
  const program = `${PACKAGES}${name}/dist/main.js`;
  const settings = `${PACKAGES}../examples/ofori/${name}.ini`;
  const args = ['--import', encodeModule(PRELOAD), program, '--settings', settings, '--check'];
  const child = spawn(process.execPath, args, { stdio: 'ignore' });
  const end = await new Promise((resolve) => {
    child.on('exit', (status, signal) => resolve(signal ?? status));
  });
  expect(end).toBe(0);
});
