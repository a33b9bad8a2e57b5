import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import { measureNesting } from './measureNesting.js';

/** The formats in use have fewer than ten levels. */
const MAX_NESTING = 64;

/** Parsing shorter texts takes no noticeable time however deeply they are nested, characters. */
const MIN_CHECKED_LENGTH = 1024;

/**
 * Parses JSON text of another process or writer. `JSON.parse` takes seconds and hundreds of megabytes
 * for millions of nested arrays.
 *
 * @returns `invalid_document` if it is not JSON or is nested more than 64 levels deep
 */
export function parseJson(text: string): Result<unknown, Failure> {
  if (text.length >= MIN_CHECKED_LENGTH && measureNesting(text, MAX_NESTING) > MAX_NESTING) {
    return fail('invalid_document', `nested more than ${MAX_NESTING} levels deep`);
  }
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return fail('invalid_document', 'not JSON');
  }
}
