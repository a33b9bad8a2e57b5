import type { IncomingMessage } from 'node:http';

/** Reads a JSON body; null where it is empty, broken or not JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  try {
    const parts: Buffer[] = [];
    for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
    return JSON.parse(Buffer.concat(parts).toString('utf8')) as unknown;
  } catch {
    return null;
  }
}
