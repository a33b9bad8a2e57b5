import { connect, createServer } from 'node:net';

/**
 * Starts a proxy in front of a server. `silenceIdle(ms)` makes each connection that has carried no
 * byte for so long silent for good: it stays open and carries nothing. New ones work.
 */
export async function createProxy(host, target) {
  const [targetHost, targetPort] = target.split(':');
  const links = new Set();
  const server = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true });
    const link = { near, far, lastMs: performance.now(), isSilent: false };
    links.add(link);
    const join = (from, to) => {
      from.on('data', (data) => {
        if (link.isSilent) return;
        link.lastMs = performance.now();
        to.write(data);
      });
      from.on('end', () => link.isSilent || to.end());
      from.on('error', () => link.isSilent || to.destroy());
      from.on('close', () => {
        links.delete(link);
        if (!link.isSilent) to.destroy();
      });
    };
    join(near, far);
    join(far, near);
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    /** Returns the number of connections that went silent, and of those that did not. */
    silenceIdle(ms) {
      const nowMs = performance.now();
      const counts = { silent: 0, working: 0 };
      for (const link of links) {
        link.isSilent ||= nowMs - link.lastMs >= ms;
        counts[link.isSilent ? 'silent' : 'working'] += 1;
      }
      return counts;
    },
    close() {
      for (const { near, far } of links) {
        near.destroy();
        far.destroy();
      }
      server.close();
    },
  };
}
