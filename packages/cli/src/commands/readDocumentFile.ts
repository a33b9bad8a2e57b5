import { readFileSync } from 'node:fs';
import { Ok, fail, type Failure, type Result, type ServiceDocument } from '@limpetbay/core';
import { parseDocument } from '@limpetbay/operators';

interface DocumentFile {
  readonly document: ServiceDocument;
  /** Revision that `show` printed into the file; null where it holds none. */
  readonly baseRevision: number | null;
}

const REVISION = /^;\s*revision\s*=?\s*(\d+)\s*$/m;

/** Reads and checks a document file. */
export function readDocumentFile(file: string): Result<DocumentFile, Failure> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return fail('invalid_document', `${file}: cannot be read: ${(error as Error).message}`);
  }
  const parsed = parseDocument(text, file);
  if (parsed.err) return parsed;
  const revision = REVISION.exec(text)?.[1];
  const baseRevision = revision === undefined ? null : Number(revision);
  return Ok({ document: parsed.val, baseRevision });
}
