import { readFileSync } from 'node:fs';
import { runApp } from './commands/runApp.js';

const packageFile = new URL('../package.json', import.meta.url);
const { version } = JSON.parse(readFileSync(packageFile, 'utf8')) as { version: string };

process.exitCode = await runApp(process.argv.slice(2), version, {
  print: (text) => process.stdout.write(`${text}\n`),
  warn: (text) => process.stderr.write(`${text}\n`),
});
