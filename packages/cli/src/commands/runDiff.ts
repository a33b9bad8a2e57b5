import { diffDocuments, formatDifferences } from '@limpetbay/operators';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { readAccepted } from './readAccepted.js';
import { readDocumentFile } from './readDocumentFile.js';

/** Prints what accepting a file would change. @returns the exit status */
export async function runDiff(context: CommandContext, file: string): Promise<number> {
  const local = readDocumentFile(file);
  if (local.err) {
    context.warn(local.val.message);
    return ExitStatus.invalid;
  }
  const { name } = local.val.document.service;
  const accepted = await readAccepted(context, name);
  if (accepted.err) {
    context.warn(`${accepted.val.kind}: ${accepted.val.message}`);
    return ExitStatus.failed;
  }
  const differences = diffDocuments(accepted.val?.document ?? null, local.val.document);
  const from = accepted.val === null ? 'nothing accepted yet' : `revision ${accepted.val.revision}`;
  if (differences.length === 0) context.print(`${name}: no difference to ${from}`);
  else context.print(`${name}: ${from} -> ${file}\n${formatDifferences(differences)}`);
  return ExitStatus.ok;
}
