import type { IncomingMessage } from 'node:http';

/** Reads a JSON body. @returns null if it is empty, incomplete or not valid JSON */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  try {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    return null;
  }
}
