import { diffDocuments, formatDifferences } from '@limpetbay/operators';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { readAcceptedDocument } from './readAcceptedDocument.js';
import { readDocumentFile } from './readDocumentFile.js';

/** Prints the changes that accepting a file would make. @returns the exit status */
export async function runDiff(context: CommandContext, file: string): Promise<number> {
  const read = readDocumentFile(file);
  if (read.err) {
    context.warn(read.val.message);
    return ExitStatus.invalid;
  }
  const { name } = read.val.document.service;
  const accepted = await readAcceptedDocument(context, name);
  if (accepted.err) {
    context.warn(`${accepted.val.kind}: ${accepted.val.message}`);
    return ExitStatus.failed;
  }
  const differences = diffDocuments(accepted.val?.document ?? null, read.val.document);
  const baseLabel =
    accepted.val === null ? 'no accepted document' : `revision ${accepted.val.revision}`;
  if (differences.length === 0) context.print(`${name}: no difference from ${baseLabel}`);
  else context.print(`${name}: ${baseLabel} -> ${file}\n${formatDifferences(differences)}`);
  return ExitStatus.ok;
}
