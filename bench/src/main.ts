import { registry } from './registry.js';
import { readKnownRed } from './report/readKnownRed.js';

const names = process.argv.slice(2).filter((argument) => !argument.startsWith('--'));
const onlyDeterministic = process.argv.includes('--deterministic');
const known = new Set(registry.map((bench) => bench.name));
const knownRed = readKnownRed();
let failed = 0;

for (const name of names) {
  if (known.has(name)) continue;
  process.stderr.write(`unknown bench '${name}'; known: ${[...known].join(', ')}\n`);
  process.exit(2);
}
for (const bench of registry) {
  if (names.length > 0 && !names.includes(bench.name)) continue;
  if (onlyDeterministic && !bench.deterministic) continue;
  for (const result of await bench.run()) {
    if (!result.pass && knownRed.has(result.name)) {
      process.stderr.write(`known red, see KNOWN-RED.txt: ${result.name}\n`);
    } else if (!result.pass) {
      failed += 1;
    }
    process.stdout.write(`${JSON.stringify(result)}\n`);
  }
}
process.exitCode = failed > 0 ? 1 : 0;
