const MAX_ANSWER_BYTES = 8_388_608;

const FILLER = Buffer.alloc(MAX_ANSWER_BYTES, 'limpetbay ');

/**
 * Builds the body with which a target answers a request, as a head and a filler that all answers
 * share. The head names the request and the hash of its body; the path `/large/BYTES` sets the
 * length of the body.
 */
export function buildAnswer(id: string, path: string, bodyHash: string): [Buffer, Buffer] {
  const head = Buffer.from(`answer to ${id} ${bodyHash}\n`);
  const bytes = Number(/^\/large\/(\d+)/.exec(path)?.[1] ?? 0);
  return [head, FILLER.subarray(0, Math.max(0, bytes - head.length))];
}
