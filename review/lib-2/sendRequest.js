import { connect } from 'node:net';

/**
 * Sends a request on a channel of its own, as a client does.
 *
 * @param address `IP:PORT` of an entry
 * @param head request line and headers besides those of every request
 * @returns status (0 without an answer), text, and whether the answer was complete
 */
export function sendRequest(address, { method, path, id, headers = {}, body = '' }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let text = '';
    socket.on('data', (data) => {
      text += data.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
      resolve({ status, text, isComplete: isComplete(text) });
    });
    const lines = [`${method} ${path} HTTP/1.1`, 'Host: app.example'];
    lines.push(`X-Limpetbay-Request-Id: ${id}`, 'Connection: close');
    for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
    if (body !== '' || method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  });
}

/** Returns whether the body of an answer has its whole length or its last chunk. */
function isComplete(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const head = text.slice(0, end).toLowerCase();
  const length = /content-length: (\d+)/.exec(head)?.[1];
  if (length !== undefined) return text.length - end - 4 === Number(length);
  return text.endsWith('\r\n0\r\n\r\n') || text.slice(end + 2).endsWith('\r\n0\r\n\r\n');
}
