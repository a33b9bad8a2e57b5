/*
 * Lists the kinds of trouble that no hunt of a site can play. A hunt draws from the `troubles` of
 * the site file and from `deploy/days/`, but `fleetbench kinds` lists more that may come.
 *
 * Usage: fleetbench kinds SITE | node tools/list-unplayed-kinds.js SITE
 */
import { readFileSync, readdirSync } from 'node:fs';

const KIND = /\bkind = "([a-z_]+)"/g;
const DAYS = 'deploy/days/';

/** Lists the kinds in the text of a site or day file. */
function listKinds(text) {
  const kinds = [];
  for (const [, kind] of text.matchAll(KIND)) kinds.push(kind);
  return kinds;
}

const [siteFile] = process.argv.slice(2);
if (siteFile === undefined) {
  process.stderr.write('usage: fleetbench kinds SITE | node tools/list-unplayed-kinds.js SITE\n');
  process.exit(2);
}
const [, troubles = ''] =
  /^troubles = \[\n([\s\S]*?)^\]/m.exec(readFileSync(siteFile, 'utf8')) ?? [];
const played = new Set(listKinds(troubles));
for (const file of readdirSync(DAYS)) {
  for (const kind of listKinds(readFileSync(DAYS + file, 'utf8'))) played.add(kind);
}
const unplayed = [];
for (const [, kind] of readFileSync(0, 'utf8').matchAll(/^([a-z_]+): /gm)) {
  if (!played.has(kind)) unplayed.push(kind);
}
for (const kind of unplayed) process.stdout.write(`${kind}\n`);
process.exitCode = unplayed.length > 0 ? 1 : 0;
