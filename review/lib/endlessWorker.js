/*
 * A worker in trouble, as a process of its own: `node endlessWorker.js HOST ID`. It answers like a
 * sound worker. After the message `{ endless: KIND }` its next answer to a path with `prefix` has
 * no end: it sends bytes until the caller closes the channel.
 *
 * - `body`: the body of a signed answer, in chunks of one byte, never ends.
 * - `event`: the same, of an event stream; no event ends.
 * - `head`: blank lines where the head of the answer is due.
 */
import { createServer } from 'node:net';

const [host, id] = process.argv.slice(2);
const WORK_MS = 30;
const BLOCK_BYTES = 65_536;
const BYTES = { body: '1\r\nx\r\n', event: '1\r\nx\r\n', head: '\r\n' };

const planned = [];

function send(socket, kind, requestId) {
  if (kind !== 'head') {
    const type = kind === 'event' ? 'text/event-stream' : 'text/plain';
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Limpetbay-Request-Id: ${requestId}\r\n` +
        `X-Limpetbay-Response-Signature: ${id}.${requestId}\r\nContent-Type: ${type}\r\n` +
        'Transfer-Encoding: chunked\r\n\r\n',
    );
  }
  const unit = BYTES[kind];
  const block = Buffer.from(unit.repeat(Math.floor(BLOCK_BYTES / unit.length)));
  let sentBytes = 0;
  const write = () => {
    while (!socket.destroyed) {
      sentBytes += block.length;
      if (!socket.write(block)) return;
    }
  };
  const startMs = performance.now();
  socket.on('drain', write);
  socket.once('close', () => {
    const ms = Math.round(performance.now() - startMs);
    process.send({ event: 'caller closed', id: requestId, ms, sentBytes });
  });
  process.send({ event: 'endless answer begins', id: requestId, kind });
  write();
}

function answer(socket, head) {
  const requestId = /^x-limpetbay-request-id: *(\S+)/im.exec(head)?.[1] ?? '';
  const expected = /^x-limpetbay-expect-instance: *(\S+)/im.exec(head)?.[1] ?? id;
  const path = head.split(' ')[1];
  const common = `X-Limpetbay-Request-Id: ${requestId}\r\n`;
  if (expected !== id) {
    socket.write(
      `HTTP/1.1 421 Misdirected\r\n${common}X-Limpetbay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    );
    return;
  }
  process.send({ event: 'run', id: requestId, path });
  const at = planned.findIndex(({ prefix }) => path.startsWith(prefix));
  if (at >= 0) {
    const [{ endless }] = planned.splice(at, 1);
    send(socket, endless, requestId);
    return;
  }
  setTimeout(() => {
    if (socket.destroyed) return;
    const isStream = path.startsWith('/note/');
    const body = isStream ? 'id: 1\ndata: all\n\n' : `answer to ${requestId}`;
    socket.write(
      `HTTP/1.1 200 OK\r\n${common}X-Limpetbay-Response-Signature: ${id}.${requestId}\r\n` +
        `Content-Type: ${isStream ? 'text/event-stream' : 'text/plain'}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }, WORK_MS);
}

const server = createServer((socket) => {
  let text = '';
  socket.on('error', () => {});
  socket.on('data', (data) => {
    text += data.toString('latin1');
    for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
      const head = text.slice(0, end);
      text = text.slice(end + 4);
      answer(socket, head);
    }
  });
});
server.listen(0, host, () => process.send({ event: 'listening', port: server.address().port }));
process.on('message', (message) => planned.push(message));
process.on('disconnect', () => process.exit());
