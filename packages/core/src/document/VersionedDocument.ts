import { z } from 'zod';
import { Revision } from '../ids/Revision.js';
import { ServiceName } from '../ids/ServiceName.js';
import { ServiceDocument } from './ServiceDocument.js';

/**
 * A document with the revision that orders it among all versions of the document: the store revision
 * of its last change, or a higher one that was accepted with it. `document` is null after a deletion.
 */
export const VersionedDocument = z.object({
  name: ServiceName,
  revision: Revision,
  /**
   * Id of the accept operation that wrote the document; shows whether an unanswered one took
   * effect.
   */
  operationId: z.string(),
  document: ServiceDocument.nullable(),
});

export type VersionedDocument = z.infer<typeof VersionedDocument>;
