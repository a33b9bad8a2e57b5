import type { IncomingMessage } from 'node:http';
import { ReadQueue } from './ReadQueue.js';

/** Bytes on a connection from which on a read waits for its turn. */
const MIN_QUEUED_BYTES = 32_768;

/** The bytes on the connection are this many times those of the body if its chunks are tiny. */
const TINY_CHUNK_RATIO = 2;

/** Interval of the reads of bodies in tiny chunks, of which one read takes tens of milliseconds. */
const TINY_CHUNK_INTERVAL_MS = 50;

/** All bodies share these queues, because they share the event loop of the process. */
const queue = new ReadQueue((run) => {
  setImmediate(run);
});

const tinyChunkQueue = new ReadQueue((run) => {
  setTimeout(run, TINY_CHUNK_INTERVAL_MS);
});

/**
 * Receives the body of a message. What arrives together is passed on in one piece. Large pieces are
 * read one in a turn of the event loop, so that bodies without an end delay other connections by the
 * time of one read only.
 *
 * @param onData may be called once more after the message was closed
 * @returns a function that passes on at once what has arrived
 */
export function receiveBody(message: IncomingMessage, onData: (data: Buffer) => void): () => void {
  const { socket } = message;
  let earlierBytes = socket.bytesRead;
  const read = (): void => {
    earlierBytes = socket.bytesRead;
    const data = message.read() as Buffer | null;
    if (data !== null) onData(data);
  };
  const readInTurn = (): void => {
    const bytes = socket.bytesRead - earlierBytes;
    if (bytes > TINY_CHUNK_RATIO * message.readableLength) tinyChunkQueue.add(read);
    else read();
  };
  message.on('readable', () => {
    if (socket.bytesRead - earlierBytes < MIN_QUEUED_BYTES) read();
    else queue.add(readInTurn);
  });
  return read;
}
