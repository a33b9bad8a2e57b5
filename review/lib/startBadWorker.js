/**
 * Starts `endlessWorker.js` as a process and waits until it listens. What it reports of endless
 * answers goes into the record.
 *
 * @returns id, address and `plan`, which makes its next answer to a path endless
 */
export async function startBadWorker(deployment, id) {
  const host = deployment.assignHost();
  const script = new URL('./endlessWorker.js', import.meta.url).pathname;
  return new Promise((resolve, reject) => {
    const child = deployment.startStandIn(script, [host, id], (message) => {
      if (message.event === 'listening') {
        const address = `${host}:${message.port}`;
        resolve({ id, address, plan: (endless, prefix) => child.send({ endless, prefix }) });
      } else if (message.event !== 'run') deployment.record(`${id}: ${JSON.stringify(message)}`);
    });
    child.once('error', reject);
  });
}
