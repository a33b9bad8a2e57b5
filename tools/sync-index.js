/* Rewrites `src/index.ts` of the named packages so that it re-exports the export of each module. */
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, join, relative } from 'node:path';

const EXCLUDED_FILES = new Set(['index.ts', 'main.ts']);

function listModules(folder) {
  const files = [];
  for (const entry of readdirSync(folder, { withFileTypes: true })) {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) files.push(...listModules(path));
    else if (entry.name.endsWith('.ts') && !EXCLUDED_FILES.has(entry.name)) files.push(path);
  }
  return files.sort();
}

function describeExport(root, file) {
  const text = readFileSync(file, 'utf8');
  const path = `./${relative(root, file).replace(/\.ts$/, '.js')}`;
  const destructured = /^export const \{ ([^}]+) \}/m.exec(text);
  if (destructured) return `export { ${destructured[1]} } from '${path}';`;
  const name = basename(file, '.ts');
  const isValue = new RegExp(
    `^export (const|class|abstract class|(async )?function\\*?) ${name}\\b`,
    'm',
  );
  const isType = new RegExp(`^export (interface|type) ${name}\\b`, 'm');
  if (isValue.test(text)) return `export { ${name} } from '${path}';`;
  if (isType.test(text)) return `export type { ${name} } from '${path}';`;
  return null;
}

for (const name of process.argv.slice(2)) {
  const root = join('packages', name, 'src');
  const lines = listModules(root)
    .map((file) => describeExport(root, file))
    .filter(Boolean);
  if (name === 'core') lines.push("export type { Result } from 'ts-results';");
  if (lines.length === 0) lines.push('export {};');
  writeFileSync(join(root, 'index.ts'), `${lines.join('\n')}\n`);
}
