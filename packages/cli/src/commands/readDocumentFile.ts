import { readFileSync } from 'node:fs';
import { Ok, fail, type Failure, type Result, type ServiceDocument } from '@limpetbay/core';
import { parseDocument } from '@limpetbay/operators';

interface DocumentFile {
  readonly document: ServiceDocument;
  /** Revision in the comment line that `show` prints; null if the file has no such line. */
  readonly baseRevision: number | null;
}

const REVISION_LINE = /^;\s*revision\s*=?\s*(\d+)\s*$/m;

/** Reads and validates a document file. @returns `invalid_document` if that fails */
export function readDocumentFile(file: string): Result<DocumentFile, Failure> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return fail(
      'invalid_document',
      `${file}: could not read the file: ${(error as Error).message}`,
    );
  }
  const parsed = parseDocument(text, file);
  if (parsed.err) return parsed;
  const revision = REVISION_LINE.exec(text)?.[1];
  const baseRevision = revision === undefined ? null : Number(revision);
  return Ok({ document: parsed.val, baseRevision });
}
